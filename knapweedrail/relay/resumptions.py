"""Task that finds out which software version began a stream that a caller resumes.

Each relay tells two others what began its streams, before callers receive their first
events, and a relay that is asked to go on with an unknown stream asks those.
"""

from __future__ import annotations

import time
from collections.abc import Mapping, Sequence

import anyio
import anyio.abc

from ..events import Event, log_event
from ..tasks import Task
from .members import Membership
from .models import Member
from .notifiers import Notifier
from .peers import MAX_ENTRIES_PER_CALL, PeerClient
from .runners import RunnerTable
from .stores import Store
from .stream_messages import StreamAnswer, StreamRegistry
from .stream_origins import StreamOrigin, StreamRecords
from .version_registry import VersionRegistry

READ_SECONDS = 0.2
"""Timeout of a read of the store for which a caller waits."""

UNANSWERED_SECONDS = 2.0
"""How long a relay that didn't answer gets no records: about the time in which it is
replaced."""


class Resumptions(Task, StreamRegistry):
    """Keeps and finds what began streams.

    Args:
        table: Runners and their versions.
        membership: List of the relays.
        peers: Calls to the other relays.
        store: The platform's store.

    Attributes:
        versions: Keeps in the store at which versions streams may have begun.
    """

    def __init__(
        self,
        table: RunnerTable,
        membership: Membership,
        peers: PeerClient,
        store: Store,
    ) -> None:
        super().__init__("resumptions")
        self._table = table
        self._membership = membership
        self._peers = peers
        self.versions = VersionRegistry(table, membership, peers, store)
        self._own_records = StreamRecords()
        self._kept_records = StreamRecords()
        self._unsent: dict[str, dict[str, StreamOrigin]] = {}
        self._sending: set[str] = set()
        self._unanswered_until: dict[str, float] = {}
        self._changed = Notifier()
        table.on_new_version = self._handle_new_version

    async def run(self) -> None:
        async with anyio.create_task_group() as group:
            await self.versions.start(group)
            while True:
                idle = self._unsent.keys() - self._sending
                for host in idle:
                    self._sending.add(host)
                    group.start_soon(self._send_to, host)
                await self._changed.wait()

    def record(self, stream: str, origin: StreamOrigin) -> None:
        """Record what began a stream, before its caller receives the first event."""
        now, ttl = time.monotonic(), self._table.versions.stream_seconds
        self._own_records.record(stream, origin, now, ttl)
        self._queue({stream: origin})

    def record_streams(self, origins: Mapping[str, StreamOrigin]) -> None:
        now, ttl = time.monotonic(), self._table.versions.stream_seconds
        for stream, origin in origins.items():
            self._kept_records.record(stream, origin, now, ttl)

    def answer_find(self, stream: str, endpoints: Sequence[str]) -> StreamAnswer:
        now = time.monotonic()
        history = self._table.versions
        return StreamAnswer(
            self._find_record(stream),
            frozenset(self._find_versions(endpoints, now)),
            history.is_complete(now),
            frozenset().union(*(history.list_earlier(name) for name in endpoints)),
            self.versions.list_stored(endpoints),
        )

    async def find_origin(
        self, stream: str, endpoints: Sequence[str], request: str = ""
    ) -> StreamOrigin | None:
        """Return what began a stream.

        Args:
            stream: Name of the stream; empty if the caller doesn't name it.
            endpoints: Endpoints at which it may have begun, the likeliest first.
            request: Identity of the attempt that resumes it, for the log.

        Returns:
            The origin; ``None`` if it isn't known for certain.
        """
        origin, source = self._find_record(stream), "record"
        answers: dict[Member, StreamAnswer] = {}
        if origin is None:
            answers = await self._ask_others(stream, endpoints)
            found = (a.origin for a in answers.values() if a.origin is not None)
            origin, source = next(found, None), "other relay"
        if origin is None:
            origin = await self._infer_origin(endpoints, answers)
            source = "only version" if origin else "unknown"
        log_event(
            Event.STREAM_ORIGIN,
            request=request,
            stream=stream,
            source=source,
            version=origin.version if origin else None,
            runner=origin.runner if origin else None,
            answers=len(answers),
        )
        return self._complete(origin) if origin else None

    def _find_record(self, stream: str) -> StreamOrigin | None:
        if not stream:
            return None
        return self._own_records.find(stream) or self._kept_records.find(stream)

    def _complete(self, origin: StreamOrigin) -> StreamOrigin:
        """Add the version of a runner that wasn't listed yet when it began a stream."""
        if origin.version is None:
            return self._table.find_origin(origin.runner) or origin
        return origin

    async def _ask_others(
        self, stream: str, endpoints: Sequence[str]
    ) -> dict[Member, StreamAnswer]:
        """Ask the relays that may know a stream, until one of them does."""
        answers: dict[Member, StreamAnswer] = {}
        now = time.monotonic()
        async with anyio.create_task_group() as group:

            async def ask(member: Member) -> None:
                answer = await self._peers.find_stream(member, stream, endpoints)
                if answer is None:
                    return
                answers[member] = answer
                if answer.origin is not None:
                    group.cancel_scope.cancel()

            for member in self._membership.keepers.choose_asked(stream):
                if not self._peers.is_in_backoff(member, now):
                    group.start_soon(ask, member)
        return answers

    async def _infer_origin(
        self, endpoints: Sequence[str], answers: Mapping[Member, StreamAnswer]
    ) -> StreamOrigin | None:
        """Return the only version that can have begun a stream, if there is just one.

        All who are asked may have been cut off together, while a newer version serves
        elsewhere, or may have started after a loss of all relays. The store knows all
        versions at which streams have begun within a stream's life. Without a word of
        it, nothing is known.
        """
        known = [self.answer_find("", endpoints), *answers.values()]
        versions = frozenset().union(*(answer.versions for answer in known))
        if len(versions) != 1 or None in versions:
            return None
        stored = None
        with anyio.move_on_after(READ_SECONDS):
            stored = await self.versions.read(endpoints)
        all_answered = self._have_all_answered(answers)
        if stored is None:
            certain = all_answered and any(answer.complete for answer in known)
        else:
            certain = stored == versions or (
                all_answered and any(a.complete and stored <= a.earlier for a in known)
            )
        return StreamOrigin(endpoints[0], *versions) if certain else None

    def _have_all_answered(self, answers: Mapping[Member, StreamAnswer]) -> bool:
        """Return whether relays of all other data centres answered, and at least one
        other relay, unless there is none."""
        own = self._membership.member
        others = [m for m in self._membership.list_all() if m.host != own.host]
        answered = {member.data_centre for member in answers} | {own.data_centre}
        if others and not answers:
            return False
        return answered >= {member.data_centre for member in others}

    def _find_versions(self, endpoints: Sequence[str], now: float) -> set[str | None]:
        return {
            version
            for endpoint in endpoints
            for version in self._table.find_versions(endpoint, now)
        }

    def _handle_new_version(self, endpoint: str, now: float) -> None:
        """Tell others again of the streams under way when a second version appears.

        Without a record they go on as long as the first one is the only one.
        """
        self.versions.handle_new_version(endpoint)
        if len(self._table.find_versions(endpoint, now)) < 2:
            return
        since = now - self._table.versions.stream_seconds
        self._queue(self._own_records.list_since(since, endpoint))

    def _queue(self, origins: Mapping[str, StreamOrigin]) -> None:
        now = time.monotonic()
        unavailable = {h for h, until in self._unanswered_until.items() if now < until}
        for stream, origin in origins.items():
            for keeper in self._membership.keepers.choose_keepers(stream, unavailable):
                self._unsent.setdefault(keeper.host, {})[stream] = origin
        self._changed.notify_all()

    async def _send_to(self, host: str) -> None:
        """Send records to one relay until none is left, many in one message."""
        member = self._membership.find_member(host)
        while records := self._unsent.pop(host, None):
            streams = list(records)[-MAX_ENTRIES_PER_CALL:]
            batch = {stream: records.pop(stream) for stream in streams}
            if member is None or not await self._peers.send_streams(member, batch):
                self._unanswered_until[host] = time.monotonic() + UNANSWERED_SECONDS
                self._unsent.pop(host, None)
                break
            if records:
                self._unsent[host] = records | self._unsent.get(host, {})
        self._sending.discard(host)
        self._changed.notify_all()
