"""Decision: whether a request that finds no tokens is refused, and what it is told."""

from __future__ import annotations

import attrs

from .ledgers import OPEN, Ledger
from .models import Holder
from .outcomes import Ran, Refusal, RefusalKind

STEP = "budget.reserve"

RECALL_RETRY_SECONDS = 2.0
"""When to come back while other routers hold tokens: a few of their polls."""

AWAY_RETRY_SECONDS = 5.0
"""When to come back while the platform is away: requests of a whole data centre are
refused then, and each refused caller that comes back at once adds to the load."""

STRANDED_RETRY_SECONDS = 60.0
"""When to come back while the rest is with routers that are gone: a fence round or
an operator has to bring it back."""


@attrs.frozen
class Standing:
    """What the ledger shows of one budget, from one router's place.

    Attributes:
        left: Tokens not used yet, by the ledger and by own unreported use.
        available: Tokens in nobody's hands.
        elsewhere: Unspent tokens of other holders that may still give them back.
        stranded: Unspent tokens of holders that are fenced or closed.
        own: Own tokens, those reserved for requests under way included.
        want: Own want that the ledger shows.
        wants: Wants of other holders.
        first: Whether own name comes before those of all others who want.
        total_demand: Demand of all holders together, tokens a second.
        centre_demand: Demand of the holders of the own data centre together.
    """

    left: int
    available: int
    elsewhere: int
    stranded: int
    own: int
    want: int
    wants: int
    first: bool
    total_demand: int
    centre_demand: int


def find_standing(
    ledger: Ledger,
    budget: str,
    holder: Holder,
    data_centre: str,
    own: int,
    own_spent: int,
) -> Standing | None:
    """Return a budget's standing, or ``None`` when the ledger doesn't have it."""
    record = ledger.budgets.get(budget)
    if record is None:
        return None
    name = str(holder)
    elsewhere = stranded = wants = recorded = want = centre_demand = 0
    first = True
    for other, share in record.shares.items():
        if other == name:
            recorded, want = share.spent, share.want
            centre_demand += share.demand
            continue
        other_record = ledger.holders.get(other)
        if other_record is None or other_record.state != OPEN:
            stranded += share.unspent
            continue
        elsewhere += share.unspent
        wants += share.want
        if other_record.data_centre == data_centre:
            centre_demand += share.demand
        if share.want and other < name:
            first = False
    return Standing(
        left=record.left - max(0, own_spent - recorded),
        available=record.available,
        elsewhere=elsewhere,
        stranded=stranded,
        own=own,
        want=want,
        wants=wants,
        first=first,
        total_demand=sum(share.demand for share in record.shares.values()),
        centre_demand=centre_demand,
    )


def decide_refusal(
    standing: Standing | None, budget: str, tokens: int, peer: str
) -> Refusal | None:
    """Return the refusal that a fresh view of the ledger allows, if any.

    For evenings on which budgets run out: a caller that is told "spent" may top up or
    give up, so it is said only when it is true at a read that began after the request
    came. While others hold unspent tokens the request waits for them to come.

    Args:
        standing: The budget's standing.
        budget: Name of the budget.
        tokens: Tokens that the request needs.
        peer: Where the view comes from.
    """
    if standing is None:
        detail = f"budget {budget} isn't open yet"
        return refuse_out_of_reach(detail, peer, AWAY_RETRY_SECONDS)
    if standing.left <= 0:
        detail = f"budget {budget} is spent"
        return _refuse(RefusalKind.BUDGET_SPENT, detail, peer, None)
    if standing.left < tokens:
        detail = (
            f"budget {budget} has {standing.left} tokens left; "
            f"the request may need {tokens}"
        )
        return _refuse(RefusalKind.BUDGET_TOO_LOW, detail, peer, None)
    reachable = standing.available + standing.elsewhere + standing.own
    if reachable < tokens:
        detail = (
            f"budget {budget}: {standing.stranded} tokens are with routers that are "
            "gone and not recovered yet"
        )
        return refuse_out_of_reach(detail, peer, STRANDED_RETRY_SECONDS)
    return None


def refuse_out_of_reach(detail: str, peer: str, retry_after: float) -> Refusal:
    """Return the refusal that the budget may have tokens where this router can't."""
    return _refuse(RefusalKind.BUDGET_OUT_OF_REACH, detail, peer, retry_after)


def _refuse(
    kind: RefusalKind, detail: str, peer: str, retry_after: float | None
) -> Refusal:
    return Refusal(STEP, peer, detail, kind, Ran.NOT_RUN, retry_after)
