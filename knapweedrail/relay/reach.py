"""Whether the store answers a relay, as its followers find out together."""

from __future__ import annotations

import contextlib
import random
import time
from collections.abc import Iterator

import anyio

from ..outcomes import Unavailable
from .stores import Store

FIRST_PAUSE_SECONDS = 0.2
LONGEST_PAUSE_SECONDS = 1.0
"""Least times between calls while the store is away, doubled each time. All relays call
again when it returns; a second is soon enough for every bound that the operators set,
and spreads their calls."""


class StoreReach:
    """Finds out for all followers of a relay when a store that was away is back.

    A store that comes back doesn't answer what it took before, so calls that wait then
    are given up. One follower finds out by a read that may be stale and costs a tenth
    of a call.

    Args:
        store: The store.
        kind: Kind of the small object that is read.
        name: Its name; it needn't exist.
    """

    def __init__(self, store: Store, kind: str, name: str) -> None:
        self._store = store
        self._kind = kind
        self._name = name
        self._waiting: set[anyio.CancelScope] = set()
        self._finding = anyio.Lock()
        self._back_at = float("-inf")
        self._pause = FIRST_PAUSE_SECONDS

    @contextlib.contextmanager
    def wait(self) -> Iterator[None]:
        """Run a call that is given up when the store is found back."""
        with anyio.CancelScope() as scope:
            self._waiting.add(scope)
            try:
                yield
            finally:
                self._waiting.discard(scope)

    def note_answer(self) -> None:
        """Take in that a follower's call was answered."""
        self._pause = FIRST_PAUSE_SECONDS

    async def find_back(self, waited: float) -> None:
        """Return when the store answers again.

        Args:
            waited: How long the call lasted that found it away, seconds.
        """
        away_at = time.monotonic()
        async with self._finding:
            if self._back_at > away_at:
                return
            await anyio.sleep(self._draw_pause(waited))
            while (seconds := await self._try_read()) is not None:
                await anyio.sleep(self._draw_pause(seconds))
            self._back_at = time.monotonic()
        for scope in list(self._waiting):
            scope.cancel()

    async def _try_read(self) -> float | None:
        """Return how long a read lasted if it failed."""
        began_at = time.monotonic()
        outcome = await self._store.peek(self._kind, self._name)
        if isinstance(outcome, Unavailable):
            return time.monotonic() - began_at
        return None

    def _draw_pause(self, waited: float) -> float:
        """Return the pause after a call that failed, less for one that took long."""
        pause = max(FIRST_PAUSE_SECONDS, self._pause - waited)
        self._pause = min(LONGEST_PAUSE_SECONDS, 2 * self._pause)
        return pause * random.uniform(0.5, 1.0)
