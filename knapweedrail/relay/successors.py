"""Task that finds out which runner has taken the place of one that ended.

The load it is for: runners crash and start again while this relay is cut off from the
store, so that it can't hear of their new lives. It went on with those that were left,
three of five, and every second prompt was late, with two idle runners a call away.

What an address's new holder says of itself is believed only where it can't mislead: it
must report an engine's memory, and the configuration must have one endpoint with
engines. Addresses are used again by other endpoints; two endpoints of engines look
alike, and a request must never reach the wrong one.
"""

from __future__ import annotations

import time
from collections.abc import Callable

import anyio
import attrs

from ..events import Event, log_event
from ..tasks import Task
from .codecs import Codec
from .connections import ConnectionFailed, ConnectionPool, RunnerConnection
from .models import Configuration, Runner, RunnerReport
from .runners import RunnerTable

REPORT_TIMEOUT_SECONDS = 0.25
"""Longest wait for a report: a runner gives it at once, without a slot."""

REPORT_RETRY_SECONDS = 1.0
"""Pause before the same runner is asked again; its first answer may have been lost."""

MAX_REMEMBERED_REQUESTS = 1000
"""Runners remembered as asked; beyond it the memory starts anew, at a question each."""


@attrs.frozen
class IdentityMismatch:
    """Another runner answered where one was expected.

    Attributes:
        runner: The one expected.
        name: Name of the one that answered.
    """

    runner: Runner
    name: str


class Successors(Task):
    """Asks runners that answer for others, and enters those that may get their work.

    Args:
        pool: Connections to runners.
        codec: Translates their answers.
        table: Takes in those found.
        read_configuration: Returns the configuration in force, if one is known.
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

    def note(self, runner: Runner, name: str) -> None:
        """Take in that another runner answered where one was expected."""
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
                mismatch.runner, name=mismatch.name, started=report.started
            )
            if self._table.succeed(mismatch.runner.life, successor, time.monotonic()):
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
        life, address = mismatch.runner.life, mismatch.runner.address
        connection: RunnerConnection | None = None
        try:
            with anyio.move_on_after(REPORT_TIMEOUT_SECONDS):
                connection = await self._pool.take(
                    life, address, time.monotonic(), _ignore_connect_time
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
                    await self._pool.drop(life, connection)
        return None

    async def _exchange_report(
        self, connection: RunnerConnection, name: str
    ) -> RunnerReport | None:
        target, headers = self._codec.encode_report_request(connection.address, name)
        await connection.send("GET", target, headers, b"")
        head = await connection.receive_head()
        body = b"".join([chunk async for chunk in connection.receive_body()])
        return self._codec.decode_report(head.status_code, body)


def _ignore_connect_time(seconds: float, now: float) -> None:
    """Take no notice of how long a connection took."""
