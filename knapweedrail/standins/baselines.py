"""Plain policies to measure against, with the methods of `Dispatcher`."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections import OrderedDict

from ..fleets import Fleet
from ..models import Endpoint, Rules, Runner
from ..work import Decision, Ended, LoadReport, Start, Work


class Baseline(ABC):
    """A router that refuses nothing and judges no runner."""

    def __init__(
        self,
        endpoint: Endpoint,
        data_centre: str,
        rules: Rules,
        rng: random.Random,
    ) -> None:
        self.endpoint = endpoint
        self.rng = rng
        self.fleet = Fleet()

    @abstractmethod
    def submit(self, work: Work, now: float) -> list[Decision]:
        """Take new work in."""

    def finished(
        self, work_id: str, runner: str, outcome: Ended, now: float
    ) -> list[Decision]:
        """Count a run as over."""
        state = self.fleet.runners[runner]
        state.note_end(work_id, now)
        self.fleet.refresh(state, now)
        return []

    def start(self, work_id: str, runner: str, now: float) -> Start:
        """Count a run and return its decision."""
        state = self.fleet.runners[runner]
        state.note_start(work_id, now)
        self.fleet.refresh(state, now)
        return Start(work_id, runner)

    def set_runners(self, runners: tuple[Runner, ...], now: float) -> None:
        """Take over the list of runners; where they stand makes no difference."""
        names = {runner.name: True for runner in runners}
        self.fleet.set_runners(names, self.endpoint.slots, now)

    def report(self, runner: str, report: LoadReport, now: float) -> None:
        """Take a load report in."""
        state = self.fleet.runners[runner]
        state.note_report(report, now)
        self.fleet.refresh(state, now)

    def cancel(self, work_id: str, now: float) -> None:
        """Forget work whose caller has gone."""

    def answering(self, work_id: str, now: float) -> None:
        """Ignore first bytes."""

    def retry(self, work_id: str, now: float) -> list[Decision]:
        """Start failed work again, always."""
        return self.submit(Work(work_id, "", 0.0), now)

    def unreachable(self, runner: str, now: float) -> None:
        """Ignore failed connections."""

    def tick(self, now: float) -> list[Decision]:
        """Do nothing with time."""
        return []

    def next_tick(self) -> float | None:
        """Ask for no tick."""
        return None


class RoundRobin(Baseline):
    """Each request to the next runner."""

    def submit(self, work: Work, now: float) -> list[Decision]:
        names = list(self.fleet.runners)
        self._next = getattr(self, "_next", self.rng.randrange(len(names))) + 1
        return [self.start(work.id, names[self._next % len(names)], now)]


class LeastOutstanding(Baseline):
    """Each request to the runner with fewest of this router's requests."""

    def submit(self, work: Work, now: float) -> list[Decision]:
        states = list(self.fleet.runners.values())
        self.rng.shuffle(states)
        least = min(states, key=lambda state: len(state.running))
        return [self.start(work.id, least.name, now)]


class FirstCome(Baseline):
    """One first-come queue; its head to the runner that is reported least loaded."""

    def __init__(self, *args, **kwargs) -> None:
        super().__init__(*args, **kwargs)
        self.queue: OrderedDict[str, None] = OrderedDict()
        self._due: float | None = None

    def submit(self, work: Work, now: float) -> list[Decision]:
        self.queue[work.id] = None
        return self.pump(now)

    def finished(
        self, work_id: str, runner: str, outcome: Ended, now: float
    ) -> list[Decision]:
        super().finished(work_id, runner, outcome, now)
        return self.pump(now)

    def report(self, runner: str, report: LoadReport, now: float) -> None:
        super().report(runner, report, now)
        self._due = now

    def cancel(self, work_id: str, now: float) -> None:
        self.queue.pop(work_id, None)

    def tick(self, now: float) -> list[Decision]:
        self._due = None
        return self.pump(now)

    def next_tick(self) -> float | None:
        return self._due

    def pump(self, now: float) -> list[Decision]:
        """Start the head of the queue while a runner has room."""
        decisions: list[Decision] = []
        while self.queue and self.fleet.open_runners():
            least = min(self.fleet.open_runners(), key=lambda state: state.load)
            work_id, _ = self.queue.popitem(last=False)
            decisions.append(self.start(work_id, least.name, now))
        return decisions
