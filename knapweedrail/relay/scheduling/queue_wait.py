"""Decision: whether a prompt would wait too long at every runner.

Pure: the clock is passed in.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from ..models import Route
from .runner_views import RunnerView

MAX_WAIT_FACTOR = 0.4
"""Fraction of the route's objective that prompts may wait at every runner before the
relay refuses further ones. Prefill takes half of the objective at the median, so a
prompt behind a longer wait misses it, as do all that follow."""

RETRY_AFTER_SPREAD = (1.0, 1.5)
"""Bounds of the random factor that turns the wait into a retry time. A queue takes
about as long to drain as it took to build up, and the spread keeps callers that were
refused together from returning together."""


def estimate_shortest_wait(
    views: Iterable[RunnerView], priority: int | None, now: float
) -> float:
    """Return a lower bound of a new prompt's wait at the best runner, seconds.

    Handles more prompts than the runners can prefill, for example when a network
    partition leaves a data centre with one runner. Every prompt would then wait until
    its caller gives up, its tokens would count as used, and the runner would prefill
    prompts whose callers have disconnected.

    The queue's wait is at least that of its oldest prompt, whatever the runner's speed
    or the length of the prompts, so no load report is needed. Another bound is the wait
    of the last prompt that got its first byte or was abandoned, minus the time since,
    because no queue drains faster than that.

    Args:
        priority: Urgency of the request; less urgent ones are prefilled after it.
    """
    return min((view.estimate_wait(priority, now) for view in views), default=0.0)


def compute_retry_after(wait: float, route: Route, rng: random.Random) -> float | None:
    """Return the retry delay of a prompt that would wait too long, seconds.

    Args:
        wait: Lower bound of the prompt's waiting time, seconds.

    Returns:
        ``None`` if the prompt should be sent.
    """
    if wait <= MAX_WAIT_FACTOR * route.objective:
        return None
    return wait * rng.uniform(*RETRY_AFTER_SPREAD)
