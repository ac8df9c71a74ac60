"""Configurations: time until in force everywhere, and calls to the platform.

Routers, peers and the platform run in one process: the tasks are the real ones, the
links and the platform are in memory. Each platform call takes ``--delay`` seconds. A
text is checked once and its cost is told apart. With ``--processes`` the routers are
real processes over HTTP and gRPC.
"""

from __future__ import annotations

import argparse
import json
import pathlib
import random
import tempfile
import time
import tracemalloc
import zlib
from collections import Counter

import anyio
import attrs
import httpx

from ..centres import REGISTRY_PREFIX
from ..changes import ConfigurationTask, Peers, Times
from ..configuration import read_configuration
from ..events import Event
from ..models import Configuration, Holder
from ..proposals import STATE_KEY, decode_state
from ..registries import Registry, decode_registry, encode_registry, register
from ..standins.fleet import Fleet, Plan
from ..standins.memory import MemoryPlatform, MemoryStore
from ..submissions import Accepted, Answer, Submission, SubmissionTimes

CHANGES_PER_DAY = 6_400
DAY_SECONDS = 86_400
TARGET_ROUTERS = 500
TARGET_CENTRES = 18
LIMIT_SECONDS = 10.0

SETTINGS = {"watch_seconds": 20.0, "heartbeat_seconds": 1.0, "doubt_seconds": 3.0}
"""Settings of real routers: the defaults, where the tests' fleet uses shorter ones."""

IN_FORCE_EVENT = Event.CONFIGURATION_IN_FORCE.number

PEER_DELAY = 0.001
"""Seconds that a message between two routers takes: more than the brief's."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the options of this measurement."""
    parser.add_argument("--changes", type=int, default=15, help="per fleet size")
    parser.add_argument("--delay", type=float, default=0.005, help="of a call")
    parser.add_argument("--idle", type=float, default=40.0, help="seconds idle")
    parser.add_argument("--accounts", type=int, default=10)
    parser.add_argument(
        "--processes",
        type=int,
        metavar="N",
        help="instead: N routers in each of 3 data centres as real processes",
    )
    parser.add_argument(
        "--sizes",
        default="3x2,3x3,6x4,9x10,18x14,18x28",
        help="data centres x routers in each, separated by commas",
    )


def run(arguments: argparse.Namespace) -> int:
    """Run the measurement; 1 when a change took longer than the target allows."""
    if arguments.processes:
        return measure_processes(arguments)
    print(f"seed 1, {arguments.changes} changes each, call {arguments.delay} s")
    print(
        "data centres | routers | decided to in force p50 s | p99 s |"
        " proposed to in force p50 s | p99 s | calls per change |"
        " writes per change | calls per idle s | CPU s per change"
    )
    slowest = 0.0
    for size in arguments.sizes.split(","):
        centres, routers = map(int, size.split("x"))
        row = anyio.run(measure, centres, routers, arguments)
        slowest = max(slowest, row.last)
        print(row.render())
    print(render_day(row))
    print_text_costs(arguments)
    return 0 if slowest <= LIMIT_SECONDS else 1


@attrs.frozen
class Row:
    """Figures of one fleet size."""

    centres: int
    routers: int
    decided: tuple[float, ...]
    proposed: tuple[float, ...]
    calls: float
    writes: float
    idle: float
    cpu: float

    @property
    def last(self) -> float:
        """The longest time from the proposal."""
        return self.proposed[-1]

    def render(self) -> str:
        """Return the row of the table."""
        return (
            f"{self.centres} | {self.routers} | {render_times(self.decided)} |"
            f" {render_times(self.proposed)} | {self.calls:.0f} | {self.writes:.0f} |"
            f" {self.idle:.1f} | {self.cpu:.2f}"
        )


def render_times(seconds: tuple[float, ...]) -> str:
    """Return the median and the 99th percentile of sorted times."""
    last = len(seconds) - 1
    return f"{seconds[last // 2]:.3f} | {seconds[last * 99 // 100]:.3f}"


def render_day(row: Row) -> str:
    """Work out what a day's changes cost at the last size measured."""
    rate = CHANGES_PER_DAY / DAY_SECONDS
    calls = row.calls * rate + row.idle
    writes = row.writes * rate
    share = row.cpu * rate / row.routers
    return (
        f"{CHANGES_PER_DAY} changes a day at {row.routers} routers:"
        f" {calls:.0f} calls a second, of which {writes:.2f} writes;"
        f" {100 * share:.3f} % of a core for each router"
    )


class Links(Peers):
    """Links of one router to the others of its data centre."""

    def __init__(self, bench: Bench, router: BenchRouter) -> None:
        self.bench = bench
        self.router = router

    async def fetch_text(self, digest: str) -> str | None:
        return None

    def announce(self) -> None:
        self.bench.group.start_soon(self._send)

    async def _send(self) -> None:
        await anyio.sleep(PEER_DELAY)
        report = self.router.task.exchange()
        for other in self.bench.centres[self.router.centre]:
            if other is not self.router:
                other.task.hear(
                    report.number,
                    report.digest,
                    report.staged_number,
                    report.staged_digest,
                    self.router.holder,
                )

    def neighbours(self) -> frozenset[Holder]:
        return self.router.neighbours


class BenchTask(ConfigurationTask):
    """Checks each text once in the process and lets the others wait as long.

    On hosts of their own, routers check a text side by side; here one after another,
    which at hundreds of routers would be all that the figures show.
    """

    checked: dict[str, tuple[Configuration | tuple, float]] = {}

    async def _check(self, text: str, name: str) -> Configuration | tuple:
        if text not in self.checked:
            began = time.process_time()
            found = read_configuration(text, name)
            self.checked[text] = (found, time.process_time() - began)
        found, seconds = self.checked[text]
        await anyio.sleep(seconds)
        return found


class BenchRouter:
    """One router's configuration task."""

    def __init__(self, bench: Bench, centre: str, number: int, delay: float) -> None:
        self.centre = centre
        self.holder: Holder | None = None
        self.neighbours: frozenset[Holder] = frozenset()
        self.task = BenchTask(
            MemoryPlatform(bench.store, delay),
            centre,
            lambda: self.holder,
            Links(bench, self),
            Times(),
            random.Random(f"{centre}-{number}"),
        )


class Bench:
    """A fleet of configuration tasks."""

    def __init__(self, centres: int, routers: int, delay: float) -> None:
        self.store = MemoryStore()
        self.centres = {
            f"centre-{index}": [
                BenchRouter(self, f"centre-{index}", number, delay)
                for number in range(routers)
            ]
            for index in range(centres)
        }
        self.state_writes: list[float] = []
        self.store.wrote = self._note_write
        self.routers = [r for routers in self.centres.values() for r in routers]

    def _note_write(self, key: str) -> None:
        if key == STATE_KEY:
            self.state_writes.append(time.monotonic())

    def register(self) -> None:
        """Register all routers."""
        for centre, routers in self.centres.items():
            registry = Registry()
            for number, router in enumerate(routers):
                name = f"{centre}-{number}"
                registry, router.holder = register(registry, name, "", "", name)
            self.store.put(REGISTRY_PREFIX + centre, encode_registry(registry), 0)
            live = frozenset(decode_registry(encode_registry(registry)).live())
            for router in routers:
                router.neighbours = live - {router.holder}

    async def heartbeat(self, router: BenchRouter) -> None:
        """Report every second, as the membership does."""
        await anyio.sleep(random.Random(id(router)).random())
        while True:
            router.task.peers.announce()
            await anyio.sleep(1.0)


async def measure(centres: int, routers: int, arguments: argparse.Namespace) -> Row:
    """Measure one fleet size."""
    bench = Bench(centres, routers, arguments.delay)
    times = []
    async with anyio.create_task_group() as group:
        bench.group = group
        bench.register()
        for router in bench.routers:
            await router.task.start(group)
            group.start_soon(bench.heartbeat, router)
        await anyio.sleep(2.0)
        before, writes_before = Counter(bench.store.calls), len(bench.store.writes)
        cpu_before = time.process_time()
        for number in range(arguments.changes):
            times.append(await time_change(bench, number, arguments))
        await anyio.sleep(2.0)
        cpu = time.process_time() - cpu_before
        by_kind = bench.store.calls - before
        calls = sum(by_kind.values())
        writes = len(bench.store.writes) - writes_before
        idle_before = sum(bench.store.calls.values())
        await anyio.sleep(arguments.idle)
        idle = (sum(bench.store.calls.values()) - idle_before) / arguments.idle
        group.cancel_scope.cancel()
    count = arguments.changes
    shares = (f"{kind} {n / count:.0f}" for kind, n in sorted(by_kind.items()))
    print(f"  calls per change by kind: {', '.join(shares)}")
    return Row(
        centres,
        centres * routers,
        tuple(sorted(decided for decided, _ in times)),
        tuple(sorted(proposed for _, proposed in times)),
        calls / count,
        writes / count,
        idle,
        cpu / count,
    )


async def time_change(
    bench: Bench, number: int, arguments: argparse.Namespace
) -> tuple[float, float]:
    """Apply a file.

    Returns:
        The seconds from the write that decided it, and from the one that proposed it,
        until it was in force at the last router.
    """
    platform = MemoryPlatform(bench.store, arguments.delay)
    rng = random.Random(number)
    times = SubmissionTimes(total_seconds=60.0)
    submission = Submission(platform, f"change-{number}", "bench", rng, times)
    text = make_text(arguments.accounts, number)
    answers: list[Answer] = []

    async def submit() -> None:
        answers.append(await submission.apply(text, "bench"))

    bench.state_writes.clear()
    async with anyio.create_task_group() as group:
        group.start_soon(submit)
        while any(r.task.in_force.number <= number for r in bench.routers):
            await anyio.sleep(0.001)
        ended = time.monotonic()
    assert isinstance(answers[0], Accepted), answers
    proposed, decided = bench.state_writes
    return ended - decided, ended - proposed


def make_text(accounts: int, number: int) -> str:
    """Make a file with some accounts, a little different for each number."""
    runner = {"name": "r-1", "address": "127.0.0.1:1", "data_centre": "centre-0"}
    return json.dumps(
        {
            "budgets": [
                {"name": f"b-{i}", "opening_tokens": 1000} for i in range(accounts)
            ],
            "accounts": [
                {
                    "name": f"a-{i}",
                    "budget": f"b-{i}",
                    "key_digests": [f"{i:064x}"],
                    "weight": 1 + (number if i == 0 else 0),
                }
                for i in range(accounts)
            ],
            "endpoints": [{"name": "llm", "kind": "engine", "runners": [runner]}],
            "routes": [{"name": "llm", "endpoint": "llm"}],
        },
        indent=1,
    )


def measure_processes(arguments: argparse.Namespace) -> int:
    """Apply files to real processes; take the times from the routers' logs."""
    plan = Plan(
        data_centres=("one", "two", "three"),
        routers=arguments.processes,
        engines=1,
        services=0,
        settings=SETTINGS,
    )
    with tempfile.TemporaryDirectory() as name:
        directory = pathlib.Path(name)
        with Fleet(directory, plan) as fleet:
            before = count_calls(fleet)
            began = time.monotonic()
            for number in range(arguments.changes):
                fleet.apply(rules={"leaving_seconds": 1 + number % 50})
            time.sleep(2.0)
            seconds = time.monotonic() - began
            calls = count_calls(fleet) - before
            times = read_times(fleet)
    print("routers | decided to in force p50 s | p99 s | proposed to in force p50 s |")
    print("p99 s | all calls to the platform a second meanwhile, budgets' included")
    decided, proposed = zip(*times, strict=True)
    print(
        f"{3 * arguments.processes} | {render_times(tuple(sorted(decided)))} |"
        f" {render_times(tuple(sorted(proposed)))} | {calls / seconds:.1f}"
    )
    return 0 if max(proposed) <= LIMIT_SECONDS else 1


def count_calls(fleet: Fleet) -> int:
    """Return the calls that the platform's stand-in has had."""
    counts = fleet.platform.get("/counts")
    return sum(value for value in counts.values() if isinstance(value, int))


def read_times(fleet: Fleet) -> list[tuple[float, float]]:
    """Read, for each change but the first, how long it took.

    Returns:
        The seconds from the decision, and from the proposal, until the last router
        had it in force.
    """
    moments: dict[int, list[float]] = {}
    for path in fleet.directory.glob("log-*"):
        for line in path.read_text().splitlines():
            event = json.loads(line)
            if event.get("message_type", "").startswith(str(IN_FORCE_EVENT)):
                moments.setdefault(event["number"], []).append(event["timestamp"])
    state = decode_state(
        httpx.get(f"http://{fleet.platform.address}/objects/{STATE_KEY}").content
    )
    return [
        (max(ends) - proposal.settled, max(ends) - proposal.proposed)
        for proposal in state.proposals()
        for ends in [moments[proposal.version.number]]
        if proposal.version.number > 1
    ]


def print_text_costs(arguments: argparse.Namespace) -> None:
    """Measure what one router pays for a file, by its size."""
    print("accounts and budgets | text KB | compressed KB | check s | peak MB")
    for accounts in (10, 100, 1_000, 5_000):
        text = make_text(accounts, 0)
        tracemalloc.start()
        read_configuration(text, "bench")
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        began = time.process_time()
        read_configuration(text, "bench")
        seconds = time.process_time() - began
        packed = len(zlib.compress(text.encode()))
        print(
            f"{accounts} | {len(text) / 1e3:.0f} | {packed / 1e3:.1f} |"
            f" {seconds:.3f} | {peak / 1e6:.1f}"
        )
