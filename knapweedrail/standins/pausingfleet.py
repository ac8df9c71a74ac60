"""Relays before runners that reject requests and want a pause, in virtual time."""

from __future__ import annotations

import collections

from ..relay.runners import RunnerTable
from ..relay.scheduling.runner_views import RunnerView
from .brittlefleet import BrittleFleet, PlayedRunner

SLACK_SECONDS = 0.5
"""Time after a rejection in which requests under way may still arrive."""


class SturdyRunner(PlayedRunner):
    """A runner that rejects any number of requests."""

    def reject(self, now: float) -> None:
        """Reject a request."""


class PausingFleet(BrittleFleet):
    """A fleet some of whose runners reject many requests for a while.

    Args:
        hosts: Number of hosts.
        runners: Number of runners.
        pressure: Requests as a multiple of what the runners can serve.
        seed: Of all that is drawn.
        rejecting: Number of runners that reject requests.
        share: Part of the requests that these reject though they have capacity.
        period: Begin and end of that, seconds.
        pause_seconds: Pause that they ask for; 0 if they ask for none.

    Attributes:
        rejections: Number of requests that were rejected.
        worst_count: Most requests of one host at one runner in a pause, except those
            right after the rejection.
    """

    def __init__(
        self,
        hosts: int,
        runners: int,
        pressure: float,
        seed: int,
        rejecting: int,
        share: float,
        period: tuple[float, float],
        pause_seconds: float,
    ) -> None:
        super().__init__(hosts, runners, pressure, False, seed)
        self.runners = {name: SturdyRunner(name) for name in self.runners}
        self._rejecting = set(list(self.runners)[:rejecting])
        self._share = share
        self._period = period
        self._pause_seconds = pause_seconds
        self._pauses: dict[tuple[int, str], list[float]] = collections.defaultdict(list)
        self._counts: collections.Counter[tuple[int, str, float]] = (
            collections.Counter()
        )
        self.rejections = 0

    @property
    def worst_count(self) -> int:
        return max(self._counts.values(), default=0)

    def _reach(
        self, table: RunnerTable, view: RunnerView, token: object, tried: set
    ) -> None:
        name = view.runner.name
        path = (id(table), name)
        for at in self._pauses[path]:
            if SLACK_SECONDS < self._now - at < self._pause_seconds:
                self._counts[*path, at] += 1
        begin, end = self._period
        if (
            name not in self._rejecting
            or not begin <= self._now < end
            or self.rng.random() >= self._share
        ):
            super()._reach(table, view, token, tried)
            return
        self.rejections += 1
        self._pauses[path].append(self._now)
        table.record_rejection(view, self._now)
        if self._pause_seconds:
            table.bounds.record_pause(view, self._pause_seconds, self._now)
        self._fail(table, view, token, tried)
