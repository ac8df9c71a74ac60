"""What callers sent and got, what runners ran, and what was done to the fleet.

Times are seconds of one steady clock, which all processes of a machine share.
"""

from __future__ import annotations

import enum
import json
from hashlib import blake2b
from pathlib import Path
from typing import Any

import attrs

MOST_EVENTS = 40
"""Events of the longest stream; at two hundredths of a second each, one lasts long
enough for a fault to meet it."""


STOP, REBIRTH, SPOILT = "stop", "live again", "spoil entry"
"""Disturbances that the judge knows by name: a relay asked to stop, a runner's next
life under its name, and an entry that names no runner in the place of a runner's."""

STOP_SECONDS = 8.0
"""Time that relays have to stop in, as their platform gives it."""

ROUTE_VERSIONS = 2
"""Versions of the configuration that have the route that one of them adds."""

EVERYONE = "all"
"""Target of what is done to all relays."""

EVENT_SECONDS = 0.02
"""Pause between the events of most streams."""

LONG_SHARE = 32
"""Of 256 streams, those that take longer than most of the time to stop leaves."""

LONG_SECONDS = (3.0, 5.0)
"""How long these take."""

CACHE_TOKENS = 1_000_000
"""Tokens that a runner's memory holds, by its own word; it reads no prompts."""


CRASHING_BODY = b"crash"
"""Begin of a body that crashes the runner that runs it."""

CRASHING_PART = "bad"
"""Begin of the name of a prompt's part that does."""


class Kind(enum.Enum):
    """What may be repeated of a request."""

    SAFE = "safe"
    ONCE = "once"
    STREAM = "stream"
    RESUMED = "resumed"

    @property
    def runs_once(self) -> bool:
        """Whether a second run is a broken promise."""
        return self in (Kind.ONCE, Kind.STREAM)

    @property
    def streams(self) -> bool:
        """Whether the answer is a series of events."""
        return self in (Kind.STREAM, Kind.RESUMED)

    @property
    def timeout(self) -> float:
        """The time that its route gives it, seconds; streams get more than a stop."""
        return 9.0 if self.streams else 4.0


@attrs.frozen(kw_only=True)
class Sent:
    """A request of a caller, and what came of it.

    Attributes:
        relay: Host it was sent to.
        life: Number of the relay process's life.
        ended_at: When its answer ended, however.
        status: Of the answer; 0 for none.
        whole: Whether its end was told.
        body: What came of it.
        connected: Whether the relay accepted its connection.
        left: Whether the caller ended it.
        reset: Whether its connection was reset before any answer came. The system does
            so where a connection is closed with bytes that nobody has read.
        written_at: When its last byte was written; ``None`` if it never was.
        resumes: Identity of the request whose stream it resumes; empty for a new one.
        last_event: Number of the last event of that stream that the caller has.
    """

    identity: str
    kind: Kind
    account: str
    path: str
    relay: str
    life: int
    prompt: int
    most_output: int
    sent_at: float
    ended_at: float
    status: int
    whole: bool
    body: bytes
    connected: bool = True
    left: bool = False
    reset: bool = False
    resumes: str = ""
    last_event: int = 0
    written_at: float | None = attrs.field()

    @written_at.default
    def _write_at_once(self) -> float:
        return self.sent_at

    @property
    def stream(self) -> str:
        """Identity of the request that began its stream."""
        return self.resumes or self.identity


@attrs.frozen
class Ran:
    """A runner began to work on a request.

    Attributes:
        first: Number of the first event that it makes.
        started: Start of the runner's life, Unix milliseconds.
        crashes: What in the request crashes the runner; empty for a sound one.
    """

    identity: str
    runner: str
    account: str
    at: float
    first: int
    started: int = 0
    crashes: str = ""


@attrs.frozen
class Disturbance:
    """Something was done to the fleet from outside.

    Attributes:
        target: Host, runner or ``store``.
        ended_at: When it was over; for a stop, when the process had ended.
    """

    kind: str
    target: str
    began_at: float
    ended_at: float


@attrs.frozen
class Finding:
    """A promise that was broken."""

    promise: str
    detail: str


@attrs.define
class History:
    """All that was seen in a run.

    Attributes:
        prepaid: Tokens that each account may use, at the highest of all versions.
        exits: Exit codes of relays that were asked to stop, or ended by themselves.
        trapped: Requests at the address that entries of another writer give.
        versions: When each version of the configuration was acknowledged, from 1 on.
        crashing: Requests that were sent to crash runners.
        crashing_errors: What came of those that got no answer.
    """

    prepaid: dict[str, int]
    sent: list[Sent] = attrs.field(factory=list)
    ran: list[Ran] = attrs.field(factory=list)
    disturbances: list[Disturbance] = attrs.field(factory=list)
    exits: list[tuple[str, int]] = attrs.field(factory=list)
    trapped: list[str] = attrs.field(factory=list)
    versions: list[float] = attrs.field(factory=list)
    crashing: list[Sent] = attrs.field(factory=list)
    crashing_errors: list[str] = attrs.field(factory=list)

    def count_versions(self, at: float) -> int:
        """Return the newest version that was acknowledged at a time."""
        return sum(known_at <= at for known_at in self.versions)


def count_events(identity: str) -> int:
    """Return how many events a request's stream has, the same at every runner."""
    digest = blake2b(identity.encode(), digest_size=4).digest()
    return 1 + int.from_bytes(digest[:2], "big") % MOST_EVENTS


def find_pause(identity: str) -> float:
    """Return the time between two events of a request's stream, seconds.

    The longest are spread over seconds, so that they are at work in most of a stop.
    """
    digest = blake2b(identity.encode(), digest_size=4).digest()
    if digest[2] >= LONG_SHARE:
        return EVENT_SECONDS
    shortest, longest = LONG_SECONDS
    seconds = shortest + (longest - shortest) * digest[3] / 255
    return seconds / count_events(identity)


def find_software_version(started: int) -> str:
    """Return the version of a runner's software in the life that began at a time.

    Args:
        started: Start of the life, Unix milliseconds.
    """
    return f"v{started % 2 + 1}"


def make_comment(version: str) -> bytes:
    """Return the line before an event that names the version which made it."""
    return b": %s\n" % version.encode()


def make_event(identity: str, number: int) -> bytes:
    """Return one event of a request's stream, without a comment."""
    return b"id: %d\ndata: %s %d\n\n" % (number, identity.encode(), number)


def make_answer(identity: str, kind: Kind, last_event: int = 0) -> bytes:
    """Return the whole answer to a request, or what follows an event of a stream."""
    if not kind.streams:
        return b"done " + identity.encode()
    numbers = range(last_event + 1, count_events(identity) + 1)
    return b"".join(make_event(identity, number) for number in numbers)


def write_line(path: Path, line: dict[str, Any]) -> None:
    """Append one line that another process reads."""
    with path.open("a") as file:
        file.write(json.dumps(line) + "\n")


def read_runs(path: Path) -> list[Ran]:
    """Read what a runner wrote of the requests that it ran."""
    if not path.exists():
        return []
    lines = path.read_text().splitlines()
    return [Ran(**json.loads(line)) for line in lines]
