"""Relays before runners that fall over if they reject many requests, in virtual time.

Which runner a request goes to is decided by the product; callers, runners and the time
that requests are on their way are played.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable

import attrs

from ..limits import Senders
from ..relay.models import CallerRequest, Runner, RunnerState
from ..relay.runners import RunnerTable
from ..relay.scheduling.runner_views import RunnerView
from ..relay.scheduling.selection import choose_runner

ENDPOINT = "e"
CONTACT_SECONDS = 3.0
"""Time after the first statement from which falls count."""

DOWN_SECONDS = 3.0
LATENCY_SECONDS = (0.001, 0.01)
WORK_SECONDS = (0.1, 0.3)
SLOTS = 6
QUEUE = 2
REJECTIONS = 4
MAX_ATTEMPTS = 2


@attrs.define
class PlayedRunner:
    """A runner that falls over above `REJECTIONS` in one second."""

    name: str
    running: int = 0
    waiting: deque = attrs.field(factory=deque)
    rejected_at: deque = attrs.field(factory=deque)
    down_until: float = float("-inf")
    life: int = 0
    falls: list[float] = attrs.field(factory=list)

    def reject(self, now: float) -> None:
        """Reject a request, and fall over if that was one too many."""
        self.rejected_at.append(now)
        while self.rejected_at[0] <= now - 1.0:
            self.rejected_at.popleft()
        if len(self.rejected_at) > REJECTIONS:
            self.falls.append(now)
            self.down_until = now + DOWN_SECONDS
            self.life += 1
            self.running = 0
            self.waiting.clear()
            self.rejected_at.clear()


class BrittleFleet:
    """A fleet of relays, brittle runners and more callers than these can serve.

    Args:
        hosts: Number of hosts.
        runners: Number of runners.
        pressure: Requests as a multiple of what the runners can serve.
        states: Whether the runners state what they tolerate.
        seed: Of all that is drawn.
    """

    def __init__(
        self, hosts: int, runners: int, pressure: float, states: bool, seed: int
    ) -> None:
        self.rng = random.Random(seed)
        self.runners = {f"i-{n}": PlayedRunner(f"i-{n}") for n in range(runners)}
        self.served = 0
        self.sent = 0
        self._rate = pressure * runners * SLOTS / (sum(WORK_SECONDS) / 2)
        self._stated = float(REJECTIONS) if states else None
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._numbers = itertools.count()
        self._now = 0.0
        names = [f"h-{n}" for n in range(hosts)]
        self._tables = [self._make_table(name, names) for name in names]

    @property
    def falls(self) -> int:
        """Number of falls that count."""
        return sum(
            at > CONTACT_SECONDS
            for runner in self.runners.values()
            for at in runner.falls
        )

    def play(self, seconds: float) -> None:
        """Play the given time, virtual seconds."""
        self._call_later(0.0, self._arrive)
        while self._events[0][0] < seconds:
            self._now, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)

    def _make_table(self, name: str, names: list[str]) -> RunnerTable:
        table = RunnerTable(1.9)
        senders = Senders(name)
        senders.set_names(names)
        table.bounds.find_standing = senders.find_standing
        for runner in self.runners:
            table.set_runner(
                Runner(
                    name=runner,
                    endpoint=ENDPOINT,
                    address="",
                    data_centre="dc",
                    slots=SLOTS,
                    state=RunnerState.READY,
                    started=0,
                )
            )
        return table

    def _call_later(self, seconds: float, call: Callable, *arguments: object) -> None:
        event = (self._now + seconds, next(self._numbers), call, arguments)
        heapq.heappush(self._events, event)

    def _arrive(self) -> None:
        self.sent += 1
        self._attempt(self.rng.choice(self._tables), set())
        self._call_later(self.rng.expovariate(self._rate), self._arrive)

    def _attempt(self, table: RunnerTable, tried: set) -> None:
        choice = choose_runner(
            table, ENDPOINT, _REQUEST, tried, "dc", self._now, self.rng
        )
        if choice is None:
            table.bounds.record_refusal(ENDPOINT, self._now)
            return
        view = choice.view
        token = object()
        table.record_sent(view, 0, token, None, self._now)
        latency = self.rng.uniform(*LATENCY_SECONDS)
        self._call_later(
            latency, self._reach, table, view, token, {*tried, view.incarnation}
        )

    def _reach(
        self, table: RunnerTable, view: RunnerView, token: object, tried: set
    ) -> None:
        runner = self.runners[view.runner.name]
        if self._now < runner.down_until:
            table.record_failure(view, self._now, certain=True)
            self._fail(table, view, token, tried)
        elif runner.running < SLOTS:
            self._start(runner, table, view, token)
        elif len(runner.waiting) < QUEUE:
            runner.waiting.append((table, view, token))
        else:
            runner.reject(self._now)
            self._record_answer(runner, table, view, success=False)
            table.record_rejection(view, self._now)
            self._fail(table, view, token, tried)

    def _fail(
        self, table: RunnerTable, view: RunnerView, token: object, tried: set
    ) -> None:
        self._end(table, view, token)
        if len(tried) < MAX_ATTEMPTS:
            self._attempt(table, tried)

    def _start(
        self, runner: PlayedRunner, table: RunnerTable, view: RunnerView, token: object
    ) -> None:
        runner.running += 1
        seconds = self.rng.uniform(*WORK_SECONDS)
        self._call_later(seconds, self._finish, runner, runner.life, table, view, token)

    def _finish(
        self,
        runner: PlayedRunner,
        life: int,
        table: RunnerTable,
        view: RunnerView,
        token: object,
    ) -> None:
        self._end(table, view, token)
        if runner.life != life:
            table.record_failure(view, self._now, certain=False)
            return
        runner.running -= 1
        self.served += 1
        self._record_answer(runner, table, view, success=True)
        if runner.waiting:
            self._start(runner, *runner.waiting.popleft())

    def _record_answer(
        self, runner: PlayedRunner, table: RunnerTable, view: RunnerView, success: bool
    ) -> None:
        waiting = len(runner.waiting)
        table.record_load_report(view, runner.running, waiting, self._now)
        table.bounds.record_brittleness(view, self._stated, self._now, self._now)
        if success:
            table.record_success(view, 0.1, self._now)

    def _end(self, table: RunnerTable, view: RunnerView, token: object) -> None:
        table.record_prefill_end(view, 0, token)
        table.record_finished(view)


_REQUEST = CallerRequest(
    identity="1",
    method="POST",
    host="h",
    path="/",
    target=b"/",
    headers=(),
    key=None,
    deadline=None,
)
