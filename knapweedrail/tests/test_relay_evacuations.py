"""Evacuations: when they are in force at all relays, and where requests go."""

import anyio
import attrs
import pytest
from hypothesis import Phase, given, seed, settings
from hypothesis import strategies as st

from ..relay.evacuations import EvacuationWatcher
from ..relay.models import Endpoint, RetryPolicy
from ..relay.options import RelaySettings
from ..relay.replicas import Replica, UpdateForm
from ..standins.looptime import run_virtual
from ..standins.newsfleet import NewsFleet
from .relays_in_memory import (
    ScriptedRunner,
    answer_normally,
    make_configuration,
    make_route,
    make_runner,
    run_relay,
)

pytestmark = pytest.mark.anyio

START_SECONDS = 12.0
EVACUATION_SECONDS = 5.0

SETTINGS = RelaySettings(
    host="h",
    data_centre="dc",
    store_address="10.0.0.1:80",
    contact_milliseconds=4000,
    configuration_milliseconds=3000,
    leaving_milliseconds=3000,
    evacuation_milliseconds=int(EVACUATION_SECONDS * 1000),
)


def run_scenario(sizes, scenario):
    """Run a scenario with a simulated fleet; return the fleet."""

    async def run(clock):
        async with anyio.create_task_group() as group:
            data_centres = {f"dc{n}": size for n, size in enumerate(sizes)}
            fleet = NewsFleet(group, data_centres, SETTINGS)
            fleet.change()
            fleet.start_all()
            await fleet.run_for(START_SECONDS)
            await scenario(fleet)
            group.cancel_scope.cancel()
        return fleet

    return run_virtual(run)


def check(fleet):
    assert fleet.worst_evacuation_age <= EVACUATION_SECONDS


async def turn_for(fleet, seconds, pause=1.7):
    """Evacuate data centres and take them back, one after the other."""
    names = sorted(set(fleet.hosts.values()))
    for number in range(round(seconds / pause)):
        fleet.turn(names[number % len(names)])
        await fleet.run_for(pause)


@pytest.mark.parametrize("sizes", [[2, 2, 2], [9, 9, 9], [29, 29, 30], [39] * 5])
def test_evacuations_are_in_force_in_time(sizes):
    """Guards against relays that go on sending to an evacuated data centre, or leave it
    empty after it was taken back."""

    async def scenario(fleet):
        before = fleet.store.price
        await turn_for(fleet, 14.0)
        fleet.calls = (fleet.store.price - before) / 14.0

    fleet = run_scenario(sizes, scenario)
    assert fleet.worst_evacuation_age <= 2 * SETTINGS.heartbeat_seconds
    assert fleet.calls <= 6.0 + 0.03 * len(fleet.hosts)


def test_evacuations_reach_hosts_that_start_or_lost_the_store():
    """Guards against hosts that miss an evacuation or its end while they are down, cut
    off from the store or from each other."""

    async def scenario(fleet):
        hosts = list(fleet.hosts)
        for round_number in range(3):
            fleet.turn("dc0")
            fleet.store.lose(set(hosts[round_number::3]))
            for host in hosts[round_number + 1 :: 4]:
                fleet.kill(host)
            await turn_for(fleet, 5.0)
            fleet.start_all()
            fleet.store.restore(set(hosts))
            fleet.disturb(set(hosts[round_number::3]))
            here = {host for host in hosts if fleet.hosts[host] == "dc1"}
            fleet.part(here, set(hosts) - here)
            await turn_for(fleet, 9.0)
            fleet.join()
            await turn_for(fleet, 5.0)

    check(run_scenario([9, 9, 9], scenario))


def test_end_of_an_evacuation_survives_lost_history():
    """Guards against a data centre that stays empty because the removal of its
    evacuation is no longer in the store's history."""

    async def scenario(fleet):
        for _ in range(5):
            fleet.turn("dc0")
            fleet.store.set_down(True)
            await fleet.run_for(2.0)
            fleet.turn("dc0")
            fleet.store.compact()
            fleet.store.set_down(False)
            fleet.unstable_at = anyio.current_time()
            await fleet.run_for(7.0)

    fleet = run_scenario([3, 3, 3], scenario)
    check(fleet)
    assert not any(relay.runners.table.evacuated for relay in fleet.relays.values())


FAULTS = st.lists(
    st.tuples(
        st.sampled_from(
            ["kill", "power", "lose", "restore", "part", "join", "down", "up"]
            + ["compact", "start", "turn"]
        ),
        st.integers(0, 8),
        st.floats(0.05, 3.0),
    ),
    max_size=14,
)


async def run_faults(fleet, faults):
    hosts = list(fleet.hosts)
    for fault, number, pause in faults:
        host = hosts[number % len(hosts)]
        place = {h for h in hosts if fleet.hosts[h] == fleet.hosts[host]}
        match fault:
            case "kill":
                fleet.kill(host)
            case "power":
                fleet.lose_power(host)
            case "lose":
                fleet.store.lose({host})
            case "restore":
                fleet.store.restore({host})
            case "part":
                fleet.part(place, set(hosts) - place)
            case "join":
                fleet.join()
            case "down" | "up":
                fleet.store.set_down(fault == "down")
            case "compact":
                fleet.store.compact()
            case "start":
                fleet.start_all()
            case "turn":
                fleet.turn(fleet.hosts[host])
        await fleet.run_for(pause)
    fleet.store.set_down(False)
    fleet.store.restore(set(hosts))
    fleet.join()
    fleet.start_all()
    fleet.disturb(set(hosts))
    await fleet.run_for(10.0)


@seed(20261203)
@settings(
    max_examples=20,
    deadline=None,
    derandomize=True,
    phases=[Phase.explicit, Phase.generate],
)
@given(st.sampled_from([[2, 2, 2], [3, 3, 3], [9, 2]]), FAULTS)
def test_combined_faults_delay_no_evacuation_beyond_its_bound(sizes, faults):
    """Guards against combinations of faults that are each tolerated alone."""

    async def scenario(fleet):
        await run_faults(fleet, faults)

    fleet = run_scenario(sizes, scenario)
    check(fleet)
    now_evacuated = {n for n, record in fleet.evacuations.items() if record.evacuated}
    for relay in fleet.relays.values():
        assert relay.runners.table.evacuated == now_evacuated


def test_check_detects_relays_that_keep_an_evacuation(monkeypatch):
    """Guards against a check that misses a data centre that stays empty."""
    monkeypatch.setattr(EvacuationWatcher, "remove", lambda self, stored: None)

    async def scenario(fleet):
        await turn_for(fleet, 24.0)

    assert run_scenario([3, 3, 3], scenario).worst_evacuation_age > EVACUATION_SECONDS


def test_check_detects_a_feed_that_drops_an_evacuation(monkeypatch):
    """Guards against a check that misses an evacuation of which relays never hear."""
    list_items = Replica._list_items

    def drop(self, since):
        kept = [i for i in list_items(self, since) if i.form is UpdateForm.REMOVED]
        return kept if self.kind == "evacuations" else list_items(self, since)

    monkeypatch.setattr(Replica, "_list_items", drop)

    async def scenario(fleet):
        fleet.turn("dc0")
        await fleet.run_for(9.0)

    assert run_scenario([9, 9, 9], scenario).worst_evacuation_age > EVACUATION_SECONDS


SAFE = make_route(RetryPolicy.SAFE)


async def call_at_once(relay, count):
    """Return the answers to requests that are all sent before the first is answered."""
    answers = []

    async def call(number):
        answers.append(await relay.call(knapweedrail_request_id=f"id-{number}"))

    async with anyio.create_task_group() as group:
        for number in range(count):
            group.start_soon(call, number)
    return answers


async def test_requests_leave_an_evacuated_data_centre_and_come_back():
    """Guards against requests that still go to an evacuated data centre, and against a
    data centre that stays empty afterwards."""
    east, west = ScriptedRunner(answer_normally), ScriptedRunner(answer_normally)
    async with run_relay(make_configuration(SAFE), east, west) as relay:
        relay.table.set_runner(make_runner("i-1", west.address, data_centre="west"))
        for data_centres, used in [({"dc"}, west), ({"west"}, east), (set(), east)]:
            east.heads.clear()
            west.heads.clear()
            relay.table.set_evacuated(frozenset(data_centres), 0.0)
            answers = await call_at_once(relay, 20)
            assert {answer.status for answer in answers} == {200}
            assert used.heads
            assert "dc" not in data_centres or not east.heads
            assert "west" not in data_centres or not west.heads


async def test_request_without_other_runners_is_refused_at_once():
    """Guards against a request that goes to the only data centre although it is
    evacuated, or waits for its deadline."""
    runner = ScriptedRunner(answer_normally)
    async with run_relay(make_configuration(SAFE), runner) as relay:
        relay.table.set_evacuated(frozenset({"dc"}), 0.0)
        with anyio.fail_after(0.5):
            answer = await relay.call()
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert b"evacuated" in answer.body
    assert not runner.heads


async def test_runners_taken_back_count_as_cold():
    """Guards against full load on runners that became cold just before the end of an
    evacuation."""
    async with run_relay(make_configuration(SAFE)) as relay:
        table = relay.table
        endpoint = Endpoint(
            name="e", health_path="/", max_connections=9, cold_seconds=3, cold_rate=5
        )
        table.bounds.endpoints = {"e": endpoint}
        table.set_runner(attrs.evolve(make_runner("i-0"), cold_left=0.0), 100.0)
        table.set_evacuated(frozenset({"dc"}), 101.0)
        table.set_evacuated(frozenset(), 109.0)
        view = table.list_views("e", 109.0)[0]
        assert table.bounds.is_cold(view, 111.9)
        assert not table.bounds.is_cold(view, 112.1)
