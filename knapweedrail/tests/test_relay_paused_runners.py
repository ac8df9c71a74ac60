"""Tests of runners that reject a request and want no further ones for some time."""

import time

import anyio
import pytest

from ..relay.models import Member, RetryPolicy, RunnerIncarnation
from ..relay.runners import RunnerTable
from ..relay.tunnels import UNWANTED, ConnectRequest, open_tunnel
from ..standins.pausingfleet import PausingFleet
from .relays_in_memory import (
    ScriptedRunner,
    answer_normally,
    make_answer,
    make_configuration,
    make_route,
    make_runner,
    run_relay,
)
from .test_relay_leaving_runners import make_prompt
from .test_relay_tunnels import call_until_lost, current_host, run_two_relays

pytestmark = pytest.mark.anyio

SAFE = make_route(RetryPolicy.SAFE, max_runners=3)

PAUSE_SECONDS = 0.8
"""Pause that the runners of these tests ask for, longer than a usual backoff."""


MAX_REQUESTS_IN_PAUSE = 2
"""Requests of one host that a runner tolerates in its pause, from half a second on."""

SIZES = {
    "9 hosts, 3 of 8 runners": {
        "hosts": 9,
        "runners": 8,
        "pressure": 0.6,
        "rejecting": 3,
        "share": 0.6,
        "period": (2.0, 8.0),
    },
    "9 hosts, all runners": {
        "hosts": 9,
        "runners": 3,
        "pressure": 0.9,
        "rejecting": 3,
        "share": 0.3,
        "period": (2.0, 8.0),
    },
    "72 hosts": {
        "hosts": 72,
        "runners": 30,
        "pressure": 0.6,
        "rejecting": 10,
        "share": 0.6,
        "period": (2.0, 8.0),
    },
}
"""Fleets whose runners reject a share of all requests for a while."""


def reject_for(seconds, *further_seconds):
    """Return a `ScriptedRunner.respond` that rejects some requests for a time each."""
    pauses = [seconds, *further_seconds]

    async def respond(stream, head):
        if not pauses:
            return await answer_normally(stream, head)
        headers = {"Knapweedrail_Not_Executed": "1", "Retry_After": f"{pauses.pop(0)}"}
        await stream.send(make_answer(head, b"", 503, **headers))
        return True

    return respond


@pytest.mark.parametrize("has_prompt", [False, True])
async def test_paused_runner_gets_no_request_before_its_pause_is_over(has_prompt):
    """A runner that wants no requests for a time got further ones after 0.15 s."""
    paused = ScriptedRunner(reject_for(PAUSE_SECONDS))
    others = [ScriptedRunner(answer_normally) for _ in range(2)]
    async with run_relay(make_configuration(SAFE), paused, *others) as relay:
        n = 0
        while not paused.heads:
            n += 1
            await relay.call(knapweedrail_request_id=f"id-{n}", **make_prompt(n))
        rejected_at = time.monotonic()
        while time.monotonic() - rejected_at < PAUSE_SECONDS - 0.1:
            n += 1
            headers = make_prompt(n) if has_prompt else {}
            answer = await relay.call(knapweedrail_request_id=f"id-{n}", **headers)
            assert answer.status == 200
            await anyio.sleep(0.02)
        assert len(paused.heads) == 1
        await anyio.sleep(0.2)
        for n in range(30):
            headers = make_prompt(n) if has_prompt else {}
            await relay.call(knapweedrail_request_id=f"more-{n}", **headers)
    assert len(paused.heads) > 1


async def test_paused_runners_cause_refusals_with_the_time_until_the_first_is_back():
    """All runners want no requests for a time, so callers needn't come before."""
    runners = ScriptedRunner(reject_for(2.0)), ScriptedRunner(reject_for(1.0))
    async with run_relay(make_configuration(SAFE), *runners) as relay:
        await relay.call()
        began_at = time.monotonic()
        refused = await relay.call()
        assert time.monotonic() - began_at < 0.1
        assert sum(len(runner.heads) for runner in runners) == 2
        assert refused.status == 503
        assert 0.9 < float(refused.headers["retry-after"]) < 2.0
        await anyio.sleep(1.1)
        served = await relay.call()
    assert served.status == 200
    assert len(runners[1].heads) == 2


async def test_paused_runner_gets_no_requests_of_other_hosts(monkeypatch):
    """A tunnel brings another host's requests to the runner from this host."""
    respond = reject_for(*[5.0] * 4)
    async with run_two_relays(monkeypatch, SAFE, respond=respond) as world:
        current_host.set("near")
        await world.near.call()
        number = next(n for n, runner in enumerate(world.runners) if runner.heads)
        name, address = RunnerIncarnation(f"i-{number}"), world.runners[number].address
        member = Member("near", "near/1", tunnel_address=world.near.tunnels.address)
        opened = await open_tunnel(member, ConnectRequest(name, address))
    assert getattr(opened, "status", None) == UNWANTED


async def test_paused_runner_is_noticed_in_the_tunnels_of_other_hosts(monkeypatch):
    """A runner answers a host that it wants a pause, to another host's request."""
    respond = reject_for(*[5.0] * 100)
    async with run_two_relays(monkeypatch, SAFE, respond=respond) as world:
        await call_until_lost(world.far)
        assert world.received >= len(world.runners)
        current_host.set("near")
        received = world.received
        answers = [await world.near.call() for _ in range(3)]
    assert [answer.status for answer in answers] == [503] * 3
    assert world.received == received


async def test_request_that_waits_for_a_connection_is_not_sent_to_a_paused_runner(
    monkeypatch,
):
    """A runner rejects one request while another one is connecting to it."""
    paused = ScriptedRunner(reject_for(*[5.0] * 10))
    other = ScriptedRunner(answer_normally)
    connect = anyio.connect_tcp

    async def connect_slowly(host, port, **options):
        stream = await connect(host, port, **options)
        if f"{host}:{port}" == paused.address:
            await anyio.sleep(0.05 * next(delays))
        return stream

    delays = iter(range(20))
    monkeypatch.setattr(anyio, "connect_tcp", connect_slowly)
    async with run_relay(make_configuration(SAFE), paused, other) as relay:
        async with anyio.create_task_group() as group:
            for n in range(8):
                group.start_soon(call_ok, relay, f"id-{n}")
    assert len(paused.heads) == 1


async def call_ok(relay, identity):
    answer = await relay.call(knapweedrail_request_id=identity)
    assert answer.status == 200


def make_table(count):
    table = RunnerTable(grace_seconds=1.9)
    for number in range(count):
        table.set_runner(make_runner(f"i-{number}", started=1))
    return table, table.list_views("e", 0.0)


def test_shorter_pause_does_not_shorten_a_longer_one():
    """Two requests are rejected, the second one with a shorter time."""
    table, (view,) = make_table(1)
    table.bounds.record_pause(view, 3.0, 10.0)
    table.bounds.record_pause(view, 1.0, 10.5)
    assert not table.bounds.may_send(view, None, 12.9)
    assert table.bounds.may_send(view, None, 13.0)


def test_pause_ends_with_a_restart_of_its_runner():
    """A runner restarts before its long pause is over."""
    table, (view,) = make_table(1)
    table.bounds.record_pause(view, 600.0, 10.0)
    table.set_runner(make_runner("i-0", started=2), 20.0)
    (restarted,) = table.list_views("e", 20.0)
    assert table.bounds.may_send(restarted, None, 20.0)


def test_paused_runner_is_neither_ejected_nor_failing():
    """A pause says nothing about the answers of a runner once it is over."""
    table, (view,) = make_table(1)
    table.record_rejection(view, 10.0)
    table.bounds.record_pause(view, 3.0, 10.0)
    assert view.failure_rate == 0
    assert table.is_available(view, 13.0)


def test_wait_is_that_of_the_first_runner_to_be_back():
    """Callers come back when the first of several pauses is over."""
    table, views = make_table(3)
    for view, seconds in zip(views, (4.0, 2.0, 7.0), strict=True):
        assert table.compute_wait("e", None, 10.0) is None
        table.bounds.record_pause(view, seconds, 10.0)
    assert table.compute_wait("e", None, 10.5) == 1.5


def play(size, pause_seconds, seed):
    fleet = PausingFleet(**size, seed=seed, pause_seconds=pause_seconds)
    fleet.play(12.0)
    return fleet


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("size", SIZES.values(), ids=SIZES)
def test_overloaded_runners_get_no_requests_in_their_pauses(size, seed):
    """Some runners, or all, reject many requests for six seconds."""
    fleet = play(size, 3.0, seed)
    assert fleet.rejections
    assert fleet.worst_count <= MAX_REQUESTS_IN_PAUSE


@pytest.mark.parametrize("size", ["9 hosts, 3 of 8 runners", "72 hosts"])
def test_pauses_of_some_runners_cost_callers_nothing(size):
    """The others have capacity for what the paused runners don't get."""
    with_pauses, without = (play(SIZES[size], seconds, 1) for seconds in (3.0, 0.0))
    assert with_pauses.rejections < without.rejections
    assert with_pauses.served / with_pauses.sent >= without.served / without.sent
