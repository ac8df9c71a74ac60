"""Measure overspend, false refusals, stranded tokens and platform calls of budgets."""

from __future__ import annotations

import argparse
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.abc
import attrs

from ..models import Rules
from ..standins.clocks import VirtualLoop
from ..standins.spending import (
    Callers,
    Count,
    EqualSplit,
    GrantScheme,
    Load,
    WritePerRequest,
    list_routers,
)

SCALE = 20.0
"""One measured second stands for twenty: an hour's cut takes three minutes."""

WARM_SECONDS = 150.0
"""Time before the cut: demand is known and the cover is held."""

SETTLE_SECONDS = 10.0
"""Time after the load, for what is under way and for the bills."""

SILENT_SECONDS = 10.0
"""Silence after which the other routers recover a dead one, as the router has it."""

BUDGET_HOURS = 8.0
"""A full budget is eight hours of its account's own demand."""

HOUR = 3600.0 / SCALE
ALL = frozenset({"centre-0", "centre-1", "centre-2"})
ONE = frozenset({"centre-0"})

GRANTS = "grants"
EQUAL = "equal split"
WRITES = "write per request"


@attrs.frozen
class Result:
    """What one run came to."""

    count: Count
    overspend: int
    reads: int = 0
    writes: int = 0
    seconds: float = 1.0
    stranded: int = 0
    recovered: int = 0
    dead_held: int = 0
    recover_seconds: float = 0.0


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the command's arguments."""
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2])
    parser.add_argument("--quick", action="store_true", help="one seed, fewer rows")


def run(arguments: argparse.Namespace) -> int:
    """Print the tables; 0 when nothing was overspent and no refusal was untrue."""
    seeds = arguments.seeds[:1] if arguments.quick else arguments.seeds
    print(f"seeds: {seeds}; one measured second stands for {SCALE:.0f}\n")
    results: list[Result] = []
    results += print_cuts(seeds)
    results += print_schemes(seeds)
    results += print_curve(seeds)
    results += print_deaths(seeds)
    results += print_calls(seeds[:1])
    overspend = sum(result.overspend for result in results)
    untrue = sum(result.count.untrue_spent for result in results)
    print(f"runs: {len(results)}; overspend: {overspend}; untrue 'spent': {untrue}")
    return 0 if overspend == 0 and untrue == 0 else 1


def print_cuts(seeds: list[int]) -> list[Result]:
    """Print false refusals against length of cut and share of budget left."""
    print("False refusals (%) of the grants while the platform is cut off\n")
    print_header("cut off", "cut (min)", "left 50 %", "left 25 %", "left 10 %")
    results = []
    for label, centres in (("one data centre", ONE), ("all", ALL)):
        for minutes in (10, 30, 60):
            cells = []
            for left in (0.5, 0.25, 0.1):
                runs = [
                    run_cut(GRANTS, make_load(seed, left), centres, minutes / 60 * HOUR)
                    for seed in seeds
                ]
                results += runs
                cells.append(show_percent(runs))
            print_row(label, minutes, *cells)
    print()
    return results


def print_schemes(seeds: list[int]) -> list[Result]:
    """Print the grants beside the plainest correct schemes, same requests."""
    print("Schemes side by side: an hour's cut of all data centres; then no cut.")
    print("Skew: requests of one data centre as a multiple of each other one's\n")
    print_header(
        "scheme", "skew", "cut (min)", "left", "false refusals (%)", "overspend"
    )
    results = []
    for skew, minutes, left in (
        (1, 60, 0.5),
        (4, 60, 0.5),
        (4, 60, 0.25),
        (1, 0, 0.1),
        (4, 0, 0.1),
    ):
        for scheme in (GRANTS, EQUAL, WRITES):
            loads = [attrs.evolve(make_load(seed, left), skew=skew) for seed in seeds]
            runs = [run_cut(scheme, load, ALL, minutes / 60 * HOUR) for load in loads]
            results += runs
            overspend = sum(item.overspend for item in runs)
            percent = show_percent(runs)
            print_row(scheme, skew, minutes, f"{left:.0%}", percent, overspend)
    print()
    return results


def print_curve(seeds: list[int]) -> list[Result]:
    """Print false refusals against stranded tokens over the operators' rules."""
    print("The operators' choice: false refusals in an hour's cut of one data centre")
    print("(half left) against the tokens that a router's death writes off\n")
    print_header(
        "cover_seconds",
        "allowance_seconds",
        "false refusals (%)",
        "held at death",
        "brought back",
        "written off",
    )
    results = []
    for cover in (0, 600, 3600):
        for allowance in (1, 5, 20):
            rules = make_rules(cover, allowance)
            loads = [make_load(seed, 0.5) for seed in seeds]
            cuts = [run_cut(GRANTS, load, ONE, HOUR, rules) for load in loads]
            deaths = [run_death(load, rules) for load in loads]
            results += [*cuts, *deaths]
            print_row(cover, allowance, show_percent(cuts), *show_deaths(deaths))
    print()
    return results


def print_deaths(seeds: list[int]) -> list[Result]:
    """Print what a router's death strands, and until when."""
    print("A router dies under load, by routers per data centre\n")
    print_header(
        "routers per data centre",
        "held at death",
        "brought back",
        "written off",
        "written off (% of left)",
        "back after (s)",
    )
    results = []
    for routers in (1, 2, 3):
        loads = [make_load(seed, 0.5, routers=routers) for seed in seeds]
        runs = [run_death(load, make_rules(3600, 5)) for load in loads]
        results += runs
        left = sum(sum(load.list_limits().values()) for load in loads) / len(loads)
        lost = sum(item.stranded for item in runs) / len(runs)
        seconds = max(item.recover_seconds for item in runs) + SILENT_SECONDS
        cells = show_deaths(runs)
        print_row(routers, *cells, f"{100 * lost / left:.2f}", f"{seconds:.2f}")
    print()
    return results


def print_calls(seeds: list[int]) -> list[Result]:
    """Print platform calls as accounts, routers and load grow."""
    print("Platform calls in steady state, half left, nothing cut\n")
    print_header(
        "routers",
        "accounts",
        "requests/s",
        "reads per request",
        "writes per request",
        "reads/s per router",
        "writes/s per router",
    )
    results = []
    rows = ((2, 10, 6.0), (2, 10, 24.0), (3, 10, 9.0), (4, 10, 12.0), (2, 40, 6.0))
    for routers, accounts, requests in rows:
        for seed in seeds:
            load = make_load(seed, 0.5, routers, accounts, requests)
            result = run_cut(GRANTS, load, ALL, 0.0)
            results.append(result)
            fleet = len(list_routers(load))
            reads, writes = result.reads, result.writes
            print_row(
                fleet,
                accounts,
                f"{requests:.0f}",
                f"{reads / result.count.asked:.2f}",
                f"{writes / result.count.asked:.2f}",
                f"{reads / result.seconds / fleet:.2f}",
                f"{writes / result.seconds / fleet:.2f}",
            )
    print()
    return results


def make_load(
    seed: int,
    left: float,
    routers: int = 2,
    accounts: int = 10,
    requests: float = 6.0,
) -> Load:
    """Return a load whose budgets have a part of their full size left."""
    seconds = BUDGET_HOURS * HOUR * left + WARM_SECONDS
    return Load(3, routers, accounts, requests, seconds, seed)


def make_rules(cover_seconds: float, allowance_seconds: float) -> Rules:
    """Return the operators' rules; the cover is scaled as the cut is."""
    return Rules(
        cover_seconds=cover_seconds / SCALE, allowance_seconds=allowance_seconds
    )


def run_cut(
    name: str,
    load: Load,
    centres: frozenset[str],
    seconds: float,
    rules: Rules | None = None,
) -> Result:
    """Run load through a cut and count."""
    rules = rules or make_rules(3600, 5)

    async def run_grants(group: anyio.abc.TaskGroup) -> Result:
        scheme = GrantScheme(load, rules, group)
        await scheme.start()
        callers = Callers(load, scheme)
        await callers.run(WARM_SECONDS, group)
        callers.count.asked = callers.count.served = 0
        calls = [(item.reads, item.writes) for item in scheme.platforms.values()]
        began = anyio.current_time()
        scheme.cut(centres, seconds > 0)
        await callers.run(seconds or HOUR, group)
        passed = anyio.current_time() - began
        reads = sum(item.reads for item in scheme.platforms.values())
        writes = sum(item.writes for item in scheme.platforms.values())
        scheme.cut(centres, False)
        await anyio.sleep(SETTLE_SECONDS)
        return Result(
            callers.count,
            callers.overspend(),
            reads - sum(item[0] for item in calls),
            writes - sum(item[1] for item in calls),
            passed,
        )

    async def run_plain(group: anyio.abc.TaskGroup) -> Result:
        scheme = EqualSplit(load) if name == EQUAL else WritePerRequest(load)
        callers = Callers(load, scheme)
        await callers.run(WARM_SECONDS, group)
        callers.count.asked = callers.count.served = 0
        if isinstance(scheme, WritePerRequest) and seconds:
            scheme.cut_routers = {
                router for centre, router in list_routers(load) if centre in centres
            }
        await callers.run(seconds or HOUR, group)
        if isinstance(scheme, WritePerRequest):
            scheme.cut_routers = set()
        await anyio.sleep(SETTLE_SECONDS)
        return Result(callers.count, callers.overspend())

    return run_virtual(run_grants if name == GRANTS else run_plain)


def run_death(load: Load, rules: Rules) -> Result:
    """Let a router die under load and a neighbour, or any, recover it."""

    async def run_fleet(group: anyio.abc.TaskGroup) -> Result:
        scheme = GrantScheme(load, rules, group)
        await scheme.start()
        callers = Callers(load, scheme)
        await callers.run(WARM_SECONDS, group)
        routers = [name for _, name in list_routers(load)]
        callers.dead.add(routers[0])
        holder = await scheme.kill(routers[0])
        held = scheme.count_unspent(holder)
        await callers.run(SILENT_SECONDS, group)
        began = anyio.current_time()
        recovered = await scheme.recover(routers[1], holder)
        seconds = anyio.current_time() - began
        await callers.run(SETTLE_SECONDS, group)
        await anyio.sleep(SETTLE_SECONDS)
        return Result(
            callers.count,
            callers.overspend(),
            stranded=recovered.stranded,
            recovered=recovered.tokens,
            dead_held=held,
            recover_seconds=seconds,
        )

    return run_virtual(run_fleet)


def run_virtual(body: Callable[[anyio.abc.TaskGroup], Awaitable[Result]]) -> Result:
    """Run a measurement in virtual time."""

    async def main() -> Result:
        async with anyio.create_task_group() as group:
            result = await body(group)
            group.cancel_scope.cancel()
        return result

    return anyio.run(main, backend_options={"loop_factory": VirtualLoop})


def show_percent(results: list[Result]) -> str:
    """Return the mean of the false refusals, and the largest in brackets."""
    values = [result.count.false_percent for result in results]
    return f"{sum(values) / len(values):.2f} ({max(values):.2f})"


def show_deaths(results: list[Result]) -> list[str]:
    """Return the means of tokens held at death, brought back and written off."""
    size = len(results)
    return [
        f"{sum(item.dead_held for item in results) / size:.0f}",
        f"{sum(item.recovered for item in results) / size:.0f}",
        f"{sum(item.stranded for item in results) / size:.0f}",
    ]


def print_header(*names: str) -> None:
    """Print the head of a table."""
    print_row(*names)
    print_row(*("---" for _ in names))


def print_row(*cells: Any) -> None:
    """Print a row of a table."""
    print("| " + " | ".join(str(cell) for cell in cells) + " |", flush=True)
