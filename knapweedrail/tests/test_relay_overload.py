"""Load shedding by a host that gets more requests than it can handle."""

import random

import anyio
import attrs
import pytest

from ..events import Event
from ..relay import connectors, gateway, metrics, overload
from ..relay.models import RetryPolicy
from ..relay.overload import (
    MIN_OUT_OF_ROTATION_SECONDS,
    SAMPLE_INTERVAL_SECONDS,
    OverloadMonitor,
)
from .relays_in_memory import (
    ScriptedRunner,
    answer_normally,
    make_configuration,
    make_route,
    run_relay,
)


def record_delays(monitor, delay, seconds, now=0.0):
    """Record samples of the same delay; return the time after the last one."""
    end = now + seconds
    while now < end:
        monitor.record_loop_delay(delay, now)
        now += SAMPLE_INTERVAL_SECONDS + delay
    return now


def test_idle_host_accepts_every_request():
    monitor = OverloadMonitor()
    now = record_delays(monitor, 0.005, 10.0)
    assert not monitor.is_out_of_rotation(now)
    assert not monitor.may_cause_timeouts(now)
    assert not any(monitor.should_shed(random.Random(n), now) for n in range(100))


def test_late_event_loop_sheds_load_and_leaves_rotation():
    """A hash sends seventy requests per second to one small host and four to the next,
    and its loop is three tenths of a second late. Without load shedding, every
    connection to a runner there would time out, and all its callers would be refused
    for as long as the load lasts."""
    monitor = OverloadMonitor()
    now = record_delays(monitor, 0.3, 1.5)
    assert monitor.is_out_of_rotation(now)
    shed = sum(monitor.should_shed(random.Random(n), now) for n in range(1000))
    assert 400 < shed < 950
    # It accepts requests again once its loop is on time, and returns to rotation after
    # the load balancer has had time to notice.
    now = record_delays(monitor, 0.001, 1.0, now)
    assert not monitor.should_shed(random.Random(1), now)
    now = record_delays(monitor, 0.001, MIN_OUT_OF_ROTATION_SECONDS + 1.0, now)
    assert not monitor.is_out_of_rotation(now)


def test_stalled_process_stays_in_rotation():
    """A host freezes for five seconds. That isn't load, and taking the host out of
    rotation would only prolong its outage."""
    monitor = OverloadMonitor()
    monitor.record_loop_delay(5.0, 10.0)
    now = record_delays(monitor, 0.001, 0.5, 10.0)
    assert not monitor.is_out_of_rotation(now)
    assert not monitor.should_shed(random.Random(1), now)


def test_some_requests_are_accepted_at_any_load():
    monitor = OverloadMonitor()
    now = record_delays(monitor, 1.0, 60.0)
    assert not all(monitor.should_shed(random.Random(n), now) for n in range(100))


def record_connects(monitor, seconds, count, now=0.0, pause=0.02):
    """Record connections of the same duration; return the time after the last one."""
    for number in range(count):
        now += pause
        monitor.record_connect_time(f"i-{number}", seconds, now)
    return now


def test_saturated_link_sheds_part_of_the_load():
    """A caller with seventy long prompts per second is hashed to a host whose link
    carries sixty, so every packet queues behind earlier ones. Without load shedding,
    answers would arrive after ten seconds, when callers have given up, and all runners
    would seem unreachable from this host."""
    monitor = OverloadMonitor()
    now = record_connects(monitor, 0.2, 20)
    assert monitor.is_out_of_rotation(now)
    shed = sum(monitor.should_shed(random.Random(n), now) for n in range(1000))
    assert 300 < shed < 800
    assert monitor.may_cause_timeouts(now)
    # With fewer requests the link's queue drains, and nothing is shed any more.
    now = record_connects(monitor, 0.003, 20, now)
    assert not any(monitor.should_shed(random.Random(n), now) for n in range(100))


def test_link_is_tried_again_after_saturation():
    """No connections are made while all requests are shed, so no sample would show that
    the link has capacity again."""
    monitor = OverloadMonitor()
    now = record_connects(monitor, 0.25, 50)
    assert monitor.should_shed(random.Random(1), now)
    assert not any(monitor.should_shed(random.Random(n), now + 3.0) for n in range(100))


def test_two_unreachable_runners_are_not_a_saturated_link():
    """Two runners lose power while twenty requests are connecting to them, and all
    other connections come from the pool. A relay that reaches all other runners must
    not shed requests for this."""
    monitor = OverloadMonitor()
    for number in range(20):
        now = 0.25 + 0.01 * number
        monitor.record_connect_time(f"i-{number % 2}", 0.25, now)
        assert not monitor.should_shed(random.Random(1), now)
        assert not monitor.is_out_of_rotation(now)


@pytest.mark.anyio
async def test_late_event_loop_does_not_eject_runners(monkeypatch):
    """The process is so busy that a connection made in a millisecond is noticed after
    the connect timeout. If runners were ejected for it, this relay would have none, and
    the next requests would be refused as if all runners were full."""
    route = make_route(RetryPolicy.SAFE)
    async with run_relay(
        make_configuration(route), ScriptedRunner(answer_normally)
    ) as relay:
        view = relay.table.list_views("e", 0.0)[0]
        relay.gateway._services.overload._fast_delay = 0.1
        monkeypatch.setattr(connectors, "CONNECT_SECONDS", 0.0)
        answer = await relay.call()
        assert answer.status == 503
        assert view.is_available(float("inf")) or view.ejected_until < 0
        assert view.failure_rate == 0.0


@pytest.mark.anyio
async def test_overload_refusal_closes_the_connection_and_sets_retry_after():
    route = make_route(RetryPolicy.ONCE)
    async with run_relay(
        make_configuration(route), ScriptedRunner(answer_normally)
    ) as relay:
        relay.gateway._services.overload._fast_delay = 60.0
        relay.gateway._services.rng.seed(3)
        answers = [await relay.call() for _ in range(20)]
    refused = [answer for answer in answers if answer.status == 503]
    assert len(refused) >= 10
    assert all(answer.headers["connection"] == "close" for answer in refused)
    assert all(0 < float(answer.headers["retry-after"]) < 0.1 for answer in refused)


@pytest.mark.anyio
async def test_event_loop_delay_is_measured():
    monitor = OverloadMonitor()
    with anyio.move_on_after(5 * overload.SAMPLE_INTERVAL_SECONDS):
        await metrics.RelayMetrics().monitor_loop_delay(monitor)
    assert 0 < monitor.loop_delay < 0.2


@pytest.mark.anyio
async def test_leaving_and_joining_the_rotation_are_logged_once(monkeypatch):
    """Guards against a host that sends callers elsewhere without a trace in its log."""
    logged = []
    monkeypatch.setattr(metrics, "log_event", lambda event, **_: logged.append(event))
    monitor = OverloadMonitor()
    monkeypatch.setattr(monitor, "record_loop_delay", lambda *sample: None)
    async with anyio.create_task_group() as group:
        group.start_soon(metrics.RelayMetrics().monitor_loop_delay, monitor)
        for until in (float("inf"), float("-inf")):
            monitor._out_of_rotation_until = until
            await anyio.sleep(4 * SAMPLE_INTERVAL_SECONDS)
        group.cancel_scope.cancel()
    found = [event for event in logged if event is not Event.LOOP_LATE]
    assert found == [Event.ROTATION_LEFT, Event.ROTATION_JOINED]


@pytest.mark.anyio
async def test_partition_between_data_centres_is_not_a_saturated_link(monkeypatch):
    """Another data centre is partitioned off and connections to its runners time out,
    while pooled connections to local runners give no samples. Callers must still be
    served here."""
    monkeypatch.setattr(connectors, "CONNECT_SECONDS", 0.0)
    route = make_route(RetryPolicy.SAFE)
    async with run_relay(
        make_configuration(route), ScriptedRunner(answer_normally)
    ) as relay:
        view = relay.table.list_views("e", 0.0)[0]
        services = relay.gateway._services
        samples = []
        services.overload.record_connect_time = lambda *sample: samples.append(sample)
        await relay.call()
        assert len(samples) == 1
        view.runner = attrs.evolve(view.runner, data_centre="elsewhere")
        await relay.call()
        assert len(samples) == 1


@pytest.mark.anyio
async def test_request_is_refused_only_after_its_whole_body_arrived(monkeypatch):
    """A request is refused and its connection closed while the caller still sends a
    long prompt. The unread bytes reset the connection, so the caller sees a broken
    connection instead of the refusal with its retry time."""
    route = make_route(RetryPolicy.ONCE)
    async with run_relay(
        make_configuration(route), ScriptedRunner(answer_normally)
    ) as relay:
        relay.gateway._services.overload._fast_delay = 60.0
        receive_body = gateway.receive_body
        received = []

        async def receive_and_record(*arguments):
            received.append(await receive_body(*arguments))
            return received[-1]

        monkeypatch.setattr(gateway, "receive_body", receive_and_record)
        answers = [await relay.call() for _ in range(10)]
    assert any(answer.status == 503 for answer in answers)
    assert len(received) == len(answers)
