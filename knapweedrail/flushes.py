"""When a router writes to a shard or looks at it, what it writes, what it learns."""

from __future__ import annotations

from collections.abc import Callable

import anyio.abc

from .batches import Look, Post, Posted
from .budget_messages import Settled
from .claims import Claims
from .entries import (
    CLOSED,
    FENCED,
    BillStands,
    Denied,
    Grant,
    Granted,
    NoteFence,
    OpenBudget,
    Outcome,
)
from .events import Event, log_event
from .grants import View, decide_return, find_fair_part, needs_more
from .holdings import Holdings, Waiter
from .ledgers import Ledger
from .models import Holder
from .neighbours import Total
from .outcomes import Refusal, Unavailable
from .shards import PendingRecord, Shard, Work, ignore, list_budget_work
from .transfers import Transfers
from .verdicts import decide_refusal

LOOK_SECONDS = 0.1
"""Least time between looks for waiting requests, so that a spent budget that is asked
for again and again costs ten reads a second and not one for each request."""

AWAY_LOOK_SECONDS = 0.5
"""Time between looks while the platform is away: how late its return is noticed."""

TIGHT_POLL_SECONDS = 0.25
"""Time between looks at a shard where a budget that this router holds has nearly
nothing available: there another's requests may be waiting for these tokens."""

TIGHT_RESERVATIONS = 2
"""A budget with less available than this many of the largest reservations is tight."""


class Flusher:
    """Posts a router's work, looks at the shards and acts on what it sees.

    Args:
        holdings: The router's holdings.
        claims: Its claims.
        transfers: Its way to the neighbours.
        opening_tokens_source: Returns a budget's opening tokens, or ``None``.
        poll_seconds: Time between two looks at a shard in which it holds tokens.
        note_fenced: Called with the reason when the ledger refuses this holder.
        group: Task group for posts and looks under way.
    """

    def __init__(
        self,
        holdings: Holdings,
        claims: Claims,
        transfers: Transfers,
        opening_tokens_source: Callable[[str], int | None],
        poll_seconds: float,
        note_fenced: Callable[[str], None],
        group: anyio.abc.TaskGroup,
    ) -> None:
        self.holdings = holdings
        self.claims = claims
        self.transfers = transfers
        self.opening_tokens_source = opening_tokens_source
        self.poll_seconds = poll_seconds
        self.note_fenced = note_fenced
        self._group = group

    def pump(self, shard: Shard, now: float) -> None:
        """Post what is due, or look when a request waits for a fresh view."""
        if shard.is_due(now):
            self._begin_view(shard, now)
            shard.posting = True
            shard.last_post = now
            self._group.start_soon(self._post, shard, self._compose(shard, now))
            return
        if shard.view_began is None and self._is_look_due(shard, now):
            self._begin_view(shard, now)
            self._group.start_soon(self._look, shard)

    def _begin_view(self, shard: Shard, now: float) -> None:
        shard.started += 1
        shard.view_began = now
        shard.next_look = now + LOOK_SECONDS

    def _is_look_due(self, shard: Shard, now: float) -> bool:
        if now < shard.next_look:
            return False
        if shard.look_wanted:
            return True
        if shard.away:
            return bool(shard.budgets)
        if now < shard.seen_at + min(self.poll_seconds, TIGHT_POLL_SECONDS):
            return False
        if not shard.tight and now < shard.seen_at + self.poll_seconds:
            return False
        return any(self._has_idle(budget) for budget in shard.budgets)

    def _has_idle(self, budget: str) -> bool:
        allowance = self.holdings.get(budget)
        return allowance.free + allowance.reserve > 0

    def _is_tight(self, budget: str) -> bool:
        standing = self.holdings.find_standing(budget)
        if standing is None or not self._has_idle(budget):
            return False
        largest = self.holdings.get(budget).demand.largest(self.holdings.now())
        return standing.available < TIGHT_RESERVATIONS * largest

    def _compose(self, shard: Shard, now: float) -> list[Work]:
        """Gather one batch: totals and grants, bills, claims and their outcomes."""
        shard.urgent = False
        shard.next_flush = now + self.holdings.flush_seconds
        names = self.holdings.waiters
        waiting = {name for name in names if self.holdings.shard_of(name) is shard}
        work = self._compose_greeting(shard)
        for budget in sorted(shard.dirty | waiting):
            work += self._compose_budget(shard, budget, now)
        shard.dirty.clear()
        for bill in shard.take_bills():
            work.append(Work(bill.entry, lambda outcome, b=bill: _end_bill(b, outcome)))
        for claim in shard.take_claims():
            work.append(
                Work(
                    claim.entry,
                    lambda outcome, c=claim: self.claims.handle(shard, c, outcome),
                )
            )
        for end in shard.take_ends():
            work.append(Work(end.entry, lambda outcome, e=end: _end_record(e)))
        return work

    def _compose_greeting(self, shard: Shard) -> list[Work]:
        """Note with the first batch which fences stood when this life began.

        It stands before the first grant. Should this router die, the fence round for
        it needn't wait for those that were fenced before it came.
        """
        if shard.greeted:
            return []
        shard.greeted = True
        me = self.holdings.holder
        fenced = sorted(self.holdings.neighbours.fenced() - {me}, key=str)
        return [Work(self._note_fence(me, holder), ignore) for holder in fenced]

    def _note_fence(self, me: Holder, fenced: Holder) -> NoteFence:
        # From here on nothing is traded with it. Something may have been before: a
        # life can trade before its first batch, and hear of a later fence.
        answer = self.holdings.fence(fenced)
        return NoteFence(
            fenced,
            (me,),
            tuple(Total(me, item.budget, item.tokens) for item in answer.received),
            tuple(Total(me, item.budget, item.tokens) for item in answer.handed),
        )

    def _compose_budget(self, shard: Shard, budget: str, now: float) -> list[Work]:
        allowance = self.holdings.get(budget)
        opening = None
        if shard.needs_opening(budget):
            tokens = self.opening_tokens_source(budget)
            opening = None if tokens is None else OpenBudget(budget, tokens)

        def credit(outcome: Outcome) -> None:
            if isinstance(outcome, Granted):
                allowance.credit(outcome.allowance, outcome.reserve)

        grant = self._make_grant(budget, now)
        return list_budget_work(opening, allowance.report(), grant, ignore, credit)

    def _make_grant(self, budget: str, now: float) -> Grant | None:
        holdings = self.holdings
        if holdings.fenced or holdings.draining:
            return None
        allowance = holdings.get(budget)
        least = max(0, holdings.waiting_tokens(budget) - allowance.free)
        # Own reserve can't be spent, but it can go back and come again as allowance
        # within one write.
        allowance.give_back(0, min(least, allowance.reserve))
        target = holdings.find_target(budget)
        wanted = max(0, least, target.allowance - allowance.free)
        reserve = max(0, target.reserve - allowance.reserve)
        standing = holdings.find_standing(budget)
        if standing is not None and standing.wants and not least:
            # Others' requests wait: nothing is taken ahead of need.
            wanted = reserve = 0
        has_want = standing is not None and standing.want > 0
        if not wanted and not reserve and not has_want:
            return None
        demand = int(allowance.demand.estimate(now))
        weight = int(holdings.find_weight(budget))
        return Grant(budget, wanted, reserve, least, demand, weight)

    async def _post(self, shard: Shard, work: list[Work]) -> None:
        entries = tuple(item.entry for item in work)
        posted: Posted = await shard.task.ask(Post(entries))
        shard.posting = False
        shard.claims_sent = []
        for item, outcome in zip(work, posted.outcomes):
            if isinstance(outcome, Denied) and outcome.reason in (FENCED, CLOSED):
                self.note_fenced(outcome.reason)
            item.handle(outcome)
        shard.answer_unwritten(self.holdings.now())
        self._end_view(shard, posted.ledger)

    async def _look(self, shard: Shard) -> None:
        shard.look_wanted = False
        ledger = await shard.task.ask(Look())
        if isinstance(ledger, Unavailable):
            shard.view_began = None
            shard.next_look = self.holdings.now() + AWAY_LOOK_SECONDS
            return
        self._end_view(shard, ledger)

    def _end_view(self, shard: Shard, ledger: Ledger) -> None:
        now = self.holdings.now()
        shard.view_began = None
        shard.viewed = shard.started
        shard.ledger = ledger
        shard.seen_at = now
        if not self.holdings.fenced and not self.holdings.draining:
            self.holdings.adopt(shard, ledger)
        for budget in sorted(shard.budgets):
            self.holdings.serve(budget)
            self._judge(shard, budget)
            self._adjust(shard, budget)
        shard.tight = any(self._is_tight(budget) for budget in shard.budgets)
        self.pump(shard, now)

    def _judge(self, shard: Shard, budget: str) -> None:
        """Refuse what a fresh view lets refuse; seek tokens for the rest."""
        holdings = self.holdings
        if budget not in holdings.waiters:
            return
        standing = holdings.find_standing(budget)

        def decide(waiter: Waiter) -> Refusal | None:
            if shard.viewed <= waiter.after:
                return None
            tokens = waiter.message.tokens
            return decide_refusal(standing, budget, tokens, "platform")

        holdings.refuse(budget, decide)
        if budget not in holdings.waiters:
            return
        least = holdings.waiting_tokens(budget) - holdings.get(budget).free
        if standing is None or standing.available > 0 or least > standing.want:
            shard.urgent = True
        else:
            shard.look_wanted = True
        self.transfers.seek(budget)

    def _adjust(self, shard: Shard, budget: str) -> None:
        """Give back what others need or what is too much; ask for what is lacking."""
        holdings = self.holdings
        standing = holdings.find_standing(budget)
        if standing is None or holdings.fenced:
            return
        allowance = holdings.get(budget)
        weight = holdings.find_weight(budget)
        view = View(
            free=allowance.free,
            reserve=allowance.reserve,
            target=holdings.find_target(budget),
            waiting=holdings.waiting_tokens(budget),
            fair_part=find_fair_part(standing.left, weight, standing.total_demand),
            available=standing.available,
            wants=standing.wants,
            first=standing.first,
        )
        if needs_more(view) and not holdings.draining:
            holdings.mark(budget)
            return
        back = decide_return(view)
        if allowance.give_back(back.allowance, back.reserve):
            holdings.mark(budget)
            # What nobody waits for goes back with the next flush.
            shard.urgent = shard.urgent or standing.wants > 0


def _end_record(pending: PendingRecord) -> None:
    pending.reply.set(Settled(written=True))


def _end_bill(pending: PendingRecord, outcome: Outcome) -> None:
    _end_record(pending)
    if isinstance(outcome, BillStands):
        bill = pending.entry.bill
        log_event(
            Event.BILL_STANDS,
            account=bill.account,
            identity=bill.identity,
            tokens=bill.tokens,
        )
