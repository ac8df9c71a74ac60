"""Raw HTTP requests to the caller server: ambiguous framing, smuggling and floods."""

import contextlib
import time
import tracemalloc

import anyio
import pytest

from ..relay.models import RetryPolicy
from ..relay.request_bodies import receive_body
from ..relay.shutdowns import Shutdown
from ..servers import HttpServer, ServerLimits
from .relays_in_memory import (
    ScriptedRunner,
    answer_normally,
    find_header,
    make_configuration,
    make_route,
    run_relay,
)

pytestmark = pytest.mark.anyio

HEAD = (
    b"POST /a/x HTTP/1.1\r\nHost: h.example\r\nKnapweedrail-Request-Id: id-1\r\n"
    b"Knapweedrail-Key: key-of-farm\r\nKnapweedrail-Deadline-Ms: 3000\r\n"
)
MAX_BODY_BYTES = 4_194_304

SMUGGLED = HEAD.replace(b"/a/x", b"/a/hidden").replace(b"id-1", b"id-2")


@contextlib.asynccontextmanager
async def run_server():
    runner = ScriptedRunner(answer_normally)
    configuration = make_configuration(make_route(RetryPolicy.SAFE))
    async with run_relay(configuration, runner) as relay:
        async with anyio.create_task_group() as group:
            server = HttpServer(relay.gateway, "127.0.0.1:0", ServerLimits())
            await server.start(group)
            host, port = server.address.split(":")
            yield runner, host, int(port)
            await server.close(0.1)


async def send_raw(host, port, data, seconds=1.0):
    """Send bytes and return all that is received until the connection is closed.

    Raises:
        TimeoutError: If nothing is received for ``seconds``.
    """
    got = b""
    async with await anyio.connect_tcp(host, port) as stream:
        with contextlib.suppress(anyio.BrokenResourceError, anyio.EndOfStream):
            await stream.send(data)
            while True:
                with anyio.fail_after(seconds):
                    got += await stream.receive()
    return got


async def send_raw_until_idle(host, port, data):
    with contextlib.suppress(TimeoutError):
        return await send_raw(host, port, data, 0.5)
    return b""


def list_targets(runner):
    return [head.split(" ")[1] for head in runner.heads]


async def test_content_length_with_chunked_encoding_is_refused_immediately():
    """Guards against request smuggling. If the relay framed the body by its length and
    the runner by its chunks, the rest of the body would run as another request without
    an account. A caller that sends both by mistake must not wait until it times out."""
    async with run_server() as (runner, host, port):
        data = HEAD + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
        got = await send_raw(host, port, data + b"0\r\n\r\n" + SMUGGLED + b"\r\n")
    assert got.startswith(b"HTTP/1.1 400 ")
    assert got.count(b"HTTP/1.1") == 1
    assert runner.heads == []


@pytest.mark.parametrize(
    "lines",
    [
        b"Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcd",
        b"Content-Length: +4\r\n\r\nabcd",
        b"Content-Length: 4, 5\r\n\r\nabcd",
        b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
        b"Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
        b"Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
        b"X-Bad Name: 1\r\n\r\n",
    ],
)
async def test_ambiguous_body_length_is_refused(lines):
    """The end of such a request is undefined, so no part of it may run."""
    async with run_server() as (runner, host, port):
        got = await send_raw(host, port, HEAD + lines)
    assert got.split(b" ")[1] in (b"400", b"501")
    assert runner.heads == []


async def test_request_embedded_in_body_is_forwarded_as_body():
    """A body contains the bytes of a complete request. If the relay forwarded it
    without its length, the runner would run that request."""
    smuggled = SMUGGLED + b"Content-Length: 0\r\n\r\n"
    async with run_server() as (runner, host, port):
        data = HEAD + b"Content-Length: %d\r\n\r\n" % len(smuggled) + smuggled
        await send_raw_until_idle(host, port, data)
    assert list_targets(runner) == ["/a/x"]
    assert runner.bodies == [smuggled]


async def test_chunked_body_is_forwarded_with_content_length():
    async with run_server() as (runner, host, port):
        chunks = b"3;note=x\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: 1\r\n\r\n"
        data = HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks
        await send_raw_until_idle(host, port, data)
    assert runner.bodies == [b"abcde"]


async def test_pipelined_requests_are_answered_in_order():
    async with run_server() as (runner, host, port):
        first = HEAD + b"Content-Length: 1\r\n\r\na"
        second = SMUGGLED + b"Content-Length: 1\r\nConnection: close\r\n\r\nb"
        got = await send_raw(host, port, first + second)
    assert got.count(b"HTTP/1.1 200") == 2
    assert got.index(b"id-1") < got.index(b"id-2")
    assert list_targets(runner) == ["/a/x", "/a/hidden"]


async def test_endless_headers_are_refused():
    """A caller sends header lines without end. Buffering them would exhaust the
    memory."""
    async with run_server() as (runner, host, port):
        lines = b"".join(b"X-%d: 1\r\n" % number for number in range(20_000))
        got = await send_raw(host, port, HEAD + lines + b"\r\n")
    assert got == b"" or got.split(b" ")[1] in (b"400", b"431")
    assert runner.heads == []


async def test_request_target_is_forwarded_unchanged():
    async with run_server() as (runner, host, port):
        head = HEAD.replace(b"/a/x", b"/a/%2e%2e/x%20y?q=%00&r=a+b")
        await send_raw_until_idle(host, port, head + b"Content-Length: 0\r\n\r\n")
    assert list_targets(runner) == ["/a/%2e%2e/x%20y?q=%00&r=a+b"]


async def test_websocket_upgrade_is_refused():
    async with run_server() as (runner, host, port):
        lines = b"Connection: Upgrade\r\nUpgrade: websocket\r\n"
        lines += b"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"
        lines += b"Sec-WebSocket-Version: 13\r\n\r\n"
        got = await send_raw_until_idle(
            host, port, HEAD.replace(b"POST", b"GET") + lines
        )
    assert b" 101 " not in got
    assert runner.heads == []


async def test_draining_relay_refuses_requests_it_may_not_finish():
    """A caller with an open connection sends a request four seconds after the relay was
    asked to shut down. The request was admitted, the grace period ended before its
    answer was complete, and the caller got an incomplete answer."""
    runner = ScriptedRunner(answer_normally)
    route = make_route(RetryPolicy.ONCE)
    async with run_relay(make_configuration(route), runner) as relay:
        relay.gateway.drain.begin(Shutdown(time.monotonic(), 8.0))
        assert (await relay.call()).status == 200
        relay.gateway.drain.begin(Shutdown(time.monotonic() - 4.0, 8.0))
        answer = await relay.call()
    assert answer.status == 503
    assert b"stopping" in answer.body and b"not run" in answer.body
    assert answer.headers["connection"] == "close"
    assert float(answer.headers["retry-after"]) < 0.1
    assert len(runner.heads) == 1


async def test_request_arriving_while_connections_close_does_not_run():
    """A caller sends a request while the relay closes connections at the end of a
    shutdown. If it were forwarded, it would run without an answer to the caller, whose
    retry would run it a second time."""
    runner = ScriptedRunner(answer_normally)
    route = make_route(RetryPolicy.ONCE)
    async with run_relay(make_configuration(route), runner) as relay:
        relay.gateway.drain.begin(Shutdown(time.monotonic(), 8.0))
        relay.gateway.drain.closing_connections = True
        answer = await relay.call()
    assert answer.status == 503 and b"not run" in answer.body
    assert runner.heads == []


async def exchange(stream, data):
    """Send bytes, and return the head and body of the answer with a length."""
    got = b""
    await stream.send(data)
    while b"\r\n\r\n" not in got:
        got += await stream.receive()
    head, _, body = got.partition(b"\r\n\r\n")
    length = int(find_header(head.decode(), "content-length"))
    while len(body) < length:
        body += await stream.receive()
    return head.decode().lower(), body


UNKNOWN = HEAD.replace(b"/a/x", b"/unknown/x")


@pytest.mark.parametrize(
    "line", [b"Content-Length: 3145728\r\n", b"Transfer-Encoding: chunked\r\n"]
)
async def test_refusal_before_the_end_of_a_body_says_that_it_closes(line):
    """Guards against a caller's pool that sends its next request into the close."""
    async with run_server() as (_, host, port):
        async with await anyio.connect_tcp(host, port) as stream:
            head, body = await exchange(stream, UNKNOWN + line + b"\r\n5\r\nhello")
            with (
                anyio.fail_after(2),
                pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)),
            ):
                await stream.receive()
    assert head.startswith("http/1.1 404 ") and body
    assert "\r\nconnection: close" in head


@pytest.mark.parametrize(
    "line, body", [(b"", b""), (b"Content-Length: 5\r\n", b"hello")]
)
async def test_refusal_of_a_complete_request_keeps_the_connection(line, body):
    """Guards against a new connection for each request that is refused."""
    async with run_server() as (_, host, port):
        async with await anyio.connect_tcp(host, port) as stream:
            for _ in range(2):
                head, _ = await exchange(stream, UNKNOWN + line + b"\r\n" + body)
                assert head.startswith("http/1.1 404 ")
                assert "\r\nconnection: close" not in head


async def test_incomplete_body_is_refused_with_deadline():
    """A caller's link is so slow that its request is incomplete at its deadline. A
    refusal that named a shutdown would mislead an operator who looks for the cause."""
    async with run_server() as (runner, host, port):
        head = HEAD.replace(b"3000", b"300") + b"Content-Length: 9\r\n\r\nhalf"
        got = await send_raw_until_idle(host, port, head)
    assert got.startswith(b"HTTP/1.1 504 ") and b"refusal:deadline" in got
    assert b"not run" in got and runner.heads == []


@pytest.mark.parametrize("size", [1, 2])
async def test_body_in_small_chunks_takes_no_more_memory_than_its_length(size):
    """Guards against small chunks that cost many times their length until the body is
    complete."""
    chunks = MAX_BODY_BYTES // 4 // size
    left = chunks

    async def receive():
        nonlocal left
        left -= 1
        body = bytes([left % 256]) * size
        return {"type": "http.request", "body": body, "more_body": left > 0}

    tracemalloc.start()
    try:
        body = await receive_body(receive, MAX_BODY_BYTES, float("inf"))
        peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert len(body) == chunks * size
    assert peak < MAX_BODY_BYTES
