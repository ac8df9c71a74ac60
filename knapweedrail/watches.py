"""Follows the registries of all data centres with one watch."""

from __future__ import annotations

import math
import random
from collections.abc import Callable

import anyio
import attrs

from .outcomes import Unavailable
from .platforms import Change, Changes, Platform
from .registrars import Registrar, Seen
from .registries import REGISTRY_PREFIX

WATCH_SECONDS = 30.0
"""Longest wait of one watch. Each return costs a call; at 500 routers this is 17
calls a second for the whole fleet."""

OTHERS_READ_SECONDS = 10.0
"""Mean delay before a changed registry of another data centre is read. When a data
centre restarts, its registry changes thirty times; 500 routers that read it each time
would use up the platform's reads for everyone else."""

OWN_READ_SECONDS = 0.5
"""Least time between two reads of the own data centre's registry. The first change is
read at once; when all routers of the data centre start together, the rest of their
changes is read in a few rounds in place of one by one. No watch waits meanwhile."""

RETRY_SECONDS = 0.2
"""Upper end of the first random pause after a failed call to the platform."""

RETRY_LIMIT_SECONDS = 10.0
"""Upper end of any such pause: after an outage the fleet comes back over ten seconds
and not at once."""

STALE_RETRY_SECONDS = 1.0
"""Upper end of the pause before a registry is read again that couldn't be read, or
that came in an older version than the watch told of."""


def choose_pause(attempt: int, rng: random.Random) -> float:
    """Return the pause in seconds after failed call number ``attempt``, from 0."""
    limit = min(RETRY_SECONDS * 2 ** min(attempt, 10), RETRY_LIMIT_SECONDS)
    return rng.uniform(0, limit)


@attrs.frozen
class _Unread:
    """A version that was told of and is to be read at a time."""

    version: int
    due: float


class RegistryWatch:
    """One router's watch on all registries; one call at a time.

    The own data centre's registry, and each one never read before, is read at once.
    The others change often at the size to come, and wait for more changes.

    Args:
        platform: The platform.
        registrar: Reads registries.
        data_centre: The router's data centre.
        others_read_seconds: Mean delay before another one's registry is read.
        adopt: Called with each registry that was read.
        rng: Source of jitter.
    """

    def __init__(
        self,
        platform: Platform,
        registrar: Registrar,
        data_centre: str,
        others_read_seconds: float,
        adopt: Callable[[str, Seen], None],
        rng: random.Random,
    ) -> None:
        self._platform = platform
        self._registrar = registrar
        self._data_centre = data_centre
        self._others_read_seconds = others_read_seconds
        self._adopt = adopt
        self._rng = rng
        self._unread: dict[str, _Unread] = {}
        self._known: set[str] = set()
        self._own_read = -math.inf

    async def run(self) -> None:
        """Follow the registries until cancelled."""
        revision = 0
        attempt = 0
        while True:
            seconds = self._find_seconds()
            if self._unread and seconds < OWN_READ_SECONDS:
                await anyio.sleep(seconds)
                await self._read_due()
                continue
            outcome = await self._platform.watch(REGISTRY_PREFIX, revision, seconds)
            if isinstance(outcome, Changes):
                attempt = 0
                revision = max(revision, outcome.revision)
                for change in outcome.changes:
                    self._note(change)
            else:
                await anyio.sleep(choose_pause(attempt, self._rng))
                attempt += 1
            await self._read_due()

    def _find_seconds(self) -> float:
        now = anyio.current_time()
        due = min((item.due for item in self._unread.values()), default=now)
        left = due - now if self._unread else WATCH_SECONDS
        return min(max(left, 0.0), WATCH_SECONDS)

    def _note(self, change: Change) -> None:
        name = change.key.removeprefix(REGISTRY_PREFIX)
        now = anyio.current_time()
        if name == self._data_centre:
            due = max(now, self._own_read + OWN_READ_SECONDS)
        elif name not in self._known:
            due = now
        elif name in self._unread:
            due = self._unread[name].due
        else:
            due = now + self._rng.uniform(0.5, 1.5) * self._others_read_seconds
        self._unread[name] = _Unread(change.version, due)

    async def _read_due(self) -> None:
        for name in sorted(self._unread):
            item = self._unread[name]
            if item.due > anyio.current_time():
                continue
            if name == self._data_centre:
                self._own_read = anyio.current_time()
            outcome = await self._registrar.read(name)
            if isinstance(outcome, Unavailable) or outcome.version < item.version:
                # A read may give an older value than the watch has told of. Taken
                # for the news, it would hide a fence until the next change.
                pause = self._rng.uniform(0, STALE_RETRY_SECONDS)
                due = anyio.current_time() + pause
                self._unread[name] = _Unread(item.version, due)
                continue
            del self._unread[name]
            self._known.add(name)
            self._adopt(name, outcome)
