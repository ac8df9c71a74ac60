"""Measure the processor time of one decision under load, and how it grows."""

from __future__ import annotations

import argparse
import random
import time
from collections.abc import Callable
from typing import Any

from ..dispatch import Dispatcher
from ..models import ENGINE, Endpoint, Rules, Runner
from ..work import Ended, EndedKind, LoadReport, Start, Work
from .policies import SLOTS, print_table


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of this measurement: none."""


def run(args: argparse.Namespace) -> int:
    """Print the table."""
    rows = []
    for runners in (6, 100, 2500):
        rows.append((f"{runners} runners, none waiting", *time_starts(runners)))
    for waiting, accounts in ((100, 10), (1000, 10), (1000, 300), (4000, 300)):
        name = f"{waiting} waiting of {accounts} accounts, 6 runners"
        rows.append((name, *time_queue(waiting, accounts)))
    header = ("state", "submit us", "end us", "report us", "check ms")
    print_table("processor time of a decision", header, rows)
    return 0


def make_dispatcher(runners: int) -> Dispatcher:
    """Make a dispatcher before so many runners, and let it learn service times."""
    listed = tuple(Runner(f"r{n}", "", "a") for n in range(runners))
    endpoint = Endpoint("llm", ENGINE, listed, SLOTS)
    dispatcher = Dispatcher(endpoint, "a", Rules(), random.Random(1))
    dispatcher.set_runners(listed, 0.0)
    for short in (True, False):
        work = make_work("learn", 0, short)
        start = dispatcher.submit(work, 0.0)[0]
        ended = Ended(EndedKind.OK, 0.1, 1.0 if short else 10.0)
        dispatcher.finished(work.id, start.runner, ended, 1.0)
    return dispatcher


def make_work(name: str, account: int, short: bool) -> Work:
    """Make work with a deadline far ahead."""
    return Work(
        name,
        f"account-{account}",
        1e9,
        fingerprint=name,
        prefix_hash=account + 1,
        max_answer_tokens=100 if short else 1000,
        short=short,
    )


def time_calls(calls: list[Callable[[], Any]]) -> float:
    """Return the mean processor microseconds of a call."""
    start = time.process_time()
    for call in calls:
        call()
    return 1e6 * (time.process_time() - start) / len(calls)


def time_starts(runners: int) -> tuple[float, ...]:
    """Time decisions while there is room."""
    dispatcher = make_dispatcher(runners)
    submit_time = end_time = 0.0
    rounds = 2000
    for number in range(rounds):
        work = make_work(f"w{number}", number % 10, number % 4 > 0)
        begin = time.process_time()
        start = dispatcher.submit(work, 2.0)[0]
        middle = time.process_time()
        ended = Ended(EndedKind.OK, 0.1, 1.0)
        dispatcher.finished(work.id, start.runner, ended, 2.0)
        submit_time += middle - begin
        end_time += time.process_time() - middle
    return (
        1e6 * submit_time / rounds,
        1e6 * end_time / rounds,
        time_reports(dispatcher, runners),
        time_check(dispatcher),
    )


def time_queue(waiting: int, accounts: int) -> tuple[float, ...]:
    """Time decisions while work waits; each end starts the next in the queue."""
    dispatcher = make_dispatcher(6)
    running: list[Start] = []
    for number in range(48 + waiting):
        work = make_work(f"q{number}", number % accounts, number % 4 > 0)
        running += dispatcher.submit(work, 2.0)
    rounds = waiting // 2
    submits = [
        lambda n=n: dispatcher.submit(make_work(f"n{n}", n % accounts, n % 4 > 0), 2.0)
        for n in range(rounds)
    ]
    submit = time_calls(submits)
    ended = Ended(EndedKind.OK, 0.1, 1.0)

    def end() -> None:
        start = running.pop(0)
        running.extend(dispatcher.finished(start.work_id, start.runner, ended, 2.0))

    finish = time_calls([end] * rounds)
    return submit, finish, time_reports(dispatcher, 6), time_check(dispatcher)


def time_reports(dispatcher: Dispatcher, runners: int) -> float:
    """Time load reports."""
    reports = [
        lambda n=n: dispatcher.report(
            f"r{n % runners}", LoadReport(SLOTS, 0, SLOTS, 3.0 + n), 3.0 + n
        )
        for n in range(2000)
    ]
    return time_calls(reports)


def time_check(dispatcher: Dispatcher) -> float:
    """Time the regular look at all waiting work, in milliseconds."""
    now = 5000.0
    calls = []
    for number in range(5):
        calls.append(lambda n=number: dispatcher.tick(now + n))
    return time_calls(calls) / 1000
