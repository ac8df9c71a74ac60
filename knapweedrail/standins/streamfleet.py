"""Relays that resume streams of several software versions, in virtual time.

What relays remember, tell and ask is the product's; runners, callers, calls between
relays and what goes wrong are simulated.
"""

from __future__ import annotations

import random
import time
from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence

import anyio
import anyio.abc
import attrs

from ..hashing import hash_pair
from ..outcomes import Unavailable
from ..relay.models import Member, Runner, RunnerState
from ..relay.record_keepers import KeeperPlan
from ..relay.resumptions import Resumptions
from ..relay.runners import RunnerTable
from ..relay.stores import Conflict, Listing, StoredObject, Written
from ..relay.stream_messages import StreamAnswer
from ..relay.stream_origins import StreamOrigin

ENDPOINT = "e"
LATENCY_SECONDS = 0.003
CALL_SECONDS = 0.08
LIST_LAG_SECONDS = (0.005, 0.2)
START_SECONDS = (0.8, 1.5)
CONTACT_SECONDS = 3.0
LIFE_SECONDS = (0.5, 10.0)
RETURN_SECONDS = (0.02, 0.5)
CONFIRMATION_SECONDS = 1.0
RECORD_BYTES = 60
"""Approximate size of one record in a message."""


@attrs.define
class Tally:
    """Counts of one run.

    Attributes:
        begun: New streams.
        resumed: Attempts of callers to resume a stream.
        owed: Those at hosts in touch while two runners of the version serve.
        went_on: Resumed streams that went on.
        owed_went_on: Those of the owed ones that went on.
        joined: Streams that went on at another version.
        messages: Messages with records.
        records: Records in them.
        questions: Questions for a stream's record.
        store_calls: Calls to the store.
    """

    begun: int = 0
    resumed: int = 0
    owed: int = 0
    went_on: int = 0
    owed_went_on: int = 0
    joined: int = 0
    messages: int = 0
    records: int = 0
    questions: int = 0
    store_calls: int = 0


@attrs.define(eq=False)
class SimulatedHost:
    """One incarnation of a host.

    Attributes:
        broken: Set when its connections to callers break.
        in_touch_at: When bounds hold for it, monotonic seconds.
    """

    member: Member
    table: RunnerTable
    resumptions: Resumptions
    in_touch_at: float
    broken: anyio.Event = attrs.field(factory=anyio.Event)
    ready: bool = False


@attrs.frozen
class OutOfStep:
    """What one host lacks beside news of the runners.

    Attributes:
        without_peers: Whether it can't reach the other hosts, nor they it.
        without_store: Whether it can't reach the store.
    """

    without_peers: bool = False
    without_store: bool = False


class Way(ABC):
    """How it is decided at which version a stream goes on.

    Attributes:
        sends_records: Whether relays tell each other what began streams.
        keepers: Largest number of other relays that keep a record.
    """

    sends_records = False
    keepers = 2

    @abstractmethod
    async def find_version(self, host: SimulatedHost, stream: str) -> str | None:
        """Return the version for a resumed stream; ``None`` to refuse it."""

    def choose_version(self, host: SimulatedHost, stream: str, chosen: str) -> str:
        """Return the version for a new stream.

        Args:
            chosen: Version of the runner that was chosen for other reasons.
        """
        return chosen


class AnyVersion(Way):
    """Goes on at any runner."""

    async def find_version(self, host: SimulatedHost, stream: str) -> str | None:
        views = host.table.list_views(ENDPOINT, time.monotonic())
        return str(random.choice(views).runner.version) if views else None


class OnlyVersion(Way):
    """Goes on only while the host lists a single version."""

    async def find_version(self, host: SimulatedHost, stream: str) -> str | None:
        versions = host.table.find_versions(ENDPOINT, time.monotonic())
        return str(versions.pop()) if len(versions) == 1 else None


class HashedVersion(Way):
    """Derives the version from the stream's name and the versions that serve.

    Each version gets the same share of the streams, however many runners it has.
    """

    async def find_version(self, host: SimulatedHost, stream: str) -> str | None:
        return self._choose(host, stream)

    def choose_version(self, host: SimulatedHost, stream: str, chosen: str) -> str:
        return self._choose(host, stream) or chosen

    def _choose(self, host: SimulatedHost, stream: str) -> str | None:
        views = host.table.list_views(ENDPOINT, time.monotonic())
        versions = {str(view.runner.version) for view in views}
        return min(versions, key=lambda v: hash_pair(stream, v), default=None)


class RecordedVersion(Way):
    """Finds the record of the stream, at this host or at its keepers."""

    sends_records = True

    async def find_version(self, host: SimulatedHost, stream: str) -> str | None:
        origin = await host.resumptions.find_origin(stream, [ENDPOINT])
        return origin.version if origin else None


class OneKeeper(RecordedVersion):
    """Finds the record of the stream, kept by one other host of the data centre."""

    keepers = 1


class OwnRecord(RecordedVersion):
    """Finds the record of the stream at this host only."""

    sends_records = False


class SimulatedPeers:
    """Calls of one host to the others, in place of `PeerClient`."""

    def __init__(self, fleet: StreamFleet, host: str) -> None:
        self._fleet = fleet
        self._host = host

    def is_in_backoff(self, member: Member, now: float) -> bool:
        """Return whether a relay isn't called for a while: never here."""
        return False

    async def send_streams(
        self, member: Member, origins: Mapping[str, StreamOrigin]
    ) -> bool:
        """Deliver records to another host."""
        if not self._fleet.way.sends_records:
            return False
        self._fleet.tally.messages += 1
        self._fleet.tally.records += len(origins)
        other = await self._reach(member)
        if other is not None:
            other.resumptions.record_streams(origins)
        return other is not None

    async def find_stream(
        self, member: Member, stream: str, endpoints: Sequence[str]
    ) -> StreamAnswer | None:
        """Ask another host for a stream."""
        self._fleet.tally.questions += 1
        other = await self._reach(member)
        return other.resumptions.answer_find(stream, endpoints) if other else None

    async def _reach(self, member: Member) -> SimulatedHost | None:
        fleet = self._fleet
        if not fleet.way.sends_records or fleet.is_cut(self._host, member.host):
            await anyio.sleep(CALL_SECONDS)
            return None
        await anyio.sleep(LATENCY_SECONDS)
        return fleet.hosts.get(member.host)


class LimitedKeeperPlan(KeeperPlan):
    """The first of the keepers that the product would choose."""

    def __init__(self, own: Member, count: int) -> None:
        super().__init__(own)
        self._count = count

    def choose_keepers(self, stream: str, unavailable: set[str]) -> list[Member]:
        return super().choose_keepers(stream, unavailable)[: self._count]


class SimulatedMembership:
    """Membership of one host, in place of `Membership`."""

    settled = True

    def __init__(self, fleet: StreamFleet, member: Member) -> None:
        self.member = member
        self._members = fleet.members
        self._is_primary = member.host in fleet.primaries
        self.keepers = LimitedKeeperPlan(member, fleet.way.keepers)
        self.keepers.set_members(fleet.members.values())

    def find_member(self, host: str) -> Member | None:
        """Return the relay on a host."""
        return self._members.get(host)

    def list_all(self) -> list[Member]:
        """Return all relays."""
        return list(self._members.values())

    def is_primary_for(self, account: str) -> bool:
        """Return whether this host writes for its data centre."""
        return self._is_primary


class StoreOfHost:
    """The store as one host reaches it, in place of `Store`."""

    def __init__(self, fleet: StreamFleet, host: str) -> None:
        self._fleet = fleet
        self._host = host

    async def list_kind(self, kind: str, stale: bool = False) -> object:
        """Return all objects."""
        if not await self._reach():
            return Unavailable("list", "store", "cut off")
        return Listing(tuple(self._fleet.objects.values()), 1)

    async def create(self, kind: str, name: str, spec: object) -> object:
        """Create an object."""
        if not await self._reach():
            return Unavailable("create", "store", "cut off")
        if name in self._fleet.objects:
            return Conflict(self._fleet.objects[name])
        return self._write(name, spec, 1)

    async def replace(
        self, kind: str, name: str, spec: object, revision: int
    ) -> object:
        """Replace an object of a revision."""
        if not await self._reach():
            return Unavailable("replace", "store", "cut off")
        stored = self._fleet.objects[name]
        if stored.revision != revision:
            return Conflict(stored)
        return self._write(name, spec, revision + 1)

    def _write(self, name: str, spec: object, revision: int) -> Written:
        self._fleet.objects[name] = StoredObject(name, revision, spec)
        return Written(revision)

    async def _reach(self) -> bool:
        self._fleet.tally.store_calls += 1
        await anyio.sleep(LATENCY_SECONDS)
        return not self._fleet.is_cut(self._host, None)


class StreamFleet:
    """A fleet of relays whose callers resume broken streams.

    Args:
        group: Runs all tasks.
        sizes: Number of hosts in each data centre.
        way: How the version for a resumed stream is found.
        rng: Source of all random choices.
        return_seconds: Bounds of the time after which callers of broken streams return.
    """

    def __init__(
        self,
        group: anyio.abc.TaskGroup,
        sizes: Sequence[int],
        way: Way,
        rng: random.Random,
        return_seconds: tuple[float, float] = RETURN_SECONDS,
    ) -> None:
        self.way = way
        self.tally = Tally()
        self.hosts: dict[str, SimulatedHost] = {}
        self.members = {
            f"dc{place}-{n}": Member(
                f"dc{place}-{n}", f"dc{place}-{n}/1", "a", f"{place}"
            )
            for place, size in enumerate(sizes)
            for n in range(size)
        }
        self.primaries = {f"dc{place}-0" for place in range(len(sizes))}
        self.runners: dict[str, Runner] = {}
        self.objects: dict[str, StoredObject] = {}
        self._group = group
        self._rng = rng
        self._return_seconds = return_seconds
        self._cut: set[str] = set()
        self._out_of_step: dict[str, OutOfStep] = {}
        self._crashes: dict[str, anyio.Event] = {}
        self._number = 0

    def is_cut(self, host: str, other: str | None) -> bool:
        """Return whether a host can't reach another one, or the store if ``None``."""
        for one in (host, other):
            fault = self._out_of_step.get(one or "")
            lost = fault and (fault.without_peers if other else fault.without_store)
            if lost and host != other:
                return True
        place = self.members[host].data_centre
        there = self.members[other].data_centre if other else "store"
        return place != there and bool({place, there} & self._cut)

    def set_runners(self, versions: Sequence[str]) -> None:
        """Replace the runners by new ones; those of kept versions stay."""
        kept: dict[str, Runner] = {}
        left = list(self.runners.values())
        for version in versions:
            found = next((r for r in left if r.version == version), None)
            if found is not None:
                left.remove(found)
            else:
                found = self._make_runner(version)
            kept[found.name] = found
        for runner in left:
            self._crashes.pop(runner.name).set()
        self.runners = kept
        self._spread()

    def crash(self, name: str) -> None:
        """Crash a runner; another one of its version takes its place."""
        runner = self.runners.pop(name)
        self._crashes.pop(name).set()
        successor = self._make_runner(str(runner.version))
        self.runners[successor.name] = successor
        self._spread()

    def start(self, host: str) -> None:
        """Start a host's next incarnation."""
        self._group.start_soon(self._run_host, host)

    def kill(self, host: str) -> None:
        """End a host's process."""
        known = self.hosts.pop(host, None)
        if known is not None:
            known.broken.set()
            self._group.start_soon(known.resumptions.close)

    def cut(self, place: str) -> None:
        """Cut a data centre off from the others and the store."""
        self._cut.add(place)

    def put_out_of_step(self, host: str, fault: OutOfStep) -> None:
        """Keep one host from what changes, until all cuts end."""
        self._out_of_step[host] = fault

    def join(self) -> None:
        """End all cuts."""
        for name in self._out_of_step.keys() & self.hosts.keys():
            self.hosts[name].in_touch_at = time.monotonic() + CONTACT_SECONDS
        self._out_of_step.clear()
        for host in self.hosts.values():
            if host.member.data_centre in self._cut:
                host.in_touch_at = time.monotonic() + CONTACT_SECONDS
        self._cut.clear()
        self._spread()

    def begin_stream(self) -> None:
        """Let a caller begin a stream."""
        self._number += 1
        self._group.start_soon(self._run_stream, f":{self._number}")

    def _make_runner(self, version: str) -> Runner:
        self._number += 1
        name = f"i-{self._number}"
        self._crashes[name] = anyio.Event()
        return Runner(
            name=name,
            endpoint=ENDPOINT,
            address="10.0.0.1:1",
            data_centre="0",
            slots=8,
            state=RunnerState.READY,
            version=version,
        )

    def _spread(self) -> None:
        for host in self.hosts.values():
            self._group.start_soon(self._update_later, host)

    async def _update_later(self, host: SimulatedHost) -> None:
        await anyio.sleep(self._rng.uniform(*LIST_LAG_SECONDS))
        self._update(host)

    def _update(self, host: SimulatedHost) -> None:
        name = host.member.host
        if self.is_cut(name, None) or name in self._out_of_step:
            return
        now = time.monotonic()
        host.table.replace_all(self.runners.values(), now)
        host.table.prune(now)
        host.table.versions.record_confirmation(now)

    async def _run_host(self, name: str) -> None:
        table = RunnerTable(grace_seconds=1.9)
        resumptions = Resumptions(
            table,
            SimulatedMembership(self, self.members[name]),
            SimulatedPeers(self, name),
            StoreOfHost(self, name),
        )
        if not self._number:
            table.versions.assume_complete()
        host = SimulatedHost(
            self.members[name], table, resumptions, time.monotonic() + CONTACT_SECONDS
        )
        self.hosts[name] = host
        await resumptions.start(self._group)
        await anyio.sleep(self._rng.uniform(*START_SECONDS))
        host.ready = True
        while self.hosts.get(name) is host:
            self._update(host)
            await anyio.sleep(CONFIRMATION_SECONDS)

    def _choose_host(self, place: str) -> SimulatedHost | None:
        ready = [h for h in self.hosts.values() if h.ready and len(h.table)]
        here = [h for h in ready if h.member.data_centre == place]
        return self._rng.choice(here or ready) if ready else None

    async def _run_stream(self, stream: str) -> None:
        place = self._rng.choice(list(self.members.values())).data_centre
        host = self._choose_host(place)
        if host is not None:
            await host.resumptions.versions.wait_for_bound(ENDPOINT)
        version = None if host is None else self._begin(host, stream)
        if host is None or version is None:
            return
        ends_at = time.monotonic() + self._rng.uniform(*LIFE_SECONDS)
        while await self._is_broken(host, version, ends_at):
            await anyio.sleep(self._rng.uniform(*self._return_seconds))
            host = self._choose_host(place)
            if host is None or not await self._resume(host, stream, version):
                return

    def _begin(self, host: SimulatedHost, stream: str) -> str | None:
        bound = host.resumptions.versions.find_bound(ENDPOINT)
        bound = bound if self.way.sends_records else None
        views = host.table.list_views(ENDPOINT, time.monotonic(), bound)
        if not views:
            return None
        chosen = str(self._rng.choice(views).runner.version)
        version = self.way.choose_version(host, stream, chosen)
        self.tally.begun += 1
        host.resumptions.record(stream, StreamOrigin(ENDPOINT, version))
        return version

    async def _is_broken(
        self, host: SimulatedHost, version: str, ends_at: float
    ) -> bool:
        """Wait for the end of a stream or its break; return whether it broke."""
        names = [r.name for r in self.runners.values() if r.version == version]
        crashed = self._crashes[self._rng.choice(names)] if names else anyio.Event()
        with anyio.move_on_after(ends_at - time.monotonic()):
            async with anyio.create_task_group() as group:
                for event in (host.broken, crashed):
                    group.start_soon(_cancel_on, event, group.cancel_scope)
            return True
        return False

    async def _resume(self, host: SimulatedHost, stream: str, version: str) -> bool:
        """Let a caller resume a stream; return whether it goes on."""
        runners = [r.version for r in self.runners.values()]
        in_touch = time.monotonic() >= host.in_touch_at
        cut = self.is_cut(host.member.host, None)
        owed = in_touch and not cut and runners.count(version) >= 2
        self.tally.resumed += 1
        self.tally.owed += owed
        found = await self.way.find_version(host, stream)
        if found is None or found not in runners:
            return False
        self.tally.went_on += 1
        self.tally.owed_went_on += owed
        self.tally.joined += found != version
        host.resumptions.record(stream, StreamOrigin(ENDPOINT, found))
        return found == version


async def _cancel_on(event: anyio.Event, scope: anyio.CancelScope) -> None:
    await event.wait()
    scope.cancel()
