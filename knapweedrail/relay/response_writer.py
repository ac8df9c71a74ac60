"""Writing of the response to one caller."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from typing import Any

from ..ingress import Lease
from .codecs import Headers

MAX_WRITE_BYTES = 131_072
"""Maximum size of one write. The server waits before the next one while the caller's
connection buffers more than 64 KiB, so it never buffers more than 192 KiB and framing.
"""

Send = Callable[[dict[str, Any]], Awaitable[None]]


class ResponseWriter:
    """Sends the response to one request.

    Args:
        send: ASGI function of the server.
        should_close: Returns whether the caller's connection should be closed after
            the response; read when the headers are sent.
        lease: Accounts for answers that are kept whole; ``None`` if nothing does.

    Attributes:
        longest_gap: Longest time between two chunks of a stream, seconds; ``None``
            before the second chunk.
        first_byte_at: When the headers were sent, monotonic seconds; ``None`` before.
        complete: Whether the end of the response has been passed to the server.
    """

    def __init__(
        self,
        send: Send,
        should_close: Callable[[], bool],
        lease: Lease | None = None,
    ) -> None:
        self._send = send
        self._lease = lease
        self._should_close = should_close
        self._last_chunk_at = 0.0
        self.longest_gap: float | None = None
        self.first_byte_at: float | None = None
        self._closes_connection = False
        self.complete = False

    def close_connection_after(self) -> None:
        """Close the connection after this response."""
        self._closes_connection = True

    @property
    def started(self) -> bool:
        """Whether the headers of the response have been sent."""
        return self.first_byte_at is not None

    def reserve(self, size: int) -> None:
        """Account for bytes of an answer that is kept until it is complete.

        Raises:
            QuotaExceeded: If there is no memory for them.
        """
        if self._lease is not None:
            self._lease.reserve(size, time.monotonic())

    def release(self, size: int) -> None:
        """Release bytes that were reserved; the end of a response releases all."""
        if self._lease is not None and not self.complete:
            self._lease.release(size)

    async def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        length = (b"content-length", b"%d" % len(body))
        await self._start(status, [*headers, length])
        last = max(0, len(body) - 1) // MAX_WRITE_BYTES * MAX_WRITE_BYTES
        await self._write(memoryview(body)[:last])
        self.complete = True
        await self._send({"type": "http.response.body", "body": body[last:]})

    async def send_chunk(self, status: int, headers: Headers, data: bytes) -> None:
        """Send the next chunk of a stream, after the headers if it is the first."""
        now = time.monotonic()
        if self.started:
            gap = now - self._last_chunk_at
            self.longest_gap = max(gap, self.longest_gap or 0.0)
        else:
            await self._start(status, list(headers))
        self._last_chunk_at = now
        await self._write(data)

    async def end(self) -> None:
        """Send the end of a stream."""
        self.complete = True
        await self._send({"type": "http.response.body", "body": b""})

    async def _write(self, data: bytes | memoryview) -> None:
        """Send data that isn't the end of the response."""
        for start in range(0, len(data), MAX_WRITE_BYTES):
            part = bytes(data[start : start + MAX_WRITE_BYTES])
            await self._send(
                {"type": "http.response.body", "body": part, "more_body": True}
            )

    async def _start(self, status: int, headers: Headers) -> None:
        self.first_byte_at = time.monotonic()
        if self._closes_connection or self._should_close():
            headers = [*headers, (b"connection", b"close")]
        await self._send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
