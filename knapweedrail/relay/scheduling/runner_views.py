"""One relay's view of one incarnation of a runner.

Pure: the clock is passed in.
"""

from __future__ import annotations

import attrs

from ...hashing import hash_name
from ...limits import LimitRecord
from ..models import Runner, RunnerIncarnation
from .cold_starts import ColdState
from .paces import PaceRecord

LOAD_REPORT_TTL_SECONDS = 1.0
"""Time in which the weight of a runner's load report falls to zero. Requests take a
second or less at the median, so an older report says nothing about the current load."""


@attrs.define
class RunnerView:
    """Load and health of one incarnation of a runner, as observed by this relay.

    Attributes:
        runner: Its latest entry.
        incarnation: Cached, because every choice among runners compares it.
        name_hash: Hash of the runner's name, for the same reason.
        running: Number of this relay's requests at the runner.
        pending_prompt_tokens: Prompt tokens of those that have no first byte yet, which
            the runner still has to prefill, one request after another.
        awaiting_first_byte: Send time and priority of each of these, oldest first.
        last_wait: How long the last prompt waited for its first byte or until it was
            abandoned, seconds.
        last_wait_at: Monotonic time at which that wait ended, seconds.
        last_wait_abandoned: Whether that prompt was abandoned.
        other_requests: Number of other relays' requests, from its last load report.
        other_requests_waiting: How many of those had no first byte yet.
        reported_at: Monotonic time of its last load report, seconds.
        failure_rate: Moving average of the share of failed answers.
        latency: Moving average of the time to the first byte, seconds; 0 before
            the first answer.
        ejected_until: Monotonic time until which it gets no requests after failures.
        ejection_seconds: Length of its last ejection; 0 after recovery.
        backoff_until: Monotonic time until which it gets none after a rejection.
        unlisted_at: Monotonic time at which its entry vanished from the list; ``None``
            while listed.
        absent_since: Monotonic time at which it was first missing from a current list.
            Set only for a runner that was found at another runner's address and isn't
            listed yet.
        limit_record: The rate limit that its answers state, if any.
        cold: Whether it may be cold after a start, and when this relay last sent to it.
        pace: How long work takes there, as stated in its answers.
        load_unreadable: Whether it stated a load that can't be read.
        not_http_count: Its latest answers in a row that were no HTTP.
        paused_until: Monotonic time until which it wants no requests from this host.
        leaving_since: Monotonic time at which it first said in an answer that it
            leaves; ``None`` before. Its entry in the store may say so seconds later.
        superseded: Whether a later incarnation of the runner is known. Results of its
            remaining requests then say nothing about the later one.
    """

    runner: Runner
    incarnation: RunnerIncarnation = attrs.field(init=False)
    name_hash: int = attrs.field(init=False)
    running: int = 0
    pending_prompt_tokens: int = 0
    awaiting_first_byte: dict[object, tuple[float, int | None]] = attrs.field(
        factory=dict
    )
    last_wait: float = 0.0
    last_wait_at: float = float("-inf")
    last_wait_abandoned: bool = False
    other_requests: float = 0.0
    other_requests_waiting: float = 0.0
    reported_at: float = float("-inf")
    failure_rate: float = 0.0
    latency: float = 0.0
    ejected_until: float = float("-inf")
    ejection_seconds: float = 0.0
    backoff_until: float = float("-inf")
    unlisted_at: float | None = None
    absent_since: float | None = None
    limit_record: LimitRecord = attrs.field(factory=LimitRecord)
    cold: ColdState = attrs.field(factory=ColdState)
    pace: PaceRecord = attrs.field(factory=PaceRecord)
    load_unreadable: bool = False
    not_http_count: int = 0
    paused_until: float = float("-inf")
    leaving_since: float | None = None
    superseded: bool = False

    @name_hash.default
    def _hash_name(self) -> int:
        return hash_name(self.runner.name)

    @incarnation.default
    def _get_incarnation(self) -> RunnerIncarnation:
        return self.runner.incarnation

    def estimate_load(self, now: float) -> float:
        """Return its number of requests: exact for this relay, reported for others."""
        return self.running + self._compute_report_weight(now) * self.other_requests

    def estimate_prefill_backlog(self, mean_prompt_tokens: float, now: float) -> float:
        """Return the prompt tokens it has to prefill before those of a new request.

        Args:
            mean_prompt_tokens: Mean prompt tokens per request, assumed for those of
                other relays.
        """
        others = self._compute_report_weight(now) * self.other_requests_waiting
        return self.pending_prompt_tokens + others * mean_prompt_tokens

    def estimate_wait(self, priority: int | None, now: float) -> float:
        """Return a lower bound of the time a new request would wait here, seconds.

        The last observed wait counts only if that prompt was abandoned or other relays'
        requests are still waiting: a long prompt takes long to prefill, and a runner
        that is done with it may be idle.

        Args:
            priority: Urgency of the request; 0 is the most urgent.
        """
        remaining = max(0.0, self.last_wait - (now - self.last_wait_at))
        for sent_at, other_priority in self.awaiting_first_byte.values():
            if priority is None or other_priority is None or other_priority <= priority:
                return max(remaining, now - sent_at)
        others = self._compute_report_weight(now) * self.other_requests_waiting
        return remaining if others or self.last_wait_abandoned else 0.0

    def _compute_report_weight(self, now: float) -> float:
        return max(0.0, 1.0 - (now - self.reported_at) / LOAD_REPORT_TTL_SECONDS)

    def is_available(self, now: float) -> bool:
        """Return whether it is neither ejected nor backing off after a rejection."""
        return now >= self.ejected_until and now >= self.backoff_until
