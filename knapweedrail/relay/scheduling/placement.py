"""Decision: which runner gets a prompt, by its cost and by runners' speed.

Pure: clock and randomness are passed in.

Handles long prompts beside short and urgent ones on runners of uneven speed, behind
dozens of relays that hardly see each other's requests. A short prompt that arrives
during the prefill of a long one is late, and each event of a stream there as well. So
relays divide the runners in the same way without asking each other: short prompts use
the fastest ones, long prompts the others. On a slow runner the prefill of a few short
prompts is enough to make streams pause for too long.
"""

from __future__ import annotations

import math
import random
import statistics
from collections.abc import Sequence

import attrs

from ...hashing import combine_hashes, hash_name
from ..models import PromptPart, RunnerIncarnation
from .runner_views import RunnerView
from .workloads import (
    MIN_REQUESTS,
    ClassDemand,
    Workload,
    count_private_tokens,
    find_shared_part,
)

REFRESH_SECONDS = 2.0
"""Age at which the division of the runners is worked out anew. Runners that
come meanwhile serve long prompts."""

MIN_RUNNERS = 4
"""Smallest number of runners that is divided."""

MIN_KNOWN_SHARE = 0.5
"""Share of the runners whose pace has to be known before they are divided. Before that,
relays would rank them differently."""

MIN_CLASS_SHARE = 0.02
"""Share of the requests that the smaller class must have."""

INITIAL_SHORT_DEMAND = ClassDemand(requests=1.0, tokens=700.0, slot_seconds=1.5)
INITIAL_LONG_DEMAND = ClassDemand(requests=1.0, tokens=5000.0, slot_seconds=0.5)
"""Demand assumed by a relay that has sent too few requests to know it. Relays start
while others serve, and small ones send few requests all day."""

FULL_SLOTS = 0.35
FULL_PREFILL = 0.3
"""Shares of the slots and of the prefill capacity of its runners that a class can use
before its requests often wait. Relays place requests without seeing those of others, so
requests meet at one runner long before all are busy."""

RUNNING_REQUEST_TOKENS = 60.0
"""Cost of a running request in prompt tokens, as in `selection`."""

SAMPLED_RUNNERS = 2
"""Runners drawn at random beside the preferred one. With all runners to choose from,
relays that know the same would all take the same one."""

MIN_DRAWN_PACE = 0.5
"""Pace up to which a drawn runner is always taken; one of twice that every second
time."""

MAX_DRAWS = 16
"""Largest number of draws, in case all runners are slow."""

SLOW_FACTOR = 3.0
"""Latency relative to the median from which a runner is passed over while others have
capacity. Runners of one service normally differ by up to about a factor of two."""

CROSSING_SHARE = 1 / 3
"""Share of a route's objective that a prompt has to wait at its own runners, and by
which the estimate elsewhere has to be better, before it crosses to the runners of the
other class."""

_HASH_RANGE = float(2**64)


@attrs.frozen
class Division:
    """How an endpoint's runners are divided between long and short prompts.

    Attributes:
        short: Names of the runners for short prompts; empty if they aren't divided.
        median_pace: Median of the lowest paces, assumed for runners that state none.
    """

    short: frozenset[str] = frozenset()
    median_pace: float = 1.0

    def is_own(self, view: RunnerView, long: bool) -> bool:
        """Return whether a runner serves a class of prompts."""
        return not self.short or (view.runner.name in self.short) != long


@attrs.frozen
class Choice:
    """A chosen runner and why.

    Attributes:
        view: The runner.
        long: Whether the prompt is long; ``None`` if its cost wasn't estimated.
        own_side: Whether the runner serves prompts of that class.
        seconds: Estimated time until the runner has read the prompt.
        wait: The part of it before the runner begins to read the prompt.
        prefill: Estimated tokens that the runner has to read.
    """

    view: RunnerView
    long: bool | None = None
    own_side: bool = True
    seconds: float = 0.0
    wait: float = 0.0
    prefill: int = 0


class Placement:
    """Chooses runners for the prompts of one endpoint.

    Attributes:
        workload: What the endpoint's requests cost.
        division: The present division of the runners.
    """

    def __init__(self) -> None:
        self.workload = Workload()
        self.division = Division()
        self._divided_at = float("-inf")

    def divide(self, views: Sequence[RunnerView], now: float) -> None:
        """Divide the runners anew if the last division is old.

        Args:
            views: All listed runners of the endpoint.
        """
        if now - self._divided_at < REFRESH_SECONDS:
            return
        self._divided_at = now
        for long in (False, True):
            self.workload.get_demand(long).decay(now)
        self.division = divide_runners(views, self.workload)

    def choose(
        self,
        views: Sequence[RunnerView],
        parts: tuple[PromptPart, ...],
        recent: RunnerIncarnation | None,
        objective: float,
        now: float,
        rng: random.Random,
    ) -> Choice:
        """Return the runner for a prompt.

        Args:
            views: Available runners; at least one.
            parts: Parts of the prompt; at least one.
            recent: Incarnation to which this relay recently sent the prefix.
            objective: Callers' objective for the time to the first event, seconds.
        """
        long = self.workload.is_long(count_private_tokens(parts))
        own = self._select_side(views, long)
        best = self._choose_among(
            own or views, parts, long, recent, now, rng, bool(own)
        )
        if not own or len(own) == len(views):
            return best
        if best.wait <= CROSSING_SHARE * objective:
            return best
        others = self._select_side(views, not long)
        other = self._choose_among(others, parts, long, recent, now, rng, False)
        gain = best.seconds - other.seconds
        return other if gain > CROSSING_SHARE * objective else best

    def _select_side(
        self, views: Sequence[RunnerView], long: bool
    ) -> Sequence[RunnerView]:
        """Return the runners that serve a class of prompts."""
        short = self.division.short
        if not short:
            return views
        return [view for view in views if (view.runner.name in short) != long]

    def estimate_prefill(self, parts: tuple[PromptPart, ...], cached: bool) -> int:
        """Return the tokens of a prompt that a runner has to prefill.

        Args:
            cached: Whether the runner has probably cached the prefix.
        """
        return count_private_tokens(parts[-1:] if cached else parts)

    def _choose_among(
        self,
        views: Sequence[RunnerView],
        parts: tuple[PromptPart, ...],
        long: bool,
        recent: RunnerIncarnation | None,
        now: float,
        rng: random.Random,
        has_homes: bool,
    ) -> Choice:
        """Return the runner with the least estimate among some candidates.

        Args:
            has_homes: Whether relays usually send the prefix to runners among these, so
                that its home has it cached.
        """
        prefix = find_shared_part(parts).name
        homes = self._list_homes(views, prefix, long, now)
        cached = {view.incarnation for view in homes} if has_homes else set()
        if recent is not None:
            cached.add(recent)
        home = rng.choice(homes)
        candidates = {home.incarnation: home}
        others = [view for view in views if view is not home]
        for view in self._sample(others, now, rng):
            candidates.setdefault(view.incarnation, view)
        if recent is not None and recent not in candidates:
            found = next((v for v in views if v.incarnation == recent), None)
            if found is not None:
                candidates[found.incarnation] = found
        latency = compute_median_latency(views)
        choices = [
            self._make_choice(
                view, parts, view.incarnation in cached, long, latency, now
            )
            for view in candidates.values()
        ]
        return min(choices, key=lambda choice: choice.seconds)

    def _list_homes(
        self, views: Sequence[RunnerView], prefix: str, long: bool, now: float
    ) -> list[RunnerView]:
        """Return the runners that all relays prefer for a prefix.

        The rendezvous hash is weighted by speed: a runner that is twice as fast is
        preferred for twice as many prefixes.
        """
        key, default = hash_name(prefix), self.division.median_pace

        def compute_rank(view: RunnerView) -> float:
            position = (combine_hashes(key, view.name_hash) + 1) / _HASH_RANGE
            return -math.log(position) * (view.pace.lowest or default)

        homes = self.workload.count_homes(prefix, len(views), now) if long else 1
        if homes == 1:
            return [min(views, key=compute_rank)]
        return sorted(views, key=compute_rank)[:homes]

    def _sample(
        self, views: Sequence[RunnerView], now: float, rng: random.Random
    ) -> list[RunnerView]:
        """Return runners drawn at random, faster ones more often."""
        default = self.division.median_pace
        drawn: list[RunnerView] = []
        for _ in range(MAX_DRAWS if views else 0):
            view = rng.choice(views)
            if rng.random() * view.pace.estimate(now, default) < MIN_DRAWN_PACE:
                drawn.append(view)
            if len(drawn) == SAMPLED_RUNNERS:
                break
        return drawn

    def _make_choice(
        self,
        view: RunnerView,
        parts: tuple[PromptPart, ...],
        cached: bool,
        long: bool,
        median_latency: float,
        now: float,
    ) -> Choice:
        """Return the choice of a runner, with estimates of its cost."""
        pace = view.pace.estimate(now, self.division.median_pace)
        load = view.estimate_load(now)
        waiting = view.estimate_prefill_backlog(self.workload.mean_tokens, now)
        waiting += RUNNING_REQUEST_TOKENS * load
        if median_latency and view.latency > SLOW_FACTOR * median_latency:
            # It is slower than it says.
            waiting += self.workload.mean_tokens * view.latency / median_latency
        prefill = self.estimate_prefill(parts, cached)
        token_seconds = pace / self.workload.prefill_rate
        wait = waiting * token_seconds + max(0.0, load + 1 - view.runner.slots)
        own_side = self.division.is_own(view, long)
        seconds = wait + prefill * token_seconds
        return Choice(view, long, own_side, seconds, wait, prefill)


def compute_median_latency(views: Sequence[RunnerView]) -> float:
    """Return the median time to the first byte, seconds.

    Returns:
        0 if fewer than two runners have a known latency.
    """
    known = [view.latency for view in views if view.latency]
    return statistics.median(known) if len(known) >= 2 else 0.0


def divide_runners(views: Sequence[RunnerView], workload: Workload) -> Division:
    """Divide an endpoint's runners between long and short prompts.

    Both classes get the number of runners at which the busier one is least busy. Only
    ratios of the classes' demands matter, so relays with many and with few callers
    divide alike.
    """
    known = [view.pace.lowest for view in views if view.pace.lowest is not None]
    if not known:
        return Division()
    median = statistics.median(known)
    undivided = Division(median_pace=median)
    if len(views) < MIN_RUNNERS or len(known) < MIN_KNOWN_SHARE * len(views):
        return undivided
    short, long = workload.short, workload.long
    requests = short.requests + long.requests
    if requests < MIN_REQUESTS:
        workload = Workload(short=INITIAL_SHORT_DEMAND, long=INITIAL_LONG_DEMAND)
    elif min(short.requests, long.requests) < MIN_CLASS_SHARE * requests:
        return undivided
    ranked = sorted(views, key=lambda view: _rank_fastest_first(view, median))
    count = _count_short_runners(ranked, workload, median)
    return Division(frozenset(view.runner.name for view in ranked[:count]), median)


def _rank_fastest_first(view: RunnerView, median: float) -> tuple[float, int]:
    return view.pace.lowest or median, view.name_hash


def _count_short_runners(
    ranked: Sequence[RunnerView], workload: Workload, median: float
) -> int:
    """Return how many of the fastest runners should serve short prompts."""
    slots = [view.runner.slots for view in ranked]
    speeds = [1.0 / (view.pace.lowest or median) for view in ranked]
    left_slots, left_speed = float(sum(slots)), sum(speeds)
    short, long = _measure_use(workload, False), _measure_use(workload, True)
    best, least = 1, math.inf
    short_slots = short_speed = 0.0
    for count in range(1, len(ranked)):
        short_slots += slots[count - 1]
        short_speed += speeds[count - 1]
        left_slots -= slots[count - 1]
        left_speed -= speeds[count - 1]
        need = max(
            short.slots / short_slots,
            short.prefill / short_speed,
            long.slots / left_slots,
            long.prefill / left_speed,
        )
        if need < least:
            best, least = count, need
    return best


@attrs.frozen
class _Use:
    """Slots and speed that a class needs, as multiples that differ by relay."""

    slots: float
    prefill: float


def _measure_use(workload: Workload, long: bool) -> _Use:
    demand = workload.get_demand(long)
    return _Use(
        slots=demand.slot_seconds / FULL_SLOTS,
        prefill=demand.tokens / workload.prefill_rate / FULL_PREFILL,
    )
