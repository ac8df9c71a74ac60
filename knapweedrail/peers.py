"""Messages between routers: the gRPC service and its clients."""

from __future__ import annotations

import time
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from typing import Any

import anyio
from grpclib.client import Channel
from grpclib.server import Stream

from .addresses import split_address
from .ingress import IngressQuota
from .outcomes import Unavailable, Unknown
from .rpc import RpcServer
from .rpc_errors import CallError, translate_call_errors
from .wire.peers_grpc import PeersBase, PeersStub
from .wire.peers_pb2 import (
    ConfigurationReply,
    ConfigurationRequest,
    Exchange,
    FenceReply,
    FenceRequest,
    FindRunReply,
    FindRunRequest,
    FollowChunk,
    FollowRequest,
    HandOverReply,
    HandOverRequest,
)

CALL_SECONDS = 1.0
"""Time for one call to a peer. Peers answer within a few milliseconds; a second
is far beyond a busy peer's answer and short enough that a caller of the router
doesn't notice one lost call. Nothing is concluded from it: a call that was sent is
`Unknown`."""


class PeerHandler(ABC):
    """What a router does on each message of a peer."""

    @abstractmethod
    async def trade(self, exchange: Exchange) -> Exchange:
        """Take a peer's periodic exchange and answer with the own one."""

    @abstractmethod
    async def hand_over(self, request: HandOverRequest) -> HandOverReply:
        """Hand tokens over to the sender; the same transfer gets the same answer."""

    @abstractmethod
    async def fence(self, request: FenceRequest) -> FenceReply:
        """Take nothing more from a holder, and say what was taken from it."""

    @abstractmethod
    async def find_run(self, request: FindRunRequest) -> FindRunReply:
        """Say where a request identity runs; note the sender when nowhere."""

    @abstractmethod
    def follow(self, request: FollowRequest) -> AsyncIterator[FollowChunk]:
        """Give the chunks of a run's answer from an offset on."""

    @abstractmethod
    async def fetch_configuration(
        self, request: ConfigurationRequest
    ) -> ConfigurationReply:
        """Give the text of a configuration."""


class PeerServer(RpcServer):
    """The peer service of one router.

    Args:
        handler: Answers the messages.
        address: ``host:port`` to listen on; port 0 lets the kernel choose.
        quota: Accounts for its connections; without one, they are unlimited.
    """

    def __init__(
        self, handler: PeerHandler, address: str, quota: IngressQuota | None = None
    ) -> None:
        super().__init__([_Service(handler)], address, quota)


class _Service(PeersBase):
    """Adapts the generated service to `PeerHandler`."""

    def __init__(self, handler: PeerHandler) -> None:
        self._handler = handler

    async def Trade(self, stream: Stream) -> None:
        await _answer(stream, self._handler.trade)

    async def HandOver(self, stream: Stream) -> None:
        await _answer(stream, self._handler.hand_over)

    async def Fence(self, stream: Stream) -> None:
        await _answer(stream, self._handler.fence)

    async def FindRun(self, stream: Stream) -> None:
        await _answer(stream, self._handler.find_run)

    async def FetchConfiguration(self, stream: Stream) -> None:
        await _answer(stream, self._handler.fetch_configuration)

    async def Follow(self, stream: Stream) -> None:
        request = await stream.recv_message()
        if request is None:
            return
        async for chunk in self._handler.follow(request):
            await stream.send_message(chunk)


async def _answer(stream: Stream, handle: Any) -> None:
    request = await stream.recv_message()
    if request is not None:
        await stream.send_message(await handle(request))


class _Connection:
    """A channel to one peer and the number of calls under way on it."""

    def __init__(self, address: str) -> None:
        host, port = split_address(address)
        self.channel = Channel(host, port)
        self.stub = PeersStub(self.channel)
        self.calls = 0
        self.doubted = False
        self.used = time.monotonic()

    def release(self) -> None:
        """End one call; a doubted channel closes with its last one."""
        self.calls -= 1
        if self.doubted and self.calls == 0:
            self.channel.close()


class PeerClients:
    """Clients of all peers: one connection each, opened when needed.

    A connection on which a call got no answer is doubted: something between the two
    ends may have lost track of it while new ones work. New calls then go over a new
    connection; calls under way on the old one keep it until they end.

    Args:
        call_seconds: Time for one call.
    """

    def __init__(self, call_seconds: float = CALL_SECONDS) -> None:
        self.call_seconds = call_seconds
        self._connections: dict[str, _Connection] = {}

    async def start(self) -> None:
        """Do nothing yet: connections open with the first call."""

    async def close(self) -> None:
        """Close all connections."""
        for connection in self._connections.values():
            connection.channel.close()
        self._connections.clear()

    def close_idle(self, seconds: float) -> None:
        """Close the connections unused for so long.

        Hosts are replaced under new addresses; their connections would pile up.
        """
        limit = time.monotonic() - seconds
        for address, connection in list(self._connections.items()):
            if connection.calls == 0 and connection.used < limit:
                self._doubt(address, connection)

    async def trade(
        self, address: str, exchange: Exchange, seconds: float | None = None
    ) -> Exchange | Unavailable | Unknown:
        """Exchange news with a peer."""
        return await self._call("peers.trade", address, "Trade", exchange, seconds)

    async def hand_over(
        self, address: str, request: HandOverRequest, seconds: float | None = None
    ) -> HandOverReply | Unavailable | Unknown:
        """Ask a peer for tokens; after `Unknown` repeat the same transfer."""
        return await self._call(
            "peers.hand_over", address, "HandOver", request, seconds
        )

    async def fence(
        self, address: str, request: FenceRequest, seconds: float | None = None
    ) -> FenceReply | Unavailable | Unknown:
        """Ask a peer to take nothing more from a holder."""
        return await self._call("peers.fence", address, "Fence", request, seconds)

    async def find_run(
        self, address: str, request: FindRunRequest, seconds: float | None = None
    ) -> FindRunReply | Unavailable | Unknown:
        """Ask a peer where a request identity runs."""
        return await self._call("peers.find_run", address, "FindRun", request, seconds)

    async def fetch_configuration(
        self, address: str, request: ConfigurationRequest, seconds: float | None = None
    ) -> ConfigurationReply | Unavailable | Unknown:
        """Ask a peer for the text of a configuration."""
        return await self._call(
            "peers.fetch_configuration", address, "FetchConfiguration", request, seconds
        )

    async def follow(
        self, address: str, request: FollowRequest, silence_seconds: float
    ) -> AsyncIterator[FollowChunk | Unavailable | Unknown]:
        """Give the chunks of a run on a peer; a failure is the last item.

        A stream that ends without a failure and without a chunk marked ``last`` or
        ``missing`` was cut off: it is reported as `Unknown`.

        Args:
            address: The peer's address.
            request: The run, and the offset from which to give chunks.
            silence_seconds: Longest wait for the next chunk.
        """
        step = "peers.follow"
        connection = self._use(address)
        sent = False
        try:
            with translate_call_errors():
                async with connection.stub.Follow.open() as stream:
                    with anyio.fail_after(self.call_seconds):
                        await stream.send_request()
                        sent = True
                        await stream.send_message(request, end=True)
                    while True:
                        with anyio.fail_after(silence_seconds):
                            chunk = await stream.recv_message()
                        if chunk is None:
                            break
                        yield chunk
                        if chunk.last or chunk.cut or chunk.missing:
                            # Without it the library waits, without bound, for trailers.
                            await stream.cancel()
                            return
            yield Unknown(step, address, "the stream ended before the answer")
        except CallError as error:
            yield self._fail(step, address, connection, error, sent)
        finally:
            connection.release()

    async def _call(
        self, step: str, address: str, name: str, message: Any, seconds: float | None
    ) -> Any:
        connection = self._use(address)
        sent = False
        try:
            method = getattr(connection.stub, name)
            with (
                translate_call_errors(),
                anyio.fail_after(seconds or self.call_seconds),
            ):
                async with method.open() as stream:
                    await stream.send_request()
                    # Up to here only headers went out: without a message the
                    # receiver's handler does nothing.
                    sent = True
                    await stream.send_message(message, end=True)
                    reply = await stream.recv_message()
            if reply is None:
                return Unknown(step, address, "the answer was empty")
            return reply
        except CallError as error:
            return self._fail(step, address, connection, error, sent)
        finally:
            connection.release()

    def _fail(
        self,
        step: str,
        address: str,
        connection: _Connection,
        error: CallError,
        sent: bool,
    ) -> Unavailable | Unknown:
        if not error.rejected:
            self._doubt(address, connection)
        kind = Unknown if sent else Unavailable
        return kind(step, address, str(error))

    def _use(self, address: str) -> _Connection:
        connection = self._connections.get(address)
        if connection is None:
            connection = _Connection(address)
            self._connections[address] = connection
        connection.calls += 1
        connection.used = time.monotonic()
        return connection

    def _doubt(self, address: str, connection: _Connection) -> None:
        if self._connections.get(address) is connection:
            del self._connections[address]
        connection.doubted = True
        if connection.calls == 0:
            connection.channel.close()
