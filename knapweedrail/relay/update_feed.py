"""Task that exchanges updates of the store with other relays.

A relay subscribes to the updates of two other relays, its sources, and serves its own
to the relays that subscribe to it.
"""

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
    EncodedUpdate,
    FeedReply,
    FeedRequest,
    LinkLostError,
    SourceLink,
    SubscriberLink,
)
from .members import Membership
from .models import Member
from .notifiers import Notifier
from .pace_exchange import LinkPaces, PaceExchange
from .peer_updates import PeerUpdates, UpdateReceiver
from .peers import PeerClient
from .replicas import KindUpdate, UpdateRejectedError, decode_items
from .sources import SOURCE_COUNT, FeedTiming, Source

SUBSCRIBER_TIMEOUT_FACTOR = 3.0
"""Multiple of the source timeout after which a subscriber without heartbeats is
dropped. The factor lets a subscriber whose process was paused continue on its link."""

FIRST_LIST_WAIT_SECONDS = 0.5
"""Longest wait of a starting relay for the list of relays before it watches the store
itself: about the duration of a few tens of store calls."""

FLEET_START_WAIT_SECONDS = 8.0
"""Wait before a relay watches the store itself if the whole fleet starts for the first
time. It covers the time until the relays are listed and have chosen their sources.
Without it, each relay would read all lists from the store."""


@attrs.define(eq=False)
class _Subscriber:
    """A relay that subscribes to the updates of this one.

    Attributes:
        clock: Clock value of its last request, seconds.
        sent_revisions: Last revision sent to it, by kind.
        paces: Which paces of runners were exchanged with it.
        reply_due: Whether its last request still needs a reply.
        store_available: Whether this relay could reach the store as of the last reply.
        update_available: Notified when there may be something to send.
    """

    clock: float
    sent_revisions: dict[str, int]
    paces: LinkPaces
    reply_due: bool = True
    store_available: bool = True
    update_available: Notifier = attrs.field(factory=Notifier)

    def record_sent(self, reply: FeedReply) -> None:
        """Record that a reply is sent to it."""
        self.reply_due = False
        for update in reply.kinds:
            known = self.sent_revisions.get(update.kind, 0)
            self.sent_revisions[update.kind] = max(known, update.revision)


class UpdateFeed(Task, PeerUpdates):
    """Receives updates from two sources and sends updates to subscribers.

    Args:
        membership: List of the relays.
        peers: Tracks which relays are in backoff.
        dialer: Opens links to sources.
        receivers: Apply the updates, one receiver for each kind.
        paces: The paces of runners that relays exchange.
        timing: Heartbeat interval and timeout of sources.
        first_start: Whether the whole fleet starts for the first time.
    """

    def __init__(
        self,
        membership: Membership,
        peers: PeerClient,
        dialer: Dialer,
        receivers: Sequence[UpdateReceiver],
        paces: PaceExchange,
        timing: FeedTiming,
        first_start: bool = False,
    ) -> None:
        super().__init__("news")
        self._first_start = first_start
        self.changed = Notifier()
        self._membership = membership
        self._peers = peers
        self._dialer = dialer
        self._receivers = {receiver.replica.kind: receiver for receiver in receivers}
        self._paces = paces
        self._timing = timing
        self._sources: list[Source | None] = [None] * SOURCE_COUNT
        self._subscribers: set[_Subscriber] = set()
        self._started_at = time.monotonic()
        self._available_at = float("-inf")
        for receiver in receivers:
            receiver.peer_updates = self

    @property
    def has_subscribers(self) -> bool:
        """Whether other relays subscribe to this one."""
        return bool(self._subscribers)

    def list_sources(self) -> list[Member]:
        """Return the current sources."""
        return [source.member for source in self._sources if source is not None]

    async def run(self) -> None:
        async with anyio.create_task_group() as group:
            await self._membership.first_listed.wait()
            self.changed.notify_all()
            for slot in range(SOURCE_COUNT):
                group.start_soon(self._maintain_source, slot)

    def compute_poll_delay(self, kind: str, limit: float) -> float:
        now = time.monotonic()
        if not self._membership.first_listed.is_set():
            return max(0.0, self._started_at + FIRST_LIST_WAIT_SECONDS - now)
        if self._subscribers:
            return 0.0
        delays = [
            source.measure_validity(kind, now, self._timing, limit)
            for source in self._sources
            if source is not None
        ]
        if self._first_start:
            delays.append(self._started_at + FLEET_START_WAIT_SECONDS - now)
        if self._membership.count > 1:
            # After a power loss of all hosts, the sources start at the same time as
            # this relay. The wait gives them time to answer.
            delays.append(self._started_at + self._timing.timeout - now)
        if any(self._membership.list_sources()):
            # A source detects the recovery of the store at the same time and sends an
            # update.
            delays.append(self._available_at + self._timing.heartbeat_interval - now)
        return max(delays, default=0.0)

    def notify_change(self) -> None:
        for subscriber in self._subscribers:
            subscriber.update_available.notify_all()

    def notify_store_available(self) -> None:
        self._available_at = time.monotonic()

    async def serve(self, link: SubscriberLink) -> None:
        """Serve updates to a subscriber until its link ends."""
        try:
            request = await link.receive()
        except LinkLostError:
            return
        paces = self._paces.open_link()
        paces.receive(request.paces)
        subscriber = _Subscriber(request.clock, dict(request.revisions), paces)
        self._subscribers.add(subscriber)
        self._handle_subscriber_change()
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(
                    self._send_replies, link, subscriber, group.cancel_scope
                )
                await self._receive_requests(link, subscriber)
                group.cancel_scope.cancel()
        finally:
            self._subscribers.discard(subscriber)
            self._handle_subscriber_change()

    def _handle_subscriber_change(self) -> None:
        for receiver in self._receivers.values():
            receiver.replica.keep_patches = self.has_subscribers
        self.changed.notify_all()

    async def _receive_requests(
        self, link: SubscriberLink, subscriber: _Subscriber
    ) -> None:
        try:
            while True:
                with anyio.fail_after(SUBSCRIBER_TIMEOUT_FACTOR * self._timing.timeout):
                    request = await link.receive()
                subscriber.paces.receive(request.paces)
                subscriber.clock = request.clock
                subscriber.reply_due = True
                subscriber.update_available.notify_all()
        except (LinkLostError, TimeoutError):
            return

    async def _send_replies(
        self, link: SubscriberLink, subscriber: _Subscriber, scope: anyio.CancelScope
    ) -> None:
        try:
            while True:
                reply = self._make_reply(subscriber)
                available = self._is_store_available()
                if (
                    subscriber.reply_due
                    or subscriber.store_available != available
                    or any(update.changes for update in reply.kinds)
                ):
                    subscriber.store_available = available
                    subscriber.record_sent(reply)
                    paces = subscriber.paces.take_next()
                    await link.send(attrs.evolve(reply, paces=paces))
                    continue
                await subscriber.update_available.wait()
        except LinkLostError:
            scope.cancel()

    def _make_reply(self, subscriber: _Subscriber) -> FeedReply:
        kinds = [
            self._make_update(receiver, subscriber.sent_revisions.get(kind, 0))
            for kind, receiver in self._receivers.items()
        ]
        return FeedReply(subscriber.clock, tuple(kinds))

    def _is_store_available(self) -> bool:
        """Return whether the last calls of all watchers to the store were answered."""
        return all(each.store_available for each in self._receivers.values())

    def _make_update(
        self, receiver: UpdateReceiver, sent_revision: int
    ) -> EncodedUpdate:
        replica = receiver.replica
        age = math.inf
        if self._is_store_available():
            age = time.monotonic() - receiver.confirmed_at
        return EncodedUpdate(
            kind=replica.kind,
            since=replica.find_base(sent_revision),
            revision=replica.revision,
            changes=replica.encode_changes(sent_revision),
            age=age if math.isfinite(age) else None,
        )

    async def _maintain_source(self, slot: int) -> None:
        """Keep one source: the best-ranked relay that answers."""
        while True:
            member = self._choose_source(slot)
            if member is None:
                await anyio.sleep(self._timing.heartbeat_interval)
                continue
            source = Source(member, time.monotonic(), self._paces.open_link())
            self._sources[slot] = source
            answered = await self._subscribe(slot, source)
            self._sources[slot] = None
            if not answered:
                self._peers.record_failure(member, time.monotonic())
            self.changed.notify_all()

    def _choose_source(self, slot: int) -> Member | None:
        now = time.monotonic()
        others = {
            source.member.host
            for number, source in enumerate(self._sources)
            if number != slot and source is not None
        }
        for member in self._membership.list_sources()[slot]:
            if member.host in others or self._peers.is_in_backoff(member, now):
                continue
            return member
        return None

    def _is_best_source(self, slot: int, member: Member) -> bool:
        best = self._choose_source(slot)
        return best is not None and best.host == member.host

    async def _subscribe(self, slot: int, source: Source) -> bool:
        """Subscribe to a source until it times out or a better one is available.

        The subscription runs in a task of its own: when a connection breaks, the RPC
        library cancels each task that waits on it, and the task stays marked as
        cancelled.

        Returns:
            Whether the source answered until the end.
        """
        source_lost = anyio.Event()
        async with anyio.create_task_group() as group:
            group.start_soon(self._run_subscription, slot, source, source_lost)
        return not source_lost.is_set()

    async def _run_subscription(
        self, slot: int, source: Source, source_lost: anyio.Event
    ) -> None:
        log_event(Event.SOURCE_CHOSEN, slot=slot, source=source.member.holder)
        try:
            async with self._dialer.dial(source.member) as link:
                await self._follow(slot, link, source, source_lost)
        except LinkLostError:
            source_lost.set()
        if source_lost.is_set():
            reply_age = round(time.monotonic() - source.last_reply_at, 3)
            log_event(
                Event.SOURCE_LOST,
                slot=slot,
                source=source.member.holder,
                unheard=reply_age,
            )

    async def _follow(
        self, slot: int, link: SourceLink, source: Source, source_lost: anyio.Event
    ) -> None:
        """Exchange messages with a source until it is lost or a better one is
        available."""
        await self._send_request(link, source, source_lost)
        if source_lost.is_set():
            return
        async with anyio.create_task_group() as group:
            group.start_soon(self._receive_replies, link, source, source_lost)
            await self._send_heartbeats(slot, link, source, source_lost)
            group.cancel_scope.cancel()

    async def _send_heartbeats(
        self, slot: int, link: SourceLink, source: Source, source_lost: anyio.Event
    ) -> None:
        """Send heartbeats until the source times out or a better one is available."""
        while True:
            with anyio.move_on_after(self._timing.heartbeat_interval):
                await source_lost.wait()
            if source.has_timed_out(time.monotonic(), self._timing):
                source_lost.set()
            if source_lost.is_set() or not self._is_best_source(slot, source.member):
                return
            await self._send_request(link, source, source_lost)

    async def _send_request(
        self, link: SourceLink, source: Source, source_lost: anyio.Event
    ) -> None:
        revisions = {
            kind: receiver.replica.revision
            for kind, receiver in self._receivers.items()
        }
        paces = source.paces.take_next()
        request = FeedRequest(time.monotonic(), revisions, paces)
        try:
            # The first request opens the connection. A host without power never answers
            # the attempt.
            with anyio.fail_after(self._timing.heartbeat_interval):
                await link.send(request)
        except (LinkLostError, TimeoutError):
            source_lost.set()

    async def _receive_replies(
        self, link: SourceLink, source: Source, source_lost: anyio.Event
    ) -> None:
        try:
            while True:
                reply = await link.receive()
                source.record_reply(time.monotonic())
                self._peers.record_answer(source.member)
                for update in reply.kinds:
                    self._apply_update(source, reply.clock, update)
                source.paces.receive(reply.paces)
        except (LinkLostError, UpdateRejectedError, ValueError) as error:
            log_event(
                Event.NEIGHBOUR_SILENT,
                neighbour=source.member.holder,
                error=repr(error),
            )
            source_lost.set()

    def _apply_update(
        self, source: Source, clock: float, update: EncodedUpdate
    ) -> None:
        """Apply a source's update of one kind.

        Raises:
            UpdateRejectedError: If it can't be applied to the local replica, and no
                read from the store is pending that would replace it.
            ValueError: If its items can't be decoded.
        """
        receiver = self._receivers.get(update.kind)
        if receiver is None:
            return
        kind_update = KindUpdate(
            update.kind, update.since, update.revision, decode_items(update.changes)
        )
        confirmed_at = float("-inf")
        if update.age is not None:
            confirmed_at = clock - update.age
        try:
            receiver.apply_update(kind_update, confirmed_at)
        except UpdateRejectedError:
            if not receiver.fetching:
                raise
            return
        if update.age is None:
            source.withdraw_confirmation(update.kind)
            self.changed.notify_all()
        else:
            source.record_confirmation(update.kind, clock, update.age)
