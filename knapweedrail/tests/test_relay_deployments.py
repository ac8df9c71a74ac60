"""Tests of unusual deployments: no accounts, budgets or runners, several endpoints."""

import attrs
import pytest

from ..relay.models import Endpoint, RetryPolicy, Share
from .relays_in_memory import (
    ScriptedRunner,
    answer_normally,
    find_header,
    make_configuration,
    make_route,
    make_runner,
    run_relay,
)

pytestmark = pytest.mark.anyio

SAFE = make_route(RetryPolicy.SAFE)


async def test_deployment_without_accounts_needs_no_keys():
    runner = ScriptedRunner(answer_normally)
    configuration = attrs.evolve(make_configuration(SAFE), accounts=None)
    async with run_relay(configuration, runner) as relay:
        answer = await relay.call(knapweedrail_key="whatever")
    assert answer.status == 200
    assert find_header(runner.heads[0], "knapweedrail-tenant") is None


async def test_public_route_ignores_keys_and_tenant_header():
    runner = ScriptedRunner(answer_normally)
    route = make_route(RetryPolicy.SAFE, needs_key=False)
    async with run_relay(make_configuration(route), runner) as relay:
        answer = await relay.call(knapweedrail_tenant="farm")
    assert answer.status == 200
    assert find_header(runner.heads[0], "knapweedrail-tenant") is None


async def test_accounts_without_a_budget_are_not_limited():
    async with run_relay(
        make_configuration(SAFE), ScriptedRunner(answer_normally)
    ) as r:
        answer = await r.call(knapweedrail_token_usage="1000000000,1000000000")
        assert r.store.objects.keys() == {("config", "main")}
    assert answer.status == 200


async def test_endpoint_without_runners_is_refused_at_once():
    async with run_relay(make_configuration(SAFE)) as relay:
        answer = await relay.call()
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0


async def test_route_split_over_three_endpoints_reaches_all():
    runners = [ScriptedRunner(answer_normally) for _ in range(3)]
    shares = tuple(Share(name, 1.0) for name in ("e", "f", "g"))
    configuration = make_configuration(make_route(RetryPolicy.SAFE, shares=shares))
    endpoints = {
        name: Endpoint(name=name, health_path="/", max_connections=10)
        for name in ("e", "f", "g")
    }
    configuration = attrs.evolve(configuration, endpoints=endpoints)
    async with run_relay(configuration, *runners) as relay:
        for number, name in enumerate(("e", "f", "g")):
            runner = make_runner(f"i-{number}", runners[number].address)
            relay.table.remove_runner(runner.name, 0.0)
            relay.table.prune(10.0)
            relay.table.set_runner(attrs.evolve(runner, endpoint=name))
        for number in range(30):
            answer = await relay.call(knapweedrail_request_id=f"id-{number}")
            assert answer.status == 200
    assert all(runner.heads for runner in runners)


async def test_single_relay_can_reserve_most_of_the_budget():
    """One request needs 900 of the 1000 tokens left, and there is no other relay."""
    configuration = make_configuration(SAFE, prepaid=1000)
    async with run_relay(configuration, ScriptedRunner(answer_normally)) as relay:
        answer = await relay.call(knapweedrail_token_usage="700,200")
    assert answer.status == 200


async def test_request_without_identity_is_malformed():
    async with run_relay(
        make_configuration(SAFE), ScriptedRunner(answer_normally)
    ) as r:
        answer = await r.call(knapweedrail_request_id="")
    assert answer.status == 400


async def test_unparsable_request_headers_are_ignored():
    """Token usage, deadline, prompt prefix and event ID that can't be parsed are
    treated as missing."""
    runner = ScriptedRunner(answer_normally)
    async with run_relay(make_configuration(SAFE, prepaid=10), runner) as relay:
        answer = await relay.call(
            knapweedrail_token_usage="many,few",
            knapweedrail_deadline_ms="soon",
            knapweedrail_prompt_prefix=",,:x,a:,:5",
            last_event_id="nan",
        )
    assert answer.status == 200
    assert 0 < int(find_header(runner.heads[0], "knapweedrail-deadline-ms")) <= 3000
