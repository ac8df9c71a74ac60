"""Data types of a relay: configuration, runners, requests and answers."""

from __future__ import annotations

import enum

import attrs


class RetryPolicy(enum.Enum):
    """Which requests of a route may be sent again.

    ``SAFE`` requests may always be repeated, ``ONCE`` requests run at most once, and a
    ``STREAM`` may be repeated if its route is resumable.
    """

    SAFE = "safe"
    ONCE = "once"
    STREAM = "stream"


@attrs.frozen
class Share:
    """Weight of one endpoint in a route's traffic split."""

    endpoint: str
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """A host name and path prefix, and how their requests are handled.

    Attributes:
        host: Host name, in lower case.
        prefix: Path prefix; begins and ends with a slash.
        retry_policy: Which requests may be sent again.
        timeout: Longest time that a caller is kept waiting, seconds.
        objective: Callers' objective for the time to the first byte, seconds.
        gap: Callers' objective for the longest pause between events, seconds.
        priority: Urgency; 0 is the most urgent.
        shares: Endpoints and the weight of each.
        max_runners: Largest number of runners to which one request may be sent.
        needs_key: Whether the caller must send an API key.
        resumable: Whether a stream may be resumed at another runner.
    """

    name: str
    host: str
    prefix: str
    retry_policy: RetryPolicy
    timeout: float
    objective: float
    gap: float
    priority: int
    shares: tuple[Share, ...]
    max_runners: int
    needs_key: bool
    resumable: bool

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent to another runner."""
        if self.retry_policy is RetryPolicy.STREAM:
            return self.resumable
        return self.retry_policy is RetryPolicy.SAFE


@attrs.frozen(kw_only=True)
class Endpoint:
    """A group of runners that serve the same work.

    Attributes:
        health_path: Path of a runner's health check.
        max_connections: Connections that a runner accepts from all callers together.
        cache_tokens: Tokens that fit into a runner's cache; 0 for a plain service.
        tokens_per_event: Largest number of tokens in one event of a stream.
        cold_seconds: How long a runner is cold after it has started.
        cold_rate: Requests per second from all relays together that a cold runner
            tolerates; 0 if its runners need no such care.
    """

    name: str
    health_path: str
    max_connections: int
    cache_tokens: int = 0
    tokens_per_event: int = 1
    cold_seconds: float = 0.0
    cold_rate: float = 0.0


@attrs.frozen(kw_only=True)
class Account:
    """A client account.

    Attributes:
        keys: API keys.
        priority: Urgency that overrides the route's; ``None`` uses the route's.
        prepaid: Total number of tokens that it may use; ``None`` for no limit.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    prepaid: int | None = None


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Limits on callers' requests and connections; sizes in bytes, times in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_seconds: float = 5.0
    idle_seconds: float = 15.0


@attrs.frozen(kw_only=True)
class Configuration:
    """One version of the operator's configuration."""

    version: int
    routes: tuple[Route, ...]
    endpoints: dict[str, Endpoint]
    accounts: dict[str, Account] | None
    limits: CallerLimits


class RunnerState(enum.Enum):
    """State that a runner reports in the platform's store."""

    READY = "ready"
    LEAVING = "leaving"


UNKNOWN_START = 0
"""Start time of an incarnation whose runner reports none; it counts as the oldest."""


@attrs.frozen(cache_hash=True)
class RunnerIncarnation:
    """Identifies one incarnation of a runner.

    A runner may restart under the same name and loses all its state, so observations of
    one incarnation don't apply to the next.

    Attributes:
        name: Name of the runner; a restart may keep or change it.
        started: Start time, Unix milliseconds by the runner's clock.
    """

    name: str
    started: int = UNKNOWN_START

    def __str__(self) -> str:
        return f"{self.name}@{self.started}" if self.started else self.name


@attrs.frozen(kw_only=True)
class Runner:
    """One incarnation of a runner, as listed in the platform's store.

    Attributes:
        name: Unique among the runners listed at one time.
        address: ``host:port``; another runner may reuse it later.
        slots: Requests that it processes concurrently.
        started: Start time of this incarnation, Unix milliseconds.
        cold_left: How long it stays cold as of its entry, seconds; ``None`` if the
            entry doesn't say.
        version: Version of its software, empty if its entry states none; ``None`` if
            it isn't listed yet.
    """

    name: str
    endpoint: str
    address: str
    data_centre: str
    slots: int
    state: RunnerState
    started: int = UNKNOWN_START
    cold_left: float | None = None
    version: str | None = ""

    @property
    def incarnation(self) -> RunnerIncarnation:
        """Identifies this incarnation among those of the same name."""
        return RunnerIncarnation(self.name, self.started)


@attrs.frozen
class PromptPart:
    """A part of a prompt that requests may share, identified by its content."""

    name: str
    tokens: int


@attrs.frozen(kw_only=True)
class CallerRequest:
    """A caller's request, decoded.

    Attributes:
        identity: Request id that the caller chose for this attempt.
        target: Path and query as sent.
        headers: Headers to forward, without those that the relay sets.
        deadline: Seconds for which the caller waits; ``None`` if not given.
        prompt_tokens: Prompt tokens; 0 for a plain call.
        max_output_tokens: Largest number of output tokens; 0 for a plain call.
        hinted_tokens: The caller's estimate of its output tokens; ``None`` if there is
            none.
        last_event: Number of the last event that the caller has received, if it
            resumes a stream.
        resumes: Identity of the caller's attempt that brought the first event of the
            stream that it resumes; ``None`` if it doesn't say.
        unknown_headers: Names of headers whose meaning isn't known.
    """

    identity: str
    method: str
    target: bytes
    host: str
    path: str
    headers: tuple[tuple[bytes, bytes], ...]
    key: str | None
    deadline: float | None
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    hinted_tokens: float | None = None
    parts: tuple[PromptPart, ...] = ()
    last_event: int | None = None
    resumes: str | None = None
    unknown_headers: tuple[str, ...] = ()

    @property
    def max_tokens(self) -> int:
        """Largest number of tokens that the request may use."""
        return self.prompt_tokens + self.max_output_tokens


@attrs.frozen
class Malformed:
    """A request that can't be decoded.

    Attributes:
        reason: What is wrong with it; part of the refusal that the caller gets.
    """

    reason: str


class Framing(enum.Enum):
    """What marks the end of an answer's body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


@attrs.frozen(kw_only=True)
class RunnerAnswer:
    """Status line and headers of a runner's answer, decoded.

    Attributes:
        identity: Id of the answered request; ``None`` if not given.
        sealed: Whether the answer has the runner's seal header.
        not_run: Whether the runner reports that it didn't run the request.
        running, waiting, slots: The runner's load; ``None`` if not given.
        pace: How long work takes there now, as a multiple of the usual; ``None`` if not
            given.
        load_unreadable: Whether it states a load that can't be read.
        event_stream: Whether its body is an event stream.
        headers: Headers to forward to the caller.
        idle_seconds: How long the runner keeps an idle connection open; ``None`` if not
            given.
        runner: Name of the runner that answers; ``None`` if not given.
        limit: Requests per second that the runner accepts from all relays together;
            ``None`` if it gives no limit.
        cold_left: How long the runner stays cold, seconds; ``None`` if not given.
        brittle: Rejections in one second after which the runner falls over; ``None`` if
            it states none.
        leaving: Whether the runner says that it is about to end.
        retry_after: How long a runner that rejects the request wants no further ones
            from this host, seconds; ``None`` if it doesn't say.
        unknown_headers: Names of headers whose meaning isn't known.
    """

    status: int
    identity: str | None
    sealed: bool
    not_run: bool
    running: int | None
    waiting: int | None
    slots: int | None
    event_stream: bool
    headers: tuple[tuple[bytes, bytes], ...]
    idle_seconds: float | None
    runner: str | None = None
    limit: float | None = None
    cold_left: float | None = None
    brittle: float | None = None
    leaving: bool = False
    retry_after: float | None = None
    pace: float | None = None
    load_unreadable: bool = False
    unknown_headers: tuple[str, ...] = ()


@attrs.frozen
class RunnerReport:
    """A runner's answer to a request for its report.

    Attributes:
        cache_tokens: Tokens that fit into its cache; 0 if it isn't an engine.
        started: Start time of its incarnation, Unix milliseconds.
    """

    cache_tokens: int
    started: int = UNKNOWN_START


@attrs.frozen
class Member:
    """A relay that is a member of the fleet.

    Attributes:
        host: Name of its host.
        holder: Identifies its present incarnation as a holder of tokens.
        address: ``host:port`` of its server for other relays; empty if it has none.
        data_centre: Data centre of its host.
        tunnel_address: ``host:port`` where it connects other relays to runners; empty
            if it doesn't.
    """

    host: str
    holder: str
    address: str = ""
    data_centre: str = ""
    tunnel_address: str = ""
