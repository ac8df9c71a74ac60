"""What a relay knows: its configuration, the runners, and a caller's request."""

from __future__ import annotations

import enum

import attrs


class Repetition(enum.Enum):
    """What may be sent again of a route's requests."""

    SAFE = "safe"
    ONCE = "once"
    STREAM = "stream"


@attrs.frozen
class Share:
    """Part of a route's requests that goes to one endpoint."""

    endpoint: str
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """A host name and path prefix, and how its requests are handled.

    Attributes:
        host: Host name, in lower case.
        prefix: Path prefix; begins and ends with a slash.
        repetition: What may be repeated.
        timeout: Longest time that a caller is kept waiting, seconds.
        objective: Time to the first byte that callers aim at, seconds.
        gap: Longest pause between events that callers aim at, seconds.
        rank: Urgency; 0 is the most urgent.
        shares: Endpoints and the weight of each.
        max_runners: Most runners that one request may be sent to.
        needs_key: Whether the caller must show an API key.
        resumable: Whether a stream may go on at another runner.
    """

    name: str
    host: str
    prefix: str
    repetition: Repetition
    timeout: float
    objective: float
    gap: float
    rank: int
    shares: tuple[Share, ...]
    max_runners: int
    needs_key: bool
    resumable: bool

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent to another runner."""
        if self.repetition is Repetition.STREAM:
            return self.resumable
        return self.repetition is Repetition.SAFE


@attrs.frozen(kw_only=True)
class Endpoint:
    """A service behind the relay.

    Attributes:
        health_path: Path that tells a runner's health.
        max_connections: Connections a runner bears from all callers together.
        cache_tokens: Tokens a runner's memory holds; 0 for a plain service.
        tokens_per_event: Tokens that one event of a stream may hold, at most.
    """

    name: str
    health_path: str
    max_connections: int
    cache_tokens: int = 0
    tokens_per_event: int = 1


@attrs.frozen(kw_only=True)
class Account:
    """A client account.

    Attributes:
        keys: API keys.
        rank: Urgency that goes before the route's; ``None`` leaves the route's.
        prepaid: Tokens it may use in all; ``None`` is without limit.
    """

    name: str
    keys: tuple[str, ...]
    rank: int | None = None
    prepaid: int | None = None


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Bounds on what a caller may send; sizes in bytes, times in seconds."""

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
    """What a runner says of itself in the platform's store."""

    READY = "ready"
    LEAVING = "leaving"


UNKNOWN_START = 0
"""Start of a life whose runner doesn't tell it; it counts as before all others."""


@attrs.frozen(cache_hash=True)
class RunnerLife:
    """What tells one life of a runner from all others.

    A runner may start again under the name that it had, and then holds and knows
    nothing of before. What was seen of one life says nothing of the next.

    Attributes:
        name: Kept or changed by a restart.
        started: When it started, Unix milliseconds by the runner's clock.
    """

    name: str
    started: int = UNKNOWN_START

    def __str__(self) -> str:
        return f"{self.name}@{self.started}" if self.started else self.name


@attrs.frozen(kw_only=True)
class Runner:
    """One life of a runner, as listed in the platform's store.

    Attributes:
        name: Unique among the runners of one moment.
        address: ``host:port``; may be taken over by another runner later.
        slots: Requests it works on at once.
        started: When this life started, Unix milliseconds.
    """

    name: str
    endpoint: str
    address: str
    data_centre: str
    slots: int
    state: RunnerState
    started: int = UNKNOWN_START

    @property
    def life(self) -> RunnerLife:
        """What tells this life from others under the same name."""
        return RunnerLife(self.name, self.started)


@attrs.frozen
class PromptPart:
    """A part of a prompt that requests may share, named by its content."""

    name: str
    tokens: int


@attrs.frozen(kw_only=True)
class CallerRequest:
    """A caller's request, decoded.

    Attributes:
        identity: The caller's name for this attempt.
        target: Path and query as sent.
        headers: Headers to pass on, without those that the relay sets.
        deadline: Seconds that the caller will wait; ``None`` if it didn't say.
        prompt_tokens: Prompt tokens; 0 for a plain call.
        most_output: Most output tokens; 0 for a plain call.
        last_event: Number of the last event that the caller has, if it resumes.
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
    most_output: int = 0
    parts: tuple[PromptPart, ...] = ()
    last_event: int | None = None

    @property
    def most_tokens(self) -> int:
        """Tokens that the request may use, at most."""
        return self.prompt_tokens + self.most_output


@attrs.frozen
class Malformed:
    """A request that can't be understood.

    Attributes:
        reason: What is wrong with it.
    """

    reason: str


@attrs.frozen(kw_only=True)
class RunnerAnswer:
    """Status line and headers of a runner's answer, decoded.

    Attributes:
        identity: The request it answers; ``None`` if it doesn't say.
        sealed: Whether it bears the runner's seal.
        not_run: Whether the runner says that it didn't run the request.
        running, waiting, slots: The runner's load; ``None`` if it doesn't say.
        event_stream: Whether its body is a series of events.
        headers: Headers to pass on to the caller.
        idle_seconds: How long the runner keeps an idle connection; ``None`` if it
            doesn't say.
        runner: Name of the runner that answers; ``None`` if it doesn't say.
        limit: Requests a second that the runner takes from all relays together;
            ``None`` if it names no limit.
        unread: Names of headers whose meaning isn't known.
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
    unread: tuple[str, ...] = ()


@attrs.frozen
class RunnerReport:
    """What a runner says of itself when it is asked.

    Attributes:
        cache_tokens: Tokens that its memory holds; 0 if it is no engine.
        started: When its life started, Unix milliseconds.
    """

    cache_tokens: int
    started: int = UNKNOWN_START


@attrs.frozen
class Member:
    """A relay that takes part.

    Attributes:
        host: Name of its host.
        holder: Its present life.
        address: Where it answers other relays; empty if it doesn't.
        data_centre: Where its host stands.
    """

    host: str
    holder: str
    address: str = ""
    data_centre: str = ""
