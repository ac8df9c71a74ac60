"""Tasks that own their state and communicate by messages."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Any

import anyio
import anyio.abc
import attrs

from .events import Event, log_event

INBOX_MESSAGES = 10_000
"""Maximum number of messages in the queue of one task; further senders wait."""


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
    """

    def __init__(self, name: str) -> None:
        self.name = name
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
            raise
        finally:
            self._ended.set()
