"""Forwarding of one admitted request, with retries and failover of streams."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass

import anyio

from ..events import Event, log_event
from ..outcomes import Ran, Refusal, RefusalKind
from .attempts import Attempt
from .models import Route, RunnerIncarnation
from .refusals import draw_retry_after
from .request_context import Answered, AttemptFailed, FailureKind, RequestContext
from .scheduling.queue_wait import compute_retry_after, estimate_shortest_wait
from .scheduling.runner_views import RunnerView
from .scheduling.selection import choose_runner

HANDOVER_SECONDS = 0.3
"""Time for which the run of a stalled stream stays open while another runner is asked
to resume it. A full runner rejects the request within some milliseconds. Runs of one
request may overlap for 0.4 s, which includes the network latency to the runner."""

MAX_FAILED_CONNECTS = 4
"""Connection failures after which a request is given up. Nothing has run at these
runners, so they cost only the caller's time and don't count as attempts."""

ROTATION_JITTER_SECONDS = (0.05, 0.25)
"""Range of the jitter added to the time until the load balancer sends callers to other
hosts, so that they don't arrive there together."""


@dataclass(frozen=True)
class Broken:
    """The caller has received part of a stream, and the rest isn't available.

    Attributes:
        detail: Cause of the failure.
    """

    detail: str


class RequestForwarder:
    """Forwards one request to runners until one answers it.

    Args:
        context: The request and its state.
    """

    def __init__(self, context: RequestContext) -> None:
        self._context = context
        self._attempted: set[RunnerIncarnation] = set()
        self._stalled: Attempt | None = None

    @property
    def route(self) -> Route:
        """The request's route."""
        return self._context.route

    async def run(self) -> Answered | Broken | Refusal:
        """Send the request to runners until one answers or no retry is allowed."""
        try:
            return await self._forward()
        finally:
            self._context.reservation.settle(self.count_tokens())
            await self._close_stalled()

    def abort(self) -> Broken | Refusal:
        """Return the outcome of a request that this process's shutdown ends early."""
        context = self._context
        detail = "this host stopped before the answer ended"
        log_event(
            Event.REQUEST_CUT_OFF,
            request=context.request.identity,
            route=context.route.name,
            started=context.response.started,
            may_have_run=context.may_have_run,
            left=round(context.get_remaining_seconds(), 3),
        )
        if context.response.started:
            return Broken(detail)
        if context.may_have_run:
            return self._refuse(RefusalKind.OUTCOME_UNKNOWN, Ran.UNKNOWN, detail, None)
        retry_after = draw_retry_after(context.services.rng)
        return self._refuse(RefusalKind.STOPPING, Ran.NOT_RUN, detail, retry_after)

    async def _forward(self) -> Answered | Broken | Refusal:
        context = self._context
        refusal = (
            self._refuse_partitioned()
            or self._refuse_lost_version()
            or self._refuse_queue_wait()
        )
        if refusal is not None:
            return refusal
        failed_connects = 0
        last_failure: AttemptFailed | None = None
        while True:
            refusal = context.services.crash_detector.refuse_quarantined(
                context.request.identity, context.fingerprints
            )
            if refusal is not None:
                resumed = await self._resume_stalled(last_failure)
                return resumed or self._end_quarantined(refusal, last_failure)
            view = self._choose_runner()
            if view is None:
                return await self._resume_stalled(last_failure) or self._fail_request(
                    last_failure
                )
            outcome = await self._attempt_runner(view)
            if not isinstance(outcome, AttemptFailed):
                return outcome
            self._attempted.add(view.incarnation)
            last_failure = _select_failure(last_failure, outcome)
            self._log_failure(view, outcome)
            if outcome.kind is FailureKind.NOT_SENT:
                failed_connects += 1
                if failed_connects >= MAX_FAILED_CONNECTS:
                    return await self._resume_stalled(
                        last_failure
                    ) or self._fail_request(last_failure)
            elif not self._may_retry(outcome):
                return await self._resume_stalled(last_failure) or await self._finish(
                    last_failure, outcome
                )

    async def _attempt_runner(self, view: RunnerView) -> Answered | AttemptFailed:
        """Send the request to a runner; end a stalled run after `HANDOVER_SECONDS`."""
        attempt = Attempt(self._context, view, self._close_stalled)
        if self._context.progress.last_event_id is not None:
            self._log_resumption(view)
        if self._stalled is None:
            outcome = await attempt.run()
        else:
            async with anyio.create_task_group() as group:
                group.start_soon(self._close_stalled_later)
                outcome = await attempt.run()
                group.cancel_scope.cancel()
        if attempt.stalled:
            await self._close_stalled()
            self._stalled = attempt
        return outcome

    async def _close_stalled_later(self) -> None:
        await anyio.sleep(HANDOVER_SECONDS)
        await self._close_stalled()

    async def _close_stalled(self) -> None:
        """End the run of a stalled stream, if there is one."""
        stalled, self._stalled = self._stalled, None
        if stalled is not None:
            await stalled.close()

    async def _resume_stalled(
        self, last_failure: AttemptFailed | None
    ) -> Answered | Broken | None:
        """Return to the run of a stalled stream, if it is still open.

        Without this, a caller would receive a truncated answer when a runner pauses its
        stream for more urgent work and all other runners are full, although the rest
        of the stream was about to arrive.

        Returns:
            The outcome; ``None`` if there is no open run.
        """
        while self._stalled is not None:
            stalled, self._stalled = self._stalled, None
            outcome = await stalled.resume()
            if isinstance(outcome, Answered):
                return outcome
            last_failure = _select_failure(last_failure, outcome)
            if not stalled.stalled:
                return Broken(last_failure.detail)
            self._stalled = stalled
        return None

    def _refuse_partitioned(self) -> Refusal | None:
        """Refuse a request whose runners are all in unreachable data centres.

        Returns:
            The refusal; ``None`` if the request may go on.
        """
        context, now = self._context, time.monotonic()
        runners, local = context.services.runners, context.services.data_centre
        if not runners.is_partitioned(local, now):
            return None
        if runners.has_runner_in(context.endpoint.name, local, now):
            return None
        retry_after = self._leave_rotation(now)
        detail = "this data centre is cut off from all runners"
        return self._refuse(RefusalKind.FULL, Ran.NOT_RUN, detail, retry_after)

    def _leave_rotation(self, now: float) -> float:
        """Take this host out of the load balancer's rotation.

        Returns:
            Retry-after time until callers are sent to other hosts, seconds.
        """
        services = self._context.services
        if services.overload.record_partition(now):
            log_event(
                Event.DATA_CENTRE_CUT_OFF,
                data_centre=services.data_centre,
                endpoint=self._context.endpoint.name,
                request=self._context.request.identity,
            )
        jitter = services.rng.uniform(*ROTATION_JITTER_SECONDS)
        return services.overload.compute_redirect_delay(now) + jitter

    def _refuse_lost_version(self) -> Refusal | None:
        """Refuse a stream that may use none of the versions that are there.

        Returns:
            The refusal; ``None`` if the request may go on.
        """
        context, now = self._context, time.monotonic()
        runners, endpoint = context.services.runners, context.endpoint.name
        if context.bound is None or runners.list_views(endpoint, now, context.bound):
            return None
        retry_after = draw_retry_after(context.services.rng)
        if context.origin is not None:
            version = context.origin.version
            detail = f"no runner of version {version} is left; begin the stream anew"
            kind = RefusalKind.NOT_RESUMABLE
            return self._refuse(kind, Ran.NOT_RUN, detail, retry_after)
        if not runners.list_views(endpoint, now):
            return None
        detail = "the store doesn't answer, and doesn't know the runners' version yet"
        kind = RefusalKind.NO_ENDPOINT
        return self._refuse(kind, Ran.NOT_RUN, detail, retry_after)

    def _refuse_queue_wait(self) -> Refusal | None:
        """Refuse a prompt that would wait at every runner until its caller gives up.

        Returns:
            The refusal; ``None`` if the request may go on.
        """
        context, now = self._context, time.monotonic()
        if not context.request.parts:
            return None
        runners = context.services.runners
        views = runners.list_views(context.endpoint.name, now, context.bound)
        if any(self._accepts_soon(view, now) for view in views):
            return None
        views = [
            v
            for v in views
            if runners.bounds.may_send(v, context.priorities.by_account_and_route, now)
        ]
        available = [view for view in views if runners.is_available(view, now)]
        wait = estimate_shortest_wait(
            available or views, context.priorities.by_account_and_route, now
        )
        retry_after = compute_retry_after(wait, context.route, context.services.rng)
        if retry_after is None:
            return None
        if runners.is_partitioned(context.services.data_centre, now):
            retry_after = self._leave_rotation(now)
        detail = f"prompts wait {wait:.2f} s at every runner"
        return self._refuse(RefusalKind.FULL, Ran.NOT_RUN, detail, retry_after)

    def _accepts_soon(self, view: RunnerView, now: float) -> bool:
        """Return whether a prompt may be sent to a runner and waits there shortly.

        One such runner shows that the shortest wait is short. Nearly always the first
        one is, so the waits at the others need not be estimated.
        """
        context = self._context
        runners = context.services.runners
        priority = context.priorities.by_account_and_route
        wait = view.estimate_wait(priority, now)
        return (
            compute_retry_after(wait, context.route, context.services.rng) is None
            and runners.is_available(view, now)
            and runners.bounds.may_send(view, priority, now)
        )

    def _choose_runner(self) -> RunnerView | None:
        context = self._context
        if context.get_remaining_seconds() <= 0:
            return None
        choice = choose_runner(
            context.services.runners,
            context.endpoint.name,
            context.request,
            self._attempted,
            context.services.data_centre,
            time.monotonic(),
            context.services.rng,
            context.priorities.by_account_and_route,
            context.bound,
            context.route.objective,
        )
        if choice is None:
            return None
        context.choice = choice
        if choice.long is not None:
            labels = {
                "endpoint": context.endpoint.name,
                "prompt": "long" if choice.long else "short",
                "own_side": choice.own_side,
            }
            context.services.metrics.placements.add(1, labels)
        return choice.view

    def _may_retry(self, outcome: AttemptFailed) -> bool:
        """Return whether the request may be retried at another runner.

        A retry that is otherwise allowed is taken from the endpoint's retry budget.
        """
        context, services = self._context, self._context.services
        if outcome.kind is not FailureKind.NOT_RUN and not context.route.repeatable:
            return False
        if (
            context.counted_attempts >= context.route.max_runners
            or context.get_remaining_seconds() <= 0
        ):
            return False
        name = context.endpoint.name
        allowed = services.retry_budget.try_acquire(
            name, services.count_relays(), time.monotonic()
        )
        services.metrics.repeats.add(1, {"endpoint": name, "allowed": allowed})
        return allowed

    async def _finish(
        self, last_failure: AttemptFailed, outcome: AttemptFailed
    ) -> Answered | Broken | Refusal:
        """Return the final outcome after the last attempt.

        If the runner answered with an error, that answer is passed on, unless the
        caller has already received part of a stream.
        """
        answer, response = outcome.answer, self._context.response
        if answer is None or response.started:
            return self._fail_request(last_failure)
        await response.send_whole(answer.status, list(answer.headers), outcome.body)
        return Answered(answer.status, outcome.runner, outcome.framing)

    def _end_quarantined(
        self, refusal: Refusal, last_failure: AttemptFailed | None
    ) -> Broken | Refusal:
        """Return the outcome of a request that was quarantined while it was served."""
        if self._context.response.started or self._context.may_have_run:
            return self._fail_request(last_failure)
        return refusal

    def _fail_request(self, last_failure: AttemptFailed | None) -> Broken | Refusal:
        detail = last_failure.detail if last_failure else "no runner is known"
        if self._context.response.started:
            return Broken(detail)
        if self._context.may_have_run:
            late = last_failure is not None and last_failure.kind is FailureKind.SILENT
            kind = RefusalKind.DEADLINE if late else RefusalKind.OUTCOME_UNKNOWN
            return self._refuse(kind, Ran.UNKNOWN, detail, None)
        return self._refuse_not_run(last_failure, detail)

    def _refuse_not_run(
        self, last_failure: AttemptFailed | None, detail: str
    ) -> Refusal:
        """Refuse a request that no runner has run, with a retry-after time.

        If no runner wants a request now, the time includes the wait until one of them
        accepts the next one, up to the route's timeout.
        """
        context = self._context
        retry_after = draw_retry_after(context.services.rng)
        limit_wait = context.services.runners.compute_wait(
            context.endpoint.name,
            context.priorities.by_account_and_route,
            time.monotonic(),
            context.bound,
        )
        evacuated = context.services.runners.list_evacuated(context.endpoint.name)
        if limit_wait is not None:
            retry_after += min(limit_wait, context.route.timeout)
        if last_failure is None and limit_wait is not None:
            context.services.runners.bounds.record_refusal(
                context.endpoint.name, time.monotonic()
            )
            detail = (
                "every runner limits or pauses its requests, is cold, or is full and "
                "brittle"
            )
        elif last_failure is None and evacuated:
            detail = f"no runner outside of evacuated data centres: {evacuated}"
        kind = (
            RefusalKind.FULL if last_failure or limit_wait else RefusalKind.NO_ENDPOINT
        )
        return self._refuse(kind, Ran.NOT_RUN, detail, retry_after)

    def _refuse(
        self, kind: RefusalKind, ran: Ran, detail: str, retry_after: float | None
    ) -> Refusal:
        name = self._context.endpoint.name
        return Refusal("relay.run", name, detail, kind, ran, retry_after)

    def _log_failure(self, view: RunnerView, outcome: AttemptFailed) -> None:
        context = self._context
        labels = {"endpoint": context.endpoint.name, "outcome": outcome.kind.value}
        context.services.metrics.attempts.add(1, labels)
        log_event(
            Event.ATTEMPT_FAILED,
            request=context.request.identity,
            route=context.route.name,
            runner=view.runner.name,
            failure=outcome.kind.name.lower(),
            detail=outcome.detail,
            attempt=context.counted_attempts,
            content=context.fingerprints[0],
            prefix=[part.name for part in context.request.parts],
            events=context.progress.event_count,
            left=round(context.get_remaining_seconds(), 3),
        )

    def _log_resumption(self, view: RunnerView) -> None:
        context, origin = self._context, self._context.origin
        listed = context.services.runners.list_views(
            context.endpoint.name, time.monotonic()
        )
        log_event(
            Event.STREAM_RESUMED,
            request=context.request.identity,
            stream=context.request.resumes,
            by="host" if context.progress.event_count else "caller",
            stalled=self._stalled is not None,
            last_event=context.progress.last_event_id,
            began_by=origin.runner if origin else None,
            began_at=origin.version if origin else None,
            runner=view.runner.name,
            version=view.runner.version,
            choice=dict(Counter(other.runner.version for other in listed)),
        )

    def count_tokens(self) -> int:
        """Return the number of tokens to charge.

        Nothing is charged if the request can't have run. Otherwise it is the prompt and
        the events passed on, up to the output limit of the request.
        """
        context = self._context
        if not context.may_have_run:
            return 0
        output = context.progress.event_count * context.endpoint.tokens_per_event
        return context.request.prompt_tokens + min(
            output, context.request.max_output_tokens
        )


def _select_failure(
    last_failure: AttemptFailed | None, new: AttemptFailed
) -> AttemptFailed:
    """Return the failure to report: the new one, unless it sent nothing to a runner."""
    if last_failure is None or new.kind is not FailureKind.NOT_SENT:
        return new
    return last_failure
