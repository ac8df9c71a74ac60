"""Applying batches of entries to a ledger."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from . import fences
from .archives import EMPTY, Archive
from .budget_messages import CLAIMED, ClaimMade, ClaimStands
from .drafts import OPERATOR, Draft
from .entries import (
    CLOSED,
    INCONSISTENT,
    NO_BUDGET,
    NO_CLAIM,
    OLD_NUMBER,
    TOO_MUCH,
    AddBill,
    AddClaim,
    Batch,
    BillStands,
    CloseHolder,
    Denied,
    Done,
    EndClaim,
    Entry,
    Grant,
    Granted,
    NoteFence,
    OpenBudget,
    Outcome,
    Reclaim,
    Release,
    RemoveClaim,
    Report,
    TopUp,
)
from .entries import (
    FENCED as HOLDER_FENCED,
)
from .grants import find_fair_part, split_grant
from .ledgers import (
    FENCED,
    OPEN,
    BudgetRecord,
    HolderRecord,
    Ledger,
    Share,
    name_request,
)


@attrs.frozen
class Applied:
    """What applying a batch came to.

    Attributes:
        ledger: The ledger afterwards.
        outcomes: One outcome for each entry.
        changed: Whether the ledger has to be written; not for a batch that had
            been applied before or was refused whole.
    """

    ledger: Ledger
    outcomes: tuple[Outcome, ...]
    changed: bool


def apply_batch(ledger: Ledger, batch: Batch, archive: Archive = EMPTY) -> Applied:
    """Apply a batch whole, once.

    An answer to a conditional write can be lost after the write took effect. The
    writer would then spend tokens twice over or bill twice by writing again; it would
    show as a sum of grants above what holders know of. So the ledger keeps each
    holder's last batch number with its outcomes: the same batch again gets these.

    Args:
        ledger: The ledger; not changed.
        batch: The batch.
        archive: Bills and claims of the pages that the ledger has moved out.
    """
    name = str(batch.holder)
    record = ledger.holders.get(name, HolderRecord(0, batch.data_centre))
    if batch.holder == OPERATOR:
        draft = Draft(ledger, batch, record, archive)
        outcomes = tuple(
            _POSTINGS[type(entry)](draft, entry) for entry in batch.entries
        )
        return Applied(draft.finish(outcomes), outcomes, True)
    if record.number == batch.number and name in ledger.holders:
        return Applied(ledger, record.outcomes, False)
    if name in ledger.ended:
        return _refuse(ledger, batch, CLOSED)
    if batch.number < record.number:
        return _refuse(ledger, batch, OLD_NUMBER)
    draft = Draft(ledger, batch, record, archive)
    outcomes = tuple(_POSTINGS[type(entry)](draft, entry) for entry in batch.entries)
    return Applied(draft.finish(outcomes), outcomes, True)


def _refuse(ledger: Ledger, batch: Batch, reason: str) -> Applied:
    return Applied(ledger, tuple(Denied(reason) for _ in batch.entries), False)


def open_budget(draft: Draft, entry: OpenBudget) -> Outcome:
    """Add a budget's opening tokens, once."""
    record = draft.budgets.get(entry.budget, BudgetRecord())
    if not record.opened:
        limit = record.limit + entry.tokens
        record = attrs.evolve(record, limit=limit, opened=True)
        draft.budgets[entry.budget] = record
    return Done(record.limit)


def top_up(draft: Draft, entry: TopUp) -> Outcome:
    """Change a budget's limit, once for each identity."""
    record = draft.budgets.get(entry.budget, BudgetRecord())
    if entry.identity in record.top_ups:
        return Done(record.top_ups[entry.identity])
    if entry.tokens + record.available < 0:
        return Denied(TOO_MUCH)
    top_ups = {**record.top_ups, entry.identity: entry.tokens}
    limit = record.limit + entry.tokens
    draft.budgets[entry.budget] = attrs.evolve(record, limit=limit, top_ups=top_ups)
    return Done(entry.tokens)


def grant(draft: Draft, entry: Grant) -> Outcome:
    """Move tokens to the batch's holder."""
    if draft.record.state != OPEN:
        return Denied(HOLDER_FENCED)
    record = draft.budgets.get(entry.budget)
    if record is None:
        return Denied(NO_BUDGET)
    share = record.shares.get(draft.name, Share())
    share = attrs.evolve(share, demand=max(1, entry.demand))
    total = sum(other.demand for other in record.shares.values())
    total += share.demand - record.shares.get(draft.name, Share()).demand
    fair_part = find_fair_part(record.left, max(1, entry.weight), total)
    given = split_grant(
        record.available,
        fair_part - share.unspent,
        entry.least,
        entry.allowance,
        entry.reserve,
    )
    share = attrs.evolve(
        share,
        allowance=share.allowance + given.allowance,
        reserve=share.reserve + given.reserve,
        want=max(0, entry.least - given.allowance),
    )
    draft.put_share(entry.budget, draft.name, share)
    return Granted(given.allowance, given.reserve)


def report(draft: Draft, entry: Report) -> Outcome:
    """Take over the holder's totals, as far as they agree with the ledger's."""
    record = draft.budgets.get(entry.budget)
    if record is None:
        return Denied(NO_BUDGET)
    share = record.shares.get(draft.name, Share())
    received = dict(share.received)
    for total in entry.received:
        sender = str(total.holder)
        received[sender] = max(received.get(sender, 0), total.tokens)
    # What was used is a fact, whatever else the report says.
    spent = max(share.spent, entry.spent)
    fact = attrs.evolve(share, spent=spent, received=received)
    told = attrs.evolve(fact, returned=max(share.returned, entry.returned))
    if draft.record.state == OPEN:
        told = attrs.evolve(
            told,
            handed=max(share.handed, entry.handed),
            reserve_returned=max(share.reserve_returned, entry.reserve_returned),
        )
    is_consistent = told.unspent_allowance >= min(0, fact.unspent_allowance)
    is_consistent = is_consistent and told.reserve_returned <= told.reserve
    draft.put_share(entry.budget, draft.name, told if is_consistent else fact)
    return Done(spent) if is_consistent else Denied(INCONSISTENT)


def add_bill(draft: Draft, entry: AddBill) -> Outcome:
    """Record a bill, once for each request."""
    bill = entry.bill
    key = name_request(bill.account, bill.identity)
    if key in draft.bills or draft.archive.has_bill(key):
        return BillStands()
    record = draft.budgets.get(bill.budget)
    if record is None:
        return Denied(NO_BUDGET)
    draft.bills[key] = bill
    billed = record.billed + bill.tokens
    draft.budgets[bill.budget] = attrs.evolve(record, billed=billed)
    return Done(bill.tokens)


def add_claim(draft: Draft, entry: AddClaim) -> Outcome:
    """Make a claim unless one stands."""
    claim = entry.claim
    key = name_request(claim.account, claim.identity)
    standing = draft.claims.get(key) or draft.archive.claims.get(key)
    if standing is not None:
        return ClaimStands(standing)
    if draft.record.state != OPEN:
        return Denied(HOLDER_FENCED)
    draft.claims[key] = claim
    return ClaimMade()


def end_claim(draft: Draft, entry: EndClaim) -> Outcome:
    """Record what came of a claim."""
    claim = entry.claim
    key = name_request(claim.account, claim.identity)
    standing = draft.claims.get(key)
    if standing is None or standing.holder != claim.holder:
        return Denied(NO_CLAIM)
    if standing.state != CLAIMED:
        return Done()
    ended = attrs.evolve(claim, fingerprint=standing.fingerprint, route=standing.route)
    draft.claims[key] = ended
    return Done()


def remove_claim(draft: Draft, entry: RemoveClaim) -> Outcome:
    """Remove a claim whose request never left."""
    key = name_request(entry.account, entry.identity)
    standing = draft.claims.get(key)
    if standing is None or standing.holder != draft.name:
        return Denied(NO_CLAIM)
    if standing.state != CLAIMED:
        return Denied(NO_CLAIM)
    del draft.claims[key]
    return Done()


def close_holder(draft: Draft, entry: CloseHolder) -> Outcome:
    """Close the batch's holder; what it left over stays in its shares."""
    for budget, record in list(draft.budgets.items()):
        if draft.name in record.shares:
            draft.drop_share(budget, draft.name)
    if draft.record.state == FENCED:
        draft.end(draft.name)
    draft.holders.pop(draft.name, None)
    holder = draft.batch.holder
    floor = draft.closed.get(holder.name, 0)
    draft.closed[holder.name] = max(floor, holder.incarnation)
    draft.is_leaving = True
    return Done()


_POSTINGS: dict[type, Callable[[Draft, Entry], Outcome]] = {
    OpenBudget: open_budget,
    TopUp: top_up,
    Grant: grant,
    Report: report,
    AddBill: add_bill,
    AddClaim: add_claim,
    EndClaim: end_claim,
    RemoveClaim: remove_claim,
    NoteFence: fences.note_fence,
    Reclaim: fences.reclaim,
    Release: fences.release,
    CloseHolder: close_holder,
}
