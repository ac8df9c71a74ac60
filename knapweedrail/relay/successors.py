"""Task that identifies the runner that has replaced an ended one at its address.

It is designed for runners that crash and restart while this relay can't reach the
store, so that their new incarnations aren't listed. Without it the relay used only the
remaining runners, three of five, and every second prompt was late while two idle
runners were reachable.

The report of the runner now at an address is trusted only where it can't mislead: it
must state the memory of an engine, and the configuration must have exactly one endpoint
with engines. Addresses are reused by other endpoints. Two endpoints with engines can't
be distinguished by the report, and a request must never reach the wrong one.
"""

from __future__ import annotations

import time
from collections.abc import Callable

import anyio
import attrs

from ..events import Event, log_event
from ..tasks import Task
from .codecs import Codec
from .connections import (
    ConnectionFailed,
    ConnectionPool,
    RunnerConnection,
    ignore_connect_time,
)
from .models import Configuration, Runner, RunnerReport
from .runners import RunnerTable

REPORT_TIMEOUT_SECONDS = 0.25
"""Longest wait for a report. A runner sends it without delay and needs no slot for
it."""

REPORT_RETRY_SECONDS = 1.0
"""Pause before the same runner is queried again, as its first answer may have been
lost."""

MAX_REMEMBERED_REQUESTS = 1000
"""Number of queried runners to remember. Beyond it all are forgotten, at the cost of
one more query each."""


@attrs.frozen
class IdentityMismatch:
    """A runner other than the expected one answered at its address.

    Attributes:
        runner: The expected runner.
        name: Name of the runner that answered.
    """

    runner: Runner
    name: str


class SuccessorDetector(Task):
    """Queries runners that answer at the address of another one, and adds those that
    may get its requests.

    Args:
        pool: Connections to runners.
        codec: Encodes report requests and decodes reports.
        table: Receives the successors.
        read_configuration: Returns the configuration in force, or ``None`` before
            there is one.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        codec: Codec,
        table: RunnerTable,
        read_configuration: Callable[[], Configuration | None],
    ) -> None:
        super().__init__("successors")
        self._pool = pool
        self._codec = codec
        self._table = table
        self._read_configuration = read_configuration
        self._requested_at: dict[str, float] = {}

    def report_mismatch(self, runner: Runner, name: str) -> None:
        """Report that another runner answered at the address of the expected one.

        Args:
            runner: The expected runner.
            name: Name of the runner that answered.
        """
        now = time.monotonic()
        if now - self._requested_at.get(name, float("-inf")) < REPORT_RETRY_SECONDS:
            return
        known = self._table.find_runner(name)
        if known is not None and known.address == runner.address:
            return
        if not self._is_only_engine_endpoint(runner.endpoint):
            return
        if len(self._requested_at) >= MAX_REMEMBERED_REQUESTS:
            self._requested_at.clear()
        self._requested_at[name] = now
        self.tell(IdentityMismatch(runner, name))

    async def run(self) -> None:
        async for envelope in self._receive:
            mismatch: IdentityMismatch = envelope.message
            report = await self._fetch_report(mismatch)
            if report is None or report.cache_tokens <= 0:
                continue
            successor = attrs.evolve(
                mismatch.runner,
                name=mismatch.name,
                started=report.started,
                cold_left=None,
                version=None,
            )
            if self._table.add_successor(
                mismatch.runner.incarnation, successor, time.monotonic()
            ):
                log_event(
                    Event.RUNNER_SUCCEEDED,
                    runner=mismatch.runner.name,
                    successor=mismatch.name,
                    endpoint=successor.endpoint,
                )

    def _is_only_engine_endpoint(self, endpoint: str) -> bool:
        configuration = self._read_configuration()
        endpoints = configuration.endpoints.values() if configuration else ()
        return [one.name for one in endpoints if one.cache_tokens] == [endpoint]

    async def _fetch_report(self, mismatch: IdentityMismatch) -> RunnerReport | None:
        incarnation, address = mismatch.runner.incarnation, mismatch.runner.address
        connection: RunnerConnection | None = None
        try:
            with anyio.move_on_after(REPORT_TIMEOUT_SECONDS):
                connection = await self._pool.acquire(
                    incarnation, address, time.monotonic(), ignore_connect_time
                )
                return await self._exchange_report(connection, mismatch.name)
        except ConnectionFailed as error:
            log_event(
                Event.RUNNER_SILENT,
                runner=mismatch.name,
                step=error.step,
                detail=error.detail,
            )
        finally:
            if connection is not None:
                with anyio.CancelScope(shield=True):
                    await self._pool.discard(incarnation, connection)
        return None

    async def _exchange_report(
        self, connection: RunnerConnection, name: str
    ) -> RunnerReport | None:
        target, headers = self._codec.encode_report_request(connection.address, name)
        await connection.send("GET", target, headers, b"")
        head = await connection.receive_head()
        body = await connection.receive_body()
        return self._codec.decode_report(head.status_code, body)
