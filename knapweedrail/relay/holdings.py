"""Task that holds this relay's share of prepaid tokens and reserves tokens for
requests."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc

from ..events import Event, log_event
from ..tasks import Task
from .account_holdings import AccountHolding
from .allowances import Allowance
from .boot_clock import BootClock
from .borrowing import TokenBorrower
from .grants import plan_loan
from .ledger_updates import (
    MAX_CONFLICT_BACKOFF_SECONDS,
    MAX_WRITE_ATTEMPTS,
    OUTAGE_RETRY_SECONDS,
    LedgerUpdater,
)
from .ledgers import release_holder
from .malformed import MalformedObjects
from .members import Membership
from .models import Account, Configuration
from .notifiers import Notifier
from .peers import LEND_SECONDS, PeerClient, TokenLender, Trade, TradeAnswer
from .reservations import Reservation, Shortage
from .stores import Store

REFILL_INTERVAL_SECONDS = 1.0
"""Pause between checks of the balances. At most a tenth of a balance is spent in it."""

JITTER_BOUNDS = (0.7, 1.3)
"""Bounds of the random factor of each pause. Relays start together; with equal pauses
the primary relays of an account would check at the same moments from then on, and their
writes would conflict."""

TOKEN_WAIT_SECONDS = 0.5
"""Longest time that a request waits for tokens. It allows for a hundred replies of the
store, or for requests to two other relays. After it the request is refused as out of
reach, and the refusal says when to retry."""


class Holdings(Task, TokenLender):
    """Holds tokens by conditional updates of the ledger and by loans.

    In small fleets each relay draws on the ledgers. In larger ones, one primary relay
    per data centre draws for each account, and lends tokens to the other relays there.
    A relay that finds no lender draws for itself.

    Args:
        store: The platform's store.
        peers: Client for the other relays.
        membership: The relays of the fleet.
        read_configuration: Returns the configuration in force, or ``None`` before
            there is one.
        malformed: Records ledgers that can't be decoded.
        clock: Clock by which grants vest; the host's own by default.
    """

    def __init__(
        self,
        store: Store,
        peers: PeerClient,
        membership: Membership,
        read_configuration: Callable[[], Configuration | None],
        malformed: MalformedObjects | None = None,
        clock: BootClock | None = None,
    ) -> None:
        super().__init__("holdings")
        self._clock = clock or BootClock()
        self._membership = membership
        self._holder = membership.member.holder
        self._changed = Notifier()
        self._updater = LedgerUpdater(
            store,
            membership,
            read_configuration,
            self._changed,
            self._clock,
            malformed,
        )
        self._peers = peers
        self._borrower = TokenBorrower(peers, membership, self._changed)
        self._by_account: dict[str, AccountHolding] = {}
        self._closed = False

    async def run(self) -> None:
        async with anyio.create_task_group() as group:
            self._updater.start(group)
            while True:
                self._start_due_work(group)
                await anyio.sleep(
                    compute_refill_pause(self._updater.store_unavailable, random)
                )

    async def close(self) -> None:
        """Stop; answer other relays' requests for tokens with none from now on."""
        self._refuse_all()
        await super().close()

    async def reserve(self, account: Account, tokens: int) -> Reservation | Shortage:
        """Reserve the largest number of tokens that a request may use.

        If too few are available, wait up to `TOKEN_WAIT_SECONDS` for the ledger or for
        another relay. A request that exceeds the budget is refused at once, and doesn't
        count as demand: the grants of all relays follow the demand.

        Returns:
            The reservation, or the reason why there is none.
        """
        if account.prepaid is None:
            return Reservation(None, 0)
        if self._closed:
            return Shortage.OUT_OF_REACH
        holding = self._get_holding(account.name)
        allowance = holding.allowance
        if self._updater.first_request_at is None:
            self._updater.first_request_at = time.monotonic()
        reserved = allowance.reserve(tokens)
        if not reserved and self._updater.exceeds_budget(holding, account, tokens):
            return Shortage.SPENT
        allowance.demand.record_request(tokens, time.monotonic())
        if reserved:
            return Reservation(allowance, tokens)
        allowance.demand.unmet += tokens
        try:
            with anyio.move_on_after(TOKEN_WAIT_SECONDS):
                shortage = await self._obtain_tokens(account, holding, tokens)
                if shortage is None:
                    return Reservation(allowance, tokens)
                return shortage
        finally:
            allowance.demand.unmet -= tokens
        return Shortage.OUT_OF_REACH

    async def answer_trade(self, trade: Trade) -> TradeAnswer:
        self._peers.record_incoming_call(trade.holder)
        self._membership.record_caller(trade.holder)
        holding = self._get_holding(trade.account)
        allowance = holding.allowance
        if self._closed:
            return TradeAnswer(self._holder, 0, Shortage.OUT_OF_REACH)
        if holding.revision is None:
            # The call may be a prompt to settle the grant of a previous incarnation on
            # this host.
            self._updater.schedule_refresh(holding)
        if trade.lender == self._holder:
            received = allowance.accept_return(
                trade.holder, trade.returned, trade.spent
            )
            if received:
                allowance.demand.record_return(received, time.monotonic())
                self._changed.notify_all()
        shortage = None
        if trade.needed > allowance.available:
            shortage = await self._draw_for_peer(holding, trade.needed)
            if self._closed:
                # What this relay holds is being returned, or has been.
                return TradeAnswer(self._holder, 0, Shortage.OUT_OF_REACH)
        tokens = plan_loan(allowance.available, trade.needed, trade.wanted)
        total = allowance.lend(trade.holder, tokens)
        if tokens:
            allowance.demand.record_request(tokens, time.monotonic())
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
        """Return the tokens of an account that are available at this relay."""
        holding = self._by_account.get(account)
        return float(holding.allowance.available) if holding else 0.0

    def count_free(self, account: str) -> int:
        """Return the unused tokens of an account at this relay, vested or not."""
        holding = self._by_account.get(account)
        return holding.allowance.free if holding else 0

    def count_lent(self, account: str) -> int:
        """Return the tokens of an account that this relay has lent in total."""
        holding = self._by_account.get(account)
        lent = holding.allowance.lent.values() if holding else ()
        return sum(loan.total for loan in lent)

    def describe(self, account: Account) -> dict[str, Any]:
        """Return the state of an account for a log line, with its age in seconds."""
        holding = self._get_holding(account.name)
        return {
            "available": holding.allowance.available,
            "reserved": holding.allowance.reserved,
            "keeps": self._membership.draws_on(account.name),
            "prepaid": account.prepaid,
            "free": (account.prepaid or 0) - holding.ledger.committed,
            "held_elsewhere": holding.ledger.count_held(excluding=self._holder),
            "held_by_ended": holding.ledger.count_held_by_ended(
                self._membership.is_current
            ),
            "surely_used": holding.ledger.confirmed_used,
            "revision": holding.revision,
            "age": round(time.monotonic() - holding.seen_at, 2),
        }

    async def release(self) -> None:
        """Return all tokens. To be called after the last request has ended."""
        self._refuse_all()
        async with anyio.create_task_group() as group:
            for holding in self._by_account.values():
                group.start_soon(self._release_account, holding)

    def _refuse_all(self) -> None:
        """Reserve and draw no more tokens, also for requests that wait for some."""
        self._closed = True
        # A task that is started in a group after its cancellation is never cancelled,
        # and the group waits for it.
        self._updater.close()
        for holding in self._by_account.values():
            holding.allowance.closed = True

    def _get_holding(self, account: str) -> AccountHolding:
        if account not in self._by_account:
            allowance = Allowance(self._holder, self._clock.read_milliseconds)
            self._by_account[account] = AccountHolding(account, allowance)
            self._updater.add(self._by_account[account])
        return self._by_account[account]

    def _start_due_work(self, group: anyio.abc.TaskGroup) -> None:
        """Start the ledger updates and loan messages that are due."""
        for account in self._updater.list_prepaid_accounts():
            if account.name in self._by_account or self._membership.draws_on(
                account.name
            ):
                group.start_soon(self._maintain_loans, self._get_holding(account.name))
        if not self._updater.reachable:
            return
        for holding in self._by_account.values():
            if not self._updater.is_due(holding):
                continue
            self._updater.schedule_refresh(holding)
            if self._updater.store_unavailable:
                # One call suffices to check whether the store is available again.
                break

    async def _maintain_loans(self, holding: AccountHolding) -> None:
        await self._borrower.return_excess(holding)
        await self._borrower.resolve_unconfirmed(holding)
        if self._membership.draws_on(holding.name):
            await self._borrower.prompt_settlements(holding)

    async def _obtain_tokens(
        self, account: Account, holding: AccountHolding, tokens: int
    ) -> Shortage | None:
        """Draw or borrow tokens for a request and reserve them.

        Returns:
            ``None`` if the tokens are reserved, or else why there are too few.
        """
        allowance = holding.allowance
        shortage: Shortage | None = None
        if self._membership.draws_on(account.name):
            shortage = await self._updater.draw(holding, account, tokens)
            if allowance.reserve(tokens):
                return None
            if shortage is Shortage.SPENT:
                return shortage
        lender_shortage = await self._borrower.borrow(holding, tokens)
        if allowance.reserve(tokens):
            return None
        if lender_shortage is Shortage.SPENT:
            return lender_shortage
        if shortage is None and lender_shortage is not Shortage.HELD_ELSEWHERE:
            shortage = await self._updater.draw(holding, account, tokens)
            if allowance.reserve(tokens):
                return None
        return shortage or lender_shortage or Shortage.OUT_OF_REACH

    async def _draw_for_peer(
        self, holding: AccountHolding, needed: int
    ) -> Shortage | None:
        """Draw tokens that another relay needs; return why there are too few, or
        ``None``."""
        account = self._updater.find_account(holding.name)
        if account is None:
            return Shortage.OUT_OF_REACH
        demand = holding.allowance.demand
        demand.unmet += needed
        try:
            with anyio.move_on_after(LEND_SECONDS):
                return await self._updater.draw(holding, account, needed)
        finally:
            demand.unmet -= needed
        return Shortage.OUT_OF_REACH

    async def _release_account(self, holding: AccountHolding) -> None:
        """Return one account's tokens to the ledger, or else to another relay.

        Only tokens of which no write may have taken effect go to another relay.
        """
        for attempt in range(MAX_WRITE_ATTEMPTS):
            if self._holder not in holding.ledger.grants:
                if attempt:
                    # A write whose reply was lost has returned them.
                    return
                break
            # Tokens that an unconfirmed write of this loop should return are included
            # in the next write.
            returned = max(0, holding.allowance.free + holding.allowance.withheld)
            planned = holding.ledger.copy()
            holding.allowance.record_spent(planned)
            release_holder(planned, self._holder, returned)
            if await self._updater.write(holding, planned, returned):
                return
            if not self._updater.reachable and holding.allowance.available > 0:
                # Nothing was written, so other relays can have them.
                break
            await anyio.sleep(random.random() * MAX_CONFLICT_BACKOFF_SECONDS)
        for member in self._membership.list_lenders(holding.name):
            tokens = holding.allowance.available
            if tokens <= 0:
                return
            if await self._borrower.give_back(holding, member, tokens) is not None:
                return


def compute_refill_pause(store_unavailable: bool, rng: Any) -> float:
    """Return the pause before the next check of the balances, seconds."""
    pause = OUTAGE_RETRY_SECONDS if store_unavailable else REFILL_INTERVAL_SECONDS
    return pause * rng.uniform(*JITTER_BOUNDS)
