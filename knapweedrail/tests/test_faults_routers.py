"""Real routers that are killed, frozen and stopped while callers use them."""

import anyio
import pytest

from ..standins.fleet import Fleet, Plan
from .support import Callers, check_bills, check_outcomes, wait_until

LONG = "[tokens:40] draft the roster"

PLAN = Plan(
    routers=3,
    engine_options=("--token-seconds", "0.02"),
    rules={"silence_seconds": 1.0},
)


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    """Start one data centre with three routers."""
    with Fleet(tmp_path_factory.mktemp("fleet"), PLAN) as fleet:
        yield fleet


def count_running(fleet):
    """Return how many answers the engines generate now."""
    return sum(engine.get("/load")["running"] for engine in fleet.engines.values())


def run_under_load(fleet, name, fault, silence=2.0):
    """Send chats and bookings, and bring the fault about while streams are open."""
    callers = Callers(fleet, tries=20, silence=silence)

    async def run():
        async with anyio.create_task_group() as group:
            for index in range(12):
                prompt = f"{LONG} {index}"
                group.start_soon(callers.chat, f"{name}-{index}", prompt)
            await wait_until(lambda: count_running(fleet) >= 6, "open streams")
            for index in range(6):
                group.start_soon(callers.book, f"{name}-slot-{index}")
            await anyio.to_thread.run_sync(fault)

    anyio.run(run)
    return callers


def check_all_answered(callers):
    """Check that every caller has its own answer, run and billed as it should."""
    assert check_outcomes(callers) == []
    assert [call for call in callers.calls if not call.answered] == []
    assert check_bills(callers) == []


def test_a_killed_router_leaves_no_caller_without_an_answer(fleet):
    """A router dies with streams open and its callers ask the others again.

    Each gets its whole answer there, is billed once, and no slot is booked twice.
    """
    router = fleet.routers["east-router-0"]
    callers = run_under_load(fleet, "killed", router.kill)
    broken = [c for c in callers.calls if c.attempts[0].error]
    fleet.restart_router(router.name)
    fleet.wait_ready()
    assert broken
    check_all_answered(callers)


def test_a_frozen_router_that_comes_back_spends_and_runs_nothing_twice(fleet):
    """A router's process is stopped for seconds and then goes on where it was.

    Its callers have long asked others. When it wakes, it must not go on with what
    isn't its own any more: nothing is booked or billed a second time.
    """
    router = fleet.routers["east-router-1"]
    callers = run_under_load(fleet, "frozen", router.freeze, silence=1.0)
    router.resume()
    fleet.wait_ready()
    silent = [c for c in callers.calls if "Timeout" in c.attempts[0].error]
    assert silent
    check_all_answered(callers)


def test_a_stopping_router_cuts_no_stream_off(fleet):
    """A router is shut down in good order while it streams answers.

    Callers whose answers have begun get them to the end; others ask elsewhere.
    """
    router = fleet.routers["east-router-2"]
    callers = run_under_load(fleet, "stopped", router.stop, silence=10.0)
    assert router.wait() == 0
    fleet.restart_router(router.name)
    fleet.wait_ready()
    attempts = [a for c in callers.calls for a in c.attempts if a.router == router.name]
    begun = [a for a in attempts if a.status == 200]
    assert begun
    assert [a for a in begun if not a.whole] == []
    check_all_answered(callers)
