"""Relays and runners in virtual time, with requests that crash the runners.

What relays know of crashes, and whom they tell, is the product's; the network, the
runners, the store and the callers are played.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import defaultdict
from collections.abc import Callable, Sequence

import attrs

from ..relay.models import Member
from ..relay.suspect_spread import SuspectOutbox
from ..relay.suspects import Suspects

BATCH_SECONDS = 0.05
CONFIRM_SECONDS = 0.06
DELIVERY_SECONDS = (0.001, 0.01)
LOST_SHARE = 0.02
"""Share of the messages between relays that are lost."""

CRASH_SECONDS = 0.1
"""Time from the begin of a crashing request to the crash."""

RETURN_SECONDS = 2.5
START_SECONDS = 1.0
ALL_RELAYS = 10_000
"""More relays than any fleet has."""

RUN_SECONDS = (0.5, 3.0)
SOUND_SECONDS = 1.1
"""Time after which a run shows that its prompt's parts don't crash the runner."""

SETTLE_SECONDS = 3.0
"""Time after the crash that reaches the limit in which all relays must have heard."""


@attrs.frozen
class Way:
    """What relays do to know of crashes.

    Attributes:
        recipients: Relays that are told of a crash.
        forwards: Whether they pass on what was new to them.
        repairs: Whether relays exchange what they know from time to time.
        asks: Whether a relay that starts asks others.
        stores: Whether the store keeps contents with several crashes.
    """

    recipients: int = 16
    forwards: bool = False
    repairs: bool = False
    asks: bool = False
    stores: bool = False


@attrs.frozen
class Day:
    """A fleet and what happens to it.

    Attributes:
        kill_one: Pause between kills of single relays, seconds; 0 for none.
        kill_all: Pause between losses of all relays.
        cut: Times at which the relays of one data centre are cut off and return.
        crashing: Crashing requests a second.
        sound: Sound requests a second and relay.
    """

    relays: int
    runners: int
    seconds: float = 30.0
    kill_one: float = 0.0
    kill_all: float = 0.0
    cut: tuple[float, float] | None = None
    crashing: float = 4.0
    sound: float = 3.0


@attrs.define(eq=False)
class PlayedRun:
    """One request at a runner."""

    host: int
    keys: Sequence[str]
    crashes: bool
    ended: bool = False


@attrs.define(eq=False)
class PlayedRunner:
    """One incarnation of a runner."""

    name: str
    runs: dict[PlayedRun, None] = attrs.field(factory=dict)


@attrs.define(eq=False)
class PlayedRelay:
    """One life of a relay."""

    number: int
    suspects: Suspects
    outbox: SuspectOutbox
    flushing: bool = False


@attrs.define
class Tally:
    """What came of a day.

    Attributes:
        arrivals: Times at which relays in touch sent crashing requests to runners.
        crashes: Times of the crashes they caused.
        sound: Sound requests from one `SETTLE_SECONDS` after the limit on.
        begun: Those of them that were sent to a runner and not refused.
        whole: Those of them that were answered whole.
        messages: Messages between relays.
        lines: Lines in them.
    """

    arrivals: list[float] = attrs.field(factory=list)
    crashes: list[float] = attrs.field(factory=list)
    sound: int = 0
    begun: int = 0
    whole: int = 0
    messages: int = 0
    lines: int = 0
    writes: int = 0

    def count_late(self, limit: int) -> int:
        """Return the arrivals after all relays should have known.

        Args:
            limit: Crash from which the time runs.
        """
        if len(self.crashes) < limit:
            return 0
        since = self.crashes[limit - 1] + SETTLE_SECONDS
        return sum(at > since for at in self.arrivals)


MakeKeys = Callable[[random.Random, bool], Sequence[str]]
"""Returns the keys of a request; the argument says whether it crashes runners."""


class CrashFleet:
    """A fleet in virtual time.

    Args:
        day: The fleet, and what happens to it.
        way: What relays do to know of crashes.
        seed: Seed of all random choices.
        make_keys: Returns what identifies the content of a request.
        limit: Crashes from which the tally counts.
    """

    def __init__(
        self, day: Day, way: Way, seed: int, make_keys: MakeKeys, limit: int
    ) -> None:
        self.tally = Tally()
        self._day, self._way, self._limit = day, way, limit
        self._make_keys = make_keys
        self._rng = random.Random(seed)
        self._now = 0.0
        self._events: list = []
        self._counter = itertools.count()
        self._lives = itertools.count()
        self._members = [
            Member(f"h{n}", f"h{n}/1", "a:1", f"dc-{n % 3}") for n in range(day.relays)
        ]
        self._relays: list[PlayedRelay | None] = []
        self._relays = [self._make_relay(n) for n in range(day.relays)]
        self._runners = [PlayedRunner(self._name()) for _ in range(day.runners)]
        self._stored: dict[int, dict[str, str]] = defaultdict(dict)

    def play(self) -> Tally:
        """Play the day."""
        self._schedule_arrivals()
        self._schedule_kills()
        if self._way.repairs:
            for number in range(self._day.relays):
                self._at(self._rng.random(), self._repair, number)
        while self._events:
            self._now, _, function, arguments = heapq.heappop(self._events)
            if self._now > self._day.seconds:
                break
            function(*arguments)
        return self.tally

    def _at(self, when: float, function: Callable, *arguments: object) -> None:
        heapq.heappush(self._events, (when, next(self._counter), function, arguments))

    def _after(self, seconds: float, function: Callable, *arguments: object) -> None:
        self._at(self._now + seconds, function, *arguments)

    def _name(self) -> str:
        return f"i-{next(self._lives)}"

    def _make_relay(self, number: int) -> PlayedRelay:
        return PlayedRelay(number, Suspects(), SuspectOutbox(self._rng))

    def _schedule_arrivals(self) -> None:
        sound = self._day.sound * self._day.relays
        for rate, crashes, begin in (
            (sound, False, 0.0),
            (self._day.crashing, True, 5.0),
        ):
            at = begin
            while at < self._day.seconds:
                at += self._rng.expovariate(rate)
                self._at(at, self._arrive, crashes)

    def _schedule_kills(self) -> None:
        day = self._day
        for pause, count in ((day.kill_one, 1), (day.kill_all, day.relays)):
            at = 6.0 + pause
            while pause and at < day.seconds:
                self._at(at, self._kill, count)
                at += pause

    def _kill(self, count: int) -> None:
        for number in self._rng.sample(range(self._day.relays), count):
            self._relays[number] = None
            for runner in self._runners:
                for run in [run for run in runner.runs if run.host == number]:
                    run.ended = True
                    del runner.runs[run]
            self._after(START_SECONDS, self._start, number)

    def _start(self, number: int) -> None:
        relay = self._relays[number] = self._make_relay(number)
        if self._way.stores:
            for lines in self._stored.values():
                relay.suspects.merge(list(lines.values()), self._now)
        if self._way.asks:
            for other in self._rng.sample(self._relays, min(3, len(self._relays))):
                if other and not self._is_cut(number, other.number):
                    relay.suspects.merge(other.suspects.list_serious(), self._now)

    def _is_cut(self, one: int, other: int) -> bool:
        cut = self._day.cut
        if cut is None or not cut[0] <= self._now < cut[1]:
            return False
        return (one % 3 == 0) != (other % 3 == 0)

    def _arrive(self, crashes: bool) -> None:
        relay = self._rng.choice(self._relays)
        runner = self._rng.choice(self._runners) if self._runners else None
        if relay is None or runner is None:
            return
        keys = self._make_keys(self._rng, crashes)
        counts = not crashes and self._is_settled()
        self.tally.sound += counts
        if any(relay.suspects.blocks(key, self._now) for key in keys):
            return
        self.tally.begun += counts
        run = PlayedRun(relay.number, keys, crashes)
        runner.runs[run] = None
        if crashes:
            if not self._is_out_of_touch(relay.number):
                self.tally.arrivals.append(self._now)
            self._after(CRASH_SECONDS, self._crash, runner)
        else:
            seconds = self._rng.uniform(*RUN_SECONDS)
            if seconds > SOUND_SECONDS:
                self._after(SOUND_SECONDS, self._show_sound, run)
            self._after(seconds, self._end, runner, run, counts)

    def _is_out_of_touch(self, number: int) -> bool:
        """Return whether a relay is in a data centre that is, or was just, cut off."""
        cut = self._day.cut
        if cut is None or number % 3:
            return False
        return cut[0] <= self._now < cut[1] + SETTLE_SECONDS

    def _is_settled(self) -> bool:
        crashes = self.tally.crashes
        if len(crashes) < self._limit:
            return False
        return self._now > crashes[self._limit - 1] + 2 * SETTLE_SECONDS

    def _end(self, runner: PlayedRunner, run: PlayedRun, counts: bool) -> None:
        relay = self._relays[run.host]
        if run.ended or relay is None:
            return
        del runner.runs[run]
        self.tally.whole += counts
        for key in run.keys:
            relay.suspects.record_success(key, self._now)

    def _show_sound(self, run: PlayedRun) -> None:
        """Let a relay see that a runner survives the begin of an answer."""
        relay = self._relays[run.host]
        if run.ended or relay is None:
            return
        for key in run.keys[1:]:
            relay.suspects.record_success(key, self._now)

    def _crash(self, runner: PlayedRunner) -> None:
        if runner not in self._runners:
            return
        self.tally.crashes.append(self._now)
        self._runners.remove(runner)
        by_host: dict[int, list[PlayedRun]] = defaultdict(list)
        for run in runner.runs:
            run.ended = True
            by_host[run.host].append(run)
        for number, runs in by_host.items():
            relay = self._relays[number]
            delay = self._rng.uniform(CONFIRM_SECONDS, 2 * CONFIRM_SECONDS)
            self._after(delay, self._confirm, relay, runner.name, runs, self._now)
        self._after(RETURN_SECONDS, self._return)

    def _return(self) -> None:
        self._runners.append(PlayedRunner(self._name()))

    def _confirm(
        self, relay: PlayedRelay, runner: str, runs: list[PlayedRun], at: float
    ) -> None:
        if self._relays[relay.number] is not relay:
            return
        for run in runs:
            for key in run.keys:
                relay.suspects.record_broken_request(runner, key, at)
        lines = relay.suspects.record_crash(runner, self._now)
        relay.outbox.add_observed(lines)
        self._store(relay, relay.suspects.list_contents(lines))
        self._flush_soon(relay)

    def _store(self, relay: PlayedRelay, contents: list[str]) -> None:
        serious = relay.suspects.format_serious(contents)
        if self._way.stores and serious:
            self.tally.writes += 1
            kept = zip(relay.suspects.list_contents(serious), serious, strict=True)
            self._stored[relay.number] |= dict(kept)

    def _flush_soon(self, relay: PlayedRelay) -> None:
        if relay.outbox and not relay.flushing:
            relay.flushing = True
            self._after(BATCH_SECONDS, self._flush, relay)

    def _flush(self, relay: PlayedRelay) -> None:
        relay.flushing = False
        others = [m for m in self._members if m is not self._members[relay.number]]
        messages = relay.outbox.take(others)
        for member, lines in messages[: self._way.recipients]:
            self._send(relay, int(member.host[1:]), lines)
        self._flush_soon(relay)

    def _send(self, relay: PlayedRelay, number: int, lines: list[str]) -> None:
        self.tally.messages += 1
        self.tally.lines += len(lines)
        lost = self._rng.random() < LOST_SHARE
        if not lost and not self._is_cut(relay.number, number):
            delay = self._rng.uniform(*DELIVERY_SECONDS)
            self._after(delay, self._receive, number, lines)

    def _receive(self, number: int, lines: list[str]) -> None:
        relay = self._relays[number]
        if relay is None:
            return
        merged = relay.suspects.merge(lines, self._now)
        self._store(relay, merged.combined)
        if self._way.forwards:
            relay.outbox.add_forwarded(merged.changed)
            self._flush_soon(relay)

    def _repair(self, number: int) -> None:
        relay = self._relays[number]
        pause = relay.suspects.compute_repair_pause(self._now) if relay else None
        self._after(pause or 1.0, self._repair, number)
        if pause is None:
            return
        other = self._relays[self._rng.randrange(self._day.relays)]
        if other is None or self._is_cut(number, other.number):
            return
        self._send(relay, other.number, relay.suspects.list_serious())
        self._receive(number, other.suspects.list_serious())
