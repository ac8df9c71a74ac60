"""One account's tokens at this relay: its allowance and its view of the ledger."""

from __future__ import annotations

import attrs

from .allowances import Allowance
from .grants import (
    WARM_UP_SECONDS,
    BudgetView,
    is_scarce,
    plan_change,
    plan_direct_draw,
)
from .host_records import NO_RECORD, HostRecord
from .ledgers import (
    AccountLedger,
    Grant,
    Settlement,
    list_previous_incarnations,
    settle_previous_incarnations,
)
from .models import Account
from .vesting import BootTime, VestingSchedule
from .vesting_plans import (
    MAX_VESTING_SECONDS,
    RECORD_DELAY_MILLISECONDS,
    VESTING_FACTOR,
    VestingTerms,
    is_over_vested,
    plan_recorded_vesting,
    plan_vesting,
)

FRESH_SECONDS = 1.5
"""Largest age of a view of the ledger by which a request may be refused without another
read."""

CONFIRM_SECONDS = 6.0
"""Seconds for which peeks, which may be stale and cost a tenth of a call, may replace a
confirmed read. Otherwise each primary relay of a fully granted account would rewrite
its unchanged grant repeatedly to check whether tokens were returned."""


@attrs.frozen
class Plan:
    """A planned change of an account's ledger.

    Attributes:
        ledger: The ledger after the change.
        change: Change of this relay's own grant, tokens.
        settled: Settled grants of the host's previous incarnations.
        prepaid: Tokens that the account may use in total.
        free: Tokens that weren't granted to any relay before the change.
    """

    ledger: AccountLedger
    change: int
    settled: list[Settlement]
    prepaid: int
    free: int


@attrs.frozen
class RecordPlan:
    """A planned entry of an account in the host's record.

    Attributes:
        schedule: Its vesting schedule.
        saved_share: Part of the prepaid tokens that a crash would lose by the present
            schedules, but not by this one.
    """

    schedule: VestingSchedule
    saved_share: float


def estimate_others_rate(ledger: AccountLedger, excluding: str) -> float:
    """Return the demand rate at all holders but one, tokens per second.

    A grant vests at a multiple of its demand rate. If the demand isn't known, it vests
    completely within some seconds instead; such a rate says nothing about demand and is
    left out.
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
    """One account at this relay: its allowance and the last view of its ledger.

    Attributes:
        ledger: Its ledger as last seen.
        revision: Revision of the stored object; ``None`` before it was first seen.
        seen_at: Time at which that view was current, seconds.
        peeked_at: Time of the last peek, whose answer may be stale; seconds.
        confirmed_at: Time of the last write attempt that showed the current ledger,
            seconds.
        unreadable_at: Time at which the stored ledger was last found unreadable,
            seconds. If it is before `seen_at`, the ledger has been readable since.
        refreshing: Whether an update of the ledger is in progress.
        borrowing: Whether a request to other relays is in progress.
        pending_draws: Number of requests that wait for a draw on the ledger, whether or
            not this relay is primary for the account.
        unconfirmed_hosts: Hosts that haven't answered the last trade; they may have
            lent tokens.
        disbursed_at_write: Tokens disbursed when the grant was last written.
        unused_at_first_read: Whether no tokens of the account were used when its ledger
            was first read.
        prompted_at: When hosts were last prompted to settle a previous incarnation,
            seconds, by holder.
        holder_ended_at: When the view last showed that a holder had ended, seconds.
        in_use_since: When the view first showed that tokens are used, seconds.
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
    holder_ended_at: float = float("-inf")
    in_use_since: float = float("inf")

    @property
    def holder(self) -> str:
        """Name of this relay as a holder in the ledger."""
        return self.allowance.holder

    def is_unreadable(self, now: float, max_age: float) -> bool:
        """Return whether the ledger was unreadable at the last read.

        Args:
            max_age: Age up to which that read counts, seconds.
        """
        return self.unreadable_at > self.seen_at and now - self.unreadable_at < max_age

    def is_fresh(self, now: float) -> bool:
        """Return whether the view is recent enough to do without a confirmed read."""
        if now - self.seen_at < FRESH_SECONDS:
            return True
        recently_peeked = now - self.peeked_at < FRESH_SECONDS
        return recently_peeked and now - self.confirmed_at < CONFIRM_SECONDS

    def apply_ledger(self, ledger: AccountLedger, revision: int, now: float) -> None:
        """Replace the view of the ledger by the stored one."""
        if self.revision is None:
            self.unused_at_first_read = not ledger.confirmed_used
        if self._shows_ended_holder(ledger):
            self.holder_ended_at = now
        if ledger.confirmed_used and self.in_use_since > now:
            self.in_use_since = now
        self.ledger = ledger
        self.revision = revision
        self.seen_at = now
        schedules = self.allowance.schedules
        self.allowance.apply_ledger(ledger)
        if self.allowance.schedules != schedules:
            self.disbursed_at_write = self.allowance.disbursed

    def is_warming_up(self, first_request_at: float | None, now: float) -> bool:
        """Return whether this relay has had too little traffic to know its demand.

        A relay without callers knows it once others have had them for as long.

        Args:
            first_request_at: When it had its first request, of any account; ``None``
                before that.
        """
        began_at = self.in_use_since if first_request_at is None else first_request_at
        return now - began_at < WARM_UP_SECONDS

    def is_view_overdue(self, first_request_at: float | None, now: float) -> bool:
        """Return whether to read the ledger, as this relay holds tokens for its first
        caller and others may have had theirs.

        Args:
            first_request_at: When it had its first request, of any account; ``None``
                before that.
        """
        if first_request_at is not None or self.allowance.free <= 0:
            return False
        return now - max(self.seen_at, self.peeked_at) >= WARM_UP_SECONDS

    def _shows_ended_holder(self, ledger: AccountLedger) -> bool:
        """Return whether a new view of the ledger shows that a holder has ended.

        A relay that first reads a ledger in use has probably been restarted.
        """
        if self.revision is None:
            return not self.unused_at_first_read
        others = self.ledger.grants.keys() - {self.holder}
        return not others <= ledger.grants.keys()

    def plan(
        self,
        account: Account,
        primaries: int,
        is_primary: bool,
        warming_up: bool,
        now: float,
        boot_time: BootTime | None = None,
        started: BootTime | None = None,
        previous: HostRecord = NO_RECORD,
    ) -> Plan | None:
        """Return the ledger as it should be, or ``None`` if no change is due.

        While requests wait for tokens, a view that isn't fresh is written again
        unchanged: the condition of the write fails if other relays returned tokens, and
        the reply carries the current ledger.

        Args:
            primaries: Number of primary relays of an account.
            is_primary: Whether this relay is one of them.
            warming_up: Whether this relay has had too little traffic to know its
                demand. It then holds tokens in advance only if the account was unused
                when the ledger was first read. Otherwise other relays already hold
                tokens, and those held here would be lost without any benefit if the
                host crashes again soon.
            boot_time: Current reading of this host's clock; without it, grants are
                written without a vesting schedule.
            started: Reading at the start of this relay.
            previous: The host's record as the previous incarnation left it.
        """
        prepaid = account.prepaid or 0
        known = self.holder in self.ledger.grants
        demand = self.allowance.demand
        is_drawing = bool(is_primary or known or self.pending_draws)
        if not (is_drawing or list_previous_incarnations(self.ledger, self.holder)):
            return None
        ledger = self.ledger.copy()
        settled = settle_previous_incarnations(
            ledger,
            self.holder,
            started,
            lambda ended: previous.find_schedule(ended, self.name),
        )
        if not is_drawing:
            return Plan(ledger, 0, settled, prepaid, prepaid - ledger.committed)
        grant = self.allowance.record_spent(ledger)
        budget = self._view_budget(ledger, prepaid, primaries, warming_up)
        if is_primary:
            change = plan_change(budget, self.allowance.balance, demand, now)
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
            or self._needs_new_schedule(budget, terms, boot_time)
        )
        if entered and not due:
            return None
        vesting = None
        if boot_time is not None:
            used = self.allowance.used
            vesting = VestingSchedule(
                used + terms.burst, terms.rate, boot_time, ahead=terms.burst
            )
        tokens = grant.tokens + change
        ledger.grants[self.holder] = Grant(tokens, grant.spent, vesting)
        return Plan(ledger, change, settled, prepaid, budget.free)

    def plan_recorded(
        self,
        prepaid: int,
        primaries: int,
        warming_up: bool,
        now: float,
        boot_time: BootTime,
        holders_end: bool,
    ) -> RecordPlan | None:
        """Return what the host's record should say; ``None`` if nothing.

        It says nothing of an account without a grant. Neither does it of one that isn't
        scarce, once its demand is known and unless a holder has ended recently: a
        record must be rewritten as often as its few vested tokens are used, and an
        ample budget outlasts what the ledger's schedule loses with a crash.

        Args:
            primaries: Number of relays that draw on the ledger.
            warming_up: Whether this relay has had too little traffic to know its
                demand.
            holders_end: Whether a holder of any account has ended recently.
        """
        if self.holder not in self.ledger.grants:
            return None
        allowance = self.allowance
        budget = self._view_budget(self.ledger, prepaid, primaries, warming_up)
        scarce = is_scarce(budget, allowance.free, allowance.demand, now)
        if not (scarce or warming_up or holders_end):
            return None
        terms = plan_recorded_vesting(
            budget, max(0, allowance.free), allowance.demand, now
        )
        delay = RECORD_DELAY_MILLISECONDS
        schedule = VestingSchedule(
            allowance.used + terms.burst, terms.rate, boot_time, delay, terms.burst
        )
        # An idle account must cost no writes.
        saved = 0
        if not allowance.demand.is_idle(now):
            at_risk = allowance.count_available_at(boot_time.uptime + delay)
            saved = max(0, at_risk - terms.burst)
        return RecordPlan(schedule, saved / max(1, prepaid))

    def _view_budget(
        self, ledger: AccountLedger, prepaid: int, primaries: int, warming_up: bool
    ) -> BudgetView:
        return BudgetView(
            prepaid=prepaid,
            free=prepaid - ledger.committed,
            held=ledger.count_held(excluding=self.holder),
            others_rate=estimate_others_rate(ledger, self.holder),
            primaries=max(1, primaries),
            warming_up=warming_up and self.unused_at_first_read,
            lost=ledger.lost,
        )

    def _needs_new_schedule(
        self, budget: BudgetView, terms: VestingTerms, boot_time: BootTime | None
    ) -> bool:
        """Return whether the grant needs a new vesting schedule.

        It does in three cases: requests wait while tokens of the grant haven't vested;
        so many vested tokens are unused that a crash of this relay would lose too much;
        or the time of day was set, so that the boot recorded in the ledger would be
        taken for another one.
        """
        allowance = self.allowance
        if not allowance.schedules or boot_time is None:
            return False
        if not boot_time.boot.is_same(allowance.schedules[-1].since.boot):
            return True
        available = allowance.available_in_ledger
        narrow = allowance.demand.unmet > available < allowance.free
        disbursed_since = allowance.disbursed - self.disbursed_at_write
        return narrow or is_over_vested(
            budget, allowance.available, terms, disbursed_since
        )
