"""Detection of requests that crash the runners that run them.

Pure: the clock is passed in.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from hashlib import blake2b

import attrs

from ..quarantine import SEPARATOR, Quarantine, parse_line
from .models import PromptPart

__all__ = [
    "CRASH_LIMIT",
    "SEPARATOR",
    "Suspects",
    "make_fingerprint",
    "make_part_fingerprints",
]

CRASH_LIMIT = 3
"""Crashed runners after which a request is refused. One crash makes every request on
the runner a suspect, but the same content on three crashed runners is unlikely to be a
coincidence."""

PART_CRASH_LIMIT = 4
"""Crashed runners after which requests with a part of a prompt are refused. A part is
shared by many requests, so more has to speak against it than against one content."""

PART_QUARANTINE_SECONDS = 600.0
"""Time after which a part may be tried again."""

PART_PREFIX = "part:"

TRUST_SECONDS = 2.0
"""Time after a success of a content in which no crash is attributed to it. When many
runners end at once, what all requests share was on each of them."""

MAX_TRUSTED = 10_000
"""Contents whose last success is remembered, about 1.5 MB; the oldest are dropped."""

SERIOUS_CRASHES = 2
"""Crashes of one content from which all relays hear of it. Most suspects of a single
crash just ran beside the cause."""

MIN_REPAIR_SECONDS = 1.0
MAX_REPAIR_SECONDS = 30.0
"""Bounds of the pause between two comparisons with other relays."""

REPAIR_AGES = 5.0
"""The pause is the time since the last news of a content with several crashes, divided
by this number."""

CRASH_CONFIRM_SECONDS = 3.0
"""Time after a broken connection within which a runner must refuse a connection for the
runner to count as crashed. A runner that only lost an answer accepts the next one."""


@attrs.frozen
class _BrokenRequest:
    """A content whose connection a runner closed.

    Attributes:
        fingerprint: Its fingerprint.
        at: When the connection ended, seconds.
        answered: Whether that may have been the end of a whole answer.
    """

    fingerprint: str
    at: float
    answered: bool = False


@attrs.frozen
class Merged:
    """What a message of another relay has changed.

    Attributes:
        changed: Changed lines of contents that ran on several crashed runners.
        combined: Contents of which each of the two relays knew one crash only.
    """

    changed: list[str]
    combined: list[str]


def make_fingerprint(account: str, method: str, target: bytes, body: bytes) -> str:
    """Return a digest that is the same each time the caller sends a request again.

    The query counts only without a body: a caller may number its attempts there.
    """
    if body:
        target = target.partition(b"?")[0]
    digest = blake2b(digest_size=10)
    for part in (account.encode(), method.encode(), target, body):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()


def make_part_fingerprints(parts: Sequence[PromptPart]) -> tuple[str, ...]:
    """Return the fingerprints of those parts of a prompt that others may share.

    The last part belongs to the request alone.
    """
    names = dict.fromkeys(part.name.lower() for part in parts[:-1])
    digests = (blake2b(name.encode(), digest_size=10) for name in names)
    return tuple(PART_PREFIX + digest.hexdigest() for digest in digests)


class Suspects:
    """Contents, whole requests or parts of prompts, that ran on crashed runners.

    A request may crash every runner that runs it, while its caller sends it again to
    any relay under a new identity each time. Without a limit, it would crash all
    runners one after another, and the requests of other callers on them would fail. The
    same holds for one part that many requests share, of which no two are alike.
    """

    def __init__(self) -> None:
        self._quarantine = Quarantine(CRASH_LIMIT)
        self._broken_requests: dict[str, list[_BrokenRequest]] = {}
        self._serious_at: float | None = None
        self._succeeded_at: OrderedDict[str, float] = OrderedDict()

    def blocks(self, fingerprint: str, now: float) -> bool:
        """Return whether requests with a content are refused."""
        if fingerprint.startswith(PART_PREFIX):
            return self._quarantine.blocks(
                fingerprint, now, PART_CRASH_LIMIT, PART_QUARANTINE_SECONDS
            )
        return self._quarantine.blocks(fingerprint, now)

    def record_broken_request(self, runner: str, fingerprint: str, now: float) -> None:
        """Record that a runner closed the connection of a request that may have run.

        Args:
            runner: The runner's incarnation. Each crashed incarnation counts, and only
                requests whose connections it closed itself are attributed to it.
            fingerprint: Fingerprint of the request.
            now: Time, seconds.
        """
        broken_requests = self._broken_requests.setdefault(runner, [])
        broken_requests.append(_BrokenRequest(fingerprint, now))

    def record_closed_request(self, runner: str, fingerprint: str, now: float) -> None:
        """Record an answer that ended with its connection, whole or by a crash."""
        broken_requests = self._broken_requests.setdefault(runner, [])
        broken_requests.append(_BrokenRequest(fingerprint, now, answered=True))

    def take_closed(self, runner: str, before: float) -> list[str]:
        """Return the requests whose answers were whole, as their runner is still there.

        Args:
            before: When the runner was asked for another connection, seconds. Requests
                that ended later aren't returned.
        """
        ended = self._broken_requests.get(runner, [])
        whole = [b for b in ended if b.answered and b.at < before]
        self._broken_requests[runner] = [b for b in ended if b not in whole]
        return [b.fingerprint for b in whole]

    def record_crash(self, runner: str, now: float) -> list[str]:
        """Record that a runner seems to have crashed.

        Returns:
            Lines to send to other relays.
        """
        broken_requests = self._broken_requests.pop(runner, [])
        recent = {
            b.fingerprint
            for b in broken_requests
            if now - b.at < CRASH_CONFIRM_SECONDS
            and not self._is_trusted(b.fingerprint, now)
        }
        if not recent:
            return []
        self._quarantine.attribute_loss(runner, recent, now)
        if self.format_serious(recent):
            self._serious_at = now
        return self._quarantine.format_lines(sorted(recent), min_losses=1)

    def count_crashes(self, fingerprint: str) -> int:
        """Return the number of crashed runners that count against a request."""
        return self._quarantine.count_losses(fingerprint)

    def record_success(self, fingerprint: str, now: float) -> int:
        """Record that a content was answered successfully.

        Returns:
            The number of crashes that no longer count against it.
        """
        self._succeeded_at[fingerprint] = now
        self._succeeded_at.move_to_end(fingerprint)
        if len(self._succeeded_at) > MAX_TRUSTED:
            self._succeeded_at.popitem(last=False)
        return self._quarantine.clear(fingerprint, now)

    def _is_trusted(self, fingerprint: str, now: float) -> bool:
        return now - self._succeeded_at.get(fingerprint, -math.inf) < TRUST_SECONDS

    def merge(self, lines: Iterable[str], now: float) -> Merged:
        """Merge the suspects that another relay sent."""
        lines = list(lines)
        known = self.format_serious(self.list_contents(lines))
        before = set(self.list_contents(known))
        changed = self._quarantine.hear(lines, now)
        for fingerprint in changed:
            if self._is_trusted(fingerprint, now):
                self._quarantine.clear(fingerprint, now)
        serious = self.format_serious(changed)
        if serious:
            self._serious_at = now
        sent = set(self.list_contents(lines, SERIOUS_CRASHES))
        combined = set(self.list_contents(serious)) - before - sent
        return Merged(serious, sorted(combined))

    @staticmethod
    def list_contents(lines: Iterable[str], min_crashes: int = 1) -> list[str]:
        """Return the fingerprints in some lines.

        Args:
            min_crashes: Crashes, cleared or not, that a line must name.
        """
        parsed = map(parse_line, lines)
        return [text for text, losses, _ in parsed if len(losses) >= min_crashes]

    def format_serious(self, fingerprints: Iterable[str]) -> list[str]:
        """Return lines about those contents that ran on several crashed runners."""
        return self._quarantine.format_lines(fingerprints, SERIOUS_CRASHES)

    def list_serious(self) -> list[str]:
        """Return lines about all contents that ran on several crashed runners."""
        return self._quarantine.tell(SERIOUS_CRASHES)

    def compute_repair_pause(self, now: float) -> float | None:
        """Return the pause before the next comparison with another relay, seconds.

        Returns:
            The pause; ``None`` if there is nothing to compare.
        """
        if self._serious_at is None:
            return None
        pause = (now - self._serious_at) / REPAIR_AGES
        return min(max(pause, MIN_REPAIR_SECONDS), MAX_REPAIR_SECONDS)

    def prune(self, now: float) -> dict[str, int]:
        """Drop broken requests that no crash followed in time.

        Returns:
            The number of dropped requests by runner.
        """
        dropped = {}
        for runner, broken_requests in list(self._broken_requests.items()):
            kept = [b for b in broken_requests if now - b.at < CRASH_CONFIRM_SECONDS]
            count = sum(b not in kept and not b.answered for b in broken_requests)
            if count:
                dropped[runner] = count
            if kept:
                self._broken_requests[runner] = kept
            else:
                del self._broken_requests[runner]
        return dropped
