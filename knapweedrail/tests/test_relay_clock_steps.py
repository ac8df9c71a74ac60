"""Tests that a step of the time of day is told from another boot."""

import anyio
import pytest

from ..relay.reservations import Reservation
from .test_relay_recovery import PREPAID, ScriptedClock, read_ledger, run_hosts

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize("step", [-6_000, -3_000, 1_000, 6_000])
async def test_time_of_day_step_during_a_restart_loses_few_tokens(step):
    """Guards against a whole grant that is written off, because the time of day was set
    while the relay was down."""

    async def scenario(group, store, hosts):
        host = hosts[0]
        for _ in range(8):
            assert isinstance(await host.use(100), Reservation)
        host.clock.advance(500)
        await host.kill()
        host.clock.time_of_day += step
        await host.start(group)
        used, _ = await host.use_up(100)
        assert 0.9 * PREPAID <= used + 800 <= PREPAID

    await run_hosts(1, scenario)


@pytest.mark.parametrize("uptime, later, step", [(15_000, 100, -9_000), (40_000, 0, 0)])
def test_another_boot_is_not_taken_for_a_step(uptime, later, step):
    """Guards against overspending after a power loss on a host whose boots share an
    identity."""
    before = ScriptedClock(uptime=uptime)
    after = ScriptedClock(
        uptime=uptime + later, time_of_day=before.time_of_day + uptime + later + step
    )
    assert after.read().measure_since(before.read()) is None


async def test_time_of_day_step_loses_no_tokens_after_a_rewrite():
    """Guards against losses when the time of day is set on a host and its relay is
    killed seconds later. By the time of day alone the host would seem to have
    rebooted."""

    async def scenario(group, store, hosts):
        host = hosts[0]
        for _ in range(8):
            assert isinstance(await host.use(100), Reservation)
        host.clock.time_of_day -= 3_000
        with anyio.fail_after(5):
            while not any(
                grant.vesting.since.boot.is_same(host.clock.read().boot)
                for grant in read_ledger(store).grants.values()
            ):
                await anyio.sleep(0.05)
        await host.kill()
        await host.start(group)
        used, _ = await host.use_up(100)
        assert 0.97 * PREPAID <= used + 800 <= PREPAID

    await run_hosts(1, scenario)
