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
from .sources import UNKNOWN_SOURCE, Sources

CHUNK_BYTES = 65_536

CHECK_SECONDS = 0.002
"""Time between two looks whether all connections are reset."""

RESET = struct.pack("ii", 1, 0)
"""Linger option that makes `close` send a reset, which loses unsent bytes."""

ANYONE = "*"
"""Source of a fault that meets every process's connections."""

GONE = (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError)


class Mode(enum.Enum):
    """What becomes of a link's connections and bytes.

    `HOLD_UP` and `HOLD_DOWN` hold one way (from, or to, the one who connects) and
    `HOLD` both; held bytes arrive late, when the link passes again, as bytes do
    that TCP repeats. `CUT` resets what is open; new connections are refused when
    it meets anyone, and reset at once when it meets single sources.
    """

    PASS = "pass"
    CUT = "cut"
    HOLD = "hold"
    HOLD_UP = "hold_up"
    HOLD_DOWN = "hold_down"


HOLDING_UP = (Mode.HOLD, Mode.HOLD_UP)
HOLDING_DOWN = (Mode.HOLD, Mode.HOLD_DOWN)


@attrs.frozen
class Fault:
    """State of one link; ``delay`` in seconds for each piece of data."""

    mode: Mode = Mode.PASS
    delay: float = 0.0


PASSING = Fault()


@attrs.define(eq=False)
class Connection:
    """One forwarded connection; a frozen one stays silent for good."""

    near: anyio.abc.SocketStream
    near_port: int
    source: str
    scope: anyio.CancelScope
    frozen: bool = False
    complete: bool = False


class Route:
    """One listening port and the address to which it forwards.

    A socket that is bound but doesn't listen holds the port while the route is
    cut: connections are refused, and no other process is given the port.
    """

    def __init__(
        self, name: str, target: str, sources: Sources, group: anyio.abc.TaskGroup
    ) -> None:
        self.name = name
        self.target = target
        self.connections: set[Connection] = set()
        self._sources = sources
        self._group = group
        self._faults: dict[str, Fault] = {}
        self._changed = anyio.Event()
        self._listening: anyio.CancelScope | None = None
        self._closed = anyio.Event()
        self._port_keeper = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._port_keeper.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._port_keeper.bind((LOCALHOST, 0))
        self.port = self._port_keeper.getsockname()[1]

    def get_fault(self, source: str) -> Fault:
        """Return the fault that a source meets."""
        return self._faults.get(source) or self._faults.get(ANYONE, PASSING)

    async def listen(self) -> None:
        """Open the listening socket and accept in the background."""
        listener = await anyio.create_tcp_listener(
            local_host=LOCALHOST, local_port=self.port
        )
        self._listening = anyio.CancelScope()
        self._closed = anyio.Event()
        self._group.start_soon(self._accept, listener, self._listening)

    async def set_fault(self, source: str, fault: Fault) -> None:
        """Change what a source meets; `ANYONE` replaces all that was set."""
        refused = self.get_fault(ANYONE).mode is Mode.CUT
        if source == ANYONE:
            self._faults.clear()
        self._faults[source] = fault
        refuses = self.get_fault(ANYONE).mode is Mode.CUT
        if refuses and not refused:
            self._listening.cancel()
            await self._closed.wait()
        if refused and not refuses:
            await self.listen()
        if fault.mode is Mode.CUT:
            await self.reset(source)
        self._changed.set()
        self._changed = anyio.Event()

    def list_connections(self, source: str) -> set[Connection]:
        """Return the open connections of a source."""
        return {c for c in self.connections if source in (ANYONE, c.source)}

    def name_unknown(self) -> None:
        """Look again for the processes that had no name when they connected."""
        for connection in self.connections:
            if connection.source == UNKNOWN_SOURCE:
                found = self._sources.find(connection.near_port, self.port)
                connection.source = found

    async def reset(self, source: str) -> None:
        """Reset the connections open now, and wait until that is done."""
        resetting = self.list_connections(source)
        for connection in resetting:
            connection.scope.cancel()
        while resetting & self.connections:
            await anyio.sleep(CHECK_SECONDS)

    async def _accept(
        self, listener: anyio.abc.Listener, scope: anyio.CancelScope
    ) -> None:
        with scope:
            async with listener:
                await listener.serve(self._forward, self._group)
        self._closed.set()

    async def _forward(self, near: anyio.abc.SocketStream) -> None:
        far_port = near.extra(anyio.abc.SocketAttribute.remote_port, 0)
        source = self._sources.find(far_port, self.port)
        connection = Connection(near, far_port, source, anyio.CancelScope())
        self.connections.add(connection)
        try:
            with connection.scope:
                await self._connect(connection)
        except GONE:
            pass  # Either end has gone; the reset below tells the other.
        except BaseExceptionGroup as group:
            if group.split(GONE)[1] is not None:
                raise
        finally:
            await _close(near, connection.complete)
            self.connections.discard(connection)

    async def _connect(self, connection: Connection) -> None:
        if self.get_fault(connection.source).mode is Mode.CUT:
            return
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
        origin: anyio.abc.SocketStream,
        target: anyio.abc.SocketStream,
        holding: tuple[Mode, ...],
    ) -> None:
        while True:
            try:
                data = await origin.receive(CHUNK_BYTES)
            except anyio.EndOfStream:
                data = b""
            await self._pass_gate(connection, holding)
            if not data:
                await target.send_eof()
                return
            await target.send(data)

    async def _pass_gate(
        self, connection: Connection, holding: tuple[Mode, ...]
    ) -> None:
        """Wait for the delay, and while the link holds this direction."""
        if connection.frozen:
            await anyio.sleep_forever()
        delay = self.get_fault(connection.source).delay
        if delay:
            await anyio.sleep(delay)
        while self.get_fault(connection.source).mode in holding:
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
        self.sources = Sources()
        self._group: anyio.abc.TaskGroup | None = None

    async def serve(self, port: int) -> None:
        """Serve until the process is ended."""
        app = Starlette(
            routes=[
                HttpRoute("/routes", self._add_route, methods=["POST"]),
                HttpRoute("/sources", self._add_sources, methods=["POST"]),
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
            route = Route(body["name"], body["target"], self.sources, self._group)
            await route.listen()
            self.routes[route.name] = route
        route.target = body["target"]
        return JSONResponse({"port": route.port})

    async def _add_sources(self, request: Request) -> Response:
        """Take names of processes with their ids."""
        for name, process in (await request.json()).items():
            self.sources.set(name, process)
        for route in self.routes.values():
            route.name_unknown()
        return Response()

    async def _set_faults(self, request: Request) -> Response:
        """Set mode and delay of links; freeze or reset what is open on them."""
        body = await request.json()
        fault = Fault(Mode(body.get("mode", Mode.PASS.value)), body.get("delay", 0.0))
        for name in body["routes"]:
            route = self.routes[name]
            for source in body.get("sources", [ANYONE]):
                await route.set_fault(source, fault)
                for connection in route.list_connections(source):
                    connection.frozen |= body.get("freeze", False)
                if body.get("reset"):
                    await route.reset(source)
        return Response()


def main(argv: Sequence[str] | None = None) -> None:
    """Run the proxy."""
    arguments = build_parser(__doc__).parse_args(argv)
    anyio.run(ProxyStandin().serve, arguments.port)


if __name__ == "__main__":
    main()
