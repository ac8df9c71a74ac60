"""Signals between tasks."""

from __future__ import annotations

import anyio


class Signal:
    """Wakes all who wait, each time that it is given."""

    def __init__(self) -> None:
        self._event = anyio.Event()

    def give(self) -> None:
        """Wake all who wait now."""
        self._event.set()
        self._event = anyio.Event()

    async def wait(self) -> None:
        """Wait until it is given next."""
        await self._event.wait()
