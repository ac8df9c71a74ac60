"""Tests of membership entries and ledgers that are invalid or of other writers."""

import copy

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ..relay.ledger_updates import LEDGER_KIND, MAX_WRITE_ATTEMPTS
from ..relay.ledgers import AccountLedger, Grant, decode_ledger, encode_ledger
from ..relay.members import (
    MEMBER_KIND,
    Member,
    Membership,
    decode_member,
    encode_member,
)
from ..relay.reservations import Shortage
from ..relay.stores import Unreadable
from .relays_in_memory import ACCOUNT, MemoryStore
from .test_relay_ledger_updates import PREPAID, run_scenario

pytestmark = pytest.mark.anyio

values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=3),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                ["used", "grants", "holder", "address", "data_centre", "h/1"]
            ),
            inner,
            max_size=4,
        )
    ),
)

INVALID_LEDGERS = [
    None,
    [],
    "invalid",
    {},
    Unreadable(),
    {"used": 0},
    {"grants": {}},
    {"used": -(10**9), "grants": {}},
    {"used": True, "grants": {}},
    {"used": "0", "grants": {}},
    {"used": 0.5, "grants": {}},
    {"used": float("nan"), "grants": {}},
    {"used": 2**60, "grants": {}},
    {"used": 0, "grants": []},
    {"used": 0, "grants": {"host/1": [1000]}},
    {"used": 0, "grants": {"host/1": ["1000", "0"]}},
    {"used": 0, "grants": {"host/1": [10**6, 0.0]}},
    {"used": 0, "grants": {"host/1": [10**6, -5]}},
    {"used": 0, "grants": {"host/1": [False, 0]}},
    {"used": 0, "grants": {"host": [5, 0]}},
    {"used": 0, "grants": {"other/1": [-(10**6), 0]}},
]


@pytest.mark.parametrize("spec", INVALID_LEDGERS)
def test_invalid_ledger_raises(spec):
    """Guards against ledgers of other writers that are converted or guessed at. A
    negative or missing number would make room for grants beyond the prepaid tokens."""
    with pytest.raises(ValueError) as caught:
        decode_ledger(spec)
    assert len(str(caught.value)) < 300


@given(values)
def test_arbitrary_ledger_never_grants_less_than_nothing(spec):
    try:
        ledger = decode_ledger(spec)
    except ValueError:
        return
    assert ledger.committed >= 0
    assert all(grant.spent >= 0 for grant in ledger.grants.values())
    assert encode_ledger(ledger) == {key: spec[key] for key in ("used", "grants")}


@given(
    st.integers(0, 10**9),
    st.dictionaries(
        st.text(max_size=5).map(lambda text: f"h{text}/1"),
        st.tuples(st.integers(0, 10**9), st.integers(0, 10**9)),
    ),
)
def test_ledger_round_trip(used, grants):
    ledger = AccountLedger(used, {name: Grant(*pair) for name, pair in grants.items()})
    assert decode_ledger(encode_ledger(ledger)) == ledger


@settings(max_examples=60)
@given(
    st.lists(
        st.one_of(
            st.just("draw"), st.just("restore"), st.sampled_from(INVALID_LEDGERS)
        ),
        max_size=12,
    )
)
def test_corrupted_and_restored_ledgers_never_overspend(steps):
    """Guards against overspending when a ledger is corrupted and restored while
    requests arrive. Whatever the relay made of the corrupted ledger, it must not spend
    more than the restored one grants."""
    anyio.run(check_spending, steps)


async def check_spending(steps):
    async def scenario(harness):
        valid = None
        await harness.draw(1000)
        for step in steps:
            harness.expire_view()
            if step == "draw":
                await harness.draw(30_000)
                available = harness.holding.allowance.available
                if available >= 30_000:
                    harness.holding.allowance.reserve(30_000)
                    harness.holding.allowance.settle(30_000, 30_000)
            elif step == "restore" and valid is not None:
                harness.store.put(LEDGER_KIND, ACCOUNT, valid)
                valid = None
            elif step != "restore":
                # The stored ledger is valid unless it was corrupted before.
                valid = valid or copy.deepcopy(harness.stored.spec)
                harness.store.put(LEDGER_KIND, ACCOUNT, step)
            allowance = harness.holding.allowance
            stored = decode_ledger(valid or harness.stored.spec)
            assert allowance.tokens <= stored.grants["host/1"].tokens
            assert stored.committed <= PREPAID
            assert allowance.spent <= allowance.tokens

    await run_scenario(scenario)


async def test_unreadable_ledger_costs_few_calls():
    """Guards against dozens of failing writes for each request of an account whose
    ledger is corrupted. All relays share the calls that the store can bear."""

    async def scenario(harness):
        await harness.draw(1000)
        harness.store.put(LEDGER_KIND, ACCOUNT, "invalid")
        harness.expire_view()
        for _ in range(20):
            shortage = await harness.draw(PREPAID - 10)
            assert shortage is Shortage.OUT_OF_REACH
        assert harness.stored.spec == "invalid"

    harness = await run_scenario(scenario)
    assert harness.store.conflicts < MAX_WRITE_ATTEMPTS
    assert harness.holding.allowance.tokens < PREPAID - 10


async def test_restored_ledger_is_drawn_on_again():
    async def scenario(harness):
        await harness.draw(1000)
        valid = copy.deepcopy(harness.stored.spec)
        harness.store.put(LEDGER_KIND, ACCOUNT, None)
        harness.expire_view()
        await harness.draw(PREPAID - 10)
        harness.store.put(LEDGER_KIND, ACCOUNT, valid)
        harness.holding.unreadable_at -= 10
        assert await harness.draw(PREPAID - 10) is None

    await run_scenario(scenario)


VALID_MEMBER = {"holder": "h/1", "address": "127.0.0.1:1", "data_centre": "dc"}
INVALID_MEMBERS = [
    None,
    [],
    "h",
    7,
    Unreadable(),
    {},
    VALID_MEMBER | {"holder": None},
    VALID_MEMBER | {"holder": "else/1"},
    VALID_MEMBER | {"holder": "h"},
    VALID_MEMBER | {"address": 80},
    VALID_MEMBER | {"address": "127.0.0.1"},
    VALID_MEMBER | {"address": "somewhere:80"},
    VALID_MEMBER | {"address": ["127.0.0.1:1"]},
    VALID_MEMBER | {"data_centre": ["dc"]},
    {"holder": "h/1", "address": ""},
]


@pytest.mark.parametrize("spec", INVALID_MEMBERS)
def test_invalid_member_entry_raises(spec):
    """Guards against invalid membership entries of other writers. An address without a
    port made a request that was about to borrow fail with an internal error."""
    with pytest.raises(ValueError) as caught:
        decode_member("h", spec)
    assert len(str(caught.value)) < 300


def write_members(store, specs):
    for name, spec in specs.items():
        store.put(MEMBER_KIND, name, spec)


async def list_hosts(specs):
    """Returns the hosts that a relay lists, at first and after the entries change."""
    store = MemoryStore()
    own_member = Member("me", "me/1", "127.0.0.1:9", "dc")
    write_members(store, specs[0])
    membership = Membership(store, own_member)
    hosts = []
    for one in specs:
        write_members(store, one)
        assert await membership._refresh(stale=True)
        hosts.append({member.host for member in membership.list_all()})
        assert len(membership.list_others()) == membership.count - 1
        membership.list_lenders(ACCOUNT)
    return hosts


@settings(max_examples=60)
@given(
    st.lists(
        st.one_of(st.just(None), values, st.sampled_from(INVALID_MEMBERS)), max_size=30
    )
)
def test_valid_member_entries_are_listed_despite_invalid_ones(specs):
    named = {}
    for number, spec in enumerate(specs):
        valid = VALID_MEMBER | {"holder": f"h-{number}/1"}
        named[f"h-{number}"] = valid if spec is None else spec
    valid = {f"h-{number}" for number, spec in enumerate(specs) if spec is None}
    assert anyio.run(list_hosts, [named]) == [valid | {"me"}]


async def test_relays_with_corrupted_entries_stay_listed():
    """Guards against extra retries when all entries are overwritten at once. Each relay
    gets a share of the fleet's retries by the number of relays; if it counted only
    itself, each would make as many as all together."""
    valid = {f"h-{n}": VALID_MEMBER | {"holder": f"h-{n}/1"} for n in range(3)}
    first, second = await list_hosts([valid, dict.fromkeys(valid, "invalid")])
    assert first == second == {"me", *valid}


async def check_entry_is_rewritten(monkeypatch, disturb):
    """Check that a relay writes its entry again after something happened to it."""
    monkeypatch.setattr("knapweedrail.relay.members.LIST_SECONDS", 0.01)
    monkeypatch.setattr("knapweedrail.relay.members.SETTLE_SECONDS", 0.01)
    store = MemoryStore()
    own_member = Member("me", "me/1", "127.0.0.1:9", "dc")
    membership = Membership(store, own_member)
    async with anyio.create_task_group() as group:
        await membership.start(group)
        while not membership.settled:
            await anyio.sleep(0.01)
        await disturb(store)
        with anyio.fail_after(3):
            while read_entry(store) != encode_member(own_member):
                await anyio.sleep(0.01)
        await membership.close()


def read_entry(store):
    stored = store.objects.get((MEMBER_KIND, "me"))
    return stored.spec if stored else None


async def test_relay_rewrites_its_own_corrupted_entry(monkeypatch):
    """Guards against a relay that stays unknown to relays started later, because its
    entry can't be read."""

    async def corrupt(store):
        store.put(MEMBER_KIND, "me", {"holder": 7})

    await check_entry_is_rewritten(monkeypatch, corrupt)


async def test_relay_rewrites_its_own_removed_entry(monkeypatch):
    """Guards against a relay that stays unknown to relays started later, because its
    entry was removed."""

    async def remove(store):
        revision = store.objects[MEMBER_KIND, "me"].revision
        await store.delete(MEMBER_KIND, "me", revision)

    await check_entry_is_rewritten(monkeypatch, remove)


async def test_late_removal_spares_the_entry_of_the_next_process():
    """Guards against a relay that nobody knows, because the removal of the previous
    process's entry took effect after its own was written."""
    store = MemoryStore()
    first, second = (Member("me", f"me/{n}", "127.0.0.1:9", "dc") for n in (1, 2))
    previous, current = Membership(store, first), Membership(store, second)
    assert await previous._register()
    assert await current._register()
    await previous.leave()
    assert read_entry(store) == encode_member(second)
    await current.leave()
    assert read_entry(store) is None
