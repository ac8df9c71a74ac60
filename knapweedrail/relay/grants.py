"""Decision: how many prepaid tokens a relay holds ahead of need.

Pure: the clock is passed in.
"""

from __future__ import annotations

import math

import attrs

HOLD_SECONDS = 10.0
"""How long a relay that can't reach the store serves out of what it holds. All relays
may be cut off at once for some eight seconds, and the time until the next refill
comes on top. What is held is lost when the relay dies, so longer isn't better."""

HOLD_REQUESTS = 2.0
"""Largest requests held beyond that. At a few requests in ten seconds chance doubles
the demand now and then, and one request may be a tenth of all."""

START_SHARE = 0.08
"""Part of what was prepaid that all relays together hold before they know the demand:
enough for the first seconds of a day, which may begin with a cut."""

REFILL_SHARE = 0.7
"""Part of the target below which a refill is asked for. Refilling at every request
would cost a write each time; at a third below, one write serves some three seconds."""

RETURN_FACTOR = 1.5
"""How many times the target must be held before tokens go back."""

SCARCE_SHARE = 0.15
"""Part of what was prepaid below which free tokens are scarce. Above it nobody needs
what others hold, and giving it back costs a write."""

MEMORY_SECONDS = 5.0
"""Time over which demand is averaged: a burst of some seconds shows, single requests
don't."""


@attrs.define
class Demand:
    """What callers ask of one account at this relay: tokens, at most.

    Attributes:
        largest: The largest request lately, tokens.
        unmet: Tokens that requests wait for now.
    """

    largest: float = 0.0
    unmet: int = 0
    _sum: float = 0.0
    _first: float | None = None
    _last: float = 0.0

    def note_request(self, tokens: int, now: float) -> None:
        """Count a request by the tokens that it may use."""
        if self._first is None:
            self._first = self._last = now
        decay = math.exp((self._last - now) / MEMORY_SECONDS)
        self._sum = self._sum * decay + tokens
        self.largest = max(tokens, self.largest * decay)
        self._last = now

    def estimate_rate(self, now: float) -> float:
        """Return the tokens asked for in a second."""
        if self._first is None:
            return 0.0
        decayed = self._sum * math.exp((self._last - now) / MEMORY_SECONDS)
        seen = max(1.0, now - self._first)
        return decayed / (MEMORY_SECONDS * (1 - math.exp(-seen / MEMORY_SECONDS)))


@attrs.frozen(kw_only=True)
class Position:
    """What a relay has of one account.

    Attributes:
        granted: Granted to it in all.
        spent: Spent and settled.
        reserved: Set aside for requests under way, at their most.
    """

    granted: int
    spent: int
    reserved: int

    @property
    def available(self) -> int:
        """Tokens that a new request may take."""
        return self.granted - self.spent - self.reserved


def compute_target(
    free: int, prepaid: int, position: Position, demand: Demand, relays: int, now: float
) -> int:
    """Return the tokens that a relay should have available.

    Enough to serve through a cut; but of what is left no more than about two relays'
    even shares. As a budget runs low its last tokens would otherwise lie with relays
    that don't need them, and callers elsewhere be refused although tokens are left.

    Args:
        free: Tokens that nobody was granted.
        relays: Number of relays.
    """
    need = demand.estimate_rate(now) * HOLD_SECONDS + HOLD_REQUESTS * demand.largest
    start = START_SHARE * prepaid / max(1, relays)
    left = max(0, free) + max(0, position.available)
    bound = left * 2 / (max(1, relays) + 1)
    return int(min(max(need, start), bound))


def plan_change(
    free: int, prepaid: int, position: Position, demand: Demand, relays: int, now: float
) -> int:
    """Return by how much the relay's grant should change; below 0 gives back."""
    target = compute_target(free, prepaid, position, demand, relays, now)
    available = position.available
    wanted = max(target, available + demand.unmet if demand.unmet else 0)
    if demand.unmet or available < REFILL_SHARE * target:
        return max(0, min(max(0, free), wanted - available))
    scarce = free < SCARCE_SHARE * prepaid
    if scarce and available > RETURN_FACTOR * target:
        return target - available
    return 0


def plan_gift(available: int, needed: int, wanted: int) -> int:
    """Return the tokens that a relay hands to another that has too few.

    The load it is for: all relays are cut off from the store, and callers come
    unevenly. One request that waits now goes before requests that may come here
    later, so it gets what it needs even if that is all. Beyond that, half of what is
    left stays: who will be asked for more next isn't known.

    Args:
        needed: For requests that wait.
        wanted: To last for a while.
    """
    if available < needed:
        return 0
    return max(needed, min(wanted, available // 2))
