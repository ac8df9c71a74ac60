"""Task that keeps this relay's share of prepaid tokens, and reserves out of it."""

from __future__ import annotations

import copy
import random
import time
from collections.abc import Callable
from typing import Any

import anyio
import attrs

from ..events import Event, log_event
from ..tasks import Task
from .allowances import Allowance
from .grants import START_SECONDS, Budget, plan_change, plan_gift
from .ledgers import (
    Ledger,
    Member,
    decode_ledger,
    encode_ledger,
    register_member,
    release_holder,
)
from .models import Account, Configuration
from .neighbours import Gift, Neighbours, TokenHolder
from .reservations import Reservation, Shortage, find_shortage
from .stores import Conflict, Missing, Store, StoredObject, Written

LEDGER_KIND = "token-ledgers"
LEDGER_NAME = "all"

REFILL_SECONDS = 1.0
"""Pause between looks at what is held, in which at most a tenth of it is spent."""

AWAY_SECONDS = 0.3
"""Pause between tries while the store is away. What is held runs out then, and callers
are refused until the first try that gets through; a call that is lost costs nobody."""

DEMAND_PAUSE_SECONDS = 0.05
"""Least pause between writes that requests wait for: some ten answers of the store."""

WAIT_SECONDS = 0.4
"""How long a request waits for tokens: a hundred answers of the store. One that takes
longer is away, and its caller is told at once when to come back."""

CONFLICTS = 8
"""Attempts of one update. Relays write about once a second, so two meet rarely, and
eight times in a row never unless the store misbehaves."""

CONFLICT_SECONDS = 0.02
"""Longest pause after a conflict, drawn at random; some answers of the store."""

RECENT_SECONDS = 1.5
"""How old a view of the ledger may be to refuse by it without looking again."""


ASK_FACTOR = 4
"""How many times the tokens that are missing other relays are asked for: the next
requests of the same account then find theirs."""


class Holdings(Task, TokenHolder):
    """Keeps tokens at hand by conditional updates of the ledger.

    Args:
        store: The platform's store.
        neighbours: The other relays, for tokens that the ledger can't give.
        host: Name of this host.
        member: This relay, as it enters itself in the ledger.
        read_configuration: Returns the configuration in force, if one is known.
    """

    def __init__(
        self,
        store: Store,
        neighbours: Neighbours,
        host: str,
        member: Member,
        read_configuration: Callable[[], Configuration | None],
    ) -> None:
        super().__init__("holdings")
        self._store = store
        self._neighbours = neighbours
        self._host = host
        self._member = member
        self._read_configuration = read_configuration
        self._allowances: dict[str, Allowance] = {}
        self._ledger = Ledger()
        self._revision: int | None = None
        self._seen_at = float("-inf")
        # Until the first call has failed; a relay that has just started would otherwise
        # refuse its first callers instead of letting them wait some milliseconds.
        self._reachable = True
        self._released = False
        self._first_request_at: float | None = None
        self._asking: set[str] = set()
        self._wake = anyio.Event()
        self._changed = anyio.Event()

    @property
    def relays(self) -> int:
        """Number of relays that take part, as far as known."""
        return max(1, len(self._ledger.members))

    async def run(self) -> None:
        while True:
            await self._update()
            last = time.monotonic()
            pause = REFILL_SECONDS if self._reachable else AWAY_SECONDS
            with anyio.move_on_after(pause):
                await self._wake.wait()
            self._wake = anyio.Event()
            pause = last + DEMAND_PAUSE_SECONDS - time.monotonic()
            await anyio.sleep(max(0.0, pause))

    async def reserve(self, account: Account, tokens: int) -> Reservation | Shortage:
        """Set tokens aside for a request, at its most.

        A request that finds too few waits for one refill, or for what other relays
        hand over, and is refused when neither brings enough.
        """
        if account.prepaid is None:
            return Reservation(None, 0)
        if self._released:
            return Shortage.OUT_OF_REACH
        allowance = self._get(account.name)
        if self._first_request_at is None:
            self._first_request_at = time.monotonic()
        allowance.demand.note_request(tokens, time.monotonic())
        if allowance.reserve(tokens):
            return Reservation(allowance, tokens)
        allowance.demand.unmet += tokens
        try:
            with anyio.move_on_after(WAIT_SECONDS):
                shortage = await self._collect(account, allowance, tokens)
                if shortage is None:
                    return Reservation(allowance, tokens)
                return shortage
        finally:
            allowance.demand.unmet -= tokens
        return Shortage.OUT_OF_REACH

    def give(self, account: str, receiver: str, needed: int, wanted: int) -> Gift:
        """Hand tokens to another relay that has too few."""
        allowance = self._get(account)
        available = 0 if self._released else allowance.position.available
        tokens = plan_gift(available, needed, wanted)
        total = allowance.give(receiver, tokens)
        if tokens:
            log_event(
                Event.TOKENS_GIVEN, account=account, receiver=receiver, tokens=tokens
            )
        return Gift(self._member.holder, total)

    def list_neighbours(self) -> list[Member]:
        """Return the other relays, as far as known."""
        return self._neighbours.order(self._ledger.members, self._host)

    def read_available(self, account: str) -> float:
        """Return the tokens of an account that are free here."""
        held = self._allowances.get(account)
        return float(held.position.available) if held else 0.0

    def describe(self, account: Account) -> dict[str, Any]:
        """Return what is known of an account, and since when, for a log line."""
        entry = self._ledger.get_account(account.name)
        allowance = self._get(account.name)
        return {
            "available": allowance.position.available,
            "reserved": allowance.reserved,
            "prepaid": account.prepaid,
            "free": (account.prepaid or 0) - entry.committed,
            "held_elsewhere": entry.count_held(but=self._member.holder),
            "revision": self._revision,
            "age": round(time.monotonic() - self._seen_at, 2),
        }

    async def release(self) -> None:
        """Give all tokens back; call when no request is under way any more."""
        self._released = True
        for _ in range(CONFLICTS):
            ledger = copy.deepcopy(self._ledger)
            if ledger.members.get(self._host) == self._member:
                del ledger.members[self._host]
            for name, allowance in self._allowances.items():
                entry = ledger.get_account(name)
                allowance.record(entry)
                spent = allowance.compute_own_spending(entry)
                release_holder(entry, self._member.holder, spent)
            if await self._write(ledger):
                return
            if not self._reachable:
                await self._hand_over_all()
                return

    def take_over(self, giver: str, totals: dict[str, int]) -> None:
        """Take what a relay that stops has left to this one, in all, by account."""
        for account, total in totals.items():
            self._get(account).receive(giver, total)
        log_event(Event.TOKENS_LEFT, giver=giver, accounts=len(totals))

    def _get(self, account: str) -> Allowance:
        if account not in self._allowances:
            self._allowances[account] = Allowance(self._member.holder)
            self._allowances[account].learn(self._ledger.get_account(account))
        return self._allowances[account]

    async def _collect(
        self, account: Account, allowance: Allowance, tokens: int
    ) -> Shortage | None:
        """Reserve tokens as they come from the ledger or from other relays."""
        shortage = self._find_shortage(account, tokens, time.monotonic())
        if shortage is None:
            self._wake.set()
            await self._changed.wait()
            if allowance.reserve(tokens):
                return None
            shortage = self._find_shortage(account, tokens, time.monotonic())
        if shortage is Shortage.SPENT:
            return shortage
        while account.name in self._asking:
            await self._changed.wait()
            if allowance.reserve(tokens):
                return None
        await self._ask_neighbours(account.name, allowance)
        if allowance.reserve(tokens):
            return None
        return shortage or Shortage.OUT_OF_REACH

    async def _ask_neighbours(self, account: str, allowance: Allowance) -> None:
        """Ask the other relays in turn until what waits here can be served."""
        self._asking.add(account)
        try:
            for member in self._neighbours.order(self._ledger.members, self._host):
                needed = allowance.demand.unmet - allowance.position.available
                if needed <= 0:
                    break
                gift = await self._neighbours.ask(
                    member, account, self._member.holder, needed, ASK_FACTOR * needed
                )
                if gift is not None:
                    allowance.receive(gift.holder, gift.total)
        finally:
            self._asking.discard(account)
            self._tell()

    async def _hand_over_all(self) -> None:
        """Leave all tokens to another relay, as the store can't take them back.

        A relay that is restarted while the store is out of reach would otherwise
        lose what it holds: some seconds of its accounts' demand.
        """
        for member in self._neighbours.order(self._ledger.members, self._host):
            left = {
                name: allowance.position.available
                for name, allowance in self._allowances.items()
                if allowance.position.available > 0
            }
            if not left:
                return
            totals = {
                name: self._allowances[name].give(member.holder, tokens)
                for name, tokens in left.items()
            }
            if await self._neighbours.leave(member, self._member.holder, totals):
                return

    def _tell(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def _find_shortage(
        self, account: Account, tokens: int, now: float
    ) -> Shortage | None:
        return find_shortage(
            self._ledger.get_account(account.name),
            account.prepaid or 0,
            tokens,
            self._reachable,
            now - self._seen_at < RECENT_SECONDS,
        )

    async def _update(self) -> None:
        for _ in range(CONFLICTS):
            planned = self._plan()
            if planned is None or await self._write(planned):
                break
            if not self._reachable:
                break
            await anyio.sleep(random.random() * CONFLICT_SECONDS)
        self._tell()

    def _plan(self) -> Ledger | None:
        """Return the ledger as it should be, or ``None`` if it will do as it is."""
        configuration = self._read_configuration()
        if configuration is None:
            return None
        ledger = copy.deepcopy(self._ledger)
        changed = ledger.members.get(self._host) != self._member
        lost = register_member(ledger, self._host, self._member)
        if lost:
            log_event(Event.TOKENS_WRITTEN_OFF, tokens=lost, revision=self._revision)
        for account in (configuration.accounts or {}).values():
            if account.prepaid is not None:
                changed |= self._plan_account(ledger, account)
        return ledger if changed else None

    def _plan_account(self, ledger: Ledger, account: Account) -> bool:
        """Plan one account's entry; return whether that is worth a write."""
        prepaid = account.prepaid or 0
        entry = ledger.get_account(account.name)
        allowance = self._get(account.name)
        known = self._member.holder in entry.grants
        allowance.record(entry)
        budget = Budget(
            prepaid=prepaid,
            free=prepaid - entry.committed,
            held=entry.count_held(but=self._member.holder),
            relays=max(1, len(ledger.members)),
            starting=self._is_starting(),
        )
        # How many relays share isn't known before this one has entered itself.
        entered = self._ledger.members.get(self._host) == self._member
        change = 0
        if entered or allowance.demand.unmet:
            change = plan_change(
                budget, allowance.position, allowance.demand, time.monotonic()
            )
        if change:
            self._log_change(account.name, allowance, change, prepaid, entry.committed)
        grant = entry.grants[self._member.holder]
        entry.grants[self._member.holder] = attrs.evolve(
            grant, tokens=grant.tokens + change
        )
        return bool(change) or not known

    def _is_starting(self) -> bool:
        first = self._first_request_at
        return first is None or time.monotonic() - first < START_SECONDS

    def _log_change(
        self, account: str, held: Allowance, change: int, prepaid: int, committed: int
    ) -> None:
        log_event(
            Event.GRANT_PLANNED,
            account=account,
            change=change,
            available=held.position.available,
            rate=round(held.demand.estimate_rate(time.monotonic())),
            unmet=held.demand.unmet,
            prepaid=prepaid,
            free=prepaid - committed,
            revision=self._revision,
        )

    async def _write(self, planned: Ledger) -> bool:
        """Write the ledger if it hasn't changed; return whether that took effect.

        Tokens that the write gives back are out of use before it is sent, and those
        that it takes come into use only once it is known to have taken effect. So
        when its answer is lost, it doesn't matter whether it did, or will. The next
        write has the same condition: it takes effect, and the lost one can't any
        more, or it fails and brings the ledger as it is.
        """
        for name, allowance in self._allowances.items():
            allowance.prepare(planned.get_account(name))
        spec = encode_ledger(planned)
        if self._revision is None:
            outcome = await self._store.create(LEDGER_KIND, LEDGER_NAME, spec)
        else:
            outcome = await self._store.replace(
                LEDGER_KIND, LEDGER_NAME, spec, self._revision
            )
        self._note_reach(isinstance(outcome, (Written, Conflict, Missing)))
        match outcome:
            case Written(revision):
                self._take_over(planned, revision)
                return True
            case Conflict(stored):
                self._learn(stored)
            case Missing():
                self._revision = None
        return False

    def _learn(self, stored: StoredObject) -> None:
        try:
            ledger = decode_ledger(stored.spec)
        except ValueError as error:
            log_event(Event.LEDGER_UNREADABLE, error=str(error))
            return
        self._take_over(ledger, stored.revision)

    def _take_over(self, ledger: Ledger, revision: int) -> None:
        self._ledger = ledger
        self._revision = revision
        self._seen_at = time.monotonic()
        for name, allowance in self._allowances.items():
            allowance.learn(ledger.get_account(name))

    def _note_reach(self, reached: bool) -> None:
        if reached != self._reachable:
            event = Event.PLATFORM_BACK if reached else Event.PLATFORM_AWAY
            log_event(event, step="ledger")
        self._reachable = reached
