"""Bounds on the answers of runners that a router is receiving.

A faulty runner may send bytes without end. Each answer has a bound, and all answers of
a router have one together.
"""

from __future__ import annotations

import math
from collections.abc import AsyncIterator

import httpx

MAX_BODY_BYTES = 8 * 1_048_576
"""Largest body of an answer that is kept whole."""

MAX_EVENT_BYTES = 1_048_576
"""Largest event of a stream."""

MAX_RECEIVED_BYTES = 32 * 1_048_576
"""Most bytes of all answers and events of a router that aren't complete, together."""


class AnswerMemory:
    """Accounts for the bytes of all answers that aren't complete.

    Args:
        limit_bytes: Most bytes of all together.

    Attributes:
        held_bytes: Bytes that are accounted for.
    """

    def __init__(self, limit_bytes: float = math.inf) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0

    def reserve(self, size: int) -> bool:
        """Account for further bytes if there is room; return whether there is."""
        if self.held_bytes + size > self.limit_bytes:
            return False
        self.held_bytes += size
        return True

    def release(self, size: int) -> None:
        """Release bytes of an answer that is complete or given up."""
        self.held_bytes -= size


class LimitedStream(httpx.AsyncByteStream):
    """The body of an answer, which breaks off when it exceeds a bound.

    Args:
        stream: The body.
        memory: Accounts for the bytes since the last `restart`.

    Attributes:
        max_bytes: Most bytes since the last `restart`.
    """

    def __init__(self, stream: httpx.AsyncByteStream, memory: AnswerMemory) -> None:
        self.max_bytes = MAX_BODY_BYTES
        self._stream = stream
        self._memory = memory
        self._held_bytes = 0

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body.

        Raises:
            httpx.RemoteProtocolError: If the body exceeds a bound.
        """
        async for part in self._stream:
            size = len(part)
            if self._held_bytes + size > self.max_bytes:
                raise httpx.RemoteProtocolError(f"more than {self.max_bytes} bytes")
            if not self._memory.reserve(size):
                raise httpx.RemoteProtocolError("no memory for the answer")
            self._held_bytes += size
            yield part

    def restart(self) -> None:
        """Count from here, as everything so far has been taken."""
        self._memory.release(self._held_bytes)
        self._held_bytes = 0

    async def aclose(self) -> None:
        self.restart()
        await self._stream.aclose()


def limit_body(response: httpx.Response, memory: AnswerMemory) -> None:
    """Limit the body of an answer that hasn't been read."""
    assert isinstance(response.stream, httpx.AsyncByteStream)
    response.stream = LimitedStream(response.stream, memory)
