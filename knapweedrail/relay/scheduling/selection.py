"""Decision: which runner gets a request.

Pure: clock and randomness are passed in.
"""

from __future__ import annotations

import math
import random

from ...hashing import hash_pair
from ..models import CallerRequest, PromptPart, RunnerIncarnation
from ..runners import MAX_SLOW_FACTOR, RunnerTable
from ..stream_origins import VersionBound
from .placement import SLOW_FACTOR, Choice, compute_median_latency
from .runner_views import RunnerView
from .workloads import find_shared_part

RUNNING_REQUEST_TOKENS = 60.0
"""Cost of one running request in prompt tokens. Each request that a runner generates
tokens for makes each generation step a little longer, which matters when few prompt
tokens have to be prefilled."""


def choose_runner(
    table: RunnerTable,
    endpoint: str,
    request: CallerRequest,
    tried: set[RunnerIncarnation],
    data_centre: str,
    now: float,
    rng: random.Random,
    priority: int | None = None,
    bound: VersionBound | None = None,
    objective: float = math.inf,
) -> Choice | None:
    """Return the runner for the next attempt, or ``None`` if there is none.

    Handles bursts on a few runners, one of which may be slow or failing, while load
    reports lag and all relays act on the same ones. Runners that recently failed or
    rejected a request are chosen only if no other is left: refusing requests that they
    may be able to serve would turn the failure of one runner into an outage.

    Args:
        tried: Incarnations that have already received the request.
        data_centre: The relay's own data centre, preferred among equals.
        now: Monotonic time, seconds.
        priority: Urgency of the request; 0 is the most urgent.
        bound: Which versions the stream may use; ``None`` for all.
        objective: Callers' objective for the time to the first byte, seconds.
    """
    listed = table.list_views(endpoint, now, bound)
    untried = table.bounds.select_open(listed, priority, now)
    if tried:
        untried = [view for view in untried if view.incarnation not in tried]
    if not untried:
        return None
    available = table.select_available(untried, now)
    if not available:
        return Choice(min(untried, key=lambda v: max(v.ejected_until, v.backoff_until)))
    if not request.parts:
        return Choice(_choose_by_load(available, data_centre, now, rng))
    placement = table.find_placement(endpoint)
    if placement is None or all(view.pace.lowest is None for view in listed):
        return Choice(_choose_by_prefix(table, available, request.parts, now))
    # A stream may be bound to some of the runners.
    whole = listed if bound is None else table.list_views(endpoint, now)
    placement.divide(whole, now)
    recent = table.prefixes.find(find_shared_part(request.parts).name, now)
    return placement.choose(available, request.parts, recent, objective, now, rng)


def _choose_by_prefix(
    table: RunnerTable,
    views: list[RunnerView],
    parts: tuple[PromptPart, ...],
    now: float,
) -> RunnerView:
    """Return the runner with the least prefill work before its first byte.

    Handles long prompts with shared prefixes, some of them used by a third of all
    callers at once. A runner skips the prefill of a cached prefix, but its queue may
    cost more than the cache saves. Both are counted in prompt tokens, so they can be
    added.

    All relays prefer the same runner for a prefix without communicating (rendezvous
    hashing), and a runner that is added or removed moves only its own prefixes. The
    runner to which this relay recently sent the prefix counts as preferred too. The
    hash takes the runner's name rather than its incarnation: after a restart the prefix
    is prefilled again on the same runner and no other prefix moves.
    """
    shared = find_shared_part(parts)
    preferred = min(views, key=lambda v: hash_pair(shared.name, v.runner.name))
    recent = table.prefixes.find(shared.name, now)
    median_latency = compute_median_latency(views)

    def compute_cost(view: RunnerView) -> float:
        tokens = view.estimate_prefill_backlog(table.mean_prompt_tokens, now)
        tokens += RUNNING_REQUEST_TOKENS * view.estimate_load(now)
        if view is not preferred and view.incarnation != recent:
            tokens += shared.tokens
        if median_latency and view.latency > SLOW_FACTOR * median_latency:
            tokens += table.mean_prompt_tokens * view.latency / median_latency
        return tokens

    return min(views, key=compute_cost)


def _choose_by_load(
    views: list[RunnerView], data_centre: str, now: float, rng: random.Random
) -> RunnerView:
    """Return the runner with the least load relative to its slots and latency.

    Each relay balances its own requests, whose number it knows exactly; the load report
    in every answer covers those of other relays. Ties are broken in favour of the
    relay's own data centre and then at random, so that relays don't all choose the same
    runner.
    """
    median_latency = compute_median_latency(views)

    def compute_cost(view: RunnerView) -> tuple[float, bool, float]:
        factor = (
            view.latency / median_latency if median_latency and view.latency else 1.0
        )
        factor = min(MAX_SLOW_FACTOR, max(1.0, factor))
        if view.pace.lowest is not None and factor <= SLOW_FACTOR:
            factor = view.pace.estimate(now, 1.0)
        load = (view.estimate_load(now) + 1) / view.runner.slots * factor
        return round(load, 2), view.runner.data_centre != data_centre, rng.random()

    return min(views, key=compute_cost)
