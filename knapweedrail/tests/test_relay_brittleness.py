"""Tests of runners that fall over if they have to reject many requests."""

import anyio
import pytest

from ..limits import Standing
from ..relay.models import RetryPolicy
from ..relay.runners import RunnerTable
from ..relay.scheduling.brittleness import DIVIDED_SECONDS
from ..standins.brittlefleet import BrittleFleet
from .relays_in_memory import (
    ScriptedRunner,
    make_answer,
    make_configuration,
    make_route,
    make_runner,
    run_relay,
)

SIZES = [(6, 3), (9, 3), (72, 30), (195, 60)]
SECONDS = 8.0

SAFE = make_route(RetryPolicy.SAFE)
STANDS_ASIDE = Standing(relays=9, senders=6, sends=False)


def make_table():
    table = RunnerTable(1.9)
    table.set_runner(make_runner("i-0", slots=2))
    return table, table.list_views("e", 0.0)[0]


@pytest.mark.parametrize("hosts, runners", SIZES)
def test_brittle_runners_do_not_fall_over(hosts, runners):
    """Many hosts send to runners that are full already, and all runners fall over.

    A fleet whose runners state nothing shows that the load is enough for that.
    """
    fleet, unaware = (
        BrittleFleet(hosts, runners, 1.5, states, seed=1) for states in (True, False)
    )
    fleet.play(SECONDS)
    unaware.play(SECONDS)
    assert fleet.falls <= 2 + runners / 10 < unaware.falls
    assert fleet.served > unaware.served


@pytest.mark.parametrize("hosts, runners", SIZES)
def test_brittle_runners_with_room_do_not_fall_over(hosts, runners):
    """Relays that keep to their part take turns in causing rejections."""
    fleet = BrittleFleet(hosts, runners, 0.6, states=True, seed=1)
    fleet.play(SECONDS)
    assert fleet.falls <= 2 + runners / 10


def test_slots_are_divided_only_after_a_rejection():
    """Runners that have room would be left idle."""
    table, view = make_table()
    table.bounds.record_brittleness(view, 5.0, 0.0, 0.0)
    for number in range(4):
        table.record_sent(view, 0, number, None, 0.0)
    assert table.bounds.may_send(view, None, 0.0)
    table.record_rejection(view, 0.1)
    assert not table.bounds.may_send(view, None, 0.2)
    assert table.compute_wait("e", None, 0.2) > 0
    assert table.bounds.may_send(view, None, 0.2 + DIVIDED_SECONDS)
    table.record_rejection(view, 9.0)
    table.bounds.record_refusal("e", 8.9 + DIVIDED_SECONDS)
    assert not table.bounds.may_send(view, None, 9.1 + DIVIDED_SECONDS)


def test_overtaken_answer_does_not_end_brittleness():
    """An answer without the header, to a request of before, ends the restraint."""
    table, view = make_table()
    assert table.bounds.record_brittleness(view, 5.0, 1.0, 0.9)
    table.record_rejection(view, 1.0)
    for number in range(4):
        table.record_sent(view, 0, number, None, 1.0)
    assert not table.bounds.record_brittleness(view, None, 1.2, 0.8)
    assert not table.bounds.may_send(view, None, 1.2)
    assert table.bounds.record_brittleness(view, None, 1.4, 1.3)
    assert table.bounds.may_send(view, None, 1.4)


@pytest.mark.anyio
@pytest.mark.parametrize("header", ["Server_Brittle", "Knapweedrail_Server_Brittle"])
async def test_brittle_runner_gets_no_crowd_after_a_rejection(header):
    """A relay keeps sending to a full runner that said it would fall over."""

    async def reject(stream, head):
        more = {header: "3", "Knapweedrail_Not_Executed": "1"}
        await stream.send(make_answer(head, b"full", 503, **more))
        return True

    runner = ScriptedRunner(reject)
    async with run_relay(make_configuration(SAFE), runner, host="a") as relay:
        relay.table.bounds.find_standing = lambda *_: STANDS_ASIDE
        answers = [await relay.call() for _ in range(20)]
        until = relay.table.bounds._brittleness["e"].divided_until
        await anyio.sleep(0.05)
        await relay.call()
        # A refusal for want of a slot prolongs the restraint.
        assert relay.table.bounds._brittleness["e"].divided_until > until
    assert {answer.status for answer in answers} == {503}
    assert len(runner.heads) == 1
    assert all(float(answer.headers["retry-after"]) > 0 for answer in answers)
