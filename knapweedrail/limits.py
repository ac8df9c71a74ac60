"""Decision: who sends to a runner that limits its requests, and when.

Pure: the clock is passed in.

Handles an overloaded runner that states how many requests a second it accepts from all
relays together, usually one or two, while six to hundreds of relays have callers. With
equal shares each relay would have one request in minutes, and all might send theirs at
the same time. So a few relays, which all relays choose alike without communicating,
share the limit, and the others send their requests to other runners.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable, Iterable

import attrs

from .hashing import hash_pair

USED_SHARE = 0.8
"""Part of a limit that its senders use together. Relays that start or stop are listed
some seconds late, and meanwhile there may be another sender."""

SENDER_RATE = 1.0
"""Requests a second of a limit for each further sender. One of hundreds of relays gets
few requests, so alone it would leave most of a high limit unused."""

TRIAL_SHARE = 0.2
"""Part of a limit that the relays which aren't its senders use together to find out
whether it still applies, if no sender reports that."""

TRIAL_SPREAD = (1.0, 2.0)
"""Bounds of the random factor of the pause before a trial. All relays learn of a limit
within seconds, and must not try at the same time."""

MIN_TRIAL_SECONDS = 10.0
"""Shortest pause before a trial."""

YIELD_SHARE = 0.5
"""Part of the pause between two requests that the least urgent ones wait in addition,
so that more urgent ones come first."""

CHANGE_FACTOR = 1.25
"""Factor by which a limit must have changed to be sent to other relays."""

MIN_RATE = 1e-3
"""Smallest limit, requests a second: one in about twenty minutes."""

MAX_RANK = 9
"""Rank of the least urgent requests."""


@attrs.frozen
class Standing:
    """A relay's role among all that may send to a limited runner.

    Attributes:
        relays: Number of relays.
        senders: How many of them are its senders.
        sends: Whether this relay is one.
    """

    relays: int
    senders: int
    sends: bool


FindStanding = Callable[[str, float], Standing]
"""Returns the own standing for a runner by its name and limit, requests a second."""


def stand_alone(runner: str, rate: float) -> Standing:
    """Return the standing of a relay that knows of no other."""
    return Standing(relays=1, senders=1, sends=True)


def measure_next_turn(rates: Iterable[float]) -> float:
    """Return the mean time until a sender may send to one of several limited runners,
    seconds."""
    return 1.0 / max(MIN_RATE, USED_SHARE * sum(rates))


def count_senders(rate: float, relays: int) -> int:
    """Return the number of senders to a runner with a limit, requests a second."""
    return max(1, min(relays, 1 + int(rate / SENDER_RATE)))


def rank_senders(runner: str, names: Iterable[str], count: int) -> list[str]:
    """Return the senders to a limited runner: the same for all that know the same
    names."""
    return heapq.nsmallest(count, names, key=lambda name: hash_pair(f"@{runner}", name))


class Senders:
    """The senders to limited runners, as seen by one relay or router.

    Args:
        own: Its name.
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._names = {own}
        self._sends: dict[tuple[str, int], bool] = {}

    def set_names(self, names: Iterable[str]) -> None:
        """Set the names of all relays or routers."""
        known = {self._own, *names}
        if known != self._names:
            self._names = known
            self._sends.clear()

    def find_standing(self, runner: str, rate: float) -> Standing:
        """Return the own standing for a limited runner."""
        senders = count_senders(rate, len(self._names))
        key = (runner, senders)
        if key not in self._sends:
            # Cached: it is needed for each request and ranks hundreds of names.
            chosen = rank_senders(runner, self._names, senders)
            self._sends[key] = self._own in chosen
        return Standing(len(self._names), senders, self._sends[key])


@attrs.define
class RunnerLimit:
    """A limit that a runner has stated, and when this relay last sent to it.

    Attributes:
        rate: Requests a second from all relays together.
        heard_at: When it was last stated or received, seconds.
        spread: Random factor of this relay's pause before a trial.
        sent_at: When this relay last sent a request to the runner, seconds.
    """

    rate: float
    heard_at: float
    spread: float
    sent_at: float

    def update(self, rate: float, now: float) -> None:
        """Update the limit, which was stated or received again."""
        self.rate = max(MIN_RATE, rate)
        self.heard_at = now

    def measure_turn(self, standing: Standing) -> float:
        """Return the pause between two requests of a sender, seconds."""
        return standing.senders / (USED_SHARE * self.rate)

    def measure_pause(self, standing: Standing, rank: int, now: float) -> float:
        """Return the time until a request may be sent, seconds.

        Args:
            rank: Urgency of the request, 0 first.
        """
        if not standing.sends:
            pause = self.spread * standing.relays / (TRIAL_SHARE * self.rate)
            quiet_since = max(self.heard_at, self.sent_at)
            return max(0.0, quiet_since + max(MIN_TRIAL_SECONDS, pause) - now)
        turn = self.measure_turn(standing)
        yielded = YIELD_SHARE * turn * min(rank, MAX_RANK) / MAX_RANK
        return max(0.0, self.sent_at + turn + yielded - now)


@attrs.frozen
class LimitUpdate:
    """A runner's limit as one relay sends it to others.

    Attributes:
        started: Start time of the runner's incarnation, Unix milliseconds.
        rate: Requests a second; 0 if there is no limit any more.
        number: Rises with each change that any relay has seen; the highest is the
            newest.
    """

    runner: str
    started: int
    rate: float
    number: int


@attrs.define
class LimitRecord:
    """State of one runner's limit.

    Attributes:
        limit: The current limit, if there is one.
        number: Number of the last change that was seen or received.
        sent: The limit as last sent to or received from other relays; 0 for none.
    """

    limit: RunnerLimit | None = None
    number: int = 0
    sent: float = 0.0

    def record_stated(
        self,
        rate: float | None,
        now: float,
        rng: random.Random,
        sent_at: float = float("inf"),
    ) -> bool:
        """Record what an answer states; return whether to send it to other relays.

        Answers on several connections overtake each other. The answer to a request
        that was sent before the limit was last received may be older than that.

        Args:
            rate: Requests a second; ``None`` if the answer states no limit.
            sent_at: When its request was sent; seconds.
        """
        limit = self.limit
        if limit is not None and sent_at < limit.heard_at:
            if rate is None or rate > limit.rate:
                return False
        self._set(rate, now, rng)
        known = 0.0 if rate is None else max(MIN_RATE, rate)
        changed = (known > 0) != (self.sent > 0)
        if known and self.sent:
            ratio = known / self.sent
            changed = not 1 / CHANGE_FACTOR < ratio < CHANGE_FACTOR
        if changed:
            self.number += 1
            self.sent = known
        return changed

    def merge(self, update: LimitUpdate, now: float, rng: random.Random) -> bool:
        """Merge a limit received from another relay; return whether it was new."""
        if update.number <= self.number:
            return False
        self.number = update.number
        self.sent = update.rate
        self._set(update.rate or None, now, rng)
        return True

    def _set(self, rate: float | None, now: float, rng: random.Random) -> None:
        if rate is None:
            self.limit = None
            return
        if self.limit is None:
            # A new sender starts with a pause.
            spread = rng.uniform(*TRIAL_SPREAD)
            self.limit = RunnerLimit(max(MIN_RATE, rate), now, spread, now)
        self.limit.update(rate, now)


def read_rate(text: str) -> float | None:
    """Return the limit stated by a text, requests a second.

    Returns:
        ``None`` if the text isn't a valid limit.
    """
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0 else None
