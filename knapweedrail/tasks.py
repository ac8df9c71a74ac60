"""Tasks that own their state and communicate by messages."""

from __future__ import annotations

import time
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.abc
import attrs

from .events import Event, log_event

INBOX_MESSAGES = 10_000
"""Maximum number of messages in the queue of one task; further senders wait."""

RESTART_PAUSE_SECONDS = 1.0
MAX_RESTARTS = 5
STEADY_SECONDS = 60.0
"""Pause before a loop that failed is started again, and how often that is done unless
it ran steadily in between."""

FailureHandler = Callable[[str], None]
"""Handles the failure of a task, given its name; the error has been logged."""


class Reply:
    """The future answer to one message."""

    def __init__(self) -> None:
        self._ready = anyio.Event()
        self._value: Any = None

    def set(self, value: Any) -> None:
        """Set the answer, unless it is set already."""
        if not self._ready.is_set():
            self._value = value
            self._ready.set()

    async def wait(self) -> Any:
        """Wait for the answer and return it."""
        await self._ready.wait()
        return self._value


@attrs.frozen
class Envelope:
    """A message and its future answer."""

    message: Any
    reply: Reply


class Task(ABC):
    """A task with a message queue, started in a task group and closed explicitly.

    Args:
        name: Name for logs.

    Attributes:
        on_failure: Called when `run` ends with an unexpected error; without it, the
            error ends the task group.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.on_failure: FailureHandler | None = None
        self._send, self._receive = anyio.create_memory_object_stream(INBOX_MESSAGES)
        self._scope = anyio.CancelScope()
        self._ended = anyio.Event()

    async def start(self, group: anyio.abc.TaskGroup) -> None:
        """Start `run` in ``group``."""
        group.start_soon(self._guard, name=self.name)

    async def close(self) -> None:
        """Stop `run` and wait until it has ended."""
        self._scope.cancel()
        await self._ended.wait()

    async def ask(self, message: Any) -> Any:
        """Send a message and wait for its answer."""
        reply = Reply()
        await self._send.send(Envelope(message, reply))
        return await reply.wait()

    def tell(self, message: Any) -> None:
        """Send a message that needs no answer.

        Raises:
            anyio.WouldBlock: If the inbox is full.
        """
        self._send.send_nowait(Envelope(message, Reply()))

    @abstractmethod
    async def run(self) -> None:
        """Do the task's work until cancelled."""

    async def _guard(self) -> None:
        try:
            with self._scope:
                await self.run()
        except Exception as error:
            log_event(Event.TASK_FAILED, task=self.name, error=repr(error))
            if self.on_failure is None:
                raise
            self.on_failure(self.name)
        finally:
            self._ended.set()


async def run_with_restarts(
    run: Callable[[], Awaitable[None]],
    name: str,
    on_failure: FailureHandler,
    on_giving_up: FailureHandler,
) -> None:
    """Run a loop that keeps no state between its rounds, again after an error.

    Args:
        run: The loop.
        name: Name for logs.
        on_failure: Called after each error.
        on_giving_up: Called after `MAX_RESTARTS` restarts without a steady run.
    """
    failures = 0
    while True:
        began_at = time.monotonic()
        try:
            await run()
            return
        except Exception as error:
            log_event(Event.TASK_FAILED, task=name, error=repr(error))
        on_failure(name)
        if time.monotonic() - began_at >= STEADY_SECONDS:
            failures = 0
        failures += 1
        if failures > MAX_RESTARTS:
            on_giving_up(name)
            return
        await anyio.sleep(RESTART_PAUSE_SECONDS)
