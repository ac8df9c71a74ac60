"""A relay that is asked to stop: what it still takes, and that nothing taken is lost.

Hosts were stopped in turn, two seconds apart. Callers got half a stream: their requests
had been taken three seconds and more after the host was asked to stop, and the process
ended while their runners were at work. Whether a request was taken depended on the time
since the stop was noticed, and not on whether its answer fits into the time that was
left. The age at which the streams were cut off, the time to stop less what is kept for
the end, showed that the stop had been noticed at once and that the limit was at fault.
"""

import signal
import time

import anyio
import httpx
import pytest

from .relays_in_memory import answer_well, make_chunk, make_event, make_stream_head
from .test_relay_process import make_headers, run_process

pytestmark = pytest.mark.anyio


def make_slow_stream(seconds):
    """Return a runner's script: a stream of ten events over that time.

    Its ``begun`` is set as the first request for a stream has come.
    """

    async def stream_events(stream, head):
        if " /a/" in head:
            return await answer_well(stream, head)
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
    """Return the status and whether the answer came whole, as a caller sees it."""
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
    """Plans take four seconds here, as the relay has seen. Two seconds after it was
    asked to stop within six, a caller whose connection is open sends one more. Taken,
    it breaks off in the middle; refused, another host answers it."""
    async with run_process(tmp_path, make_slow_stream(4.0)) as (_, relay, _):
        assert await request_stream(relay, 1) == (200, True)
        relay.process.send_signal(signal.SIGTERM)
        await anyio.sleep(2.0)
        status, _ = await request_stream(relay, 2)
        await wait_for_exit(relay, 6)
    assert status == 503


async def test_grace_period_counts_from_signal(tmp_path):
    """The process stands still for two fifths of a second just as it is asked to stop.
    Whoever stops it counts from then. A plan sent three seconds and a bit after that
    is taken for one of the first three seconds, and is cut off."""
    settings = {"stop_seconds": 8}
    script = make_slow_stream(4.2)
    async with run_process(tmp_path, script, settings) as (_, relay, _):
        relay.process.send_signal(signal.SIGSTOP)
        asked_at = time.monotonic()
        relay.process.send_signal(signal.SIGTERM)
        await anyio.sleep(0.4)
        relay.process.send_signal(signal.SIGCONT)
        # Callers still come, as most hosts of the data centre are out of rotation.
        for number in range(10, 16):
            async with httpx.AsyncClient() as client:
                headers = make_headers(number)
                await client.post(f"{relay.url}/a/x", headers=headers)
            await anyio.sleep(asked_at + 3.2 - (16 - number) * 0.4 - time.monotonic())
        await anyio.sleep(asked_at + 3.2 - time.monotonic())
        status, _ = await request_stream(relay, 1)
        await wait_for_exit(relay, 8)
    assert status == 503


async def test_short_grace_period_is_used_for_answers(tmp_path):
    """The host has three seconds to stop. What is kept for the end was measured for
    eight; taken from three, it leaves answers under half of the time, and a plan that
    would have ended in two seconds and a bit is broken off."""
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
    """Whoever stops the host asks twice, or its settings file changes meanwhile. The
    second signal found no handler any more and killed the process: a plan broke off in
    the middle, and the tokens that the relay held were lost."""
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
    """The store takes connections and answers nothing while the host is stopped. A
    process that waits for it is killed, and nothing tells how its stop went."""
    settings = {"stop_seconds": 4}
    async with run_process(tmp_path, answer_well, settings) as (objects, relay, client):
        headers = make_headers(1)
        assert (await client.post(f"{relay.url}/a/x", headers=headers)).is_success
        objects.misbehaviour.silent = True
        relay.process.send_signal(signal.SIGTERM)
        await wait_for_exit(relay, 4)
    assert relay.process.returncode == 0
    assert relay.read_log()[-1]["message_type"] == "103 router_stopped"
