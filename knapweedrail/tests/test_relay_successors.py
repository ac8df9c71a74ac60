"""Runners that start anew while the relay can't hear of it."""

import anyio
import attrs
import pytest

from ..relay.models import Endpoint, Repetition, RunnerLife
from ..relay.runners import RunnerTable
from .relays_in_memory import (
    ScriptedRunner,
    answer_well,
    find_header,
    make_answer,
    make_configuration,
    make_route,
    make_runner,
    run_relay,
)

pytestmark = pytest.mark.anyio

SAFE = make_route(Repetition.SAFE)
ENGINE = Endpoint(name="e", health_path="/h", max_connections=9, cache_tokens=1000)
REPORT = b'{"stage":"both","models":[{"name":"m"}],"kvTotal":1000}'


class RestartedRunner:
    """Answers as ``i-9`` where ``i-0`` is expected."""

    def __init__(self, report=REPORT, report_status=200):
        self.report = report
        self.report_status = report_status

    async def respond(self, stream, head):
        if find_header(head, "knapweedrail-expect-instance") != "i-9":
            # The server library writes header names in any case.
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
    """Return the status of a request sent after the first one met another runner."""
    runner = ScriptedRunner(restarted.respond)
    async with run_relay(configuration, runner) as relay:
        first = await relay.call()
        assert first.status == 503
        with_next = [
            await relay.call(knapweedrail_request_id=f"n{n}") for n in range(9)
        ]
        return with_next[-1].status, runner, relay


async def test_restarted_runner_gets_requests_before_it_is_listed():
    """All relays are cut off from the store while two of five engines crash. They are
    back seconds later under new names at their old addresses, and nobody sends them
    anything until the cut ends: plans wait at the three that are left."""
    status, runner, _ = await send_requests(make_engines(), RestartedRunner())
    assert status == 200
    assert any(head.startswith("GET /report ") for head in runner.heads)


@pytest.mark.parametrize("report", [b"", b"[]", b'{"kvTotal":0}', b'{"kvTotal":"x"}'])
async def test_runner_without_an_engine_report_gets_no_requests(report):
    """An engine has crashed for good, and its address went to a booking service. A
    plan sent there would be run by the wrong service."""
    status, *_ = await send_requests(make_engines(), RestartedRunner(report))
    assert status == 503


async def test_refused_report_is_ignored():
    """A plain service refuses the question, as it names no request."""
    restarted = RestartedRunner(report_status=400)
    status, *_ = await send_requests(make_engines(), restarted)
    assert status == 503


async def test_report_is_not_requested_with_two_engine_endpoints():
    """Both endpoints' runners would report an engine's memory. The address may have
    passed from one to the other, and only the list can tell."""
    configuration = make_engines(attrs.evolve(ENGINE, name="other"))
    status, runner, _ = await send_requests(configuration, RestartedRunner())
    assert status == 503
    assert not any(head.startswith("GET /report ") for head in runner.heads)


OLD = 1_700_000_000_000
NEW = OLD + 5000


def make_report(started):
    return REPORT[:-1] + b',"born":%d}' % started


async def report_other_incarnation(known_started, reported_started):
    """Return what became of ``i-9``, known elsewhere, when it answers for ``i-0``."""
    restarted = RestartedRunner(make_report(reported_started))
    runner = ScriptedRunner(restarted.respond)
    async with run_relay(make_engines(), runner) as relay:
        known = make_runner("i-9", "127.0.0.1:1", started=known_started)
        relay.table.set_runner(known)
        successors = relay.successors
        successors.note(make_runner("i-0", runner.address), "i-9")
        with anyio.move_on_after(0.3):
            while relay.table.find_runner("i-9") == known:
                await anyio.sleep(0.01)
        return relay.table.find_runner("i-9"), runner.address


async def test_runner_restarted_at_another_address_is_found_by_its_report():
    """Two engines crash in a cut, and one of them starts again at the other's address,
    under its own name. It idles until the list can be read, as its name is known."""
    found, address = await report_other_incarnation(OLD, NEW)
    assert (found.started, found.address) == (NEW, address)


@pytest.mark.parametrize("reported", [OLD, OLD - 1])
async def test_report_of_an_earlier_incarnation_is_ignored(reported):
    """The report was on its way as the runner ended, and its next life is listed at
    another address already. Requests would go to where nobody listens."""
    found, address = await report_other_incarnation(OLD, reported)
    assert (found.started, found.address) == (OLD, "127.0.0.1:1")


@pytest.mark.parametrize("started", [b"null", b"true", b'"1"', b"-5", b"1e300"])
async def test_report_with_an_invalid_start_is_ignored(started):
    report = REPORT[:-1] + b',"born":' + started + b"}"
    status, *_ = await send_requests(make_engines(), RestartedRunner(report))
    assert status == 503


def make_presumed(table):
    table.set_runner(make_runner("i-0"))
    assert table.succeed(RunnerLife("i-0"), make_runner("i-9"), 10.0)


def list_names(table, now):
    return [view.runner.name for view in table.list_views("e", now)]


def test_unlisted_successor_is_removed_after_a_list():
    """A runner was found in another's place and then crashed for good, all in one cut.
    The list has no entry of it; sending it requests any longer would cost each of them
    an attempt."""
    table = RunnerTable(doubt=1.9)
    make_presumed(table)
    assert list_names(table, 30.0) == ["i-9"]
    table.note_list(31.0)
    assert list_names(table, 32.0) == ["i-9"]
    assert list_names(table, 33.0) == []
    assert [runner.name for runner in table.prune(33.0)] == ["i-0", "i-9"]


def test_listed_successor_stays():
    table = RunnerTable(doubt=1.9)
    make_presumed(table)
    table.note_list(31.0)
    table.set_runner(make_runner("i-9"))
    assert list_names(table, 99.0) == ["i-9"]


def test_ended_successor_is_removed():
    table = RunnerTable(doubt=1.9)
    make_presumed(table)
    table.remove_runner("i-9", 20.0)
    table.note_list(21.0)
    assert list_names(table, 30.0) == []


async def test_identity_mismatch_does_not_use_up_the_only_attempt():
    """Route by route, a call may be sent to one runner. The one chosen has crashed and
    another life answers at its address. The call has reached nobody who would run it,
    and the next runner has room, but its caller was refused."""
    route = make_route(Repetition.ONCE, max_runners=1)
    restarted = ScriptedRunner(RestartedRunner().respond)
    healthy = ScriptedRunner(answer_well)
    async with run_relay(make_configuration(route), restarted, healthy) as relay:
        answers = [
            await relay.call(knapweedrail_request_id=f"n{number}")
            for number in range(8)
        ]
    assert {answer.status for answer in answers} == {200}
    assert len(restarted.heads) > 0
    assert len(healthy.heads) == len(answers)


async def test_rejection_uses_up_the_only_attempt():
    """It got the call and turned it away; the operator allows one runner."""

    async def reject(stream, head):
        executed = {"Knapweedrail-Not-Executed": "1"}
        await stream.send(make_answer(head, b"", 503, **executed))
        return True

    route = make_route(Repetition.ONCE, max_runners=1)
    runners = [ScriptedRunner(reject), ScriptedRunner(reject)]
    async with run_relay(make_configuration(route), *runners) as relay:
        assert (await relay.call()).status == 503
    assert sum(len(runner.heads) for runner in runners) == 1


def test_late_mismatch_does_not_remove_a_restarted_runner():
    """A runner has started again at another address, and its former address went to
    another one. Word of that comes late, and must not end the life that is listed."""
    table = RunnerTable(doubt=1.9)
    table.set_runner(make_runner("i-0", started=OLD))
    ended = table.find_runner("i-0").life
    table.set_runner(make_runner("i-0", "127.0.0.1:2", started=NEW))
    assert table.succeed(ended, make_runner("i-9", started=NEW), 10.0)
    assert list_names(table, 10.0) == ["i-0", "i-9"]
