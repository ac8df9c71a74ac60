"""Links between relays over gRPC."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator, Iterator

from grpclib.client import Channel
from grpclib.client import Stream as ClientStream
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Stream

from ..addresses import split_address
from ..wire.relays_grpc import RelaysStub
from ..wire.relays_pb2 import KindNews, NewsReply, NewsRequest
from .links import (
    Dialer,
    FollowerLink,
    KindState,
    LinkLostError,
    Reading,
    Telling,
    WatcherLink,
)
from .models import Member

MILLISECONDS = 1000


class GrpcDialer(Dialer):
    """Opens links over connections of their own, which end with them."""

    @contextlib.asynccontextmanager
    async def dial(self, member: Member) -> AsyncIterator[FollowerLink]:
        channel = Channel(*split_address(member.address))
        try:
            stream = RelaysStub(channel).FollowNews.open()
            await stream.__aenter__()
            yield GrpcFollowerLink(stream)
        finally:
            channel.close()


class GrpcFollowerLink(FollowerLink):
    """The end of the relay that follows another one.

    Args:
        stream: Its call, which begins with the first message.
    """

    def __init__(self, stream: ClientStream) -> None:
        self._stream = stream

    async def send(self, reading: Reading) -> None:
        request = NewsRequest(
            clock=int(reading.clock * MILLISECONDS), revisions=reading.revisions
        )
        with _translate_errors():
            await self._stream.send_message(request)

    async def receive(self) -> Telling:
        with _translate_errors():
            reply = await self._stream.recv_message()
        if reply is None:
            raise LinkLostError("ended by the other relay")
        kinds = [
            KindState(
                kind=news.kind,
                since=news.since,
                revision=news.revision,
                changes=news.changes,
                age=news.age / MILLISECONDS if news.confirmed else None,
            )
            for news in reply.kinds
        ]
        return Telling(reply.clock / MILLISECONDS, tuple(kinds))


class GrpcWatcherLink(WatcherLink):
    """The end of the relay that is followed."""

    def __init__(self, stream: Stream) -> None:
        self._stream = stream

    async def receive(self) -> Reading:
        with _translate_errors():
            request = await self._stream.recv_message()
        if request is None:
            raise LinkLostError("ended by the follower")
        return Reading(request.clock / MILLISECONDS, dict(request.revisions))

    async def send(self, telling: Telling) -> None:
        kinds = [
            KindNews(
                kind=state.kind,
                since=state.since,
                revision=state.revision,
                changes=state.changes,
                confirmed=state.age is not None,
                age=round((state.age or 0.0) * MILLISECONDS),
            )
            for state in telling.kinds
        ]
        reply = NewsReply(clock=round(telling.clock * MILLISECONDS), kinds=kinds)
        with _translate_errors():
            await self._stream.send_message(reply)


@contextlib.contextmanager
def _translate_errors() -> Iterator[None]:
    try:
        yield
    except (OSError, GRPCError, ProtocolError, StreamTerminatedError) as error:
        raise LinkLostError(repr(error)) from error
