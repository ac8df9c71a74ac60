"""Relays' own entries and ledgers that another writer wrote, or that can't be read."""

import copy

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ..relay.draws import CONFLICTS, LEDGER_KIND
from ..relay.ledgers import AccountLedger, Grant, decode_account, encode_account
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
from .test_relay_draws import PREPAID, run_draws

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

BAD_LEDGERS = [
    None,
    [],
    "spoilt",
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


@pytest.mark.parametrize("spec", BAD_LEDGERS)
def test_a_ledger_of_another_form_is_an_error(spec):
    """Another program writes to the ledgers' kind. Converted or guessed at, a negative
    or missing number makes room for grants that the account hasn't paid for."""
    with pytest.raises(ValueError) as caught:
        decode_account(spec)
    assert len(str(caught.value)) < 300


@given(values)
def test_a_ledger_of_any_content_gives_out_no_more_than_was_prepaid(spec):
    try:
        account = decode_account(spec)
    except ValueError:
        return
    assert account.committed >= 0
    assert all(grant.spent >= 0 for grant in account.grants.values())
    assert encode_account(account) == {key: spec[key] for key in ("used", "grants")}


@given(
    st.integers(0, 10**9),
    st.dictionaries(
        st.text(max_size=5).map(lambda text: f"h{text}/1"),
        st.tuples(st.integers(0, 10**9), st.integers(0, 10**9)),
    ),
)
def test_a_ledger_of_ours_is_read_as_it_was_written(used, grants):
    account = AccountLedger(used, {name: Grant(*pair) for name, pair in grants.items()})
    assert decode_account(encode_account(account)) == account


@settings(max_examples=60)
@given(
    st.lists(
        st.one_of(st.just("draw"), st.just("mend"), st.sampled_from(BAD_LEDGERS)),
        max_size=12,
    )
)
def test_no_order_of_spoilt_and_mended_ledgers_overspends(steps):
    """A ledger is spoilt and mended again while requests come. Whatever the relay took
    the spoilt one for, it must not spend what the mended one doesn't grant it."""
    anyio.run(check_spending, steps)


async def check_spending(steps):
    async def scenario(drawing):
        sound = None
        await drawing.draw(1000)
        for step in steps:
            drawing.age()
            if step == "draw":
                await drawing.draw(30_000)
                available = drawing.held.allowance.available
                if available >= 30_000:
                    drawing.held.allowance.reserve(30_000)
                    drawing.held.allowance.settle(30_000, 30_000)
            elif step == "mend" and sound is not None:
                drawing.store.put(LEDGER_KIND, ACCOUNT, sound)
                sound = None
            elif step != "mend":
                # What is there is sound unless it was spoilt before.
                sound = sound or copy.deepcopy(drawing.stored.spec)
                drawing.store.put(LEDGER_KIND, ACCOUNT, step)
            allowance = drawing.held.allowance
            stored = decode_account(sound or drawing.stored.spec)
            assert allowance.tokens <= stored.grants["host/1"].tokens
            assert stored.committed <= PREPAID
            assert allowance.spent <= allowance.tokens

    await run_draws(scenario)


async def test_a_ledger_that_cannot_be_read_costs_few_calls():
    """Callers go on asking for an account whose ledger is spoilt. Each was good for
    dozens of writes in vain, and all relays share the calls that the store bears."""

    async def scenario(drawing):
        await drawing.draw(1000)
        drawing.store.put(LEDGER_KIND, ACCOUNT, "spoilt")
        drawing.age()
        for _ in range(20):
            shortage = await drawing.draw(PREPAID - 10)
            assert shortage is Shortage.OUT_OF_REACH
        assert drawing.stored.spec == "spoilt"

    drawing = await run_draws(scenario)
    assert drawing.store.conflicts < CONFLICTS
    assert drawing.held.allowance.tokens < PREPAID - 10


async def test_a_ledger_that_is_mended_is_drawn_on_again():
    async def scenario(drawing):
        await drawing.draw(1000)
        sound = copy.deepcopy(drawing.stored.spec)
        drawing.store.put(LEDGER_KIND, ACCOUNT, None)
        drawing.age()
        await drawing.draw(PREPAID - 10)
        drawing.store.put(LEDGER_KIND, ACCOUNT, sound)
        drawing.held.unreadable_at -= 10
        assert await drawing.draw(PREPAID - 10) is None

    await run_draws(scenario)


SOUND = {"holder": "h/1", "address": "127.0.0.1:1", "data_centre": "dc"}
BAD_MEMBERS = [
    None,
    [],
    "h",
    7,
    Unreadable(),
    {},
    SOUND | {"holder": None},
    SOUND | {"holder": "else/1"},
    SOUND | {"holder": "h"},
    SOUND | {"address": 80},
    SOUND | {"address": "127.0.0.1"},
    SOUND | {"address": "somewhere:80"},
    SOUND | {"address": ["127.0.0.1:1"]},
    SOUND | {"data_centre": ["dc"]},
    {"holder": "h/1", "address": ""},
]


@pytest.mark.parametrize("spec", BAD_MEMBERS)
def test_an_entry_of_another_form_names_no_relay(spec):
    """Another program writes to the relays' kind. A request that was to borrow at an
    address without a port failed with an error of ours."""
    with pytest.raises(ValueError) as caught:
        decode_member("h", spec)
    assert len(str(caught.value)) < 300


def write_members(store, specs):
    for name, spec in specs.items():
        store.put(MEMBER_KIND, name, spec)


async def list_hosts(specs):
    """Return the hosts that a relay lists, at first and after the entries change."""
    store = MemoryStore()
    me = Member("me", "me/1", "127.0.0.1:9", "dc")
    write_members(store, specs[0])
    membership = Membership(store, me)
    hosts = []
    for one in specs:
        write_members(store, one)
        assert await membership._list(stale=True)
        hosts.append({member.host for member in membership.list_all()})
        assert len(membership.list_others()) == membership.count - 1
        membership.list_lenders(ACCOUNT)
    return hosts


@settings(max_examples=60)
@given(
    st.lists(
        st.one_of(st.just(None), values, st.sampled_from(BAD_MEMBERS)), max_size=30
    )
)
def test_the_sound_entries_of_relays_hold_whatever_the_others_are(specs):
    named = {}
    for number, spec in enumerate(specs):
        sound = SOUND | {"holder": f"h-{number}/1"}
        named[f"h-{number}"] = sound if spec is None else spec
    sound = {f"h-{number}" for number, spec in enumerate(specs) if spec is None}
    assert anyio.run(list_hosts, [named]) == [sound | {"me"}]


async def test_relays_whose_entries_are_spoilt_go_on_taking_part():
    """All entries are overwritten at once. Each relay takes its part of the retries
    that they may make together by their number: taking itself for the only one, each
    would make as many as all."""
    sound = {f"h-{n}": SOUND | {"holder": f"h-{n}/1"} for n in range(3)}
    first, second = await list_hosts([sound, dict.fromkeys(sound, "spoilt")])
    assert first == second == {"me", *sound}


async def test_a_relay_writes_its_own_entry_again_once_it_is_spoilt(monkeypatch):
    """A relay that starts later can't know of one whose entry can't be read."""
    monkeypatch.setattr("knapweedrail.relay.members.LIST_SECONDS", 0.01)
    monkeypatch.setattr("knapweedrail.relay.members.SETTLE_SECONDS", 0.01)
    store = MemoryStore()
    me = Member("me", "me/1", "127.0.0.1:9", "dc")
    membership = Membership(store, me)
    async with anyio.create_task_group() as group:
        await membership.start(group)
        while not membership.settled:
            await anyio.sleep(0.01)
        store.put(MEMBER_KIND, "me", {"holder": 7})
        with anyio.fail_after(3):
            while store.objects[MEMBER_KIND, "me"].spec != encode_member(me):
                await anyio.sleep(0.01)
        await membership.close()
