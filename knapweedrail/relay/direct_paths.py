"""Decision: which runners this host can't connect to though other hosts can.

Pure: the clock is passed in.

A failed connection alone doesn't tell a runner that is down from a path that is lost.
It counts as lost once another relay has connected to the runner for this one.
"""

from __future__ import annotations

from collections.abc import Iterable

from .models import RunnerIncarnation

SUSPICIOUS_FAILURES = 2
"""Runners to which connections must fail in a row before another relay is asked. One
runner alone is most likely down itself, and another one can serve its requests."""

FAILURE_WINDOW_SECONDS = 5.0
"""How long a failed connection counts. Most requests reuse connections, so failures far
apart may have no connection in between."""

TRIAL_INTERVAL_SECONDS = 1.0
"""Interval at which other relays are asked while none of them has connected either.
Each trial delays one caller."""

PROBE_INTERVAL_SECONDS = 0.5
"""Interval of direct connection attempts to a runner whose path is lost."""

PRESUMED_AFTER = 2
"""Lost paths from which those to all other runners are presumed lost as well, unless
this host has connected to them since. Without this each runner's first caller would
wait for a connection that times out."""


class DirectPaths:
    """Paths from this host to runners, lost or not."""

    def __init__(self) -> None:
        self._failed_at: dict[RunnerIncarnation, float] = {}
        self._lost: set[RunnerIncarnation] = set()
        self._connected: set[RunnerIncarnation] = set()
        self._probe_at: dict[RunnerIncarnation, float] = {}
        self._next_trial_at = float("-inf")

    @property
    def lost_count(self) -> int:
        """Number of runners to which the path is known to be lost."""
        return len(self._lost)

    def is_lost(self, runner: RunnerIncarnation) -> bool:
        """Return whether a connection to a runner should go through another relay."""
        if runner in self._lost:
            return True
        return self.lost_count >= PRESUMED_AFTER and runner not in self._connected

    def record_connected(self, runner: RunnerIncarnation) -> bool:
        """Record a direct connection to a runner.

        Returns:
            Whether the path to it was known to be lost.
        """
        was_lost = runner in self._lost
        self._failed_at.clear()
        self._lost.discard(runner)
        if self._lost:
            self._connected.add(runner)
        else:
            self._connected.clear()
            self._probe_at.clear()
        return was_lost

    def record_failed(self, runner: RunnerIncarnation, now: float) -> None:
        """Record that a direct connection to a runner failed."""
        self._failed_at[runner] = now
        self._connected.discard(runner)

    def list_failed(self, now: float) -> list[RunnerIncarnation]:
        """Return the runners to which connections failed since the last success."""
        return [
            runner
            for runner, at in self._failed_at.items()
            if now - at < FAILURE_WINDOW_SECONDS
        ]

    def try_acquire_trial(self, known_runners: int, now: float) -> bool:
        """Return whether to ask other relays after a direct connection has failed.

        Args:
            known_runners: Number of runners that this relay knows.
            now: Monotonic time, seconds.
        """
        if self._lost:
            return True
        if len(self.list_failed(now)) < min(SUSPICIOUS_FAILURES, known_runners):
            return False
        if now < self._next_trial_at:
            return False
        self._next_trial_at = now + TRIAL_INTERVAL_SECONDS
        return True

    def record_reached_by_other(self, runner: RunnerIncarnation) -> bool:
        """Record that another relay reached a runner after this host had failed to.

        Returns:
            Whether the path to the runner newly counts as lost.
        """
        newly = runner not in self._lost
        self._lost.add(runner)
        self._next_trial_at = float("-inf")
        return newly

    def try_acquire_probe(self, runner: RunnerIncarnation, now: float) -> bool:
        """Return whether to probe a path that is lost or presumed lost."""
        if now < self._probe_at.get(runner, float("-inf")):
            return False
        self._probe_at[runner] = now + PROBE_INTERVAL_SECONDS
        return True

    def prune(self, known: Iterable[RunnerIncarnation]) -> None:
        """Forget all runners but the known ones."""
        kept = set(known)
        self._failed_at = {r: at for r, at in self._failed_at.items() if r in kept}
        self._probe_at = {r: at for r, at in self._probe_at.items() if r in kept}
        self._lost &= kept
        self._connected &= kept
