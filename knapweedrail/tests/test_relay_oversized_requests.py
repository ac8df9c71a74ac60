"""Requests for more tokens than their account's budget, or any budget, can hold."""

import time

import anyio
import orjson
import pytest

from ..platform.decoding import decode_configuration
from ..platform.requests import PlatformCodec
from ..relay.borrowing import TokenBorrower
from ..relay.grants import BudgetView, Demand
from ..relay.holdings import Holdings
from ..relay.ledger_updates import LEDGER_KIND
from ..relay.ledgers import MAX_TOKENS
from ..relay.members import Membership
from ..relay.models import Account, Member, RetryPolicy
from ..relay.notifiers import Notifier
from ..relay.peers import PeerClient, TradeAnswer
from ..relay.reservations import Reservation, Shortage
from ..relay.vesting import Boot, BootTime, VestingSchedule, encode_schedule
from ..relay.vesting_plans import plan_recorded_vesting, plan_vesting
from .relays_in_memory import MemoryStore, make_configuration, make_route
from .test_platform_store import run_store

pytestmark = pytest.mark.anyio

PREPAID = 1_000_000
REQUEST_TOKENS = 100
REFILL_SECONDS = 1.5
"""Longer than the pause between two checks of the balances."""

OVERSIZED = [PREPAID + 1, 2**31, MAX_TOKENS, 2**63 - 1, 2**64, 10**30]


def make_holdings(store, prepaid=PREPAID):
    """Returns the tokens of a relay that is alone, and its account."""
    configuration = make_configuration(make_route(RetryPolicy.SAFE), prepaid=prepaid)
    membership = Membership(store, Member("h", "h/1", "", "dc"))
    holdings = Holdings(store, PeerClient(), membership, lambda: configuration)
    return holdings, Account(name="farm", keys=(), prepaid=prepaid)


@pytest.mark.parametrize("tokens", OVERSIZED)
async def test_requests_beyond_the_budget_change_no_grant(tokens):
    """Guards against grants that follow what a caller asks for without any bound; the
    relay's own process ended when they exceeded the numbers that the store takes."""
    async with run_store() as (objects, client), anyio.create_task_group() as group:
        holdings, account = make_holdings(client)
        await holdings.start(group)
        (await holdings.reserve(account, REQUEST_TOKENS)).settle(REQUEST_TOKENS)
        for _ in range(12):
            assert await holdings.reserve(account, tokens) is Shortage.SPENT
        await anyio.sleep(REFILL_SECONDS)
        assert isinstance(await holdings.reserve(account, REQUEST_TOKENS), Reservation)
        spec = objects.read(LEDGER_KIND, "farm")
        await holdings.close()
        group.cancel_scope.cancel()
    vested, rate = spec["openings"]["h/1"][:2]
    assert 0 <= vested <= PREPAID / 10
    assert 0 <= rate <= PREPAID / 10


async def test_request_beyond_what_is_left_is_refused_without_a_call():
    """Guards against a wait, and a call to the store, for a certain refusal."""
    store = MemoryStore()
    async with anyio.create_task_group() as group:
        holdings, account = make_holdings(store)
        await holdings.start(group)
        (await holdings.reserve(account, 600_000)).settle(600_000)
        await anyio.sleep(REFILL_SECONDS)
        holding = holdings._get_holding("farm")
        calls, rate = store.writes + store.peeks, holding.allowance.demand._sum
        store.unavailable = True
        assert await holdings.reserve(account, 400_001) is Shortage.SPENT
        assert store.writes + store.peeks == calls
        assert holding.allowance.demand._sum == rate
        await holdings.close()
        group.cancel_scope.cancel()


@pytest.mark.parametrize("plan", [plan_vesting, plan_recorded_vesting])
def test_schedules_of_the_largest_budget_can_be_stored(plan):
    """Guards against schedules that grow with the number of waiting requests."""
    demand = Demand()
    for number in range(10_000):
        demand.record_request(MAX_TOKENS, number / 10_000)
        demand.unmet += MAX_TOKENS
    budget = BudgetView(
        prepaid=MAX_TOKENS,
        free=MAX_TOKENS,
        held=0,
        others_rate=0.0,
        primaries=1,
        warming_up=True,
    )
    terms = plan(budget, MAX_TOKENS, demand, 1.0)
    assert terms.burst <= MAX_TOKENS
    since = BootTime(Boot("b", 0), 0)
    schedule = VestingSchedule(
        MAX_TOKENS + terms.burst, terms.rate, since, 0, terms.burst
    )
    assert orjson.dumps(encode_schedule(schedule))


async def test_tokens_asked_of_a_lender_fit_into_a_message():
    """Guards against a failed request for the many that wait for tokens at once."""
    sent = []

    class Peers(PeerClient):
        async def trade(self, member, trade):
            sent.append(trade)
            return TradeAnswer(member.holder, 0, Shortage.HELD_ELSEWHERE)

    membership = Membership(MemoryStore(), Member("h", "h/1", "", "dc"))
    lender = Member("l", "l/1", "127.0.0.1:1", "dc")
    membership._members = {m.host: m for m in (membership.member, lender)}
    holdings, _ = make_holdings(MemoryStore())
    holding = holdings._get_holding("farm")
    holding.allowance.demand.unmet = 2**70
    holding.allowance.demand.record_request(2**70, time.monotonic())
    borrower = TokenBorrower(Peers(), membership, Notifier())
    assert await borrower.borrow(holding, 5) is Shortage.HELD_ELSEWHERE
    assert [(t.needed, t.wanted) for t in sent] == [(MAX_TOKENS, MAX_TOKENS)]


@pytest.mark.parametrize("text", [b"9223372036854775807", b"9" * 300, b"1e300"])
def test_token_usage_is_limited_to_what_a_ledger_can_hold(text):
    """Guards against arithmetic errors with numbers that a caller makes up."""
    headers = [(b"Host", b"h"), (b"Knapweedrail-Token-Usage", text + b"," + text)]
    request = PlatformCodec().decode_request("POST", b"/", b"", headers)
    assert request.prompt_tokens == request.max_output_tokens == MAX_TOKENS
    sent = dict(request.headers)
    assert sent[b"Knapweedrail-Token-Usage"] == text + b"," + text


@pytest.mark.parametrize("prepaid", [2**53 + 2, 2**63 - 1, 1e30])
def test_budget_is_limited_to_what_a_ledger_can_hold(prepaid):
    """Guards against an operator's number that ends relays or hides the ledger."""
    spec = {
        "version": 1,
        "routes": [],
        "services": [],
        "tenants": [{"name": "farm", "prepaid": prepaid}],
    }
    assert decode_configuration(spec).accounts["farm"].prepaid == MAX_TOKENS
