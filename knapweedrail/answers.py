"""An answer as its caller gets it, wherever its run is."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import aclosing

import anyio.abc

from .calls import Generation, Visit
from .followers import Head, NoRun, follow_run
from .homes import RunningAt
from .intake import Intake, Opened
from .members import MembershipTask
from .models import Holder
from .outcomes import Failure, Ran, Refusal, RefusalKind
from .peers import PeerClients
from .runs import Chunk, End

Item = Head | Chunk | End | Refusal
"""Parts of an answer: its head, its chunks in order, then its end or a refusal."""

SEARCHES = 3
"""Routers at which the run of an identity is looked for. Each that hasn't got it is
named to the home, so a second search is rare and a third means that homes move."""

RETURN_SECONDS = 1.0


class Answers:
    """Gives callers the answers of runs in this router and in others.

    Args:
        group: Task group for what outlives a caller.
        intake: The runs of this router.
        membership: Names this router to others.
        clients: Clients of the other routers.
        silence_seconds: Longest silence of another router's run.
    """

    def __init__(
        self,
        group: anyio.abc.TaskGroup,
        intake: Intake,
        membership: MembershipTask,
        clients: PeerClients,
        silence_seconds: float,
    ) -> None:
        self._group = group
        self._intake = intake
        self._membership = membership
        self._clients = clients
        self.silence_seconds = silence_seconds

    async def give(self, call: Generation | Visit) -> AsyncIterator[Item]:
        """Give the answer to a call; `End` is whole, a `Refusal` is final."""
        gone: Holder | None = None
        for _ in range(SEARCHES):
            opened = await self._intake.open(call, gone)
            if isinstance(opened, Refusal):
                yield opened
                return
            if isinstance(opened, Opened):
                async with aclosing(self._give_local(call, opened)) as items:
                    async for item in items:
                        yield item
                return
            begun = False
            async with aclosing(self._give_remote(call, opened)) as items:
                async for item in items:
                    begun = begun or isinstance(item, Chunk)
                    # Until a chunk has come, this router can do the work as well.
                    if isinstance(item, Refusal) and not begun:
                        break
                    yield item
                    if isinstance(item, End | Refusal):
                        return
            gone = opened.holder
        yield _refuse_cut("router.search", "the run was not found where it was named")

    async def _give_local(
        self, call: Generation | Visit, opened: Opened
    ) -> AsyncIterator[Item]:
        job = opened.job
        if job is not None:
            job.join()
        try:
            if job is not None:
                await job.started.wait()
                if job.refusal is not None and not opened.run.chunks:
                    yield job.refusal
                    return
            yield Head(opened.run.status, opened.run.content_type)
            async with aclosing(opened.run.follow()) as items:
                async for item in items:
                    if isinstance(item, End) and not item.whole:
                        refusal = job.refusal if job is not None else None
                        yield refusal or _refuse_cut("router.run", "the run ended")
                        return
                    yield item
        finally:
            if job is not None:
                self._group.start_soon(job.leave, call.named)

    async def _give_remote(
        self, call: Generation | Visit, place: RunningAt
    ) -> AsyncIterator[Item]:
        stream = follow_run(
            self._clients,
            place.peer_address,
            self._membership.make_sender(),
            call.account.name,
            call.identity,
            self.silence_seconds,
        )
        async with aclosing(stream) as items:
            async for item in items:
                if isinstance(item, NoRun):
                    yield _refuse_cut("peers.follow", "no such run", place.peer_address)
                    return
                if isinstance(item, Failure):
                    yield _refuse_cut(item.step, item.detail, item.peer)
                    return
                if isinstance(item, End) and not item.whole:
                    detail = "the run ended before its answer"
                    yield _refuse_cut("peers.follow", detail, place.peer_address)
                    return
                yield item


def _refuse_cut(step: str, detail: str, peer: str = "router") -> Refusal:
    return Refusal(
        step,
        peer,
        detail,
        RefusalKind.ENDPOINT_FAILED,
        Ran.UNKNOWN,
        RETURN_SECONDS,
    )
