"""Checks that the state machine of the ledger's tests detects faults that are injected
into the ledger's rules."""

import attrs
import pytest

from ..relay import ledgers
from ..relay.allowances import Allowance
from ..relay.host_records import HostRecord
from ..relay.vesting import Boot, BootTime
from .test_relay_ledger import PrepaidTokens, PrepaidTokensWithoutBootIds

_settle_grant = ledgers._settle_grant


def settle_at_reported_spending(holder, grant, started, recorded=None):
    """Counts only the spending that an ended holder had reported."""
    evidence = ledgers.Evidence.VESTING
    return ledgers.Settlement(holder, grant.tokens, grant.spent, grant.spent, evidence)


def ignore_vesting_rate(holder, grant, started, recorded=None):
    """Ignores the tokens that have vested since the last write."""
    vesting = grant.vesting and attrs.evolve(grant.vesting, rate=0)
    return _settle_grant(holder, attrs.evolve(grant, vesting=vesting), started)


def ignore_vesting(self):
    """Lets a holder use its grant before it has vested."""
    return self.free


def forget_unconfirmed_schedules(self, planned):
    """Assumes that an unanswered write had no effect."""
    grant = planned.grants.get(self.holder, ledgers.Grant(0, 0))
    self.withheld = max(self.withheld, self.tokens - grant.tokens)


def forget_loans(self):
    """Omits lent tokens from the use of a grant."""
    lent = sum(loan.total - loan.returned for loan in self.lent.values())
    return self.tokens - self.withheld - self.free - lent


def trust_every_boot(self, other):
    """Treats all boots of a host as the same one."""
    return True


def use_more_than_vested(machine):
    machine.refill("a", 60, burst=10, rate=0)
    machine.spend("a", kept=0)


def use_what_vests(machine):
    machine.refill("a", 60, burst=10, rate=10)
    machine.advance_clocks(4_000)
    machine.spend("a", kept=0)


def use_after_unconfirmed_write(machine):
    machine.refill("a", 100, burst=None, rate=0)
    machine.update("a", 0, "n", burst=0, rate=0)
    machine.spend("a", kept=0)


def lend_vested_tokens(machine):
    machine.refill("a", 100, burst=10, rate=0)
    for _ in range(4):
        machine.lend("a", "b", 10, delivered=True)
        machine.spend("b", kept=0)


def restart_after_power_loss(machine):
    machine.refill("a", 100, burst=0, rate=25)
    machine.advance_clocks(4_000)
    machine.spend("a", kept=0)
    machine.lose_power("a", new_uptime=25_000, downtime=1_000)


def ignore_record(self):
    """Lets a holder use what its host's record doesn't allow."""
    return self.available_in_ledger


def ignore_recorded_rate(holder, grant, started, recorded=None):
    """Assumes that nothing vests by the host's record after its delay."""
    recorded = recorded and attrs.evolve(recorded, rate=0)
    return _settle_grant(holder, grant, started, recorded)


def apply_record_of_another_holder(self, holder, account):
    """Takes the record of one incarnation for that of another."""
    return self.schedules.get(account)


def use_more_than_recorded(machine):
    machine.refill("a", 60, burst=60, rate=0)
    machine.write_record("a", "a", burst=10, rate=0, delay=0)
    machine.spend("a", kept=0)


def use_what_vests_by_the_record(machine):
    machine.refill("a", 60, burst=60, rate=0)
    machine.write_record("a", "a", burst=10, rate=20, delay=500)
    machine.advance_clocks(2_000)
    machine.spend("a", kept=0)


def use_before_the_first_record(machine):
    machine.refill("a", 60, burst=0, rate=0)
    machine.write_record("a", "a", burst=0, rate=0, delay=0)
    machine.crash("a")
    machine.refill("a", 100, burst=100, rate=0)
    machine.spend("a", kept=0)


def ignore_moved_start(self, earlier):
    """Takes the difference of two uptimes for the time that has passed."""
    return max(0, self.uptime - earlier.uptime)


def restore_snapshot(machine):
    """The host's clock goes back by three seconds."""
    machine.advance_clocks(30_000)
    machine.refill("a", 100, burst=0, rate=25)
    machine.advance_clocks(4_000)
    machine.spend("a", kept=0)
    clock = machine.clocks["a"]
    machine.lose_power("a", new_uptime=clock.uptime - 3_000, downtime=0)


FAULTS = [
    (BootTime, "measure_since", ignore_moved_start, restore_snapshot),
    (Allowance, "available", property(ignore_record), use_more_than_recorded),
    (
        ledgers,
        "_settle_grant",
        ignore_recorded_rate,
        use_what_vests_by_the_record,
    ),
    (
        HostRecord,
        "find_schedule",
        apply_record_of_another_holder,
        use_before_the_first_record,
    ),
    (ledgers, "_settle_grant", settle_at_reported_spending, use_more_than_vested),
    (ledgers, "_settle_grant", ignore_vesting_rate, use_what_vests),
    (Allowance, "available", property(ignore_vesting), use_more_than_vested),
    (
        Allowance,
        "prepare_write",
        forget_unconfirmed_schedules,
        use_after_unconfirmed_write,
    ),
    (Allowance, "used", property(forget_loans), lend_vested_tokens),
    (Boot, "is_same", trust_every_boot, restart_after_power_loss),
]


def check_no_overspending(machine, use):
    """Uses tokens at one host, crashes it, and spends what is free then."""
    use(machine)
    machine.crash("a")
    for _ in range(2):
        machine.refill("a", 100, burst=40, rate=0)
        machine.spend("a", kept=0)
    machine.never_overspent()


@pytest.mark.parametrize("machine", [PrepaidTokens, PrepaidTokensWithoutBootIds])
@pytest.mark.parametrize("owner, name, fault, use", FAULTS)
def test_injected_fault_overspends(monkeypatch, machine, owner, name, fault, use):
    """Guards against a state machine that can't detect overspending. A host crashes
    after using part of its grant, and its next incarnation settles the grant. With one
    rule broken, more tokens are spent than were prepaid."""
    check_no_overspending(machine(), use)
    monkeypatch.setattr(owner, name, fault)
    with pytest.raises(AssertionError):
        check_no_overspending(machine(), use)
