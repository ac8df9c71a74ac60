"""The platform's store in virtual time: its state, and what each host's calls meet."""

from __future__ import annotations

import random
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import anyio
import attrs

from ..outcomes import Unavailable, Unknown
from ..relay.notifiers import Notifier
from ..relay.stores import (
    Change,
    Changes,
    Conflict,
    HistoryGone,
    Listing,
    Missing,
    Store,
    StoredObject,
    WriteOutcome,
    Written,
)

STORE_SECONDS = 0.004
CALL_SECONDS = 1.0
"""Longest wait for an answer of the store that is due at once."""

WATCH_GRACE_SECONDS = 0.3
STALE_SECONDS = 2.0
"""How old what is read for less may be."""

STALE_PRICE = 0.1


LATE_SECONDS = (0.5, 6.0)
"""How much later a write that got no answer may be done."""


@attrs.frozen
class WriteFaults:
    """What becomes of writes and their answers.

    Attributes:
        unanswered: Share of the writes that are done and not answered.
        late: Share that is done seconds later, if the condition still holds then, and
            not answered.
        rng: Decides for each write.
    """

    unanswered: float = 0.0
    late: float = 0.0
    rng: random.Random = attrs.field(factory=random.Random)


class PlayedStore:
    """The store's state, its history, and what each relay's calls meet.

    Attributes:
        down: Whether it takes calls and answers none.
        lost: Hosts that it can't be reached from.
        price: Of all calls, one that may be stale at a tenth.
        calls: By step and kind.
        faults: What becomes of writes now.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.down = False
        self.lost: set[str] = set()
        self.price = 0.0
        self.calls: Counter[str] = Counter()
        self.faults = WriteFaults()
        self.changed = Notifier()
        self._objects: dict[tuple[str, str], StoredObject] = {}
        self._events: list[tuple[float, int, str, Change]] = []
        self._oldest = 0
        self._breaks: Counter[str] = Counter()
        self._late: list[tuple[float, Callable[[], object]]] = []

    def write_later(self, write: Callable[[], object]) -> None:
        """Do a write some time from now."""
        due_at = time.monotonic() + self.faults.rng.uniform(*LATE_SECONDS)
        self._late.append((due_at, write))

    def do_late_writes(self) -> None:
        """Do the writes that are due."""
        now = time.monotonic()
        due = sorted((w for w in self._late if w[0] <= now), key=lambda w: w[0])
        self._late = [write for write in self._late if write[0] > now]
        for _, write in due:
            write()

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Write an object; return its revision.

        A write that changes nothing leaves the revision as it is.
        """
        known = self._objects.get((kind, name))
        if known is not None and known.spec == spec:
            return known.revision
        self.revision += 1
        stored = StoredObject(name, self.revision, spec)
        self._objects[kind, name] = stored
        self._note(kind, Change(stored, removed=False))
        return self.revision

    def remove(self, kind: str, name: str) -> int:
        """Remove an object; return the revision of that."""
        self.revision += 1
        stored = self._objects.pop((kind, name))
        self._note(kind, Change(stored, removed=True))
        return self.revision

    def find(self, kind: str, name: str) -> StoredObject | None:
        """Return an object as it is."""
        return self._objects.get((kind, name))

    def compact(self) -> None:
        """Forget all that has changed so far."""
        self._events.clear()
        self._oldest = self.revision

    def lose(self, hosts: set[str]) -> None:
        """Cut hosts off; what waits there is never answered."""
        self.lost |= hosts
        self._breaks.update(hosts)

    def restore(self, hosts: set[str]) -> None:
        """Let hosts reach it again."""
        self.lost -= hosts

    def set_down(self, down: bool) -> None:
        """Let it go down, or come back."""
        if down:
            self._breaks["all"] += 1
        self.down = down

    def count_breaks(self, host: str) -> tuple[int, int]:
        """Return a number that changes when what a host waits for is lost."""
        return self._breaks[host], self._breaks["all"]

    def is_lost(self, host: str) -> bool:
        """Return whether a host's calls get no answer now."""
        return self.down or host in self.lost

    def list_objects(self, kind: str, stale: bool) -> Listing:
        """Return all objects of a kind, as they were a while ago if that will do."""
        objects = {n: o for (k, n), o in self._objects.items() if k == kind}
        revision = self.revision
        if stale:
            since = time.monotonic() - STALE_SECONDS
            revision = self._rewind(kind, objects, since)
        return Listing(tuple(objects.values()), revision)

    def list_changes(self, kind: str, since: int) -> Changes | HistoryGone:
        """Return what changed in a kind after a revision."""
        if since < self._oldest:
            return HistoryGone()
        found = [
            change
            for _, revision, of_kind, change in self._events
            if of_kind == kind and revision > since
        ]
        return Changes(tuple(found), self.revision)

    def _rewind(self, kind: str, objects: dict[str, StoredObject], since: float) -> int:
        revision = self.revision
        names = set()
        for at, changed, of_kind, change in reversed(self._events):
            if at <= since:
                break
            revision = changed - 1
            if of_kind == kind:
                objects.pop(change.stored.name, None)
                names.add(change.stored.name)
        for at, _, of_kind, change in self._events:
            if at <= since and of_kind == kind and change.stored.name in names:
                objects.pop(change.stored.name, None)
                if not change.removed:
                    objects[change.stored.name] = change.stored
        return revision

    def _note(self, kind: str, change: Change) -> None:
        self._events.append((time.monotonic(), self.revision, kind, change))
        self.changed.notify_all()


class StoreOfHost(Store):
    """The store as one host's relay calls it."""

    def __init__(self, played: PlayedStore, host: str) -> None:
        self._played = played
        self._host = host

    async def list_kind(self, kind: str, stale: bool = False) -> Listing | Unavailable:
        if not await self._call("list-stale" if stale else "list", kind):
            return self._away()
        return self._played.list_objects(kind, stale)

    async def watch_kind(
        self, kind: str, revision: int, seconds: float
    ) -> Changes | HistoryGone | Unavailable:
        before = self._played.count_breaks(self._host)
        limit = seconds + WATCH_GRACE_SECONDS
        began_at = time.monotonic()
        if not await self._call("watch", kind, limit):
            return self._away()
        found = await self._wait_for_changes(kind, revision, seconds)
        if before != self._played.count_breaks(self._host):
            await anyio.sleep(max(0.0, began_at + limit - time.monotonic()))
            return self._away()
        return found

    async def peek(self, kind: str, name: str) -> StoredObject | Missing | Unavailable:
        if not await self._call("peek", kind):
            return self._away()
        return self._played.find(kind, name) or Missing()

    async def create(self, kind: str, name: str, spec: Any) -> WriteOutcome:
        def write() -> WriteOutcome:
            known = self._played.find(kind, name)
            if known is not None:
                return Conflict(known)
            return Written(self._played.put(kind, name, spec))

        return await self._write("create", kind, write)

    async def replace(
        self, kind: str, name: str, spec: Any, revision: int
    ) -> WriteOutcome:
        def write() -> WriteOutcome:
            known = self._played.find(kind, name)
            if known is None:
                return Missing()
            if known.revision != revision:
                return Conflict(known)
            return Written(self._played.put(kind, name, spec))

        return await self._write("replace", kind, write)

    async def delete(self, kind: str, name: str, revision: int) -> WriteOutcome:
        def write() -> WriteOutcome:
            known = self._played.find(kind, name)
            if known is None:
                return Missing()
            if known.revision != revision:
                return Conflict(known)
            return Written(self._played.remove(kind, name))

        return await self._write("delete", kind, write)

    async def _write(
        self, step: str, kind: str, write: Callable[[], WriteOutcome]
    ) -> WriteOutcome:
        faults = self._played.faults
        try:
            reached = await self._call(step, kind)
        except anyio.get_cancelled_exc_class():
            # The write of a process that ends may have been sent.
            if faults.rng.random() < faults.unanswered + faults.late:
                self._played.write_later(write)
            raise
        if not reached:
            return self._away()
        drawn = faults.rng.random()
        if drawn >= faults.unanswered + faults.late:
            return write()
        if drawn < faults.late:
            self._played.write_later(write)
        else:
            write()
        await anyio.sleep(faults.rng.uniform(0.0, CALL_SECONDS))
        return Unknown(step, "played", "no answer")

    async def _wait_for_changes(
        self, kind: str, revision: int, seconds: float
    ) -> Changes | HistoryGone:
        with anyio.move_on_after(seconds):
            while True:
                found = self._played.list_changes(kind, revision)
                if isinstance(found, HistoryGone) or found.changes:
                    return found
                await self._played.changed.wait()
        return self._played.list_changes(kind, revision)

    async def _call(self, step: str, kind: str, limit: float = CALL_SECONDS) -> bool:
        self._played.calls[f"{step} {kind}"] += 1
        cheap = step in ("list-stale", "peek")
        self._played.price += STALE_PRICE if cheap else 1.0
        if self._played.is_lost(self._host):
            await anyio.sleep(limit)
            return False
        await anyio.sleep(STORE_SECONDS)
        self._played.do_late_writes()
        return True

    def _away(self) -> Unavailable:
        return Unavailable("store", "played", "no answer")
