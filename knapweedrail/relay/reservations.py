"""Tokens set aside for one request, and why there may be none."""

from __future__ import annotations

import enum

import attrs

from .allowances import Allowance
from .ledgers import AccountLedger


class Shortage(enum.Enum):
    """Why tokens can't be reserved."""

    SPENT = "the budget doesn't cover the request"
    HELD_ELSEWHERE = "what is left is held by other relays"
    OUT_OF_REACH = "the ledger can't be reached"


@attrs.define
class Reservation:
    """Tokens set aside for one request; `settle` ends it, once."""

    allowance: Allowance | None
    tokens: int

    def settle(self, used: int) -> None:
        """Count what was used and free the rest."""
        if self.allowance is not None:
            self.allowance.settle(self.tokens, used)
            self.allowance = None


def find_shortage(
    ledger: AccountLedger,
    prepaid: int,
    tokens: int,
    free: int,
    reachable: bool,
    fresh: bool,
) -> Shortage | None:
    """Return why the ledger has no tokens, or ``None`` if a look may help.

    "Spent" is said only when it is true: what is surely used leaves too little, even
    if all others gave back what they hold.

    Args:
        tokens: Tokens that a request needs.
        free: Tokens granted here that nobody uses, open or not.
        reachable: Whether the ledger could be reached last.
        recent: Whether it was seen so lately that another look would bring nothing.
    """
    if not reachable:
        return Shortage.OUT_OF_REACH
    if ledger.confirmed_used + tokens > prepaid:
        return Shortage.SPENT
    if fresh and prepaid - ledger.committed < tokens - max(0, free):
        return Shortage.HELD_ELSEWHERE
    return None
