"""Selection of the relays whose updates replace a relay's own watches of the store.

Pure: the clock is passed in.

If each of hundreds of relays watched the store, most watches would return the same
changes. Instead a few relays, the sources, watch the store and send updates to the
others. All relays choose the same sources by a hash of the host names, without
coordination. Each relay subscribes to two sources, so that the loss of one delays no
update. A relay that has subscribers watches the store, and so does one whose sources
don't answer.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from ..hashing import hash_pair
from .models import Member
from .pace_exchange import LinkPaces

SOURCE_COUNT = 2
"""Sources that each relay subscribes to."""

MIN_LOCAL_RELAYS = 8
"""Smallest number of relays for which a data centre has a source of its own. Below it,
two sources for all data centres together cause fewer store calls."""

_HASH_KEY = "store-news"


@attrs.frozen
class FeedTiming:
    """How often a relay sends heartbeats to its sources, and when it drops a source.

    Attributes:
        heartbeat_interval: Pause between requests to a source, seconds.
        timeout: Time without a reply after which a source is dropped, seconds.
    """

    heartbeat_interval: float
    timeout: float


@attrs.define
class Source:
    """State of a subscription to a source.

    Attributes:
        member: The relay that is the source.
        last_reply_at: Time of its last reply, seconds.
        confirmed_at: By kind, a time up to which all writes that the store
            acknowledged have been applied here, seconds.
        paces: Which paces of runners were exchanged with it.
    """

    member: Member
    last_reply_at: float
    paces: LinkPaces
    confirmed_at: dict[str, float] = attrs.field(factory=dict)

    def record_reply(self, now: float) -> None:
        """Record a reply of the source."""
        self.last_reply_at = now

    def record_confirmation(self, kind: str, asked_at: float, age: float) -> None:
        """Record how old the source's own state of a kind is.

        Args:
            kind: The kind of objects.
            asked_at: Time of the request that the source answers, by this relay's
                clock, seconds. The time of receipt would be too late for a reply that
                was delayed.
            age: Time since the store last confirmed the source's state, seconds.
        """
        known = self.confirmed_at.get(kind, float("-inf"))
        self.confirmed_at[kind] = max(known, asked_at - age)

    def withdraw_confirmation(self, kind: str) -> None:
        """Record that the source can't vouch for its state of a kind any more."""
        self.confirmed_at.pop(kind, None)

    def has_timed_out(self, now: float, timing: FeedTiming) -> bool:
        """Return whether the source must be dropped."""
        return now - self.last_reply_at >= timing.timeout

    def measure_validity(
        self, kind: str, now: float, timing: FeedTiming, limit: float
    ) -> float:
        """Return for how long its updates of a kind suffice, seconds.

        Args:
            limit: Age up to which the known state of the kind counts as current,
                seconds.
        """
        confirmed_at = self.confirmed_at.get(kind)
        if confirmed_at is None:
            return 0.0
        until = min(self.last_reply_at + timing.timeout, confirmed_at + limit)
        return max(0.0, until - now)


def rank_sources(members: Iterable[Member]) -> list[Member]:
    """Return the reachable relays in the order in which they are chosen as sources."""
    reachable = [member for member in members if member.address]
    return sorted(reachable, key=lambda member: hash_pair(_HASH_KEY, member.host))


def plan_sources(
    members: Iterable[Member], own: Member
) -> tuple[list[Member], list[Member]]:
    """Return the candidates for each of the two sources of a relay, the best first.

    A list ends before the relay itself: one that ranks first needs no source there, and
    watches the store. Both lists may name the same relays; the caller chooses different
    ones as first and second source.

    Args:
        members: All relays.
        own: The relay that looks for sources.
    """
    ranked = rank_sources(members)
    local = [member for member in ranked if member.data_centre == own.data_centre]
    if len(local) < MIN_LOCAL_RELAYS:
        return _plan_fleet(ranked, own)
    data_centres = _order_data_centres(ranked, own.data_centre)
    elsewhere = [
        member
        for data_centre in data_centres
        for member in ranked
        if member.data_centre == data_centre
    ]
    return _list_before(local, own), elsewhere


def _plan_fleet(ranked: list[Member], own: Member) -> tuple[list[Member], list[Member]]:
    if not ranked:
        return [], []
    in_other_data_centres = [
        m for m in ranked if m.data_centre != ranked[0].data_centre
    ]
    second = in_other_data_centres or ranked[1:]
    return _list_before(ranked, own), _list_before(second, own)


def _order_data_centres(ranked: list[Member], own: str) -> list[str]:
    """Return the other data centres, beginning with the one after the relay's own.

    Each data centre then takes its second source from a different one, so that a source
    serves the relays of only one other data centre.
    """
    names = sorted({member.data_centre for member in ranked})
    place = names.index(own)
    return names[place + 1 :] + names[:place]


def _list_before(ranked: list[Member], own: Member) -> list[Member]:
    hosts = [member.host for member in ranked]
    return ranked[: hosts.index(own.host)] if own.host in hosts else ranked
