"""What a relay learns from its attempts: about runners, paths and crashing requests."""

from __future__ import annotations

import time

from ..events import Event, log_event
from .connections import ConnectionFailed
from .models import Framing, RunnerAnswer
from .request_context import RequestContext
from .runner_statements import MISDIRECTED, record_statements
from .scheduling.runner_views import RunnerView
from .scheduling.workloads import count_private_tokens, find_shared_part

UNRESPONSIVE_SECONDS = 0.5
"""Shortest wait for the first byte that counts as a failure of the runner. A route's
timeout may be shorter than its work takes, which is no evidence against the runner."""

NOT_HTTP_IN_A_ROW = 2
"""Answers in a row that are no HTTP after which a runner is ejected at once."""

MIN_SOUND_SECONDS = 1.0
MIN_SOUND_PIECES = 8
"""Time since the first piece of a stream, and number of its pieces, after which the
prompt doesn't crash the runner. A late event loop reads several pieces at once, so the
time alone isn't enough."""

SUCCESS_STATUSES = range(200, 300)


class AttemptRecorder:
    """Records the course of one attempt in the state that all requests share.

    Args:
        context: The request and its state.
        view: The runner.
    """

    def __init__(self, context: RequestContext, view: RunnerView) -> None:
        self._context = context
        self._view = view
        self._prefill_pending = False
        self._prefill_tokens = 0
        self._long = False
        self._sent_at = 0.0
        self._pace = 1.0
        self._piece_count = 0
        self._shows_sound = False
        self._first_piece_at = 0.0

    @property
    def prefill_tokens(self) -> int:
        """Tokens that the runner probably has to read."""
        return self._prefill_tokens

    def record_sent(self) -> None:
        """Record that the request is about to be sent to the runner."""
        now = time.monotonic()
        self._prefill_tokens = self._estimate_prefill(now)
        self._context.services.runners.record_sent(
            self._view,
            self._prefill_tokens,
            self,
            self._context.priorities.by_account_and_route,
            now,
        )
        self._prefill_pending = True

    def _estimate_prefill(self, now: float) -> int:
        """Return the tokens that the runner has to prefill, and count the request."""
        request = self._context.request
        runners = self._context.services.runners
        placement = runners.find_placement(self._view.runner.endpoint)
        choice = self._context.choice
        if placement is None or choice is None or choice.long is None:
            return request.prompt_tokens
        tokens = choice.prefill
        if self._context.counted_attempts:
            self._long = placement.workload.is_long(count_private_tokens(request.parts))
        else:
            self._long = placement.workload.record_sent(request.parts, tokens, now)
        self._sent_at = now
        self._pace = self._view.pace.estimate(now, placement.division.median_pace)
        return tokens

    def record_finished(self) -> None:
        """Record that the runner no longer works on the request."""
        runners = self._context.services.runners
        runners.record_finished(self._view)
        placement = runners.find_placement(self._view.runner.endpoint)
        if placement is not None and self._sent_at:
            now = time.monotonic()
            seconds = (now - self._sent_at) / (self._view.pace.lowest or 1.0)
            placement.workload.record_finished(self._long, seconds, now)

    def record_answer(self, answer: RunnerAnswer, sent_at: float) -> None:
        """Record what the head of an answer says about the runner.

        Args:
            sent_at: When the request was sent, monotonic seconds.
        """
        self._record_load(answer)
        self._record_limit(answer, sent_at)
        self._record_brittleness(answer, sent_at)
        self._record_cold_left(answer)
        if self._is_from_runner(answer):
            record_statements(
                self._context.services.runners, self._view, answer, time.monotonic()
            )

    def record_timeout(self, began_at: float) -> None:
        """Record that the first byte of an answer didn't arrive in time."""
        if self._context.services.overload.may_cause_timeouts(time.monotonic()):
            # This host's event loop or link is slow, so the runner may have answered in
            # time.
            return
        self._record_prompt_wait(began_at, abandoned=True)
        if time.monotonic() - began_at >= UNRESPONSIVE_SECONDS:
            self._record_unresponsive()
            self.record_failure(certain=False)

    def record_connection_time(self, seconds: float, now: float) -> None:
        """Record how long it took to connect, as a sample of this host's link.

        Only connections to runners in the same data centre count, as their distance is
        constant. Others also time out during a network partition between data centres,
        and reused connections give no sample.

        Args:
            seconds: Time to connect, seconds.
            now: Monotonic time, seconds.
        """
        services = self._context.services
        if self._view.runner.data_centre == services.data_centre:
            services.overload.record_connect_time(
                str(self._view.incarnation), seconds, now
            )

    def record_success(self, began_at: float) -> None:
        """Record that the runner has begun a valid answer."""
        context, now = self._context, time.monotonic()
        context.services.runners.record_success(self._view, now - began_at, now)
        self._view.not_http_count = 0
        self.record_prefill_end()
        self._record_prompt_wait(began_at, abandoned=False)
        if context.request.parts:
            shared = find_shared_part(context.request.parts)
            context.services.runners.record_prefix(shared.name, self._view, now)

    def record_stream_begin(self, began_at: float) -> None:
        """Record that the first event of a stream has arrived.

        Other answers don't show how long the runner took to read the prompt: errors
        come at once, and a whole answer only when it is written.
        """
        seconds = time.monotonic() - began_at
        runners = self._context.services.runners
        placement = runners.find_placement(self._view.runner.endpoint)
        if placement is not None and self._long:
            placement.workload.record_first_event(
                self._prefill_tokens, seconds / self._pace
            )

    def record_complete(self, framing: Framing) -> None:
        """Record that the runner has sent a whole answer.

        The request doesn't crash runners. The begin of an answer doesn't show that, as
        a runner may crash right after it, nor does an answer that ends with its
        connection, until the runner accepts another one.
        """
        context = self._context
        detector, runner = context.services.crash_detector, self._view.runner
        if framing is Framing.CONNECTION:
            detector.record_closed(
                runner.incarnation, runner.address, context.fingerprints
            )
        else:
            detector.record_sound(context.fingerprints)

    def record_stream_piece(self) -> None:
        """Record that the runner has sent one more piece of a stream.

        A prompt part that crashes runners does so as the answer begins. A runner that
        has written for some time shows that none of the parts does.
        """
        now = time.monotonic()
        self._piece_count += 1
        if self._piece_count == 1:
            self._first_piece_at = now
        if self._piece_count < MIN_SOUND_PIECES or self._shows_sound:
            return
        if now - self._first_piece_at >= MIN_SOUND_SECONDS:
            self._shows_sound = True
            prompt_parts = self._context.fingerprints[1:]
            self._context.services.crash_detector.record_sound(prompt_parts)

    def _record_prompt_wait(self, began_at: float, abandoned: bool) -> None:
        """Record how long the prompt waited at the runner.

        Args:
            began_at: When the request was sent, monotonic seconds.
            abandoned: Whether the wait ended without an answer.
        """
        if self._context.request.parts:
            now = time.monotonic()
            runners = self._context.services.runners
            runners.record_prefill_wait(self._view, now - began_at, abandoned, now)

    def record_prefill_end(self) -> None:
        """Record that the runner has read the prompt, or never will."""
        if self._prefill_pending:
            self._context.services.runners.record_prefill_end(
                self._view, self._prefill_tokens, self
            )
            self._prefill_pending = False

    def _record_load(self, answer: RunnerAnswer) -> None:
        services, now = self._context.services, time.monotonic()
        if answer.running is not None and answer.waiting is not None:
            services.runners.record_load_report(
                self._view, answer.running, answer.waiting, now
            )
        if answer.pace is not None and self._is_from_runner(answer):
            services.runners.record_pace(self._view, answer.pace, now)
        if answer.load_unreadable:
            self._record_unreadable_load()

    def _record_unreadable_load(self) -> None:
        """Count a load statement that can't be read, and log a runner's first one."""
        endpoint = self._view.runner.endpoint
        metrics = self._context.services.metrics
        metrics.unreadable_loads.add(1, {"endpoint": endpoint})
        if not self._view.load_unreadable:
            self._view.load_unreadable = True
            log_event(
                Event.LOAD_UNREADABLE,
                runner=str(self._view.incarnation),
                endpoint=endpoint,
                request=self._context.request.identity,
            )

    def _record_cold_left(self, answer: RunnerAnswer) -> None:
        if answer.cold_left is not None and answer.status != MISDIRECTED:
            self._context.services.runners.bounds.record_cold_left(
                self._view, answer.cold_left, time.monotonic()
            )

    def _is_from_runner(self, answer: RunnerAnswer) -> bool:
        """Return whether the intended runner sent an answer, and to this request."""
        return (
            answer.status != MISDIRECTED
            and answer.identity == self._context.request.identity
        )

    def _record_limit(self, answer: RunnerAnswer, sent_at: float) -> None:
        """Record the rate limit in an answer, or that the runner no longer has one."""
        context = self._context
        if not self._is_from_runner(answer):
            return
        if answer.limit is None and answer.status not in SUCCESS_STATUSES:
            # Rejections and errors may lack the limit, as a runner may send them before
            # it has evaluated the rest of the request.
            return
        update = context.services.runners.bounds.record_limit(
            self._view, answer.limit, time.monotonic(), sent_at
        )
        if update is not None:
            log_event(
                Event.RUNNER_LIMITED,
                runner=update.runner,
                limit=update.rate,
                request=context.request.identity,
            )
            context.services.send_limit(update)

    def _record_brittleness(self, answer: RunnerAnswer, sent_at: float) -> None:
        """Record how many rejections the runner tolerates, or that it isn't brittle."""
        context = self._context
        if not self._is_from_runner(answer):
            return
        if answer.brittle is None and answer.status not in SUCCESS_STATUSES:
            return
        if context.services.runners.bounds.record_brittleness(
            self._view, answer.brittle, time.monotonic(), sent_at
        ):
            log_event(
                Event.RUNNERS_BRITTLE,
                endpoint=self._view.runner.endpoint,
                rejections=answer.brittle,
                request=context.request.identity,
            )

    def record_rejection(self, answer: RunnerAnswer) -> None:
        """Record that the runner rejected the request without running it."""
        if answer.status == MISDIRECTED:
            self.record_failure(certain=True)
            if answer.runner is not None:
                self._context.services.report_mismatch(self._view.runner, answer.runner)
        else:
            self._context.services.runners.record_rejection(
                self._view, time.monotonic()
            )

    def record_connection_error(self, error: ConnectionFailed) -> None:
        """Record a connection that failed as a possible crash of the runner."""
        if not error.tried:
            return
        if error.timed_out:
            self._record_unresponsive()
        detector, runner = self._context.services.crash_detector, self._view.incarnation
        if error.sent:
            address = self._view.runner.address
            detector.record_broken(runner, address, self._context.fingerprints)
        else:
            detector.record_refused(runner)

    def record_not_http(self) -> bool:
        """Record bytes that are no HTTP; return whether the runner can't serve.

        One such answer may be an accident that some runners have now and then, and to
        eject each of them for it would cost more than it saves.
        """
        self._view.not_http_count += 1
        return self._view.not_http_count >= NOT_HTTP_IN_A_ROW

    def _record_unresponsive(self) -> None:
        if self._context.services.runners.record_timeout(self._view, time.monotonic()):
            log_event(
                Event.DATA_CENTRE_SILENT,
                data_centre=self._view.runner.data_centre,
                runner=self._view.runner.name,
                request=self._context.request.identity,
            )

    def record_failure(self, certain: bool) -> None:
        """Record a failure of the runner, which may eject it."""
        runners = self._context.services.runners
        if runners.record_failure(self._view, time.monotonic(), certain):
            log_event(
                Event.RUNNER_EJECTED,
                runner=self._view.runner.name,
                endpoint=self._view.runner.endpoint,
                seconds=self._view.ejection_seconds,
                failing=round(self._view.failure_rate, 2),
            )
