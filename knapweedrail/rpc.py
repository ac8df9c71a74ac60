"""gRPC servers for calls between the system's own processes.

Separate from the messages of routers, so that a relay doesn't import them.
"""

from __future__ import annotations

import asyncio
import socket
import time
import weakref
from collections.abc import Awaitable, Callable
from typing import Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.protocol import H2Protocol, Stream
from grpclib.server import Server

from .addresses import split_address
from .ingress import ClientKind, IngressQuota, Lease, QuotaExceeded
from .listeners import ACCEPT_BATCH, BACKLOG

KEEPALIVE_SECONDS = 30
"""Idle time before a connection is probed, and between probes."""


MAX_MESSAGE_BYTES = 4 * 1_048_576
"""Maximum size of a message, as usual for gRPC."""


class _Server(Server):
    """A server whose connections are accounted for, and closed when it is closed.

    The library leaves them open and answers new calls on them, so a router that has
    left would still seem alive to all that are connected to it.

    Args:
        services: Answer the messages.
        quota: Accounts for the connections.
    """

    def __init__(self, services: list[Any], quota: IngressQuota) -> None:
        super().__init__(services)
        self.quota = quota
        self.ended = False
        self._protocols: weakref.WeakSet[H2Protocol] = weakref.WeakSet()

    def _protocol_factory(self) -> H2Protocol:
        protocol = _Connection(super()._protocol_factory(), self)
        self._protocols.add(protocol)
        return protocol

    def close_connections(self) -> None:
        """Close all connections, and those that are being accepted."""
        self.ended = True
        for protocol in list(self._protocols):
            if hasattr(protocol, "connection"):
                protocol.connection.close()


class _Connection(H2Protocol):
    """A connection that is accounted for.

    Args:
        protocol: What the library makes of the connection.
        server: Its server.
    """

    def __init__(self, protocol: H2Protocol, server: _Server) -> None:
        super().__init__(protocol.handler, protocol.config, protocol.h2_config)
        self._server = server
        self._lease: Lease | None = None
        self._accept = self.handler.accept
        self.handler.accept = self._accept_limited

    def connection_made(self, transport: asyncio.Transport) -> None:
        quota, now = self._server.quota, time.monotonic()
        self._lease = quota.open(ClientKind.PEERS, transport.abort, now)
        super().connection_made(transport)
        if self._lease is None:
            transport.abort()
        # The protocol of a connection that was accepted during the shutdown is
        # created after it, and nothing else would close it.
        if self._server.ended:
            self.connection.close()

    def data_received(self, data: bytes) -> None:
        if self._lease is not None:
            self._lease.record_use(time.monotonic())
        super().data_received(data)

    def connection_lost(self, error: BaseException | None) -> None:
        if self._lease is not None:
            self._lease.close()
        super().connection_lost(error)

    def _accept_limited(self, stream: Stream, *args: Any) -> None:
        stream.recv_data = _limit_messages(stream.recv_data, self._lease)
        self._accept(stream, *args)


def _limit_messages(
    receive: Callable[[int], Awaitable[bytes]], lease: Lease
) -> Callable[[int], Awaitable[bytes]]:
    """Limit and account for messages that are being received on a stream.

    The library keeps all parts of a message until it is complete, whatever its length.

    Args:
        receive: Receives the given number of bytes.
        lease: What the connection holds.
    """

    async def receive_limited(size: int) -> bytes:
        try:
            if size > MAX_MESSAGE_BYTES:
                raise QuotaExceeded
            lease.reserve(size, time.monotonic())
        except QuotaExceeded as error:
            detail = f"no memory for a message of {size} bytes"
            raise GRPCError(Status.RESOURCE_EXHAUSTED, detail) from error
        try:
            return await receive(size)
        finally:
            lease.release(size)

    return receive_limited


class RpcServer:
    """A server of calls between the system's own processes.

    Args:
        services: Answer the messages.
        address: ``host:port`` to listen on; port 0 lets the kernel choose.
        quota: Accounts for its connections; without one, they are unlimited.
    """

    def __init__(
        self, services: list[Any], address: str, quota: IngressQuota | None = None
    ) -> None:
        self._server = _Server(services, quota or IngressQuota())
        self._bind = address
        self._listener: socket.socket | None = None
        self.address = address

    def bind(self) -> None:
        """Bind the address; `address` then names the port that the kernel chose.

        The router's registration names it, and it is answered only after `start`.

        Raises:
            OSError: If the address can't be bound.
        """
        listener = socket.create_server(split_address(self._bind))
        # A host that lost power leaves its connection open here. Keep-alive probes
        # close it; without them each replaced host would cost a socket.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        # Accepted sockets inherit this. Without it the second frame of an answer could
        # wait 40 ms for the acknowledgement of the first.
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS)
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS)
        host, port = listener.getsockname()[:2]
        self.address = f"{host}:{port}"
        self._listener = listener

    async def start(self) -> None:
        """Answer peers; binds the address first unless that was done.

        Raises:
            OSError: If the address can't be bound.
        """
        if self._listener is None:
            self.bind()
        await self._server.start(sock=self._listener, backlog=ACCEPT_BATCH)
        self._listener.listen(BACKLOG)

    async def close(self) -> None:
        """Stop listening and end all calls."""
        self._server.close()
        self._server.close_connections()
        await self._server.wait_closed()
