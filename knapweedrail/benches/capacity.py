"""Measures the slopes of state and processor time, and works out the target's size.

What one process shows by itself is measured here; relaying, exchanges between routers
and changes of configuration have measurements of their own and are passed in.
"""

from __future__ import annotations

import argparse
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import attrs

from ..allowances import Allowance
from ..configuration import read_configuration
from ..entries import AddBill, Batch, Grant, OpenBudget, Report
from ..ledgers import Ledger, decode_ledger, encode_ledger
from ..models import Bill, Holder
from ..platforms import MAX_VALUE_BYTES
from ..postings import apply_batch
from ..runs import RunTable
from .changes import make_text
from .policies import print_table

REPEATS = 5
"""Times that each duration is taken; the least and the greatest are shown."""


@attrs.frozen
class Target:
    """The size to come, from the users' letter."""

    nodes: int = 500
    data_centres: int = 18
    budgets: int = 300_000
    accounts: int = 20_000
    requests: float = 38_000.0
    tokens: float = 12_000_000.0
    changes_a_day: int = 6_400
    writes: float = 300.0
    reads: float = 2_000.0
    control_core: float = 0.043
    control_bytes: float = 128e6
    control_traffic: float = 23e3


@attrs.frozen
class Slopes:
    """Figures of other measurements, passed in by the command's options.

    Attributes:
        chunk_seconds: Processor time of one chunk relayed.
        request_seconds: Processor time of one request.
        exchange_seconds: Processor time of one exchange between routers.
        exchange_bytes: Bytes of one exchange, each way.
        exchanges: Exchanges of a router a second at the target.
        calls: Platform calls of an idle router a second.
    """

    chunk_seconds: float
    request_seconds: float
    exchange_seconds: float
    exchange_bytes: float
    exchanges: float
    calls: float


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the options: slopes of the other measurements."""
    parser.add_argument("--chunk-us", type=float, default=300.0, help="from relay")
    parser.add_argument("--request-ms", type=float, default=5.0, help="from relay")
    parser.add_argument("--exchange-ms", type=float, default=1.1, help="from members")
    parser.add_argument("--exchange-bytes", type=float, default=330.0)
    parser.add_argument("--exchanges", type=float, default=16.0, help="a second")
    parser.add_argument("--calls", type=float, default=0.14, help="idle, a second")


def run(arguments: argparse.Namespace) -> int:
    """Print the tables."""
    slopes = Slopes(
        chunk_seconds=arguments.chunk_us / 1e6,
        request_seconds=arguments.request_ms / 1e3,
        exchange_seconds=arguments.exchange_ms / 1e3,
        exchange_bytes=arguments.exchange_bytes,
        exchanges=arguments.exchanges,
        calls=arguments.calls,
    )
    print_ledgers()
    print_memory()
    print_configuration()
    print_target(Target(), slopes)
    return 0


def print_ledgers() -> None:
    """Print the size of a ledger and the time of its steps against its content."""
    rows = []
    for budgets, holders, bills in (
        (10, 9, 0),
        (100, 2, 0),
        (100, 18, 0),
        (1000, 2, 0),
        (1000, 2, 2000),
    ):
        ledger = fill_ledger(budgets, holders, bills)
        value = encode_ledger(ledger)
        batch = Batch(Holder("new", 1), "d0", 1, (Grant("b0", 1, 1, 1, 1),))
        rows.append(
            (
                f"{budgets} budgets x {holders} holders, {bills} bills",
                len(value),
                f"{len(value) / budgets:.0f}",
                time_call(lambda ledger=ledger: encode_ledger(ledger)),
                time_call(lambda value=value: decode_ledger(value)),
                time_call(lambda ledger=ledger: apply_batch(ledger, batch)),
            )
        )
    header = ("ledger", "bytes", "bytes a budget", "encode ms", "decode ms", "apply ms")
    print_table("ledger objects", header, rows)


def fill_ledger(budgets: int, holders: int, bills: int) -> Ledger:
    """Make a ledger in which each holder holds a part of each budget."""
    ledger = Ledger()
    opening = tuple(OpenBudget(f"b{n}", 10**9) for n in range(budgets))
    ledger = apply_batch(ledger, Batch(Holder("op", 1), "d", 1, opening)).ledger
    for number in range(holders):
        entries: list[Any] = []
        for budget in range(budgets):
            entries.append(Grant(f"b{budget}", 10_000, 100_000, 0, 1000))
            entries.append(Report(f"b{budget}", 5_000, 0, 0, 0))
        holder = Holder(f"data-centre-{number}-router", 1)
        batch = Batch(holder, f"d{number}", 1, tuple(entries))
        ledger = apply_batch(ledger, batch).ledger
    rows = tuple(
        AddBill(Bill(f"a{n % 100}", f"{n:032x}", f"b{n % budgets}", 500, "llm", 1.0))
        for n in range(bills)
    )
    batch = Batch(Holder("op", 1), "d", 2, rows)
    return apply_batch(ledger, batch).ledger


def print_memory() -> None:
    """Print the memory of what a router holds for each budget and each answer."""

    def allowances() -> Any:
        return [Allowance(f"budget-{n}", 0.0) for n in range(10_000)]

    def answers() -> Any:
        table = RunTable(60.0, 10**9)
        for number in range(2_000):
            run = table.begin("account", f"{number:032x}", "f" * 64, 0.0).run
            for _ in range(100):
                run.append(b"x" * 200)
            run.finish(True, 0.0)
        return table

    rows = [
        ("budget held in a router", weigh(allowances) // 10_000),
        ("answer of 100 chunks of 200 bytes kept", weigh(answers) // 2_000),
    ]
    print_table("memory of a router", ("what", "bytes each"), rows)


def print_configuration() -> None:
    """Print the size of a configuration and the time to check it."""
    rows = []
    for accounts in (10, 1_000, 20_000):
        text = make_text(accounts, 1)
        holder: list[Any] = []
        size = weigh(
            lambda text=text, holder=holder: holder.append(
                read_configuration(text, "file")
            )
        )
        start = time.perf_counter()
        read_configuration(text, "file")
        seconds = time.perf_counter() - start
        rows.append(
            (
                f"{accounts} client accounts",
                len(text),
                f"{seconds:.3f}",
                f"{size / 1e6:.1f}",
            )
        )
    header = ("configuration", "bytes", "check s", "peak MB traced")
    print_table("configuration files", header, rows)


def print_target(target: Target, slopes: Slopes) -> None:
    """Print what the slopes come to at the target's size, against its limits."""
    tokens = target.tokens / target.nodes
    requests = target.requests / target.nodes
    relay = tokens * slopes.chunk_seconds + requests * slopes.request_seconds
    control = slopes.exchanges * slopes.exchange_seconds
    traffic = 2 * slopes.exchanges * slopes.exchange_bytes
    shards = -(-target.budgets * 1000 // MAX_VALUE_BYTES)
    idle = target.nodes * slopes.calls
    changes = target.changes_a_day / 86_400
    writers = target.data_centres
    rows = [
        ("cores for relaying, a node", f"{relay:.1f}", "-"),
        ("control, share of a core a node", f"{control:.4f}", target.control_core),
        ("control, bytes/s a node", f"{traffic:.0f}", target.control_traffic),
        ("platform calls/s, idle routers", f"{idle:.0f}", target.reads),
        ("configuration writes/s", f"{changes * (writers + 3):.2f}", target.writes),
        ("ledger shards at 1,000 bytes a budget", shards, "-"),
        *list_ledger_writes(target, shards),
    ]
    print_table("at the target", ("what", "worked out", "limit"), rows)


def list_ledger_writes(target: Target, shards: int) -> list[tuple]:
    """List the ledger writes a second by who writes and how often.

    A writer writes each shard that its requests touched since its last write; with
    budgets drawn on evenly that is the number of requests, or all shards if fewer.
    """
    rows = []
    for writers, name in (
        (target.nodes, "each router for itself"),
        (target.data_centres, "one writer a data centre"),
    ):
        for pause in (0.25, 2.0, 20.0):
            requests = target.requests / writers * pause
            writes = writers * min(shards, requests) / pause
            row = f"ledger writes/s, {name}, every {pause} s"
            rows.append((row, f"{writes:.0f}", target.writes))
    return rows


def time_call(call: Callable[[], Any]) -> str:
    """Return the least and the greatest of some durations, in milliseconds."""
    times = []
    for _ in range(REPEATS):
        start = time.perf_counter()
        call()
        times.append((time.perf_counter() - start) * 1e3)
    return f"{min(times):.2f}-{max(times):.2f}"


def weigh(build: Callable[[], Any]) -> int:
    """Return the bytes that stay allocated while what is built is held."""
    tracemalloc.start()
    kept = build()
    size, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size if kept is not None else peak
