"""Task that keeps this relay's share of prepaid tokens, and reserves out of it."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc

from ..events import Event, log_event
from ..outcomes import Unknown
from ..tasks import Task
from .accounts import HeldAccount, Plan
from .allowances import Allowance
from .grants import START_SECONDS, plan_gift, plan_return, plan_wanted
from .ledgers import (
    AccountLedger,
    decode_account,
    encode_account,
    release_holder,
)
from .members import Member, Membership
from .models import Account, Configuration
from .neighbours import LEND_SECONDS, Neighbours, TokenLender, Trade, TradeAnswer
from .reservations import Reservation, Shortage, find_shortage
from .stores import (
    Conflict,
    Missing,
    Store,
    StoredObject,
    WriteOutcome,
    Written,
)

LEDGER_KIND = "token-ledgers"

REFILL_SECONDS = 1.0
"""Pause between looks at what is held, in which at most a tenth of it is spent."""

JITTER = (0.7, 1.3)
"""Bounds of what pauses are multiplied by, drawn each time. Relays start together; with
equal pauses the keepers of an account looked at the same moments ever after, and two in
five of their writes met another one's and were made again."""

AWAY_SECONDS = 0.5
"""Pause between tries while the store is away. What is held runs out then, and callers
are refused until the first try that gets through; a call that is lost costs nobody but
the store, which all relays call."""

WAIT_SECONDS = 0.5
"""How long a request waits for tokens: a hundred answers of the store, or two relays
that are asked. Who takes longer is away, and the caller is told when to come back."""

LOST_ANSWERS = 4
"""Answers lost in a row from which on the store counts as away. With a third of all
answers lost, that many in a row come once in eighty times; a store that resets every
connection was called eight times for each request that found too few tokens."""

CONFLICTS = 8
"""Attempts of one update. One relay of each data centre writes an account about once in
some seconds, so two meet rarely, and eight times in a row never unless the store
misbehaves."""

CONFLICT_SECONDS = 0.02
"""Longest pause after a conflict, drawn at random; some answers of the store."""

DRAWS = 3
"""Looks at the ledger for one request. The first may join a change that was planned
before the request came, and the second is beaten by others' writes at the worst."""

RECENT_SECONDS = 1.5
"""How old a view of the ledger may be to refuse by it without looking again."""


class Holdings(Task, TokenLender):
    """Keeps tokens at hand by conditional updates of the ledger, and by loans.

    One relay of each data centre draws on the ledger for an account and lends to the
    others there. A relay that finds no lender draws for itself.

    Args:
        store: The platform's store.
        neighbours: Calls to the other relays.
        membership: Which relays there are.
        read_configuration: Returns the configuration in force, if one is known.
    """

    def __init__(
        self,
        store: Store,
        neighbours: Neighbours,
        membership: Membership,
        read_configuration: Callable[[], Configuration | None],
    ) -> None:
        super().__init__("holdings")
        self._store = store
        self._neighbours = neighbours
        self._membership = membership
        self._read_configuration = read_configuration
        self._holder = membership.member.holder
        self._held: dict[str, HeldAccount] = {}
        self._away_until = float("-inf")
        self._failed = False
        self._lost = 0
        self._released = False
        self._first_request_at: float | None = None
        self._group: anyio.abc.TaskGroup | None = None
        self._running = anyio.Event()
        self._changed = anyio.Event()

    @property
    def _reachable(self) -> bool:
        """Whether the ledger may be called: no call has failed just now."""
        return time.monotonic() >= self._away_until

    async def run(self) -> None:
        async with anyio.create_task_group() as group:
            self._group = group
            self._running.set()
            while True:
                self._look(group)
                await anyio.sleep(draw_pause(self._failed, random))

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
        if self._first_request_at is None:
            self._first_request_at = time.monotonic()
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
        held = self._get(trade.account)
        allowance = held.allowance
        if self._released:
            return TradeAnswer(self._holder, 0, Shortage.OUT_OF_REACH)
        if trade.lender == self._holder:
            came = allowance.take_back(trade.holder, trade.returned, trade.spent)
            if came:
                allowance.demand.note_return(came, time.monotonic())
                self._tell()
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
            "revision": held.revision,
            "age": round(time.monotonic() - held.seen_at, 2),
        }

    async def release(self) -> None:
        """Give all tokens back; call when no request is under way any more."""
        self._released = True
        async with anyio.create_task_group() as group:
            for held in self._held.values():
                group.start_soon(self._release_account, held)

    def _get(self, account: str) -> HeldAccount:
        if account not in self._held:
            self._held[account] = HeldAccount(account, Allowance(self._holder))
        return self._held[account]

    def _find_account(self, name: str) -> Account | None:
        configuration = self._read_configuration()
        accounts = (configuration.accounts if configuration else None) or {}
        return accounts.get(name)

    def _look(self, group: anyio.abc.TaskGroup) -> None:
        """Begin what changes of the ledger and what returns of loans are due."""
        configuration = self._read_configuration()
        accounts = (configuration.accounts if configuration else None) or {}
        for account in accounts.values():
            if account.prepaid is None:
                continue
            if account.name in self._held or self._membership.keeps(account.name):
                group.start_soon(self._look_after, self._get(account.name))
        if not self._reachable:
            return
        for held in self._held.values():
            if self._plan(held) is None:
                continue
            self._refresh_soon(held)
            if self._failed:
                # One call tells whether the store is back.
                break

    async def _look_after(self, held: HeldAccount) -> None:
        await self._return_excess(held)
        await self._settle_doubts(held)

    async def _collect(
        self, account: Account, held: HeldAccount, tokens: int
    ) -> Shortage | None:
        """Reserve tokens as they come from the ledger or from other relays."""
        allowance = held.allowance
        shortage: Shortage | None = None
        if self._membership.keeps(account.name):
            shortage = await self._draw(held, account, tokens)
            if allowance.reserve(tokens):
                return None
            if shortage is Shortage.SPENT:
                return shortage
        found = await self._borrow(held, tokens)
        if allowance.reserve(tokens):
            return None
        if found is Shortage.SPENT:
            return found
        if shortage is None and found is not Shortage.HELD_ELSEWHERE:
            shortage = await self._draw(held, account, tokens)
            if allowance.reserve(tokens):
                return None
        return shortage or found or Shortage.OUT_OF_REACH

    async def _draw(
        self, held: HeldAccount, account: Account, tokens: int
    ) -> Shortage | None:
        """Have the ledger asked for tokens; return why it has none."""
        await self._running.wait()
        held.drawing += 1
        try:
            return await self._ask_ledger(held, account, tokens)
        finally:
            held.drawing -= 1

    async def _ask_ledger(
        self, held: HeldAccount, account: Account, tokens: int
    ) -> Shortage | None:
        for _ in range(DRAWS):
            shortage = self._find_shortage(held, account, tokens)
            if shortage is not None:
                return shortage
            self._refresh_soon(held)
            while held.refreshing:
                await self._changed.wait()
            if held.allowance.available >= tokens:
                return None
        return Shortage.HELD_ELSEWHERE

    async def _refill_for(self, held: HeldAccount, needed: int) -> Shortage | None:
        """Have the ledger asked for tokens that another relay needs."""
        account = self._find_account(held.name)
        if account is None:
            return Shortage.OUT_OF_REACH
        demand = held.allowance.demand
        demand.unmet += needed
        try:
            with anyio.move_on_after(LEND_SECONDS):
                return await self._draw(held, account, needed)
        finally:
            demand.unmet -= needed
        return Shortage.OUT_OF_REACH

    async def _borrow(self, held: HeldAccount, tokens: int) -> Shortage | None:
        """Ask other relays in turn until what waits here can be served."""
        while held.borrowing:
            await self._changed.wait()
            if held.allowance.available >= tokens:
                return None
        held.borrowing = True
        try:
            return await self._ask_lenders(held)
        finally:
            held.borrowing = False
            self._tell()

    async def _ask_lenders(self, held: HeldAccount) -> Shortage | None:
        allowance = held.allowance
        shortage: Shortage | None = None
        answered: set[str] = set()
        for member in self._membership.list_lenders(held.name):
            now = time.monotonic()
            needed = allowance.demand.unmet - allowance.available
            if needed <= 0:
                break
            # A second one of a data centre is there for when the first is silent; it
            # would draw on the ledger for what that has just found missing there.
            if member.data_centre in answered:
                continue
            if self._neighbours.is_avoided(member, now):
                continue
            answered.add(member.data_centre)
            known = self._neighbours.recall_shortage(member, held.name, now)
            if known is not None:
                shortage = known
                continue
            wanted = plan_wanted(needed, allowance.demand, now)
            answer = await self._trade(held, member, needed, wanted)
            if answer is None:
                answered.discard(member.data_centre)
            elif answer.shortage is not None:
                shortage = answer.shortage
                if shortage is Shortage.SPENT:
                    break
        return shortage

    async def _trade(
        self, held: HeldAccount, member: Member, needed: int = 0, wanted: int = 0
    ) -> TradeAnswer | None:
        """Ask one relay for tokens, and say what it was given back."""
        loan = held.allowance.borrowed.get(member.holder)
        trade = Trade(
            account=held.name,
            holder=self._holder,
            lender=member.holder,
            needed=needed,
            wanted=wanted,
            returned=loan.returned if loan else 0,
            spent=loan.spent if loan else 0,
        )
        answer = await self._neighbours.trade(member, trade)
        if answer is None:
            held.doubtful.add(member.host)
            return None
        held.doubtful.discard(member.host)
        held.allowance.borrow(answer.lender, answer.total)
        if answer.lender != member.holder:
            self._membership.note_life(member, answer.lender)
        elif loan is not None:
            loan.acknowledge(trade.returned, trade.spent)
        self._tell()
        return answer

    async def _return_excess(self, held: HeldAccount) -> None:
        """Give back what was borrowed and isn't needed, to who keeps the account."""
        allowance = held.allowance
        if held.borrowing or self._membership.keeps(held.name):
            return
        if self._holder in held.entry.grants:
            # It drew on the ledger itself, and gives back there.
            return
        now = time.monotonic()
        tokens = plan_return(allowance.available, allowance.demand, now)
        lenders = self._membership.list_lenders(held.name)
        lenders = [m for m in lenders if not self._neighbours.is_avoided(m, now)]
        if not tokens or not lenders:
            return
        await self._give_back(held, lenders[0], tokens)

    async def _give_back(
        self, held: HeldAccount, lender: Member, tokens: int
    ) -> TradeAnswer | None:
        held.allowance.give_back(lender.holder, tokens)
        log_event(
            Event.TOKENS_RETURNED,
            account=held.name,
            lender=lender.holder,
            tokens=tokens,
            left=held.allowance.available,
        )
        return await self._trade(held, lender)

    async def _settle_doubts(self, held: HeldAccount) -> None:
        """Say what a lender may not have heard, and ask what it has lent.

        A lender whose answer was lost has put tokens out of use for this relay, and
        one that didn't hear of a return still counts it as lent. Until it hears what
        was spent, callers of a spent budget are told to come back.
        """
        idle = held.allowance.demand.is_idle(time.monotonic())
        members = {m.holder: m for m in self._membership.list_others()}
        for holder, loan in list(held.allowance.borrowed.items()):
            unheard = loan.returned > loan.acknowledged
            member = members.get(holder)
            if member is None:
                if unheard:
                    lost = loan.returned - loan.acknowledged
                    log_event(Event.TOKENS_LOST, lender=holder, tokens=lost)
                    loan.acknowledged = loan.returned
                continue
            untold = idle and loan.spent > loan.reported
            if unheard or untold or member.host in held.doubtful:
                if not self._neighbours.is_avoided(member, time.monotonic()):
                    await self._trade(held, member)

    def _tell(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def _find_shortage(
        self, held: HeldAccount, account: Account, tokens: int
    ) -> Shortage | None:
        entry = held.entry.copy()
        held.allowance.record(entry)
        return find_shortage(
            entry,
            account.prepaid or 0,
            tokens,
            held.allowance.available,
            self._reachable,
            time.monotonic() - held.seen_at < RECENT_SECONDS,
        )

    def _refresh_soon(self, held: HeldAccount) -> None:
        if not held.refreshing and self._group is not None and not self._released:
            held.refreshing = True
            if self._failed:
                # One caller waits to see whether the store is back, and no others.
                self._away_until = time.monotonic() + AWAY_SECONDS
            self._group.start_soon(self._refresh, held)

    async def _refresh(self, held: HeldAccount) -> None:
        """Bring an account's grant to what it should be."""
        try:
            for _ in range(CONFLICTS):
                plan = self._plan(held)
                if plan is None:
                    break
                self._log_plan(held, plan)
                if await self._write(held, plan.entry):
                    self._log_write_off(held, plan)
                    break
                if not self._reachable:
                    break
                await anyio.sleep(random.random() * CONFLICT_SECONDS)
        finally:
            held.refreshing = False
            self._tell()

    def _plan(self, held: HeldAccount) -> Plan | None:
        account = self._find_account(held.name)
        if account is None or account.prepaid is None:
            return None
        return held.plan(
            account,
            self._membership.count_keepers(),
            self._membership.keeps(held.name),
            self._is_starting(),
            time.monotonic(),
            RECENT_SECONDS,
        )

    def _is_starting(self) -> bool:
        first = self._first_request_at
        return first is None or time.monotonic() - first < START_SECONDS

    def _log_plan(self, held: HeldAccount, plan: Plan) -> None:
        demand = held.allowance.demand
        log_event(
            Event.GRANT_PLANNED,
            account=held.name,
            change=plan.change,
            available=held.allowance.available,
            rate=round(demand.estimate_rate(time.monotonic())),
            unmet=demand.unmet,
            prepaid=plan.prepaid,
            free=plan.free,
            revision=held.revision,
        )

    def _log_write_off(self, held: HeldAccount, plan: Plan) -> None:
        if plan.lost:
            log_event(
                Event.TOKENS_WRITTEN_OFF,
                account=held.name,
                tokens=plan.lost,
                revision=held.revision,
            )

    async def _write(self, held: HeldAccount, planned: AccountLedger) -> bool:
        """Write a ledger if it hasn't changed; return whether that took effect.

        Tokens that the write gives back are out of use before it is sent, and those
        that it takes come into use only once it is known to have taken effect. So
        when its answer is lost, it doesn't matter whether it did, or will. The next
        write has the same condition: it takes effect, and the lost one can't any
        more, or it fails and brings the ledger as it is.
        """
        began_at = time.monotonic()
        held.allowance.prepare(planned)
        spec = encode_account(planned)
        if held.revision is None:
            outcome = await self._store.create(LEDGER_KIND, held.name, spec)
        else:
            outcome = await self._store.replace(
                LEDGER_KIND, held.name, spec, held.revision
            )
        self._note_reach(outcome, time.monotonic() - began_at)
        match outcome:
            case Written(revision):
                held.learn(planned, revision, time.monotonic())
                return True
            case Conflict(stored):
                self._learn(held, stored)
            case Missing():
                held.revision = None
        return False

    def _learn(self, held: HeldAccount, stored: StoredObject) -> None:
        try:
            entry = decode_account(stored.spec)
        except ValueError as error:
            log_event(Event.LEDGER_UNREADABLE, error=str(error), name=stored.name)
            return
        held.learn(entry, stored.revision, time.monotonic())

    async def _release_account(self, held: HeldAccount) -> None:
        """Give one account's tokens back, to the ledger or else to another relay."""
        for _ in range(CONFLICTS):
            if self._holder not in held.entry.grants:
                break
            # What an unanswered write of this loop gives back, the next one does.
            returned = max(0, held.allowance.available + held.allowance.withheld)
            planned = held.entry.copy()
            held.allowance.record(planned)
            release_holder(planned, self._holder, returned)
            if await self._write(held, planned):
                return
            if not self._reachable:
                break
        for member in self._membership.list_lenders(held.name):
            tokens = held.allowance.available
            if tokens <= 0:
                return
            if await self._give_back(held, member, tokens) is not None:
                return

    def _note_reach(self, outcome: WriteOutcome, seconds: float) -> None:
        """Take in whether the store answers.

        A write whose answer is lost at once is tried again at once. A store that says
        nothing for long, or resets one connection after the other, isn't there for
        callers, who needn't wait for it.
        """
        reached = isinstance(outcome, (Written, Conflict, Missing))
        self._lost = 0 if reached else self._lost + 1
        quick = isinstance(outcome, Unknown) and seconds < AWAY_SECONDS
        if quick and self._lost < LOST_ANSWERS:
            return
        if reached == self._failed:
            event = Event.PLATFORM_BACK if reached else Event.PLATFORM_AWAY
            log_event(event, step="ledger")
        self._failed = not reached
        self._away_until = float("-inf")
        if not reached:
            self._away_until = time.monotonic() + AWAY_SECONDS


def draw_pause(failed: bool, rng: Any) -> float:
    """Return the pause before the next look at what is held, seconds."""
    pause = AWAY_SECONDS if failed else REFILL_SECONDS
    return pause * rng.uniform(*JITTER)
