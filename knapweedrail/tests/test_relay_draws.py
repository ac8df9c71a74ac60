"""Draws on a ledger that others write as well."""

import anyio
import pytest

from ..relay.accounts import CHECK_SECONDS, RECENT_SECONDS, HeldAccount
from ..relay.allowances import Allowance
from ..relay.boots import BootClock
from ..relay.draws import LEDGER_KIND, LedgerDraws
from ..relay.ledgers import AccountLedger, Grant, decode_account, encode_account
from ..relay.members import Membership
from ..relay.models import Member, Repetition
from ..relay.reservations import Shortage
from ..relay.signals import Signal
from .relays_in_memory import ACCOUNT, MemoryStore, make_configuration, make_route

pytestmark = pytest.mark.anyio

PREPAID = 100_000
OTHER = "other/1"


class Drawing:
    """One relay that keeps an account, and another's writes."""

    def __init__(self):
        self.store = MemoryStore()
        membership = Membership(self.store, Member("host", "host/1", "", "dc"))
        membership.settled = True
        configuration = make_configuration(make_route(Repetition.SAFE), prepaid=PREPAID)
        self.draws = LedgerDraws(
            self.store, membership, lambda: configuration, Signal(), BootClock()
        )
        self.draws.first_request_at = float("-inf")
        self.account = configuration.accounts[ACCOUNT]
        self.held = HeldAccount(ACCOUNT, Allowance("host/1"))

    @property
    def stored(self):
        return self.store.objects[LEDGER_KIND, ACCOUNT]

    def write_as_other(self, tokens):
        """Change the ledger as another relay would."""
        entry = decode_account(self.stored.spec)
        entry.grants[OTHER] = Grant(tokens, 0)
        self.store.put(LEDGER_KIND, ACCOUNT, encode_account(entry))

    async def draw(self, tokens):
        demand = self.held.allowance.demand
        demand.unmet += tokens
        shortage = await self.draws.draw(self.held, self.account, tokens)
        demand.unmet -= tokens
        return shortage

    def age(self):
        """Make the view of the ledger old."""
        self.held.seen_at = self.held.looked_at = float("-inf")


async def run_draws(scenario):
    drawing = Drawing()
    async with anyio.create_task_group() as group:
        drawing.draws.start(group)
        await scenario(drawing)
        group.cancel_scope.cancel()
    return drawing


async def test_a_ledger_that_others_write_costs_one_write():
    """The relays of four data centres draw on one account. Each found that another had
    written since, and had to write again: nearly every refill cost two calls, and the
    calls to the store were the dearest part of a day of 89 relays."""

    async def scenario(drawing):
        assert await drawing.draw(1000) is None
        for number in range(5):
            drawing.write_as_other(500 * number + 500)
            drawing.age()
            drawing.held.allowance.spent = drawing.held.allowance.tokens
            assert await drawing.draw(1000) is None

    drawing = await run_draws(scenario)
    assert drawing.store.conflicts == 0


async def test_an_old_look_at_the_ledger_is_not_believed():
    """The store may answer a cheap question with data that is seconds old. Taken in,
    it would bring tokens back that were given away since, to be spent twice."""

    async def scenario(drawing):
        await drawing.draw(1000)
        drawing.store.stale[LEDGER_KIND, ACCOUNT] = drawing.stored
        planned = drawing.held.entry.copy()
        planned.grants["host/1"] = Grant(0, 0)
        assert await drawing.draws.write(drawing.held, planned)
        drawing.age()
        assert await drawing.draws._peek(drawing.held)

    drawing = await run_draws(scenario)
    assert drawing.held.allowance.available == 0


@pytest.mark.parametrize("fate", ["lose", "drop"])
async def test_a_look_brings_nothing_back_that_an_unanswered_write_gave_away(fate):
    """A relay gives tokens back and gets no answer. Whether the write takes effect, it
    can't know yet; a look that still shows the former state proves nothing."""

    async def scenario(drawing):
        await drawing.draw(1000)
        former = drawing.stored
        drawing.store.fates = [fate]
        planned = drawing.held.entry.copy()
        planned.grants["host/1"] = Grant(0, 0)
        assert not await drawing.draws.write(drawing.held, planned)
        drawing.store.stale[LEDGER_KIND, ACCOUNT] = former
        drawing.age()
        await drawing.draws._peek(drawing.held)

    drawing = await run_draws(scenario)
    assert drawing.held.allowance.available == 0


async def test_nobody_is_refused_by_a_look_that_may_be_old():
    """Another relay has just given everything back, and the cheap answer doesn't show
    it yet. The ledger itself is asked before a caller is turned away."""

    async def scenario(drawing):
        full = AccountLedger(0, {OTHER: Grant(PREPAID, 0)})
        drawing.store.put(LEDGER_KIND, ACCOUNT, encode_account(full))
        drawing.store.stale[LEDGER_KIND, ACCOUNT] = drawing.stored
        free = AccountLedger(0, {})
        drawing.store.put(LEDGER_KIND, ACCOUNT, encode_account(free))
        assert await drawing.draw(1000) is None

    await run_draws(scenario)


async def test_a_store_that_gives_no_look_counts_as_away():
    """The store is down. Each further call would keep a caller waiting."""

    async def scenario(drawing):
        await drawing.draw(1000)
        drawing.store.away = True
        drawing.age()
        assert not await drawing.draws._peek(drawing.held)
        assert not drawing.draws.reachable

    await run_draws(scenario)


async def test_an_account_that_is_given_out_costs_hardly_a_write():
    """Guards against a write of each keeper for each request of a spent account."""

    async def scenario(drawing):
        full = AccountLedger(0, {OTHER: Grant(PREPAID, 0)})
        drawing.store.put(LEDGER_KIND, ACCOUNT, encode_account(full))
        for _ in range(20):
            drawing.held.seen_at -= RECENT_SECONDS
            drawing.held.looked_at -= RECENT_SECONDS
            assert await drawing.draw(1000) is Shortage.HELD_ELSEWHERE

    drawing = await run_draws(scenario)
    assert drawing.store.writes + drawing.store.conflicts <= 2
    assert drawing.store.peeks <= 21


async def test_tokens_that_came_back_are_found_by_the_next_sure_look():
    """Guards against callers who are refused on and on by looks that are old."""

    async def scenario(drawing):
        full = AccountLedger(0, {OTHER: Grant(PREPAID, 0)})
        drawing.store.put(LEDGER_KIND, ACCOUNT, encode_account(full))
        assert await drawing.draw(1000) is Shortage.HELD_ELSEWHERE
        drawing.store.stale[LEDGER_KIND, ACCOUNT] = drawing.stored
        drawing.store.put(LEDGER_KIND, ACCOUNT, encode_account(AccountLedger(0, {})))
        drawing.age()
        drawing.held.checked_at -= CHECK_SECONDS
        assert await drawing.draw(1000) is None

    await run_draws(scenario)
