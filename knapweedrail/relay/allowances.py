"""Tokens of one account at one relay, including its loans to and from other relays.

Performs no I/O. Every token is at one holder: granted to it by the ledger, or lent to
it by another holder. A lender takes tokens out of use before it announces the loan, and
a borrower before it announces the return. Both are reported as totals that never
decrease. So lost, repeated or reordered messages between relays can leave tokens unused
for a while, but never duplicate them.

A holder uses no more of its grant than has vested. This gives a bound to the relay that
settles the grant after the holder's crash.
"""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Callable

import attrs

from .grants import Balance, Demand
from .ledgers import AccountLedger, Grant
from .vesting import VestingSchedule


@attrs.define
class Loan:
    """Tokens that passed between a lender and a borrower.

    Attributes:
        total: Tokens lent in total.
        returned: Tokens returned in total. Exceeds `total` if the borrower's own lender
            had ended and it returned tokens to this one instead.
        spent: Tokens spent of the loan, as far as known.
        acknowledged: Part of `returned` that the lender is known to have received.
        reported: Part of `spent` that the lender is known to have received.
    """

    total: int = 0
    returned: int = 0
    spent: int = 0
    acknowledged: int = 0
    reported: int = 0

    @property
    def outstanding(self) -> int:
        """Tokens lent that are neither returned nor known to be spent."""
        return self.total - self.returned - self.spent

    def acknowledge(self, returned: int, spent: int) -> None:
        """Record that the lender has received these totals."""
        self.acknowledged = max(self.acknowledged, returned)
        self.reported = max(self.reported, spent)


class Stage(enum.Enum):
    """How far a request with reserved tokens has come."""

    ADMITTED = "not sent to a runner"
    SENT = "sent to a runner, which hasn't answered"
    BEGUN = "a runner has begun to answer"


@attrs.define
class Allowance:
    """Tokens of one account at one holder.

    Attributes:
        tokens: Its grant in the ledger as last seen.
        withheld: Tokens that an unconfirmed write returns.
        spent: Tokens spent and settled.
        reserved: Tokens reserved for running requests.
        stages: The part of them at each stage but the first.
        borrowed: Loans from other holders, by lender.
        lent: Loans to other holders, by borrower.
        read_clock: Returns the milliseconds since the host's boot.
        schedules: Vesting schedules of its grant: the one in the ledger as last seen,
            and those of later writes that may have taken effect. The one by which the
            fewest tokens have vested applies.
        record_schedules: The same for the host's record; empty if the record has none
            for this account.
        closed: Whether the holder stops, so that no request may reserve tokens. Those
            that it returns are counted in the ledger from then on.
    """

    holder: str
    read_clock: Callable[[], int] = lambda: 0
    tokens: int = 0
    withheld: int = 0
    spent: int = 0
    reserved: int = 0
    stages: Counter[Stage] = attrs.field(factory=Counter)
    borrowed: dict[str, Loan] = attrs.field(factory=dict)
    lent: dict[str, Loan] = attrs.field(factory=dict)
    demand: Demand = attrs.field(factory=Demand)
    schedules: list[VestingSchedule] = attrs.field(factory=list)
    record_schedules: list[VestingSchedule] = attrs.field(factory=list)
    closed: bool = False
    _written_off_spent: int = 0

    @property
    def granted(self) -> int:
        """Its grant plus tokens borrowed, without those lent or being returned."""
        granted = self.tokens - self.withheld
        # Read some hundred times a second on an idle relay; most accounts have no loan.
        if self.borrowed:
            granted += sum(x.total - x.returned for x in self.borrowed.values())
        if self.lent:
            granted -= sum(x.total - x.returned for x in self.lent.values())
        return granted

    @property
    def balance(self) -> Balance:
        """The current balance."""
        return Balance(granted=self.granted, spent=self.spent, reserved=self.reserved)

    @property
    def free(self) -> int:
        """Unused tokens, vested or not."""
        return self.granted - self.spent - self.reserved

    @property
    def used(self) -> int:
        """Net use of its grant: tokens spent, reserved and lent, less those
        borrowed."""
        return self.tokens - self.withheld - self.free

    @property
    def disbursed(self) -> int:
        """Tokens spent or lent in total; never decreases."""
        return self.spent + sum(loan.total for loan in self.lent.values())

    @property
    def lent_outstanding(self) -> int:
        """Tokens lent to others that are neither returned nor known to be spent."""
        return sum(max(0, loan.outstanding) for loan in self.lent.values())

    @property
    def borrowed_outstanding(self) -> int:
        """Tokens borrowed that are neither returned nor spent."""
        return sum(max(0, loan.outstanding) for loan in self.borrowed.values())

    @property
    def available(self) -> int:
        """Tokens that a new request may reserve now."""
        return self.count_available_at(self.read_clock())

    @property
    def available_in_ledger(self) -> int:
        """Tokens that a new request might reserve now if the host's record allowed
        it."""
        return self._count_available(self.schedules, self.read_clock())

    def count_available_at(self, uptime: int) -> int:
        """Return the tokens that requests could reserve at a time if none did before.

        Args:
            uptime: Milliseconds since the host's boot.
        """
        return self._count_available([*self.schedules, *self.record_schedules], uptime)

    def reserve(self, tokens: int) -> bool:
        """Reserve tokens if enough are available; return whether it did."""
        if self.closed or self.available < tokens:
            return False
        self.reserved += tokens
        return True

    def move(self, tokens: int, left: Stage, entered: Stage) -> None:
        """Record that a request with reserved tokens has entered another stage."""
        self.stages[left] -= tokens
        self.stages[entered] += tokens

    def settle(self, tokens: int, used: int) -> None:
        """End a reservation: count the tokens used and free the rest."""
        used = min(used, tokens)
        self.reserved -= tokens
        self.spent += used
        self._attribute_spending(used)

    def lend(self, borrower: str, tokens: int) -> int:
        """Lend tokens; return the total lent to that borrower."""
        loan = self.lent.setdefault(borrower, Loan())
        loan.total += tokens
        return loan.total

    def accept_return(self, borrower: str, returned: int, spent: int) -> int:
        """Apply a borrower's totals; return the tokens returned since its previous
        totals."""
        loan = self.lent.setdefault(borrower, Loan())
        received = max(0, returned - loan.returned)
        loan.returned += received
        loan.spent = max(loan.spent, spent)
        return received

    def borrow(self, lender: str, total: int) -> None:
        """Apply the total that another holder has lent."""
        loan = self.borrowed.setdefault(lender, Loan())
        loan.total = max(loan.total, total)

    def give_back(self, lender: str, tokens: int) -> None:
        """Take tokens out of use that are returned to another holder."""
        self.borrowed.setdefault(lender, Loan()).returned += tokens

    def apply_ledger(self, ledger: AccountLedger) -> None:
        """Apply the stored ledger. To be called only when none of this relay's writes
        can still take effect."""
        grant = ledger.grants.get(self.holder, Grant(0, 0))
        self.withheld = 0
        self.tokens = grant.tokens
        self.schedules = [grant.vesting] if grant.vesting else []

    def record_spent(self, ledger: AccountLedger) -> Grant:
        """Update the spent tokens of this holder's grant in a ledger; return the
        grant."""
        known = ledger.grants.get(self.holder, Grant(0, 0))
        spent = max(known.spent, self._count_own_spent())
        ledger.grants[self.holder] = attrs.evolve(known, spent=spent)
        return ledger.grants[self.holder]

    def prepare_write(self, planned: AccountLedger) -> None:
        """Take tokens out of use that the write about to be sent returns, or that its
        vesting schedule no longer includes."""
        grant = planned.grants.get(self.holder, Grant(0, 0))
        self.withheld = max(self.withheld, self.tokens - grant.tokens)
        if grant.vesting is not None and grant.vesting not in self.schedules:
            self.schedules.append(grant.vesting)

    def _count_available(self, schedules: list[VestingSchedule], uptime: int) -> int:
        if not schedules:
            return self.free
        vested = min(vesting.count_vested_at(uptime) for vesting in schedules)
        return min(self.free, vested - self.used)

    def _attribute_spending(self, used: int) -> None:
        """Attribute spent tokens to their origin, so that each is reported to the
        ledger once.

        Tokens that were returned here after their holder's grant was written off come
        first; the ledger already counts them as used. Then come loans, which their
        lenders report. The rest is spent from this holder's own grant.
        """
        written_off = sum(
            max(0, loan.returned - loan.total) for loan in self.lent.values()
        )
        part = min(used, max(0, written_off - self._written_off_spent))
        self._written_off_spent += part
        used -= part
        for loan in self.borrowed.values():
            part = min(used, max(0, loan.outstanding))
            loan.spent += part
            used -= part

    def _count_own_spent(self) -> int:
        """Return the tokens known to be spent of this holder's own grant, including
        loans to others."""
        elsewhere = sum(loan.spent for loan in self.borrowed.values())
        by_others = sum(loan.spent for loan in self.lent.values())
        return self.spent - self._written_off_spent - elsewhere + by_others
