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

DRAWS = 4
"""Runners drawn at random for one decision. Two leave more runs waiting in runners
that are fuller than they seem; all of them would bring routers together on one."""

OTHERS_WEIGHT = 0.25
"""What a request of another router counts against one of this router. Its own number
is exact and differs from router to router; what reports say of the others is old,
and the same for all. Weighed in full it draws all routers to the runner that was
emptiest when it reported; left out, a runner that others fill looks empty."""

AFFINITY_EXCESS = 0.125
"""How much fuller, in share of its slots, the prefix's home may be than the runner
that load alone would choose. A cached prefix saves its prefill; beyond this the
request more often waits for a slot than it gains by that."""

AFFINITY_FREE_SHARE = 0.25
"""Share of its slots that must be free there. Reports lag, and the last slot that
they show is likely to be taken; the prefill is saved only if the work starts."""


class BalancedPlacement(Placement):
    """The runner with fewest of this router's requests, of a few drawn at random.

    The load it is for: many routers that see the same lagged reports. If each took
    the runner that was reported least loaded, all would send to the same one until
    the next report, and its callers would wait while others idle. Each router evens
    out its own requests, of which it knows exactly, and the sum of even streams is
    even; the reports say who has room at all, and break ties.
    """

    def choose(
        self, work: Work, fleet: Fleet, rng: random.Random
    ) -> RunnerState | None:
        runners = fleet.open_runners()
        if not runners:
            return None
        return min((fleet.draw(rng, runners) for _ in range(DRAWS)), key=compute_share)


class AffinityPlacement(Placement):
    """The runner that holds a prompt's prefix, unless it is fuller than others.

    The load it is for: follow-up questions that share a long history. Sent anywhere,
    each would prefill the whole history again and push other prefixes out of the
    cache. A hash ring gives each prefix its home runner without any exchange between
    routers, and moves few prefixes when a runner comes or goes. The bounds on load
    keep a popular prefix from felling its home: what exceeds them goes by load alone.
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
        if home.free <= AFFINITY_FREE_SHARE * home.slots:
            return by_load
        bound = compute_share(by_load) + AFFINITY_EXCESS
        return home if compute_share(home) <= bound else by_load


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


def compute_share(runner: RunnerState) -> float:
    """Return the share of a runner's slots in use, others' requests weighed less."""
    return (len(runner.running) + OTHERS_WEIGHT * runner.others) / runner.slots


def hash_point(text: str) -> int:
    """Return a place on the ring, the same in every router."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def register() -> None:
    """Add the kinds of this module."""
    PLACEMENTS.add("balanced", BalancedPlacement)
    PLACEMENTS.add("affinity", AffinityPlacement)
