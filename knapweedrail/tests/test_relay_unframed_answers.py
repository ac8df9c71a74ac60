"""Tests of answers that have neither a length nor chunks."""

import signal
import sys

import anyio
import pytest

from ..relay.connections import reset_stream
from ..relay.models import RetryPolicy
from .relays_in_memory import (
    ScriptedRunner,
    find_header,
    make_answer,
    make_configuration,
    make_event,
    make_route,
    make_runner,
    make_stream_head,
    run_relay,
)
from .test_relay_tunnels import run_two_relays

pytestmark = pytest.mark.anyio

RESUMABLE = make_route(RetryPolicy.STREAM, resumable=True)
NON_RESUMABLE = make_route(RetryPolicy.STREAM, resumable=False)

UNFINISHED_ENDS = {
    "inside the id": b"id: 2",
    "inside the data": make_event(2)[:-6],
    "before the blank line": make_event(2)[:-1],
    "inside the blank line": make_event(2).replace(b"\n", b"\r\n")[:-1],
    "inside a comment": b": still he",
    "after a comment before the rest": b": note\nid: 2\n",
}

FINISHED_ENDS = {
    "after an event": b"",
    "after a blank line": b"\n",
    "after a comment": b": bye\n",
    "after lines with carriage returns": b"\r\n: bye\r\n",
}


KILLED_RUNNER = """
import os, signal, socket, sys, time
listener = socket.create_server(("127.0.0.1", 0))
print(listener.getsockname()[1], flush=True)
connection, _ = listener.accept()
received = b""
while sys.argv[1] == "read" and not received.endswith(b"hello"):
    received += connection.recv(65536)
connection.sendall(sys.stdin.buffer.read())
time.sleep(0.1)
os.kill(os.getpid(), signal.SIGKILL)
"""
"""Program of a runner that sends its input as the answer and is killed. It reads its
request before or not; the kernel resets a connection with unread bytes."""


def make_unframed_head(head):
    """Return the head of an event stream that ends with its connection."""
    return make_stream_head(head).replace(b"Transfer-Encoding: chunked\r\n", b"")


def stream_and_close(*parts, reset=False):
    """Return a `ScriptedRunner.respond` that sends parts and closes its connection."""

    async def respond(stream, head):
        await stream.send(make_unframed_head(head))
        for part in parts:
            await stream.send(part)
            await anyio.sleep(0.01)
        if reset:
            await reset_stream(stream)
        return False

    return respond


async def resume_or_break_off(stream, head):
    """Crash inside event 2 at first, and send the rest to whoever resumes."""
    if find_header(head, "last-event-id") == "1":
        events = make_event(2) + make_event(3)
        return await stream_and_close(events)(stream, head)
    return await stream_and_close(make_event(1) + make_event(2)[:9])(stream, head)


@pytest.mark.parametrize("end", UNFINISHED_ENDS.values(), ids=UNFINISHED_ENDS)
@pytest.mark.parametrize("at_once", [True, False])
async def test_stream_that_ends_inside_an_event_does_not_look_complete(end, at_once):
    """A crashed runner's connection is closed in order in the middle of an event."""
    parts = [make_event(1) + end] if at_once else [make_event(1), end]
    runner = ScriptedRunner(stream_and_close(*parts))
    async with run_relay(make_configuration(NON_RESUMABLE), runner) as relay:
        answer = await relay.call()
        (view,) = relay.table.list_views("e", 0.0)
    assert answer.body == make_event(1)
    assert not answer.complete
    assert view.failure_rate > 0


@pytest.mark.parametrize("reads", ["read", "leave"])
async def test_stream_of_a_killed_process_does_not_look_complete(reads):
    """The kernel closes the connections of a runner that is killed inside an event."""
    head = "\r\nKnapweedrail-Request-Id: id-1"
    answer = make_unframed_head(head) + make_event(1) + make_event(2)[:9]
    command = [sys.executable, "-c", KILLED_RUNNER, reads]
    async with run_relay(make_configuration(NON_RESUMABLE)) as relay:
        async with await anyio.open_process(command, stderr=None) as process:
            port = int(await process.stdout.receive())
            await process.stdin.send(answer)
            await process.stdin.aclose()
            relay.table.set_runner(make_runner("i-0", f"127.0.0.1:{port}"))
            received = await relay.call()
    assert process.returncode == -signal.SIGKILL
    assert not received.complete
    assert received.body in (b"", make_event(1))


async def test_stream_that_ends_inside_an_event_is_resumed_after_the_last_one():
    """A runner crashes in the middle of an event of a stream that may be resumed."""
    runners = ScriptedRunner(resume_or_break_off), ScriptedRunner(resume_or_break_off)
    async with run_relay(make_configuration(RESUMABLE), *runners) as relay:
        answer = await relay.call()
    assert answer.complete
    assert answer.body == b"".join(make_event(n) for n in (1, 2, 3))


@pytest.mark.parametrize("reset", [False, True])
async def test_stream_that_ends_inside_an_event_of_both_runs_does_not_look_complete(
    reset,
):
    """Both runners of a resumed stream crash in the middle of an event."""

    async def respond(stream, head):
        first = int(find_header(head, "last-event-id") or 0) + 1
        events = make_event(first) + make_event(first + 1)[:9]
        return await stream_and_close(events, reset=reset)(stream, head)

    runners = ScriptedRunner(respond), ScriptedRunner(respond)
    async with run_relay(make_configuration(RESUMABLE), *runners) as relay:
        answer = await relay.call()
    assert not answer.complete
    assert answer.body == make_event(1) + make_event(2)


async def test_stream_that_ends_inside_an_event_after_a_stall_does_not_look_complete():
    """A runner stalls, no other one takes over, and it crashes in the next event."""

    async def respond(stream, head):
        if find_header(head, "last-event-id"):
            full = make_answer(head, b"", 503, Knapweedrail_Not_Executed="1")
            await stream.send(full)
            return True
        await stream.send(make_unframed_head(head) + make_event(1))
        await anyio.sleep(1.5)
        await stream.send(make_event(2) + make_event(3)[:9])
        return False

    runners = ScriptedRunner(respond), ScriptedRunner(respond)
    async with run_relay(make_configuration(RESUMABLE), *runners) as relay:
        answer = await relay.call()
    assert not answer.complete
    assert answer.body == make_event(1) + make_event(2)


@pytest.mark.parametrize("route", [NON_RESUMABLE, RESUMABLE], ids=["once", "resumable"])
async def test_stream_that_ends_before_its_first_event_does_not_look_complete(route):
    """A runner crashes right after the head of its answer."""
    runner = ScriptedRunner(stream_and_close())
    async with run_relay(make_configuration(route), runner) as relay:
        answer = await relay.call()
    assert answer.status == 502


@pytest.mark.parametrize("end", FINISHED_ENDS.values(), ids=FINISHED_ENDS)
async def test_stream_without_length_that_ends_between_events_is_complete(end):
    """A whole answer that ends with its connection must not be broken off."""
    runner = ScriptedRunner(stream_and_close(make_event(1), make_event(2), end))
    async with run_relay(make_configuration(NON_RESUMABLE), runner) as relay:
        answer = await relay.call()
    assert answer.complete
    assert answer.body == make_event(1) + make_event(2) + end


async def test_stream_that_is_reset_between_events_does_not_look_complete():
    """A connection that is reset after a whole event isn't the end of an answer."""
    runner = ScriptedRunner(stream_and_close(make_event(1), reset=True))
    async with run_relay(make_configuration(NON_RESUMABLE), runner) as relay:
        answer = await relay.call()
    assert not answer.complete


@pytest.mark.parametrize("status", [200, 404, 500])
async def test_whole_answer_without_length_that_is_reset_is_not_passed_on(status):
    """A plain answer that is reset on the way must not look complete."""

    async def respond(stream, head):
        answer = make_answer(head, b"part of an answer", status)
        await stream.send(answer.replace(b"Content-Length: 17\r\n", b""))
        await anyio.sleep(0.02)
        await reset_stream(stream)
        return False

    route = make_route(RetryPolicy.ONCE)
    runner = ScriptedRunner(respond)
    async with run_relay(make_configuration(route), runner) as relay:
        answer = await relay.call()
    assert answer.status == 502
    assert b"part of" not in answer.body


async def test_stream_that_ends_inside_an_event_in_a_tunnel_does_not_look_complete(
    monkeypatch,
):
    """The end of a connection to a crashed runner comes through another host."""
    respond = stream_and_close(make_event(1), make_event(2)[:9])
    async with run_two_relays(monkeypatch, NON_RESUMABLE, respond=respond) as world:
        answer = await world.far.call()
    assert not answer.complete
    assert answer.body == make_event(1)
