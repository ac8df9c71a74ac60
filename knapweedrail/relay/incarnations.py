"""The newest known incarnation of each runner.

Pure.
"""

from __future__ import annotations

import enum
from collections import OrderedDict

from .models import UNKNOWN_START, RunnerIncarnation

MAX_INCARNATIONS = 10_000
"""Maximum number of runners whose newest incarnation is remembered, including removed
ones, about 1.5 MB. The least recently observed are evicted first."""


class EntryResult(enum.Enum):
    """Result of applying a runner's entry."""

    APPLIED = "taken"
    RESTARTED = "taken; the runner has begun another life"
    OUTDATED = "left, since a later life is known"


class IncarnationTracker:
    """Newest incarnation of each runner.

    Without it, a write of an earlier incarnation that the store applies late, or an
    outdated list in transit, would replace the current state of a runner. It would get
    requests that no process serves, and the load and health of the current incarnation
    would be lost. Incarnations are remembered longer than the runner's `RunnerView`,
    which is deleted soon after its entry.
    """

    def __init__(self) -> None:
        self._newest: OrderedDict[str, int] = OrderedDict()

    def observe(self, incarnation: RunnerIncarnation) -> bool:
        """Record an incarnation; return whether no later one is known."""
        newest = self._newest.get(incarnation.name, UNKNOWN_START)
        if incarnation.started < newest:
            return False
        self._newest[incarnation.name] = incarnation.started
        self._newest.move_to_end(incarnation.name)
        if len(self._newest) > MAX_INCARNATIONS:
            self._newest.popitem(last=False)
        return True


class StartTimeTracker:
    """Tracks whether the runners of this cluster report their start time.

    If they do, an entry without a start is foreign and names no runner. Clusters whose
    runners don't report it yet are served too, so the majority decides: a single
    foreign entry with a start must not invalidate all runners.
    """

    def __init__(self) -> None:
        self._reports_start: dict[str, bool] = {}

    def record(self, name: str, started: int) -> None:
        """Record an otherwise valid entry."""
        self._reports_start[name] = started != UNKNOWN_START

    def discard(self, name: str) -> None:
        """Discard an entry that was deleted or is unreadable."""
        self._reports_start.pop(name, None)

    def retain(self, names: set[str]) -> None:
        """Discard all entries except those with these names."""
        self._reports_start = {
            name: reports
            for name, reports in self._reports_start.items()
            if name in names
        }

    def accepts(self, started: int) -> bool:
        """Return whether an entry with this start may belong to a runner."""
        reporting = sum(self._reports_start.values())
        return started != UNKNOWN_START or 2 * reporting <= len(self._reports_start)
