"""Decides which requests a relay still admits while it shuts down.

Pure: times are passed in. A process that was asked to shut down is killed after its
grace period, and an answer that isn't complete by then is lost: its caller gets an
incomplete stream, or can't tell whether its call has run. A request that is refused at
once is served by another host. So a request is admitted if its answer fits into the
time that is left.
"""

from __future__ import annotations

import collections
import itertools

import attrs

RESERVED_SECONDS = 1.3
"""Longest part of the grace period that is reserved for returning tokens and closing
connections. A process that is still running when the period is over is killed, and its
last log lines are lost. Closing was measured at 0.3 s; returning tokens may have to
wait for the store."""

RESERVED_SHARE = 1 / 7
"""Largest share of the grace period that is reserved. Reserving 1.3 s of a
period of three seconds would cut off answers that could still finish."""

RELEASE_SHARE = 0.4
"""Share of the reserved time in which tokens are returned. A share of one half was too
much on a host with half a core: the process was killed before it had exited."""

ADMISSION_WINDOW_SECONDS = 2.5
"""Time after the signal during which a request is admitted although its own time limit
exceeds the time left. The load balancer takes 2.2 s to notice the shutdown; requests
that arrive later can be served by other hosts. Callers are promised three seconds;
the window is half a second shorter because the signal may be noticed late."""

MIN_ESTIMATE_SECONDS = 3.0
"""Smallest estimate of an answer's duration on a route with few samples: right after a
start, slow answers haven't finished yet and so aren't among the samples."""

MIN_SAMPLES = 16
"""Number of samples from which `MIN_ESTIMATE_SECONDS` no longer applies to a route: the
slowest of 16 samples is about the 95th percentile."""

MAX_SAMPLES = 64
"""Samples kept for each route. At a few requests per second and host they cover the
last half minute; about one answer in sixty is slower than all of them."""


@attrs.define
class _RouteDurations:
    finished: collections.deque[float] = attrs.Factory(
        lambda: collections.deque(maxlen=MAX_SAMPLES)
    )
    running: dict[int, float] = attrs.Factory(dict)


class AnswerDurations:
    """Tracks how long answers take, by route."""

    def __init__(self) -> None:
        self._routes: dict[str, _RouteDurations] = {}
        self._numbers = itertools.count()

    def begin(self, route: str, now: float) -> int:
        """Record that an answer is in progress; return its number."""
        number = next(self._numbers)
        self._routes.setdefault(route, _RouteDurations()).running[number] = now
        return number

    def end(self, route: str, number: int, now: float, is_sample: bool) -> None:
        """Record that an answer is no longer in progress.

        Args:
            route: Name of its route.
            number: The number that `begin` returned.
            now: The present time, by the clock given to `begin`, seconds.
            is_sample: Whether its duration is typical of answers; that of a quick
                failure isn't.
        """
        began_at = self._routes[route].running.pop(number)
        if is_sample:
            self.record(route, now - began_at)

    def record(self, route: str, seconds: float) -> None:
        """Record the duration of an answer that has finished, seconds."""
        self._routes.setdefault(route, _RouteDurations()).finished.append(seconds)

    def find_slowest(self, route: str, now: float) -> float:
        """Return the longest duration of recent and current answers, seconds.

        The duration of an answer in progress is the time since it began. A route with
        few samples has an estimate of at least `MIN_ESTIMATE_SECONDS`.
        """
        durations = self._routes.get(route, _RouteDurations())
        slowest = max(durations.finished, default=0.0)
        if len(durations.finished) < MIN_SAMPLES:
            slowest = max(slowest, MIN_ESTIMATE_SECONDS)
        oldest = now - min(durations.running.values(), default=now)
        return max(slowest, oldest)


@attrs.frozen
class Shutdown:
    """Time budget of one shutdown, from the signal until the process is killed.

    Designed for rolling restarts in which hosts are stopped faster than they return:
    most of a data centre is out of rotation, and the load balancer then sends callers
    to all of its hosts, including those that have only seconds left.

    Attributes:
        requested_at: When the process was asked to shut down, by the monotonic clock,
            seconds.
        seconds: Grace period: time from then until the process is killed.
    """

    requested_at: float
    seconds: float

    @property
    def answers_due_at(self) -> float:
        """When the last answers must have finished."""
        reserved = min(RESERVED_SECONDS, RESERVED_SHARE * self.seconds)
        return self.requested_at + self.seconds - reserved

    @property
    def tokens_due_at(self) -> float:
        """When tokens must have been returned, so that the rest can be closed."""
        reserved = self.requested_at + self.seconds - self.answers_due_at
        return self.answers_due_at + RELEASE_SHARE * reserved

    def admits(self, now: float, limit: float, slowest: float) -> bool:
        """Return whether a request that has arrived should run.

        A request whose own limit fits into the time left is safe whatever its runner
        does, and is always admitted. Any other request is admitted only within the
        admission window, and only if it fits even when it takes as long as the slowest
        recent answer on its route.

        Args:
            now: The present time, by the clock of `requested_at`, seconds.
            limit: Longest time until the request has its final answer, by its caller's
                deadline or its route's timeout, seconds.
            slowest: Duration of the slowest recent answer on its route, seconds.
        """
        left = self.answers_due_at - now
        if limit <= left:
            return True
        in_window = now <= self.requested_at + ADMISSION_WINDOW_SECONDS
        return in_window and slowest <= left
