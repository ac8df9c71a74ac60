"""Log lines about grants that are planned and settled."""

from __future__ import annotations

from ..events import Event, log_event
from .account_holdings import AccountHolding, Plan
from .allowances import Stage
from .vesting import VestingSchedule


def log_plan(holding: AccountHolding, plan: Plan, now: float) -> None:
    """Log a planned change of this relay's grant, and what the grant is for.

    Args:
        now: Monotonic time, seconds.
    """
    allowance = holding.allowance
    demand = allowance.demand
    grant = plan.ledger.grants.get(holding.holder)
    vesting = grant.vesting if grant else None
    log_event(
        Event.GRANT_PLANNED,
        account=holding.name,
        change=plan.change,
        available=allowance.available,
        granted=grant.tokens if grant else 0,
        spent=grant.spent if grant else 0,
        reserved=allowance.reserved,
        sent=allowance.stages[Stage.SENT],
        begun=allowance.stages[Stage.BEGUN],
        lent=allowance.lent_outstanding,
        borrowed=allowance.borrowed_outstanding,
        opened=vesting.tokens if vesting else None,
        vesting_rate=vesting.rate if vesting else None,
        rate=round(demand.estimate_rate(now)),
        unmet=demand.unmet,
        prepaid=plan.prepaid,
        free=plan.free,
        revision=holding.revision,
    )


def log_settlements(holding: AccountHolding, plan: Plan) -> None:
    """Log the settled grants of the host's previous incarnations."""
    for settlement in plan.settled:
        log_event(
            Event.GRANT_SETTLED,
            account=holding.name,
            holder=settlement.holder,
            granted=settlement.tokens,
            spent=settlement.spent,
            written_off=settlement.written_off,
            lost=settlement.lost,
            returned=settlement.returned,
            evidence=settlement.evidence.value,
            opened=settlement.vesting.tokens if settlement.vesting else None,
            rate=settlement.vesting.rate if settlement.vesting else None,
            elapsed=settlement.elapsed,
            revision=holding.revision,
        )


def log_record(holding: AccountHolding, schedule: VestingSchedule) -> None:
    """Log the entry of an account in the host's record, and what it is for."""
    allowance = holding.allowance
    log_event(
        Event.RECORD_PLANNED,
        account=holding.name,
        granted=allowance.tokens,
        used=allowance.used,
        spent=allowance.spent,
        reserved=allowance.reserved,
        sent=allowance.stages[Stage.SENT],
        begun=allowance.stages[Stage.BEGUN],
        opened=schedule.tokens,
        vesting_rate=schedule.rate,
    )
