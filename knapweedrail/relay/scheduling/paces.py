"""How long work takes at a runner, as it states in its answers.

Pure: the clock is passed in.
"""

from __future__ import annotations

import attrs

LATEST_PACE_TTL_SECONDS = 0.25
"""Age up to which the latest pace is used. Work of others on a runner's machine lasts
about half a second, so an older statement says as little as none."""

MIN_PACE = 0.05
MAX_PACE = 100.0
"""Bounds of a plausible pace. The lowest one of an incarnation is kept for good, so a
single mistaken one would otherwise draw all requests to its runner."""


@attrs.define
class PaceRecord:
    """What is known of one incarnation's pace; 1.0 is usual, 2.0 takes twice as long.

    Attributes:
        lowest: Lowest pace that it stated to any relay that told of it: its sustained
            speed; ``None`` before the first one.
        latest: Latest pace that it stated to this relay.
        stated_at: Monotonic time of that statement, seconds.
    """

    lowest: float | None = None
    latest: float = 1.0
    stated_at: float = float("-inf")

    def record(self, pace: float, now: float) -> bool:
        """Record a stated pace; return whether it is a new lowest one."""
        if not MIN_PACE <= pace <= MAX_PACE:
            return False
        self.latest = pace
        self.stated_at = now
        return self.merge_lowest(pace)

    def merge_lowest(self, pace: float) -> bool:
        """Merge a lowest pace that another relay knows; return whether it was news."""
        if not MIN_PACE <= pace <= MAX_PACE:
            return False
        if self.lowest is not None and self.lowest <= pace:
            return False
        self.lowest = pace
        return True

    def estimate(self, now: float, default: float) -> float:
        """Return the pace of work that begins now.

        Args:
            default: Pace of a runner that has stated none.
        """
        if now - self.stated_at < LATEST_PACE_TTL_SECONDS:
            return self.latest
        return default if self.lowest is None else self.lowest
