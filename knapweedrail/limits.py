"""Decision: who sends to a runner that limits its requests, and when.

Pure: the clock is passed in.

The load it is for: a runner in need that names how many requests a second it takes from
all relays together, mostly one or two, while six to hundreds of relays have callers. In
equal shares each relay would have one request in minutes, and as many bursts of one as
there are relays. So a few relays, chosen alike by all without a word, share what the
runner takes, and the others place their requests elsewhere.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable, Iterable

import attrs

from .hashing import hash_pair

USED_SHARE = 0.8
"""Part of a limit that its senders use together. Relays that come or go are listed some
seconds late, and meanwhile there is a sender more."""

SENDER_RATE = 1.0
"""Requests a second of a limit for each further sender. A relay of hundreds sees few
requests, so that one alone would leave most of a high limit unused."""

TRIAL_SHARE = 0.2
"""Part of a limit that the relays which aren't its senders use together to find out
whether it holds on, where no sender tells them."""

TRIAL_SPREAD = (1.0, 2.0)
"""Bounds of what the pause before a trial is multiplied by, drawn for each relay: all
of them hear of a limit within seconds, and mustn't try together."""

LEAST_TRIAL_SECONDS = 10.0
"""Shortest pause before a trial."""

YIELD_SHARE = 0.5
"""Part of the pause between two requests for which the least urgent ones leave a free
turn to others; the most urgent ones take it at once."""

TOLD_FACTOR = 1.25
"""How many times larger or smaller a limit must have become to tell other relays."""

LEAST_RATE = 1e-3
"""Limits below it count as this: a request in twenty minutes."""

MOST_RANK = 9
"""Rank of the least urgent requests."""


@attrs.frozen
class Standing:
    """A relay's place among all that may send to a limited runner.

    Attributes:
        relays: Number of relays.
        senders: How many of them are its senders.
        sends: Whether this relay is one.
    """

    relays: int
    senders: int
    sends: bool


FindStanding = Callable[[str, float], Standing]
"""Returns the own place among the senders to a runner with a limit of so many requests
a second."""


def stand_alone(runner: str, rate: float) -> Standing:
    """Return the place of a relay that knows of no other."""
    return Standing(relays=1, senders=1, sends=True)


def measure_next_turn(rates: Iterable[float]) -> float:
    """Return after which time a sender has a turn at one of several limited runners,
    seconds."""
    return 1.0 / max(LEAST_RATE, USED_SHARE * sum(rates))


def count_senders(rate: float, relays: int) -> int:
    """Return how many relays send to a runner with a limit of so many a second."""
    return max(1, min(relays, 1 + int(rate / SENDER_RATE)))


def rank_senders(runner: str, names: Iterable[str], count: int) -> list[str]:
    """Return those that send to a runner which limits its requests, chosen alike by
    all that know the same names."""
    return heapq.nsmallest(count, names, key=lambda name: hash_pair(f"@{runner}", name))


class Senders:
    """Who sends to limited runners, as one of those that may sees it.

    Args:
        own: Its name.
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._names = {own}
        self._sends: dict[tuple[str, int], bool] = {}

    def set_names(self, names: Iterable[str]) -> None:
        """Take in who there is."""
        known = {self._own, *names}
        if known != self._names:
            self._names = known
            self._sends.clear()

    def find_standing(self, runner: str, rate: float) -> Standing:
        """Return the own place among those that may send to a limited runner."""
        senders = count_senders(rate, len(self._names))
        key = (runner, senders)
        if key not in self._sends:
            # Kept, as it is asked for each request and ranks hundreds of names.
            chosen = rank_senders(runner, self._names, senders)
            self._sends[key] = self._own in chosen
        return Standing(len(self._names), senders, self._sends[key])


@attrs.define
class RunnerLimit:
    """A limit that a runner has named, and what this relay sent since.

    Attributes:
        rate: Requests a second from all relays together.
        heard_at: When it was last heard of; seconds.
        spread: What this relay's pause before a trial is multiplied by.
        sent_at: When this relay last sent a request there; seconds.
    """

    rate: float
    heard_at: float
    spread: float
    sent_at: float

    def change(self, rate: float, now: float) -> None:
        """Take in that it was named again, perhaps with another figure."""
        self.rate = max(LEAST_RATE, rate)
        self.heard_at = now

    def measure_turn(self, standing: Standing) -> float:
        """Return the pause between two requests of a sender, seconds."""
        return standing.senders / (USED_SHARE * self.rate)

    def measure_pause(self, standing: Standing, rank: int, now: float) -> float:
        """Return after which time a request may be sent; 0 for now.

        Args:
            rank: Urgency of the request, 0 first.
        """
        if not standing.sends:
            pause = self.spread * standing.relays / (TRIAL_SHARE * self.rate)
            quiet_since = max(self.heard_at, self.sent_at)
            return max(0.0, quiet_since + max(LEAST_TRIAL_SECONDS, pause) - now)
        turn = self.measure_turn(standing)
        yielded = YIELD_SHARE * turn * min(rank, MOST_RANK) / MOST_RANK
        return max(0.0, self.sent_at + turn + yielded - now)


@attrs.frozen
class LimitNews:
    """What one relay tells others of a runner's limit.

    Attributes:
        started: Start of the runner's life.
        rate: Requests a second; 0 where there is no limit any more.
        number: Rises with each change that any relay has seen; the highest is the news.
    """

    runner: str
    started: int
    rate: float
    number: int


@attrs.define
class LimitRecord:
    """What is known of one runner's limit.

    Attributes:
        limit: The present one, if there is one.
        number: Of the last change that was seen or heard of.
        told: The limit as all relays may know it; 0 for none.
    """

    limit: RunnerLimit | None = None
    number: int = 0
    told: float = 0.0

    def note_named(
        self,
        rate: float | None,
        now: float,
        rng: random.Random,
        sent_at: float = float("inf"),
    ) -> bool:
        """Take in what an answer of the runner says; return whether that is news.

        Answers on several connections overtake each other. One to a request that was
        sent before the limit was last heard of may be older than that.

        Args:
            rate: Requests a second; ``None`` if the answer names no limit.
            sent_at: When its request was sent; seconds.
        """
        limit = self.limit
        if limit is not None and sent_at < limit.heard_at:
            if rate is None or rate > limit.rate:
                return False
        self._set(rate, now, rng)
        known = 0.0 if rate is None else max(LEAST_RATE, rate)
        news = (known > 0) != (self.told > 0)
        if known and self.told:
            change = known / self.told
            news = not 1 / TOLD_FACTOR < change < TOLD_FACTOR
        if news:
            self.number += 1
            self.told = known
        return news

    def hear(self, news: LimitNews, now: float, rng: random.Random) -> bool:
        """Take in what another relay tells; return whether it wasn't known."""
        if news.number <= self.number:
            return False
        self.number = news.number
        self.told = news.rate
        self._set(news.rate or None, now, rng)
        return True

    def _set(self, rate: float | None, now: float, rng: random.Random) -> None:
        if rate is None:
            self.limit = None
            return
        if self.limit is None:
            # The turns of a sender that has just begun to count start with a pause.
            spread = rng.uniform(*TRIAL_SPREAD)
            self.limit = RunnerLimit(max(LEAST_RATE, rate), now, spread, now)
        self.limit.change(rate, now)


def read_rate(text: str) -> float | None:
    """Return the limit that a text names, requests a second; ``None`` for none.

    A text that is no number counts as none.
    """
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0 else None
