"""Whether the store answers a relay, as its followers find out together."""

from __future__ import annotations

import contextlib
import random
import time
from collections.abc import Iterator

import anyio

from ..outcomes import Unavailable
from .stores import Store

MIN_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 1.0
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
        self._abandonable_calls: set[anyio.CancelScope] = set()
        self._probe_lock = anyio.Lock()
        self._available_at = float("-inf")
        self._backoff = MIN_BACKOFF_SECONDS

    @contextlib.contextmanager
    def abandon_on_recovery(self) -> Iterator[None]:
        """Run a call that is given up when the store is found back."""
        with anyio.CancelScope() as scope:
            self._abandonable_calls.add(scope)
            try:
                yield
            finally:
                self._abandonable_calls.discard(scope)

    def reset_backoff(self) -> None:
        """Take in that a follower's call was answered."""
        self._backoff = MIN_BACKOFF_SECONDS

    async def wait_until_available(self, waited: float) -> None:
        """Return when the store answers again.

        Args:
            waited: How long the call lasted that found it away, seconds.
        """
        unavailable_at = time.monotonic()
        async with self._probe_lock:
            if self._available_at > unavailable_at:
                return
            await anyio.sleep(self._draw_backoff(waited))
            while (seconds := await self._probe()) is not None:
                await anyio.sleep(self._draw_backoff(seconds))
            self._available_at = time.monotonic()
        for scope in list(self._abandonable_calls):
            scope.cancel()

    async def _probe(self) -> float | None:
        """Return how long a read lasted if it failed."""
        began_at = time.monotonic()
        outcome = await self._store.peek(self._kind, self._name)
        if isinstance(outcome, Unavailable):
            return time.monotonic() - began_at
        return None

    def _draw_backoff(self, waited: float) -> float:
        """Return the pause after a call that failed, less for one that took long."""
        backoff = max(MIN_BACKOFF_SECONDS, self._backoff - waited)
        self._backoff = min(MAX_BACKOFF_SECONDS, 2 * self._backoff)
        return backoff * random.uniform(0.5, 1.0)
