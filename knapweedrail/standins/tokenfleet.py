"""Relays that share prepaid accounts, in virtual time.

What holds, lends, draws and settles tokens is the product's; the store, the calls
between relays, the callers and the hosts' clocks are played.
"""

from __future__ import annotations

import random
import time
from collections import Counter

import anyio
import anyio.abc
import attrs

from ..relay.holdings import Holdings
from ..relay.ledgers import AccountLedger, decode_ledger
from ..relay.members import Membership
from ..relay.models import Account, CallerLimits, Configuration, Member
from ..relay.peers import CALL_SECONDS, PeerClient, Trade, TradeAnswer
from ..relay.reservations import Reservation
from ..relay.vesting import Boot, BootTime
from .playedstore import PlayedStore, StoreOfHost

LEDGER_KIND = "token-ledgers"
CALL_TAKES_SECONDS = 0.002
"""Time of a call from one relay to another and back."""

OWED_SHARE = 0.97
"""Part of what was prepaid up to which callers are owed an answer."""

STOP_SECONDS = 2.2
"""How long a relay that stops waits for its requests."""

RELEASE_SECONDS = 2.0
"""Longest time in which it returns its tokens."""

SETTLE_SECONDS = 1.5
"""How long a request counts at its most after it has ended."""

OUTPUT_SHARES = (0.33, 1.0)
"""Bounds of the part of its largest output that a request uses."""

UNIX_MILLISECONDS = 1_800_000_000_000


class PlayedBoot:
    """A host's clock since its boot, in virtual time.

    Args:
        identity: Of the boot.

    Attributes:
        started: When the process that reads it was there.
    """

    def __init__(self, identity: str) -> None:
        self._identity = identity
        self._began_at = time.monotonic()
        self.started = self.read()

    def read(self) -> BootTime:
        """Return the present moment."""
        began = UNIX_MILLISECONDS + round(self._began_at * 1000)
        return BootTime(Boot(self._identity, began), self.read_milliseconds())

    def read_milliseconds(self) -> int:
        """Return the time since the boot, milliseconds."""
        return round((time.monotonic() - self._began_at) * 1000)


class PlayedNeighbours(PeerClient):
    """Calls to the other relays of a fleet.

    Args:
        host: The host that calls.
    """

    def __init__(self, fleet: TokenFleet, host: str) -> None:
        super().__init__()
        self._fleet = fleet
        self._host = host

    async def trade(self, member: Member, trade: Trade) -> TradeAnswer | None:
        lender = self._fleet.relays.get(member.host)
        if lender is None or self._fleet.is_parted(self._host, member.host):
            now = time.monotonic()
            await anyio.sleep(CALL_SECONDS)
            self.record_failure(member, now)
            return None
        await anyio.sleep(CALL_TAKES_SECONDS)
        if self._fleet.relays.get(member.host) is not lender:
            self.record_failure(member, time.monotonic())
            return None
        answer = None
        with anyio.CancelScope() as scope:
            lender.calls.add(scope)
            answer = await lender.holdings.answer_trade(trade)
        lender.calls.discard(scope)
        if answer is None:
            self.record_failure(member, time.monotonic())
            return None
        self.record_answer(member)
        return answer


@attrs.define(eq=False)
class TokenRelay:
    """One life of a relay.

    Attributes:
        calls: Other relays' calls that it answers.
    """

    member: Member
    membership: Membership
    holdings: Holdings
    group: anyio.abc.TaskGroup
    calls: set[anyio.CancelScope] = attrs.field(factory=set)


@attrs.frozen
class Kind:
    """One kind of request.

    Attributes:
        prompt: Tokens read.
        output: Tokens generated at the most; two thirds of them on average.
        seconds: How long an answer takes.
        per_second: Requests of all accounts.
    """

    prompt: int
    output: int
    seconds: float
    per_second: float


@attrs.define
class Tally:
    """What became of the requests of one span of time.

    Attributes:
        owed: Those that their account covered in truth.
        served: Those that were served.
    """

    owed: int = 0
    served: int = 0


@attrs.define
class Consumption:
    """What callers had of one account in truth.

    Attributes:
        prepaid: Tokens.
        used: Tokens read and delivered.
        pending: Tokens of requests that may use more, at their most, less those used.
    """

    prepaid: int
    used: int = 0
    pending: int = 0

    def covers(self, tokens: int) -> bool:
        """Return whether a request is owed an answer."""
        return self.used + self.pending + tokens <= OWED_SHARE * self.prepaid


class TokenFleet:
    """A fleet of relays and its callers.

    Args:
        group: Runs their tasks.
        data_centres: Number of hosts, by data centre.
        prepaid: Tokens of each account, by name.
        seed: Of all that is drawn.

    Attributes:
        bypassed: Hosts to which no caller sends a request.
    """

    def __init__(
        self,
        group: anyio.abc.TaskGroup,
        data_centres: dict[str, int],
        prepaid: dict[str, int],
        seed: int,
    ) -> None:
        self.store = PlayedStore()
        self.relays: dict[str, TokenRelay] = {}
        self.consumption = {name: Consumption(prepaid[name]) for name in prepaid}
        self.tally = Tally()
        self.configuration = _make_configuration(prepaid)
        self.bypassed: set[str] = set()
        self._group = group
        self._rng = random.Random(seed)
        self._hosts = {
            f"{centre}-{number}": centre
            for centre, count in data_centres.items()
            for number in range(count)
        }
        self._lives: Counter[str] = Counter()
        self._boots: dict[str, PlayedBoot] = {}
        self._parted: set[str] = set()

    @property
    def hosts(self) -> list[str]:
        """Names of all hosts."""
        return list(self._hosts)

    def start(self, host: str) -> None:
        """Start a relay's next life; all others hear of it."""
        self._lives[host] += 1
        boot = self._boots.get(host) or PlayedBoot(f"{host}-{self._lives[host]}")
        self._boots[host] = boot
        boot.started = boot.read()
        holder = f"{host}/{self._lives[host]}"
        number = self.hosts.index(host)
        address = f"10.0.{number // 250}.{number % 250 + 1}:7200"
        member = Member(host, holder, address, self._hosts[host])
        store = StoreOfHost(self.store, host)
        membership = Membership(store, member)
        holdings = Holdings(
            store,
            PlayedNeighbours(self, host),
            membership,
            lambda: self.configuration,
            clock=boot,  # type: ignore[arg-type]
        )
        self._group.start_soon(self._run, member, holdings, membership)

    async def _run(
        self, member: Member, holdings: Holdings, membership: Membership
    ) -> None:
        async with anyio.create_task_group() as group:
            self.relays[member.host] = TokenRelay(member, membership, holdings, group)
            await membership.start(group)
            await holdings.start(group)

    def start_all(self) -> None:
        """Start all hosts that are down."""
        for host in self._hosts:
            if host not in self.relays:
                self.start(host)

    def kill(self, host: str) -> None:
        """End a relay's process."""
        relay = self.relays.pop(host, None)
        if relay is not None:
            for call in relay.calls:
                call.cancel()
            relay.group.cancel_scope.cancel()

    async def stop(self, host: str) -> None:
        """Stop a relay as its process does, once its requests have ended."""
        relay = self.relays.get(host)
        if relay is None or host in self.bypassed:
            return
        self.bypassed.add(host)
        await anyio.sleep(STOP_SECONDS)
        if self.relays.get(host) is relay:
            await relay.membership.close()
            await relay.holdings.close()
            with anyio.move_on_after(RELEASE_SECONDS):
                await relay.holdings.release()
                await relay.membership.leave()
        if self.relays.get(host) is relay:
            self.kill(host)
        self.bypassed.discard(host)

    def lose_power(self, host: str) -> None:
        """End a relay's host; its next life has another boot."""
        self.kill(host)
        self._boots.pop(host, None)

    def isolate(self, hosts: list[str]) -> None:
        """Cut hosts off from the store and from each other."""
        self._parted |= set(hosts)
        self.store.lose(set(hosts))

    def part(self, hosts: list[str]) -> None:
        """Cut hosts off from all others; they reach the store."""
        self._parted |= set(hosts)

    def join(self) -> None:
        """Let all hosts reach each other and the store again."""
        self.store.restore(set(self._hosts))
        self._parted.clear()

    def is_parted(self, host: str, other: str) -> bool:
        """Return whether nothing passes between two hosts."""
        return bool({host, other} & self._parted)

    def read_ledger(self, account: str) -> AccountLedger:
        """Return an account's ledger as it is stored."""
        stored = self.store.find(LEDGER_KIND, account)
        return decode_ledger(stored.spec) if stored else AccountLedger()

    def count_attainable(self, account: str) -> int:
        """Return the tokens that callers had of an account, and still can have."""
        consumption = self.consumption[account]
        relays = self.relays.values()
        held = sum(max(0, relay.holdings.count_free(account)) for relay in relays)
        unheld = consumption.prepaid - self.read_ledger(account).committed
        return consumption.used + held + unheld

    def is_primary_for(self, host: str, account: str) -> bool:
        """Return whether a host draws on the ledger for its data centre."""
        return self.relays[host].membership.is_primary_for(account)

    def count_lent(self, host: str) -> int:
        """Return the tokens of all accounts that a host has lent so far."""
        holdings = self.relays[host].holdings
        return sum(holdings.count_lent(account) for account in self.consumption)

    def count_held_by_ended(self, account: str) -> int:
        """Return the tokens of an account at holders that have ended."""
        present = {relay.member.holder for relay in self.relays.values()}
        return self.read_ledger(account).count_held_by_ended(present.__contains__)

    async def send_for(
        self, seconds: float, kinds: list[Kind], weights: dict[str, float]
    ) -> Tally:
        """Let callers send requests for some time; return what became of them.

        Args:
            weights: Part of the requests that each account sends.
        """
        self.tally = Tally()
        end = time.monotonic() + seconds
        total = sum(kind.per_second for kind in kinds)
        while True:
            await anyio.sleep(self._rng.expovariate(total))
            if time.monotonic() >= end:
                return self.tally
            kind = self._rng.choices(kinds, [kind.per_second for kind in kinds])[0]
            account = self._rng.choices(list(weights), list(weights.values()))[0]
            self._request(kind, account, self.tally)

    def _request(self, kind: Kind, account: str, tally: Tally) -> None:
        """Send one caller's request, to any host that is there."""
        hosts = [host for host in self.hosts if host not in self.bypassed]
        relay = self.relays.get(self._rng.choice(hosts)) if hosts else None
        if relay is None:
            return
        owed = self.consumption[account].covers(kind.prompt + kind.output)
        tally.owed += owed
        relay.group.start_soon(self._serve, relay, kind, account, tally, owed)

    async def _serve(
        self, relay: TokenRelay, kind: Kind, account: str, tally: Tally, owed: bool
    ) -> None:
        most = kind.prompt + kind.output
        consumption = self.consumption[account]
        found = await relay.holdings.reserve(
            Account(name=account, keys=(), prepaid=consumption.prepaid), most
        )
        if not isinstance(found, Reservation):
            return
        tally.served += owed
        used = kind.prompt + round(kind.output * self._rng.uniform(*OUTPUT_SHARES))
        consumption.used += used
        consumption.pending += most - used
        self._group.start_soon(self._forget, consumption, most - used, kind.seconds)
        await anyio.sleep(kind.seconds)
        found.settle(used)

    async def _forget(
        self, consumption: Consumption, tokens: int, seconds: float
    ) -> None:
        """Count a request at its most no longer, some time after its end."""
        await anyio.sleep(seconds + SETTLE_SECONDS)
        consumption.pending -= tokens


def _make_configuration(prepaid: dict[str, int]) -> Configuration:
    accounts = {
        name: Account(name=name, keys=(), prepaid=tokens)
        for name, tokens in prepaid.items()
    }
    return Configuration(
        version=1, routes=(), endpoints={}, accounts=accounts, limits=CallerLimits()
    )
