"""What one relay holds of one account, with what it moved to and from others.

Pure.
"""

from __future__ import annotations

import attrs

from .grants import Demand, Position
from .ledgers import AccountLedger, Grant, record_move


@attrs.define
class Allowance:
    """Tokens in the hands of one holder.

    Attributes:
        tokens: Its grant in the ledger as last seen.
        withheld: Tokens that an unconfirmed write gives back.
        spent: Spent and settled.
        reserved: Set aside for requests under way.
        given: Handed to each other holder, in all.
        received: Had from each other holder, in all.
        recorded: How much of each of these the ledger's grants show.
    """

    holder: str
    tokens: int = 0
    withheld: int = 0
    spent: int = 0
    reserved: int = 0
    given: dict[str, int] = attrs.field(factory=dict)
    received: dict[str, int] = attrs.field(factory=dict)
    recorded: dict[tuple[str, str], int] = attrs.field(factory=dict)
    demand: Demand = attrs.field(factory=Demand)

    @property
    def granted(self) -> int:
        """Tokens it had in all, handed over or not recorded yet included."""
        given = sum(
            total - self.recorded.get((self.holder, other), 0)
            for other, total in self.given.items()
        )
        return self.tokens - self.withheld - given + self._count_unrecorded()

    @property
    def position(self) -> Position:
        """The present figures."""
        return Position(granted=self.granted, spent=self.spent, reserved=self.reserved)

    def reserve(self, tokens: int) -> bool:
        """Set tokens aside, if there are enough."""
        if self.position.available < tokens:
            return False
        self.reserved += tokens
        return True

    def settle(self, tokens: int, used: int) -> None:
        """End a reservation: count what was used and free the rest."""
        self.reserved -= tokens
        self.spent += min(used, tokens)

    def give(self, other: str, tokens: int) -> int:
        """Hand tokens over; return what was handed to that holder in all."""
        self.given[other] = self.given.get(other, 0) + tokens
        return self.given[other]

    def receive(self, other: str, total: int) -> None:
        """Take in what another holder has handed over in all."""
        self.received[other] = max(self.received.get(other, 0), total)

    def learn(self, account: AccountLedger) -> None:
        """Take over what the ledger says; no write of ours is uncertain any more."""
        self.withheld = 0
        self.tokens = account.grants.get(self.holder, Grant(0, 0)).tokens
        for pair, total in account.moved.items():
            if self.holder in pair:
                known = self.recorded.get(pair, 0)
                self.recorded[pair] = max(known, total)
            if pair[1] == self.holder:
                # The giver recorded it, but its message was lost.
                self.receive(pair[0], total)

    def record(self, account: AccountLedger) -> None:
        """Enter the moves that the ledger doesn't have, and what was spent."""
        account.grants.setdefault(self.holder, Grant(0, 0))
        for other, total in self.given.items():
            known = self.recorded.get((self.holder, other), 0)
            record_move(account, self.holder, other, total, known)
        for other, total in self.received.items():
            known = self.recorded.get((other, self.holder), 0)
            record_move(account, other, self.holder, total, known)
        tokens = account.grants[self.holder].tokens
        spent = max(0, min(tokens, self.spent - self._count_covered(account)))
        account.grants[self.holder] = Grant(tokens, spent)

    def compute_own_spending(self, account: AccountLedger) -> int:
        """Return what was spent beyond what write-offs of others have counted.

        Requests that are still under way count at their most: a relay whose time to
        stop is over can't learn what they used, and nobody may spend that again.
        """
        spent = self.spent + self.reserved
        return max(0, spent - self._count_covered(account))

    def prepare(self, planned: AccountLedger) -> None:
        """Put out of use what a write that is about to be sent gives back."""
        after = attrs.evolve(
            self, recorded=dict(self.recorded), received=dict(self.received)
        )
        after.learn(planned)
        self.withheld = max(self.withheld, self.granted + self.withheld - after.granted)

    def _count_unrecorded(self) -> int:
        return sum(
            total - self.recorded.get((other, self.holder), 0)
            for other, total in self.received.items()
        )

    def _count_covered(self, account: AccountLedger) -> int:
        return sum(
            total - self.recorded.get((other, self.holder), 0)
            for other, total in self.received.items()
            if other not in account.grants
        )
