"""Runner table: load and health of the runners known to one relay.

Pure: the clock is passed in.
"""

from __future__ import annotations

from collections.abc import Iterable

from ..limits import LimitUpdate
from .models import RunnerIncarnation
from .prefixes import PrefixMemory
from .reachability import Reachability
from .runner_bounds import RunnerBounds
from .runner_directory import RunnerDirectory
from .scheduling.cold_starts import BurstAllowance
from .scheduling.pace_log import PaceLog
from .scheduling.placement import Placement
from .scheduling.runner_views import RunnerView
from .stream_origins import VersionBound

REJECTION_BACKOFF_SECONDS = 0.15
"""How long a runner that rejected a request for lack of capacity gets no further one:
about the time in which one of its slots becomes free. A request sent sooner wastes one
of its attempts."""

EWMA_WEIGHT = 0.2
"""Weight of the newest sample in the exponentially weighted moving averages, which thus
cover about the last ten answers."""

EJECTION_FAILURE_RATE = 0.5
"""Failure rate over about the last ten answers from which a runner is ejected. A
runner that fails a few percent of its answers does less harm than the extra load on
all others; one that fails half of them causes more retries than the work it does is
worth."""

BASE_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 8.0
"""Bounds of the ejection time, which doubles with each further failure. A crashed
runner is removed from the store's list after some seconds, and a restarted one is ready
again in about the same time. Each trial after an ejection costs a caller at most one
retry."""

MAX_SLOW_FACTOR = 8.0
"""Upper bound of the factor by which the load of a slow runner is scaled. A runner at
the bound gets nothing while others have capacity, except for occasional trials that
show whether it has recovered."""


class RunnerTable(RunnerDirectory):
    """All known runners by name, with their load and health.

    Args:
        grace_seconds: See `RunnerDirectory`.
        burst_allowance: How far beyond its rate a cold runner may be burdened.

    Attributes:
        bounds: Which of the runners this relay may send to.
        mean_prompt_tokens: Moving average of the prompt tokens per request.
        prefixes: Runners to which prompt prefixes were recently sent.
        pace_log: Lowest paces of the runners in the order of their changes.
    """

    def __init__(
        self, grace_seconds: float, burst_allowance: BurstAllowance = BurstAllowance()
    ) -> None:
        super().__init__(grace_seconds)
        self.bounds = RunnerBounds(burst_allowance)
        self.mean_prompt_tokens = 0.0
        self.prefixes = PrefixMemory()
        self.pace_log = PaceLog()
        self._placements: dict[str, Placement] = {}
        self._reachability = Reachability()

    def record_sent(
        self,
        view: RunnerView,
        tokens: int,
        attempt: object,
        priority: int | None,
        now: float,
    ) -> None:
        """Count a request sent to a runner, and its prompt tokens."""
        view.running += 1
        view.cold.sent_at = now
        if view.limit_record.limit is not None:
            view.limit_record.limit.sent_at = now
        view.pending_prompt_tokens += tokens
        view.awaiting_first_byte[attempt] = (now, priority)
        self.mean_prompt_tokens += EWMA_WEIGHT * (tokens - self.mean_prompt_tokens)

    def record_prefill_end(
        self, view: RunnerView, tokens: int, attempt: object
    ) -> None:
        """Record that the prefill of a request is over.

        Called when the answer's first byte arrives or the attempt fails.
        """
        view.pending_prompt_tokens -= tokens
        del view.awaiting_first_byte[attempt]

    def record_prefill_wait(
        self, view: RunnerView, seconds: float, abandoned: bool, now: float
    ) -> None:
        """Record how long a prompt waited for its first byte.

        Args:
            seconds: Time from sending it to the first byte or its abandonment.
            abandoned: Whether it was abandoned before the first byte.
        """
        view.last_wait = seconds
        view.last_wait_at = now
        view.last_wait_abandoned = abandoned

    def record_finished(self, view: RunnerView) -> None:
        """Record that a request at a runner has finished."""
        view.running -= 1

    def record_prefix(self, prefix: str, view: RunnerView, now: float) -> None:
        """Record that a runner has a prefix in its prefix cache."""
        if not view.superseded:
            self.prefixes.record(prefix, view.incarnation, now)

    def record_load_report(
        self, view: RunnerView, running: int, waiting: int, now: float
    ) -> None:
        """Record a runner's report of its running and waiting requests."""
        view.other_requests = max(0.0, running + waiting - view.running)
        view.other_requests_waiting = min(view.other_requests, float(waiting))
        view.reported_at = now

    def record_pace(self, view: RunnerView, pace: float, now: float) -> None:
        """Record how long work takes at a runner, as it states; 1.0 is usual."""
        if view.pace.record(pace, now):
            self._record_lowest_pace(view)
        self._enable_placement(view)

    def find_placement(self, endpoint: str) -> Placement | None:
        """Return how prompts are placed by cost; ``None`` if no pace is known."""
        return self._placements.get(endpoint)

    def _enable_placement(self, view: RunnerView) -> None:
        if view.pace.lowest is not None:
            self._placements.setdefault(view.runner.endpoint, Placement())

    def list_paces(self) -> dict[RunnerIncarnation, float]:
        """Return the lowest pace of each incarnation that has stated one."""
        return {
            view.incarnation: view.pace.lowest
            for view in self._views.values()
            if view.pace.lowest is not None
        }

    def merge_paces(self, paces: dict[RunnerIncarnation, float]) -> None:
        """Merge lowest paces that another relay knows; drop other incarnations'.

        Args:
            paces: Lowest pace by incarnation.
        """
        for incarnation, pace in paces.items():
            view = self._views.get(incarnation.name)
            if view is not None and view.incarnation == incarnation:
                if view.pace.merge_lowest(pace):
                    self._record_lowest_pace(view)
                self._enable_placement(view)

    def _record_lowest_pace(self, view: RunnerView) -> None:
        if view.pace.lowest is not None:
            self.pace_log.record(view.incarnation, view.pace.lowest)

    def merge_limit(self, update: LimitUpdate, now: float) -> bool:
        """Merge a limit received from another relay; return whether it was new."""
        view = self._views.get(update.runner)
        if view is None or view.incarnation.started != update.started:
            return False
        return self.bounds.merge_limit(view, update, now)

    def record_leaving(self, view: RunnerView, now: float) -> bool:
        """Record that a runner says in an answer that it leaves.

        It stays so until it restarts: answers overtake each other, and an entry that
        comes back after an outage of the store may be older than the answer.

        Returns:
            Whether that is new.
        """
        if view.leaving_since is not None:
            return False
        view.leaving_since = now
        return True

    def count_cold(self, now: float) -> dict[str, float]:
        """Return the number of listed runners that may be cold, by endpoint."""
        return {
            name: float(sum(self.bounds.is_cold(view, now) for view in views.values()))
            for name, views in self._by_endpoint.items()
            if name in self.bounds.endpoints
        }

    def compute_wait(
        self,
        endpoint: str,
        priority: int | None,
        now: float,
        bound: VersionBound | None = None,
    ) -> float | None:
        """Return the time until some relay may send to one of an endpoint's runners.

        Args:
            priority: Urgency of the request; 0 is the most urgent.
            now: Monotonic time, seconds.
            bound: Which versions the stream may use; ``None`` for all.

        Returns:
            Seconds; ``None`` if this relay may send to one now, or there is none.
        """
        views = self.list_views(endpoint, now, bound)
        return self.bounds.compute_wait(views, priority, now)

    def is_available(self, view: RunnerView, now: float) -> bool:
        """Return whether a runner is neither ejected, backing off nor partitioned."""
        data_centre = view.runner.data_centre
        return self._reachability.is_reachable(data_centre, now) and view.is_available(
            now
        )

    def select_available(
        self, views: Iterable[RunnerView], now: float
    ) -> list[RunnerView]:
        """Return the runners that `is_available` allows."""
        if self._reachability.is_every_reachable(now):
            return [
                view
                for view in views
                if now >= view.ejected_until and now >= view.backoff_until
            ]
        return [view for view in views if self.is_available(view, now)]

    def readmit(self, incarnations: Iterable[RunnerIncarnation], now: float) -> None:
        """End the ejection of runners that are sound, as another relay reaches them."""
        for incarnation in incarnations:
            view = self._views.get(incarnation.name)
            if view is None or view.incarnation != incarnation:
                continue
            view.ejected_until = now
            view.ejection_seconds = 0.0
            self._reachability.record_answer(view.runner.data_centre, now)

    def record_timeout(self, view: RunnerView, now: float) -> bool:
        """Record that a request to a runner timed out without any response.

        Returns:
            Whether the runner's data centre newly counts as unreachable.
        """
        if view.superseded:
            return False
        return self._reachability.record_timeout(view.runner.data_centre, now)

    def is_partitioned(self, data_centre: str, now: float) -> bool:
        """Return whether a data centre seems to be partitioned from all others."""
        known = {view.runner.data_centre for view in self._views.values()}
        return self._reachability.is_partitioned(data_centre, known, now)

    def has_runner_in(self, endpoint: str, data_centre: str, now: float) -> bool:
        """Return whether an endpoint has a runner in a data centre."""
        views = self.list_views(endpoint, now)
        return any(view.runner.data_centre == data_centre for view in views)

    def record_success(self, view: RunnerView, seconds: float, now: float) -> None:
        """Record a successful answer and its time to the first byte, seconds."""
        if view.superseded:
            return
        self._reachability.record_answer(view.runner.data_centre, now)
        view.failure_rate -= EWMA_WEIGHT * view.failure_rate
        if view.failure_rate < EJECTION_FAILURE_RATE / 2:
            view.ejection_seconds = 0.0
        if view.latency:
            view.latency += EWMA_WEIGHT * (seconds - view.latency)
        else:
            view.latency = seconds

    def record_rejection(self, view: RunnerView, now: float) -> None:
        """Record that a runner rejected a request for lack of capacity."""
        view.backoff_until = now + REJECTION_BACKOFF_SECONDS
        self.bounds.record_rejection(view, now)

    def record_failure(self, view: RunnerView, now: float, certain: bool) -> bool:
        """Record a failed answer; return whether the runner is ejected for it.

        Args:
            certain: Whether the runner is known to be unable to serve, so that the
                request can't be the cause: it accepts no connections, it doesn't
                speak HTTP, or another runner has taken over its address.
        """
        if view.superseded:
            return False
        view.failure_rate += EWMA_WEIGHT * (1.0 - view.failure_rate)
        if not certain and view.failure_rate < EJECTION_FAILURE_RATE:
            return False
        doubled = max(BASE_EJECTION_SECONDS, 2 * view.ejection_seconds)
        view.ejection_seconds = min(MAX_EJECTION_SECONDS, doubled)
        view.ejected_until = now + view.ejection_seconds
        return True
