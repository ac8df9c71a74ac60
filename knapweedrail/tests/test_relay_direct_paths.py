"""Tests of the decisions on lost paths and on the relays to ask for tunnels."""

import random

from ..relay.direct_paths import (
    FAILURE_WINDOW_SECONDS,
    PROBE_INTERVAL_SECONDS,
    TRIAL_INTERVAL_SECONDS,
    DirectPaths,
)
from ..relay.models import Member, RunnerIncarnation
from ..relay.tunnel_relays import AVOID_SECONDS, TunnelRelays

A, B, C = (RunnerIncarnation(name) for name in "abc")


def make_members(count):
    return [Member(f"h{n}", f"h{n}/1", "", "dc", f"10.0.0.{n}:1") for n in range(count)]


def test_one_failing_runner_asks_no_other_relay():
    """A runner that is down must not cost its callers the time of a trial."""
    paths = DirectPaths()
    paths.record_failed(A, 0.0)
    paths.record_failed(A, 0.5)
    assert not paths.try_acquire_trial(3, 0.5)
    paths.record_failed(B, 0.5 + FAILURE_WINDOW_SECONDS)
    assert not paths.try_acquire_trial(3, 0.5 + FAILURE_WINDOW_SECONDS)


def test_trials_are_limited_while_no_relay_reaches_the_runners():
    """In a power loss of all runners each caller would wait for a trial."""
    paths = DirectPaths()
    paths.record_failed(A, 0.0)
    paths.record_failed(B, 0.1)
    assert paths.try_acquire_trial(3, 0.1)
    assert not paths.try_acquire_trial(3, 0.2)
    assert paths.try_acquire_trial(3, 0.1 + TRIAL_INTERVAL_SECONDS)


def test_all_paths_are_presumed_lost_after_two():
    """Each further runner's first caller would wait for a connection that times out."""
    paths = DirectPaths()
    assert paths.record_reached_by_other(A)
    assert paths.is_lost(A) and not paths.is_lost(C)
    assert paths.record_reached_by_other(B)
    assert paths.is_lost(C)
    paths.record_connected(C)
    assert paths.is_lost(A) and not paths.is_lost(C)


def test_path_is_probed_until_it_is_back():
    """A host whose path is back would keep burdening other hosts."""
    paths = DirectPaths()
    paths.record_reached_by_other(A)
    assert paths.try_acquire_probe(A, 0.1)
    assert not paths.try_acquire_probe(A, 0.2)
    assert paths.try_acquire_probe(A, 0.1 + PROBE_INTERVAL_SECONDS)
    assert paths.is_lost(A)
    assert paths.record_connected(A)
    assert not paths.is_lost(A)


def test_lost_paths_of_vanished_runners_are_forgotten():
    """Runners that left would keep the paths to all others presumed lost."""
    paths = DirectPaths()
    paths.record_reached_by_other(A)
    paths.record_reached_by_other(B)
    paths.prune([A, C])
    assert paths.lost_count == 1 and not paths.is_lost(C)


def test_relays_that_opened_tunnels_are_asked_first():
    """Half of the hosts are cut off together and must not ask each other each time."""
    relays, rng, members = TunnelRelays(), random.Random(1), make_members(4)
    relays.record_failed(members[0], 0.0)
    relays.record_opened(members[2], 0.0)
    ranked = relays.rank(members, rng, 0.1)
    assert ranked[0] is members[2] and ranked[-1] is members[0]
    relays.record_opened(members[3], 0.1)
    relays.record_closed(members[3])
    assert relays.rank(members, rng, 0.2)[0] is members[3]
    relays.record_failed(members[2], 1.0)
    assert members[2] in relays.rank(members, rng, 1.1)[-2:]
    assert relays.rank(members, rng, 1.0 + AVOID_SECONDS)[0] is not members[0]


def test_relays_without_tunnels_are_not_asked():
    """Relays of earlier versions don't listen for tunnels."""
    old = Member("old", "old/1", "10.0.0.9:1", "dc")
    ranked = TunnelRelays().rank([old, *make_members(1)], random.Random(1), 0.0)
    assert [member.host for member in ranked] == ["h0"]


def test_hosts_that_lose_their_paths_together_ask_different_relays():
    """One relay would get the requests of all hosts of a data centre."""
    members = make_members(20)
    first = {
        TunnelRelays().rank(members, random.Random(seed), 0.0)[0].host
        for seed in range(40)
    }
    assert len(first) > 10
