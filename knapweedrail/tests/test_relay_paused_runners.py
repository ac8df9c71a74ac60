"""Tests of runners that reject a request and want no further ones for some time."""

import time

import anyio
import pytest

from ..relay.models import Member, RetryPolicy, RunnerIncarnation
from ..relay.tunnels import UNWANTED, ConnectRequest, open_tunnel
from .relays_in_memory import (
    ScriptedRunner,
    answer_normally,
    make_answer,
    make_configuration,
    make_route,
    run_relay,
)
from .test_relay_leaving_runners import make_prompt
from .test_relay_tunnels import call_until_lost, current_host, run_two_relays

pytestmark = pytest.mark.anyio

SAFE = make_route(RetryPolicy.SAFE, max_runners=3)

PAUSE_SECONDS = 0.8
"""Pause that the runners of these tests ask for, longer than a usual backoff."""


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
