"""How many requests cold runners get in one second, by how relays share them."""

from __future__ import annotations

import argparse

from ..standins.coldfleet import (
    COLD_RATE,
    COLD_SECONDS,
    ColdFleet,
    EqualShares,
    NoCare,
    Sharing,
    allow_cold,
)
from .policies import print_table

FLEETS = {6: (6, 40), 58: (70, 300), 88: (30, 240), 195: (30, 300), 500: (30, 400)}
"""Runners, and requests per second of all callers, by hosts."""

HOT_SHARE = 0.28
"""Part of the requests that are about one subject."""

CROWD_FACTOR = 2.5
CALM_SECONDS = 2.0
SEEDS = 3


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the options of this measurement."""
    parser.add_argument(
        "--hosts",
        type=int,
        choices=sorted(FLEETS),
        action="append",
        help="a fleet to play; all of them if left out",
    )
    parser.add_argument("--seeds", type=int, default=SEEDS)


def run(args: argparse.Namespace) -> int:
    """Play all fleets and print the table; 1 if the product breaks the bound."""
    rows = []
    kept = True
    for hosts in args.hosts or sorted(FLEETS):
        for sharing in (Sharing(), EqualShares(), NoCare()):
            fleets = [play(hosts, sharing, seed) for seed in range(args.seeds)]
            worst = max(fleet.count_worst_cold() for fleet in fleets)
            if type(sharing) is Sharing:
                kept = kept and worst <= allow_cold()
            rows.append(_describe(hosts, sharing, worst, fleets))
    header = ("hosts", "sharing", "worst second", "allowed", "used", "moved", "refused")
    print_table("cold runners", header, rows)
    return 0 if kept else 1


def play(hosts: int, sharing: Sharing, seed: int) -> ColdFleet:
    """Play a data centre whose runners come back cold while callers crowd in."""
    runners, per_second = FLEETS[hosts]
    fleet = ColdFleet(hosts, runners, seed, sharing)
    fleet.send_for(CALM_SECONDS, per_second, None)
    fleet.hot_share = HOT_SHARE
    fleet.return_cold("dc0")
    fleet.send_for(COLD_SECONDS, CROWD_FACTOR * per_second, None)
    return fleet


def _describe(
    hosts: int, sharing: Sharing, worst: int, fleets: list[ColdFleet]
) -> tuple[object, ...]:
    """Return a row: the part of the tolerated rate that is used, and the parts of the
    requests that left the runner with their prompt's parts or were refused."""
    tolerated = sum(COLD_RATE * COLD_SECONDS * len(fleet.periods) for fleet in fleets)
    used = sum(fleet.count_served_cold() for fleet in fleets) / tolerated
    sent = sum(fleet.sent for fleet in fleets)
    moved = sum(fleet.moved for fleet in fleets) / sent
    refused = sum(fleet.refused for fleet in fleets) / sent
    return (
        hosts,
        sharing.name,
        worst,
        f"{allow_cold():.1f}",
        f"{used:.2f}",
        f"{moved:.3f}",
        f"{refused:.3f}",
    )
