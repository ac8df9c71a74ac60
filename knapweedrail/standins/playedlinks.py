"""Links between relays in virtual time."""

from __future__ import annotations

import math
import time
from typing import Any

import anyio
import attrs

from ..relay.links import (
    FeedReply,
    FeedRequest,
    LinkLostError,
    SourceLink,
    SubscriberLink,
)

LINK_SECONDS = 0.001

MESSAGE_BYTES = 150
"""Of a message that tells no change: two kinds of some forty bytes, and as much for
HTTP/2, TCP and IP."""


class _Pipe:
    """One direction of a link; what is sent arrives after a while, or never."""

    def __init__(self) -> None:
        self._send, self._receive = anyio.create_memory_object_stream(math.inf)
        self.severed = False

    def send(self, message: Any) -> None:
        """Send a message.

        Raises:
            LinkLostError: If the other end was closed.
        """
        if self.severed:
            return
        try:
            self._send.send_nowait((time.monotonic() + LINK_SECONDS, message))
        except anyio.ClosedResourceError as error:
            raise LinkLostError("closed") from error

    async def receive(self) -> Any:
        """Wait for the next message.

        Raises:
            LinkLostError: If the other end was closed.
        """
        try:
            due, message = await self._receive.receive()
        except anyio.EndOfStream as error:
            raise LinkLostError("closed") from error
        await anyio.sleep(max(0.0, due - time.monotonic()))
        return message

    def close(self) -> None:
        """End it at the sender's side."""
        self._send.close()


@attrs.define(eq=False)
class PlayedLink:
    """A link between two hosts."""

    ends: frozenset[str]
    there: _Pipe = attrs.field(factory=_Pipe)
    back: _Pipe = attrs.field(factory=_Pipe)

    def sever(self) -> None:
        """Lose all that is on its way from now on, without a word."""
        self.there.severed = True
        self.back.severed = True

    def close(self) -> None:
        """End it, which both sides hear."""
        if not self.there.severed:
            self.there.close()
            self.back.close()


@attrs.define
class Traffic:
    """What a relay has told others."""

    messages: int = 0
    bytes: int = 0


class FollowerEnd(SourceLink):
    """The end of the relay that follows another one."""

    def __init__(self, link: PlayedLink) -> None:
        self._link = link

    async def send(self, request: FeedRequest) -> None:
        self._link.there.send(request)

    async def receive(self) -> FeedReply:
        return await self._link.back.receive()


class WatcherEnd(SubscriberLink):
    """The end of the relay that is followed."""

    def __init__(self, link: PlayedLink, traffic: Traffic) -> None:
        self._link = link
        self._traffic = traffic

    async def receive(self) -> FeedRequest:
        return await self._link.there.receive()

    async def send(self, reply: FeedReply) -> None:
        self._traffic.messages += 1
        changes = sum(len(state.changes) for state in reply.kinds)
        self._traffic.bytes += MESSAGE_BYTES + changes
        self._link.back.send(reply)
