"""Software versions of the runners that an endpoint had within a stream's life.

Pure: the clock is passed in.
"""

from __future__ import annotations

MIN_STREAM_SECONDS = 20.0
"""Shortest time for which a stream may be resumed after its first event."""

STREAM_MARGIN_SECONDS = 2.0
"""Added to the longest timeout of a stream's route: time in which its caller returns
after a break."""

CURRENT_SECONDS = 3.0
"""Default of the age up to which the list of runners counts as current."""


class VersionHistory:
    """Which versions the runners of each endpoint had, and for how long that is known.

    Attributes:
        stream_seconds: For how long a stream may be resumed after its first event.
        max_age: Age up to which the list of runners counts as current, seconds. While
            nothing changes, it is confirmed only at the end of each watch.
    """

    def __init__(self) -> None:
        self.stream_seconds = MIN_STREAM_SECONDS
        self.max_age = CURRENT_SECONDS
        self._last_seen: dict[str, dict[str | None, float]] = {}
        self._complete_since = float("inf")
        self._confirmed_at = float("-inf")

    def set_longest_timeout(self, seconds: float) -> None:
        """Set the longest timeout of a stream; a shorter one leaves older streams."""
        lifetime = seconds + STREAM_MARGIN_SECONDS
        self.stream_seconds = max(self.stream_seconds, lifetime)

    def assume_complete(self) -> None:
        """Record that no runner served before this relay started."""
        self._complete_since = float("-inf")

    def record_confirmation(self, confirmed_at: float) -> None:
        """Record that the list of runners was current at a monotonic time.

        Runners that came and went while it wasn't confirmed may be unknown.
        """
        if self._confirmed_at == float("-inf"):
            self._complete_since = min(self._complete_since, confirmed_at)
        elif confirmed_at - self._confirmed_at > self.max_age:
            self._complete_since = confirmed_at
        self._confirmed_at = max(self._confirmed_at, confirmed_at)

    def is_complete(self, now: float) -> bool:
        """Return whether the versions of a stream's whole life are known."""
        return now - self._complete_since >= self.stream_seconds

    def is_current(self, now: float) -> bool:
        """Return whether no newer version can be in the store's list."""
        return now - self._confirmed_at <= self.max_age

    def record(self, endpoint: str, version: str | None, now: float) -> bool:
        """Record that a runner of a version serves an endpoint.

        Returns:
            Whether the version is new among those within a stream's life.
        """
        seen = self._last_seen.setdefault(endpoint, {})
        is_new = now - seen.get(version, float("-inf")) > self.stream_seconds
        seen[version] = now
        return is_new

    def forget_unknown(self, endpoint: str) -> None:
        """Forget the unknown version of a runner whose version is known by now."""
        self._last_seen.get(endpoint, {}).pop(None, None)

    def list_earlier(self, endpoint: str) -> set[str]:
        """Return the versions seen at any time."""
        return {v for v in self._last_seen.get(endpoint, {}) if v is not None}

    def list_versions(self, endpoint: str, now: float) -> set[str | None]:
        """Return the versions seen within a stream's life; ``None`` for an unknown."""
        seen = self._last_seen.get(endpoint, {})
        return {v for v, at in seen.items() if now - at <= self.stream_seconds}
