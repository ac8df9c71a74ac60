"""Tests of runners that say in their answers that they leave."""

import time

import anyio
import pytest

from ..relay.models import Member, RetryPolicy, RunnerIncarnation
from ..relay.runners import RunnerTable
from ..relay.tunnels import UNWANTED, ConnectRequest, open_tunnel
from .relays_in_memory import (
    ScriptedRunner,
    answer_normally,
    find_header,
    make_answer,
    make_chunk,
    make_configuration,
    make_event,
    make_route,
    make_runner,
    make_stream_head,
    run_relay,
)
from .test_relay_tunnels import call_until_lost, current_host, run_two_relays

pytestmark = pytest.mark.anyio

ONCE = make_route(RetryPolicy.ONCE)
SAFE = make_route(RetryPolicy.SAFE, max_runners=3)
STREAM = make_route(RetryPolicy.STREAM, resumable=True)


def make_prompt(number):
    """Return the header by which requests with the same prompt prefer a runner."""
    return {"knapweedrail_prompt_prefix": f"aa:800,b{number}:400,c{number}:20"}


def say_leaving(respond):
    """Return a `ScriptedRunner.respond` whose answers say that the runner leaves."""

    class Stream:
        def __init__(self, stream):
            self._stream = stream

        async def send(self, data):
            head, _, rest = data.partition(b"\r\n")
            if head.startswith(b"HTTP/1.1"):
                data = head + b"\r\nServer-Leaving: 1\r\n" + rest
            await self._stream.send(data)

    async def respond_and_say_leaving(stream, head):
        return await respond(Stream(stream), head)

    return respond_and_say_leaving


async def stream_one_event_and_break_off(stream, head):
    await stream.send(make_stream_head(head) + make_chunk(make_event(1)))
    return False


async def stream_rest(stream, head):
    first = int(find_header(head, "last-event-id") or 0) + 1
    events = b"".join(make_chunk(make_event(n)) for n in range(first, 4))
    await stream.send(make_stream_head(head) + events + make_chunk(b""))
    return True


async def reject(stream, head):
    await stream.send(make_answer(head, b"", 503, Knapweedrail_Not_Executed="1"))
    return True


async def fail(stream, head):
    await stream.send(make_answer(head, b"failed", 500))
    return True


@pytest.mark.parametrize("respond", [answer_normally, reject, fail])
@pytest.mark.parametrize("has_prompt", [False, True])
async def test_leaving_runner_gets_no_further_requests(respond, has_prompt):
    """The store doesn't say yet that a runner leaves, but the runner's answers do."""
    leaving = ScriptedRunner(say_leaving(respond))
    others = [ScriptedRunner(answer_normally) for _ in range(2)]
    async with run_relay(make_configuration(SAFE), leaving, *others) as relay:
        for n in range(30):
            headers = make_prompt(n) if has_prompt else {}
            answer = await relay.call(knapweedrail_request_id=f"id-{n}", **headers)
            assert answer.status == 200
            # Ends a backoff or an ejection, which would keep requests away as well.
            now = time.monotonic()
            relay.table.readmit(relay.table.list_incarnations(), now)
            for view in relay.table.list_views("e", now):
                view.backoff_until = now
    assert len(leaving.heads) <= 1


async def test_leaving_runner_gets_no_resumed_stream():
    """A stream must not be resumed at a runner that has said that it leaves."""
    leaving = ScriptedRunner(say_leaving(stream_rest))
    broken = ScriptedRunner(stream_one_event_and_break_off)
    sound = ScriptedRunner(stream_rest)
    async with run_relay(make_configuration(STREAM), leaving, broken, sound) as relay:
        for n in range(20):
            await relay.call(knapweedrail_request_id=f"id-{n}")
    assert len(leaving.heads) <= 1
    assert sound.heads


@pytest.mark.parametrize("runner_count", [1, 3])
async def test_leaving_runners_are_used_for_a_short_time_if_there_is_no_other(
    runner_count,
):
    """All runners of an endpoint leave before the store lists those that follow."""
    runners = [
        ScriptedRunner(say_leaving(answer_normally)) for _ in range(runner_count)
    ]
    async with run_relay(make_configuration(ONCE), *runners) as relay:
        served = [await relay.call() for _ in range(5)]
        await anyio.sleep(2.0)
        received = sum(len(runner.heads) for runner in runners)
        refused = await relay.call()
    assert [answer.status for answer in served] == [200] * 5
    assert refused.status == 503
    assert float(refused.headers["retry-after"]) > 0
    assert sum(len(runner.heads) for runner in runners) == received


async def test_leaving_runner_gets_no_requests_of_other_hosts(monkeypatch):
    """A tunnel brings another host's requests to the runner from this host."""
    respond = say_leaving(answer_normally)
    async with run_two_relays(monkeypatch, SAFE, respond=respond) as world:
        member = Member("near", "near/1", tunnel_address=world.near.tunnels.address)
        current_host.set("near")
        for n in range(6):
            await world.near.call(knapweedrail_request_id=f"id-{n}")
        heads = [len(runner.heads) for runner in world.runners]
        runner = world.runners[heads.index(max(heads))]
        name = RunnerIncarnation(f"i-{world.runners.index(runner)}")
        opened = await open_tunnel(member, ConnectRequest(name, runner.address))
    assert getattr(opened, "status", None) == UNWANTED


async def test_leaving_runner_is_noticed_in_the_tunnels_of_other_hosts(monkeypatch):
    """A runner tells a host that it leaves in an answer to another host's request."""
    respond = say_leaving(answer_normally)
    async with run_two_relays(monkeypatch, SAFE, respond=respond) as world:
        await call_until_lost(world.far)
        told = [n for n, runner in enumerate(world.runners) if runner.heads]
        runner = world.runners[told[0]]
        member = Member("near", "near/1", tunnel_address=world.near.tunnels.address)
        name = RunnerIncarnation(f"i-{told[0]}")
        opened = await open_tunnel(member, ConnectRequest(name, runner.address))
    assert getattr(opened, "status", None) == UNWANTED


def make_table(*names):
    table = RunnerTable(grace_seconds=1.9)
    for name in names:
        table.set_runner(make_runner(name, started=1))
    return table


def list_names(table, now):
    return [view.runner.name for view in table.list_views("e", now)]


def test_leaving_runner_stays_so_when_its_entry_comes_back():
    """An entry that lapsed in an outage of the store may come back as ready."""
    table = make_table("i-0", "i-1")
    leaving = table.find_view(RunnerIncarnation("i-0", 1))
    table.record_leaving(leaving, 10.0)
    table.remove_runner("i-0", 11.0)
    table.set_runner(make_runner("i-0", started=1), 14.0)
    assert list_names(table, 14.0) == ["i-1"]


def test_runner_that_has_restarted_is_no_longer_leaving():
    """A runner leaves and starts again under its name."""
    table = make_table("i-0")
    table.record_leaving(table.find_view(RunnerIncarnation("i-0", 1)), 10.0)
    table.set_runner(make_runner("i-0", started=2), 20.0)
    assert list_names(table, 20.0) == ["i-0"]
    assert table.find_view(RunnerIncarnation("i-0", 1)) is None


@pytest.mark.parametrize("unlisted_at", [9.0, 11.0])
def test_leaving_runner_without_entry_gets_no_longer_grace_period(unlisted_at):
    """The two reasons to spare a runner must not add up."""
    table = make_table("i-0")
    table.record_leaving(table.find_view(RunnerIncarnation("i-0", 1)), 10.0)
    table.remove_runner("i-0", unlisted_at)
    end = min(unlisted_at, 10.0) + 1.9
    assert list_names(table, end - 0.01) == ["i-0"]
    assert list_names(table, end) == []
