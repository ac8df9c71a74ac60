"""Relays before runners that have just started, in virtual time.

Which runner a prompt goes to, and who may send to a cold runner, is decided by the
product; callers, runners, the lists of runners and what goes wrong are played.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import attrs

from ..limits import Standing
from ..relay.models import CallerRequest, Endpoint, PromptPart
from ..relay.runners import RunnerTable
from ..relay.scheduling.cold_starts import BurstAllowance, make_limit
from ..relay.scheduling.runner_views import RunnerView
from ..relay.scheduling.selection import choose_runner
from ..relay.scheduling.workloads import find_shared_part
from .limitfleet import ENDPOINT, LimitFleet, PlayedRelay, make_runner

DATA_CENTRES = 3
COLD_SECONDS = 3.0
COLD_RATE = 8.8
ALLOWANCE = BurstAllowance(factor=1.5, reserve=5.0)

ENTRY_SECONDS = (0.0, 1.0)
"""How late a relay hears of a runner's entry."""

CONNECT_SECONDS = (0.0, 0.15)
"""How much later than its choice a request is sent, where a connection is opened."""

ANSWER_SECONDS = (0.1, 1.5)
PART_TOKENS = 3780
SUBJECTS_A_RUNNER = 48


@attrs.define
class ColdPeriod:
    """A time in which a runner is cold.

    Attributes:
        arrivals: When requests were sent to it.
    """

    begins: float
    ends: float
    arrivals: list[float] = attrs.field(factory=list)

    def count_worst(self) -> int:
        """Return the largest number of requests in any one second."""
        arrivals = sorted(self.arrivals)
        worst = first = 0
        for last, at in enumerate(arrivals):
            while arrivals[first] <= at - 1.0:
                first += 1
            worst = max(worst, last - first + 1)
        return worst


class Sharing:
    """The way in which relays share what a cold runner takes: that of the product."""

    name = "few senders"
    cold_rate = COLD_RATE

    def find_standing(self, found: Standing) -> Standing:
        """Return the standing that a relay acts on.

        Args:
            found: Its standing by the product.
        """
        return found


class EqualShares(Sharing):
    """Each relay sends the same part of what a cold runner takes."""

    name = "equal shares"

    def find_standing(self, found: Standing) -> Standing:
        return Standing(found.relays, found.relays, sends=True)


class NoCare(Sharing):
    """Cold runners get requests like all others."""

    name = "no care"
    cold_rate = 0.0


class ColdFleet(LimitFleet):
    """A fleet of relays, and runners that start or become cold again.

    Args:
        hosts: Number of hosts.
        runners: Number of runners.
        seed: Of all that is drawn.
        sharing: How relays share what a cold runner takes.
        heeds: Whether a host's relay takes care of cold runners; others are faulty.
    """

    def __init__(
        self,
        hosts: int,
        runners: int,
        seed: int,
        sharing: Sharing | None = None,
        heeds: Callable[[str], bool] = lambda host: True,
    ) -> None:
        self.periods: list[ColdPeriod] = []
        self.hot_share = 0.0
        self.moved = 0
        self.sent = 0
        self._sharing = sharing or Sharing()
        self._runner_count = runners
        self._present: dict[str, str] = {}
        self._cold: dict[str, ColdPeriod] = {}
        self._starts = 0
        self._subjects = random.Random(seed)
        for number in range(runners):
            self._present[f"i-{number}"] = f"dc{number % DATA_CENTRES}"
        super().__init__(hosts, 0, seed, heeds)

    def return_cold(self, data_centre: str) -> None:
        """Let all runners of a data centre start anew at the same moment."""
        gone = [n for n, place in self._present.items() if place == data_centre]
        for name in gone:
            del self._present[name]
            self._cold.pop(name, None)
            self._starts += 1
            started = f"{name.partition('+')[0]}+{self._starts}"
            self._present[started] = data_centre
            self._begin_period(started)
        for host in self.relays:
            self._announce(host)

    def grow_cold(self, data_centre: str) -> None:
        """Let all runners of a data centre become cold at an evacuation's end."""
        for name, place in self._present.items():
            if place == data_centre:
                self._begin_period(name)
        for host, relay in self.relays.items():
            if not relay.table.evacuated:
                continue
            delay = self._rng.uniform(*ENTRY_SECONDS)
            self.at(delay, lambda host=host: self._end_evacuations(host))

    def evacuate(self, data_centre: str) -> None:
        """Have all relays send nothing more to a data centre's runners."""
        for relay in self.relays.values():
            relay.table.set_evacuated(frozenset({data_centre}), self.now)

    def count_worst_cold(self) -> int:
        """Return the largest number of requests to a cold runner in any one second."""
        return max(period.count_worst() for period in self.periods)

    def count_served_cold(self) -> int:
        """Return the number of requests that cold runners got."""
        return sum(len(period.arrivals) for period in self.periods)

    def _begin_period(self, name: str) -> None:
        period = ColdPeriod(self.now, self.now + COLD_SECONDS)
        self._cold[name] = period
        self.periods.append(period)

    def _announce(self, host: str) -> None:
        if host in self._parted:
            return
        delay = self._rng.uniform(*ENTRY_SECONDS)
        self.at(delay, lambda: self._update_runners(host))

    def _update_runners(self, host: str) -> None:
        relay = self.relays.get(host)
        if relay is not None:
            relay.table.replace_all(self._list_entries(), self.now)

    def _end_evacuations(self, host: str) -> None:
        relay = self.relays.get(host)
        if relay is not None:
            relay.table.set_evacuated(frozenset(), self.now)

    def _list_entries(self) -> list[Any]:
        return [
            attrs.evolve(make_runner(name, place), cold_left=self._measure_left(name))
            for name, place in self._present.items()
        ]

    def _measure_left(self, name: str) -> float:
        period = self._cold.get(name)
        return max(0.0, period.ends - self.now) if period else 0.0

    def _make_table(self, host: str) -> RunnerTable:
        table = RunnerTable(grace_seconds=1.9, burst_allowance=ALLOWANCE)
        rate = self._sharing.cold_rate if self._heeds(host) else 0.0
        table.bounds.endpoints = {
            ENDPOINT: Endpoint(
                name=ENDPOINT,
                health_path="/",
                max_connections=480,
                cold_seconds=COLD_SECONDS,
                cold_rate=rate,
            )
        }
        table.replace_all(self._list_entries(), self.now)
        return table

    def _stand(self, relay: PlayedRelay, runner: str, rate: float) -> Standing:
        return self._sharing.find_standing(super()._stand(relay, runner, rate))

    def _send(self, relay: PlayedRelay, rank: int) -> None:
        if self.relays.get(relay.host) is not relay:
            return
        request = self._draw_request()
        choice = choose_runner(
            relay.table, ENDPOINT, request, set(), "dc0", self.now, self._rng, rank
        )
        if choice is None:
            self.refused += 1
            return
        view = choice.view
        self.sent += 1
        shared = find_shared_part(request.parts)
        known = relay.table.prefixes.find(shared.name, self.now)
        self.moved += known is not None and known != view.incarnation
        relay.table.record_prefix(shared.name, view, self.now)
        token = object()
        relay.table.record_sent(view, PART_TOKENS, token, None, self.now)
        connect = self._rng.uniform(*CONNECT_SECONDS)
        self.at(connect, lambda: self._arrive_at(view.runner.name))
        answer = connect + self._rng.uniform(*ANSWER_SECONDS)
        self.at(answer, lambda: self._finish(relay, view, token))

    def _arrive_at(self, name: str) -> None:
        period = self._cold.get(name)
        if period is not None and self.now < period.ends:
            period.arrivals.append(self.now)

    def _finish(self, relay: PlayedRelay, view: RunnerView, token: object) -> None:
        relay.table.record_prefill_end(view, PART_TOKENS, token)
        relay.table.record_finished(view)

    def _draw_request(self) -> CallerRequest:
        subjects = SUBJECTS_A_RUNNER * self._runner_count
        subject = self._subjects.randrange(subjects)
        if self._subjects.random() < self.hot_share:
            subject = 0
        parts = (PromptPart(f"s-{subject}", PART_TOKENS), PromptPart("own", 100))
        return attrs.evolve(_REQUEST, parts=parts)


def allow_cold() -> float:
    """Return how many requests a cold runner may get in any one second."""
    endpoint = Endpoint(
        name=ENDPOINT, health_path="/", max_connections=480, cold_rate=COLD_RATE
    )
    return make_limit(endpoint, ALLOWANCE).burst


_REQUEST = CallerRequest(
    identity="id",
    method="POST",
    target=b"/",
    host="h",
    path="/",
    headers=(),
    key=None,
    deadline=None,
)
