"""What the budgets need of the other routers of the same data centre."""

from __future__ import annotations

from abc import ABC, abstractmethod

import attrs

from .models import Holder
from .outcomes import Unavailable


@attrs.frozen
class Total:
    """A number that only rises: tokens moved between two holders.

    Attributes:
        holder: The other holder.
        budget: Name of the budget.
        tokens: All tokens so far.
    """

    holder: Holder
    budget: str
    tokens: int


@attrs.frozen
class Received:
    """What one router says when asked to fence a holder.

    Attributes:
        received: Totals that the router took from the fenced holder.
        handed: Totals that the router handed over to the fenced holder.
    """

    received: tuple[Total, ...] = ()
    handed: tuple[Total, ...] = ()


@attrs.frozen
class HandedOver:
    """Answer to a hand-over.

    Attributes:
        tokens: Tokens handed over; 0 when there is nothing.
        fenced: Whether the answering router knows itself to be fenced.
    """

    tokens: int
    fenced: bool = False


class Neighbours(ABC):
    """The other routers of this data centre, over whatever carries the messages."""

    @abstractmethod
    def list(self) -> tuple[Holder, ...]:
        """Return the holders of this data centre that are believed to be alive.

        Own holder excluded. The belief only decides whom to ask first.
        """

    @abstractmethod
    async def hand_over(
        self, holder: Holder, budget: str, tokens: int, transfer: str
    ) -> HandedOver | Unavailable:
        """Ask a holder for tokens of its reserve.

        The same transfer asked again gets the same answer. An answer that names
        another holder than the one asked (a later life) is `Unavailable`.
        """

    @abstractmethod
    async def fence(self, asked: Holder, fenced: Holder) -> Received | Unavailable:
        """Tell ``asked`` to trade nothing more with ``fenced``; return its totals."""

    @abstractmethod
    async def mark_fenced(self, holder: Holder) -> tuple[Holder, ...] | Unavailable:
        """Mark a holder fenced in the registry of its data centre.

        One conditional write. Returns the holders that the registry held at that
        very write, without the closed ones and without the fenced holder itself;
        a holder that registers later finds the mark at its registration.
        """

    @abstractmethod
    def fenced(self) -> frozenset[Holder]:
        """Return the holders known to be fenced: the registry's, and those told."""

    def is_over(self, holder: Holder) -> bool:
        """Return whether a holder is known to be fenced, closed or reclaimed.

        Nothing is traded with it any more. A router that registered after the fence
        round of a holder wasn't asked in it; it has to know by this.
        """
        return holder in self.fenced()
