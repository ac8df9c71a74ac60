"""A stop of the process, as the requests meet it."""

from __future__ import annotations

import contextlib
import random
from collections.abc import Iterator

import anyio

from ..events import Event, log_event
from ..outcomes import Refusal, RefusalKind
from .calls import Answered
from .exchanges import Broken
from .models import CallerRequest, Route
from .refusals import refuse_stopping
from .shutdowns import AnswerDurations, Shutdown


class Closing:
    """Says which requests are still taken, and ends what runs too long.

    Args:
        rng: Source of the times to come back.

    Attributes:
        shut: Whether connections are being closed. What is read meanwhile and passed
            on would run without its caller hearing of it.
        answer_times: How long answers take.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._shutdown: Shutdown | None = None
        self._scopes: set[anyio.CancelScope] = set()
        self.closing_connections = False
        self.answer_times = AnswerDurations()

    @property
    def begun(self) -> bool:
        """Whether the process ends; every answer then ends its connection."""
        return self._shutdown is not None

    def begin(self, shutdown: Shutdown) -> None:
        """Take only what can be answered before the end, and end the rest then."""
        self._shutdown = shutdown
        for scope in self._scopes:
            scope.deadline = shutdown.answers_due_at

    def judge(
        self, request: CallerRequest, route: Route, now: float, ends_at: float
    ) -> Refusal | None:
        """Return why a request that is here now isn't taken, if it isn't.

        Args:
            ends_at: When it has its final answer in any case.
        """
        shutdown = self._shutdown
        if shutdown is None:
            return None
        slowest = self.answer_times.find_slowest(route.name, now)
        left = shutdown.answers_due_at - now
        if self.closing_connections or not shutdown.admits(now, ends_at - now, slowest):
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
    def until_end(self) -> Iterator[anyio.CancelScope]:
        """Bound what runs within by the end of this process, if it is to stop.

        What goes wrong without an end of its own: the server closes the connection of
        a request that has no answer yet, and its caller can't tell whether it has run.
        """
        until = self._shutdown.answers_due_at if self._shutdown else float("inf")
        with anyio.CancelScope(deadline=until) as scope:
            self._scopes.add(scope)
            try:
                yield scope
            finally:
                self._scopes.discard(scope)


def took_its_time(outcome: Answered | Broken | Refusal | None) -> bool:
    """Return whether an outcome came as late as answers come, or later."""
    match outcome:
        case Answered(status):
            return status < 300
        case Refusal():
            return outcome.kind is RefusalKind.DEADLINE
    return isinstance(outcome, Broken)
