"""A small fleet of budget tasks in virtual time, and what its callers got."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod

import anyio
import anyio.abc
import attrs

from ..budget_messages import (
    Fence,
    HandOver,
    Recover,
    Recovered,
    Reservation,
    Reserve,
    Settle,
)
from ..budgets import BudgetTask
from ..ledgers import decode_ledger, find_shard
from ..models import Bill, Holder, Rules
from ..neighbours import HandedOver, Neighbours, Received
from ..outcomes import Ran, ReadOutcome, Refusal, RefusalKind, Unavailable, WriteOutcome
from .memory import MemoryPlatform, MemoryStore

PLATFORM_SECONDS = 0.004
"""Time that a call to the platform takes."""

PEER_SECONDS = 0.001
"""Time that a call to a neighbour takes, there and back."""

WAIT_SECONDS = 1.0
"""Longest wait of a request for tokens."""

USED_PART = (0.2, 0.8)
"""Part of a reservation that a request uses."""

RUN_SECONDS = (0.5, 3.0)
"""Time that a request runs."""

RESERVED_TOKENS = (400, 2400)
"""Worst case of a request: prompt and largest answer."""


@attrs.frozen
class Load:
    """What is asked of the fleet.

    Attributes:
        data_centres: Number of data centres.
        routers: Routers in each.
        accounts: Client accounts, each with its own budget; account k has a
            demand proportional to 1 / (k + 1).
        requests: Requests a second, over the whole fleet.
        budget_seconds: Seconds of its own demand that each budget holds.
        seed: Seed of the arrivals.
        skew: Requests of the first data centre as a multiple of another's.
    """

    data_centres: int = 3
    routers: int = 2
    accounts: int = 10
    requests: float = 6.0
    budget_seconds: float = 1440.0
    seed: int = 1
    skew: float = 1.0

    @property
    def request_tokens(self) -> float:
        """Tokens that a request uses on average."""
        return sum(RESERVED_TOKENS) / 2 * sum(USED_PART) / 2

    def list_limits(self) -> dict[str, int]:
        """Return each budget's tokens."""
        weights = [1 / (number + 1) for number in range(self.accounts)]
        tokens = self.requests * self.request_tokens * self.budget_seconds
        total = sum(weights)
        return {
            f"account-{number}": int(tokens * weight / total)
            for number, weight in enumerate(weights)
        }


@attrs.define
class Count:
    """What came of the requests.

    Attributes:
        used: Tokens used of each budget, as endpoints would count them.
        reserved: Tokens reserved for requests under way.
        asked: Requests.
        served: Requests that ran.
        refused: Refused requests by kind.
        false_refusals: Refused although the account still had the tokens.
        untrue_spent: Told "spent" or "too low" although it wasn't true.
    """

    used: dict[str, int] = attrs.field(factory=dict)
    reserved: dict[str, int] = attrs.field(factory=dict)
    asked: int = 0
    served: int = 0
    refused: dict[str, int] = attrs.field(factory=dict)
    false_refusals: int = 0
    untrue_spent: int = 0

    @property
    def false_percent(self) -> float:
        """False refusals in percent of the requests that could have been served."""
        return 100 * self.false_refusals / max(1, self.served + self.false_refusals)


class Scheme(ABC):
    """A way to keep budgets."""

    @abstractmethod
    async def reserve(self, router: str, budget: str, tokens: int) -> object:
        """Reserve tokens: a reservation, or a `Refusal`."""

    @abstractmethod
    async def settle(self, router: str, reservation: object, used: int) -> None:
        """Settle a reservation."""


class CountingPlatform(MemoryPlatform):
    """Counts calls by kind, those that fail too."""

    reads = 0
    writes = 0

    async def read(self, key: str) -> ReadOutcome:
        self.reads += 1
        return await super().read(key)

    async def write(self, key: str, value: bytes, expected: int) -> WriteOutcome:
        self.writes += 1
        return await super().write(key, value, expected)


class LocalNeighbours(Neighbours):
    """The routers of one data centre within this process."""

    def __init__(self, fleet: GrantScheme, data_centre: str, me: Holder) -> None:
        self.fleet = fleet
        self.data_centre = data_centre
        self.me = me

    def list(self) -> tuple[Holder, ...]:
        fleet = self.fleet
        return tuple(
            task.holder
            for task in fleet.tasks.values()
            if task.data_centre == self.data_centre
            and task.holder != self.me
            and task.holder not in fleet.dead
        )

    async def hand_over(
        self, holder: Holder, budget: str, tokens: int, transfer: str
    ) -> HandedOver | Unavailable:
        await anyio.sleep(PEER_SECONDS)
        if holder in self.fleet.dead:
            return Unavailable("peer", str(holder), "dead")
        message = HandOver(self.me, budget, tokens, transfer)
        return await self.fleet.tasks[holder.name].ask(message)

    async def fence(self, asked: Holder, fenced: Holder) -> Received | Unavailable:
        await anyio.sleep(PEER_SECONDS)
        if asked in self.fleet.dead:
            return Unavailable("peer", str(asked), "dead")
        return await self.fleet.tasks[asked.name].ask(Fence(fenced))

    async def mark_fenced(self, holder: Holder) -> tuple[Holder, ...] | Unavailable:
        await anyio.sleep(PLATFORM_SECONDS)
        self.fleet.marked.add(holder)
        return tuple(
            task.holder
            for task in self.fleet.tasks.values()
            if task.data_centre == self.data_centre and task.holder != holder
        )

    def fenced(self) -> frozenset[Holder]:
        return frozenset(self.fleet.marked)


class GrantScheme(Scheme):
    """The product's budget tasks over a platform in memory."""

    def __init__(
        self,
        load: Load,
        rules: Rules,
        group: anyio.abc.TaskGroup,
        shards: int = 1,
    ) -> None:
        self.load = load
        self.rules = rules
        self.group = group
        self.shards = shards
        self.store = MemoryStore()
        self.tasks: dict[str, BudgetTask] = {}
        self.platforms: dict[str, CountingPlatform] = {}
        self.dead: set[Holder] = set()
        self.marked: set[Holder] = set()
        self.limits = load.list_limits()

    async def start(self) -> None:
        """Start all routers."""
        for number, (centre, name) in enumerate(list_routers(self.load)):
            holder = Holder(name, 1)
            platform = CountingPlatform(self.store, PLATFORM_SECONDS)
            task = BudgetTask(
                holder,
                centre,
                platform,
                LocalNeighbours(self, centre, holder),
                lambda: self.rules,
                self.limits.get,
                shards=self.shards,
                seed=self.load.seed * 1000 + number,
            )
            self.tasks[name] = task
            self.platforms[name] = platform
            await task.start(self.group)

    def cut(self, centres: frozenset[str], cut: bool) -> None:
        """Cut data centres off the platform, or join them again."""
        for name, task in self.tasks.items():
            if task.data_centre in centres:
                self.platforms[name].cut = cut

    async def reserve(self, router: str, budget: str, tokens: int) -> object:
        return await self.tasks[router].ask(Reserve(budget, tokens, WAIT_SECONDS))

    async def settle(self, router: str, reservation: object, used: int) -> None:
        assert isinstance(reservation, Reservation)
        identity = f"{router}-{reservation.id}"
        budget = reservation.budget
        bill = Bill(budget, identity, budget, used, "rosters")
        await self.tasks[router].ask(Settle(reservation, used, bill))

    async def kill(self, router: str) -> Holder:
        """End a router without giving anything back."""
        task = self.tasks[router]
        self.dead.add(task.holder)
        await task.close()
        return task.holder

    async def recover(self, router: str, holder: Holder) -> Recovered:
        """Let a router bring back what a dead one left."""
        return await self.tasks[router].ask(Recover(holder))

    def count_unspent(self, holder: Holder) -> int:
        """Return what the ledgers show as unspent in a holder's hands."""
        total = 0
        for budget in self.limits:
            value = self.store.objects.get(f"ledger/{find_shard(budget, self.shards)}")
            if value is None:
                continue
            share = decode_ledger(value[0]).budgets[budget].shares.get(str(holder))
            total += share.unspent if share is not None else 0
        return total


class EqualSplit(Scheme):
    """Baseline: each router has a fixed part of each budget, for ever."""

    def __init__(self, load: Load) -> None:
        routers = list_routers(load)
        self.left = {
            (name, budget): tokens // len(routers)
            for _, name in routers
            for budget, tokens in load.list_limits().items()
        }

    async def reserve(self, router: str, budget: str, tokens: int) -> object:
        if self.left[router, budget] < tokens:
            return _refuse(RefusalKind.BUDGET_OUT_OF_REACH)
        self.left[router, budget] -= tokens
        return (budget, tokens)

    async def settle(self, router: str, reservation: object, used: int) -> None:
        budget, tokens = reservation
        self.left[router, budget] += tokens - used


class WritePerRequest(Scheme):
    """Baseline: a conditional write on a shared counter for each reservation."""

    def __init__(self, load: Load) -> None:
        self.left = load.list_limits()
        self.cut_routers: set[str] = set()
        self.calls = 0

    async def reserve(self, router: str, budget: str, tokens: int) -> object:
        self.calls += 2
        await anyio.sleep(2 * PLATFORM_SECONDS)
        if router in self.cut_routers:
            return _refuse(RefusalKind.BUDGET_OUT_OF_REACH)
        if self.left[budget] < tokens:
            return _refuse(RefusalKind.BUDGET_TOO_LOW)
        self.left[budget] -= tokens
        return (budget, tokens)

    async def settle(self, router: str, reservation: object, used: int) -> None:
        budget, tokens = reservation
        while router in self.cut_routers:
            await anyio.sleep(1.0)
        self.calls += 2
        self.left[budget] += tokens - used


@attrs.define
class Callers:
    """Sends the same seeded requests to a scheme and counts what came of them."""

    load: Load
    scheme: Scheme
    count: Count = attrs.field(factory=Count)
    dead: set[str] = attrs.field(factory=set)

    async def run(self, seconds: float, group: anyio.abc.TaskGroup) -> None:
        """Send requests for some time; those under way go on in ``group``."""
        rng = random.Random(f"{self.load.seed} {anyio.current_time()}")
        names = list(self.load.list_limits())
        weights = [1 / (number + 1) for number in range(len(names))]
        routers = [name for _, name in list_routers(self.load)]
        first = self.load.routers
        shares = [self.load.skew] * first + [1.0] * (len(routers) - first)
        end = anyio.current_time() + seconds
        while True:
            await anyio.sleep(rng.expovariate(self.load.requests))
            if anyio.current_time() >= end:
                return
            budget = rng.choices(names, weights)[0]
            router = rng.choices(routers, shares)[0]
            if router in self.dead:
                router = rng.choice([name for name in routers if name not in self.dead])
            tokens = rng.randint(*RESERVED_TOKENS)
            used = int(tokens * rng.uniform(*USED_PART))
            group.start_soon(
                self._call, router, budget, tokens, used, rng.uniform(*RUN_SECONDS)
            )

    async def _call(
        self, router: str, budget: str, tokens: int, used: int, seconds: float
    ) -> None:
        count = self.count
        count.asked += 1
        answer = await self.scheme.reserve(router, budget, tokens)
        if isinstance(answer, Refusal):
            self._note_refusal(budget, tokens, answer)
            return
        count.served += 1
        count.reserved[budget] = count.reserved.get(budget, 0) + tokens
        await anyio.sleep(seconds)
        count.reserved[budget] -= tokens
        count.used[budget] = count.used.get(budget, 0) + used
        if router not in self.dead:
            await self.scheme.settle(router, answer, used)

    def _note_refusal(self, budget: str, tokens: int, refusal: Refusal) -> None:
        count = self.count
        kind = refusal.kind.value
        count.refused[kind] = count.refused.get(kind, 0) + 1
        limit = self.load.list_limits()[budget]
        left = limit - count.used.get(budget, 0) - count.reserved.get(budget, 0)
        if left < tokens:
            return
        count.false_refusals += 1
        if refusal.kind in (RefusalKind.BUDGET_SPENT, RefusalKind.BUDGET_TOO_LOW):
            count.untrue_spent += 1

    def overspend(self) -> int:
        """Return the tokens used beyond the budgets."""
        limits = self.load.list_limits()
        return sum(
            max(0, used - limits[budget]) for budget, used in self.count.used.items()
        )


def list_routers(load: Load) -> list[tuple[str, str]]:
    """Return data centre and name of each router."""
    return [
        (f"centre-{centre}", f"router-{centre}-{number}")
        for centre in range(load.data_centres)
        for number in range(load.routers)
    ]


def _refuse(kind: RefusalKind) -> Refusal:
    return Refusal("budget.reserve", "baseline", "", kind, Ran.NOT_RUN, 1.0)
