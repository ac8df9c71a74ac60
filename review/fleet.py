"""A small fleet: relay processes, stand-ins of servers, and the settings of both."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import json
import os
import pathlib
import signal
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from typing import Any

from .http_streams import (
    Request,
    Response,
    encode_head,
    find_free_ports,
    get_port,
    send_request,
    serve,
)
from .store import Store

ROOT = pathlib.Path(__file__).resolve().parents[1]
HOST = "ficu95.example"
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
STRIDE = 4
"""Tokens of one event of a stream, as on the base sites' sheets."""

BOUNDS = {
    "contact_milliseconds": 3000,
    "leaving_milliseconds": 2000,
    "configuration_milliseconds": 2000,
    "stop_seconds": 8,
    "retry_ratio": 0.2,
    "retry_reserve": 52,
    "retry_window_seconds": 10,
}
"""Bounds of the base sites, as `deploy/relay.jsonc` passes them on."""


class Record:
    """Writes what was sent, answered and run, one line each.

    Args:
        path: The file to write.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._began_at = asyncio.get_running_loop().time()

    def write(self, text: str) -> None:
        """Write one line with the time since the start, seconds."""
        seconds = asyncio.get_running_loop().time() - self._began_at
        self._file.write(f"{seconds:9.3f} {text}\n")
        self._file.flush()


@dataclasses.dataclass
class Run:
    """One request that a server began to run.

    Attributes:
        at: When it arrived, seconds.
        complete: Whether the server wrote its whole answer.
    """

    identity: str
    server: str
    at: float
    prompt_tokens: int
    complete: bool = False


class Server:
    """Stand-in of a model server or a plain service.

    Args:
        name: Its id.
        service: Its service.
        runs: Receives all runs.
        record: Receives a line for each run.
        work_seconds: How long a plain request takes.
        states_start: Whether its entry and report state when it started.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        runs: list[Run],
        record: Record,
        work_seconds: float = 0.05,
        states_start: bool = False,
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.port = 0
        self._runs = runs
        self._record = record
        self._work_seconds = work_seconds
        self._start = {"born": time.time_ns() // 1_000_000} if states_start else {}
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await serve(self._handle)
        self.port = get_port(self._server)

    def exit(self) -> None:
        """End as a process does: no more connections, and the open ones reset."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def make_entry(self, state: str = "ready", seq: int = 1) -> dict[str, Any]:
        """Return its entry in the store."""
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 128,
            "state": state,
            "coldLeftMs": 0,
            "seq": seq,
            **self._start,
        }

    async def _handle(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> Response | None:
        self._writers.add(writer)
        identity = request.headers.get("knapweedrail-request-id", "")
        headers = {"Knapweedrail-Request-Id": identity, "Keep-Alive": "timeout=30"}
        if request.headers.get("knapweedrail-expect-instance", self.name) != self.name:
            headers["Knapweedrail-Instance-Id"] = self.name
            return Response(421, headers)
        if request.target in ("/health", "/report"):
            report = json.dumps(self._start).encode()
            return Response(200, {"Knapweedrail-Instance-Id": self.name}, report)
        usage = request.headers.get("knapweedrail-token-usage", "0,0").split(",")
        now = asyncio.get_running_loop().time()
        run = Run(identity, self.name, now, int(usage[0]))
        self._runs.append(run)
        self._record.write(f"run {identity} at {self.name} usage {','.join(usage)}")
        headers["Knapweedrail-Response-Seal"] = SEAL
        if request.target.startswith("/stream/"):
            await self._send_events(request, headers, writer)
            run.complete = True
            return None
        await asyncio.sleep(self._work_seconds)
        run.complete = True
        return Response(200, headers, b"done " + identity.encode())

    async def _send_events(
        self, request: Request, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        """Send as many events as the path's last part says, 10 ms apart."""
        count = int(request.target.rpartition("/")[2])
        headers |= {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(encode_head("HTTP/1.1 200 OK", headers))
        for number in range(1, count + 1):
            event = f"id: {number}\ndata: {request.headers['host']}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.01)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Relay:
    """One host and the relay process on it.

    Args:
        name: Name of the host.
        zone: Its zone.
        folder: For settings and logs.
        store_port: Port of the store.
        command: The command of the deploy file.
        bounds: Settings that follow from the bounds of the deployment.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        folder: pathlib.Path,
        store_port: int,
        command: list[str],
        bounds: dict[str, float],
    ) -> None:
        self.name = name
        self.front, self.ready, self.peer, _, self.metrics = find_free_ports(5)
        self.process: asyncio.subprocess.Process | None = None
        self._starting: asyncio.Future[None] | None = None
        self.exits: list[int] = []
        self.log = folder / f"{name}.log"
        self._zone = zone
        self._settings = folder / f"{name}.jsonc"
        self._store_port = store_port
        self._command = command
        self._bounds = bounds

    async def start(self, first: bool = False) -> None:
        """Start the process."""
        settings: dict[str, Any] = {
            "host": self.name,
            "data_centre": self._zone,
            "caller_address": f"127.0.0.1:{self.front}",
            "ready_address": f"127.0.0.1:{self.ready}",
            "peer_address": f"127.0.0.1:{self.peer}",
            "tunnel_port_offset": 1,
            "metrics_address": f"127.0.0.1:{self.metrics}",
            "store_address": f"127.0.0.1:{self._store_port}",
            **self._bounds,
        }
        if first:
            settings["first_start"] = True
        self._settings.write_text(json.dumps(settings))
        # A start that is cancelled half-way must not leave a process behind.
        self._starting = asyncio.ensure_future(self._spawn())
        await asyncio.shield(self._starting)

    async def _spawn(self) -> None:
        variables = {k: os.environ[k] for k in ("PATH", "HOME") if k in os.environ}
        variables["KNAPWEEDRAIL_NODE_FILE"] = str(self._settings)
        variables["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self._command, cwd=ROOT, env=variables, stdout=log, stderr=log
            )

    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.is_running():
            self.process.send_signal(number)

    async def wait(self) -> int:
        """Wait until the process has ended; return its exit code."""
        code = await self.process.wait()
        self.exits.append(code)
        return code

    async def close(self) -> None:
        """End the process if it is running."""
        if self._starting is not None:
            await self._starting
        if self.is_running():
            self.process.kill()
            await self.process.wait()


class Fleet:
    """The relays, the store and the servers of one run.

    Args:
        record: Receives what was sent, answered and run.
        folder: For settings and logs.

    Attributes:
        bounds: Settings that follow from the bounds of the deployment.
        states_start: Whether servers state when they started.
    """

    def __init__(self, record: Record, folder: pathlib.Path) -> None:
        self.bounds = dict(BOUNDS)
        self.states_start = False
        self.store = Store()
        self.relays: list[Relay] = []
        self.runs: list[Run] = []
        self.record = record
        self._folder = folder
        self._numbers = itertools.count(1)

    async def start(self, zones: list[str]) -> None:
        """Start the store and one relay in each of the zones."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["relay"]["run"].split()
        port = await self.store.start()
        for number, zone in enumerate(zones, 1):
            name = f"front-{zone}-{number}"
            relay = Relay(name, zone, self._folder, port, command, self.bounds)
            self.relays.append(relay)
            await relay.start(first=True)
            self.record.write(f"start {name}")

    async def add_server(
        self, service: str, zone: str, work_seconds: float = 0.05
    ) -> Server:
        """Start a server and list it."""
        name = f"i-{next(self._numbers):08x}"
        server = Server(
            *(name, service, zone, self.runs, self.record, work_seconds),
            states_start=self.states_start,
        )
        await server.start()
        self.store.put("servers", name, server.make_entry())
        return server

    def make_identity(self) -> str:
        """Return an identity for a new request."""
        return f"{next(self._numbers):016x}"

    async def wait_for(
        self, condition: Callable[[], Any], what: str, seconds: float = 20.0
    ) -> None:
        """Wait until a condition holds.

        Raises:
            TimeoutError: If it doesn't in time.
        """
        until = asyncio.get_running_loop().time() + seconds
        while not condition():
            if asyncio.get_running_loop().time() > until:
                raise TimeoutError(f"waited in vain for {what}")
            await asyncio.sleep(0.05)

    async def close(self) -> None:
        """End all processes."""
        for relay in self.relays:
            await relay.close()


def make_configuration(
    version: int, services: list[str], tenants: dict[str, int]
) -> dict[str, Any]:
    """Return a configuration with a streaming, an unsafe and a safe route.

    Args:
        version: Its version.
        services: Engine service first, then the plain one.
        tenants: Prepaid tokens by tenant; the key of a tenant is ``key-NAME``.
    """
    engine, plain = services
    route = {
        "host": HOST,
        "timeoutMs": 15000,
        "latencyGoalMs": 800,
        "priority": 1,
        "maxAttempts": 1,
        "public": False,
    }
    stream = {"sticky": True, "resumable": False, "gapAimMs": 250}
    return {
        "version": version,
        "routes": [
            {"name": "r-stream", "pathPrefix": "/stream/", "kind": "streaming"}
            | {"service": engine}
            | route
            | stream,
            {"name": "r-unsafe", "pathPrefix": "/unsafe/", "kind": "unsafe"}
            | {"service": plain}
            | route
            | {"timeoutMs": 3000, "latencyGoalMs": 400},
            {"name": "r-safe", "pathPrefix": "/safe/", "kind": "safe"}
            | {"service": plain}
            | route
            | {"timeoutMs": 3000, "latencyGoalMs": 400, "maxAttempts": 2},
        ],
        "services": [
            {
                "name": engine,
                "healthPath": "/health",
                "maxConns": 610,
                "engine": {"slots": 128, "kvCapacity": 497045, "stride": STRIDE},
            },
            {"name": plain, "healthPath": "/health", "maxConns": 96},
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {"name": name, "apiKeys": [f"key-{name}"], "prepaid": prepaid}
            for name, prepaid in tenants.items()
        ],
    }


async def is_ready(relay: Relay) -> bool:
    """Return whether a relay reports that it is ready."""
    found = await send_request(relay.ready, "GET", "/ready", {"Host": "x"}, seconds=1)
    return found.status == 200


def run_case(
    play: Callable[[Fleet, bool], Any], folder: pathlib.Path, seconds: float = 115.0
) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if not, 2 if it couldn't run.

    Args:
        play: Plays the case on a fleet that isn't started yet, with or without the
            disruption (`TROUBLE`), and returns whether the rule was broken.
        folder: The case's folder, for the record that the command line names.
        seconds: Longest duration.
    """

    async def run() -> int:
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        record = Record(folder / (sys.argv[1:] or ["record.txt"])[0])
        trouble = os.environ.get("TROUBLE", "1") != "0"
        record.write(f"trouble {int(trouble)}")
        with tempfile.TemporaryDirectory() as name:
            fleet = Fleet(record, pathlib.Path(name))
            try:
                async with asyncio.timeout(seconds):
                    broken = await play(fleet, trouble)
            except (Exception, asyncio.CancelledError) as error:
                record.write(f"couldn't run: {error!r}")
                print(f"couldn't run: {error!r}")
                return 2
            finally:
                await fleet.close()
                await asyncio.sleep(0)
                if os.environ.get("KEEP_LOGS"):
                    for path in pathlib.Path(name).glob("*.log"):
                        target = pathlib.Path(os.environ["KEEP_LOGS"]) / path.name
                        target.write_bytes(path.read_bytes())
        return int(broken)

    sys.exit(asyncio.run(run()))
