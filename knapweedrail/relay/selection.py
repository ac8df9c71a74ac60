"""Decision: which runner gets a request.

Pure: clock and randomness are passed in.
"""

from __future__ import annotations

import random
import statistics

from ..hashing import hash_pair
from .models import CallerRequest, PromptPart, RunnerLife
from .runners import MAX_SLOW_FACTOR, SLOW_FACTOR, RunnerTable
from .views import RunnerView

RUNNING_REQUEST_TOKENS = 60.0
"""Prompt tokens that one running request weighs. Every request that a runner generates
for makes each of its steps a little longer; it matters where little is to be read."""


def choose_runner(
    table: RunnerTable,
    endpoint: str,
    request: CallerRequest,
    tried: set[RunnerLife],
    data_centre: str,
    now: float,
    rng: random.Random,
    rank: int | None = None,
) -> RunnerView | None:
    """Return the runner that a request goes to next, or ``None`` if there is none.

    The load it is for: bursts on a few runners, one of which may be slow or failing,
    while reports of load lag and every relay reads the same ones. Runners that failed
    or rejected work a moment ago come last, but are used when nothing else is left:
    refusing what they may well serve would turn one runner's trouble into an outage.

    Args:
        tried: Runners that have had the request.
        data_centre: The relay's own, which goes first among equals.
        rank: The request's urgency, 0 first.
    """
    untried = [
        view
        for view in table.list_views(endpoint, now)
        if view.life not in tried and table.admits(view, rank, now)
    ]
    if not untried:
        return None
    available = [view for view in untried if table.is_rested(view, now)]
    if not available:
        return min(untried, key=lambda v: max(v.ejected_until, v.backoff_until))
    if request.parts:
        return _choose_by_prefix(table, available, request.parts, now)
    return _choose_by_load(available, data_centre, now, rng)


def find_shared_part(parts: tuple[PromptPart, ...]) -> PromptPart:
    """Return the part of a prompt by which requests go to the same runner.

    The last part is the request's own. The one before it is the longest prefix that
    others share, such as a farm's history; its requests gain by meeting on one runner.
    The parts before that are shared by so many that every runner soon has them.
    """
    return parts[-2] if len(parts) >= 2 else parts[0]


def _choose_by_prefix(
    table: RunnerTable,
    views: list[RunnerView],
    parts: tuple[PromptPart, ...],
    now: float,
) -> RunnerView:
    """Return the runner that has least to read before the answer can begin.

    The load it is for: long prompts, a part of which others share, some of them asked
    for by a third of all callers at once. What a runner has in its memory it needn't
    read again; but its queue may be longer than that saves. Both are prompt tokens,
    so they are added up. Every relay takes the same runner for a prefix's own without
    talking (rendezvous hashing), and a runner that comes or goes moves only its own
    prefixes; where this relay sent the prefix lately counts as much. The name is hashed
    and not the life: a prefix whose runner starts anew is read again there, and no
    other prefix moves.
    """
    shared = find_shared_part(parts)
    preferred = min(views, key=lambda v: hash_pair(shared.name, v.runner.name))
    recent = table.find_runner_with_prefix(shared.name, now)
    median_latency = _compute_median_latency(views)

    def compute_cost(view: RunnerView) -> float:
        tokens = view.estimate_unread(table.mean_tokens, now)
        tokens += RUNNING_REQUEST_TOKENS * view.estimate_load(now)
        if view is not preferred and view.life != recent:
            tokens += shared.tokens
        if median_latency and view.latency > SLOW_FACTOR * median_latency:
            tokens += table.mean_tokens * view.latency / median_latency
        return tokens

    return min(views, key=compute_cost)


def _choose_by_load(
    views: list[RunnerView], data_centre: str, now: float, rng: random.Random
) -> RunnerView:
    """Return the runner with the least work for its speed.

    Each relay evens out its own requests, of which it knows exactly; the report that
    comes with every answer tells of others. Ties are drawn, the relay's own data
    centre first, so that relays don't all take the same one.
    """
    median_latency = _compute_median_latency(views)

    def compute_cost(view: RunnerView) -> tuple[float, bool, float]:
        factor = (
            view.latency / median_latency if median_latency and view.latency else 1.0
        )
        factor = min(MAX_SLOW_FACTOR, max(1.0, factor))
        load = (view.estimate_load(now) + 1) / view.runner.slots * factor
        return round(load, 2), view.runner.data_centre != data_centre, rng.random()

    return min(views, key=compute_cost)


def _compute_median_latency(views: list[RunnerView]) -> float:
    """Return the median time to the first byte; 0 when too little is known."""
    known = [view.latency for view in views if view.latency]
    return statistics.median(known) if len(known) >= 2 else 0.0
