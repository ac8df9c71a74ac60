"""Tunnels: connections to runners that one relay opens for another.

A relay that can't connect to a runner asks another one by the ``CONNECT`` method of
HTTP/1.1. The other relay connects to the runner and passes on bytes in both directions.
It decides nothing about the request: the first relay keeps its reservation, its limits
and its outcome. A tunnel carries one request and never leads through a third relay.
"""

from __future__ import annotations

from collections.abc import Callable

import anyio
import anyio.abc
import attrs
import h11

from .connections import (
    HEADER_BYTES,
    RECEIVE_BYTES,
    ConnectionFailed,
    RunnerConnection,
    open_stream,
    reset_stream,
)
from .models import Member, RunnerIncarnation

RUNNER_HEADER = b"x-runner"
STARTED_HEADER = b"x-runner-started"
"""Headers with the name and the start of the runner's incarnation."""

OPENED = 200
BAD_REQUEST = 400
UNKNOWN_RUNNER = 404
UNWANTED = 409
UNREACHABLE = 502
DECLINED = 503
"""Status codes of the answer to ``CONNECT``. `UNWANTED` says that the runner wants no
requests from the host of the other relay, `DECLINED` that this host doesn't."""

OPEN_SECONDS = 0.2
"""How long another relay may take to open a tunnel."""

STREAM_ERRORS = (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError)
"""Errors of a connection that broke or was closed."""


@attrs.frozen
class ConnectRequest:
    """What a ``CONNECT`` request asks for.

    Attributes:
        runner: Incarnation of the runner.
        address: Its address.
    """

    runner: RunnerIncarnation
    address: str


@attrs.frozen
class TunnelFailed:
    """A relay opened no tunnel.

    Attributes:
        peer: Its host.
        step: Operation that failed.
        detail: Description of the failure.
        status: Status of its answer; ``None`` if it didn't answer.
    """

    peer: str
    step: str
    detail: str
    status: int | None = None


class TunnelledConnection(RunnerConnection):
    """A connection to a runner through another relay, for one request.

    Args:
        stream: The connection to the other relay.
        address: Address of the runner.
        on_close: Called when the connection is closed.
    """

    def __init__(
        self,
        stream: anyio.abc.SocketStream,
        address: str,
        on_close: Callable[[], None],
    ) -> None:
        super().__init__(stream, address)
        self._on_close = on_close

    def finish(self) -> bool:
        return False

    async def close(self) -> None:
        self._on_close()
        await super().close()


async def open_tunnel(
    member: Member, request: ConnectRequest
) -> anyio.abc.SocketStream | TunnelFailed:
    """Ask another relay to connect to a runner.

    Returns:
        A connection on which the runner's bytes follow, or why there is none.
    """
    stream: anyio.abc.SocketStream | None = None
    status: int | None = None
    try:
        with anyio.fail_after(OPEN_SECONDS):
            stream = await open_stream(member.tunnel_address)
            status = await _exchange_connect(stream, request)
    except ConnectionFailed as error:
        return TunnelFailed(member.host, error.step, error.detail)
    except (
        TimeoutError,
        anyio.EndOfStream,
        h11.ProtocolError,
        *STREAM_ERRORS,
    ) as error:
        return TunnelFailed(member.host, "answer", repr(error))
    finally:
        if stream is not None and status != OPENED:
            await reset_stream(stream)
    if status != OPENED:
        return TunnelFailed(member.host, "open", f"status {status}", status)
    return stream


async def _exchange_connect(
    stream: anyio.abc.SocketStream, request: ConnectRequest
) -> int:
    """Send a ``CONNECT`` request and return the status of its answer."""
    parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEADER_BYTES)
    runner, address = request.runner, request.address
    headers = [
        (b"host", address.encode()),
        (RUNNER_HEADER, runner.name.encode()),
        (STARTED_HEADER, b"%d" % runner.started),
    ]
    head = h11.Request(method=b"CONNECT", target=address, headers=headers)
    await stream.send(parser.send(head) + parser.send(h11.EndOfMessage()))
    event = parser.next_event()
    while event is h11.NEED_DATA:
        parser.receive_data(await stream.receive(RECEIVE_BYTES))
        event = parser.next_event()
    if not isinstance(event, h11.Response):
        raise h11.RemoteProtocolError(f"unexpected {type(event).__name__}")
    if parser.trailing_data[0]:
        raise h11.RemoteProtocolError("bytes before any request")
    return event.status_code
