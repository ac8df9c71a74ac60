"""Connections to runners, one request at a time on each, and a pool of them.

``httpx`` tells neither whether a byte of a request was written nor whether bytes
followed an answer that nobody asked for. A call that may run once needs the first,
and a runner that answers twice makes the second matter: its spare answer would be
taken for the answer to the next request. So the parser that ``httpx`` is built on,
``h11``, is used directly.
"""

from __future__ import annotations

import contextlib
import select
import socket
import struct
import time
from collections.abc import AsyncIterator, Callable

import anyio
import anyio.abc
import attrs
import h11

from .keepalive import set_timeouts
from .models import RunnerLife

RECEIVE_BYTES = 65_536
"""Most bytes of one read."""

CONNECT_SECONDS = 0.25
"""Longest wait for a connection: a runner is a few milliseconds away at the most, and
the first packet that is lost is sent again only after a second."""

HEADER_BYTES = 65_536
"""Largest status line and headers that a runner may send."""

IDLE_SECONDS = 4.0
"""Longest time that a connection is kept unused if the runner doesn't say."""

IDLE_MARGIN_SECONDS = 1.0
"""How much sooner than the runner a quiet connection is closed here. Keep-alive times
are told in whole seconds, and a request sent as the runner closes may be lost."""


_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Linger on close for no time at all: the kernel then resets the connection."""


@attrs.frozen
class ConnectionFailed(Exception):
    """A connection that failed.

    Attributes:
        peer: Address of the other end.
        step: What was being done.
        detail: What was seen.
        sent: Whether any byte of the request may have reached the peer.
        silent: Whether the peer said nothing at all, not even that it is closed.
    """

    peer: str
    step: str
    detail: str
    sent: bool
    silent: bool = False


class RunnerConnection:
    """One connection to a runner.

    Args:
        stream: The open connection.
        address: Address of the runner.
    """

    def __init__(self, stream: anyio.abc.SocketStream, address: str) -> None:
        self.address = address
        self.idle_since = 0.0
        self.idle_seconds = IDLE_SECONDS
        self.sent = False
        self._stream = stream
        self._parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=HEADER_BYTES
        )
        self._unsent_bytes = 0

    async def send(
        self,
        method: str,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        """Send a whole request.

        Raises:
            ConnectionFailed: If the connection breaks; part of the request may have
                arrived.
        """
        request = h11.Request(method=method, target=target, headers=headers)
        data = self._parser.send(request)
        if body:
            data += self._parser.send(h11.Data(data=body))
        data += self._parser.send(h11.EndOfMessage())
        self.sent = True
        self._unsent_bytes = len(data)
        try:
            await self._stream.send(data)
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise self._make_error("send", error) from error
        self._unsent_bytes = 0

    async def receive_head(self) -> h11.Response:
        """Wait for the status and headers of the answer.

        Raises:
            ConnectionFailed: If the connection ends, or other bytes come.
        """
        while True:
            event = await self._next_event("answer")
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise self._make_error("answer", f"unexpected {type(event).__name__}")

    async def receive_body(self) -> AsyncIterator[bytes]:
        """Yield the answer's body as it arrives, until its end.

        Raises:
            ConnectionFailed: If it ends before it is complete.
        """
        while True:
            event = await self._next_event("body")
            if isinstance(event, h11.EndOfMessage):
                return
            if not isinstance(event, h11.Data):
                raise self._make_error("body", f"unexpected {type(event).__name__}")
            yield bytes(event.data)

    def finish(self) -> bool:
        """End an exchange; return whether the connection may carry another.

        It may not when the runner says so, when the request isn't all sent, or when
        bytes have come that belong to no request.
        """
        if self._unsent_bytes or self._parser.trailing_data[0]:
            return False
        if self._parser.our_state is not h11.DONE:
            return False
        if self._parser.their_state is not h11.DONE:
            return False
        self._parser.start_next_cycle()
        self.sent = False
        return True

    def is_idle(self) -> bool:
        """Return whether nothing has come since the last exchange, its end included."""
        raw = self._stream.extra(anyio.abc.SocketAttribute.raw_socket)
        poll = select.poll()
        poll.register(raw.fileno(), select.POLLIN | select.POLLHUP | select.POLLERR)
        return not poll.poll(0)

    async def close(self) -> None:
        """Reset the connection; a runner drops the work that it was doing for it.

        What goes wrong with an orderly close: bytes that a cut holds up stay with the
        kernel and arrive when it heals, seconds after the caller has left, and the
        runner runs what nobody waits for. A reset discards them.
        """
        raw = self._stream.extra(anyio.abc.SocketAttribute.raw_socket)
        with contextlib.suppress(OSError):
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self._stream)

    async def _next_event(self, step: str) -> object:
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                raise self._make_error(step, error) from error
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self._stream.receive(RECEIVE_BYTES)
            except anyio.EndOfStream:
                data = b""
            except (OSError, anyio.BrokenResourceError) as error:
                raise self._make_error(step, error) from error
            self._parser.receive_data(data)

    def _make_error(self, step: str, error: object) -> ConnectionFailed:
        return ConnectionFailed(self.address, step, repr(error), self.sent)


async def open_connection(address: str) -> RunnerConnection:
    """Connect to a runner.

    Raises:
        ConnectionFailed: If there is no connection in time; nothing was sent.
    """
    host, _, port = address.rpartition(":")
    try:
        with anyio.fail_after(CONNECT_SECONDS):
            stream = await anyio.connect_tcp(host, int(port))
    except (OSError, TimeoutError, ValueError) as error:
        silent = isinstance(error, TimeoutError)
        raise ConnectionFailed(
            address, "connect", repr(error), False, silent
        ) from error
    set_timeouts(stream.extra(anyio.abc.SocketAttribute.raw_socket))
    return RunnerConnection(stream, address)


RecordConnectTime = Callable[[float, float], None]
"""Takes the seconds that a connection took, and the time."""


class ConnectionPool:
    """Idle connections to runners, by the life of the runner they lead to.

    The connection used last goes out first: it is the least likely to have been
    closed or forgotten on the path meanwhile, and the others reach their idle time.
    """

    def __init__(self) -> None:
        self._idle: dict[RunnerLife, list[RunnerConnection]] = {}
        self.open: dict[RunnerLife, int] = {}

    async def take(
        self,
        runner: RunnerLife,
        address: str,
        now: float,
        record_connect_time: RecordConnectTime,
    ) -> RunnerConnection:
        """Return a connection to a runner, a kept one if one is still good.

        Args:
            note: Takes how long a new one took, or was waited for in vain.

        Raises:
            ConnectionFailed: If there is none, and none can be made.
        """
        idle = self._idle.get(runner, [])
        while idle:
            connection = idle.pop()
            fresh = now - connection.idle_since < connection.idle_seconds
            same_address = connection.address == address
            if same_address and fresh and connection.is_idle():
                return connection
            await self.drop(runner, connection)
        self.open[runner] = self.open.get(runner, 0) + 1
        try:
            connection = await open_connection(address)
        except ConnectionFailed as error:
            if error.silent:
                record_connect_time(CONNECT_SECONDS, time.monotonic())
            self._count_closed(runner)
            raise
        except BaseException:
            self._count_closed(runner)
            raise
        ready_at = time.monotonic()
        record_connect_time(ready_at - now, ready_at)
        return connection

    def keep(
        self,
        runner: RunnerLife,
        connection: RunnerConnection,
        idle_seconds: float | None,
        now: float,
    ) -> None:
        """Keep a connection for the next request.

        Args:
            idle_seconds: How long the runner keeps it, if it says.
        """
        if idle_seconds is not None:
            margin = min(IDLE_MARGIN_SECONDS, idle_seconds / 2)
            connection.idle_seconds = idle_seconds - margin
        connection.idle_since = now
        self._idle.setdefault(runner, []).append(connection)

    async def drop(self, runner: RunnerLife, connection: RunnerConnection) -> None:
        """Close a connection that can't be used again."""
        self._count_closed(runner)
        await connection.close()

    async def prune(self, now: float, known: set[RunnerLife]) -> None:
        """Close connections that were idle for long, or whose runner is gone."""
        for runner in list(self._idle):
            expired = [
                connection
                for connection in self._idle[runner]
                if runner not in known
                or now - connection.idle_since >= connection.idle_seconds
            ]
            for connection in expired:
                self._idle[runner].remove(connection)
            if not self._idle[runner]:
                del self._idle[runner]
            # Closing lets other tasks run, which may take and keep connections.
            for connection in expired:
                await self.drop(runner, connection)

    async def close(self) -> None:
        """Close all idle connections."""
        await self.prune(float("inf"), set())

    def _count_closed(self, runner: RunnerLife) -> None:
        remaining = self.open.get(runner, 1) - 1
        if remaining > 0:
            self.open[runner] = remaining
        else:
            self.open.pop(runner, None)
