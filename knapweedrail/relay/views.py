"""What one relay believes of one life of a runner.

Pure: the clock is passed in.
"""

from __future__ import annotations

import attrs

from ..limits import LimitRecord
from .models import Runner, RunnerLife

LOAD_REPORT_TTL_SECONDS = 1.0
"""How long a runner's own word on its load counts. Work here lasts a second or less
at the median, so an older report tells nothing of now."""


@attrs.define
class RunnerView:
    """One life of a runner as this relay sees it.

    Attributes:
        life: Which one; made once, as every choice among runners compares it.
        running: Requests of this relay that are there.
        unread: Prompt tokens of these whose answer hasn't begun: the runner still has
            to read them, one request after another.
        waiting: When each of these was sent, and its rank; the oldest comes first.
        waited: How long the last prompt waited that was begun or given up, seconds.
        waited_at: When that was.
        gave_up: Whether it was given up.
        others: Requests of others, by its last report.
        others_waiting: How many of these had not begun to be answered.
        reported_at: When it last reported; seconds.
        failing: Running share of failed answers.
        latency: Running mean of seconds to the first byte; 0 before any.
        ejected_until: When it may get work again after failures.
        ejection: Length of its last ejection, seconds.
        full_until: When it may get work again after a rejection.
        gone_at: When its entry vanished from the list; ``None`` while listed.
        missed_at: When the list was first seen without it, if it was found at
            another runner's address and isn't listed yet.
        limited: What is known of a limit that it names for its requests.
        superseded: Whether a later life of the runner is known. What its last
            requests still tell is of nobody who could be sent one.
    """

    runner: Runner
    life: RunnerLife = attrs.field(init=False)
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
    failing: float = 0.0
    latency: float = 0.0
    ejected_until: float = float("-inf")
    ejection: float = 0.0
    backoff_until: float = float("-inf")
    gone_at: float | None = None
    absent_since: float | None = None
    limit_record: LimitRecord = attrs.field(factory=LimitRecord)
    superseded: bool = False

    @life.default
    def _get_incarnation(self) -> RunnerLife:
        return self.runner.life

    def estimate_load(self, now: float) -> float:
        """Return the requests it works on: ours exactly, others' by its report."""
        return self.running + self._compute_report_weight(now) * self.other_requests

    def estimate_unread(self, mean_tokens: float, now: float) -> float:
        """Return the prompt tokens that it has to read before a new request's.

        Args:
            mean_tokens: Prompt tokens of a request, as a mean, for those of others.
        """
        others = self._compute_report_weight(now) * self.other_requests_waiting
        return self.pending_prompt_tokens + others * mean_tokens

    def estimate_wait(self, rank: int | None, now: float) -> float:
        """Return how long a new request would wait at least, as far as seen.

        What the last one waited counts only where others are waiting still: a long
        prompt takes long to read, and a runner that has read it may be idle.
        """
        left = max(0.0, self.last_wait - (now - self.last_wait_at))
        for sent_at, other in self.awaiting_first_byte.values():
            if rank is None or other is None or other <= rank:
                return max(left, now - sent_at)
        others = self._compute_report_weight(now) * self.other_requests_waiting
        return left if others or self.last_wait_abandoned else 0.0

    def _compute_report_weight(self, now: float) -> float:
        return max(0.0, 1.0 - (now - self.reported_at) / LOAD_REPORT_TTL_SECONDS)

    def is_rested(self, now: float) -> bool:
        """Return whether neither failures nor a rejection keep work from it."""
        return now >= self.ejected_until and now >= self.backoff_until
