"""Relays before runners that limit their requests, in virtual time.

Which runner a request goes to, and who may send to a limited one, is decided by the
product; callers, runners, the links between relays and what goes wrong are played.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable

import attrs

from ..limits import LimitUpdate, Standing, count_senders, rank_senders
from ..relay.models import CallerRequest, Runner, RunnerState
from ..relay.runners import RunnerTable
from ..relay.scheduling.runner_views import RunnerView
from ..relay.scheduling.selection import choose_runner

ENDPOINT = "e"
CONTACT_SECONDS = 3.0
TOLD_SECONDS = 0.5
"""Time after a relay's first answer with a limit from which on its requests count."""

WINDOW_SECONDS = 4.0
EXCESS_FACTOR = 1.5
EXCESS_REQUESTS = 5
TELL_SECONDS = 0.06
TOLD_RELAYS = 4
ANSWER_SECONDS = (0.05, 1.5)
LIST_SECONDS = 6.0
"""How late the others hear that a relay has come or gone."""


@attrs.define
class PlayedRunner:
    """A runner, and what arrived there.

    Attributes:
        limit: Requests a second that it names; ``None`` for none.
        named_at: When it first named the present limit.
        arrivals: Of requests that count: when, and the limit that was named then.
    """

    name: str
    limit: float | None = None
    named_at: float = float("inf")
    arrivals: list[float] = attrs.field(factory=list)
    served: int = 0


@attrs.define
class PlayedRelay:
    """One life of a relay.

    Attributes:
        told_at: When it first passed on an answer with a limit, by runner.
        known: Hosts that it takes for those of the fleet.
        version: Of that list.
        frozen_until: Until when it stands still.
    """

    host: str
    table: RunnerTable
    known: list[str]
    version: int
    told_at: dict[str, float] = attrs.field(factory=dict)
    frozen_until: float = 0.0


class LimitFleet:
    """A fleet of relays, its runners and its callers.

    Args:
        hosts: Number of hosts.
        runners: Number of runners.
        seed: Of all that is drawn.
        heeds: Whether a host's relay heeds limits; those that don't are faulty.
    """

    def __init__(
        self,
        hosts: int,
        runners: int,
        seed: int,
        heeds: Callable[[str], bool] = lambda host: True,
    ) -> None:
        self.now = 0.0
        self.refused = 0
        self.runners = {f"i-{n}": PlayedRunner(f"i-{n}") for n in range(runners)}
        self.relays: dict[str, PlayedRelay] = {}
        self._heeds = heeds
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._versions = itertools.count()
        self._parted: set[str] = set()
        self._chosen: dict[tuple[str, int, int], set[str]] = {}
        for number in range(hosts):
            self.start(f"h-{number}", listed=True)
        self._list()

    def at(self, seconds: float, action: Callable[[], None]) -> None:
        """Have something happen after some seconds."""
        heapq.heappush(self._events, (self.now + seconds, next(self._numbers), action))

    def start(self, host: str, listed: bool = False) -> None:
        """Start a relay's next life; the others hear of a new host some time later."""
        table = self._make_table(host)
        hosts = [*self.relays] if host in self.relays else [*self.relays, host]
        relay = PlayedRelay(host, table, hosts, next(self._versions))
        table.bounds.find_standing = lambda runner, rate: self._stand(
            relay, runner, rate
        )
        known = host in self.relays
        self.relays[host] = relay
        if not (listed or known):
            self.at(LIST_SECONDS, self._list)

    def _make_table(self, host: str) -> RunnerTable:
        """Return what a relay knows of the runners when it starts."""
        table = RunnerTable(grace_seconds=1.9)
        for name in self.runners:
            table.set_runner(make_runner(name))
        return table

    def stop(self, host: str) -> None:
        """End a relay for good; the others hear of it some time later."""
        del self.relays[host]
        self.at(LIST_SECONDS, self._list)

    def freeze(self, host: str, seconds: float) -> None:
        """Let a relay stand still for a while."""
        self.relays[host].frozen_until = self.now + seconds

    def part(self, hosts: set[str]) -> None:
        """Let hosts tell the others nothing, nor hear from them."""
        self._parted = hosts

    def limit(self, runner: str, rate: float | None) -> None:
        """Let a runner name a limit from now on, or none any more."""
        played = self.runners[runner]
        if played.limit is None:
            played.named_at = self.now
        played.limit = rate

    def send_for(
        self, seconds: float, per_second: float, weigh: Callable[[str], float] | None
    ) -> None:
        """Let callers send requests for some time.

        Args:
            weigh: Part of the callers that a host has; all alike if left out.
        """
        end = self.now + seconds
        self.at(0.0, lambda: self._arrive(end, per_second, weigh))
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def count_worst(self, runner: str) -> int:
        """Return the most requests that count in any window of a runner."""
        arrivals = sorted(self.runners[runner].arrivals)
        worst = first = 0
        for last, at in enumerate(arrivals):
            while arrivals[first] <= at - WINDOW_SECONDS:
                first += 1
            worst = max(worst, last - first + 1)
        return worst

    def _arrive(
        self,
        end: float,
        per_second: float,
        weigh: Callable[[str], float] | None,
    ) -> None:
        pause = self._rng.expovariate(per_second)
        if self.now + pause < end:
            self.at(pause, lambda: self._arrive(end, per_second, weigh))
        hosts = list(self.relays)
        weights = [weigh(host) for host in hosts] if weigh else None
        host = self._rng.choices(hosts, weights)[0]
        rank = self._rng.choice((0, 3, 9))
        relay = self.relays[host]
        wait = max(0.0, relay.frozen_until - self.now)
        self.at(wait, lambda: self._send(relay, rank))

    def _send(self, relay: PlayedRelay, rank: int) -> None:
        if self.relays.get(relay.host) is not relay:
            return
        choice = choose_runner(
            relay.table, ENDPOINT, _REQUEST, set(), "dc", self.now, self._rng, rank
        )
        if choice is None:
            self.refused += 1
            return
        view = choice.view
        relay.table.record_sent(view, 0, (), None, self.now)
        relay.table.record_prefill_end(view, 0, ())
        runner = self.runners[view.runner.name]
        runner.served += 1
        told_at = relay.told_at.get(runner.name, float("inf"))
        due = self.now >= runner.named_at + CONTACT_SECONDS
        if due and self.now >= told_at + TOLD_SECONDS and runner.limit is not None:
            runner.arrivals.append(self.now)
        named, sent_at = runner.limit, self.now
        pause = self._rng.uniform(*ANSWER_SECONDS)
        self.at(pause, lambda: self._answer(relay, view, named, sent_at))

    def _answer(
        self, relay: PlayedRelay, view: RunnerView, named: float | None, sent_at: float
    ) -> None:
        relay.table.record_finished(view)
        if self.relays.get(relay.host) is not relay:
            return
        if named is not None:
            relay.told_at.setdefault(view.runner.name, self.now)
        if not self._heeds(relay.host):
            return
        news = relay.table.bounds.record_limit(view, named, self.now, sent_at)
        if news is not None:
            self._tell(relay, news)

    def _tell(self, relay: PlayedRelay, news: LimitUpdate) -> None:
        others = [host for host in self.relays if host != relay.host]
        for host in self._rng.sample(others, min(TOLD_RELAYS, len(others))):
            if not {host, relay.host} & self._parted:
                self.at(TELL_SECONDS, lambda host=host: self._hear(host, news))

    def _hear(self, host: str, news: LimitUpdate) -> None:
        relay = self.relays.get(host)
        if relay is None or self.now < relay.frozen_until or not self._heeds(host):
            return
        if relay.table.merge_limit(news, self.now):
            self._tell(relay, news)

    def _list(self) -> None:
        hosts, version = list(self.relays), next(self._versions)
        for relay in self.relays.values():
            if relay.host not in self._parted:
                relay.known, relay.version = hosts, version

    def _stand(self, relay: PlayedRelay, runner: str, rate: float) -> Standing:
        senders = count_senders(rate, len(relay.known))
        key = (runner, senders, relay.version)
        if key not in self._chosen:
            self._chosen[key] = set(rank_senders(runner, relay.known, senders))
        sends = relay.host in self._chosen[key]
        return Standing(len(relay.known), senders, sends)


def allow(rate: float) -> float:
    """Return how many requests may arrive in a window."""
    return EXCESS_FACTOR * WINDOW_SECONDS * rate + EXCESS_REQUESTS


def make_runner(name: str, data_centre: str = "dc") -> Runner:
    """Return a ready runner."""
    return Runner(
        name=name,
        endpoint=ENDPOINT,
        address="127.0.0.1:1",
        data_centre=data_centre,
        slots=8,
        state=RunnerState.READY,
    )


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
