"""Routers' memberships with real sockets, for tests."""

import random
from contextlib import asynccontextmanager

import anyio

from ..homes import HomeTable, RunFinder
from ..members import MembershipSettings, MembershipTask
from ..outcomes import Unavailable
from ..peers import PeerClients, PeerHandler, PeerServer


class Handler(PeerHandler):
    """Answers exchanges and questions for runs; a deaf one hears no exchange."""

    def __init__(self):
        self.task = None
        self.finder = None
        self.deaf = False

    async def trade(self, exchange):
        if self.deaf:
            await anyio.sleep_forever()
        return await self.task.trade(exchange)

    async def find_run(self, request):
        return self.finder.answer(request)

    async def hand_over(self, request):
        raise NotImplementedError

    fence = follow = fetch_configuration = hand_over


class Router:
    """One router's membership with its peer service."""

    def __init__(self, platform, name, seeds=(), data_centre="split-a"):
        self.handler = Handler()
        self.server = PeerServer(self.handler, "127.0.0.1:0")
        self.clients = PeerClients(1.0)
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
        self.finder = RunFinder(self.task, self.clients, HomeTable(60.0), 5.0)
        self.handler.task = self.task
        self.handler.finder = self.finder
        self.task.on_life_ended(self.ended.append)
        await self.task.start(group)

    async def close(self):
        await self.task.close()
        await self.clients.close()
        await self.server.close()

    async def go_deaf(self):
        """Cut the router off from its peers, both ways, but not from the platform."""
        self.handler.deaf = True

        async def trade(address, message):
            return Unavailable("peers.trade", address, "cut")

        self.clients.trade = trade

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
