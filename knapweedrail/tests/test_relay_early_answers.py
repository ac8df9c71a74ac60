"""Runners that answer while the upload is still being written, or with no status."""

import anyio
import anyio.abc
import pytest

from ..relay.connections import reset_stream
from ..relay.models import RetryPolicy
from .relays_in_memory import (
    ScriptedRunner,
    answer_normally,
    find_header,
    make_answer,
    make_chunk,
    make_configuration,
    make_event,
    make_route,
    make_stream_head,
    run_relay,
)
from .test_relay_tunnels import run_two_relays

pytestmark = pytest.mark.anyio

ROUTES = {
    "safe": make_route(RetryPolicy.SAFE),
    "once": make_route(RetryPolicy.ONCE),
    "resumable": make_route(RetryPolicy.STREAM, resumable=True),
    "not resumable": make_route(RetryPolicy.STREAM, resumable=False),
}

UPLOAD = b"u" * 3 * 1_048_576
PART = b"first part of the body"

NO_STATUSES = ("000", "099", "600", "999")
"""Three digits that are no status code (RFC 9110, section 15)."""


def remove_framing(answer):
    """Return an answer that ends with its connection."""
    head, _, body = answer.partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    kept = [
        line
        for line in lines
        if not line.lower().startswith((b"content-length", b"transfer-encoding"))
    ]
    return b"\r\n".join(kept) + b"\r\n\r\n" + body


def answer_plainly(head):
    return remove_framing(make_answer(head, PART))


def answer_with_events(head):
    return remove_framing(make_stream_head(head)) + make_event(1)


class EarlyRunner(ScriptedRunner):
    """Answers before it has read the upload, and resets the connection.

    Args:
        make_start: Makes the start of the answer from the request's head.
        pause: Time between the answer and the reset, seconds.
    """

    def __init__(self, make_start, pause):
        super().__init__(answer_normally)
        self._make_start = make_start
        self._pause = pause

    async def _handle(self, stream):
        async with stream:
            data = b""
            while b"\r\n\r\n" not in data:
                data += await stream.receive()
            head = data.partition(b"\r\n\r\n")[0].decode("latin-1")
            self.heads.append(head)
            await stream.send(self._make_start(head))
            await anyio.sleep(self._pause)
            await reset_stream(stream)


@pytest.mark.parametrize("pause", [0.0, 0.2])
@pytest.mark.parametrize("make_start", [answer_plainly, answer_with_events])
@pytest.mark.parametrize("route", ROUTES.values(), ids=ROUTES)
async def test_answer_reset_during_the_upload_does_not_look_complete(
    route, make_start, pause
):
    """Guards against the part of an answer without a length that passes for a whole
    one, as the runner resets the connection while the upload is being written."""
    runners = [EarlyRunner(make_start, pause) for _ in range(2)]
    async with run_relay(make_configuration(route), *runners) as relay:
        answer = await relay.call(body=UPLOAD)
    assert any(runner.heads for runner in runners)
    assert answer.status == 502 or not answer.complete


@pytest.mark.parametrize("make_start", [answer_plainly, answer_with_events])
async def test_answer_reset_during_the_upload_through_a_tunnel(monkeypatch, make_start):
    """Guards against a tunnel that ends in order though the runner's connection was
    reset while the upload was being written."""
    early = EarlyRunner(make_start, 0.1)
    handle = early._handle
    monkeypatch.setattr(ScriptedRunner, "_handle", lambda self, s: handle(s))
    async with run_two_relays(monkeypatch, ROUTES["not resumable"]) as world:
        answer = await world.far.call(body=UPLOAD)
        assert world.near.tunnels.opened_count
    assert early.heads
    assert answer.status in (502, 503) or not answer.complete


@pytest.mark.parametrize("route", ROUTES.values(), ids=ROUTES)
async def test_whole_answer_before_the_end_of_the_upload_is_passed_on(route):
    """A runner may answer before it has read a long body, and read on later."""

    class Reader(ScriptedRunner):
        async def _handle(self, stream):
            async with stream:
                data = b""
                while b"\r\n\r\n" not in data:
                    data += await stream.receive()
                head, _, body = data.partition(b"\r\n\r\n")
                text = head.decode("latin-1")
                length = int(find_header(text, "content-length"))
                await stream.send(make_answer(text, PART))
                while len(body) < length:
                    body += await stream.receive()
                self.bodies.append(body)

    runner = Reader(answer_normally)
    async with run_relay(make_configuration(route), runner) as relay:
        answer = await relay.call(body=UPLOAD)
    assert (answer.status, answer.body, answer.complete) == (200, PART, True)
    assert runner.bodies == [UPLOAD]


@pytest.mark.parametrize("is_stream", [False, True], ids=["plain", "stream"])
@pytest.mark.parametrize("status", NO_STATUSES)
@pytest.mark.parametrize("route", ROUTES.values(), ids=ROUTES)
async def test_answer_without_a_valid_status_is_not_passed_on(route, status, is_stream):
    """Guards against an answer whose status is none, with the runner's signature."""

    async def respond(stream, head):
        answer = make_answer(head, PART)
        if is_stream:
            answer = (
                make_stream_head(head) + make_chunk(make_event(1)) + make_chunk(b"")
            )
        await stream.send(answer.replace(b" 200 ", b" %s " % status.encode(), 1))
        return True

    runners = [ScriptedRunner(respond) for _ in range(2)]
    async with run_relay(make_configuration(route), *runners) as relay:
        answer = await relay.call()
    assert answer.status == 502
    assert PART not in answer.body
