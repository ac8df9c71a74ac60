"""Links between subscribers and sources over gRPC."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator, Iterable, Iterator

from grpclib.client import Channel
from grpclib.client import Stream as ClientStream
from grpclib.server import Stream

from ..addresses import split_address
from ..rpc_errors import CallError, translate_call_errors
from ..wire import relays_pb2
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
from .models import Member, RunnerIncarnation
from .pace_exchange import RunnerPace

MILLISECONDS = 1000


class GrpcDialer(Dialer):
    """Opens each link over a connection of its own, closed together with the link."""

    @contextlib.asynccontextmanager
    async def dial(self, member: Member) -> AsyncIterator[SourceLink]:
        with _translate_errors():
            channel = Channel(*split_address(member.address))
        try:
            with _translate_errors():
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
            clock=int(request.clock * MILLISECONDS),
            revisions=request.revisions,
            paces=_encode_paces(request.paces),
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
        paces = _decode_paces(message.paces)
        return FeedReply(message.clock / MILLISECONDS, tuple(kinds), paces)


class GrpcSubscriberLink(SubscriberLink):
    """The source's end of a link."""

    def __init__(self, stream: Stream) -> None:
        self._stream = stream

    async def receive(self) -> FeedRequest:
        with _translate_errors():
            message = await self._stream.recv_message()
        if message is None:
            raise LinkLostError("closed by the subscriber")
        return FeedRequest(
            message.clock / MILLISECONDS,
            dict(message.revisions),
            _decode_paces(message.paces),
        )

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
        message = NewsReply(
            clock=round(reply.clock * MILLISECONDS),
            kinds=kinds,
            paces=_encode_paces(reply.paces),
        )
        with _translate_errors():
            await self._stream.send_message(message)


def _encode_paces(paces: Iterable[RunnerPace]) -> list[relays_pb2.RunnerPace]:
    return [
        relays_pb2.RunnerPace(
            runner=pace.incarnation.name,
            started=pace.incarnation.started,
            lowest=pace.lowest,
        )
        for pace in paces
    ]


def _decode_paces(messages: Iterable[relays_pb2.RunnerPace]) -> tuple[RunnerPace, ...]:
    """Decode paces of any value; the receiver drops invalid ones."""
    return tuple(
        RunnerPace(RunnerIncarnation(each.runner, each.started), each.lowest)
        for each in messages
    )


@contextlib.contextmanager
def _translate_errors() -> Iterator[None]:
    try:
        with translate_call_errors():
            yield
    except CallError as error:
        raise LinkLostError(str(error)) from error
