"""Fakes at the interfaces: a platform and neighbours in memory."""

from __future__ import annotations

import anyio

from ..budget_messages import Fence, HandOver
from ..models import Holder
from ..neighbours import HandedOver, Neighbours, Received
from ..outcomes import Conflict, Found, Missing, Unavailable, Unknown, Written
from ..platforms import Change, Changes, Platform

AWAY = Unavailable("platform", "fake", "away")
CUT = Unavailable("peer", "fake", "cut")


class MemoryPlatform(Platform):
    """Objects in memory; it can be away, lose answers, and let writes land late.

    A stale read gives the value before the last write of the object.
    """

    def __init__(self):
        self.objects = {}
        self.revision = 0
        self.away = False
        self.cut = set()
        self.lose_answers = 0
        self.late = []
        self.delay_writes = 0
        self.reads = 0
        self.writes = 0
        self.stale_reads = 0
        self._before = {}
        self._changed = anyio.Event()

    def seen_by(self, name):
        """Return a client that can be cut off on its own."""
        return CutPlatform(self, name)

    async def read(self, key):
        await anyio.sleep(0)
        self.reads += 1
        if self.away:
            return AWAY
        if self.stale_reads and key in self._before:
            self.stale_reads -= 1
            return Found(*self._before[key])
        if key not in self.objects:
            return Missing()
        return Found(*self.objects[key])

    async def write(self, key, value, expected):
        await anyio.sleep(0)
        self.writes += 1
        if self.away:
            return AWAY
        if self.delay_writes:
            self.delay_writes -= 1
            self.late.append((key, value, expected))
            return Unknown("platform", "fake", "no answer yet")
        outcome = self._put(key, value, expected)
        if self.lose_answers:
            self.lose_answers -= 1
            return Unknown("platform", "fake", "answer lost")
        return outcome

    def land_late(self):
        """Let the writes that hung take effect, if their conditions still hold."""
        late, self.late = self.late, []
        return [self._put(*item) for item in late]

    def _put(self, key, value, expected):
        version = self.objects.get(key, (b"", 0))[1]
        if version != expected:
            return Conflict(version)
        self.revision += 1
        if key in self.objects:
            self._before[key] = self.objects[key]
        self.objects[key] = (value, self.revision)
        self._changed.set()
        self._changed = anyio.Event()
        return Written(self.revision)

    async def list(self, prefix):
        return self._list_changes(prefix, 0)

    async def watch(self, prefix, revision, seconds):
        await anyio.sleep(0)
        with anyio.move_on_after(seconds):
            while not self.away and not self._list_changes(prefix, revision):
                await self._changed.wait()
        if self.away:
            return AWAY
        return Changes(self.revision, self._list_changes(prefix, revision))

    def _list_changes(self, prefix, revision):
        return tuple(
            Change(key, version)
            for key, (_, version) in self.objects.items()
            if key.startswith(prefix) and version > revision
        )

    async def list_hosts(self):
        return ()


class CutPlatform(MemoryPlatform):
    """One router's way to a `MemoryPlatform`."""

    def __init__(self, platform, name):
        super().__init__()
        self.platform = platform
        self.name = name

    async def read(self, key):
        if self.name in self.platform.cut:
            return AWAY
        return await self.platform.read(key)

    async def write(self, key, value, expected):
        if self.name in self.platform.cut:
            return AWAY
        return await self.platform.write(key, value, expected)


class MemoryRegistry:
    """Routers of one data centre and the fence marks, as the registry holds them."""

    def __init__(self):
        self.tasks = {}
        self.registered = []
        self.marks = set()
        self.silent = set()
        self.lose_answers = 0

    def add(self, task):
        """Register a router's budget task."""
        self.tasks[task.holder] = task
        self.registered.append(task.holder)


class MemoryNeighbours(Neighbours):
    """One router's way to the others of a `MemoryRegistry`."""

    def __init__(self, registry, me):
        self.registry = registry
        self.me = me

    def list(self):
        registry = self.registry
        return tuple(
            holder
            for holder in registry.registered
            if holder != self.me and holder not in registry.marks
        )

    def _reach(self, holder):
        silent = self.registry.silent
        return holder not in silent and self.me not in silent

    async def hand_over(self, holder, budget, tokens, transfer):

        if not self._reach(holder):
            return CUT
        task = self.registry.tasks[holder]
        answer = await task.ask(HandOver(self.me, budget, tokens, transfer))
        if self.registry.lose_answers:
            self.registry.lose_answers -= 1
            return CUT
        assert isinstance(answer, HandedOver)
        return answer

    async def fence(self, asked, fenced):

        if not self._reach(asked):
            return CUT
        answer = await self.registry.tasks[asked].ask(Fence(fenced))
        assert isinstance(answer, Received)
        return answer

    async def mark_fenced(self, holder):
        self.registry.marks.add(holder)
        return tuple(item for item in self.registry.registered if item != holder)

    def fenced(self):
        return frozenset(self.registry.marks)


def make_holder(name, incarnation=1):
    """Return a holder."""
    return Holder(name, incarnation)
