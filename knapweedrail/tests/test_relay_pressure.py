"""A host that the balancer sends more callers than its processor bears."""

import random

import anyio
import attrs
import pytest

from ..relay import connections, gateway, measures, pressure
from ..relay.models import Repetition
from ..relay.pressure import MIN_OUT_OF_ROTATION_SECONDS, TICK_SECONDS, Pressure
from .relays_in_memory import (
    ScriptedRunner,
    answer_well,
    make_configuration,
    make_route,
    run_relay,
)


def record_delays(monitor, delay, seconds, now=0.0):
    """Take in measurements of one delay; return the time after them."""
    end = now + seconds
    while now < end:
        monitor.note_delay(delay, now)
        now += TICK_SECONDS + delay
    return now


def test_idle_host_accepts_every_request():
    monitor = Pressure()
    now = record_delays(monitor, 0.005, 10.0)
    assert not monitor.is_out(now)
    assert not monitor.is_late(now)
    assert not any(monitor.refuses(random.Random(n), now) for n in range(100))


def test_late_event_loop_sheds_load_and_leaves_rotation():
    """A hash sends one small host seventy requests a second where the next gets four.
    Its loop is late by three tenths of a second; without this, every connection to a
    runner timed out there and all its callers were refused after that, for as long as
    they came."""
    monitor = Pressure()
    now = record_delays(monitor, 0.3, 1.5)
    assert monitor.is_out(now)
    refused = sum(monitor.refuses(random.Random(n), now) for n in range(1000))
    assert 400 < refused < 950
    # And takes them again once it is in time, and has been out long enough for the
    # balancer to notice.
    now = record_delays(monitor, 0.001, 1.0, now)
    assert not monitor.refuses(random.Random(1), now)
    now = record_delays(monitor, 0.001, MIN_OUT_OF_ROTATION_SECONDS + 1.0, now)
    assert not monitor.is_out(now)


def test_stalled_process_stays_in_rotation():
    """A host freezes for five seconds and wakes. That is no load, and its callers would
    lose their host a second time."""
    monitor = Pressure()
    monitor.note_delay(5.0, 10.0)
    now = record_delays(monitor, 0.001, 0.5, 10.0)
    assert not monitor.is_out(now)
    assert not monitor.refuses(random.Random(1), now)


def test_some_requests_are_accepted_at_any_load():
    monitor = Pressure()
    now = record_delays(monitor, 1.0, 60.0)
    assert not all(monitor.refuses(random.Random(n), now) for n in range(100))


def record_connects(monitor, seconds, count, now=0.0, pause=0.02):
    """Take in connections that all took as long; return the time after them."""
    for number in range(count):
        now += pause
        monitor.note_connection(f"i-{number}", seconds, now)
    return now


def test_saturated_link_sheds_part_of_the_load():
    """A caller with seventy long prompts a second is hashed to a host with a link for
    sixty. Every packet waits behind those before it; without this, answers came after
    ten seconds, when nobody waited any more, and all runners looked dead from there."""
    monitor = Pressure()
    now = record_connects(monitor, 0.2, 20)
    assert monitor.is_out(now)
    refused = sum(monitor.refuses(random.Random(n), now) for n in range(1000))
    assert 300 < refused < 800
    assert monitor.is_late(now)
    # With fewer requests the queue is gone, and nobody is refused any more.
    now = record_connects(monitor, 0.003, 20, now)
    assert not any(monitor.refuses(random.Random(n), now) for n in range(100))


def test_link_is_tried_again_after_saturation():
    """Nothing is tried while all is refused, so nothing would tell that there is room
    again."""
    monitor = Pressure()
    now = record_connects(monitor, 0.25, 50)
    assert monitor.refuses(random.Random(1), now)
    assert not any(monitor.refuses(random.Random(n), now + 3.0) for n in range(100))


def test_two_unreachable_runners_are_not_a_saturated_link():
    """Two runners lose their power while twenty requests are on their way to them, and
    all connections to others are kept ones. That must not turn callers away from relays
    that reach all others."""
    monitor = Pressure()
    for number in range(20):
        now = 0.25 + 0.01 * number
        monitor.note_connection(f"i-{number % 2}", 0.25, now)
        assert not monitor.refuses(random.Random(1), now)
        assert not monitor.is_out(now)


@pytest.mark.anyio
async def test_late_event_loop_does_not_eject_runners(monkeypatch):
    """The process is so busy that a connection, made in a millisecond, is seen after
    its time is over. Runners that were ejected for that were missing for everybody
    here, and the next requests were refused as if all runners were full."""
    route = make_route(Repetition.SAFE)
    async with run_relay(
        make_configuration(route), ScriptedRunner(answer_well)
    ) as relay:
        view = relay.table.list_views("e", 0.0)[0]
        relay.gateway._services.pressure._fast_delay = 0.1
        monkeypatch.setattr(connections, "CONNECT_SECONDS", 0.0)
        answer = await relay.call()
        assert answer.status == 503
        assert view.is_rested(float("inf")) or view.ejected_until < 0
        assert view.failing == 0.0


@pytest.mark.anyio
async def test_overload_refusal_closes_the_connection_and_sets_retry_after():
    route = make_route(Repetition.ONCE)
    async with run_relay(
        make_configuration(route), ScriptedRunner(answer_well)
    ) as relay:
        relay.gateway._services.pressure._fast_delay = 60.0
        relay.gateway._services.rng.seed(3)
        answers = [await relay.call() for _ in range(20)]
    refused = [answer for answer in answers if answer.status == 503]
    assert len(refused) >= 10
    assert all(answer.headers["connection"] == "close" for answer in refused)
    assert all(0 < float(answer.headers["retry-after"]) < 0.1 for answer in refused)


@pytest.mark.anyio
async def test_event_loop_delay_is_measured():
    monitor = Pressure()
    with anyio.move_on_after(5 * pressure.TICK_SECONDS):
        await measures.RelayMeasures().watch_delay(monitor)
    assert 0 < monitor.delay < 0.2


@pytest.mark.anyio
async def test_partition_between_data_centres_is_not_a_saturated_link(monkeypatch):
    """Another data centre is cut off, and connections to its runners time out while
    those kept to the own ones tell nothing. Callers must still be served here."""
    monkeypatch.setattr(connections, "CONNECT_SECONDS", 0.0)
    route = make_route(Repetition.SAFE)
    async with run_relay(
        make_configuration(route), ScriptedRunner(answer_well)
    ) as relay:
        view = relay.table.list_views("e", 0.0)[0]
        services = relay.gateway._services
        samples = []
        services.pressure.note_connection = lambda *sample: samples.append(sample)
        await relay.call()
        assert len(samples) == 1
        view.runner = attrs.evolve(view.runner, data_centre="elsewhere")
        await relay.call()
        assert len(samples) == 1


@pytest.mark.anyio
async def test_request_is_refused_only_after_its_whole_body_arrived(monkeypatch):
    """A caller is still sending a long prompt as it is refused and the connection
    closed. The bytes that nobody read reset it, and the caller sees a broken
    connection instead of when to come back."""
    route = make_route(Repetition.ONCE)
    async with run_relay(
        make_configuration(route), ScriptedRunner(answer_well)
    ) as relay:
        relay.gateway._services.pressure._fast_delay = 60.0
        receive_body = gateway.receive_body
        received = []

        async def receive_and_record(*arguments):
            received.append(await receive_body(*arguments))
            return received[-1]

        monkeypatch.setattr(gateway, "receive_body", receive_and_record)
        answers = [await relay.call() for _ in range(10)]
    assert any(answer.status == 503 for answer in answers)
    assert len(received) == len(answers)
