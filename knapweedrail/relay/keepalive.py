"""Socket options with which the kernel detects dead peers."""

from __future__ import annotations

import socket

UNACKNOWLEDGED_MILLISECONDS = 1200
"""How long sent data may stay unacknowledged before the kernel closes the connection:
enough for two retransmissions of a lost packet."""

KEEPALIVE_SECONDS = 1
"""Idle time before the first keep-alive probe, and interval between probes."""

KEEPALIVE_PROBES = 2
"""Unanswered probes after which the kernel closes the connection. A peer that lost
power, or a path that no longer tracks the connection, is detected within three
seconds."""

SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MILLISECONDS),
)
"""Level, name and value of each socket option."""


def set_timeouts(raw: socket.socket) -> None:
    """Set keep-alive probes and the timeout for unacknowledged data on a socket.

    A peer that lost power or is behind a network partition responds to nothing, and a
    connection whose state a device on the path has lost looks idle. Without these
    options, reads would block forever.
    """
    for level, option, value in SOCKET_OPTIONS:
        raw.setsockopt(level, option, value)
