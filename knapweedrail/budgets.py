"""The task that reserves, settles, claims and hands over tokens for one router."""

from __future__ import annotations

import random
from collections.abc import Callable

import anyio
import attrs

from .allowances import Allowance
from .batches import Look, Post, Posted, ShardTask
from .budget_messages import (
    Cancel,
    Claim,
    ClaimMade,
    ClaimStands,
    Describe,
    Description,
    Drain,
    Drained,
    DropClaim,
    Fence,
    FinishClaim,
    HandOver,
    Holding,
    MakeClaim,
    Recover,
    Recovered,
    Reservation,
    Reserve,
    Settle,
)
from .entries import (
    CLOSED,
    FENCED,
    AddBill,
    AddClaim,
    BillStands,
    CloseHolder,
    Denied,
    EndClaim,
    Entry,
    Grant,
    Granted,
    OpenBudget,
    Outcome,
    RemoveClaim,
)
from .events import Event, log_event
from .grants import View, decide_return, find_fair_part, find_target
from .ledgers import Ledger, find_shard
from .models import Holder, Rules
from .neighbours import HandedOver, Neighbours, Received, Total
from .outcomes import Ran, Refusal, RefusalKind, Unavailable
from .platforms import Platform
from .recoveries import (
    Evidence,
    ask_all,
    find_blocking,
    list_left,
    make_reclaim,
    release_proved,
)
from .shards import PendingClaim, Shard, Work, ignore, list_budget_work
from .tasks import Envelope, Reply, Task
from .verdicts import (
    AWAY_RETRY_SECONDS,
    RECALL_RETRY_SECONDS,
    Standing,
    decide_refusal,
    find_standing,
    refuse_out_of_reach,
)

TICK_SECONDS = 0.02
"""How late a due flush, look or refusal may be noticed."""

SLOW_SECONDS = 0.25
"""A platform's answer later than this makes waiting requests ask neighbours too."""

LOOK_SECONDS = 0.1
"""Least time between looks for waiting requests, so that a spent budget that is asked
for again and again costs ten reads a second and not one for each request."""

AWAY_LOOK_SECONDS = 0.5
"""Time between looks while the platform is away: how late its return is noticed."""

TIGHT_POLL_SECONDS = 0.25
"""Time between looks at a shard where a budget that this router holds has nearly
nothing available: there another's requests may be waiting for these tokens."""

PATIENCE_SECONDS = 0.2
"""Wait for one neighbour's answer before the next is asked as well. A frozen
neighbour would otherwise hold up all requests of the data centre."""

EXHAUSTED_SECONDS = 0.25
"""After all neighbours had nothing they aren't asked again for this long."""


@attrs.define(eq=False)
class Waiter:
    """A request that waits for tokens.

    Attributes:
        message: What it asked for.
        reply: Where the answer goes.
        deadline: When it is refused at the latest.
        after: Number of the view begun last when it came; later ones are fresh.
    """

    message: Reserve
    reply: Reply
    deadline: float
    after: int


class BudgetTask(Task):
    """Tokens of all budgets in the hands of one router.

    Args:
        holder: This router in its present life.
        data_centre: Where it stands.
        platform: Client of the platform.
        neighbours: The other routers of the data centre.
        rules_source: Returns the rules in force.
        opening_tokens_source: Returns a budget's opening tokens, or ``None`` when the
            configuration in force doesn't have it.
        shards: Number of ledger shards; the same in every router, for ever.
        flush_seconds: Time between two writes that carry bills and totals. A router
            that dies loses the bills of this time at most.
        poll_seconds: Time between two looks at a shard in which this router holds
            tokens.
        claim_seconds: Longest wait for a claim.
        evidence: Kinds of evidence asked about holders that are gone.
        now: Returns seconds of a clock that only rises.
        seed: Seed of the jitter.
        report_fenced: Called once when this holder finds itself fenced. The router
            then needs a new incarnation and a new task.
    """

    def __init__(
        self,
        holder: Holder,
        data_centre: str,
        platform: Platform,
        neighbours: Neighbours,
        rules_source: Callable[[], Rules],
        opening_tokens_source: Callable[[str], int | None],
        *,
        shards: int = 1,
        flush_seconds: float = 2.0,
        poll_seconds: float = 1.0,
        claim_seconds: float = 2.0,
        evidence: tuple[Evidence, ...] = (),
        now: Callable[[], float] = anyio.current_time,
        seed: int | None = None,
        report_fenced: Callable[[], None] = lambda: None,
    ) -> None:
        super().__init__("budgets")
        self.holder = holder
        self.data_centre = data_centre
        self.platform = platform
        self.neighbours = neighbours
        self.rules_source = rules_source
        self.opening_tokens_source = opening_tokens_source
        self.flush_seconds = flush_seconds
        self.poll_seconds = poll_seconds
        self.claim_seconds = claim_seconds
        self.evidence = evidence
        self.now = now
        self.rng = random.Random(seed)
        self.report_fenced = report_fenced
        self.fenced = False
        self._draining = False
        self._allowances: dict[str, Allowance] = {}
        self._waiters: dict[str, list[Waiter]] = {}
        self._numbers = 0
        self._fenced_holders: set[Holder] = set()
        self._asking: set[str] = set()
        self._calling: set[tuple[Holder, str]] = set()
        self._exhausted_until: dict[str, float] = {}
        self._shards = [self._make_shard(number) for number in range(shards)]
        self._group: anyio.abc.TaskGroup | None = None
        self._handlers = {
            Reserve: self._reserve,
            Settle: self._settle,
            Cancel: self._cancel,
            MakeClaim: self._make_claim,
            FinishClaim: self._finish_claim,
            DropClaim: self._drop_claim,
            HandOver: self._hand_over,
            Fence: self._fence,
            Recover: self._recover,
            Drain: self._drain,
            Describe: self._describe,
        }

    async def run(self) -> None:
        async with anyio.create_task_group() as group:
            self._group = group
            for shard in self._shards:
                await shard.task.start(group)
            group.start_soon(self._tick)
            async for envelope in self._receive:
                self._handle(envelope)

    def _handle(self, envelope: Envelope) -> None:
        handler = self._handlers[type(envelope.message)]
        handler(envelope.message, envelope.reply)

    # Reservations

    def _reserve(self, message: Reserve, reply: Reply) -> None:
        now = self.now()
        if self.fenced or self._draining:
            reply.set(self._refuse_stopping())
            return
        allowance = self._get_allowance(message.budget)
        allowance.demand.note_reservation(message.tokens, now)
        shard = self._find(message.budget)
        deadline = now + message.wait_seconds
        waiter = Waiter(message, reply, deadline, shard.started)
        if self._give(waiter):
            self._ask_ahead(message.budget, now)
            return
        self._waiters.setdefault(message.budget, []).append(waiter)
        if shard.away:
            self._turn_to_neighbours(message.budget, now)
            return
        standing = self._find_standing(message.budget)
        known_short = standing is not None and standing.left < message.tokens
        if known_short:
            shard.look_wanted = True
        else:
            shard.urgent = True
        self._pump(shard, now)

    def _give(self, waiter: Waiter) -> bool:
        message = waiter.message
        allowance = self._get_allowance(message.budget)
        if not allowance.set_aside(self._numbers + 1, message.tokens):
            return False
        self._numbers += 1
        waiter.reply.set(Reservation(self._numbers, message.budget, message.tokens))
        return True

    def _serve(self, budget: str) -> None:
        """Give waiting requests what is free, in the order in which they came.

        A large request at the front doesn't hold up small ones behind it: on a budget
        that runs low they would all be refused with it.
        """
        waiting = self._waiters.get(budget, [])
        left = [waiter for waiter in waiting if not self._give(waiter)]
        self._set_waiters(budget, left)

    def _set_waiters(self, budget: str, waiters: list[Waiter]) -> None:
        if waiters:
            self._waiters[budget] = waiters
        else:
            self._waiters.pop(budget, None)

    def _settle(self, message: Settle, reply: Reply) -> None:
        reply.set(None)
        reservation = message.reservation
        allowance = self._get_allowance(reservation.budget)
        used = message.used_tokens
        if not allowance.settle(reservation.id, used, self.now()):
            return
        if used > reservation.tokens:
            log_event(
                Event.RESERVATION_EXCEEDED,
                budget=reservation.budget,
                reserved=reservation.tokens,
                used=used,
            )
        if message.bill is not None:
            bill_shard = self._find(message.bill.budget)
            bill_shard.bills.append(AddBill(message.bill))
        self._mark(reservation.budget)
        self._serve(reservation.budget)

    def _cancel(self, message: Cancel, reply: Reply) -> None:
        self._settle(Settle(message.reservation, 0), reply)

    def _mark(self, budget: str) -> None:
        shard = self._find(budget)
        if not shard.has_work:
            shard.next_flush = self.now() + self.flush_seconds
        shard.dirty.add(budget)

    def _find_waiting(self, budget: str) -> int:
        waiters = self._waiters.get(budget, ())
        return sum(waiter.message.tokens for waiter in waiters)

    def _refuse_waiters(
        self, budget: str, decide: Callable[[Waiter], Refusal | None]
    ) -> None:
        left = []
        for waiter in self._waiters.get(budget, []):
            refusal = decide(waiter)
            if refusal is None:
                left.append(waiter)
            else:
                waiter.reply.set(refusal)
        self._set_waiters(budget, left)

    def _refuse_stopping(self) -> Refusal:
        detail = (
            "this router is stopping" if self._draining else "this router is fenced"
        )
        return Refusal(
            "budget.reserve",
            str(self.holder),
            detail,
            RefusalKind.STOPPING,
            Ran.NOT_RUN,
            1.0,
        )

    # Claims

    def _make_claim(self, message: MakeClaim, reply: Reply) -> None:
        shard = self._find(message.account)
        if shard.away or self.fenced or self._draining:
            reply.set(self._refuse_claim("the platform doesn't answer"))
            return
        claim = Claim(
            message.account,
            message.identity,
            str(self.holder),
            message.fingerprint,
            message.route,
        )
        deadline = self.now() + self.claim_seconds
        shard.claims.append(PendingClaim(AddClaim(claim), reply, deadline))
        self._pump(shard, self.now())

    def _refuse_claim(self, detail: str) -> Refusal:
        return Refusal(
            "budget.claim",
            "platform",
            detail,
            RefusalKind.NO_CLAIM,
            Ran.NOT_RUN,
            AWAY_RETRY_SECONDS,
        )

    def _refuse_claims(self, shard: Shard, is_due: Callable[[PendingClaim], bool]):
        """Refuse claims at once whose write is in doubt; their requests never leave.

        The write may take effect all the same. The claim would then stand for a
        request that never ran, and a retry be told that it may have; so such a claim
        is removed as soon as it is seen to stand.
        """
        for pending in [*shard.claims, *shard.claims_sent]:
            if not pending.abandoned and is_due(pending):
                pending.abandoned = True
                pending.reply.set(self._refuse_claim("no answer from the platform"))
        shard.claims = type(shard.claims)(
            pending for pending in shard.claims if not pending.abandoned
        )

    def _handle_claim(self, shard: Shard, pending: PendingClaim, outcome: Outcome):
        if not pending.abandoned:
            if isinstance(outcome, ClaimMade | ClaimStands):
                pending.reply.set(outcome)
            else:
                pending.reply.set(self._refuse_claim(f"refused: {outcome}"))
            return
        if isinstance(outcome, ClaimMade):
            claim = pending.entry.claim
            shard.ends.append(RemoveClaim(claim.account, claim.identity))

    def _finish_claim(self, message: FinishClaim, reply: Reply) -> None:
        claim = Claim(
            message.account,
            message.identity,
            str(self.holder),
            "",
            "",
            message.state,
            message.status,
            message.content_type,
            message.body,
        )
        self._end_claim(message.account, EndClaim(claim), reply)

    def _drop_claim(self, message: DropClaim, reply: Reply) -> None:
        entry = RemoveClaim(message.account, message.identity)
        self._end_claim(message.account, entry, reply)

    def _end_claim(
        self, account: str, entry: EndClaim | RemoveClaim, reply: Reply
    ) -> None:
        shard = self._find(account)
        if not shard.has_work:
            shard.next_flush = self.now() + self.flush_seconds
        shard.ends.append(entry)
        reply.set(None)

    # Neighbours

    def _hand_over(self, message: HandOver, reply: Reply) -> None:
        if self.fenced:
            reply.set(HandedOver(0, fenced=True))
            return
        if message.sender in self._fenced_holders:
            reply.set(HandedOver(0))
            return
        allowance = self._get_allowance(message.budget)
        answer = allowance.hand_over(
            message.sender, message.tokens, int(message.transfer)
        )
        if answer.tokens:
            self._mark(message.budget)
        reply.set(answer)

    def _fence(self, message: Fence, reply: Reply) -> None:
        reply.set(self._fence_here(message.holder))

    def _fence_here(self, holder: Holder) -> Received:
        self._fenced_holders.add(holder)
        received = []
        handed = []
        for budget, allowance in self._allowances.items():
            allowance.forget(holder)
            if holder in allowance.received:
                tokens = allowance.received[holder]
                received.append(Total(holder, budget, tokens))
            if holder in allowance.handed:
                tokens = allowance.handed[holder]
                handed.append(Total(holder, budget, tokens))
        return Received(tuple(received), tuple(handed))

    def _turn_to_neighbours(self, budget: str, now: float) -> None:
        """Ask neighbours for what waits; refuse at once when they have nothing."""
        if budget in self._asking:
            return
        if now < self._exhausted_until.get(budget, -1e9):
            self._refuse_unreachable(budget)
            return
        self._asking.add(budget)
        self._group.start_soon(self._ask_neighbours, budget)

    def _ask_ahead(self, budget: str, now: float) -> None:
        """With the platform away, ask neighbours before requests have to wait."""
        if not self._find(budget).away:
            return
        if self._get_allowance(budget).free < self._find_target(budget).allowance / 2:
            if now >= self._exhausted_until.get(budget, -1e9):
                self._turn_to_neighbours(budget, now)

    async def _ask_neighbours(self, budget: str) -> None:
        try:
            holders = list(self.neighbours.list())
            self.rng.shuffle(holders)
            for holder in holders:
                tokens = self._find_shortage(budget)
                if tokens <= 0:
                    break
                await self._ask_patiently(holder, budget, tokens)
        finally:
            self._asking.discard(budget)
        self._serve(budget)
        if self._find_shortage(budget) > 0:
            self._exhausted_until[budget] = self.now() + EXHAUSTED_SECONDS
        if self._find(budget).away:
            self._refuse_unreachable(budget)

    async def _ask_patiently(self, holder: Holder, budget: str, tokens: int) -> None:
        key = (holder, budget)
        if key in self._calling or holder in self._fenced_holders:
            return
        self._calling.add(key)
        answered = anyio.Event()
        self._group.start_soon(self._ask_one, holder, budget, tokens, answered)
        with anyio.move_on_after(PATIENCE_SECONDS):
            await answered.wait()

    async def _ask_one(
        self, holder: Holder, budget: str, tokens: int, answered: anyio.Event
    ) -> None:
        allowance = self._get_allowance(budget)
        transfer = allowance.ask(holder, tokens)
        try:
            answer = await self.neighbours.hand_over(
                holder, budget, transfer.tokens, str(transfer.number)
            )
        finally:
            self._calling.discard((holder, budget))
            answered.set()
        if isinstance(answer, Unavailable) or holder in self._fenced_holders:
            return
        if self._draining:
            # Too late to report it; a fence round will find it untaken.
            return
        if allowance.receive(transfer, answer.tokens) and answer.tokens:
            self._mark(budget)
            self._serve(budget)

    def _find_shortage(self, budget: str) -> int:
        needed = max(self._find_waiting(budget), self._find_target(budget).allowance)
        return needed - self._get_allowance(budget).free

    def _refuse_unreachable(self, budget: str) -> None:
        detail = (
            f"budget {budget}: nothing left within reach of data centre "
            f"{self.data_centre} while the platform doesn't answer"
        )
        refusal = refuse_out_of_reach(detail, "platform", AWAY_RETRY_SECONDS)
        self._refuse_waiters(budget, lambda waiter: refusal)

    # Writing and looking

    def _pump(self, shard: Shard, now: float) -> None:
        """Post what is due, or look when a request waits for a fresh view."""
        if shard.is_due(now):
            self._begin_view(shard, now)
            shard.posting = True
            self._group.start_soon(self._post, shard, self._compose(shard, now))
            return
        if shard.view_began is None and self._is_look_due(shard, now):
            self._begin_view(shard, now)
            self._group.start_soon(self._look, shard)

    def _begin_view(self, shard: Shard, now: float) -> None:
        shard.started += 1
        shard.view_began = now
        shard.next_look = now + LOOK_SECONDS

    def _is_look_due(self, shard: Shard, now: float) -> bool:
        if now < shard.next_look:
            return False
        if shard.look_wanted or shard.away:
            return shard.look_wanted or bool(self._allowances)
        held = [
            allowance
            for allowance in self._allowances.values()
            if self._find(allowance.budget) is shard
            and allowance.free + allowance.reserve > 0
        ]
        if not held:
            return False
        tight = any(self._is_tight(allowance) for allowance in held)
        poll = (
            min(self.poll_seconds, TIGHT_POLL_SECONDS) if tight else self.poll_seconds
        )
        return now >= shard.seen_at + poll

    def _is_tight(self, allowance: Allowance) -> bool:
        standing = self._find_standing(allowance.budget)
        if standing is None:
            return False
        return standing.available < 4 * allowance.demand.largest(self.now())

    def _compose(self, shard: Shard, now: float) -> list[Work]:
        """Gather one batch: totals and grants, bills, claims and their outcomes."""
        shard.urgent = False
        shard.next_flush = now + self.flush_seconds
        waiting = {name for name in self._waiters if self._find(name) is shard}
        work: list[Work] = []
        for budget in sorted(shard.dirty | waiting):
            work += self._compose_budget(shard, budget, now)
        shard.dirty.clear()
        for bill in shard.take_bills():
            work.append(
                Work(bill, lambda outcome, b=bill: self._handle_bill(b, outcome))
            )
        for pending in shard.take_claims():
            work.append(
                Work(
                    pending.entry,
                    lambda outcome, p=pending: self._handle_claim(shard, p, outcome),
                )
            )
        work += [Work(end, ignore) for end in shard.take_ends()]
        return work

    def _compose_budget(self, shard: Shard, budget: str, now: float) -> list[Work]:
        allowance = self._get_allowance(budget)
        opening = None
        if shard.needs_opening(budget):
            tokens = self.opening_tokens_source(budget)
            opening = None if tokens is None else OpenBudget(budget, tokens)
        grant = self._make_grant(budget, now)
        return list_budget_work(
            opening,
            allowance.report(),
            grant,
            ignore,
            lambda outcome: self._handle_grant(budget, outcome),
        )

    def _make_grant(self, budget: str, now: float) -> Grant | None:
        if self.fenced or self._draining:
            return None
        allowance = self._get_allowance(budget)
        least = max(0, self._find_waiting(budget) - allowance.free)
        # Own reserve can't be spent, but it can go back and come again as allowance
        # within one write.
        allowance.give_back(0, min(least, allowance.reserve))
        target = self._find_target(budget)
        wanted = max(least, target.allowance - allowance.free)
        reserve = max(0, target.reserve - allowance.reserve)
        standing = self._find_standing(budget)
        if standing is not None and standing.wants and not least:
            # Others' requests wait: nothing is taken ahead of need.
            wanted = reserve = 0
        if wanted <= 0 and reserve <= 0 and not (standing and standing.want):
            return None
        demand = int(allowance.demand.estimate(now))
        return Grant(budget, max(0, wanted), reserve, least, demand)

    async def _post(self, shard: Shard, work: list[Work]) -> None:
        entries = tuple(item.entry for item in work)
        posted: Posted = await shard.task.ask(Post(entries))
        shard.posting = False
        shard.claims_sent = []
        for item, outcome in zip(work, posted.outcomes):
            if isinstance(outcome, Denied) and outcome.reason in (FENCED, CLOSED):
                self._note_fenced(outcome.reason)
            item.handle(outcome)
        self._end_view(shard, posted.ledger)

    async def _look(self, shard: Shard) -> None:
        shard.look_wanted = False
        ledger = await shard.task.ask(Look())
        if isinstance(ledger, Unavailable):
            shard.view_began = None
            shard.next_look = self.now() + AWAY_LOOK_SECONDS
            return
        self._end_view(shard, ledger)

    def _end_view(self, shard: Shard, ledger: Ledger) -> None:
        now = self.now()
        shard.view_began = None
        shard.viewed = shard.started
        shard.ledger = ledger
        shard.seen_at = now
        for budget in self._allowances:
            if self._find(budget) is shard:
                self._serve(budget)
                self._judge(shard, budget, now)
                self._give_back(shard, budget)
        self._pump(shard, now)

    def _judge(self, shard: Shard, budget: str, now: float) -> None:
        """Refuse what a fresh view lets refuse; seek tokens for the rest."""
        if budget not in self._waiters:
            return
        standing = self._find_standing(budget)

        def decide(waiter: Waiter) -> Refusal | None:
            if shard.viewed <= waiter.after:
                return None
            tokens = waiter.message.tokens
            return decide_refusal(standing, budget, tokens, "platform")

        self._refuse_waiters(budget, decide)
        if budget not in self._waiters:
            return
        least = self._find_waiting(budget) - self._get_allowance(budget).free
        if standing is None or standing.available > 0 or least > standing.want:
            shard.urgent = True
        else:
            shard.look_wanted = True
        if now >= self._exhausted_until.get(budget, -1e9):
            self._turn_to_neighbours(budget, now)

    def _give_back(self, shard: Shard, budget: str) -> None:
        standing = self._find_standing(budget)
        if standing is None or self.fenced:
            return
        allowance = self._get_allowance(budget)
        demand = allowance.demand.estimate(self.now())
        view = View(
            free=allowance.free,
            reserve=allowance.reserve,
            target=self._find_target(budget),
            waiting=self._find_waiting(budget),
            fair_part=find_fair_part(standing.left, demand, standing.total_demand),
            available=standing.available,
            wants=standing.wants,
            first=standing.first,
        )
        back = decide_return(view)
        if allowance.give_back(back.allowance, back.reserve):
            shard.dirty.add(budget)
            shard.urgent = True

    def _handle_grant(self, budget: str, outcome: Outcome) -> None:
        if isinstance(outcome, Granted):
            allowance = self._get_allowance(budget)
            allowance.credit(outcome.allowance, outcome.reserve)

    def _handle_bill(self, entry: AddBill, outcome: Outcome) -> None:
        if isinstance(outcome, BillStands):
            bill = entry.bill
            log_event(
                Event.BILL_STANDS,
                account=bill.account,
                identity=bill.identity,
                tokens=bill.tokens,
            )

    def _note_fenced(self, reason: str) -> None:
        if self.fenced:
            return
        self.fenced = True
        log_event(Event.HOLDER_FENCED, holder=str(self.holder), reason=reason)
        refusal = self._refuse_stopping()
        for budget in list(self._waiters):
            self._refuse_waiters(budget, lambda waiter: refusal)
        self.report_fenced()

    # Time

    async def _tick(self) -> None:
        while True:
            await anyio.sleep(TICK_SECONDS)
            now = self.now()
            for budget in list(self._waiters):
                self._check_waiters(budget, now)
            for shard in self._shards:
                self._refuse_claims(shard, lambda pending: now >= pending.deadline)
                self._pump(shard, now)

    def _check_waiters(self, budget: str, now: float) -> None:
        detail = (
            f"budget {budget}: its tokens are held elsewhere and didn't come in time"
        )
        refusal = refuse_out_of_reach(detail, "platform", RECALL_RETRY_SECONDS)
        self._refuse_waiters(
            budget, lambda waiter: refusal if now >= waiter.deadline else None
        )
        shard = self._find(budget)
        is_slow = shard.view_began is not None
        is_slow = is_slow and now - shard.view_began > SLOW_SECONDS
        if budget in self._waiters and (is_slow or shard.away):
            if now >= self._exhausted_until.get(budget, -1e9):
                self._turn_to_neighbours(budget, now)

    def _note_away(self, shard: Shard, away: bool) -> None:
        shard.away = away
        if not away:
            return
        self._refuse_claims(shard, lambda pending: True)
        for budget in list(self._waiters):
            if self._find(budget) is shard:
                self._turn_to_neighbours(budget, self.now())

    # Recovery and end

    def _recover(self, message: Recover, reply: Reply) -> None:
        self._group.start_soon(self._run_recovery, message.holder, reply)

    async def _run_recovery(self, holder: Holder, reply: Reply) -> None:
        registered = await self.neighbours.mark_fenced(holder)
        if isinstance(registered, Unavailable):
            reply.set(Recovered(0, 0, f"{registered.step}: {registered.detail}"))
            return
        mine = self._fence_here(holder)
        answers = await ask_all(self.neighbours, self.holder, mine, holder, registered)
        tokens = stranded = 0
        waits_for: set[Holder] = set()
        for number, shard in enumerate(self._shards):
            ledger = await shard.task.ask(Look())
            if isinstance(ledger, Unavailable):
                reply.set(Recovered(tokens, stranded, "platform"))
                return
            before = sum(list_left(ledger, holder).values())
            blocking = find_blocking(ledger, answers.silent)
            if blocking:
                waits_for.update(blocking)
            else:
                entry = make_reclaim(holder, answers)
                _, ledger = await self._post_one(number, entry)
                ledger = await release_proved(
                    self.evidence, holder, number, ledger, self._post_one
                )
            left = sum(list_left(ledger, holder).values())
            tokens += max(0, before - left)
            stranded += left
        recovered = Recovered(tokens, stranded, ", ".join(map(str, waits_for)))
        log_event(
            Event.HOLDER_RECOVERED,
            holder=str(holder),
            tokens=tokens,
            stranded=stranded,
            waits_for=recovered.waits_for,
        )
        reply.set(recovered)

    async def _post_one(self, number: int, entry: Entry) -> tuple[Outcome, Ledger]:
        posted: Posted = await self._shards[number].task.ask(Post((entry,)))
        return posted.outcomes[0], posted.ledger

    def _drain(self, message: Drain, reply: Reply) -> None:
        self._draining = True
        refusal = self._refuse_stopping()
        for budget in list(self._waiters):
            self._refuse_waiters(budget, lambda waiter: refusal)
        self._group.start_soon(self._run_drain, message.seconds, reply)

    async def _run_drain(self, seconds: float, reply: Reply) -> None:
        with anyio.move_on_after(seconds):
            while any(item.reserved for item in self._allowances.values()):
                self._return_all()
                await anyio.sleep(TICK_SECONDS)
            while self._is_unfinished():
                for shard in self._shards:
                    shard.urgent = shard.has_work
                await anyio.sleep(TICK_SECONDS)
            for number, shard in enumerate(self._shards):
                if shard.ledger is not None:
                    await self._post_one(number, CloseHolder())
            reply.set(Drained())
            return
        reply.set(self._count_left())

    def _is_unfinished(self) -> bool:
        # First, as a grant that was under way may have come meanwhile.
        self._return_all()
        return any(shard.has_work or shard.posting for shard in self._shards)

    def _return_all(self) -> None:
        for budget, allowance in self._allowances.items():
            if allowance.give_back(
                allowance.free, 0 if self.fenced else allowance.reserve
            ):
                shard = self._find(budget)
                shard.dirty.add(budget)
                shard.urgent = True

    def _count_left(self) -> Drained:
        tokens = 0
        for allowance in self._allowances.values():
            tokens += allowance.reserved + max(0, allowance.free)
        bills = sum(len(shard.bills) for shard in self._shards)
        claims = sum(len(shard.ends) for shard in self._shards)
        return Drained(tokens, bills, claims)

    # Small help

    def _describe(self, message: Describe, reply: Reply) -> None:
        now = self.now()
        holdings = tuple(
            Holding(
                budget,
                allowance.free,
                allowance.reserved,
                allowance.reserve,
                allowance.spent,
                allowance.demand.estimate(now),
                len(self._waiters.get(budget, ())),
            )
            for budget, allowance in sorted(self._allowances.items())
        )
        away = any(shard.away for shard in self._shards)
        bills = sum(len(shard.bills) for shard in self._shards)
        reply.set(Description(self.holder, self.fenced, away, holdings, bills))

    def _get_allowance(self, budget: str) -> Allowance:
        if budget not in self._allowances:
            self._allowances[budget] = Allowance(budget, self.now())
        return self._allowances[budget]

    def _find(self, name: str) -> Shard:
        return self._shards[find_shard(name, len(self._shards))]

    def _find_target(self, budget: str):
        rules = self.rules_source()
        now = self.now()
        demand = self._get_allowance(budget).demand
        return find_target(
            demand.estimate(now),
            demand.largest(now),
            len(self.neighbours.list()),
            rules.allowance_seconds,
            rules.cover_seconds,
        )

    def _find_standing(self, budget: str) -> Standing | None:
        ledger = self._find(budget).ledger
        if ledger is None:
            return None
        allowance = self._get_allowance(budget)
        own = allowance.free + allowance.reserved + allowance.reserve
        return find_standing(ledger, budget, self.holder, own, allowance.spent)

    def _make_shard(self, number: int) -> Shard:
        def report_away(away: bool) -> None:
            self._note_away(shard, away)

        task = ShardTask(
            number,
            self.holder,
            self.data_centre,
            self.platform,
            random.Random(self.rng.random()),
            report_away,
        )
        shard = Shard(task)
        return shard
