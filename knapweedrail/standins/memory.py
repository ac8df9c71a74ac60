"""Stand-in of the platform within one process, for tests and measurements."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import anyio

from ..outcomes import (
    Conflict,
    Found,
    Missing,
    ReadOutcome,
    Unavailable,
    Unknown,
    WriteOutcome,
    Written,
)
from ..platforms import Change, Changes, Host, Platform


class MemoryStore:
    """Objects that several clients share.

    Attributes:
        objects: Value and version by key.
        revision: Rises with each write.
        hosts: The list of hosts.
        away: Whether every call fails.
        calls: Calls by kind.
        writes: Keys written, in order.
        wrote: Called with the key after each write.
    """

    def __init__(self) -> None:
        self.objects: dict[str, tuple[bytes, int]] = {}
        self.revision = 0
        self.hosts: tuple[Host, ...] = ()
        self.away = False
        self.calls: Counter[str] = Counter()
        self.writes: list[str] = []
        self.wrote: Callable[[str], None] = lambda key: None
        self._changed = anyio.Event()

    def put(self, key: str, value: bytes, expected: int) -> WriteOutcome:
        """Write if the object's version is the expected one."""
        version = self.objects.get(key, (b"", 0))[1]
        if version != expected:
            return Conflict(version)
        self.revision += 1
        self.objects[key] = (value, self.revision)
        self.writes.append(key)
        self.wrote(key)
        self.wake()
        return Written(self.revision)

    def list(self, prefix: str, after: int = 0) -> tuple[Change, ...]:
        """Return the keys below a prefix that changed after a revision."""
        return tuple(
            Change(key, version)
            for key, (_, version) in sorted(self.objects.items())
            if key.startswith(prefix) and version > after
        )

    async def wait(self) -> None:
        """Wait for a change."""
        await self._changed.wait()

    def wake(self) -> None:
        """Wake all watches."""
        self._changed.set()
        self._changed = anyio.Event()


class MemoryPlatform(Platform):
    """One client's way to a `MemoryStore`.

    Args:
        store: The objects.
        delay: Seconds that each call takes.

    Attributes:
        cut: Whether this client's calls fail.
        lose: Writes of this client that take effect and lose their answer.
        hang: Writes of this client that are kept in `late`.
        stale: Values that reads give instead of the present ones, by key.
    """

    def __init__(self, store: MemoryStore, delay: float = 0.0) -> None:
        self.store = store
        self.delay = delay
        self.cut = False
        self.lose = 0
        self.hang = 0
        self.late: list[tuple[str, bytes, int]] = []
        self.stale: dict[str, Found] = {}

    def set_cut(self, cut: bool) -> None:
        """Cut this client off, or join it again; open watches notice."""
        self.cut = cut
        self.store.wake()

    def land_late(self) -> list[WriteOutcome]:
        """Let the writes that hung take effect, where their conditions still hold."""
        late, self.late = self.late, []
        return [self.store.put(*item) for item in late]

    async def read(self, key: str) -> ReadOutcome:
        if await self._fails("read"):
            return self._away("read")
        if key in self.stale:
            return self.stale[key]
        if key not in self.store.objects:
            return Missing()
        return Found(*self.store.objects[key])

    async def write(self, key: str, value: bytes, expected: int) -> WriteOutcome:
        if await self._fails("write"):
            return self._away("write")
        if self.hang:
            self.hang -= 1
            self.late.append((key, value, expected))
            return Unknown("platform.write", "memory", "no answer yet")
        outcome = self.store.put(key, value, expected)
        if self.lose:
            self.lose -= 1
            return Unknown("platform.write", "memory", "the answer was lost")
        return outcome

    async def list(self, prefix: str) -> tuple[Change, ...] | Unavailable:
        if await self._fails("list"):
            return self._away("list")
        return self.store.list(prefix)

    async def watch(
        self, prefix: str, revision: int, seconds: float
    ) -> Changes | Unavailable:
        if await self._fails("watch"):
            return self._away("watch")
        with anyio.move_on_after(seconds):
            while not self.store.list(prefix, revision) and not self._is_away():
                await self.store.wait()
        if self._is_away():
            return self._away("watch")
        return Changes(self.store.revision, self.store.list(prefix, revision))

    async def list_hosts(self) -> tuple[Host, ...] | Unavailable:
        if await self._fails("hosts"):
            return self._away("hosts")
        return self.store.hosts

    async def _fails(self, kind: str) -> bool:
        self.store.calls[kind] += 1
        await anyio.sleep(self.delay)
        return self._is_away()

    def _is_away(self) -> bool:
        return self.cut or self.store.away

    def _away(self, step: str) -> Unavailable:
        return Unavailable(f"platform.{step}", "memory", "away")
