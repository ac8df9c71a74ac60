"""Runners that send bytes without end, against real processes with many callers.

A bound for each answer has no sum: each caller's answer stays within its bound, and all
of them together exceed the memory of the process.
"""

import anyio
import pytest

from ..relay.connections import HEADER_BYTES, MAX_BODY_BYTES
from ..relay.streams import MAX_EVENT_BYTES
from .relays_in_memory import (
    answer_normally,
    make_chunk,
    make_event,
    make_stream_head,
)
from .test_misbehaving_clients import (
    MEMORY_BYTES,
    Crowd,
    allow_descriptors,
    run_target,
)

pytestmark = pytest.mark.anyio

CALLERS = 500
PIECE = b"x" * 65_536
CUT_BYTES = 4_096
"""How far an answer stays below its own bound."""


def make_plain_head(head):
    return make_stream_head(head).replace(b"text/event-stream", b"text/plain")


async def hold_event(stream, head):
    """Begin a stream, and send an event up to just short of its bound."""
    await stream.send(make_stream_head(head) + make_chunk(make_event(1)))
    left = MAX_EVENT_BYTES - CUT_BYTES
    while left > 0:
        await stream.send(make_chunk(PIECE[:left]))
        left -= len(PIECE)


async def hold_first_event(stream, head):
    """Send the first event of a stream up to just short of its bound."""
    await stream.send(make_stream_head(head))
    left = MAX_EVENT_BYTES - CUT_BYTES
    while left > 0:
        await stream.send(make_chunk(PIECE[:left]))
        left -= len(PIECE)


async def hold_body(stream, head):
    """Send a body up to just short of its bound."""
    await stream.send(make_plain_head(head))
    left = MAX_BODY_BYTES - CUT_BYTES
    while left > 0:
        await stream.send(make_chunk(PIECE[:left]))
        left -= len(PIECE)


async def hold_head(stream, head):
    """Send a head up to just short of its bound."""
    line = b"X-Filler: " + b"x" * (HEADER_BYTES - CUT_BYTES)
    await stream.send(make_stream_head(head)[:-2] + line)


def misbehave_on_streams(misbehave):
    """Return a `ScriptedRunner.respond` that misbehaves on the route of streams."""

    async def respond(stream, head):
        if not head.startswith("POST /s/"):
            return await answer_normally(stream, head)
        await misbehave(stream, head)
        await anyio.sleep_forever()

    return respond


def ask_for_stream(target):
    async def act(stream):
        await stream.send(target.make_head("content-length: 0", path="/s/x") + b"\r\n")
        await anyio.sleep(3.0)

    return act


@pytest.mark.parametrize(
    "misbehave", [hold_event, hold_first_event, hold_body, hold_head]
)
async def test_memory_is_bounded_whatever_runners_send(tmp_path, misbehave):
    """Guards against a process that runs out of memory by what a faulty runner sends,
    and ends the requests of all its callers."""
    allow_descriptors(8 * CALLERS)
    respond = misbehave_on_streams(misbehave)
    async with run_target("relay", tmp_path, respond) as target:
        crowd = Crowd(target)
        async with crowd.connect(ask_for_stream(target), CALLERS):
            await target.ask()
        assert crowd.peak_memory < MEMORY_BYTES
        await target.ask()
