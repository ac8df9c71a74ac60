"""Task that keeps this relay's share of prepaid tokens, and reserves out of it."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc

from ..events import Event, log_event
from ..tasks import Task
from .accounts import HeldAccount
from .allowances import Allowance
from .boots import BootClock
from .draws import AWAY_SECONDS, CONFLICTS, LedgerDraws
from .grants import plan_gift
from .ledgers import release_holder
from .loans import Loans
from .malformed import MalformedObjects
from .members import Membership
from .models import Account, Configuration
from .neighbours import LEND_SECONDS, Neighbours, TokenLender, Trade, TradeAnswer
from .reservations import Reservation, Shortage
from .signals import Signal
from .stores import Store

REFILL_SECONDS = 1.0
"""Pause between looks at what is held, in which at most a tenth of it is spent."""

JITTER = (0.7, 1.3)
"""Bounds of what pauses are multiplied by, drawn each time. Relays start together; with
equal pauses the keepers of an account would look at the same moments ever after, and
their writes would meet."""

WAIT_SECONDS = 0.5
"""How long a request waits for tokens: a hundred answers of the store, or two relays
that are asked. Who takes longer is away, and the caller is told when to come back."""


class Holdings(Task, TokenLender):
    """Keeps tokens at hand by conditional updates of the ledger, and by loans.

    One relay of each data centre draws on the ledger for an account and lends to the
    others there. A relay that finds no lender draws for itself.

    Args:
        store: The platform's store.
        neighbours: Calls to the other relays.
        membership: Which relays there are.
        read_configuration: Returns the configuration in force, if one is known.
        malformed: Told of ledgers that can't be read.
        clock: By which grants open; the host's own if left out.
    """

    def __init__(
        self,
        store: Store,
        neighbours: Neighbours,
        membership: Membership,
        read_configuration: Callable[[], Configuration | None],
        malformed: MalformedObjects | None = None,
        clock: BootClock | None = None,
    ) -> None:
        super().__init__("holdings")
        self._clock = clock or BootClock()
        self._membership = membership
        self._holder = membership.member.holder
        self._changed = Signal()
        self._draws = LedgerDraws(
            store,
            membership,
            read_configuration,
            self._changed,
            self._clock,
            malformed,
        )
        self._neighbours = neighbours
        self._loans = Loans(neighbours, membership, self._changed)
        self._held: dict[str, HeldAccount] = {}
        self._released = False

    async def run(self) -> None:
        async with anyio.create_task_group() as group:
            self._draws.start(group)
            while True:
                self._look(group)
                await anyio.sleep(draw_pause(self._draws.failed, random))

    async def reserve(self, account: Account, tokens: int) -> Reservation | Shortage:
        """Set tokens aside for a request, at its most.

        A request that finds too few waits for the ledger or for another relay, and is
        refused when neither has enough.
        """
        if account.prepaid is None:
            return Reservation(None, 0)
        if self._released:
            return Shortage.OUT_OF_REACH
        held = self._get(account.name)
        allowance = held.allowance
        if self._draws.first_request_at is None:
            self._draws.first_request_at = time.monotonic()
        allowance.demand.note_request(tokens, time.monotonic())
        if allowance.reserve(tokens):
            return Reservation(allowance, tokens)
        allowance.demand.unmet += tokens
        try:
            with anyio.move_on_after(WAIT_SECONDS):
                shortage = await self._collect(account, held, tokens)
                if shortage is None:
                    return Reservation(allowance, tokens)
                return shortage
        finally:
            allowance.demand.unmet -= tokens
        return Shortage.OUT_OF_REACH

    async def answer_trade(self, trade: Trade) -> TradeAnswer:
        self._neighbours.note_heard(trade.holder)
        self._membership.note_caller(trade.holder)
        held = self._get(trade.account)
        allowance = held.allowance
        if self._released:
            return TradeAnswer(self._holder, 0, Shortage.OUT_OF_REACH)
        if held.revision is None:
            # The caller may know of a grant that an earlier life here has left.
            self._draws.refresh_soon(held)
        if trade.lender == self._holder:
            came = allowance.take_back(trade.holder, trade.returned, trade.spent)
            if came:
                allowance.demand.note_return(came, time.monotonic())
                self._changed.give()
        shortage = None
        if trade.needed > allowance.available:
            shortage = await self._refill_for(held, trade.needed)
        tokens = plan_gift(allowance.available, trade.needed, trade.wanted)
        total = allowance.lend(trade.holder, tokens)
        if tokens:
            allowance.demand.note_request(tokens, time.monotonic())
            log_event(
                Event.TOKENS_LENT,
                account=trade.account,
                borrower=trade.holder,
                tokens=tokens,
                needed=trade.needed,
                left=allowance.available,
            )
        return TradeAnswer(self._holder, total, shortage)

    def read_available(self, account: str) -> float:
        """Return the tokens of an account that are free here."""
        held = self._held.get(account)
        return float(held.allowance.available) if held else 0.0

    def describe(self, account: Account) -> dict[str, Any]:
        """Return what is known of an account, and since when, for a log line."""
        held = self._get(account.name)
        return {
            "available": held.allowance.available,
            "reserved": held.allowance.reserved,
            "keeps": self._membership.keeps(account.name),
            "prepaid": account.prepaid,
            "free": (account.prepaid or 0) - held.entry.committed,
            "held_elsewhere": held.entry.count_held(but=self._holder),
            "held_by_ended": held.entry.count_ended(self._membership.is_present),
            "surely_used": held.entry.surely_used,
            "revision": held.revision,
            "age": round(time.monotonic() - held.seen_at, 2),
        }

    async def release(self) -> None:
        """Give all tokens back; call when no request is under way any more."""
        self._released = True
        self._draws.close()
        async with anyio.create_task_group() as group:
            for held in self._held.values():
                group.start_soon(self._release_account, held)

    def _get(self, account: str) -> HeldAccount:
        if account not in self._held:
            allowance = Allowance(self._holder, self._clock.read_milliseconds)
            self._held[account] = HeldAccount(account, allowance)
        return self._held[account]

    def _look(self, group: anyio.abc.TaskGroup) -> None:
        """Begin what changes of the ledger and what returns of loans are due."""
        for account in self._draws.list_accounts():
            if account.name in self._held or self._membership.keeps(account.name):
                group.start_soon(self._look_after, self._get(account.name))
        if not self._draws.reachable:
            return
        for held in self._held.values():
            if self._draws.plan(held) is None:
                continue
            self._draws.refresh_soon(held)
            if self._draws.failed:
                # One call tells whether the store is back.
                break

    async def _look_after(self, held: HeldAccount) -> None:
        await self._loans.return_excess(held)
        await self._loans.settle_doubts(held)
        if self._membership.keeps(held.name):
            await self._loans.remind_hosts(held)

    async def _collect(
        self, account: Account, held: HeldAccount, tokens: int
    ) -> Shortage | None:
        """Reserve tokens as they come from the ledger or from other relays."""
        allowance = held.allowance
        shortage: Shortage | None = None
        if self._membership.keeps(account.name):
            shortage = await self._draws.draw(held, account, tokens)
            if allowance.reserve(tokens):
                return None
            if shortage is Shortage.SPENT:
                return shortage
        found = await self._loans.borrow(held, tokens)
        if allowance.reserve(tokens):
            return None
        if found is Shortage.SPENT:
            return found
        if shortage is None and found is not Shortage.HELD_ELSEWHERE:
            shortage = await self._draws.draw(held, account, tokens)
            if allowance.reserve(tokens):
                return None
        return shortage or found or Shortage.OUT_OF_REACH

    async def _refill_for(self, held: HeldAccount, needed: int) -> Shortage | None:
        """Have the ledger asked for tokens that another relay needs."""
        account = self._draws.find_account(held.name)
        if account is None:
            return Shortage.OUT_OF_REACH
        demand = held.allowance.demand
        demand.unmet += needed
        try:
            with anyio.move_on_after(LEND_SECONDS):
                return await self._draws.draw(held, account, needed)
        finally:
            demand.unmet -= needed
        return Shortage.OUT_OF_REACH

    async def _release_account(self, held: HeldAccount) -> None:
        """Give one account's tokens back, to the ledger or else to another relay."""
        for _ in range(CONFLICTS):
            if self._holder not in held.entry.grants:
                break
            # What an unanswered write of this loop gives back, the next one does.
            returned = max(0, held.allowance.free + held.allowance.withheld)
            planned = held.entry.copy()
            held.allowance.record(planned)
            release_holder(planned, self._holder, returned)
            if await self._draws.write(held, planned):
                return
            if not self._draws.reachable:
                break
        for member in self._membership.list_lenders(held.name):
            tokens = held.allowance.available
            if tokens <= 0:
                return
            if await self._loans.give_back(held, member, tokens) is not None:
                return


def draw_pause(failed: bool, rng: Any) -> float:
    """Return the pause before the next look at what is held, seconds."""
    pause = AWAY_SECONDS if failed else REFILL_SECONDS
    return pause * rng.uniform(*JITTER)
