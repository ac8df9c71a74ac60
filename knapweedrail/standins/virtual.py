"""Runners, callers and routers in virtual time, to judge decisions under load.

No sockets and no cluster: a heap of events, runners that serve in slots, and routers
that are anything with the methods of `Dispatcher`. What counts is what callers got.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import Any

import attrs

from ..models import Runner
from ..work import Ended, EndedKind, LoadReport, Refuse, Start
from .arrivals import PREFILL_TOKENS_PER_SECOND, SECONDS_PER_TOKEN, Request

CACHED_PREFIXES = 20
REPORT_INTERVAL_SECONDS = 0.5
REPORT_LAG_SECONDS = 1.0
NETWORK_SECONDS = 0.001
CRASH_AFTER_SECONDS = 0.2
HEDGE = "/hedge"
"""Ends the work's id of a second run that was started beside the first."""


@attrs.define(eq=False)
class _Run:
    request: Request
    start: Start
    router: int
    runner: VirtualRunner
    sent: float
    began: float | None = None
    over: bool = False


class VirtualRunner:
    """A model engine with slots, a queue and a cache of prefixes.

    Args:
        name: Its name.
        slots: Requests that it runs at once.
        queue: Requests that wait in it; beyond them it refuses as full.
    """

    def __init__(self, name: str, slots: int = 8, queue: int = 16) -> None:
        self.name = name
        self.slots = slots
        self.queue = queue
        self.slowness = 1.0
        self.down = False
        self.leaving = False
        self.running: set[_Run] = set()
        self.waiting: deque[_Run] = deque()
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.hits = 0
        self.crashes = 0
        self.taken_leaving = 0

    def serve_seconds(self, request: Request) -> tuple[float, float]:
        """Return the seconds to the first token and to the end, alone in a slot."""
        work = request.work
        prompt = work.prompt_tokens
        if work.prefix_hash in self.cache:
            self.hits += 1
            prompt = prompt // 10
        self.cache[work.prefix_hash] = None
        self.cache.move_to_end(work.prefix_hash)
        if len(self.cache) > CACHED_PREFIXES:
            self.cache.popitem(last=False)
        first = prompt / PREFILL_TOKENS_PER_SECOND + SECONDS_PER_TOKEN
        rest = (request.answer_tokens - 1) * SECONDS_PER_TOKEN
        return self.slowness * first, self.slowness * (first + rest)


class World:
    """Runs requests through routers and runners in virtual time.

    Args:
        runners: The runners, by data centre.
        routers: Anything with the methods of `Dispatcher`, one for each router.
        gives_up: Whether callers go at their deadline when no byte has come.
        report_lag: Seconds by which load reports lag.
    """

    def __init__(
        self,
        runners: dict[str, list[VirtualRunner]],
        routers: list[Any],
        gives_up: bool = True,
        report_lag: float = REPORT_LAG_SECONDS,
    ) -> None:
        self.now = 0.0
        self.routers = routers
        self.gives_up = gives_up
        self.report_lag = report_lag
        self.runners = {r.name: r for group in runners.values() for r in group}
        self.listed = tuple(
            Runner(runner.name, "", data_centre)
            for data_centre, group in runners.items()
            for runner in group
        )
        self.requests: dict[str, Request] = {}
        self.decisions = 0
        self.on_refusal: Callable[[Request], None] = lambda request: None
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._runs: dict[str, _Run] = {}
        self._ticks: dict[int, float] = {}
        for index, router in enumerate(routers):
            router.set_runners(self.listed, 0.0)
            self._plan_tick(index)
        for runner in self.runners.values():
            self.at(0.0, lambda runner=runner: self._report(runner))

    def at(self, time: float, call: Callable[[], None]) -> None:
        """Plan a call."""
        self._sequence += 1
        heapq.heappush(self._events, (time, self._sequence, call))

    def add(self, request: Request) -> None:
        """Plan the arrival of a request."""
        self.requests[request.work.id] = request
        self.at(request.arrival, lambda: self._arrive(request))

    def run(self, until: float) -> None:
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = until

    def crash(self, runner: VirtualRunner, down_seconds: float = 10.0) -> None:
        """End a runner's process; it comes back empty after a time."""
        runner.crashes += 1
        runner.down = True
        lost = list(runner.running) + list(runner.waiting)
        runner.running.clear()
        runner.waiting.clear()
        runner.cache.clear()
        for run in lost:
            self._end(run, EndedKind.CRASHED)
        self.at(self.now + down_seconds, lambda: setattr(runner, "down", False))

    def break_connections(self) -> None:
        """Fail all runs under way by a fault of the network."""
        for run in list(self._runs.values()):
            if not run.over:
                self._leave(run)
                self._end(run, EndedKind.FAILED)

    def _arrive(self, request: Request) -> None:
        router = self.routers[request.router]
        self._apply(request.router, router.submit(request.work, self.now))
        if self.gives_up:
            self.at(request.work.deadline, lambda: self._give_up(request))

    def _give_up(self, request: Request) -> None:
        if request.first is not None or request.refusal is not None:
            return
        self.routers[request.router].cancel(request.work.id, self.now)
        for work_id in (request.work.id, request.work.id + HEDGE):
            run = self._runs.get(work_id)
            if run is not None:
                self._leave(run)
                self._end(run, EndedKind.CANCELLED)

    def _apply(self, index: int, decisions: list) -> None:
        for decision in decisions:
            self.decisions += 1
            request = self._find(decision.work_id)
            if isinstance(decision, Refuse):
                request.refusal = decision.refusal
                request.answered = self.now
                self.on_refusal(request)
            elif isinstance(decision, Start):
                runner = self.runners[decision.runner]
                run = _Run(request, decision, index, runner, self.now)
                self._runs[decision.work_id] = run
                self.at(self.now + NETWORK_SECONDS, lambda r=run: self._receive(r))
        self._plan_tick(index)

    def _plan_tick(self, index: int) -> None:
        due = self.routers[index].next_tick()
        if due is None:
            return
        due = max(due, self.now)
        if self._ticks.get(index, float("inf")) <= due:
            return
        self._ticks[index] = due
        self.at(due, lambda: self._tick(index, due))

    def _tick(self, index: int, due: float) -> None:
        if self._ticks.get(index) != due:
            return
        del self._ticks[index]
        self._apply(index, self.routers[index].tick(self.now))

    def _receive(self, run: _Run) -> None:
        runner = run.runner
        if run.over:
            return
        full = len(runner.waiting) >= runner.queue
        if runner.down or runner.leaving or full:
            runner.taken_leaving += runner.leaving
            if runner.down:
                self.routers[run.router].unreachable(runner.name, self.now)
            self._end(run, EndedKind.REFUSED)
        elif len(runner.running) < runner.slots:
            self._begin(run)
        else:
            runner.waiting.append(run)

    def _begin(self, run: _Run) -> None:
        run.began = self.now
        run.request.runs += 1
        run.runner.running.add(run)
        if run.request.poison:
            runner = run.runner
            self.at(self.now + CRASH_AFTER_SECONDS, lambda: self._poison(run, runner))
            return
        first, whole = run.runner.serve_seconds(run.request)
        self.at(self.now + first, lambda: self._first_byte(run))
        self.at(self.now + whole, lambda: self._complete(run))

    def _poison(self, run: _Run, runner: VirtualRunner) -> None:
        if not run.over:
            self.crash(runner)

    def _first_byte(self, run: _Run) -> None:
        if run.over or run.request.first is not None:
            return
        run.request.first = self.now
        self.routers[run.router].answering(run.start.work_id, self.now)
        self._cancel_twin(run)

    def _cancel_twin(self, run: _Run) -> None:
        """Cancel the other run of a hedged request."""
        name = run.request.work.id
        for work_id in (name, name + HEDGE):
            twin = self._runs.get(work_id)
            if twin is not None and twin is not run:
                self.routers[run.router].cancel(work_id, self.now)
                self._leave(twin)
                self._end(twin, EndedKind.CANCELLED)

    def _find(self, work_id: str) -> Request:
        return self.requests[work_id.removesuffix(HEDGE)]

    def _complete(self, run: _Run) -> None:
        if run.over:
            return
        run.request.done = self.now
        self._leave(run)
        self._end(run, EndedKind.OK)

    def _leave(self, run: _Run) -> None:
        runner = run.runner
        runner.running.discard(run)
        if run in runner.waiting:
            runner.waiting.remove(run)
        while runner.waiting and len(runner.running) < runner.slots:
            following = min(runner.waiting, key=lambda waiting: waiting.start.priority)
            runner.waiting.remove(following)
            self._begin(following)

    def _end(self, run: _Run, kind: EndedKind) -> None:
        run.over = True
        work_id = run.start.work_id
        if self._runs.get(work_id) is run:
            del self._runs[work_id]
        first = None
        if run.request.first is not None:
            first = run.request.first - run.sent
        outcome = Ended(kind, first, self.now - run.sent)
        router = self.routers[run.router]
        ended = router.finished(work_id, run.runner.name, outcome, self.now)
        self._apply(run.router, ended)
        if kind in (EndedKind.CRASHED, EndedKind.FAILED, EndedKind.SILENT):
            self._apply(run.router, router.retry(work_id, self.now))

    def _report(self, runner: VirtualRunner) -> None:
        if not runner.down:
            report = LoadReport(
                len(runner.running),
                len(runner.waiting),
                runner.slots,
                self.now,
                runner.leaving,
            )
            later = self.now + self.report_lag
            self.at(later, lambda: self._deliver(runner.name, report))
        later = self.now + REPORT_INTERVAL_SECONDS
        self.at(later, lambda: self._report(runner))

    def _deliver(self, name: str, report: LoadReport) -> None:
        for index, router in enumerate(self.routers):
            router.report(name, report, self.now)
            self._plan_tick(index)
