"""Metrics of a relay, and a store client that counts its calls."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.to_thread

from ..events import Event, log_event
from ..measures import Measures, import_exporter
from .models import Account
from .overload import SAMPLE_INTERVAL_SECONDS, OverloadMonitor
from .stores import Store

GAP_BOUNDS = [0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 5]
"""Histogram bounds of a stream's longest pause, seconds. The callers' objective is
0.25 s."""

DELAY_BOUNDS = [0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1]
"""Histogram bounds of the event loop's delay, seconds. A delay of the loop delays every
answer in progress."""

MAX_ACCOUNTS = 50
"""Accounts that get a time series of their own. An operator with more accounts reads
the ledger."""

LATE_LOG_THRESHOLD_SECONDS = 0.1
"""Delay of the event loop that is logged: a fifth of the callers' shortest objective.
Every answer in progress was delayed by it."""

LATE_LOG_INTERVAL_SECONDS = 1.0
"""Shortest interval between two log lines about the event loop's delay."""

CALLS_LOG_INTERVAL_SECONDS = 10.0
"""Interval of log lines about the calls to the store."""


class RelayMetrics(Measures):
    """All metrics of a relay.

    Attributes:
        refusals: Refusals by kind.
        attempts: Attempts at runners by endpoint and outcome.
        repeats: Attempts after the first, by endpoint and by whether the retry budget
            allowed them.
        gaps: Longest pause of each stream, seconds, by route.
        tunnels: Connections to runners through other relays by side (``asked`` or
            ``asking``) and outcome.
        placements: Runners chosen by estimated cost, by endpoint, by whether the prompt
            is long, and by whether the runner serves prompts of that class.
        unreadable_loads: Runners' load statements that couldn't be read, by endpoint.
        store_calls: Calls to the store by step, kind and outcome.
        malformed: Objects of the store that couldn't be used, by kind; each revision of
            an object is counted once.
        delays: Delay of the event loop, seconds.
    """

    def __init__(self) -> None:
        super().__init__()
        self.refusals = self.make_counter("refusals", "Refusals by kind")
        self.attempts = self.make_counter("attempts", "Attempts at runners")
        self.repeats = self.make_counter("repeats", "Attempts after the first")
        self.tunnels = self.make_counter(
            "tunnels", "Connections to runners through other relays"
        )
        self.placements = self.make_counter(
            "placements", "Runners chosen by estimated cost"
        )
        self.unreadable_loads = self.make_counter(
            "unreadable_loads", "Load statements of runners that couldn't be read"
        )
        self.store_calls = self.make_counter("store_calls", "Calls to the store")
        self.malformed = self.make_counter(
            "malformed_objects", "Objects of the store that couldn't be used, by kind"
        )
        self.task_failures = self.make_counter(
            "task_failures", "Unexpected errors of tasks"
        )
        self.evicted = self.make_counter(
            "clients_evicted", "Connections closed as clients held too much"
        )
        self.gaps = self.make_histogram(
            "gap_seconds", "Longest pause of each stream, seconds", GAP_BOUNDS
        )
        self.delays = self.make_histogram(
            "loop_delay_seconds", "Seconds the event loop was late", DELAY_BOUNDS
        )

    def count_malformed(self, kind: str) -> None:
        """Count an object of the store that can't be used."""
        self.malformed.add(1, {"kind": kind})

    def count_evicted(self, connections: int) -> None:
        """Count connections that were closed to make room for others."""
        self.evicted.add(connections)

    async def prepare_export(self) -> None:
        """Import the exporter and attach it to the metrics, unless this has been done.

        The import runs in a thread, so that the event loop keeps running. In the loop
        it would block every answer in progress for a tenth of a second.
        """
        if not self.exporting:
            await anyio.to_thread.run_sync(import_exporter)
            self.export()

    async def monitor_loop_delay(self, overload: OverloadMonitor) -> None:
        """Measure, record and log the event loop's delay until cancelled.

        Args:
            overload: Gets each measured delay.
        """
        logged_at = float("-inf")
        was_out = False
        while True:
            due = time.monotonic() + SAMPLE_INTERVAL_SECONDS
            await anyio.sleep(SAMPLE_INTERVAL_SECONDS)
            now = time.monotonic()
            late = max(0.0, now - due)
            overload.record_loop_delay(late, now)
            self.delays.record(late)
            is_out = overload.is_out_of_rotation(now)
            if is_out != was_out:
                was_out = is_out
                log_rotation(overload, now)
            if (
                late >= LATE_LOG_THRESHOLD_SECONDS
                and now - logged_at >= LATE_LOG_INTERVAL_SECONDS
            ):
                logged_at = now
                log_event(
                    Event.LOOP_LATE,
                    seconds=round(late, 3),
                    mean=round(overload.loop_delay, 3),
                    in_rotation=not overload.is_out_of_rotation(now),
                )

    async def answer(self, scope: dict, receive: Any, send: Any) -> None:
        """Serve the metrics as text, as an ASGI application."""
        await self.prepare_export()
        body = self.render()
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [
                    (b"content-type", b"text/plain; version=0.0.4"),
                    (b"content-length", b"%d" % len(body)),
                ],
            }
        )
        await send({"type": "http.response.body", "body": body})


def log_rotation(overload: OverloadMonitor, now: float) -> None:
    """Log that this host has left the load balancer's rotation or is back."""
    event = Event.ROTATION_JOINED
    if overload.is_out_of_rotation(now):
        event = Event.ROTATION_LEFT
    log_event(
        event,
        loop_delay=round(overload.loop_delay, 3),
        connect_time=round(overload.estimate_connect_time(now), 3),
    )


def read_per_account(
    accounts: dict[str, Account], read: Callable[[str], float]
) -> dict[str, float]:
    """Return ``read(name)`` for each of the first `MAX_ACCOUNTS` accounts, by name."""
    return {name: read(name) for name in sorted(accounts)[:MAX_ACCOUNTS]}


class InstrumentedStore(Store):
    """A store that counts its calls by step, kind and outcome.

    Args:
        store: The store to which calls are delegated.
        metrics: Metrics in which calls are counted.
    """

    def __init__(self, store: Store, metrics: RelayMetrics) -> None:
        self._store = store
        self._metrics = metrics
        self._started: Counter[str] = Counter()

    async def list_kind(self, kind: str, stale: bool = False) -> Any:
        step = "list-stale" if stale else "list"
        return await self._count_call(step, kind, self._store.list_kind(kind, stale))

    async def watch_kind(self, kind: str, revision: int, seconds: float) -> Any:
        call = self._store.watch_kind(kind, revision, seconds)
        return await self._count_call("watch", kind, call)

    async def peek(self, kind: str, name: str) -> Any:
        return await self._count_call("peek", kind, self._store.peek(kind, name))

    async def create(self, kind: str, name: str, spec: Any) -> Any:
        return await self._count_call(
            "create", kind, self._store.create(kind, name, spec)
        )

    async def replace(self, kind: str, name: str, spec: Any, revision: int) -> Any:
        call = self._store.replace(kind, name, spec, revision)
        return await self._count_call("replace", kind, call)

    async def delete(self, kind: str, name: str, revision: int) -> Any:
        call = self._store.delete(kind, name, revision)
        return await self._count_call("delete", kind, call)

    async def report_calls(self) -> None:
        """Log the counts of calls at regular intervals until cancelled."""
        while True:
            await anyio.sleep(CALLS_LOG_INTERVAL_SECONDS)
            self.log_call_counts()

    def log_call_counts(self) -> None:
        """Log the calls started since the last such line, by step and kind."""
        if self._started:
            log_event(Event.STORE_CALLS, calls=dict(self._started))
            self._started.clear()

    async def _count_call(self, step: str, kind: str, call: Awaitable[Any]) -> Any:
        self._started[f"{step} {kind}"] += 1
        outcome = await call
        name = type(outcome).__name__.lower()
        self._metrics.store_calls.add(1, {"step": step, "kind": kind, "outcome": name})
        return outcome
