"""HTTP servers of a router, on sockets of their own."""

from __future__ import annotations

import asyncio
import select
import socket
from typing import Any

import anyio
import anyio.abc
import attrs
from hypercorn.asyncio import run as library
from hypercorn.asyncio import serve
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.config import Config

from .addresses import split_address
from .events import Event, log_event
from .listeners import BACKLOG, open_listener

REQUESTS_PER_CONNECTION = 1_000_000
"""A balancer reuses its connections; closing them often gains nothing."""

STEP_SECONDS = 0.05
"""Pause between looks whether answers are still under way."""

QUIET_TURNS = 8
"""Turns of the loop within which the library passes on what it has read; it takes
four."""

MOST_TURNS = 100
"""Turns after which a connection is closed whatever waits on it."""


class Connection(TCPServer):
    """The library's connection, which is closed only when no request waits on it.

    What goes wrong without: as its server ends, or its idle time does, the library
    closes an idle connection some turns of the loop later, whatever came meanwhile.
    Where turns are slow, on a busy host, a caller's request is read and its connection
    closed without an answer.
    """

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


# The library has no other way to say which class its connections are of.
library.TCPServer = Connection


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
        listener: A socket that listens on the address already, if there is one.
    """

    def __init__(
        self,
        app: Any,
        address: str,
        limits: ServerLimits,
        listener: socket.socket | None = None,
    ) -> None:
        self.app = app
        self.address = address
        self.limits = limits
        self._listener = listener
        self._config: Config | None = None
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
        self._config = self._configure(listener)
        group.start_soon(self._serve)
        group.start_soon(self._hasten)

    def set_limits(self, limits: ServerLimits) -> None:
        """Change the limits; connections that are open keep their header limit."""
        self.limits = limits
        if self._config is None:
            return
        self._config.h11_max_incomplete_size = limits.max_header_bytes
        self._config.keep_alive_timeout = limits.keep_alive_seconds

    async def close(self, grace: float) -> None:
        """Take no new connection, and let answers under way end.

        Args:
            grace: Seconds after which answers under way are cut off. The library's
                own default of 3 seconds is shorter than an answer's stream.
        """
        self._config.graceful_timeout = grace
        self._stop.set()
        with anyio.move_on_after(grace):
            await self._stopped.wait()
            # An error of any one connection is the end of the library's server, while
            # the others go on. Whoever closes it would end the process in the middle
            # of their answers.
            while self._under_way:
                await anyio.sleep(STEP_SECONDS)
        await self._stopped.wait()

    def _configure(self, listener: socket.socket) -> Config:
        config = Config()
        config.bind = [f"fd://{listener.detach()}"]
        config.backlog = BACKLOG
        config.errorlog = None
        config.include_server_header = False
        config.h11_max_incomplete_size = self.limits.max_header_bytes
        config.keep_alive_timeout = self.limits.keep_alive_seconds
        config.keep_alive_max_requests = REQUESTS_PER_CONNECTION
        return config

    async def _serve(self) -> None:
        # Shielded, since the library doesn't end well when it is cancelled;
        # `_hasten` ends it then.
        try:
            with anyio.CancelScope(shield=True):
                await serve(
                    self._answer,
                    self._config,
                    shutdown_trigger=self._wait,
                )
        except Exception as error:
            # While it ends, the library passes on the error of any one connection.
            # The router must still write its bills and give its tokens back.
            if not self._stop.is_set():
                raise
            log_event(Event.SERVER_ENDED_BADLY, error=repr(error))
        self._stopped.set()

    async def _answer(self, scope: dict, receive: Any, send: Any) -> None:
        """Pass requests on, without the start and stop messages of the server.

        At its end the library cancels the task that handles those and waits for it;
        when that task hadn't quite ended, the cancellation came out of the library and
        ended all other tasks of the router with it, before tokens were given back.
        """
        if scope["type"] == "lifespan":
            return
        self._under_way += 1
        try:
            await self.app(scope, receive, send)
        finally:
            self._under_way -= 1

    async def _wait(self) -> None:
        await self._stop.wait()

    async def _hasten(self) -> None:
        """End without grace when the server is cancelled rather than closed.

        The router is then failing: a task has ended with an error. With the grace of
        an orderly stop the process would stay for a minute, unready and deaf to
        signals, and its host would not restart it.
        """
        try:
            await self._stopped.wait()
        finally:
            if not self._stopped.is_set():
                self._config.graceful_timeout = 0
                self._stop.set()
