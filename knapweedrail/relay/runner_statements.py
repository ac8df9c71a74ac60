"""What a runner says of itself in an answer that binds each host that it answers."""

from __future__ import annotations

from ..events import Event, log_event
from .models import RunnerAnswer
from .runners import RunnerTable
from .scheduling.runner_views import RunnerView

MISDIRECTED = 421
"""Status with which a runner rejects a request addressed to another runner."""


def record_statements(
    table: RunnerTable, view: RunnerView, answer: RunnerAnswer, now: float
) -> None:
    """Record that a runner leaves, or wants no requests for some time.

    Args:
        table: All runners.
        view: The runner to which the request was sent.
        answer: Head of its answer.
        now: Monotonic time, seconds.
    """
    if answer.status == MISDIRECTED:
        return
    if answer.leaving and table.record_leaving(view, now):
        log_event(Event.RUNNER_LEAVING, runner=view.runner.name)
    if answer.retry_after:
        table.bounds.record_pause(view, answer.retry_after, now)
        log_event(
            Event.RUNNER_PAUSED, runner=view.runner.name, seconds=answer.retry_after
        )
