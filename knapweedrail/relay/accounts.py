"""One account's tokens at this relay: its allowance and its view of the ledger."""

from __future__ import annotations

import attrs

from .allowances import Allowance
from .grants import (
    OPEN_FACTOR,
    OPEN_SECONDS,
    Budget,
    Pace,
    is_too_open,
    plan_change,
    plan_draw,
    plan_pace,
)
from .ledgers import (
    AccountLedger,
    Grant,
    Settlement,
    list_earlier,
    settle_earlier,
)
from .models import Account
from .openings import Moment, Opening

RECENT_SECONDS = 1.5
"""How old a view of the ledger may be to refuse by it without looking again."""

CHECK_SECONDS = 6.0
"""How long looks that may be old, a tenth of a call each, do for that. Of an account
that is given out, each keeper would else write what it has again and again, to find
that nobody gave anything back."""


@attrs.frozen
class Plan:
    """A change of an account's ledger.

    Attributes:
        entry: The ledger as it should be.
        change: By how much the own grant changes.
        settled: What became of the grants of the host's earlier lives.
        prepaid: Tokens that the account may use in all.
        free: Tokens that nobody was granted before it.
    """

    entry: AccountLedger
    change: int
    settled: list[Settlement]
    prepaid: int
    free: int


def estimate_others(entry: AccountLedger, but: str) -> float:
    """Return the tokens a second that the callers of all holders but one ask for.

    A grant opens as fast as its callers may ask, or as a whole in some seconds while
    its holder doesn't know them; such a rate says nothing of them.
    """
    rates = [
        grant.opening.rate
        for holder, grant in entry.grants.items()
        if holder != but
        and grant.opening is not None
        and grant.opening.rate * OPEN_SECONDS > grant.tokens - grant.spent
    ]
    return sum(rates) / OPEN_FACTOR


@attrs.define
class HeldAccount:
    """One account, as this relay holds it.

    Attributes:
        entry: Its ledger as last seen.
        revision: Of the stored object; ``None`` before it was seen.
        seen_at: When it was last seen, seconds.
        looked_at: When it was last looked at, by an answer that may be old; seconds.
        checked_at: When it was last seen for certain, seconds.
        unreadable_at: When what the store has of it was last found unreadable; it was
            readable again since if that is before it was seen.
        refreshing: Whether a change of the ledger is under way.
        borrowing: Whether other relays are being asked.
        drawing: Requests for which the ledger is asked, though another relay keeps
            the account.
        doubtful: Hosts whose answer to a trade was lost; they may have lent.
        given_out: Tokens that it had given out when its grant was last written.
        fresh: Whether nothing of the account was used when its ledger was first seen.
        reminded: When hosts were last reminded of what their earlier lives hold, by
            holder; seconds.
    """

    name: str
    allowance: Allowance
    entry: AccountLedger = attrs.field(factory=AccountLedger)
    revision: int | None = None
    seen_at: float = float("-inf")
    looked_at: float = float("-inf")
    checked_at: float = float("-inf")
    unreadable_at: float = float("-inf")
    refreshing: bool = False
    borrowing: bool = False
    drawing: int = 0
    doubtful: set[str] = attrs.field(factory=set)
    given_out: int = 0
    fresh: bool = True
    reminded: dict[str, float] = attrs.field(factory=dict)

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

    def is_recent(self, now: float) -> bool:
        """Return whether a sure look would hardly bring more than is known."""
        if now - self.seen_at < RECENT_SECONDS:
            return True
        looked = now - self.looked_at < RECENT_SECONDS
        return looked and now - self.checked_at < CHECK_SECONDS

    def learn(self, entry: AccountLedger, revision: int, now: float) -> None:
        """Take over the ledger as it is stored."""
        if self.revision is None:
            self.fresh = not entry.surely_used
        self.entry = entry
        self.revision = revision
        self.seen_at = now
        openings = self.allowance.openings
        self.allowance.learn(entry)
        if self.allowance.openings != openings:
            self.given_out = self.allowance.given_out

    def plan(
        self,
        account: Account,
        keepers: int,
        keeps: bool,
        starting: bool,
        now: float,
        moment: Moment | None = None,
        started: Moment | None = None,
    ) -> Plan | None:
        """Return the ledger as it should be, or ``None`` if it will do as it is.

        While requests wait for tokens, a view that isn't recent is written again
        unchanged: the condition fails if others gave tokens back, and brings what is
        there.

        Args:
            keepers: Number of relays that keep an account.
            keeps: Whether this one does.
            starting: Whether it has seen too little traffic to know the demand. In the
                middle of a day it holds nothing ahead for that: others do, and what a
                host holds that dies again soon would be lost for nobody.
            moment: The present one on this host's clock; without it grants are open as
                a whole.
            started: That at which this relay's life began.
        """
        prepaid = account.prepaid or 0
        known = self.holder in self.entry.grants
        demand = self.allowance.demand
        draws = bool(keeps or known or self.drawing)
        if not (draws or list_earlier(self.entry, self.holder)):
            return None
        entry = self.entry.copy()
        settled = settle_earlier(entry, self.holder, started)
        if not draws:
            return Plan(entry, 0, settled, prepaid, prepaid - entry.committed)
        grant = self.allowance.record(entry)
        budget = Budget(
            prepaid=prepaid,
            free=prepaid - entry.committed,
            held=entry.count_held(but=self.holder),
            others_rate=estimate_others(entry, self.holder),
            keepers=max(1, keepers),
            starting=starting and self.fresh,
        )
        if keeps:
            change = plan_change(budget, self.allowance.position, demand, now)
        else:
            change = plan_draw(budget.free, self.allowance.free, demand, now)
        entered = known or not keeps
        stale = self.drawing and not self.is_recent(now)
        free = max(0, self.allowance.free + change)
        pace = plan_pace(budget, free, demand, now)
        due = change or settled or stale or self._must_open(budget, pace, moment)
        if entered and not due:
            return None
        opening = None
        if moment is not None:
            used = self.allowance.used
            opening = Opening(used + pace.burst, pace.rate, moment)
        tokens = grant.tokens + change
        entry.grants[self.holder] = Grant(tokens, grant.spent, opening)
        return Plan(entry, change, settled, prepaid, budget.free)

    def _must_open(self, budget: Budget, pace: Pace, moment: Moment | None) -> bool:
        """Return whether its grant should open anew.

        Wider, as requests wait; or narrower, as much of it would be lost with this
        relay; or from another moment, as the time of day was set and the one that the
        ledger has would be taken for one of another boot.
        """
        allowance = self.allowance
        if not allowance.openings or moment is None:
            return False
        if not moment.boot.is_same(allowance.openings[-1].since.boot):
            return True
        narrow = allowance.demand.unmet > allowance.available < allowance.free
        passed = allowance.given_out - self.given_out
        return narrow or is_too_open(budget, allowance.available, pace, passed)
