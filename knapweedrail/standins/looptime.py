"""An event loop in virtual time: waits take none of the real one."""

from __future__ import annotations

import asyncio
import contextlib
import selectors
import time
from collections.abc import Awaitable, Callable, Iterator
from typing import Any
from unittest import mock

import anyio


class VirtualClock:
    """A clock that goes on only while everybody waits.

    Attributes:
        now: Seconds.
    """

    def __init__(self) -> None:
        self.now = 1000.0

    def read(self) -> float:
        """Return the time."""
        return self.now


MAX_IDLE_TURNS = 200_000
"""Turns of the loop without any time passing after which a task must be spinning."""


class SpinningError(Exception):
    """Tasks run without end while no time passes."""


class _WaitingSelector(selectors.DefaultSelector):
    """Lets the clock go on by as long as the loop would wait."""

    def __init__(self, clock: VirtualClock) -> None:
        super().__init__()
        self._clock = clock
        self._turns = 0

    def select(self, timeout: float | None = None) -> list[Any]:
        ready = super().select(0)
        self._turns += 1
        if not ready and timeout:
            self._clock.now += timeout
            self._turns = 0
        if self._turns > MAX_IDLE_TURNS:
            raise SpinningError(f"no time passes at {self._clock.now:.3f} s")
        return ready


@contextlib.contextmanager
def _patch_clock(clock: VirtualClock) -> Iterator[None]:
    with mock.patch.object(time, "monotonic", clock.read):
        yield


def run_virtual(main: Callable[[VirtualClock], Awaitable[Any]]) -> Any:
    """Run a coroutine in virtual time, and return what it returns."""
    clock = VirtualClock()

    def make_loop() -> asyncio.AbstractEventLoop:
        return asyncio.SelectorEventLoop(_WaitingSelector(clock))

    with _patch_clock(clock):
        return anyio.run(main, clock, backend_options={"loop_factory": make_loop})
