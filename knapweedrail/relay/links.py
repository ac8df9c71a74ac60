"""Links between a relay and one that it follows, and their messages."""

from __future__ import annotations

from abc import ABC, abstractmethod
from contextlib import AbstractAsyncContextManager

import attrs

from .models import Member


class LinkLostError(Exception):
    """The other relay can't be reached, or has ended the link."""


@attrs.frozen
class Reading:
    """What a follower tells.

    Attributes:
        clock: Its clock, seconds; it comes back with what is told next.
        revisions: What it knows, by kind; 0 for nothing.
    """

    clock: float
    revisions: dict[str, int]


@attrs.frozen
class EncodedUpdate:
    """What is told of one kind.

    Attributes:
        since: Revision that the changes lead on from; 0 if they are all there is.
        revision: Revision that they lead to.
        changes: As `replicas.encode_items` gives them; empty if there are none.
        age: Seconds since the store last confirmed it; ``None`` if it never has.
    """

    kind: str
    since: int
    revision: int
    changes: bytes
    age: float | None


@attrs.frozen
class Telling:
    """What a follower is told.

    Attributes:
        clock: The newest clock that it has told.
    """

    clock: float
    kinds: tuple[EncodedUpdate, ...]


class FollowerLink(ABC):
    """A link to a relay that is followed. Its calls raise `LinkLostError`.

    It begins with a reading; nothing is received before.
    """

    @abstractmethod
    async def send(self, request: Reading) -> None:
        """Tell a reading."""

    @abstractmethod
    async def receive(self) -> Telling:
        """Wait for what is told next."""


class WatcherLink(ABC):
    """A link from a follower. Its calls raise `LinkLostError`."""

    @abstractmethod
    async def receive(self) -> Reading:
        """Wait for the next reading."""

    @abstractmethod
    async def send(self, reply: Telling) -> None:
        """Tell what is known."""


class Dialer(ABC):
    """Opens links to other relays."""

    @abstractmethod
    def dial(self, member: Member) -> AbstractAsyncContextManager[FollowerLink]:
        """Open a link; it may turn out only in the first call that nobody is there."""
