"""Runners that have just started, before relays that together may flood them.

Pattern: a data centre's runners come back together, cold, while callers crowd in, many
of them about one subject, and relays start, stand still or hear of it late.
"""

import attrs
import pytest
from hypothesis import Phase, given, seed, settings
from hypothesis import strategies as st

from ..limits import Standing, count_senders
from ..platform.decoding import DecodingError, decode_runner
from ..relay.models import Endpoint
from ..relay.runners import RunnerTable
from ..relay.scheduling.cold_starts import BurstAllowance, ColdLimit, make_limit
from ..standins.coldfleet import (
    COLD_SECONDS,
    ColdFleet,
    EqualShares,
    NoCare,
    allow_cold,
)
from .relays_in_memory import make_runner

SIZES = [(6, 6, 40), (58, 70, 300), (88, 30, 240), (195, 30, 300), (500, 30, 400)]
"""Number of hosts, of runners, and requests per second of all callers."""


def return_in_a_burst(fleet, per_second):
    """Callers crowd in, many of them about one subject."""
    fleet.hot_share = 0.28
    fleet.return_cold("dc0")
    fleet.send_for(2 * COLD_SECONDS, 2.5 * per_second, None)


def return_twice(fleet, per_second):
    """Runners come back, and start again before they are warm."""
    fleet.return_cold("dc0")
    fleet.send_for(0.6 * COLD_SECONDS, 2 * per_second, None)
    fleet.return_cold("dc0")
    fleet.return_cold("dc1")
    fleet.send_for(2 * COLD_SECONDS, 2 * per_second, None)


def return_everywhere(fleet, per_second):
    """All runners come back at once."""
    for place in ("dc0", "dc1", "dc2"):
        fleet.return_cold(place)
    fleet.send_for(2 * COLD_SECONDS, 2 * per_second, None)


def return_as_hosts_restart(fleet, per_second):
    """Hosts start anew, stop for good and stand still meanwhile."""
    fleet.return_cold("dc1")
    for host in list(fleet.relays)[::3]:
        fleet.start(host)
    for host in list(fleet.relays)[::7]:
        fleet.stop(host)
    for host in list(fleet.relays)[1::4]:
        fleet.freeze(host, 1.5)
    fleet.send_for(2 * COLD_SECONDS, 2 * per_second, None)


def return_as_hosts_join(fleet, per_second):
    """Half as many hosts again have joined, and others don't know them yet."""
    for number in range(len(fleet.relays) // 2):
        fleet.start(f"new-{number}")
    fleet.return_cold("dc2")
    fleet.send_for(2 * COLD_SECONDS, 2 * per_second, None)


def return_behind_cuts(fleet, per_second):
    """A third of the hosts hears of nothing."""
    fleet.part(set(list(fleet.relays)[::3]))
    fleet.return_cold("dc0")
    fleet.send_for(2 * COLD_SECONDS, 2 * per_second, None)


def end_an_evacuation(fleet, per_second):
    """A data centre is taken back, and its runners have just become cold."""
    fleet.evacuate("dc0")
    fleet.send_for(2.0, per_second, None)
    fleet.grow_cold("dc0")
    fleet.send_for(2 * COLD_SECONDS, 2 * per_second, None)


SCENARIOS = [
    return_in_a_burst,
    return_twice,
    return_everywhere,
    return_as_hosts_restart,
    return_as_hosts_join,
    return_behind_cuts,
    end_an_evacuation,
]


def simulate(size, scenario, number=1, sharing=None, heeds=lambda host: True):
    hosts, runners, per_second = size
    fleet = ColdFleet(hosts, runners, number, sharing, heeds)
    fleet.send_for(2.0, per_second, None)
    scenario(fleet, per_second)
    return fleet


@pytest.mark.parametrize("scenario", SCENARIOS)
@pytest.mark.parametrize("size", SIZES)
def test_cold_runners_are_not_flooded(size, scenario):
    """Guards against runners that crash again because all relays together send them too
    much before they are warm."""
    fleet = simulate(size, scenario)
    assert fleet.count_worst_cold() <= allow_cold()
    assert fleet.count_served_cold() > 0


def test_cold_runners_get_a_good_part_of_what_they_take():
    """Guards against runners that stay idle while they are cold."""
    fleet = simulate((58, 70, 300), return_everywhere)
    least = 0.4 * 8.8 * COLD_SECONDS * len(fleet.periods)
    assert fleet.count_served_cold() >= least


@pytest.mark.parametrize("sharing", [EqualShares(), NoCare()])
def test_check_detects_other_ways_to_share(sharing):
    """Guards against a check that passes whatever relays send."""
    fleet = simulate((500, 30, 400), return_in_a_burst, 1, sharing)
    assert fleet.count_worst_cold() > allow_cold()


def test_check_detects_a_relay_that_ignores_coldness():
    """Guards against a check that misses one faulty relay."""

    def send_to_one(fleet, per_second):
        fleet.hot_share = 0.5
        fleet.return_cold("dc0")
        fleet.return_cold("dc1")
        fleet.return_cold("dc2")
        fleet.send_for(
            COLD_SECONDS, 3 * per_second, lambda host: 58.0 ** (host == "h-0")
        )

    fleet = simulate((58, 70, 300), send_to_one, 1, None, lambda host: host != "h-0")
    assert fleet.count_worst_cold() > allow_cold()


@seed(20261203)
@settings(
    max_examples=15,
    deadline=None,
    derandomize=True,
    phases=[Phase.explicit, Phase.generate],
)
@given(
    st.sampled_from([(9, 9, 60), (58, 70, 300)]),
    st.lists(st.sampled_from(SCENARIOS), min_size=1, max_size=4),
    st.integers(0, 1000),
)
def test_combined_troubles_flood_no_cold_runner(size, scenarios, number):
    """Guards against troubles that are each tolerated alone."""

    def play(fleet, per_second):
        for scenario in scenarios:
            scenario(fleet, per_second)

    assert simulate(size, play, number).count_worst_cold() <= allow_cold()


@given(
    st.floats(0.1, 400),
    st.floats(1, 3),
    st.floats(0, 20),
    st.integers(1, 600),
)
def test_senders_in_the_same_second_keep_the_burst(rate, factor, reserve, relays):
    """Guards against turns that are too short for the number of senders."""
    limit = ColdLimit(rate, max(1.0, factor * rate + reserve))
    senders = count_senders(limit.sender_rate, relays)
    turn = limit.measure_turn(Standing(relays, senders, sends=True))
    in_one_second = 1 + int(1.0 / turn)
    assert senders * in_one_second <= limit.burst or in_one_second == senders == 1


class TestTable:
    """What a relay knows of one runner's coldness."""

    def make_table(self, cold_left, now=100.0, rate=8.8):
        table = RunnerTable(1.9, BurstAllowance(1.5, 5.0))
        table.bounds.endpoints = {
            "e": Endpoint(
                name="e",
                health_path="/",
                max_connections=9,
                cold_seconds=3.0,
                cold_rate=rate,
            )
        }
        runner = attrs.evolve(make_runner("i-0"), cold_left=cold_left)
        table.set_runner(runner, now)
        return table, table.list_views("e", now)[0], runner

    def test_runner_is_cold_as_long_as_its_entry_says(self):
        table, view, _ = self.make_table(2.0)
        assert table.bounds.is_cold(view, 101.9)
        assert not table.bounds.is_cold(view, 102.1)

    def test_runner_of_unknown_age_counts_as_cold(self):
        """Guards against full load on a runner that started while its list was away."""
        table, view, _ = self.make_table(None)
        assert table.bounds.is_cold(view, 102.9)
        assert not table.bounds.is_cold(view, 103.1)

    def test_same_entry_again_starts_no_new_cold_period(self):
        """Guards against a runner that never becomes warm, as each list of the runners
        shows its entry again."""
        table, view, runner = self.make_table(3.0)
        table.replace_all([runner], 102.0)
        assert not table.bounds.is_cold(view, 103.1)

    def test_changed_entry_starts_a_new_cold_period(self):
        """Guards against full load on a runner that has become cold again."""
        table, view, runner = self.make_table(0.0)
        assert not table.bounds.is_cold(view, 100.1)
        table.set_runner(attrs.evolve(runner, cold_left=3.0), 110.0)
        assert table.bounds.is_cold(view, 112.9)

    def test_answer_tells_that_a_runner_is_cold(self):
        table, view, _ = self.make_table(0.0)
        table.bounds.record_cold_left(view, 1.5, 120.0)
        assert table.bounds.is_cold(view, 121.4)
        assert not table.bounds.is_cold(view, 121.6)

    def test_endpoint_without_a_rate_needs_no_care(self):
        table, view, _ = self.make_table(3.0, rate=0.0)
        assert not table.bounds.is_cold(view, 100.1)

    def test_relay_that_knows_no_others_sends_nothing_to_a_cold_runner(self):
        """Guards against hosts that start together, each as if it were the only one."""
        table, view, _ = self.make_table(3.0)
        table.bounds.find_standing = lambda runner, rate: Standing(1, 1, sends=False)
        assert not table.bounds.may_send(view, None, 100.1)
        assert table.bounds.compute_cold_delay(view, 100.1) == pytest.approx(2.9)
        assert table.compute_wait("e", None, 100.1) < 1.0


def test_limit_without_a_configuration_is_none():
    assert make_limit(None, BurstAllowance()).rate == 0.0


@pytest.mark.parametrize("left", [-1, 1e12, "soon", True])
def test_implausible_time_to_stay_cold_makes_an_entry_malformed(left):
    """Guards against an entry that keeps a runner from its work for good."""
    spec = {
        "service": "e",
        "address": "10.0.0.1:80",
        "zone": "dc",
        "slots": 4,
        "state": "ready",
        "coldLeftMs": left,
    }
    with pytest.raises(DecodingError):
        decode_runner("i-0", spec)
