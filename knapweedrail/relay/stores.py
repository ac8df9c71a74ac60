"""Interface of the store that holds the relay's state, and outcomes of its calls."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Any

import attrs

from ..outcomes import Unavailable, Unknown


@attrs.frozen
class Unreadable:
    """Placeholder for the content of an object whose bytes can't be parsed."""


@attrs.frozen
class StoredObject:
    """One object of the store.

    Attributes:
        name: Unique among the objects of its kind.
        revision: Revision of the store at the object's last change.
        spec: Content of the object, or `Unreadable`.
    """

    name: str
    revision: int
    spec: Any


@dataclass(frozen=True)
class Written:
    """A write took effect.

    Attributes:
        revision: New revision of the object.
    """

    revision: int


@dataclass(frozen=True)
class Conflict:
    """The condition of a write didn't hold, and nothing was written.

    Attributes:
        stored: Present state of the object.
    """

    stored: StoredObject


@dataclass(frozen=True)
class Missing:
    """The object doesn't exist."""


@dataclass(frozen=True)
class Listing:
    """All objects of a kind.

    Attributes:
        objects: The objects.
        revision: Revision of the store as of which the objects are listed.
    """

    objects: tuple[StoredObject, ...]
    revision: int


@attrs.frozen
class Change:
    """One object that was written or removed."""

    stored: StoredObject
    removed: bool


@dataclass(frozen=True)
class Changes:
    """Changes of a kind.

    Attributes:
        changes: The changes, oldest first.
        revision: Revision from which the next watch continues.
    """

    changes: tuple[Change, ...]
    revision: int


@dataclass(frozen=True)
class HistoryGone:
    """The store has compacted the changes after a revision; list the kind again."""


WriteOutcome = Written | Conflict | Missing | Unavailable | Unknown


class Store(ABC):
    """A store of objects with revisions, conditional writes and watches."""

    @abstractmethod
    async def list_kind(self, kind: str, stale: bool = False) -> Listing | Unavailable:
        """Return all objects of a kind.

        Args:
            kind: The kind of objects.
            stale: Whether the list may be some seconds old, which is cheaper.
        """

    @abstractmethod
    async def watch_kind(
        self, kind: str, revision: int, seconds: float
    ) -> Changes | HistoryGone | Unavailable:
        """Return the changes after a revision, or wait for one.

        Args:
            kind: The kind of objects.
            revision: Revision to start after.
            seconds: Longest wait for a change.
        """

    @abstractmethod
    async def peek(self, kind: str, name: str) -> StoredObject | Missing | Unavailable:
        """Return an object's state, which may be some seconds old.

        This is cheaper than a write that conflicts with another one.
        """

    @abstractmethod
    async def create(self, kind: str, name: str, spec: Any) -> WriteOutcome:
        """Create an object unless it exists."""

    @abstractmethod
    async def replace(
        self, kind: str, name: str, spec: Any, revision: int
    ) -> WriteOutcome:
        """Replace an object if it still has the given revision."""

    @abstractmethod
    async def delete(self, kind: str, name: str, revision: int) -> WriteOutcome:
        """Remove an object if it still has the given revision."""
