"""Stand-in of the network: a TCP forwarder that cuts, delays and silences links."""

from __future__ import annotations

import contextlib
import enum
import functools
import socket
import struct
from collections.abc import Sequence

import anyio
import anyio.abc
import attrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route as HttpRoute

from .serving import LOCALHOST, build_parser, serve_app

CHUNK_BYTES = 65_536

CHECK_SECONDS = 0.002
"""Time between two looks whether all connections are reset."""

RESET = struct.pack("ii", 1, 0)
"""Linger option that makes `close` send a reset, which loses unsent bytes."""


class Mode(enum.Enum):
    """What becomes of a route's connections and bytes.

    `HOLD_UP` and `HOLD_DOWN` hold one way (from, or to, the one who connects) and
    `HOLD` both; held bytes arrive late, when the route passes again, as bytes do
    that TCP repeats. `CUT` resets what is open and refuses new connections.
    """

    PASS = "pass"
    CUT = "cut"
    HOLD = "hold"
    HOLD_UP = "hold_up"
    HOLD_DOWN = "hold_down"


HOLDING_UP = (Mode.HOLD, Mode.HOLD_UP)
HOLDING_DOWN = (Mode.HOLD, Mode.HOLD_DOWN)


@attrs.define(eq=False)
class Connection:
    """One forwarded connection; a frozen one stays silent for good."""

    near: anyio.abc.SocketStream
    scope: anyio.CancelScope
    frozen: bool = False
    complete: bool = False


class Route:
    """One listening port and the address to which it forwards.

    A socket that is bound but doesn't listen holds the port while the route is
    cut: connections are refused, and no other process is given the port.
    """

    def __init__(self, name: str, target: str, group: anyio.abc.TaskGroup) -> None:
        self.name = name
        self.target = target
        self.mode = Mode.PASS
        self.delay = 0.0
        self._group = group
        self._changed = anyio.Event()
        self._connections: set[Connection] = set()
        self._listening: anyio.CancelScope | None = None
        self._closed = anyio.Event()
        self._holder = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._holder.bind((LOCALHOST, 0))
        self.port = self._holder.getsockname()[1]

    async def listen(self) -> None:
        """Open the listening socket and accept in the background."""
        listener = await anyio.create_tcp_listener(
            local_host=LOCALHOST, local_port=self.port
        )
        self._listening = anyio.CancelScope()
        self._closed = anyio.Event()
        self._group.start_soon(self._accept, listener, self._listening)

    async def set(self, mode: Mode, delay: float) -> None:
        """Change what becomes of connections, open ones and new ones."""
        previous, self.mode, self.delay = self.mode, mode, delay
        if mode is Mode.CUT:
            if previous is not Mode.CUT:
                self._listening.cancel()
                await self._closed.wait()
            await self.reset()
        elif previous is Mode.CUT:
            await self.listen()
        self._changed.set()
        self._changed = anyio.Event()

    def freeze(self) -> None:
        """Silence the connections open now, for good; new ones work."""
        for connection in self._connections:
            connection.frozen = True

    async def reset(self) -> None:
        """Reset the connections open now, and wait until that is done."""
        resetting = set(self._connections)
        for connection in resetting:
            connection.scope.cancel()
        while resetting & self._connections:
            await anyio.sleep(CHECK_SECONDS)

    async def _accept(
        self, listener: anyio.abc.Listener, scope: anyio.CancelScope
    ) -> None:
        with scope:
            async with listener:
                await listener.serve(self._forward, self._group)
        self._closed.set()

    async def _forward(self, near: anyio.abc.SocketStream) -> None:
        connection = Connection(near, anyio.CancelScope())
        self._connections.add(connection)
        try:
            with connection.scope:
                await self._connect(connection)
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass  # Either end has gone; the reset below tells the other.
        except BaseExceptionGroup as group:
            gone = (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError)
            if group.split(gone)[1] is not None:
                raise
        finally:
            await _close(near, connection.complete)
            self._connections.discard(connection)

    async def _connect(self, connection: Connection) -> None:
        host, _, port = self.target.rpartition(":")
        await self._pass_gate(connection, HOLDING_UP)
        far = await anyio.connect_tcp(host, int(port))
        try:
            async with anyio.create_task_group() as group:
                pump = functools.partial(self._pump, connection)
                group.start_soon(pump, connection.near, far, HOLDING_UP)
                group.start_soon(pump, far, connection.near, HOLDING_DOWN)
            connection.complete = True
        finally:
            await _close(far, connection.complete)

    async def _pump(
        self,
        connection: Connection,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
        holding: tuple[Mode, ...],
    ) -> None:
        while True:
            try:
                data = await source.receive(CHUNK_BYTES)
            except anyio.EndOfStream:
                data = b""
            await self._pass_gate(connection, holding)
            if self.delay:
                await anyio.sleep(self.delay)
            if not data:
                await sink.send_eof()
                return
            await sink.send(data)

    async def _pass_gate(
        self, connection: Connection, holding: tuple[Mode, ...]
    ) -> None:
        """Wait while the route holds this direction."""
        if connection.frozen:
            await anyio.sleep_forever()
        while self.mode in holding:
            await self._changed.wait()


async def _close(stream: anyio.abc.SocketStream, complete: bool) -> None:
    """Close after both ends have ended their side, else send a reset.

    An orderly close would end the stream before the reset, and the other end
    could take what it has so far for the whole.
    """
    if complete:
        await stream.aclose()
        return
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    with contextlib.suppress(OSError):  # Closed already.
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    # Its public `aclose` always ends the stream in order first.
    stream._transport.abort()


class ProxyStandin:
    """Many routes in one process, and their control over HTTP."""

    def __init__(self) -> None:
        self.routes: dict[str, Route] = {}
        self._group: anyio.abc.TaskGroup | None = None

    async def serve(self, port: int) -> None:
        """Serve until the process is ended."""
        app = Starlette(
            routes=[
                HttpRoute("/routes", self._add_route, methods=["POST"]),
                HttpRoute("/faults", self._set_faults, methods=["POST"]),
            ]
        )
        async with anyio.create_task_group() as self._group:
            await serve_app(app, port)

    async def _add_route(self, request: Request) -> Response:
        """Add a route, or give one of this name another target."""
        body = await request.json()
        route = self.routes.get(body["name"])
        if route is None:
            route = Route(body["name"], body["target"], self._group)
            await route.listen()
            self.routes[route.name] = route
        route.target = body["target"]
        return JSONResponse({"port": route.port})

    async def _set_faults(self, request: Request) -> Response:
        """Set the mode and delay of routes; freeze or reset what is open."""
        body = await request.json()
        mode = Mode(body.get("mode", Mode.PASS.value))
        for name in body["routes"]:
            route = self.routes[name]
            await route.set(mode, body.get("delay", 0.0))
            if body.get("freeze"):
                route.freeze()
            if body.get("reset"):
                await route.reset()
        return Response()


def main(argv: Sequence[str] | None = None) -> None:
    """Run the proxy."""
    arguments = build_parser(__doc__).parse_args(argv)
    anyio.run(ProxyStandin().serve, arguments.port)


if __name__ == "__main__":
    main()
