"""One attempt to have a request answered by a runner."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import attrs

from ..events import Event, log_event
from .calls import Answered, Call, Failed, Failure
from .codecs import Headers
from .connections import ConnectionFailed, RunnerConnection
from .models import RunnerAnswer
from .selection import find_shared_part
from .streams import EventSplitter
from .views import RunnerView

FIRST_BYTE_FACTOR = 2.0
"""How many times a route's objective a runner may take to its first byte before a
request that may be repeated goes to another one. At twice the objective the answer is
late anyway, and what still comes then usually comes soon."""

FIRST_BYTE_SHARE = 0.4
"""And how much of the time that is left, so that another runner has more than half."""

STALL_FACTOR = 4.0
STALL_SECONDS = 1.0
"""Silence in the middle of a stream after which it goes on at another runner: so many
times the longest pause that callers aim at, and not less than this. A runner that
makes room for more urgent work is silent for some hundreds of milliseconds."""

SILENCE_SECONDS = 0.5
"""Wait after which an answer that hasn't begun says something of the runner. A route's
own time may be shorter than its work takes, which says nothing."""

BUSY_PROMPTS = 2.0
"""Prompts that wait at a runner, of the usual length, from which on its order of work
is told to it: a new prompt then waits about as long as it takes to read itself."""


MISDIRECTED = 421
"""Status by which a runner says that the request is meant for another one."""

SUCCESSES = range(200, 300)


@attrs.frozen
class StalledStream:
    """A run whose stream is silent for long, and may go on yet.

    Attributes:
        splitter: Has the part of an event that came last.
    """

    connection: RunnerConnection
    answer: RunnerAnswer
    splitter: EventSplitter


class Attempt:
    """One runner's turn.

    Args:
        call: The request.
        view: The runner.
        take_over: Called when this runner has begun a stream, before the caller gets
            any of it.
    """

    def __init__(
        self,
        call: Call,
        view: RunnerView,
        take_over: Callable[[], Awaitable[None]],
    ) -> None:
        self._call = call
        self._view = view
        self._take_over = take_over
        self._life = view.life
        self._unread = False
        self._ran_before = call.may_have_run
        self._stalled: StalledStream | None = None

    @property
    def stalled(self) -> bool:
        """Whether it failed by a silence, and its run may go on; `close` ends it."""
        return self._stalled is not None

    async def resume(self) -> Answered | Failed:
        """Pass on what the runner of a stalled stream still sends."""
        stalled, self._stalled = self._stalled, None
        assert stalled is not None
        connection, splitter = stalled.connection, stalled.splitter
        kept = False
        try:
            with anyio.move_on_after(self._call.measure_left()):
                chunks = connection.receive_body()
                data = await self._receive_events(chunks, splitter)
                outcome, kept = await self._relay_stream(
                    connection, stalled.answer, chunks, splitter, data
                )
                return outcome
            return Failed(Failure.SILENT, "the stream took too long")
        except ConnectionFailed as error:
            return self._fail(error)
        finally:
            if not self.stalled:
                await self._end(connection, kept)

    async def close(self) -> None:
        """End the run of a stalled stream."""
        stalled, self._stalled = self._stalled, None
        if stalled is not None:
            await self._end(stalled.connection, kept=False)

    async def run(self) -> Answered | Failed:
        """Send the request and pass on what the runner answers."""
        services = self._call.services
        services.runners.note_sent(
            self._view,
            self._call.request.prompt_tokens,
            self,
            self._call.ranks.busy,
            time.monotonic(),
        )
        self._unread = True
        runner = self._view.runner
        connection: RunnerConnection | None = None
        kept = False
        try:
            connection = await services.pool.take(
                self._life,
                runner.address,
                time.monotonic(),
                self._note_connection_time,
            )
            outcome, kept = await self._converse(connection)
            return outcome
        except ConnectionFailed as error:
            return self._fail(error)
        finally:
            self._note_begun()
            if not self.stalled:
                await self._end(connection, kept)

    def _fail(self, error: ConnectionFailed) -> Failed:
        """Take in that the connection failed."""
        late = self._call.services.pressure.is_late(time.monotonic())
        if not (error.silent and late):
            self._note_connection(error)
            self._note_failure(certain=not error.sent)
        failure = Failure.BROKEN if error.sent else Failure.NOT_SENT
        return Failed(failure, f"{error.step}: {error.detail}")

    async def _end(self, connection: RunnerConnection | None, kept: bool) -> None:
        """End the runner's turn; it stops its work if the connection isn't kept."""
        services = self._call.services
        services.runners.note_ended(self._view)
        if connection is not None and not kept:
            with anyio.CancelScope(shield=True):
                await services.pool.drop(self._life, connection)

    async def _converse(
        self, connection: RunnerConnection
    ) -> tuple[Answered | Failed, bool]:
        """Send the request on a connection; return also whether that can be kept."""
        call = self._call
        request = call.request
        began_at = time.monotonic()
        if call.measure_left() <= 0:
            return Failed(Failure.NOT_SENT, "no time left"), False
        headers = self._make_headers()
        call.arrivals += 1
        call.may_have_run = True
        answer: RunnerAnswer | None = None
        chunks: Any = None
        splitter = EventSplitter()
        first = b""
        try:
            with anyio.move_on_after(self._limit_first_byte()) as scope:
                await connection.send(
                    request.method, request.target, headers, call.body
                )
                answer = await self._receive_answer(connection)
                self._note_load(answer)
                self._note_limit(answer, began_at)
                if answer.identity == request.identity and _streams(answer):
                    chunks = connection.receive_body()
                    first = await self._receive_events(chunks, splitter)
        except anyio.get_cancelled_exc_class():
            # The caller has left; how long it waited says something all the same.
            self._note_wait(began_at)
            raise
        if answer is None or scope.cancelled_caught:
            self._note_wait(began_at)
            return Failed(Failure.SILENT, "no first byte in time"), False
        if answer.identity != request.identity:
            self._note_failure(certain=False)
            return Failed(Failure.BROKEN, f"an answer to {answer.identity!r}"), False
        if not _streams(answer):
            with anyio.move_on_after(call.measure_left()):
                return await self._take_whole(connection, answer, began_at)
            self._note_failure(certain=False)
            return Failed(Failure.SILENT, "the answer's body took too long"), False
        self._note_good(began_at)
        await self._take_over()
        return await self._relay_stream(connection, answer, chunks, splitter, first)

    def _note_wait(self, began_at: float) -> None:
        """Take in a wait in vain for the first byte of an answer."""
        if self._call.services.pressure.is_late(time.monotonic()):
            # What came in time was seen too late here; runners aren't to blame.
            return
        self._note_prompt(began_at, gave_up=True)
        if time.monotonic() - began_at >= SILENCE_SECONDS:
            self._note_silence()
            self._note_failure(certain=False)

    def _note_connection_time(self, seconds: float, now: float) -> None:
        """Take in how long a connection took, if it tells of this host's link.

        Behind a cut between data centres connections time out as well, and those that
        are kept tell nothing; only the own data centre's runners are always as near.
        """
        services = self._call.services
        if self._view.runner.data_centre == services.data_centre:
            services.pressure.note_connection(str(self._life), seconds, now)

    def _make_headers(self) -> Headers:
        call = self._call
        has_body = bool(call.body) or call.request.method not in ("GET", "HEAD")
        return call.services.codec.encode_request(
            call.request,
            self._view.runner,
            call.account,
            call.measure_left(),
            call.ranks.busy if self._is_busy() else call.ranks.calm,
            len(call.body) if has_body else None,
            call.progress.last,
        )

    def _is_busy(self) -> bool:
        """Return whether requests wait at a runner, so that their order matters."""
        mean = self._call.services.runners.mean_tokens
        unread = self._view.estimate_unread(mean, time.monotonic())
        return unread > self._call.request.prompt_tokens + BUSY_PROMPTS * mean

    async def _receive_answer(self, connection: RunnerConnection) -> RunnerAnswer:
        head = await connection.receive_head()
        headers = list(head.headers.raw_items())
        services = self._call.services
        answer = services.codec.decode_answer(head.status_code, headers)
        services.unread.note(answer.unread, self._view.runner.name)
        return answer

    def _limit_first_byte(self) -> float:
        """Return how long this attempt may take to its first byte, seconds."""
        route = self._call.route
        left = self._call.measure_left()
        last = self._call.arrivals >= route.max_runners
        if last or not route.repeatable:
            return left
        return min(FIRST_BYTE_FACTOR * route.objective, FIRST_BYTE_SHARE * left)

    async def _take_whole(
        self,
        connection: RunnerConnection,
        answer: RunnerAnswer,
        began_at: float,
    ) -> tuple[Answered | Failed, bool]:
        """Receive a whole answer, and pass it on if it is sound."""
        body = b"".join([chunk async for chunk in connection.receive_body()])
        kept = self._keep(connection, answer)
        if answer.not_run:
            self._call.may_have_run = self._ran_before
            if answer.status == MISDIRECTED:
                # The runner that it was meant for is gone and never got it; the one
                # that has its address now was not chosen, and hasn't run it either.
                # Counted, the only attempt of many routes was spent on it: a quarter
                # of all runners crashed at once, and 500 callers were refused while
                # the others had room.
                self._call.arrivals -= 1
            self._note_rejection(answer)
            detail = f"rejected with {answer.status}"
            return Failed(Failure.NOT_RUN, detail), kept
        if not answer.sealed:
            self._note_failure(certain=False)
            return Failed(Failure.BROKEN, "an answer without a seal"), kept
        if answer.status >= 500:
            self._note_failure(certain=False)
            detail = f"the runner failed with {answer.status}"
            name = self._view.runner.name
            return Failed(Failure.BROKEN, detail, answer, body, name), kept
        self._note_good(began_at)
        if self._call.delivery.started:
            return Failed(Failure.BROKEN, f"{answer.status} to a resumed run"), kept
        await self._call.delivery.send_whole(answer.status, list(answer.headers), body)
        return Answered(answer.status, self._view.runner.name), kept

    async def _receive_events(self, chunks: Any, splitter: EventSplitter) -> bytes:
        """Return the next events that the caller lacks; empty at the stream's end."""
        async for chunk in chunks:
            data = self._call.progress.select(splitter.feed(chunk))
            if data:
                return data
        return b""

    async def _relay_stream(
        self,
        connection: RunnerConnection,
        answer: RunnerAnswer,
        chunks: Any,
        splitter: EventSplitter,
        data: bytes,
    ) -> tuple[Answered | Failed, bool]:
        """Pass on a stream whose first events have come, to its end."""
        if not self._call.delivery.started and not answer.sealed:
            return Failed(Failure.BROKEN, "a stream without a seal"), False
        with anyio.move_on_after(self._call.measure_left()):
            while data:
                await self._send_part(answer, data)
                if not self._may_go_elsewhere():
                    # The time that is left bounds it already, and a bound for each
                    # event is dear where streams are most of the work.
                    data = await self._receive_events(chunks, splitter)
                    continue
                data = b""
                with anyio.move_on_after(self._limit_silence()) as silence:
                    data = await self._receive_events(chunks, splitter)
                if silence.cancelled_caught:
                    self._note_failure(certain=False)
                    self._stalled = StalledStream(connection, answer, splitter)
                    return Failed(Failure.SILENT, "the stream stalled"), False
            await self._send_part(answer, splitter.rest)
            kept = self._keep(connection, answer)
            await self._call.delivery.end()
            return Answered(answer.status, self._view.runner.name), kept
        return Failed(Failure.SILENT, "the stream took too long"), False

    async def _send_part(self, answer: RunnerAnswer, data: bytes) -> None:
        await self._call.delivery.send_part(answer.status, list(answer.headers), data)

    def _may_go_elsewhere(self) -> bool:
        """Return whether a stream that stalls may go on at another runner."""
        route = self._call.route
        return route.resumable and self._call.arrivals < route.max_runners

    def _limit_silence(self) -> float:
        """Return how long a stream may be silent before it goes on elsewhere."""
        return max(STALL_SECONDS, STALL_FACTOR * self._call.route.gap)

    def _keep(self, connection: RunnerConnection, answer: RunnerAnswer) -> bool:
        if not connection.finish():
            return False
        self._call.services.pool.keep(
            self._life, connection, answer.idle_seconds, time.monotonic()
        )
        return True

    def _note_good(self, began_at: float) -> None:
        """Take in that the runner gives a sound answer."""
        call, now = self._call, time.monotonic()
        call.services.runners.note_answer(self._view, now - began_at, now)
        call.services.suspects.note_good(call.fingerprint, now)
        self._note_begun()
        self._note_prompt(began_at, gave_up=False)
        if call.request.parts:
            shared = find_shared_part(call.request.parts)
            call.services.runners.note_prefix(shared.name, self._view, now)

    def _note_prompt(self, began_at: float, gave_up: bool) -> None:
        """Take in how long a prompt waited at the runner."""
        if self._call.request.parts:
            now = time.monotonic()
            runners = self._call.services.runners
            runners.note_wait(self._view, now - began_at, gave_up, now)

    def _note_begun(self) -> None:
        if self._unread:
            tokens = self._call.request.prompt_tokens
            self._call.services.runners.note_begun(self._view, tokens, self)
            self._unread = False

    def _note_load(self, answer: RunnerAnswer) -> None:
        if answer.running is not None and answer.waiting is not None:
            self._call.services.runners.note_load(
                self._view, answer.running, answer.waiting, time.monotonic()
            )

    def _note_limit(self, answer: RunnerAnswer, sent_at: float) -> None:
        """Take in the limit that the runner names, or that it names none any more."""
        call = self._call
        if answer.status == MISDIRECTED or answer.identity != call.request.identity:
            return
        if answer.limit is None and answer.status not in SUCCESSES:
            # Rejections and errors may be made before the runner looks at the rest.
            return
        news = call.services.runners.note_limit(
            self._view, answer.limit, time.monotonic(), sent_at
        )
        if news is not None:
            log_event(
                Event.RUNNER_LIMITED,
                runner=news.runner,
                limit=news.rate,
                request=call.request.identity,
            )
            call.services.tell_limit(news)

    def _note_rejection(self, answer: RunnerAnswer) -> None:
        if answer.status == MISDIRECTED:
            self._note_failure(certain=True)
            if answer.runner is not None:
                self._call.services.note_successor(self._view.runner, answer.runner)
        else:
            self._call.services.runners.note_full(self._view, time.monotonic())

    def _note_connection(self, error: ConnectionFailed) -> None:
        services, life = self._call.services, str(self._life)
        now = time.monotonic()
        if error.silent:
            self._note_silence()
        if error.sent:
            services.suspects.note_break(life, self._call.fingerprint, now)
            return
        lines = services.suspects.note_crash(life, now)
        if lines:
            log_event(Event.RUNNER_CRASHED, runner=life, suspects=len(lines))
            services.tell_suspects(lines)

    def _note_silence(self) -> None:
        if self._call.services.runners.note_silence(self._view, time.monotonic()):
            log_event(
                Event.DATA_CENTRE_SILENT,
                data_centre=self._view.runner.data_centre,
                runner=self._view.runner.name,
                request=self._call.request.identity,
            )

    def _note_failure(self, certain: bool) -> None:
        runners = self._call.services.runners
        if runners.note_failure(self._view, time.monotonic(), certain):
            log_event(
                Event.RUNNER_EJECTED,
                runner=self._view.runner.name,
                endpoint=self._view.runner.endpoint,
                seconds=self._view.ejection,
                failing=round(self._view.failing, 2),
            )


def _streams(answer: RunnerAnswer) -> bool:
    return answer.event_stream and answer.status == 200
