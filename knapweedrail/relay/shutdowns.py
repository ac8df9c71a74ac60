"""Decision: which requests a relay that stops still takes.

Pure: times are passed in. Whoever stops a process kills it after a given time, and an
answer that isn't complete by then is lost: its caller has half a stream, or doesn't
know whether a call has run. A request that is refused at once is served by another
host. So what decides is whether the answer fits into the time that is left.
"""

from __future__ import annotations

import collections
import itertools

import attrs

RESERVED_SECONDS = 1.3
"""Most that is kept of the time to stop for giving tokens back and closing what is
left; a process that is still there when the time is over is killed, and its last log
lines with it. Closing was seen to take 0.3 s, giving back may wait for the store."""

RESERVED_SHARE = 1 / 7
"""And the most in parts of the time to stop: of three seconds, 1.3 would be kept from
answers that could still end."""

RELEASE_SHARE = 0.4
"""Part of what is kept for the end in which tokens go back. Half of it was too much on
a host with half a core, which was killed before its process had ended."""

ADMISSION_WINDOW_SECONDS = 2.5
"""How long after the signal requests are taken whose own limit doesn't fit. The
balancer takes 2.2 s to notice; whoever is sent here later has other hosts. Half a
second less than the three that callers are granted, for a signal that is noticed
late."""

MIN_ESTIMATE_SECONDS = 3.0
"""What an answer is thought to take at least on a route of which few have ended here:
right after a start the slow ones are those that haven't ended yet."""

MIN_SAMPLES = 16
"""Answers from which on a route is judged by them alone: of so many, one is slower than
nineteen in twenty."""

MAX_SAMPLES = 64
"""Answers by which a route is judged: at a few requests a second and host, the last
half minute; one in sixty is slower than all of them."""


@attrs.define
class _RouteDurations:
    finished: collections.deque[float] = attrs.Factory(
        lambda: collections.deque(maxlen=MAX_SAMPLES)
    )
    running: dict[int, float] = attrs.Factory(dict)


class AnswerDurations:
    """How long answers take, by route."""

    def __init__(self) -> None:
        self._routes: dict[str, _RouteDurations] = {}
        self._numbers = itertools.count()

    def begin(self, route: str, now: float) -> int:
        """Take in that an answer is under way; return its number."""
        number = next(self._numbers)
        self._routes.setdefault(route, _RouteDurations()).running[number] = now
        return number

    def end(self, route: str, number: int, now: float, is_sample: bool) -> None:
        """Take in that it isn't any more.

        Args:
            counts: Whether it took as long as answers take; a quick failure says
                nothing of that.
        """
        began_at = self._routes[route].running.pop(number)
        if is_sample:
            self.record(route, now - began_at)

    def record(self, route: str, seconds: float) -> None:
        """Take in an answer that has ended."""
        self._routes.setdefault(route, _RouteDurations()).finished.append(seconds)

    def find_slowest(self, route: str, now: float) -> float:
        """Return the longest of the last answers and of those under way, seconds."""
        durations = self._routes.get(route, _RouteDurations())
        slowest = max(durations.finished, default=0.0)
        if len(durations.finished) < MIN_SAMPLES:
            slowest = max(slowest, MIN_ESTIMATE_SECONDS)
        oldest = now - min(durations.running.values(), default=now)
        return max(slowest, oldest)


@attrs.frozen
class Shutdown:
    """One stop, from the signal to the end.

    The load it is for: hosts are stopped in turn, faster than they come back. Most of a
    data centre is out of rotation, and the balancer then sends callers to all of its
    hosts, also to those that have seconds left.

    Attributes:
        asked_at: When the process was told to stop.
        seconds: Time from then until it is killed.
    """

    requested_at: float
    seconds: float

    @property
    def answers_due_at(self) -> float:
        """When the last answers must have ended."""
        reserved = min(RESERVED_SECONDS, RESERVED_SHARE * self.seconds)
        return self.requested_at + self.seconds - reserved

    @property
    def tokens_due_at(self) -> float:
        """When tokens must have gone back, so that the rest can be closed."""
        reserved = self.requested_at + self.seconds - self.answers_due_at
        return self.answers_due_at + RELEASE_SHARE * reserved

    def admits(self, now: float, limit: float, slowest: float) -> bool:
        """Return whether a request that is here now should run.

        A request whose own limit ends in time is safe whatever its runner does, and is
        taken to the last. Of the others, only what comes early and fits as well if it
        takes as long as the slowest of its kind.

        Args:
            limit: Time after which the request has its final answer in any case, its
                caller's or its route's, seconds.
            slowest: What the slowest of the last answers on its route took, seconds.
        """
        left = self.answers_due_at - now
        if limit <= left:
            return True
        in_window = now <= self.requested_at + ADMISSION_WINDOW_SECONDS
        return in_window and slowest <= left
