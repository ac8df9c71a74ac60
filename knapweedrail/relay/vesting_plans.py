"""Planning of how a relay's grants vest, by the ledger and by the host's record.

Performs no I/O; times are passed in.
"""

from __future__ import annotations

import attrs

from .grants import (
    MARGIN_REQUESTS,
    WARM_UP_SECONDS,
    WARM_UP_SHARE,
    BudgetView,
    Demand,
)

VESTING_FACTOR = 2.0
"""Rate at which a grant vests, as a multiple of the demand rate. It can't be raised
during an outage, when demand may double. Tokens that are vested and unused are lost
when the relay crashes."""

MAX_VESTING_SECONDS = 12.0
"""Longest time in which a grant vests completely while its demand isn't known. An
account with little demand has few requests, and they are large compared with its demand
rate."""

RECORD_DELAY_MILLISECONDS = 3_000
"""Time after a write of the host's record in which nothing vests by it. A relay that
reaches the store writes its record sooner, so a crash that is followed by a restart
within this time loses no tokens that vested with time."""

RECORD_BURST_SECONDS = 0.5
"""Seconds of demand that vest at once by the host's record, on top of the margin that
the drawing relays share."""

MAX_LOST_SHARE = 0.025
"""Largest share of a budget that crashes may lose beyond what requests had reserved,
however many crashes there are. A request that finds too few vested tokens costs a write
of the record."""

WARM_UP_DECAY = 0.5
"""Part of `WARM_UP_SHARE` by which the tokens that vest at once by the record have
fallen at the end of `WARM_UP_SECONDS`. An outage may still begin then."""

BURST_SECONDS = 1.0
"""Seconds of demand that vest at once, on top of the margin that the primary relays
share. Requests arrive at random, and each one that finds too few vested tokens costs a
write and a wait, or a loan while the store is unavailable."""

MAX_EXCESS_SHARE = 0.01
"""Excess of vested tokens above which a primary relay writes a new vesting schedule, as
a share of the prepaid tokens. Tokens that are vested and unused are lost when the relay
crashes."""

MIN_DISBURSED_SHARE = 0.5
"""Fraction of `MAX_EXCESS_SHARE` that must also have been disbursed since the last
write. This bounds the writes per budget, however long it lasts, and an account without
demand costs none."""


@attrs.frozen
class VestingTerms:
    """Terms of a new vesting schedule.

    Attributes:
        burst: Tokens beyond those in use that vest at once.
        rate: Tokens that vest per second after that.
    """

    burst: int
    rate: int


def plan_vesting(
    budget: BudgetView, free: int, demand: Demand, now: float
) -> VestingTerms:
    """Return how a grant should vest.

    It is designed for crashes of one host or of all, while each holds many seconds of
    demand. What hadn't vested by then returns to the account.

    Args:
        free: Unused tokens of the grant.
    """
    demand_rate = demand.estimate_rate(now)
    burst = (
        MARGIN_REQUESTS * demand.largest / budget.primaries
        + BURST_SECONDS * demand_rate
    )
    if budget.warming_up:
        # The first requests may come during an outage, and their demand isn't known.
        burst = max(burst, WARM_UP_SHARE * budget.prepaid / budget.primaries)
    return _limit_terms(budget, burst + demand.unmet, _plan_rate(free, demand, now))


def plan_recorded_vesting(
    budget: BudgetView, free: int, demand: Demand, now: float
) -> VestingTerms:
    """Return how a grant should vest by the host's record.

    It is designed for crashes soon after a write of the record, which loses what vests
    at once. During an outage the rest vests as by the ledger, after a delay.

    Args:
        free: Unused tokens of the grant.
    """
    demand_rate = demand.estimate_rate(now)
    margin = MARGIN_REQUESTS * demand.largest / budget.primaries
    burst = margin + RECORD_BURST_SECONDS * demand_rate
    burst = min(burst, compute_loss_limit(budget) / budget.primaries)
    if budget.warming_up and not budget.lost:
        decay = WARM_UP_DECAY * demand.measure_observed(now) / WARM_UP_SECONDS
        start_share = WARM_UP_SHARE * budget.prepaid / budget.primaries
        burst = max(burst, start_share * (1 - decay))
    return _limit_terms(budget, burst + demand.unmet, _plan_rate(free, demand, now))


def compute_loss_limit(budget: BudgetView) -> float:
    """Return the tokens that a crash of all drawing relays may lose.

    It is designed for crashes in series. A limit for each crash would let a series lose
    any share of the budget. With half of what is left of `MAX_LOST_SHARE` for each, no
    series loses more than that.
    """
    return max(0.0, MAX_LOST_SHARE * budget.prepaid - budget.lost) / 2


def _limit_terms(budget: BudgetView, burst: float, rate: float) -> VestingTerms:
    """Return terms by which no more than the whole budget vests at once or per second.

    Schedules are stored, and the numbers that the store takes are limited.
    """
    limit = max(0, budget.prepaid)
    return VestingTerms(int(min(burst, limit)), int(min(rate, limit)))


def _plan_rate(free: int, demand: Demand, now: float) -> float:
    """Return the tokens of a grant that should vest per second."""
    rate = VESTING_FACTOR * demand.estimate_rate(now)
    if not demand.has_reliable_rate(now):
        rate = max(rate, free / MAX_VESTING_SECONDS)
    return rate


def is_over_vested(
    budget: BudgetView, available: int, terms: VestingTerms, disbursed_since: int
) -> bool:
    """Return whether the vested tokens exceed the need by enough to be worth a write.

    Args:
        disbursed_since: Tokens disbursed since the grant was written.
    """
    threshold = MAX_EXCESS_SHARE * budget.prepaid
    return (
        available - terms.burst > threshold
        and disbursed_since >= MIN_DISBURSED_SHARE * threshold
    )
