"""Detection of data centres that this relay can't reach.

Pure: the clock is passed in.
"""

from __future__ import annotations

PARTITION_SECONDS = 1.0
"""How long the runners of a data centre get no requests after a request to one of them
timed out and none of them answered recently. After that, one request tries again.
During a network partition this delays one caller per second by some hundred
milliseconds, instead of one caller per runner."""

RECENT_ANSWER_SECONDS = 1.0
"""Maximum age of an answer that shows that a data centre is reachable. At twelve
requests per second over three data centres, about four answers arrive from each in this
time."""

MIN_UNREACHABLE_DATA_CENTRES = 2
"""Minimum number of other data centres that must be unreachable for the relay's own one
to count as partitioned."""


class Reachability:
    """Which data centres answered recently, and which seem unreachable."""

    def __init__(self) -> None:
        self._last_answer_at: dict[str, float] = {}
        self._unreachable_until: dict[str, float] = {}

    def record_answer(self, data_centre: str, now: float) -> None:
        """Record that a runner of a data centre answered."""
        self._last_answer_at[data_centre] = now
        self._unreachable_until.pop(data_centre, None)

    def record_timeout(self, data_centre: str, now: float) -> bool:
        """Record that a request to a runner timed out without any response.

        A crashed runner refuses connections; one without power or behind a network
        partition doesn't respond at all. If other runners of its data centre answered
        recently, only the runner is at fault, otherwise most likely the whole data
        centre is unreachable.

        Returns:
            Whether the data centre newly counts as unreachable.
        """
        answered_at = self._last_answer_at.get(data_centre, float("-inf"))
        if now - answered_at < RECENT_ANSWER_SECONDS:
            return False
        newly = self.is_reachable(data_centre, now)
        self._unreachable_until[data_centre] = now + PARTITION_SECONDS
        return newly

    def is_reachable(self, data_centre: str, now: float) -> bool:
        """Return whether runners of a data centre may get requests."""
        return now >= self._unreachable_until.get(data_centre, float("-inf"))

    def is_every_reachable(self, now: float) -> bool:
        """Return whether runners of all data centres may get requests."""
        return all(now >= until for until in self._unreachable_until.values())

    def is_partitioned(self, data_centre: str, known: set[str], now: float) -> bool:
        """Return whether a data centre seems to be partitioned from all others.

        If two or more others are unreachable at once, it is most likely this one that
        is partitioned; a single one may have lost power.

        Args:
            known: Data centres that have runners.
        """
        unreachable = {
            name for name, until in self._unreachable_until.items() if now < until
        }
        unreachable.discard(data_centre)
        if len(unreachable) < MIN_UNREACHABLE_DATA_CENTRES:
            return False
        return known - {data_centre} <= unreachable
