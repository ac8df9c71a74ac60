"""Placing policies: by load, and by prompt prefix as far as load allows."""

from __future__ import annotations

import random
from bisect import bisect_right
from hashlib import blake2b

from ..fleets import Fleet, RunnerState
from ..placement import PLACEMENTS, Placement
from ..work import Work

RING_POINTS = 16
"""Points of one runner on the ring; evens out the arcs enough, since load bounds
what an arc that is too long brings."""

AFFINITY_EXCESS = 0.25
"""How much fuller, in share of its slots, the prefix's home may be than the runner
that load alone would choose. A cached prefix saves its prefill; beyond this the
longer batch costs more than that."""


class BalancedPlacement(Placement):
    """The less loaded of two runners drawn at random.

    The load it is for: many routers that see the same lagged reports. If each took
    the least loaded runner, all would send to the same one until the next report,
    and its callers would wait while others idle. Two random draws keep nearly all
    of the gain of the least loaded one, and two routers seldom draw the same pair.
    Two and not more: each further draw brings the herd back.
    """

    def choose(
        self, work: Work, fleet: Fleet, rng: random.Random
    ) -> RunnerState | None:
        runners = fleet.open_runners()
        if not runners:
            return None
        first = fleet.draw(rng, runners)
        second = fleet.draw(rng, runners)
        return first if share(first) <= share(second) else second


class AffinityPlacement(Placement):
    """The runners that hold a prompt's prefix, unless they are much fuller.

    The load it is for: follow-up questions that share a long history. Sent anywhere,
    each would prefill the whole history again and push other prefixes out of the
    cache. A hash ring gives each prefix its home runner without any exchange
    between routers, and moves few prefixes when a runner comes or goes. The bound
    on load keeps a popular prefix from felling its home: what exceeds it goes by
    load alone.
    """

    def __init__(self) -> None:
        self._balanced = BalancedPlacement()
        self._near = _Ring(())
        self._far = _Ring(())

    def set_runners(self, near: tuple[str, ...], far: tuple[str, ...]) -> None:
        self._near = _Ring(near)
        self._far = _Ring(far)

    def choose(
        self, work: Work, fleet: Fleet, rng: random.Random
    ) -> RunnerState | None:
        by_load = self._balanced.choose(work, fleet, rng)
        if by_load is None or not work.prefix_hash:
            return by_load
        ring = self._near if by_load.own_data_centre else self._far
        home = fleet.runners.get(ring.find(work.prefix_hash))
        if home is None or not fleet.has_room(home):
            return by_load
        bound = share(by_load) + AFFINITY_EXCESS
        return home if share(home) <= bound else by_load


class _Ring:
    """Consistent hashing of prefixes to runners."""

    def __init__(self, names: tuple[str, ...]) -> None:
        points = sorted(
            (hash_point(f"{name}#{number}"), name)
            for name in names
            for number in range(RING_POINTS)
        )
        self._hashes = [point for point, _ in points]
        self._names = [name for _, name in points]

    def find(self, prefix_hash: int) -> str | None:
        """Return the runner that is home to a prefix."""
        if not self._names:
            return None
        place = bisect_right(self._hashes, hash_point(str(prefix_hash)))
        return self._names[place % len(self._names)]


def share(runner: RunnerState) -> float:
    """Return the share of a runner's slots that are thought taken."""
    return runner.load / runner.slots


def hash_point(text: str) -> int:
    """Return a place on the ring, the same in every router."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def register() -> None:
    """Add the kinds of this module."""
    PLACEMENTS.add("balanced", BalancedPlacement)
    PLACEMENTS.add("affinity", AffinityPlacement)
