"""One attempt to forward a request to a runner."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable

import anyio
import attrs

from ..ingress import QuotaExceeded
from .allowances import Stage
from .attempt_records import AttemptRecorder
from .codecs import Headers
from .connections import ConnectionFailed, RunnerConnection
from .event_readers import EventReader
from .models import RunnerAnswer
from .request_context import Answered, AttemptFailed, FailureKind, RequestContext
from .runner_statements import MISDIRECTED
from .scheduling.runner_views import RunnerView
from .stream_origins import make_origin
from .streams import END_OF_STREAM, NewEvents

FIRST_BYTE_FACTOR = 2.0
"""First-byte timeout of a repeatable request, as a multiple of its route's latency
objective. At twice the objective the answer is late anyway, and one that still arrives
usually does so soon after."""

FIRST_BYTE_SHARE = 0.4
"""First-byte timeout as a share of the remaining time, if that is less. It leaves more
than half of that time to another runner."""

STALL_FACTOR = 4.0
STALL_SECONDS = 1.0
"""Stall timeout of a stream: a multiple of the longest gap between events that the
route aims for, but at least ``STALL_SECONDS``. After it the stream is resumed at
another runner. A runner that preempts a stream for more urgent work sends nothing for
some hundreds of milliseconds."""

NO_MEMORY = "no memory for the answer"
"""Description of an attempt whose answer exceeds what callers may hold together."""

QUEUED_PROMPTS = 2.0
"""Queue length at a runner, in prompts of average length, above which requests carry
the priority by account and route. A new prompt then waits about as long as its own
prefill takes."""


@attrs.frozen
class StalledStream:
    """The open run of a stream that stalled and may still continue.

    Attributes:
        answer: Head of the runner's answer.
        reader: Reader of this run, which buffers the incomplete last event.
    """

    answer: RunnerAnswer
    reader: EventReader


class Attempt:
    """Sends a request to one runner and passes its answer on to the caller.

    Args:
        context: The request and its state.
        view: The runner.
        on_stream_start: Called when this runner has sent the first events of a stream,
            before the caller receives any of them.
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
        self._incarnation = view.incarnation
        self._recorder = AttemptRecorder(context, view)
        self._may_have_run_before = context.may_have_run
        self._stalled: StalledStream | None = None
        self._reader: EventReader | None = None
        # The connection while this attempt owns it: until it is returned to the pool
        # or discarded.
        self._connection: RunnerConnection | None = None

    @property
    def stalled(self) -> bool:
        """Whether the stream stalled and its run is still open; `close` ends it."""
        return self._stalled is not None

    async def resume(self) -> Answered | AttemptFailed:
        """Wait for the rest of a stalled stream and pass it on."""
        stalled, self._stalled = self._stalled, None
        assert stalled is not None
        reader = stalled.reader
        try:
            with anyio.move_on_after(self._context.get_remaining_seconds()):
                events = await reader.receive_new(self._context.progress)
                return await self._relay_stream(stalled.answer, reader, events)
            return AttemptFailed(FailureKind.SILENT, "the stream took too long")
        except ConnectionFailed as error:
            return self._handle_connection_error(error)
        except QuotaExceeded:
            return AttemptFailed(FailureKind.BROKEN, NO_MEMORY)
        finally:
            if not self.stalled:
                await self._release()

    async def close(self) -> None:
        """End the run of a stalled stream, if there is one."""
        stalled, self._stalled = self._stalled, None
        if stalled is not None:
            await self._release()

    async def run(self) -> Answered | AttemptFailed:
        """Send the request to the runner and pass on its answer."""
        services = self._context.services
        self._recorder.record_sent()
        runner = self._view.runner
        try:
            self._connection = await services.pool.acquire(
                self._incarnation,
                runner.address,
                time.monotonic(),
                self._recorder.record_connection_time,
            )
            if time.monotonic() < self._view.paused_until:
                # Another request was rejected while this one waited for a connection.
                detail = "the runner wants no requests for some time"
                return AttemptFailed(FailureKind.NOT_SENT, detail)
            return await self._send_and_relay(self._connection)
        except ConnectionFailed as error:
            return self._handle_connection_error(error)
        except QuotaExceeded:
            # What is held for other callers isn't this runner's failure.
            return AttemptFailed(FailureKind.BROKEN, NO_MEMORY)
        finally:
            self._recorder.record_prefill_end()
            if not self.stalled:
                await self._release()

    def _handle_connection_error(self, error: ConnectionFailed) -> AttemptFailed:
        """Record a failed connection and return the outcome of the attempt.

        A timeout isn't recorded against the runner while this host's late event loop or
        slow link may have caused it.
        """
        late = self._context.services.overload.may_cause_timeouts(time.monotonic())
        if not (error.timed_out and late):
            self._recorder.record_connection_error(error)
            certain = not error.sent
            if error.not_http:
                certain = self._recorder.record_not_http()
            self._recorder.record_failure(certain)
        kind = FailureKind.BROKEN if error.sent else FailureKind.NOT_SENT
        return AttemptFailed(kind, f"{error.step}: {error.detail}")

    async def _release(self) -> None:
        """End the attempt, and discard its connection unless the pool has it again.

        Closing the connection makes the runner stop its work.
        """
        self._recorder.record_finished()
        if self._reader is not None:
            self._reader.close()
        connection, self._connection = self._connection, None
        if connection is not None:
            pool = self._context.services.pool
            with anyio.CancelScope(shield=True):
                await pool.discard(self._incarnation, connection)

    async def _send_and_relay(
        self, connection: RunnerConnection
    ) -> Answered | AttemptFailed:
        """Send the request on a connection and pass on the answer."""
        context = self._context
        request = context.request
        began_at = time.monotonic()
        if context.get_remaining_seconds() <= 0:
            return AttemptFailed(FailureKind.NOT_SENT, "no time left")
        headers = self._make_headers()
        context.counted_attempts += 1
        context.may_have_run = True
        context.reservation.enter_stage(Stage.SENT)
        answer: RunnerAnswer | None = None
        reader = self._reader = EventReader(connection, context.response)
        first_events = END_OF_STREAM
        try:
            with anyio.move_on_after(self._compute_first_byte_timeout()) as scope:
                await connection.send(
                    request.method, request.target, headers, context.body
                )
                answer = await self._receive_answer(connection)
                if not answer.not_run:
                    context.reservation.enter_stage(Stage.BEGUN)
                self._recorder.record_answer(answer, began_at)
                if answer.identity == request.identity and _is_event_stream(answer):
                    first_events = await reader.receive_new(context.progress)
        except anyio.get_cancelled_exc_class():
            # The request was cancelled, for example because the caller disconnected.
            # The time waited so far is still recorded for the runner.
            self._recorder.record_timeout(began_at)
            raise
        if answer is None or scope.cancelled_caught:
            self._recorder.record_timeout(began_at)
            return AttemptFailed(FailureKind.SILENT, "no first byte in time")
        if answer.identity != request.identity:
            self._recorder.record_failure(certain=False)
            return AttemptFailed(
                FailureKind.BROKEN, f"an answer to {answer.identity!r}"
            )
        if not _is_event_stream(answer):
            with anyio.move_on_after(context.get_remaining_seconds()):
                return await self._relay_whole(connection, answer, began_at)
            if context.response.started:
                return AttemptFailed(FailureKind.SILENT, "the caller read too slowly")
            self._recorder.record_failure(certain=False)
            return AttemptFailed(FailureKind.SILENT, "the answer's body took too long")
        self._recorder.record_success(began_at)
        self._recorder.record_stream_begin(began_at)
        await self._on_stream_start()
        return await self._relay_stream(answer, reader, first_events)

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
        """Return whether enough prompts queue at the runner for order to matter."""
        mean = self._context.services.runners.mean_prompt_tokens
        queued_tokens = self._view.estimate_prefill_backlog(mean, time.monotonic())
        return queued_tokens > self._recorder.prefill_tokens + QUEUED_PROMPTS * mean

    async def _receive_answer(self, connection: RunnerConnection) -> RunnerAnswer:
        head = await connection.receive_head()
        headers = list(head.headers.raw_items())
        services = self._context.services
        answer = services.codec.decode_answer(head.status_code, headers)
        services.unknown_headers.record(answer.unknown_headers, self._view.runner.name)
        return answer

    def _compute_first_byte_timeout(self) -> float:
        """Return the timeout for the first byte of this attempt, seconds.

        The last attempt, and one that can't be repeated, may use all remaining time.
        """
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
    ) -> Answered | AttemptFailed:
        """Receive the body of a non-streaming answer and pass it on if it is valid."""
        body = await connection.receive_body(self._context.response.reserve)
        self._return_to_pool(connection, answer)
        if answer.not_run:
            self._context.may_have_run = self._may_have_run_before
            if not self._may_have_run_before:
                self._context.reservation.enter_stage(Stage.ADMITTED)
            if answer.status == MISDIRECTED:
                # The intended runner no longer exists and never received the request,
                # and the runner that now has its address hasn't run it either. Many
                # routes allow only one attempt. While misdirected ones counted, 500
                # callers were refused when a quarter of all runners crashed at once,
                # although the other runners had capacity.
                self._context.counted_attempts -= 1
            self._recorder.record_rejection(answer)
            detail = f"rejected with {answer.status}"
            return AttemptFailed(FailureKind.NOT_RUN, detail)
        if not answer.sealed:
            self._recorder.record_failure(certain=False)
            return AttemptFailed(FailureKind.BROKEN, "an answer without a seal")
        if answer.status >= 500:
            self._recorder.record_failure(certain=False)
            detail = f"the runner failed with {answer.status}"
            name = self._view.runner.name
            return AttemptFailed(
                FailureKind.BROKEN, detail, answer, body, name, connection.framing
            )
        self._recorder.record_success(began_at)
        self._recorder.record_complete(connection.framing)
        if self._context.response.started:
            detail = f"{answer.status} to a resumed run"
            return AttemptFailed(FailureKind.BROKEN, detail)
        await self._context.response.send_whole(
            answer.status, list(answer.headers), body
        )
        name = self._view.runner.name
        return Answered(answer.status, name, connection.framing)

    async def _relay_stream(
        self, answer: RunnerAnswer, reader: EventReader, events: NewEvents
    ) -> Answered | AttemptFailed:
        """Pass on a stream to its end, beginning with the events already received."""
        connection, progress = reader.connection, self._context.progress
        if not self._context.response.started and not answer.sealed:
            return AttemptFailed(FailureKind.BROKEN, "a stream without a seal")
        if events.data:
            self._record_origin()
        with anyio.move_on_after(self._context.get_remaining_seconds()):
            while events.data:
                progress.record_passed_on(events)
                await self._send_chunk(answer, events.data)
                self._recorder.record_stream_piece()
                if not self._may_fail_over():
                    # The remaining time already bounds the wait, and a timeout for each
                    # event is expensive if most requests are streams.
                    events = await reader.receive_new(progress)
                    continue
                events = END_OF_STREAM
                with anyio.move_on_after(self._compute_stall_timeout()) as stall_scope:
                    events = await reader.receive_new(progress)
                if stall_scope.cancelled_caught:
                    self._recorder.record_failure(certain=False)
                    self._stalled = StalledStream(answer, reader)
                    return AttemptFailed(FailureKind.SILENT, "the stream stalled")
            self._recorder.record_complete(connection.framing)
            await self._send_chunk(answer, reader.remainder)
            self._return_to_pool(connection, answer)
            await self._context.response.end()
            return Answered(
                answer.status,
                self._view.runner.name,
                connection.framing,
                len(reader.remainder),
            )
        return AttemptFailed(FailureKind.SILENT, "the stream took too long")

    def _record_origin(self) -> None:
        """Record what began the stream before the caller receives its first event."""
        context = self._context
        if context.origin is None:
            context.origin = make_origin(self._view.runner)
        if context.route.resumable and context.stream and not context.response.started:
            context.services.resumptions.record(context.stream, context.origin)

    async def _send_chunk(self, answer: RunnerAnswer, data: bytes) -> None:
        await self._context.response.send_chunk(
            answer.status, list(answer.headers), data
        )

    def _may_fail_over(self) -> bool:
        """Return whether a stalled stream may be resumed at another runner."""
        route = self._context.route
        return route.resumable and self._context.counted_attempts < route.max_runners

    def _compute_stall_timeout(self) -> float:
        """Return the time without events after which a stream is stalled, seconds."""
        return max(STALL_SECONDS, STALL_FACTOR * self._context.route.gap)

    def _return_to_pool(
        self, connection: RunnerConnection, answer: RunnerAnswer
    ) -> None:
        """Return the connection to the pool if it can be reused."""
        if not connection.finish():
            return
        self._connection = None
        self._context.services.pool.release(
            self._incarnation, connection, answer.idle_seconds, time.monotonic()
        )


def _is_event_stream(answer: RunnerAnswer) -> bool:
    return answer.event_stream and answer.status == 200
