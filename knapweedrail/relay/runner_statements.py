"""What a runner says of itself in an answer that binds each host that it answers."""

from __future__ import annotations

from ..events import Event, log_event
from .models import RunnerAnswer
from .runner_views import RunnerView
from .runners import RunnerTable

MISDIRECTED = 421
"""Status with which a runner rejects a request addressed to another runner."""


def record_statements(
    table: RunnerTable, view: RunnerView, answer: RunnerAnswer, now: float
) -> None:
    """Record that a runner leaves.

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
