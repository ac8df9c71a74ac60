"""The bounds that runners set themselves: how many requests they want, and when.

Pure: the clock is passed in.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from ..limits import FindStanding, LimitUpdate, measure_next_turn, stand_alone
from .models import Endpoint
from .scheduling.brittleness import (
    Brittleness,
    compute_part,
    compute_sender_rate,
    is_lightly_loaded,
)
from .scheduling.cold_starts import BurstAllowance, make_limit
from .scheduling.runner_views import RunnerView

MIN_ANSWER_SECONDS = 0.02
"""Shortest time that an answer is assumed to take where none is known."""


class RunnerBounds:
    """Which runners this relay may send to: their limits, pauses, coldness and
    brittleness.

    Args:
        burst_allowance: How far beyond its rate a cold runner may be burdened.

    Attributes:
        endpoints: Endpoints of the configuration in force, by name.
        find_standing: Returns this relay's place among the relays that may send to a
            runner which limits its requests.
    """

    def __init__(self, burst_allowance: BurstAllowance) -> None:
        self.endpoints: dict[str, Endpoint] = {}
        self.find_standing: FindStanding = stand_alone
        self._burst_allowance = burst_allowance
        self._brittleness: dict[str, Brittleness] = {}
        self._rng = random.Random()

    def record_limit(
        self, view: RunnerView, rate: float | None, now: float, sent_at: float
    ) -> LimitUpdate | None:
        """Record the rate limit that a runner's answer states.

        Args:
            rate: Requests per second from all relays together; ``None`` if the answer
                states no limit.
            sent_at: Monotonic time at which the answered request was sent, seconds.

        Returns:
            The change to send to the other relays, or ``None`` if there is none.
        """
        if view.superseded:
            return None
        if not view.limit_record.record_stated(rate, now, self._rng, sent_at):
            return None
        record, incarnation = view.limit_record, view.incarnation
        return LimitUpdate(
            incarnation.name, incarnation.started, record.sent, record.number
        )

    def merge_limit(self, view: RunnerView, update: LimitUpdate, now: float) -> bool:
        """Merge a limit received from another relay; return whether it was new."""
        return view.limit_record.merge(update, now, self._rng)

    def record_brittleness(
        self, view: RunnerView, rejections: float | None, now: float, sent_at: float
    ) -> bool:
        """Record what an answer states about the rejections that its runner tolerates.

        All runners of an endpoint are brittle at the same time.

        Args:
            rejections: Rejections in one second; ``None`` if the runner isn't brittle.
            now: Monotonic time, seconds.
            sent_at: When the answered request was sent; answers overtake each other.

        Returns:
            Whether that is new.
        """
        endpoint = view.runner.endpoint
        known = self._brittleness.get(endpoint)
        if rejections is not None:
            until = known.divided_until if known else float("-inf")
            self._brittleness[endpoint] = Brittleness(rejections, now, until)
            return known is None or known.rejections != rejections
        if known is None or sent_at < known.stated_at:
            return False
        del self._brittleness[endpoint]
        return True

    def record_rejection(self, view: RunnerView, now: float) -> None:
        """Record that a runner, perhaps a brittle one, rejected a request."""
        brittleness = self._brittleness.get(view.runner.endpoint)
        if brittleness is not None:
            brittleness.record_rejection(now)

    def record_refusal(self, endpoint: str, now: float) -> None:
        """Record that no runner of an endpoint could get a request."""
        brittleness = self._brittleness.get(endpoint)
        if brittleness is not None:
            brittleness.record_refusal(now)

    def record_cold_left(self, view: RunnerView, seconds: float, now: float) -> None:
        """Record for how long an answer says that its runner stays cold, seconds."""
        if not view.superseded and seconds > 0:
            view.cold.record_statement(seconds, now)

    def record_pause(self, view: RunnerView, seconds: float, now: float) -> None:
        """Record that a runner wants no requests from this host for some seconds.

        A later rejection with a shorter time doesn't shorten the first one.
        """
        view.paused_until = max(view.paused_until, now + seconds)

    def is_cold(self, view: RunnerView, now: float) -> bool:
        """Return whether a runner may be cold, so that only few relays may send."""
        endpoint = self.endpoints.get(view.runner.endpoint)
        if endpoint is None or endpoint.cold_rate <= 0:
            return False
        return view.cold.measure_left(endpoint.cold_seconds, now) > 0

    def has_slot_for(self, view: RunnerView, now: float) -> bool:
        """Return whether this relay may send one more request to a runner, if those of
        its endpoint are brittle and their slots are divided among the relays."""
        brittleness = self._brittleness.get(view.runner.endpoint)
        if brittleness is None or not brittleness.is_divided(now):
            return True
        slots, report_age = view.runner.slots, now - view.reported_at
        if is_lightly_loaded(view.estimate_load(now), slots, report_age):
            return True
        standing = self.find_standing(view.runner.name, compute_sender_rate(slots))
        return view.running < compute_part(slots, standing)

    def compute_cold_delay(self, view: RunnerView, now: float) -> float:
        """Return the time until this relay may send to a runner as far as it depends on
        its coldness, seconds."""
        if not self.is_cold(view, now):
            return 0.0
        endpoint = self.endpoints[view.runner.endpoint]
        limit = make_limit(endpoint, self._burst_allowance)
        standing = self.find_standing(view.runner.name, limit.sender_rate)
        pause = limit.measure_pause(standing, view.cold.sent_at, now)
        return min(pause, view.cold.measure_left(endpoint.cold_seconds, now))

    def compute_limit_delay(
        self, view: RunnerView, priority: int | None, now: float
    ) -> float:
        """Return the time until a runner's limit lets this relay send to it, seconds.

        Args:
            priority: Urgency of the request; 0 is the most urgent.
        """
        limit = view.limit_record.limit
        if limit is None:
            return 0.0
        standing = self.find_standing(view.runner.name, limit.rate)
        return limit.measure_pause(standing, priority or 0, now)

    def may_send(self, view: RunnerView, priority: int | None, now: float) -> bool:
        """Return whether a runner's own bounds let this relay send to it now.

        These are a pause that it wants, its limit, its coldness, and the rejections
        that it tolerates. Most runners have none of them, and each request asks for
        every runner, so a bound that a runner lacks costs no call here.
        """
        if now < view.paused_until:
            return False
        if (
            view.limit_record.limit is not None
            and self.compute_limit_delay(view, priority, now) > 0
        ):
            return False
        if self.is_cold(view, now) and self.compute_cold_delay(view, now) > 0:
            return False
        return not self._brittleness or self.has_slot_for(view, now)

    def select_open(
        self, views: Sequence[RunnerView], priority: int | None, now: float
    ) -> list[RunnerView]:
        """Return those of an endpoint's runners that `may_send` allows.

        It is called for every request. What depends on the endpoint alone is looked up
        once, as most endpoints are neither cold nor brittle.
        """
        if not views:
            return []
        name = views[0].runner.endpoint
        endpoint, brittleness = self.endpoints.get(name), self._brittleness.get(name)
        if (endpoint is not None and endpoint.cold_rate > 0) or brittleness is not None:
            return [view for view in views if self.may_send(view, priority, now)]
        return [
            view
            for view in views
            if now >= view.paused_until
            and (
                view.limit_record.limit is None
                or self.compute_limit_delay(view, priority, now) <= 0
            )
        ]

    def compute_wait(
        self, views: Sequence[RunnerView], priority: int | None, now: float
    ) -> float | None:
        """Return the time until some relay may send to one of an endpoint's runners.

        Args:
            views: The runners.
            priority: Urgency of the request; 0 is the most urgent.

        Returns:
            Seconds; ``None`` if this relay may send to one now, or there is none.
        """
        if not views or any(self.may_send(view, priority, now) for view in views):
            return None
        waits = [view.paused_until - now for view in views if now < view.paused_until]
        views = [view for view in views if now >= view.paused_until]
        if views:
            waits.append(self._measure_next_turn(views, now))
        return min(waits)

    def _measure_next_turn(self, views: Sequence[RunnerView], now: float) -> float:
        """Return the mean time until some relay may send to one of the runners, which
        are limited, cold or brittle, seconds."""
        endpoint = views[0].runner.endpoint
        limits = [view.limit_record.limit for view in views]
        rates = [limit.rate for limit in limits if limit is not None]
        cold = make_limit(self.endpoints.get(endpoint), self._burst_allowance)
        rates.extend(cold.used_rate for view in views if self.is_cold(view, now))
        brittleness = self._brittleness.get(endpoint)
        if brittleness is not None and brittleness.is_divided(now):
            rates.extend(
                v.runner.slots / max(MIN_ANSWER_SECONDS, v.latency) for v in views
            )
        return measure_next_turn(rates)
