"""Log of connections that were closed to make room for others."""

from __future__ import annotations

import math
import time
from collections.abc import Callable

from .events import Event, log_event

LOG_SECONDS = 1.0
"""Shortest interval between two log lines."""


class EvictionLog:
    """Counts and logs evictions.

    Args:
        count: Called with the number of connections of each eviction.
    """

    def __init__(self, count: Callable[[int], None] | None = None) -> None:
        self._count = count
        self._logged_at = -math.inf
        self._pending = 0

    def record(self, connections: int, reason: str) -> None:
        """Record an eviction.

        Args:
            connections: Number of connections that were closed.
            reason: The limit that was reached.
        """
        if self._count is not None:
            self._count(connections)
        self._pending += connections
        now = time.monotonic()
        if now < self._logged_at + LOG_SECONDS:
            return
        log_event(Event.CLIENTS_EVICTED, connections=self._pending, reason=reason)
        self._logged_at, self._pending = now, 0
