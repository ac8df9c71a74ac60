"""Entries of a ledger batch, and their outcomes."""

from __future__ import annotations

import attrs

from .budget_messages import Claim, ClaimMade, ClaimStands
from .models import Bill, Holder
from .neighbours import Total


@attrs.frozen
class OpenBudget:
    """Open a budget with its first tokens; a second opening changes nothing."""

    budget: str
    tokens: int


@attrs.frozen
class TopUp:
    """Add tokens to a budget, once per identity; negative tokens withdraw."""

    budget: str
    identity: str
    tokens: int


@attrs.frozen
class Grant:
    """Move tokens from a budget to the batch's holder.

    Attributes:
        budget: Name of the budget.
        allowance: Tokens wanted to spend.
        reserve: Tokens wanted to hold for the data centre's other routers.
        least: The part of ``allowance`` that waiting requests need now.
        demand: The holder's demand in tokens a second.
        weight: The part of all demand, in tokens a second, by which its fair part of
            what is left is found.
    """

    budget: str
    allowance: int
    reserve: int
    least: int
    demand: int
    weight: int = 1


@attrs.frozen
class Report:
    """The holder's own totals of one budget; each number only rises.

    Attributes:
        budget: Name of the budget.
        spent: Tokens used, billed or not.
        returned: Allowance given back.
        reserve_returned: Reserve given back.
        handed: Tokens handed over to neighbours.
        received: Tokens received from each neighbour.
    """

    budget: str
    spent: int
    returned: int
    reserve_returned: int
    handed: int
    received: tuple[Total, ...] = ()


@attrs.frozen
class AddBill:
    """Record a bill, once per client account and identity."""

    bill: Bill


@attrs.frozen
class AddClaim:
    """Make a claim, unless one stands."""

    claim: Claim


@attrs.frozen
class EndClaim:
    """Record what came of a claim of the batch's holder."""

    claim: Claim


@attrs.frozen
class RemoveClaim:
    """Remove a claim of the batch's holder whose request never left."""

    account: str
    identity: str


@attrs.frozen
class NoteFence:
    """Record answers to a fence round that can't end yet.

    What was answered is final: whoever answered trades nothing more with the fenced
    holder. So later rounds needn't wait for the two to answer about each other.

    Attributes:
        holder: The fenced holder.
        answered: Routers that have answered, or that registered after the fence.
        received: What each of them took from the fenced holder.
        handed: What each of them handed over to it.
    """

    holder: Holder
    answered: tuple[Holder, ...]
    received: tuple[Total, ...] = ()
    handed: tuple[Total, ...] = ()


@attrs.frozen
class Reclaim:
    """End a fence round that every registered router has answered.

    Attributes:
        holder: The fenced holder.
        received: What each answering router took from it.
        handed: What each answering router handed over to it.
    """

    holder: Holder
    received: tuple[Total, ...]
    handed: tuple[Total, ...]


@attrs.frozen
class Release:
    """Return the unused tokens of a fenced holder, on evidence of what it used.

    Attributes:
        holder: The fenced holder.
        used: Tokens that the holder used at most, for each budget proved.
        evidence: The kind of evidence, or who vouches.
    """

    holder: Holder
    used: tuple[Total, ...]
    evidence: str


@attrs.frozen
class CloseHolder:
    """The holder has given everything back and writes nothing more."""


Entry = (
    OpenBudget
    | TopUp
    | Grant
    | Report
    | AddBill
    | AddClaim
    | EndClaim
    | RemoveClaim
    | NoteFence
    | Reclaim
    | Release
    | CloseHolder
)


@attrs.frozen
class Batch:
    """Entries of one holder, applied whole, once per number.

    Attributes:
        holder: Who writes.
        data_centre: Where the writer stands.
        number: Rises by one with each batch of the holder on one ledger.
        entries: What to apply, in order.
    """

    holder: Holder
    data_centre: str
    number: int
    entries: tuple[Entry, ...]


@attrs.frozen
class Done:
    """The entry took effect, now or at an earlier application of its identity."""

    tokens: int = 0


@attrs.frozen
class Granted:
    """Tokens moved to the holder."""

    allowance: int
    reserve: int


@attrs.frozen
class Denied:
    """The entry had no effect, for the named reason."""

    reason: str


@attrs.frozen
class BillStands:
    """The identity was billed before; these tokens were used and stay unbilled."""


Outcome = Done | Granted | Denied | BillStands | ClaimMade | ClaimStands

NO_BUDGET = "no such budget"
TOO_MUCH = "more than is available"
FENCED = "the holder is fenced"
CLOSED = "the holder is closed"
OLD_NUMBER = "an older batch number"
NOT_FENCED = "the holder's fence round has not ended"
NO_CLAIM = "no such claim of this holder"
INCONSISTENT = "the totals contradict what was granted"
