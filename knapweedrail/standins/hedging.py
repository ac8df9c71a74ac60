"""A dispatcher that starts late work a second time, to weigh whether that helps."""

from __future__ import annotations

import attrs

from ..dispatch import Dispatcher
from ..work import Decision
from .virtual import HEDGE

HEDGE_AFTER_SECONDS = 1.0
"""Time without a first byte after which a second run starts: above the time of
nearly all runs that don't wait inside a runner."""

HEDGE_CHECK_SECONDS = 0.1
HEDGE_SHARE = 0.1
"""Second runs for each request, at most."""


class HedgingDispatcher(Dispatcher):
    """Starts short repeatable work again elsewhere when its first byte is late."""

    def __init__(self, *args) -> None:
        super().__init__(*args)
        self._hedged: set[str] = set()
        self._fresh = 0
        self.hedges = 0
        self._look_at = 0.0

    def submit(self, work, now: float) -> list[Decision]:
        self._fresh += 1
        return super().submit(work, now)

    def tick(self, now: float) -> list[Decision]:
        self._look_at = now + HEDGE_CHECK_SECONDS
        return super().tick(now) + self._hedge(now)

    def next_tick(self) -> float | None:
        due = super().next_tick()
        if not self._running:
            return due
        return self._look_at if due is None else min(self._look_at, due)

    def _hedge(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        for entry in list(self._running.values()):
            if self._is_overdue(entry, now) and self._fleet.free > 0:
                self._hedged.add(entry.work.id)
                self.hedges += 1
                again = attrs.evolve(
                    entry.work, id=entry.work.id + HEDGE, prefix_hash=0
                )
                decisions += super().submit(again, now)
        return decisions

    def _is_overdue(self, entry, now: float) -> bool:
        work = entry.work
        if entry.first_byte or not work.short or work.id.endswith(HEDGE):
            return False
        if work.id in self._hedged or self.hedges >= HEDGE_SHARE * self._fresh:
            return False
        return now - entry.started > HEDGE_AFTER_SECONDS
