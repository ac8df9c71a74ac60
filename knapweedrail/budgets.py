"""The task that reserves, settles, claims and hands over tokens for one router."""

from __future__ import annotations

import random
from collections.abc import Callable

import anyio

from .batches import Post, ShardTask
from .budget_messages import (
    Cancel,
    Describe,
    Description,
    Drain,
    Drained,
    DropClaim,
    Fence,
    FinishClaim,
    HandOver,
    Holding,
    MakeClaim,
    Recover,
    Reserve,
    Settle,
    Settled,
)
from .claims import Claims
from .entries import AddBill, CloseHolder
from .events import Event, log_event
from .flushes import Flusher
from .holdings import Holdings, Waiter
from .models import Holder, Rules
from .neighbours import Neighbours
from .outcomes import Ran, Refusal, RefusalKind
from .platforms import Platform
from .recoveries import Evidence, Recovery
from .shards import Shard
from .tasks import Envelope, Reply, Task
from .transfers import Transfers
from .verdicts import RECALL_RETRY_SECONDS, refuse_out_of_reach

TICK_SECONDS = 0.02
"""How late a due flush, look or refusal may be noticed."""

SLOW_SECONDS = 0.25
"""A platform's answer later than this makes waiting requests ask neighbours too."""

FENCED_DRAIN_SECONDS = 3600.0
"""How long a holder that finds itself fenced goes on settling what is under way, to
give its allowance back. Nothing depends on it but how much is written off."""


class BudgetTask(Task):
    """Tokens of all budgets in the hands of one router.

    Args:
        holder: This router in its present life.
        data_centre: Where it stands.
        platform: Client of the platform.
        neighbours: The other routers of the data centre.
        rules_source: Returns the rules in force.
        opening_tokens_source: Returns a budget's opening tokens, or ``None`` when the
            configuration in force doesn't have it.
        shards: Number of ledger shards; the same in every router, for ever.
        flush_seconds: Time between two writes that carry totals alone.
        commit_seconds: Least time between two writes that carry bills or outcomes of
            claims, whose senders wait for them.
        poll_seconds: Time between two looks at a shard in which this router holds
            tokens.
        claim_seconds: Longest wait for a claim, or for a bill to be written.
        evidence: Kinds of evidence asked about holders that are gone.
        now: Returns seconds of a clock that only rises.
        seed: Seed of the jitter.
        report_fenced: Called once when this holder finds itself fenced. The router
            then needs a new incarnation and a new task.
    """

    def __init__(
        self,
        holder: Holder,
        data_centre: str,
        platform: Platform,
        neighbours: Neighbours,
        rules_source: Callable[[], Rules],
        opening_tokens_source: Callable[[str], int | None],
        *,
        shards: int = 1,
        flush_seconds: float = 2.0,
        commit_seconds: float = 0.25,
        poll_seconds: float = 1.0,
        claim_seconds: float = 2.0,
        evidence: tuple[Evidence, ...] = (),
        now: Callable[[], float] = anyio.current_time,
        seed: int | None = None,
        report_fenced: Callable[[], None] = lambda: None,
    ) -> None:
        super().__init__("budgets")
        self.holder = holder
        self.data_centre = data_centre
        self.platform = platform
        self.opening_tokens_source = opening_tokens_source
        self.poll_seconds = poll_seconds
        self.now = now
        self.rng = random.Random(seed)
        self.report_fenced = report_fenced
        self._shards = [self._make_shard(number) for number in range(shards)]
        self._holdings = Holdings(
            holder,
            data_centre,
            self._shards,
            neighbours,
            rules_source,
            now,
            flush_seconds,
            commit_seconds,
            claim_seconds,
        )
        self._claims = Claims(self._holdings, claim_seconds)
        self._recovery = Recovery(self._holdings, evidence)
        self._transfers: Transfers | None = None
        self._flusher: Flusher | None = None
        self._group: anyio.abc.TaskGroup | None = None
        self._handlers = {
            Reserve: self._reserve,
            Settle: self._settle,
            Cancel: self._cancel,
            MakeClaim: self._make_claim,
            FinishClaim: self._finish_claim,
            DropClaim: self._drop_claim,
            HandOver: self._hand_over,
            Fence: self._fence,
            Recover: self._recover,
            Drain: self._drain,
            Describe: self._describe,
        }

    @property
    def fenced(self) -> bool:
        """Whether this holder has found itself fenced."""
        return self._holdings.fenced

    async def run(self) -> None:
        async with anyio.create_task_group() as group:
            self._group = group
            self._transfers = Transfers(
                self._holdings, self.data_centre, self.rng, group
            )
            self._flusher = Flusher(
                self._holdings,
                self._claims,
                self._transfers,
                self.opening_tokens_source,
                self.poll_seconds,
                self._note_fenced,
                group,
            )
            for shard in self._shards:
                await shard.task.start(group)
            group.start_soon(self._tick)
            async for envelope in self._receive:
                self._handle(envelope)

    def _handle(self, envelope: Envelope) -> None:
        handler = self._handlers[type(envelope.message)]
        handler(envelope.message, envelope.reply)

    # Reservations

    def _reserve(self, message: Reserve, reply: Reply) -> None:
        holdings = self._holdings
        now = self.now()
        if holdings.fenced or holdings.draining:
            reply.set(self._refuse_stopping())
            return
        budget = message.budget
        holdings.get(budget).demand.note_reservation(message.tokens, now)
        shard = holdings.shard_of(budget)
        deadline = now + message.wait_seconds
        waiter = Waiter(message, reply, deadline, shard.started)
        if holdings.give(waiter):
            self._transfers.seek_ahead(budget)
            return
        holdings.add_waiter(waiter)
        if shard.away:
            self._transfers.seek(budget)
            return
        standing = holdings.find_standing(budget)
        if standing is not None and standing.left < message.tokens:
            # A read is enough to refuse it, and costs less than a write.
            shard.look_wanted = True
        else:
            shard.urgent = True
        self._flusher.pump(shard, now)

    def _settle(self, message: Settle, reply: Reply) -> None:
        holdings = self._holdings
        reservation = message.reservation
        used = message.used_tokens
        allowance = holdings.get(reservation.budget)
        if not allowance.settle(reservation.id, used, self.now()):
            reply.set(Settled(written=False))
            return
        if used > reservation.tokens:
            log_event(
                Event.RESERVATION_EXCEEDED,
                budget=reservation.budget,
                reserved=reservation.tokens,
                used=used,
            )
        holdings.mark(reservation.budget)
        holdings.serve(reservation.budget)
        if message.bill is None:
            reply.set(Settled(written=False))
            return
        shard = holdings.add_bill(AddBill(message.bill), reply)
        self._flusher.pump(shard, self.now())

    def _cancel(self, message: Cancel, reply: Reply) -> None:
        self._settle(Settle(message.reservation, 0), reply)

    def _refuse_stopping(self) -> Refusal:
        detail = "this router is fenced" if self.fenced else "this router is stopping"
        return Refusal(
            "budget.reserve",
            str(self.holder),
            detail,
            RefusalKind.STOPPING,
            Ran.NOT_RUN,
            1.0,
        )

    # Claims

    def _make_claim(self, message: MakeClaim, reply: Reply) -> None:
        shard = self._claims.make(message, reply)
        if shard is not None:
            self._flusher.pump(shard, self.now())

    def _finish_claim(self, message: FinishClaim, reply: Reply) -> None:
        shard = self._claims.finish(message, reply)
        self._flusher.pump(shard, self.now())

    def _drop_claim(self, message: DropClaim, reply: Reply) -> None:
        shard = self._claims.drop(message, reply)
        self._flusher.pump(shard, self.now())

    # Neighbours

    def _hand_over(self, message: HandOver, reply: Reply) -> None:
        reply.set(self._transfers.hand_over(message))

    def _fence(self, message: Fence, reply: Reply) -> None:
        reply.set(self._holdings.fence(message.holder))

    def _recover(self, message: Recover, reply: Reply) -> None:
        async def run() -> None:
            reply.set(await self._recovery.run(message.holder))

        self._group.start_soon(run)

    # Time

    async def _tick(self) -> None:
        while True:
            await anyio.sleep(TICK_SECONDS)
            now = self.now()
            if not self.fenced and self._holdings.neighbours.is_over(self.holder):
                self._note_fenced("the registry says so")
            for budget in list(self._holdings.waiters):
                self._check_waiters(budget, now)
            for shard in self._shards:
                self._claims.refuse(shard, lambda pending: now >= pending.deadline)
                shard.answer_unwritten(now)
                self._flusher.pump(shard, now)

    def _check_waiters(self, budget: str, now: float) -> None:
        detail = f"budget {budget}: its tokens are elsewhere and didn't come in time"
        refusal = refuse_out_of_reach(detail, "platform", RECALL_RETRY_SECONDS)
        self._holdings.refuse(
            budget, lambda waiter: refusal if now >= waiter.deadline else None
        )
        if budget not in self._holdings.waiters:
            return
        shard = self._holdings.shard_of(budget)
        began = shard.view_began
        if shard.away or (began is not None and now - began > SLOW_SECONDS):
            self._transfers.seek(budget)

    def _note_away(self, shard: Shard, away: bool) -> None:
        shard.away = away
        if not away:
            return
        self._claims.refuse(shard, lambda pending: True)
        shard.answer_unwritten(self.now())
        for budget in list(self._holdings.waiters):
            if self._holdings.shard_of(budget) is shard:
                self._transfers.seek(budget)

    def _note_fenced(self, reason: str) -> None:
        """Take nothing new, settle what is under way, give the allowance back."""
        if self.fenced:
            return
        self._holdings.fenced = True
        log_event(Event.HOLDER_FENCED, holder=str(self.holder), reason=reason)
        self._holdings.refuse_all(self._refuse_stopping())
        self.report_fenced()
        self._group.start_soon(self._run_drain, FENCED_DRAIN_SECONDS, Reply())

    # End

    def _drain(self, message: Drain, reply: Reply) -> None:
        self._holdings.draining = True
        self._holdings.refuse_all(self._refuse_stopping())
        self._group.start_soon(self._run_drain, message.seconds, reply)

    async def _run_drain(self, seconds: float, reply: Reply) -> None:
        holdings = self._holdings
        with anyio.move_on_after(seconds):
            while any(item.reserved for item in holdings.allowances.values()):
                holdings.return_all()
                await anyio.sleep(TICK_SECONDS)
            while self._is_unfinished():
                for shard in self._shards:
                    shard.urgent = shard.has_work
                await anyio.sleep(TICK_SECONDS)
            for shard in self._shards:
                if shard.ledger is not None:
                    await shard.task.ask(Post((CloseHolder(),)))
            reply.set(Drained())
            return
        reply.set(self._count_left())

    def _is_unfinished(self) -> bool:
        # First, as a grant that was under way may have come meanwhile.
        self._holdings.return_all()
        return any(shard.has_work or shard.posting for shard in self._shards)

    def _count_left(self) -> Drained:
        tokens = 0
        for allowance in self._holdings.allowances.values():
            tokens += allowance.reserved + max(0, allowance.free)
        bills = sum(len(shard.bills) for shard in self._shards)
        claims = sum(len(shard.ends) for shard in self._shards)
        return Drained(tokens, bills, claims)

    def _describe(self, message: Describe, reply: Reply) -> None:
        holdings = self._holdings
        now = self.now()
        items = tuple(
            Holding(
                budget,
                item.free,
                item.reserved,
                item.reserve,
                item.spent,
                item.demand.estimate(now),
                len(holdings.waiters.get(budget, ())),
            )
            for budget, item in sorted(holdings.allowances.items())
        )
        away = any(shard.away for shard in self._shards)
        bills = sum(len(shard.bills) for shard in self._shards)
        reply.set(Description(self.holder, self.fenced, away, items, bills))

    def _make_shard(self, number: int) -> Shard:
        def report_away(away: bool) -> None:
            self._note_away(shard, away)

        task = ShardTask(
            number,
            self.holder,
            self.data_centre,
            self.platform,
            random.Random(self.rng.random()),
            report_away,
        )
        shard = Shard(task)
        return shard
