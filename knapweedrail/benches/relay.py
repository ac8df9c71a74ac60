"""Measures what a router adds between callers and engines, and what it costs.

One engine or several, one router, and load programs, each a process of its own. The
same seeded arrivals go straight to the engines and through the router.
"""

from __future__ import annotations

import argparse
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time

import attrs

from ..standins.fleet import ENGINE_ROUTE, Fleet, Plan, make_key

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
"""Ticks of processor time in a second, as the kernel counts them."""

ACCOUNT = "load"

BUDGET = 10**12
"""Never near its end, so that what is measured is the relay."""

PROMPT_WORDS = 32

TOKEN_SECONDS = 0.02
"""Pace of the engines: 50 tokens a second to each caller."""

IDLE_PROMPT_TOKENS = 400
"""Length of the answers that are held open while memory is read."""

HOLD_SECONDS = 4.5
"""Time from starting a load program until all of its streams are open. They start
within two seconds and last for eight."""

DIRECT = "direct"
ROUTED = "routed"


@attrs.frozen
class Sample:
    """What one run showed.

    Attributes:
        arm: `DIRECT` or `ROUTED`.
        rate: Requests a second.
        tally: Figures of the load program.
        processor: Processor seconds that the router used; 0 when direct.
        memory: Most bytes that the router had resident; 0 when direct.
    """

    arm: str
    rate: float
    tally: dict
    processor: float
    memory: int

    @property
    def chunks_a_second(self) -> float:
        """Chunks that callers received, a second."""
        return self.tally["chunks"] / self.tally["elapsed_seconds"]

    @property
    def load(self) -> float:
        """Share of a core that the router used."""
        return self.processor / self.tally["elapsed_seconds"]


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the options of this measurement."""
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--tokens", type=int, default=50, help="tokens an answer")
    parser.add_argument(
        "--rates", type=float, nargs="+", default=[2, 5, 10, 20, 40], metavar="R"
    )
    parser.add_argument(
        "--streams", type=int, nargs="+", default=[0, 50, 100, 200], metavar="N"
    )


def run(arguments: argparse.Namespace) -> int:
    """Measure and print the tables; 0 when every request was answered."""
    plan = Plan(
        routers=1,
        engines=2,
        services=0,
        accounts={ACCOUNT: BUDGET},
        engine_options=(
            *("--token-seconds", str(TOKEN_SECONDS)),
            *("--slots", "2000", "--queue", "2000"),
        ),
        endpoint={"slots": 1000},
        settings={"flush_seconds": 0.5, "heartbeat_seconds": 1.0},
    )
    with tempfile.TemporaryDirectory() as folder:
        with Fleet(pathlib.Path(folder), plan) as fleet:
            print(f"seed {arguments.seed}, {arguments.tokens} tokens an answer")
            warm(fleet, arguments)
            samples = [
                measure(fleet, arm, rate, arguments)
                for rate in arguments.rates
                for arm in (DIRECT, ROUTED)
            ]
            print_times(samples)
            print_costs(samples)
            print_memory(fleet, arguments)
    unanswered = sum(
        sum(s.tally["outcomes"].values()) - s.tally["outcomes"].get("answered", 0)
        for s in samples
    )
    print(f"\nRequests without a whole answer: {unanswered}")
    return 0 if unanswered == 0 else 1


def warm(fleet: Fleet, arguments: argparse.Namespace) -> None:
    """Let the router open its connections and obtain its tokens."""
    start_load(fleet, ROUTED, 10.0, arguments, 2.0).communicate()


def measure(
    fleet: Fleet, arm: str, rate: float, arguments: argparse.Namespace
) -> Sample:
    """Run one load and read the router's processor time around it."""
    router = next(iter(fleet.routers.values())).id
    before = read_processor(router)
    load = start_load(fleet, arm, rate, arguments, arguments.seconds)
    output, _ = load.communicate()
    used = read_processor(router) - before
    routed = arm == ROUTED
    memory = read_memory(router)
    return Sample(
        arm, rate, json.loads(output), used if routed else 0.0, memory if routed else 0
    )


def start_load(
    fleet: Fleet,
    arm: str,
    rate: float,
    arguments: argparse.Namespace,
    seconds: float,
    tokens: int | None = None,
) -> subprocess.Popen:
    """Start a load program against the router or straight to the engines."""
    urls = [f"http://{engine.address}" for engine in fleet.engines.values()]
    if arm == ROUTED:
        urls = [router.url for router in fleet.routers.values()]
    command = [sys.executable, "-m", "knapweedrail.tools.load", "--json"]
    for url in urls:
        command += ["--url", url]
    command += ["--key", make_key(ACCOUNT), "--model", ENGINE_ROUTE]
    command += ["--rate", str(rate), "--seconds", str(seconds)]
    # Each run has its own seed for identities: a repeated identity would be given
    # the kept answer of the earlier run.
    command += ["--seed", str(make_seed(arguments.seed, arm, rate, seconds))]
    command += ["--prompt-words", str(PROMPT_WORDS)]
    command += ["--answer-tokens", str(tokens or arguments.tokens)]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


def make_seed(seed: int, arm: str, rate: float, seconds: float) -> int:
    """Return the seed of one run; both arms of a rate have the same."""
    return int(seed * 10**6 + rate * 100 + seconds)


def read_processor(process: int) -> float:
    """Return the processor seconds that a process has used."""
    with open(f"/proc/{process}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def read_memory(process: int) -> int:
    """Return the resident bytes of a process."""
    with open(f"/proc/{process}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
    raise ValueError(f"process {process} tells no memory")


def print_times(samples: list[Sample]) -> None:
    """Print what callers see, direct and routed."""
    print("\n| requests/s | way | answered | first p50 ms | p95 | p99", end="")
    print(" | between p50 ms | p95 | p99 |")
    print("|---:|---|---:|---:|---:|---:|---:|---:|---:|")
    for sample in samples:
        first = sample.tally["first_token_ms"]
        between = sample.tally["between_tokens_ms"]
        cells = [f"{sample.rate:g}", sample.arm]
        answered = sample.tally["outcomes"].get("answered", 0)
        cells.append(f"{answered}/{sum(sample.tally['outcomes'].values())}")
        for figures in (first, between):
            cells += [f"{figures.get(p, 0.0):.2f}" for p in ("p50", "p95", "p99")]
        print("| " + " | ".join(cells) + " |")


def print_costs(samples: list[Sample]) -> None:
    """Print what the router adds and what it needs for it."""
    print("\n| requests/s | chunks/s | core used | chunks per core-second", end="")
    print(" | added first p50 ms | added between p50 ms | resident MB |")
    print("|---:|---:|---:|---:|---:|---:|---:|")
    for direct, routed in zip(samples[::2], samples[1::2], strict=True):
        added = [
            routed.tally[name].get("p50", 0.0) - direct.tally[name].get("p50", 0.0)
            for name in ("first_token_ms", "between_tokens_ms")
        ]
        cells = [f"{routed.rate:g}", f"{routed.chunks_a_second:.0f}"]
        cells += [f"{routed.load:.2f}"]
        cells += [f"{routed.tally['chunks'] / max(routed.processor, 0.01):.0f}"]
        cells += [f"{value:.2f}" for value in added]
        cells += [f"{routed.memory / 10**6:.1f}"]
        print("| " + " | ".join(cells) + " |")


def print_memory(fleet: Fleet, arguments: argparse.Namespace) -> None:
    """Print the router's memory with streams held open."""
    router = next(iter(fleet.routers.values())).id
    print("\n| open streams | resident MB | KB per stream, since the row before |")
    print("|---:|---:|---:|")
    previous: tuple[int, int] | None = None
    for streams in arguments.streams:
        loads = []
        if streams:
            loads = [hold_streams(fleet, streams, arguments)]
        running = wait_streams(fleet, streams)
        memory = read_memory(router)
        slope = ""
        if previous is not None and running > previous[0]:
            slope = f"{(memory - previous[1]) / 1000 / (running - previous[0]):.1f}"
        print(f"| {running} | {memory / 10**6:.1f} | {slope} |")
        previous = (running, memory)
        for load in loads:
            load.communicate()


def hold_streams(
    fleet: Fleet, streams: int, arguments: argparse.Namespace
) -> subprocess.Popen:
    """Open about so many long streams within two seconds."""
    return start_load(
        fleet, ROUTED, streams / 2, arguments, 2.0, tokens=IDLE_PROMPT_TOKENS
    )


def wait_streams(fleet: Fleet, streams: int) -> int:
    """Wait until the streams are open; return how many run."""
    time.sleep(HOLD_SECONDS if streams else 0.0)
    return sum(e.get("/load")["running"] for e in fleet.engines.values())
