"""Task that follows other relays' news of the store, and tells them its own."""

from __future__ import annotations

import math
import time
from collections.abc import Sequence

import anyio
import anyio.abc
import attrs

from ..events import Event, log_event
from ..tasks import Task
from .links import (
    Dialer,
    FollowerLink,
    KindState,
    LinkLostError,
    Reading,
    Telling,
    WatcherLink,
)
from .members import Membership
from .models import Member
from .neighbours import Neighbours
from .replicas import News, OutOfStepError, decode_items
from .signals import Signal
from .sources import SOURCES, NewsTiming, Source
from .supplies import NewsTaker, Supply

QUIET_FACTOR = 3.0
"""How many times as long as a source may be silent a follower may be, before it is no
longer told: it may be paused, and goes on when it wakes."""

LOOK_SECONDS = 0.5
"""How long a relay that starts waits for the list of relays before it watches the
store for itself: some tens of the store's answers."""

FIRST_START_SECONDS = 8.0
"""The same, in a fleet that starts for the first time: until its relays are listed, and
have found whom to follow. Each would read all lists for itself otherwise."""


@attrs.define(eq=False)
class _Subscriber:
    """A relay that follows this one.

    Attributes:
        clock: Its clock as last told.
        sent: The revision that it was told last, by kind.
        due: Whether it waits for an answer.
        wake: Given when there is something to tell.
    """

    clock: float
    sent: dict[str, int]
    due: bool = True
    wake: Signal = attrs.field(factory=Signal)

    def note_sent(self, telling: Telling) -> None:
        """Take in what it is told."""
        self.due = False
        for state in telling.kinds:
            known = self.sent.get(state.kind, 0)
            self.sent[state.kind] = max(known, state.revision)


class NewsFeed(Task, Supply):
    """Follows two other relays, and tells those that follow this one.

    Args:
        membership: Which relays there are.
        neighbours: Knows which of them have been silent.
        dialer: Opens links to them.
        takers: Take in the news, one of each kind.
        timing: How often sources are asked.
        first_start: Whether the whole fleet starts for the first time.
    """

    def __init__(
        self,
        membership: Membership,
        neighbours: Neighbours,
        dialer: Dialer,
        takers: Sequence[NewsTaker],
        timing: NewsTiming,
        first_start: bool = False,
    ) -> None:
        super().__init__("news")
        self._first_start = first_start
        self.changed = Signal()
        self._membership = membership
        self._neighbours = neighbours
        self._dialer = dialer
        self._takers = {taker.replica.kind: taker for taker in takers}
        self._timing = timing
        self._sources: list[Source | None] = [None] * SOURCES
        self._subscribers: set[_Subscriber] = set()
        self._started_at = time.monotonic()
        self._back_at = float("-inf")
        for taker in takers:
            taker.supply = self

    @property
    def is_followed(self) -> bool:
        """Whether other relays rely on this one."""
        return bool(self._subscribers)

    def list_sources(self) -> list[Member]:
        """Return the relays that are followed now."""
        return [source.member for source in self._sources if source is not None]

    async def run(self) -> None:
        async with anyio.create_task_group() as group:
            await self._membership.looked.wait()
            self.changed.give()
            for slot in range(SOURCES):
                group.start_soon(self._fill, slot)

    def measure_rest(self, kind: str, limit: float) -> float:
        now = time.monotonic()
        if not self._membership.looked.is_set():
            return max(0.0, self._started_at + LOOK_SECONDS - now)
        if self._subscribers:
            return 0.0
        rests = [
            source.measure_trust(kind, now, self._timing, limit)
            for source in self._sources
            if source is not None
        ]
        if self._first_start:
            rests.append(self._started_at + FIRST_START_SECONDS - now)
        if self._membership.count > 1:
            # Its sources are found meanwhile, which start at the same time as it does
            # when all hosts lost power.
            rests.append(self._started_at + self._timing.silence - now)
        if any(self._membership.list_sources()):
            # A source finds the store back at the same time, and tells of it.
            rests.append(self._back_at + self._timing.beat - now)
        return max(rests, default=0.0)

    def note_change(self) -> None:
        for subscriber in self._subscribers:
            subscriber.wake.give()

    def note_back(self) -> None:
        self._back_at = time.monotonic()

    async def serve(self, link: WatcherLink) -> None:
        """Tell a follower what is known until it is gone."""
        try:
            reading = await link.receive()
        except LinkLostError:
            return
        subscriber = _Subscriber(reading.clock, dict(reading.revisions))
        self._subscribers.add(subscriber)
        self._note_followed()
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._tell, link, subscriber, group.cancel_scope)
                await self._hear_follower(link, subscriber)
                group.cancel_scope.cancel()
        finally:
            self._subscribers.discard(subscriber)
            self._note_followed()

    def _note_followed(self) -> None:
        for taker in self._takers.values():
            taker.replica.keep_patches = self.is_followed
        self.changed.give()

    async def _hear_follower(self, link: WatcherLink, subscriber: _Subscriber) -> None:
        try:
            while True:
                with anyio.fail_after(QUIET_FACTOR * self._timing.silence):
                    reading = await link.receive()
                subscriber.clock = reading.clock
                subscriber.due = True
                subscriber.wake.give()
        except (LinkLostError, TimeoutError):
            return

    async def _tell(
        self, link: WatcherLink, subscriber: _Subscriber, scope: anyio.CancelScope
    ) -> None:
        try:
            while True:
                telling = self._make_telling(subscriber)
                if subscriber.due or any(state.changes for state in telling.kinds):
                    subscriber.note_sent(telling)
                    await link.send(telling)
                    continue
                await subscriber.wake.wait()
        except LinkLostError:
            scope.cancel()

    def _make_telling(self, subscriber: _Subscriber) -> Telling:
        kinds = [
            self._describe(taker, subscriber.sent.get(kind, 0))
            for kind, taker in self._takers.items()
        ]
        return Telling(subscriber.clock, tuple(kinds))

    def _describe(self, taker: NewsTaker, sent: int) -> KindState:
        replica = taker.replica
        age = time.monotonic() - taker.confirmed_at
        return KindState(
            kind=replica.kind,
            since=replica.find_base(sent),
            revision=replica.revision,
            changes=replica.tell(sent),
            age=age if math.isfinite(age) else None,
        )

    async def _fill(self, slot: int) -> None:
        """Keep one source, the best that answers."""
        while True:
            member = self._choose(slot)
            if member is None:
                await anyio.sleep(self._timing.beat)
                continue
            source = Source(member, time.monotonic())
            self._sources[slot] = source
            answered = await self._follow(slot, source)
            self._sources[slot] = None
            if not answered:
                self._neighbours.note_silence(member, time.monotonic())
            self.changed.give()

    def _choose(self, slot: int) -> Member | None:
        now = time.monotonic()
        others = {
            source.member.host
            for number, source in enumerate(self._sources)
            if number != slot and source is not None
        }
        for member in self._membership.list_sources()[slot]:
            if member.host in others or self._neighbours.is_avoided(member, now):
                continue
            return member
        return None

    def _is_best(self, slot: int, member: Member) -> bool:
        best = self._choose(slot)
        return best is not None and best.host == member.host

    async def _follow(self, slot: int, source: Source) -> bool:
        """Follow a relay until it is silent, or a better one is found.

        In a task of its own: when a connection breaks, the RPC library cancels each
        task that waits on it, and the task stays marked as cancelled.

        Returns:
            Whether it was heard to the end.
        """
        ended = anyio.Event()
        async with anyio.create_task_group() as group:
            group.start_soon(self._converse, slot, source, ended)
        return not ended.is_set()

    async def _converse(self, slot: int, source: Source, ended: anyio.Event) -> None:
        log_event(Event.SOURCE_CHOSEN, slot=slot, source=source.member.holder)
        async with self._dialer.dial(source.member) as link:
            await self._send_reading(link, ended)
            if not ended.is_set():
                async with anyio.create_task_group() as group:
                    group.start_soon(self._listen, link, source, ended)
                    await self._keep_reading(slot, link, source, ended)
                    group.cancel_scope.cancel()
        if ended.is_set():
            unheard = round(time.monotonic() - source.heard_at, 3)
            log_event(
                Event.SOURCE_LOST,
                slot=slot,
                source=source.member.holder,
                unheard=unheard,
            )

    async def _keep_reading(
        self, slot: int, link: FollowerLink, source: Source, ended: anyio.Event
    ) -> None:
        """Ask for word again and again, until the source is silent or a better one is
        found."""
        while True:
            with anyio.move_on_after(self._timing.beat):
                await ended.wait()
            if source.is_silent(time.monotonic(), self._timing):
                ended.set()
            if ended.is_set() or not self._is_best(slot, source.member):
                return
            await self._send_reading(link, ended)

    async def _send_reading(self, link: FollowerLink, ended: anyio.Event) -> None:
        revisions = {
            kind: taker.replica.revision for kind, taker in self._takers.items()
        }
        try:
            # The first one opens the connection: a host without power gives no answer.
            with anyio.fail_after(self._timing.beat):
                await link.send(Reading(time.monotonic(), revisions))
        except (LinkLostError, TimeoutError):
            ended.set()

    async def _listen(
        self, link: FollowerLink, source: Source, ended: anyio.Event
    ) -> None:
        try:
            while True:
                telling = await link.receive()
                source.note_heard(time.monotonic())
                self._neighbours.note_answer(source.member)
                for state in telling.kinds:
                    self._take(source, telling.clock, state)
        except (LinkLostError, OutOfStepError, ValueError) as error:
            log_event(
                Event.NEIGHBOUR_SILENT,
                neighbour=source.member.holder,
                error=repr(error),
            )
            ended.set()

    def _take(self, source: Source, clock: float, state: KindState) -> None:
        """Take in what a source tells of one kind.

        Raises:
            OutOfStepError: If it doesn't lead on from what is known here.
            ValueError: If it can't be decoded.
        """
        taker = self._takers.get(state.kind)
        if taker is None:
            return
        news = News(
            state.kind, state.since, state.revision, decode_items(state.changes)
        )
        confirmed_at = float("-inf")
        if state.age is not None:
            confirmed_at = clock - state.age
        try:
            taker.take_news(news, confirmed_at)
        except OutOfStepError:
            if not taker.fetching:
                raise
            return
        if state.age is not None:
            source.note_confirmed(state.kind, clock, state.age)
