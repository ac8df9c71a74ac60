"""Relays that follow the store and each other in virtual time.

The followers, the news and the membership are those of the product; the store, the
links between relays and what goes wrong with both are played.
"""

from __future__ import annotations

import contextlib
import math
import time
from collections import Counter
from collections.abc import AsyncIterator
from typing import Any

import anyio
import anyio.abc
import attrs

from ..outcomes import Unavailable
from ..relay.followers import ConfigurationFollower, RunnerFollower
from ..relay.links import (
    Dialer,
    FollowerLink,
    LinkLostError,
    Reading,
    Telling,
    WatcherLink,
)
from ..relay.members import MEMBER_KIND, Membership
from ..relay.models import (
    CallerLimits,
    Configuration,
    Endpoint,
    Member,
    Runner,
    RunnerState,
)
from ..relay.neighbours import Neighbours
from ..relay.news import NewsFeed
from ..relay.options import RelaySettings
from ..relay.reach import StoreReach
from ..relay.runners import RunnerTable
from ..relay.signals import Signal
from ..relay.sources import NewsTiming
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

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
RUNNERS_KIND = "servers"

STORE_SECONDS = 0.004
LINK_SECONDS = 0.001
CALL_SECONDS = 1.0
"""Longest wait for an answer of the store that is due at once."""

WATCH_GRACE_SECONDS = 0.3
STALE_SECONDS = 2.0
"""How old what is read for less may be."""

STALE_PRICE = 0.1
DOUBT_SECONDS = 1.9

MESSAGE_BYTES = 150
"""Of a message that tells no change: two kinds of some forty bytes, and as much for
HTTP/2, TCP and IP."""


class PlayedStore:
    """The store's state, its history, and what each relay's calls meet.

    Attributes:
        down: Whether it takes calls and answers none.
        lost: Hosts that it can't be reached from.
        price: Of all calls, one that may be stale at a tenth.
        calls: By step and kind.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.down = False
        self.lost: set[str] = set()
        self.price = 0.0
        self.calls: Counter[str] = Counter()
        self.changed = Signal()
        self._objects: dict[tuple[str, str], StoredObject] = {}
        self._events: list[tuple[float, int, str, Change]] = []
        self._oldest = 0
        self._breaks: Counter[str] = Counter()

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Write an object; return its revision."""
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
        self.changed.give()


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
        if not await self._call("create", kind):
            return self._away()
        known = self._played.find(kind, name)
        if known is not None:
            return Conflict(known)
        return Written(self._played.put(kind, name, spec))

    async def replace(
        self, kind: str, name: str, spec: Any, revision: int
    ) -> WriteOutcome:
        if not await self._call("replace", kind):
            return self._away()
        known = self._played.find(kind, name)
        if known is None:
            return Missing()
        if known.revision != revision:
            return Conflict(known)
        return Written(self._played.put(kind, name, spec))

    async def delete(self, kind: str, name: str) -> WriteOutcome:
        if not await self._call("delete", kind):
            return self._away()
        return Written(self._played.remove(kind, name))

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
        return True

    def _away(self) -> Unavailable:
        return Unavailable("store", "played", "no answer")


class _Pipe:
    """One direction of a link; what is sent arrives after a while, or never."""

    def __init__(self) -> None:
        self._send, self._receive = anyio.create_memory_object_stream(math.inf)
        self.severed = False

    def send(self, message: Any) -> None:
        """Send a message.

        Raises:
            LinkLostError: If the other end was closed.
        """
        if self.severed:
            return
        try:
            self._send.send_nowait((time.monotonic() + LINK_SECONDS, message))
        except anyio.ClosedResourceError as error:
            raise LinkLostError("closed") from error

    async def receive(self) -> Any:
        """Wait for the next message.

        Raises:
            LinkLostError: If the other end was closed.
        """
        try:
            due, message = await self._receive.receive()
        except anyio.EndOfStream as error:
            raise LinkLostError("closed") from error
        await anyio.sleep(max(0.0, due - time.monotonic()))
        return message

    def close(self) -> None:
        """End it at the sender's side."""
        self._send.close()


@attrs.define(eq=False)
class PlayedLink:
    """A link between two hosts."""

    ends: frozenset[str]
    there: _Pipe = attrs.field(factory=_Pipe)
    back: _Pipe = attrs.field(factory=_Pipe)

    def sever(self) -> None:
        """Lose all that is on its way from now on, without a word."""
        self.there.severed = True
        self.back.severed = True

    def close(self) -> None:
        """End it, which both sides hear."""
        if not self.there.severed:
            self.there.close()
            self.back.close()


@attrs.define
class Traffic:
    """What a relay has told others."""

    messages: int = 0
    bytes: int = 0


class _FollowerEnd(FollowerLink):
    def __init__(self, link: PlayedLink) -> None:
        self._link = link

    async def send(self, reading: Reading) -> None:
        self._link.there.send(reading)

    async def receive(self) -> Telling:
        return await self._link.back.receive()


class _WatcherEnd(WatcherLink):
    def __init__(self, link: PlayedLink, traffic: Traffic) -> None:
        self._link = link
        self._traffic = traffic

    async def receive(self) -> Reading:
        return await self._link.there.receive()

    async def send(self, telling: Telling) -> None:
        self._traffic.messages += 1
        changes = sum(len(state.changes) for state in telling.kinds)
        self._traffic.bytes += MESSAGE_BYTES + changes
        self._link.back.send(telling)


class PlayedDialer(Dialer):
    """Opens links of one host to the others of a fleet."""

    def __init__(self, fleet: NewsFleet, host: str) -> None:
        self._fleet = fleet
        self._host = host

    @contextlib.asynccontextmanager
    async def dial(self, member: Member) -> AsyncIterator[FollowerLink]:
        link = PlayedLink(frozenset({self._host, member.host}))
        if self._fleet.is_parted(self._host, member.host):
            link.sever()
        else:
            self._fleet.connect(member.host, link)
        try:
            yield _FollowerEnd(link)
        finally:
            link.close()
            self._fleet.links.discard(link)


@attrs.define(eq=False)
class PlayedRelay:
    """One life of a relay.

    Attributes:
        disturbed_at: When something last went wrong with it that the bounds excuse.
    """

    member: Member
    configuration: ConfigurationFollower
    runners: RunnerFollower
    news: NewsFeed
    membership: Membership
    group: anyio.abc.TaskGroup
    disturbed_at: float

    @property
    def version(self) -> int:
        """The version that it knows; 0 for none."""
        known = self.configuration.configuration
        return known.version if known else 0


def decode_version(spec: Any) -> Configuration:
    """Decode a played configuration.

    Raises:
        ValueError: If it isn't one.
    """
    if not isinstance(spec, dict):
        raise ValueError("not a configuration")
    return Configuration(
        version=spec["version"],
        routes=(),
        endpoints={"e": Endpoint(name="e", health_path="/", max_connections=1)},
        accounts=None,
        limits=CallerLimits(),
    )


def decode_played_runner(name: str, spec: Any) -> Runner:
    """Decode a played runner's entry.

    Raises:
        ValueError: If it isn't one.
    """
    if not isinstance(spec, dict):
        raise ValueError("not a runner")
    return Runner(
        name=name,
        endpoint="e",
        address="10.0.0.1:1",
        data_centre="dc",
        slots=1,
        state=RunnerState(spec["state"]),
    )


@attrs.define
class Acknowledged:
    """A version that the store acknowledged."""

    version: int
    at: float


class NewsFleet:
    """A fleet of relays.

    Args:
        group: Runs their tasks.
        data_centres: Number of hosts, by data centre.
        settings: Bounds of all relays.
    """

    def __init__(
        self,
        group: anyio.abc.TaskGroup,
        data_centres: dict[str, int],
        settings: RelaySettings,
    ) -> None:
        self.settings = settings
        self.store = PlayedStore()
        self.relays: dict[str, PlayedRelay] = {}
        self.links: set[PlayedLink] = set()
        self.acknowledged: list[Acknowledged] = []
        self.unstable_at = -math.inf
        self.worst_age = 0.0
        self.traffic: dict[str, Traffic] = {}
        self.regressed: list[str] = []
        self.hosts = {
            f"{data_centre}-{number}": data_centre
            for data_centre, count in data_centres.items()
            for number in range(count)
        }
        self._seen: dict[str, tuple[str, int]] = {}
        self._group = group
        self._lives: Counter[str] = Counter()
        self._parted: set[frozenset[str]] = set()
        self._version = 0

    def change(self, padding: int = 0) -> int:
        """Have the store acknowledge a newer configuration."""
        self._version += 1
        spec = {"version": self._version, "routes": ["x" * 50] * padding}
        self.store.put(CONFIGURATION_KIND, CONFIGURATION_NAME, spec)
        self.acknowledged.append(Acknowledged(self._version, time.monotonic()))
        return self._version

    def start(self, host: str) -> None:
        """Start a relay's next life."""
        self._lives[host] += 1
        settings = self.settings
        store = StoreOfHost(self.store, host)
        holder = f"{host}/{self._lives[host]}"
        number = list(self.hosts).index(host)
        address = f"10.0.{number // 250}.{number % 250 + 1}:7200"
        member = Member(host, holder, address, self.hosts[host])
        reach = StoreReach(store, MEMBER_KIND, host)
        configuration = ConfigurationFollower(
            store,
            CONFIGURATION_KIND,
            settings.configuration_watch_seconds,
            decode_version,
            CONFIGURATION_NAME,
            settings.configuration_batch_seconds,
            reach=reach,
            limit_seconds=settings.configuration_limit_seconds,
        )
        runners = RunnerFollower(
            store,
            RUNNERS_KIND,
            settings.runner_watch_seconds,
            decode_played_runner,
            RunnerTable(DOUBT_SECONDS),
            settings.runner_batch_seconds,
            reach=reach,
            limit_seconds=settings.runner_limit_seconds,
        )
        membership = Membership(store, member)
        news = NewsFeed(
            membership,
            Neighbours(),
            PlayedDialer(self, host),
            (configuration, runners),
            NewsTiming(settings.beat_seconds, settings.silence_seconds),
            first_start=host not in self._seen,
        )
        self._group.start_soon(
            self._run, member, configuration, runners, news, membership
        )

    async def _run(
        self,
        member: Member,
        configuration: ConfigurationFollower,
        runners: RunnerFollower,
        news: NewsFeed,
        membership: Membership,
    ) -> None:
        async with anyio.create_task_group() as group:
            self.relays[member.host] = PlayedRelay(
                member,
                configuration,
                runners,
                news,
                membership,
                group,
                time.monotonic(),
            )
            for task in (configuration, runners, membership, news):
                await task.start(group)

    def start_all(self) -> None:
        """Start all hosts that are down."""
        for host in self.hosts:
            if host not in self.relays:
                self.start(host)

    def kill(self, host: str) -> None:
        """End a relay's process; its links are reset."""
        relay = self.relays.pop(host, None)
        if relay is None:
            return
        relay.group.cancel_scope.cancel()
        for link in [link for link in self.links if host in link.ends]:
            link.close()
            self.links.discard(link)

    def lose_power(self, host: str) -> None:
        """End a relay's host; its links say nothing any more."""
        for link in [link for link in self.links if host in link.ends]:
            link.sever()
        self.kill(host)

    def pause(self, host: str) -> None:
        """Let a host stand still: nothing passes to it or from it."""
        self.store.lose({host})
        self.part({host}, set(self.hosts))

    def resume(self, host: str) -> None:
        """Let a host that stood still go on."""
        self.store.restore({host})
        self._parted = {pair for pair in self._parted if host not in pair}
        self.disturb({host})

    def part(self, one: set[str], others: set[str]) -> None:
        """Lose all that passes between two sets of hosts."""
        for host in one:
            for other in others - {host}:
                self._parted.add(frozenset({host, other}))
        for link in list(self.links):
            if link.ends in self._parted:
                link.sever()

    def join(self) -> None:
        """Let all hosts reach each other again."""
        self._parted.clear()

    def disturb(self, hosts: set[str]) -> None:
        """Note that bounds don't hold for hosts just now."""
        for host in hosts:
            if host in self.relays:
                self.relays[host].disturbed_at = time.monotonic()

    def is_parted(self, host: str, other: str) -> bool:
        """Return whether nothing passes between two hosts."""
        return frozenset({host, other}) in self._parted

    def connect(self, host: str, link: PlayedLink) -> None:
        """Bring a link to its other end."""
        relay = self.relays.get(host)
        if relay is None:
            link.close()
            return
        self.links.add(link)
        traffic = self.traffic.setdefault(host, Traffic())
        relay.group.start_soon(relay.news.serve, _WatcherEnd(link, traffic))

    def judge(self) -> None:
        """Take in how old what each relay in touch believes is now."""
        now = time.monotonic()
        contact = self.settings.contact_milliseconds / 1000
        for host, relay in self.relays.items():
            self._judge_version(host, relay)
            if host in self.store.lost or self.store.down:
                relay.disturbed_at = now
            if now - max(relay.disturbed_at, self.unstable_at) <= contact:
                continue
            for told in self.acknowledged:
                if told.version > relay.version:
                    self.worst_age = max(self.worst_age, now - told.at)
                    break

    def _judge_version(self, host: str, relay: PlayedRelay) -> None:
        holder, known = self._seen.get(host, ("", 0))
        if holder == relay.member.holder and relay.version < known:
            self.regressed.append(holder)
        self._seen[host] = (relay.member.holder, relay.version)

    async def run_for(self, seconds: float, step: float = 0.05) -> None:
        """Let time pass, and judge all the while."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await anyio.sleep(step)
            self.judge()

    def count_watchers(self) -> int:
        """Return how many relays others rely on."""
        return sum(relay.news.is_followed for relay in self.relays.values())
