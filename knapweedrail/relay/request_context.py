"""State of an admitted request, its dependencies, and the outcomes of attempts."""

from __future__ import annotations

import enum
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

import attrs

from ..limits import LimitUpdate
from .codecs import Codec
from .connections import ConnectionPool
from .crash_detector import CrashDetector
from .metrics import RelayMetrics
from .models import CallerRequest, Endpoint, Framing, Route, Runner, RunnerAnswer
from .overload import OverloadMonitor
from .reservations import Reservation
from .response_writer import ResponseWriter
from .resumptions import Resumptions
from .retries import RetryBudget
from .routes import Priorities
from .runners import RunnerTable
from .scheduling.placement import Choice
from .stream_origins import StoredVersions, StreamOrigin, VersionBound
from .streams import StreamProgress
from .suspects import Suspects
from .unknown_headers import UnknownHeaderLog


class FailureKind(enum.Enum):
    """How an attempt failed."""

    NOT_SENT = "no byte was sent"
    NOT_RUN = "the runner says that it didn't run the request"
    BROKEN = "the connection broke or carried something else"
    SILENT = "nothing came in time"


@dataclass(frozen=True)
class AttemptFailed:
    """Outcome of an attempt that gave the caller no complete answer.

    Attributes:
        kind: How it failed.
        detail: Cause of the failure.
        answer: Error answer of the runner, which may be passed on unchanged.
        body: Body of that answer.
        runner: Name of the runner that sent it.
        framing: What marked the end of that answer.
    """

    kind: FailureKind
    detail: str
    answer: RunnerAnswer | None = None
    body: bytes = b""
    runner: str = ""
    framing: Framing = Framing.LENGTH


@dataclass(frozen=True)
class Answered:
    """The caller has received a complete answer.

    Attributes:
        status: HTTP status.
        runner: Name of the runner that sent the end of the answer.
        framing: What marked that end.
        unfinished_bytes: Size of the incomplete event that ended a stream, bytes.
    """

    status: int
    runner: str
    framing: Framing
    unfinished_bytes: int = 0


@attrs.frozen(kw_only=True)
class Services:
    """Dependencies that all requests of a relay share.

    Attributes:
        codec: Encodes requests and decodes answers of the platform's protocol.
        pool: Connections to runners.
        runners: Known runners and their state.
        retry_budget: Retry budget of this relay.
        data_centre: Name of this host's data centre.
        rng: Source of random choices and retry-after times.
        metrics: Metrics of this relay.
        suspects: Contents that may crash runners.
        crash_detector: Attributes crashes of runners to requests.
        overload: Load of this host.
        count_relays: Returns the number of relays.
        report_mismatch: Reports that a runner's address now belongs to the runner of
            the given name.
        send_limit: Sends a runner's rate limit to the other relays.
        unknown_headers: Logs unknown headers of runners' answers.
        unknown_request_headers: Logs unknown headers of callers' requests.
        resumptions: Keeps and finds what began streams.
    """

    codec: Codec
    pool: ConnectionPool
    runners: RunnerTable
    retry_budget: RetryBudget
    data_centre: str
    rng: random.Random
    metrics: RelayMetrics
    suspects: Suspects
    crash_detector: CrashDetector
    overload: OverloadMonitor
    count_relays: Callable[[], int]
    report_mismatch: Callable[[Runner, str], None]
    resumptions: Resumptions
    send_limit: Callable[[LimitUpdate], None] = lambda update: None
    unknown_headers: UnknownHeaderLog = attrs.field(factory=UnknownHeaderLog)
    unknown_request_headers: UnknownHeaderLog = attrs.field(factory=UnknownHeaderLog)


@attrs.define(kw_only=True)
class RequestContext:
    """One admitted request and the state that its attempts share.

    Attributes:
        body: Complete request body.
        account: Name of the client account; ``None`` if the route needs no key.
        priorities: Priorities to send to runners.
        fingerprints: Fingerprints of the content: of the whole request, then of the
            parts of its prompt that others may share.
        deadline_at: Earlier of the caller's deadline and the route's timeout, monotonic
            seconds.
        response: Response to the caller.
        progress: Events of a stream that the caller has received.
        counted_attempts: Attempts that count against the route's ``max_runners``:
            requests sent to a runner, except those rejected as misdirected by another
            runner at its address.
        may_have_run: Whether a runner may have begun to work on the request. It is set
            before the first byte is sent, so that the prompt is charged even if the
            caller disconnects right after.
        origin: What began the stream; ``None`` before its first event.
        stored: Versions at which it may begin; ``None`` if it can't be resumed.
        choice: The latest choice of a runner.
        reservation: Tokens reserved for the request.
    """

    services: Services
    request: CallerRequest
    body: bytes
    route: Route
    endpoint: Endpoint
    account: str | None
    priorities: Priorities
    fingerprints: tuple[str, ...]
    deadline_at: float
    response: ResponseWriter
    progress: StreamProgress
    counted_attempts: int = 0
    may_have_run: bool = False
    origin: StreamOrigin | None = None
    stored: StoredVersions | None = None
    choice: Choice | None = None
    reservation: Reservation = attrs.field(factory=lambda: Reservation(None, 0))

    @property
    def bound(self) -> VersionBound | None:
        """Which versions the stream may use; ``None`` for all."""
        return self.origin or self.stored

    @property
    def stream(self) -> str:
        """Name of the stream, which all attempts of its caller share."""
        return name_stream(self.account, self.request)

    def get_remaining_seconds(self) -> float:
        """Return the time to the deadline, seconds; negative after it."""
        return self.deadline_at - time.monotonic()


def name_stream(account: str | None, request: CallerRequest) -> str:
    """Return the name of a stream: that of the attempt that brought its first event.

    Returns:
        The name; empty if a caller resumes a stream and doesn't name that attempt.
    """
    if request.last_event is None:
        return f"{account or ''}:{request.identity}"
    return f"{account or ''}:{request.resumes}" if request.resumes else ""
