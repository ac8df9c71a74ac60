"""Lowest paces of runners in the order in which they changed.

Pure.
"""

from __future__ import annotations

from collections import OrderedDict

import attrs

from ..models import RunnerIncarnation

MAX_LOGGED_PACES = 4096
"""Maximum number of logged incarnations, including ended ones, under 1 MB. A fleet has
140 runners at most; the least recently changed incarnations are evicted first."""


@attrs.frozen
class LoggedPace:
    """The lowest pace of one incarnation.

    Attributes:
        position: Position of its last change in the log.
    """

    position: int
    incarnation: RunnerIncarnation
    lowest: float


class PaceLog:
    """Lowest pace by incarnation, with a counter of the changes.

    A reader compares the counter with its position, so that reading costs nothing
    unless a pace has changed.

    Attributes:
        position: Number of changes so far.
    """

    def __init__(self) -> None:
        self.position = 0
        self._logged: OrderedDict[RunnerIncarnation, LoggedPace] = OrderedDict()

    def record(self, incarnation: RunnerIncarnation, lowest: float) -> None:
        """Record a lowest pace, unless one as low is logged."""
        logged = self._logged.get(incarnation)
        if logged is not None and logged.lowest <= lowest:
            return
        self.position += 1
        self._logged[incarnation] = LoggedPace(self.position, incarnation, lowest)
        self._logged.move_to_end(incarnation)
        if len(self._logged) > MAX_LOGGED_PACES:
            self._logged.popitem(last=False)

    def find(self, incarnation: RunnerIncarnation) -> LoggedPace | None:
        """Return the lowest pace of an incarnation; ``None`` if none is logged."""
        return self._logged.get(incarnation)

    def list_since(self, position: int) -> list[LoggedPace]:
        """Return the changes after a position, the oldest first."""
        changes: list[LoggedPace] = []
        if position == self.position:
            return changes
        for logged in reversed(self._logged.values()):
            if logged.position <= position:
                break
            changes.append(logged)
        changes.reverse()
        return changes
