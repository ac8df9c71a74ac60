"""Prepaid tokens are never overspent, whatever becomes of writes, loans and relays."""

import copy

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ..relay.allowances import Allowance
from ..relay.ledgers import (
    AccountLedger,
    Grant,
    decode_account,
    encode_account,
    name_holder,
    release_holder,
    write_off_earlier,
)

PREPAID = 100
HOSTS = ("a", "b", "c")

hosts = st.sampled_from(HOSTS)
amounts = st.integers(5, 60)


class Relay:
    """One life of a relay: its allowance, its view of the ledger, what it was told."""

    def __init__(self, host, life):
        self.holder = name_holder(host, str(life))
        self.allowance = Allowance(self.holder)
        self.entry = AccountLedger()
        self.revision = 0

    def learn(self, store):
        self.entry = decode_account(store.spec)
        self.revision = store.revision
        self.allowance.learn(self.entry)


class Store:
    """One object with a revision; writes may be applied late."""

    def __init__(self):
        self.spec = encode_account(AccountLedger())
        self.revision = 0
        self.late = []

    def write(self, spec, revision):
        if revision != self.revision:
            return False
        self.spec = copy.deepcopy(spec)
        self.revision += 1
        return True


class PrepaidTokens(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.store = Store()
        self.lives = 0
        self.spent = 0
        self.late_returns = []
        self.relays = {host: self.begin(host) for host in HOSTS}

    def begin(self, host):
        self.lives += 1
        return Relay(host, self.lives)

    def plan(self, relay, change):
        entry = relay.entry.copy()
        write_off_earlier(entry, relay.holder)
        grant = relay.allowance.record(entry)
        change = min(change, PREPAID - entry.committed)
        change = max(change, -max(0, relay.allowance.available))
        entry.grants[relay.holder] = Grant(grant.tokens + change, grant.spent)
        relay.allowance.prepare(entry)
        return entry

    @rule(host=hosts, change=st.integers(-60, 100), fate=st.sampled_from("alnx"))
    def update(self, host, change, fate):
        """A write is applied and answered, applied unanswered, late, or not at all."""
        relay = self.relays[host]
        spec = encode_account(self.plan(relay, change))
        if fate == "l":
            self.store.late.append((spec, relay.revision))
        elif fate == "a":
            self.store.write(spec, relay.revision)
            relay.learn(self.store)
        elif fate == "n":
            self.store.write(spec, relay.revision)

    @rule(host=hosts, change=st.integers(10, 100))
    def refill(self, host, change):
        """What mostly happens: the relay looks, writes, and hears that it did."""
        relay = self.relays[host]
        relay.learn(self.store)
        planned = encode_account(self.plan(relay, change))
        assert self.store.write(planned, relay.revision)
        relay.learn(self.store)

    @rule()
    @precondition(lambda self: self.store.late)
    def apply_late_write(self):
        self.store.write(*self.store.late.pop(0))

    @rule(lender=hosts, borrower=hosts, tokens=amounts, heard=st.booleans())
    def lend(self, lender, borrower, tokens, heard):
        lender, borrower = self.relays[lender], self.relays[borrower]
        if lender is borrower or lender.allowance.available < tokens:
            return
        total = lender.allowance.lend(borrower.holder, tokens)
        if heard:
            borrower.allowance.borrow(lender.holder, total)

    @rule(lender=hosts, borrower=hosts, kept=st.integers(0, 20), heard=st.booleans())
    def give_back(self, lender, borrower, kept, heard):
        """Tokens go back, to whoever; the message may arrive late, and twice."""
        lender, borrower = self.relays[lender], self.relays[borrower]
        tokens = borrower.allowance.available - kept
        if lender is borrower or tokens <= 0:
            return
        borrower.allowance.give_back(lender.holder, tokens)
        loan = borrower.allowance.borrowed[lender.holder]
        message = (lender.holder, borrower.holder, loan.returned, loan.spent)
        self.late_returns.append(message)
        if heard:
            self.hear_return(message)

    @rule(number=st.integers(0, 50))
    @precondition(lambda self: self.late_returns)
    def hear_late_return(self, number):
        self.hear_return(self.late_returns[number % len(self.late_returns)])

    def hear_return(self, message):
        holder, borrower, returned, spent = message
        for relay in self.relays.values():
            if relay.holder == holder:
                relay.allowance.take_back(borrower, returned, spent)

    @rule(host=hosts, kept=st.integers(0, 20))
    def spend(self, host, kept):
        """Spends what there is, but for a little."""
        allowance = self.relays[host].allowance
        tokens = allowance.available - kept
        if tokens > 0 and allowance.reserve(tokens):
            self.spent += tokens
            allowance.settle(tokens, tokens)

    @rule(host=hosts, tokens=amounts)
    def begin_request(self, host, tokens):
        """A request that is still under way when the relay ends, and may use all."""
        if self.relays[host].allowance.reserve(tokens):
            self.spent += tokens

    @rule(host=hosts)
    def crash(self, host):
        self.relays[host] = self.begin(host)

    @rule(host=hosts, applied=st.booleans(), again=st.booleans())
    def stop(self, host, applied, again):
        """Gives back what is left, to the ledger; the answer may be lost at first."""
        relay = self.relays[host]
        for _ in range(2 if again else 1):
            planned = relay.entry.copy()
            relay.allowance.record(planned)
            returned = relay.allowance.available + relay.allowance.withheld
            release_holder(planned, relay.holder, max(0, returned))
            relay.allowance.prepare(planned)
            if applied:
                self.store.write(encode_account(planned), relay.revision)
        self.relays[host] = self.begin(host)

    @invariant()
    def never_overspent(self):
        at_hand = sum(max(0, r.allowance.available) for r in self.relays.values())
        assert self.spent <= PREPAID
        # What could be spent at once, with no word from the store, fits as well.
        assert self.spent + at_hand <= PREPAID

    @invariant()
    def the_ledger_covers_what_is_spent(self):
        entry = decode_account(self.store.spec)
        assert entry.committed <= PREPAID

    @invariant()
    def what_counts_as_surely_reported_is_spent(self):
        """ "Spent" is told to callers: holders must not report each other's twice."""
        entry = decode_account(self.store.spec)
        assert sum(grant.spent for grant in entry.grants.values()) <= self.spent


PrepaidTokens.TestCase.settings = settings(
    max_examples=1500, stateful_step_count=30, deadline=None
)
TestPrepaidTokens = PrepaidTokens.TestCase


def test_what_a_stopped_lender_has_lent_is_not_called_spent():
    """A relay that lends to another is restarted. Its borrower still has tokens, and
    callers must not hear that the budget is spent."""
    entry = AccountLedger(0, {"a/1": Grant(80, 30)})
    release_holder(entry, "a/1", 20)
    assert entry.surely_used == 30
    assert entry.committed == 60


def test_tokens_come_back_to_another_lender_when_theirs_is_gone():
    """A relay borrows, its lender dies, and is written off. What the borrower has left
    goes to the next relay that keeps the account, and serves callers again."""
    first, borrower, second = Allowance("a/1"), Allowance("b/1"), Allowance("c/1")
    entry = AccountLedger(0, {"a/1": Grant(100, 0)})
    first.learn(entry)
    borrower.borrow("a/1", first.lend("b/1", 60))
    write_off_earlier(entry, "a/2")
    assert entry.committed == 100
    borrower.give_back("c/1", 60)
    loan = borrower.borrowed["c/1"]
    second.take_back("b/1", loan.returned, loan.spent)
    assert second.available == 60
    # Given back to the ledger, they are free again for all.
    entry.grants["c/1"] = Grant(-60, 0)
    second.prepare(entry)
    assert second.available == 0
    assert entry.committed == 40


def test_what_a_borrower_spent_is_reported_once():
    """A relay spends what it borrowed. Were it reported by lender and borrower both,
    callers would hear that a budget is spent of which half is left."""
    lender, borrower = Allowance("a/1"), Allowance("b/1")
    entry = AccountLedger(0, {"a/1": Grant(100, 0), "b/1": Grant(50, 0)})
    lender.learn(entry)
    borrower.learn(entry)
    borrower.borrow("a/1", lender.lend("b/1", 60))
    assert borrower.reserve(60)
    borrower.settle(60, 60)
    loan = borrower.borrowed["a/1"]
    lender.take_back("b/1", loan.returned, loan.spent)
    assert borrower.record(entry).spent == 0
    assert lender.record(entry).spent == 60
