"""From a failed request's id to its cause, by the lines that relays wrote."""

import time

import anyio
import eliot
import orjson
import pytest

from ..explanations import explain_request, read_lines
from ..relay.models import RetryPolicy
from ..relay.shutdowns import Shutdown
from ..tools import explain
from .relays_in_memory import (
    ScriptedRunner,
    make_chunk,
    make_configuration,
    make_event,
    make_route,
    make_stream_head,
    run_relay,
)


@pytest.fixture
def lines():
    written = []

    def keep(message):
        written.append(orjson.dumps(message, default=repr))

    eliot.add_destinations(keep)
    yield written
    eliot.remove_destination(keep)


async def break_off(stream, head):
    return False


async def stop_midway(stream, head):
    await stream.send(make_stream_head(head) + make_chunk(make_event(1)))
    return False


def tell(lines, request="id-1"):
    return "\n".join(explain_request(read_lines("host", lines), request))


@pytest.mark.anyio
async def test_a_budget_out_of_reach_is_explained(lines):
    """All relays are cut off from the store, and one has too few tokens."""
    route = make_route(RetryPolicy.STREAM)
    async with run_relay(make_configuration(route, prepaid=1000)) as relay:
        relay.store.unavailable = True
        await relay.call(knapweedrail_token_usage="900,50")
    told = tell(lines)
    assert "needs 950 tokens of farm" in told
    assert "refused as budget-out-of-reach, not run" in told


@pytest.mark.anyio
async def test_a_broken_stream_is_explained(lines):
    """A runner breaks off a stream that another can't go on with."""
    route = make_route(RetryPolicy.STREAM)
    async with run_relay(make_configuration(route), ScriptedRunner(stop_midway)) as r:
        await r.call()
    told = tell(lines)
    assert "attempt 1 at runner i-0 gave no answer (broken: body:" in told
    assert "may not be resumed" in told


@pytest.mark.anyio
async def test_an_unknown_outcome_is_explained(lines):
    """A runner resets the connection after it has read a call that may run once."""
    route = make_route(RetryPolicy.ONCE)
    async with run_relay(make_configuration(route), ScriptedRunner(break_off)) as r:
        await r.call()
    told = tell(lines)
    assert "attempt 1 at runner i-0 gave no answer (broken: answer:" in told
    assert "refused as outcome-unknown, unknown" in told


def test_the_command_reads_files_of_several_hosts(tmp_path, capsys):
    early = {"message_type": "603 attempt_failed", "timestamp": 1.0, "request": "x"}
    late = {"message_type": "602 request_refused", "timestamp": 2.0, "request": "x"}
    (tmp_path / "a").write_bytes(b"12:00 host-a " + orjson.dumps(late) + b"\nnoise\n")
    (tmp_path / "b").write_bytes(orjson.dumps(early) + b"\n{broken\n")
    paths = [str(tmp_path / "a"), str(tmp_path / "b")]
    assert explain.main(["x", *paths]) == explain.EXIT_FOUND
    told = capsys.readouterr().out.splitlines()
    assert len(told) == 2
    assert "attempt" in told[0] and "host-a: refused" in told[1]
    assert explain.main(["y", *paths]) == explain.EXIT_NOTHING
    assert explain.main(["x", str(tmp_path / "missing")]) == explain.EXIT_USAGE


@pytest.mark.anyio
async def test_an_answer_that_a_stop_cut_off_is_explained(lines):
    """A host is told to stop while a call hangs at its runner. The caller asks why it
    wasn't told whether its slot is confirmed."""

    async def stop_soon(gateway):
        await anyio.sleep(0.1)
        gateway.drain.begin(Shutdown(time.monotonic(), 0.3))

    async def hang(stream, head):
        await anyio.sleep(10)
        return False

    route = make_route(RetryPolicy.ONCE)
    async with run_relay(make_configuration(route), ScriptedRunner(hang)) as relay:
        async with anyio.create_task_group() as group:
            group.start_soon(stop_soon, relay.gateway)
            await relay.call()
    assert "the host stopped before its answer; it may have run" in tell(lines)
