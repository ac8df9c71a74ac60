"""Updates of account ledgers by conditional writes of the store's objects."""

from __future__ import annotations

import random
import time
from collections.abc import Callable

import anyio
import anyio.abc

from ..events import Event, log_event
from ..outcomes import Unavailable, Unknown
from .account_holdings import FRESH_SECONDS, AccountHolding, Plan, RecordPlan
from .boot_clock import BootClock
from .grant_logs import log_plan, log_settlements
from .host_recorder import HostRecorder, RecordSource
from .ledgers import (
    AccountLedger,
    decode_ledger,
    encode_ledger,
    list_previous_incarnations,
)
from .malformed import MalformedObjects
from .members import Membership
from .models import Account, Configuration
from .notifiers import Notifier
from .reservations import Shortage, exceeds_budget, find_shortage
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
"""Pause between attempts while the store is unavailable. Held tokens run out during an
outage, and requests are refused until the first successful attempt. A lost call costs
only the store, which all relays call."""

MAX_LOST_REPLIES = 4
"""Number of consecutive lost replies from which on the store counts as unavailable.
With a third of all replies lost, four in a row are lost once in eighty times. Without
such a limit, a store that reset every connection was called eight times for each
request that found too few tokens."""

MAX_WRITE_ATTEMPTS = 8
"""Attempts of one update. One relay per data centre writes an account's ledger, about
once every few seconds. Conflicts are rare, and eight in a row occur only if the store
misbehaves."""

MAX_CONFLICT_BACKOFF_SECONDS = 0.02
"""Upper bound of the random pause after a conflict, in which the store can reply a few
times."""

MAX_DRAW_ATTEMPTS = 3
"""Attempts to draw on the ledger for one request. The first may join an update that was
planned before the request arrived, and the second may conflict with other relays'
writes."""

PEEK_AGE_SECONDS = 0.5
"""Age of the view of a ledger from which on it is peeked at before it is written. A
peek may be stale and costs a tenth of a call. The primary relays of three or four data
centres write an account's ledger, so the next write of each often conflicts with
another relay's. Without the peek that costs two calls instead of 1.1."""

CRASH_SERIES_SECONDS = 30.0
"""Seconds after a holder ended for which the host's record covers all accounts, scarce
or not. Crashes come in series, and each one takes a part of the same budgets."""


class LedgerUpdater(RecordSource):
    """Draws tokens on account ledgers, and returns tokens to them.

    Args:
        store: The platform's store.
        membership: The relays of the fleet.
        read_configuration: Returns the configuration in force, or ``None`` before
            there is one.
        changed: Notified whenever balances may have changed.
        clock: Clock by which grants vest.
        malformed: Records ledgers that can't be decoded.
    """

    def __init__(
        self,
        store: Store,
        membership: Membership,
        read_configuration: Callable[[], Configuration | None],
        changed: Notifier,
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
        self._holder_ended_at = float("-inf")
        self._group: anyio.abc.TaskGroup | None = None
        self._running = anyio.Event()
        self._holdings: dict[str, AccountHolding] = {}
        self._recorder = HostRecorder(
            store, self._holder, clock, self, changed, self._malformed
        )

    @property
    def reachable(self) -> bool:
        """Whether the store may be called: the pause after a failed call is over."""
        return time.monotonic() >= self._unavailable_until

    def start(self, group: anyio.abc.TaskGroup) -> None:
        """Run updates as tasks of ``group`` from now on."""
        self._group = group
        group.start_soon(self._recorder.run)
        self._running.set()

    def close(self) -> None:
        """Start no further updates; those in progress continue."""
        self._group = None

    def list_prepaid_accounts(self) -> list[Account]:
        """Return the accounts that have a budget."""
        configuration = self._read_configuration()
        accounts = (configuration.accounts if configuration else None) or {}
        return [account for account in accounts.values() if account.prepaid is not None]

    def find_account(self, name: str) -> Account | None:
        """Return an account of the configuration in force, or ``None``."""
        configuration = self._read_configuration()
        accounts = (configuration.accounts if configuration else None) or {}
        return accounts.get(name)

    def add(self, holding: AccountHolding) -> None:
        """Include an account in the host's record."""
        self._holdings[holding.name] = holding

    def exceeds_budget(
        self, holding: AccountHolding, account: Account, tokens: int
    ) -> bool:
        """Return whether a request needs more tokens than the account has left."""
        ledger = self._copy_ledger(holding)
        return exceeds_budget(ledger, account.prepaid or 0, tokens)

    async def draw(
        self, holding: AccountHolding, account: Account, tokens: int
    ) -> Shortage | None:
        """Draw tokens on the ledger; return why there are too few, or ``None``."""
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
            allowance = holding.allowance
            if allowance.available_in_ledger < tokens:
                self.schedule_refresh(holding)
            if allowance.record_schedules:
                self._recorder.request_write()
            while holding.refreshing or self._recorder.pending:
                await self._changed.wait()
            if holding.allowance.available >= tokens:
                return None
        return Shortage.HELD_ELSEWHERE

    def schedule_refresh(self, holding: AccountHolding) -> None:
        """Start an update of an account's grant unless one is in progress."""
        if not holding.refreshing and self._group is not None:
            holding.refreshing = True
            if self.store_unavailable:
                # Only one request waits for this check of the store. The others treat
                # it as unreachable meanwhile.
                self._unavailable_until = time.monotonic() + OUTAGE_RETRY_SECONDS
            self._group.start_soon(self._refresh, holding)

    async def write(
        self, holding: AccountHolding, planned: AccountLedger, returned: int = 0
    ) -> bool:
        """Write a ledger unless the stored one has changed; return whether the write is
        known to have taken effect.

        Tokens that the write returns are taken out of use before it is sent, and tokens
        that it draws come into use only after it is confirmed. So if its reply is lost,
        it doesn't matter whether the write has taken effect or still will. The next
        write has the same condition: either it takes effect and the lost one no longer
        can, or it fails and its reply carries the current ledger.

        Args:
            returned: Tokens that a stopping relay returns, borrowed ones included.
        """
        began_at = time.monotonic()
        allowance = holding.allowance
        allowance.prepare_write(planned)
        withheld = allowance.withheld
        allowance.withheld = max(withheld, returned)
        spec = encode_ledger(planned)
        if holding.revision is None:
            outcome = await self._store.create(LEDGER_KIND, holding.name, spec)
        else:
            outcome = await self._store.replace(
                LEDGER_KIND, holding.name, spec, holding.revision
            )
        self.record_outcome(outcome, time.monotonic() - began_at)
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
            case Unavailable():
                allowance.withheld = withheld
        return False

    def plan(self, holding: AccountHolding) -> Plan | None:
        """Return the change of an account's ledger that is due, or ``None``."""
        account = self.find_account(holding.name)
        if account is None or account.prepaid is None:
            return None
        return holding.plan(
            account,
            self._membership.count_drawing(),
            self._membership.draws_on(holding.name),
            self._is_warming_up(holding),
            time.monotonic(),
            self._clock.read(),
            self._clock.started,
            self._recorder.previous,
        )

    def is_due(self, holding: AccountHolding) -> bool:
        """Return whether an account's ledger is to be updated or looked at."""
        return self._is_view_overdue(holding) or self.plan(holding) is not None

    def list_holdings(self) -> list[AccountHolding]:
        return list(self._holdings.values())

    def plan_record(self, holding: AccountHolding) -> RecordPlan | None:
        """Return what the host's record should say of an account.

        In a large fleet the records of all hosts would be too many writes.
        """
        account = self.find_account(holding.name)
        if account is None or account.prepaid is None or not self._membership.all_draw:
            return None
        now = time.monotonic()
        self._holder_ended_at = max(self._holder_ended_at, holding.holder_ended_at)
        return holding.plan_recorded(
            account.prepaid,
            self._membership.count_drawing(),
            self._is_warming_up(holding),
            now,
            self._clock.read(),
            now - self._holder_ended_at < CRASH_SERIES_SECONDS,
        )

    def can_write(self) -> bool:
        return self.reachable and not self.store_unavailable

    async def _refresh(self, holding: AccountHolding) -> None:
        """Update an account's grant as planned."""
        try:
            if not await self._peek(holding):
                return
            for _ in range(MAX_WRITE_ATTEMPTS):
                if not await self._prepare_settlement(holding):
                    return
                plan = self.plan(holding)
                if plan is None:
                    break
                log_plan(holding, plan, time.monotonic())
                if await self.write(holding, plan.ledger):
                    log_settlements(holding, plan)
                    break
                if not self.reachable or self._is_unreadable(holding):
                    break
                await anyio.sleep(random.random() * MAX_CONFLICT_BACKOFF_SECONDS)
        finally:
            holding.refreshing = False
            self._changed.notify_all()

    async def _prepare_settlement(self, holding: AccountHolding) -> bool:
        """Read the host's record if a previous incarnation's grant is to be settled;
        return whether that can be done now."""
        if not list_previous_incarnations(holding.ledger, self._holder):
            return True
        return await self._recorder.load()

    async def _peek(self, holding: AccountHolding) -> bool:
        """Peek at an account's ledger if it is likely to have changed.

        Only a newer revision is applied. At the known revision, a write of this relay
        whose reply was lost may still take effect, so the tokens that it returns stay
        out of use. A newer revision shows that the write has taken effect or can't any
        more.

        Returns:
            Whether the store replied or no peek was needed.
        """
        now = time.monotonic()
        last_at = max(holding.seen_at, holding.peeked_at)
        if now - last_at < PEEK_AGE_SECONDS:
            return True
        if self.store_unavailable and not self._is_view_overdue(holding):
            return True
        began_at = time.monotonic()
        peeked = await self._store.peek(LEDGER_KIND, holding.name)
        if isinstance(peeked, Unavailable):
            self.record_outcome(peeked, time.monotonic() - began_at)
            return False
        self._set_available(True)
        now = time.monotonic()
        holding.peeked_at = now
        if isinstance(peeked, StoredObject) and peeked.revision > (
            holding.revision or 0
        ):
            self._apply_stored(holding, peeked)
            # The peeked ledger may be seconds old, so it doesn't count as fresh.
            holding.seen_at = now - FRESH_SECONDS
        return True

    def _find_shortage(
        self, holding: AccountHolding, account: Account, tokens: int
    ) -> Shortage | None:
        return find_shortage(
            self._copy_ledger(holding),
            account.prepaid or 0,
            tokens,
            holding.allowance.free,
            self.reachable and not self._is_unreadable(holding),
            holding.is_fresh(time.monotonic()),
        )

    def _copy_ledger(self, holding: AccountHolding) -> AccountLedger:
        """Return the ledger as last seen, with what this relay has spent since."""
        ledger = holding.ledger.copy()
        holding.allowance.record_spent(ledger)
        return ledger

    def _is_unreadable(self, holding: AccountHolding) -> bool:
        """Return whether an account's ledger can't be read, which counts as out of
        reach.

        Nothing can be granted from it, because no write takes effect at a revision that
        wasn't read. Each request's attempt would make eight calls that can't succeed.
        """
        return holding.is_unreadable(time.monotonic(), FRESH_SECONDS)

    def _is_view_overdue(self, holding: AccountHolding) -> bool:
        return holding.is_view_overdue(self.first_request_at, time.monotonic())

    def _is_warming_up(self, holding: AccountHolding) -> bool:
        return holding.is_warming_up(self.first_request_at, time.monotonic())

    def _apply_stored(self, holding: AccountHolding, stored: StoredObject) -> None:
        try:
            ledger = decode_ledger(stored.spec)
        except ValueError as error:
            now = time.monotonic()
            self._malformed.record(
                LEDGER_KIND, stored.name, stored.revision, str(error), now
            )
            holding.unreadable_at = now
            return
        holding.apply_ledger(ledger, stored.revision, time.monotonic())

    def record_outcome(self, outcome: WriteOutcome, seconds: float) -> None:
        """Record whether the store replied.

        A write whose reply is lost at once is retried at once. If the store doesn't
        respond for long, or resets one connection after the other, it counts as
        unavailable and callers don't wait for it.
        """
        reached = isinstance(outcome, (Written, Conflict, Missing))
        self._lost_replies = 0 if reached else self._lost_replies + 1
        quick = isinstance(outcome, Unknown) and seconds < OUTAGE_RETRY_SECONDS
        if quick and self._lost_replies < MAX_LOST_REPLIES:
            return
        self._set_available(reached)

    def _set_available(self, available: bool) -> None:
        if available == self.store_unavailable:
            event = Event.PLATFORM_BACK if available else Event.PLATFORM_AWAY
            log_event(event, step="ledger")
        self.store_unavailable = not available
        self._unavailable_until = float("-inf")
        if not available:
            self._unavailable_until = time.monotonic() + OUTAGE_RETRY_SECONDS
