"""Messages to and from the budget task."""

from __future__ import annotations

import attrs

from .models import Bill, Holder

CLAIMED = "claimed"
"""Claim state: the request may be running, or its router died with it."""

DONE = "done"
"""Claim state: the request ran and its answer is known."""

UNKNOWN = "unknown"
"""Claim state: the request left, and nobody knows what came of it."""

MAX_CLAIM_BODY_BYTES = 4096
"""Largest answer kept with a claim; a larger one is not kept at all."""


@attrs.frozen
class Reserve:
    """Reserve a request's worst case. Answer: `Reservation` or `Refusal`.

    Attributes:
        budget: Name of the budget.
        tokens: Prompt and largest answer, or the price of a call.
        wait_seconds: Longest wait for tokens to come from elsewhere; the task bounds
            it further.
    """

    budget: str
    tokens: int
    wait_seconds: float = 1.0


@attrs.frozen
class Reservation:
    """Tokens set aside for one request; settled or cancelled exactly once."""

    id: int
    budget: str
    tokens: int


@attrs.frozen
class Settle:
    """Settle a reservation with what was really used. Answer: `Settled`.

    Attributes:
        reservation: The reservation; a second settlement changes nothing.
        used_tokens: All tokens that endpoints may have generated or read for
            the request, also in runs that broke or ran twice.
        bill: What the caller pays; ``None`` when the caller got no answer.
    """

    reservation: Reservation
    used_tokens: int
    bill: Bill | None = None


@attrs.frozen
class Cancel:
    """Give a reservation back whole, when nothing was sent. Answer: `Settled`."""

    reservation: Reservation


@attrs.frozen
class Settled:
    """Answer to what has to outlive this router.

    Attributes:
        written: Whether it stands in the ledger. When not, it is kept and written
            as soon as that can be, and is lost if this router dies before.
    """

    written: bool


@attrs.frozen
class Claim:
    """The record that a request that may not be repeated was begun.

    Attributes:
        account: Name of the client account.
        identity: The request's identity.
        holder: The holder that made the claim.
        fingerprint: Digest of the request's content.
        route: Name of the route.
        state: `CLAIMED`, `DONE` or `UNKNOWN`.
        status: HTTP status of the answer once done.
        content_type: Content type of the answer.
        body: The answer, or ``None`` when it was too large to keep.
    """

    account: str
    identity: str
    holder: str
    fingerprint: str
    route: str
    state: str = CLAIMED
    status: int = 0
    content_type: str = ""
    body: bytes | None = None


@attrs.frozen
class MakeClaim:
    """Claim a request before its first byte leaves.

    Answer: `ClaimMade`, `ClaimStands` or `Refusal`.
    """

    account: str
    identity: str
    fingerprint: str
    route: str


@attrs.frozen
class ClaimMade:
    """The claim is the asker's, recorded on the platform: the request may leave."""


@attrs.frozen
class ClaimStands:
    """The identity was claimed before; the request must not leave."""

    claim: Claim


@attrs.frozen
class FinishClaim:
    """Record what came of a claimed request. Answer: `Settled`."""

    account: str
    identity: str
    state: str
    status: int = 0
    content_type: str = ""
    body: bytes | None = None


@attrs.frozen
class DropClaim:
    """Remove a claim whose request certainly never left. Answer: `Settled`."""

    account: str
    identity: str


@attrs.frozen
class HandOver:
    """A neighbour asks for tokens of this router's reserve. Answer: `HandedOver`."""

    sender: Holder
    budget: str
    tokens: int
    transfer: str


@attrs.frozen
class Fence:
    """Trade nothing more with a holder, for ever. Answer: `Received`."""

    holder: Holder


@attrs.frozen
class Recover:
    """Bring back what a holder that seems gone has left. Answer: `Recovered`."""

    holder: Holder


@attrs.frozen
class Recovered:
    """What a recovery came to.

    Attributes:
        tokens: Tokens that went back to their budgets.
        stranded: Tokens that stay written off.
        waits_for: What must answer before more can come back; empty when nothing.
    """

    tokens: int
    stranded: int
    waits_for: str = ""


@attrs.frozen
class Drain:
    """Give everything back, write the bills and close the holder."""

    seconds: float


@attrs.frozen
class Drained:
    """Answer to `Drain`: what was left; all zero after an orderly end.

    Attributes:
        tokens: Tokens that could not be given back.
        bills: Bills that could not be written.
        claims: Claims whose outcome could not be written.
    """

    tokens: int = 0
    bills: int = 0
    claims: int = 0


@attrs.frozen
class Describe:
    """Ask for a snapshot. Answer: `Description`."""


@attrs.frozen
class Holding:
    """What this router holds of one budget."""

    budget: str
    free: int
    reserved: int
    reserve: int
    spent: int
    demand: float
    waiting: int


@attrs.frozen
class Description:
    """Snapshot of the budget task."""

    holder: Holder
    fenced: bool
    platform_away: bool
    holdings: tuple[Holding, ...]
    unwritten_bills: int
