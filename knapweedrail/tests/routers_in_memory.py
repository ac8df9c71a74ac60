"""Routers that follow configurations over a platform and links in memory."""

from __future__ import annotations

import random
from contextlib import asynccontextmanager

import anyio

from knapweedrail.centres import REGISTRY_PREFIX
from knapweedrail.changes import ConfigurationTask, Peers, Times
from knapweedrail.decoding import decode_object
from knapweedrail.models import Holder
from knapweedrail.registries import (
    Registry,
    decode_registry,
    encode_registry,
    fence,
    register,
)
from knapweedrail.standins.memory import MemoryPlatform, MemoryStore

FAST = Times(
    watch_seconds=5.0,
    press_seconds=0.05,
    doubt_seconds=0.2,
    retry_seconds=0.02,
    rank_seconds=0.1,
    withdraw_seconds=1.5,
)

WAIT_SECONDS = 20.0


class Links(Peers):
    """One router's way to the others; a link to a cut router carries nothing."""

    def __init__(self, fleet, router):
        self.fleet = fleet
        self.router = router
        self.live = ()

    def reach(self):
        return [r for r in self.fleet.running if self.fleet.joined(self.router, r)]

    async def fetch_text(self, digest):
        await anyio.sleep(0)
        for other in self.reach():
            if other.task.text_of(digest):
                return other.task.text_of(digest)
        return None

    def announce(self):
        report = self.router.task.exchange()
        for other in self.reach():
            other.task.hear(
                report.number,
                report.digest,
                report.staged_number,
                report.staged_digest,
                self.router.holder or Holder(self.router.name, 0),
            )

    def neighbours(self):
        key = REGISTRY_PREFIX + self.router.data_centre
        value = self.fleet.store.objects.get(key)
        # As the members' task does, keeps what was known if the object is unreadable.
        registry = decode_object(key, value[0], decode_registry) if value else None
        if isinstance(registry, Registry):
            self.live = registry.live()
        return frozenset(self.live) - {self.router.holder}


class Router:
    """A router with a task; `served` are the numbers that its view showed."""

    def __init__(self, fleet, name, data_centre, times=FAST):
        self.fleet = fleet
        self.name = name
        self.data_centre = data_centre
        self.platform = MemoryPlatform(fleet.store)
        self.holder = None
        self.cut_from_peers = False
        self.frozen_at = None
        self.task = ConfigurationTask(
            self.platform,
            data_centre,
            lambda: self.holder,
            Links(fleet, self),
            times,
            random.Random(name),
        )

    def register(self):
        key = REGISTRY_PREFIX + self.data_centre
        value, version = self.fleet.store.objects.get(key, (None, 0))
        registry = decode_registry(value) if value else Registry()
        registry, self.holder = register(registry, self.name, "", "", str(id(self)))
        self.fleet.store.put(key, encode_registry(registry), version)

    @property
    def number(self):
        return self.task.in_force.number

    def cut(self, platform=True, peers=True):
        """Cut this router off from the platform, other data centres' routers or both.

        Routers of one data centre that are cut off from peers still hear each other.
        """
        self.platform.set_cut(platform)
        self.cut_from_peers = peers

    def join(self):
        self.cut(False, False)


class Fleet:
    """Routers, the platform and links."""

    def __init__(self, *names, times=FAST):
        self.store = MemoryStore()
        self.running = []
        self.times = times
        self.routers = [Router(self, n, n.rsplit("-", 1)[0], times) for n in names]

    def joined(self, one, other):
        if one is other:
            return False
        if one.data_centre == other.data_centre:
            return True
        return not (one.cut_from_peers or other.cut_from_peers)

    async def start(self, group, router, register=True):
        if register:
            router.register()
        self.running.append(router)
        await router.task.start(group)
        group.start_soon(self.trade, router)

    async def trade(self, router):
        while router in self.running:
            router.task.peers.announce()
            await anyio.sleep(0.03)

    async def kill(self, router):
        """End a router without a word."""
        self.running.remove(router)
        await router.task.close()

    def fence(self, router):
        key = REGISTRY_PREFIX + router.data_centre
        value, version = self.store.objects[key]
        registry = fence(decode_registry(value), router.holder)
        self.store.put(key, encode_registry(registry), version)


@asynccontextmanager
async def run_fleet(*names, times=FAST):
    """Run registered routers named ``<data centre>-<n>`` for the length of a block."""
    fleet = Fleet(*names, times=times)
    async with anyio.create_task_group() as group:
        fleet.group = group
        for router in fleet.routers:
            await fleet.start(group, router)
        yield fleet
        for router in list(fleet.running):
            await fleet.kill(router)


async def until(condition, what="a condition"):
    """Wait for a condition; the bound only ends a test that fails."""
    with anyio.move_on_after(WAIT_SECONDS):
        while not condition():
            await anyio.sleep(0.005)
        return
    raise AssertionError(f"waited in vain for {what}")
