"""Tests of how many calls to the store a small fleet makes for prepaid tokens."""

import anyio
import attrs

from ..relay.host_records import KIND as RECORD_KIND
from .test_relay_power_loss import KINDS, WEIGHTS, run_scenario

BUDGET_SECONDS = 400
WARM_UP_SECONDS = 15.0
"""Seconds until all relays know their demand and have withdrawn their records."""

BURST_KINDS = [attrs.evolve(kind, per_second=12 * kind.per_second) for kind in KINDS]
"""Demand by which the budgets last less than 40 seconds."""


def count_record_writes(fleet):
    return fleet.store.calls[f"replace {RECORD_KIND}"]


def count_records(fleet):
    """Returns the number of hosts whose records bound something."""
    records = [fleet.store.find(RECORD_KIND, host) for host in fleet.hosts]
    return sum(bool(record and record.spec["schedules"]) for record in records)


def test_records_are_written_only_while_an_account_is_scarce():
    """Guards against a fleet that writes each host's record twice a second while all
    accounts are ample, and against one that writes none once they are scarce."""

    async def scenario(fleet):
        await fleet.send_for(WARM_UP_SECONDS, KINDS, WEIGHTS)
        began = count_record_writes(fleet)
        await fleet.send_for(20.0, KINDS, WEIGHTS)
        ample = count_record_writes(fleet) - began
        await fleet.send_for(4.0, BURST_KINDS, WEIGHTS)
        began = count_record_writes(fleet)
        await fleet.send_for(4.0, BURST_KINDS, WEIGHTS)
        return ample, count_record_writes(fleet) - began

    ample, scarce = run_scenario(BUDGET_SECONDS, 1, scenario)
    assert ample <= 6
    assert scarce >= 6 * 4


def test_crash_of_one_host_makes_all_hosts_write_records():
    """Guards against a series of crashes, each of which takes a part of the budgets
    while they still seem ample."""

    async def scenario(fleet):
        await fleet.send_for(WARM_UP_SECONDS, KINDS, WEIGHTS)
        before = count_records(fleet)
        fleet.kill(fleet.hosts[0])
        await anyio.sleep(1.0)
        fleet.start(fleet.hosts[0])
        await fleet.send_for(8.0, KINDS, WEIGHTS)
        return before, count_records(fleet), len(fleet.hosts)

    before, after, hosts = run_scenario(BUDGET_SECONDS, 1, scenario)
    assert before == 0
    assert after == hosts
