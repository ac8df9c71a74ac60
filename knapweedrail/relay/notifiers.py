"""Notification between tasks of one event loop."""

from __future__ import annotations

import anyio


class Notifier:
    """Repeatable event: each notification wakes all tasks that wait at that moment."""

    def __init__(self) -> None:
        self._event = anyio.Event()

    def notify_all(self) -> None:
        """Wake all tasks that wait now."""
        self._event.set()
        self._event = anyio.Event()

    async def wait(self) -> None:
        """Wait for the next notification."""
        await self._event.wait()
