"""HTTP servers of a router, on sockets of their own."""

from __future__ import annotations

import asyncio
import select
import socket
import time
from typing import Any

import anyio
import anyio.abc
import attrs
from hypercorn import protocol as library_protocol
from hypercorn.asyncio import run as library
from hypercorn.asyncio import serve
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.config import Config
from hypercorn.events import Closed, RawData, Updated
from hypercorn.protocol.h11 import H11Protocol

from .addresses import split_address
from .events import Event, log_event
from .exchanges import LEASE, Exchange
from .ingress import ClientKind, IngressQuota, Lease, QuotaExceeded
from .listeners import ACCEPT_BATCH, BACKLOG, open_listener

REQUESTS_PER_CONNECTION = 1_000_000
"""Load balancers reuse their connections, so there is no reason to close them."""

STEP_SECONDS = 0.05
"""Interval at which a closing server checks for answers in progress."""

QUIET_TURNS = 8
"""Turns of the event loop after which received data has reached the application; the
library takes four."""

MOST_TURNS = 100
"""Turns of the event loop after which a connection is closed in any case."""

RECEIVE_BYTES = 16_384
"""Maximum size of one read from a socket."""

UNREAD_BYTES = 8_192
"""Received bytes that wait to be parsed, per connection; twice as many stop the
transport from receiving."""

MAX_PARSED_BYTES = 65_536
"""Maximum size of what the parser gets at a time."""

QUEUED_MESSAGES = 2
"""Parts of a body that wait for the application, per connection."""


class ServerConfig(Config):
    """Configuration of the library's server, with what our connections need.

    Attributes:
        quota: Accounts for the connections.
        kind: Who connects.
    """

    quota: IngressQuota
    kind: ClientKind


class PausedReading:
    """The library's event for which a connection with unread requests waits.

    Args:
        event: Set when the next request may be read.
        lease: What the connection holds.
    """

    def __init__(self, event: Any, lease: Lease) -> None:
        self._lease = lease
        self._event = event
        self.set = event.set
        self.clear = event.clear

    async def wait(self) -> None:
        """Wait until the next request may be read.

        Raises:
            QuotaExceeded: If there is no memory for what the client sends meanwhile.
        """
        self._lease.account_for_read_ahead(time.monotonic())
        await self._event.wait()


class Http1Protocol(H11Protocol):
    """The library's HTTP/1.1, from which no client switches to HTTP/2.

    The limits of a connection are those of one request at a time.
    """

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.can_read = PausedReading(self.can_read, self.connection_state[LEASE])

    async def _check_protocol(self, event: object) -> None:
        """Leave the request as it is."""


class Connection(TCPServer):
    """The library's connection, accounted for and closed only while it is idle.

    At a shutdown or after the idle timeout the library closes an idle connection some
    turns of the event loop later, even if a request has arrived meanwhile. On a busy
    host, where turns are slow, a request would be read and its connection closed
    without an answer.
    """

    config: ServerConfig

    async def run(self) -> None:
        self._reading = anyio.CancelScope()
        config = self.config
        lease = config.quota.open(config.kind, self._evict, time.monotonic())
        if lease is None:
            self.writer.transport.abort()
            return
        self._lease = lease
        # By default a connection may keep 384 KiB in these buffers.
        self.reader._limit = UNREAD_BYTES
        self.writer.transport.max_size = RECEIVE_BYTES
        self.state = {**self.state, LEASE: lease}
        try:
            await super().run()
        finally:
            lease.close()

    async def protocol_send(self, event: object) -> None:
        if isinstance(event, Updated) and event.idle:
            self._lease.end_request(time.monotonic())
        await super().protocol_send(event)

    async def _read_data(self) -> None:
        with self._reading:
            while not self.reader.at_eof():
                try:
                    data = await self.reader.read(MAX_PARSED_BYTES)
                    self._lease.account_for_head(len(data), time.monotonic())
                    await self.protocol.handle(RawData(data))
                except (OSError, QuotaExceeded):
                    break
        await self.protocol.handle(Closed())
        # The library would wait for the idle timeout before it closes the connection.
        await self.idle_task.stop()

    def _evict(self) -> None:
        self._reading.cancel()
        self.writer.transport.abort()

    async def _idle_timeout(self) -> None:
        # The library cancels this task as soon as a request has begun. Its own
        # `wait_for` loses a cancellation that comes as the wait ends.
        with anyio.move_on_after(self.config.keep_alive_timeout):
            await self.context.terminated.wait()
        await self._wait_until_quiet()
        await asyncio.shield(self._initiate_server_close())

    async def _wait_until_quiet(self) -> None:
        quiet = 0
        for _ in range(MOST_TURNS):
            quiet = 0 if self._has_unread() else quiet + 1
            if quiet > QUIET_TURNS:
                return
            await asyncio.sleep(0)

    def _has_unread(self) -> bool:
        if self.writer.is_closing():
            return False
        poll = select.poll()
        poll.register(self.writer.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))


# The library has no settings for these classes.
library.TCPServer = Connection
library_protocol.H11Protocol = Http1Protocol


@attrs.frozen
class ServerLimits:
    """Limits of one HTTP server.

    Attributes:
        max_header_bytes: Largest request line and headers together.
        keep_alive_seconds: An idle connection, or one whose headers are not
            complete, is closed after this time.
    """

    max_header_bytes: int = 16_384
    keep_alive_seconds: float = 75.0


class HttpServer:
    """Serves one application until closed.

    Args:
        app: The ASGI application.
        address: ``host:port``; port 0 lets the kernel choose.
        limits: Limits of its connections.
        listener: Socket that already listens on the address, if there is one.
        quota: Accounts for its connections; without one, they are unlimited.
        kind: Who connects.
    """

    def __init__(
        self,
        app: Any,
        address: str,
        limits: ServerLimits,
        listener: socket.socket | None = None,
        quota: IngressQuota | None = None,
        kind: ClientKind = ClientKind.CALLERS,
    ) -> None:
        self.app = app
        self.address = address
        self.limits = limits
        self._listener = listener
        self._quota = quota or IngressQuota()
        self._kind = kind
        self._config: ServerConfig | None = None
        self._stop = anyio.Event()
        self._stopped = anyio.Event()
        self._under_way = 0

    async def start(self, group: anyio.abc.TaskGroup) -> None:
        """Listen and serve; `address` then names the port that was bound.

        Raises:
            OSError: If the address can't be bound.
        """
        listener = self._listener or open_listener(self.address)
        host, _ = split_address(self.address)
        self.address = f"{host}:{listener.getsockname()[1]}"
        self._listener = listener.dup()
        self._config = self._configure(listener)
        group.start_soon(self._serve)
        group.start_soon(self._hasten)

    def set_limits(self, limits: ServerLimits) -> None:
        """Change the limits; open connections keep their header limit."""
        self.limits = limits
        if self._config is None:
            return
        self._config.h11_max_incomplete_size = limits.max_header_bytes
        self._config.keep_alive_timeout = limits.keep_alive_seconds

    async def close(self, grace: float) -> None:
        """Accept no new connections, and wait for answers in progress.

        Args:
            grace: Time after which answers in progress are cut off, seconds. The
                library's default of 3 seconds is shorter than a stream may take.
        """
        self._config.graceful_timeout = grace
        self._stop.set()
        with anyio.move_on_after(grace):
            await self._stopped.wait()
            # An error of one connection ends the library's server, while the others
            # continue. Without this wait the process would exit during their answers.
            while self._under_way:
                await anyio.sleep(STEP_SECONDS)
        await self._stopped.wait()

    def _configure(self, listener: socket.socket) -> Config:
        config = ServerConfig()
        config.quota = self._quota
        config.kind = self._kind
        config.bind = [f"fd://{listener.detach()}"]
        config.backlog = ACCEPT_BATCH
        config.max_app_queue_size = QUEUED_MESSAGES
        config.errorlog = None
        config.include_server_header = False
        config.h11_max_incomplete_size = self.limits.max_header_bytes
        config.keep_alive_timeout = self.limits.keep_alive_seconds
        config.keep_alive_max_requests = REQUESTS_PER_CONNECTION
        return config

    async def _serve(self) -> None:
        # Shielded, since the library fails if it is cancelled; `_hasten` ends it
        # instead.
        try:
            with anyio.CancelScope(shield=True):
                await serve(
                    self._answer,
                    self._config,
                    shutdown_trigger=self._wait,
                )
        except Exception as error:
            # During a shutdown the library raises the error of any connection. The
            # router must still write its bills and return its tokens.
            if not self._stop.is_set():
                raise
            log_event(Event.SERVER_ENDED_BADLY, error=repr(error))
        self._stopped.set()

    async def _answer(self, scope: dict, receive: Any, send: Any) -> None:
        """Pass requests to the application, but no lifespan messages.

        At the shutdown the library cancels the task that handles those and waits for
        it. If that task hasn't ended by then, the cancellation leaves the library and
        cancels all other tasks of the router before they have returned their tokens.
        """
        if scope["type"] == "lifespan":
            return
        self._under_way += 1
        try:
            exchange = Exchange(scope, receive, send)
            await self.app(scope, exchange.receive, exchange.send)
        finally:
            self._under_way -= 1

    async def _wait(self) -> None:
        # The library accepts as many connections in one turn as may wait in the
        # kernel's queue, so their number is raised again once it listens.
        with self._listener as listener:
            listener.listen(BACKLOG)
        await self._stop.wait()

    async def _hasten(self) -> None:
        """End without a grace period if the server is cancelled rather than closed.

        A task has then failed with an error. With the grace period of an orderly stop
        the process would run for another minute without being ready or handling
        signals, and it wouldn't be restarted.
        """
        try:
            await self._stopped.wait()
        finally:
            if not self._stopped.is_set():
                self._config.graceful_timeout = 0
                self._stop.set()
