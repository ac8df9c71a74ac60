"""Stand-ins of model runners and plain services, and the configuration for them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from stage import HOST, Head, find_free_ports, make_answer, read_body, read_head

KEY = "key-of-tenant-one"
OTHER_KEY = "key-of-tenant-two"
ROUTE_HOST = "shop.example"


@dataclass
class Run:
    """One request as it reached a runner.

    Attributes:
        identity: Its id, as the client sent it.
        last_event: The event after which the stream goes on, if it says so.
    """

    identity: str
    head: Head
    body: bytes
    last_event: int | None = None


Answerer = Callable[["Runner", Run, asyncio.StreamWriter], Awaitable[None]]


@dataclass
class Runner:
    """A sound runner, unless ``answer`` does something else.

    Attributes:
        answer: Answers a request.
        runs: All requests that it ran.
    """

    name: str
    service: str
    zone: str
    answer: Answerer
    slots: int = 128
    port: int = field(default_factory=lambda: find_free_ports(1)[0])
    runs: list[Run] = field(default_factory=list)

    def make_entry(self, state: str = "ready") -> dict[str, Any]:
        """Return its entry in the store."""
        return {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "version": "1",
            "slots": self.slots,
            "state": state,
            "coldLeftMs": 0,
            "seq": 1,
        }

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests on one connection."""
        while (head := await read_head(reader)) is not None:
            body = await read_body(reader, head)
            if head.find("knapweedrail-request-id") is None:
                headers = {"Knapweedrail-Instance-Id": self.name}
                writer.write(make_answer(200, headers, b""))
                await writer.drain()
                continue
            identity = head.find("knapweedrail-request-id") or ""
            if head.find("knapweedrail-expect-instance") not in (None, self.name):
                headers = {
                    "Knapweedrail-Request-Id": identity,
                    "Knapweedrail-Instance-Id": self.name,
                    "Knapweedrail-Not-Executed": "1",
                }
                writer.write(make_answer(421, headers, b"", "Misdirected"))
                await writer.drain()
                continue
            last = head.find("last-event-id")
            run = Run(identity, head, body, None if last is None else int(last))
            self.runs.append(run)
            await self.answer(self, run, writer)


def make_seal(identity: str) -> str:
    """Return a runner's signature of an answer."""
    return f"3e1b.07.{identity}.c9f2a4d1"


def make_stream_head(run: Run, sealed: bool = True) -> bytes:
    """Return the head of a stream in chunks."""
    lines = [
        "HTTP/1.1 200 OK",
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked",
        f"Knapweedrail-Request-Id: {run.identity}",
    ]
    if sealed:
        lines.append(f"Knapweedrail-Response-Seal: {make_seal(run.identity)}")
    return "\r\n".join([*lines, "", ""]).encode()


def make_event(number: int) -> bytes:
    """Return one event in a chunk of its own."""
    data = f"id: {number}\ndata: tokens of event {number}\n\n".encode()
    return b"%x\r\n" % len(data) + data + b"\r\n"


LAST_CHUNK = b"0\r\n\r\n"


def make_stream(
    events: int, pause: float, sealed: Callable[[Runner, Run], bool] | None = None
) -> Answerer:
    """Return what answers with a stream of numbered events, resumed if asked."""

    async def answer(runner: Runner, run: Run, writer: asyncio.StreamWriter) -> None:
        writer.write(make_stream_head(run, sealed is None or sealed(runner, run)))
        first = 1 if run.last_event is None else run.last_event + 1
        for number in range(first, events + 1):
            writer.write(make_event(number))
            await writer.drain()
            await asyncio.sleep(pause)
        writer.write(LAST_CHUNK)
        await writer.drain()

    return answer


def make_configuration(
    routes: list[dict[str, Any]], prepaid: int | None = None, version: int = 1
) -> dict[str, Any]:
    """Return a configuration with two tenants and the routes' services.

    Args:
        prepaid: Tokens of each tenant; ``None`` for no limit.
    """
    tenants: list[dict[str, Any]] = [
        {"name": "tenant-one", "apiKeys": [KEY]},
        {"name": "tenant-two", "apiKeys": [OTHER_KEY]},
    ]
    for tenant in tenants if prepaid is not None else ():
        tenant["prepaid"] = prepaid
    services = []
    for name in dict.fromkeys(route["service"] for route in routes):
        service: dict[str, Any] = {
            "name": name,
            "healthPath": "/health",
            "maxConns": 600,
        }
        if any(r["kind"] == "streaming" for r in routes if r["service"] == name):
            service["engine"] = {"kvCapacity": 500_000, "stride": 4}
        services.append(service)
    limits = {
        "maxHeaderBytes": 16_384,
        "maxBodyBytes": 4_194_304,
        "headerTimeoutMs": 5_000,
        "idleTimeoutMs": 15_000,
    }
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "tenants": tenants,
        "limits": limits,
    }


def make_route(
    name: str, kind: str, service: str, timeout_ms: int, **more: Any
) -> dict[str, Any]:
    """Return a route whose path prefix is its name."""
    return {
        "name": name,
        "host": ROUTE_HOST,
        "pathPrefix": f"/{name}/",
        "service": service,
        "kind": kind,
        "timeoutMs": timeout_ms,
        "latencyGoalMs": 500,
        "maxAttempts": 2,
        "priority": 0,
        **more,
    }
