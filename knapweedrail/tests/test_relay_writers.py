"""Streams written past the server's own steps: the same bytes, and nothing lost."""

import contextlib

import anyio
import pytest

from ..relay.deliveries import Delivery
from ..relay.writers import find_writer
from ..servers import HttpServer, ServerLimits

pytestmark = pytest.mark.anyio

EVENTS = [b"data: %d\n\n" % number for number in range(5)]
CHUNKED = b"".join(b"9\r\n%b\r\n" % event for event in EVENTS) + b"0\r\n\r\n"


class Door:
    """Answers with a stream, and notes how its parts are written."""

    def __init__(self, events=EVENTS):
        self.events = events
        self.writers = []
        self.sent = 0
        self.messages = []

    async def __call__(self, scope, receive, send):
        delivery = Delivery(send, lambda: False)
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch, receive, group.cancel_scope)
            for event in self.events:
                await delivery.send_part(200, [(b"x", b"y")], event)
                self.writers.append(find_writer(send))
                self.sent += 1
                # As a runner's next event does, this lets other tasks run.
                await anyio.sleep(0)
            await delivery.end()
            group.cancel_scope.cancel()

    async def _watch(self, receive, scope):
        while (await receive())["type"] != "http.disconnect":
            pass
        self.messages.append("gone")
        scope.cancel()


@contextlib.asynccontextmanager
async def run_door(door):
    async with anyio.create_task_group() as group:
        server = HttpServer(door, "127.0.0.1:0", ServerLimits())
        await server.start(group)
        port = int(server.address.rpartition(":")[2])
        async with await anyio.connect_tcp("127.0.0.1", port) as caller:
            yield caller
        await server.close(0.1)


async def read_answer(caller, end):
    answer = b""
    with anyio.fail_after(5):
        while not answer.endswith(end):
            answer += await caller.receive()
    return answer.partition(b"\r\n\r\n")[2]


async def test_a_stream_is_written_past_the_servers_steps_and_the_connection_is_kept():
    """The short way depends on how the server's parts hang together. After an update
    of the library it may not be found any more, and every event costs more again."""
    door = Door()
    async with run_door(door) as caller:
        for _ in range(2):
            await caller.send(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
            assert await read_answer(caller, b"0\r\n\r\n") == CHUNKED
    assert len(door.writers) == 10 and all(door.writers)


@pytest.mark.parametrize(
    ("line", "body"),
    [(b"GET / HTTP/1.0", b"".join(EVENTS)), (b"HEAD / HTTP/1.1", b"")],
)
async def test_other_answers_keep_the_servers_own_framing(line, body):
    """An old caller knows no chunks, and an answer to HEAD has none: their sizes would
    be taken for content, or for the next answer."""
    door = Door()
    async with run_door(door) as caller:
        await caller.send(line + b"\r\nhost: h\r\nconnection: close\r\n\r\n")
        answer = b""
        with contextlib.suppress(anyio.EndOfStream):
            while True:
                answer += await caller.receive()
    assert answer.partition(b"\r\n\r\n")[2] == body
    assert door.writers == [None] * 5


async def test_a_caller_that_leaves_in_the_middle_is_noticed():
    """A caller closes its connection while its stream comes. A runner would go on
    working for it, and its tokens would be spent."""
    door = Door(events=iter(lambda: b"x" * 10_000, None))
    async with run_door(door) as caller:
        await caller.send(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
        await caller.receive()
        await caller.aclose()
        with anyio.fail_after(5):
            while not door.messages:
                await anyio.sleep(0.01)


async def test_a_slow_caller_holds_up_the_one_who_writes():
    """A caller takes nothing. Were its stream written on, its host's memory would fill
    with what the runner sends."""
    door = Door(events=iter(lambda: b"x" * 60_000, None))
    async with run_door(door) as caller:
        await caller.send(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
        before = -1
        with anyio.fail_after(10):
            while before != door.sent:
                before = door.sent
                await anyio.sleep(0.3)
            while door.sent == before:
                await caller.receive()
