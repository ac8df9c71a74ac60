"""Corrections of estimated waits by what became of earlier ones."""

from __future__ import annotations

from .queues import Entry

MIN_STRETCH = 1.01
"""A smaller correction is dropped."""

MAX_STRETCH = 8.0
"""Largest correction, so that one stall of all runners doesn't shut new work out."""

SMOOTHING = 0.05
"""Weight of one look at the queue, four of which come in a second: the correction
follows a change of load within some five seconds, well before a long wait is over."""

FADING = 0.005
"""The same where nothing waits to compare with. Slow, or a queue that is refused
empty would at once be filled again.
"""

MAX_RETURN_SECONDS = 60.0
"""Longest time by which returns are spread. Beyond it a caller had better decide for
itself, and what is known of the load now says nothing of then."""

RETURN_SHARE = 0.5
"""Share of the slots that returning callers are given; the rest is for new ones."""

Key = tuple[str, bool]


class Stretches:
    """How much longer waits become than the queue alone lets expect.

    The load it is for: long work that waits while questions keep coming, each of
    which rightly goes first. What waits at the moment says nothing of those still to
    come, so an estimate from the queue alone lets in far too much long work and
    refuses it after half a minute. Comparing what waiting work was promised with what
    has become of it corrects for these, and for whatever else the estimate leaves
    out. It is learnt for each account and class: the account that overloads the
    system waits longer than it was promised, and its neighbours don't.
    """

    def __init__(self) -> None:
        self._factors: dict[Key, float] = {}

    def apply(self, entry: Entry, wait: float) -> float:
        """Return the wait to reckon with."""
        return self._factors.get(_key(entry), 1.0) * wait

    def learn(self, waits: list[tuple[Entry, float]], now: float) -> None:
        """Compare promised waits with what has become of them.

        Args:
            waits: All waiting entries, with the seconds that each is yet to wait.
            now: Absolute seconds.
        """
        promised: dict[Key, float] = {}
        became: dict[Key, float] = {}
        for entry, wait in waits:
            if entry.attempts or entry.promised <= 0.0:
                continue
            key = _key(entry)
            promised[key] = promised.get(key, 0.0) + entry.promised
            became[key] = became.get(key, 0.0) + now - entry.submitted + wait
        for key, seconds in promised.items():
            factor = self._factors.get(key, 1.0)
            factor += SMOOTHING * (became[key] / seconds - factor)
            self._factors[key] = min(MAX_STRETCH, factor)
        for key in self._factors.keys() - promised.keys():
            self._factors[key] += FADING * (1.0 - self._factors[key])
        # None below one, so that good times don't let in more than the queue shows.
        self._factors = {k: f for k, f in self._factors.items() if f > MIN_STRETCH}


class Returns:
    """Times at which refused callers are told to come back, one after another.

    The load it is for: a burst whose refused callers all come back when the backlog
    is expected to be gone, and are all but one refused again. Each is told a time
    after those told before, by the slot seconds that those will need.
    """

    def __init__(self) -> None:
        self._taken_until = float("-inf")

    def plan(self, seconds: float, cost: float, slots: float, now: float) -> float:
        """Return the seconds after which to come back.

        Args:
            seconds: Time by which the present backlog is too long.
            cost: Slot seconds of the work.
            slots: Slots that serve this router's work.
            now: Absolute seconds.
        """
        after = max(seconds, self._taken_until - now)
        if after > MAX_RETURN_SECONDS:
            return max(seconds, MAX_RETURN_SECONDS)
        if slots > 0:
            self._taken_until = now + after + cost / (RETURN_SHARE * slots)
        return after


def _key(entry: Entry) -> Key:
    return entry.work.account, entry.work.short
