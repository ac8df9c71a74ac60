"""Stand-ins of the platform, of runners and of clients, and relay processes.

Standard library only. All addresses are on the loopback interface.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[1]
HOST = "127.0.0.1"

BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2

BASE_BOUNDS = {
    "limits.memoryMb": 300,
    "limits.maxFds": 4100,
    "bounds.contactMs": 3000,
    "bounds.drainMs": 2000,
    "bounds.configApplyMs": 2000,
    "bounds.graceS": 8,
    "bounds.retryBudgetRatio": 0.2,
    "bounds.retryBudgetSlack": 58,
    "bounds.budgetWindowS": 10,
}
"""What the sheets say of a base site."""

GROWN_BOUNDS = BASE_BOUNDS | {
    "bounds.contactMs": 4000,
    "bounds.drainMs": 3000,
    "bounds.configApplyMs": 3000,
    "bounds.retryBudgetSlack": 212,
}
"""What the sheets say of a grown site."""


TRAFFIC_SECONDS = 12.0
"""Traffic starts so long after the machines."""


class CaseError(Exception):
    """The case couldn't run, so it says nothing about the rule."""


def find_free_ports(count: int) -> list[int]:
    """Return ports that nothing listens on now.

    They lie below those that the kernel gives to connections.
    """
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(10_000, 32_000)
        if take_port(port):
            found.append(port)
    return found


_taken_ports: set[int] = set()
"""Ports that a part of this case has or will have."""


def take_port(port: int) -> bool:
    """Return whether a port is free, and keep it for the caller if so."""
    if port in _taken_ports:
        return False
    with socket.socket() as one:
        try:
            one.bind((HOST, port))
        except OSError:
            return False
    _taken_ports.add(port)
    return True


@dataclass
class Head:
    """First line and headers of a request or an answer.

    Attributes:
        first: The first line's three parts.
        headers: Names in lower case and values.
    """

    first: tuple[str, str, str]
    headers: list[tuple[str, str]]

    def find(self, name: str) -> str | None:
        """Return the first value of a header."""
        return next((value for key, value in self.headers if key == name), None)


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Read a head; return ``None`` at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data.decode("latin-1").split("\r\n")[:-2]
    headers = []
    for line in lines:
        name, _, value = line.partition(":")
        headers.append((name.strip().lower(), value.strip()))
    one, two, three = (first.split(" ", 2) + ["", ""])[:3]
    return Head((one, two, three), headers)


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Read the body of a request or an answer that has a length or chunks.

    Raises:
        asyncio.IncompleteReadError: If the connection ends before the body does.
    """
    if (head.find("transfer-encoding") or "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return body
            body += part[:-2]
    return await reader.readexactly(int(head.find("content-length") or 0))


def make_answer(
    status: int, headers: dict[str, str], body: bytes, reason: str = "OK"
) -> bytes:
    """Return a whole answer with a length."""
    lines = [f"HTTP/1.1 {status} {reason}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


@contextlib.asynccontextmanager
async def serve(
    handle: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
    port: int,
):
    """Serve connections until the context ends, and reset what is left then."""
    tasks: set[asyncio.Task] = set()

    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        tasks.add(task)
        try:
            await handle(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            tasks.discard(task)
            writer.close()

    server = await asyncio.start_server(accept, HOST, port, limit=1 << 20)
    try:
        yield server
    finally:
        server.close()
        for task in list(tasks):
            task.cancel()
        await asyncio.sleep(0)


class Store:
    """The platform's metadata store, over HTTP."""

    def __init__(self) -> None:
        self.port = find_free_ports(1)[0]
        self.revision = 100
        self.is_silent = False
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._history: list[tuple[int, float, str, dict[str, Any], bool]] = []
        self._waiting: set[asyncio.Event] = set()

    @property
    def address(self) -> str:
        """Address of the store."""
        return f"{HOST}:{self.port}"

    def find(self, kind: str, name: str) -> dict[str, Any] | None:
        """Return an object, or ``None``."""
        return self._objects.get(kind, {}).get(name)

    def list_kind(self, kind: str) -> dict[str, dict[str, Any]]:
        """Return the objects of a kind by name."""
        return dict(self._objects.get(kind, {}))

    async def put(self, kind: str, name: str, spec: Any) -> int:
        """Write an object, as the operator or a runner does."""
        await self._set(kind, name, spec)
        return self.revision

    async def remove(self, kind: str, name: str) -> None:
        """Remove an object, as the platform does."""
        found = self._objects.get(kind, {}).pop(name, None)
        if found is not None:
            await self._record(kind, found, True)

    async def _set(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        known = self.find(kind, name)
        if known is not None and known["spec"] == spec:
            return known
        created = known["metadata"]["createRev"] if known else self.revision + 1
        meta = {
            "name": name,
            "revision": self.revision + 1,
            "createRev": created,
            "finalizers": [],
            "deleting": False,
        }
        stored = {"metadata": meta, "spec": spec, "status": {}}
        self._objects.setdefault(kind, {})[name] = stored
        await self._record(kind, stored, False)
        return stored

    async def _record(self, kind: str, stored: dict[str, Any], removed: bool) -> None:
        self.revision += 1
        entry = (self.revision, time.monotonic(), kind, stored, removed)
        self._history.append(entry)
        for changed in self._waiting:
            changed.set()

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls on one connection."""
        while (head := await read_head(reader)) is not None:
            body = await read_body(reader, head)
            if self.is_silent:
                # What came during the outage is neither done nor answered.
                while self.is_silent:
                    await asyncio.sleep(0.05)
                return
            status, answer = await self._answer(head, body)
            data = json.dumps(answer).encode()
            headers = {"Content-Type": "application/json"}
            writer.write(make_answer(status, headers, data))
            await writer.drain()

    async def _answer(self, head: Head, body: bytes) -> tuple[int, Any]:
        method, target, _ = head.first
        path, _, text = target.partition("?")
        query = dict(part.split("=", 1) for part in text.split("&") if "=" in part)
        parts = path.strip("/").split("/")
        kind, name = parts[1], parts[2] if len(parts) > 2 else None
        if method == "GET" and name is None:
            return await self._list(kind, query)
        if method == "GET":
            found = self.find(kind, name or "")
            return (200, found) if found else (404, {})
        if method == "DELETE":
            return await self._delete(kind, name or "", query)
        sent = json.loads(body)
        meta = sent.get("metadata") or {}
        known = self.find(kind, name or meta["name"])
        if method == "POST":
            if known is not None:
                return 409, known
            return 201, await self._set(kind, meta["name"], sent.get("spec"))
        if known is None:
            return 404, {}
        revision = meta.get("revision", query.get("revision"))
        if revision is not None and int(revision) != known["metadata"]["revision"]:
            return 409, known
        return 200, await self._set(kind, name or "", sent.get("spec"))

    async def _delete(
        self, kind: str, name: str, query: dict[str, str]
    ) -> tuple[int, Any]:
        known = self.find(kind, name)
        if known is None:
            return 404, {}
        revision = query.get("revision")
        if revision is not None and int(revision) != known["metadata"]["revision"]:
            return 409, known
        await self.remove(kind, name)
        return 200, {}

    async def _list(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        if "watch" not in query:
            entries = list(self._objects.get(kind, {}).values())
            page = {"entries": entries, "morePages": False, "asOf": self.revision}
            return 200, page
        since = int(query["watch"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            events = [
                {"object": stored, "removed": removed}
                for revision, _, changed, stored, removed in self._history
                if revision > since and changed == kind
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "asOf": self.revision}
            changed = asyncio.Event()
            self._waiting.add(changed)
            try:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(changed.wait(), left)
            finally:
                self._waiting.discard(changed)


@dataclass
class Relay:
    """One relay process, started by the command of the deploy file."""

    name: str
    zone: str
    store: str
    folder: pathlib.Path
    bounds: dict[str, Any]
    ports: list[int] = field(default_factory=list)
    process: asyncio.subprocess.Process | None = None
    is_first_start: bool = True

    @property
    def front(self) -> int:
        """Port for clients."""
        return self.ports[0]

    def write_settings(self) -> pathlib.Path:
        """Fill in the deploy file's template, with a base site's bounds."""
        template = (ROOT / read_deploy_role()["template"]).read_text()
        values = {
            "nodeName": self.name,
            "zone": self.zone,
            "listen.front": f"{HOST}:{self.ports[0]}",
            "listen.ready": f"{HOST}:{self.ports[1]}",
            "ip": HOST,
            "portRange.0": self.ports[2],
            "portRange.1": self.ports[4],
            "provider.address": self.store,
            "bootstrap": self.is_first_start,
            **self.bounds,
        }
        path = self.folder / f"{self.name}.jsonc"
        path.write_text(fill_in(template, values))
        return path

    async def start(self) -> None:
        """Start the process."""
        self.ports = self.ports or find_relay_ports()
        settings = self.write_settings()
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = f"{ROOT}:{ROOT / 'target' / 'deps'}"
        environment["KNAPWEEDRAIL_NODE_FILE"] = str(settings)
        log = (self.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *read_deploy_role()["run"].split(),
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.is_first_start = False

    def read_log(self) -> str:
        """Return what the process has written."""
        return (self.folder / f"{self.name}.log").read_text(errors="replace")

    async def is_ready(self) -> bool:
        """Ask for the readiness as the platform does."""
        answer = await ask(self.ports[1], "GET", "/ready", {}, timeout=1.0)
        return answer.status == 200

    async def wait_until_ready(self, seconds: float = 20.0) -> None:
        """Wait for the readiness.

        Raises:
            CaseError: If it doesn't come in time.
        """
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CaseError(f"{self.name} isn't ready: {self.read_log()[-2000:]}")

    async def stop(self) -> None:
        """End the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


async def start_all(relays: list[Relay]) -> None:
    """Start all relays, and wait until traffic may start."""
    began_at = time.monotonic()
    for relay in relays:
        await relay.start()
    for relay in relays:
        await relay.wait_until_ready()
    await asyncio.sleep(began_at + TRAFFIC_SECONDS - time.monotonic())


def find_relay_ports() -> list[int]:
    """Return free ports for clients, readiness, peers, tunnels and metrics."""
    while True:
        front, ready, peers, metrics = find_free_ports(4)
        if take_port(peers + 1):
            return [front, ready, peers, peers + 1, metrics]


def read_deploy_role() -> dict[str, Any]:
    """Return the relay's role in the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return deploy["roles"]["relay"]


def fill_in(template: str, values: dict[str, Any]) -> str:
    """Fill in a template as the platform does, as far as our deploy file needs it."""

    def fill_section(found: re.Match[str]) -> str:
        value = values.get(found[1])
        if not value:
            return ""
        return found[2].replace("{{.|json}}", json.dumps(value))

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", fill_section, template)
    text = re.sub(
        r"\{\{([\w.]+)\|json\}\}", lambda found: json.dumps(values[found[1]]), text
    )
    return re.sub(r"\{\{([\w.]+)\}\}", lambda found: str(values[found[1]]), text)


@dataclass
class Answer:
    """What a client got.

    Attributes:
        status: Status; ``None`` if there was no head.
        body: Body as far as it came.
        complete: Whether the answer ended as the protocol says.
    """

    status: int | None = None
    head: Head | None = None
    body: bytes = b""
    complete: bool = False


async def ask(
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes | None = None,
    timeout: float = 15.0,
) -> Answer:
    """Send one request on a connection of its own and read the answer."""
    answer = Answer()
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(HOST, port, limit=1 << 22)
            try:
                writer.write(make_request(method, path, headers, body))
                await writer.drain()
                await read_answer(reader, answer)
            finally:
                writer.close()
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        pass
    return answer


def make_request(
    method: str, path: str, headers: dict[str, str], body: bytes | None
) -> bytes:
    """Return a whole request."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if not any(name.lower() == "host" for name in headers):
        lines.append(f"Host: {HOST}")
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + (body or b"")


async def read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read an answer into ``answer``, as far as it comes."""
    head = await read_head(reader)
    if head is None:
        return
    answer.head = head
    answer.status = int(head.first[1])
    if (head.find("transfer-encoding") or "").lower() != "chunked":
        size = int(head.find("content-length") or 0)
        answer.body = await reader.readexactly(size)
        answer.complete = True
        return
    while True:
        line = await reader.readuntil(b"\r\n")
        size = int(line.split(b";")[0], 16)
        part = await reader.readexactly(size + 2)
        if not size:
            answer.complete = True
            return
        answer.body += part[:-2]


@contextlib.asynccontextmanager
async def open_stage(
    relay_count: int = 1,
    zones: tuple[str, ...] = ("zone-a",),
    bounds: dict[str, Any] = BASE_BOUNDS,
):
    """Start a store and create relays that aren't started yet; end all at the end."""
    store = Store()
    with tempfile.TemporaryDirectory(prefix="review-") as name:
        folder = pathlib.Path(name)
        relays = [
            Relay(f"front-{n}", zones[n % len(zones)], store.address, folder, bounds)
            for n in range(relay_count)
        ]
        async with serve(store.handle, store.port):
            try:
                yield store, relays
            finally:
                for relay in relays:
                    await relay.stop()


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, path: str) -> None:
        self._file = pathlib.Path(path).open("w")
        self._began_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line, with the seconds since the start."""
        line = f"{time.monotonic() - self._began_at:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()


def run_case(play: Callable[[Record, bool], Awaitable[bool]]) -> None:
    """Run a case and exit with its result.

    The command line names the file of the record and, as 0 or 1, whether to disturb.

    Args:
        play: Plays the case; gets whether to disturb, and returns whether the rule
            held.
    """
    _, path, trouble = sys.argv
    record = Record(path)
    disturb = trouble != "0"
    # Ended from outside, the case still ends the processes that it has started.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        held = asyncio.run(asyncio.wait_for(play(record, disturb), 110))
    except (CaseError, TimeoutError, OSError, KeyboardInterrupt) as error:
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(COULD_NOT_RUN)
    result = "held" if held else "broken"
    record.write(f"result: {result}")
    print(result)
    sys.exit(HELD if held else BROKEN)
