"""Changes of accounts' ledgers, by conditional updates of the store's objects."""

from __future__ import annotations

import random
import time
from collections.abc import Callable

import anyio
import anyio.abc

from ..events import Event, log_event
from ..outcomes import Unavailable, Unknown
from .accounts import FRESH_SECONDS, AccountHolding, Plan
from .boots import BootClock
from .grants import WARM_UP_SECONDS
from .ledgers import AccountLedger, decode_account, encode_account
from .malformed import MalformedObjects
from .members import Membership
from .models import Account, Configuration
from .reservations import Shortage, find_shortage
from .signals import Signal
from .stores import (
    Conflict,
    Missing,
    Store,
    StoredObject,
    WriteOutcome,
    Written,
)

LEDGER_KIND = "token-ledgers"

OUTAGE_RETRY_SECONDS = 0.5
"""Pause between tries while the store is away. What is held runs out then, and callers
are refused until the first try that gets through; a call that is lost costs nobody but
the store, which all relays call."""

MAX_LOST_REPLIES = 4
"""Answers lost in a row from which on the store counts as away. With a third of all
answers lost, that many in a row come once in eighty times; a store that resets every
connection was called eight times for each request that found too few tokens."""

MAX_WRITE_ATTEMPTS = 8
"""Attempts of one update. One relay of each data centre writes an account about once in
some seconds, so two meet rarely, and eight times in a row never unless the store
misbehaves."""

MAX_CONFLICT_BACKOFF_SECONDS = 0.02
"""Longest pause after a conflict, drawn at random; some answers of the store."""

MAX_DRAW_ATTEMPTS = 3
"""Looks at the ledger for one request. The first may join a change that was planned
before the request came, and the second is beaten by others' writes at the worst."""

PEEK_AGE_SECONDS = 0.5
"""Age of a view of the ledger from which on it is looked at before it is written. The
relays of three or four data centres write an account, so one that wrote last seconds
ago often meets another's write, at two calls instead of one and a tenth."""


class LedgerUpdater:
    """Draws on ledgers, and gives back to them.

    Args:
        store: The platform's store.
        membership: Which relays there are.
        read_configuration: Returns the configuration in force, if one is known.
        changed: Given whenever what is held may have changed.
        clock: By which grants open.
        malformed: Told of ledgers that can't be read.
    """

    def __init__(
        self,
        store: Store,
        membership: Membership,
        read_configuration: Callable[[], Configuration | None],
        changed: Signal,
        clock: BootClock,
        malformed: MalformedObjects | None = None,
    ) -> None:
        self._clock = clock
        self._malformed = malformed or MalformedObjects()
        self.first_request_at: float | None = None
        self.store_unavailable = False
        self._store = store
        self._membership = membership
        self._read_configuration = read_configuration
        self._changed = changed
        self._holder = membership.member.holder
        self._unavailable_until = float("-inf")
        self._lost_replies = 0
        self._group: anyio.abc.TaskGroup | None = None
        self._running = anyio.Event()

    @property
    def reachable(self) -> bool:
        """Whether the ledger may be called: no call has failed just now."""
        return time.monotonic() >= self._unavailable_until

    def start(self, group: anyio.abc.TaskGroup) -> None:
        """Make changes in ``group`` from now on."""
        self._group = group
        self._running.set()

    def close(self) -> None:
        """Begin no more changes."""
        self._group = None

    def list_prepaid_accounts(self) -> list[Account]:
        """Return the accounts that have a budget."""
        configuration = self._read_configuration()
        accounts = (configuration.accounts if configuration else None) or {}
        return [one for one in accounts.values() if one.prepaid is not None]

    def find_account(self, name: str) -> Account | None:
        """Return an account of the configuration in force."""
        configuration = self._read_configuration()
        accounts = (configuration.accounts if configuration else None) or {}
        return accounts.get(name)

    async def draw(
        self, holding: AccountHolding, account: Account, tokens: int
    ) -> Shortage | None:
        """Have the ledger asked for tokens; return why it has none."""
        await self._running.wait()
        holding.pending_draws += 1
        try:
            return await self._draw_until_available(holding, account, tokens)
        finally:
            holding.pending_draws -= 1

    async def _draw_until_available(
        self, holding: AccountHolding, account: Account, tokens: int
    ) -> Shortage | None:
        for _ in range(MAX_DRAW_ATTEMPTS):
            shortage = self._find_shortage(holding, account, tokens)
            if shortage is not None:
                return shortage
            self.schedule_refresh(holding)
            while holding.refreshing:
                await self._changed.wait()
            if holding.allowance.available >= tokens:
                return None
        return Shortage.HELD_ELSEWHERE

    def schedule_refresh(self, holding: AccountHolding) -> None:
        """Begin to bring an account's grant to what it should be."""
        if not holding.refreshing and self._group is not None:
            holding.refreshing = True
            if self.store_unavailable:
                # One caller waits to see whether the store is back, and no others.
                self._unavailable_until = time.monotonic() + OUTAGE_RETRY_SECONDS
            self._group.start_soon(self._refresh, holding)

    async def write(self, holding: AccountHolding, planned: AccountLedger) -> bool:
        """Write a ledger if it hasn't changed; return whether that took effect.

        Tokens that the write gives back are out of use before it is sent, and those
        that it takes come into use only once it is known to have taken effect. So
        when its answer is lost, it doesn't matter whether it did, or will. The next
        write has the same condition: it takes effect, and the lost one can't any
        more, or it fails and brings the ledger as it is.
        """
        began_at = time.monotonic()
        holding.allowance.prepare_write(planned)
        spec = encode_account(planned)
        if holding.revision is None:
            outcome = await self._store.create(LEDGER_KIND, holding.name, spec)
        else:
            outcome = await self._store.replace(
                LEDGER_KIND, holding.name, spec, holding.revision
            )
        self._record_outcome(outcome, time.monotonic() - began_at)
        match outcome:
            case Written(revision):
                holding.apply_ledger(planned, revision, time.monotonic())
                holding.confirmed_at = holding.seen_at
                return True
            case Conflict(stored):
                self._apply_stored(holding, stored)
                holding.confirmed_at = time.monotonic()
            case Missing():
                holding.revision = None
        return False

    def plan(self, holding: AccountHolding) -> Plan | None:
        """Return the change of an account's ledger that is due, if there is one."""
        account = self.find_account(holding.name)
        if account is None or account.prepaid is None:
            return None
        return holding.plan(
            account,
            self._membership.count_keepers(),
            self._membership.keeps(holding.name),
            self._is_warming_up(),
            time.monotonic(),
            self._clock.read(),
            self._clock.started,
        )

    async def _refresh(self, holding: AccountHolding) -> None:
        """Bring an account's grant to what it should be."""
        try:
            if not await self._peek(holding):
                return
            for _ in range(MAX_WRITE_ATTEMPTS):
                plan = self.plan(holding)
                if plan is None:
                    break
                self._log_plan(holding, plan)
                if await self.write(holding, plan.ledger):
                    self._log_settled(holding, plan)
                    break
                if not self.reachable or self._is_unreadable(holding):
                    break
                await anyio.sleep(random.random() * MAX_CONFLICT_BACKOFF_SECONDS)
        finally:
            holding.refreshing = False
            self._changed.give()

    async def _peek(self, holding: AccountHolding) -> bool:
        """Look at an account's ledger if it is likely to have changed.

        Only a newer revision is taken in. At the known one a write of ours whose answer
        was lost may still take effect, so what it gives back stays out of use; past it,
        that write has taken effect or never will.

        Returns:
            Whether the store answered, or wasn't asked.
        """
        last_at = max(holding.seen_at, holding.peeked_at)
        if self.store_unavailable or time.monotonic() - last_at < PEEK_AGE_SECONDS:
            return True
        began_at = time.monotonic()
        found = await self._store.peek(LEDGER_KIND, holding.name)
        if isinstance(found, Unavailable):
            self._record_outcome(found, time.monotonic() - began_at)
            return False
        now = time.monotonic()
        holding.peeked_at = now
        if isinstance(found, StoredObject) and found.revision > (holding.revision or 0):
            self._apply_stored(holding, found)
            # It may be seconds old.
            holding.seen_at = now - FRESH_SECONDS
        return True

    def _find_shortage(
        self, holding: AccountHolding, account: Account, tokens: int
    ) -> Shortage | None:
        ledger = holding.ledger.copy()
        holding.allowance.record_spent(ledger)
        return find_shortage(
            ledger,
            account.prepaid or 0,
            tokens,
            holding.allowance.free,
            self.reachable and not self._is_unreadable(holding),
            holding.is_fresh(time.monotonic()),
        )

    def _is_unreadable(self, holding: AccountHolding) -> bool:
        """Return whether an account's ledger can't be read, as if it were out of reach.

        Nothing is granted by it then: no write takes effect at a revision that wasn't
        read. Tried again for each request, it would cost eight calls for nothing.
        """
        return holding.is_unreadable(time.monotonic(), FRESH_SECONDS)

    def _is_warming_up(self) -> bool:
        first = self.first_request_at
        return first is None or time.monotonic() - first < WARM_UP_SECONDS

    def _log_plan(self, holding: AccountHolding, plan: Plan) -> None:
        demand = holding.allowance.demand
        log_event(
            Event.GRANT_PLANNED,
            account=holding.name,
            change=plan.change,
            available=holding.allowance.available,
            rate=round(demand.estimate_rate(time.monotonic())),
            unmet=demand.unmet,
            prepaid=plan.prepaid,
            free=plan.free,
            revision=holding.revision,
        )

    def _log_settled(self, holding: AccountHolding, plan: Plan) -> None:
        for one in plan.settled:
            log_event(
                Event.GRANT_SETTLED,
                account=holding.name,
                holder=one.holder,
                granted=one.tokens,
                spent=one.spent,
                written_off=one.written_off,
                returned=one.returned,
                evidence=one.evidence.value,
                opened=one.vesting.tokens if one.vesting else None,
                rate=one.vesting.rate if one.vesting else None,
                elapsed=one.elapsed,
                revision=holding.revision,
            )

    def _apply_stored(self, holding: AccountHolding, stored: StoredObject) -> None:
        try:
            ledger = decode_account(stored.spec)
        except ValueError as error:
            now = time.monotonic()
            self._malformed.note(
                LEDGER_KIND, stored.name, stored.revision, str(error), now
            )
            holding.unreadable_at = now
            return
        holding.apply_ledger(ledger, stored.revision, time.monotonic())

    def _record_outcome(self, outcome: WriteOutcome, seconds: float) -> None:
        """Take in whether the store answers.

        A write whose answer is lost at once is tried again at once. A store that says
        nothing for long, or resets one connection after the other, isn't there for
        callers, who needn't wait for it.
        """
        reached = isinstance(outcome, (Written, Conflict, Missing))
        self._lost_replies = 0 if reached else self._lost_replies + 1
        quick = isinstance(outcome, Unknown) and seconds < OUTAGE_RETRY_SECONDS
        if quick and self._lost_replies < MAX_LOST_REPLIES:
            return
        if reached == self.store_unavailable:
            event = Event.PLATFORM_BACK if reached else Event.PLATFORM_AWAY
            log_event(event, step="ledger")
        self.store_unavailable = not reached
        self._unavailable_until = float("-inf")
        if not reached:
            self._unavailable_until = time.monotonic() + OUTAGE_RETRY_SECONDS
