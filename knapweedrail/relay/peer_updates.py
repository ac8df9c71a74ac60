"""Updates from other relays that replace a watcher's own calls to the store."""

from __future__ import annotations

from abc import ABC, abstractmethod

from .notifiers import Notifier
from .replicas import KindUpdate, Replica


class PeerUpdates(ABC):
    """Source of updates that may replace a watcher's own calls to the store."""

    changed: Notifier
    """Notified whenever the result of `compute_poll_delay` may have changed."""

    @abstractmethod
    def compute_poll_delay(self, kind: str, limit: float) -> float:
        """Return for how long a watcher needn't call the store, seconds.

        Args:
            kind: Kind of the objects that it watches.
            limit: Largest age up to which known objects of the kind count as current,
                seconds.
        """

    @abstractmethod
    def notify_change(self) -> None:
        """Notify that changes of the store were received, or that it was lost or
        found again."""

    @abstractmethod
    def notify_store_available(self) -> None:
        """Notify that the store is available again after an outage."""


class NoPeerUpdates(PeerUpdates):
    """Replaces no calls; for a relay without peers."""

    def __init__(self) -> None:
        self.changed = Notifier()

    def compute_poll_delay(self, kind: str, limit: float) -> float:
        return 0.0

    def notify_change(self) -> None:
        pass

    def notify_store_available(self) -> None:
        pass


class UpdateReceiver(ABC):
    """Watches one kind of the store's objects and applies updates from other relays.

    Attributes:
        replica: Known objects of the kind.
        confirmed_at: A time up to which everything that the store acknowledged is
            known, seconds.
        peer_updates: Updates that replace calls to the store.
    """

    replica: Replica
    confirmed_at: float
    peer_updates: PeerUpdates

    @property
    @abstractmethod
    def store_available(self) -> bool:
        """Whether its last call to the store was answered, if it calls at all."""

    @property
    @abstractmethod
    def fetching(self) -> bool:
        """Whether the store has to be read before updates can be applied."""

    @abstractmethod
    def apply_update(self, news: KindUpdate, confirmed_at: float) -> None:
        """Apply an update from another relay.

        Args:
            news: The update.
            confirmed_at: A time up to which the update is complete, seconds.

        Raises:
            UpdateRejectedError: If it doesn't follow on from the known objects.
        """
