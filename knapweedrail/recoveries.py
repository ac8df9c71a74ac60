"""Fence rounds: bringing back what a holder that seems gone has left.

A lapsed lease proves nothing: a paused router comes back and spends. So nothing is
taken back by time. A router's reserve may only be spent by the neighbours that took
it, and after each of them has said, once and for ever, that it takes no more, what
wasn't taken is in nobody's hands, whether the router is dead, paused or cut off.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable

import anyio
import attrs

from .entries import Entry, Outcome, Reclaim, Release
from .ledgers import FENCED, Ledger
from .models import Holder
from .neighbours import Neighbours, Received, Total
from .outcomes import Unavailable
from .registrations import Registry


class Evidence(ABC):
    """Proof of what a holder that seems gone has used at most."""

    @abstractmethod
    async def prove(
        self, holder: Holder, budgets: tuple[str, ...]
    ) -> tuple[Total, ...]:
        """Make further use impossible, then return the use of the budgets proved.

        Called only after the holder's fence round. A budget that can't be proved is
        left out.
        """


evidence_kinds = Registry(Evidence)
"""Kinds of evidence by name."""


@attrs.frozen
class Round:
    """What a fence round's answers came to.

    Attributes:
        received: What the answering routers took from the fenced holder.
        handed: What they handed over to it.
        silent: Routers that didn't answer.
    """

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
    return Round(tuple(received), tuple(handed), tuple(silent))


def find_blocking(ledger: Ledger, silent: tuple[Holder, ...]) -> tuple[Holder, ...]:
    """Return the silent routers that may have taken tokens nobody knows of.

    One whose own fence round has ended took nothing since: every router of the data
    centre, the one now fenced among them, said then what it had handed over to it,
    and hands over no more. One that closed in order isn't registered any more; its
    totals are in the ledger.
    """
    blocking = []
    for holder in silent:
        record = ledger.holders.get(str(holder))
        if record is not None and record.state == FENCED:
            continue
        if str(holder) in ledger.ended:
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


PostOne = Callable[[int, Entry], Awaitable[tuple[Outcome, Ledger]]]
"""Posts one entry to a shard; returns its outcome and the ledger afterwards."""


async def release_proved(
    kinds: tuple[Evidence, ...],
    holder: Holder,
    shard: int,
    ledger: Ledger,
    post: PostOne,
) -> Ledger:
    """Ask each kind of evidence, and release what it proves."""
    for name, kind in zip(map(_name, kinds), kinds):
        budgets = tuple(list_left(ledger, holder))
        if not budgets:
            break
        used = await kind.prove(holder, budgets)
        if used:
            _, ledger = await post(shard, Release(holder, used, name))
    return ledger


def make_reclaim(holder: Holder, answers: Round) -> Reclaim:
    """Return the entry that ends a round."""
    return Reclaim(holder, answers.received, answers.handed)


def _name(kind: Evidence) -> str:
    return type(kind).__name__
