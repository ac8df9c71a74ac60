"""Admission of requests during a shutdown, tested without separate processes."""

import os
import signal
import time

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ..relay.models import RetryPolicy
from ..relay.shutdowns import (
    ADMISSION_WINDOW_SECONDS,
    MAX_SAMPLES,
    MIN_ESTIMATE_SECONDS,
    AnswerDurations,
    Shutdown,
)
from ..relay.stop_signals import StopSignalRecorder
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
def test_admitted_request_finishes_before_answers_are_due(
    time_to_stop, after, limit, slowest, seconds
):
    """Requests arrive at any time of a shutdown. One that is admitted, and isn't slower
    than all before it, must finish before answers are due."""
    shutdown = Shutdown(100.0, time_to_stop)
    now = 100.0 + after
    if shutdown.admits(now, limit, slowest) and seconds <= slowest:
        assert now + min(limit, seconds) <= shutdown.answers_due_at


@given(TIMES_TO_STOP)
def test_answers_get_five_sixths_of_grace_period(time_to_stop):
    """Answers get most of the grace period, however short it is."""
    shutdown = Shutdown(0.0, time_to_stop)
    assert 5 / 6 * time_to_stop < shutdown.answers_due_at < time_to_stop
    assert shutdown.answers_due_at < shutdown.tokens_due_at < time_to_stop


def test_request_is_admitted_while_its_limit_fits():
    """A request with a timeout of 1.5 s gets its final answer by then, even if its
    endpoint doesn't respond. If it were refused, its caller might reach the next host
    that shuts down."""
    shutdown = Shutdown(0.0, 8.0)
    assert shutdown.admits(5.0, limit=1.5, slowest=0.1)
    assert not shutdown.admits(5.5, limit=1.5, slowest=0.1)


def test_long_stream_is_admitted_only_in_admission_window():
    """Streams with a timeout of 15 s seldom take two seconds. Streams that arrive
    long after the load balancer could notice the shutdown are left to other hosts,
    since one of them might be much slower."""
    shutdown = Shutdown(0.0, 8.0)
    assert shutdown.admits(ADMISSION_WINDOW_SECONDS, limit=15.0, slowest=2.0)
    assert not shutdown.admits(ADMISSION_WINDOW_SECONDS + 0.1, limit=15.0, slowest=2.0)
    assert not shutdown.admits(2.0, limit=15.0, slowest=5.0)


def test_slowest_recent_answer_counts_until_displaced():
    durations = AnswerDurations()
    assert durations.find_slowest("plans", 0.0) == MIN_ESTIMATE_SECONDS
    durations.record("plans", 0.1)
    assert durations.find_slowest("plans", 0.0) == MIN_ESTIMATE_SECONDS
    durations.record("plans", 4.0)
    durations.record("questions", 9.0)
    for _ in range(MAX_SAMPLES - 1):
        durations.record("plans", 0.5)
    assert durations.find_slowest("plans", 0.0) == 4.0
    durations.record("plans", 0.5)
    assert durations.find_slowest("plans", 0.0) == 0.5


def test_running_answer_counts_with_its_age():
    """Engines have become slow. No finished answer shows it yet, but streams in
    progress are already older than any finished one."""
    durations = AnswerDurations()
    for _ in range(MAX_SAMPLES):
        durations.record("plans", 0.5)
    number = durations.begin("plans", 100.0)
    assert durations.find_slowest("plans", 100.2) == 0.5
    assert durations.find_slowest("plans", 105.0) == 5.0
    durations.end("plans", number, 106.0, is_sample=True)
    assert durations.find_slowest("plans", 200.0) == 6.0


@pytest.mark.anyio
async def test_signal_time_is_recorded_while_event_loop_is_blocked():
    """A busy event loop handles a signal 0.3 s late, but the process is killed at a
    time that counts from the signal."""
    recorder = StopSignalRecorder()
    with anyio.open_signal_receiver(signal.SIGUSR1) as signals:
        recorder.watch([signal.SIGUSR1])
        sent_at = time.monotonic()
        os.kill(os.getpid(), signal.SIGUSR1)
        while time.monotonic() < sent_at + 0.3:
            pass
        with anyio.fail_after(1):
            async for _ in signals:
                break
    assert recorder.read_stop_time() - sent_at < 0.1


@pytest.mark.anyio
async def test_incomplete_body_at_shutdown_is_refused():
    """A caller's link is slow, and its request is incomplete when answers are due. It
    got an empty 500. A refusal that says that nothing has run lets the caller retry at
    once at another host."""
    runner = ScriptedRunner(hang)
    route = make_route(RetryPolicy.ONCE)
    async with run_relay(make_configuration(route), runner) as relay:
        relay.gateway.drain.begin(Shutdown(time.monotonic(), 0.3))
        answer = await relay.call(body_delay=5.0)
    assert answer.status == 503 and b"not run" in answer.body


async def hang(stream, head):
    await anyio.sleep(60)
    return False


async def begin_stream(stream, head):
    await stream.send(make_stream_head(head) + make_chunk(make_event(1)))
    await anyio.sleep(60)
    return False


@pytest.mark.anyio
async def test_hanging_call_at_shutdown_gets_outcome_unknown():
    """An endpoint doesn't answer, and the grace period ends. If the connection were
    closed without an answer, the caller couldn't tell whether the request has run. An
    answer that says that the outcome is unknown lets the caller check."""
    runner = ScriptedRunner(hang)
    route = make_route(RetryPolicy.ONCE)
    async with run_relay(make_configuration(route), runner) as relay:
        async with anyio.create_task_group() as group:
            group.start_soon(stop_soon, relay.gateway)
            answer = await relay.call()
    assert answer.status == 502 and answer.complete
    assert b"outcome-unknown" in answer.body


@pytest.mark.anyio
async def test_stream_cut_by_shutdown_is_incomplete():
    runner = ScriptedRunner(begin_stream)
    route = make_route(RetryPolicy.ONCE)
    async with run_relay(make_configuration(route), runner) as relay:
        async with anyio.create_task_group() as group:
            group.start_soon(stop_soon, relay.gateway)
            answer = await relay.call()
    assert answer.status == 200 and answer.body == make_event(1)
    assert not answer.complete


async def stop_soon(gateway):
    await anyio.sleep(0.2)
    gateway.drain.begin(Shutdown(time.monotonic(), 0.3))
