"""Runs of model engines: streamed, resumed, retried, settled once."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import Any

import anyio
import attrs
import orjson

from .budget_messages import Reservation
from .calls import SHORT_ANSWER_TOKENS, Generation
from .endpoints import (
    Completed,
    Crossed,
    EngineCall,
    EngineClient,
    Invalid,
    Piece,
    RunLost,
    Silent,
    Usage,
)
from .jobs import RETURN_SECONDS, Job, replace_ran
from .models import Bill, Runner
from .outcomes import Failure, Ran, Refusal, RefusalKind, Unavailable, Unknown
from .schedulers import FirstByte
from .work import Ended, EndedKind, Work

RESUMES = 3
"""Times that one run is resumed on a new connection. A lost connection is one; a
runner that stays silent through three has more wrong than its connections."""

SHORT_PRIORITY = 0
LONG_PRIORITY = 1
"""Priorities given to engines: someone waits in person for a short answer."""


@dataclass(frozen=True)
class Gone(Unknown):
    """The runner of a run that had begun can't be reached any more."""


@attrs.define
class Attempt:
    """One run at one runner, as it goes.

    Attributes:
        runner: Where it runs.
        began: Seconds at its start.
        first: Seconds until its first chunk, once it came.
        pieces: Chunks so far.
        usage: The engine's count, once it came.
        broke: How its first connection ended, when that wasn't the run's end.
    """

    runner: Runner
    began: float
    first: float | None = None
    pieces: int = 0
    usage: Usage | None = None
    broke: Unknown | None = None

    def describe_end(self, kind: EndedKind) -> Ended:
        """Return the end as the scheduler wants it."""
        return Ended(kind, self.first, time.monotonic() - self.began)


class GenerationJob(Job):
    """One answer of a model engine, for all callers that ask under its identity."""

    client: EngineClient

    def __init__(self, generation: Generation, *common: Any) -> None:
        super().__init__(*common)
        self.generation = generation
        self._held_back: list[bytes] = []
        self._ran = Ran.NOT_RUN

    @property
    def identity(self) -> str:
        return f"{self.generation.account.name}:{self.generation.identity}"

    async def carry_out(self) -> None:
        began = time.monotonic()
        reservation = await self._reserve_worst_case(began)
        if isinstance(reservation, Refusal):
            self.end(reservation)
            return
        work = self._describe_work(began)
        placed = await self.hold(reservation, self.place(work))
        while not isinstance(placed, Refusal):
            attempt = Attempt(placed.runner, time.monotonic())
            end = await self._attempt(work, attempt, reservation)
            if isinstance(end, Completed | Refusal):
                return
            ended = attempt.describe_end(_classify(end, attempt))
            if isinstance(end, Unknown):
                # The broken run may have used all that was reserved for it, so a
                # new one needs a reservation of its own.
                self._ran = Ran.UNKNOWN
                reservation = await self._reserve_worst_case(began)
                if isinstance(reservation, Refusal):
                    await self.report(work, attempt.runner, ended)
                    self.end(replace_ran(reservation, self._ran))
                    return
            again = self.place_again(work, attempt.runner, ended)
            placed = await self.hold(reservation, again)
        await self.cancel(reservation)
        self.end(replace_ran(placed, self._ran))

    async def _reserve_worst_case(self, began: float) -> Reservation | Refusal:
        generation = self.generation
        tokens = generation.prompt_bound + generation.max_answer_tokens
        left = began + generation.deadline_seconds - time.monotonic()
        return await self.reserve(generation.account.budget, tokens, max(left, 0.0))

    def _describe_work(self, began: float) -> Work:
        generation = self.generation
        return Work(
            id=self.identity,
            account=generation.account.name,
            deadline=began + generation.deadline_seconds,
            weight=generation.account.weight,
            fingerprint=generation.fingerprint,
            prefix_hash=generation.prefix_hash,
            prompt_tokens=generation.prompt_bound,
            max_answer_tokens=generation.max_answer_tokens,
            short=generation.max_answer_tokens <= SHORT_ANSWER_TOKENS,
        )

    async def _attempt(
        self, work: Work, attempt: Attempt, reservation: Reservation
    ) -> Completed | Refusal | Unavailable | Unknown:
        try:
            end = await self._stream_with_resumes(attempt)
        except anyio.get_cancelled_exc_class():
            with anyio.CancelScope(shield=True):
                await self._stop(work, attempt, reservation)
            raise
        if isinstance(end, Completed):
            await self._complete(work, attempt, reservation)
            return end
        ended = attempt.describe_end(_classify(end, attempt))
        if isinstance(end, Invalid):
            await self.report(work, attempt.runner, ended)
            await self.cancel(reservation)
            return self._refuse_invalid(end)
        if isinstance(end, Unavailable):
            return end
        await self.settle(reservation, reservation.tokens, None)
        if self.record.chunks:
            await self.report(work, attempt.runner, ended)
            return self._refuse_broken(end)
        self._held_back.clear()
        return end

    async def _stream_with_resumes(
        self, attempt: Attempt
    ) -> Completed | Unavailable | Unknown:
        end = await self._stream(attempt, None)
        for _ in range(RESUMES):
            # A stream that broke, fell silent or brought another's chunk goes on
            # over a new connection, from the first chunk not yet had: the run
            # itself is mostly fine, and what was lost is the connection.
            if not isinstance(end, Unknown) or isinstance(end, RunLost):
                return end
            attempt.broke = attempt.broke or end
            end = await self._stream(attempt, attempt.pieces)
            if isinstance(end, Unavailable):
                # The run had begun; that its runner can't be reached now leaves
                # open what it used.
                return Gone(end.step, end.peer, end.detail)
        return end

    async def _stream(
        self, attempt: Attempt, resume: int | None
    ) -> Completed | Unavailable | Unknown:
        call = EngineCall(
            identity=self.identity,
            body=self.generation.body,
            priority=self._choose_priority(),
            holder=self.holder,
        )
        end: Any = Unknown("engine.stream", attempt.runner.address, "no answer")
        stream = self.client.stream(attempt.runner.address, call, resume)
        async for item in stream:
            if not isinstance(item, Piece):
                end = item
                break
            if attempt.pieces >= self._cap():
                end = Completed()
                await self._cut_at_cap(attempt)
                break
            self._take(attempt, item)
        await stream.aclose()
        return end

    def _choose_priority(self) -> int:
        if self.generation.max_answer_tokens <= SHORT_ANSWER_TOKENS:
            return SHORT_PRIORITY
        return LONG_PRIORITY

    def _cap(self) -> int:
        # The first and the last chunk may carry no token of the answer.
        return self.generation.max_answer_tokens + 2

    def _take(self, attempt: Attempt, piece: Piece) -> None:
        if attempt.first is None:
            attempt.first = time.monotonic() - attempt.began
            self.scheduler.tell(FirstByte(self.identity))
        attempt.pieces += 1
        if piece.usage is not None:
            attempt.usage = piece.usage
        if self.generation.streamed:
            self.record.append(piece.data)
            self.started.set()
        else:
            # Nobody reads a whole answer before its end, so until then another
            # runner can still begin it anew.
            self._held_back.append(piece.data)

    async def _cut_at_cap(self, attempt: Attempt) -> None:
        # An engine that runs past the largest answer would spend tokens that
        # nobody reserved: the router stops it and closes the answer itself.
        attempt.usage = await self.client.stop(attempt.runner.address, self.identity)
        closing = {
            "id": self.identity,
            "object": "chat.completion.chunk",
            "model": self.generation.route.name,
            "choices": [{"index": 0, "delta": {}, "finish_reason": "length"}],
        }
        self._take(attempt, Piece(attempt.pieces, orjson.dumps(closing)))

    async def _complete(
        self, work: Work, attempt: Attempt, reservation: Reservation
    ) -> None:
        used = reservation.tokens
        if attempt.usage is not None:
            used = attempt.usage.total
        # The bill is on its way to the ledger before the end mark reaches the
        # caller, so an answer that was seen whole is not billed a second time.
        await self.settle(reservation, used, self._make_bill(used))
        for data in self._held_back:
            self.record.append(data)
        self.record.finish(True, time.monotonic())
        self.started.set()
        await self.report(work, attempt.runner, attempt.describe_end(EndedKind.OK))

    async def _stop(
        self, work: Work, attempt: Attempt, reservation: Reservation
    ) -> None:
        usage = await self.client.stop(attempt.runner.address, self.identity)
        used = usage.total if usage is not None else reservation.tokens
        bill = self._make_bill(usage.total) if usage is not None else None
        await self.settle(reservation, used, bill)
        await self.report(
            work, attempt.runner, attempt.describe_end(EndedKind.CANCELLED)
        )

    def _make_bill(self, tokens: int) -> Bill:
        generation = self.generation
        return Bill(
            account=generation.account.name,
            identity=generation.identity,
            budget=generation.account.budget,
            tokens=tokens,
            route=generation.route.name,
            seconds=time.time(),
        )

    def _refuse_invalid(self, end: Invalid) -> Refusal:
        said = end.body[:500].decode(errors="replace")
        detail = f"the engine found fault with the request: {said}"
        refusal = Refusal(
            end.step, end.peer, detail, RefusalKind.BAD_REQUEST, Ran.NOT_RUN
        )
        self.end(refusal)
        return refusal

    def _refuse_broken(self, end: Unknown) -> Refusal:
        # Callers have seen a part of this answer; another run would give them
        # another answer's rest. They are told, and a retry gets a whole one.
        refusal = Refusal(
            end.step,
            end.peer,
            f"the answer broke off: {end.detail}",
            RefusalKind.ENDPOINT_FAILED,
            Ran.UNKNOWN,
            RETURN_SECONDS,
        )
        self.end(refusal)
        return refusal


def _classify(end: Failure, attempt: Attempt) -> EndedKind:
    """Say what an end tells of the runner.

    A crash counts against the request's content, and a few crashes have it refused
    everywhere. So a runner counts as crashed only if it can't be reached any more, or
    has forgotten a run that it had begun to answer. A run of which it knows nothing
    after a silence never reached it: something between the two ends had lost track of
    the connection, which happens to all requests on such connections at once.
    """
    match end:
        case Unavailable():
            return EndedKind.REFUSED
        case Gone():
            return EndedKind.CRASHED
        case RunLost() if isinstance(attempt.broke, Silent):
            return EndedKind.SILENT
        case RunLost():
            return EndedKind.CRASHED if attempt.pieces else EndedKind.FAILED
        case Silent():
            return EndedKind.SILENT
        case Crossed():
            return EndedKind.FAILED
        case _:
            return EndedKind.CRASHED
