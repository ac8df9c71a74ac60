"""Decision: how many prepaid tokens a relay holds ahead of need.

Pure: the clock is passed in.
"""

from __future__ import annotations

import math

import attrs

TARGET_SECONDS = 20.0
"""How long relays that can't reach the store serve out of what they hold, while much is
left: twice as long as most cuts, as demand may double while one lasts."""

MAX_HELD_SHARE = 0.5
"""Largest part of what is left of a budget that all keepers together may hold. What is
held is lost when its relay dies. Each keeper may have an even share, and beyond it what
the others leave: callers of an account may all come to one data centre while nobody
asks the others for tokens."""

AMPLE_SECONDS = 35.0
"""How long the rest of a budget must last for relays to hold that part of it. What
callers are refused in a cut they can have after it, as long as the budget isn't used up
by then; what is lost with a relay, never. So the sooner a budget will be used up, the
less there is to gain by holding it, and the more to lose."""

SCARCITY_EXPONENT = 3
"""Power with which the part falls below that: of a budget that lasts half as long, an
eighth of it may be held."""

MIN_TARGET_SECONDS = 0.8
"""How long a keeper serves out of what it holds, however soon the budget is used up.
With less, every request would cost a write."""

MARGIN_REQUESTS = 2.0
"""Largest requests that all keepers together hold beyond that, as demand comes by
chance. Relays lend tokens to each other, so one margin serves all of them; a margin at
each would be lost with each when all lose power."""

WARM_UP_SHARE = 0.08
"""Part of what was prepaid that all keepers together hold before they know the demand:
enough for the first seconds of traffic, which may begin with a cut."""

WARM_UP_SECONDS = 8.0
"""How long after its first request a relay holds that: until its demand is known."""

REFILL_THRESHOLD = 0.65
"""Part of the target below which a refill is asked for. Refilling at every request
would cost a write each time; with less, a cut that begins just before a refill finds
the relay with too little to last through it."""

RETURN_THRESHOLD = 1.4
"""How many times the target must be held before tokens go back. Demand comes in
bursts, and without it each relay keeps what its highest one called for."""

MIN_RETURN_SHARE = 0.002
"""Part of what was prepaid that must be too much at least: less isn't worth a write."""

BORROW_AHEAD_SECONDS = 3.0
"""How long a relay serves out of what it borrows: about as long as its lender is away
when it is restarted. More would lie idle at relays that see few requests: with eighty
of them and a largest request at each, a small account has nothing left to lend."""

MIN_RATE_REQUESTS = 3.0
"""Largest requests that must have come within the memory of the demand before a relay
borrows ahead. With one request in that time a rate says nothing."""

IDLE_SECONDS = 1.0
"""Time without a request of an account after which all that was borrowed goes back."""

MIN_RETURN_TOKENS = 64
"""Tokens that are worth a message to give back: some events of a stream."""

VESTING_FACTOR = 2.0
"""How many times as fast as callers ask for tokens a grant opens. In a cut nothing can
open it faster, and demand may double while one lasts; what opens and isn't used is lost
when the relay dies."""

MAX_VESTING_SECONDS = 12.0
"""How long a grant takes to open at the most while its demand isn't known. An account
that is seldom asked for has few requests, and they are large beside its demand."""

BURST_SECONDS = 1.0
"""Seconds of demand that are open at once, beside the margin of large requests that the
keepers have together. Requests come by chance, and each one that finds too little open
costs a write and a wait, or a loan while the store is away."""

MAX_EXCESS_SHARE = 0.01
"""Part of what was prepaid by which more than that may be open to one keeper before it
writes its grant anew. What is open and not used is lost when its relay dies."""

MIN_DISBURSED_SHARE = 0.5
"""Part of that which must have been given out since: a budget costs so many writes at
the most, however long it lasts, and one that nobody asks for costs none."""

DEMAND_WINDOW_SECONDS = 8.0
"""Time over which demand is averaged: as long as what is held has to last. Shorter, it
follows single large requests up and down, at a write each time."""


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

    def record_request(self, tokens: int, now: float) -> None:
        """Count a request by the tokens that it may use."""
        if self._first is None:
            self._first = self._last = now
        decay = math.exp((self._last - now) / DEMAND_WINDOW_SECONDS)
        self._sum = self._sum * decay + tokens
        self.largest = max(tokens, self.largest * decay)
        self._last = now

    def record_return(self, tokens: int, now: float) -> None:
        """Count off what was asked for and came back unspent."""
        decay = math.exp((self._last - now) / DEMAND_WINDOW_SECONDS)
        # Of a demand that was long ago, or never, nothing is left to count off.
        self._sum = max(0.0, self._sum - tokens / decay) if decay else 0.0

    def is_idle(self, now: float) -> bool:
        """Return whether nobody has asked for tokens lately, nor waits for any."""
        return not self.unmet and now - self._last >= IDLE_SECONDS

    def has_reliable_rate(self, now: float) -> bool:
        """Return whether there were enough requests lately for a rate to mean much."""
        decayed = self._sum * math.exp((self._last - now) / DEMAND_WINDOW_SECONDS)
        return decayed >= MIN_RATE_REQUESTS * max(1.0, self.largest)

    def estimate_rate(self, now: float) -> float:
        """Return the tokens asked for in a second."""
        if self._first is None:
            return 0.0
        decayed = self._sum * math.exp((self._last - now) / DEMAND_WINDOW_SECONDS)
        seen = max(1.0, now - self._first)
        return decayed / (
            DEMAND_WINDOW_SECONDS * (1 - math.exp(-seen / DEMAND_WINDOW_SECONDS))
        )


@attrs.frozen
class VestingTerms:
    """How a grant opens.

    Attributes:
        burst: Tokens beyond those in use that are open at once.
        rate: More with each second.
    """

    burst: int
    rate: int


@attrs.frozen(kw_only=True)
class BudgetView:
    """What the ledger says of one account, and who shares it.

    Attributes:
        prepaid: Tokens in all.
        free: Tokens that nobody was granted.
        held: Tokens that other relays were granted and haven't reported as spent.
        others_rate: Tokens that other relays' callers ask for in a second, as far as
            the ledger tells.
        keepers: Number of relays that draw on the ledger for others.
        starting: Whether this relay has seen too little traffic to know its demand.
    """

    prepaid: int
    free: int
    held: int
    primaries: int
    others_rate: float = 0.0
    warming_up: bool = False


@attrs.frozen(kw_only=True)
class Balance:
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
    budget: BudgetView, balance: Balance, demand: Demand, now: float
) -> int:
    """Return the tokens that a keeper should have available."""
    margin = MARGIN_REQUESTS * demand.largest / budget.primaries
    rate = demand.estimate_rate(now)
    need = rate * TARGET_SECONDS + margin
    minimum = rate * MIN_TARGET_SECONDS
    if budget.warming_up:
        # How long the budget will last isn't known yet, either.
        minimum = max(minimum, WARM_UP_SHARE * budget.prepaid / budget.primaries)
        need = max(need, minimum)
    left = max(0, budget.free) + budget.held + max(0, balance.available)
    maximum = left * compute_held_share(left, rate + budget.others_rate)
    minimum = min(minimum, MAX_HELD_SHARE * left / budget.primaries)
    return int(
        min(need, max(minimum, maximum / budget.primaries, maximum - budget.held))
    )


def compute_held_share(left: float, rate: float) -> float:
    """Return the part of what is left of a budget that all keepers may hold.

    The load it is for: an account whose callers ask for more than it has, while hosts
    lose power one after the other or all at once.

    Args:
        left: Tokens.
        rate: Tokens that all callers ask for in a second.
    """
    ample_ratio = min(1.0, left / max(1.0, rate * AMPLE_SECONDS))
    return MAX_HELD_SHARE * ample_ratio**SCARCITY_EXPONENT


def plan_change(
    budget: BudgetView, balance: Balance, demand: Demand, now: float
) -> int:
    """Return by how much a keeper's grant should change; below 0 gives back."""
    target = compute_target(budget, balance, demand, now)
    available = balance.available
    short = demand.unmet > available
    wanted = target + demand.unmet if short else target
    # Of an account that nobody asks for, the part that may be held grows as its demand
    # is forgotten; fetching that would cost a write for nothing.
    has_demand = budget.warming_up or not demand.is_idle(now)
    if short or (has_demand and available < REFILL_THRESHOLD * target):
        return max(0, min(max(0, budget.free), wanted - available))
    excess = available - target
    if (
        available > RETURN_THRESHOLD * target
        and excess > MIN_RETURN_SHARE * budget.prepaid
    ):
        return -excess
    return 0


def plan_vesting(
    budget: BudgetView, free: int, demand: Demand, now: float
) -> VestingTerms:
    """Return how a grant should open.

    The load it is for: hosts that die, one or all, while each holds what its callers
    ask for in many seconds. What hadn't opened by then comes back to the account.

    Args:
        free: Tokens of the grant that nobody uses.
    """
    demand_rate = demand.estimate_rate(now)
    rate = VESTING_FACTOR * demand_rate
    if not demand.has_reliable_rate(now):
        rate = max(rate, free / MAX_VESTING_SECONDS)
    burst = (
        MARGIN_REQUESTS * demand.largest / budget.primaries
        + BURST_SECONDS * demand_rate
    )
    if budget.warming_up:
        # The first callers may meet a cut, and what they will ask for isn't known.
        burst = max(burst, WARM_UP_SHARE * budget.prepaid / budget.primaries)
    return VestingTerms(int(burst) + demand.unmet, int(rate))


def is_over_vested(
    budget: BudgetView, available: int, terms: VestingTerms, disbursed_since: int
) -> bool:
    """Return whether so much more of a grant is open than need be that a write pays.

    Args:
        passed: Tokens given out since the grant was written.
    """
    threshold = MAX_EXCESS_SHARE * budget.prepaid
    return (
        available - terms.burst > threshold
        and disbursed_since >= MIN_DISBURSED_SHARE * threshold
    )


def plan_direct_draw(free: int, available: int, demand: Demand, now: float) -> int:
    """Return by how much the grant of a relay should change that keeps no account.

    It draws for itself when no relay that keeps the account answers, and as little as
    a borrower asks for: the next request may find its lender again.
    """
    needed = demand.unmet - available
    if needed > 0:
        return max(0, min(free, plan_borrow(needed, demand, now)))
    return -plan_return(available, demand, now)


def plan_loan(available: int, needed: int, wanted: int) -> int:
    """Return the tokens that a relay hands to another that has too few.

    The load it is for: all relays are cut off from the store, and callers come
    unevenly. One request that waits now goes before requests that may come here
    later, so it gets what it needs even if that is all. Beyond that, half of what is
    left stays: who will be asked for more next isn't known.

    Args:
        needed: For requests that wait.
        wanted: To last for a while.
    """
    available = max(0, available)
    return max(min(needed, available), min(wanted, available // 2))


def plan_borrow(needed: int, demand: Demand, now: float) -> int:
    """Return the tokens to ask a lender for, with what will be needed soon."""
    if not demand.has_reliable_rate(now):
        return needed
    return needed + int(BORROW_AHEAD_SECONDS * demand.estimate_rate(now))


def plan_return(available: int, demand: Demand, now: float) -> int:
    """Return the tokens that a borrower should give back.

    The load it is for: many relays, each with few requests of an account. What one
    keeps for a request that may not come, all others miss as the budget runs low.
    """
    kept = 0
    if not demand.is_idle(now):
        kept = int(demand.largest)
        if demand.has_reliable_rate(now):
            kept += int(2 * BORROW_AHEAD_SECONDS * demand.estimate_rate(now))
    excess = available - kept
    return excess if excess >= MIN_RETURN_TOKENS else 0
