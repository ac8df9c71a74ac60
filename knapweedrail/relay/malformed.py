"""Objects of the store that can't be used: counted, and logged once."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable

from ..events import Event, log_event

MAX_REMEMBERED_OBJECTS = 1000
"""Objects whose last recorded revision is kept; the oldest are dropped first."""

MAX_LOG_LINES = 20
LOG_WINDOW_SECONDS = 10.0
"""Maximum number of log lines in a window of time. A faulty writer may write all
entries repeatedly, and the lines on them would displace those on the outcomes of
requests. The counter isn't limited."""

MAX_NAME_CHARACTERS = 100
"""Length to which a name is truncated in the log."""


class MalformedObjects:
    """Counts and logs malformed objects of the store, each change of an object once.

    Args:
        count: Called with the kind of each malformed object.
    """

    def __init__(self, count: Callable[[str], None] | None = None) -> None:
        self._count = count
        self._reported: OrderedDict[tuple[str, str], int] = OrderedDict()
        self._window_ends_at = -math.inf
        self._window_lines = 0

    def record(
        self, kind: str, name: str, revision: int, error: str, now: float
    ) -> None:
        """Record that an object can't be used.

        Args:
            kind: Kind of the object.
            name: Name of the object.
            revision: Revision of its last change. Each list returns an unchanged object
                with the same one.
            error: What is wrong with it.
            now: Monotonic seconds.
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
