"""Tests that budgets aren't lost when hosts crash again and again."""

import random

import pytest

from .test_relay_power_loss import (
    KINDS,
    RECOVERY_SECONDS,
    SERVED_SHARE,
    WEIGHTS,
    partition_all,
    run_scenario,
)

RESTART_SECONDS = 2.0


async def crash_hosts(fleet, count, rng):
    for host in rng.sample(fleet.hosts, count):
        fleet.kill(host)
    await fleet.send_for(RESTART_SECONDS, KINDS, WEIGHTS)
    fleet.start_all()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_callers_are_served_after_a_series_of_crashes(seed):
    """Guards against budgets that are written off unused with each crash of a host."""
    rng = random.Random(seed)

    async def scenario(fleet):
        await fleet.send_for(5.6, KINDS, WEIGHTS)
        await crash_hosts(fleet, 2, rng)
        await fleet.send_for(4.0, KINDS, WEIGHTS)
        await crash_hosts(fleet, 3, rng)
        await fleet.send_for(3.0, KINDS, WEIGHTS)
        await partition_all(fleet, 6.0)
        await fleet.send_for(1.2, KINDS, WEIGHTS)
        await crash_hosts(fleet, 3, rng)
        await fleet.send_for(3.0, KINDS, WEIGHTS)
        await crash_hosts(fleet, 6, rng)
        await fleet.send_for(12.0, KINDS, WEIGHTS)
        await crash_hosts(fleet, 3, rng)
        await fleet.send_for(5.0, KINDS, WEIGHTS)
        await crash_hosts(fleet, 6, rng)
        await fleet.send_for(RECOVERY_SECONDS, KINDS, WEIGHTS)
        return await fleet.send_for(4.0, KINDS, WEIGHTS)

    tally = run_scenario(60, seed, scenario)
    assert tally.served >= SERVED_SHARE * tally.owed
