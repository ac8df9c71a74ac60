"""A relay as a separate process: startup, requests, metrics, logs and shutdown."""

import contextlib
import os
import random
import signal
import socket
import subprocess
import sys
import time

import anyio
import httpx
import orjson
import pytest

from ..servers import HttpServer, ServerLimits
from ..standins.objects import ObjectStore
from .relays_in_memory import (
    ScriptedRunner,
    answer_normally,
    make_chunk,
    make_event,
    make_stream_head,
)

pytestmark = pytest.mark.anyio

CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "plain",
            "host": "h.example",
            "pathPrefix": "/a/",
            "kind": "unsafe",
            "timeoutMs": 8000,
            "service": "e",
        },
        {
            "name": "stream",
            "host": "h.example",
            "pathPrefix": "/s/",
            "kind": "streaming",
            "timeoutMs": 10000,
            "service": "e",
        },
    ],
    "services": [{"name": "e"}],
    "tenants": [{"name": "farm", "apiKeys": ["k"], "prepaid": 1000}],
}

STOP_SECONDS = 6
STORE_DELAY_SECONDS = 0.3
"""Shorter than the time for which a starting relay waits for its configuration."""

EVENTS = 30


PORTS = range(10_000, 32_000)
"""Below the ports that the system gives to connections, any of which may take one
between the choice and the start of a relay."""


def find_free_ports(count):
    ports = set()
    while len(ports) < count:
        port = random.SystemRandom().choice(PORTS)
        with contextlib.suppress(OSError):
            socket.create_server(("127.0.0.1", port)).close()
            ports.add(port)
    return list(ports)


RELAY_PROGRAM = ("-m", "knapweedrail.tools.relay")


class RelayProcess:
    """A relay process with its addresses and its log file."""

    def __init__(self, folder, store_address, changes=None, program=RELAY_PROGRAM):
        self._program = program
        caller_port, ready, peer, metrics = find_free_ports(4)
        self.peer_port = peer
        self.url = f"http://127.0.0.1:{caller_port}"
        self.ready_url = f"http://127.0.0.1:{ready}/ready"
        self.metrics_url = f"http://127.0.0.1:{metrics}/metrics"
        settings = {
            "host": "host-1",
            "data_centre": "dc",
            "caller_address": f"127.0.0.1:{caller_port}",
            "ready_address": f"127.0.0.1:{ready}",
            "peer_address": f"127.0.0.1:{peer}",
            "metrics_address": f"127.0.0.1:{metrics}",
            "store_address": store_address,
            "stop_seconds": STOP_SECONDS,
            **(changes or {}),
        }
        self._settings_path = folder / "relay.jsonc"
        self._settings_path.write_bytes(b"// made by a test\n" + orjson.dumps(settings))
        self._log = folder / "log"
        self._log.write_bytes(b"")
        self.restart()

    def restart(self):
        """Start the process, or the next one after the former has ended."""
        path = str(self._settings_path)
        self.process = subprocess.Popen(
            [sys.executable, *self._program, "--settings", path],
            stdout=self._log.open("ab"),
            stderr=subprocess.STDOUT,
        )

    def read_log(self):
        lines = self._log.read_bytes().splitlines()
        return [orjson.loads(line) for line in lines]


@contextlib.asynccontextmanager
async def run_process(folder, respond, changes=None, delay=0.0, program=RELAY_PROGRAM):
    objects = ObjectStore()
    objects.misbehaviour.delay = delay
    runner = ScriptedRunner(respond)
    async with anyio.create_task_group() as group:
        server = HttpServer(objects.app, "127.0.0.1:0", ServerLimits())
        await server.start(group)
        await runner.serve(group)
        objects.put("config", "main", CONFIGURATION)
        objects.put("servers", "i-1", make_entry(address=runner.address))
        relay = RelayProcess(folder, server.address, changes, program)
        try:
            async with httpx.AsyncClient(timeout=15) as client:
                if not delay:
                    await wait_ready(client, relay)
                yield objects, relay, client
        finally:
            if relay.process.poll() is None:
                relay.process.kill()
            relay.process.wait()
            await server.close(0.1)
            group.cancel_scope.cancel()


async def wait_ready(client, relay):
    with anyio.fail_after(20):
        while True:
            with contextlib.suppress(httpx.ConnectError):
                if (await client.get(relay.ready_url)).status_code == 200:
                    return
            await anyio.sleep(0.05)


def make_entry(**changes):
    entry = {"service": "e", "zone": "dc", "slots": 8, "state": "ready"}
    return entry | changes


def make_headers(number, usage="10,50"):
    return {
        "host": "h.example",
        "knapweedrail-request-id": f"id-{number}",
        "knapweedrail-key": "k",
        "knapweedrail-deadline-ms": "9000",
        "knapweedrail-token-usage": usage,
    }


async def stream_slowly(stream, head):
    await stream.send(make_stream_head(head))
    for number in range(1, EVENTS + 1):
        await stream.send(make_chunk(make_event(number)))
        await anyio.sleep(0.1)
    await stream.send(make_chunk(b""))
    return True


async def test_callers_wait_for_first_configuration_at_startup(tmp_path):
    """Guards against all hosts refusing callers while they start together."""
    headers = make_headers(1)
    del headers["knapweedrail-token-usage"]
    run = run_process(tmp_path, answer_normally, delay=STORE_DELAY_SECONDS)
    async with run as (_, relay, client):
        answer = None
        with anyio.fail_after(20):
            while answer is None:
                with contextlib.suppress(httpx.ConnectError):
                    answer = await client.post(f"{relay.url}/a/x", headers=headers)
    assert answer.status_code == 200


async def test_process_answers_exports_metrics_and_logs(tmp_path):
    async with run_process(tmp_path, answer_normally) as (objects, relay, client):
        objects.put("servers", "i-2", make_entry(slots=-8))
        answer = await client.post(f"{relay.url}/a/x", headers=make_headers(1))
        refused = await client.post(
            f"{relay.url}/a/x", headers=make_headers(2) | {"knapweedrail-key": "no"}
        )
        with anyio.fail_after(5):
            metrics = ""
            while "malformed_objects_total" not in metrics:
                metrics = (await client.get(relay.metrics_url)).text
        relay.process.send_signal(signal.SIGTERM)
        with anyio.fail_after(STOP_SECONDS + 2):
            while relay.process.poll() is None:
                await anyio.sleep(0.05)
    assert (answer.status_code, refused.status_code) == (200, 401)
    assert find_metric(metrics, "requests_total", "answered", "plain") == 1
    assert find_metric(metrics, "refusals_total", "unknown-key") == 1
    assert "ages_seconds" in metrics
    for kind in ("config", "servers"):
        assert find_metric(metrics, "store_calls_total", kind, "listing") >= 1
    lines = relay.read_log()
    by_request = {line.get("request"): line for line in lines}
    assert by_request["id-1"]["message_type"] == "606 request_answered"
    assert by_request["id-1"]["configuration"] == 3
    assert by_request["id-2"]["kind"] == "unknown-key"
    kinds = [line["message_type"] for line in lines]
    assert find_metric(metrics, "malformed_objects_total", "servers") == 1
    assert kinds.count("203 object_malformed") == 1
    assert kinds[0] == "101 router_started" and kinds[-1] == "103 router_stopped"
    assert relay.process.returncode == 0


async def test_shutdown_finishes_streams_and_returns_tokens(
    tmp_path,
):
    """The relay is asked to shut down while it streams an answer. The stream must be
    completed, since its caller can't use part of an answer."""
    async with run_process(tmp_path, stream_slowly) as (objects, relay, client):
        got = []

        async def read_stream():
            headers = make_headers(1)
            async with client.stream(
                "POST", f"{relay.url}/s/x", headers=headers
            ) as answer:
                async for part in answer.aiter_bytes():
                    got.append(part)

        async with anyio.create_task_group() as group:
            group.start_soon(read_stream)
            while not got:
                await anyio.sleep(0.01)
            relay.process.send_signal(signal.SIGTERM)
            await anyio.sleep(0.3)
            assert (await client.get(relay.ready_url)).status_code == 503
            # The load balancer hasn't noticed yet and sends another request.
            late = await client.post(f"{relay.url}/a/x", headers=make_headers(2))
            assert late.headers["connection"] == "close"
        with anyio.fail_after(STOP_SECONDS + 2):
            while relay.process.poll() is None:
                await anyio.sleep(0.05)
    assert b"".join(got) == b"".join(map(make_event, range(1, EVENTS + 1)))
    account = objects.read("token-ledgers", "farm")
    assert account["grants"] == {}
    assert account["used"] <= 1000


async def test_requests_for_unlimited_tokens_leave_streams_of_others_whole(tmp_path):
    """Guards against a caller whose number of tokens ends the process."""
    async with run_process(tmp_path, stream_slowly) as (_, relay, client):
        got = []

        async def read_stream():
            headers = make_headers(1)
            async with client.stream(
                "POST", f"{relay.url}/s/x", headers=headers
            ) as answer:
                async for part in answer.aiter_bytes():
                    got.append(part)

        async with anyio.create_task_group() as group:
            group.start_soon(read_stream)
            while not got:
                await anyio.sleep(0.01)
            for number in range(12):
                headers = make_headers(f"large-{number}", f"10,{2**63 - 1}")
                refused = await client.post(f"{relay.url}/a/x", headers=headers)
                assert refused.status_code == 402
        assert relay.process.poll() is None
    assert b"".join(got) == b"".join(map(make_event, range(1, EVENTS + 1)))


async def hang(stream, head):
    await anyio.sleep(60)
    return False


async def test_shutdown_with_open_connections_prints_only_log_lines(tmp_path):
    """A call still hangs at its runner when the grace period ends, and other callers
    keep idle connections. The process printed a dozen tracebacks, which looked like a
    fault to the operator."""
    async with run_process(tmp_path, hang) as (_, relay, _):
        port = int(relay.url.rpartition(":")[2])
        callers = [await anyio.connect_tcp("127.0.0.1", port) for _ in range(4)]
        lines = [f"{name}: {value}" for name, value in make_headers(1).items()]
        head = "\r\n".join(["POST /a/x HTTP/1.1", "content-length: 0", *lines])
        await callers[0].send(head.encode() + b"\r\n\r\n")
        await callers[1].send(b"POST /a/x HTTP/1.1\r\nhost: h.example\r\n")
        await anyio.sleep(0.3)
        relay.process.send_signal(signal.SIGTERM)
        await anyio.sleep(0.3)
        await callers[2].send(head.replace("id-1", "id-2").encode() + b"\r\n\r\n")
        with anyio.fail_after(STOP_SECONDS + 2):
            while relay.process.poll() is None:
                await anyio.sleep(0.05)
        for caller in callers:
            await caller.aclose()
    # Every line must be a log event; reading anything else as JSON fails.
    lines = relay.read_log()
    assert lines[-1]["message_type"] == "103 router_stopped"
    assert relay.process.returncode == 0
    # To explain an aborted request, the log contains when it arrived and how much time
    # the relay had left.
    by_kind = {line["message_type"]: line for line in lines}
    assert 0 <= by_kind["102 router_stopping"]["noticed_after"] < 0.3
    admitted = by_kind["607 request_taken_late"]
    assert admitted["request"] == "id-2" and 0.2 < admitted["arrived_after"] < 1.0
    aborted = [line for line in lines if line["message_type"] == "608 request_cut_off"]
    assert len(aborted) == 2 and all(not line["started"] for line in aborted)


async def test_tokens_of_killed_process_count_as_used(tmp_path):
    """A killed process may have used the tokens that it was granted, so they count as
    used, and the process that replaces it can't use them again."""
    async with run_process(tmp_path, answer_normally) as (objects, relay, client):
        await client.post(f"{relay.url}/a/x", headers=make_headers(1))
        os.kill(relay.process.pid, signal.SIGKILL)
        relay.process.wait()
        before = objects.read("token-ledgers", "farm")
        held = sum(tokens for tokens, _ in before["grants"].values())
        server = read_store_address(relay)
        again = RelayProcess(tmp_path, server)
        try:
            await wait_ready(client, again)
            deadline = time.monotonic() + 5
            while time.monotonic() < deadline:
                after = objects.read("token-ledgers", "farm")
                if after["used"] >= held:
                    break
                await anyio.sleep(0.05)
        finally:
            again.process.kill()
            again.process.wait()
    assert held > 0
    assert after["used"] == before["used"] + held


def find_metric(text, name, *labels):
    for line in text.splitlines():
        if line.startswith(name + "{") and all(f'"{x}"' in line for x in labels):
            return float(line.rpartition(" ")[2])
    return None


def read_store_address(relay):
    return orjson.loads((relay._log.parent / "relay.jsonc").read_bytes()[18:])[
        "store_address"
    ]
