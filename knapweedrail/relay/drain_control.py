"""Admission and cancellation of requests while the process shuts down."""

from __future__ import annotations

import contextlib
import random
from collections.abc import Iterator

import anyio

from ..events import Event, log_event
from ..outcomes import Refusal, RefusalKind
from .forwarding import Broken
from .models import CallerRequest, Route
from .refusals import refuse_stopping
from .request_context import Answered
from .shutdowns import AnswerDurations, Shutdown


class DrainController:
    """Decides which requests are still admitted, and cancels those that run too long.

    Args:
        rng: Randomises the retry times given in refusals.

    Attributes:
        closing_connections: Whether callers' connections are being closed. A request
            that is read from such a connection must not run, since its caller wouldn't
            get the answer.
        answer_durations: How long answers take, by route.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._shutdown: Shutdown | None = None
        self._admits = True
        self._scopes: set[anyio.CancelScope] = set()
        self.closing_connections = False
        self.answer_durations = AnswerDurations()

    @property
    def active(self) -> bool:
        """Whether a shutdown is in progress; each answer then closes its connection."""
        return self._shutdown is not None

    def begin(self, shutdown: Shutdown, admits: bool = True) -> None:
        """Begin to drain; cancel requests that are in progress when answers are due.

        Args:
            admits: Whether further requests that can be finished in time are admitted.
        """
        self._shutdown = shutdown
        self._admits = admits
        for scope in self._scopes:
            scope.deadline = shutdown.answers_due_at

    def check_request(
        self, request: CallerRequest, route: Route, now: float, ends_at: float
    ) -> Refusal | None:
        """Return the refusal of a request that has arrived, or None if it is admitted.

        Args:
            request: The request.
            route: Its route.
            now: The present time, by the monotonic clock, seconds.
            ends_at: Latest time of the request's final answer, by the same clock,
                seconds.
        """
        shutdown = self._shutdown
        if shutdown is None:
            return None
        slowest = self.answer_durations.find_slowest(route.name, now)
        left = shutdown.answers_due_at - now
        admits = self._admits and not self.closing_connections
        if not (admits and shutdown.admits(now, ends_at - now, slowest)):
            return refuse_stopping(left, slowest, self._rng)
        log_event(
            Event.REQUEST_TAKEN_LATE,
            request=request.identity,
            arrived_after=round(now - shutdown.requested_at, 3),
            left=round(left, 3),
            may_take=round(ends_at - now, 3),
            slowest=round(slowest, 3),
        )
        return None

    @contextlib.contextmanager
    def bound_by_shutdown(self) -> Iterator[anyio.CancelScope]:
        """Cancel what runs in this context when a shutdown's answers are due.

        Without this bound the server closes the connection of a request that has no
        answer yet, and its caller can't tell whether the request has run.
        """
        until = self._shutdown.answers_due_at if self._shutdown else float("inf")
        with anyio.CancelScope(deadline=until) as scope:
            self._scopes.add(scope)
            try:
                yield scope
            finally:
                self._scopes.discard(scope)


def is_duration_sample(outcome: Answered | Broken | Refusal | None) -> bool:
    """Return whether an outcome's duration is a sample of how long answers take.

    Successful answers, broken streams and refusals at the deadline are samples; quick
    failures are not.
    """
    match outcome:
        case Answered(status):
            return status < 300
        case Refusal():
            return outcome.kind is RefusalKind.DEADLINE
    return isinstance(outcome, Broken)
