"""Links between subscribers and sources, and their messages."""

from __future__ import annotations

from abc import ABC, abstractmethod
from contextlib import AbstractAsyncContextManager

import attrs

from .models import Member
from .pace_exchange import RunnerPace


class LinkLostError(Exception):
    """The other relay can't be reached, or has closed the link."""


@attrs.frozen
class FeedRequest:
    """Request of a subscriber; it also serves as its heartbeat.

    Attributes:
        clock: The subscriber's clock, seconds; the next reply returns it.
        revisions: Revision of its replica, by kind; 0 without a replica.
        paces: Lowest paces of runners not exchanged on this link yet.
    """

    clock: float
    revisions: dict[str, int]
    paces: tuple[RunnerPace, ...] = ()


@attrs.frozen
class EncodedUpdate:
    """Update of one kind, encoded for sending.

    Attributes:
        kind: The kind of objects.
        since: Revision that the update starts from; 0 if it lists all objects.
        revision: Revision that it leads to.
        changes: Encoded by `replicas.encode_items`; empty without changes.
        age: Seconds since the store last confirmed the source's state; ``None`` if it
            never has.
    """

    kind: str
    since: int
    revision: int
    changes: bytes
    age: float | None


@attrs.frozen
class FeedReply:
    """Reply of a source to a subscriber.

    Attributes:
        clock: Clock value of the subscriber's last request, seconds.
        kinds: One update for each kind.
        paces: Lowest paces of runners not exchanged on this link yet.
    """

    clock: float
    kinds: tuple[EncodedUpdate, ...]
    paces: tuple[RunnerPace, ...] = ()


class SourceLink(ABC):
    """A subscriber's link to a source. Its calls raise `LinkLostError`.

    The source sends no reply before the subscriber's first request.
    """

    @abstractmethod
    async def send(self, request: FeedRequest) -> None:
        """Send a request."""

    @abstractmethod
    async def receive(self) -> FeedReply:
        """Wait for the next reply."""


class SubscriberLink(ABC):
    """A source's link to a subscriber. Its calls raise `LinkLostError`."""

    @abstractmethod
    async def receive(self) -> FeedRequest:
        """Wait for the next request."""

    @abstractmethod
    async def send(self, reply: FeedReply) -> None:
        """Send a reply."""


class Dialer(ABC):
    """Opens links to other relays."""

    @abstractmethod
    def dial(self, member: Member) -> AbstractAsyncContextManager[SourceLink]:
        """Open a link; a failure to connect may only be raised by its first call.

        Raises:
            LinkLostError: If the relay's address can't be dialled.
        """
