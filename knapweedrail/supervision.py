"""Runners that get nothing for a while: away, full or ejected, and their trials."""

from __future__ import annotations

import heapq
import random

from .ejection import LATE_FACTOR, LATE_SECONDS, SLOW_FACTOR, Ejector
from .estimates import Estimates
from .fleets import Fleet, RunnerState
from .queues import Entry
from .work import Ended

DOWN_SECONDS = 1.0
MAX_DOWN_SECONDS = 15.0
"""First and longest time for which an unreachable runner gets nothing. A restart takes
seconds; a trial costs one request a failed connection, and it is placed again."""

FULL_SECONDS = 0.1
MAX_FULL_SECONDS = 2.0
"""First and longest time for which a runner that refused as full gets nothing, unless
a newer report comes. Without it, its last report, which still shows room, would draw
the same work back at once, in a loop."""

REPORT_SECONDS = 10.0
"""Time without a report after which the last one no longer counts. Were it kept, a
runner whose reports stopped while others filled it would stay full for ever."""

MISSES = 2
"""Failed connections one after another until a runner with runs under way counts as
away. A single report that a busy runner didn't give in time would else shut it."""

LAG_SECONDS = 1.0
"""Age that a report may have when it comes; what it says may be from so long before."""

JITTER = 0.5
"""Share by which each such time varies, so that routers don't try a runner together."""


class Supervisor:
    """Takes runners out of use, and brings them back by a trial.

    A trial is one request of this router at a time. A runner that comes back with a
    cold cache, or isn't well yet, then fails one caller and not a burst of them.

    Args:
        fleet: The runners.
        estimates: What runs take.
        rng: Source of the jitter.
    """

    def __init__(self, fleet: Fleet, estimates: Estimates, rng: random.Random) -> None:
        self._fleet = fleet
        self._estimates = estimates
        self._rng = rng
        self._ejector = Ejector()
        self._wakes: list[tuple[float, str]] = []
        self._hears_first_bytes = False

    def set_runners(self, names: set[str]) -> None:
        """Take over the list of runners."""
        self._ejector.set_runners(names)

    def next_wake(self) -> float | None:
        """Return when a runner comes back next."""
        return self._wakes[0][0] if self._wakes else None

    def wake(self, now: float) -> None:
        """Bring runners back whose time is over."""
        while self._wakes and self._wakes[0][0] <= now:
            _, name = heapq.heappop(self._wakes)
            state = self._fleet.runners.get(name)
            if state is None:
                continue
            if self._ejector.is_ejected(name) and state.blocked_until <= now:
                state.on_trial = True
            self._expire_report(state, now)
            self._fleet.refresh(state, now)

    def note_unreachable(self, state: RunnerState, now: float) -> None:
        """Take note of a failed connection."""
        state.misses += 1
        if not state.running or state.misses >= MISSES:
            self.note_lost(state, now)

    def note_lost(self, state: RunnerState, now: float) -> None:
        """Give a runner nothing until it reports again.

        Time alone doesn't bring it back: behind a cut link it never answers, and the
        caller whose request is the trial would wait until its silence is noticed.
        """
        state.blocked_after = _find_horizon(state, now)
        if state.away:
            return
        state.away = True
        state.on_trial = True
        state.backoff = _double(state.backoff, DOWN_SECONDS, MAX_DOWN_SECONDS)
        state.blocked_until = self._plan_wake(state, state.backoff, now)

    def note_full(self, state: RunnerState, now: float) -> None:
        """Give a runner nothing for a moment after it refused."""
        state.full_backoff = _double(state.full_backoff, FULL_SECONDS, MAX_FULL_SECONDS)
        state.blocked_after = _find_horizon(state, now)
        state.full_until = self._plan_wake(state, state.full_backoff, now)

    def wait_for_turn(self, state: RunnerState, pause: float, now: float) -> None:
        """Give a runner nothing until its limit lets this router send again."""
        state.turn_at = now + pause
        if pause > 0:
            heapq.heappush(self._wakes, (state.turn_at, state.name))

    def note_report(self, state: RunnerState, as_of: float, now: float) -> None:
        """Use a runner again that shows that it is there."""
        self._plan_expiry(state)
        state.misses = 0
        if as_of <= state.blocked_after:
            return
        state.full_until = min(state.full_until, now)
        state.away = False
        if not self._ejector.is_ejected(state.name):
            state.blocked_until = min(state.blocked_until, now)

    def note_answer(
        self, state: RunnerState, entry: Entry, ended: Ended, now: float
    ) -> None:
        """Judge a runner by a run that went well, and learn what runs take."""
        state.backoff = 0.0
        state.full_backoff = 0.0
        ratio = self._compute_ratio(entry, ended)
        if self._ejector.is_ejected(state.name):
            # What ends while it is ejected was started before, and says nothing new.
            if state.on_trial:
                self._judge_trial(state, ratio, now)
            return
        state.on_trial = False
        self._estimates.note(entry.work, ended)
        self._ejector.note_answer(state.name, ratio)
        self._judge(state, 0, now)

    def note_failure(self, state: RunnerState, now: float) -> None:
        """Judge a runner by a run that failed through no known fault of the work."""
        self._ejector.note_failure(state.name)
        if self._ejector.is_ejected(state.name) and state.on_trial:
            self._eject(state, now)
        else:
            self._judge(state, 0, now)

    def note_first_byte(self, entry: Entry) -> None:
        """Note that the first byte of a run came."""
        self._hears_first_bytes = True
        entry.first_byte = True

    def eject_late(self, running: list[Entry], now: float) -> None:
        """Eject runners whose answers are long overdue, before any of them ends."""
        late: dict[str, int] = {}
        for entry in running:
            if self._is_late(entry, now):
                late[entry.runner] = late.get(entry.runner, 0) + 1
        for name, runs in late.items():
            state = self._fleet.runners.get(name)
            if state is not None:
                self._judge(state, runs, now)
                self._fleet.refresh(state, now)

    def _plan_expiry(self, state: RunnerState) -> None:
        """Have the report looked at when it will be old; one such time a runner."""
        if state.expiry_due is None:
            state.expiry_due = state.report_seen + REPORT_SECONDS
            heapq.heappush(self._wakes, (state.expiry_due, state.name))

    def _expire_report(self, state: RunnerState, now: float) -> None:
        if state.expiry_due is None or state.expiry_due > now:
            return
        state.expiry_due = None
        if state.report_seen + REPORT_SECONDS <= now:
            state.others = 0
        else:
            self._plan_expiry(state)

    def _compute_ratio(self, entry: Entry, ended: Ended) -> float:
        if not self._estimates.knows(entry.work):
            return 1.0
        expected = self._estimates.expect_seconds(entry.work)
        return ended.seconds / expected if expected > 0 else 1.0

    def _is_late(self, entry: Entry, now: float) -> bool:
        if not self._estimates.knows(entry.work):
            return False
        age = now - entry.started
        whole = self._estimates.expect_seconds(entry.work)
        if age > max(LATE_SECONDS, SLOW_FACTOR * whole):
            return True
        if entry.first_byte or not self._hears_first_bytes:
            return False
        first = self._estimates.expect_first_seconds(entry.work)
        return age > max(LATE_SECONDS, LATE_FACTOR * first)

    def _judge_trial(self, state: RunnerState, ratio: float, now: float) -> None:
        if self._ejector.is_good(state.name, ratio):
            self._ejector.restore(state.name)
            state.on_trial = False
        else:
            self._eject(state, now)

    def _judge(self, state: RunnerState, late_runs: int, now: float) -> None:
        if self._ejector.is_ejected(state.name):
            return
        if not self._ejector.is_bad(state.name, late_runs):
            return
        if self._ejector.may_eject() and self._has_other(state, now):
            self._eject(state, now)

    def _has_other(self, state: RunnerState, now: float) -> bool:
        """Return whether another runner is usable: the last one is never ejected.

        In a data centre that is cut off its own runners are all there is. Ejected on
        a few answers' noise, the last of them would leave callers refused beside an
        idle runner until its trial.
        """
        return any(
            other is not state and other.usable(now)
            for other in self._fleet.runners.values()
        )

    def _eject(self, state: RunnerState, now: float) -> None:
        seconds = self._ejector.eject(state.name)
        state.on_trial = False
        state.blocked_until = self._plan_wake(state, seconds, now)

    def _plan_wake(self, state: RunnerState, seconds: float, now: float) -> float:
        factor = 1.0 + JITTER * (self._rng.random() - 0.5)
        until = now + seconds * factor
        heapq.heappush(self._wakes, (until, state.name))
        return until


def _find_horizon(state: RunnerState, now: float) -> float:
    """Return the time, by the runner's clock, after which a report is news.

    The last report's time and what has passed since: the runner's clock and this
    router's may differ by any amount, the seconds that they count hardly do.
    """
    if state.report_seen == float("-inf"):
        return state.report_seen
    return state.report_as_of + (now - state.report_seen) + LAG_SECONDS


def _double(last: float, least: float, most: float) -> float:
    return min(most, max(least, 2 * last))
