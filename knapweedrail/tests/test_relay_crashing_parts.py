"""Tests that requests with a prompt part which crashes runners are refused."""

import contextlib

import anyio
import pytest

from ..relay.models import RetryPolicy
from .crashing_runners import CrashingRunners, has_crashing_part
from .relays_in_memory import make_configuration, make_route, make_runner, run_relay

pytestmark = pytest.mark.anyio

STREAM = make_route(RetryPolicy.STREAM, max_runners=1)
SHARED = "a0:40"
"""First part of all prompts."""

ALLOWED_CRASHES = 5
ALLOWED_LATE = 3
"""Arrivals allowed after all hosts have to know of the crashes."""

SETTLED_SECONDS = 0.2


@contextlib.asynccontextmanager
async def run_crashing_runners(relay, count, **changes):
    """Run runners beside a relay in memory."""
    runners = CrashingRunners(
        has_crashing_part,
        lambda name, address: relay.table.set_runner(make_runner(name, address)),
        lambda name: relay.table.remove_runner(name, float("-inf")),
        event_count=5,
        **changes,
    )
    async with anyio.create_task_group() as group:
        runners.start(count, group)
        await anyio.wait_all_tasks_blocked()
        yield runners
        group.cancel_scope.cancel()


async def send(relay, number, *parts):
    """Send a request that no other one is like."""
    prompt = ",".join([*parts, f"f{number:06x}:7"])
    return await relay.call(
        body=b"%d" % number,
        knapweedrail_request_id=f"id-{number}",
        knapweedrail_token_usage="60,20",
        knapweedrail_prompt_prefix=prompt,
    )


@pytest.mark.parametrize("sends_first", [False, True])
async def test_requests_with_a_crashing_part_are_refused(sends_first):
    """No two requests are alike, so each crash counts against another content."""
    async with (
        run_relay(make_configuration(STREAM)) as relay,
        run_crashing_runners(relay, 20, sends_first=sends_first) as runners,
    ):
        answers = []
        for number in range(ALLOWED_CRASHES + ALLOWED_LATE + 4):
            answers.append(await send(relay, number, SHARED, "bad0:5"))
            await anyio.sleep(SETTLED_SECONDS)
        assert len(runners.arrivals) <= ALLOWED_CRASHES
        assert answers[-1].status == 503
        assert b"quarantined" in answers[-1].body


@pytest.mark.parametrize("sends_first", [False, True])
async def test_requests_that_share_other_parts_are_served(sends_first):
    """Refusing what shares the caller, the first part or the last one with requests
    that crash runners would refuse all requests of the route."""
    async with (
        run_relay(make_configuration(STREAM)) as relay,
        run_crashing_runners(
            relay, 6, sends_first=sends_first, return_seconds=0.3
        ) as runners,
    ):
        served = []

        async def send_sound(number):
            answer = await send(relay, number, SHARED, f"c{number % 9}:9")
            served.append(answer.complete and answer.status == 200)

        async with anyio.create_task_group() as group:
            for number in range(0, 200, 2):
                group.start_soon(send_sound, number)
                if number % 8 == 0:
                    group.start_soon(send, relay, number + 1, SHARED, "bad0:5")
                await anyio.sleep(0.05)
        assert len(runners.arrivals) <= ALLOWED_CRASHES + ALLOWED_LATE
        assert sum(served[-50:]) == 50


async def test_last_part_of_a_prompt_is_not_counted():
    """The last part belongs to one request, whose whole content is counted already."""
    async with (
        run_relay(make_configuration(STREAM)) as relay,
        run_crashing_runners(relay, 20) as runners,
    ):
        for number in range(2 * ALLOWED_CRASHES):
            await relay.call(
                body=b"%d" % number,
                knapweedrail_request_id=f"id-{number}",
                knapweedrail_token_usage="60,20",
                knapweedrail_prompt_prefix=f"b{number}:5,bad0:7",
            )
            await anyio.sleep(SETTLED_SECONDS)
        assert len(runners.arrivals) == 2 * ALLOWED_CRASHES
