"""Tests of what a ledger says of loans, and of the tokens of ended holders."""

from ..relay.allowances import Allowance
from ..relay.ledgers import (
    AccountLedger,
    Grant,
    release_holder,
    settle_previous_incarnations,
)


def test_tokens_lent_by_a_stopped_relay_are_not_reported_as_spent():
    """Guards against a false "spent" after a lender is restarted, while its borrower
    still has tokens."""
    ledger = AccountLedger(0, {"a/1": Grant(80, 30)})
    release_holder(ledger, "a/1", 20)
    assert ledger.confirmed_used == 30
    assert ledger.committed == 60


def test_tokens_of_a_dead_lender_are_returned_to_another_lender():
    """Guards against tokens that are lost with the lender. It crashes and is written
    off, and the borrower returns the rest to the next primary relay of the account."""
    first, borrower, second = Allowance("a/1"), Allowance("b/1"), Allowance("c/1")
    ledger = AccountLedger(0, {"a/1": Grant(100, 0)})
    first.apply_ledger(ledger)
    borrower.borrow("a/1", first.lend("b/1", 60))
    settle_previous_incarnations(ledger, "a/2")
    assert ledger.committed == 100
    borrower.give_back("c/1", 60)
    loan = borrower.borrowed["c/1"]
    second.accept_return("b/1", loan.returned, loan.spent)
    assert second.available == 60
    # Once returned to the ledger, they are free for all relays.
    ledger.grants["c/1"] = Grant(-60, 0)
    second.prepare_write(ledger)
    assert second.available == 0
    assert ledger.committed == 40


def test_borrowed_tokens_are_reported_as_spent_once():
    """Guards against lender and borrower both reporting the same spending. Requests
    would be refused as spent while half of the budget is left."""
    lender, borrower = Allowance("a/1"), Allowance("b/1")
    ledger = AccountLedger(0, {"a/1": Grant(100, 0), "b/1": Grant(50, 0)})
    lender.apply_ledger(ledger)
    borrower.apply_ledger(ledger)
    borrower.borrow("a/1", lender.lend("b/1", 60))
    assert borrower.reserve(60)
    borrower.settle(60, 60)
    loan = borrower.borrowed["a/1"]
    lender.accept_return("b/1", loan.returned, loan.spent)
    assert borrower.record_spent(ledger).spent == 0
    assert lender.record_spent(ledger).spent == 60


def test_tokens_of_ended_holders_are_counted_separately():
    """Guards against log lines of refusals that don't show whether tokens of ended
    holders await settlement."""
    ledger = AccountLedger(10, {"a/1": Grant(80, 30), "a/2": Grant(20, 5)})
    assert ledger.count_held_by_ended(lambda holder: holder != "a/1") == 50
    assert ledger.count_held(excluding="a/2") == 50
    assert ledger.count_held_by_ended(lambda holder: True) == 0
