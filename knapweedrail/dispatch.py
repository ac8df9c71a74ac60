"""Decisions under load for one endpoint, as one router takes them.

A `Dispatcher` does no I/O and reads no clock: the router feeds it events and carries
out the decisions that come back. Between events it asks `next_tick` when to call
`tick`.
"""

from __future__ import annotations

import heapq
import random
from collections import deque

from .admission import (
    ADMIT_SHARE,
    Estimate,
    Estimates,
    Room,
    compute_retry_after,
    estimate_wait,
    fits,
)
from .ejection import LATE_FACTOR, LATE_SECONDS, Ejector
from .fleets import Fleet, RunnerState
from .models import ENGINE, Endpoint, Rules, Runner
from .outcomes import Ran, Refusal, RefusalKind
from .placement import PLACEMENTS
from .quarantine import Quarantine
from .queues import Entry, FairQueue
from .registrations import load_plugins
from .retries import MAX_ATTEMPTS, RetryBudget, compute_delay
from .work import (
    Decision,
    Ended,
    EndedKind,
    LoadReport,
    Refuse,
    Start,
    Work,
)

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

MAX_WAITING = 5000
"""Requests that wait in one router for one endpoint. At the target a node gets 76
requests a second, so this is over a minute of them; it bounds memory when service
times are misjudged, and is not what refuses work in ordinary overload."""

CHECK_SECONDS = 0.25
"""How often waiting work is looked through for what can't be done in time any more.
A caller learns it at most so much later; each look costs a pass over the queue."""

DOWN_SECONDS = 1.0
MAX_DOWN_SECONDS = 15.0
"""First and longest time for which an unreachable runner gets nothing. A restart takes
seconds; a trial costs one request a failed connection, and it is placed again."""

FULL_SECONDS = 0.1
MAX_FULL_SECONDS = 2.0
"""First and longest time for which a runner that refused as full gets nothing, unless a
newer report comes. Without it, its own report, which still shows room, would draw the
same work back at once, in a loop."""

RESERVE_SHARE = 0.25
"""Largest share of the slots that long work leaves free for short work."""

RATE_SECONDS = 10.0
"""Time over which the arrival of short work is averaged."""

LEAST_SHARE = 16
"""A router reckons with this fraction of all slots at least, even if others hold them
all: slots come free, and it gets its part of them."""

NO_RUNNER_SECONDS = 5.0
"""When to come back if no runner is known to return."""

SUSPECT_DRAWS = 8
"""Runners looked at to find one without a suspect."""


class Dispatcher:
    """Admits, queues, places, retries and refuses work for one endpoint.

    Args:
        endpoint: The endpoint.
        data_centre: Where this router stands.
        rules: The operators' choices.
        rng: Source of all random choices.
        origin: Name that no other router uses, such as the holder's.
        placement: Kind of placing policy; by the endpoint's kind when empty.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        data_centre: str,
        rules: Rules,
        rng: random.Random,
        origin: str = "",
        placement: str = "",
    ) -> None:
        load_plugins()
        engine = endpoint.kind == ENGINE
        self.endpoint = endpoint
        self.data_centre = data_centre
        self._rng = rng
        self._placement = PLACEMENTS.create(
            placement or ("affinity" if engine else "balanced")
        )
        self._estimates = Estimates()
        self._fleet = Fleet()
        self._queue = FairQueue()
        self._ejector = Ejector()
        self._budget = RetryBudget()
        self._quarantine = Quarantine(rules.quarantine_runners, origin or str(id(self)))
        self._entries: dict[str, Entry] = {}
        self._running: dict[str, Entry] = {}
        self._failed: dict[str, Entry] = {}
        self._held: deque[Entry] = deque()
        self._delayed: list[tuple[float, int, Entry]] = []
        self._wakes: list[tuple[float, str]] = []
        self._sequence = 0
        self._next_check: float | None = None
        self._due: float | None = None
        self._short_rate = 0.0
        self._short_seen = float("-inf")
        self._hears_first_bytes = False

    @property
    def waiting(self) -> int:
        """Work that hasn't started, retries included."""
        return len(self._queue) + len(self._held) + len(self._delayed)

    @property
    def in_flight(self) -> int:
        """Work that runs at a runner by this router's order."""
        return len(self._running)

    # Events

    def submit(self, work: Work, now: float) -> list[Decision]:
        """Take new work in: start it, queue it or refuse it at once."""
        if work.id in self._entries:
            return []
        if work.short:
            self._note_short(now)
        if self._quarantine.blocks(work.fingerprint, now):
            return [Refuse(work.id, self._refuse_quarantined(Ran.NOT_RUN))]
        entry = Entry(work, self._estimates.expected_seconds(work), now)
        refusal = self._judge_new(entry, now)
        if refusal is not None:
            return [Refuse(work.id, refusal)]
        self._budget.note_fresh()
        self._entries[work.id] = entry
        self._queue.push(entry)
        self._plan_check(now)
        return self._pump(now)

    def answering(self, work_id: str, now: float) -> None:
        """Note that the first byte of an answer has come.

        A router that calls this lets slow runners be seen before their runs end.
        """
        self._hears_first_bytes = True
        entry = self._running.get(work_id)
        if entry is not None:
            entry.first_byte = True

    def finished(
        self, work_id: str, runner: str, outcome: Ended, now: float
    ) -> list[Decision]:
        """Take note of the end of a run.

        Work that failed, crashed or went silent is kept for `retry` until its
        deadline. Work that was refused never ran, and is placed anew without being
        asked for.
        """
        state = self._fleet.runners.get(runner)
        entry = self._running.pop(work_id, None)
        if state is not None and entry is not None:
            self._note_end(state, entry, outcome, now)
        elif state is not None:
            state.note_end(work_id, now)
        decisions = self._settle(entry, outcome, now) if entry is not None else []
        if state is not None:
            self._fleet.refresh(state, now)
            self._fleet.drop_if_unused(state)
        return decisions + self._pump(now)

    def retry(self, work_id: str, now: float) -> list[Decision]:
        """Decide whether failed work may start again; it starts after a short delay."""
        entry = self._failed.pop(work_id, None)
        if entry is None:
            return []
        refusal = self._judge_retry(entry, now)
        if refusal is not None:
            self._entries.pop(work_id, None)
            return [Refuse(work_id, refusal)]
        self._sequence += 1
        due = now + compute_delay(entry.attempts, self._rng)
        heapq.heappush(self._delayed, (due, self._sequence, entry))
        return []

    def cancel(self, work_id: str, now: float) -> None:
        """Forget work whose caller has gone.

        Work that runs keeps its slot until `finished` says that it is over.
        """
        entry = self._entries.pop(work_id, None)
        if entry is None:
            return
        self._queue.remove(entry)
        self._failed.pop(work_id, None)
        if entry in self._held:
            self._held.remove(entry)
        self._delayed = [item for item in self._delayed if item[2] is not entry]
        heapq.heapify(self._delayed)

    def report(self, runner: str, report: LoadReport, now: float) -> None:
        """Take a runner's load report in; an older one than the last has no effect."""
        state = self._fleet.runners.get(runner)
        if state is None or not state.note_report(report, now):
            return
        if not self._ejector.is_ejected(runner):
            self._unblock(state, now)
        self._fleet.refresh(state, now)
        self._due = now

    def unreachable(self, runner: str, now: float) -> None:
        """Take note that no connection to a runner could be opened."""
        state = self._fleet.runners.get(runner)
        if state is not None:
            self._take_down(state, now)
            self._fleet.refresh(state, now)

    def set_runners(self, runners: tuple[Runner, ...], now: float) -> None:
        """Take over the list of runners that aren't leaving.

        Those of this router's data centre come first, the others get work when its
        own are gone or full. Runs at a runner that is off the list go on.
        """
        wanted = {
            runner.name: (self.endpoint.slots, runner.data_centre == self.data_centre)
            for runner in runners
        }
        self._fleet.set_runners(wanted, now)
        self._ejector.set_runners(set(wanted))
        self._placement.set_runners(tuple(sorted(wanted)))
        self._due = now

    def hear_quarantined(self, fingerprints: list[str], now: float) -> None:
        """Merge what another router's `quarantined` returned."""
        self._quarantine.hear(fingerprints, now)

    def quarantined(self) -> list[str]:
        """Return what other routers should know of requests that fell runners."""
        return self._quarantine.tell()

    def tick(self, now: float) -> list[Decision]:
        """Do what has become due with time alone."""
        self._due = None
        self._wake_runners(now)
        self._wake_delayed(now)
        decisions = []
        if self._next_check is not None and self._next_check <= now:
            self._next_check = None
            self._eject_late(now)
            decisions = self._refuse_late(now)
            self._forget_failed(now)
        decisions += self._pump(now)
        self._plan_check(now)
        return decisions

    def next_tick(self) -> float | None:
        """Return the absolute seconds at which to call `tick`; ``None`` for never.

        Any event may bring it forward, so ask again after each.
        """
        times = [self._due, self._next_check]
        if self._wakes:
            times.append(self._wakes[0][0])
        if self._delayed:
            times.append(self._delayed[0][0])
        return min((time for time in times if time is not None), default=None)

    # Admission

    def _judge_new(self, entry: Entry, now: float) -> Refusal | None:
        if self.waiting >= MAX_WAITING:
            return self._refuse(RefusalKind.FULL, Ran.NOT_RUN, "queue full", 1.0)
        estimate = self._estimate(entry, now)
        if fits(estimate, entry.work.deadline, now, ADMIT_SHARE):
            return None
        return self._refuse_late_entry(entry, estimate, now)

    def _estimate(self, entry: Entry, now: float) -> Estimate:
        first = self._estimates.expected_first_seconds(entry.work)
        if self._fleet.free > 0 and not self.waiting and self._may_start(entry):
            return Estimate(0.0, first)
        ahead = self._queue.work_ahead(entry.work, entry.cost)
        return Estimate(estimate_wait(ahead, self._room(now)), first)

    def _room(self, now: float) -> Room:
        if self._fleet.slots == 0:
            return Room(0.0, self._opens_in(now))
        least = self._fleet.slots / LEAST_SHARE
        return Room(max(1.0, least, len(self._running) + self._fleet.free))

    def _opens_in(self, now: float) -> float | None:
        for state in self._fleet.trial_runners():
            if state.usable(now):
                return 0.0
        times = [
            state.blocked_until
            for state in self._fleet.runners.values()
            if state.present and not state.leaving
        ]
        return max(0.0, min(times) - now) if times else None

    def _refuse_late_entry(
        self, entry: Entry, estimate: Estimate, now: float
    ) -> Refusal:
        ran = Ran.UNKNOWN if entry.touched else Ran.NOT_RUN
        if estimate.wait == float("inf"):
            return self._refuse(
                RefusalKind.NO_ENDPOINT, ran, "no runner", NO_RUNNER_SECONDS
            )
        after = compute_retry_after(estimate, entry.work.deadline, now, self._rng)
        if after is None:
            detail = f"the first byte takes {estimate.first:.1f} s on a free runner"
            return self._refuse(RefusalKind.DEADLINE, ran, detail, None)
        if self._fleet.slots == 0:
            return self._refuse(RefusalKind.NO_ENDPOINT, ran, "runners away", after)
        detail = f"{estimate.wait:.1f} s of work before it"
        return self._refuse(RefusalKind.FULL, ran, detail, after)

    def _refuse(
        self, kind: RefusalKind, ran: Ran, detail: str, retry_after: float | None
    ) -> Refusal:
        return Refusal(
            step="dispatch",
            peer=self.endpoint.name,
            detail=detail,
            kind=kind,
            ran=ran,
            retry_after=retry_after,
        )

    def _refuse_quarantined(self, ran: Ran) -> Refusal:
        detail = "runners were lost while they ran this content"
        return self._refuse(RefusalKind.QUARANTINED, ran, detail, None)

    def _refuse_late(self, now: float) -> list[Decision]:
        """Refuse waiting work that can't have its first byte in time any more.

        The load it is for: service that has grown slower, or an account that
        came back, after work was let in. Its caller is told as soon as it is known,
        and not when the deadline is near.
        """
        decisions: list[Decision] = []
        room = self._room(now)
        for entry, ahead in self._queue.waits():
            first = self._estimates.expected_first_seconds(entry.work)
            estimate = Estimate(estimate_wait(ahead, room), first)
            if entry.first_byte or fits(estimate, entry.work.deadline, now, 1.0):
                continue
            self._queue.remove(entry)
            self._entries.pop(entry.work.id, None)
            refusal = self._refuse_late_entry(entry, estimate, now)
            decisions.append(Refuse(entry.work.id, refusal))
        return decisions

    # Placing

    def _may_start(self, entry: Entry) -> bool:
        return entry.work.short or self._fleet.free > self._reserve()

    def _reserve(self) -> float:
        """Return the free slots that long work leaves to short work.

        The load it is for: rosters that hold a slot for many seconds beside questions
        that need it for one. Were all slots given to rosters, each question would
        wait for one to end. The reserve follows what short work there is (its rate
        times its slot seconds), so it is none where there is none; the bound
        keeps a flood of short work from shutting long work out.
        """
        busy = self._short_rate * self._short_cost
        return min(RESERVE_SHARE * self._fleet.slots, busy)

    def _note_short(self, now: float) -> None:
        passed = max(0.0, now - self._short_seen)
        decay = max(0.0, 1.0 - passed / RATE_SECONDS)
        self._short_rate = self._short_rate * decay + 1.0 / RATE_SECONDS
        self._short_seen = now

    @property
    def _short_cost(self) -> float:
        return self._estimates.mean_seconds(True)

    def _pump(self, now: float) -> list[Decision]:
        """Start waiting work while there is room."""
        decisions: list[Decision] = []
        self._start_held(decisions, now)
        while self._fleet.free > 0 or self._fleet.trial_runners():
            only_short = self._fleet.free <= self._reserve()
            entry = self._queue.pop(only_short and self._fleet.free > 0)
            if entry is None:
                break
            if self._quarantine.blocks(entry.work.fingerprint, now):
                decisions.append(self._drop_quarantined(entry))
                continue
            entry.suspect = self._quarantine.suspects(entry.work.fingerprint)
            state = self._place(entry)
            if state is not None:
                decisions.append(self._start(entry, state, now))
            elif entry.suspect:
                self._held.append(entry)
            else:
                self._queue.push_front(entry)
                break
        return decisions

    def _start_held(self, decisions: list[Decision], now: float) -> None:
        for _ in range(len(self._held)):
            entry = self._held.popleft()
            if self._quarantine.blocks(entry.work.fingerprint, now):
                decisions.append(self._drop_quarantined(entry))
                continue
            state = self._place(entry)
            if state is None:
                self._held.append(entry)
            else:
                decisions.append(self._start(entry, state, now))

    def _place(self, entry: Entry) -> RunnerState | None:
        work = entry.work
        if entry.suspect:
            return self._place_suspect(entry)
        trials = self._fleet.trial_runners()
        # A trial may well fail, so it is no place for work that runs once; but where
        # no other runner is left, it is the only one.
        if trials and (work.repeatable or self._fleet.slots == 0):
            return self._fleet.draw(self._rng, trials)
        return self._placement.choose(work, self._fleet, self._rng)

    def _place_suspect(self, entry: Entry) -> RunnerState | None:
        fingerprint = entry.work.fingerprint
        if any(
            other.suspect and other.work.fingerprint == fingerprint
            for other in self._running.values()
        ):
            # Two copies at once would fell two runners for the one that is allowed.
            return None
        runners = self._fleet.open_runners()
        for _ in range(SUSPECT_DRAWS if runners else 0):
            state = self._fleet.draw(self._rng, runners)
            if state.suspects == 0:
                return state
        return None

    def _start(self, entry: Entry, state: RunnerState, now: float) -> Start:
        entry.runner = state.name
        entry.started = now
        entry.attempts += 1
        self._running[entry.work.id] = entry
        state.note_start(entry.work.id, now)
        state.suspects += entry.suspect
        self._fleet.refresh(state, now)
        return Start(entry.work.id, state.name)

    def _drop_quarantined(self, entry: Entry) -> Refuse:
        self._entries.pop(entry.work.id, None)
        ran = Ran.UNKNOWN if entry.touched else Ran.NOT_RUN
        return Refuse(entry.work.id, self._refuse_quarantined(ran))

    # Ends of runs

    def _note_end(
        self, state: RunnerState, entry: Entry, outcome: Ended, now: float
    ) -> None:
        if outcome.kind is EndedKind.CRASHED:
            self._note_crash(state, entry, now)
        state.note_end(entry.work.id, now)
        state.suspects -= entry.suspect
        if outcome.kind is EndedKind.OK:
            self._note_answer(state, entry, outcome, now)
        elif outcome.kind in (EndedKind.FAILED, EndedKind.SILENT):
            self._ejector.note_failure(state.name)
            self._judge_runner(state, now)
        elif outcome.kind is EndedKind.REFUSED:
            state.backoff = min(MAX_FULL_SECONDS, max(FULL_SECONDS, 2 * state.backoff))
            self._block(state, now + state.backoff * (0.5 + self._rng.random()))

    def _note_answer(
        self, state: RunnerState, entry: Entry, outcome: Ended, now: float
    ) -> None:
        self._quarantine.clear(entry.work.fingerprint, now)
        expected = self._estimates.expected_seconds(entry.work)
        known = self._estimates.knows(entry.work)
        ratio = outcome.seconds / expected if known and expected > 0 else 1.0
        name = state.name
        state.backoff = 0.0
        if self._ejector.is_ejected(name):
            if not state.on_trial:
                return
            if self._ejector.is_good(name, ratio):
                self._ejector.restore(name)
                state.on_trial = False
            else:
                self._eject(state, now)
            return
        state.on_trial = False
        self._ejector.note_answer(name, ratio)
        self._estimates.note(entry.work, outcome)
        self._judge_runner(state, now)

    def _note_crash(self, state: RunnerState, entry: Entry, now: float) -> None:
        """Hold a runner's loss against what ran on it, once for all of it."""
        if entry.crash_noted:
            return
        there = [self._running.get(work_id) for work_id in state.running]
        lost = [other for other in there if other is not None] + [entry]
        for other in lost:
            other.crash_noted = True
        fingerprints = [other.work.fingerprint for other in lost]
        self._quarantine.note_loss(state.name, fingerprints, now)
        self._take_down(state, now)

    def _settle(self, entry: Entry, outcome: Ended, now: float) -> list[Decision]:
        """Decide what becomes of the work itself."""
        work = entry.work
        cancelled = work.id not in self._entries
        if outcome.kind in (EndedKind.OK, EndedKind.CANCELLED) or cancelled:
            self._entries.pop(work.id, None)
            return []
        entry.crash_noted = False
        if outcome.kind is EndedKind.REFUSED:
            entry.attempts -= 1
            self._queue.push_front(entry)
            self._plan_check(now)
            return []
        entry.touched = True
        self._failed[work.id] = entry
        self._plan_check(now)
        return []

    def _judge_retry(self, entry: Entry, now: float) -> Refusal | None:
        work = entry.work
        if self._quarantine.blocks(work.fingerprint, now):
            return self._refuse_quarantined(Ran.UNKNOWN)
        if not work.repeatable:
            detail = "the run broke off and may not be repeated"
            return self._refuse(RefusalKind.OUTCOME_UNKNOWN, Ran.UNKNOWN, detail, None)
        if entry.attempts >= MAX_ATTEMPTS:
            detail = f"{entry.attempts} runs failed"
            return self._refuse(RefusalKind.ENDPOINT_FAILED, Ran.UNKNOWN, detail, 5.0)
        if not entry.first_byte:
            estimate = self._estimate(entry, now)
            if not fits(estimate, work.deadline, now, 1.0):
                return self._refuse_late_entry(entry, estimate, now)
        if not self._budget.take():
            detail = "too many runs fail for more to be repeated"
            return self._refuse(RefusalKind.ENDPOINT_FAILED, Ran.UNKNOWN, detail, 5.0)
        return None

    def _forget_failed(self, now: float) -> None:
        """Forget failed work that nobody asked to retry; the router has answered."""
        old = [k for k, e in self._failed.items() if e.work.deadline < now]
        for work_id in old:
            del self._failed[work_id]
            self._entries.pop(work_id, None)

    # Runners

    def _judge_runner(self, state: RunnerState, now: float, late: int = 0) -> None:
        ejected = self._ejector.is_ejected(state.name)
        if ejected and state.on_trial:
            self._eject(state, now)
        elif not ejected and self._ejector.is_bad(state.name, late):
            if self._ejector.may_eject():
                self._eject(state, now)

    def _eject(self, state: RunnerState, now: float) -> None:
        backoff = self._ejector.eject(state.name)
        state.on_trial = False
        self._block(state, now + backoff * (0.75 + 0.5 * self._rng.random()))

    def _eject_late(self, now: float) -> None:
        """Eject runners whose answers are long overdue, before any of them ends."""
        if not self._hears_first_bytes:
            return
        late: dict[str, int] = {}
        for entry in self._running.values():
            if not entry.first_byte and self._is_late(entry, now):
                late[entry.runner] = late.get(entry.runner, 0) + 1
        for name, runs in late.items():
            state = self._fleet.runners.get(name)
            if state is not None:
                self._judge_runner(state, now, runs)
                self._fleet.refresh(state, now)

    def _is_late(self, entry: Entry, now: float) -> bool:
        if not self._estimates.knows(entry.work):
            return False
        expected = self._estimates.expected_first_seconds(entry.work)
        return now - entry.started > max(LATE_SECONDS, LATE_FACTOR * expected)

    def _take_down(self, state: RunnerState, now: float) -> None:
        state.backoff = min(MAX_DOWN_SECONDS, max(DOWN_SECONDS, 2 * state.backoff))
        state.on_trial = True
        self._block(state, now + state.backoff * (0.75 + 0.5 * self._rng.random()))

    def _block(self, state: RunnerState, until: float) -> None:
        state.blocked_until = until
        heapq.heappush(self._wakes, (until, state.name))

    def _unblock(self, state: RunnerState, now: float) -> None:
        if state.blocked_until > now:
            state.blocked_until = now

    def _wake_runners(self, now: float) -> None:
        while self._wakes and self._wakes[0][0] <= now:
            _, name = heapq.heappop(self._wakes)
            state = self._fleet.runners.get(name)
            if state is None:
                continue
            if state.blocked_until <= now and self._ejector.is_ejected(name):
                state.on_trial = True
            self._fleet.refresh(state, now)

    def _wake_delayed(self, now: float) -> None:
        while self._delayed and self._delayed[0][0] <= now:
            _, _, entry = heapq.heappop(self._delayed)
            self._queue.push_front(entry)

    def _plan_check(self, now: float) -> None:
        busy = self.waiting or self._failed or self._running
        if self._next_check is None and busy:
            self._next_check = now + CHECK_SECONDS
