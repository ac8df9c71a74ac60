"""Routers keep the limits that runners name in their load reports."""

import random

import pytest

from ..dispatch import Dispatcher, Ended, EndedKind, LoadReport, Work
from ..limits import LimitRecord, Senders, Standing, read_rate
from ..models import ENGINE, Endpoint, Rules, Runner
from ..standins.limitfleet import allow

RUNNERS = tuple(Runner(f"r{n}", f"127.0.0.1:{n}", "a") for n in range(3))
STEP_SECONDS = 0.05
RUN_SECONDS = 0.3
WINDOW_SECONDS = 4.0
REPORT_STEPS = 10


def make_dispatcher(name, names, heeds=True):
    """Return a router's dispatcher; one that doesn't heed the others takes itself for
    the only one."""

    senders = Senders(name)
    if heeds:
        senders.set_names(names)
    endpoint = Endpoint("llm", ENGINE, RUNNERS, 64)
    dispatcher = Dispatcher(
        endpoint, "a", Rules(), random.Random(name), find_standing=senders.find_standing
    )
    dispatcher.set_runners(RUNNERS, 0.0)
    return dispatcher


def play(routers, limit, seconds=16.0, heeds=True):
    """Have each router place work all the time; return when r0 got some."""
    names = [f"router-{n}" for n in range(routers)]
    dispatchers = [make_dispatcher(name, names, heeds) for name in names]
    arrivals, ends = [], []
    for step in range(round(seconds / STEP_SECONDS)):
        now = step * STEP_SECONDS
        for number, dispatcher in enumerate(dispatchers):
            if step % REPORT_STEPS == 0:
                for runner in RUNNERS:
                    named = limit if runner.name == "r0" else None
                    report = LoadReport(0, 0, 64, now, limit=named)
                    dispatcher.report(runner.name, report, now)
            for end, work_id, runner in [e for e in ends if e[0] <= now]:
                if work_id.startswith(f"{number}/"):
                    ends.remove((end, work_id, runner))
                    ended = Ended(EndedKind.OK, 0.1, RUN_SECONDS)
                    dispatcher.finished(work_id, runner, ended, now)
            decisions = dispatcher.tick(now)
            work = Work(f"{number}/{step}", "account", deadline=now + 5.0)
            for start in decisions + dispatcher.submit(work, now):
                ends.append((now + RUN_SECONDS, start.work_id, start.runner))
                if start.runner == "r0":
                    arrivals.append(now)
    return arrivals


def count_worst(arrivals):
    return max(
        (sum(at <= a < at + WINDOW_SECONDS for a in arrivals) for at in arrivals),
        default=0,
    )


@pytest.mark.parametrize("routers", [1, 6, 20])
@pytest.mark.parametrize("limit", [1.5, 6.0])
def test_routers_keep_a_runners_limit_together(routers, limit):
    """Guards against routers that each send what a runner takes from all of them."""
    arrivals = play(routers, limit)
    assert arrivals
    assert count_worst(arrivals) <= allow(limit)


def test_routers_that_each_take_the_limit_for_their_own_are_found():
    """Guards against a check that no fault would fail."""
    assert count_worst(play(20, 1.5, heeds=False)) > allow(1.5)


def test_a_limit_that_is_over_keeps_no_work_away():
    """Guards against a router that goes by a limit which isn't named any more."""
    dispatcher = make_dispatcher("a", ["a", "b"])
    for now, limit in ((0.0, 0.1), (1.0, None)):
        dispatcher.report("r0", LoadReport(0, 0, 64, now, limit=limit), now)
    work = [Work(f"w{n}", "account", deadline=9.0) for n in range(30)]
    starts = [start for one in work for start in dispatcher.submit(one, 1.1)]
    assert {start.runner for start in starts} == {"r0", "r1", "r2"}


@pytest.mark.parametrize("text", ["", "many", "nan", "inf", "-1", "1,5"])
def test_what_is_no_number_names_no_limit(text):
    """Guards against a limit of another writer's making that stops all requests."""
    assert read_rate(text) is None


def test_a_runner_that_takes_nothing_is_not_told_of_as_one_without_a_limit():
    """Guards against relays that send to a runner which has lowered its limit to 0."""
    record, rng = LimitRecord(), random.Random(1)
    assert record.record_stated(2.0, 1.0, rng)
    assert record.record_stated(0.0, 2.0, rng)
    assert record.sent > 0
    assert record.limit.measure_pause(Standing(9, 1, True), 0, 60.0) > 60.0
    assert record.record_stated(None, 3.0, rng)
    assert record.sent == 0
