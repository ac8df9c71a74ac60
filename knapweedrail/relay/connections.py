"""HTTP/1.1 connections to runners, one request at a time each, and their pool.

``httpx`` reports neither whether any byte of a request was written nor whether
unexpected bytes followed an answer. A call that may run at most once needs the first.
The second matters because the surplus answer of a runner that answers twice would be
taken for the answer to the next request. So ``h11``, the parser under ``httpx``, is
used directly.
"""

from __future__ import annotations

import contextlib
import select
import socket
import struct
import time
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import anyio.lowlevel
import attrs
import h11

from ..listeners import set_buffers
from .keepalive import set_timeouts
from .models import Framing, RunnerIncarnation

RECEIVE_BYTES = 65_536
"""Maximum size of one read."""

SEND_BYTES = 262_144
"""Maximum size of one write. Parser and transport each copy what is written, so a long
body would be in memory several times."""

CONNECT_SECONDS = 0.25
"""Connect timeout. A runner is at most a few milliseconds away, and a lost first packet
is retransmitted only after a second."""

HEADER_BYTES = 65_536
"""Maximum size of what a runner may send up to the end of its answer's head, including
informational responses, and of a chunk size line and of trailers."""

MAX_INFORMATIONAL_RESPONSES = 16
"""Maximum number of informational responses (1xx) before an answer."""

MAX_BODY_BYTES = 8 * 1_048_576
"""Maximum size of a body that is buffered whole. Legitimate ones are below 1 MiB."""

ANSWER_START = b"HTTP/"
"""Bytes with which each answer starts."""

PARTS_PER_TURN = 256
"""Parts of answers after which other tasks get a turn. One read may have 10,000 chunks
of one byte, which take 0.17 s to parse."""

MAX_STATUS = 599
"""Largest status code (RFC 9110, section 15)."""

BODILESS_STATUSES = (204, 304)
"""Status codes whose answers have no body."""

MAX_LOGGED_BYTES = 40
"""Number of bytes that are no HTTP in the description of a failure."""

MAX_DETAIL_LENGTH = 200
"""Maximum length of the description of a failure. The parser quotes a whole line that
it can't read, which may be as long as a head."""

IDLE_SECONDS = 4.0
"""Idle timeout of a pooled connection if the runner doesn't state one."""

IDLE_MARGIN_SECONDS = 1.0
"""How much earlier than the runner an idle connection is closed here. Keep-alive times
are stated in whole seconds, and a request that is sent while the runner closes the
connection may be lost."""

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_NO_RESET_ON_CLOSE = struct.pack("ii", 0, 0)
"""``struct linger`` with a zero timeout, with which the kernel resets the connection on
close, and its default."""


@attrs.frozen
class ConnectionFailed(Exception):
    """A connection failed.

    Attributes:
        peer: Address of the other end.
        step: Operation that failed.
        detail: Description of the failure.
        sent: Whether any byte of the request may have reached the peer.
        timed_out: Whether the peer didn't respond at all, not even with a reset.
        tried: Whether anyone tried to connect to the peer, so that the failure may be
            its own.
        not_http: Whether the peer sent bytes that are no HTTP where an answer starts.
    """

    peer: str
    step: str
    detail: str
    sent: bool
    timed_out: bool = False
    tried: bool = True
    not_http: bool = False


class RunnerConnection:
    """One connection to a runner.

    Args:
        stream: The open connection.
        address: Address of the runner.

    Attributes:
        idle_since: Monotonic time at which it was returned to the pool, seconds.
        idle_seconds: How long it may stay idle in the pool.
        sent: Whether any byte of the current request may have been sent.
        framing: What marks the end of the current answer, once its head has arrived.
    """

    def __init__(self, stream: anyio.abc.SocketStream, address: str) -> None:
        self.address = address
        self.idle_since = 0.0
        self.idle_seconds = IDLE_SECONDS
        self.sent = False
        self.framing = Framing.LENGTH
        self._method = ""
        self._stream = stream
        self._parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=HEADER_BYTES
        )
        self._unsent_bytes = 0
        self._head_bytes_left = 0
        self._part_count = 0

    async def send(
        self,
        method: str,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        """Send a complete request.

        Raises:
            ConnectionFailed: If the connection breaks; part of the request may have
                arrived.
        """
        self._method = method
        request = h11.Request(method=method, target=target, headers=headers)
        data = self._parser.send(request)
        self.sent = True
        self._unsent_bytes = len(data) + len(body)
        for start in range(0, len(body), SEND_BYTES):
            end = start + SEND_BYTES
            data += self._parser.send(h11.Data(data=body[start:end]))
            if end < len(body):
                await self._write(data)
                data = b""
        data += self._parser.send(h11.EndOfMessage())
        await self._write(data)
        self._unsent_bytes = 0

    async def _write(self, data: bytes) -> None:
        try:
            await self._stream.send(data)
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise self._make_error("send", error) from error

    async def receive_head(self) -> h11.Response:
        """Receive the status line and headers of the answer.

        Raises:
            ConnectionFailed: If the connection ends or the peer sends something else,
                such as an invalid status code, or more than `HEADER_BYTES` or
                `MAX_INFORMATIONAL_RESPONSES`.
        """
        self._head_bytes_left = HEADER_BYTES
        for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
            event = await self._next_event("answer", self._receive_head_bytes)
            if isinstance(event, h11.Response):
                if event.status_code > MAX_STATUS:
                    raise self._make_error("answer", f"status {event.status_code}")
                self.framing = _find_framing(self._method, event)
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise self._make_error("answer", f"unexpected {type(event).__name__}")
        detail = f"more than {MAX_INFORMATIONAL_RESPONSES} informational responses"
        raise self._make_error("answer", detail)

    async def receive_chunk(self) -> bytes:
        """Return the next part of the answer's body; empty at its end.

        Raises:
            ConnectionFailed: If the connection ends before the body is complete. The
                body of an answer without a length or chunks ends with the connection.
        """
        event = await self._next_event("body", self._receive_body_bytes)
        if isinstance(event, h11.EndOfMessage):
            return b""
        if not isinstance(event, h11.Data):
            raise self._make_error("body", f"unexpected {type(event).__name__}")
        return bytes(event.data)

    async def receive_body(self, reserve: Callable[[int], None] | None = None) -> bytes:
        """Return the answer's complete body.

        Args:
            reserve: Called with the size of each part before it is kept.

        Raises:
            ConnectionFailed: As in `receive_chunk`, or if the body is longer than
                `MAX_BODY_BYTES`.
        """
        body = bytearray()
        while chunk := await self.receive_chunk():
            if reserve is not None:
                reserve(len(chunk))
            body += chunk
            if len(body) > MAX_BODY_BYTES:
                detail = f"a body of more than {MAX_BODY_BYTES} bytes"
                raise self._make_error("body", detail)
        return bytes(body)

    def finish(self) -> bool:
        """Finish an exchange; return whether the connection can be reused.

        It can't if the runner asks to close it, the request wasn't sent completely, or
        surplus bytes followed the answer.
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
        """Return whether no data or end of stream came since the last exchange."""
        raw = self._stream.extra(anyio.abc.SocketAttribute.raw_socket)
        poll = select.poll()
        poll.register(raw.fileno(), select.POLLIN | select.POLLHUP | select.POLLERR)
        return not poll.poll(0)

    async def close(self) -> None:
        """Reset the connection, so that the runner drops the work it was doing for it.

        After an orderly close, bytes held up by a network partition stay in the
        kernel's send buffer. They arrive when the partition heals, seconds after the
        caller has disconnected, and the runner processes an abandoned request. A reset
        discards them.
        """
        await reset_stream(self._stream)

    async def _next_event(
        self, step: str, receive: Callable[[], Awaitable[bytes]]
    ) -> object:
        self._part_count += 1
        if self._part_count % PARTS_PER_TURN == 0:
            # A cancellation must not lose a part, so this precedes the parsing.
            await anyio.lowlevel.checkpoint()
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                raise self._make_error(step, error) from error
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await receive()
            except anyio.EndOfStream:
                data = b""
            except (OSError, anyio.BrokenResourceError) as error:
                raise self._make_error(step, error) from error
            self._parser.receive_data(data)

    async def _receive_head_bytes(self) -> bytes:
        if not self._head_bytes_left:
            raise self._make_error("answer", f"no head within {HEADER_BYTES} bytes")
        data = await self._stream.receive(self._head_bytes_left)
        is_start = self._head_bytes_left == HEADER_BYTES
        if is_start and data[: len(ANSWER_START)] != ANSWER_START[: len(data)]:
            # The parser would wait for the end of a head until the timeout.
            error = self._make_error("answer", f"no HTTP: {data[:MAX_LOGGED_BYTES]!r}")
            raise attrs.evolve(error, not_http=True)
        self._head_bytes_left -= len(data)
        return data

    async def _receive_body_bytes(self) -> bytes:
        return await self._stream.receive(RECEIVE_BYTES)

    def _make_error(self, step: str, error: object) -> ConnectionFailed:
        detail = repr(error)[:MAX_DETAIL_LENGTH]
        return ConnectionFailed(self.address, step, detail, self.sent)


def _find_framing(method: str, head: h11.Response) -> Framing:
    """Return what marks the end of an answer."""
    if method == "HEAD" or head.status_code in BODILESS_STATUSES:
        return Framing.LENGTH
    names = {name for name, _ in head.headers}
    if b"transfer-encoding" in names:
        return Framing.CHUNKS
    return Framing.LENGTH if b"content-length" in names else Framing.CONNECTION


def set_reset_on_close(stream: anyio.abc.SocketStream, reset: bool) -> None:
    """Set whether the kernel resets a connection when it is closed.

    That includes the end of the process, whatever ends it.
    """
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    linger = _RESET_ON_CLOSE if reset else _NO_RESET_ON_CLOSE
    with contextlib.suppress(OSError):
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


async def reset_stream(stream: anyio.abc.SocketStream) -> None:
    """Reset a connection and discard all bytes that are still to be sent."""
    set_reset_on_close(stream, True)
    with anyio.CancelScope(shield=True):
        await anyio.aclose_forcefully(stream)


async def open_stream(
    address: str, timeout: float = CONNECT_SECONDS
) -> anyio.abc.SocketStream:
    """Open a connection whose peer is monitored by the kernel.

    Raises:
        ConnectionFailed: If there is no connection within ``timeout`` seconds; nothing
            was sent.
    """
    host, _, port = address.rpartition(":")
    try:
        with anyio.fail_after(timeout):
            stream = await anyio.connect_tcp(host, int(port))
    except (OSError, TimeoutError, ValueError) as error:
        timed_out = isinstance(error, TimeoutError)
        raise ConnectionFailed(
            address, "connect", repr(error), False, timed_out
        ) from error
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    set_timeouts(raw)
    set_buffers(raw)
    return stream


RecordConnectTime = Callable[[float, float], None]
"""Callback for the duration of a connection attempt, seconds, and the monotonic time at
its end."""


class Connector(ABC):
    """Opens connections to runners."""

    @abstractmethod
    def may_reuse(self, runner: RunnerIncarnation) -> bool:
        """Return whether idle connections to a runner may still work."""

    @abstractmethod
    async def connect(
        self,
        runner: RunnerIncarnation,
        address: str,
        record_connect_time: RecordConnectTime,
    ) -> RunnerConnection:
        """Connect to a runner.

        Raises:
            ConnectionFailed: If there is no connection; nothing was sent.
        """


class ConnectionPool:
    """Idle connections to runners, by incarnation.

    The most recently used connection is reused first. It is the least likely to have
    been closed by the runner or forgotten by a device on the path, and the others can
    reach their idle timeout.

    Args:
        connector: Opens new connections.

    Attributes:
        open_counts: Number of open connections, idle or in use, by incarnation.
    """

    def __init__(self, connector: Connector) -> None:
        self._connector = connector
        self._idle: dict[RunnerIncarnation, list[RunnerConnection]] = {}
        self.open_counts: dict[RunnerIncarnation, int] = {}

    async def acquire(
        self,
        runner: RunnerIncarnation,
        address: str,
        now: float,
        record_connect_time: RecordConnectTime,
    ) -> RunnerConnection:
        """Return a connection to a runner, reusing an idle one if possible.

        Args:
            record_connect_time: Called with the duration of a new connection, or of an
                attempt that timed out.

        Raises:
            ConnectionFailed: If no idle connection is usable and a new one fails.
        """
        idle = self._idle.get(runner, [])
        while idle and self._connector.may_reuse(runner):
            connection = idle.pop()
            fresh = now - connection.idle_since < connection.idle_seconds
            same_address = connection.address == address
            if same_address and fresh and connection.is_idle():
                return connection
            await self.discard(runner, connection)
        self.open_counts[runner] = self.open_counts.get(runner, 0) + 1
        try:
            return await self._connector.connect(runner, address, record_connect_time)
        except BaseException:
            self._count_closed(runner)
            raise

    async def open_idle(self, runner: RunnerIncarnation, address: str) -> None:
        """Open a connection and keep it for the next request.

        Raises:
            ConnectionFailed: If there is no connection.
        """
        self.open_counts[runner] = self.open_counts.get(runner, 0) + 1
        try:
            connection = await self._connector.connect(
                runner, address, ignore_connect_time
            )
        except BaseException:
            self._count_closed(runner)
            raise
        self.release(runner, connection, None, time.monotonic())

    def release(
        self,
        runner: RunnerIncarnation,
        connection: RunnerConnection,
        idle_seconds: float | None,
        now: float,
    ) -> None:
        """Return a connection to the pool for the next request.

        Args:
            idle_seconds: Idle timeout that the runner states, if any.
        """
        if idle_seconds is not None:
            margin = min(IDLE_MARGIN_SECONDS, idle_seconds / 2)
            connection.idle_seconds = idle_seconds - margin
        connection.idle_since = now
        self._idle.setdefault(runner, []).append(connection)

    async def discard(
        self, runner: RunnerIncarnation, connection: RunnerConnection
    ) -> None:
        """Close a connection that can't be reused."""
        self._count_closed(runner)
        await connection.close()

    async def prune(self, now: float, known: set[RunnerIncarnation]) -> None:
        """Close connections past their idle timeout or whose runner is unknown."""
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
            # Closing yields to other tasks, which may acquire and release connections.
            for connection in expired:
                await self.discard(runner, connection)

    async def close(self) -> None:
        """Close all idle connections."""
        await self.prune(float("inf"), set())

    def _count_closed(self, runner: RunnerIncarnation) -> None:
        remaining = self.open_counts.get(runner, 1) - 1
        if remaining > 0:
            self.open_counts[runner] = remaining
        else:
            self.open_counts.pop(runner, None)


def ignore_connect_time(seconds: float, now: float) -> None:
    """Ignore how long a connection took."""
