"""Fence rounds: bringing back what a holder that seems gone has left.

A lapsed lease proves nothing: a paused router comes back and spends. So nothing is
taken back by time. A router's reserve may only be spent by the neighbours that took
it, and after each of them has said, once and for ever, that it takes no more, what
wasn't taken is in nobody's hands, whether the router is dead, paused or cut off.
"""

from __future__ import annotations

from abc import ABC, abstractmethod

import anyio
import attrs

from .batches import Look, Post, Posted
from .budget_messages import Recovered
from .entries import Entry, NoteFence, Reclaim, Release
from .events import Event, log_event
from .holdings import Holdings
from .ledgers import FENCED, Ledger
from .models import Holder
from .neighbours import Neighbours, Received, Total
from .outcomes import Unavailable
from .registrations import Registry
from .shards import Shard


class Evidence(ABC):
    """Proof of what a holder that seems gone has used at most."""

    @abstractmethod
    async def prove(
        self, holder: Holder, budgets: tuple[str, ...]
    ) -> tuple[Total, ...] | Unavailable:
        """Make further use impossible, then return the use of the budgets proved.

        Called only after the holder's fence round. A budget that can't be proved is
        left out; `Unavailable` when it may be proved later.
        """


evidence_kinds = Registry(Evidence)
"""Kinds of evidence by name."""


@attrs.frozen
class Round:
    """What a fence round's answers came to.

    Attributes:
        answered: Routers that answered.
        received: What they took from the fenced holder.
        handed: What they handed over to it.
        silent: Routers that didn't answer.
    """

    answered: tuple[Holder, ...]
    received: tuple[Total, ...]
    handed: tuple[Total, ...]
    silent: tuple[Holder, ...]


async def ask_all(
    neighbours: Neighbours,
    me: Holder,
    mine: Received,
    fenced: Holder,
    registered: tuple[Holder, ...],
) -> Round:
    """Ask every registered holder to fence one, at once, and gather the answers."""
    answers: dict[Holder, Received | Unavailable] = {me: mine}

    async def ask(asked: Holder) -> None:
        answers[asked] = await neighbours.fence(asked, fenced)

    async with anyio.create_task_group() as group:
        for asked in registered:
            if asked not in (me, fenced):
                group.start_soon(ask, asked)
    received: list[Total] = []
    handed: list[Total] = []
    silent: list[Holder] = []
    for asked, answer in answers.items():
        if isinstance(answer, Unavailable):
            silent.append(asked)
            continue
        # Which router took the tokens is said by the one asked, not by its answer.
        received += [Total(asked, item.budget, item.tokens) for item in answer.received]
        handed += [Total(asked, item.budget, item.tokens) for item in answer.handed]
    answered = tuple(item for item in answers if item not in silent)
    return Round(answered, tuple(received), tuple(handed), tuple(silent))


def find_blocking(
    ledger: Ledger, fenced: Holder, silent: tuple[Holder, ...]
) -> tuple[Holder, ...]:
    """Return the silent routers that may have taken tokens nobody knows of.

    One whose own fence round has ended took nothing since: every router of the data
    centre, the one now fenced among them, said then what it had handed over to it,
    and hands over no more. The same holds when only these two have answered about
    each other: rounds of two routers that died together wait for each other, and
    without this every later round would wait for both. One that closed in order isn't
    registered any more; its totals are in the ledger.
    """
    own = ledger.holders.get(str(fenced))
    answered = own.answered if own is not None else ()
    blocking = []
    for holder in silent:
        record = ledger.holders.get(str(holder))
        if str(holder) in ledger.ended or str(holder) in answered:
            continue
        if record is not None:
            if record.state == FENCED or str(fenced) in record.answered:
                continue
        blocking.append(holder)
    return tuple(blocking)


def list_left(ledger: Ledger, holder: Holder) -> dict[str, int]:
    """Return what a holder has unspent of each budget, as recorded."""
    name = str(holder)
    return {
        budget: record.shares[name].unspent
        for budget, record in ledger.budgets.items()
        if name in record.shares
    }


class Recovery:
    """Runs fence rounds for one router.

    Args:
        holdings: The router's holdings.
        evidence: Kinds of evidence asked after a round.
    """

    def __init__(self, holdings: Holdings, evidence: tuple[Evidence, ...]) -> None:
        self.holdings = holdings
        self.neighbours = holdings.neighbours
        self.evidence = evidence

    async def run(self, holder: Holder) -> Recovered:
        """Mark a holder fenced, ask everybody, and return what nobody took."""
        registered = await self.neighbours.mark_fenced(holder)
        if isinstance(registered, Unavailable):
            return Recovered(0, 0, f"{registered.step}: {registered.detail}")
        mine = self.holdings.fence(holder)
        me = self.holdings.holder
        answers = await ask_all(self.neighbours, me, mine, holder, registered)
        tokens = stranded = 0
        waits_for: set[str] = set()
        for shard in self.holdings.shards:
            part = await self._recover_shard(shard, holder, answers)
            tokens += part.tokens
            stranded += part.stranded
            waits_for.update(filter(None, [part.waits_for]))
        recovered = Recovered(tokens, stranded, ", ".join(sorted(waits_for)))
        log_event(
            Event.HOLDER_RECOVERED,
            holder=str(holder),
            tokens=tokens,
            stranded=stranded,
            waits_for=recovered.waits_for,
        )
        return recovered

    async def _recover_shard(
        self, shard: Shard, holder: Holder, answers: Round
    ) -> Recovered:
        ledger = await shard.task.ask(Look())
        if isinstance(ledger, Unavailable):
            return Recovered(0, 0, "platform")
        before = _sum_left(ledger, holder)
        blocking = find_blocking(ledger, holder, answers.silent)
        if blocking:
            await self._note(shard, ledger, holder, answers)
            return Recovered(0, before, ", ".join(map(str, blocking)))
        if str(holder) in ledger.ended:
            return Recovered(0, 0)
        entry = Reclaim(holder, answers.received, answers.handed)
        ledger = await self._post(shard, entry)
        waits_for = ""
        for kind in self.evidence:
            budgets = tuple(list_left(ledger, holder))
            used = await kind.prove(holder, budgets) if budgets else ()
            if isinstance(used, Unavailable):
                waits_for = f"evidence: {used.detail}"
            elif used:
                entry = Release(holder, used, type(kind).__name__)
                ledger = await self._post(shard, entry)
        left = _sum_left(ledger, holder)
        return Recovered(max(0, before - left), left, waits_for)

    async def _note(
        self, shard: Shard, ledger: Ledger, holder: Holder, answers: Round
    ) -> None:
        record = ledger.holders.get(str(holder))
        known = record.answered if record is not None else ()
        if all(str(item) in known for item in answers.answered):
            return
        entry = NoteFence(holder, answers.answered, answers.received, answers.handed)
        await self._post(shard, entry)

    async def _post(self, shard: Shard, entry: Entry) -> Ledger:
        posted: Posted = await shard.task.ask(Post((entry,)))
        return posted.ledger


def _sum_left(ledger: Ledger, holder: Holder) -> int:
    return sum(list_left(ledger, holder).values())
