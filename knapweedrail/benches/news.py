"""How old relays' news of the store get, and what they cost, in virtual time."""

from __future__ import annotations

import argparse

import anyio
import attrs

from ..relay.options import RelaySettings
from ..standins.looptime import VirtualClock, run_virtual
from ..standins.newsfleet import NewsFleet
from .policies import print_table

FLEETS = {6: 3, 88: 4, 195: 5, 500: 18}
"""Data centres by hosts."""

START_SECONDS = 12.0
CALM_SECONDS = 20.0
FAULT_SECONDS = 8.0
CHANGE_SECONDS = 1.0
POWER_SECONDS = 1.4

CALM_CALLS = 0.15
"""Calls to the store a second and host that a calm day may cost."""


@attrs.define
class Row:
    """What was measured of one fleet.

    Attributes:
        watchers: Relays that others rely on.
        calls: To the store a second and host in calm, one that may be stale a tenth.
        loss_calls: A host, from a loss of all hosts until ten seconds after.
        mean_bytes: Told a second and host, in calm.
        most_bytes: Told a second by the busiest, in calm.
        ages: Longest time for which a relay in touch didn't know a version that had
            been acknowledged, by what went wrong; seconds.
    """

    hosts: int
    bound: float
    watchers: int = 0
    calls: float = 0.0
    loss_calls: float = 0.0
    mean_bytes: float = 0.0
    most_bytes: float = 0.0
    ages: dict[str, float] = attrs.field(factory=dict)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the options of this measurement."""
    parser.add_argument(
        "--hosts",
        type=int,
        choices=sorted(FLEETS),
        action="append",
        help="a fleet to play; all of them if left out",
    )
    parser.add_argument("--contact-ms", type=int, default=5000)
    parser.add_argument("--configuration-ms", type=int, default=4000)
    parser.add_argument("--leaving-ms", type=int, default=4000)


def run(args: argparse.Namespace) -> int:
    """Play all fleets and print the table; 1 if a bound wasn't kept."""
    rows = [measure_fleet(hosts, args) for hosts in args.hosts or sorted(FLEETS)]
    names = list(rows[0].ages)
    header = (
        "hosts",
        "watchers",
        "calls/s and host",
        "calls a host at a loss of all",
        "told B/s a host",
        "by the busiest",
        *(f"age s: {name}" for name in names),
    )
    cells = [
        (
            row.hosts,
            row.watchers,
            f"{row.calls:.3f}",
            f"{row.loss_calls:.1f}",
            f"{row.mean_bytes:.0f}",
            f"{row.most_bytes:.0f}",
            *(f"{row.ages[name]:.2f}" for name in names),
        )
        for row in rows
    ]
    print_table("news of the store", header, cells)
    return 0 if all(map(meets_bounds, rows)) else 1


def meets_bounds(row: Row) -> bool:
    """Return whether no news were late, and a large fleet's calm was cheap."""
    cheap = row.calls <= CALM_CALLS or row.hosts < min(88, *FLEETS)
    return cheap and max(row.ages.values()) <= row.bound


def measure_fleet(hosts: int, args: argparse.Namespace) -> Row:
    """Play one fleet."""
    settings = RelaySettings(
        host="h",
        data_centre="dc",
        store_address="10.0.0.1:80",
        contact_milliseconds=args.contact_ms,
        configuration_milliseconds=args.configuration_ms,
        leaving_milliseconds=args.leaving_ms,
    )
    row = Row(hosts, settings.configuration_milliseconds / 1000)

    async def play(clock: VirtualClock) -> None:
        async with anyio.create_task_group() as group:
            fleet = NewsFleet(group, divide_hosts(hosts), settings)
            fleet.change()
            fleet.start_all()
            await fleet.run_for(START_SECONDS)
            await measure_calm(fleet, row)
            await measure_ages(fleet, row)
            await measure_loss(fleet, row)
            group.cancel_scope.cancel()

    run_virtual(play)
    return row


def divide_hosts(hosts: int) -> dict[str, int]:
    """Return the hosts of each data centre."""
    places = FLEETS[hosts]
    return {
        f"dc{place:02}": hosts // places + (place < hosts % places)
        for place in range(places)
    }


async def measure_calm(fleet: NewsFleet, row: Row) -> None:
    """Measure what is spent while nothing goes wrong."""
    told_before = {host: traffic.bytes for host, traffic in fleet.traffic.items()}
    before = fleet.store.price
    for _ in range(round(CALM_SECONDS / CHANGE_SECONDS / 10)):
        fleet.change()
        await fleet.run_for(10 * CHANGE_SECONDS)
    row.watchers = fleet.count_watchers()
    row.calls = (fleet.store.price - before) / CALM_SECONDS / row.hosts
    told = [
        traffic.bytes - told_before.get(host, 0)
        for host, traffic in fleet.traffic.items()
    ]
    row.mean_bytes = sum(told) / CALM_SECONDS / row.hosts
    row.most_bytes = max(told) / CALM_SECONDS


async def measure_ages(fleet: NewsFleet, row: Row) -> None:
    """Measure how late news are as watchers and paths fail."""
    row.ages["calm"] = await change_on(fleet)
    watchers = list_watchers(fleet)
    for host in watchers:
        fleet.lose_power(host)
    row.ages["all watchers lost"] = await change_on(fleet)
    fleet.start_all()
    await fleet.run_for(FAULT_SECONDS)
    paused = list_watchers(fleet)
    for host in paused:
        fleet.pause(host)
    row.ages["all watchers paused"] = await change_on(fleet)
    for host in paused:
        fleet.resume(host)
    await fleet.run_for(FAULT_SECONDS)
    here = next(iter(fleet.hosts.values()))
    apart = {host for host, place in fleet.hosts.items() if place == here}
    fleet.part(apart, set(fleet.hosts) - apart)
    row.ages["a data centre parted"] = await change_on(fleet)
    fleet.join()
    await fleet.run_for(FAULT_SECONDS)
    lost = set(list_watchers(fleet)[::2])
    fleet.store.lose(lost)
    row.ages["half of the watchers without the store"] = await change_on(fleet)
    fleet.store.restore(lost)
    await fleet.run_for(FAULT_SECONDS)


async def measure_loss(fleet: NewsFleet, row: Row) -> None:
    """Measure what it takes to come back after a loss of all hosts."""
    for host in fleet.hosts:
        fleet.lose_power(host)
    await fleet.run_for(POWER_SECONDS)
    before = fleet.store.price
    fleet.start_all()
    row.ages["all hosts lost"] = await change_on(fleet, 10.0)
    row.loss_calls = (fleet.store.price - before) / row.hosts


def list_watchers(fleet: NewsFleet) -> list[str]:
    """Return the hosts that others rely on."""
    return [host for host, relay in fleet.relays.items() if relay.news.has_subscribers]


async def change_on(fleet: NewsFleet, seconds: float = FAULT_SECONDS) -> float:
    """Have the configuration changed for a while; return the worst age meanwhile."""
    fleet.worst_age = 0.0
    for _ in range(round(seconds / CHANGE_SECONDS)):
        fleet.change()
        await fleet.run_for(CHANGE_SECONDS)
    return fleet.worst_age
