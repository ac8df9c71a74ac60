"""Which life of each runner is the newest that was heard of.

Pure.
"""

from __future__ import annotations

import enum
from collections import OrderedDict

from .models import UNKNOWN_START, RunnerLife

MAX_INCARNATIONS = 10_000
"""Runners whose newest life is remembered, also after they are gone; those not heard
of for longest are forgotten first. About 1.5 MB."""


class Reading(enum.Enum):
    """What became of an entry of a runner."""

    TAKEN = "taken"
    RESTARTED = "taken; the runner has begun another life"
    OUTDATED = "left, since a later life is known"


class IncarnationTracker:
    """The newest life of each runner.

    What goes wrong without it: a write of an earlier life that the store carries out
    late, or a list that was on its way, shows a runner as it was. It would get work
    that nobody is there to do, and the present life would lose what is known of it.
    This outlasts the runner's own record, which is dropped soon after its entry.
    """

    def __init__(self) -> None:
        self._newest: OrderedDict[str, int] = OrderedDict()

    def observe(self, life: RunnerLife) -> bool:
        """Take in a life that was heard of; return whether none is known after it."""
        newest = self._newest.get(life.name, UNKNOWN_START)
        if life.started < newest:
            return False
        self._newest[life.name] = life.started
        self._newest.move_to_end(life.name)
        if len(self._newest) > MAX_INCARNATIONS:
            self._newest.popitem(last=False)
        return True


class StartTelling:
    """Whether the runners of this cluster tell when they started.

    Where they do, an entry that doesn't is another writer's, and names no runner. A
    cluster whose runners don't tell it yet is served as well, so the many decide: one
    foreign entry with a start must not make strangers of all runners.
    """

    def __init__(self) -> None:
        self._reports_start: dict[str, bool] = {}

    def note(self, name: str, started: int) -> None:
        """Take in an entry that is in order otherwise."""
        self._reports_start[name] = started != UNKNOWN_START

    def forget(self, name: str) -> None:
        """Take in that an entry is gone, or can't be read."""
        self._reports_start.pop(name, None)

    def keep(self, names: set[str]) -> None:
        """Forget all other entries."""
        self._reports_start = {
            name: reports
            for name, reports in self._reports_start.items()
            if name in names
        }

    def admits(self, started: int) -> bool:
        """Return whether an entry with this start may be a runner's."""
        reporting = sum(self._reports_start.values())
        return started != UNKNOWN_START or 2 * reporting <= len(self._reports_start)
