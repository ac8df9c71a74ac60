"""Watcher of the evacuations: data centres whose runners get no more requests."""

from __future__ import annotations

import time

import anyio

from ..events import Event, log_event
from .malformed import MalformedObjects
from .runners import RunnerTable
from .store_probe import StoreProbe
from .stores import Store, StoredObject
from .watchers import KindWatcher


class EvacuationWatcher(KindWatcher):
    """Keeps the evacuated data centres of the table of runners up to date.

    An evacuation holds until the store shows that it has been removed, so a relay that
    has lost the store goes on sending nothing to an evacuated data centre.

    Args:
        table: The table to update.

    Attributes:
        loaded: Set once the evacuations are known.
    """

    def __init__(
        self,
        store: Store,
        kind: str,
        watch_seconds: float,
        table: RunnerTable,
        batch_seconds: float = 0.0,
        malformed: MalformedObjects | None = None,
        probe: StoreProbe | None = None,
        limit_seconds: float | None = None,
    ) -> None:
        super().__init__(
            store,
            kind,
            watch_seconds,
            batch_seconds,
            malformed,
            probe,
            limit_seconds,
        )
        self.loaded = anyio.Event()
        self._table = table

    def replace_all(self, objects: tuple[StoredObject, ...]) -> None:
        self._apply(frozenset(stored.name for stored in objects))

    def set(self, stored: StoredObject) -> None:
        self._apply(self._table.evacuated | {stored.name})

    def remove(self, stored: StoredObject) -> None:
        self._apply(self._table.evacuated - {stored.name})

    def record_confirmation(self, now: float) -> None:
        self.loaded.set()

    def _apply(self, data_centres: frozenset[str]) -> None:
        known = self._table.evacuated
        self._table.set_evacuated(data_centres, time.monotonic())
        self.loaded.set()
        for name in sorted(data_centres - known):
            log_event(Event.EVACUATION_BEGUN, data_centre=name)
        for name in sorted(known - data_centres):
            log_event(Event.EVACUATION_ENDED, data_centre=name)
