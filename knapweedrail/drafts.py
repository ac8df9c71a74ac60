"""A ledger under change, and what becomes of shares in it."""

from __future__ import annotations

import attrs

from .archives import Archive
from .entries import Batch, Outcome
from .ledgers import BudgetRecord, HolderRecord, Ledger, Share
from .models import Holder

OPERATOR = Holder("operator", 0)
"""Writes entries that are applied once by their own identity, without a number."""


class Draft:
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

    def finish(self, outcomes: tuple[Outcome, ...]) -> Ledger:
        """Return the new ledger with the batch recorded."""
        if not self.is_leaving:
            record = self.holders.get(self.name, self.record)
            self.holders[self.name] = attrs.evolve(
                record, number=self.batch.number, outcomes=outcomes
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

    def put_share(self, budget: str, name: str, share: Share) -> None:
        """Set a holder's share."""
        record = self.budgets[budget]
        shares = {**record.shares, name: share}
        self.budgets[budget] = attrs.evolve(record, shares=shares)

    def drop_share(self, budget: str, name: str) -> None:
        """Drop the share of a holder that closes, if it left nothing."""
        record = self.budgets[budget]
        share = record.shares[name]
        if share.unspent > 0 or share.handed > sum_received(record, name):
            # Something was left, or the answer of a hand-over may have been lost.
            # Until a fence round has asked everybody, the tokens count as held.
            self.put_share(budget, name, attrs.evolve(share, demand=0, want=0))
            return
        self.remove_share(budget, name)

    def remove_share(self, budget: str, name: str) -> None:
        """Drop a share; its sums stay in the budget's."""
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

    def end(self, name: str) -> None:
        """Remember that a holder is ended."""
        if name not in self.ended:
            self.ended = (*self.ended, name)


def sum_received(record: BudgetRecord, sender: str) -> int:
    """Return the tokens known to have come from a sender."""
    shares = record.shares.values()
    known = sum(share.received.get(sender, 0) for share in shares)
    return known + record.gone_received.get(sender, 0)
