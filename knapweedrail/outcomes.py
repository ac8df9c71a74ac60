"""Tagged outcomes of steps; failures name the step and the peer."""

from __future__ import annotations

import enum
from dataclasses import dataclass


@dataclass(frozen=True)
class Failure:
    """Base of every failed outcome.

    Attributes:
        step: The step that failed, such as ``"platform.write"``.
        peer: The process at the other end, as ``name`` or ``host:port``.
        detail: Description of the failure.
    """

    step: str
    peer: str
    detail: str


@dataclass(frozen=True)
class Found:
    """An object was read.

    Attributes:
        value: The object's bytes.
        version: The platform's version of the object, rising with each write.
    """

    value: bytes
    version: int


@dataclass(frozen=True)
class Missing:
    """The object doesn't exist."""


@dataclass(frozen=True)
class Written:
    """A conditional write took effect and produced ``version``."""

    version: int


@dataclass(frozen=True)
class Conflict:
    """The condition didn't hold, so the write had no effect.

    Attributes:
        version: The object's version at the platform; 0 when it is missing.
    """

    version: int


@dataclass(frozen=True)
class Unavailable(Failure):
    """The call had no effect: the peer refused it, or it was never sent."""


@dataclass(frozen=True)
class Unknown(Failure):
    """The call was sent and not answered; it may take effect, also later."""


ReadOutcome = Found | Missing | Unavailable
WriteOutcome = Written | Conflict | Unavailable | Unknown


class Ran(enum.Enum):
    """Whether a refused request ran at an endpoint."""

    NOT_RUN = "not run"
    UNKNOWN = "unknown"
    RAN = "run"


class RefusalKind(enum.Enum):
    """Stable reasons of a refusal; the value ends the problem type's URI."""

    BAD_REQUEST = "bad-request"
    TOO_LARGE = "too-large"
    UNKNOWN_KEY = "unknown-key"
    UNKNOWN_ROUTE = "unknown-route"
    IDENTITY_REUSED = "identity-reused"
    BUDGET_SPENT = "budget-spent"
    BUDGET_TOO_LOW = "budget-too-low"
    BUDGET_OUT_OF_REACH = "budget-out-of-reach"
    FULL = "full"
    DEADLINE = "deadline"
    NO_ENDPOINT = "no-endpoint"
    QUARANTINED = "quarantined"
    CONFIGURATION_UNDECIDED = "configuration-undecided"
    NO_CLAIM = "no-claim"
    STOPPING = "stopping"
    ENDPOINT_FAILED = "endpoint-failed"
    OUTCOME_UNKNOWN = "outcome-unknown"
    ALREADY_RUN = "already-run"
    NOT_RESUMABLE = "not-resumable"


@dataclass(frozen=True)
class Refusal(Failure):
    """A final answer to a caller that isn't the answer asked for.

    Attributes:
        kind: The stable reason.
        ran: Whether it ran; ``NOT_RUN`` only if no byte of the request can reach an
            endpoint, also later.
        retry_after: Time after which to retry, seconds; ``None`` if a retry can't
            help.
    """

    kind: RefusalKind
    ran: Ran
    retry_after: float | None = None
