"""Tests of homes: a retry on another router finds the run of its identity."""

import anyio

from ..homes import HomeTable, New, RunningAt
from ..models import Holder
from ..outcomes import Unavailable
from ..runs import Mismatch, RunKey
from .fakes import MemoryPlatform
from .memberships import Router, running, until

KEY = RunKey("account", "one")
FIRST = RunningAt(Holder("r1", 1), "127.0.0.1:1")
SECOND = RunningAt(Holder("r2", 1), "127.0.0.1:2")


def is_alive(holder):
    return False


def test_a_home_names_the_first_asker_until_it_has_no_run():
    """A caller sends a request again through the balancer while the first run goes on.
    The second router must be sent to the first, or the engine does the work twice; but
    when the first has lost the run, or its life is over, the second must do it."""
    table = HomeTable(10.0)
    assert table.find(KEY, "content", FIRST, is_alive, 0.0) == New()
    assert table.find(KEY, "content", FIRST, is_alive, 0.0) == New()
    assert table.find(KEY, "content", SECOND, is_alive, 0.0) == FIRST
    assert table.find(KEY, "other", SECOND, is_alive, 0.0) == Mismatch()
    gone = table.find(KEY, "content", SECOND, is_alive, 0.0, FIRST.holder)
    assert gone == New()
    assert table.find(KEY, "content", FIRST, is_alive, 0.0) == SECOND
    over = table.find(KEY, "content", FIRST, lambda holder: True, 0.0)
    assert over == New()


def test_a_home_forgets_old_identities_and_stays_small():
    """Identities come by the thousand for as long as the process lives. Notes that
    were never dropped would fill its memory, and its end would cut every stream."""
    table = HomeTable(10.0, entries=100)
    for number in range(1_000):
        table.find(RunKey("account", str(number)), "content", FIRST, is_alive, 0.0)
    assert len(table) == 100
    table.find(KEY, "content", FIRST, is_alive, 10.0)
    assert len(table) == 1


async def settle(routers):
    """Wait until all hear each other, and make that last on a busy machine."""
    for router in routers:
        await until(lambda: len(router.alive()) == 2 and router.task.registered)
    for router in routers:
        router.task._beliefs.heartbeat_seconds = 60.0
        await until(lambda: len(router.alive()) == 2)


async def find_all(router, count=20):
    """Ask for many identities, so that each router is the home of some."""
    found = []
    for number in range(count):
        found.append(await router.finder.find("account", str(number), "content"))
    return found


def test_a_retry_finds_its_run_whichever_router_is_its_home():
    """Retries reach any router, and the home of an identity is a third one. Each
    retry must be led to the run, and none to a run of another content."""

    async def check():
        platform = MemoryPlatform()
        routers = [Router(platform, f"r{i}") for i in range(3)]
        async with running(*routers):
            await settle(routers)
            assert set(await find_all(routers[0])) == {New()}
            first = routers[0].task
            place = RunningAt(first.holder, first.settings.peer_address)
            assert set(await find_all(routers[1])) == {place}
            assert set(await find_all(routers[2])) == {place}
            for number in range(20):
                found = await routers[1].finder.find("account", str(number), "other")
                assert found == Mismatch()

    anyio.run(check)


def test_a_silent_home_delays_one_request_only():
    """The home of some identities hangs. Each request that asks it waits in vain for a
    moment; if every one did, the first token of a share of all answers would be late.
    After the first, others are asked in its place."""

    async def check():
        platform = MemoryPlatform()
        routers = [Router(platform, f"r{i}") for i in range(3)]
        async with running(*routers):
            await settle(routers)
            asked = []

            async def find_run(address, request, seconds):
                asked.append(address)
                return Unavailable("peers.find_run", address, "silent")

            routers[0].clients.find_run = find_run
            # Nobody is heard again, so that only the failure changes a belief.
            await routers[0].go_deaf()
            assert set(await find_all(routers[0])) == {New()}
            assert len(asked) == len(set(asked)) == 2

    anyio.run(check)
