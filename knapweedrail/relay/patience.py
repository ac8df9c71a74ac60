"""Decision: whether a prompt would wait too long at every runner.

Pure: the clock is passed in.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from .models import Route
from .views import RunnerView

MAX_WAIT_FACTOR = 0.4
"""How many times a route's objective prompts may wait at every runner before the relay
sends no more there. Reading a prompt takes half of the objective at the median, so what
comes behind a longer wait is surely late, and all that come after it as well."""

RETRY_AFTER_SPREAD = (1.0, 1.5)
"""Bounds of what the wait is multiplied by to say when to come back: as long as the
queue has grown it takes to shrink, and callers refused together come back apart."""


def find_wait(views: Iterable[RunnerView], rank: int | None, now: float) -> float:
    """Return the shortest time that a prompt has waited at the runners by now, seconds.

    The load it is for: more prompts than the runners can read, as when a cut leaves a
    data centre with one of them. Every prompt then waits until its caller leaves, its
    tokens count as used, and the runner reads prompts that nobody waits for. The wait
    of the oldest one is what the queue's wait is at least, whatever the runner's speed
    or the prompts' lengths, and needs no report. So is the wait of the last one that
    was read or given up, less the time since, as no queue shrinks faster than that.

    Args:
        rank: Urgency of the request; less urgent ones are read after it.
    """
    return min((view.estimate_wait(rank, now) for view in views), default=0.0)


def plan_return(wait: float, route: Route, rng: random.Random) -> float | None:
    """Return when a prompt that waits so long should come back, or ``None`` if it
    should be sent, seconds."""
    if wait <= MAX_WAIT_FACTOR * route.objective:
        return None
    return wait * rng.uniform(*RETRY_AFTER_SPREAD)
