"""Retry budget: how often failed work may start again, and after what delay."""

from __future__ import annotations

import random

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
