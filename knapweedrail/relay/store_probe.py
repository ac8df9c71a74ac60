"""Probing of an unavailable store, shared by all watchers of a relay."""

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
"""Bounds of the backoff between calls while the store is unavailable; it doubles each
time. All relays call again when the store recovers. A second is soon enough for every
bound that operators set, and spreads their calls."""


class StoreProbe:
    """Detects for all watchers of a relay that the store is available again.

    A store that recovers doesn't answer the calls that it accepted before its outage,
    so pending calls are abandoned then. One watcher probes with a read that may be
    stale and costs a tenth of a call.

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
        """Run a call that is abandoned once a probe finds the store available again."""
        with anyio.CancelScope() as scope:
            self._abandonable_calls.add(scope)
            try:
                yield
            finally:
                self._abandonable_calls.discard(scope)

    def reset_backoff(self) -> None:
        """Reset the backoff after a watcher's call was answered."""
        self._backoff = MIN_BACKOFF_SECONDS

    async def wait_until_available(self, waited: float) -> None:
        """Wait until the store answers a probe.

        Args:
            waited: Duration of the call that failed, seconds.
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
        """Return the duration of a probe that failed, seconds; ``None`` on success."""
        began_at = time.monotonic()
        outcome = await self._store.peek(self._kind, self._name)
        if isinstance(outcome, Unavailable):
            return time.monotonic() - began_at
        return None

    def _draw_backoff(self, waited: float) -> float:
        """Return the pause after a failed call, less the call's own duration, seconds.

        Args:
            waited: Duration of the call, seconds.
        """
        backoff = max(MIN_BACKOFF_SECONDS, self._backoff - waited)
        self._backoff = min(MAX_BACKOFF_SECONDS, 2 * self._backoff)
        return backoff * random.uniform(0.5, 1.0)
