"""Prepaid tokens are never overspent, whatever becomes of writes and relays."""

import copy

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ..relay.allowances import Allowance
from ..relay.ledgers import (
    Ledger,
    Member,
    decode_ledger,
    encode_ledger,
    name_holder,
    register_member,
    release_holder,
)

PREPAID = 100
ACCOUNT = "farm"
HOSTS = ("a", "b")

hosts = st.sampled_from(HOSTS)
amounts = st.integers(10, 60)


class Relay:
    """One life of a relay: its allowance, its view of the ledger, a late write."""

    def __init__(self, host, life):
        self.host = host
        self.member = Member(name_holder(host, str(life)))
        self.allowance = Allowance(self.member.holder)
        self.ledger = Ledger()
        self.revision = 0

    def learn(self, store):
        self.ledger = decode_ledger(store.spec)
        self.revision = store.revision
        self.allowance.learn(self.ledger.get_account(ACCOUNT))


class Store:
    """One object with a revision; writes may be applied late."""

    def __init__(self):
        self.spec = encode_ledger(Ledger())
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
        self.relays = {host: self.begin(host) for host in HOSTS}

    def begin(self, host):
        self.lives += 1
        return Relay(host, self.lives)

    def plan(self, relay, change):
        ledger = copy.deepcopy(relay.ledger)
        register_member(ledger, relay.host, relay.member)
        entry = ledger.get_account(ACCOUNT)
        relay.allowance.record(entry)
        free = PREPAID - entry.committed
        change = min(change, free)
        change = max(change, -max(0, relay.allowance.position.available))
        grant = entry.grants[relay.member.holder]
        entry.grants[relay.member.holder] = type(grant)(
            grant.tokens + change, grant.spent
        )
        relay.allowance.prepare(entry)
        return ledger

    @rule(host=hosts, change=st.integers(-60, 100), fate=st.sampled_from("alnx"))
    def update(self, host, change, fate):
        """A write is applied and answered, applied unanswered, late, or not at all."""
        relay = self.relays[host]
        spec = encode_ledger(self.plan(relay, change))
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
        assert self.store.write(encode_ledger(self.plan(relay, change)), relay.revision)
        relay.learn(self.store)

    @rule()
    @precondition(lambda self: self.store.late)
    def apply_late_write(self):
        self.store.write(*self.store.late.pop(0))

    @rule(giver=hosts, receiver=hosts, tokens=amounts, heard=st.booleans())
    def hand_over(self, giver, receiver, tokens, heard):
        giver, receiver = self.relays[giver], self.relays[receiver]
        if giver is receiver or giver.allowance.position.available < tokens:
            return
        total = giver.allowance.give(receiver.member.holder, tokens)
        if heard:
            receiver.allowance.receive(giver.member.holder, total)

    @rule(host=hosts, kept=st.integers(0, 20))
    def spend(self, host, kept):
        """Spends what there is, but for a little."""
        allowance = self.relays[host].allowance
        tokens = allowance.position.available - kept
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

    @rule(host=hosts)
    def stop(self, host):
        relay = self.relays[host]
        ledger = copy.deepcopy(relay.ledger)
        entry = ledger.get_account(ACCOUNT)
        relay.allowance.record(entry)
        spent = relay.allowance.compute_own_spending(entry)
        release_holder(entry, relay.member.holder, spent)
        relay.allowance.prepare(entry)
        self.store.write(encode_ledger(ledger), relay.revision)
        self.relays[host] = self.begin(host)

    @invariant()
    def never_overspent(self):
        reserved = sum(
            max(0, r.allowance.position.available) for r in self.relays.values()
        )
        assert self.spent <= PREPAID
        # What could be spent at once, with no word from the store, fits as well.
        assert self.spent + reserved <= PREPAID

    @invariant()
    def the_ledger_covers_what_is_spent(self):
        entry = decode_ledger(self.store.spec).get_account(ACCOUNT)
        assert entry.committed <= PREPAID


PrepaidTokens.TestCase.settings = settings(
    max_examples=1500, stateful_step_count=30, deadline=None
)
TestPrepaidTokens = PrepaidTokens.TestCase
