"""One caller's request, from its admission to its answer."""

from __future__ import annotations

import enum
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import anyio
import attrs

from ..events import Event, log_event
from ..outcomes import Ran, Refusal, RefusalKind
from .codecs import Codec
from .connections import ConnectionFailed, ConnectionPool, RunnerConnection
from .holdings import Reservation
from .measures import RelayMeasures
from .models import CallerRequest, Endpoint, Route, RunnerAnswer
from .retries import RetryShare
from .routes import Ranks
from .runners import RunnerTable, RunnerView
from .selection import choose_runner, find_shared_part
from .streams import EventSplitter, StreamProgress
from .suspects import Suspects

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

BUSY_PROMPTS = 2.0
"""Prompts that wait at a runner, of the usual length, from which on its order of work
is told to it: a new prompt then waits about as long as it takes to read itself."""

MAX_CONNECTS = 4
"""Runners tried that take no connection. Nothing has run there, so only the caller's
time is spent."""

RETRY_SECONDS = (0.3, 0.9)
"""Bounds of the time after which a caller may come back, drawn at random: by then a
burst of short work has passed, and callers refused together don't return together."""


class Failure(enum.Enum):
    """What became of an attempt at a runner that gave no answer to pass on."""

    NOT_SENT = "no byte was sent"
    NOT_RUN = "the runner says that it didn't run the request"
    BROKEN = "the connection broke or carried something else"
    SILENT = "nothing came in time"


@dataclass(frozen=True)
class Failed:
    """An attempt failed.

    Attributes:
        failure: How.
        detail: What was seen.
        answer: A runner's own failure, which may be passed on as it is.
        body: That answer's body.
        runner: Name of the runner.
    """

    failure: Failure
    detail: str
    answer: RunnerAnswer | None = None
    body: bytes = b""
    runner: str = ""


@dataclass(frozen=True)
class Answered:
    """The caller has its answer.

    Attributes:
        runner: Name of the runner that gave its end.
    """

    status: int
    runner: str


@dataclass(frozen=True)
class Broken:
    """The caller has part of a stream, and the rest can't be had."""

    detail: str


@attrs.frozen(kw_only=True)
class Services:
    """What exchanges share."""

    codec: Codec
    pool: ConnectionPool
    runners: RunnerTable
    retries: RetryShare
    data_centre: str
    rng: random.Random
    measures: RelayMeasures
    suspects: Suspects
    tell_suspects: Callable[[list[str]], None]
    count_relays: Callable[[], int]


Send = Callable[[dict[str, Any]], Awaitable[None]]


class Exchange:
    """One request that was admitted.

    Args:
        services: What exchanges share.
        request: The request.
        body: Its whole body.
        route: Its route.
        endpoint: The endpoint that it goes to.
        account: Name of its client account, if it has one.
        ranks: Its urgency.
        fingerprint: What tells its content from others.
        reservation: Tokens set aside for it.
        ends_at: When its caller, or its route, has waited long enough.
        send: Sends messages to the caller.
    """

    def __init__(
        self,
        services: Services,
        request: CallerRequest,
        body: bytes,
        route: Route,
        endpoint: Endpoint,
        account: str | None,
        ranks: Ranks,
        fingerprint: str,
        reservation: Reservation,
        ends_at: float,
        send: Send,
    ) -> None:
        self._services = services
        self._request = request
        self._body = body
        self._route = route
        self._endpoint = endpoint
        self._account = account
        self._ranks = ranks
        self._fingerprint = fingerprint
        self._reservation = reservation
        self._ends_at = ends_at
        self._send = send
        self._progress = StreamProgress(request.last_event)
        self._tried: set[str] = set()
        self._arrivals = 0
        self._began = False
        self._unread = False
        self._started = False
        self._first_byte_at: float | None = None
        self._last_part_at = 0.0

    async def run(self) -> Answered | Broken | Refusal:
        """Send the request to runners until one answers, or none may any more."""
        try:
            return await self._run()
        finally:
            self._reservation.settle(self._count_tokens())

    @property
    def arrivals(self) -> int:
        """Runners that the request was sent to."""
        return self._arrivals

    @property
    def first_byte_at(self) -> float | None:
        """When the first part of the answer went to the caller."""
        return self._first_byte_at

    @property
    def started(self) -> bool:
        """Whether the caller has part of an answer."""
        return self._started

    async def _run(self) -> Answered | Broken | Refusal:
        connects = 0
        last: Failed | None = None
        while True:
            view = self._choose()
            if view is None:
                return self._give_up(last)
            outcome = await self._attempt(view)
            if not isinstance(outcome, Failed):
                return outcome
            self._tried.add(view.runner.name)
            last = _choose_worse(last, outcome)
            self._log_failure(view, outcome)
            if outcome.failure is Failure.NOT_SENT:
                connects += 1
                if connects >= MAX_CONNECTS:
                    return self._give_up(last)
            elif not self._may_repeat(outcome):
                return await self._end(last, outcome)

    def _choose(self) -> RunnerView | None:
        if self._left() <= 0:
            return None
        services = self._services
        return choose_runner(
            services.runners,
            self._endpoint.name,
            self._request,
            self._tried,
            services.data_centre,
            time.monotonic(),
            services.rng,
        )

    def _left(self) -> float:
        return self._ends_at - time.monotonic()

    def _may_repeat(self, outcome: Failed) -> bool:
        """Return whether the request may go to another runner after this outcome."""
        if outcome.failure is not Failure.NOT_RUN and not self._route.repeatable:
            return False
        if self._arrivals >= self._route.max_runners or self._left() <= 0:
            return False
        services = self._services
        name = self._endpoint.name
        taken = services.retries.take(name, services.count_relays(), time.monotonic())
        services.measures.repeats.add(1, {"endpoint": name, "allowed": taken})
        return taken

    async def _end(self, last: Failed, outcome: Failed) -> Answered | Broken | Refusal:
        """Give the final answer after an attempt that can't be followed by another."""
        if outcome.answer is not None and not self._started:
            await self._pass_on(outcome.answer, outcome.body)
            return Answered(outcome.answer.status, outcome.runner)
        return self._give_up(last)

    def _give_up(self, last: Failed | None) -> Broken | Refusal:
        if self._started:
            return Broken(last.detail if last else "no runner")
        began = self._began
        if began:
            late = last is not None and last.failure is Failure.SILENT
            kind = RefusalKind.DEADLINE if late else RefusalKind.OUTCOME_UNKNOWN
            return self._refuse(kind, Ran.UNKNOWN, last.detail if last else "", None)
        detail = last.detail if last else "no runner is known"
        kind = RefusalKind.FULL if last else RefusalKind.NO_ENDPOINT
        return self._refuse(kind, Ran.NOT_RUN, detail, draw_retry(self._services.rng))

    def _refuse(
        self, kind: RefusalKind, ran: Ran, detail: str, retry_after: float | None
    ) -> Refusal:
        return Refusal("relay.run", self._endpoint.name, detail, kind, ran, retry_after)

    async def _attempt(self, view: RunnerView) -> Answered | Failed:
        """Send the request to one runner and pass on what it answers."""
        services = self._services
        services.runners.note_sent(view, self._request.prompt_tokens)
        self._unread = True
        runner = view.runner
        connection: RunnerConnection | None = None
        kept = False
        try:
            connection = await services.pool.take(
                runner.name, runner.address, time.monotonic()
            )
            outcome, kept = await self._converse(view, connection)
            return outcome
        except ConnectionFailed as error:
            self._note_connection(view, error)
            self._note_failure(view, certain=not error.sent)
            failure = Failure.BROKEN if error.sent else Failure.NOT_SENT
            self._began |= error.sent
            return Failed(failure, f"{error.step}: {error.detail}")
        finally:
            self._note_begun(view)
            services.runners.note_ended(view)
            if connection is not None and not kept:
                with anyio.CancelScope(shield=True):
                    await services.pool.drop(runner.name, connection)

    async def _converse(
        self, view: RunnerView, connection: RunnerConnection
    ) -> tuple[Answered | Failed, bool]:
        """Send the request on a connection; return also whether that can be kept."""
        services = self._services
        began_at = time.monotonic()
        left = self._left()
        if left <= 0:
            return Failed(Failure.NOT_SENT, "no time left"), False
        has_body = bool(self._body) or self._request.method not in ("GET", "HEAD")
        headers = services.codec.encode_request(
            self._request,
            view.runner,
            self._account,
            left,
            self._ranks.busy if self._is_busy(view) else self._ranks.calm,
            len(self._body) if has_body else None,
            self._progress.last,
        )
        self._arrivals += 1
        answer: RunnerAnswer | None = None
        chunks: Any = None
        splitter = EventSplitter()
        first = b""
        with anyio.move_on_after(self._limit_first_byte()) as scope:
            await connection.send(
                self._request.method, self._request.target, headers, self._body
            )
            answer = await self._receive_answer(connection)
            self._note_load(view, answer)
            if answer.identity == self._request.identity and _streams(answer):
                chunks = connection.receive_body()
                first = await self._receive_events(chunks, splitter)
        if answer is None or scope.cancelled_caught:
            self._began = True
            self._note_silence(view)
            self._note_failure(view, False)
            return Failed(Failure.SILENT, "no first byte in time"), False
        if answer.identity != self._request.identity:
            self._began = True
            self._note_failure(view, False)
            return Failed(Failure.BROKEN, f"an answer to {answer.identity!r}"), False
        if not _streams(answer):
            with anyio.move_on_after(self._left()):
                return await self._take_whole(view, connection, answer, began_at)
            self._began = True
            self._note_failure(view, False)
            return Failed(Failure.SILENT, "the answer's body took too long"), False
        now = time.monotonic()
        services.runners.note_answer(view, now - began_at, now)
        services.suspects.note_good(self._fingerprint, now)
        self._note_begun(view)
        if self._request.parts:
            shared = find_shared_part(self._request.parts)
            services.runners.note_prefix(shared.name, view, now)
        return await self._relay_stream(
            view, connection, answer, chunks, splitter, first
        )

    def _is_busy(self, view: RunnerView) -> bool:
        """Return whether requests wait at a runner, so that their order matters."""
        mean = self._services.runners.mean_tokens
        unread = view.estimate_unread(mean, time.monotonic())
        return unread > self._request.prompt_tokens + BUSY_PROMPTS * mean

    async def _receive_answer(self, connection: RunnerConnection) -> RunnerAnswer:
        head = await connection.receive_head()
        headers = list(head.headers.raw_items())
        return self._services.codec.decode_answer(head.status_code, headers)

    def _limit_first_byte(self) -> float:
        """Return how long this attempt may take to its first byte, seconds."""
        left = self._left()
        last = self._arrivals >= self._route.max_runners
        if last or not self._route.repeatable:
            return left
        return min(FIRST_BYTE_FACTOR * self._route.objective, FIRST_BYTE_SHARE * left)

    async def _take_whole(
        self,
        view: RunnerView,
        connection: RunnerConnection,
        answer: RunnerAnswer,
        began_at: float,
    ) -> tuple[Answered | Failed, bool]:
        """Receive a whole answer, and pass it on if it is sound."""
        body = b"".join([chunk async for chunk in connection.receive_body()])
        kept = self._keep(view, connection, answer)
        if answer.not_run:
            self._note_rejection(view, answer)
            detail = f"rejected with {answer.status}"
            return Failed(Failure.NOT_RUN, detail), kept
        self._began = True
        if not answer.sealed:
            self._note_failure(view, False)
            return Failed(Failure.BROKEN, "an answer without a seal"), kept
        if answer.status >= 500:
            self._note_failure(view, False)
            detail = f"the runner failed with {answer.status}"
            failed = Failed(Failure.BROKEN, detail, answer, body, view.runner.name)
            return failed, kept
        self._services.runners.note_answer(
            view, time.monotonic() - began_at, time.monotonic()
        )
        if self._started:
            return Failed(Failure.BROKEN, f"{answer.status} to a resumed run"), kept
        await self._pass_on(answer, body)
        return Answered(answer.status, view.runner.name), kept

    async def _receive_events(self, chunks: Any, splitter: EventSplitter) -> bytes:
        """Return the next events that the caller lacks; empty at the stream's end."""
        async for chunk in chunks:
            data = self._progress.select(splitter.feed(chunk))
            if data:
                return data
        return b""

    async def _relay_stream(
        self,
        view: RunnerView,
        connection: RunnerConnection,
        answer: RunnerAnswer,
        chunks: Any,
        splitter: EventSplitter,
        data: bytes,
    ) -> tuple[Answered | Failed, bool]:
        """Pass on a stream whose first events have come, to its end."""
        self._began = True
        if not self._started and not answer.sealed:
            return Failed(Failure.BROKEN, "a stream without a seal"), False
        with anyio.CancelScope(deadline=anyio.current_time() + self._left()) as scope:
            while data:
                await self._pass_part(answer, data)
                data = b""
                with anyio.move_on_after(self._limit_silence()) as silence:
                    data = await self._receive_events(chunks, splitter)
                if silence.cancelled_caught:
                    self._note_failure(view, False)
                    return Failed(Failure.SILENT, "the stream stalled"), False
            await self._pass_part(answer, splitter.rest)
            kept = self._keep(view, connection, answer)
            await self._send({"type": "http.response.body", "body": b""})
            return Answered(answer.status, view.runner.name), kept
        assert scope.cancelled_caught
        return Failed(Failure.SILENT, "the stream took too long"), False

    def _limit_silence(self) -> float:
        """Return how long a stream may be silent before it goes on elsewhere."""
        if not self._route.resumable or self._arrivals >= self._route.max_runners:
            return max(0.0, self._left())
        return max(STALL_SECONDS, STALL_FACTOR * self._route.gap)

    async def _pass_part(self, answer: RunnerAnswer, data: bytes) -> None:
        now = time.monotonic()
        if self._started:
            gap = now - self._last_part_at
            self._services.measures.gaps.record(gap, {"route": self._route.name})
        self._last_part_at = now
        if not self._started:
            self._started = True
            self._first_byte_at = now
            await self._send(
                {
                    "type": "http.response.start",
                    "status": answer.status,
                    "headers": list(answer.headers),
                }
            )
        if data:
            await self._send(
                {"type": "http.response.body", "body": data, "more_body": True}
            )

    async def _pass_on(self, answer: RunnerAnswer, body: bytes) -> None:
        self._started = True
        self._first_byte_at = time.monotonic()
        headers = [*answer.headers, (b"content-length", b"%d" % len(body))]
        await self._send(
            {
                "type": "http.response.start",
                "status": answer.status,
                "headers": headers,
            }
        )
        await self._send({"type": "http.response.body", "body": body})

    def _keep(
        self, view: RunnerView, connection: RunnerConnection, answer: RunnerAnswer
    ) -> bool:
        if not connection.finish():
            return False
        self._services.pool.keep(
            view.runner.name, connection, answer.idle_seconds, time.monotonic()
        )
        return True

    def _note_begun(self, view: RunnerView) -> None:
        if self._unread:
            self._services.runners.note_begun(view, self._request.prompt_tokens)
            self._unread = False

    def _note_load(self, view: RunnerView, answer: RunnerAnswer) -> None:
        if answer.running is not None and answer.waiting is not None:
            self._services.runners.note_load(
                view, answer.running, answer.waiting, time.monotonic()
            )

    def _note_rejection(self, view: RunnerView, answer: RunnerAnswer) -> None:
        if answer.status == 421:
            self._note_failure(view, True)
        else:
            self._services.runners.note_full(view, time.monotonic())

    def _note_connection(self, view: RunnerView, error: ConnectionFailed) -> None:
        services = self._services
        now = time.monotonic()
        if error.silent:
            self._note_silence(view)
        if error.sent:
            services.suspects.note_break(view.runner.name, self._fingerprint, now)
            return
        lines = services.suspects.note_crash(view.runner.name, now)
        if lines:
            log_event(
                Event.RUNNER_CRASHED, runner=view.runner.name, suspects=len(lines)
            )
            services.tell_suspects(lines)

    def _note_silence(self, view: RunnerView) -> None:
        if self._services.runners.note_silence(view, time.monotonic()):
            log_event(
                Event.DATA_CENTRE_SILENT,
                data_centre=view.runner.data_centre,
                runner=view.runner.name,
                request=self._request.identity,
            )

    def _note_failure(self, view: RunnerView, certain: bool) -> None:
        ejected = self._services.runners.note_failure(view, time.monotonic(), certain)
        if ejected:
            log_event(
                Event.RUNNER_EJECTED,
                runner=view.runner.name,
                endpoint=view.runner.endpoint,
                seconds=view.ejection,
                failing=round(view.failing, 2),
            )

    def _log_failure(self, view: RunnerView, outcome: Failed) -> None:
        labels = {"endpoint": self._endpoint.name, "outcome": outcome.failure.value}
        self._services.measures.attempts.add(1, labels)
        log_event(
            Event.ATTEMPT_FAILED,
            request=self._request.identity,
            route=self._route.name,
            runner=view.runner.name,
            failure=outcome.failure.name.lower(),
            detail=outcome.detail,
            attempt=self._arrivals,
            left=round(self._left(), 3),
        )

    def _count_tokens(self) -> int:
        """Return the tokens used: its prompt if it may have run, and its events."""
        if not self._began:
            return 0
        output = self._progress.passed * self._endpoint.tokens_per_event
        return self._request.prompt_tokens + min(output, self._request.most_output)


def _streams(answer: RunnerAnswer) -> bool:
    return answer.event_stream and answer.status == 200


def draw_retry(rng: random.Random) -> float:
    """Return when a refused caller may come back, seconds."""
    return rng.uniform(*RETRY_SECONDS)


def _choose_worse(last: Failed | None, new: Failed) -> Failed:
    """Return the failure that says more of what became of the request."""
    if last is None or new.failure is not Failure.NOT_SENT:
        return new
    return last
