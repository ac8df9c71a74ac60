"""gRPC servers for calls between the system's own processes.

Separate from the messages of routers, so that a relay doesn't import them.
"""

from __future__ import annotations

import asyncio
import socket
import weakref
from typing import Any

from grpclib.protocol import H2Protocol
from grpclib.server import Server

from .addresses import split_address

KEEPALIVE_SECONDS = 30
"""Idle time before a connection is probed, and between probes."""


class _Server(Server):
    """A server that closes its connections when it is closed.

    The library leaves them open and answers new calls on them, so a router that has
    left would still seem alive to all that are connected to it.
    """

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self._protocols: weakref.WeakSet[H2Protocol] = weakref.WeakSet()
        self._ended = False

    def _protocol_factory(self) -> H2Protocol:
        protocol = super()._protocol_factory()
        self._protocols.add(protocol)
        begin = protocol.connection_made

        def connection_made(transport: asyncio.Transport) -> None:
            # The protocol of a connection that was accepted during the shutdown is
            # created after it, and nothing else would close it.
            begin(transport)
            if self._ended:
                protocol.connection.close()

        protocol.connection_made = connection_made
        return protocol

    def close_connections(self) -> None:
        """Close all connections, and those that are being accepted."""
        self._ended = True
        for protocol in list(self._protocols):
            if hasattr(protocol, "connection"):
                protocol.connection.close()


class RpcServer:
    """A server of calls between the system's own processes.

    Args:
        services: Answer the messages.
        address: ``host:port`` to listen on; port 0 lets the kernel choose.
    """

    def __init__(self, services: list[Any], address: str) -> None:
        self._server = _Server(services)
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
        await self._server.start(sock=self._listener)

    async def close(self) -> None:
        """Stop listening and end all calls."""
        self._server.close()
        self._server.close_connections()
        await self._server.wait_closed()
