"""Measure the processor time of one choice of a runner for a prompt."""

from __future__ import annotations

import argparse
import random
import time

from ..relay.models import CallerRequest, PromptPart, Runner, RunnerState
from ..relay.runners import RunnerTable
from ..relay.scheduling.selection import choose_runner
from .policies import print_table

ENDPOINT = "model"
PACES = (0.7, 1.0, 1.7)
ROUNDS = 2000
SUBJECTS = 500


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of this measurement: none."""


def run(args: argparse.Namespace) -> int:
    """Print the table."""
    rows = []
    for runners in (8, 45, 140):
        before = time_choices(make_table(runners, paced=False))
        after = time_choices(make_table(runners, paced=True))
        rows.append((f"{runners} runners", before, after))
    header = ("state", "no pace us", "by cost us")
    print_table("processor time of a choice for a prompt", header, rows)
    return 0


def make_table(runners: int, paced: bool) -> RunnerTable:
    """Make a table of so many runners, which state their pace or don't."""
    table = RunnerTable(grace_seconds=1.9)
    for number in range(runners):
        runner = Runner(
            name=f"r{number}",
            endpoint=ENDPOINT,
            address=f"127.0.0.1:{number + 1}",
            data_centre="dc",
            slots=24,
            state=RunnerState.READY,
        )
        table.set_runner(runner)
    if paced:
        for number, view in enumerate(table.list_views(ENDPOINT, 0.0)):
            table.record_pace(view, PACES[number % len(PACES)], 0.0)
    return table


def make_request(number: int) -> CallerRequest:
    """Make a request, every second one with a long prompt."""
    shared = 3780 if number % 2 else 80
    parts = (
        PromptPart("common", 2520),
        PromptPart(f"subject-{number % SUBJECTS}", shared),
        PromptPart(f"own-{number}", 628),
    )
    return CallerRequest(
        identity=f"q{number}",
        method="POST",
        target=b"/",
        host="h",
        path="/",
        headers=(),
        key=None,
        deadline=None,
        prompt_tokens=sum(part.tokens for part in parts),
        parts=parts,
    )


def time_choices(table: RunnerTable) -> float:
    """Return the mean processor microseconds of a choice."""
    rng = random.Random(1)
    requests = [make_request(number) for number in range(ROUNDS)]
    placement = table.find_placement(ENDPOINT)
    if placement is not None:
        for number, request in enumerate(requests):
            placement.workload.record_sent(request.parts, 700, 0.01 * number)
    begin = time.process_time()
    for number, request in enumerate(requests):
        now = 1.0 + 0.3 * number
        choose_runner(table, ENDPOINT, request, set(), "dc", now, rng, objective=0.3)
    return 1e6 * (time.process_time() - begin) / ROUNDS
