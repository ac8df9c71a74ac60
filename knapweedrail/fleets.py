"""What one router knows of an endpoint's runners."""

from __future__ import annotations

import random
from collections import deque

from .limits import LimitRecord
from .work import LoadReport

HISTORY_SECONDS = 10.0
"""How far back ended runs are kept, to set a report against what it could count.

Reports lag by a second or two; one that is older than this is as good as none.
"""

MAX_LAG_SECONDS = 3.0
"""A report that seems older than this is taken to be this old."""

SPILL_SHARE = 0.9
"""Share of its slots up to which a runner takes work from other data centres.

When a data centre's own runners are full, its neighbours' are asked before a caller
is refused. The rest, one slot in eight, stays free for the neighbours' own callers,
so that one overloaded data centre doesn't fill the others.
"""


FOOTHOLD_SHARE = 0.25
"""Share of a runner's slots up to which a router may hold it although it is full.

In a full system a slot that comes free is seen first by the router whose request
ended, which fills it again; a router that came late gets none for minutes, and
refuses callers that another router would serve. So one that holds less than this may
send as much again into the runner's own queue, where it gets the next free slot.
"""


class RunnerState:
    """One runner: its last report, and what this router sent since.

    Args:
        name: The runner's name.
        slots: Requests that it runs at once, until a report says it.
        own_data_centre: Whether it stands in this router's data centre.
    """

    __slots__ = (
        "name",
        "slots",
        "own_data_centre",
        "others",
        "report_as_of",
        "report_seen",
        "expiry_due",
        "running",
        "ended",
        "leaving",
        "present",
        "away",
        "misses",
        "blocked_after",
        "blocked_until",
        "full_until",
        "on_trial",
        "backoff",
        "full_backoff",
        "suspects",
        "limited",
        "turn_at",
    )

    def __init__(self, name: str, slots: int, own_data_centre: bool) -> None:
        self.name = name
        self.slots = max(1, slots)
        self.own_data_centre = own_data_centre
        self.others = 0
        self.report_as_of = float("-inf")
        self.report_seen = float("-inf")
        self.expiry_due: float | None = None
        self.running: dict[str, float] = {}
        self.ended: deque[tuple[float, float]] = deque()
        self.leaving = False
        self.present = True
        self.away = False
        """Whether it can't be reached; only a report ends that."""
        self.misses = 0
        self.blocked_after = float("-inf")
        """A report of a later time shows it as it was after it was found away."""
        self.blocked_until = float("-inf")
        self.full_until = float("-inf")
        self.on_trial = False
        self.backoff = 0.0
        self.full_backoff = 0.0
        self.suspects = 0
        self.limited = LimitRecord()
        self.turn_at = float("-inf")

    @property
    def load(self) -> int:
        """Requests thought to be there: of other routers, and this one's."""
        return self.others + len(self.running)

    @property
    def limit(self) -> int:
        """Requests up to which this router sends more."""
        if self.on_trial:
            # One request of this router at a time shows whether it works again.
            return self.others + 1 if self.others < self.slots else 0
        if self.own_data_centre:
            return self.slots + self._count_foothold()
        return max(1, int(self.slots * SPILL_SHARE))

    @property
    def free(self) -> int:
        """Requests that it takes at once."""
        return max(0, self.limit - self.load)

    def usable(self, now: float) -> bool:
        """Return whether it may get new work at all."""
        here = self.present and not self.leaving and not self.away
        return here and self.blocked_until <= now

    def note_start(self, work_id: str, now: float) -> None:
        """Count a run of this router's."""
        self.running[work_id] = now

    def note_end(self, work_id: str, now: float) -> None:
        """Count a run as over."""
        started = self.running.pop(work_id, None)
        if started is None:
            return
        self.ended.append((started, now))
        while self.ended and self.ended[0][1] < now - HISTORY_SECONDS:
            self.ended.popleft()

    def note_report(self, report: LoadReport, now: float) -> bool:
        """Take a report in unless a newer one has been; return whether it was.

        The report counts this router's own runs too. What it counts beyond those
        that were under way at its time is the other routers'. Without this,
        whatever this router sends or ends between two reports is counted twice or
        not at all: it would see room where it has just sent a burst.
        """
        if report.as_of <= self.report_as_of:
            return False
        self.report_as_of = report.as_of
        self.report_seen = now
        self.slots = max(1, report.slots)
        self.leaving = report.leaving
        # A wrong clock must not make this router's own runs look like others'.
        moment = min(now, max(report.as_of, now - MAX_LAG_SECONDS))
        own = self._count_own(moment)
        self.others = max(0, report.running + report.queued - own)
        return True

    def _count_foothold(self) -> int:
        foothold = int(self.slots * FOOTHOLD_SHARE)
        return foothold if len(self.running) < foothold else 0

    def _count_own(self, moment: float) -> int:
        open_now = sum(1 for start in self.running.values() if start <= moment)
        since = sum(1 for start, end in self.ended if start <= moment < end)
        return open_now + since


class _Sample:
    """A set of runners from which to draw at random in constant time."""

    def __init__(self) -> None:
        self.items: list[RunnerState] = []
        self._places: dict[str, int] = {}

    def add(self, runner: RunnerState) -> None:
        if runner.name not in self._places:
            self._places[runner.name] = len(self.items)
            self.items.append(runner)

    def discard(self, runner: RunnerState) -> None:
        place = self._places.pop(runner.name, None)
        if place is None:
            return
        last = self.items.pop()
        if last is not runner:
            self.items[place] = last
            self._places[last.name] = place

    def __contains__(self, runner: RunnerState) -> bool:
        return runner.name in self._places

    def __len__(self) -> int:
        return len(self.items)


class Fleet:
    """All runners of an endpoint, and those that have room.

    The sets of runners with room are kept up to date at every change, so that a
    decision costs the same before five runners as before 2,500.
    """

    def __init__(self) -> None:
        self.runners: dict[str, RunnerState] = {}
        self._near = _Sample()
        self._far = _Sample()
        self._trial = _Sample()
        self.free = 0
        """Free slots over all runners with room, trials left out."""
        self.slots = 0
        """Slots over all usable runners."""
        self._counted: dict[str, tuple[int, int]] = {}

    def set_runners(self, wanted: dict[str, bool], slots: int, now: float) -> None:
        """Take over the list of runners; runs at those off the list go on.

        Args:
            wanted: Names, and whether each stands in the router's data centre.
            slots: Slots of a runner that hasn't reported yet.
            now: Absolute seconds.
        """
        for name, near in wanted.items():
            runner = self.runners.get(name)
            if runner is None:
                runner = RunnerState(name, slots, near)
                self.runners[name] = runner
            runner.own_data_centre = near
            runner.present = True
            self.refresh(runner, now)
        gone = [r for r in self.runners.values() if r.name not in wanted]
        for runner in gone:
            runner.present = False
            self.refresh(runner, now)
            self.drop_if_unused(runner)

    def drop_if_unused(self, runner: RunnerState) -> None:
        """Forget a runner that is off the list and has no more runs."""
        if not runner.present and not runner.running:
            self.runners.pop(runner.name, None)
            self._counted.pop(runner.name, None)

    def refresh(self, runner: RunnerState, now: float) -> None:
        """Bring the sets up to date after a change of this runner."""
        usable = runner.usable(now)
        waits = max(runner.full_until, runner.turn_at) > now
        free = runner.free if usable and not waits else 0
        slots = runner.slots if usable and not runner.on_trial else 0
        counted_free = 0 if runner.on_trial else free
        old_free, old_slots = self._counted.get(runner.name, (0, 0))
        self.free += counted_free - old_free
        self.slots += slots - old_slots
        self._counted[runner.name] = (counted_free, slots)
        home = self._home(runner)
        for sample in (self._near, self._far, self._trial):
            if free > 0 and sample is home:
                sample.add(runner)
            else:
                sample.discard(runner)

    def open_runners(self) -> list[RunnerState]:
        """Return those with room: the data centre's own, or else the others."""
        return self._near.items or self._far.items

    def has_room(self, runner: RunnerState) -> bool:
        """Return whether this runner is among `open_runners`."""
        return runner in (self._near if len(self._near) else self._far)

    def trial_runners(self) -> list[RunnerState]:
        """Return those that are to be tried with one request.

        Those of other data centres only when no own runner has room: a trial may
        hang on a link that is cut, and the caller's request with it.
        """
        near = [runner for runner in self._trial.items if runner.own_data_centre]
        return near or ([] if len(self._near) else self._trial.items)

    def opens_in(self, now: float) -> float:
        """Return the seconds until a runner may be tried, when none is usable.

        A runner that is away is hoped for until its first time away is over, which a
        restart takes; after that, nobody waits for it any more.
        """
        times = [
            runner.blocked_until
            for runner in self.runners.values()
            if runner.present and not runner.leaving
            if not runner.away or runner.blocked_until > now
        ]
        return max(0.0, min(times, default=float("inf")) - now)

    def draw(self, rng: random.Random, runners: list[RunnerState]) -> RunnerState:
        """Draw one at random."""
        return runners[int(rng.random() * len(runners))]

    def _home(self, runner: RunnerState) -> _Sample:
        if runner.on_trial:
            return self._trial
        return self._near if runner.own_data_centre else self._far
