"""A minimal HTTP/1.1 server and client on asyncio streams.

Only the standard library is used, so that the stand-ins need no build.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random
import socket
from collections.abc import Awaitable, Callable


@dataclasses.dataclass
class Request:
    """One request as received.

    Attributes:
        headers: Values by name in lower case.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass
class Response:
    """A complete response.

    Attributes:
        chunks: Body, sent with a length if it is one chunk, otherwise in chunks.
    """

    status: int
    headers: dict[str, str]
    body: bytes = b""


Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[Response | None]]
"""Answers a request. Returns `None` if it has written the answer itself."""


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read a start line and headers.

    Raises:
        EOFError: If the connection ends first.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return first, headers


def encode_head(first: str, headers: dict[str, str]) -> bytes:
    """Return the bytes of a start line and headers."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


async def serve(handler: Handler, port: int = 0) -> asyncio.Server:
    """Serve requests on a loopback port until the server is closed."""

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                response = await handler(Request(method, target, headers, body), writer)
                if response is None:
                    continue
                head = {"Content-Length": str(len(response.body)), **response.headers}
                line = f"HTTP/1.1 {response.status} Status"
                writer.write(encode_head(line, head) + response.body)
                await writer.drain()
        except (EOFError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(handle, "127.0.0.1", port)


def get_port(server: asyncio.Server) -> int:
    """Return the port on which a server listens."""
    return server.sockets[0].getsockname()[1]


_PORT_BLOCKS = list(range(14_000, 30_000, 10))
random.SystemRandom().shuffle(_PORT_BLOCKS)


def find_free_ports(count: int) -> list[int]:
    """Return neighbouring free ports below the range of outgoing connections.

    No two calls return the same ports. At most ten can be asked for.
    """
    while _PORT_BLOCKS:
        first = _PORT_BLOCKS.pop()
        sockets = []
        try:
            for port in range(first, first + count):
                sockets.append(socket.create_server(("127.0.0.1", port)))
            return list(range(first, first + count))
        except OSError:
            continue
        finally:
            for one in sockets:
                one.close()
    raise OSError("no free ports")


@dataclasses.dataclass
class Exchange:
    """What a client has seen of one request.

    Attributes:
        status: Status of the answer; 0 if none came.
        complete: Whether the answer came to its end.
        sent_at: When the request was sent, monotonic seconds.
        ended_at: When the answer or the connection ended.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool
    sent_at: float
    ended_at: float


async def send_request(
    port: int,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    seconds: float = 20.0,
) -> Exchange:
    """Send one request on a connection of its own and read the whole answer."""
    clock = asyncio.get_running_loop().time
    sent_at = clock()
    found = Exchange(0, {}, b"", False, sent_at, sent_at)
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            if body or method == "POST":
                headers = {"Content-Length": str(len(body)), **headers}
            writer.write(encode_head(f"{method} {target} HTTP/1.1", headers) + body)
            first, found.headers = await read_head(reader)
            found.status = int(first.split(" ")[1])
            await _read_body(reader, found)
            found.complete = True
    except (EOFError, OSError, TimeoutError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.close()
    found.ended_at = clock()
    return found


async def _read_body(reader: asyncio.StreamReader, found: Exchange) -> None:
    if found.headers.get("transfer-encoding") != "chunked":
        length = int(found.headers.get("content-length", "0"))
        found.body = await reader.readexactly(length)
        return
    while True:
        size = int((await reader.readline()).strip(), 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        found.body += data[:-2]
