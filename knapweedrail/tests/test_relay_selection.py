"""Choice of runners under load, without network or clock."""

import collections
import random

from ..relay.models import CallerRequest, PromptPart
from ..relay.retries import RetryBudget
from ..relay.runners import RunnerTable
from ..relay.scheduling.selection import choose_runner
from .relays_in_memory import make_runner


def make_table(count=6, slots=8, centres=3):
    table = RunnerTable(grace_seconds=1.9)
    for number in range(count):
        centre = f"dc-{number % centres}"
        table.set_runner(make_runner(f"i-{number}", data_centre=centre, slots=slots))
    return table


def make_request(*parts):
    return CallerRequest(
        identity="id",
        method="POST",
        target=b"/",
        host="h",
        path="/",
        headers=(),
        key=None,
        deadline=None,
        parts=tuple(PromptPart(part, 100) for part in parts),
    )


def choose(table, request, now=0.0, tried=(), rng=None):
    rng = rng or random.Random(1)
    choice = choose_runner(table, "e", request, set(tried), "dc-0", now, rng)
    return None if choice is None else choice.view


def find_view(table, name):
    return next(v for v in table.list_views("e", 0.0) if v.runner.name == name)


def test_relays_choose_the_same_runner_for_a_shared_prefix():
    """Many prompts are about one farm. Every further runner that prefills its history
    spends the time of the whole prompt on it."""
    requests = [make_request("base", "farm-7", f"own-{n}") for n in range(20)]
    names = {
        choose(make_table(), request, rng=random.Random(n)).runner.name
        for n, request in enumerate(requests)
    }
    assert len(names) == 1


def test_popular_prefix_spills_over_from_a_loaded_runner():
    """A third of all requests are about one farm. If they all went to one runner, they
    would queue there while other runners are idle."""
    table = make_table()
    counts = collections.Counter()
    for _ in range(60):
        view = choose(table, make_request("base", "farm-7", "own"))
        table.record_sent(view, 0, object(), 0, 0.0)
        counts[view.runner.name] += 1
    assert len(counts) >= 4
    assert max(counts.values()) <= 2 * 60 / 6


def test_removing_a_runner_moves_only_its_own_prefixes():
    requests = [make_request("base", f"farm-{n}", "own") for n in range(200)]
    before = [choose(make_table(), request).runner.name for request in requests]
    table = make_table()
    table.remove_runner("i-3", 0.0)
    after = [choose(table, request).runner.name for request in requests]
    moved = [b for b, a in zip(before, after) if a != b]
    assert set(moved) == {"i-3"}


def test_plain_calls_are_balanced_over_runners():
    """A burst of short calls meets runners with few slots. If it isn't balanced, some
    calls are rejected while other runners have free slots."""
    table = make_table(count=3, slots=6)
    counts = collections.Counter()
    for _ in range(15):
        view = choose(table, make_request())
        table.record_sent(view, 0, object(), 0, 0.0)
        counts[view.runner.name] += 1
    assert sorted(counts.values()) == [5, 5, 5]


def test_slow_runner_gets_fewer_requests():
    """One of three runners answers eight times slower than the others, and callers
    whose requests go there have to wait."""
    table = make_table(count=3)
    for number in range(3):
        view = find_view(table, f"i-{number}")
        for _ in range(5):
            table.record_success(view, 0.8 if number == 0 else 0.1, 0.0)
    counts = collections.Counter()
    for _ in range(18):
        view = choose(table, make_request())
        table.record_sent(view, 0, object(), 0, 0.0)
        counts[view.runner.name] += 1
    assert counts["i-0"] <= 2


def test_runner_backs_off_after_a_rejection():
    table = make_table(count=2)
    view = choose(table, make_request("a", "b"))
    table.record_rejection(view, 0.0)
    assert choose(table, make_request("a", "b"), now=0.05) is not view
    assert choose(table, make_request("a", "b"), now=1.0) is view


def test_runner_with_few_failures_is_not_ejected():
    """Three percent of a runner's answers break off. Ejecting it would put more load on
    the other runners than the retries do."""
    table = make_table(count=3)
    view = find_view(table, "i-0")
    ejected = [
        table.record_failure(view, n, certain=False)
        if n % 33 == 0
        else table.record_success(view, 0.1, n)
        for n in range(300)
    ]
    assert not any(ejected)


def test_runner_that_fails_most_answers_is_ejected():
    """A faulty runner returns errors immediately, so it looks idle and attracts all
    requests."""
    table = make_table(count=3)
    view = find_view(table, "i-0")
    rng = random.Random(3)
    for n in range(60):
        if rng.random() < 0.7:
            table.record_failure(view, n * 0.01, certain=False)
        else:
            table.record_success(view, 0.1, n * 0.01)
    assert not table.is_available(view, 0.6)


def test_an_ejected_runner_is_used_when_all_are_ejected():
    """All runners failed recently. Refusing all callers would turn a short failure
    into an outage."""
    table = make_table(count=2)
    for name in ("i-0", "i-1"):
        table.record_failure(find_view(table, name), 0.0, certain=True)
    assert choose(table, make_request(), now=0.1) is not None


def test_unreachable_data_centre_is_avoided_for_a_while():
    """A network partition makes a data centre unreachable. If its runners still got
    requests, each would cost a caller a timeout."""
    table = make_table(count=6)
    view = find_view(table, "i-1")
    assert table.record_timeout(view, 10.0)
    chosen = {
        choose(table, make_request("a", f"f-{n}", "x"), now=10.5).runner.data_centre
        for n in range(50)
    }
    assert chosen == {"dc-0", "dc-2"}
    later = {
        choose(table, make_request("a", f"f-{n}", "x"), now=12.0).runner.data_centre
        for n in range(50)
    }
    assert later == {"dc-0", "dc-1", "dc-2"}


def test_lasting_partition_is_reported_once():
    """During a partition a hundred requests time out within seconds. The log should
    show when the partition began, not each timeout."""
    table = make_table(count=6)
    view = find_view(table, "i-1")
    reported = [table.record_timeout(view, 10.0 + step / 10) for step in range(20)]
    assert reported == [True] + 19 * [False]


def test_one_unreachable_runner_does_not_stop_its_data_centre():
    table = make_table(count=6)
    table.record_success(find_view(table, "i-4"), 0.1, 9.8)
    assert not table.record_timeout(find_view(table, "i-1"), 10.0)


def test_unlisted_runners_are_used_during_the_grace_period():
    """The entries of healthy runners expired while the store was unavailable. Treating
    these runners as removed would refuse all callers."""
    table = make_table(count=3)
    table.replace_all([], 100.0)
    assert choose(table, make_request(), now=101.0) is not None
    assert choose(table, make_request(), now=102.5) is None
    assert len(table.prune(102.5)) == 3


def test_listed_runners_are_preferred_to_unlisted_ones():
    table = make_table(count=3)
    table.remove_runner("i-0", 100.0)
    names = {choose(table, make_request(), 100.1).runner.name for _ in range(20)}
    assert "i-0" not in names


def test_retries_stay_within_the_share_of_the_relay():
    """All runners fail. Retrying every request would double the load on runners that
    fail because of overload."""
    budget = RetryBudget(ratio=0.2, reserve=50.0, window=10.0)
    allowed = 0
    for n in range(1000):
        budget.record_request("e", n * 0.01)
        allowed += budget.try_acquire("e", relays=5, now=n * 0.01)
    assert allowed <= 0.2 * 1000 + 50 / 5
    assert allowed >= 0.7 * (0.2 * 1000 + 50 / 5)


def test_retry_budget_refills_over_time():
    budget = RetryBudget(ratio=0.0, reserve=10.0, window=10.0)
    assert sum(budget.try_acquire("e", 1, 0.0) for _ in range(20)) == 8
    assert not budget.try_acquire("e", 1, 9.0)
    assert budget.try_acquire("e", 1, 10.5)
