"""The store that the relay keeps its state in, as an interface, and its outcomes."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Any

import attrs

from ..outcomes import Unavailable, Unknown


@attrs.frozen
class Unreadable:
    """Stands for what an object holds if its bytes can't be read."""


@attrs.frozen
class StoredObject:
    """One object.

    Attributes:
        revision: The store's revision of its last change.
        spec: What it holds.
    """

    name: str
    revision: int
    spec: Any


@dataclass(frozen=True)
class Written:
    """A write took effect.

    Attributes:
        revision: Of the object now.
    """

    revision: int


@dataclass(frozen=True)
class Conflict:
    """The condition didn't hold, and nothing was done.

    Attributes:
        stored: The object as it is.
    """

    stored: StoredObject


@dataclass(frozen=True)
class Missing:
    """There is no such object."""


@dataclass(frozen=True)
class Listing:
    """All objects of a kind.

    Attributes:
        revision: The store's revision that the list tells of.
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
    """What changed in a kind.

    Attributes:
        revision: Where the next watch goes on.
    """

    changes: tuple[Change, ...]
    revision: int


@dataclass(frozen=True)
class HistoryGone:
    """The store no longer knows what changed since; the kind must be listed again."""


WriteOutcome = Written | Conflict | Missing | Unavailable | Unknown


class Store(ABC):
    """A store of objects with revisions, conditional writes and watches."""

    @abstractmethod
    async def list_kind(self, kind: str, stale: bool = False) -> Listing | Unavailable:
        """Return all objects of a kind.

        Args:
            stale: Whether the list may be some seconds old; it is then cheaper.
        """

    @abstractmethod
    async def watch_kind(
        self, kind: str, revision: int, seconds: float
    ) -> Changes | HistoryGone | Unavailable:
        """Return what changed after a revision, waiting for a change if need be."""

    @abstractmethod
    async def peek(self, kind: str, name: str) -> StoredObject | Missing | Unavailable:
        """Return an object as it was some seconds ago or later; cheaper than a write
        that meets another's."""

    @abstractmethod
    async def create(self, kind: str, name: str, spec: Any) -> WriteOutcome:
        """Create an object unless it exists."""

    @abstractmethod
    async def replace(
        self, kind: str, name: str, spec: Any, revision: int
    ) -> WriteOutcome:
        """Replace an object if its revision is still the one given."""

    @abstractmethod
    async def delete(self, kind: str, name: str) -> WriteOutcome:
        """Remove an object, whatever its revision."""
