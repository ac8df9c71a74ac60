"""What spares a follower of the store its own calls, and what it gives in return."""

from __future__ import annotations

from abc import ABC, abstractmethod

from .replicas import News, Replica
from .signals import Signal


class Supply(ABC):
    """What may spare a follower its own calls to the store."""

    changed: Signal
    """Given whenever the answer of `measure_rest` may be another one."""

    @abstractmethod
    def measure_rest(self, kind: str, limit: float) -> float:
        """Return for how long a follower needn't call the store, seconds.

        Args:
            limit: Age up to which what is known of the kind counts, seconds.
        """

    @abstractmethod
    def note_change(self) -> None:
        """Take in that more is known of the store than before."""

    @abstractmethod
    def note_back(self) -> None:
        """Take in that the store answers again after an outage."""


class NoSupply(Supply):
    """Spares nothing: for a relay by itself."""

    def __init__(self) -> None:
        self.changed = Signal()

    def measure_rest(self, kind: str, limit: float) -> float:
        return 0.0

    def note_change(self) -> None:
        pass

    def note_back(self) -> None:
        pass


class NewsTaker(ABC):
    """Follows one kind of the store's objects.

    Attributes:
        replica: What is known of it.
        confirmed_at: A time before which all that the store acknowledged is known.
        supply: What spares it calls.
    """

    replica: Replica
    confirmed_at: float
    supply: Supply

    @property
    @abstractmethod
    def fetching(self) -> bool:
        """Whether the store has to be read before news can be taken in."""

    @abstractmethod
    def take_news(self, news: News, confirmed_at: float) -> None:
        """Take in what another relay tells.

        Raises:
            OutOfStepError: If it doesn't lead on from what is known.
        """
