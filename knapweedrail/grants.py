"""Policy: how many tokens a router holds ahead of need, and when it gives them up.

Safety doesn't rest on anything here: a grant is taken out of the budget by a
conditional write whatever its size. These decisions trade refusals that needn't be
against tokens that lie idle or are lost when a router dies.
"""

from __future__ import annotations

import math

import attrs

FAIR_PART = 0.9
"""Part of what a budget has left that may be held ahead of need by all together.

For a router that meets its first request of a budget: it finds a tenth in the budget
and needn't wait until another has seen its want and given back.
"""

LARGEST_RESERVATIONS = 2
"""An allowance covers this many of the largest reservations seen lately.

For few and large requests, where seconds of average demand are less than one request:
each would wait for the platform. What a death writes off is made of these for all but
the largest accounts, so it is no more than the next request and one beside it.
"""

KNOWN_SECONDS = 300.0
"""Time over which a demand has been seen when the cover is worked out."""

LARGEST_DOUBT = 2.0
"""Bound on the share that doubt adds to the cover of an account with few requests."""

SHRINK_FACTOR = 2.0
"""Holdings above this multiple of the target are given back unasked.

For demand that falls. Below it a holding is left alone, as each return and the grant
after it cost a write; at 1 a router whose demand varies would write all the time.
"""

LOW_WATER = 0.5
"""A holding below this part of its target asks for more with the next flush, also when
this router has no requests of that budget itself: it holds the reserve for others."""

FAIR_SLACK = 1.5
"""A reserve above this multiple of the fair part is given back unasked."""


@attrs.frozen
class Target:
    """Tokens to hold of one budget: to spend, and for neighbours."""

    allowance: int
    reserve: int


def find_target(
    demand: float,
    centre_demand: float,
    largest: int,
    neighbours: int,
    allowance_seconds: float,
    cover_seconds: float,
) -> Target:
    """Return what a router wants to hold of one budget.

    For the evening's load with the platform away: the data centre's cover is held
    where it survives the death of any one router. Each router keeps an equal part of
    the cover as reserve for the others, never for itself, so that what it has handed
    over is known to those who took it. Equal parts, and not each its own demand's: a
    router that meets an account in the cut for the first time draws on the others.
    A router alone in its data centre has nobody to hand it to and holds all as
    allowance.

    Args:
        demand: Own demand, tokens a second.
        centre_demand: Demand of the data centre's routers together, as recorded.
        largest: Largest reservation seen.
        neighbours: Other routers of the data centre.
        allowance_seconds: Seconds of demand to hold ready to spend.
        cover_seconds: Seconds of demand to hold for a time without the platform.
    """
    allowance = max(demand * allowance_seconds, LARGEST_RESERVATIONS * largest)
    whole = max(demand, centre_demand)
    cover = whole * cover_seconds * (1.0 + find_doubt(whole, largest))
    if neighbours == 0:
        return Target(int(max(allowance, cover)), 0)
    return Target(int(allowance), int(cover / (neighbours + 1)))


def find_doubt(demand: float, largest: int) -> float:
    """Return by how much a demand may be higher than it seems, as a part of it.

    For small accounts: from a handful of requests the rate isn't known, and a cover
    worked out from it runs dry in a cut although the budget had enough. Two standard
    deviations of a count of requests as large as the largest.
    """
    seen = demand * KNOWN_SECONDS / max(1, largest)
    return min(LARGEST_DOUBT, 2.0 / math.sqrt(max(seen, 0.01)))


def find_weight(demand: float, centre_demand: float, neighbours: int) -> float:
    """Return the part of all demand that counts for one router, tokens a second.

    Half its own demand and half its equal part of the data centre's, as it holds
    tokens for both. Over all routers the weights add up to the demand.
    """
    return (demand + centre_demand / (neighbours + 1)) / 2


def find_fair_part(left: int, weight: float, total_demand: float) -> int:
    """Return how much of a budget one holder may hold ahead of need.

    For a budget that runs low: holdings shrink with what is left, in proportion to
    demand, so that the last tokens stay within reach of whoever needs them.
    """
    part = weight / total_demand if total_demand > 0 else 1.0
    return int(max(0, left) * FAIR_PART * min(1.0, part))


def split_grant(
    available: int, room: int, least: int, allowance: int, reserve: int
) -> Target:
    """Return what one grant gives.

    What requests wait for is given whatever the fair part says, as far as the budget
    has it; more only up to the fair part.

    Args:
        available: Tokens in nobody's hands.
        room: Fair part of the holder less what it holds.
        least: Tokens that waiting requests need.
        allowance: Allowance wanted, ``least`` included.
        reserve: Reserve wanted.
    """
    available = max(0, available)
    granted = min(available, max(least, min(allowance, room)))
    granted = max(0, granted)
    kept = min(reserve, available - granted, room - granted)
    return Target(granted, max(0, kept))


@attrs.frozen
class View:
    """What a router sees of one budget when it decides what to give back.

    Attributes:
        free: Its own allowance that no reservation holds.
        reserve: Its own reserve.
        target: What it wants to hold.
        waiting: Tokens that its own waiting requests need.
        fair_part: What it may hold ahead of need.
        available: Tokens in nobody's hands.
        wants: Tokens that other holders' requests wait for.
        first: Whether its name comes before those of all who want.
    """

    free: int
    reserve: int
    target: Target
    waiting: int
    fair_part: int
    available: int
    wants: int
    first: bool


def decide_return(view: View) -> Target:
    """Return what a router gives back now.

    For a nearly spent budget whose last tokens lie in several hands: while another's
    requests wait, everything that own requests don't need goes back, reserve first.
    When own requests wait too, and nobody's part is enough, all would keep theirs and
    all be refused; so all but the first by name give theirs up.
    """
    missing = view.wants - max(0, view.available)
    if missing > 0:
        reserve = min(view.reserve, missing)
        if view.waiting and view.first:
            return Target(0, reserve)
        return Target(min(view.free, missing - reserve), reserve)
    # Grants go up to the fair part and the target. Returns begin well above both:
    # otherwise each small change of demand would move tokens to and fro.
    fair_part = view.fair_part * FAIR_SLACK
    keep_reserve = int(min(view.target.reserve * SHRINK_FACTOR, fair_part))
    reserve = max(0, view.reserve - keep_reserve)
    keep_free = int(view.target.allowance * SHRINK_FACTOR)
    allowance = max(0, view.free - keep_free) if not view.waiting else 0
    return Target(allowance, reserve)


def needs_more(view: View) -> bool:
    """Return whether to ask for tokens ahead of need.

    For a reserve that neighbours have drawn on, and for demand that has risen. Not
    while another's requests wait, nor when the fair part leaves hardly anything to
    get: on a budget that runs low each router would write for a handful of tokens.
    """
    if view.wants > 0:
        return False
    target = view.target.allowance + view.target.reserve
    held = max(0, view.free) + view.reserve
    room = min(view.available, view.fair_part - held)
    return held < target * LOW_WATER and room > target * LOW_WATER / 2
