"""Bytes to and from a runner, with as little as possible done for each read.

What it saves: `anyio`'s stream takes its socket out of the kernel's list after each
read and puts it back before the next, two system calls an event of a stream beside the
one that reads. Here the socket stays listed until more waits than a slow caller has
room for. With `chunks` it took a request with a stream of 50 events from 25.7, 24.0
and 28.0 ms of processor time to 18.4, 19.8 and 20.5 ms (`knapweedrail-bench relays`,
the two in turn on a machine that had other work as well).
"""

from __future__ import annotations

import asyncio
import select
import socket

MOST_WAITING_BYTES = 65_536
"""Bytes not taken yet from which on no more are read: the kernel then holds up the
runner, whose caller is slow. One read may go beyond it, by a quarter of a megabyte."""


class RunnerStream(asyncio.Protocol):
    """The bytes of one connection; made by `connect`."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport
        self._waiting = bytearray()
        self._ended = False
        self._lost = False
        self._error: Exception | None = None
        self._paused = False
        self._blocked = False
        self._reader: asyncio.Future[None] | None = None
        self._writer: asyncio.Future[None] | None = None

    async def receive(self) -> bytes:
        """Wait for bytes and return all that are there; none at the end.

        Raises:
            OSError: If the connection broke, or was closed here.
        """
        while not self._waiting:
            if self._lost or self._transport.is_closing():
                raise self._error or ConnectionResetError("the connection is closed")
            if self._ended:
                return b""
            self._reader = asyncio.get_running_loop().create_future()
            try:
                await self._reader
            finally:
                self._reader = None
        data = bytes(self._waiting)
        self._waiting.clear()
        if self._paused:
            self._paused = False
            self._transport.resume_reading()
        return data

    async def send(self, data: bytes) -> None:
        """Write bytes; return when the kernel has taken them all.

        Raises:
            OSError: If the connection broke, or was closed here.
        """
        if not self._lost and not self._transport.is_closing():
            self._transport.write(data)
        while self._blocked and not self._lost:
            self._writer = asyncio.get_running_loop().create_future()
            try:
                await self._writer
            finally:
                self._writer = None
        if self._lost or self._transport.is_closing():
            raise self._error or ConnectionResetError("the connection is closed")

    @property
    def socket(self) -> socket.socket:
        """The socket, for its options; one that is closed refuses them."""
        return self._transport.get_extra_info("socket")

    def is_quiet(self) -> bool:
        """Return whether nothing has come that wasn't taken, the end included."""
        if self._waiting or self._ended or self._lost or self._transport.is_closing():
            return False
        # What came since the event loop looked last is still with the kernel.
        poll = select.poll()
        poll.register(
            self.socket.fileno(), select.POLLIN | select.POLLHUP | select.POLLERR
        )
        return not poll.poll(0)

    def abort(self) -> None:
        """Close at once; what isn't written yet is dropped."""
        self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(0)

    def data_received(self, data: bytes) -> None:
        self._waiting += data
        if len(self._waiting) > MOST_WAITING_BYTES and not self._paused:
            self._paused = True
            self._transport.pause_reading()
        _wake(self._reader)

    def eof_received(self) -> bool:
        self._ended = True
        _wake(self._reader)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self._lost, self._error = True, exc
        _wake(self._reader)
        _wake(self._writer)

    def pause_writing(self) -> None:
        self._blocked = True

    def resume_writing(self) -> None:
        self._blocked = False
        _wake(self._writer)


async def connect(host: str, port: int) -> RunnerStream:
    """Open a connection.

    Raises:
        OSError: If there is none.
    """
    loop = asyncio.get_running_loop()
    _, stream = await loop.create_connection(RunnerStream, host, port)
    return stream


def _wake(waiter: asyncio.Future[None] | None) -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)
