"""Tests that nearly spent budgets still serve requests after all hosts lose power."""

import random

import anyio
import pytest

from ..standins.looptime import run_virtual
from ..standins.tokenfleet import Kind, TokenFleet

DATA_CENTRES = {"dc-a": 2, "dc-b": 2, "dc-c": 1, "dc-d": 1}
KINDS = [
    Kind(prompt=11_992, output=380, seconds=2.0, per_second=9.45),
    Kind(prompt=826, output=290, seconds=1.5, per_second=21.2),
    Kind(prompt=2_368, output=25, seconds=0.5, per_second=15.0),
]
WEIGHTS = {f"account-{rank}": 1 / (rank + 1) for rank in range(6)}
START_SECONDS = 12.0
DOWN_SECONDS = 2.0
RECOVERY_SECONDS = 12.0
SERVED_SHARE = 0.25
LOST_SHARE = 0.03
"""Remaining share of a budget below which requests needn't be served."""


def make_budgets(seconds):
    """Returns budgets that last for some seconds at the mean demand."""
    tokens = sum((k.prompt + k.output * 2 / 3) * k.per_second for k in KINDS)
    whole = sum(WEIGHTS.values())
    return {name: int(tokens * seconds * w / whole) for name, w in WEIGHTS.items()}


def run_scenario(budget_seconds, seed, scenario):
    """Runs a scenario with a fleet whose budgets last for some seconds."""

    async def run(clock):
        random.seed(seed)
        async with anyio.create_task_group() as group:
            fleet = TokenFleet(group, DATA_CENTRES, make_budgets(budget_seconds), seed)
            fleet.start_all()
            await anyio.sleep(START_SECONDS)
            found = await scenario(fleet)
            group.cancel_scope.cancel()
        for consumption in fleet.consumption.values():
            assert consumption.used <= consumption.prepaid
        return found

    return run_virtual(run)


async def partition_all(fleet, seconds):
    fleet.isolate(fleet.hosts)
    tally = await fleet.send_for(seconds, KINDS, WEIGHTS)
    fleet.join()
    return tally


async def lose_all_power(fleet):
    for host in fleet.hosts:
        fleet.lose_power(host)
    await fleet.send_for(DOWN_SECONDS, KINDS, WEIGHTS)
    fleet.start_all()


@pytest.mark.parametrize("budget_seconds", [40, 45, 50])
@pytest.mark.parametrize("seed", [1, 2])
def test_callers_are_served_after_power_loss_of_all_hosts(budget_seconds, seed):
    """Guards against budgets that are written off unused when all hosts lose power."""

    async def scenario(fleet):
        await fleet.send_for(5.0, KINDS, WEIGHTS)
        await partition_all(fleet, 8.0)
        await fleet.send_for(11.0, KINDS, WEIGHTS)
        await partition_all(fleet, 8.8)
        await fleet.send_for(8.3, KINDS, WEIGHTS)
        await lose_all_power(fleet)
        await fleet.send_for(RECOVERY_SECONDS, KINDS, WEIGHTS)
        return await fleet.send_for(4.0, KINDS, WEIGHTS)

    tally = run_scenario(budget_seconds, seed, scenario)
    assert tally.served >= SERVED_SHARE * tally.owed


@pytest.mark.parametrize("budget_seconds", [30, 40])
@pytest.mark.parametrize("seed", [1, 2])
def test_callers_are_served_after_two_power_losses_of_all_hosts(budget_seconds, seed):
    """Guards against budgets that lose what is held unused again and again."""

    async def scenario(fleet):
        await fleet.send_for(5.0, KINDS, WEIGHTS)
        for _ in range(2):
            await lose_all_power(fleet)
            await fleet.send_for(3.0, KINDS, WEIGHTS)
        await fleet.send_for(RECOVERY_SECONDS, KINDS, WEIGHTS)
        return await fleet.send_for(4.0, KINDS, WEIGHTS)

    tally = run_scenario(budget_seconds, seed, scenario)
    assert tally.served >= SERVED_SHARE * tally.owed


def test_small_fleet_lends_no_tokens_while_the_store_answers():
    """Guards against loans, which are lost with the borrower's host and unused at the
    lender's crash."""

    async def scenario(fleet):
        await fleet.send_for(5.0, KINDS, WEIGHTS)
        return sum(fleet.count_lent(host) for host in fleet.hosts)

    assert run_scenario(200, 1, scenario) == 0


@pytest.mark.parametrize("seed", [1, 2])
def test_direct_draw_is_settled_by_the_next_incarnation(seed):
    """Guards against tokens that stay out of reach, because the host that drew them
    isn't primary for the account after its restart."""

    async def scenario(fleet):
        account = next(iter(WEIGHTS))
        host = next(h for h in fleet.hosts if not fleet.is_primary_for(h, account))
        fleet.part([host])
        await fleet.send_for(4.0, KINDS, WEIGHTS)
        fleet.kill(host)
        assert fleet.count_held_by_ended(account) > 0
        fleet.join()
        await anyio.sleep(1.0)
        fleet.start(host)
        await anyio.sleep(RECOVERY_SECONDS)
        return fleet.count_held_by_ended(account)

    assert run_scenario(200, seed, scenario) == 0
