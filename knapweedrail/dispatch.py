"""Decisions under load for one endpoint, as one router takes them.

A `Dispatcher` does no I/O and reads no clock: the router feeds it events and carries
out the decisions that come back. Between events it asks `next_tick` when to call
`tick`.
"""

from __future__ import annotations

import random

from .admission import Admission
from .estimates import Estimates
from .fleets import Fleet, RunnerState
from .isolation import Isolation
from .limits import FindStanding, stand_alone
from .models import ENGINE, Endpoint, Rules, Runner
from .outcomes import Ran, Refusal
from .placement import PLACEMENTS
from .quarantine import Quarantine
from .queues import Entry, FairQueue
from .refusals import Refusals
from .registrations import load_plugins
from .retries import MAX_ATTEMPTS, Delays, RetryBudget
from .supervision import Supervisor
from .work import Decision, Ended, EndedKind, LoadReport, Refuse, Start, Work

__all__ = [
    "Decision",
    "Dispatcher",
    "Ended",
    "EndedKind",
    "LoadReport",
    "Refuse",
    "Start",
    "Work",
]

CHECK_SECONDS = 0.25
"""How often waiting work is looked through for what can't be done in time any more.
A caller learns it at most so much later; each look costs a pass over the queue."""

CHECKED_AT_FULL_RATE = 500
"""Waiting work up to which it is looked through that often. A look at a longer queue
takes milliseconds, and comes so much less often that its share of a core stays."""

SHORT_PRIORITY = 0
LONG_PRIORITY = 1


class Dispatcher:
    """Admits, queues, places, retries and refuses work for one endpoint.

    Args:
        endpoint: The endpoint.
        data_centre: Where this router stands.
        rules: The operators' choices.
        rng: Source of all random choices.
        placement: Kind of placing policy; by the endpoint's kind when empty.
        find_standing: Returns this router's place among those that may send to a
            runner which limits its requests.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        data_centre: str,
        rules: Rules,
        rng: random.Random,
        placement: str = "",
        find_standing: FindStanding = stand_alone,
    ) -> None:
        load_plugins()
        kind = "affinity" if endpoint.kind == ENGINE else "balanced"
        self.endpoint = endpoint
        self.data_centre = data_centre
        self._rng = rng
        self._find_standing = find_standing
        self._placement = PLACEMENTS.create(placement or kind)
        self._refusals = Refusals(endpoint.name)
        self._estimates = Estimates()
        self._fleet = Fleet()
        self._queue = self._make_queue()
        self._supervisor = Supervisor(self._fleet, self._estimates, rng)
        self._admission = Admission(
            self._estimates, self._fleet, self._queue, self._refusals, rng
        )
        self._budget = RetryBudget()
        self._delays = Delays(rng)
        self._quarantine = Quarantine(rules.quarantine_runners)
        self._isolation = Isolation(self._quarantine, self._fleet, rng)
        self._entries: dict[str, Entry] = {}
        self._running: dict[str, Entry] = {}
        self._failed: dict[str, Entry] = {}
        self._next_check: float | None = None
        self._due: float | None = None

    @property
    def waiting(self) -> int:
        """Work that hasn't started, retries included."""
        return len(self._queue) + len(self._isolation) + len(self._delays)

    @property
    def in_flight(self) -> int:
        """Work that runs at a runner by this router's order."""
        return len(self._running)

    # Work

    def submit(self, work: Work, now: float) -> list[Decision]:
        """Take new work in: start it, queue it or refuse it at once."""
        if work.id in self._entries:
            return []
        if work.short:
            self._admission.reserve.note_short(now)
        if self._quarantine.blocks(work.fingerprint, now):
            return [Refuse(work.id, self._refuse_content(work, Ran.NOT_RUN, now))]
        entry = Entry(work, self._estimates.expect_seconds(work), now)
        refusal = self._admission.judge_new(entry, self.in_flight, now)
        if refusal is not None:
            return [Refuse(work.id, refusal)]
        self._budget.note_fresh()
        self._entries[work.id] = entry
        self._queue.push(entry)
        return self._pump(now)

    def answering(self, work_id: str, now: float) -> None:
        """Note that the first byte of an answer has come.

        A router that calls this lets slow runners be seen before their runs end.
        """
        entry = self._running.get(work_id)
        if entry is not None:
            entry.begun = True
            self._supervisor.note_first_byte(entry)

    def finished(
        self, work_id: str, runner: str, outcome: Ended, now: float
    ) -> list[Decision]:
        """Take note of the end of a run.

        Work that failed, crashed or went silent is kept for `retry` until its
        deadline. Work that was refused never ran, and is placed anew without being
        asked for.
        """
        entry = self._running.pop(work_id, None)
        state = self._fleet.runners.get(runner)
        if state is not None:
            if entry is not None:
                self._note_end(state, entry, outcome, now)
            state.note_end(work_id, now)
            self._fleet.refresh(state, now)
            self._fleet.drop_if_unused(state)
        if entry is not None:
            self._settle(entry, outcome)
        return self._pump(now)

    def retry(self, work_id: str, now: float) -> list[Decision]:
        """Decide whether failed work may start again; it starts after a short delay."""
        entry = self._failed.pop(work_id, None)
        if entry is None:
            return []
        refusal = self._judge_retry(entry, now)
        if refusal is not None:
            return [self._refuse(entry, refusal)]
        self._delays.add(entry, now)
        return []

    def cancel(self, work_id: str, now: float) -> None:
        """Forget work whose caller has gone.

        Work that runs keeps its slot until `finished` says that it is over.
        """
        entry = self._entries.pop(work_id, None)
        if entry is None:
            return
        self._failed.pop(work_id, None)
        self._queue.remove(entry)
        self._delays.remove(entry)
        self._isolation.remove(entry)

    # Runners

    def report(self, runner: str, report: LoadReport, now: float) -> None:
        """Take a runner's load report in; an older one than the last has no effect."""
        state = self._fleet.runners.get(runner)
        if state is None or not state.note_report(report, now):
            return
        self._supervisor.note_report(state, report.as_of, now)
        state.limited.record_stated(report.limit, now, self._rng)
        self._wait_for_turn(state, now)
        self._fleet.refresh(state, now)
        self._due = now if self.waiting else self._due

    def unreachable(self, runner: str, now: float) -> None:
        """Take note that no connection to a runner could be opened."""
        state = self._fleet.runners.get(runner)
        if state is not None:
            self._supervisor.note_unreachable(state, now)
            self._fleet.refresh(state, now)

    def set_runners(self, runners: tuple[Runner, ...], now: float) -> None:
        """Take over the list of runners that aren't leaving.

        Those of this router's data centre come first, the others get work when its
        own are gone or full. Runs at a runner that is off the list go on.
        """
        near = {r.name for r in runners if r.data_centre == self.data_centre}
        wanted = {r.name: r.name in near for r in runners}
        self._fleet.set_runners(wanted, self.endpoint.slots, now)
        self._supervisor.set_runners(set(wanted))
        far = sorted(name for name in wanted if name not in near)
        self._placement.set_runners(tuple(sorted(near)), tuple(far))
        self._due = now

    # Peers

    def hear_quarantined(self, fingerprints: list[str], now: float) -> None:
        """Merge what another router's `quarantined` returned."""
        self._quarantine.hear(fingerprints, now)

    def quarantined(self) -> list[str]:
        """Return what other routers should know of requests that fell runners."""
        return self._quarantine.tell()

    # Time

    def tick(self, now: float) -> list[Decision]:
        """Do what has become due with time alone."""
        self._due = None
        self._supervisor.wake(now)
        for entry in self._delays.take_due(now):
            self._queue.push_front(entry)
        decisions: list[Decision] = []
        if self._next_check is not None and self._next_check <= now:
            self._next_check = None
            running = list(self._running.values())
            self._supervisor.eject_late(running, now)
            self._admission.note_progress(running, now)
            self._forget_failed(now)
            decisions = self._refuse_late(now)
        return decisions + self._pump(now)

    def next_tick(self) -> float | None:
        """Return the absolute seconds at which to call `tick`; ``None`` for never.

        Any event may bring it forward, so ask again after each.
        """
        times = (
            self._due,
            self._next_check,
            self._supervisor.next_wake(),
            self._delays.next_due(),
        )
        return min((time for time in times if time is not None), default=None)

    # Starting

    def _make_queue(self) -> FairQueue:
        return FairQueue()

    def _pump(self, now: float) -> list[Decision]:
        """Start waiting work while there is room."""
        decisions: list[Decision] = []
        for entry in self._isolation.take_held():
            self._try(entry, decisions, now)
        while self._fleet.free > 0 or self._fleet.trial_runners():
            entry = self._queue.pop(self._fleet.free > 0 and self._holds_back(now))
            if entry is None:
                break
            entry.suspect = self._quarantine.suspects(entry.work.fingerprint)
            if not self._try(entry, decisions, now):
                break
        self._plan_check(now)
        return decisions

    def _try(self, entry: Entry, decisions: list[Decision], now: float) -> bool:
        """Start or refuse work whose turn it is; return whether others may follow."""
        refusal = self._judge_turn(entry, now)
        if refusal is not None:
            decisions.append(self._refuse(entry, refusal))
            return True
        state = self._place(entry, now)
        if state is not None:
            decisions.append(self._start(entry, state, now))
            return True
        if entry.suspect:
            self._isolation.hold(entry)
            return True
        self._queue.push_front(entry)
        return False

    def _holds_back(self, now: float) -> bool:
        return self._admission.reserve.holds_back(self.in_flight, now)

    def _plan_check(self, now: float) -> None:
        if self._next_check is None and self._entries:
            stretch = max(1.0, len(self._queue) / CHECKED_AT_FULL_RATE)
            self._next_check = now + CHECK_SECONDS * stretch

    def _judge_turn(self, entry: Entry, now: float) -> Refusal | None:
        """Judge work again at its turn: it may have waited longer than was expected,
        or its content have felled runners in the meantime."""
        if self._quarantine.blocks(entry.work.fingerprint, now):
            ran = Ran.UNKNOWN if entry.touched else Ran.NOT_RUN
            return self._refuse_content(entry.work, ran, now)
        return self._admission.judge_turn(entry, self.in_flight, now)

    def _place(self, entry: Entry, now: float) -> RunnerState | None:
        if entry.suspect:
            return self._isolation.place(entry, self._running)
        trials = self._fleet.trial_runners()
        if trials and self._may_try(entry, now):
            return self._fleet.draw(self._rng, trials)
        return self._placement.choose(entry.work, self._fleet, self._rng)

    def _may_try(self, entry: Entry, now: float) -> bool:
        """Return whether this work may be the trial of a runner.

        A trial may well fail or be slow, so it is no place for work that runs once,
        nor for long work where short work can show the same at less cost. Where no
        other runner is left, any work will do.
        """
        if self._fleet.slots == 0:
            return True
        short = entry.work.short or not self._admission.reserve.sees_short(now)
        return entry.work.repeatable and short

    def _start(self, entry: Entry, state: RunnerState, now: float) -> Start:
        entry.runner = state.name
        entry.started = now
        entry.attempts += 1
        entry.first_byte = False
        entry.crash_noted = False
        self._running[entry.work.id] = entry
        state.note_start(entry.work.id, now)
        if state.limited.limit is not None:
            state.limited.limit.sent_at = now
            self._wait_for_turn(state, now)
        state.suspects += entry.suspect
        self._fleet.refresh(state, now)
        # Where routers with the same old report have sent too much to one runner, its
        # own queue lets the question pass the roster, which no router can.
        priority = SHORT_PRIORITY if entry.work.short else LONG_PRIORITY
        return Start(entry.work.id, state.name, priority)

    def _wait_for_turn(self, state: RunnerState, now: float) -> None:
        """Keep work from a runner for as long as its limit asks."""
        limit, pause = state.limited.limit, 0.0
        if limit is not None:
            standing = self._find_standing(state.name, limit.rate)
            pause = limit.measure_pause(standing, 0, now)
        self._supervisor.wait_for_turn(state, pause, now)

    # Ends of runs

    def _note_end(
        self, state: RunnerState, entry: Entry, outcome: Ended, now: float
    ) -> None:
        """Draw the conclusions for the runner."""
        state.suspects -= entry.suspect
        if outcome.kind is EndedKind.OK:
            self._quarantine.clear(entry.work.fingerprint, now)
            self._supervisor.note_answer(state, entry, outcome, now)
        elif outcome.kind is EndedKind.CRASHED:
            if self._isolation.note_crash(state, entry, self._running, now):
                self._supervisor.note_lost(state, now)
        elif outcome.kind is EndedKind.REFUSED:
            self._supervisor.note_full(state, now)
        elif outcome.kind in (EndedKind.FAILED, EndedKind.SILENT):
            self._supervisor.note_failure(state, now)

    def _settle(self, entry: Entry, outcome: Ended) -> None:
        """Decide what becomes of the work itself."""
        work_id = entry.work.id
        if work_id not in self._entries:
            return
        if outcome.kind in (EndedKind.OK, EndedKind.CANCELLED):
            del self._entries[work_id]
        elif outcome.kind is EndedKind.REFUSED:
            entry.attempts -= 1
            self._queue.push_front(entry)
        else:
            entry.touched = True
            self._failed[work_id] = entry

    def _judge_retry(self, entry: Entry, now: float) -> Refusal | None:
        if self._quarantine.blocks(entry.work.fingerprint, now):
            return self._refuse_content(entry.work, Ran.UNKNOWN, now)
        if not entry.work.repeatable:
            return self._refusals.broken_off()
        if entry.attempts >= MAX_ATTEMPTS:
            return self._refusals.failed(entry.attempts)
        refusal = self._admission.judge_turn(entry, self.in_flight, now)
        if refusal is None and not self._budget.take():
            return self._refusals.no_retry_left()
        return refusal

    def _forget_failed(self, now: float) -> None:
        """Forget failed work that nobody asked to retry; the router has answered."""
        for entry in list(self._failed.values()):
            if entry.work.deadline < now:
                del self._failed[entry.work.id]
                del self._entries[entry.work.id]

    def _refuse_late(self, now: float) -> list[Decision]:
        judged = self._admission.judge_waiting(self.in_flight, now)
        return [self._refuse(entry, refusal) for entry, refusal in judged]

    def _refuse(self, entry: Entry, refusal: Refusal) -> Refuse:
        self._queue.remove(entry)
        self._entries.pop(entry.work.id, None)
        return Refuse(entry.work.id, refusal)

    def _refuse_content(self, work: Work, ran: Ran, now: float) -> Refusal:
        after = self._quarantine.measure_rest(work.fingerprint, now)
        return self._refusals.quarantined(ran, after)
