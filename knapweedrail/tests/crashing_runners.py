"""Runners that crash when they run certain requests, and come back."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc
import attrs

from .relays_in_memory import (
    ScriptedRunner,
    find_header,
    make_answer,
    make_chunk,
    make_event,
    make_stream_head,
)

EVENT_SECONDS = 0.02
"""Pause between the events of a stream."""


@attrs.define
class CrashingRunners:
    """The runners of one endpoint.

    Attributes:
        is_crashing: Returns whether a request crashes its runner, by its head and body.
        list_runner: Adds a runner to the relays' list, by its name and address.
        unlist_runner: Removes a runner from it.
        return_seconds: Time until another incarnation of a crashed runner is listed;
            ``None`` if none is.
        sends_first: Whether a runner sends the first event before it crashes.
        event_count: Events of a stream, if answers are streams.
        chunked: Whether streams come in chunks; otherwise they end with the connection.
        arrivals: Times at which crashing requests arrived, monotonic seconds.
        crashes: Times of the crashes.
    """

    is_crashing: Callable[[str, bytes], bool]
    list_runner: Callable[[str, str], None]
    unlist_runner: Callable[[str], None] = lambda name: None
    return_seconds: float | None = None
    sends_first: bool = False
    event_count: int = 0
    chunked: bool = True
    arrivals: list[float] = attrs.field(factory=list)
    crashes: list[float] = attrs.field(factory=list)
    _lives: int = 0

    def start(self, count: int, group: anyio.abc.TaskGroup) -> None:
        """Start some runners."""
        for _ in range(count):
            group.start_soon(self._run_lives)

    async def _run_lives(self) -> None:
        while True:
            self._lives += 1
            name = f"i-{self._lives}"
            await self._run_life(name)
            self.crashes.append(time.monotonic())
            self.unlist_runner(name)
            if self.return_seconds is None:
                return
            await anyio.sleep(self.return_seconds)

    async def _run_life(self, name: str) -> None:
        """Serve until a request crashes the runner."""
        with anyio.CancelScope() as scope:

            async def respond(stream: anyio.abc.SocketStream, head: str) -> bool:
                body = script.bodies[-1]
                if not self.is_crashing(head, body):
                    return await self._answer(stream, head)
                self.arrivals.append(time.monotonic())
                if self.sends_first:
                    await self._begin_stream(stream, head)
                    await anyio.sleep(EVENT_SECONDS)
                scope.cancel()
                return False

            script = ScriptedRunner(respond)
            async with await anyio.create_tcp_listener(local_host="127.0.0.1") as lis:
                port = lis.extra(anyio.abc.SocketAttribute.local_port)
                self.list_runner(name, f"127.0.0.1:{port}")
                await lis.serve(script._handle)

    async def _answer(self, stream: anyio.abc.SocketStream, head: str) -> bool:
        if not self.event_count:
            await stream.send(make_answer(head))
            return True
        await self._begin_stream(stream, head)
        for number in range(2, self.event_count + 1):
            await anyio.sleep(EVENT_SECONDS)
            await stream.send(self._frame(make_event(number)))
        if self.chunked:
            await stream.send(make_chunk(b""))
        return self.chunked

    async def _begin_stream(self, stream: anyio.abc.SocketStream, head: str) -> None:
        answer_head = make_stream_head(head)
        if not self.chunked:
            answer_head = answer_head.replace(b"Transfer-Encoding: chunked\r\n", b"")
        await stream.send(answer_head + self._frame(make_event(1)))

    def _frame(self, event: bytes) -> bytes:
        return make_chunk(event) if self.chunked else event


def has_crashing_body(head: str, body: bytes) -> bool:
    """Return whether a request's body is the one that crashes runners."""
    return body == b"crash"


def has_crashing_part(head: str, body: bytes) -> bool:
    """Return whether a request's prompt has the part that crashes runners."""
    parts = find_header(head, "knapweedrail-prompt-prefix") or ""
    return any(part.startswith("bad0:") for part in parts.split(","))


def make_listing(objects: Any, make_entry: Callable[..., dict]) -> dict[str, Any]:
    """Return the arguments that list runners in a store."""
    return {
        "list_runner": lambda name, address: objects.put(
            "servers", name, make_entry(address=address)
        ),
        "unlist_runner": lambda name: objects.remove("servers", name),
    }
