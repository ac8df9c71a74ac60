"""Runners that send a router bytes without end, or an answer without a status."""

import anyio
import pytest

from ..endpoints import EngineCall, EngineClient, ServiceCall, ServiceClient, Silent
from ..models import Holder
from ..outcomes import Unavailable, Unknown
from .relays_in_memory import ScriptedRunner

pytestmark = pytest.mark.anyio

MEBIBYTE = 1_048_576
KERNEL_BYTES = 8 * MEBIBYTE
"""Upper bound of what the kernel holds of one connection in both directions."""

MOST_BYTES = 8 * MEBIBYTE + KERNEL_BYTES
CALL_SECONDS = 5.0
FILLER = b"x" * 65_536

ENGINE_CALL = EngineCall("farm:one", b"{}", 1, Holder("r", 1))
SERVICE_CALL = ServiceCall("farm:one", "POST", "/slots/1", (), b"", False)

STREAM = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
PLAIN = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"
FAILURE = b"HTTP/1.1 500 Internal Server Error\r\n\r\n"

STARTS = {
    "one line": (STREAM, FILLER),
    "lines of one event": (STREAM, b"data: " + FILLER + b"\n"),
    "comments": (STREAM, b": " + FILLER + b"\n"),
    "body of a failure": (FAILURE, FILLER),
    "head": (b"HTTP/1.1 200 OK\r\nX-Filler: ", FILLER),
}


class EndlessRunner:
    """Answers with a start and the same bytes without end."""

    def __init__(self, start, filler):
        self.start = start
        self.filler = filler
        self.sent_bytes = 0

    async def respond(self, stream, head):
        await stream.send(self.start)
        while True:
            await stream.send(self.filler)
            self.sent_bytes += len(self.filler)


async def use_client(client, call, start, filler):
    """Returns what a call ends with, and the bytes that the runner could send."""
    endless = EndlessRunner(start, filler)
    runner = ScriptedRunner(endless.respond)
    outcome = None
    async with anyio.create_task_group() as group:
        await runner.serve(group)
        await client.start()
        with anyio.move_on_after(CALL_SECONDS):
            outcome = await call(client, runner.address)
        sent_bytes = endless.sent_bytes
        await client.close()
        group.cancel_scope.cancel()
    return outcome, sent_bytes


async def run_stream(client, address):
    items = [item async for item in client.stream(address, ENGINE_CALL)]
    return items[-1]


@pytest.mark.parametrize("start, filler", STARTS.values(), ids=STARTS)
async def test_endless_answer_of_an_engine_is_broken_off(start, filler):
    """Guards against a router that keeps what an engine sends until it runs out of
    memory."""
    client = EngineClient(1.0)
    outcome, sent_bytes = await use_client(client, run_stream, start, filler)
    assert isinstance(outcome, Unknown)
    assert sent_bytes < MOST_BYTES


async def test_informational_answers_without_end_are_given_up():
    """Guards against a wait without end for a runner that is never silent."""
    filler = b"HTTP/1.1 100 Continue\r\nX-Filler: " + FILLER + b"\r\n\r\n"
    outcome, _ = await use_client(EngineClient(1.0), run_stream, b"", filler)
    assert isinstance(outcome, Silent)


@pytest.mark.parametrize("start", [PLAIN, FAILURE])
async def test_endless_answer_of_a_service_is_broken_off(start):
    """Guards against a router that keeps what a service sends until it runs out of
    memory."""

    async def call(client, address):
        return await client.call(address, SERVICE_CALL)

    outcome, sent_bytes = await use_client(ServiceClient(1.0), call, start, FILLER)
    assert isinstance(outcome, Unknown)
    assert sent_bytes < MOST_BYTES


async def test_endless_report_of_load_is_broken_off():
    """Guards against a router that keeps a report until it runs out of memory."""

    async def call(client, address):
        return await client.load(address)

    outcome, sent_bytes = await use_client(EngineClient(1.0), call, PLAIN, FILLER)
    assert isinstance(outcome, Unavailable)
    assert sent_bytes < MOST_BYTES


@pytest.mark.parametrize("status", [b"000", b"099", b"600", b"999"])
async def test_answer_of_a_service_without_a_valid_status_is_not_passed_on(status):
    """Guards against an answer to a caller whose status is none."""

    async def call(client, address):
        return await client.call(address, SERVICE_CALL)

    start = PLAIN.replace(b"200", status).replace(b"OK", b"X")
    start = start.replace(b"\r\n\r\n", b"\r\nContent-Length: 65536\r\n\r\n")
    outcome, _ = await use_client(ServiceClient(1.0), call, start, FILLER)
    assert isinstance(outcome, Unknown)


async def test_answers_without_end_have_one_bound_together():
    """Guards against a bound for each answer, which has no sum."""
    client = ServiceClient(5.0)
    held = 7 * MEBIBYTE
    outcomes = []

    async def respond(stream, head):
        await stream.send(PLAIN + b"x" * held)
        await anyio.sleep_forever()

    runner = ScriptedRunner(respond)
    async with anyio.create_task_group() as group:
        await runner.serve(group)
        await client.start()

        async def call():
            outcomes.append(await client.call(runner.address, SERVICE_CALL))

        async with anyio.create_task_group() as calls:
            for _ in range(20):
                calls.start_soon(call)
            await anyio.sleep(1.5)
            broken_off = len(outcomes)
            calls.cancel_scope.cancel()
        await client.close()
        group.cancel_scope.cancel()
    assert broken_off >= 15
