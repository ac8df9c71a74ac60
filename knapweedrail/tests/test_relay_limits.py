"""Runners that limit their request rate across all relays."""

import contextlib
import random
import time

import anyio
import pytest

from ..limits import LimitRecord, LimitUpdate
from ..relay.models import Member, RetryPolicy
from ..relay.peers import PeerClient, make_server
from ..standins.limitfleet import LimitFleet, allow
from .relays_in_memory import (
    ScriptedRunner,
    answer_normally,
    make_answer,
    make_configuration,
    make_route,
    run_relay,
)

pytestmark = pytest.mark.anyio

WINDOW_SECONDS = 4.0
PROPAGATION_SECONDS = 0.5
"""Time after the first answer with a limit from which requests are counted, as the
other relays have to learn of it."""

HOSTS = ("a", "b", "c")
SAFE = make_route(RetryPolicy.SAFE)


def count_worst(arrivals):
    """Return the highest number of requests in any window."""
    counts = [
        sum(at <= other < at + WINDOW_SECONDS for other in arrivals) for at in arrivals
    ]
    return max(counts, default=0)


class LimitedRunner:
    """Answers normally, and states a limit in requests per second."""

    def __init__(self, rate, header):
        self.rate = rate
        self.header = header
        self.arrivals = []

    async def respond(self, stream, head):
        self.arrivals.append(time.monotonic())
        more = {self.header: str(self.rate)} if self.rate else {}
        await stream.send(make_answer(head, **more))
        return True


@pytest.mark.parametrize("header", ["Server_Limit", "Knapweedrail_Server_Limit"])
async def test_three_relays_together_keep_the_limit_of_a_runner(header):
    """Guards against relays that together send an overloaded runner more requests than
    it accepts."""
    limited = LimitedRunner(1.5, header)
    runners = ScriptedRunner(limited.respond), ScriptedRunner(answer_normally)
    async with contextlib.AsyncExitStack() as stack:
        relays = [
            await stack.enter_async_context(
                run_relay(make_configuration(SAFE), *runners, host=host, others=HOSTS)
            )
            for host in HOSTS
        ]
        answers = []
        for number in range(120):
            answers.append(await relays[number % 3].call())
            await anyio.sleep(0.05)
    assert all(answer.status == 200 for answer in answers)
    propagated_at = limited.arrivals[0] + PROPAGATION_SECONDS
    counted = [at for at in limited.arrivals if at >= propagated_at]
    assert count_worst(counted) <= allow(1.5)


SIZES = [(6, 60), (9, 60), (88, 340), (195, 380), (500, 900)]
"""Number of hosts, and requests per second of all callers."""

RATES = [1.5, 20.0]


def simulate(hosts, per_second, rate, seed, scenario, runners=8, heeds=None):
    """Run a scenario while a runner states a limit; return the fleet."""
    fleet = LimitFleet(hosts, runners, seed, heeds or (lambda host: True))
    fleet.send_for(3.0, per_second, None)
    fleet.limit("i-0", rate)
    scenario(fleet, per_second)
    return fleet


def run_steadily(fleet, per_second):
    fleet.send_for(14.0, per_second, None)


def send_bursts_unevenly(fleet, per_second):
    """Callers of a few hosts send nearly all requests, then all send ten times as
    many."""
    for _ in range(3):
        fleet.send_for(3.0, per_second, lambda host: 20.0 if host[-1] == "1" else 1.0)
        fleet.send_for(1.0, 10 * per_second, None)


def partition(fleet, per_second):
    """Half of the hosts can't reach the others when the limit is first stated."""
    fleet.part({host for host in fleet.relays if int(host[2:]) % 2})
    fleet.send_for(8.0, per_second, None)
    fleet.part(set())
    fleet.send_for(10.0, per_second, None)


def freeze(fleet, per_second):
    """A third of the hosts freeze, and resume all at once."""
    for _ in range(3):
        for host in list(fleet.relays)[::3]:
            fleet.freeze(host, 3.0)
        fleet.send_for(5.0, per_second, None)


def restart(fleet, per_second):
    """Hosts restart one after another, then all at once, and some stop permanently."""
    for host in list(fleet.relays)[::5]:
        fleet.start(host)
        fleet.send_for(0.3, per_second, None)
    for host in list(fleet.relays):
        fleet.start(host)
    fleet.send_for(8.0, per_second, None)
    for host in list(fleet.relays)[::6]:
        fleet.stop(host)
    fleet.send_for(10.0, per_second, None)


SCENARIOS = [run_steadily, send_bursts_unevenly, partition, freeze, restart]


@pytest.mark.parametrize("scenario", SCENARIOS)
@pytest.mark.parametrize(("hosts", "per_second"), SIZES)
def test_limit_holds_for_all_relays_together(hosts, per_second, scenario):
    """Guards against a total request rate of many relays above a runner's limit."""
    for rate in RATES:
        fleet = simulate(hosts, per_second, rate, hosts, scenario)
        assert fleet.count_worst("i-0") <= allow(rate)


@pytest.mark.parametrize(("hosts", "per_second"), SIZES)
def test_relay_that_ignores_limits_is_detected(hosts, per_second):
    """Guards against a check that passes even if a relay exceeds the limit."""

    def send_to_one(fleet, per_second):
        fleet.send_for(15.0, per_second, lambda host: hosts if host == "h-0" else 1.0)

    fleet = simulate(
        hosts, per_second, 1.5, 1, send_to_one, heeds=lambda host: host != "h-0"
    )
    assert fleet.count_worst("i-0") > allow(1.5)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_lowered_limit_holds_and_lifted_limit_is_dropped(seed):
    """Guards against relays that keep to a limit that the runner no longer states."""
    fleet = LimitFleet(9, 4, seed)
    fleet.limit("i-0", 6.0)
    fleet.send_for(8.0, 60, None)
    fleet.limit("i-0", 1.5)
    fleet.send_for(2.0, 60, None)
    fleet.runners["i-0"].arrivals.clear()
    fleet.send_for(10.0, 60, None)
    assert fleet.count_worst("i-0") <= allow(1.5)
    fleet.limit("i-0", None)
    fleet.send_for(4.0, 60, None)
    before = fleet.runners["i-0"].served
    fleet.send_for(5.0, 60, None)
    assert fleet.runners["i-0"].served - before >= 0.15 * 5 * 60


def test_limited_runners_are_used_fully_and_the_rest_is_refused():
    """All runners of an endpoint are limited. Callers above the limits are refused at
    once, and each runner still gets a large part of what it accepts."""
    fleet = LimitFleet(9, 4, seed=1)
    for name in fleet.runners:
        fleet.limit(name, 3.0)
    fleet.send_for(5.0, 60, None)
    before = [runner.served for runner in fleet.runners.values()]
    fleet.send_for(20.0, 60, None)
    for runner, served in zip(fleet.runners.values(), before, strict=True):
        assert 0.5 * 3.0 * 20 <= runner.served - served <= 3.0 * 20
        assert fleet.count_worst(runner.name) <= allow(3.0)
    assert fleet.refused > 0


async def test_relays_send_each_other_limits():
    """Guards against changes of a limit that aren't sent to the other relays."""
    received = []
    server = make_server(
        None, lambda lines: None, None, "127.0.0.1:0", handle_limits=received.extend
    )
    await server.start()
    peers = PeerClient()
    member = Member("b", "b/1", server.address, "dc")
    news = [LimitUpdate("i-0", 17, 1.5, 3), LimitUpdate("i-1", 0, 0.0, 1)]
    await peers.send_limits([member], news)
    await peers.close()
    await server.close()
    assert received == news


async def test_only_a_successful_answer_lifts_a_limit():
    """Guards against dropping a limit while the runner is still overloaded."""
    answers = [
        ("200", "2.0"),
        ("503", None),
        ("421", None),
        ("500", None),
        ("200", None),
    ]
    limits = []
    for status, limit in answers:

        async def respond(stream, head, status=status, limit=limit):
            more = {"Knapweedrail-Server-Limit": limit} if limit else {}
            if status == "503":
                more["Knapweedrail-Not-Executed"] = "1"
            await stream.send(make_answer(head, status=int(status), **more))
            return True

        runner = ScriptedRunner(respond)
        async with run_relay(make_configuration(SAFE), runner) as relay:
            view = relay.table.list_views("e", 0.0)[0]
            view.limit_record.record_stated(
                2.0, time.monotonic() - 60, random.Random(1)
            )
            await relay.call()
            limits.append(view.limit_record.limit is not None)
    assert limits == [True, True, True, True, False]


def test_overtaken_answer_does_not_lift_a_limit():
    """Guards against dropping a limit because of an answer that is older than it."""
    record, rng = LimitRecord(), random.Random(1)
    record.record_stated(2.0, 10.0, rng, sent_at=9.0)
    assert not record.record_stated(None, 10.2, rng, sent_at=9.5)
    assert record.limit is not None
    assert record.record_stated(None, 11.0, rng, sent_at=10.5)
    assert record.limit is None


async def test_callers_are_refused_at_once_when_every_runner_is_limited():
    """Guards against callers that wait for a limited runner until their deadline."""
    runner = ScriptedRunner(answer_normally)
    async with run_relay(make_configuration(SAFE), runner) as relay:
        view = relay.table.list_views("e", 0.0)[0]
        view.limit_record.record_stated(0.5, time.monotonic(), random.Random(1))
        began_at = time.monotonic()
        answer = await relay.call()
        assert time.monotonic() - began_at < 0.2
    assert (answer.status, runner.heads) == (503, [])
    assert float(answer.headers["retry-after"]) >= 1 / 0.5
