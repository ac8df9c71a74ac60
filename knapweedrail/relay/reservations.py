"""Token reservations of requests, and the reasons why one may fail."""

from __future__ import annotations

import enum

import attrs

from .allowances import Allowance, Stage
from .ledgers import AccountLedger


class Shortage(enum.Enum):
    """Reason why tokens can't be reserved."""

    SPENT = "the budget doesn't cover the request"
    HELD_ELSEWHERE = "what is left is held by other relays"
    OUT_OF_REACH = "the ledger can't be reached"


@attrs.define
class Reservation:
    """Tokens reserved for one request; `settle` ends it, and only the first call
    counts.

    Attributes:
        stage: How far the request has come.
    """

    allowance: Allowance | None
    tokens: int
    stage: Stage = Stage.ADMITTED

    def enter_stage(self, stage: Stage) -> None:
        """Record how far the request has come."""
        if self.allowance is not None:
            self.allowance.move(self.tokens, self.stage, stage)
            self.stage = stage

    def settle(self, used: int) -> None:
        """Count the tokens used and free the rest."""
        if self.allowance is not None:
            self.enter_stage(Stage.ADMITTED)
            self.allowance.settle(self.tokens, used)
            self.allowance = None


def exceeds_budget(ledger: AccountLedger, prepaid: int, tokens: int) -> bool:
    """Return whether a request needs more tokens than an account has left for certain.

    That holds for an old view of the ledger too, as used tokens never decrease.

    Args:
        tokens: Tokens that the request needs.
    """
    return ledger.confirmed_used + tokens > prepaid


def find_shortage(
    ledger: AccountLedger,
    prepaid: int,
    tokens: int,
    free: int,
    reachable: bool,
    fresh: bool,
) -> Shortage | None:
    """Return why the ledger has too few tokens, or ``None`` if reading it may help.

    `Shortage.SPENT` is returned only if it is certain: the tokens known to be used
    leave too few, even if all other relays returned what they hold.

    Args:
        tokens: Tokens that the request needs.
        free: Unused tokens granted to this relay, vested or not.
        reachable: Whether the ledger can be reached, as far as known.
        fresh: Whether it was read so recently that another read would show nothing new.
    """
    if not reachable:
        return Shortage.OUT_OF_REACH
    if exceeds_budget(ledger, prepaid, tokens):
        return Shortage.SPENT
    if fresh and prepaid - ledger.committed < tokens - max(0, free):
        return Shortage.HELD_ELSEWHERE
    return None
