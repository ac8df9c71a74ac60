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

from ..relay.evacuations import EvacuationWatcher
from ..relay.links import Dialer, SourceLink
from ..relay.members import MEMBER_KIND, Membership
from ..relay.models import (
    CallerLimits,
    Configuration,
    Endpoint,
    Member,
    Runner,
    RunnerState,
)
from ..relay.options import RelaySettings
from ..relay.pace_exchange import PaceExchange
from ..relay.peers import PeerClient
from ..relay.runners import RunnerTable
from ..relay.sources import FeedTiming
from ..relay.store_probe import StoreProbe
from ..relay.update_feed import UpdateFeed
from ..relay.watchers import ConfigurationWatcher, KindWatcher, RunnerWatcher
from .playedlinks import FollowerEnd, PlayedLink, Traffic, WatcherEnd
from .playedstore import PlayedStore, StoreOfHost

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
RUNNERS_KIND = "servers"
EVACUATIONS_KIND = "evacuations"
DOUBT_SECONDS = 1.9


class PlayedDialer(Dialer):
    """Opens links of one host to the others of a fleet."""

    def __init__(self, fleet: NewsFleet, host: str) -> None:
        self._fleet = fleet
        self._host = host

    @contextlib.asynccontextmanager
    async def dial(self, member: Member) -> AsyncIterator[SourceLink]:
        link = PlayedLink(frozenset({self._host, member.host}))
        if self._fleet.is_parted(self._host, member.host):
            link.sever()
        else:
            self._fleet.connect(member.host, link)
        try:
            yield FollowerEnd(link)
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
    configuration: ConfigurationWatcher
    runners: RunnerWatcher
    news: UpdateFeed
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


@attrs.define
class EvacuationRecord:
    """Whether a data centre is evacuated, and when that was acknowledged."""

    evacuated: bool
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
        self.worst_evacuation_age = 0.0
        self.evacuations: dict[str, EvacuationRecord] = {}
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

    def evacuate(self, data_centre: str) -> None:
        """Have the store acknowledge that a data centre is evacuated."""
        self.store.put(EVACUATIONS_KIND, data_centre, {})
        self.evacuations[data_centre] = EvacuationRecord(True, time.monotonic())

    def take_back(self, data_centre: str) -> None:
        """Have the store acknowledge the end of an evacuation."""
        self.store.remove(EVACUATIONS_KIND, data_centre)
        self.evacuations[data_centre] = EvacuationRecord(False, time.monotonic())

    def turn(self, data_centre: str) -> None:
        """Evacuate a data centre, or take it back if it is evacuated."""
        known = self.evacuations.get(data_centre)
        if known is not None and known.evacuated:
            self.take_back(data_centre)
        else:
            self.evacuate(data_centre)

    def start(self, host: str) -> None:
        """Start a relay's next life."""
        self._lives[host] += 1
        settings = self.settings
        store = StoreOfHost(self.store, host)
        holder = f"{host}/{self._lives[host]}"
        number = list(self.hosts).index(host)
        address = f"10.0.{number // 250}.{number % 250 + 1}:7200"
        member = Member(host, holder, address, self.hosts[host])
        probe = StoreProbe(store, MEMBER_KIND, host)
        configuration = ConfigurationWatcher(
            store,
            CONFIGURATION_KIND,
            settings.configuration_watch_seconds,
            decode_version,
            CONFIGURATION_NAME,
            settings.configuration_batch_seconds,
            probe=probe,
            limit_seconds=settings.configuration_max_age_seconds,
        )
        runners = RunnerWatcher(
            store,
            RUNNERS_KIND,
            settings.runner_watch_seconds,
            decode_played_runner,
            RunnerTable(DOUBT_SECONDS),
            settings.runner_batch_seconds,
            probe=probe,
            limit_seconds=settings.runner_max_age_seconds,
        )
        watchers: list[KindWatcher] = [configuration, runners]
        if settings.evacuation_milliseconds:
            watchers.append(
                EvacuationWatcher(
                    store,
                    EVACUATIONS_KIND,
                    settings.evacuation_watch_seconds,
                    runners.table,
                    settings.evacuation_batch_seconds,
                    probe=probe,
                    limit_seconds=settings.evacuation_max_age_seconds,
                )
            )
        membership = Membership(store, member)
        news = UpdateFeed(
            membership,
            PeerClient(),
            PlayedDialer(self, host),
            watchers,
            PaceExchange(runners.table),
            FeedTiming(settings.heartbeat_seconds, settings.heartbeat_timeout_seconds),
            first_start=host not in self._seen,
        )
        self._group.start_soon(
            self._run, member, configuration, runners, news, membership, watchers[2:]
        )

    async def _run(
        self,
        member: Member,
        configuration: ConfigurationWatcher,
        runners: RunnerWatcher,
        news: UpdateFeed,
        membership: Membership,
        others: list[KindWatcher],
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
            for task in (configuration, runners, *others, membership, news):
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
        relay.group.start_soon(relay.news.serve, WatcherEnd(link, traffic))

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
            self._judge_evacuations(relay.runners.table.evacuated, now)

    def _judge_evacuations(self, believed: frozenset[str], now: float) -> None:
        for data_centre, record in self.evacuations.items():
            if (data_centre in believed) != record.evacuated:
                age = now - record.at
                self.worst_evacuation_age = max(self.worst_evacuation_age, age)

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
        return sum(relay.news.has_subscribers for relay in self.relays.values())
