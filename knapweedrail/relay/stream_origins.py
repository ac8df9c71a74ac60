"""What began a stream, so that it goes on only where its events fit together.

Pure: the clock is passed in.
"""

from __future__ import annotations

from abc import ABC, abstractmethod

import attrs

from .models import Runner

MAX_RECORDS = 50_000
"""Streams that one relay remembers; the oldest are dropped first."""


class VersionBound(ABC):
    """Which runners a stream may use, by their versions."""

    @abstractmethod
    def allows(self, runner: Runner) -> bool:
        """Return whether the stream may begin or go on at a runner."""


@attrs.frozen
class StoredVersions(VersionBound):
    """Versions at which streams may begin, as they stand in the store.

    A stream that began at another one could go on at the wrong version once all relays
    that know of it are lost.

    Attributes:
        versions: The versions.
    """

    versions: frozenset[str | None]

    def allows(self, runner: Runner) -> bool:
        """Return whether a stream may begin at a runner.

        The version of one that isn't listed yet isn't known; it serves in place of a
        runner that has ended, where the store can't be reached.
        """
        return runner.version is None or runner.version in self.versions


@attrs.frozen
class StreamOrigin(VersionBound):
    """The runner that sent the first event of a stream.

    Attributes:
        endpoint: Endpoint of the runner.
        version: Version of its software; ``None`` if that isn't known.
        runner: Its incarnation as text; empty if only the version is known.
    """

    endpoint: str
    version: str | None
    runner: str = ""

    def allows(self, runner: Runner) -> bool:
        """Return whether the stream may go on at a runner.

        What two versions write doesn't fit together, and runners don't check that.
        Where a version isn't known, a stream stays with the incarnation that began it.
        """
        if self.version is not None and runner.version is not None:
            return runner.version == self.version
        return str(runner.incarnation) == self.runner


def make_origin(runner: Runner) -> StreamOrigin:
    """Return the origin of a stream that a runner begins."""
    return StreamOrigin(runner.endpoint, runner.version, str(runner.incarnation))


class StreamRecords:
    """Origins of recent streams, by the stream's name."""

    def __init__(self) -> None:
        # Oldest first.
        self._records: dict[str, tuple[float, StreamOrigin]] = {}

    def record(self, stream: str, origin: StreamOrigin, now: float, ttl: float) -> None:
        """Record what began a stream.

        Args:
            stream: Name of the stream.
            origin: What began it.
            now: Monotonic time, seconds.
            ttl: For how long a caller may resume a stream, seconds.
        """
        self._records.pop(stream, None)
        self._records[stream] = (now, origin)
        self._drop_old(now - ttl)

    def find(self, stream: str) -> StreamOrigin | None:
        """Return what began a stream, or ``None`` if that isn't known."""
        recorded_at, origin = self._records.get(stream, (0.0, None))
        return origin

    def list_since(self, since: float, endpoint: str) -> dict[str, StreamOrigin]:
        """Return the streams of an endpoint recorded since a monotonic time."""
        return {
            stream: origin
            for stream, (recorded_at, origin) in self._records.items()
            if recorded_at >= since and origin.endpoint == endpoint
        }

    def _drop_old(self, before: float) -> None:
        while self._records:
            stream, (recorded_at, _) = next(iter(self._records.items()))
            if recorded_at >= before and len(self._records) <= MAX_RECORDS:
                return
            del self._records[stream]
