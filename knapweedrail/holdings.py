"""What one router holds of all budgets, and the requests that wait for more."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import attrs

from .allowances import Allowance
from .budget_messages import Reservation, Reserve, Settled
from .entries import AddBill, EndClaim, RemoveClaim
from .grants import Target, find_target, find_weight
from .ledgers import Ledger, find_shard
from .models import Holder, Rules
from .neighbours import Neighbours, Received, Total
from .outcomes import Refusal
from .shards import PendingRecord, Shard
from .tasks import Reply
from .verdicts import Standing, find_standing


@attrs.define(eq=False)
class Waiter:
    """A request that waits for tokens.

    Attributes:
        message: What it asked for.
        reply: Where the answer goes.
        deadline: When it is refused at the latest.
        after: Number of the view begun last when it came; later ones are fresh.
    """

    message: Reserve
    reply: Reply
    deadline: float
    after: int


class Holdings:
    """Allowances and waiting requests of one router, by budget.

    Args:
        holder: The router in its present life.
        data_centre: Where it stands.
        shards: Its shards.
        neighbours: The other routers of the data centre.
        rules_source: Returns the rules in force.
        now: Returns seconds of a clock that only rises.
        flush_seconds: Time between two writes that carry totals alone.
        commit_seconds: Least time between two writes that carry bills.
        answer_seconds: Longest wait of a sender for a bill to stand in the ledger.
    """

    def __init__(
        self,
        holder: Holder,
        data_centre: str,
        shards: list[Shard],
        neighbours: Neighbours,
        rules_source: Callable[[], Rules],
        now: Callable[[], float],
        flush_seconds: float,
        commit_seconds: float,
        answer_seconds: float,
    ) -> None:
        self.holder = holder
        self.data_centre = data_centre
        self.shards = shards
        self.neighbours = neighbours
        self.rules_source = rules_source
        self.now = now
        self.flush_seconds = flush_seconds
        self.commit_seconds = commit_seconds
        self.answer_seconds = answer_seconds
        self.fenced = False
        self.draining = False
        self.allowances: dict[str, Allowance] = {}
        self.waiters: dict[str, list[Waiter]] = {}
        self._fenced_holders: set[Holder] = set()
        self._numbers = 0

    def get(self, budget: str) -> Allowance:
        """Return the allowance of a budget, empty at first."""
        if budget not in self.allowances:
            self.allowances[budget] = Allowance(budget, self.now())
            self.shard_of(budget).budgets.add(budget)
        return self.allowances[budget]

    def shard_of(self, name: str) -> Shard:
        """Return the shard of a budget's or an account's name."""
        return self.shards[find_shard(name, len(self.shards))]

    def give(self, waiter: Waiter) -> bool:
        """Answer a request with a reservation if there are enough tokens."""
        message = waiter.message
        if not self.get(message.budget).set_aside(self._numbers + 1, message.tokens):
            return False
        self._numbers += 1
        waiter.reply.set(Reservation(self._numbers, message.budget, message.tokens))
        return True

    def add_waiter(self, waiter: Waiter) -> None:
        """Let a request wait."""
        self.waiters.setdefault(waiter.message.budget, []).append(waiter)

    def serve(self, budget: str) -> None:
        """Give waiting requests what is free, in the order in which they came.

        A large request at the front doesn't hold up small ones behind it: on a budget
        that runs low they would all be refused with it.
        """
        waiting = self.waiters.get(budget, [])
        self._set_waiters(budget, [item for item in waiting if not self.give(item)])

    def refuse(self, budget: str, decide: Callable[[Waiter], Refusal | None]) -> None:
        """Refuse the waiting requests for which ``decide`` gives a refusal."""
        left = []
        for waiter in self.waiters.get(budget, []):
            refusal = decide(waiter)
            if refusal is None:
                left.append(waiter)
            else:
                waiter.reply.set(refusal)
        self._set_waiters(budget, left)

    def refuse_all(self, refusal: Refusal) -> None:
        """Refuse every waiting request."""
        for budget in list(self.waiters):
            self.refuse(budget, lambda waiter: refusal)

    def mark(self, budget: str) -> None:
        """Note that a budget's totals have changed."""
        shard = self.shard_of(budget)
        self.plan_flush(shard)
        shard.dirty.add(budget)

    def plan_flush(self, shard: Shard) -> None:
        """Start the time to the next flush if nothing was waiting for one."""
        if not shard.has_work:
            shard.next_flush = self.now() + self.flush_seconds

    def add_bill(self, entry: AddBill, reply: Reply) -> Shard:
        """Queue a bill; return its shard."""
        shard = self.shard_of(entry.bill.budget)
        self._add_record(shard, shard.bills, entry, reply)
        return shard

    def add_end(
        self, account: str, entry: EndClaim | RemoveClaim, reply: Reply
    ) -> Shard:
        """Queue what came of a claim; return its shard."""
        shard = self.shard_of(account)
        self._add_record(shard, shard.ends, entry, reply)
        return shard

    def _add_record(
        self,
        shard: Shard,
        queue: deque[PendingRecord],
        entry: AddBill | EndClaim | RemoveClaim,
        reply: Reply,
    ) -> None:
        """Queue what must outlive this router: at once after quiet, else in groups.

        For thousands of answers a second in all: each answer's end waits for its
        bill, and a write for each would be more than the platform takes.
        """
        now = self.now()
        self.plan_flush(shard)
        due = max(now, shard.last_post + self.commit_seconds)
        shard.next_flush = min(shard.next_flush, due)
        pending = PendingRecord(entry, reply, now + self.answer_seconds)
        queue.append(pending)
        if shard.away:
            reply.set(Settled(written=False))
        else:
            shard.unanswered.append(pending)

    def waiting_tokens(self, budget: str) -> int:
        """Return the tokens that waiting requests need."""
        waiters = self.waiters.get(budget, ())
        return sum(waiter.message.tokens for waiter in waiters)

    def find_target(self, budget: str) -> Target:
        """Return what to hold of a budget."""
        rules = self.rules_source()
        now = self.now()
        demand = self.get(budget).demand
        standing = self.find_standing(budget)
        return find_target(
            demand.estimate(now),
            standing.centre_demand if standing is not None else 0,
            demand.largest(now),
            len(self.neighbours.list()),
            rules.allowance_seconds,
            rules.cover_seconds,
        )

    def find_weight(self, budget: str) -> float:
        """Return the part of a budget's demand that counts for this router."""
        demand = self.get(budget).demand.estimate(self.now())
        standing = self.find_standing(budget)
        centre_demand = standing.centre_demand if standing is not None else 0
        return find_weight(demand, centre_demand, len(self.neighbours.list()))

    def adopt(self, shard: Shard, ledger: Ledger) -> None:
        """Meet the budgets on which neighbours draw, to hold a reserve for them."""
        mine = {
            name
            for name, record in ledger.holders.items()
            if record.data_centre == self.data_centre
        }
        for budget, record in ledger.budgets.items():
            if budget not in shard.budgets and not mine.isdisjoint(record.shares):
                self.get(budget)
                self.mark(budget)

    def find_shortage(self, budget: str) -> int:
        """Return the tokens missing to the target or to what waits."""
        needed = max(self.waiting_tokens(budget), self.find_target(budget).allowance)
        return needed - self.get(budget).free

    def find_standing(self, budget: str) -> Standing | None:
        """Return what the ledger last seen shows of a budget."""
        ledger = self.shard_of(budget).ledger
        if ledger is None:
            return None
        item = self.get(budget)
        own = item.free + item.reserved + item.reserve
        return find_standing(
            ledger, budget, self.holder, self.data_centre, own, item.spent
        )

    def fence(self, holder: Holder) -> Received:
        """Trade nothing more with a holder, for ever; return what was traded."""
        self._fenced_holders.add(holder)
        received = []
        handed = []
        for budget, allowance in self.allowances.items():
            allowance.forget(holder)
            if holder in allowance.received:
                received.append(Total(holder, budget, allowance.received[holder]))
            if holder in allowance.handed:
                handed.append(Total(holder, budget, allowance.handed[holder]))
        return Received(tuple(received), tuple(handed))

    def may_trade(self, holder: Holder) -> bool:
        """Return whether tokens may move between this router and a holder.

        A router that registered after a fence round wasn't asked in it. It knows of
        the fence by the registry in which its life began.
        """
        return holder not in self._fenced_holders and not self.neighbours.is_over(
            holder
        )

    def return_all(self) -> None:
        """Debit all that no request holds, and have it written."""
        for budget, allowance in self.allowances.items():
            # Of a fenced holder the ledger takes back the allowance alone: its
            # reserve comes back by the fence round.
            if allowance.give_back(allowance.free, allowance.reserve):
                shard = self.shard_of(budget)
                shard.dirty.add(budget)
                shard.urgent = True

    def _set_waiters(self, budget: str, waiters: list[Waiter]) -> None:
        if waiters:
            self.waiters[budget] = waiters
        else:
            self.waiters.pop(budget, None)
