"""Unexpected errors in tasks of a relay process, beside open streams of callers."""

import signal
from collections import Counter

import anyio
import httpx
import pytest

from ..tasks import MAX_RESTARTS, run_with_restarts
from .relays_in_memory import make_event
from .test_relay_process import EVENTS, find_metric, make_headers, run_process
from .test_relay_process import stream_slowly as stream_for_three_seconds
from .test_relay_shutdown import wait_for_exit

pytestmark = pytest.mark.anyio

STREAMS = 8
STOP_SECONDS = 6
WHOLE = b"".join(make_event(number) for number in range(1, EVENTS + 1))

LAUNCHER = """
import asyncio, signal, sys
from knapweedrail.tools import relay, service

name = sys.argv.pop(1)
plain_log_loop_errors = service.log_loop_errors

def fail():
    for task in asyncio.all_tasks():
        if task.get_name() == name and task._fut_waiter is not None:
            task._fut_waiter.set_exception(RuntimeError("planted"))
            return
    names = sorted(task.get_name() for task in asyncio.all_tasks())
    print(f"no task {name!r} waits among {names}", file=sys.stderr)

def install():
    plain_log_loop_errors()
    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, fail)

service.log_loop_errors = install
relay._end_process(relay.main())
"""
"""Program of a relay in which a task fails at SIGUSR1, as what it waits for raises."""

RESTARTED = ["delays", "limits", "pruning", "store calls"]
"""Loops that keep no state between their rounds."""

RELAY = "knapweedrail.relay"
STOPPED = [
    "anyio.abc._sockets.SocketListener.serve",
    "connector",
    "crash detector",
    "follow config",
    "follow servers",
    "holdings",
    "membership",
    "news",
    "resumptions",
    "successors",
    "suspect exchange",
    "tunnels",
    "version registry",
    f"{RELAY}.host_recorder.HostRecorder.run",
    f"{RELAY}.suspect_exchange.SuspectExchange._repair",
    f"{RELAY}.suspect_exchange.SuspectExchange._send_pending",
    f"{RELAY}.update_feed.UpdateFeed._maintain_source",
    f"{RELAY}.version_registry.VersionRegistry._retire",
]
"""Tasks with state that is in doubt after an error, and those that run for them."""


HOLDING = ("holdings", f"{RELAY}.host_recorder.HostRecorder.run")
"""Those of them that hold tokens."""


async def read_stream(relay, number, answers):
    body = b""
    async with httpx.AsyncClient(timeout=15) as client:
        try:
            url, headers = f"{relay.url}/s/x", make_headers(number, "1,1")
            async with client.stream("POST", url, headers=headers) as answer:
                async for part in answer.aiter_bytes():
                    body += part
        except httpx.HTTPError:
            pass
    answers.append(body)


async def ask(relay, number):
    """Return the status of a plain request; ``None`` without an answer."""
    async with httpx.AsyncClient() as client:
        headers = make_headers(f"plain-{number}", "1,1")
        try:
            answer = await client.post(f"{relay.url}/a/x", headers=headers)
        except httpx.HTTPError:
            return None
    return answer.status_code


async def fail_task(tmp_path, name, check):
    """Let a task fail beside open streams; return the process and the ledger."""
    answers = []
    program = ("-c", LAUNCHER, name)
    settings = {"stop_seconds": STOP_SECONDS, "tunnel_port_offset": 1}
    run = run_process(tmp_path, stream_for_three_seconds, settings, program=program)
    async with run as (objects, relay, client):
        async with anyio.create_task_group() as group:
            for number in range(STREAMS):
                group.start_soon(read_stream, relay, number, answers)
            await anyio.sleep(0.7)
            relay.process.send_signal(signal.SIGUSR1)
            await anyio.sleep(0.3)
            await check(relay, client)
    kinds = Counter(line["message_type"] for line in relay.read_log())
    # A task that runs for another one is logged with it.
    assert kinds["104 task_failed"] >= 1
    assert answers == [WHOLE] * STREAMS
    return relay, objects.read("token-ledgers", "farm")


@pytest.mark.parametrize("name", RESTARTED)
async def test_failed_loop_is_started_again(tmp_path, name):
    """Guards against a loop whose error ends the process and every caller's answer."""

    async def check(relay, client):
        assert (await client.get(relay.ready_url)).status_code == 200
        assert await ask(relay, 1) == 200
        metrics = (await client.get(relay.metrics_url)).text
        assert find_metric(metrics, "task_failures_total", name) == 1

    await fail_task(tmp_path, name, check)


@pytest.mark.parametrize("name", STOPPED)
async def test_failed_task_stops_the_process_in_good_order(tmp_path, name):
    """Guards against an error of one task that cuts every caller's answer."""

    async def check(relay, client):
        assert (await client.get(relay.ready_url)).status_code == 503
        assert await ask(relay, 1) == 503
        await wait_for_exit(relay, STOP_SECONDS)

    relay, ledger = await fail_task(tmp_path, name, check)
    assert relay.process.returncode == 1
    # What a failed task held is in doubt, and settled as after a crash.
    assert bool(ledger["grants"]) is (name in HOLDING)


async def test_loop_that_fails_again_and_again_is_given_up(monkeypatch):
    """Guards against a loop that is started again without end."""
    monkeypatch.setattr("knapweedrail.tasks.RESTART_PAUSE_SECONDS", 0.0)
    failures, given_up = [], []

    async def fail():
        raise RuntimeError("planted")

    await run_with_restarts(fail, "loop", failures.append, given_up.append)
    assert len(failures) == MAX_RESTARTS + 1
    assert given_up == ["loop"]
