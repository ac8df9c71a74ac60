"""Refusal of prompts that would wait too long at every runner."""

import random
import time

import anyio
import pytest

from ..relay.models import RetryPolicy
from ..relay.runners import RunnerTable
from ..relay.scheduling.queue_wait import (
    MAX_WAIT_FACTOR,
    compute_retry_after,
    estimate_shortest_wait,
)
from .relays_in_memory import (
    ScriptedRunner,
    make_answer,
    make_configuration,
    make_route,
    make_runner,
    run_relay,
)

pytestmark = pytest.mark.anyio

PROMPT = {"knapweedrail_prompt_prefix": "aa:100,bb:50"}
OBJECTIVE_SECONDS = 0.5
PREFILL_SECONDS = 0.1
"""Time in which the simulated runner prefills one prompt."""

CALLER_TIMEOUT_SECONDS = 2.0


def make_stream(objective):
    return make_route(RetryPolicy.STREAM, objective=objective)


class SimulatedQueue:
    """One runner that prefills prompts one after another, and callers that time out.

    Args:
        unbounded: Whether to queue all prompts, instead of refusing some.
    """

    def __init__(self, unbounded):
        self.unbounded = unbounded
        self.table = RunnerTable(grace_seconds=1.9)
        self.table.set_runner(make_runner("i-0"))
        self.view = self.table.list_views("e", 0.0)[0]
        self.free_at = 0.0
        self.first_byte_waits = []
        self.wasted_prefills = 0
        self.refused = 0
        self._queue = []

    def arrive(self, now):
        self._prefill(now)
        wait = estimate_shortest_wait([self.view], 0, now)
        retry_after = compute_retry_after(
            wait, make_stream(OBJECTIVE_SECONDS), random.Random(1)
        )
        if not self.unbounded and retry_after is not None:
            self.refused += 1
            return
        attempt = object()
        self.table.record_sent(self.view, 100, attempt, 0, now)
        self._queue.append((now, attempt))

    def _prefill(self, now):
        while self._queue:
            sent_at, attempt = self._queue[0]
            end = max(self.free_at, sent_at) + PREFILL_SECONDS
            if end > now:
                return
            self._queue.pop(0)
            self.free_at = end
            self.table.record_prefill_end(self.view, 100, attempt)
            self.table.record_prefill_wait(self.view, end - sent_at, False, end)
            if end - sent_at > CALLER_TIMEOUT_SECONDS:
                self.wasted_prefills += 1
            else:
                self.first_byte_waits.append(end - sent_at)


def simulate(unbounded, per_second, seconds=20):
    queue = SimulatedQueue(unbounded)
    for number in range(per_second * seconds):
        queue.arrive(number / per_second)
    return queue


def test_overloaded_runner_prefills_no_abandoned_prompts():
    """A network partition leaves a data centre with one runner, which gets half again
    as many prompts as it can prefill. In an unbounded queue nearly all are prefilled
    after their callers have timed out, and each of those callers is charged for it."""
    unbounded_queue = simulate(unbounded=True, per_second=15)
    bounded_queue = simulate(unbounded=False, per_second=15)
    assert unbounded_queue.wasted_prefills > 100
    assert bounded_queue.wasted_prefills == 0
    assert len(bounded_queue.first_byte_waits) > 2 * len(
        unbounded_queue.first_byte_waits
    )
    assert max(bounded_queue.first_byte_waits) < CALLER_TIMEOUT_SECONDS / 2


def test_no_prompt_is_refused_when_the_runner_keeps_up():
    queue = simulate(unbounded=False, per_second=9)
    assert queue.refused == 0


def test_hung_runner_does_not_block_idle_ones():
    """One runner hangs with a prompt waiting. The other runners are idle, so the next
    caller must not be refused."""
    table = RunnerTable(grace_seconds=1.9)
    for name in ("i-0", "i-1"):
        table.set_runner(make_runner(name))
    views = table.list_views("e", 0.0)
    table.record_sent(views[0], 100, object(), 0, 0.0)
    assert estimate_shortest_wait(views, 0, 60.0) == 0.0


def test_observed_wait_decays_as_fast_as_a_queue_can_shrink():
    """This relay's last prompt at an overloaded runner was just abandoned. Prompts of
    other relays are still queued there, so the next one would wait as long."""
    table = RunnerTable(grace_seconds=1.9)
    table.set_runner(make_runner("i-0"))
    views = table.list_views("e", 0.0)
    table.record_prefill_wait(views[0], 2.0, True, 2.0)
    assert estimate_shortest_wait(views, 0, 2.5) == 1.5
    assert estimate_shortest_wait(views, 0, 4.0) == 0.0


def test_wait_of_a_finished_long_prompt_counts_only_while_others_wait():
    """The prefill of a long prompt took half a second at the only runner. Nothing is
    queued there any more, so the next caller must not be refused."""
    table = RunnerTable(grace_seconds=1.9)
    table.set_runner(make_runner("i-0"))
    views = table.list_views("e", 0.0)
    table.record_prefill_wait(views[0], 0.6, False, 1.0)
    assert estimate_shortest_wait(views, 0, 1.1) == 0.0
    table.record_load_report(views[0], running=4, waiting=3, now=1.0)
    assert estimate_shortest_wait(views, 0, 1.1) == pytest.approx(0.5)


def test_less_urgent_prompts_do_not_delay_urgent_ones():
    table = RunnerTable(grace_seconds=1.9)
    table.set_runner(make_runner("i-0"))
    views = table.list_views("e", 0.0)
    table.record_sent(views[0], 100, object(), 3, 0.0)
    assert estimate_shortest_wait(views, 1, 5.0) == 0.0
    assert estimate_shortest_wait(views, 3, 5.0) == 5.0


async def test_prompt_that_cannot_start_in_time_is_refused_at_once():
    """The only runner has a long queue. If the prompt joined it, the caller would wait
    until its deadline, and its account would pay for a prompt that was never
    prefilled."""

    async def hang(stream, head):
        await anyio.sleep(30)
        await stream.send(make_answer(head))
        return True

    runner = ScriptedRunner(hang)
    objective = 1.0
    configuration = make_configuration(make_stream(objective), prepaid=1000)
    async with run_relay(configuration, runner) as relay:
        async with anyio.create_task_group() as group:

            async def call_and_give_up():
                usage = {"knapweedrail_token_usage": "100,10"}
                await relay.call(disconnects_after=2.0, **PROMPT, **usage)

            group.start_soon(call_and_give_up)
            while not runner.heads:
                await anyio.sleep(0.01)
            await anyio.sleep(1.5 * MAX_WAIT_FACTOR * objective)
            began_at = time.monotonic()
            usage = {"knapweedrail_token_usage": "100,10"}
            answer = await relay.call(knapweedrail_request_id="id-2", **PROMPT, **usage)
            seconds = time.monotonic() - began_at
        balance = relay.holdings._get_holding("farm").allowance.balance
    assert answer.status == 503
    assert b'"ran":"not run"' in answer.body
    assert float(answer.headers["retry-after"]) >= MAX_WAIT_FACTOR * objective
    assert seconds < objective
    assert len(runner.heads) == 1
    # Only the first caller's prompt is charged, as the runner may have prefilled it.
    assert balance.spent == 100
