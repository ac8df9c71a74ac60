"""Play random days of stops, crashes, cuts and unanswered writes, and count budgets
that are overspent."""

from __future__ import annotations

import argparse
import random

import anyio
import attrs

from ..standins.looptime import VirtualClock, run_virtual
from ..standins.playedstore import WriteFaults
from ..standins.tokenfleet import Kind, TokenFleet
from .policies import print_table

KINDS = [
    Kind(prompt=11_992, output=380, seconds=2.0, per_second=6.0),
    Kind(prompt=826, output=290, seconds=1.5, per_second=14.0),
    Kind(prompt=2_368, output=25, seconds=0.5, per_second=10.0),
]
ACCOUNTS = 6
BUDGET_SECONDS = 45.0
"""How long the budgets last at the mean demand."""

START_SECONDS = 8.0
DAY_SECONDS = 45
CALM_SECONDS = 20.0
"""Time at the end of a day in which all relays run and nothing is lost."""

UNANSWERED_SHARE = 0.35
CUT_SECONDS = (1.0, 10.0)
DOWN_SECONDS = (0.3, 3.0)

TROUBLES = {
    "stops": ["stop"],
    "stops and cuts": ["stop", "stop", "cut"],
    "stops, crashes and cuts": ["stop", "stop", "kill", "power", "cut"],
}


@attrs.frozen
class Day:
    """What became of the budgets of one day.

    Attributes:
        overspent: Tokens beyond their budgets that accounts got or still could get.
        unused: Share of all budgets that no caller got.
        lost: Share that ledgers count as lost by crashes.
    """

    overspent: int
    unused: float
    lost: float


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add this measurement's options."""
    parser.add_argument("--hosts", type=int, nargs="+", default=[6, 23])
    parser.add_argument("--days", type=int, default=10)
    parser.add_argument("--first-seed", type=int, default=0)
    parser.add_argument(
        "--late", type=float, default=0.0, help="share of writes done seconds later"
    )


def run(args: argparse.Namespace) -> int:
    """Play all days; exit code 1 if a budget was overspent."""
    rows = []
    overspent = 0
    seeds = range(args.first_seed, args.first_seed + args.days)
    for hosts in args.hosts:
        for name, troubles in TROUBLES.items():
            days = {s: play_day(s, hosts, troubles, args.late) for s in seeds}
            broken = [seed for seed, day in days.items() if day.overspent > 0]
            overspent += len(broken)
            rows.append(
                (
                    hosts,
                    name,
                    len(days),
                    len(broken),
                    " ".join(map(str, broken)) or "-",
                    sum(day.unused for day in days.values()) / len(days),
                    sum(day.lost for day in days.values()) / len(days),
                )
            )
    header = ("hosts", "troubles", "days", "overspent", "seeds", "unused", "lost")
    print_table("Budgets", header, rows)
    return int(overspent > 0)


def play_day(seed: int, hosts: int, troubles: list[str], late: float = 0.0) -> Day:
    """Play one day.

    Args:
        seed: Of all that is drawn.
        hosts: Number of relays, in four data centres or, of many, three.
        troubles: What may happen in each second.
        late: Share of the writes that are done seconds later; as many fewer are done
            and not answered.
    """

    async def play(clock: VirtualClock) -> Day:
        random.seed(seed)
        rng = random.Random(seed)
        async with anyio.create_task_group() as group:
            fleet = TokenFleet(group, _split(hosts), _make_budgets(), seed)
            fleet.start_all()
            await anyio.sleep(START_SECONDS)
            fleet.store.faults = WriteFaults(UNANSWERED_SHARE - late, late, rng)
            group.start_soon(_disturb, group, fleet, troubles, rng)
            weights = _list_weights()
            await fleet.send_for(DAY_SECONDS + CALM_SECONDS, KINDS, weights)
            group.cancel_scope.cancel()
        return _judge(fleet)

    return run_virtual(play)


def _judge(fleet: TokenFleet) -> Day:
    accounts = fleet.consumption.values()
    prepaid = sum(account.prepaid for account in accounts)
    return Day(
        sum(
            max(0, fleet.count_attainable(name) - account.prepaid)
            for name, account in fleet.consumption.items()
        ),
        sum(max(0, account.prepaid - account.used) for account in accounts) / prepaid,
        sum(fleet.read_ledger(name).lost for name in fleet.consumption) / prepaid,
    )


async def _disturb(
    group: anyio.abc.TaskGroup,
    fleet: TokenFleet,
    troubles: list[str],
    rng: random.Random,
) -> None:
    """Let something happen in each second of the day but the last ones."""
    for _ in range(DAY_SECONDS):
        host = rng.choice(fleet.hosts)
        match rng.choice(troubles):
            case "stop":
                group.start_soon(_restart, fleet, host, rng)
            case "kill":
                group.start_soon(_crash, fleet, host, rng, False)
            case "power":
                group.start_soon(_crash, fleet, host, rng, True)
            case "cut" if rng.random() < 1 / 4:
                group.start_soon(_cut, fleet, rng)
        await anyio.sleep(rng.uniform(0.5, 1.5))
    fleet.store.faults = WriteFaults()
    fleet.join()
    fleet.start_all()


async def _restart(fleet: TokenFleet, host: str, rng: random.Random) -> None:
    await fleet.stop(host)
    await anyio.sleep(rng.uniform(*DOWN_SECONDS))
    if host not in fleet.relays:
        fleet.start(host)


async def _crash(fleet: TokenFleet, host: str, rng: random.Random, power: bool) -> None:
    if power:
        fleet.lose_power(host)
    else:
        fleet.kill(host)
    await anyio.sleep(rng.uniform(*DOWN_SECONDS))
    if host not in fleet.relays:
        fleet.start(host)


async def _cut(fleet: TokenFleet, rng: random.Random) -> None:
    hosts = rng.sample(fleet.hosts, rng.randint(1, len(fleet.hosts) // 2))
    if rng.random() < 1 / 2:
        fleet.isolate(hosts)
    else:
        fleet.store.lose(set(hosts))
    await anyio.sleep(rng.uniform(*CUT_SECONDS))
    fleet.join()


def _list_weights() -> dict[str, float]:
    return {f"account-{rank}": 1 / (rank + 1) for rank in range(ACCOUNTS)}


def _make_budgets() -> dict[str, int]:
    weights = _list_weights()
    tokens = sum((k.prompt + k.output * 2 / 3) * k.per_second for k in KINDS)
    whole = sum(weights.values())
    return {n: int(tokens * BUDGET_SECONDS * w / whole) for n, w in weights.items()}


def _split(hosts: int) -> dict[str, int]:
    places = 4 if hosts < 9 else 3
    return {f"dc-{p}": hosts // places + (p < hosts % places) for p in range(places)}
