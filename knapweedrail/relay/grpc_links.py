"""Links between subscribers and sources over gRPC."""

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
    EncodedUpdate,
    FeedReply,
    FeedRequest,
    LinkLostError,
    SourceLink,
    SubscriberLink,
)
from .models import Member

MILLISECONDS = 1000


class GrpcDialer(Dialer):
    """Opens each link over a connection of its own, closed together with the link."""

    @contextlib.asynccontextmanager
    async def dial(self, member: Member) -> AsyncIterator[SourceLink]:
        channel = Channel(*split_address(member.address))
        try:
            stream = RelaysStub(channel).FollowNews.open()
            await stream.__aenter__()
            yield GrpcSourceLink(stream)
        finally:
            channel.close()


class GrpcSourceLink(SourceLink):
    """The subscriber's end of a link.

    Args:
        stream: Stream of the gRPC call, which starts with the first message.
    """

    def __init__(self, stream: ClientStream) -> None:
        self._stream = stream

    async def send(self, request: FeedRequest) -> None:
        message = NewsRequest(
            clock=int(request.clock * MILLISECONDS), revisions=request.revisions
        )
        with _translate_errors():
            await self._stream.send_message(message)

    async def receive(self) -> FeedReply:
        with _translate_errors():
            message = await self._stream.recv_message()
        if message is None:
            raise LinkLostError("closed by the source")
        kinds = [
            EncodedUpdate(
                kind=kind_news.kind,
                since=kind_news.since,
                revision=kind_news.revision,
                changes=kind_news.changes,
                age=kind_news.age / MILLISECONDS if kind_news.confirmed else None,
            )
            for kind_news in message.kinds
        ]
        return FeedReply(message.clock / MILLISECONDS, tuple(kinds))


class GrpcSubscriberLink(SubscriberLink):
    """The source's end of a link."""

    def __init__(self, stream: Stream) -> None:
        self._stream = stream

    async def receive(self) -> FeedRequest:
        with _translate_errors():
            message = await self._stream.recv_message()
        if message is None:
            raise LinkLostError("closed by the subscriber")
        return FeedRequest(message.clock / MILLISECONDS, dict(message.revisions))

    async def send(self, reply: FeedReply) -> None:
        kinds = [
            KindNews(
                kind=update.kind,
                since=update.since,
                revision=update.revision,
                changes=update.changes,
                confirmed=update.age is not None,
                age=round((update.age or 0.0) * MILLISECONDS),
            )
            for update in reply.kinds
        ]
        message = NewsReply(clock=round(reply.clock * MILLISECONDS), kinds=kinds)
        with _translate_errors():
            await self._stream.send_message(message)


@contextlib.contextmanager
def _translate_errors() -> Iterator[None]:
    try:
        yield
    except (OSError, GRPCError, ProtocolError, StreamTerminatedError) as error:
        raise LinkLostError(repr(error)) from error
