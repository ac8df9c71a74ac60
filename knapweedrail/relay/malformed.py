"""Objects of the store that can't be used: counted, and told of once."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable

from ..events import Event, log_event

MAX_REMEMBERED_OBJECTS = 1000
"""Objects of which it is known that they were told of; the oldest go first."""

MAX_LOG_LINES = 20
LOG_WINDOW_SECONDS = 10.0
"""Most lines of a time. A writer that goes wrong writes all entries again and again,
and its lines would take the place of those that tell what became of requests. The
counter goes on."""

MAX_NAME_CHARACTERS = 100
"""Longest part of a name that is told."""


class MalformedObjects:
    """Counts what can't be used of the store, each change of an object once.

    Args:
        count: Takes the kind of each.
    """

    def __init__(self, count: Callable[[str], None] | None = None) -> None:
        self._count = count
        self._reported: OrderedDict[tuple[str, str], int] = OrderedDict()
        self._window_ends_at = -math.inf
        self._window_lines = 0

    def note(self, kind: str, name: str, revision: int, error: str, now: float) -> None:
        """Take in that an object can't be used as it is.

        Args:
            revision: Of its last change; a list tells of the same again.
        """
        if self._reported.get((kind, name)) == revision:
            return
        self._reported[kind, name] = revision
        self._reported.move_to_end((kind, name))
        if len(self._reported) > MAX_REMEMBERED_OBJECTS:
            self._reported.popitem(last=False)
        if self._count is not None:
            self._count(kind)
        if self._may_log(now):
            log_event(
                Event.OBJECT_MALFORMED,
                kind=kind,
                name=name[:MAX_NAME_CHARACTERS],
                revision=revision,
                error=error,
            )

    def _may_log(self, now: float) -> bool:
        if now >= self._window_ends_at:
            self._window_ends_at, self._window_lines = now + LOG_WINDOW_SECONDS, 0
        self._window_lines += 1
        return self._window_lines <= MAX_LOG_LINES
