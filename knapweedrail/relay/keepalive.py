"""Socket options with which the kernel detects dead peers."""

from __future__ import annotations

import socket

STORE_TIMEOUT_MILLISECONDS = 1200
"""How long data sent to the store may stay unacknowledged before the kernel closes the
connection: enough for two retransmissions of a lost packet."""

RUNNER_TIMEOUT_MILLISECONDS = 1900
"""The same for runners and other relays. A sound runner may fall silent for somewhat
more than a second, and its streams go on afterwards. The kernel counts unanswered
keep-alive probes by this time too, so it has to end before the third one is due."""

KEEPALIVE_SECONDS = 1
"""Idle time before the first keep-alive probe, and interval between probes."""

KEEPALIVE_PROBES = 2
"""Unanswered probes after which the kernel closes the connection."""


def make_socket_options(timeout_milliseconds: int) -> list[tuple[int, int, int]]:
    """Return the level, name and value of each socket option.

    Args:
        timeout_milliseconds: How long sent data or a probe may stay unacknowledged.
    """
    return [
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_milliseconds),
    ]


def set_timeouts(raw: socket.socket) -> None:
    """Set keep-alive probes and the timeout for unacknowledged data on a socket.

    A peer that lost power or is behind a network partition responds to nothing, and a
    connection whose state a device on the path has lost looks idle. Without these
    options, reads would block forever.
    """
    for level, option, value in make_socket_options(RUNNER_TIMEOUT_MILLISECONDS):
        raw.setsockopt(level, option, value)
