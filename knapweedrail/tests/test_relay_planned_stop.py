"""Planned stops in calm, while callers go on sending until the process has gone."""

import contextlib
import random
import signal
import time

import anyio
import attrs
import pytest

from .relays_in_memory import (
    find_header,
    make_answer,
    make_chunk,
    make_event,
    make_stream_head,
)
from .test_relay_process import CONFIGURATION, make_entry, make_headers, run_process
from .test_relay_shutdown import wait_for_exit

pytestmark = pytest.mark.anyio

GRACE_SECONDS = 8
CALLERS = 30
CALM_SECONDS = 3.0
EVENTS = 10
ANSWER_SECONDS = (0.05, 0.4, 1.5, 2.5)
DEADLINES_MS = (600, 3_000, 9_000, 15_000)

CLOSED = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


@attrs.define
class Calls:
    """What callers and the runner saw.

    Attributes:
        ran: Identities of requests that reached the runner.
        unanswered: Identities of those whose connection ended without a whole answer
            before their deadline.
        refused: Statuses and identities of requests that were refused.
        complete: Number of whole answers with 200.
    """

    ran: set = attrs.field(factory=set)
    unanswered: set = attrs.field(factory=set)
    refused: list = attrs.field(factory=list)
    complete: int = 0


def make_runner_script(calls):
    async def respond(stream, head):
        identity = find_header(head, "knapweedrail-request-id")
        calls.ran.add(identity)
        seconds = float(find_header(head, "x-seconds") or 0)
        if " /s/" not in head:
            await anyio.sleep(seconds)
            await stream.send(make_answer(head))
            return True
        await stream.send(make_stream_head(head))
        for number in range(1, EVENTS + 1):
            await stream.send(make_chunk(make_event(number)))
            await anyio.sleep(seconds / EVENTS)
        await stream.send(make_chunk(b""))
        return True

    return respond


async def read_answer(stream):
    """Returns the status of a whole answer and whether the connection stays open."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += await stream.receive()
    head, _, body = data.partition(b"\r\n\r\n")
    text = head.decode("latin-1")
    length = find_header(text, "content-length")
    while (
        not body.endswith(b"0\r\n\r\n") if length is None else len(body) < int(length)
    ):
        body += await stream.receive()
    closes = (find_header(text, "connection") or "").lower() == "close"
    return int(text.split()[1]), not closes


async def keep_asking(relay, calls, name, rng):
    """Send requests one after another, on a kept connection while it stays open."""
    port = int(relay.url.rpartition(":")[2])
    number = 0
    while True:
        try:
            stream = await anyio.connect_tcp("127.0.0.1", port)
        except OSError:
            return
        async with stream:
            is_open = True
            while is_open:
                number += 1
                identity = f"{name}-{number}"
                path = rng.choice(["/a/x", "/s/x"])
                deadline_ms = rng.choice(DEADLINES_MS)
                sent_at = time.monotonic()
                headers = make_headers(0) | {
                    "knapweedrail-request-id": identity,
                    "knapweedrail-deadline-ms": str(deadline_ms),
                    "knapweedrail-token-usage": "1,1",
                    "x-seconds": str(rng.choice(ANSWER_SECONDS)),
                    "content-length": "0",
                }
                lines = [f"{key}: {value}" for key, value in headers.items()]
                head = "\r\n".join([f"POST {path} HTTP/1.1", *lines, "", ""])
                try:
                    await stream.send(head.encode())
                    status, is_open = await read_answer(stream)
                except CLOSED:
                    if time.monotonic() - sent_at < deadline_ms / 1000:
                        calls.unanswered.add(identity)
                    break
                if status == 200:
                    calls.complete += 1
                else:
                    calls.refused.append((status, identity))
                    await anyio.sleep(0.05)


async def change_settings(objects, relay):
    """Send SIGHUP, a new configuration and the end of a runner during the stop."""
    for second in range(5):
        await anyio.sleep(0.8)
        with contextlib.suppress(ProcessLookupError):
            relay.process.send_signal(signal.SIGHUP)
        version = CONFIGURATION["version"] + 1 + second
        objects.put("config", "main", CONFIGURATION | {"version": version})
        objects.put("servers", f"i-{second + 10}", make_entry(address="127.0.0.1:9"))
        objects.remove("servers", f"i-{second + 10}")


@pytest.mark.parametrize("is_calm", [True, False], ids=["calm", "beside changes"])
async def test_stop_cuts_no_request_that_it_has_passed_on(tmp_path, is_calm):
    """Guards against requests that are taken late in the grace period, passed on, and
    cut without an answer at its end."""
    calls = Calls()
    tenants = [{"name": "farm", "apiKeys": ["k"], "prepaid": 10**9}]
    settings = {"stop_seconds": GRACE_SECONDS}
    run = run_process(tmp_path, make_runner_script(calls), settings)
    async with run as (objects, relay, _):
        objects.put("config", "main", CONFIGURATION | {"tenants": tenants})
        async with anyio.create_task_group() as group:
            for number in range(CALLERS):
                rng = random.Random(number)
                group.start_soon(keep_asking, relay, calls, f"c{number}", rng)
            await anyio.sleep(CALM_SECONDS)
            complete_before = calls.complete
            relay.process.send_signal(signal.SIGTERM)
            if not is_calm:
                group.start_soon(change_settings, objects, relay)
            await wait_for_exit(relay, GRACE_SECONDS)
    assert relay.process.returncode == 0
    assert complete_before > CALLERS
    assert not calls.unanswered & calls.ran
