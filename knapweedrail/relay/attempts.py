"""One attempt to have a request answered by a runner."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import attrs

from ..events import Event, log_event
from .calls import Answered, AttemptFailed, FailureKind, RequestContext
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

UNRESPONSIVE_SECONDS = 0.5
"""Wait after which an answer that hasn't begun says something of the runner. A route's
own time may be shorter than its work takes, which says nothing."""

QUEUED_PROMPTS = 2.0
"""Prompts that wait at a runner, of the usual length, from which on its order of work
is told to it: a new prompt then waits about as long as it takes to read itself."""


MISDIRECTED = 421
"""Status by which a runner says that the request is meant for another one."""

SUCCESS_STATUSES = range(200, 300)


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
        context: RequestContext,
        view: RunnerView,
        on_stream_start: Callable[[], Awaitable[None]],
    ) -> None:
        self._context = context
        self._view = view
        self._on_stream_start = on_stream_start
        self._incarnation = view.life
        self._prefill_pending = False
        self._may_have_run_before = context.may_have_run
        self._stalled: StalledStream | None = None

    @property
    def stalled(self) -> bool:
        """Whether it failed by a silence, and its run may go on; `close` ends it."""
        return self._stalled is not None

    async def resume(self) -> Answered | AttemptFailed:
        """Pass on what the runner of a stalled stream still sends."""
        stalled, self._stalled = self._stalled, None
        assert stalled is not None
        connection, splitter = stalled.connection, stalled.splitter
        reusable = False
        try:
            with anyio.move_on_after(self._context.get_remaining_seconds()):
                chunks = connection.receive_body()
                data = await self._receive_events(chunks, splitter)
                outcome, reusable = await self._relay_stream(
                    connection, stalled.answer, chunks, splitter, data
                )
                return outcome
            return AttemptFailed(FailureKind.SILENT, "the stream took too long")
        except ConnectionFailed as error:
            return self._handle_connection_error(error)
        finally:
            if not self.stalled:
                await self._release(connection, reusable)

    async def close(self) -> None:
        """End the run of a stalled stream."""
        stalled, self._stalled = self._stalled, None
        if stalled is not None:
            await self._release(stalled.connection, reusable=False)

    async def run(self) -> Answered | AttemptFailed:
        """Send the request and pass on what the runner answers."""
        services = self._context.services
        services.runners.note_sent(
            self._view,
            self._context.request.prompt_tokens,
            self,
            self._context.priorities.by_account_and_route,
            time.monotonic(),
        )
        self._prefill_pending = True
        runner = self._view.runner
        connection: RunnerConnection | None = None
        reusable = False
        try:
            connection = await services.pool.take(
                self._incarnation,
                runner.address,
                time.monotonic(),
                self._record_connection_time,
            )
            outcome, reusable = await self._send_and_relay(connection)
            return outcome
        except ConnectionFailed as error:
            return self._handle_connection_error(error)
        finally:
            self._record_prefill_end()
            if not self.stalled:
                await self._release(connection, reusable)

    def _handle_connection_error(self, error: ConnectionFailed) -> AttemptFailed:
        """Take in that the connection failed."""
        late = self._context.services.pressure.is_late(time.monotonic())
        if not (error.silent and late):
            self._record_connection_error(error)
            self._record_failure(certain=not error.sent)
        kind = FailureKind.BROKEN if error.sent else FailureKind.NOT_SENT
        return AttemptFailed(kind, f"{error.step}: {error.detail}")

    async def _release(
        self, connection: RunnerConnection | None, reusable: bool
    ) -> None:
        """End the runner's turn; it stops its work if the connection isn't kept."""
        services = self._context.services
        services.runners.note_ended(self._view)
        if connection is not None and not reusable:
            with anyio.CancelScope(shield=True):
                await services.pool.drop(self._incarnation, connection)

    async def _send_and_relay(
        self, connection: RunnerConnection
    ) -> tuple[Answered | AttemptFailed, bool]:
        """Send the request on a connection; return also whether that can be kept."""
        context = self._context
        request = context.request
        began_at = time.monotonic()
        if context.get_remaining_seconds() <= 0:
            return AttemptFailed(FailureKind.NOT_SENT, "no time left"), False
        headers = self._make_headers()
        context.counted_attempts += 1
        context.may_have_run = True
        answer: RunnerAnswer | None = None
        chunks: Any = None
        splitter = EventSplitter()
        first_events = b""
        try:
            with anyio.move_on_after(self._compute_first_byte_timeout()) as scope:
                await connection.send(
                    request.method, request.target, headers, context.body
                )
                answer = await self._receive_answer(connection)
                self._record_load(answer)
                self._record_limit(answer, began_at)
                if answer.identity == request.identity and _is_event_stream(answer):
                    chunks = connection.receive_body()
                    first_events = await self._receive_events(chunks, splitter)
        except anyio.get_cancelled_exc_class():
            # The caller has left; how long it waited says something all the same.
            self._record_timeout(began_at)
            raise
        if answer is None or scope.cancelled_caught:
            self._record_timeout(began_at)
            return AttemptFailed(FailureKind.SILENT, "no first byte in time"), False
        if answer.identity != request.identity:
            self._record_failure(certain=False)
            return AttemptFailed(
                FailureKind.BROKEN, f"an answer to {answer.identity!r}"
            ), False
        if not _is_event_stream(answer):
            with anyio.move_on_after(context.get_remaining_seconds()):
                return await self._relay_whole(connection, answer, began_at)
            self._record_failure(certain=False)
            return AttemptFailed(
                FailureKind.SILENT, "the answer's body took too long"
            ), False
        self._record_success(began_at)
        await self._on_stream_start()
        return await self._relay_stream(
            connection, answer, chunks, splitter, first_events
        )

    def _record_timeout(self, began_at: float) -> None:
        """Take in a wait in vain for the first byte of an answer."""
        if self._context.services.pressure.is_late(time.monotonic()):
            # What came in time was seen too late here; runners aren't to blame.
            return
        self._record_prompt_wait(began_at, abandoned=True)
        if time.monotonic() - began_at >= UNRESPONSIVE_SECONDS:
            self._record_unresponsive()
            self._record_failure(certain=False)

    def _record_connection_time(self, seconds: float, now: float) -> None:
        """Take in how long a connection took, if it tells of this host's link.

        Behind a cut between data centres connections time out as well, and those that
        are kept tell nothing; only the own data centre's runners are always as near.
        """
        services = self._context.services
        if self._view.runner.data_centre == services.data_centre:
            services.pressure.note_connection(str(self._incarnation), seconds, now)

    def _make_headers(self) -> Headers:
        context = self._context
        has_body = bool(context.body) or context.request.method not in ("GET", "HEAD")
        return context.services.codec.encode_request(
            context.request,
            self._view.runner,
            context.account,
            context.get_remaining_seconds(),
            context.priorities.by_account_and_route
            if self._is_queueing()
            else context.priorities.by_account,
            len(context.body) if has_body else None,
            context.progress.last_event_id,
        )

    def _is_queueing(self) -> bool:
        """Return whether requests wait at a runner, so that their order matters."""
        mean = self._context.services.runners.mean_tokens
        queued_tokens = self._view.estimate_unread(mean, time.monotonic())
        return (
            queued_tokens > self._context.request.prompt_tokens + QUEUED_PROMPTS * mean
        )

    async def _receive_answer(self, connection: RunnerConnection) -> RunnerAnswer:
        head = await connection.receive_head()
        headers = list(head.headers.raw_items())
        services = self._context.services
        answer = services.codec.decode_answer(head.status_code, headers)
        services.unknown_headers.record(answer.unread, self._view.runner.name)
        return answer

    def _compute_first_byte_timeout(self) -> float:
        """Return how long this attempt may take to its first byte, seconds."""
        route = self._context.route
        remaining = self._context.get_remaining_seconds()
        is_last = self._context.counted_attempts >= route.max_runners
        if is_last or not route.repeatable:
            return remaining
        return min(FIRST_BYTE_FACTOR * route.objective, FIRST_BYTE_SHARE * remaining)

    async def _relay_whole(
        self,
        connection: RunnerConnection,
        answer: RunnerAnswer,
        began_at: float,
    ) -> tuple[Answered | AttemptFailed, bool]:
        """Receive a whole answer, and pass it on if it is sound."""
        body = b"".join([chunk async for chunk in connection.receive_body()])
        reusable = self._return_to_pool(connection, answer)
        if answer.not_run:
            self._context.may_have_run = self._may_have_run_before
            if answer.status == MISDIRECTED:
                # The runner that it was meant for is gone and never got it; the one
                # that has its address now was not chosen, and hasn't run it either.
                # Counted, the only attempt of many routes was spent on it: a quarter
                # of all runners crashed at once, and 500 callers were refused while
                # the others had room.
                self._context.counted_attempts -= 1
            self._record_rejection(answer)
            detail = f"rejected with {answer.status}"
            return AttemptFailed(FailureKind.NOT_RUN, detail), reusable
        if not answer.sealed:
            self._record_failure(certain=False)
            return AttemptFailed(
                FailureKind.BROKEN, "an answer without a seal"
            ), reusable
        if answer.status >= 500:
            self._record_failure(certain=False)
            detail = f"the runner failed with {answer.status}"
            name = self._view.runner.name
            return AttemptFailed(
                FailureKind.BROKEN, detail, answer, body, name
            ), reusable
        self._record_success(began_at)
        if self._context.response.started:
            return AttemptFailed(
                FailureKind.BROKEN, f"{answer.status} to a resumed run"
            ), reusable
        await self._context.response.send_whole(
            answer.status, list(answer.headers), body
        )
        return Answered(answer.status, self._view.runner.name), reusable

    async def _receive_events(self, chunks: Any, splitter: EventSplitter) -> bytes:
        """Return the next events that the caller lacks; empty at the stream's end."""
        async for chunk in chunks:
            data = self._context.progress.select_new(splitter.feed(chunk))
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
    ) -> tuple[Answered | AttemptFailed, bool]:
        """Pass on a stream whose first events have come, to its end."""
        if not self._context.response.started and not answer.sealed:
            return AttemptFailed(FailureKind.BROKEN, "a stream without a seal"), False
        with anyio.move_on_after(self._context.get_remaining_seconds()):
            while data:
                await self._send_chunk(answer, data)
                if not self._may_fail_over():
                    # The time that is left bounds it already, and a bound for each
                    # event is dear where streams are most of the work.
                    data = await self._receive_events(chunks, splitter)
                    continue
                data = b""
                with anyio.move_on_after(self._compute_stall_timeout()) as stall_scope:
                    data = await self._receive_events(chunks, splitter)
                if stall_scope.cancelled_caught:
                    self._record_failure(certain=False)
                    self._stalled = StalledStream(connection, answer, splitter)
                    return AttemptFailed(
                        FailureKind.SILENT, "the stream stalled"
                    ), False
            await self._send_chunk(answer, splitter.remainder)
            reusable = self._return_to_pool(connection, answer)
            await self._context.response.end()
            return Answered(answer.status, self._view.runner.name), reusable
        return AttemptFailed(FailureKind.SILENT, "the stream took too long"), False

    async def _send_chunk(self, answer: RunnerAnswer, data: bytes) -> None:
        await self._context.response.send_chunk(
            answer.status, list(answer.headers), data
        )

    def _may_fail_over(self) -> bool:
        """Return whether a stream that stalls may go on at another runner."""
        route = self._context.route
        return route.resumable and self._context.counted_attempts < route.max_runners

    def _compute_stall_timeout(self) -> float:
        """Return how long a stream may be silent before it goes on elsewhere."""
        return max(STALL_SECONDS, STALL_FACTOR * self._context.route.gap)

    def _return_to_pool(
        self, connection: RunnerConnection, answer: RunnerAnswer
    ) -> bool:
        if not connection.finish():
            return False
        self._context.services.pool.keep(
            self._incarnation, connection, answer.idle_seconds, time.monotonic()
        )
        return True

    def _record_success(self, began_at: float) -> None:
        """Take in that the runner gives a sound answer."""
        context, now = self._context, time.monotonic()
        context.services.runners.note_answer(self._view, now - began_at, now)
        context.services.suspects.note_good(context.fingerprint, now)
        self._record_prefill_end()
        self._record_prompt_wait(began_at, abandoned=False)
        if context.request.parts:
            shared = find_shared_part(context.request.parts)
            context.services.runners.note_prefix(shared.name, self._view, now)

    def _record_prompt_wait(self, began_at: float, abandoned: bool) -> None:
        """Take in how long a prompt waited at the runner."""
        if self._context.request.parts:
            now = time.monotonic()
            runners = self._context.services.runners
            runners.note_wait(self._view, now - began_at, abandoned, now)

    def _record_prefill_end(self) -> None:
        if self._prefill_pending:
            tokens = self._context.request.prompt_tokens
            self._context.services.runners.note_begun(self._view, tokens, self)
            self._prefill_pending = False

    def _record_load(self, answer: RunnerAnswer) -> None:
        if answer.running is not None and answer.waiting is not None:
            self._context.services.runners.note_load(
                self._view, answer.running, answer.waiting, time.monotonic()
            )

    def _record_limit(self, answer: RunnerAnswer, sent_at: float) -> None:
        """Take in the limit that the runner names, or that it names none any more."""
        context = self._context
        if answer.status == MISDIRECTED or answer.identity != context.request.identity:
            return
        if answer.limit is None and answer.status not in SUCCESS_STATUSES:
            # Rejections and errors may be made before the runner looks at the rest.
            return
        update = context.services.runners.note_limit(
            self._view, answer.limit, time.monotonic(), sent_at
        )
        if update is not None:
            log_event(
                Event.RUNNER_LIMITED,
                runner=update.runner,
                limit=update.rate,
                request=context.request.identity,
            )
            context.services.tell_limit(update)

    def _record_rejection(self, answer: RunnerAnswer) -> None:
        if answer.status == MISDIRECTED:
            self._record_failure(certain=True)
            if answer.runner is not None:
                self._context.services.note_successor(self._view.runner, answer.runner)
        else:
            self._context.services.runners.note_full(self._view, time.monotonic())

    def _record_connection_error(self, error: ConnectionFailed) -> None:
        services, incarnation = self._context.services, str(self._incarnation)
        now = time.monotonic()
        if error.silent:
            self._record_unresponsive()
        if error.sent:
            services.suspects.note_break(incarnation, self._context.fingerprint, now)
            return
        lines = services.suspects.note_crash(incarnation, now)
        if lines:
            log_event(Event.RUNNER_CRASHED, runner=incarnation, suspects=len(lines))
            services.tell_suspects(lines)

    def _record_unresponsive(self) -> None:
        if self._context.services.runners.note_silence(self._view, time.monotonic()):
            log_event(
                Event.DATA_CENTRE_SILENT,
                data_centre=self._view.runner.data_centre,
                runner=self._view.runner.name,
                request=self._context.request.identity,
            )

    def _record_failure(self, certain: bool) -> None:
        runners = self._context.services.runners
        if runners.note_failure(self._view, time.monotonic(), certain):
            log_event(
                Event.RUNNER_EJECTED,
                runner=self._view.runner.name,
                endpoint=self._view.runner.endpoint,
                seconds=self._view.ejection,
                failing=round(self._view.failing, 2),
            )


def _is_event_stream(answer: RunnerAnswer) -> bool:
    return answer.event_stream and answer.status == 200
