"""Messages between a router and its decisions under load."""

from __future__ import annotations

import enum

import attrs

from .outcomes import Refusal


@attrs.frozen
class Work:
    """One request, as far as the decisions under load need to know it.

    Attributes:
        id: Unique in this router; one request keeps it over its retries.
        account: Name of the client account.
        weight: The account's share against other accounts.
        fingerprint: Digest of the request's content, the same whoever sends it and
            under whatever identity; empty when there is none.
        prefix_hash: Digest of the start of the prompt; 0 when there is none.
        prompt_tokens: Tokens of the prompt; 0 for a plain service.
        max_answer_tokens: Largest answer asked for; 0 for a plain service.
        deadline: Absolute seconds by which the first byte must be there.
        repeatable: Whether it may run more than once.
        short: Whether callers wait for it in person: a follow-up question or a
            service call, as against a roster or a plan.
    """

    id: str
    account: str
    deadline: float
    weight: float = 1.0
    fingerprint: str = ""
    prefix_hash: int = 0
    prompt_tokens: int = 0
    max_answer_tokens: int = 0
    repeatable: bool = True
    short: bool = True


class EndedKind(enum.Enum):
    """How one run ended.

    `REFUSED` is a run that never began: the connection was refused or the runner
    answered that it is full or leaving before it took the request. `CRASHED` is a
    connection that the runner closed while an answer was due. `SILENT` is one on
    which nothing came for too long. `FAILED` is any other error.
    """

    OK = "ok"
    FAILED = "failed"
    CRASHED = "crashed"
    SILENT = "silent"
    REFUSED = "refused"
    CANCELLED = "cancelled"


@attrs.frozen
class Ended:
    """The end of one run.

    Attributes:
        kind: How it ended.
        first_token_seconds: From start to the first byte; ``None`` when none came.
        seconds: From start to end.
    """

    kind: EndedKind
    first_token_seconds: float | None = None
    seconds: float = 0.0


@attrs.frozen
class LoadReport:
    """What a runner says of itself; it lags.

    Attributes:
        running: Requests that run.
        queued: Requests that wait in the runner.
        slots: Requests that it runs at once.
        as_of: Seconds at which this held: on the wire Unix time by the runner's
            clock, for the dispatcher on the same clock as its events.
        leaving: Whether it takes no new work.
        limit: Requests a second that it takes from all routers together; ``None`` for
            any number.
    """

    running: int
    queued: int
    slots: int
    as_of: float
    leaving: bool = False
    limit: float | None = None


@attrs.frozen
class Start:
    """Start the work at this runner now.

    Attributes:
        work_id: The work.
        runner: The runner's name.
        priority: Order in the runner's own queue; a lower number runs first.
    """

    work_id: str
    runner: str
    priority: int = 0


@attrs.frozen
class Refuse:
    """Answer the caller with this refusal; the work is forgotten."""

    work_id: str
    refusal: Refusal


Decision = Start | Refuse
