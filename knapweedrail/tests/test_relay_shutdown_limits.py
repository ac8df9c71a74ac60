"""Decisions of a relay that stops, without processes: what it takes, and until when."""

import os
import signal
import time

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ..relay.clocks import SignalClock
from ..relay.models import Repetition
from ..relay.shutdowns import (
    FRESH_SECONDS,
    KEPT_ANSWERS,
    UNKNOWN_SECONDS,
    AnswerTimes,
    Shutdown,
)
from .relays_in_memory import (
    ScriptedRunner,
    make_chunk,
    make_configuration,
    make_event,
    make_route,
    make_stream_head,
    run_relay,
)

TIMES_TO_STOP = st.floats(1.0, 120.0)
SECONDS = st.floats(0.0, 130.0)


@given(TIMES_TO_STOP, SECONDS, SECONDS, SECONDS, SECONDS)
def test_what_is_taken_and_no_slower_than_seen_ends_before_the_process(
    time_to_stop, after, limit, slowest, seconds
):
    """Hosts are stopped in turn and callers come at any moment of it. None that is
    taken, and isn't slower than all before it, may still run when its process ends."""
    shutdown = Shutdown(100.0, time_to_stop)
    now = 100.0 + after
    if shutdown.takes(now, limit, slowest) and seconds <= slowest:
        assert now + min(limit, seconds) <= shutdown.ends_at


@given(TIMES_TO_STOP)
def test_answers_have_five_sixths_of_the_time_to_stop(time_to_stop):
    """Callers are promised most of the time to stop, however short it is."""
    shutdown = Shutdown(0.0, time_to_stop)
    assert 5 / 6 * time_to_stop < shutdown.ends_at < time_to_stop
    assert shutdown.ends_at < shutdown.released_at < time_to_stop


def test_a_call_with_a_bound_of_its_own_is_taken_as_long_as_that_fits():
    """A slot confirmation has its answer within a second and a half whatever its
    endpoint does. Refused all the same, its caller comes to the next host that
    stops."""
    shutdown = Shutdown(0.0, 8.0)
    assert shutdown.takes(5.0, limit=1.5, slowest=0.1)
    assert not shutdown.takes(5.5, limit=1.5, slowest=0.1)


def test_an_unbounded_stream_is_taken_only_while_the_balancer_cannot_know():
    """Questions may take fifteen seconds and seldom take two. Those that come when the
    balancer has long been told are served by other hosts, and none of them is the one
    that takes four."""
    shutdown = Shutdown(0.0, 8.0)
    assert shutdown.takes(FRESH_SECONDS, limit=15.0, slowest=2.0)
    assert not shutdown.takes(FRESH_SECONDS + 0.1, limit=15.0, slowest=2.0)
    assert not shutdown.takes(2.0, limit=15.0, slowest=5.0)


def test_the_slowest_of_the_last_answers_counts_and_fades():
    times = AnswerTimes()
    assert times.find_slowest("plans", 0.0) == UNKNOWN_SECONDS
    times.note("plans", 0.1)
    assert times.find_slowest("plans", 0.0) == UNKNOWN_SECONDS
    times.note("plans", 4.0)
    times.note("questions", 9.0)
    for _ in range(KEPT_ANSWERS - 1):
        times.note("plans", 0.5)
    assert times.find_slowest("plans", 0.0) == 4.0
    times.note("plans", 0.5)
    assert times.find_slowest("plans", 0.0) == 0.5


def test_what_still_runs_counts_with_its_age():
    """Engines have just become slow: nothing that ended tells of it yet, while streams
    under way are older than any that has ended."""
    times = AnswerTimes()
    for _ in range(KEPT_ANSWERS):
        times.note("plans", 0.5)
    began = times.begin("plans", 100.0)
    assert times.find_slowest("plans", 100.2) == 0.5
    assert times.find_slowest("plans", 105.0) == 5.0
    times.end("plans", began, 106.0, counts=True)
    assert times.find_slowest("plans", 200.0) == 6.0


@pytest.mark.anyio
async def test_time_runs_from_the_signal_though_the_loop_comes_to_it_late():
    """The event loop has so much to do that it comes to a signal a third of a second
    late. The process is killed at a time that counts from the signal."""
    clock = SignalClock()
    with anyio.open_signal_receiver(signal.SIGUSR1) as signals:
        clock.watch([signal.SIGUSR1])
        sent_at = time.monotonic()
        os.kill(os.getpid(), signal.SIGUSR1)
        while time.monotonic() < sent_at + 0.3:
            pass
        with anyio.fail_after(1):
            async for _ in signals:
                break
    assert clock.read() - sent_at < 0.1


@pytest.mark.anyio
async def test_a_body_that_is_still_on_its_way_at_the_end_gets_a_refusal():
    """A caller's link is slow, and its request isn't in when the process ends. It found
    an empty 500; told that nothing has run, it comes back at once, elsewhere."""
    runner = ScriptedRunner(hang)
    route = make_route(Repetition.ONCE)
    async with run_relay(make_configuration(route), runner) as relay:
        relay.gateway.closing.begin(Shutdown(time.monotonic(), 0.3))
        answer = await relay.call(body_takes=5.0)
    assert answer.status == 503 and b"not run" in answer.body


async def hang(stream, head):
    await anyio.sleep(60)
    return False


async def begin_stream(stream, head):
    await stream.send(make_stream_head(head) + make_chunk(make_event(1)))
    await anyio.sleep(60)
    return False


@pytest.mark.anyio
async def test_a_call_that_hangs_when_the_process_ends_is_told_what_is_known():
    """An endpoint is silent, and the relay's time to stop is over. With its connection
    just closed the caller can't tell whether the slot is confirmed; told that it isn't
    known, it asks."""
    runner = ScriptedRunner(hang)
    route = make_route(Repetition.ONCE)
    async with run_relay(make_configuration(route), runner) as relay:
        async with anyio.create_task_group() as group:
            group.start_soon(stop_soon, relay.gateway)
            answer = await relay.call()
    assert answer.status == 502 and answer.whole
    assert b"outcome-unknown" in answer.body


@pytest.mark.anyio
async def test_a_stream_that_the_end_of_the_process_cuts_off_does_not_look_whole():
    runner = ScriptedRunner(begin_stream)
    route = make_route(Repetition.ONCE)
    async with run_relay(make_configuration(route), runner) as relay:
        async with anyio.create_task_group() as group:
            group.start_soon(stop_soon, relay.gateway)
            answer = await relay.call()
    assert answer.status == 200 and answer.body == make_event(1)
    assert not answer.whole


async def stop_soon(gateway):
    await anyio.sleep(0.2)
    gateway.closing.begin(Shutdown(time.monotonic(), 0.3))
