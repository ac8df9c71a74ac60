"""Server of tunnels: connects other relays to runners."""

from __future__ import annotations

import time
from collections.abc import Callable

import anyio
import anyio.abc
import h11

from ..addresses import split_address
from ..events import Event, log_event
from ..ingress import ClientKind, IngressQuota, Lease, Phase
from ..listeners import BACKLOG
from ..tasks import Task
from .answer_heads import AnswerHeadParser
from .codecs import Codec
from .connections import (
    HEADER_BYTES,
    RECEIVE_BYTES,
    ConnectionFailed,
    reset_stream,
    set_reset_on_close,
)
from .connectors import TunnellingConnector
from .keepalive import set_timeouts
from .metrics import RelayMetrics
from .models import RunnerIncarnation
from .runner_statements import record_statements
from .runners import RunnerTable
from .tunnels import (
    BAD_REQUEST,
    DECLINED,
    OPENED,
    RUNNER_HEADER,
    STARTED_HEADER,
    STREAM_ERRORS,
    UNKNOWN_RUNNER,
    UNREACHABLE,
    UNWANTED,
    ConnectRequest,
)

HEAD_SECONDS = 1.0
"""How long a connection may take to send its ``CONNECT`` request."""

MAX_TUNNELS = 64
"""Maximum number of open tunnels. Each takes two sockets and up to two read buffers."""

DRAIN_POLL_SECONDS = 0.05
"""Interval at which a server that drains checks for open tunnels."""


class TunnelServer(Task):
    """Connects other relays to listed runners.

    Args:
        address: ``host:port`` to listen on; port 0 lets the kernel choose.
        table: Runners to which it connects.
        connector: Connects to them.
        is_overloaded: Returns whether this host is too busy for tunnels.
        metrics: Metrics of this relay.
        codec: Decodes what runners say in the answers that are passed on.
        quota: Accounts for its connections; without one, they are unlimited.

    Attributes:
        address: Address that it listens on.
        draining: Whether it opens no more tunnels, as the process shuts down.
        opened_count: Number of tunnels opened so far.
    """

    def __init__(
        self,
        address: str,
        table: RunnerTable,
        connector: TunnellingConnector,
        is_overloaded: Callable[[], bool],
        metrics: RelayMetrics,
        codec: Codec,
        quota: IngressQuota | None = None,
    ) -> None:
        super().__init__("tunnels")
        self._quota = quota or IngressQuota()
        self.address = address
        self.draining = False
        self.opened_count = 0
        self._table = table
        self._connector = connector
        self._is_overloaded = is_overloaded
        self._metrics = metrics
        self._codec = codec
        self._listener: anyio.abc.Listener | None = None
        self._open_count = 0

    async def start(self, group: anyio.abc.TaskGroup) -> None:
        """Listen, and serve in ``group``.

        Raises:
            OSError: If the address can't be bound.
        """
        host, port = split_address(self.address)
        self._listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port, backlog=BACKLOG
        )
        port = self._listener.extra(anyio.abc.SocketAttribute.local_port)
        self.address = f"{host}:{port}"
        await super().start(group)

    async def run(self) -> None:
        assert self._listener is not None
        async with self._listener:
            await self._listener.serve(self._handle)

    async def drain(self, until: float) -> None:
        """Open no more tunnels, and wait until the open ones are closed.

        Args:
            until: When to stop waiting, monotonic seconds.
        """
        self.draining = True
        while self._open_count and time.monotonic() < until:
            await anyio.sleep(DRAIN_POLL_SECONDS)

    async def _handle(self, stream: anyio.abc.SocketStream) -> None:
        set_timeouts(stream.extra(anyio.abc.SocketAttribute.raw_socket))
        # If this process dies, the other relay must not take the end of the connection
        # for that of a runner's answer.
        set_reset_on_close(stream, True)
        scope = anyio.CancelScope()
        lease = self._quota.open(ClientKind.PEERS, scope.cancel, time.monotonic())
        if lease is None:
            await reset_stream(stream)
            return
        self._open_count += 1
        try:
            with scope:
                await self._serve(stream, lease)
        except Exception as error:
            # An error of one tunnel must not end the others, nor the process.
            log_event(Event.TUNNEL_BROKEN, error=repr(error))
        finally:
            self._open_count -= 1
            lease.close()
            await reset_stream(stream)

    async def _serve(self, stream: anyio.abc.SocketStream, lease: Lease) -> None:
        parser = h11.Connection(h11.SERVER, max_incomplete_event_size=HEADER_BYTES)
        request: ConnectRequest | None = None
        try:
            with anyio.move_on_after(HEAD_SECONDS):
                request = await _receive_request(stream, parser)
        except (ValueError, h11.ProtocolError) as error:
            await self._refuse(stream, parser, BAD_REQUEST, str(error))
            return
        except anyio.EndOfStream:
            return
        if request is None:
            await self._refuse(stream, parser, BAD_REQUEST, "no request in time")
            return
        lease.begin_phase(Phase.WORKING, time.monotonic())
        fault = self._find_fault(request)
        if fault is not None:
            await self._refuse(stream, parser, *fault, request)
            return
        try:
            runner = await self._connector.connect_for_other(request)
        except ConnectionFailed as error:
            await self._refuse(stream, parser, UNREACHABLE, error.detail, request)
            return
        try:
            self.opened_count += 1
            self._metrics.tunnels.add(1, {"side": "asked", "outcome": "opened"})
            await stream.send(parser.send(h11.Response(status_code=OPENED, headers=[])))
            await join_streams(stream, runner, self._make_observer(request.runner))
        finally:
            await reset_stream(runner)

    def _find_fault(self, request: ConnectRequest) -> tuple[int, str] | None:
        """Return the status and the reason to refuse a request, if there is one."""
        if self.draining:
            return DECLINED, "this host is shutting down"
        if self._open_count > MAX_TUNNELS:
            return DECLINED, "too many tunnels"
        if self._is_overloaded():
            return DECLINED, "this host is overloaded"
        runner = self._table.find_runner(request.runner.name)
        if runner is None or runner.incarnation != request.runner:
            return UNKNOWN_RUNNER, "no such runner"
        if runner.address != request.address:
            return UNKNOWN_RUNNER, f"its address is {runner.address}"
        view = self._table.find_view(request.runner)
        if view is not None and view.leaving_since is not None:
            return UNWANTED, "the runner leaves"
        if view is not None and time.monotonic() < view.paused_until:
            return UNWANTED, "the runner wants no requests from this host"
        if not self._connector.has_path(request.runner):
            return DECLINED, "this host has no path to it"
        return None

    def _make_observer(self, runner: RunnerIncarnation) -> Callable[[bytes], None]:
        """Return a function that records what a runner says in its answer.

        The runner sees this host as the one that sends the request.
        """
        parser = AnswerHeadParser(self._codec)

        def observe(data: bytes) -> None:
            answer = parser.feed(data)
            view = self._table.find_view(runner)
            if answer is not None and view is not None:
                record_statements(self._table, view, answer, time.monotonic())

        return observe

    async def _refuse(
        self,
        stream: anyio.abc.SocketStream,
        parser: h11.Connection,
        status: int,
        detail: str,
        request: ConnectRequest | None = None,
    ) -> None:
        self._metrics.tunnels.add(1, {"side": "asked", "outcome": str(status)})
        log_event(
            Event.TUNNEL_DECLINED,
            runner=str(request.runner) if request else "",
            status=status,
            detail=detail,
        )
        headers = [(b"content-length", b"0"), (b"connection", b"close")]
        data = parser.send(h11.Response(status_code=status, headers=headers))
        await stream.send((data or b"") + (parser.send(h11.EndOfMessage()) or b""))
        set_reset_on_close(stream, False)
        await stream.aclose()


async def _receive_request(
    stream: anyio.abc.SocketStream, parser: h11.Connection
) -> ConnectRequest:
    """Receive a ``CONNECT`` request.

    Raises:
        ValueError: If it isn't one.
        h11.ProtocolError: If it isn't HTTP.
    """
    event = parser.next_event()
    while event is h11.NEED_DATA:
        parser.receive_data(await stream.receive(RECEIVE_BYTES))
        event = parser.next_event()
    if not isinstance(event, h11.Request) or event.method != b"CONNECT":
        raise ValueError("not a CONNECT request")
    headers = dict(event.headers)
    try:
        name = headers[RUNNER_HEADER].decode()
        runner = RunnerIncarnation(name, int(headers[STARTED_HEADER]))
        return ConnectRequest(runner, event.target.decode())
    except KeyError as error:
        raise ValueError(f"no header {error}") from error


async def join_streams(
    caller: anyio.abc.SocketStream,
    runner: anyio.abc.SocketStream,
    observe: Callable[[bytes], None],
) -> None:
    """Pass on bytes in both directions until either end is closed.

    The caller's connection is closed in order only if the runner's is, and is left to
    be reset otherwise.

    Args:
        observe: Called with all bytes of the runner.
    """
    async with anyio.create_task_group() as group:
        group.start_soon(_pass_requests, caller, runner, group.cancel_scope)
        if await _copy(runner, caller, observe):
            set_reset_on_close(caller, False)
            await caller.aclose()
        group.cancel_scope.cancel()


async def _pass_requests(
    caller: anyio.abc.SocketStream,
    runner: anyio.abc.SocketStream,
    scope: anyio.CancelScope,
) -> None:
    """Pass on bytes to the runner, and cancel the answer once the caller is gone.

    A runner that reads no further may still send an answer.
    """
    while True:
        try:
            data = await caller.receive(RECEIVE_BYTES)
        except (anyio.EndOfStream, *STREAM_ERRORS):
            scope.cancel()
            return
        try:
            await runner.send(data)
        except STREAM_ERRORS:
            return


async def _copy(
    source: anyio.abc.SocketStream,
    target: anyio.abc.SocketStream,
    observe: Callable[[bytes], None],
) -> bool:
    """Copy bytes; return whether all were copied and the source closed in order."""
    try:
        while True:
            data = await source.receive(RECEIVE_BYTES)
            observe(data)
            await target.send(data)
    except anyio.EndOfStream:
        return True
    except STREAM_ERRORS:
        return False
