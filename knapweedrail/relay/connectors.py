"""Connections to runners, through another relay where this host has no path."""

from __future__ import annotations

import functools
import random
import time
from collections.abc import Callable

import anyio
import anyio.abc

from ..events import Event, log_event
from ..tasks import Task
from .connections import (
    CONNECT_SECONDS,
    ConnectionFailed,
    Connector,
    RecordConnectTime,
    RunnerConnection,
    open_stream,
    reset_stream,
)
from .direct_paths import DirectPaths
from .metrics import RelayMetrics
from .models import Member, RunnerIncarnation
from .runners import RunnerTable
from .tunnel_relays import TunnelRelays
from .tunnels import (
    UNREACHABLE,
    UNWANTED,
    ConnectRequest,
    TunnelFailed,
    TunnelledConnection,
    open_tunnel,
)

MAX_RELAYS_ASKED = 3
"""Relays asked for one tunnel."""

TUNNEL_SECONDS = 0.4
"""Time for asking all of them. The shortest calls have about half a second."""

CONNECT_FOR_OTHER_SECONDS = 0.15
"""Connect timeout for another relay. The answer reaches it before it asks the next."""


class TunnellingConnector(Connector, Task):
    """Connects to runners directly or, where the path is lost, by tunnels.

    Args:
        table: All runners.
        list_relays: Returns the other relays.
        may_cause_timeouts: Returns whether a timeout may be this host's own fault.
        rng: Source of random choices.
        metrics: Metrics of this relay.
    """

    def __init__(
        self,
        table: RunnerTable,
        list_relays: Callable[[], list[Member]],
        may_cause_timeouts: Callable[[], bool],
        rng: random.Random,
        metrics: RelayMetrics,
    ) -> None:
        super().__init__("connector")
        self._table = table
        self._list_relays = list_relays
        self._may_cause_timeouts = may_cause_timeouts
        self._rng = rng
        self._metrics = metrics
        self._paths = DirectPaths()
        self._relays = TunnelRelays()

    @property
    def lost_count(self) -> int:
        """Number of runners to which the path is known to be lost."""
        return self._paths.lost_count

    def may_reuse(self, runner: RunnerIncarnation) -> bool:
        # Idle connections may have lost their path without a sign.
        return self.has_path(runner)

    async def connect(
        self,
        runner: RunnerIncarnation,
        address: str,
        record_connect_time: RecordConnectTime,
    ) -> RunnerConnection:
        request = ConnectRequest(runner, address)
        if self._paths.is_lost(runner):
            return await self._connect_by_tunnel(request)
        began_at = time.monotonic()
        try:
            stream = await self._connect_directly(request, CONNECT_SECONDS)
        except ConnectionFailed as error:
            now = time.monotonic()
            if self._paths.try_acquire_trial(len(self._table), now):
                opened = await self._open_tunnel(request)
                if isinstance(opened, RunnerConnection):
                    self._record_lost(runner, now)
                    return opened
            if error.timed_out:
                record_connect_time(CONNECT_SECONDS, now)
            raise
        now = time.monotonic()
        record_connect_time(now - began_at, now)
        return RunnerConnection(stream, address)

    def has_path(self, runner: RunnerIncarnation) -> bool:
        """Return whether this host seems to have a path to a runner."""
        return not self._paths.is_lost(runner)

    async def connect_for_other(
        self, request: ConnectRequest
    ) -> anyio.abc.SocketStream:
        """Connect to a runner directly, for another relay.

        Raises:
            ConnectionFailed: If there is no connection; nothing was sent.
        """
        return await self._connect_directly(request, CONNECT_FOR_OTHER_SECONDS)

    def prune(self) -> None:
        """Forget runners that are no longer known."""
        self._paths.prune(self._table.list_incarnations())

    async def run(self) -> None:
        async with anyio.create_task_group() as group:
            async for envelope in self._receive:
                group.start_soon(self._probe, envelope.message)

    async def _connect_directly(
        self, request: ConnectRequest, timeout: float
    ) -> anyio.abc.SocketStream:
        """Connect to a runner and record whether there is a path.

        Raises:
            ConnectionFailed: If there is no connection within ``timeout`` seconds.
        """
        try:
            stream = await open_stream(request.address, timeout)
        except ConnectionFailed as error:
            if not (error.timed_out and self._may_cause_timeouts()):
                self._paths.record_failed(request.runner, time.monotonic())
            raise
        if self._paths.record_connected(request.runner):
            log_event(
                Event.PATH_RESTORED,
                runner=str(request.runner),
                still_lost=self.lost_count,
            )
        return stream

    async def _connect_by_tunnel(self, request: ConnectRequest) -> RunnerConnection:
        """Connect to a runner whose path is lost.

        Raises:
            ConnectionFailed: If no other relay reaches it.
        """
        self._probe_if_due(request)
        opened = await self._open_tunnel(request)
        if isinstance(opened, RunnerConnection):
            return opened
        detail = "no path from this host, nor through another one"
        tried = any(failure.status == UNREACHABLE for failure in opened)
        raise ConnectionFailed(request.address, "connect", detail, False, tried=tried)

    async def _open_tunnel(
        self, request: ConnectRequest
    ) -> RunnerConnection | list[TunnelFailed]:
        """Connect to a runner through one of the other relays, if one has a path.

        Returns:
            The connection, or why each of the relays that were asked opened none.
        """
        failures: list[TunnelFailed] = []
        with anyio.move_on_after(TUNNEL_SECONDS):
            now = time.monotonic()
            ranked = self._relays.rank(self._list_relays(), self._rng, now)
            for member in ranked[:MAX_RELAYS_ASKED]:
                opened = await open_tunnel(member, request)
                if not isinstance(opened, TunnelFailed):
                    self._relays.record_opened(member, time.monotonic())
                    self._count("opened")
                    return TunnelledConnection(
                        opened,
                        request.address,
                        functools.partial(self._relays.record_closed, member),
                    )
                self._record_failed(member, opened)
                failures.append(opened)
        self._count("failed")
        log_event(
            Event.TUNNEL_FAILED,
            runner=str(request.runner),
            asked=[f"{failure.peer}: {failure.detail}" for failure in failures],
        )
        return failures

    def _record_lost(self, runner: RunnerIncarnation, now: float) -> None:
        failed = self._paths.list_failed(now)
        if self._paths.record_reached_by_other(runner):
            self._table.readmit(failed, now)
            log_event(Event.PATH_LOST, runner=str(runner), lost=self.lost_count)

    def _record_failed(self, member: Member, failure: TunnelFailed) -> None:
        now = time.monotonic()
        if failure.status in (UNREACHABLE, UNWANTED):
            self._relays.record_unreachable(member, now)
        else:
            self._relays.record_failed(member, now)

    def _count(self, outcome: str) -> None:
        self._metrics.tunnels.add(1, {"side": "asking", "outcome": outcome})

    def _probe_if_due(self, request: ConnectRequest) -> None:
        if self._paths.try_acquire_probe(request.runner, time.monotonic()):
            self.tell(request)

    async def _probe(self, request: ConnectRequest) -> None:
        """Connect to a runner directly to find out whether the path is back."""
        try:
            stream = await self._connect_directly(request, CONNECT_SECONDS)
        except ConnectionFailed:
            # The path is still lost, which the next request's tunnel shows in the log.
            return
        await reset_stream(stream)
