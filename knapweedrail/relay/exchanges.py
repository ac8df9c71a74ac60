"""One caller's request, from its admission to its answer."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass

import anyio

from ..events import Event, log_event
from ..outcomes import Ran, Refusal, RefusalKind
from .attempts import Attempt
from .calls import Answered, Call, Failed, Failure
from .models import Route, RunnerLife
from .patience import find_wait, plan_return
from .reservations import Reservation
from .selection import choose_runner
from .views import RunnerView

HANDOVER_SECONDS = 0.3
"""How long the run of a stalled stream is kept while another runner is asked to go on
with it: one that is full says so within some milliseconds. Runs of one request may
overlap for 0.4 s, of which a host's way to the runner takes a part."""

MAX_CONNECTS = 4
"""Runners tried that take no connection. Nothing has run there, so only the caller's
time is spent."""

RETRY_SECONDS = (0.3, 0.9)
"""Bounds of the time after which a caller may come back, drawn at random: by then a
burst of short work has passed, and callers refused together don't return together."""

MOVE_SPREAD_SECONDS = (0.05, 0.25)
"""Bounds of what is added to the time until the balancer sends callers elsewhere, so
that they don't arrive there together."""


@dataclass(frozen=True)
class Broken:
    """The caller has part of a stream, and the rest can't be had."""

    detail: str


class Exchange:
    """Has a request answered, by as many runners as it may be sent to.

    Args:
        call: The request.
        reservation: Tokens set aside for it.
    """

    def __init__(self, call: Call, reservation: Reservation) -> None:
        self._call = call
        self._reservation = reservation
        self._tried: set[RunnerLife] = set()
        self._stalled: Attempt | None = None

    @property
    def route(self) -> Route:
        """The request's route."""
        return self._call.route

    async def run(self) -> Answered | Broken | Refusal:
        """Send the request to runners until one answers, or none may any more."""
        try:
            return await self._run()
        finally:
            self._reservation.settle(self.count_tokens())
            await self._end_stalled()

    def cut_off(self) -> Broken | Refusal:
        """Return the final answer to a request that this process ends too soon for."""
        call = self._call
        detail = "this host stopped before the answer ended"
        log_event(
            Event.REQUEST_CUT_OFF,
            request=call.request.identity,
            route=call.route.name,
            started=call.delivery.started,
            may_have_run=call.may_have_run,
            left=round(call.measure_left(), 3),
        )
        if call.delivery.started:
            return Broken(detail)
        if call.may_have_run:
            return self._refuse(RefusalKind.OUTCOME_UNKNOWN, Ran.UNKNOWN, detail, None)
        retry_after = draw_retry(call.services.rng)
        return self._refuse(RefusalKind.STOPPING, Ran.NOT_RUN, detail, retry_after)

    async def _run(self) -> Answered | Broken | Refusal:
        refusal = self._refuse_cut_off() or self._refuse_wait()
        if refusal is not None:
            return refusal
        connects = 0
        last: Failed | None = None
        while True:
            view = self._choose()
            if view is None:
                return await self._go_on(last) or self._give_up(last)
            outcome = await self._attempt(view)
            if not isinstance(outcome, Failed):
                return outcome
            self._tried.add(view.life)
            last = _choose_worse(last, outcome)
            self._log_failure(view, outcome)
            if outcome.failure is Failure.NOT_SENT:
                connects += 1
                if connects >= MAX_CONNECTS:
                    return await self._go_on(last) or self._give_up(last)
            elif not self._may_repeat(outcome):
                return await self._go_on(last) or await self._end(last, outcome)

    async def _attempt(self, view: RunnerView) -> Answered | Failed:
        """Give a runner its turn."""
        attempt = Attempt(self._call, view, self._end_stalled)
        if self._stalled is None:
            outcome = await attempt.run()
        else:
            async with anyio.create_task_group() as group:
                group.start_soon(self._end_stalled_soon)
                outcome = await attempt.run()
                group.cancel_scope.cancel()
        if attempt.stalled:
            await self._end_stalled()
            self._stalled = attempt
        return outcome

    async def _end_stalled_soon(self) -> None:
        await anyio.sleep(HANDOVER_SECONDS)
        await self._end_stalled()

    async def _end_stalled(self) -> None:
        """End a run whose stream has stalled, if there is one."""
        stalled, self._stalled = self._stalled, None
        if stalled is not None:
            await stalled.close()

    async def _go_on(self, last: Failed | None) -> Answered | Broken | None:
        """Wait for a stalled stream after all, if its run is still there.

        What goes wrong otherwise: a runner pauses to make room for more urgent work,
        all others are full, and the caller is left with half an answer of which the
        rest was about to come.
        """
        while self._stalled is not None:
            stalled, self._stalled = self._stalled, None
            outcome = await stalled.resume()
            if isinstance(outcome, Answered):
                return outcome
            last = _choose_worse(last, outcome)
            if not stalled.stalled:
                return Broken(last.detail)
            self._stalled = stalled
        return None

    def _refuse_cut_off(self) -> Refusal | None:
        """Refuse what runs only in data centres that can't be reached from here."""
        call, now = self._call, time.monotonic()
        runners, here = call.services.runners, call.services.data_centre
        if not runners.is_cut_off(here, now):
            return None
        if runners.has_local(call.endpoint.name, here, now):
            return None
        retry_after = self._send_elsewhere(now)
        detail = "this data centre is cut off from all runners"
        return self._refuse(RefusalKind.FULL, Ran.NOT_RUN, detail, retry_after)

    def _send_elsewhere(self, now: float) -> float:
        """Leave the rotation; return when callers will be sent elsewhere, seconds."""
        services = self._call.services
        if services.pressure.note_cut_off(now):
            log_event(
                Event.DATA_CENTRE_CUT_OFF,
                data_centre=services.data_centre,
                endpoint=self._call.endpoint.name,
                request=self._call.request.identity,
            )
        spread = services.rng.uniform(*MOVE_SPREAD_SECONDS)
        return services.pressure.measure_move(now) + spread

    def _refuse_wait(self) -> Refusal | None:
        """Refuse a prompt that would wait until its caller gives up."""
        call, now = self._call, time.monotonic()
        if not call.request.parts:
            return None
        runners = call.services.runners
        views = runners.list_views(call.endpoint.name, now)
        views = [v for v in views if runners.admits(v, call.ranks.busy, now)]
        rested = [view for view in views if runners.is_rested(view, now)]
        wait = find_wait(rested or views, call.ranks.busy, now)
        retry_after = plan_return(wait, call.route, call.services.rng)
        if retry_after is None:
            return None
        if runners.is_cut_off(call.services.data_centre, now):
            retry_after = self._send_elsewhere(now)
        detail = f"prompts wait {wait:.2f} s at every runner"
        return self._refuse(RefusalKind.FULL, Ran.NOT_RUN, detail, retry_after)

    def _choose(self) -> RunnerView | None:
        call = self._call
        if call.measure_left() <= 0:
            return None
        return choose_runner(
            call.services.runners,
            call.endpoint.name,
            call.request,
            self._tried,
            call.services.data_centre,
            time.monotonic(),
            call.services.rng,
            call.ranks.busy,
        )

    def _may_repeat(self, outcome: Failed) -> bool:
        """Return whether the request may go to another runner after this outcome."""
        call, services = self._call, self._call.services
        if outcome.failure is not Failure.NOT_RUN and not call.route.repeatable:
            return False
        if call.arrivals >= call.route.max_runners or call.measure_left() <= 0:
            return False
        name = call.endpoint.name
        taken = services.retries.take(name, services.count_relays(), time.monotonic())
        services.measures.repeats.add(1, {"endpoint": name, "allowed": taken})
        return taken

    async def _end(self, last: Failed, outcome: Failed) -> Answered | Broken | Refusal:
        """Give the final answer after an attempt that can't be followed by another."""
        answer, delivery = outcome.answer, self._call.delivery
        if answer is None or delivery.started:
            return self._give_up(last)
        await delivery.send_whole(answer.status, list(answer.headers), outcome.body)
        return Answered(answer.status, outcome.runner)

    def _give_up(self, last: Failed | None) -> Broken | Refusal:
        detail = last.detail if last else "no runner is known"
        if self._call.delivery.started:
            return Broken(detail)
        if self._call.may_have_run:
            late = last is not None and last.failure is Failure.SILENT
            kind = RefusalKind.DEADLINE if late else RefusalKind.OUTCOME_UNKNOWN
            return self._refuse(kind, Ran.UNKNOWN, detail, None)
        return self._refuse_unsent(last, detail)

    def _refuse_unsent(self, last: Failed | None, detail: str) -> Refusal:
        """Refuse what no runner has run, with the time to come back."""
        call = self._call
        retry_after = draw_retry(call.services.rng)
        turn = call.services.runners.measure_next_turn(
            call.endpoint.name, call.ranks.busy, time.monotonic()
        )
        if last is None and turn is not None:
            detail = "every runner has limited its requests"
            retry_after += min(turn, call.route.timeout)
        kind = RefusalKind.FULL if last or turn else RefusalKind.NO_ENDPOINT
        return self._refuse(kind, Ran.NOT_RUN, detail, retry_after)

    def _refuse(
        self, kind: RefusalKind, ran: Ran, detail: str, retry_after: float | None
    ) -> Refusal:
        name = self._call.endpoint.name
        return Refusal("relay.run", name, detail, kind, ran, retry_after)

    def _log_failure(self, view: RunnerView, outcome: Failed) -> None:
        call = self._call
        labels = {"endpoint": call.endpoint.name, "outcome": outcome.failure.value}
        call.services.measures.attempts.add(1, labels)
        log_event(
            Event.ATTEMPT_FAILED,
            request=call.request.identity,
            route=call.route.name,
            runner=view.runner.name,
            failure=outcome.failure.name.lower(),
            detail=outcome.detail,
            attempt=call.arrivals,
            left=round(call.measure_left(), 3),
        )

    def count_tokens(self) -> int:
        """Return the tokens used: its prompt if it may have run, and its events."""
        call = self._call
        if not call.may_have_run:
            return 0
        output = call.progress.passed * call.endpoint.tokens_per_event
        return call.request.prompt_tokens + min(output, call.request.most_output)


def draw_retry(rng: random.Random) -> float:
    """Return when a refused caller may come back, seconds."""
    return rng.uniform(*RETRY_SECONDS)


def _choose_worse(last: Failed | None, new: Failed) -> Failed:
    """Return the failure that says more of what became of the request."""
    if last is None or new.failure is not Failure.NOT_SENT:
        return new
    return last
