"""Decision: whose word spares a relay its own watches of the store.

Pure: the clock is passed in.

The load it is for: hundreds of relays that each watch the store for themselves, when
most watches bring what all others bring as well. Here a few relays watch, chosen alike
by all without a word, and tell the others. Each relay follows two of them, so that the
end of one goes unnoticed; whoever is followed watches, and whoever hears nobody watches
for itself.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from ..hashing import hash_pair
from .models import Member

SOURCE_COUNT = 2
"""Relays that each one follows."""

MIN_LOCAL_RELAYS = 8
"""Relays from which on a data centre has a watcher of its own. With fewer, two watchers
for all data centres together take less."""

_HASH_KEY = "store-news"


@attrs.frozen
class NewsTiming:
    """How often a relay asks its sources, and when it gives them up.

    Attributes:
        beat: Pause between readings that a source answers, seconds.
        silence: Time after which a source that hasn't answered is given up, seconds.
    """

    heartbeat_interval: float
    timeout: float


@attrs.define
class Source:
    """A relay that is followed, as far as heard.

    Attributes:
        heard_at: When it was last heard; seconds.
        confirmed_at: By kind, a time before which all that the store acknowledged is
            known here.
    """

    member: Member
    last_reply_at: float
    confirmed_at: dict[str, float] = attrs.field(factory=dict)

    def note_reply(self, now: float) -> None:
        """Take in that it was heard."""
        self.last_reply_at = now

    def note_confirmed(self, kind: str, asked_at: float, age: float) -> None:
        """Take in how old its own word of the store is.

        Args:
            asked_at: When the reading was taken that it answers, by this relay's clock:
                an answer that was long on its way confirms nothing later.
        """
        known = self.confirmed_at.get(kind, float("-inf"))
        self.confirmed_at[kind] = max(known, asked_at - age)

    def has_timed_out(self, now: float, timing: NewsTiming) -> bool:
        """Return whether it is to be given up."""
        return now - self.last_reply_at >= timing.timeout

    def measure_validity(
        self, kind: str, now: float, timing: NewsTiming, limit: float
    ) -> float:
        """Return for how long its word will do, seconds.

        Args:
            limit: Age up to which what is known of the kind counts, seconds.
        """
        confirmed_at = self.confirmed_at.get(kind)
        if confirmed_at is None:
            return 0.0
        until = min(self.last_reply_at + timing.timeout, confirmed_at + limit)
        return max(0.0, until - now)


def rank_sources(members: Iterable[Member]) -> list[Member]:
    """Return relays in the order in which they are chosen to watch."""
    reachable = [member for member in members if member.address]
    return sorted(reachable, key=lambda member: hash_pair(_HASH_KEY, member.host))


def plan_sources(
    members: Iterable[Member], own: Member
) -> tuple[list[Member], list[Member]]:
    """Return the relays to follow, for each of two sources the best first.

    A relay that comes first itself follows nobody there: it is the watcher. Both lists
    may name the same relays; the second source is another one than the first.

    Args:
        own: The relay that asks.
    """
    ranked = rank_sources(members)
    local = [member for member in ranked if member.data_centre == own.data_centre]
    if len(local) < MIN_LOCAL_RELAYS:
        return _plan_fleet(ranked, own)
    following = _order_data_centres(ranked, own.data_centre)
    elsewhere = [
        member
        for data_centre in following
        for member in ranked
        if member.data_centre == data_centre
    ]
    return _list_before(local, own), elsewhere


def _plan_fleet(ranked: list[Member], own: Member) -> tuple[list[Member], list[Member]]:
    if not ranked:
        return [], []
    apart = [m for m in ranked if m.data_centre != ranked[0].data_centre]
    second = apart or ranked[1:]
    return _list_before(ranked, own), _list_before(second, own)


def _order_data_centres(ranked: list[Member], own: str) -> list[str]:
    """Return the other data centres, beginning with the one after the own.

    So each watcher has the second sources of one other data centre.
    """
    names = sorted({member.data_centre for member in ranked})
    place = names.index(own)
    return names[place + 1 :] + names[:place]


def _list_before(ranked: list[Member], own: Member) -> list[Member]:
    hosts = [member.host for member in ranked]
    return ranked[: hosts.index(own.host)] if own.host in hosts else ranked
