"""An event loop whose time jumps to the next timer, for measurements over hours."""

from __future__ import annotations

import asyncio
import selectors
from typing import Any


class JumpingSelector(selectors.DefaultSelector):
    """Instead of waiting, tells the loop how long it would have waited."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        ready = super().select(0)
        if ready or timeout is None:
            return ready
        self.now += max(0.0, timeout)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs tasks as fast as they go; an hour of timers passes in seconds.

    Only for tasks that wait for timers and for each other, never for sockets.
    """

    def __init__(self) -> None:
        self._jumping = JumpingSelector()
        super().__init__(self._jumping)
        # A timer counts as due within this; without it, rounding of a long virtual
        # time leaves the loop turning before each timer.
        self._clock_resolution = 1e-6

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._jumping.now
