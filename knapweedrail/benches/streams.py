"""Compare ways to find the version at which a resumed stream goes on."""

from __future__ import annotations

import argparse
import random
from collections.abc import Callable, Sequence

import anyio

from ..standins.looptime import VirtualClock, run_virtual
from ..standins.streamfleet import (
    RECORD_BYTES,
    AnyVersion,
    HashedVersion,
    OneKeeper,
    OnlyVersion,
    OutOfStep,
    OwnRecord,
    RecordedVersion,
    StreamFleet,
    Tally,
    Way,
)
from .policies import print_table

WAYS: dict[str, Callable[[], Way]] = {
    "any runner": AnyVersion,
    "only where one version serves": OnlyVersion,
    "own memory": OwnRecord,
    "hash of the stream": HashedVersion,
    "one keeper": OneKeeper,
    "two keepers": RecordedVersion,
}

STREAMS_PER_HOST = 2.0
"""New streams a second at each host."""

SECONDS = 90


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add this measurement's options."""
    parser.add_argument("--hosts", type=int, nargs="+", default=[9, 88])
    parser.add_argument("--seeds", type=int, default=3)


def run(args: argparse.Namespace) -> int:
    """Run all ways on the same days; exit code 1 if the product's joins versions."""
    failed = False
    rows = []
    for hosts in args.hosts:
        for name, way in WAYS.items():
            tallies = [play(hosts, way(), seed) for seed in range(args.seeds)]
            rows.append((hosts, name, *summarize(tallies, hosts)))
            if way is RecordedVersion:
                failed = failed or any(tally.joined > 2 for tally in tallies)
    header = ("hosts", "way", "joined at worst", "went on", "of those owed")
    header += ("owed", "records/s and host", "bytes/s and host", "questions")
    print_table("Resumed streams", header, rows)
    return int(failed)


def summarize(tallies: list[Tally], hosts: int) -> tuple:
    """Return the cells of one row: the worst and the sums over all seeds."""
    resumed = sum(tally.resumed for tally in tallies)
    owed = sum(tally.owed for tally in tallies)
    records = sum(tally.records for tally in tallies)
    rate = records / len(tallies) / SECONDS / hosts
    return (
        max(tally.joined for tally in tallies),
        sum(tally.went_on for tally in tallies) / max(1, resumed),
        sum(tally.owed_went_on for tally in tallies) / max(1, owed),
        owed,
        rate,
        rate * RECORD_BYTES,
        sum(tally.questions for tally in tallies),
    )


def play(hosts: int, way: Way, seed: int) -> Tally:
    """Play one day with releases, deaths, cuts and a loss of all hosts."""

    async def play_day(clock: VirtualClock) -> Tally:
        random.seed(seed)
        rng = random.Random(seed)
        async with anyio.create_task_group() as group:
            fleet = StreamFleet(group, split_hosts(hosts), way, rng)
            for host in fleet.members:
                fleet.start(host)
            await anyio.sleep(0.5)
            fleet.set_runners(["v1"] * 6)
            await anyio.sleep(2.0)
            for second in range(SECONDS):
                disturb(fleet, second, rng)
                for _ in range(round(hosts * STREAMS_PER_HOST)):
                    await anyio.sleep(1.0 / (hosts * STREAMS_PER_HOST))
                    fleet.begin_stream()
            group.cancel_scope.cancel()
        return fleet.tally

    return run_virtual(play_day)


def play_random(seed: int, hosts: int = 6, seconds: int = 45) -> Tally:
    """Play a day on which anything may happen in each second."""

    async def play_day(clock: VirtualClock) -> Tally:
        random.seed(seed)
        rng = random.Random(seed)
        async with anyio.create_task_group() as group:
            fleet = StreamFleet(group, split_hosts(hosts), RecordedVersion(), rng)
            for host in fleet.members:
                fleet.start(host)
            await anyio.sleep(0.5)
            fleet.set_runners(["v1"] * 4)
            await anyio.sleep(2.0)
            for _ in range(seconds):
                for _ in range(rng.randint(0, 2)):
                    disturb_at_random(fleet, rng)
                for _ in range(hosts * 3):
                    await anyio.sleep(1.0 / (hosts * 3))
                    fleet.begin_stream()
            group.cancel_scope.cancel()
        return fleet.tally

    return run_virtual(play_day)


LOSS_RETURN_SECONDS = (1.6, 4.0)
"""How long after a break callers return; all hosts have started again by then."""

LOSS_WARM_SECONDS = 12
LOSS_DOWN_SECONDS = 0.3
LOSS_RESUME_SECONDS = 6.0

OLD, MIXED, NEW = ["v1"] * 6, ["v1"] * 4 + ["v2"] * 2, ["v2"] * 6

LOSSES: dict[str, tuple[list[tuple[list[str], float]], list[str]]] = {
    "release while all are away": ([], NEW),
    "0 s after a release": ([(NEW, 0.0)], NEW),
    "0.02 s after": ([(NEW, 0.02)], NEW),
    "0.1 s after": ([(NEW, 0.1)], NEW),
    "0.3 s after": ([(NEW, 0.3)], NEW),
    "two of six for 0.05 s, then all": ([(MIXED, 0.05), (NEW, 0.0)], NEW),
    "two of six for 2 s, then all": ([(MIXED, 2.0), (NEW, 0.0)], NEW),
    "0.1 s after, and back": ([(NEW, 0.1)], OLD),
    "release back while all are away": ([(NEW, 3.0)], OLD),
    "26 s after a release": ([(NEW, 26.0)], NEW),
    "40 s after a release": ([(NEW, 40.0)], NEW),
    "26 s after, and another release": ([(NEW, 26.0)], OLD),
}
"""Releases before all hosts are lost, the versions that serve and for how long, and the
versions that serve when the hosts are back."""


def play_loss(seed: int, name: str, hosts: int = 9) -> Tally:
    """Play the loss of all hosts around a release.

    Args:
        seed: Of all random choices.
        name: One of `LOSSES`.
        hosts: Number of hosts, in three data centres.

    Returns:
        Counts of the streams that are resumed after the loss.
    """
    releases, final = LOSSES[name]

    async def play_day(clock: VirtualClock) -> Tally:
        random.seed(seed)
        rng = random.Random(seed)
        async with anyio.create_task_group() as group:
            fleet = StreamFleet(
                group,
                split_hosts(hosts),
                RecordedVersion(),
                rng,
                LOSS_RETURN_SECONDS,
            )
            for host in fleet.members:
                fleet.start(host)
            await anyio.sleep(0.5)
            fleet.set_runners(OLD)
            await _begin_streams(fleet, LOSS_WARM_SECONDS)
            for versions, seconds in releases:
                fleet.set_runners(versions)
                await _begin_streams(fleet, seconds)
            fleet.tally = Tally()
            for host in list(fleet.hosts):
                fleet.kill(host)
            fleet.set_runners(final)
            await anyio.sleep(LOSS_DOWN_SECONDS)
            for host in fleet.members:
                fleet.start(host)
            await anyio.sleep(LOSS_RESUME_SECONDS)
            group.cancel_scope.cancel()
        return fleet.tally

    return run_virtual(play_day)


OUT_OF_STEP = {
    "late with news": OutOfStep(),
    "cut off from the others": OutOfStep(without_peers=True),
    "cut off from the store": OutOfStep(without_store=True),
    "cut off from all": OutOfStep(without_peers=True, without_store=True),
}
"""What one host lacks while runners of a new version join."""

OUT_OF_STEP_SECONDS = 3.0


def play_out_of_step(seed: int, name: str, sizes: Sequence[int], ends: bool) -> Tally:
    """Play a release of which one host hears nothing, and let all callers return there.

    Args:
        seed: Of all random choices.
        name: One of `OUT_OF_STEP`.
        sizes: Number of hosts in each data centre.
        ends: Whether the host is in step again as callers return.

    Returns:
        Counts of the streams that are resumed at that host.
    """

    async def play_day(clock: VirtualClock) -> Tally:
        random.seed(seed)
        rng = random.Random(seed)
        async with anyio.create_task_group() as group:
            fleet = StreamFleet(group, sizes, RecordedVersion(), rng)
            for host in fleet.members:
                fleet.start(host)
            await anyio.sleep(0.5)
            fleet.set_runners(OLD)
            await _begin_streams(fleet, 2 * LOSS_WARM_SECONDS)
            behind = rng.choice(sorted(fleet.members))
            fleet.put_out_of_step(behind, OUT_OF_STEP[name])
            fleet.set_runners(MIXED)
            await _begin_streams(fleet, OUT_OF_STEP_SECONDS)
            fleet.tally = Tally()
            if ends:
                fleet.join()
            for host in fleet.hosts.keys() - {behind}:
                fleet.hosts[host].ready = False
                fleet.hosts[host].broken.set()
            await anyio.sleep(LOSS_RESUME_SECONDS)
            group.cancel_scope.cancel()
        return fleet.tally

    return run_virtual(play_day)


async def _begin_streams(fleet: StreamFleet, seconds: float) -> None:
    """Let callers begin streams for some time."""
    pause = 1.0 / (len(fleet.members) * STREAMS_PER_HOST)
    count = int(seconds / pause)
    for _ in range(count):
        await anyio.sleep(pause)
        fleet.begin_stream()
    await anyio.sleep(seconds - count * pause)


DISTURBANCES = ["release", "release", "crash", "kill", "kill", "kill all"]
DISTURBANCES += ["cut", "join", "start", "start", "kill data centre"]

KILL_ALL_SHARE = 0.3


def disturb_at_random(fleet: StreamFleet, rng: random.Random) -> None:
    """Let one thing happen to the fleet."""
    place = str(rng.randrange(3))
    match rng.choice(DISTURBANCES):
        case "release":
            versions = ["v1", "v2", "v3"][: rng.randint(1, 3)]
            count = rng.randint(1, 5)
            fleet.set_runners([rng.choice(versions) for _ in range(count)])
        case "crash":
            fleet.crash(rng.choice(list(fleet.runners)))
        case "kill":
            fleet.kill(rng.choice(sorted(fleet.members)))
        case "kill all" if rng.random() < KILL_ALL_SHARE:
            for host in list(fleet.hosts):
                fleet.kill(host)
        case "kill data centre":
            for host, member in fleet.members.items():
                if member.data_centre == place:
                    fleet.kill(host)
        case "cut":
            fleet.cut(place)
        case "join":
            fleet.join()
        case "start":
            for host in sorted(fleet.members.keys() - fleet.hosts.keys()):
                fleet.start(host)


def split_hosts(hosts: int) -> list[int]:
    """Return the number of hosts in each of three data centres."""
    return [hosts // 3 + (place < hosts % 3) for place in range(3)]


RELEASES = {
    10: ["v1"] * 3 + ["v2"] * 3,
    22: ["v1"] * 6,
    30: ["v1"] * 2 + ["v2"] * 2 + ["v3"] * 2,
    60: ["v2"] * 2 + ["v3"] * 4,
    66: ["v3"] * 6,
}
"""Versions of the runners from a second on."""

LOST_DATA_CENTRES = {35: "0", 63: "2", 78: "1"}
"""Data centres whose hosts all end at a second."""

CRASH_SECONDS = 4
KILL_SECONDS = 5
DOWN_SECONDS = 2


def disturb(fleet: StreamFleet, second: int, rng: random.Random) -> None:
    """Let happen what belongs to a second of the day."""
    if second in RELEASES:
        fleet.set_runners(RELEASES[second])
    if second % CRASH_SECONDS == 3:
        fleet.crash(rng.choice(list(fleet.runners)))
    if second % KILL_SECONDS == 4:
        for host in rng.sample(sorted(fleet.members), max(1, len(fleet.members) // 9)):
            fleet.kill(host)
    if second == 42:
        for host in list(fleet.hosts):
            fleet.kill(host)
    if second in LOST_DATA_CENTRES:
        for host, member in fleet.members.items():
            if member.data_centre == LOST_DATA_CENTRES[second]:
                fleet.kill(host)
    if second == 50:
        fleet.cut("1")
    if second == 58:
        fleet.join()
    if second % KILL_SECONDS == (4 + DOWN_SECONDS) % KILL_SECONDS:
        for host in fleet.members.keys() - fleet.hosts.keys():
            fleet.start(host)
