"""Shutdown of a relay process: admitted requests finish, and late ones are refused.

Guards against incomplete streams when hosts are restarted in turn, two seconds apart.
Requests were admitted three seconds and more after the signal, and the process ended
while their runners were still working. Admission depended on the time since the signal
was noticed, and not on whether the answer fits into the time left. The streams were cut
off when answers were due (the grace period less its reserve), so the signal had been
noticed at once and the admission limit was wrong.
"""

import signal
import time

import anyio
import httpx
import pytest

from .relays_in_memory import answer_normally, make_chunk, make_event, make_stream_head
from .test_relay_process import make_headers, run_process

pytestmark = pytest.mark.anyio


def make_slow_stream(seconds):
    """Return a runner's script: a stream of ten events spread over ``seconds``.

    Its ``begun`` event is set once the first request for a stream has arrived.
    """

    async def stream_events(stream, head):
        if " /a/" in head:
            return await answer_normally(stream, head)
        stream_events.begun.set()
        await stream.send(make_stream_head(head))
        for number in range(1, 11):
            await anyio.sleep(seconds / 10)
            await stream.send(make_chunk(make_event(number)))
        await stream.send(make_chunk(b""))
        return True

    stream_events.begun = anyio.Event()
    return stream_events


async def request_stream(relay, number):
    """Return the status and whether the answer was complete, as a caller sees it."""
    got = b""
    try:
        async with httpx.AsyncClient(timeout=15) as client:
            headers = make_headers(number)
            url = f"{relay.url}/s/x"
            async with client.stream("POST", url, headers=headers) as answer:
                async for part in answer.aiter_bytes():
                    got += part
    except httpx.HTTPError as error:
        return repr(error), False
    return answer.status_code, got.endswith(make_event(10))


async def wait_for_exit(relay, seconds):
    with anyio.fail_after(seconds):
        while relay.process.poll() is None:
            await anyio.sleep(0.05)


async def test_request_that_may_outlast_process_is_refused(tmp_path):
    """The relay has measured streams of four seconds. Two seconds into a grace period
    of six, a caller with an open connection requests another one. If admitted, it would
    be cut off; if refused, another host answers it."""
    async with run_process(tmp_path, make_slow_stream(4.0)) as (_, relay, _):
        assert await request_stream(relay, 1) == (200, True)
        relay.process.send_signal(signal.SIGTERM)
        await anyio.sleep(2.0)
        status, _ = await request_stream(relay, 2)
        await wait_for_exit(relay, 6)
    assert status == 503


async def test_grace_period_counts_from_signal(tmp_path):
    """The process is paused for 0.4 s when the signal arrives, while the grace period
    already runs. If time counted from when the process notices the signal, a request
    sent 3.2 s after the signal would be admitted and cut off."""
    settings = {"stop_seconds": 8}
    script = make_slow_stream(4.2)
    async with run_process(tmp_path, script, settings) as (_, relay, _):
        relay.process.send_signal(signal.SIGSTOP)
        signalled_at = time.monotonic()
        relay.process.send_signal(signal.SIGTERM)
        await anyio.sleep(0.4)
        relay.process.send_signal(signal.SIGCONT)
        # Requests still arrive, as most hosts of the data centre are out of rotation.
        for number in range(10, 16):
            async with httpx.AsyncClient() as client:
                headers = make_headers(number)
                await client.post(f"{relay.url}/a/x", headers=headers)
            await anyio.sleep(
                signalled_at + 3.2 - (16 - number) * 0.4 - time.monotonic()
            )
        await anyio.sleep(signalled_at + 3.2 - time.monotonic())
        status, _ = await request_stream(relay, 1)
        await wait_for_exit(relay, 8)
    assert status == 503


async def test_short_grace_period_is_used_for_answers(tmp_path):
    """The grace period is three seconds. The reserve for closing was measured for a
    grace period of eight; taken in full from three, it leaves answers less than half of
    the time, and a stream of 2.2 s is cut off."""
    settings = {"stop_seconds": 3}
    script = make_slow_stream(2.2)
    async with run_process(tmp_path, script, settings) as (_, relay, _):
        outcomes = []

        async def send_request():
            outcomes.append(await request_stream(relay, 1))

        async with anyio.create_task_group() as group:
            group.start_soon(send_request)
            await script.begun.wait()
            relay.process.send_signal(signal.SIGTERM)
        await wait_for_exit(relay, 3)
    assert outcomes == [(200, True)]


@pytest.mark.parametrize("again", [signal.SIGTERM, signal.SIGHUP])
async def test_second_signal_during_shutdown_is_ignored(tmp_path, again):
    """A second stop signal, or a change of the settings file, arrives during shutdown.
    The second signal no longer had a handler and killed the process: a stream was cut
    off, and the tokens that the relay held were lost."""
    script = make_slow_stream(2.0)
    async with run_process(tmp_path, script) as (objects, relay, _):
        outcomes = []

        async def send_request():
            outcomes.append(await request_stream(relay, 1))

        async with anyio.create_task_group() as group:
            group.start_soon(send_request)
            await script.begun.wait()
            relay.process.send_signal(signal.SIGTERM)
            await anyio.sleep(0.5)
            relay.process.send_signal(again)
        await wait_for_exit(relay, 6)
    assert outcomes == [(200, True)]
    assert relay.process.returncode == 0
    assert objects.read("token-ledgers", "farm")["grants"] == {}


async def test_unresponsive_store_does_not_delay_exit(tmp_path):
    """The store accepts connections but sends no answers during the shutdown. A process
    that waits for it is killed, and the log doesn't show how the shutdown went."""
    settings = {"stop_seconds": 4}
    async with run_process(tmp_path, answer_normally, settings) as (
        objects,
        relay,
        client,
    ):
        headers = make_headers(1)
        assert (await client.post(f"{relay.url}/a/x", headers=headers)).is_success
        objects.misbehaviour.silent = True
        relay.process.send_signal(signal.SIGTERM)
        await wait_for_exit(relay, 4)
    assert relay.process.returncode == 0
    assert relay.read_log()[-1]["message_type"] == "103 router_stopped"
