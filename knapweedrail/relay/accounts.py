"""One account's tokens at this relay: its allowance and its view of the ledger."""

from __future__ import annotations

import attrs

from .allowances import Allowance
from .grants import (
    MAX_VESTING_SECONDS,
    VESTING_FACTOR,
    BudgetView,
    VestingTerms,
    is_over_vested,
    plan_change,
    plan_direct_draw,
    plan_vesting,
)
from .ledgers import (
    AccountLedger,
    Grant,
    Settlement,
    list_previous_incarnations,
    settle_previous_incarnations,
)
from .models import Account
from .openings import Moment, VestingSchedule

FRESH_SECONDS = 1.5
"""How old a view of the ledger may be to refuse by it without looking again."""

CONFIRM_SECONDS = 6.0
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

    ledger: AccountLedger
    change: int
    settled: list[Settlement]
    prepaid: int
    free: int


def estimate_others_rate(ledger: AccountLedger, excluding: str) -> float:
    """Return the tokens a second that the callers of all holders but one ask for.

    A grant opens as fast as its callers may ask, or as a whole in some seconds while
    its holder doesn't know them; such a rate says nothing of them.
    """
    rates = [
        grant.vesting.rate
        for holder, grant in ledger.grants.items()
        if holder != excluding
        and grant.vesting is not None
        and grant.vesting.rate * MAX_VESTING_SECONDS > grant.tokens - grant.spent
    ]
    return sum(rates) / VESTING_FACTOR


@attrs.define
class AccountHolding:
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
    ledger: AccountLedger = attrs.field(factory=AccountLedger)
    revision: int | None = None
    seen_at: float = float("-inf")
    peeked_at: float = float("-inf")
    confirmed_at: float = float("-inf")
    unreadable_at: float = float("-inf")
    refreshing: bool = False
    borrowing: bool = False
    pending_draws: int = 0
    unconfirmed_hosts: set[str] = attrs.field(factory=set)
    disbursed_at_write: int = 0
    unused_at_first_read: bool = True
    prompted_at: dict[str, float] = attrs.field(factory=dict)

    @property
    def holder(self) -> str:
        """The holder that this relay is."""
        return self.allowance.holder

    def is_unreadable(self, now: float, max_age: float) -> bool:
        """Return whether its ledger couldn't be read when it was last looked at.

        Args:
            recent: Age up to which that look will do, seconds.
        """
        return self.unreadable_at > self.seen_at and now - self.unreadable_at < max_age

    def is_fresh(self, now: float) -> bool:
        """Return whether a sure look would hardly bring more than is known."""
        if now - self.seen_at < FRESH_SECONDS:
            return True
        looked = now - self.peeked_at < FRESH_SECONDS
        return looked and now - self.confirmed_at < CONFIRM_SECONDS

    def apply_ledger(self, ledger: AccountLedger, revision: int, now: float) -> None:
        """Take over the ledger as it is stored."""
        if self.revision is None:
            self.unused_at_first_read = not ledger.confirmed_used
        self.ledger = ledger
        self.revision = revision
        self.seen_at = now
        schedules = self.allowance.schedules
        self.allowance.apply_ledger(ledger)
        if self.allowance.schedules != schedules:
            self.disbursed_at_write = self.allowance.disbursed

    def plan(
        self,
        account: Account,
        primaries: int,
        is_primary: bool,
        warming_up: bool,
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
        known = self.holder in self.ledger.grants
        demand = self.allowance.demand
        is_drawing = bool(is_primary or known or self.pending_draws)
        if not (is_drawing or list_previous_incarnations(self.ledger, self.holder)):
            return None
        ledger = self.ledger.copy()
        settled = settle_previous_incarnations(ledger, self.holder, started)
        if not is_drawing:
            return Plan(ledger, 0, settled, prepaid, prepaid - ledger.committed)
        grant = self.allowance.record_spent(ledger)
        budget = BudgetView(
            prepaid=prepaid,
            free=prepaid - ledger.committed,
            held=ledger.count_held(excluding=self.holder),
            others_rate=estimate_others_rate(ledger, self.holder),
            primaries=max(1, primaries),
            warming_up=warming_up and self.unused_at_first_read,
        )
        if is_primary:
            change = plan_change(budget, self.allowance.position, demand, now)
        else:
            change = plan_direct_draw(budget.free, self.allowance.free, demand, now)
        entered = known or not is_primary
        stale = self.pending_draws and not self.is_fresh(now)
        free = max(0, self.allowance.free + change)
        terms = plan_vesting(budget, free, demand, now)
        due = (
            change
            or settled
            or stale
            or self._needs_new_schedule(budget, terms, moment)
        )
        if entered and not due:
            return None
        vesting = None
        if moment is not None:
            used = self.allowance.used
            vesting = VestingSchedule(used + terms.burst, terms.rate, moment)
        tokens = grant.tokens + change
        ledger.grants[self.holder] = Grant(tokens, grant.spent, vesting)
        return Plan(ledger, change, settled, prepaid, budget.free)

    def _needs_new_schedule(
        self, budget: BudgetView, terms: VestingTerms, moment: Moment | None
    ) -> bool:
        """Return whether its grant should open anew.

        Wider, as requests wait; or narrower, as much of it would be lost with this
        relay; or from another moment, as the time of day was set and the one that the
        ledger has would be taken for one of another boot.
        """
        allowance = self.allowance
        if not allowance.schedules or moment is None:
            return False
        if not moment.boot.is_same(allowance.schedules[-1].since.boot):
            return True
        narrow = allowance.demand.unmet > allowance.available < allowance.free
        disbursed_since = allowance.disbursed - self.disbursed_at_write
        return narrow or is_over_vested(
            budget, allowance.available, terms, disbursed_since
        )
