"""Tests of runners that restart while the relay can't reach the store."""

import anyio
import attrs
import pytest

from ..relay.models import Endpoint, RetryPolicy, RunnerIncarnation
from ..relay.runners import RunnerTable
from .relays_in_memory import (
    ScriptedRunner,
    answer_normally,
    find_header,
    make_answer,
    make_configuration,
    make_route,
    make_runner,
    run_relay,
)

pytestmark = pytest.mark.anyio

SAFE = make_route(RetryPolicy.SAFE)
ENGINE = Endpoint(name="e", health_path="/h", max_connections=9, cache_tokens=1000)
REPORT = b'{"stage":"both","models":[{"name":"m"}],"kvTotal":1000}'


class RestartedRunner:
    """Answers as ``i-9`` where ``i-0`` is expected."""

    def __init__(self, report=REPORT, report_status=200):
        self.report = report
        self.report_status = report_status

    async def respond(self, stream, head):
        if find_header(head, "knapweedrail-expect-instance") != "i-9":
            # Server libraries may change the case of header names.
            identity = {"Knapweedrail-Instance-Id": "i-9"}
            await stream.send(make_answer(head, b"", 421, **identity))
        elif head.startswith("GET /report "):
            await stream.send(make_answer(head, self.report, self.report_status))
        else:
            await stream.send(make_answer(head))
        return True


def make_engines(*more):
    configuration = make_configuration(SAFE)
    endpoints = {one.name: one for one in (ENGINE, *more)}
    return attrs.evolve(configuration, endpoints=endpoints)


async def send_requests(configuration, restarted):
    """Returns the status of a request sent after the first one reached another
    runner."""
    runner = ScriptedRunner(restarted.respond)
    async with run_relay(configuration, runner) as relay:
        first = await relay.call()
        assert first.status == 503
        answers = [await relay.call(knapweedrail_request_id=f"n{n}") for n in range(9)]
        return answers[-1].status, runner, relay


async def test_restarted_runner_gets_requests_before_it_is_listed():
    """Guards against idle runners in an outage of the store. Two of five engines crash
    and are back seconds later under new names at their old addresses, but no relay
    sends them anything until the outage ends, and prompts wait at the other three."""
    status, runner, _ = await send_requests(make_engines(), RestartedRunner())
    assert status == 200
    assert any(head.startswith("GET /report ") for head in runner.heads)


async def test_version_of_a_runner_that_is_not_listed_is_unknown():
    """A restarted runner may have new software, and takes over the old entry's
    version."""
    *_, relay = await send_requests(make_engines(), RestartedRunner())
    assert relay.table.find_runner("i-9").version is None


@pytest.mark.parametrize("report", [b"", b"[]", b'{"kvTotal":0}', b'{"kvTotal":"x"}'])
async def test_runner_without_an_engine_report_gets_no_requests(report):
    """Guards against requests run by the wrong service. An engine has crashed without a
    restart, and its address was given to a runner of another kind."""
    status, *_ = await send_requests(make_engines(), RestartedRunner(report))
    assert status == 503


async def test_refused_report_is_ignored():
    """A service that sends no reports rejects the request, which has no request ID."""
    restarted = RestartedRunner(report_status=400)
    status, *_ = await send_requests(make_engines(), restarted)
    assert status == 503


async def test_report_is_not_requested_with_two_engine_endpoints():
    """Guards against requests sent to the wrong endpoint. Runners of both would report
    an engine's memory, the address may have passed from one to the other, and only the
    store's list shows which one has it."""
    configuration = make_engines(attrs.evolve(ENGINE, name="other"))
    status, runner, _ = await send_requests(configuration, RestartedRunner())
    assert status == 503
    assert not any(head.startswith("GET /report ") for head in runner.heads)


OLD = 1_700_000_000_000
NEW = OLD + 5000


def make_report(started):
    return REPORT[:-1] + b',"born":%d}' % started


async def report_other_incarnation(known_started, reported_started):
    """Returns the entry of ``i-9``, known at another address, after it answers for
    ``i-0``."""
    restarted = RestartedRunner(make_report(reported_started))
    runner = ScriptedRunner(restarted.respond)
    async with run_relay(make_engines(), runner) as relay:
        known = make_runner("i-9", "127.0.0.1:1", started=known_started)
        relay.table.set_runner(known)
        successors = relay.successors
        successors.report_mismatch(make_runner("i-0", runner.address), "i-9")
        with anyio.move_on_after(0.3):
            while relay.table.find_runner("i-9") == known:
                await anyio.sleep(0.01)
        return relay.table.find_runner("i-9"), runner.address


async def test_runner_restarted_at_another_address_is_found_by_its_report():
    """Guards against a runner that stays idle until the list can be read, because its
    name is already known. Two engines crash in an outage, and one restarts at the
    other's address."""
    found, address = await report_other_incarnation(OLD, NEW)
    assert (found.started, found.address) == (NEW, address)


@pytest.mark.parametrize("reported", [OLD, OLD - 1])
async def test_report_of_an_earlier_incarnation_is_ignored(reported):
    """Guards against requests sent to an address where no runner listens. The report
    was in flight when the runner ended, and its next incarnation is already listed
    elsewhere."""
    found, address = await report_other_incarnation(OLD, reported)
    assert (found.started, found.address) == (OLD, "127.0.0.1:1")


@pytest.mark.parametrize("started", [b"null", b"true", b'"1"', b"-5", b"1e300"])
async def test_report_with_an_invalid_start_is_ignored(started):
    report = REPORT[:-1] + b',"born":' + started + b"}"
    status, *_ = await send_requests(make_engines(), RestartedRunner(report))
    assert status == 503


def make_presumed(table):
    table.set_runner(make_runner("i-0"))
    assert table.add_successor(RunnerIncarnation("i-0"), make_runner("i-9"), 10.0)


def list_names(table, now):
    return [view.runner.name for view in table.list_views("e", now)]


def test_unlisted_successor_is_removed_after_a_list():
    """Guards against failing attempts at a runner that replaced another one and then
    crashed without a restart, all in one outage. The list has no entry for it."""
    table = RunnerTable(grace_seconds=1.9)
    make_presumed(table)
    assert list_names(table, 30.0) == ["i-9"]
    table.mark_successors_absent(31.0)
    assert list_names(table, 32.0) == ["i-9"]
    assert list_names(table, 33.0) == []
    assert [runner.name for runner in table.prune(33.0)] == ["i-0", "i-9"]


def test_listed_successor_stays():
    table = RunnerTable(grace_seconds=1.9)
    make_presumed(table)
    table.mark_successors_absent(31.0)
    table.set_runner(make_runner("i-9"))
    assert list_names(table, 99.0) == ["i-9"]


def test_ended_successor_is_removed():
    table = RunnerTable(grace_seconds=1.9)
    make_presumed(table)
    table.remove_runner("i-9", 20.0)
    table.mark_successors_absent(21.0)
    assert list_names(table, 30.0) == []


async def test_identity_mismatch_does_not_use_up_the_only_attempt():
    """Guards against a refusal on a route with a single attempt. The chosen runner has
    crashed and another incarnation answers at its address, so no runner has run the
    request, and the next runner has room."""
    route = make_route(RetryPolicy.ONCE, max_runners=1)
    restarted = ScriptedRunner(RestartedRunner().respond)
    healthy = ScriptedRunner(answer_normally)
    async with run_relay(make_configuration(route), restarted, healthy) as relay:
        answers = [
            await relay.call(knapweedrail_request_id=f"n{number}")
            for number in range(8)
        ]
    assert {answer.status for answer in answers} == {200}
    assert len(restarted.heads) > 0
    assert len(healthy.heads) == len(answers)


async def test_rejection_uses_up_the_only_attempt():
    """The runner received the request and rejected it, and the route allows one
    runner."""

    async def reject(stream, head):
        executed = {"Knapweedrail-Not-Executed": "1"}
        await stream.send(make_answer(head, b"", 503, **executed))
        return True

    route = make_route(RetryPolicy.ONCE, max_runners=1)
    runners = [ScriptedRunner(reject), ScriptedRunner(reject)]
    async with run_relay(make_configuration(route), *runners) as relay:
        assert (await relay.call()).status == 503
    assert sum(len(runner.heads) for runner in runners) == 1


def test_late_mismatch_does_not_remove_a_restarted_runner():
    """Guards against removing a listed incarnation by a late report. The runner has
    restarted at another address, and its previous address was given to another
    runner."""
    table = RunnerTable(grace_seconds=1.9)
    table.set_runner(make_runner("i-0", started=OLD))
    ended = table.find_runner("i-0").incarnation
    table.set_runner(make_runner("i-0", "127.0.0.1:2", started=NEW))
    assert table.add_successor(ended, make_runner("i-9", started=NEW), 10.0)
    assert list_names(table, 10.0) == ["i-0", "i-9"]
