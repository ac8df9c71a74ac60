"""Planning of how many prepaid tokens a relay holds in advance.

Performs no I/O; times are passed in.
"""

from __future__ import annotations

import math

import attrs

TARGET_SECONDS = 20.0
"""Seconds of demand that relays hold in advance, to keep serving while they can't reach
the store. Applies while much of the budget is left. It is twice the length of most
outages, as demand may double during one."""

MAX_HELD_SHARE = 0.3
"""Largest share of the remaining budget that all primary relays together may hold.
Tokens held by a relay are lost when it crashes. Each primary may hold an even share,
plus whatever the others leave unused: all callers of an account may use one data
centre, with no demand in the others."""

AMPLE_SECONDS = 35.0
"""Seconds for which the remaining budget must last for relays to hold that full share.
Requests refused in an outage can be repeated after it as long as the budget isn't used
up by then, but tokens lost with a relay can't be recovered. So the sooner a budget runs
out, the less there is to gain from holding it, and the more to lose."""

SCARCITY_EXPONENT = 3
"""Exponent by which the held share falls once the remaining budget lasts less than
`AMPLE_SECONDS`. Of a budget that lasts half as long, an eighth of the full share may be
held."""

SCARCE_SECONDS = 75.0
"""Seconds of demand below which a remaining budget is scarce, so that hosts' records
bound what a crash loses of it. Crashes in series within a minute lose about a third of
a budget of 60 seconds even with records; a quarter is added, as the relays' estimates
of demand vary."""

MIN_TARGET_SECONDS = 0.8
"""Seconds of demand that a primary relay holds even if the budget runs out soon. With
less, every request would cost a write."""

MARGIN_REQUESTS = 2.0
"""Number of largest requests that all primary relays together hold on top, since
requests arrive at random. Relays lend tokens to each other, so one margin serves them
all. A margin at each relay would be lost at each of them in a power loss of all
hosts."""

WARM_UP_SHARE = 0.08
"""Share of the prepaid tokens that all primary relays together hold before the demand
is known. It covers the first seconds of traffic, which may begin with an outage."""

WARM_UP_SECONDS = 8.0
"""Seconds after its first request during which a relay holds `WARM_UP_SHARE`, until its
demand is known."""

REFILL_THRESHOLD = 0.65
"""Fraction of the target below which a relay refills. Refilling at every request would
cost a write each time. With a lower threshold, an outage that begins just before a
refill finds the relay with too few tokens to last through it."""

RETURN_THRESHOLD = 1.4
"""Multiple of the target above which a relay returns tokens. Demand comes in bursts,
and without returns each relay would keep what its highest burst required."""

MIN_RETURN_SHARE = 0.002
"""Smallest excess to return, as a share of the prepaid tokens. Less isn't worth a
write."""

MIN_AMPLE_RETURN_SHARE = 0.01
"""The same while the budget isn't scarce. What is returned after a burst is drawn again
in the next one, and each costs a write; others don't need it meanwhile."""

BORROW_AHEAD_SECONDS = 3.0
"""Seconds of demand that a relay borrows in advance, about as long as its lender is
down for a restart. More would lie idle at relays with few requests: with eighty of them
and a largest request at each, a small account has nothing left to lend."""

MIN_RATE_REQUESTS = 3.0
"""Number of largest requests within the demand window from which on the demand rate is
reliable enough to borrow in advance. A rate estimated from a single request means
nothing."""

IDLE_SECONDS = 1.0
"""Seconds without a request of an account after which everything borrowed is
returned."""

MIN_RETURN_TOKENS = 64
"""Fewest tokens that are worth a message to return them; about the tokens of a few
stream events."""


DEMAND_WINDOW_SECONDS = 8.0
"""Time constant of the demand average, seconds. It is as long as the tokens held have
to last. A shorter one follows single large requests up and down, at a write each
time."""


@attrs.define
class Demand:
    """Demand for one account at this relay, in the maximum tokens of each request.

    Attributes:
        largest: The largest recent request, tokens.
        unmet: Tokens that waiting requests need now.
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
        """Subtract tokens that were requested and returned unspent."""
        decay = math.exp((self._last - now) / DEMAND_WINDOW_SECONDS)
        # With no demand, or with demand that has decayed to nothing, there is nothing
        # to subtract from.
        self._sum = max(0.0, self._sum - tokens / decay) if decay else 0.0

    def is_idle(self, now: float) -> bool:
        """Return whether there was no recent request and none is waiting."""
        return not self.unmet and now - self._last >= IDLE_SECONDS

    def has_reliable_rate(self, now: float) -> bool:
        """Return whether there were enough recent requests for a reliable rate."""
        decayed = self._sum * math.exp((self._last - now) / DEMAND_WINDOW_SECONDS)
        return decayed >= MIN_RATE_REQUESTS * max(1.0, self.largest)

    def measure_observed(self, now: float) -> float:
        """Return the time since the first request, seconds; 0 before it."""
        return 0.0 if self._first is None else now - self._first

    def estimate_rate(self, now: float) -> float:
        """Return the demand rate, tokens per second."""
        if self._first is None:
            return 0.0
        decayed = self._sum * math.exp((self._last - now) / DEMAND_WINDOW_SECONDS)
        seen = max(1.0, now - self._first)
        return decayed / (
            DEMAND_WINDOW_SECONDS * (1 - math.exp(-seen / DEMAND_WINDOW_SECONDS))
        )


@attrs.frozen(kw_only=True)
class BudgetView:
    """What the ledger says about one account, and who shares it.

    Attributes:
        prepaid: Tokens of the account in total.
        free: Tokens that aren't granted to any relay.
        held: Tokens granted to other relays and not reported as spent.
        others_rate: Demand rate at other relays, tokens per second, as far as the
            ledger shows it.
        primaries: Number of primary relays of an account, one per data centre.
        warming_up: Whether this relay has had too little traffic to know its demand.
        lost: Tokens that crashes have lost unused so far.
    """

    prepaid: int
    free: int
    held: int
    primaries: int
    others_rate: float = 0.0
    warming_up: bool = False
    lost: int = 0

    def count_left(self, available: int) -> int:
        """Return the tokens that aren't known to be used.

        Args:
            available: Unused tokens of this relay's own grant.
        """
        return max(0, self.free) + self.held + max(0, available)


@attrs.frozen(kw_only=True)
class Balance:
    """Tokens of one account at one relay.

    Attributes:
        granted: Tokens granted to it in total.
        spent: Tokens spent and settled.
        reserved: Tokens reserved for running requests, at their maximum.
    """

    granted: int
    spent: int
    reserved: int

    @property
    def available(self) -> int:
        """Tokens that a new request may reserve."""
        return self.granted - self.spent - self.reserved


def compute_target(
    budget: BudgetView, balance: Balance, demand: Demand, now: float
) -> int:
    """Return the tokens that a primary relay should have available."""
    margin = MARGIN_REQUESTS * demand.largest / budget.primaries
    rate = demand.estimate_rate(now)
    need = rate * TARGET_SECONDS + margin
    minimum = rate * MIN_TARGET_SECONDS
    if budget.warming_up:
        # It isn't known yet how long the budget will last, either.
        minimum = max(minimum, WARM_UP_SHARE * budget.prepaid / budget.primaries)
        # The rate of the first seconds rests on a few requests.
        confidence = demand.measure_observed(now) / WARM_UP_SECONDS
        need = max(need * confidence, minimum)
    left = budget.count_left(balance.available)
    maximum = left * compute_held_share(left, rate + budget.others_rate)
    minimum = min(minimum, MAX_HELD_SHARE * left / budget.primaries)
    return int(
        min(need, max(minimum, maximum / budget.primaries, maximum - budget.held))
    )


def compute_held_share(left: float, rate: float) -> float:
    """Return the share of the remaining budget that all primary relays may hold.

    It is designed for an account whose callers request more than its budget, while
    hosts lose power one after the other or all at once.

    Args:
        left: Remaining tokens.
        rate: Demand rate of all callers, tokens per second.
    """
    ample_ratio = min(1.0, left / max(1.0, rate * AMPLE_SECONDS))
    return MAX_HELD_SHARE * ample_ratio**SCARCITY_EXPONENT


def is_scarce(budget: BudgetView, available: int, demand: Demand, now: float) -> bool:
    """Return whether the remaining budget lasts less than `SCARCE_SECONDS`.

    Args:
        available: Unused tokens of this relay's own grant.
    """
    rate = demand.estimate_rate(now) + budget.others_rate
    return budget.count_left(available) < rate * SCARCE_SECONDS


def plan_change(
    budget: BudgetView, balance: Balance, demand: Demand, now: float
) -> int:
    """Return the change of a primary relay's grant; a negative number returns
    tokens."""
    target = compute_target(budget, balance, demand, now)
    available = balance.available
    short = demand.unmet > available
    wanted = target + demand.unmet if short else target
    # As the demand of an idle account decays, the share that may be held grows. Drawing
    # that share would cost a write for nothing.
    has_demand = budget.warming_up or not demand.is_idle(now)
    if short or (has_demand and available < REFILL_THRESHOLD * target):
        return max(0, min(max(0, budget.free), wanted - available))
    excess = available - target
    scarce = is_scarce(budget, available, demand, now)
    min_share = MIN_RETURN_SHARE if scarce else MIN_AMPLE_RETURN_SHARE
    if available > RETURN_THRESHOLD * target and excess > min_share * budget.prepaid:
        return -excess
    return 0


def plan_direct_draw(free: int, available: int, demand: Demand, now: float) -> int:
    """Return the change of the grant of a relay that isn't primary for the account.

    It draws for itself if no primary relay responds, and only as much as it would
    borrow, since a lender may respond to the next request again.
    """
    needed = demand.unmet - available
    if needed > 0:
        return max(0, min(free, plan_borrow(needed, demand, now)))
    return -plan_return(available, demand, now)


def plan_loan(available: int, needed: int, wanted: int) -> int:
    """Return the tokens that a relay lends to another one that has too few.

    It is designed for outages in which no relay can reach the store and demand is
    uneven. A request that waits now takes precedence over later ones here, so it gets
    what it needs even if that is everything. Beyond that, half of the rest stays, since
    it isn't known which relay will have the next demand.

    Args:
        needed: Tokens for waiting requests.
        wanted: Tokens for waiting requests and for those expected soon.
    """
    available = max(0, available)
    return max(min(needed, available), min(wanted, available // 2))


def plan_borrow(needed: int, demand: Demand, now: float) -> int:
    """Return the tokens to request from a lender, including those needed soon."""
    if not demand.has_reliable_rate(now):
        return needed
    return needed + int(BORROW_AHEAD_SECONDS * demand.estimate_rate(now))


def plan_return(available: int, demand: Demand, now: float) -> int:
    """Return the tokens that a borrower should return.

    It is designed for many relays, each with few requests of an account. As the budget
    runs low, tokens kept at one relay for a request that may not arrive are unavailable
    to all the others.
    """
    kept = 0
    if not demand.is_idle(now):
        kept = int(demand.largest)
        if demand.has_reliable_rate(now):
            kept += int(2 * BORROW_AHEAD_SECONDS * demand.estimate_rate(now))
    excess = available - kept
    return excess if excess >= MIN_RETURN_TOKENS else 0
