"""What one router has to write to one shard, and what it last saw of it."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import attrs

from .batches import ShardTask
from .budget_messages import Settled
from .entries import (
    AddBill,
    AddClaim,
    EndClaim,
    Entry,
    Grant,
    OpenBudget,
    Outcome,
    RemoveClaim,
)
from .ledgers import Ledger
from .tasks import Reply

CLAIM_GAP_SECONDS = 0.1
"""Least time between two posts for claims alone. A claim waits no longer than this
before its request leaves; claims that come meanwhile share one write."""

BILLS_AT_ONCE = 500
"""Bills in one batch: after a long outage thousands wait, and a batch with all of
them would outgrow the object."""

CLAIMS_AT_ONCE = 200
"""Claims in one batch, each under a kilobyte."""

ENDS_AT_ONCE = 20
"""Outcomes of claims in one batch: each may bring an answer of four kilobytes."""


@attrs.define(eq=False)
class PendingClaim:
    """A claim on its way; the caller's answer is given once.

    Attributes:
        entry: The claim.
        reply: Where the answer goes.
        deadline: When the caller is refused, whatever becomes of the write.
        abandoned: Whether the caller was refused; its request never leaves then.
    """

    entry: AddClaim
    reply: Reply
    deadline: float
    abandoned: bool = False


@attrs.define(eq=False)
class PendingRecord:
    """A bill or a claim's outcome on its way to the ledger.

    Attributes:
        entry: What to write.
        reply: Where the answer goes: `Settled`.
        deadline: When it is answered as not written yet.
    """

    entry: AddBill | EndClaim | RemoveClaim
    reply: Reply
    deadline: float


@attrs.frozen
class Work:
    """An entry and what to do with its outcome."""

    entry: Entry
    handle: Callable[[Outcome], None]


def ignore(outcome: Outcome) -> None:
    """Do nothing with an outcome."""


@attrs.define(eq=False)
class Shard:
    """One shard as one router sees it.

    Attributes:
        task: Writes the shard's batches.
        ledger: The ledger last seen.
        seen_at: When it was seen.
        started: Number of the view that was begun last; each post or look is one.
        viewed: Number of the view that ended last.
        view_began: When the view under way began; ``None`` when there is none.
        greeted: Whether the fences that stood when this life began are noted.
        posting: Whether a batch is under way.
        away: Whether the platform failed to answer the last call.
        urgent: Whether to post without waiting for the next flush.
        tight: Whether a budget held here had nearly nothing available when last seen.
        look_wanted: Whether a request waits for a fresh view.
        next_flush: When to post what has gathered.
        next_look: When the next look may begin.
        budgets: Budgets of the shard that this router has met.
        dirty: Budgets whose totals have changed since the last post.
        last_post: When the last batch was begun.
        bills: Bills to write.
        claims: Claims to write.
        claims_sent: Claims in the batch under way.
        ends: Outcomes and removals of claims to write.
        unanswered: Bills and outcomes whose senders wait for their answer.
    """

    task: ShardTask
    ledger: Ledger | None = None
    seen_at: float = -1e9
    started: int = 0
    viewed: int = 0
    view_began: float | None = None
    greeted: bool = False
    posting: bool = False
    away: bool = False
    urgent: bool = False
    tight: bool = False
    look_wanted: bool = False
    next_flush: float = 0.0
    next_look: float = 0.0
    budgets: set[str] = attrs.field(factory=set)
    dirty: set[str] = attrs.field(factory=set)
    last_post: float = -1e9
    bills: deque[PendingRecord] = attrs.field(factory=deque)
    claims: deque[PendingClaim] = attrs.field(factory=deque)
    claims_sent: list[PendingClaim] = attrs.field(factory=list)
    ends: deque[PendingRecord] = attrs.field(factory=deque)
    unanswered: list[PendingRecord] = attrs.field(factory=list)

    @property
    def has_work(self) -> bool:
        """Whether there is anything to write."""
        return bool(self.dirty or self.bills or self.claims or self.ends)

    def is_due(self, now: float) -> bool:
        """Return whether to post now."""
        if self.posting or self.view_began is not None:
            return False
        if self.urgent:
            return True
        if self.claims and now >= self.last_post + CLAIM_GAP_SECONDS:
            return True
        return self.has_work and now >= self.next_flush

    def answer_unwritten(self, now: float) -> None:
        """Answer what is due as not written yet; it is written later all the same."""
        left = []
        for pending in self.unanswered:
            if self.away or now >= pending.deadline:
                pending.reply.set(Settled(written=False))
            else:
                left.append(pending)
        self.unanswered = left

    def take_bills(self) -> list[PendingRecord]:
        """Take the bills of the next batch."""
        count = min(BILLS_AT_ONCE, len(self.bills))
        return [self.bills.popleft() for _ in range(count)]

    def take_claims(self) -> list[PendingClaim]:
        """Take the claims of the next batch; they are then under way."""
        count = min(CLAIMS_AT_ONCE, len(self.claims))
        self.claims_sent = [self.claims.popleft() for _ in range(count)]
        return self.claims_sent

    def take_ends(self) -> list[PendingRecord]:
        """Take the outcomes of claims of the next batch."""
        count = min(ENDS_AT_ONCE, len(self.ends))
        return [self.ends.popleft() for _ in range(count)]

    def needs_opening(self, budget: str) -> bool:
        """Return whether the ledger last seen lacks a budget's opening tokens."""
        if self.ledger is None:
            return True
        record = self.ledger.budgets.get(budget)
        return record is None or not record.opened


def list_budget_work(
    opening: OpenBudget | None,
    report: Entry,
    grant: Grant | None,
    handle_report: Callable[[Outcome], None],
    handle_grant: Callable[[Outcome], None],
) -> list[Work]:
    """Return the work of one budget in the order in which it must apply.

    The report stands before the grant: what it returns is there to be granted.
    """
    work = []
    if opening is not None:
        work.append(Work(opening, ignore))
    work.append(Work(report, handle_report))
    if grant is not None:
        work.append(Work(grant, handle_grant))
    return work
