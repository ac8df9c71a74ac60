"""Applying batches of entries to a ledger."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from .archives import EMPTY, Archive
from .budget_messages import CLAIMED, ClaimMade, ClaimStands
from .entries import (
    CLOSED,
    INCONSISTENT,
    NO_BUDGET,
    NO_CLAIM,
    NOT_FENCED,
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
from .models import Holder
from .neighbours import Total

OPERATOR = Holder("operator", 0)
"""Writes entries that are applied once by their own identity, without a number."""


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
        draft = _Draft(ledger, batch, record, archive)
        outcomes = tuple(draft.apply(entry) for entry in batch.entries)
        return Applied(draft.finish(outcomes), outcomes, True)
    if record.number == batch.number and name in ledger.holders:
        return Applied(ledger, record.outcomes, False)
    if name in ledger.ended:
        return _refuse(ledger, batch, CLOSED)
    if batch.number < record.number:
        return _refuse(ledger, batch, OLD_NUMBER)
    draft = _Draft(ledger, batch, record, archive)
    outcomes = tuple(draft.apply(entry) for entry in batch.entries)
    return Applied(draft.finish(outcomes), outcomes, True)


def _refuse(ledger: Ledger, batch: Batch, reason: str) -> Applied:
    return Applied(ledger, tuple(Denied(reason) for _ in batch.entries), False)


class _Draft:
    """Copy of a ledger under change; what isn't touched is shared with the first."""

    def __init__(
        self, ledger: Ledger, batch: Batch, record: HolderRecord, archive: Archive
    ) -> None:
        self.ledger = ledger
        self.batch = batch
        self.name = str(batch.holder)
        self.record = record
        self.archive = archive
        self.budgets = dict(ledger.budgets)
        self.holders = dict(ledger.holders)
        self.closed = dict(ledger.closed)
        self.ended = ledger.ended
        self.bills = dict(ledger.bills)
        self.claims = dict(ledger.claims)
        # An operator's entries carry identities of their own and need no record.
        self.is_leaving = batch.holder == OPERATOR

    def apply(self, entry: Entry) -> Outcome:
        """Apply one entry and return its outcome."""
        return _POSTINGS[type(entry)](self, entry)

    def finish(self, outcomes: tuple[Outcome, ...]) -> Ledger:
        """Return the new ledger with the batch recorded."""
        if not self.is_leaving:
            self.holders[self.name] = attrs.evolve(
                self.record, number=self.batch.number, outcomes=outcomes
            )
        return attrs.evolve(
            self.ledger,
            budgets=self.budgets,
            holders=self.holders,
            closed=self.closed,
            ended=self.ended,
            bills=self.bills,
            claims=self.claims,
        )

    def open_budget(self, entry: OpenBudget) -> Outcome:
        record = self.budgets.get(entry.budget, BudgetRecord())
        if not record.opened:
            limit = record.limit + entry.tokens
            record = attrs.evolve(record, limit=limit, opened=True)
            self.budgets[entry.budget] = record
        return Done(record.limit)

    def top_up(self, entry: TopUp) -> Outcome:
        record = self.budgets.get(entry.budget, BudgetRecord())
        if entry.identity in record.top_ups:
            return Done(record.top_ups[entry.identity])
        if entry.tokens + record.available < 0:
            return Denied(TOO_MUCH)
        top_ups = {**record.top_ups, entry.identity: entry.tokens}
        limit = record.limit + entry.tokens
        self.budgets[entry.budget] = attrs.evolve(record, limit=limit, top_ups=top_ups)
        return Done(entry.tokens)

    def grant(self, entry: Grant) -> Outcome:
        if self.record.state != OPEN:
            return Denied(HOLDER_FENCED)
        record = self.budgets.get(entry.budget)
        if record is None:
            return Denied(NO_BUDGET)
        share = record.shares.get(self.name, Share())
        share = attrs.evolve(share, demand=max(1, entry.demand))
        total = sum(other.demand for other in record.shares.values())
        total += share.demand - record.shares.get(self.name, Share()).demand
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
        self._put_share(entry.budget, self.name, share)
        return Granted(given.allowance, given.reserve)

    def report(self, entry: Report) -> Outcome:
        record = self.budgets.get(entry.budget)
        if record is None:
            return Denied(NO_BUDGET)
        share = record.shares.get(self.name, Share())
        received = dict(share.received)
        for total in entry.received:
            sender = str(total.holder)
            received[sender] = max(received.get(sender, 0), total.tokens)
        # What was used is a fact, whatever else the report says.
        spent = max(share.spent, entry.spent)
        fact = attrs.evolve(share, spent=spent, received=received)
        told = attrs.evolve(fact, returned=max(share.returned, entry.returned))
        if self.record.state == OPEN:
            told = attrs.evolve(
                told,
                handed=max(share.handed, entry.handed),
                reserve_returned=max(share.reserve_returned, entry.reserve_returned),
            )
        is_consistent = told.unspent_allowance >= min(0, fact.unspent_allowance)
        is_consistent = is_consistent and told.reserve_returned <= told.reserve
        self._put_share(entry.budget, self.name, told if is_consistent else fact)
        return Done(spent) if is_consistent else Denied(INCONSISTENT)

    def add_bill(self, entry: AddBill) -> Outcome:
        bill = entry.bill
        key = name_request(bill.account, bill.identity)
        if key in self.bills or self.archive.has_bill(key):
            return BillStands()
        record = self.budgets.get(bill.budget)
        if record is None:
            return Denied(NO_BUDGET)
        self.bills[key] = bill
        billed = record.billed + bill.tokens
        self.budgets[bill.budget] = attrs.evolve(record, billed=billed)
        return Done(bill.tokens)

    def add_claim(self, entry: AddClaim) -> Outcome:
        claim = entry.claim
        key = name_request(claim.account, claim.identity)
        standing = self.claims.get(key) or self.archive.claims.get(key)
        if standing is not None:
            return ClaimStands(standing)
        if self.record.state != OPEN:
            return Denied(HOLDER_FENCED)
        self.claims[key] = claim
        return ClaimMade()

    def end_claim(self, entry: EndClaim) -> Outcome:
        claim = entry.claim
        key = name_request(claim.account, claim.identity)
        standing = self.claims.get(key)
        if standing is None or standing.holder != claim.holder:
            return Denied(NO_CLAIM)
        if standing.state != CLAIMED:
            return Done()
        ended = attrs.evolve(
            claim, fingerprint=standing.fingerprint, route=standing.route
        )
        self.claims[key] = ended
        return Done()

    def remove_claim(self, entry: RemoveClaim) -> Outcome:
        key = name_request(entry.account, entry.identity)
        standing = self.claims.get(key)
        if standing is None or standing.holder != self.name:
            return Denied(NO_CLAIM)
        if standing.state != CLAIMED:
            return Denied(NO_CLAIM)
        del self.claims[key]
        return Done()

    def reclaim(self, entry: Reclaim) -> Outcome:
        """Return the reserve of a fenced holder less what neighbours took of it."""
        fenced = str(entry.holder)
        if fenced in self.ended:
            return Done()
        holder = self.holders.get(fenced)
        floor = self.closed.get(entry.holder.name, 0)
        may_have_closed = holder is None and entry.holder.incarnation <= floor
        back = 0
        for budget, record in list(self.budgets.items()):
            handed = [item for item in entry.handed if item.budget == budget]
            if may_have_closed:
                self._note_handed(budget, handed)
            elif handed and fenced not in record.shares:
                self._put_share(budget, fenced, Share())
            if fenced in self.budgets[budget].shares:
                back += self._reclaim_share(budget, entry, handed)
        if holder is None and self._drop_empty(fenced):
            self._end(fenced)
        else:
            holder = holder or HolderRecord(0, self.batch.data_centre)
            self.holders[fenced] = attrs.evolve(holder, state=FENCED)
        return Done(back)

    def _note_handed(self, budget: str, handed: list[Total]) -> None:
        """Count what went to a holder that may have closed in order.

        If it did, it gave the tokens back or reported them, and a share made of them
        now could be released a second time. If it didn't, nobody can tell what it
        used. Both ways they count as taken and never come back by this.
        """
        record = self.budgets[budget]
        gone_received = dict(record.gone_received)
        for item in handed:
            sender = str(item.holder)
            gone_received[sender] = gone_received.get(sender, 0) + item.tokens
        self.budgets[budget] = attrs.evolve(record, gone_received=gone_received)

    def _reclaim_share(self, budget: str, entry: Reclaim, handed: list[Total]) -> int:
        fenced = str(entry.holder)
        share = self.budgets[budget].shares[fenced]
        received = dict(share.received)
        for item in handed:
            sender = str(item.holder)
            received[sender] = max(received.get(sender, 0), item.tokens)
        taken = self._sum_taken(budget, fenced, entry)
        reserve_returned = max(share.reserve_returned, share.reserve - taken)
        reclaimed = attrs.evolve(
            share,
            received=received,
            reserve_returned=reserve_returned,
            handed=taken,
            demand=0,
            want=0,
        )
        self._put_share(budget, fenced, reclaimed)
        return reserve_returned - share.reserve_returned

    def release(self, entry: Release) -> Outcome:
        """Return a fenced holder's allowance less what it proved to have used."""
        fenced = str(entry.holder)
        holder = self.holders.get(fenced)
        if holder is None or holder.state != FENCED:
            return Denied(NOT_FENCED)
        back = 0
        for total in entry.used:
            record = self.budgets.get(total.budget)
            if record is None or fenced not in record.shares:
                continue
            share = record.shares[fenced]
            spent = max(share.spent, total.tokens)
            share = attrs.evolve(share, spent=spent)
            unused = max(0, share.unspent_allowance)
            back += unused
            share = attrs.evolve(share, returned=share.returned + unused)
            self._put_share(total.budget, fenced, share)
            self._remove_share(total.budget, fenced)
        if not any(fenced in record.shares for record in self.budgets.values()):
            self.holders.pop(fenced, None)
            self._end(fenced)
        return Done(back)

    def close_holder(self, entry: CloseHolder) -> Outcome:
        for budget, record in list(self.budgets.items()):
            if self.name in record.shares:
                self._drop_share(budget, self.name)
        if self.record.state == FENCED:
            self._end(self.name)
        self.holders.pop(self.name, None)
        holder = self.batch.holder
        floor = self.closed.get(holder.name, 0)
        self.closed[holder.name] = max(floor, holder.incarnation)
        self.is_leaving = True
        return Done()

    def _sum_taken(self, budget: str, fenced: str, entry: Reclaim) -> int:
        record = self.budgets[budget]
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

    def _put_share(self, budget: str, name: str, share: Share) -> None:
        record = self.budgets[budget]
        shares = {**record.shares, name: share}
        self.budgets[budget] = attrs.evolve(record, shares=shares)

    def _drop_share(self, budget: str, name: str) -> None:
        record = self.budgets[budget]
        share = record.shares[name]
        if share.unspent > 0 or share.handed > _sum_received(record, name):
            # Something was left, or the answer of a hand-over may have been lost.
            # Until a fence round has asked everybody, the tokens count as held.
            self._put_share(budget, name, attrs.evolve(share, demand=0, want=0))
            return
        self._remove_share(budget, name)

    def _remove_share(self, budget: str, name: str) -> None:
        record = self.budgets[budget]
        share = record.shares[name]
        shares = dict(record.shares)
        del shares[name]
        gone_received = dict(record.gone_received)
        gone_received.pop(name, None)
        for sender, tokens in share.received.items():
            if sender in shares:
                gone_received[sender] = gone_received.get(sender, 0) + tokens
        self.budgets[budget] = attrs.evolve(
            record,
            shares=shares,
            gone_received=gone_received,
            gone_outstanding=record.gone_outstanding + share.outstanding,
            gone_spent=record.gone_spent + share.spent,
        )

    def _drop_empty(self, fenced: str) -> bool:
        """Drop a fenced holder's shares if none has anything left to prove."""
        budgets = [
            budget for budget, record in self.budgets.items() if fenced in record.shares
        ]
        if any(self.budgets[name].shares[fenced].unspent for name in budgets):
            return False
        for budget in budgets:
            self._remove_share(budget, fenced)
        return True

    def _end(self, name: str) -> None:
        if name not in self.ended:
            self.ended = (*self.ended, name)


def _sum_received(record: BudgetRecord, sender: str) -> int:
    shares = record.shares.values()
    known = sum(share.received.get(sender, 0) for share in shares)
    return known + record.gone_received.get(sender, 0)


_POSTINGS: dict[type, Callable[[_Draft, Entry], Outcome]] = {
    OpenBudget: _Draft.open_budget,
    TopUp: _Draft.top_up,
    Grant: _Draft.grant,
    Report: _Draft.report,
    AddBill: _Draft.add_bill,
    AddClaim: _Draft.add_claim,
    EndClaim: _Draft.end_claim,
    RemoveClaim: _Draft.remove_claim,
    Reclaim: _Draft.reclaim,
    Release: _Draft.release,
    CloseHolder: _Draft.close_holder,
}
