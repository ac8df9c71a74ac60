"""Compare ways to know of requests, or parts of prompts, that crash runners."""

from __future__ import annotations

import argparse
import functools
import itertools
import random
from collections.abc import Sequence

import attrs

from ..relay.models import PromptPart
from ..relay.suspects import make_part_fingerprints
from ..standins.crashfleet import CrashFleet, Day, MakeKeys, Tally, Way
from .policies import print_table

PRODUCT = Way(forwards=True, repairs=True, asks=True, stores=True)

WAYS = {
    "16 are told once": Way(),
    "and they pass it on": Way(forwards=True),
    "and relays compare": Way(forwards=True, repairs=True),
    "and starting ones ask": Way(forwards=True, repairs=True, asks=True),
    "16 are told, starting ones ask": Way(asks=True),
    "16 are told, the store keeps it": Way(stores=True),
    "all of it": PRODUCT,
}

FLEETS = {6: 6, 9: 5, 30: 12, 72: 30, 195: 60}
"""Runners by number of relays."""

DAYS = {
    "calm": {},
    "one killed each 2 s": {"kill_one": 2.0},
    "all killed each 8 s": {"kill_all": 8.0},
    "a data centre cut off": {"cut": (4.0, 14.0)},
}

REQUEST_LIMIT, PART_LIMIT = 3, 5
"""Crashes from which arrivals count as late, three seconds later."""

FIRST_PARTS, SECOND_PARTS = 19, 146
"""Numbers of prompts' parts that requests share; the first ones by falling shares."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add this measurement's options."""
    parser.add_argument("--hosts", type=int, nargs="+", default=[6, 30, 72, 195])
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--parts", action="store_true", help="parts crash runners")


def run(args: argparse.Namespace) -> int:
    """Play all ways on the same days; exit code 1 if the product's sends too many."""
    failed = False
    rows = []
    for hosts, day, way in itertools.product(args.hosts, DAYS, WAYS):
        tallies = [
            play(hosts, DAYS[day], WAYS[way], seed, args.parts)
            for seed in range(args.seeds)
        ]
        limit = PART_LIMIT if args.parts else REQUEST_LIMIT
        late = [tally.count_late(limit) for tally in tallies]
        rows.append((hosts, day, way, *summarize(tallies, late)))
        failed = failed or (WAYS[way] == PRODUCT and max(late) > REQUEST_LIMIT)
    header = ("hosts", "day", "way", "arrivals", "late", "messages a crash")
    print_table("Requests that crash runners", header + ("writes", "begun"), rows)
    return int(failed)


def play(
    hosts: int, changes: dict, way: Way, seed: int, parts: bool, **more: float
) -> Tally:
    """Play one day."""
    day = attrs.evolve(Day(hosts, FLEETS.get(hosts, hosts // 3)), **changes, **more)
    make_keys = make_part_keys() if parts else make_request_keys()
    limit = PART_LIMIT if parts else REQUEST_LIMIT
    return CrashFleet(day, way, seed, make_keys, limit).play()


def summarize(tallies: Sequence[Tally], late: list[int]) -> tuple:
    """Return the figures of one way on one day."""
    crashes = sum(len(tally.crashes) for tally in tallies)
    sound = sum(tally.sound for tally in tallies)
    begun = sum(tally.begun for tally in tallies)
    return (
        ", ".join(str(len(tally.arrivals)) for tally in tallies),
        ", ".join(map(str, late)),
        round(sum(tally.messages for tally in tallies) / max(1, crashes)),
        sum(tally.writes for tally in tallies),
        f"{begun / sound:.3f}" if sound else "-",
    )


def make_request_keys() -> MakeKeys:
    """Return a source of contents; those that crash runners are all the same."""
    counter = itertools.count()

    def make_keys(rng: random.Random, crashes: bool) -> Sequence[str]:
        return ["bad"] if crashes else [f"sound-{next(counter)}"]

    return make_keys


def make_part_keys() -> MakeKeys:
    """Return a source of contents of which no two are alike, but for shared parts."""
    counter = itertools.count()
    shares = [2.0**-number for number in range(FIRST_PARTS)]

    def make_keys(rng: random.Random, crashes: bool) -> Sequence[str]:
        (first,) = rng.choices(range(FIRST_PARTS), shares)
        second = "bad" if crashes else str(rng.randrange(SECOND_PARTS))
        return [f"request-{next(counter)}", *_find_fingerprints(first, second)]

    return make_keys


@functools.cache
def _find_fingerprints(first: int, second: str) -> tuple[str, ...]:
    names = (f"first-{first}", f"second-{second}", "last")
    return make_part_fingerprints(tuple(PromptPart(name, 1) for name in names))
