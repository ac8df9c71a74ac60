"""Following the answer of a run on another router."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import aclosing
from dataclasses import dataclass

from .outcomes import Failure, Unknown
from .peers import PeerClients
from .runs import Chunk, End, RunTable, Waiting
from .wire.peers_pb2 import FollowChunk, FollowRequest, Sender

FOLLOW_ATTEMPTS = 3
"""Connections tried in a row without word of the run. The first may have gone silent
and the second may meet the same fault; a third that brings nothing means that the
router is gone, and its caller waits no longer."""

APPEAR_SECONDS = 0.1
"""Time for a run to begin that its home has just named. Of two copies of a request
that reach two routers within a millisecond, the second may ask to follow before the
first has begun; told that there is no run, it would run the request as well."""

WAITING_SECONDS = 1.0
"""Time without a chunk after which the follower is told that the run still goes on.
A request may wait in a queue for longer than a connection may be silent; without word
the follower would give the run up and begin a second one."""

STEP = "followers.follow"


@dataclass(frozen=True)
class Head:
    """Status and content type of an answer, before its first chunk."""

    status: int
    content_type: str


@dataclass(frozen=True)
class NoRun:
    """The other router has no such run."""


async def give_chunks(
    table: RunTable, request: FollowRequest
) -> AsyncIterator[FollowChunk]:
    """Answer a follow request from the table of runs."""
    run = await table.wait_for(request.account, request.identity, APPEAR_SECONDS)
    if run is None or request.offset < run.first:
        yield FollowChunk(missing=True)
        return
    named = headed = False
    async with aclosing(run.follow(request.offset, WAITING_SECONDS)) as items:
        async for item in items:
            message = _make_message(item)
            if not named:
                named = True
                message.identity = f"{request.account}:{request.identity}"
            if not headed and not message.waiting:
                headed = True
                message.status = run.status
                message.content_type = run.content_type
            yield message


async def follow_run(
    clients: PeerClients,
    address: str,
    sender: Sender,
    account: str,
    identity: str,
    silence_seconds: float,
    offset: int = 0,
) -> AsyncIterator[Head | Chunk | End | NoRun | Failure]:
    """Give the answer of a run on another router, each chunk once and in order.

    A connection that breaks or goes silent is replaced, and the new one is asked for
    the chunks from the first one that is lacking. Only ``End(whole=True)`` says that
    the answer is complete; `NoRun` or a failure is the last item otherwise.

    Args:
        clients: Clients of the peers.
        address: The other router's peer service.
        sender: This router.
        account: Name of the client account.
        identity: The request's identity.
        silence_seconds: Longest wait for a chunk on one connection.
        offset: First chunk wanted.
    """
    reader = _Reader(address, f"{account}:{identity}", offset)
    failures = 0
    while failures < FOLLOW_ATTEMPTS:
        request = FollowRequest(
            sender=sender, account=account, identity=identity, offset=reader.offset
        )
        reader.begin_connection()
        stream = clients.follow(address, request, silence_seconds)
        async with aclosing(stream) as messages:
            async for message in messages:
                for item in reader.take(message):
                    yield item
                if reader.ended:
                    return
                if reader.failure is not None:
                    break
                failures = 0
        failures += 1
    yield reader.failure


class _Reader:
    """What of an answer has come, over one connection after another; pure.

    Attributes:
        offset: The next chunk wanted.
        ended: Whether the last item has come.
        failure: What was wrong with the present connection.
    """

    def __init__(self, address: str, run: str, offset: int) -> None:
        self.offset = offset
        self.ended = False
        self.failure: Failure | None = None
        self._address = address
        self._run = run
        self._named = False
        self._headed = False

    def begin_connection(self) -> None:
        """Expect the first message of a new connection."""
        self.failure = None
        self._named = False

    def take(
        self, message: FollowChunk | Failure
    ) -> tuple[Head | Chunk | End | NoRun, ...]:
        """Take a message; return what it adds to the answer."""
        if isinstance(message, Failure):
            self.failure = message
            return ()
        if message.missing:
            self.ended = True
            return (NoRun(),)
        if not self._named and message.identity != self._run:
            return self._fail("another request's answer")
        self._named = True
        if message.offset != self.offset:
            return self._fail(f"chunk {message.offset} in place of {self.offset}")
        if message.waiting:
            return ()
        head = () if self._headed else (Head(message.status, message.content_type),)
        self._headed = True
        if message.last or message.cut:
            self.ended = True
            return (*head, End(self.offset, message.last))
        self.offset += 1
        return (*head, Chunk(message.offset, message.data))

    def _fail(self, detail: str) -> tuple[()]:
        self.failure = Unknown(STEP, self._address, detail)
        return ()


def _make_message(item: Chunk | End | Waiting) -> FollowChunk:
    if isinstance(item, End):
        return FollowChunk(offset=item.offset, last=item.whole, cut=not item.whole)
    if isinstance(item, Waiting):
        return FollowChunk(offset=item.offset, waiting=True)
    return FollowChunk(offset=item.offset, data=item.data)
