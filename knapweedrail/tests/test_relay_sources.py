"""Selection of the relays that watch the store for the others."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ..relay.models import Member
from ..relay.pace_exchange import PaceExchange
from ..relay.runners import RunnerTable
from ..relay.sources import (
    MIN_LOCAL_RELAYS,
    FeedTiming,
    Source,
    plan_sources,
    rank_sources,
)

TIMING = FeedTiming(heartbeat_interval=1.0, timeout=2.0)


def make_fleet(*sizes):
    return [
        Member(
            f"dc{place}-{number}", f"dc{place}-{number}/1", "10.0.0.1:1", f"dc{place}"
        )
        for place, size in enumerate(sizes)
        for number in range(size)
    ]


def make_source(last_reply_at):
    paces = PaceExchange(RunnerTable(grace_seconds=1.9)).open_link()
    return Source(make_fleet(1)[0], last_reply_at, paces)


def find_sources(fleet):
    """Return the hosts that are sources when all relays answer."""
    chosen_hosts = set()
    for member in fleet:
        first, second = plan_sources(fleet, member)
        chosen = [first[0].host] if first else []
        chosen += [m.host for m in second if m.host not in chosen][:1]
        chosen_hosts.update(chosen)
    return chosen_hosts


@pytest.mark.parametrize(
    ("sizes", "source_count"),
    [
        ([2, 2, 2], 2),
        ([3, 3, 3], 2),
        ([2, 2, 1, 1], 2),
        ([22, 22, 22, 22], 4),
        ([39, 39, 39, 39, 39], 5),
        ([28] * 18, 18),
        ([1], 0),
        ([2], 2),
    ],
)
def test_few_relays_are_sources(sizes, source_count):
    """Guards against a store call of each relay for each change."""
    assert len(find_sources(make_fleet(*sizes))) == source_count


@given(st.lists(st.integers(1, 12), min_size=1, max_size=4), st.randoms())
def test_plan_is_independent_of_member_order(sizes, rng):
    """Guards against relays that all watch, as each ranks the sources differently."""
    fleet = make_fleet(*sizes)
    shuffled = rng.sample(fleet, len(fleet))
    for member in fleet:
        plan = plan_sources(fleet, member)
        assert plan == plan_sources(shuffled, member)
        assert all(member.host != m.host for part in plan for m in part)


def test_large_data_centre_has_a_local_source():
    """Guards against data centres that depend on others for all updates."""
    fleet = make_fleet(MIN_LOCAL_RELAYS, MIN_LOCAL_RELAYS)
    for member in fleet:
        first, second = plan_sources(fleet, member)
        assert all(m.data_centre == member.data_centre for m in first)
        assert all(m.data_centre != member.data_centre for m in second)


def test_each_source_serves_one_other_data_centre():
    """Guards against a single host that serves all relays of a fleet."""
    fleet = make_fleet(10, 10, 10)
    seconds = {}
    for member in fleet:
        second = plan_sources(fleet, member)[1][0]
        seconds.setdefault(second.host, set()).add(member.data_centre)
    assert len(seconds) == 3
    assert all(len(places) == 1 for places in seconds.values())


def test_relays_without_address_are_no_sources():
    """Guards against a source that can't be reached."""
    assert rank_sources([Member("h", "h/1", "", "dc")]) == []


def test_delayed_reply_does_not_extend_validity():
    """Guards against stale updates that count as current on a host that was paused."""
    source = make_source(last_reply_at=100.0)
    source.record_confirmation("k", asked_at=90.0, age=3.0)
    source.record_reply(100.0)
    assert source.measure_validity("k", 100.0, TIMING, limit=13.0) == 0.0
    assert source.measure_validity("k", 100.0, TIMING, limit=14.0) == 1.0
    assert source.measure_validity("k", 100.0, TIMING, limit=40.0) == TIMING.timeout


def test_source_that_timed_out_is_not_valid():
    """Guards against relying on a source that is paused."""
    source = make_source(last_reply_at=100.0)
    source.record_confirmation("k", asked_at=100.0, age=0.0)
    assert not source.has_timed_out(101.9, TIMING)
    assert source.has_timed_out(102.0, TIMING)
    assert source.measure_validity("k", 102.0, TIMING, limit=40.0) == 0.0
    assert source.measure_validity("other", 100.0, TIMING, limit=40.0) == 0.0
