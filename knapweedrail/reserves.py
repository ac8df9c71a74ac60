"""Slots that long work leaves free for short work."""

from __future__ import annotations

import math

from .estimates import Estimates
from .fleets import Fleet

MAX_RESERVE_SHARE = 0.25
"""Largest share of the slots that is left free; keeps a flood of short work from
shutting long work out."""

RATE_SECONDS = 10.0
"""Time over which the arrival of short work is averaged."""


class ShortReserve:
    """Free slots that long work leaves to short work.

    The load it is for: rosters that hold a slot for many seconds, beside questions
    that need it for one or two. Were all slots given to rosters, each question would
    wait until one of them ends. How many questions run at once varies by about the
    square root of their mean number, so that many free slots take up most of their
    bursts; more would stand idle. The mean is that of all routers: this one's own
    (arrivals times seconds), scaled up by its part in the load that it sees.
    """

    def __init__(self, estimates: Estimates, fleet: Fleet) -> None:
        self._estimates = estimates
        self._fleet = fleet
        self._rate = 0.0
        self._seen = float("-inf")

    def note_short(self, now: float) -> None:
        """Count the arrival of short work."""
        self._rate = self._decayed(now) + 1.0 / RATE_SECONDS
        self._seen = now

    def sees_short(self, now: float) -> bool:
        """Return whether short work has come lately."""
        return self._decayed(now) > 0.0

    def holds_back(self, in_flight: int, now: float) -> bool:
        """Return whether the free slots are all for short work.

        Args:
            in_flight: This router's work that runs now.
            now: Absolute seconds.
        """
        fleet = self._fleet
        own = self._decayed(now) * self._estimates.expect_short_seconds()
        busy = fleet.slots - fleet.free
        mean = own * max(1.0, busy / max(1, in_flight))
        return fleet.free <= min(MAX_RESERVE_SHARE * fleet.slots, math.sqrt(mean))

    def _decayed(self, now: float) -> float:
        return self._rate * max(0.0, 1.0 - (now - self._seen) / RATE_SECONDS)
