"""Tests of the HTTP servers' ends, orderly and not."""

import socket
import time

import anyio
import httpx
import pytest
from starlette.applications import Starlette
from starlette.responses import PlainTextResponse, StreamingResponse
from starlette.routing import Route

from .. import servers
from ..servers import HttpServer, ServerLimits

PARTS = 5

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"

IDLE_SECONDS = 0.02
"""How long nobody asks before the server closes."""

LATE_SECONDS = 0.05
"""How late the loop is."""


class Tap:
    """An application whose stream goes on when it is told to."""

    def __init__(self):
        self.open = anyio.Event()
        self.app = Starlette(
            routes=[Route("/stream", self.stream), Route("/", self.answer)]
        )

    async def answer(self, request):
        return PlainTextResponse("ok")

    async def stream(self, request):
        async def parts():
            yield b"0"
            await self.open.wait()
            for number in range(1, PARTS):
                yield b"%d" % number

        return StreamingResponse(parts())


async def read_while_closing(server, tap, group):
    """Read a stream whose server is closed after its first byte."""
    async with httpx.AsyncClient() as client:
        async with client.stream("GET", f"http://{server.address}/stream") as answer:
            bytes_read = b""
            async for part in answer.aiter_raw():
                bytes_read += part
                if bytes_read == b"0":
                    group.start_soon(server.close, 3600.0)
                    tap.open.set()
            return bytes_read


@pytest.mark.parametrize("turn", range(5))
def test_an_orderly_end_cuts_nothing_and_ends_nothing_else(turn):
    """A host is replaced while an answer streams.

    The answer arrives whole. And the router's other tasks go on: they still have to
    give tokens back; the library's own cancellation would end them all in silence.
    """

    async def run():
        tap = Tap()
        server = HttpServer(tap.app, "127.0.0.1:0", ServerLimits())
        went_on = False
        async with anyio.create_task_group() as group:
            await server.start(group)
            assert await read_while_closing(server, tap, group) == b"01234"
            await server.close(3600.0)
            await anyio.sleep(0.01)
            went_on = True
        return went_on

    assert anyio.run(run)


def test_a_failing_router_ends_at_once_in_spite_of_open_streams():
    """A task of the router fails while a caller's stream is open.

    The process has to end so that its host restarts it. With the grace of an orderly
    stop it would stay for a minute and answer nobody.
    """

    async def run():
        tap = Tap()
        server = HttpServer(tap.app, "127.0.0.1:0", ServerLimits())
        async with httpx.AsyncClient() as client:
            async with anyio.create_task_group() as group:
                await server.start(group)
                url = f"http://{server.address}/stream"
                async with client.stream("GET", url) as answer:
                    await anext(answer.aiter_raw())
                    raise RuntimeError("a task failed")

    with pytest.raises(ExceptionGroup) as caught:
        with_limit(run)
    assert [str(error) for error in caught.value.exceptions] == ["a task failed"]


def test_an_error_of_one_connection_at_the_end_stops_nothing_else(monkeypatch):
    """A caller's connection breaks in an unforeseen way just while the router stops.

    The library passes that error on. If it ended the router, tokens would not be
    given back and bills not written.
    """

    async def serve(app, config, shutdown_trigger):
        await shutdown_trigger()
        raise RuntimeError("one connection")

    async def run():
        server = HttpServer(Tap().app, "127.0.0.1:0", ServerLimits())
        async with anyio.create_task_group() as group:
            await server.start(group)
            await server.close(1.0)
            await anyio.sleep(0)
            return True

    monkeypatch.setattr(servers, "serve", serve)
    assert anyio.run(run)


UPGRADE = (
    b"GET /x HTTP/1.1\r\nhost: h\r\nupgrade: h2c\r\nconnection: upgrade\r\n"
    b"http2-settings: AAAA\r\n\r\n"
)
"""A request on which the HTTP server's library fails with an error of its own."""


def test_an_error_of_one_connection_does_not_end_the_close_before_the_others():
    """A host stops while a plan streams, and another connection fails just then. The
    library takes that error for its own end; whoever closed the server then ended the
    process, two seconds before the plan's end, and its caller had half of it."""

    async def check():
        tap = Tap()
        server = HttpServer(tap.app, "127.0.0.1:0", ServerLimits())
        async with anyio.create_task_group() as group:
            await server.start(group)
            host, _, port = server.address.rpartition(":")
            async with await anyio.connect_tcp(host, int(port)) as failing:
                async with httpx.AsyncClient() as client:
                    url = f"http://{server.address}/stream"
                    async with client.stream("GET", url) as answer:
                        await failing.send(UPGRADE)
                        closed_at = anyio.current_time()
                        group.start_soon(open_later, tap)
                        await server.close(10.0)
                        waited = anyio.current_time() - closed_at
                        assert await answer.aread() == b"01234"
            assert waited > 0.3

    with_limit(check)


async def open_later(tap):
    await anyio.sleep(0.4)
    tap.open.set()


def with_limit(function):
    """Run a coroutine function that must end long before a stop's grace."""

    async def bounded():
        with anyio.fail_after(60):
            await function()

    anyio.run(bounded)


@pytest.mark.parametrize("turn", range(12))
def test_a_request_that_came_well_before_its_close_is_answered(turn):
    """Guards against requests that are read and dropped as a late loop ends."""

    async def run():
        tap = Tap()
        async with anyio.create_task_group() as group:
            server = HttpServer(tap.app, "127.0.0.1:0", ServerLimits())
            await server.start(group)
            host, _, port = server.address.partition(":")
            with socket.create_connection((host, int(port))) as caller:
                caller.setblocking(False)
                caller.sendall(REQUEST)
                await read_until(caller, b"ok")
                await anyio.sleep(IDLE_SECONDS)
                group.start_soon(server.close, 5.0)
                for _ in range(turn):
                    await anyio.sleep(0)
                if not is_closed(caller):
                    caller.sendall(REQUEST)
                    time.sleep(LATE_SECONDS)
                    await read_until(caller, b"ok")

    anyio.run(run)


def is_closed(caller):
    try:
        return caller.recv(1, socket.MSG_PEEK) == b""
    except BlockingIOError:
        return False


async def read_until(caller, end):
    received = b""
    while not received.endswith(end):
        await anyio.wait_readable(caller)
        part = caller.recv(65_536)
        assert part, f"closed after {received!r}"
        received += part
