"""Listening sockets, opened apart from the servers that answer on them.

Imports next to nothing, so that a process can listen before it has read its libraries.
"""

from __future__ import annotations

import socket

from .addresses import split_address

BACKLOG = 1024
"""Connections that wait to be accepted, for the burst when a balancer moves all
callers of a replaced host here at once."""

ACCEPT_BATCH = 16
"""Connections that a server accepts in one turn of the event loop, before they are
accounted for. The loop takes it from the length of the kernel's queue, which is
therefore raised again once the server listens."""

RECEIVE_BUFFER_BYTES = 32_768
SEND_BUFFER_BYTES = 131_072
"""What the kernel buffers of one connection in each direction. By default its buffers
grow to several megabytes for a peer that sends much or reads nothing."""


def set_buffers(connection: socket.socket) -> None:
    """Bound the kernel's buffers of a connection, or of all that a listener accepts."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)


def open_listener(address: str) -> socket.socket:
    """Listen on an address.

    Args:
        address: ``host:port``; port 0 lets the kernel choose.

    Raises:
        OSError: If the address can't be bound.
    """
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted sockets inherit it. The event loop sets it only on sockets that
        # name their protocol, which those accepted here don't: a token would then
        # wait up to 40 ms for the acknowledgement of the one before.
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        set_buffers(listener)
        listener.bind((host, port))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener
