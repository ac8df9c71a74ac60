"""Task that keeps in the store at which software versions streams may have begun."""

from __future__ import annotations

import random
import time
from collections.abc import Collection, Iterable

import anyio
import anyio.abc
import attrs

from ..events import Event, log_event
from ..tasks import Task
from .members import Membership
from .models import Member
from .notifiers import Notifier
from .peers import PeerClient
from .runners import RunnerTable
from .stores import Store, Written
from .stream_messages import StreamAnswer
from .stream_origins import StoredVersions
from .version_marks import (
    UNKNOWN,
    VersionMark,
    read_marks,
    replace_mark,
    write_versions,
)

STORE_JITTER_SECONDS = 0.3
"""Longest random delay before a new version is written for which no stream waits. One
relay writes it then, and the others find it written."""

STORE_WAIT_SECONDS = 0.5
"""Longest time for which a stream waits until a version stands in the store."""

RETRY_SECONDS = 1.0
"""Pause between attempts while the store doesn't answer."""

ASK_SECONDS = 0.05
"""Time without an answer of the store after which other relays are asked what stands
there."""

RETIRE_SECONDS = (0.4, 0.6)
"""Bounds of the pause between checks for versions that are no longer in use."""

MAX_RETIRE_PAUSE_SECONDS = 8.0
"""Longest pause after attempts that other relays didn't agree to."""

MAX_PARALLEL_CALLS = 16
"""Relays that are asked at the same time whether a version is in use."""


class VersionRegistry(Task):
    """Writes versions before their first streams begin, and removes unused ones.

    Args:
        table: Runners and their versions.
        membership: List of the relays.
        peers: Calls to the other relays.
        store: The platform's store.
    """

    def __init__(
        self,
        table: RunnerTable,
        membership: Membership,
        peers: PeerClient,
        store: Store,
    ) -> None:
        super().__init__("version registry")
        self._table = table
        self._membership = membership
        self._peers = peers
        self._store = store
        self._endpoints: Collection[str] | None = None
        self._marks: dict[str, VersionMark] = {}
        self._confirmed: dict[str, frozenset[str | None]] = {}
        self._pending: set[str] = set()
        self._renewed: set[str] = set()
        self._waiting = 0
        self._changed = Notifier()

    async def run(self) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(self._retire)
            while True:
                await self._wait_for_work()
                if not await self._store_pending():
                    await anyio.sleep(RETRY_SECONDS)

    def set_endpoints(self, endpoints: Collection[str]) -> None:
        """Set the endpoints whose streams may be resumed; all by default."""
        added = set(endpoints) - set(self._endpoints or ())
        self._endpoints = endpoints
        for endpoint in added:
            self.handle_new_version(endpoint)

    def handle_new_version(self, endpoint: str) -> None:
        """Have the versions of an endpoint written, one of which is new here.

        It may have been removed from the store since the mark was read.
        """
        if self._endpoints is not None and endpoint not in self._endpoints:
            return
        if not self._list_known(endpoint):
            return
        self._marks.pop(endpoint, None)
        self._confirmed.pop(endpoint, None)
        self._pending.add(endpoint)
        self._renewed.add(endpoint)
        self._changed.notify_all()

    def list_stored(self, endpoints: Iterable[str]) -> frozenset[str]:
        """Return the versions in use that certainly stand in the store."""
        return frozenset(
            version
            for endpoint in endpoints
            for version in self.find_bound(endpoint).versions
            & self._list_known(endpoint)
        )

    def find_bound(self, endpoint: str) -> StoredVersions:
        """Return at which runners a stream may begin."""
        stored = self._marks.get(endpoint, VersionMark()).staying
        return StoredVersions(stored | self._confirmed.get(endpoint, frozenset()))

    async def wait_for_bound(self, endpoint: str) -> StoredVersions:
        """Return at which runners a stream may begin.

        If there is none, wait until their versions stand in the store.
        """
        now = time.monotonic()
        if self._may_begin(endpoint, now) or endpoint not in self._pending:
            return self.find_bound(endpoint)
        self._waiting += 1
        self._changed.notify_all()
        try:
            with anyio.move_on_after(STORE_WAIT_SECONDS):
                while not self._may_begin(endpoint, time.monotonic()):
                    await self._changed.wait()
        finally:
            self._waiting -= 1
        return self.find_bound(endpoint)

    async def read(self, endpoints: Iterable[str]) -> frozenset[str | None] | None:
        """Return the versions at which a stream of some endpoints may have begun.

        Returns:
            The versions, ``None`` among them for others that aren't known; or ``None``
            if the store doesn't answer.
        """
        marks = await read_marks(self._store)
        if marks is None:
            return None
        return frozenset().union(
            *(
                marks.get(endpoint, UNKNOWN).versions
                for endpoint in endpoints
                if endpoint in marks or self._list_known(endpoint)
            )
        )

    def _may_begin(self, endpoint: str, now: float) -> bool:
        bound = self.find_bound(endpoint)
        return bool(self._table.list_views(endpoint, now, bound))

    def _list_known(self, endpoint: str) -> frozenset[str]:
        versions = self._table.find_versions(endpoint, time.monotonic())
        return frozenset(version for version in versions if version is not None)

    async def _wait_for_work(self) -> None:
        """Wait until versions are to be written, some time longer if nobody waits."""
        while not self._pending:
            await self._changed.wait()
        with anyio.move_on_after(random.uniform(0.0, STORE_JITTER_SECONDS)):
            while not self._waiting:
                await self._changed.wait()

    async def _store_pending(self) -> bool:
        """Write the versions of all endpoints that lack some; return whether none is
        left.

        What was read before a version was seen says nothing of it, as the version may
        have been removed in between.
        """
        self._renewed.clear()
        async with anyio.create_task_group() as group:
            group.start_soon(self._ask_stored)
            marks = await read_marks(self._store)
            if marks is not None:
                group.cancel_scope.cancel()
        if marks is None:
            return False
        for endpoint in self._pending - self._renewed:
            self._marks[endpoint] = marks.get(endpoint, VersionMark())
            stored = await self._write(endpoint, marks.get(endpoint))
            if endpoint in self._renewed:
                self._marks.pop(endpoint, None)
            elif stored:
                self._pending.discard(endpoint)
                self._changed.notify_all()
        return not self._pending

    async def _write(self, endpoint: str, known: VersionMark | None) -> bool:
        """Write the versions of an endpoint; return whether all of them are stored."""
        versions = self._list_known(endpoint)
        if known is not None and versions <= known.staying:
            return True
        history = self._table.versions
        complete = history.is_complete(time.monotonic())
        mark = await write_versions(
            self._store, endpoint, set(versions), known, complete
        )
        if mark is None:
            return False
        self._set_mark(endpoint, mark)
        # More may have appeared since.
        return self._list_known(endpoint) <= mark.staying

    def _set_mark(self, endpoint: str, mark: VersionMark) -> None:
        self._apply_mark(endpoint, mark)
        log_event(
            Event.VERSIONS_STORED,
            endpoint=endpoint,
            versions=sorted(str(version) for version in mark.versions),
            retiring=sorted(str(version) for version in mark.retiring),
            revision=mark.revision,
        )

    def _apply_mark(self, endpoint: str, mark: VersionMark) -> None:
        """Take over a mark; have versions written that another relay removes."""
        self._marks[endpoint] = mark
        if not self._list_known(endpoint) <= mark.staying:
            self._pending.add(endpoint)
            self._changed.notify_all()

    async def _ask_stored(self) -> None:
        """Learn from other relays what stands in the store if that doesn't answer."""
        await anyio.sleep(ASK_SECONDS)
        for endpoint in list(self._pending):
            members = self._membership.keepers.choose_asked(endpoint)
            answers = await self._ask(members, endpoint)
            if endpoint in self._renewed:
                continue
            known = self._confirmed.get(endpoint, frozenset())
            stored = (answer.stored for answer in answers.values())
            self._confirmed[endpoint] = known.union(*stored)
        self._changed.notify_all()

    async def _ask(
        self, members: Iterable[Member], endpoint: str
    ) -> dict[Member, StreamAnswer]:
        """Ask relays for the versions of an endpoint; return the answers."""
        answers: dict[Member, StreamAnswer] = {}
        limiter = anyio.CapacityLimiter(MAX_PARALLEL_CALLS)

        async def ask(member: Member) -> None:
            async with limiter:
                answer = await self._peers.find_stream(member, "", [endpoint])
            if answer is not None:
                answers[member] = answer

        async with anyio.create_task_group() as group:
            for member in members:
                group.start_soon(ask, member)
        return answers

    async def _retire(self) -> None:
        """Remove versions whose streams have all ended."""
        pause = 0.0
        while True:
            await anyio.sleep(max(pause, random.uniform(*RETIRE_SECONDS)))
            agreed = True
            for endpoint, mark in list(self._marks.items()):
                if self._membership.is_primary_for(endpoint) and self._find_unused(
                    endpoint, mark
                ):
                    agreed = await self._retire_versions(endpoint) and agreed
            pause = 0.0 if agreed else min(2 * pause + 0.5, MAX_RETIRE_PAUSE_SECONDS)

    def _find_unused(
        self, endpoint: str, mark: VersionMark, margin: float = 0.0
    ) -> frozenset[str | None]:
        """Return the versions of a mark that weren't in use for a stream's life.

        Args:
            margin: Added to that life, seconds.
        """
        history, now = self._table.versions, time.monotonic()
        if not (history.is_current(now) and history.is_complete(now - margin)):
            return frozenset()
        self._table.find_versions(endpoint, now)
        return mark.versions - history.list_versions(endpoint, now - margin)

    async def _retire_versions(self, endpoint: str) -> bool:
        """Remove unused versions of an endpoint; return whether nothing is left to do.

        They are announced first. A relay that sees one of them after it was asked finds
        the announcement and withdraws it, so the removal fails.
        """
        marks = await read_marks(self._store)
        if marks is None or endpoint in self._pending:
            return False
        mark = marks.get(endpoint, VersionMark())
        self._apply_mark(endpoint, mark)
        unused = self._find_unused(endpoint, mark)
        if not unused:
            return True
        if not unused <= mark.retiring:
            announced = attrs.evolve(mark, retiring=mark.retiring | unused)
            if not await self._replace(endpoint, announced):
                return False
            mark = self._marks[endpoint]
        unused = await self._find_agreed(endpoint, mark)
        if not unused:
            return False
        left = attrs.evolve(
            mark, versions=mark.versions - unused, retiring=mark.retiring - unused
        )
        return await self._replace(endpoint, left)

    async def _find_agreed(
        self, endpoint: str, mark: VersionMark
    ) -> frozenset[str | None]:
        """Return the announced versions that no relay has in use.

        Relays that don't answer, or have started within a stream's life, may have lists
        that are older by as long as those of relays in touch may be.
        """
        own = self._membership.member
        others = [m for m in self._membership.list_all() if m.host != own.host]
        answers = await self._ask(others, endpoint)
        places = {member.data_centre for member in answers} | {own.data_centre}
        if places < {member.data_centre for member in others}:
            return frozenset()
        certain = len(answers) == len(others) and all(
            answer.complete for answer in answers.values()
        )
        margin = 0.0 if certain else self._table.versions.max_age
        unused = mark.retiring & self._find_unused(endpoint, mark, margin)
        return unused.difference(*(answer.versions for answer in answers.values()))

    async def _replace(self, endpoint: str, mark: VersionMark) -> bool:
        outcome = await replace_mark(self._store, endpoint, mark)
        if isinstance(outcome, Written):
            self._set_mark(endpoint, attrs.evolve(mark, revision=outcome.revision))
            return True
        return False
