"""Tests of token loans between relays, over gRPC, with a store in memory."""

import contextlib
import itertools
import random

import anyio
import attrs
import pytest

from ..relay import holdings as holdings_module
from ..relay import members as members_module
from ..relay import peers as peers_module
from ..relay.holdings import Holdings, compute_refill_pause
from ..relay.ledger_updates import LEDGER_KIND
from ..relay.ledgers import decode_ledger, name_holder
from ..relay.members import Membership, compute_list_interval, order_lenders
from ..relay.models import Account, Member, RetryPolicy
from ..relay.peers import PeerClient, Trade, make_server
from ..relay.reservations import Reservation, Shortage
from .relays_in_memory import MemoryStore, make_configuration, make_route

pytestmark = pytest.mark.anyio

ACCOUNT = "farm"

TEST_TIMEOUT_SECONDS = 10.0
"""Timeout of relays in these tests. They check which relay has tokens, not how fast it
answers. Two dozen relays share one process here, and under load the first of them
waited longer than callers do, and refused."""


async def ignore(link):
    """Sends nothing to a relay that subscribes to this one."""


@pytest.fixture(autouse=True)
def extend_timeouts(monkeypatch):
    monkeypatch.setattr(holdings_module, "TOKEN_WAIT_SECONDS", TEST_TIMEOUT_SECONDS)
    monkeypatch.setattr(holdings_module, "LEND_SECONDS", TEST_TIMEOUT_SECONDS)
    monkeypatch.setattr(peers_module, "LEND_SECONDS", TEST_TIMEOUT_SECONDS)
    monkeypatch.setattr(peers_module, "CALL_SECONDS", TEST_TIMEOUT_SECONDS)


@pytest.fixture(autouse=True)
def lend_as_in_large_fleets(monkeypatch):
    monkeypatch.setattr(members_module, "MAX_DRAWING_RELAYS", 0)


class Fleet:
    """Relays that list each other as members, each with a server for the others."""

    def __init__(self, prepaid, group):
        self.store = MemoryStore()
        self.account = Account(name=ACCOUNT, keys=(), prepaid=prepaid)
        self.configuration = make_configuration(
            make_route(RetryPolicy.SAFE), prepaid=prepaid
        )
        self.holdings = {}
        self.servers = {}
        self.peers = []
        self.memberships = {}
        self._group = group

    async def add(self, host, data_centre, incarnation="1", address="127.0.0.1:0"):
        """Starts a relay, or another incarnation of one."""
        member = Member(host, f"{host}/{incarnation}", "", data_centre)
        membership = Membership(self.store, member)
        membership.settled = True
        peers = PeerClient()
        self.peers.append(peers)
        holdings = Holdings(self.store, peers, membership, lambda: self.configuration)
        server = make_server(holdings, lambda lines: None, ignore, address)
        await server.start()
        membership.member = attrs.evolve(member, address=server.address)
        self.holdings[host] = holdings
        self.servers[host] = server
        self.memberships[host] = membership
        return membership.member

    async def start(self):
        """Lists all relays in each membership, and starts them."""
        members = {m.member.host: m.member for m in self.memberships.values()}
        for membership in self.memberships.values():
            membership._members = dict(members)
        for holdings in self.holdings.values():
            await holdings.start(self._group)

    async def close(self):
        for host, holdings in self.holdings.items():
            await holdings.close()
            await self.servers[host].close()
        for peers in self.peers:
            await peers.close()

    async def reserve(self, host, tokens):
        return await self.holdings[host].reserve(self.account, tokens)

    def find_primary(self, data_centre):
        """Returns the primary relay of the account in a data centre."""
        for host, membership in self.memberships.items():
            here = membership.member.data_centre == data_centre
            if here and membership.is_primary_for(ACCOUNT):
                return host
        raise LookupError(data_centre)

    def list_others(self, data_centre):
        primary = self.find_primary(data_centre)
        return [
            host
            for host, membership in self.memberships.items()
            if membership.member.data_centre == data_centre and host != primary
        ]

    def read_ledger(self):
        return decode_ledger(self.store.objects[LEDGER_KIND, ACCOUNT].spec)


@contextlib.asynccontextmanager
async def run_fleet(prepaid, *counts):
    """Runs the given number of relays in each data centre."""
    async with anyio.create_task_group() as group:
        fleet = Fleet(prepaid, group)
        for number, count in enumerate(counts):
            for k in range(count):
                await fleet.add(f"h-{number}-{k}", f"dc-{number}")
        await fleet.start()
        yield fleet
        await fleet.close()
        group.cancel_scope.cancel()


async def test_many_relays_share_a_small_budget():
    """Guards against each relay drawing tokens of its own. Twenty-four relays get one
    request each of an account with little more than they need. The first relays would
    have taken the tokens that the last ones need, whose callers would be refused as out
    of reach; and each relay would write the ledger."""
    async with run_fleet(32_000, 8, 8, 8) as fleet:
        for host in fleet.holdings:
            result = await fleet.reserve(host, 1000)
            assert isinstance(result, Reservation), host
            result.settle(1000)
        assert set(fleet.read_ledger().grants) <= {
            f"{fleet.find_primary(f'dc-{n}')}/1" for n in range(3)
        }
        assert fleet.store.writes <= 30


async def test_idle_relay_returns_borrowed_tokens():
    """Guards against borrowed tokens that stay at a relay whose large requests used
    little and then ended. A request elsewhere needs nearly all that is left."""
    async with run_fleet(10_000, 3) as fleet:
        first, second = fleet.list_others("dc-0")
        result = await fleet.reserve(first, 6000)
        result.settle(100)
        with anyio.fail_after(8):
            while not isinstance(
                result := await fleet.reserve(second, 9000), Reservation
            ):
                await anyio.sleep(0.2)
        result.settle(9000)
        assert fleet.holdings[first].read_available(ACCOUNT) < 1000


async def test_next_relay_lends_if_the_primary_is_dead():
    """Guards against refusals in a data centre whose primary relay was killed. Requests
    at the others succeed after one failing call."""
    async with run_fleet(100_000, 3) as fleet:
        await fleet.servers[fleet.find_primary("dc-0")].close()
        for host in fleet.list_others("dc-0"):
            assert isinstance(await fleet.reserve(host, 1000), Reservation)


async def test_borrowers_are_served_while_the_store_is_unavailable():
    """Guards against refusals at borrowers while the store is down for some seconds,
    and against "spent" as the reason when no tokens are left within reach."""
    async with run_fleet(100_000, 3, 3) as fleet:
        for host in fleet.holdings:
            (await fleet.reserve(host, 500)).settle(500)
        fleet.store.unavailable = True
        for host in fleet.holdings:
            assert isinstance(await fleet.reserve(host, 500), Reservation), host
        result = await fleet.reserve("h-0-0", 90_000)
        assert result in (Shortage.OUT_OF_REACH, Shortage.HELD_ELSEWHERE)


async def test_restarted_lender_accepts_no_return_for_its_previous_incarnation():
    """Guards against tokens that are spent twice. A borrower returns tokens to a lender
    that was restarted at the same address; the previous incarnation may have spent
    them."""
    async with run_fleet(10_000, 1) as fleet:
        (holdings,) = fleet.holdings.values()
        before = holdings.read_available(ACCOUNT)
        answer = await holdings.answer_trade(
            Trade(account=ACCOUNT, holder="b/1", lender="h-0-0/0", returned=700)
        )
        assert answer.lender == "h-0-0/1"
        assert holdings.read_available(ACCOUNT) <= before
        answer = await holdings.answer_trade(
            Trade(account=ACCOUNT, holder="b/1", lender="h-0-0/1", returned=700)
        )
        assert holdings.read_available(ACCOUNT) == before + 700


async def test_loan_of_a_lost_answer_is_recovered():
    """Guards against tokens that stay out of use at the lender after its answer was
    lost, until the borrower's next shortage."""
    async with run_fleet(10_000, 2) as fleet:
        (borrower,) = fleet.list_others("dc-0")
        lender = fleet.holdings[fleet.find_primary("dc-0")]
        holdings = fleet.holdings[borrower]
        # The lender's answer, which the borrower never received.
        await lender.answer_trade(
            Trade(
                account=ACCOUNT,
                holder=f"{borrower}/1",
                lender=lender._holder,
                needed=800,
                wanted=800,
            )
        )
        holding = holdings._get_holding(ACCOUNT)
        holding.allowance.borrow(lender._holder, 0)
        holding.unconfirmed_hosts.add(fleet.find_primary("dc-0"))
        with anyio.fail_after(5):
            while holding.allowance.borrowed[lender._holder].total < 800:
                await anyio.sleep(0.1)


async def test_borrowing_relay_reports_a_spent_budget():
    """Guards against callers that retry to no effect at a relay that doesn't draw on
    the ledger, after the budget is spent."""
    async with run_fleet(1000, 3) as fleet:
        first, second = fleet.list_others("dc-0")
        (await fleet.reserve(first, 1000)).settle(1000)
        with anyio.fail_after(8):
            while await fleet.reserve(second, 500) is not Shortage.SPENT:
                await anyio.sleep(0.2)


def test_lender_order_is_consistent_and_stable():
    """Guards against relays that choose different lenders, which would each draw on the
    ledger. A relay that joins or leaves must not move accounts for which it isn't
    primary."""
    members = [Member(f"h-{n}", f"h-{n}/1", f"a:{n}", f"dc-{n % 3}") for n in range(30)]
    for account in map(str, range(50)):
        ordered = order_lenders(account, members, "dc-0", "none/1")
        assert ordered == order_lenders(account, members[::-1], "dc-0", "none/1")
        assert [m.data_centre for m in ordered[:2]] == ["dc-0", "dc-0"]
        assert {m.data_centre for m in ordered[2:]} == {"dc-1", "dc-2"}
        fewer = [m for m in members if m != ordered[1]]
        assert order_lenders(account, fewer, "dc-0", "none/1")[0] == ordered[0]


async def test_tokens_returned_to_the_ledger_are_found_by_other_relays():
    """Guards against refusals based on a stale view of the ledger. One relay holds all
    of a budget and returns it, after a relay of another data centre has read a ledger
    without free tokens."""
    async with run_fleet(10_000, 1, 1) as fleet:
        first = fleet.holdings["h-0-0"]
        (await fleet.reserve("h-1-0", 10)).settle(10)
        result = await fleet.reserve("h-0-0", 9000)
        assert isinstance(result, Reservation)
        while isinstance(await fleet.reserve("h-1-0", 3000), Reservation):
            pass
        result.settle(0)
        await fleet.servers["h-0-0"].close()
        await first.close()
        await first.release()
        with anyio.fail_after(8):
            while not isinstance(await fleet.reserve("h-1-0", 3000), Reservation):
                await anyio.sleep(0.2)


@pytest.mark.parametrize("results", [["lose"], ["lose"] * 20, ["lose", "away"]])
async def test_stopping_relay_returns_borrowed_tokens_once(results):
    """Guards against borrowed tokens that a stopping relay returns to the ledger, and
    once more to another relay, as the store's reply was lost."""
    async with run_fleet(100_000, 2) as fleet:
        (borrower,) = fleet.list_others("dc-0")
        lender = fleet.holdings[fleet.find_primary("dc-0")]
        holdings = fleet.holdings[borrower]
        (await fleet.reserve(borrower, 20_000)).settle(200)
        holding = holdings._get_holding(ACCOUNT)
        assert holding.allowance.borrowed_outstanding > 0
        # The relay has also drawn on the ledger itself, while its lender was away.
        holding.pending_draws += 1
        holdings._updater.schedule_refresh(holding)
        with anyio.fail_after(5):
            while holdings._holder not in holding.ledger.grants:
                await anyio.sleep(0.05)
        holding.pending_draws -= 1
        available = lender.read_available(ACCOUNT)
        free = 100_000 - fleet.read_ledger().committed
        left = holding.allowance.free
        fleet.store.write_results = list(results)
        await holdings.release()
        regained = lender.read_available(ACCOUNT) - available
        regained += 100_000 - fleet.read_ledger().committed - free
        assert regained <= left


async def test_relay_lends_nothing_that_it_has_returned(monkeypatch):
    """Guards against a relay that stops while another waits for its tokens, and lends
    the borrowed ones that it has returned to the ledger."""
    async with run_fleet(100_000, 2) as fleet:
        (stopping,) = fleet.list_others("dc-0")
        primary = fleet.holdings[fleet.find_primary("dc-0")]
        holdings = fleet.holdings[stopping]
        (await fleet.reserve(stopping, 20_000)).settle(200)
        holding = holdings._get_holding(ACCOUNT)
        holding.pending_draws += 1
        holdings._updater.schedule_refresh(holding)
        with anyio.fail_after(5):
            while holdings._holder not in holding.ledger.grants:
                await anyio.sleep(0.05)
        holding.pending_draws -= 1
        assert holding.allowance.borrowed_outstanding > 0
        held = holding.allowance.free
        trade = Trade(
            account=ACCOUNT,
            holder=primary._holder,
            lender=holdings._holder,
            needed=held + 1,
            wanted=held + 1,
            returned=0,
            spent=0,
        )
        drawn = anyio.Event()

        async def draw(*args):
            await drawn.wait()

        monkeypatch.setattr(holdings, "_draw_for_peer", draw)
        answers = []

        async def ask():
            answers.append(await holdings.answer_trade(trade))

        async with anyio.create_task_group() as group:
            group.start_soon(ask)
            await anyio.sleep(0)
            await holdings.close()
            await holdings.release()
            drawn.set()
        assert answers[0].total == 0


async def test_store_that_resets_connections_is_called_rarely():
    """Guards against excessive calls to a store that resets each connection on the
    first write. Every request that finds too few tokens would call it again and again,
    and wait."""
    async with run_fleet(100_000, 1) as fleet:
        (await fleet.reserve("h-0-0", 10)).settle(10)
        fleet.store.write_results = ["drop"] * 500
        for _ in range(50):
            assert isinstance(await fleet.reserve("h-0-0", 90_000), Shortage)
        assert 500 - len(fleet.store.write_results) <= 10


def test_refill_pauses_of_relays_drift_apart():
    """Guards against relays that refill in step after all hosts regain power. The
    primary relays of an account would write its ledger at the same moment every second,
    and all writes but one would conflict."""
    refills = []
    for seed in range(4):
        rng = random.Random(seed)
        refills.append(
            list(
                itertools.accumulate(
                    compute_refill_pause(False, rng) for _ in range(40)
                )
            )
        )
    first = refills[0]
    # A write takes some milliseconds; few refills are as close as that.
    near = sum(
        abs(a - b) < 0.02 for others in refills[1:] for a in first for b in others
    )
    assert near <= 12
    assert 35 < first[-1] < 45


async def test_loan_for_a_timed_out_request_is_returned():
    """Guards against tokens that stay out of use at the lender for the rest of the day,
    because the request that needed them timed out before the lender answered."""
    async with run_fleet(10_000, 2) as fleet:
        (borrower,) = fleet.list_others("dc-0")
        lender = fleet.holdings[fleet.find_primary("dc-0")]
        answer_trade = lender.answer_trade

        async def answer_late(trade):
            answer = await answer_trade(trade)
            await anyio.sleep(0.15 if trade.needed else 0.0)
            return answer

        lender.answer_trade = answer_late
        with anyio.move_on_after(0.1):
            await fleet.reserve(borrower, 800)
        with anyio.fail_after(5):
            while (
                lender._get_holding(ACCOUNT).allowance.lent[f"{borrower}/1"].outstanding
            ):
                await anyio.sleep(0.1)


def test_relay_list_traffic_is_bounded():
    """Guards against relay lists that use up a host's bandwidth for control traffic:
    five hundred relays would do so at the interval used by six."""
    entry_bytes, most_bytes = 231, 23_000
    for relays in (6, 89, 500, 2000):
        assert relays * entry_bytes / compute_list_interval(relays) < most_bytes / 4
    assert compute_list_interval(6) == compute_list_interval(89)


async def test_primary_relay_changes_as_relays_join():
    """Guards against a relay that stays primary for accounts after other relays have
    joined and draw for them as well; a ledger can't be written that often."""
    store = MemoryStore()
    membership = Membership(store, Member("h-0", "h-0.1", "", "dc"))
    membership.settled = True
    accounts = [f"farm-{number}" for number in range(20)]
    assert all(membership.is_primary_for(account) for account in accounts)
    for number in range(1, 5):
        holder = name_holder(f"h-{number}", "1")
        spec = {"holder": holder, "address": "10.0.0.1:1", "data_centre": "dc"}
        store.put("relay-members", f"h-{number}", spec)
    assert await membership._refresh(stale=True)
    primary_accounts = [
        account for account in accounts if membership.is_primary_for(account)
    ]
    assert 0 < len(primary_accounts) < 12
