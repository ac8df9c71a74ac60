"""Task that keeps this relay's share of prepaid tokens, and reserves out of it."""

from __future__ import annotations

import copy
import enum
import random
import time
from collections.abc import Callable

import anyio
import attrs

from ..events import Event, log_event
from ..tasks import Task
from .grants import Demand, Position, plan_grant
from .ledgers import (
    Grant,
    Ledger,
    decode_ledger,
    encode_ledger,
    name_holder,
    register_holder,
    release_holder,
)
from .models import Account, Configuration
from .stores import Conflict, Missing, Store, StoredObject, Written

LEDGER_KIND = "token-ledgers"
LEDGER_NAME = "all"

REFILL_SECONDS = 1.0
"""Pause between looks at what is held. With the refill mark a third below the target,
demand may treble before tokens run out between two looks."""

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


class Shortage(enum.Enum):
    """Why tokens can't be reserved."""

    SPENT = "the budget doesn't cover the request"
    HELD_ELSEWHERE = "what is left is held by other relays"
    OUT_OF_REACH = "the ledger can't be reached"


@attrs.define
class Allowance:
    """What this relay holds of one account."""

    granted: int = 0
    spent: int = 0
    reserved: int = 0
    demand: Demand = attrs.field(factory=Demand)

    @property
    def position(self) -> Position:
        """The present figures."""
        return Position(granted=self.granted, spent=self.spent, reserved=self.reserved)


@attrs.define
class Reservation:
    """Tokens set aside for one request; `settle` ends it, once."""

    allowance: Allowance | None
    tokens: int

    def settle(self, used: int) -> None:
        """Count what was used and free the rest."""
        if self.allowance is None:
            return
        self.allowance.reserved -= self.tokens
        self.allowance.spent += min(used, self.tokens)
        self.allowance = None


class Holdings(Task):
    """Keeps tokens at hand by conditional updates of the ledger.

    Args:
        store: The platform's store.
        host: Name of this host.
        life: Unique to this process.
        read_configuration: Returns the configuration in force, if one is known.
    """

    def __init__(
        self,
        store: Store,
        host: str,
        life: str,
        read_configuration: Callable[[], Configuration | None],
    ) -> None:
        super().__init__("holdings")
        self._store = store
        self._host = host
        self._holder = name_holder(host, life)
        self._read_configuration = read_configuration
        self._allowances: dict[str, Allowance] = {}
        self._ledger = Ledger()
        self._revision: int | None = None
        self._seen_at = float("-inf")
        self._reachable = False
        self._released = False
        self._wake = anyio.Event()
        self._changed = anyio.Event()

    @property
    def relays(self) -> int:
        """Number of relays that take part, as far as known."""
        return max(1, len(self._ledger.holders))

    async def run(self) -> None:
        last = 0.0
        while True:
            await self._update()
            last = time.monotonic()
            with anyio.move_on_after(REFILL_SECONDS):
                await self._wake.wait()
            self._wake = anyio.Event()
            pause = last + DEMAND_PAUSE_SECONDS - time.monotonic()
            await anyio.sleep(max(0.0, pause))

    async def reserve(self, account: Account, tokens: int) -> Reservation | Shortage:
        """Set tokens aside for a request, at its most.

        A request that finds too few waits for one refill, then is refused.
        """
        if account.prepaid is None:
            return Reservation(None, 0)
        if self._released:
            return Shortage.OUT_OF_REACH
        allowance = self._allowances.setdefault(account.name, Allowance())
        now = time.monotonic()
        allowance.demand.note_request(tokens, now)
        if allowance.position.available < tokens:
            shortage = self._find_shortage(account, tokens, now)
            if shortage is not None:
                return shortage
            await self._wait_for_tokens(allowance, tokens)
        if allowance.position.available < tokens:
            now = time.monotonic()
            return self._find_shortage(account, tokens, now) or Shortage.OUT_OF_REACH
        allowance.reserved += tokens
        return Reservation(allowance, tokens)

    async def release(self) -> None:
        """Give all tokens back; call when no request is under way any more."""
        spent = {name: a.spent for name, a in self._allowances.items()}
        for allowance in self._allowances.values():
            allowance.granted = 0
        self._released = True
        for _ in range(CONFLICTS):
            ledger = copy.deepcopy(self._ledger)
            release_holder(ledger, self._host, self._holder, spent)
            if await self._write(ledger):
                return

    def _find_shortage(
        self, account: Account, tokens: int, now: float
    ) -> Shortage | None:
        """Return why a request can't have tokens, or ``None`` if a look may help."""
        prepaid = account.prepaid or 0
        entry = self._ledger.get_account(account.name)
        if not self._reachable:
            return Shortage.OUT_OF_REACH
        if entry.surely_used + tokens > prepaid:
            return Shortage.SPENT
        recent = now - self._seen_at < RECENT_SECONDS
        if recent and prepaid - entry.committed < tokens:
            return Shortage.HELD_ELSEWHERE
        return None

    async def _wait_for_tokens(self, allowance: Allowance, tokens: int) -> None:
        allowance.demand.unmet += tokens
        try:
            with anyio.move_on_after(WAIT_SECONDS):
                while allowance.position.available < tokens:
                    self._wake.set()
                    await self._changed.wait()
                    if not self._reachable:
                        return
        finally:
            allowance.demand.unmet -= tokens

    async def _update(self) -> None:
        for _ in range(CONFLICTS):
            planned = self._plan()
            if planned is None or await self._write(planned):
                break
            if not self._reachable:
                break
            await anyio.sleep(random.random() * CONFLICT_SECONDS)
        self._changed.set()
        self._changed = anyio.Event()

    def _plan(self) -> Ledger | None:
        """Return the ledger as it should be, or ``None`` if it will do as it is."""
        configuration = self._read_configuration()
        if configuration is None:
            return None
        now = time.monotonic()
        ledger = copy.deepcopy(self._ledger)
        changed = ledger.holders.get(self._host) != self._holder
        register_holder(ledger, self._host, self._holder)
        for account in (configuration.accounts or {}).values():
            if account.prepaid is None:
                continue
            allowance = self._allowances.setdefault(account.name, Allowance())
            entry = ledger.get_account(account.name)
            grant = plan_grant(
                entry,
                self._holder,
                account.prepaid,
                allowance.position,
                allowance.demand,
                max(1, len(ledger.holders)),
                now,
            )
            if grant is not None:
                entry.grants[self._holder] = grant
                changed = True
        if not changed:
            return None
        self._report_spending(ledger)
        return ledger

    def _report_spending(self, ledger: Ledger) -> None:
        for name, allowance in self._allowances.items():
            grants = ledger.get_account(name).grants
            if self._holder in grants:
                tokens = grants[self._holder].tokens
                grants[self._holder] = Grant(tokens, allowance.spent)

    async def _write(self, planned: Ledger) -> bool:
        """Write the ledger if it hasn't changed; return whether that took effect.

        Tokens that the write gives back are out of use before it is sent, and those
        that it takes come into use only once it is known to have taken effect. So
        when its answer is lost, it doesn't matter whether it did, or will. The next
        write has the same condition: it takes effect, and the lost one can't any
        more, or it fails and brings the ledger as it is.
        """
        for name, allowance in self._allowances.items():
            grant = planned.get_account(name).grants.get(self._holder)
            if grant is not None:
                allowance.granted = min(allowance.granted, grant.tokens)
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
            entry = ledger.get_account(name)
            grant = entry.grants.get(self._holder, Grant(0, 0))
            allowance.granted = grant.tokens

    def _note_reach(self, reached: bool) -> None:
        if reached != self._reachable:
            event = Event.PLATFORM_BACK if reached else Event.PLATFORM_AWAY
            log_event(event, step="ledger")
        self._reachable = reached
