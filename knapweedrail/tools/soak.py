"""Soak the fleet: real relays under random faults, judged from outside.

Every seed is one run with a schedule of its own. A run that breaks a promise leaves its
schedule, its findings and the relays' logs in a folder. Exit codes: 0 if every promise
was kept, 1 if not, 2 for a wrong command line, 3 if it was stopped.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import shutil
import signal
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import NoReturn

import anyio
import attrs
import httpx
import orjson

from .. import __version__
from ..loops import log_loop_errors
from ..soak.callers import Callers
from ..soak.faults import Faults
from ..soak.judges import count_outcomes, judge
from ..soak.plots import draw_run
from ..soak.records import Finding, History
from ..soak.schedules import Step, draw_schedule
from ..soak.worlds import World

READY_SECONDS = 20.0
READY_SECONDS_EACH = 1.5
"""Longest start of all relays on a busy machine, and what each process adds: a start
takes 0.7 s of one processor, and half of the processors may be busy with other work."""

SETTLE_SECONDS = 1.0
"""Time after the last answer in which runs that nobody waits for still come."""

PREPAID = {"small": 20_000, "large": 1_000_000, "ample": 1_000_000}
"""Tokens of the accounts: one runs out in the middle of a run, the others never."""

EXIT_KEPT = 0
EXIT_BROKEN = 1
EXIT_STOPPED = 3


@attrs.frozen
class Plan:
    """One run.

    Attributes:
        rate: Requests a second, over all relays.
        code: Checkout whose relays are run; without one, this one.
        longest_pause: Of runners in the middle of a stream, seconds.
    """

    seed: int
    seconds: float
    relays: int
    runners: int
    rate: float
    steps: list[Step]
    code: Path | None = None
    longest_pause: float = 5.0


async def play(plan: Plan, folder: Path) -> History:
    """Play one run, and return what was seen."""
    log_loop_errors()
    history = History(dict(PREPAID))
    async with anyio.create_task_group() as group:
        world = World(folder, plan.seed, PREPAID, group, plan.code)
        try:
            await world.start(plan.relays, plan.runners)
            history.versions.append(time.monotonic())
            await _wait_ready(world)
            rng = random.Random(plan.seed)
            callers = Callers(world, history, rng, plan.rate, plan.longest_pause)
            async with anyio.create_task_group() as playing:
                playing.start_soon(Faults(world, history).run, plan.steps)
                await callers.run(plan.seconds)
            await anyio.sleep(SETTLE_SECONDS)
            history.ran = world.read_runs()
            for host in world.relays:
                history.exits += host.list_exits()
            history.trapped = world.trap.caught
        finally:
            world.close()
        group.cancel_scope.cancel()
    return history


async def _wait_ready(world: World) -> None:
    async with httpx.AsyncClient() as client:
        count = len(world.relays) + len(world.runners)
        with anyio.fail_after(READY_SECONDS + READY_SECONDS_EACH * count):
            for host in world.relays:
                url = f"http://127.0.0.1:{host.ports[1]}/ready"
                while not await _is_ready(client, url):
                    if not host.process.is_running():
                        raise RuntimeError(f"{host.name} ended: {host.read_log()}")
                    await anyio.sleep(0.05)


async def _is_ready(client: httpx.AsyncClient, url: str) -> bool:
    try:
        return (await client.get(url)).status_code == httpx.codes.OK
    except httpx.ConnectError:
        return False


def run_seed(plan: Plan, keep: Path, plot: Path | None = None) -> list[Finding]:
    """Play one run, print a line, and keep its logs if it broke a promise.

    Args:
        plot: File that a picture of the run goes to.
    """
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        began_at = time.monotonic()
        history = anyio.run(play, plan, folder)
        findings = judge(history)
        seconds = time.monotonic() - began_at
        outcomes = count_outcomes(history.sent)
        if plot is not None:
            draw_run(history, plot)
        print(
            f"seed {plan.seed}: {len(history.sent)} requests, {len(history.ran)} runs, "
            f"{len(plan.steps)} steps, {seconds:.0f} s, {len(findings)} findings"
        )
        for kind, count in outcomes.items():
            print(f"  {kind} {count}")
        if findings:
            _keep(folder, keep / f"seed-{plan.seed}", plan, history, findings)
    return findings


def _keep(
    folder: Path, target: Path, plan: Plan, history: History, findings: list[Finding]
) -> None:
    shutil.copytree(folder, target, dirs_exist_ok=True)
    report = {
        "plan": attrs.asdict(plan),
        "findings": [attrs.asdict(finding) for finding in findings],
        "disturbances": [attrs.asdict(one) for one in history.disturbances],
        "exits": history.exits,
    }
    (target / "report.json").write_bytes(orjson.dumps(report, str, orjson.OPT_INDENT_2))
    for finding in findings[:10]:
        print(f"  BROKEN {finding.promise}: {finding.detail}")
    print(f"  kept in {target}")


def shorten(plan: Plan, keep: Path, promise: str) -> Plan:
    """Return the run with as few steps as still break a promise, by halves."""
    size = max(1, len(plan.steps) // 2)
    while size:
        for start in range(0, len(plan.steps), size):
            steps = plan.steps[:start] + plan.steps[start + size :]
            fewer = attrs.evolve(plan, steps=steps)
            if any(found.promise == promise for found in run_seed(fewer, keep)):
                plan = fewer
                break
        else:
            size //= 2
    return plan


def build_parser() -> argparse.ArgumentParser:
    """Make the command line's parser."""
    parser = argparse.ArgumentParser(
        prog="knapweedrail-soak",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    parser.add_argument("--seed", type=int, help="the first seed; drawn if left out")
    parser.add_argument("--count", type=int, default=1, help="seeds to play")
    parser.add_argument("--seconds", type=float, default=15.0, help="of one run")
    parser.add_argument("--relays", type=int, default=4)
    parser.add_argument("--runners", type=int, default=4)
    parser.add_argument("--rate", type=float, default=40.0, help="requests a second")
    parser.add_argument("--pace", type=float, default=1.0, help="steps a second")
    parser.add_argument("--keep", type=Path, default=Path("soak-findings"))
    parser.add_argument("--code", type=Path, help="checkout whose relays are run")
    parser.add_argument("--plot", type=Path, help="picture of the last run")
    parser.add_argument(
        "--shorten", action="store_true", help="look for the fewest steps that do"
    )
    return parser


class StopRequest:
    """Whether this process was asked to stop.

    What goes wrong with the exception alone: the interpreter prints and drops what is
    raised while it clears an object away, and the series would go on to its end; and
    raised in the middle of a process's start, it would leave that process behind.

    Attributes:
        asked: Whether the signal has come.
    """

    def __init__(self) -> None:
        self.asked = False

    def note(self, number: int, frame: object) -> None:
        """Handle the signal."""
        self.asked = True
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            _exit_stopped()
        loop.call_soon_threadsafe(_exit_stopped)


def _exit_stopped() -> NoReturn:
    raise SystemExit(EXIT_STOPPED)


def _play_seeds(arguments: argparse.Namespace, stop: StopRequest) -> list[int]:
    """Play all seeds, until asked to stop; return those that broke a promise."""
    first = arguments.seed
    if first is None:
        first = random.randrange(1_000_000)
    broken = []
    for seed in range(first, first + arguments.count):
        steps = draw_schedule(
            seed, arguments.seconds, arguments.relays, arguments.runners, arguments.pace
        )
        plan = Plan(
            seed,
            arguments.seconds,
            arguments.relays,
            arguments.runners,
            arguments.rate,
            steps,
            arguments.code,
        )
        findings = run_seed(plan, arguments.keep, arguments.plot)
        if stop.asked:
            break
        if findings:
            broken.append(seed)
            if arguments.shorten:
                fewer = shorten(plan, arguments.keep, findings[0].promise)
                print(f"  {len(fewer.steps)} of {len(steps)} steps are enough")
    return broken


def main(argv: Sequence[str] | None = None) -> int:
    """Run the program."""
    parser = build_parser()
    arguments = parser.parse_args(argv)
    if min(arguments.count, arguments.relays, arguments.runners) < 1:
        parser.error("count, relays and runners are at least 1")
    # By default the signal would end this process at once, and leave its relays and
    # runners behind.
    stop = StopRequest()
    signal.signal(signal.SIGTERM, stop.note)
    broken: list[int] = []
    try:
        broken = _play_seeds(arguments, stop)
    except* SystemExit:
        # Asked to stop, which is told below.
        pass
    if stop.asked:
        print("stopped", file=sys.stderr)
        return EXIT_STOPPED
    print(f"{arguments.count} seeds, broken: {broken or 'none'}")
    return EXIT_BROKEN if broken else EXIT_KEPT


if __name__ == "__main__":
    sys.exit(main())
