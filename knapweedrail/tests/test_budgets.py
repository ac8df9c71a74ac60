"""The budget task against a platform and neighbours in memory."""

from contextlib import asynccontextmanager

import anyio
import pytest

from ..budget_messages import (
    Claim,
    ClaimMade,
    ClaimStands,
    Describe,
    Drain,
    Drained,
    FinishClaim,
    HandOver,
    MakeClaim,
    Recover,
    Reservation,
    Reserve,
    Settle,
    Settled,
)
from ..budgets import BudgetTask
from ..ledgers import Ledger, decode_ledger, encode_ledger
from ..models import Bill, Rules
from ..outcomes import Ran, Refusal, RefusalKind
from .fakes import MemoryNeighbours, MemoryPlatform, MemoryRegistry, make_holder

RULES = Rules(allowance_seconds=2.0, cover_seconds=600.0)
OPENING = {"meadow": 10_000, "ridge": 500}
CLAIM = MakeClaim("meadow-desk", "slot-7", "print", "booking")


class Fleet:
    """Routers of one data centre over one platform."""

    def __init__(self, group):
        self.group = group
        self.platform = MemoryPlatform()
        self.registry = MemoryRegistry()

    async def add(self, name, incarnation=1, **settings):
        holder = make_holder(name, incarnation)
        task = BudgetTask(
            holder,
            "split-a",
            self.platform.seen_by(name),
            MemoryNeighbours(self.registry, holder),
            lambda: RULES,
            OPENING.get,
            flush_seconds=0.05,
            commit_seconds=0.02,
            poll_seconds=0.1,
            seed=1,
            **settings,
        )
        self.registry.add(task)
        await task.start(self.group)
        return task

    def read(self):
        return decode_ledger(self.platform.objects["ledger/0"][0])


@asynccontextmanager
async def run_fleet():
    async with anyio.create_task_group() as group:
        yield Fleet(group)
        group.cancel_scope.cancel()


async def wait_for(condition):
    with anyio.fail_after(10):
        while not condition():
            await anyio.sleep(0.01)


def check_sums(ledger):
    for record in ledger.budgets.values():
        assert record.available >= 0
        assert record.spent <= record.limit


async def spend(task, budget, tokens, identity, used=None):
    answer = await task.ask(Reserve(budget, tokens, 2.0))
    if isinstance(answer, Reservation):
        used = tokens if used is None else used
        bill = Bill(f"{budget}-desk", identity, budget, used, "rosters")
        await task.ask(Settle(answer, used, bill))
    return answer


async def books_agree(task, fleet):
    """Return whether ledger and router agree, as they must with nothing under way."""
    described = await task.ask(Describe())
    held = sum(item.free + item.reserve for item in described.holdings)
    record = fleet.read().budgets["meadow"]
    return held + record.spent + record.available == record.limit


@pytest.mark.anyio
async def test_bill_stands_before_the_answer_ends():
    """A router is killed right after the end of an answer.

    The bill stands in the ledger by then, else the request would be free. With the
    platform away the answer isn't held up; its bill is written when that is back.
    """
    async with run_fleet() as fleet:
        task = await fleet.add("r1")
        first = await task.ask(Reserve("meadow", 300))
        second = await task.ask(Reserve("meadow", 300))
        bill = Bill("desk", "roster-1", "meadow", 120, "rosters")
        assert await task.ask(Settle(first, 120, bill)) == Settled(written=True)
        ledger = fleet.read()
        assert ledger.bills["desk:roster-1"] == bill
        assert ledger.budgets["meadow"].spent == ledger.budgets["meadow"].billed == 120
        fleet.platform.away = True
        bill = Bill("desk", "roster-2", "meadow", 80, "rosters")
        assert await task.ask(Settle(second, 80, bill)) == Settled(written=False)
        fleet.platform.away = False
        await wait_for(lambda: fleet.read().budgets["meadow"].billed == 200)
        check_sums(fleet.read())


@pytest.mark.anyio
async def test_last_tokens_are_found_wherever_they_lie():
    """A budget runs low while two routers hold parts of it.

    The one that has too little for a request records that it wants more, and the
    other gives back what it holds idle. Without that a caller is refused although
    the account has tokens.
    """
    async with run_fleet() as fleet:
        one, two = await fleet.add("r1"), await fleet.add("r2")
        assert isinstance(await spend(one, "ridge", 100, "a"), Reservation)
        assert isinstance(await spend(two, "ridge", 100, "b"), Reservation)
        assert isinstance(await spend(one, "ridge", 300, "c"), Reservation)
        refusal = await spend(two, "ridge", 10, "d")
        assert refusal.kind is RefusalKind.BUDGET_SPENT
        assert refusal.ran is Ran.NOT_RUN
        await wait_for(lambda: fleet.read().budgets["ridge"].billed == 500)


@pytest.mark.anyio
async def test_platform_away_serves_on_from_neighbours_and_refuses_at_once():
    """The platform is away while callers go on asking.

    Requests are served from the own allowance and from what neighbours hold for it;
    after that a caller is told at once that the rest is out of reach, not that the
    budget is spent.
    """
    async with run_fleet() as fleet:
        one, two = await fleet.add("r1"), await fleet.add("r2")
        for number in range(20):
            await spend(one, "meadow", 50, f"one-{number}")
            await spend(two, "meadow", 50, f"two-{number}")
        await wait_for(lambda: fleet.read().budgets["meadow"].billed == 2000)
        await anyio.sleep(0.3)
        fleet.platform.away = True
        served = 0
        while True:
            answer = await spend(one, "meadow", 50, f"cut-{served}")
            if isinstance(answer, Refusal):
                break
            served += 1
        assert answer.kind is RefusalKind.BUDGET_OUT_OF_REACH
        assert answer.retry_after
        own_share = fleet.read().budgets["meadow"].shares["r1/1"].unspent_allowance
        assert served * 50 > own_share
        refusal = await one.ask(CLAIM)
        assert refusal.kind is RefusalKind.NO_CLAIM
        assert refusal.ran is Ran.NOT_RUN
        fleet.platform.away = False
        await wait_for(
            lambda: fleet.read().budgets["meadow"].billed == 2000 + served * 50
        )
        check_sums(fleet.read())


@pytest.mark.anyio
async def test_lost_answers_bill_once():
    """The platform takes a write and its answer is lost, many times over.

    A writer that wrote again without reading back would bill a request twice or hold
    a grant twice.
    """
    async with run_fleet() as fleet:
        task = await fleet.add("r1")
        for number in range(10):
            fleet.platform.lose_answers = 2
            answer = await spend(task, "meadow", 100, f"roster-{number}")
            assert isinstance(answer, Reservation)
        await wait_for(lambda: len(fleet.read().bills) == 10)
        record = fleet.read().budgets["meadow"]
        assert (record.billed, record.spent) == (1000, 1000)
        with anyio.fail_after(10):
            while not await books_agree(task, fleet):
                await anyio.sleep(0.01)


@pytest.mark.anyio
async def test_claim_is_made_once_over_all_routers():
    """A caller sends a slot confirmation again and the retry reaches another router.

    The second router finds the claim and doesn't send; a flock booked twice would
    get two gangs.
    """
    async with run_fleet() as fleet:
        one, two = await fleet.add("r1"), await fleet.add("r2")
        answers = []

        async def claim(task):
            answers.append(await task.ask(CLAIM))

        async with anyio.create_task_group() as group:
            group.start_soon(claim, one)
            group.start_soon(claim, two)
        kinds = sorted(type(answer).__name__ for answer in answers)
        assert kinds == ["ClaimMade", "ClaimStands"]
        winner = fleet.read().claims["meadow-desk:slot-7"].holder
        task = one if winner == "r1/1" else two
        done = FinishClaim("meadow-desk", "slot-7", "done", 200, "", b"\xff ok")
        assert await task.ask(done) == Settled(written=True)
        answer = await one.ask(CLAIM)
        assert isinstance(answer, ClaimStands)
        assert answer.claim == Claim(
            "meadow-desk",
            "slot-7",
            winner,
            "print",
            "booking",
            "done",
            200,
            "",
            b"\xff ok",
        )


@pytest.mark.anyio
async def test_claim_given_up_is_removed_when_its_write_lands():
    """A claim's write hangs, the caller is told "not run", and the write lands later.

    The claim would stand for a request that never ran, and the caller's retry be told
    that its outcome is unknown. So the router removes it once it sees it.
    """
    async with run_fleet() as fleet:
        task = await fleet.add("r1")
        await spend(task, "meadow", 10, "a")
        await wait_for(lambda: fleet.read().bills)
        fleet.platform.lose_answers = 1
        fleet.platform.delay_writes = 0
        answer = await task.ask(CLAIM)
        if isinstance(answer, Refusal):
            assert answer.kind is RefusalKind.NO_CLAIM
            await wait_for(lambda: not fleet.read().claims)
            answer = await task.ask(CLAIM)
        assert isinstance(answer, ClaimMade)


@pytest.mark.anyio
async def test_reserve_of_a_dead_router_comes_back():
    """A router dies with tokens held for its neighbours, some of them handed over.

    Once all registered routers have said what they took and that they take no more,
    the rest goes back to the budget. Tokens that it might still spend stay written
    off. When it was only paused, it finds itself fenced.
    """
    async with run_fleet() as fleet:
        one, two = await fleet.add("r1"), await fleet.add("r2")
        for number in range(20):
            await spend(one, "meadow", 50, f"one-{number}")
            await spend(two, "meadow", 50, f"two-{number}")
        await wait_for(lambda: fleet.read().budgets["meadow"].billed == 2000)
        await wait_for(
            lambda: fleet.read().budgets["meadow"].shares["r1/1"].unspent_reserve > 0
        )
        fleet.registry.silent.add(one.holder)
        fleet.platform.cut.add("r1")
        share = fleet.read().budgets["meadow"].shares["r1/1"]
        recovered = await two.ask(Recover(one.holder))
        assert recovered.tokens == share.unspent_reserve
        assert recovered.stranded == share.unspent_allowance
        check_sums(fleet.read())
        fleet.platform.cut.clear()
        await spend(one, "meadow", 1, "late")
        await wait_for(lambda: one.fenced)
        await wait_for(lambda: "r1/1" not in fleet.read().budgets["meadow"].shares)
        check_sums(fleet.read())
        spent = fleet.read().budgets["meadow"].spent
        assert await two.ask(Drain(5.0)) == Drained()
        assert fleet.read().budgets["meadow"].available == 10_000 - spent


@pytest.mark.anyio
async def test_new_router_trades_nothing_with_a_fenced_one():
    """A router starts after another was fenced, and that one wakes and asks it.

    It wasn't asked in the fence round. Were it to hand tokens over, they would be
    spent by one and given back to the budget on behalf of the other.
    """
    async with run_fleet() as fleet:
        one, two = await fleet.add("r1"), await fleet.add("r2")
        for number in range(5):
            await spend(two, "meadow", 50, f"two-{number}")
        fleet.registry.silent.add(one.holder)
        assert (await two.ask(Recover(one.holder))).waits_for == ""
        three = await fleet.add("r3")
        for number in range(5):
            await spend(three, "meadow", 50, f"three-{number}")
        answer = await three.ask(HandOver(one.holder, "meadow", 10, "1"))
        assert answer.tokens == 0
        answer = await three.ask(HandOver(two.holder, "meadow", 10, "1"))
        assert answer.tokens == 10


@pytest.mark.anyio
async def test_silent_neighbour_keeps_a_fence_round_open():
    """A second router is cut off while the first one's reserve is to be reclaimed.

    It may have taken tokens that nobody knows of. Nothing goes back until it answers.
    """
    async with run_fleet() as fleet:
        one, two = await fleet.add("r1"), await fleet.add("r2")
        three = await fleet.add("r3")
        for number in range(5):
            for task in (one, two, three):
                await spend(task, "meadow", 50, f"{task.holder}-{number}")
        await wait_for(lambda: fleet.read().budgets["meadow"].billed == 750)
        fleet.registry.silent |= {one.holder, three.holder}
        recovered = await two.ask(Recover(one.holder))
        assert recovered.tokens == 0
        assert recovered.waits_for == "r3/1"
        fleet.registry.silent.remove(three.holder)
        recovered = await two.ask(Recover(one.holder))
        assert recovered.waits_for == ""


@pytest.mark.anyio
async def test_unreadable_ledger_refuses_and_recovers():
    """A newer program has written the ledger in a format that this one can't read.

    Requests that need it are refused as out of reach; the router goes on, and serves
    again once the ledger can be read.
    """
    async with run_fleet() as fleet:
        task = await fleet.add("r1")
        fleet.platform.objects["ledger/0"] = (b'{"format": 99}', 1)
        refusal = await task.ask(Reserve("meadow", 10))
        assert refusal.kind is RefusalKind.BUDGET_OUT_OF_REACH
        fleet.platform.objects["ledger/0"] = (encode_ledger(Ledger()), 1)
        fleet.platform.revision = 1
        with anyio.fail_after(10):
            while isinstance(await task.ask(Reserve("meadow", 10)), Refusal):
                await anyio.sleep(0.05)


@pytest.mark.anyio
async def test_drain_gives_everything_back():
    """A router is replaced, as hundreds are each day.

    What it leaves behind would be lost to the budget until somebody recovers it.
    """
    async with run_fleet() as fleet:
        one, two = await fleet.add("r1"), await fleet.add("r2")
        for number in range(5):
            await spend(one, "meadow", 50, f"one-{number}")
            await spend(two, "meadow", 50, f"two-{number}")
        assert await one.ask(Drain(5.0)) == Drained()
        ledger = fleet.read()
        assert "r1/1" not in ledger.holders
        assert "r1/1" not in ledger.budgets["meadow"].shares
        refusal = await one.ask(Reserve("meadow", 1))
        assert refusal.kind is RefusalKind.STOPPING
        assert await two.ask(Drain(5.0)) == Drained()
        assert fleet.read().budgets["meadow"].available == 10_000 - 500
