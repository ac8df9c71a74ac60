"""Following the answer of a run on another router."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import aclosing
from dataclasses import dataclass

from .outcomes import Failure, Unknown
from .peers import PeerClients
from .runs import Chunk, End, Run, RunTable
from .wire.peers_pb2 import FollowChunk, FollowRequest, Sender

FOLLOW_ATTEMPTS = 3
"""Connections tried in a row without a new chunk. The first may have gone silent and
the second may meet the same fault; a third that brings nothing means that the router
is gone, and its caller waits no longer."""

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
    run = table.get(request.account, request.identity)
    if run is None:
        yield FollowChunk(missing=True)
        return
    named = False
    async with aclosing(run.follow(request.offset)) as items:
        async for item in items:
            message = _make_message(item)
            if not named:
                _name(message, run)
                named = True
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
    headed = False
    failures = 0
    while True:
        request = FollowRequest(
            sender=sender, account=account, identity=identity, offset=offset
        )
        first = True
        failure: Failure | None = None
        stream = clients.follow(address, request, silence_seconds)
        async with aclosing(stream) as messages:
            async for message in messages:
                if isinstance(message, Failure):
                    failure = message
                    break
                if message.missing:
                    yield NoRun()
                    return
                if first and message.identity != f"{account}:{identity}":
                    failure = Unknown(STEP, address, "another request's answer")
                    break
                if message.offset != offset:
                    failure = Unknown(STEP, address, f"chunk {message.offset}")
                    break
                first = False
                if not headed:
                    headed = True
                    yield Head(message.status, message.content_type)
                if message.last or message.cut:
                    yield End(offset, message.last)
                    return
                failures = 0
                yield Chunk(offset, message.data)
                offset += 1
        failures += 1
        if failures >= FOLLOW_ATTEMPTS:
            yield failure or Unknown(STEP, address, "no end")
            return


def _make_message(item: Chunk | End) -> FollowChunk:
    if isinstance(item, End):
        return FollowChunk(offset=item.offset, last=item.whole, cut=not item.whole)
    return FollowChunk(offset=item.offset, data=item.data)


def _name(message: FollowChunk, run: Run) -> None:
    message.identity = f"{run.key.account}:{run.key.identity}"
    message.status = run.status
    message.content_type = run.content_type
