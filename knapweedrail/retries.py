"""Retries: how often failed work may start again, and after what delay."""

from __future__ import annotations

import heapq
import random

from .queues import Entry

RETRY_SHARE = 0.1
"""Retries for each fresh request. When runners fail because they are overloaded,
each retry adds to what fells them; at a tenth, the load stays at 1.1 times what
callers sent, however much fails."""

RETRY_RESERVE = 20.0
"""Retries that may be saved up: two runners' worth of slots, so that the loss of one
runner in a quiet time costs no caller its answer."""

MAX_ATTEMPTS = 3
"""Runs of one request. The third failure on a third runner is seldom the runner's
fault, and each run of a long answer uses up tokens."""

BASE_DELAY_SECONDS = 0.05
MAX_DELAY_SECONDS = 2.0


class RetryBudget:
    """Share of fresh requests that may be retries, with a small reserve."""

    def __init__(self) -> None:
        self._left = RETRY_RESERVE

    def note_fresh(self) -> None:
        """Count a fresh request."""
        self._left = min(RETRY_RESERVE, self._left + RETRY_SHARE)

    def take(self) -> bool:
        """Take one retry out of the budget, if there is one."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True


class Delays:
    """Work that starts again after a delay.

    Args:
        rng: Source of the jitter.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._sequence = 0
        self._due: list[tuple[float, int, Entry]] = []

    def __len__(self) -> int:
        return len(self._due)

    def add(self, entry: Entry, now: float) -> None:
        """Keep work until its retry is due."""
        self._sequence += 1
        due = now + compute_delay(entry.attempts, self._rng)
        heapq.heappush(self._due, (due, self._sequence, entry))

    def remove(self, entry: Entry) -> None:
        """Drop work that was cancelled."""
        self._due = [item for item in self._due if item[2] is not entry]
        heapq.heapify(self._due)

    def next_due(self) -> float | None:
        """Return when the next retry is due."""
        return self._due[0][0] if self._due else None

    def take_due(self, now: float) -> list[Entry]:
        """Return the work whose delay is over."""
        found = []
        while self._due and self._due[0][0] <= now:
            found.append(heapq.heappop(self._due)[2])
        return found


def compute_delay(attempts: int, rng: random.Random) -> float:
    """Return the seconds to wait before a retry: random up to a doubling bound.

    The load it is for: a runner's end fails all its work in the same moment, at every
    router. Without jitter it all starts again in the same moment elsewhere, on
    reports that show none of it yet.

    Args:
        attempts: Runs so far, at least one.
        rng: Source of the jitter.
    """
    bound = min(MAX_DELAY_SECONDS, BASE_DELAY_SECONDS * 2**attempts)
    return bound * rng.random()
