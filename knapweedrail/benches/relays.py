"""Measures the processor time of one relay process: idle, and for each request.

The store and the runners are stand-ins in this process, which also sends the requests.
Trees of the source can be compared: each round measures all of them in turn.
"""

from __future__ import annotations

import argparse
import contextlib
import pathlib
import random
import socket
import statistics
import subprocess
import sys
import tempfile
import time

import anyio
import attrs
import orjson

from ..platform import names
from ..platform.encoding import encode_configuration, encode_runner
from ..relay.models import (
    Account,
    CallerLimits,
    Configuration,
    Endpoint,
    RetryPolicy,
    Route,
    Runner,
    RunnerState,
    Share,
)
from ..servers import HttpServer, ServerLimits
from ..standins.objects import ObjectStore

RUNNERS = 30
MEMBERS = 72
DATA_CENTRES = 3
ACCOUNTS = 12
CALLERS = 4
PAUSE_SECONDS = 0.2
"""Longest pause of a caller between two requests, drawn each time."""

START_SECONDS = 30.0
"""Longest wait for a relay that starts; a new tree is compiled first."""

SETTLE_SECONDS = 5.0
"""From an open door until lists, watches and tokens are there, many times over."""

CLOSE_SECONDS = 6.0
"""Longer than a watch, whose answer is waited for though its relay is gone."""

EVENT_SECONDS = (0.005, 0.02)
EVENT_BYTES = 50
KINDS = {"plain": ("/a/", 0, 0), "50 events": ("/s/", 50, 50), "mixed": ("/s/", 9, 73)}
"""Path and fewest and most events of each kind of request."""

CONFIGURATION = Configuration(
    version=1,
    routes=tuple(
        Route(
            name=name,
            host="h",
            prefix=prefix,
            retry_policy=retry_policy,
            timeout=8.0,
            objective=8.0,
            gap=1.0,
            priority=0,
            shares=(Share(endpoint="e", weight=1.0),),
            max_runners=1,
            needs_key=True,
            resumable=False,
        )
        for name, prefix, retry_policy in (
            ("plain", "/a/", RetryPolicy.ONCE),
            ("stream", "/s/", RetryPolicy.STREAM),
        )
    ),
    endpoints={"e": Endpoint(name="e", health_path="/health", max_connections=600)},
    accounts={
        f"farm-{number}": Account(
            name=f"farm-{number}", keys=(f"k-{number}",), prepaid=10**9
        )
        for number in range(ACCOUNTS)
    },
    limits=CallerLimits(),
)


@attrs.define
class Row:
    """What one tree showed at one kind of work, one figure a round.

    Attributes:
        costs: Processor seconds of each request, or of each second when idle.
        delays: Seconds from a runner's event to its receipt.
        requests: Number of requests in all rounds.
    """

    costs: list[float] = attrs.field(factory=list)
    delays: list[float] = attrs.field(factory=list)
    requests: int = 0


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the options of this measurement."""
    parser.add_argument("--tree", action="append", help="folder of a source tree")
    parser.add_argument(
        "--kind", action="append", choices=KINDS, help="of requests; all by default"
    )
    parser.add_argument("--seconds", type=float, default=10.0, help="of each load")
    parser.add_argument("--idle", type=float, default=20.0, help="seconds of idleness")
    parser.add_argument("--rounds", type=int, default=3)


def run(arguments: argparse.Namespace) -> int:
    """Measure and print the table."""
    return anyio.run(measure, arguments, arguments.tree or ["."])


async def measure(arguments: argparse.Namespace, trees: list[str]) -> int:
    """Run a relay of each tree, and print the medians."""
    kinds = arguments.kind or list(KINDS)
    rows = {(tree, kind): Row() for tree in trees for kind in ("idle", *kinds)}
    objects = ObjectStore()
    async with anyio.create_task_group() as group, contextlib.AsyncExitStack() as stack:
        server = HttpServer(objects.app, "127.0.0.1:0", ServerLimits())
        await server.start(group)
        await fill(objects, group)
        relays = {
            tree: stack.enter_context(start_relay(tree, server.address))
            for tree in trees
        }
        for relay in relays.values():
            await wait_open(relay[1])
        await anyio.sleep(SETTLE_SECONDS)
        for _ in range(arguments.rounds):
            before = {tree: read_processor(relays[tree][0]) for tree in trees}
            await anyio.sleep(arguments.idle)
            for tree, used in before.items():
                used = read_processor(relays[tree][0]) - used
                rows[tree, "idle"].costs.append(used / arguments.idle)
            for kind in kinds:
                for tree in trees:
                    row = rows[tree, kind]
                    await load(*relays[tree], kind, arguments.seconds, row)
        await stack.aclose()
        await server.close(CLOSE_SECONDS)
        group.cancel_scope.cancel()
    print("| work | tree | ms a request (share of a core when idle) | median", end="")
    print(" | requests | event's way p50 ms | p99 |\n|---|---|---|---:|---:|---:|---:|")
    for (tree, kind), row in sorted(rows.items(), key=lambda item: item[0][1]):
        scale = 1.0 if kind == "idle" else 1000.0
        costs = [f"{cost * scale:.4f}" for cost in row.costs]
        median = f"{statistics.median(row.costs) * scale:.4f}"
        cuts = statistics.quantiles(row.delays or [0.0, 0.0], n=100)
        ways = f"{cuts[49] * 1000:.2f} | {cuts[98] * 1000:.2f}"
        print(f"| {kind} | {tree} | {' '.join(costs)} | {median}", end="")
        print(f" | {row.requests} | {ways} |")
    return 0


def read_processor(process: int) -> float:
    """Return the processor seconds that a process has used.

    By the scheduler's count in nanoseconds: of an idle relay, ticks of 10 ms hid a
    difference of a sixth.
    """
    tasks = pathlib.Path(f"/proc/{process}/task").glob("*/schedstat")
    return sum(int(task.read_text().split()[0]) for task in tasks) / 10**9


async def fill(objects: ObjectStore, group: anyio.abc.TaskGroup) -> None:
    """Put the configuration, runners and members into the store."""
    objects.put(
        names.CONFIGURATION_KIND,
        names.CONFIGURATION_NAME,
        encode_configuration(CONFIGURATION),
    )
    for number in range(RUNNERS):
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        group.start_soon(listener.serve, serve_runner)
        name, address = f"i-{number}", f"127.0.0.1:{port}"
        state = RunnerState.READY
        runner = Runner(
            name=name,
            endpoint="e",
            address=address,
            data_centre="dc-0",
            slots=8,
            state=state,
            started=number + 1,
        )
        objects.put(names.RUNNERS_KIND, name, encode_runner(runner))
    for number in range(MEMBERS):
        place = f"dc-{number % DATA_CENTRES}"
        spec = {"holder": f"m-{number}/1", "address": "", "data_centre": place}
        objects.put("relay-members", f"m-{number}", spec)


@contextlib.contextmanager
def start_relay(tree: str, store: str):
    """Run a relay of a tree; yield its process and its callers' port."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(3)]
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    keys = ("caller_address", "ready_address", "peer_address")
    settings = {n: f"127.0.0.1:{p}" for n, p in zip(keys, ports, strict=True)}
    settings |= {"host": f"h-{ports[0]}", "data_centre": "dc-0", "store_address": store}
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder, "relay.jsonc")
        path.write_bytes(orjson.dumps(settings))
        command = [sys.executable, "-m", "knapweedrail.tools.relay"]
        command += ["--settings", str(path)]
        process = subprocess.Popen(command, cwd=tree, stdout=subprocess.DEVNULL)
        try:
            yield process.pid, ports[0]
        finally:
            process.kill()
            process.wait()


async def wait_open(port: int) -> None:
    """Wait until a relay takes callers' connections."""
    with anyio.fail_after(START_SECONDS):
        while True:
            with contextlib.suppress(OSError):
                async with await anyio.connect_tcp("127.0.0.1", port):
                    return
            await anyio.sleep(0.1)


async def load(process: int, port: int, kind: str, seconds: float, row: Row) -> None:
    """Send requests of a kind for some seconds; take in what each of them cost."""
    before, counts = read_processor(process), [0]
    until = time.monotonic() + seconds
    async with anyio.create_task_group() as group:
        for _ in range(CALLERS):
            group.start_soon(call, port, kind, until, counts, row.delays)
    row.costs.append((read_processor(process) - before) / counts[0])
    row.requests += counts[0]


async def call(
    port: int, kind: str, until: float, counts: list[int], delays: list[float]
) -> None:
    """Send requests on one connection, one after the other."""
    path, least, most = KINDS[kind]
    async with await anyio.connect_tcp("127.0.0.1", port) as stream:
        while time.monotonic() < until:
            events = random.randint(least, most)
            lines = [f"POST {path}{events} HTTP/1.1", "host: h", "content-length: 200"]
            lines += [f"knapweedrail-request-id: {random.getrandbits(64):x}"]
            lines += ["knapweedrail-key: k-0", "knapweedrail-deadline-ms: 8000"]
            lines += ["knapweedrail-token-usage: 20,80"]
            lines += ["knapweedrail-prompt-prefix: abcdef:10,123456:10"]
            await stream.send("\r\n".join(lines).encode() + b"\r\n\r\n" + b"x" * 200)
            answer = b""
            while not answer.endswith((b"0\r\n\r\n", b"whole")):
                data = await stream.receive()
                answer += data
                now = time.monotonic()
                parts = data.split(b"data: ")[1:]
                delays.extend(now - float(part.split()[0]) for part in parts)
            if not answer.startswith(b"HTTP/1.1 200") or answer.count(b"id: ") < events:
                raise ValueError(answer.decode())
            counts[0] += 1
            await anyio.sleep(random.uniform(0.0, PAUSE_SECONDS))


async def serve_runner(stream: anyio.abc.SocketStream) -> None:
    """Answer as a runner does: whole, or event by event."""
    with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
        while True:
            data = await stream.receive()
            while not data.endswith(b"x" * 200):
                data += await stream.receive()
            target = data.split(b" ", 2)[1]
            identity = data.partition(b"request-id: ")[2].partition(b"\r")[0]
            head = b"HTTP/1.1 200 OK\r\nknapweedrail-request-id: " + identity
            head += b"\r\nknapweedrail-response-seal: s\r\n"
            head += b"knapweedrail-server-load: 1,0,8\r\n"
            if target.startswith(b"/a/"):
                await stream.send(head + b"content-length: 5\r\n\r\nwhole")
                continue
            head += b"content-type: text/event-stream\r\ntransfer-encoding: chunked"
            await stream.send(head + b"\r\n\r\n")
            for number in range(1, int(target[3:]) + 1):
                await anyio.sleep(random.uniform(*EVENT_SECONDS))
                text = b"id: %d\ndata: %.6f " % (number, time.monotonic())
                event = text.ljust(EVENT_BYTES - 2, b".") + b"\n\n"
                await stream.send(b"%x\r\n%s\r\n" % (len(event), event))
            await stream.send(b"0\r\n\r\n")
