"""Tests of hosts' records, which bound what a crashed relay may have used."""

import anyio
import pytest

from ..relay.account_holdings import AccountHolding, RecordPlan
from ..relay.allowances import Allowance
from ..relay.host_recorder import MAX_ACCOUNTS, HostRecorder, RecordSource
from ..relay.host_records import KIND as RECORD_KIND
from ..relay.host_records import HostRecord, decode_record, encode_record
from ..relay.ledgers import AccountLedger, Evidence, Grant, settle_previous_incarnations
from ..relay.malformed import MalformedObjects
from ..relay.notifiers import Notifier
from ..relay.reservations import Reservation
from ..relay.stores import StoredObject
from ..relay.vesting import VestingSchedule
from .relays_in_memory import MemoryStore
from .test_relay_recovery import ACCOUNT, PREPAID, ScriptedClock, read_ledger, run_hosts

pytestmark = pytest.mark.anyio

HOLDER = "host/2"


def make_schedule(clock, tokens, rate=0, delay=0):
    return VestingSchedule(tokens, rate, clock.read(), delay)


def make_holding(account, clock, tokens=100):
    allowance = Allowance(HOLDER, clock.read_milliseconds)
    holding = AccountHolding(account, allowance)
    holding.apply_ledger(AccountLedger(0, {HOLDER: Grant(tokens, 0)}), 1, 0.0)
    return holding


class FixedSource(RecordSource):
    """Lets the same number of tokens vest at once for each account."""

    def __init__(self, clock, holdings, burst, saved_share):
        self.clock = clock
        self.holdings = holdings
        self.burst = burst
        self.saved_share = saved_share
        self.writes_records = True

    def list_holdings(self):
        return self.holdings

    def plan_record(self, holding):
        if not self.writes_records:
            return None
        vested = holding.allowance.used + self.burst
        return RecordPlan(make_schedule(self.clock, vested), self.saved_share)

    def can_write(self):
        return True

    def record_outcome(self, outcome, seconds):
        pass


def make_recorder(store, clock, holdings, burst=10, saved_share=1.0):
    source = FixedSource(clock, holdings, burst, saved_share)
    return HostRecorder(store, HOLDER, clock, source, Notifier(), MalformedObjects())


def put_record(store, clock, tokens, holder="host/1"):
    schedules = {ACCOUNT: make_schedule(clock, tokens)}
    spec = encode_record(HostRecord(holder, schedules))
    return store.put(RECORD_KIND, "host", spec)


def read_schedule(store, account=ACCOUNT):
    stored = store.objects[RECORD_KIND, "host"]
    return decode_record(stored).find_schedule(HOLDER, account)


def read_all_schedules(store):
    stored = store.objects.get((RECORD_KIND, "h0"))
    return decode_record(stored).schedules if stored else {}


async def test_stale_record_of_the_previous_incarnation_is_not_used():
    """Guards against overspending by a settlement that is based on an older record."""
    store, clock = MemoryStore(), ScriptedClock()
    store.stale[RECORD_KIND, "host"] = put_record(store, clock, 10)
    put_record(store, clock, 70)
    recorder = make_recorder(store, clock, [])
    assert await recorder.load()
    assert recorder.previous.find_schedule("host/1", ACCOUNT).tokens == 70


async def test_nothing_is_settled_before_the_record_is_known():
    """Guards against grants that are written off, because the record can't be read at
    the start."""
    store, clock = MemoryStore(), ScriptedClock()
    put_record(store, clock, 10)
    store.unavailable = True
    recorder = make_recorder(store, clock, [])
    assert not await recorder.load()
    store.unavailable = False
    assert await recorder.load()
    assert recorder.previous.find_schedule("host/1", ACCOUNT) is not None


async def test_malformed_record_bounds_nothing():
    """Guards against a relay that can't start beside a record which it can't read."""
    store, clock = MemoryStore(), ScriptedClock()
    for spec in (None, [], {"holder": 1}, {"holder": "host/1", "schedules": {"x": 3}}):
        store.put(RECORD_KIND, "host", spec)
        with pytest.raises(ValueError):
            decode_record(StoredObject("host", 1, spec))
        recorder = make_recorder(store, clock, [])
        assert await recorder.load()
        assert recorder.previous.find_schedule("host/1", ACCOUNT) is None


@pytest.mark.parametrize("result", ["lose", "drop"])
async def test_unconfirmed_record_binds_until_the_next(result):
    """Guards against overspending after a write of the record whose reply is lost."""
    store, clock = MemoryStore(), ScriptedClock()
    holding = make_holding(ACCOUNT, clock)
    recorder = make_recorder(store, clock, [holding], burst=30)
    assert await recorder.load()
    await recorder._write()
    assert holding.allowance.available == 30
    store.write_results = [result]
    assert holding.allowance.reserve(20)
    await recorder._write()
    assert holding.allowance.available == 10
    await recorder._write()
    if result == "lose":
        # The conflict gives the revision of the write whose reply was lost.
        await recorder._write()
    assert holding.allowance.available == 30
    assert read_schedule(store).tokens == 50


async def test_late_record_does_not_replace_one_that_binds_less():
    """Guards against overspending after a write of the record that is done seconds
    later, while a newer write that changed nothing has freed the relay from it."""
    store, clock = MemoryStore(), ScriptedClock()
    holding = make_holding(ACCOUNT, clock)
    recorder = make_recorder(store, clock, [holding])
    assert await recorder.load()
    store.write_results = ["late"]
    await recorder._write()
    assert holding.allowance.available == 10
    recorder._source.writes_records = False
    await recorder._write()
    store.apply_late_writes()
    assert holding.allowance.available == 100
    assert read_schedule(store) is None


async def test_record_is_bounded():
    """Guards against a record that outgrows the store's objects."""
    store, clock = MemoryStore(), ScriptedClock()
    holdings = [make_holding(f"account-{n}", clock) for n in range(MAX_ACCOUNTS + 50)]
    recorder = make_recorder(store, clock, holdings)
    assert await recorder.load()
    await recorder._write()
    assert len(store.objects[RECORD_KIND, "host"].spec["schedules"]) == MAX_ACCOUNTS
    unlisted = [h for h in holdings if read_schedule(store, h.name) is None]
    assert all(holding.allowance.available == 100 for holding in unlisted)


async def test_record_binds_no_longer_once_none_are_written():
    """Guards against refusals at relays of a fleet that has grown too large for
    records."""
    store, clock = MemoryStore(), ScriptedClock()
    holding = make_holding(ACCOUNT, clock)
    recorder = make_recorder(store, clock, [holding])
    assert await recorder.load()
    await recorder._write()
    assert holding.allowance.available == 10
    recorder._source.writes_records = False
    async with anyio.create_task_group() as group:
        group.start_soon(recorder.run)
        with anyio.fail_after(2):
            while holding.allowance.available < 100:
                await anyio.sleep(0.02)
        group.cancel_scope.cancel()
    assert read_schedule(store) is None


async def test_step_of_the_time_of_day_is_recorded_at_once():
    """Guards against a whole grant that is written off, because the boot in the record
    is taken for another one after the time of day was set."""
    store, clock = MemoryStore(), ScriptedClock()
    holding = make_holding(ACCOUNT, clock)
    recorder = make_recorder(store, clock, [holding], saved_share=0.0)
    async with anyio.create_task_group() as group:
        group.start_soon(recorder.run)
        assert await recorder.load()
        clock.time_of_day += 5_000
        with anyio.fail_after(2):
            while read_schedule(store) is None:
                await anyio.sleep(0.02)
        group.cancel_scope.cancel()
    assert read_schedule(store).since.boot.is_same(clock.read().boot)


def test_tighter_of_two_schedules_settles_a_grant():
    """Guards against grants that are written off by an older schedule of the ledger."""
    clock = ScriptedClock()
    written = make_schedule(clock, 20, rate=40)
    clock.advance(10_000)
    recorded = make_schedule(clock, 35, rate=40, delay=3_000)
    clock.advance(2_000)
    for bound, used, evidence in (
        (recorded, 35, Evidence.RECORD),
        (None, 100, Evidence.VESTING),
    ):
        ledger = AccountLedger(0, {"host/1": Grant(100, 5, written)})
        (settlement,) = settle_previous_incarnations(
            ledger, HOLDER, clock.read(), lambda ended, bound=bound: bound
        )
        assert (settlement.used, settlement.evidence) == (used, evidence)
        assert ledger.used == used


async def test_crash_loses_only_what_the_record_allowed():
    """Guards against tokens that vest while they aren't needed, and are lost with each
    crash."""

    async def scenario(group, store, hosts):
        host = hosts[0]
        used = 0
        while ACCOUNT not in read_all_schedules(store):
            assert isinstance(await host.use(1000), Reservation)
            used += 1000
            await anyio.sleep(0.05)
        schedule = read_all_schedules(store)[ACCOUNT]
        host.clock.advance(2_000)
        await host.kill()
        await host.start(group)
        more, _ = await host.use_up(100)
        assert schedule.tokens + more <= PREPAID
        assert used + more >= 0.94 * PREPAID
        assert read_ledger(store).committed <= PREPAID

    with anyio.fail_after(20):
        await run_hosts(1, scenario)
