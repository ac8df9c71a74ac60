"""One admitted request, what its attempts share, and what may become of each."""

from __future__ import annotations

import enum
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

import attrs

from ..limits import LimitNews
from .codecs import Codec
from .connections import ConnectionPool
from .measures import RelayMeasures
from .models import CallerRequest, Endpoint, Route, Runner, RunnerAnswer
from .pressure import Pressure
from .response_writer import ResponseWriter
from .retries import RetryShare
from .routes import Priorities
from .runners import RunnerTable
from .streams import StreamProgress
from .suspects import Suspects
from .unknown_headers import UnknownHeaderLog


class FailureKind(enum.Enum):
    """What became of an attempt at a runner that gave no answer to pass on."""

    NOT_SENT = "no byte was sent"
    NOT_RUN = "the runner says that it didn't run the request"
    BROKEN = "the connection broke or carried something else"
    SILENT = "nothing came in time"


@dataclass(frozen=True)
class AttemptFailed:
    """An attempt failed.

    Attributes:
        failure: How.
        detail: What was seen.
        answer: A runner's own failure, which may be passed on as it is.
        body: That answer's body.
        runner: Name of the runner.
    """

    kind: FailureKind
    detail: str
    answer: RunnerAnswer | None = None
    body: bytes = b""
    runner: str = ""


@dataclass(frozen=True)
class Answered:
    """The caller has its answer.

    Attributes:
        runner: Name of the runner that gave its end.
    """

    status: int
    runner: str


@attrs.frozen(kw_only=True)
class Services:
    """What exchanges share."""

    codec: Codec
    pool: ConnectionPool
    runners: RunnerTable
    retries: RetryShare
    data_centre: str
    rng: random.Random
    measures: RelayMeasures
    suspects: Suspects
    tell_suspects: Callable[[list[str]], None]
    pressure: Pressure
    count_relays: Callable[[], int]
    note_successor: Callable[[Runner, str], None]
    tell_limit: Callable[[LimitNews], None] = lambda news: None
    unknown_headers: UnknownHeaderLog = attrs.field(factory=UnknownHeaderLog)


@attrs.define(kw_only=True)
class RequestContext:
    """One admitted request, and how far it has come.

    Attributes:
        body: Its whole body.
        account: Name of its client account, if it has one.
        ranks: Its urgency.
        fingerprint: What tells its content from others.
        ends_at: When its caller, or its route, has waited long enough.
        delivery: Its answer.
        progress: Which events of a stream its caller has.
        arrivals: Runners that it was sent to, without those that were gone and whose
            address another one had.
        may_have_run: Whether a runner may have begun to work on it. Set before the
            first byte is sent, so that a caller that leaves right after it doesn't
            make its tokens free.
    """

    services: Services
    request: CallerRequest
    body: bytes
    route: Route
    endpoint: Endpoint
    account: str | None
    priorities: Priorities
    fingerprint: str
    deadline_at: float
    response: ResponseWriter
    progress: StreamProgress
    counted_attempts: int = 0
    may_have_run: bool = False

    def get_remaining_seconds(self) -> float:
        """Return the seconds that are left."""
        return self.deadline_at - time.monotonic()
