"""One account's tokens at this relay: its allowance and its view of the ledger."""

from __future__ import annotations

import attrs

from .allowances import Allowance
from .grants import Budget, plan_change, plan_draw
from .ledgers import AccountLedger, write_off_earlier
from .models import Account


@attrs.frozen
class Plan:
    """A change of an account's ledger.

    Attributes:
        entry: The ledger as it should be.
        change: By how much the own grant changes.
        lost: Tokens written off that earlier lives of the host had left.
        prepaid: Tokens that the account may use in all.
        free: Tokens that nobody was granted before it.
    """

    entry: AccountLedger
    change: int
    lost: int
    prepaid: int
    free: int


@attrs.define
class HeldAccount:
    """One account, as this relay holds it.

    Attributes:
        entry: Its ledger as last seen.
        revision: Of the stored object; ``None`` before it was seen.
        seen_at: When it was last seen, seconds.
        unreadable_at: When what the store has of it was last found unreadable; it was
            readable again since if that is before it was seen.
        refreshing: Whether a change of the ledger is under way.
        borrowing: Whether other relays are being asked.
        drawing: Requests for which the ledger is asked, though another relay keeps
            the account.
        doubtful: Hosts whose answer to a trade was lost; they may have lent.
    """

    name: str
    allowance: Allowance
    entry: AccountLedger = attrs.field(factory=AccountLedger)
    revision: int | None = None
    seen_at: float = float("-inf")
    unreadable_at: float = float("-inf")
    refreshing: bool = False
    borrowing: bool = False
    drawing: int = 0
    doubtful: set[str] = attrs.field(factory=set)

    @property
    def holder(self) -> str:
        """The holder that this relay is."""
        return self.allowance.holder

    def is_unreadable(self, now: float, recent: float) -> bool:
        """Return whether its ledger couldn't be read when it was last looked at.

        Args:
            recent: Age up to which that look will do, seconds.
        """
        return self.unreadable_at > self.seen_at and now - self.unreadable_at < recent

    def learn(self, entry: AccountLedger, revision: int, now: float) -> None:
        """Take over the ledger as it is stored."""
        self.entry = entry
        self.revision = revision
        self.seen_at = now
        self.allowance.learn(entry)

    def plan(
        self,
        account: Account,
        keepers: int,
        keeps: bool,
        starting: bool,
        now: float,
        recent: float,
    ) -> Plan | None:
        """Return the ledger as it should be, or ``None`` if it will do as it is.

        Args:
            keepers: Number of relays that keep an account.
            keeps: Whether this one does.
            starting: Whether it has seen too little traffic to know the demand.
            recent: Age up to which the ledger's last view will do, seconds. While
                requests wait for tokens, an older one is written again unchanged: the
                condition fails if others gave tokens back, and brings what is there.
        """
        prepaid = account.prepaid or 0
        known = self.holder in self.entry.grants
        demand = self.allowance.demand
        if not (keeps or known or self.drawing):
            return None
        entry = self.entry.copy()
        lost = write_off_earlier(entry, self.holder)
        grant = self.allowance.record(entry)
        budget = Budget(
            prepaid=prepaid,
            free=prepaid - entry.committed,
            held=entry.count_held(but=self.holder),
            keepers=max(1, keepers),
            starting=starting,
        )
        if keeps:
            change = plan_change(budget, self.allowance.position, demand, now)
        else:
            available = self.allowance.available
            change = plan_draw(budget.free, available, demand, now)
        entered = known or not keeps
        stale = self.drawing and now - self.seen_at >= recent
        if not change and lost is None and entered and not stale:
            return None
        tokens = grant.tokens + change
        entry.grants[self.holder] = attrs.evolve(grant, tokens=tokens)
        return Plan(entry, change, lost or 0, prepaid, budget.free)
