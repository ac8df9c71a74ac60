"""Engines that die, fall silent, are poisoned, leave and mix up answers."""

import anyio
import pytest

from ..standins.fleet import Fleet, Plan
from .support import Callers, check_bills, check_outcomes, wait_until

LONG = "[tokens:30] draft the plan"

LEAVING_SECONDS = 3.0
"""Time after which a leaving runner gets no new work."""

POISON = "xyzzy"

PLAN = Plan(
    engines=4,
    services=2,
    engine_options=("--token-seconds", "0.02", "--poison", POISON),
    rules={"silence_seconds": 1.0, "leaving_seconds": LEAVING_SECONDS},
)


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    """Start one data centre with two routers, four engines and two services."""
    with Fleet(tmp_path_factory.mktemp("fleet"), PLAN) as fleet:
        yield fleet


def run_with_fault(fleet, name, fault):
    """Send chats and bring the fault about while they are answered."""
    callers = Callers(fleet)

    async def run():
        async with anyio.create_task_group() as group:
            for index in range(12):
                prompt = f"{LONG} {index}"
                group.start_soon(callers.chat, f"{name}-{index}", prompt)
            await wait_until(lambda: count_begun(fleet, name) >= 12, "all runs")
            await anyio.to_thread.run_sync(fault)

    anyio.run(run)
    return callers


def count_begun(fleet, name):
    """Return how many requests of a test have begun to run."""
    return sum(key.startswith(f"desk:{name}-") for key in fleet.read_counts())


def check_all_answered(callers):
    """Check that every caller has its own answer, billed once."""
    assert check_outcomes(callers) == []
    assert [call for call in callers.calls if not call.answered] == []
    assert check_bills(callers) == []


def test_a_killed_engine_costs_no_caller_its_answer(fleet):
    """An engine dies in the middle of answers; callers see them go on elsewhere."""
    name = "east-engine-0"
    callers = run_with_fault(fleet, "killed", fleet.engines[name].kill)
    fleet.restart_runner(name)
    check_all_answered(callers)


def test_silent_connections_are_left_and_their_answers_resumed(fleet):
    """Something loses track of all open connections to an engine.

    They stay open and silent for good. Callers get the rest of their answers over
    new connections, with no token twice or missing.
    """
    engine = fleet.engines["east-engine-1"]
    callers = run_with_fault(fleet, "silent", lambda: engine.set_faults(silence=True))
    check_all_answered(callers)


def test_connections_frozen_on_the_way_are_left(fleet):
    """A device on the way to all runners forgets the connections open now.

    A chat goes on over a new connection. A booking on a forgotten one gets its
    answer or is told that it isn't known whether it ran; it never runs twice.
    """
    callers = Callers(fleet, tries=3)

    async def run():
        async with anyio.create_task_group() as group:
            for index in range(16):
                group.start_soon(callers.chat, f"warm-{index}", f"{LONG} {index}")
                group.start_soon(callers.book, f"warm-slot-{index}")
        fleet.set_link(list(fleet.runners), ["*"], freeze=True)
        async with anyio.create_task_group() as group:
            for index in range(4):
                prompt = f"{LONG} and {index}"
                group.start_soon(callers.chat, f"forgotten-{index}", prompt)
                group.start_soon(callers.book, f"forgotten-slot-{index}")

    anyio.run(run)
    assert check_outcomes(callers) == []
    chats = [call for call in callers.calls if call.kind == "chat"]
    assert [call for call in chats if not call.answered] == []


def test_answers_mixed_up_by_an_engine_reach_no_caller(fleet):
    """An engine puts a piece of another request's answer into some streams.

    Every caller still gets exactly its own answer.
    """
    for engine in fleet.engines.values():
        engine.set_faults(mix=2)
    callers = run_with_fault(fleet, "mixed", lambda: None)
    assert sum(e.post("/faults", {})["mix"] for e in fleet.engines.values()) < 8
    check_all_answered(callers)


def test_a_leaving_engine_gets_no_new_work_after_a_few_seconds(fleet):
    """An engine tells in its load report that it leaves, under load.

    It would still take work, which would be cut off when it goes.
    """
    engine = fleet.engines["east-engine-2"]
    engine.set_faults(leaving=True, accepts_leaving=True)
    callers = Callers(fleet)

    async def run():
        async with anyio.create_task_group() as group:
            for index in range(50):
                group.start_soon(callers.chat, f"leaving-{index}", "[tokens:5] go on")
                await anyio.sleep((LEAVING_SECONDS + 1.0) / 50)

    anyio.run(run)
    arrivals = engine.get("/counts")["leaving_arrivals"]
    engine.set_faults(leaving=False, accepts_leaving=False)
    assert [age for age in arrivals if age > LEAVING_SECONDS] == []
    check_all_answered(callers)


def test_a_poisoned_request_fells_no_more_than_two_engines(fleet):
    """A request crashes each engine that runs it, and its caller sends it again.

    It comes under new names and through other routers. After two engines it is
    refused everywhere, and other callers keep being served.
    """
    callers = Callers(fleet, tries=1)
    poison = f"read {POISON} to me"

    async def run():
        for index in range(5):
            await callers.chat(f"poison-{index}", poison)
            await callers.chat(f"healthy-{index}", "[tokens:5] and you")
            # Time for the routers to tell each other.
            await anyio.sleep(0.5)

    anyio.run(run)
    felled = [n for n, engine in fleet.engines.items() if not engine.is_running()]
    for name in felled:
        fleet.restart_runner(name)
    assert len(felled) == 2
    poisoned = [c for c in callers.calls if c.identity.startswith("poison")]
    assert poisoned[-1].refusal == "quarantined"
    healthy = [c for c in callers.calls if c.identity.startswith("healthy")]
    assert [c for c in healthy if not c.answered] == []
    assert check_outcomes(callers) == []
