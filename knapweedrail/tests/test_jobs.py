"""Tests of runs: what callers get and what is settled when runners fail."""

import random

import anyio
import orjson
import pytest

from ..budget_messages import Cancel, Reservation, Reserve, Settle
from ..calls import build_generation
from ..dispatch import Dispatcher
from ..endpoints import (
    Completed,
    Crossed,
    EngineClient,
    Piece,
    Rejected,
    RunLost,
    Silent,
    Usage,
)
from ..generations import GenerationJob
from ..models import ENGINE, ClientAccount, Endpoint, Holder, Route, Rules, Runner
from ..outcomes import Ran, Refusal, RefusalKind, Unavailable, Unknown
from ..runs import End, RunTable
from ..schedulers import Scheduler
from ..tasks import Task
from ..work import EndedKind, LoadReport

ACCOUNT = ClientAccount("desk", "budget", ())
ROUTE = Route("llm", "llm", deadline_seconds=20.0)
RUNNERS = tuple(Runner(f"llm-{n}", f"llm-{n}:1", "east") for n in range(3))
ENDPOINT = Endpoint("llm", ENGINE, RUNNERS, slots=2)
TOKENS = 4


class Purse(Task):
    """Budgets that grant everything and remember what was asked."""

    def __init__(self):
        super().__init__("budgets")
        self.settled = []
        self.open = {}

    async def run(self):
        async for envelope in self._receive:
            message = envelope.message
            answer = None
            if isinstance(message, Reserve):
                answer = Reservation(len(self.open), message.budget, message.tokens)
                self.open[answer.id] = answer
            elif isinstance(message, Cancel):
                assert self.open.pop(message.reservation.id)
            elif isinstance(message, Settle):
                assert self.open.pop(message.reservation.id)
                self.settled.append(message)
            envelope.reply.set(answer)


class ScriptedEngines(EngineClient):
    """Engines that answer each request for a stream by the next line of a script."""

    def __init__(self, script):
        super().__init__(1.0)
        self.script = list(script)
        self.asked = []

    async def load(self, address):
        return LoadReport(0, 0, 2, 0.0)

    async def stop(self, address, identity):
        return Usage(3, 2)

    async def stream(self, address, call, resume=None):
        self.asked.append((address, resume))
        for item in self.script.pop(0):
            if item == "wait":
                await anyio.sleep_forever()
            yield item


def piece(offset, last=False):
    """Make the chunk at an offset; the last one carries the usage."""
    choice = {"index": 0, "delta": {"content": f"{offset} "}, "finish_reason": None}
    data = orjson.dumps({"id": "desk:one", "choices": [choice]})
    return Piece(offset, data, Usage(3, TOKENS) if last else None)


def pieces(first=0, count=TOKENS):
    """Make the chunks from ``first`` on; the answer's last one ends it."""
    return [piece(n, last=n == TOKENS - 1) for n in range(first, first + count)]


WHOLE = [*pieces(), Completed()]
BROKEN = Unknown("engine.stream", "llm", "reset")
SILENT = Silent("engine.stream", "llm", "nothing came")
LOST = RunLost("engine.resume", "llm", "status 404")


async def run_script(script, streamed=True, act=None, purse=None):
    """Run one request over scripted engines; return the job, purse and engines."""
    document = {"messages": [{"role": "user", "content": "hi"}], "stream": streamed}
    call = build_generation(ACCOUNT, ROUTE, document, "one", True, 20.0)
    purse, engines = (purse or Purse)(), ScriptedEngines(script)
    dispatcher = Dispatcher(ENDPOINT, "east", Rules(), random.Random(7))
    scheduler = Scheduler(ENDPOINT, dispatcher, engines)
    run = RunTable(60.0, 10**6).begin("desk", "one", call.fingerprint, 0.0).run
    job = GenerationJob(call, run, purse, scheduler, engines, Holder("east-1", 1))
    async with anyio.create_task_group() as group:
        await purse.start(group)
        await scheduler.start(group)
        job.ends = []
        finished = dispatcher.finished

        def note(work_id, runner, outcome, now):
            job.ends.append(outcome.kind)
            return finished(work_id, runner, outcome, now)

        dispatcher.finished = note
        with anyio.fail_after(15):
            if act is None:
                await job.execute()
            else:
                group.start_soon(job.execute)
                await act(job, engines)
                await job.ended.wait()
        assert dispatcher.in_flight == 0
        group.cancel_scope.cancel()
    assert not purse.open
    return job, purse, engines


def read(job):
    """Return the numbers of the chunks that a caller gets, and whether it is whole."""

    async def follow():
        numbers = []
        async for item in job.record.follow():
            if isinstance(item, End):
                return numbers, item.whole
            content = orjson.loads(item.data)["choices"][0]["delta"]["content"]
            numbers.append(int(content))

    return anyio.run(follow)


@pytest.mark.parametrize("failure", [BROKEN, Crossed("engine.stream", "llm", "other")])
def test_a_broken_stream_is_resumed_at_the_first_chunk_not_had(failure):
    """A connection breaks, or brings a chunk of another's answer, in mid-answer.

    The caller notices nothing: every chunk comes once, and one bill is written.
    """
    script = [[*pieces(0, 2), failure], [*pieces(2, 2), Completed()]]
    job, purse, engines = anyio.run(run_script, script)
    assert read(job) == ([0, 1, 2, 3], True)
    assert [resume for _, resume in engines.asked] == [None, 2]
    (settled,) = purse.settled
    assert (settled.used_tokens, settled.bill.tokens) == (7, 7)


@pytest.mark.parametrize(
    "failure",
    [
        Rejected("engine.run", "llm", "status 503", leaving=True),
        Unavailable("engine.connect", "llm", "refused"),
    ],
)
def test_a_runner_that_refuses_costs_neither_the_answer_nor_tokens(failure):
    """A runner that leaves turns a request away, or its port is closed already.

    Without a place asked for in the same step the request would hang; the caller
    gets its answer from another runner, and pays for one run.
    """
    job, purse, engines = anyio.run(run_script, [[failure], WHOLE])
    assert read(job) == ([0, 1, 2, 3], True)
    assert len({address for address, _ in engines.asked}) == 2
    assert [settle.used_tokens for settle in purse.settled] == [7]


def test_a_lost_run_of_a_whole_answer_is_begun_anew_and_billed_once():
    """A runner dies in mid-answer while its caller waits for the whole of it.

    The caller gets a whole answer from another runner and one bill. What the dead
    runner may have used is settled in full, so the budget can't be overspent.
    """
    script = [[*pieces(0, 2), BROKEN], [LOST], WHOLE]
    job, purse, _ = anyio.run(run_script, script, False)
    assert read(job) == ([0, 1, 2, 3], True)
    first, second = purse.settled
    assert first.bill is None
    assert first.used_tokens == first.reservation.tokens
    assert second.bill.tokens == 7


@pytest.mark.parametrize(
    "broke, first, then, kind",
    [
        (SILENT, 0, LOST, EndedKind.SILENT),
        (BROKEN, 0, LOST, EndedKind.FAILED),
        (BROKEN, 2, LOST, EndedKind.CRASHED),
        (BROKEN, 2, Unavailable("engine.connect", "llm", "no"), EndedKind.CRASHED),
    ],
)
def test_only_a_runner_that_is_gone_counts_as_felled(broke, first, then, kind):
    """Something on the way forgets all open connections; requests sent on them vanish.

    Their runners live and know nothing of these runs. If that counted as crashes, two
    such moments would have every innocent request in flight refused as one that fells
    runners, for an hour.
    """
    script = [[*pieces(0, first), broke], [then], WHOLE]
    job, _, _ = anyio.run(run_script, script, False)
    assert job.ends[0] is kind


def test_a_lost_run_of_a_stream_ends_with_an_error_and_no_bill():
    """A runner dies when a part of its answer has reached the caller.

    Another run would give another answer's rest; so the stream ends with an error,
    not with the end mark, and the caller's retry gets a whole answer.
    """
    job, purse, _ = anyio.run(run_script, [[*pieces(0, 2), BROKEN], [LOST]])
    assert read(job) == ([0, 1], False)
    assert job.refusal.kind is RefusalKind.ENDPOINT_FAILED
    assert job.refusal.ran is Ran.UNKNOWN
    assert [settle.bill for settle in purse.settled] == [None]


def test_a_retry_that_is_refused_does_not_claim_that_nothing_ran():
    """The first runner breaks off, and every further one turns the request away.

    The refusal must not say "not run": a part of the request did run.
    """
    refused = [Unavailable("engine.connect", "llm", "refused")]
    script = [[*pieces(0, 1), BROKEN], [LOST], *[refused] * 50]

    async def shorten(job, engines):
        while len(engines.asked) < 4:
            await anyio.sleep(0.01)
        job.give_up()

    job, purse, _ = anyio.run(run_script, script, False, shorten)
    assert job.record.chunks == 0
    assert job.refusal is None or job.refusal.ran is Ran.UNKNOWN
    assert purse.settled[0].used_tokens == purse.settled[0].reservation.tokens


def test_a_caller_that_goes_pays_for_what_ran_until_then():
    """A caller hangs up in mid-answer and does not come back.

    The run is cancelled at the engine and billed by the engine's own count.
    """

    async def hang_up(job, engines):
        await job.started.wait()
        job.give_up()

    script = [[*pieces(0, 2), "wait"]]
    job, purse, _ = anyio.run(run_script, script, True, hang_up)
    (settled,) = purse.settled
    assert (settled.used_tokens, settled.bill.tokens) == (5, 5)


def test_an_engine_that_ignores_the_largest_answer_is_stopped():
    """An engine goes on past the largest answer, as some do.

    Tokens that nobody reserved would be spent; the router stops it and ends the
    answer with the reason "length".
    """
    endless = [piece(n) for n in range(1000)]
    job, purse, engines = anyio.run(run_script, [endless])
    assert job.record.state.value == "whole"
    last = orjson.loads(job.record._chunks[-1])
    assert last["choices"][0]["finish_reason"] == "length"
    assert job.record.chunks <= 512 + 3
    assert purse.settled[0].used_tokens == 5


def test_a_refusal_for_tokens_reaches_the_caller_as_it_is():
    """The budget is spent; nothing may be sent to a runner."""

    class Empty(Purse):
        async def run(self):
            async for envelope in self._receive:
                refusal = Refusal(
                    "b", "p", "spent", RefusalKind.BUDGET_SPENT, Ran.NOT_RUN
                )
                envelope.reply.set(refusal)

    job, _, engines = anyio.run(run_script, [], True, None, Empty)
    assert job.refusal.kind is RefusalKind.BUDGET_SPENT
    assert engines.asked == []
