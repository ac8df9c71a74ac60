"""Admission: whether work can have its first byte in time, and when to come back."""

from __future__ import annotations

import random

import attrs

from .corrections import Returns, Stretches
from .estimates import Estimates
from .fleets import Fleet
from .outcomes import Ran, Refusal
from .queues import Entry, FairQueue
from .refusals import Refusals
from .reserves import ShortReserve

ADMIT_SHARE = 0.5
"""Share of the time to the deadline that the estimated wait may fill at admission.
The rest is for the error of the estimate; whoever is let in should not be refused
later."""

KEEP_SHARE = 1.0
"""The same share for work that waits already. Higher, so that a small change of the
estimate doesn't refuse what has just been let in."""

MAX_WAITING = 5000
"""Requests that wait in one router for one endpoint. At the target a node gets 76
requests a second, so this is over a minute of them; it bounds memory when service
times are misjudged, and is not what refuses work in ordinary overload."""

LEAST_SHARE = 16
"""A router reckons with this fraction of all slots at least, even if others hold them
all: slots come free, and it gets its part of them."""

USUAL_OVERRUN = 1.25
"""Ratio of the runs under way to what they were expected to take that is no sign of
slowness: some answers are longer than the mean, and these are still running."""

MIN_RETRY_SECONDS = 0.5
"""Shortest time that a refused caller is told to wait: less brings it back into the
same backlog."""

RETRY_SPREAD = 0.25
"""Random share added to the time, so that callers refused together don't return
together."""

NO_RUNNER_SECONDS = 5.0
"""When to come back if no runner is known to return."""


@attrs.frozen
class Estimate:
    """When a piece of work is expected to begin and to have its first byte.

    Attributes:
        wait: Seconds until it starts; infinite when nothing will serve it.
        first: Seconds from start to the first byte.
    """

    wait: float
    first: float


@attrs.frozen
class Room:
    """What there is to serve a backlog with.

    Attributes:
        slots: Slots that serve this router's work.
        opens_in: Seconds until a runner may be tried, when none is usable now;
            infinite when there is none to wait for.
    """

    slots: float
    opens_in: float = 0.0

    def estimate_wait(self, ahead: float) -> float:
        """Return the seconds until work starts that has ``ahead`` before it.

        Args:
            ahead: Slot seconds that are served first.
        """
        return ahead / self.slots if self.slots > 0 else self.opens_in


def fits(estimate: Estimate, deadline: float, now: float, share: float) -> bool:
    """Return whether the first byte is expected in time.

    The load it is for: more work than the runners can serve. Whatever is let in
    beyond that only waits, misses its deadline after all, and makes everyone behind
    it late too; the caller learns it too late to act. So work is refused while its
    caller can still do something else. The wait may fill only a share of the time,
    because the estimate errs; the first byte's own time is counted whole.

    Args:
        estimate: What is expected.
        deadline: Absolute seconds.
        now: Absolute seconds.
        share: Share of the time left that the wait may fill.
    """
    left = deadline - now - estimate.first
    return left >= 0 and estimate.wait <= share * left


class Admission:
    """Judges new and waiting work by what is expected to be served before it.

    Args:
        estimates: What runs take.
        fleet: The runners.
        queue: The waiting work.
        refusals: Maker of refusals.
        rng: Source of the spread of the time to come back.
    """

    def __init__(
        self,
        estimates: Estimates,
        fleet: Fleet,
        queue: FairQueue,
        refusals: Refusals,
        rng: random.Random,
    ) -> None:
        self._estimates = estimates
        self._fleet = fleet
        self._queue = queue
        self._refusals = refusals
        self._rng = rng
        self._stretches = Stretches()
        self._returns = Returns()
        self._slowdown = 1.0
        self.reserve = ShortReserve(estimates, fleet)

    def judge_new(self, entry: Entry, in_flight: int, now: float) -> Refusal | None:
        """Return why work that has just come must be refused, if it must.

        Args:
            entry: The work.
            in_flight: This router's work that runs now.
            now: Absolute seconds.
        """
        if len(self._queue) >= MAX_WAITING:
            return self._refusals.queue_full()
        room = self.measure_room(in_flight, now)
        entry.promised = self._wait_of_new(entry, in_flight, room, now)
        wait = self._stretches.apply(entry, entry.promised)
        return self._judge(entry, wait, ADMIT_SHARE, room, now)

    def judge_waiting(self, in_flight: int, now: float) -> list[tuple[Entry, Refusal]]:
        """Return the waiting work that can't have its first byte in time any more.

        The load it is for: service that has grown slower, or another account that
        came back, after work was let in. Its caller is told as soon as it is known,
        and not when the deadline is near.
        """
        room = self.measure_room(in_flight, now)
        waits = [
            (
                entry,
                self._stretches.apply(entry, room.estimate_wait(ahead + entry.cost)),
            )
            for entry, ahead in self._queue.list_waits()
        ]
        self._stretches.learn(waits, now)
        judged = [(e, self._judge_kept(e, wait, room, now)) for e, wait in waits]
        return [(entry, refusal) for entry, refusal in judged if refusal is not None]

    def note_progress(self, running: list[Entry], now: float) -> None:
        """Compare the runs under way with what they were expected to take.

        The load it is for: runners that grow slow or stall all at once. Averages of
        runs that ended would show it only when these end; the age of those that
        should have ended shows it within seconds. Runs on runners that get nothing
        more are left out: what waits goes elsewhere.
        """
        took = expected = 0.0
        for entry in running:
            state = self._fleet.runners.get(entry.runner)
            if state is not None and state.usable(now):
                took += max(entry.cost, now - entry.started)
                expected += entry.cost
        ratio = took / expected if expected > 0 else 1.0
        self._slowdown = max(1.0, ratio / USUAL_OVERRUN)

    def judge_turn(self, entry: Entry, in_flight: int, now: float) -> Refusal | None:
        """Return why work whose turn it is must be refused, if it must."""
        room = self.measure_room(in_flight, now)
        return self._judge_kept(entry, room.estimate_wait(0.0), room, now)

    def measure_room(self, in_flight: int, now: float) -> Room:
        """Return what serves this router's work: what it has, and what is free."""
        slots = self._fleet.slots
        if slots == 0:
            return Room(0.0, self._fleet.opens_in(now))
        own = max(1.0, slots / LEAST_SHARE, in_flight + self._fleet.free)
        return Room(own / self._slowdown)

    def _wait_of_new(
        self, entry: Entry, in_flight: int, room: Room, now: float
    ) -> float:
        if self._fleet.free > 0:
            if entry.work.short and not self._queue.short_count:
                return 0.0
            if not self._queue and not self.reserve.holds_back(in_flight, now):
                return 0.0
        ahead = self._queue.measure_ahead(entry.work, entry.cost)
        # A slot must come free first, also for the first in the queue.
        return room.estimate_wait(ahead + entry.cost)

    def _judge_kept(
        self, entry: Entry, wait: float, room: Room, now: float
    ) -> Refusal | None:
        if entry.begun:
            # Its caller has had the first byte; what is left is to go on.
            return None
        return self._judge(entry, wait, KEEP_SHARE, room, now)

    def _judge(
        self, entry: Entry, wait: float, share: float, room: Room, now: float
    ) -> Refusal | None:
        first = self._estimates.expect_first_seconds(entry.work)
        estimate = Estimate(wait, first)
        if fits(estimate, entry.work.deadline, now, share):
            return None
        ran = Ran.UNKNOWN if entry.touched else Ran.NOT_RUN
        if wait == float("inf"):
            return self._refusals.no_runner(ran, NO_RUNNER_SECONDS)
        whole = entry.work.deadline - entry.submitted - first
        if whole < 0:
            return self._refusals.too_slow(ran, first)
        after = self._plan_return(entry, wait - ADMIT_SHARE * whole, room, now)
        if room.slots == 0:
            return self._refusals.no_runner(ran, after)
        return self._refusals.busy(ran, wait, after)

    def _plan_return(self, entry: Entry, late: float, room: Room, now: float) -> float:
        """Return the seconds after which the same request is expected to be let in.

        The backlog drains one second a second, so the time by which the wait is too
        long is the time to stay away.
        """
        seconds = max(MIN_RETRY_SECONDS, late)
        seconds *= 1.0 + RETRY_SPREAD * self._rng.random()
        return self._returns.plan(seconds, entry.cost, room.slots, now)
