"""Times after which the kernel ends a connection whose peer acknowledges nothing."""

from __future__ import annotations

import socket

UNACKNOWLEDGED_MILLISECONDS = 1200
"""How long written bytes may stay unacknowledged before the kernel gives the
connection up; two repetitions of a lost packet fit in."""

KEEPALIVE_SECONDS = 1
"""Pause before and between the kernel's probes of a quiet connection."""

KEEPALIVE_PROBES = 2
"""Probes unanswered before the kernel ends the connection: a peer without power, or
one whose path has lost track of the connection, is known within three seconds."""

SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MILLISECONDS),
)
"""Level, option and value of each."""


def set_timeouts(raw: socket.socket) -> None:
    """Let the kernel end a connection whose peer no longer acknowledges anything.

    A peer without power, or behind a cut, answers nothing, and a connection that some
    device on the path has forgotten looks like a quiet one: reads would wait for ever.
    """
    for level, option, value in SOCKET_OPTIONS:
        raw.setsockopt(level, option, value)
