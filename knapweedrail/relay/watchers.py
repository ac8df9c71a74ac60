"""Tasks that watch the configuration and the list of runners in the store."""

from __future__ import annotations

import math
import time
from abc import abstractmethod
from collections.abc import Callable

import anyio

from ..events import Event, log_event
from ..outcomes import Unavailable
from ..tasks import Task
from .incarnations import EntryResult, StartTimeTracker
from .malformed import MalformedObjects
from .models import UNKNOWN_START, Configuration, Runner
from .peer_updates import NoPeerUpdates, UpdateReceiver
from .replicas import KindUpdate, Replica, UpdateRejectedError
from .routes import RouteTable
from .runners import RunnerTable
from .store_probe import StoreProbe
from .stores import Change, Changes, HistoryGone, Listing, Store, StoredObject

CONFIRMATION_MARGIN_SECONDS = 1.0
"""Time after the end of a watch by which the store must have confirmed the known state:
the delay of the answer, the pause before the next call, and a margin of half a
second."""


class KindWatcher(Task, UpdateReceiver):
    """Tracks all objects of one kind with a list and consecutive long-poll watches.

    A dead connection looks the same as a kind without changes. Therefore each watch has
    an end by which the store must have answered. While other relays send updates of the
    kind, this task doesn't watch the store itself.

    Args:
        store: The platform's store.
        kind: The kind to watch.
        watch_seconds: Longest duration of one watch.
        batch_seconds: Pause after changes, so that the next ones come in one batch.
        malformed: Records objects that can't be used.
        probe: Shared by all watchers of a store.
        limit_seconds: Age up to which the known state counts as current; defaults to
            `CONFIRMATION_MARGIN_SECONDS` after the end of a watch.
    """

    def __init__(
        self,
        store: Store,
        kind: str,
        watch_seconds: float,
        batch_seconds: float = 0.0,
        malformed: MalformedObjects | None = None,
        probe: StoreProbe | None = None,
        limit_seconds: float | None = None,
    ) -> None:
        super().__init__(f"follow {kind}")
        if limit_seconds is None:
            limit_seconds = watch_seconds + CONFIRMATION_MARGIN_SECONDS
        self._limit_seconds = limit_seconds
        self.replica = Replica(kind)
        self.peer_updates = NoPeerUpdates()
        self._list_next = True
        self._needed_revision = 0
        self._malformed = malformed or MalformedObjects()
        self._probe = probe or StoreProbe(store, kind, kind)
        self._batch_seconds = batch_seconds
        self.confirmed_at = float("-inf")
        self._store = store
        self._kind = kind
        self._watch_seconds = watch_seconds
        self._store_available = True

    @property
    def store_available(self) -> bool:
        return self._store_available

    @property
    def fetching(self) -> bool:
        """Whether the store must be read before updates of peers can be applied."""
        return self.replica.revision < self._needed_revision

    async def run(self) -> None:
        await self._load_stale_list()
        while True:
            if await self._wait_for_updates():
                continue
            began_at = time.monotonic()
            outcome = None
            with self._probe.abandon_on_recovery():
                outcome = await self._call_store()
            if outcome is not None:
                await self._handle_outcome(outcome, time.monotonic() - began_at)

    def apply_update(self, update: KindUpdate, confirmed_at: float) -> None:
        try:
            changes = self.replica.merge_update(update)
        except UpdateRejectedError as error:
            if error.needs_fetch:
                log_event(Event.NEWS_FETCHED, kind=self._kind, reason=str(error))
                self._needed_revision = max(self._needed_revision, update.revision)
                self._list_next = True
                self.peer_updates.changed.notify_all()
            raise
        self._apply_changes(changes)
        if confirmed_at > self.confirmed_at and not self.fetching:
            self._list_next = False
            self.confirmed_at = confirmed_at
            self.record_confirmation(time.monotonic())

    async def _load_stale_list(self) -> None:
        """Start with a list that may be seconds old and costs a tenth of a call."""
        outcome = await self._store.list_kind(self._kind, stale=True)
        if isinstance(outcome, Listing):
            self._apply_list(outcome)

    async def _wait_for_updates(self) -> bool:
        """Wait while updates of other relays suffice; return whether they did."""
        if self.fetching:
            return False
        wait_seconds = self.peer_updates.compute_poll_delay(
            self._kind, self._limit_seconds
        )
        if wait_seconds <= 0.0:
            return False
        with anyio.move_on_after(wait_seconds):
            await self.peer_updates.changed.wait()
        return True

    async def _call_store(self) -> Listing | Changes | HistoryGone | Unavailable:
        if self._list_next:
            return await self._store.list_kind(self._kind)
        return await self._store.watch_kind(
            self._kind, self.replica.revision, self._watch_seconds
        )

    def _apply_list(self, listing: Listing) -> None:
        if self.replica.apply_list(listing.objects, listing.revision):
            self.replace_all(listing.objects)
            self.peer_updates.notify_change()

    def _apply_changes(self, changes: list[Change]) -> None:
        for change in self.sort_changes(tuple(changes)):
            if change.removed:
                self.remove(change.stored)
            else:
                self.set(change.stored)
        if changes:
            self.peer_updates.notify_change()

    async def _handle_outcome(
        self,
        outcome: Listing | Changes | HistoryGone | Unavailable,
        waited: float,
    ) -> None:
        match outcome:
            case Unavailable():
                self._record_availability(False, outcome.detail, waited)
                self._list_next = self._list_next or self.relists_after_outage
                await self._probe.wait_until_available(waited)
                self.peer_updates.notify_store_available()
                return
            case HistoryGone():
                log_event(Event.HISTORY_GONE, kind=self._kind)
                self._list_next = True
            case Listing():
                self._apply_list(outcome)
                self._list_next = False
            case Changes():
                self._apply_changes(
                    self.replica.apply_changes(outcome.changes, outcome.revision)
                )
        self._record_availability(True, "", waited)
        self._probe.reset_backoff()
        self.confirmed_at = time.monotonic()
        self.record_confirmation(self.confirmed_at)
        if isinstance(outcome, Changes) and outcome.changes:
            await anyio.sleep(self._batch_seconds)

    def _record_availability(self, available: bool, detail: str, waited: float) -> None:
        if available != self._store_available:
            confirmation_age = time.monotonic() - self.confirmed_at
            log_event(
                Event.PLATFORM_BACK if available else Event.PLATFORM_AWAY,
                step=self.name,
                detail=detail,
                waited=round(waited, 3),
                unheard=(
                    round(confirmation_age, 3)
                    if math.isfinite(confirmation_age)
                    else None
                ),
            )
        if available != self._store_available:
            self._store_available = available
            self.peer_updates.notify_change()

    def record_confirmation(self, now: float) -> None:
        """Record that the known state was confirmed as current.

        Args:
            now: Time of the confirmation, monotonic seconds.
        """

    def record_malformed(self, stored: StoredObject, error: ValueError) -> None:
        """Record that an object can't be used."""
        self._malformed.record(
            self._kind, stored.name, stored.revision, str(error), time.monotonic()
        )

    def sort_changes(self, changes: tuple[Change, ...]) -> tuple[Change, ...]:
        """Return the changes of one batch in the order in which to apply them."""
        return changes

    relists_after_outage = False
    """Whether to list instead of watch after an outage, as a list is shorter than all
    changes since."""

    @abstractmethod
    def replace_all(self, objects: tuple[StoredObject, ...]) -> None:
        """Apply a whole list."""

    @abstractmethod
    def set(self, stored: StoredObject) -> None:
        """Apply a write of an object."""

    @abstractmethod
    def remove(self, stored: StoredObject) -> None:
        """Apply the removal of an object."""


class ConfigurationWatcher(KindWatcher):
    """Keeps the newest configuration; its version never decreases.

    Args:
        decode: Decodes a stored configuration; raises ``ValueError``.
        name: Name of the object that holds it.
    """

    # A list contains the newest version only. A watch would return every version since
    # the outage in full, which takes seconds over a slow link.
    relists_after_outage = True

    def __init__(
        self,
        store: Store,
        kind: str,
        watch_seconds: float,
        decode: Callable[[object], Configuration],
        name: str,
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
        self.table: RouteTable | None = None
        self.loaded = anyio.Event()
        self._listeners: list[Callable[[Configuration], None]] = []
        self._applied_revision = 0
        self._decode = decode
        self._name = name

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force; ``None`` before the first one."""
        return self.table.configuration if self.table else None

    def subscribe(self, listener: Callable[[Configuration], None]) -> None:
        """Call a listener with each new configuration before requests use it."""
        self._listeners.append(listener)

    def is_overdue(self, now: float) -> bool:
        """Return whether the last confirmation by the store is older than allowed."""
        return now - self.confirmed_at > self._limit_seconds

    def sort_changes(self, changes: tuple[Change, ...]) -> tuple[Change, ...]:
        # Newest first, so that older versions aren't decoded.
        return changes[::-1]

    def replace_all(self, objects: tuple[StoredObject, ...]) -> None:
        for stored in objects:
            self.set(stored)

    def set(self, stored: StoredObject) -> None:
        if stored.name != self._name or stored.revision <= self._applied_revision:
            return
        try:
            found = self._decode(stored.spec)
        except ValueError as error:
            self.record_malformed(stored, error)
            return
        known = self.configuration
        if known is not None and found.version <= known.version:
            return
        self.table = RouteTable(found)
        self._applied_revision = stored.revision
        self.loaded.set()
        for listener in self._listeners:
            listener(found)
        log_event(
            Event.CONFIGURATION_IN_FORCE,
            version=found.version,
            routes=len(found.routes),
        )

    def remove(self, stored: StoredObject) -> None:
        log_event(Event.CONFIGURATION_REMOVED, name=stored.name)


_ENTRY_EVENTS = {
    EntryResult.APPLIED: Event.RUNNER_LISTED,
    EntryResult.RESTARTED: Event.RUNNER_RESTARTED,
    EntryResult.OUTDATED: Event.RUNNER_OUTDATED,
}


class RunnerWatcher(KindWatcher):
    """Keeps the table of runners up to date.

    Args:
        decode: Decodes a runner's entry from its name and content; raises
            ``ValueError``.
        table: The table to update.
    """

    def __init__(
        self,
        store: Store,
        kind: str,
        watch_seconds: float,
        decode: Callable[[str, object], Runner],
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
        self.table = table
        self._decode_runner = decode
        self._start_times = StartTimeTracker()

    def replace_all(self, objects: tuple[StoredObject, ...]) -> None:
        self._start_times.retain({stored.name for stored in objects})
        found = [(stored, self._decode(stored)) for stored in objects]
        runners = [runner for stored, runner in found if self._accepts(stored, runner)]
        self.table.replace_all(runners, time.monotonic())

    def set(self, stored: StoredObject) -> None:
        runner = self._decode(stored)
        if not self._accepts(stored, runner):
            # Treated like a missing entry, so that other runners get its requests. A
            # runner whose entry another writer overwrote restores it at its next
            # heartbeat. Until then the table keeps its state and uses it only as a last
            # resort.
            self.table.remove_runner(stored.name, time.monotonic())
            return
        log_event(
            _ENTRY_EVENTS[self.table.set_runner(runner, time.monotonic())],
            runner=runner.name,
            started=runner.started,
            endpoint=runner.endpoint,
            state=runner.state.value,
            cold_left=runner.cold_left,
            version=runner.version,
            revision=stored.revision,
        )

    def record_confirmation(self, now: float) -> None:
        self.table.mark_successors_absent(now)
        self.table.versions.record_confirmation(self.confirmed_at)

    def remove(self, stored: StoredObject) -> None:
        self._start_times.discard(stored.name)
        started = self._decode_start(stored)
        self.table.remove_runner(stored.name, time.monotonic(), started)
        log_event(Event.RUNNER_UNLISTED, runner=stored.name, revision=stored.revision)

    def _accepts(self, stored: StoredObject, runner: Runner | None) -> bool:
        if runner is None:
            return False
        if not self._start_times.accepts(runner.started):
            self.record_malformed(
                stored,
                ValueError("start time is missing, but most other entries have one"),
            )
            return False
        return True

    def _decode_start(self, stored: StoredObject) -> int:
        """Return the start time in a removed entry, Unix milliseconds.

        Returns `UNKNOWN_START` if the entry can't be decoded.
        """
        try:
            return self._decode_runner(stored.name, stored.spec).started
        except ValueError:
            return UNKNOWN_START

    def _decode(self, stored: StoredObject) -> Runner | None:
        try:
            runner = self._decode_runner(stored.name, stored.spec)
        except ValueError as error:
            self._start_times.discard(stored.name)
            self.record_malformed(stored, error)
            return None
        self._start_times.record(stored.name, runner.started)
        return runner
