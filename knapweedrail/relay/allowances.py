"""What one relay holds of one account, with what it lent to and had from others.

Pure. Every token is at one holder: granted to it by the ledger, or lent to it by
another one. A lender takes what it lends out of use before it says so, a borrower what
it gives back; both count in totals that only rise. So messages between them that are
lost, repeated or overtaken can strand tokens for a while, and never double them.

Of its grant, a holder uses no more than has opened by now, so that whoever settles it
after the holder's death knows a bound.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from .grants import Balance, Demand
from .ledgers import AccountLedger, Grant
from .openings import VestingSchedule


@attrs.define
class Loan:
    """What passed between a lender and a borrower, in tokens.

    Attributes:
        total: Lent in all.
        returned: Given back in all. More than was lent where a borrower's own lender
            was gone, and it gave back to this one.
        spent: Spent of it, as far as known.
        acknowledged: Part of `returned` that the lender surely knows of.
        reported: Part of `spent` that the lender surely knows of.
    """

    total: int = 0
    returned: int = 0
    spent: int = 0
    acknowledged: int = 0
    reported: int = 0

    @property
    def outstanding(self) -> int:
        """Tokens of the lender's that the borrower has at hand."""
        return self.total - self.returned - self.spent

    def acknowledge(self, returned: int, spent: int) -> None:
        """Take in that the lender has heard of these totals."""
        self.acknowledged = max(self.acknowledged, returned)
        self.reported = max(self.reported, spent)


@attrs.define
class Allowance:
    """Tokens in the hands of one holder.

    Attributes:
        tokens: Its grant in the ledger as last seen.
        withheld: Tokens that an unconfirmed write gives back.
        spent: Spent and settled.
        reserved: Set aside for requests under way.
        borrowed: Loans from other holders, by lender.
        lent: Loans to other holders, by borrower.
        read_clock: Returns the milliseconds since the host's boot.
        openings: Of its grant: that of the ledger as last seen, and those of writes
            that may have taken effect since. All of them bind.
    """

    holder: str
    read_clock: Callable[[], int] = lambda: 0
    tokens: int = 0
    withheld: int = 0
    spent: int = 0
    reserved: int = 0
    borrowed: dict[str, Loan] = attrs.field(factory=dict)
    lent: dict[str, Loan] = attrs.field(factory=dict)
    demand: Demand = attrs.field(factory=Demand)
    schedules: list[VestingSchedule] = attrs.field(factory=list)
    _written_off_spent: int = 0

    @property
    def granted(self) -> int:
        """Tokens it had in all, without those that are with others now."""
        borrowed = sum(loan.total - loan.returned for loan in self.borrowed.values())
        lent = sum(loan.total - loan.returned for loan in self.lent.values())
        return self.tokens - self.withheld + borrowed - lent

    @property
    def position(self) -> Balance:
        """The present figures."""
        return Balance(granted=self.granted, spent=self.spent, reserved=self.reserved)

    @property
    def free(self) -> int:
        """Tokens that nobody uses, open to it or not."""
        return self.position.available

    @property
    def used(self) -> int:
        """Net use of its grant: spent, set aside and lent, less what it borrowed."""
        return self.tokens - self.withheld - self.free

    @property
    def disbursed(self) -> int:
        """Tokens spent, or lent to others, in all; it only rises."""
        return self.spent + sum(loan.total for loan in self.lent.values())

    @property
    def available(self) -> int:
        """Tokens that a new request may take now."""
        if not self.schedules:
            return self.free
        now = self.read_clock()
        vested = min(vesting.count_vested_at(now) for vesting in self.schedules)
        return min(self.free, vested - self.used)

    def reserve(self, tokens: int) -> bool:
        """Set tokens aside, if there are enough."""
        if self.available < tokens:
            return False
        self.reserved += tokens
        return True

    def settle(self, tokens: int, used: int) -> None:
        """End a reservation: count what was used and free the rest."""
        used = min(used, tokens)
        self.reserved -= tokens
        self.spent += used
        self._attribute_spending(used)

    def lend(self, borrower: str, tokens: int) -> int:
        """Hand tokens over; return what was lent to that holder in all."""
        loan = self.lent.setdefault(borrower, Loan())
        loan.total += tokens
        return loan.total

    def accept_return(self, borrower: str, returned: int, spent: int) -> int:
        """Take in what a borrower says in totals; return what came back just now."""
        loan = self.lent.setdefault(borrower, Loan())
        received = max(0, returned - loan.returned)
        loan.returned += received
        loan.spent = max(loan.spent, spent)
        return received

    def borrow(self, lender: str, total: int) -> None:
        """Take in what another holder has lent in all."""
        loan = self.borrowed.setdefault(lender, Loan())
        loan.total = max(loan.total, total)

    def give_back(self, lender: str, tokens: int) -> None:
        """Put tokens out of use that are given to another holder."""
        self.borrowed.setdefault(lender, Loan()).returned += tokens

    def apply_ledger(self, ledger: AccountLedger) -> None:
        """Take over what the ledger says; no write of ours is uncertain any more."""
        grant = ledger.grants.get(self.holder, Grant(0, 0))
        self.withheld = 0
        self.tokens = grant.tokens
        self.schedules = [grant.vesting] if grant.vesting else []

    def record_spent(self, ledger: AccountLedger) -> Grant:
        """Enter what was spent, and return the entry."""
        known = ledger.grants.get(self.holder, Grant(0, 0))
        spent = max(known.spent, self._count_own_spent())
        ledger.grants[self.holder] = attrs.evolve(known, spent=spent)
        return ledger.grants[self.holder]

    def prepare_write(self, planned: AccountLedger) -> None:
        """Put out of use what a write that is about to be sent gives back, or doesn't
        open any more."""
        grant = planned.grants.get(self.holder, Grant(0, 0))
        self.withheld = max(self.withheld, self.tokens - grant.tokens)
        if grant.vesting is not None and grant.vesting not in self.schedules:
            self.schedules.append(grant.vesting)

    def _attribute_spending(self, used: int) -> None:
        """Say whose tokens were spent, so that each is reported to the ledger once.

        First come those that were written off with their holder before they got here,
        which the ledger counts as used already; then loans, which their lenders
        report; the rest is of the own grant.
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
        """Return what was surely spent of the own grant, by others too."""
        elsewhere = sum(loan.spent for loan in self.borrowed.values())
        by_others = sum(loan.spent for loan in self.lent.values())
        return self.spent - self._written_off_spent - elsewhere + by_others
