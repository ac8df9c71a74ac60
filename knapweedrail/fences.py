"""Entries of fence rounds: what comes back of a holder that seems gone."""

from __future__ import annotations

import attrs

from .drafts import Draft
from .entries import NOT_FENCED, Denied, Done, NoteFence, Outcome, Reclaim, Release
from .ledgers import FENCED, HolderRecord, Share
from .models import Holder
from .neighbours import Total


def note_fence(draft: Draft, entry: NoteFence) -> Outcome:
    """Record what is final of a fence round, though the round can't end."""
    fenced = str(entry.holder)
    record = draft.holders.get(fenced)
    floor = draft.closed.get(entry.holder.name, 0)
    if fenced in draft.ended:
        return Done()
    if record is None and entry.holder.incarnation <= floor:
        return Done()
    for item in entry.handed:
        _raise_received(draft, item.budget, fenced, item.holder, item.tokens)
    for item in entry.received:
        _note_taken(draft, item, entry.holder)
    record = record or HolderRecord(0, draft.batch.data_centre)
    names = {*record.answered, *map(str, entry.answered)}
    draft.holders[fenced] = attrs.evolve(record, answered=tuple(sorted(names)))
    return Done()


def reclaim(draft: Draft, entry: Reclaim) -> Outcome:
    """Return the reserve of a fenced holder less what neighbours took of it."""
    fenced = str(entry.holder)
    if fenced in draft.ended:
        return Done()
    holder = draft.holders.get(fenced)
    floor = draft.closed.get(entry.holder.name, 0)
    may_have_closed = holder is None and entry.holder.incarnation <= floor
    back = 0
    for budget, record in list(draft.budgets.items()):
        handed = [item for item in entry.handed if item.budget == budget]
        if may_have_closed:
            _note_handed(draft, budget, handed)
        elif handed and fenced not in record.shares:
            draft.put_share(budget, fenced, Share())
        if fenced in draft.budgets[budget].shares:
            back += _reclaim_share(draft, budget, entry, handed)
    if holder is None and _drop_empty(draft, fenced):
        draft.end(fenced)
    else:
        holder = holder or HolderRecord(0, draft.batch.data_centre)
        draft.holders[fenced] = attrs.evolve(holder, state=FENCED)
    return Done(back)


def release(draft: Draft, entry: Release) -> Outcome:
    """Return a fenced holder's allowance less what it proved to have used."""
    fenced = str(entry.holder)
    holder = draft.holders.get(fenced)
    if holder is None or holder.state != FENCED:
        return Denied(NOT_FENCED)
    back = 0
    for total in entry.used:
        record = draft.budgets.get(total.budget)
        if record is None or fenced not in record.shares:
            continue
        share = record.shares[fenced]
        spent = max(share.spent, total.tokens)
        share = attrs.evolve(share, spent=spent)
        unused = max(0, share.unspent_allowance)
        back += unused
        share = attrs.evolve(share, returned=share.returned + unused)
        draft.put_share(total.budget, fenced, share)
        draft.remove_share(total.budget, fenced)
    if not any(fenced in record.shares for record in draft.budgets.values()):
        draft.holders.pop(fenced, None)
        draft.end(fenced)
    return Done(back)


def _note_taken(draft: Draft, item: Total, sender: Holder) -> None:
    """Record what a router took from a holder, though it hasn't written itdraft."""
    name = str(item.holder)
    if item.tokens <= 0 or item.budget not in draft.budgets:
        return
    floor = draft.closed.get(item.holder.name, 0)
    if name not in draft.holders and item.holder.incarnation <= floor:
        _note_handed(draft, item.budget, [attrs.evolve(item, holder=sender)])
        return
    if name not in draft.holders:
        draft.holders[name] = HolderRecord(0, draft.batch.data_centre)
    _raise_received(draft, item.budget, name, sender, item.tokens)


def _raise_received(
    draft: Draft, budget: str, name: str, sender: Holder, tokens: int
) -> None:
    if budget not in draft.budgets or tokens <= 0:
        return
    share = draft.budgets[budget].shares.get(name, Share())
    received = dict(share.received)
    received[str(sender)] = max(received.get(str(sender), 0), tokens)
    draft.put_share(budget, name, attrs.evolve(share, received=received))


def _note_handed(draft: Draft, budget: str, handed: list[Total]) -> None:
    """Count what went to a holder that may have closed in order.

    If it did, it gave the tokens back or reported them, and a share made of them
    now could be released a second time. If it didn't, nobody can tell what it
    used. Both ways they count as taken and never come back by this.
    """
    record = draft.budgets[budget]
    gone_received = dict(record.gone_received)
    for item in handed:
        sender = str(item.holder)
        gone_received[sender] = gone_received.get(sender, 0) + item.tokens
    draft.budgets[budget] = attrs.evolve(record, gone_received=gone_received)


def _reclaim_share(
    draft: Draft, budget: str, entry: Reclaim, handed: list[Total]
) -> int:
    fenced = str(entry.holder)
    share = draft.budgets[budget].shares[fenced]
    received = dict(share.received)
    for item in handed:
        sender = str(item.holder)
        received[sender] = max(received.get(sender, 0), item.tokens)
    taken = _sum_taken(draft, budget, fenced, entry)
    reserve_returned = max(share.reserve_returned, share.reserve - taken)
    reclaimed = attrs.evolve(
        share,
        received=received,
        reserve_returned=reserve_returned,
        handed=taken,
        demand=0,
        want=0,
    )
    draft.put_share(budget, fenced, reclaimed)
    return reserve_returned - share.reserve_returned


def _drop_empty(draft: Draft, fenced: str) -> bool:
    """Drop a fenced holder's shares if none has anything left to prove."""
    budgets = [
        budget for budget, record in draft.budgets.items() if fenced in record.shares
    ]
    if any(draft.budgets[name].shares[fenced].unspent for name in budgets):
        return False
    for budget in budgets:
        draft.remove_share(budget, fenced)
    return True


def _sum_taken(draft: Draft, budget: str, fenced: str, entry: Reclaim) -> int:
    record = draft.budgets[budget]
    taken = {
        name: share.received[fenced]
        for name, share in record.shares.items()
        if fenced in share.received
    }
    for total in entry.received:
        if total.budget == budget:
            name = str(total.holder)
            taken[name] = max(taken.get(name, 0), total.tokens)
    # A neighbour that answered and closed since counts twice, so that less comes
    # back; another round brings the rest.
    return sum(taken.values()) + record.gone_received.get(fenced, 0)
