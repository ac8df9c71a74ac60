"""Runners of several software versions, whose streams differ."""

from __future__ import annotations

import contextlib
import re
from collections.abc import AsyncIterator, Callable, Sequence

import anyio
import anyio.abc
import attrs

from ..relay.models import Configuration
from .relays_in_memory import (
    MemoryRelay,
    ScriptedRunner,
    find_header,
    make_chunk,
    make_stream_head,
    run_relay,
)

EVENT_COUNT = 5

Interrupt = Callable[[anyio.abc.SocketStream], object]


def make_versioned_event(number: int, version: str) -> bytes:
    """Return one event that names the version which wrote it."""
    return b"id: %d\ndata: of %s\n\n" % (number, version.encode())


def find_versions(body: bytes) -> set[str]:
    """Return the versions that wrote the events of an answer."""
    return {version.decode() for version in re.findall(rb"of (\S+)", body)}


async def break_off(stream: anyio.abc.SocketStream) -> None:
    """Crash in the middle of a stream."""


async def break_inside_event(stream: anyio.abc.SocketStream) -> None:
    """Crash in the middle of an event."""
    await stream.send(make_chunk(b"id: 3\ndata: of"))


async def stall(stream: anyio.abc.SocketStream) -> None:
    """Send nothing more until the relay closes the connection."""
    with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
        await stream.receive()


INTERRUPTIONS = {"crash": break_off, "inside an event": break_inside_event}
INTERRUPTIONS["stall"] = stall


@attrs.define
class VersionedRunner:
    """Streams events of one version, and interrupts streams that it begins.

    Attributes:
        version: Version of its software.
        interrupt: Called after the second event of a new stream; ``None`` for none.
        begun: Number of streams that it began.
    """

    version: str
    interrupt: Interrupt | None = break_off
    begun: int = 0

    async def respond(self, stream: anyio.abc.SocketStream, head: str) -> bool:
        """Stream the events after ``Last-Event-Id``."""
        last = find_header(head, "last-event-id")
        first = int(last or 0) + 1
        self.begun += last is None
        await stream.send(make_stream_head(head))
        for number in range(first, EVENT_COUNT + 1):
            if last is None and number == 3 and self.interrupt is not None:
                await self.interrupt(stream)
                return False
            event = make_versioned_event(number, self.version)
            await stream.send(make_chunk(event))
        await stream.send(make_chunk(b""))
        return True


@contextlib.asynccontextmanager
async def run_versioned_relay(
    configuration: Configuration, runners: Sequence[VersionedRunner], **options: object
) -> AsyncIterator[MemoryRelay]:
    """Run a relay whose list of runners states their versions."""
    scripted = [
        ScriptedRunner(runner.respond, version=runner.version) for runner in runners
    ]
    async with run_relay(configuration, *scripted, **options) as relay:
        yield relay
