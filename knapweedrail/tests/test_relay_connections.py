"""Bodies as they come from runners: what goes past the parser, and how fast."""

import contextlib
import time

import anyio
import h11
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ..relay.connections import ConnectionFailed, RunnerConnection, open_connection
from ..relay.sockets import MOST_WAITING_BYTES
from .relays_in_memory import make_chunk

HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"

PIECES = st.one_of(
    st.binary(min_size=1, max_size=40).map(make_chunk),
    st.sampled_from(
        [
            make_chunk(b"id: 1\ndata: a\n\n"),
            make_chunk(b"\r\n5\r\n"),
            make_chunk(b""),
            b"5;name=value\r\nhello\r\n",
            b"0005\r\nhello\r\n",
            b"5\r\nhello5\r\nhello\r\n",
            b"5 \r\nhello\r\n",
            b"0\r\ntrailer: x\r\n\r\n",
            b"-1\r\nx\r\n",
        ]
    ),
)


class ScriptedStream:
    """Gives out the reads that it was made with, and then the end."""

    def __init__(self, reads):
        self._reads = list(reads)

    async def send(self, data):
        pass

    async def receive(self):
        return self._reads.pop(0) if self._reads else b""


async def read_body(reads):
    """Return what a connection makes of some reads, and how that ended."""
    connection = RunnerConnection(ScriptedStream(reads), "runner")
    await connection.send("GET", b"/", [(b"host", b"h")], b"")
    await connection.receive_head()
    body = b""
    try:
        async for part in connection.receive_body():
            body += part
    except ConnectionFailed:
        return body, None
    return body, connection.finish()


def parse_body(data):
    """Return the same by the library's parser alone."""
    parser = h11.Connection(h11.CLIENT)
    request = h11.Request(method="GET", target="/", headers=[("host", "h")])
    parser.send(request)
    parser.send(h11.EndOfMessage())
    parser.receive_data(HEAD + data)
    parser.receive_data(b"")
    body = b""
    with contextlib.suppress(h11.RemoteProtocolError):
        while True:
            event = parser.next_event()
            if isinstance(event, h11.Data):
                body += bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                return body, not parser.trailing_data[0]
    return body, None


@settings(deadline=None, max_examples=400)
@given(st.lists(PIECES, max_size=8), st.lists(st.integers(0, 300), max_size=8))
def test_a_body_reads_as_the_parser_alone_reads_it(pieces, cuts):
    """Chunks that go past the parser are read by code of ours. Where the two differ,
    a caller gets bytes that no runner meant for it, or the next caller gets them."""
    data = HEAD + b"".join(pieces)
    marks = sorted({len(HEAD) + cut for cut in cuts if len(HEAD) + cut < len(data)})
    edges = [0, *marks, len(data)]
    reads = [data[a:b] for a, b in zip(edges, edges[1:], strict=False)]
    assert anyio.run(read_body, reads) == parse_body(data[len(HEAD) :])


@contextlib.asynccontextmanager
async def connect_to(respond):
    """Open a connection to a runner that does what `respond` says."""
    async with anyio.create_task_group() as group:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        group.start_soon(listener.serve, respond)
        connection = await open_connection(f"127.0.0.1:{port}")
        try:
            await connection.send("GET", b"/", [(b"host", b"h")], b"")
            yield connection
        finally:
            await connection.close()
            group.cancel_scope.cancel()


@pytest.mark.anyio
async def test_events_of_one_read_go_on_together_and_one_alone_at_once():
    """A runner writes three events at once, and then one more. Its caller has the
    three by one write, and the last one doesn't wait for others to join it."""
    event = make_chunk(b"data: x\n\n")
    arrived = anyio.Event()

    async def respond(stream):
        await stream.receive()
        await stream.send(HEAD)
        await stream.send(event * 3)
        await arrived.wait()
        await stream.send(event)
        await anyio.sleep_forever()

    async with connect_to(respond) as connection:
        await connection.receive_head()
        body = connection.receive_body()
        assert await anext(body) == b"data: x\n\n" * 3
        began_at = time.monotonic()
        arrived.set()
        assert await anext(body) == b"data: x\n\n"
        assert time.monotonic() - began_at < 0.1


@pytest.mark.anyio
async def test_a_runner_whose_bytes_nobody_takes_is_held_up():
    """A caller takes its stream slowly, or not at all. Were the runner's bytes read all
    the same, one such caller would fill the memory of its host."""
    sent = 0

    async def respond(stream):
        nonlocal sent
        await stream.receive()
        await stream.send(HEAD)
        while True:
            await stream.send(make_chunk(b"x" * 60_000))
            sent += 60_000

    async with connect_to(respond) as connection:
        await connection.receive_head()
        before = -1
        with anyio.fail_after(10):
            while before != sent:
                before = sent
                await anyio.sleep(0.3)
        assert len(connection._stream._waiting) < MOST_WAITING_BYTES + 2**18
        taken = 0
        body = connection.receive_body()
        with anyio.fail_after(10):
            while taken < sent or sent == before:
                taken += len(await anext(body))


@pytest.mark.anyio
@pytest.mark.parametrize("spare", [b"HTTP/1.1 200 OK\r\n\r\n", None])
async def test_a_kept_connection_that_something_came_on_is_not_quiet(spare):
    """A runner answers twice, or closes, while its connection is kept. The bytes are
    read at once now, and no longer wait with the kernel until the next request."""
    told = anyio.Event()

    async def respond(stream):
        await stream.receive()
        await stream.send(HEAD + make_chunk(b""))
        await told.wait()
        await (stream.send(spare) if spare else stream.send_eof())
        await anyio.sleep_forever()

    async with connect_to(respond) as connection:
        await connection.receive_head()
        assert [part async for part in connection.receive_body()] == []
        assert connection.finish() and connection.is_quiet()
        told.set()
        await anyio.sleep(0.1)
        assert not connection.is_quiet()
