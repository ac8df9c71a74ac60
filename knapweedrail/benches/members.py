"""What membership costs a router: processor, network, memory and platform calls."""

from __future__ import annotations

import argparse
import json
import time

import anyio
import attrs

from ..platforms import HttpPlatform
from ..registries import (
    Registry,
    decode_registry,
    encode_registry,
    fence,
    register,
)
from ..standins.processes import Process, Standin, start_all

MEMBERSHIP = "knapweedrail.standins.membership"

OWN = "own"

LIMIT_CORE = 0.043
LIMIT_BYTES = 23_000.0
LIMIT_MEMORY = 128_000_000
"""What the target allows a router for all control."""

TARGET_OWN = 28
TARGET_OTHERS = 17
"""Routers of a data centre and other data centres at 500 routers in 18."""


START_SECONDS = 3.0
"""Time after a start in which its changes are read by all."""


@attrs.frozen
class Case:
    """A fleet: routers of the own data centre, others, and routers in each."""

    own: int
    others: int = 0
    each: int = 0
    beat: float = 1.0

    @property
    def members(self) -> int:
        """Routers that the measured one knows."""
        return self.own - 1 + self.others * self.each


class Worker(Process):
    """A process of memberships that tells its figures in a second line."""

    def read_figures(self) -> dict[str, float]:
        """Wait for the figures."""
        return json.loads(self._child.stdout.readline())


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the options of this measurement."""
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--settle", type=float, default=8.0)
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--short", action="store_true", help="only two small cases")


def run(args: argparse.Namespace) -> int:
    """Measure all cases and print the tables."""
    cases = [
        Case(1),
        Case(3),
        Case(3, 2, 3),
        Case(9),
        Case(TARGET_OWN),
        Case(TARGET_OWN, beat=0.5),
        Case(TARGET_OWN, TARGET_OTHERS, TARGET_OWN),
    ]
    if args.short:
        cases = cases[:2]
    print(
        "own | others | heartbeat s | % of a core | sent B/s | received B/s |"
        " memory MB | platform calls/s and router | find p50 ms | p99 ms | CPU ms"
    )
    met = True
    for case in cases:
        figures = measure_case(case, args)
        print_row(case, figures)
        met = met and meets_target(figures)
    measure_starts(2 if args.short else TARGET_OWN)
    print_sizes()
    return 0 if met else 1


def print_row(case: Case, figures: dict[str, float]) -> None:
    """Print the figures of one case."""
    cells = [
        f"{case.own}",
        f"{case.others} x {case.each}",
        f"{case.beat}",
        f"{100 * figures['core']:.2f}",
        f"{figures['sent']:.0f}",
        f"{figures['received']:.0f}",
        f"{figures['memory'] / 1e6:.1f}",
        f"{figures['calls']:.3f}",
        f"{1000 * figures['find_p50']:.2f}",
        f"{1000 * figures['find_p99']:.2f}",
        f"{1000 * figures['find_processor']:.2f}",
    ]
    print(" | ".join(cells), flush=True)


def meets_target(figures: dict[str, float]) -> bool:
    """Say whether membership alone stays within what all control may cost."""
    within_bytes = max(figures["sent"], figures["received"]) <= LIMIT_BYTES
    within_memory = figures["memory"] <= LIMIT_MEMORY
    return figures["core"] <= LIMIT_CORE and within_bytes and within_memory


def measure_case(case: Case, args: argparse.Namespace) -> dict[str, float]:
    """Run a fleet of memberships and measure one router in a process of its own."""
    platform = Standin("platform")
    workers: list[Worker] = []
    try:
        start_all([platform])
        url = f"http://{platform.address}"
        start_others(case, url, workers)
        names = [f"{OWN}/own-{number}" for number in range(1, case.own)]
        for part in range(args.processes):
            start_worker(workers, url, names[part :: args.processes], case)
        start_all(workers[-args.processes :] if names else [])
        measured = Worker(
            MEMBERSHIP,
            f"--platform={url}",
            f"--places={OWN}/own-0",
            f"--beat={case.beat}",
            f"--members={case.members}",
            f"--settle={args.settle}",
            f"--seconds={args.seconds}",
        )
        workers.append(measured)
        start_all([measured])
        time.sleep(args.settle)
        before = count_calls(platform)
        figures = measured.read_figures()
        calls = count_calls(platform) - before
        figures["calls"] = calls / args.seconds / (case.own + case.others)
        return figures
    finally:
        for process in [*workers, platform]:
            process.close()


def start_worker(
    workers: list[Worker], url: str, places: list[str], case: Case
) -> None:
    """Prepare a process for some routers, if there are any."""
    if places:
        options = f"--platform={url}", f"--places={','.join(places)}"
        workers.append(Worker(MEMBERSHIP, *options, f"--beat={case.beat}"))


def start_others(case: Case, url: str, workers: list[Worker]) -> None:
    """Start one router in each other data centre and list further ones beside it.

    The further ones have its address, so that whoever is chosen answers.
    """
    places = [f"dc-{number}/dc-{number}-0" for number in range(case.others)]
    if not places:
        return
    start_worker(workers, url, places, case)
    start_all(workers)
    anyio.run(list_further, url, case)


async def list_further(url: str, case: Case) -> None:
    """Register names that share the address of the one router of a data centre."""
    platform = HttpPlatform(url)
    await platform.start()
    for number in range(case.others):
        key = f"registry/dc-{number}"
        found = await platform.read(key)
        registry = decode_registry(found.value)
        address = registry.entries[f"dc-{number}-0"].life.peer_address
        for further in range(1, case.each):
            name = f"dc-{number}-{further}"
            registry, _ = register(registry, name, address, name, name)
        await platform.write(key, encode_registry(registry), found.version)
    await platform.close()


def count_calls(platform: Standin) -> int:
    """Return the calls that the platform has had."""
    return sum(platform.get("/counts").values())


def measure_starts(routers: int) -> None:
    """Count the platform's calls while a data centre's routers start at once."""
    platform = Standin("platform")
    worker = None
    try:
        start_all([platform])
        url = f"http://{platform.address}"
        places = ",".join(f"{OWN}/own-{number}" for number in range(routers))
        worker = Worker(MEMBERSHIP, f"--platform={url}", f"--places={places}")
        start_all([worker])
        time.sleep(START_SECONDS)
        counts = platform.get("/counts")
        kinds = {
            kind: round(calls / routers, 2) for kind, calls in sorted(counts.items())
        }
        print(f"start of {routers} routers at once, calls for each: {kinds}")
    finally:
        for process in [worker, platform]:
            if process is not None:
                process.close()


def print_sizes() -> None:
    """Print the size of registry objects."""
    registry = Registry()
    sizes = {}
    for number in range(1, 101):
        name = f"router-split-a-{number:03}"
        registry, holder = register(
            registry, name, "10.20.30.40:8081", name, f"{number:032x}"
        )
        sizes[number] = len(encode_registry(registry))
    each = (sizes[100] - sizes[10]) / 90
    print(f"registry of 28: {sizes[28]} B; {each:.0f} B for each router")
    for number in range(100):
        registry = fence(registry, holder)
        registry, holder = register(
            registry, holder.name, "10.20.30.40:8081", holder.name, f"{number:032x}"
        )
    added = len(encode_registry(registry)) - sizes[100]
    print(f"100 earlier lives of one name add {added} B")
