"""Tests of the membership with real sockets and an in-memory platform."""

import random
from contextlib import asynccontextmanager

import anyio

from ..members import MembershipSettings, MembershipTask
from ..outcomes import Conflict, Found, Missing, Unavailable, Unknown, Written
from ..peers import PeerClients, PeerHandler, PeerServer
from ..platforms import Change, Changes, Platform
from ..registrars import Registrar


class MemoryPlatform(Platform):
    """The platform in memory, with outages and lost answers."""

    def __init__(self):
        self.objects = {}
        self.revision = 0
        self.away = False
        self.lost_answers = 0
        self.calls = 0
        self._changed = anyio.Event()

    async def read(self, key):
        if self._is_away():
            return Unavailable("platform.read", "memory", "away")
        if key not in self.objects:
            return Missing()
        return Found(*self.objects[key])

    async def write(self, key, value, expected):
        if self._is_away():
            return Unavailable("platform.write", "memory", "away")
        await anyio.sleep(0)
        version = self.objects.get(key, (b"", 0))[1]
        if version != expected:
            return Conflict(version)
        self.revision += 1
        self.objects[key] = (value, self.revision)
        self._changed.set()
        self._changed = anyio.Event()
        if self.lost_answers:
            self.lost_answers -= 1
            return Unknown("platform.write", "memory", "answer lost")
        return Written(self.revision)

    async def list(self, prefix):
        return self._changes(prefix, 0)

    async def watch(self, prefix, revision, seconds):
        if self._is_away():
            return Unavailable("platform.watch", "memory", "away")
        with anyio.move_on_after(seconds):
            while not self._changes(prefix, revision):
                await self._changed.wait()
        return Changes(self.revision, self._changes(prefix, revision))

    async def list_hosts(self):
        return ()

    def _is_away(self):
        self.calls += 1
        return self.away

    def _changes(self, prefix, revision):
        return tuple(
            Change(key, version)
            for key, (_, version) in self.objects.items()
            if key.startswith(prefix) and version > revision
        )


class Handler(PeerHandler):
    """Answers exchanges only."""

    task = None

    async def trade(self, exchange):
        return await self.task.trade(exchange)

    async def hand_over(self, request):
        raise NotImplementedError

    fence = find_run = follow = fetch_configuration = hand_over


class Router:
    """One router's membership with its peer service."""

    def __init__(self, platform, name, seeds=(), data_centre="split-a"):
        self.handler = Handler()
        self.server = PeerServer(self.handler, "127.0.0.1:0")
        self.clients = PeerClients(0.5)
        self.platform = platform
        self.name = name
        self.seeds = seeds
        self.data_centre = data_centre
        self.ended = []

    async def start(self, group):
        await self.server.start()
        settings = MembershipSettings(
            self.name,
            f"host-of-{self.name}",
            self.data_centre,
            self.server.address,
            self.seeds,
            heartbeat_seconds=0.02,
            others_read_seconds=0.05,
        )
        self.task = MembershipTask(
            settings, self.platform, self.clients, random.Random(self.server.address)
        )
        self.handler.task = self.task
        self.task.on_life_ended(self.ended.append)
        await self.task.start(group)

    async def close(self):
        await self.task.close()
        await self.clients.close()
        await self.server.close()

    def alive(self):
        return {item.holder.name for item in self.task.members() if item.alive}


@asynccontextmanager
async def running(*routers):
    """Run routers for the length of a block."""
    async with anyio.create_task_group() as group:
        for router in routers:
            await router.start(group)
        yield
        for router in routers:
            await router.close()


async def until(condition):
    """Wait for a condition."""
    with anyio.fail_after(10):
        while not condition():
            await anyio.sleep(0.005)


def test_routers_register_and_hear_each_other_across_data_centres():
    async def check():
        platform = MemoryPlatform()
        routers = [
            Router(platform, f"r{i}", data_centre=f"split-{'ab'[i % 2]}")
            for i in range(4)
        ]
        async with running(*routers):
            names = {router.name for router in routers}
            for router in routers:
                others = names - {router.name}
                await until(lambda: router.alive() == others)
                assert router.task.registered

    anyio.run(check)


def test_a_router_without_the_platform_knows_peers_by_seeds_but_holds_no_life():
    """The platform is away while a host is replaced. The new router must find its
    peers and their configuration by the seeds of its settings, yet must not hold
    tokens: nobody has given it a number that tells it from its earlier life."""

    async def check():
        platform = MemoryPlatform()
        platform.away = True
        first = Router(platform, "r1")
        async with running(first):
            second = Router(platform, "r2", (first.task.settings.peer_address,))
            async with running(second):
                await until(lambda: second.alive() == {"r1"})
                await until(lambda: first.alive() == {"r2"})
                assert not second.task.registered
                platform.away = False
                await until(lambda: second.task.registered)

    anyio.run(check)


def test_a_lost_answer_of_a_registration_gives_one_life():
    """The platform writes the registration but its answer is lost. A router that
    registered again blindly would fence its own life, and the tokens of a life that
    nobody leads would be written off."""

    async def check():
        platform = MemoryPlatform()
        platform.lost_answers = 1
        router = Router(platform, "r1")
        async with running(router):
            await until(lambda: router.task.registered)
            seen = await Registrar(platform, random.Random(1)).read("split-a")
            assert router.task.holder.incarnation == 1
            assert seen.registry.fenced() == ()

    anyio.run(check)


def test_a_fenced_router_begins_a_new_life():
    """A peer takes a paused router for dead and fences it. The router wakes and must
    not spend for its old life, yet go on serving in a new one."""

    async def check():
        platform = MemoryPlatform()
        one, two = Router(platform, "r1"), Router(platform, "r2")
        async with running(one, two):
            await until(lambda: one.task.registered and two.task.registered)
            old = one.task.holder
            await two.task.mark_fenced(old)
            await until(lambda: one.task.holder.incarnation > old.incarnation)
            assert [item.holder for item in one.ended] == [old]
            assert two.task.is_over(old)

    anyio.run(check)


def test_a_superseded_router_ends_for_good():
    """A host is replaced under the same name while the old process is paused. When it
    wakes it must not take the name back: the two would fence each other for ever and
    no request would find a router that holds tokens."""

    async def check():
        platform = MemoryPlatform()
        old, new = Router(platform, "r1"), Router(platform, "r1")
        async with running(old):
            await until(lambda: old.task.registered)
            async with running(new):
                await until(lambda: old.task.superseded)
                await until(lambda: new.task.registered)
                assert not old.task.registered
                assert new.task.holder.incarnation == 2
                assert [item.superseded for item in old.ended] == [True]

    anyio.run(check)
