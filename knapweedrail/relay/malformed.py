"""Objects of the store that can't be used: counted, and told of once."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable

from ..events import Event, log_event

MOST_REMEMBERED = 1000
"""Objects of which it is known that they were told of; the oldest go first."""

LINES = 20
LINES_SECONDS = 10.0
"""Most lines of a time. A writer that goes wrong writes all entries again and again,
and its lines would take the place of those that tell what became of requests. The
counter goes on."""

NAME_CHARACTERS = 100
"""Longest part of a name that is told."""


class MalformedObjects:
    """Counts what can't be used of the store, each change of an object once.

    Args:
        count: Takes the kind of each.
    """

    def __init__(self, count: Callable[[str], None] | None = None) -> None:
        self._count = count
        self._told: OrderedDict[tuple[str, str], int] = OrderedDict()
        self._until = -math.inf
        self._lines = 0

    def note(self, kind: str, name: str, revision: int, error: str, now: float) -> None:
        """Take in that an object can't be used as it is.

        Args:
            revision: Of its last change; a list tells of the same again.
        """
        if self._told.get((kind, name)) == revision:
            return
        self._told[kind, name] = revision
        self._told.move_to_end((kind, name))
        if len(self._told) > MOST_REMEMBERED:
            self._told.popitem(last=False)
        if self._count is not None:
            self._count(kind)
        if self._may_tell(now):
            log_event(
                Event.OBJECT_MALFORMED,
                kind=kind,
                name=name[:NAME_CHARACTERS],
                revision=revision,
                error=error,
            )

    def _may_tell(self, now: float) -> bool:
        if now >= self._until:
            self._until, self._lines = now + LINES_SECONDS, 0
        self._lines += 1
        return self._lines <= LINES
