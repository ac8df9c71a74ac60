"""The relays that take part: how they enter themselves, and which lend tokens."""

from __future__ import annotations

import random
import time
from collections.abc import Iterable
from typing import Any

import anyio
import attrs

from ..addresses import check_address
from ..events import Event, log_event
from ..hashing import hash_pair
from ..limits import Senders, Standing
from ..tasks import Task
from .ledgers import get_host
from .malformed import MalformedObjects
from .models import Member
from .sources import plan_sources
from .stores import Conflict, Listing, Missing, Store, StoredObject, Written

MEMBER_KIND = "relay-members"

LIST_SECONDS = 5.0
"""Pause between lists of the relays. They come and go within seconds, but whoever asks
a relay that is gone goes on to the next; the list may be stale, which costs a tenth of
a call."""

MAX_RELAYS_AT_BASE_INTERVAL = 100
"""Relays from which on the pause grows with their number. An entry is 231 bytes; 500
of them every five seconds would be all of the 23 KB/s that a host has for control."""

SETTLE_SECONDS = 1.0
"""Pause before each list that a relay waits for which was never listed before. Relays
that start together enter themselves within it."""

LISTS_UNTIL_SETTLED = 2
"""Lists with a relay's own entry after which it knows those that entered themselves at
the same time. A list may be old; one that shows the entry is younger than that."""

MAX_STALE_LISTS = 5
"""Lists that may be old which a relay waits for, before it has a new one."""

RETRY_SECONDS = 0.5
"""Pause between tries while the store doesn't answer."""

LOCAL_LENDERS = 2
"""Relays of the own data centre that are asked for tokens: the one that keeps the
account, and one more while that is restarted or cut off."""


def compute_pause(relays: int) -> float:
    """Return the pause between two lists of so many relays, seconds."""
    return LIST_SECONDS * max(1.0, relays / MAX_RELAYS_AT_BASE_INTERVAL)


def rank_lenders(account: str, members: Iterable[Member]) -> list[Member]:
    """Return relays in the order in which they keep an account.

    The load it is for: many relays that each see few requests of an account. If each
    drew on the ledger for itself, they would hold a largest request each, more than a
    small account has, and write the ledger more often than it bears. So the first of
    each data centre draws for all of it, and is chosen alike by all without a word.
    """
    return sorted(members, key=lambda member: hash_pair(account, member.host))


def order_lenders(
    account: str, members: Iterable[Member], data_centre: str, holder: str
) -> list[Member]:
    """Return the relays to ask for tokens of an account, in order.

    Args:
        data_centre: The asking relay's own.
        holder: The asking relay, which doesn't ask itself.
    """
    first: dict[str, Member] = {}
    local: list[Member] = []
    for member in rank_lenders(account, members):
        if member.holder == holder or not member.address:
            continue
        if member.data_centre == data_centre:
            local.append(member)
        else:
            first.setdefault(member.data_centre, member)
    return local[:LOCAL_LENDERS] + list(first.values())


class Membership(Task):
    """Enters this relay in the store, and keeps the list of all.

    Args:
        store: The platform's store.
        member: This relay.
        malformed: Told of entries that can't be used.
    """

    def __init__(
        self,
        store: Store,
        member: Member,
        malformed: MalformedObjects | None = None,
    ) -> None:
        super().__init__("membership")
        self._malformed = malformed or MalformedObjects()
        self.member = member
        self.settled = False
        self.first_listed = anyio.Event()
        self._previously_registered = False
        self._own_entry_listed = False
        self._revision: int | None = None
        self._own_entry_malformed = False
        self._store = store
        self._members: dict[str, Member] = {member.host: member}
        self._first_ranked_by_account: dict[str, bool] = {}
        self._senders = Senders(member.host)
        self._planned_sources: tuple[list[Member], list[Member]] | None = None

    @property
    def count(self) -> int:
        """Number of relays that take part, as far as known."""
        return len(self._members)

    def list_all(self) -> list[Member]:
        """Return all relays, as far as known."""
        return list(self._members.values())

    def list_others(self) -> list[Member]:
        """Return the other relays, those of the own data centre first."""
        others = [m for m in self._members.values() if m.host != self.member.host]
        random.shuffle(others)
        return sorted(others, key=lambda m: m.data_centre != self.member.data_centre)

    def list_lenders(self, account: str) -> list[Member]:
        """Return the relays to ask for tokens of an account, in order."""
        return order_lenders(
            account, self.list_all(), self.member.data_centre, self.member.holder
        )

    def count_keepers(self) -> int:
        """Return how many relays keep one account: one of each data centre."""
        return len({member.data_centre for member in self._members.values()})

    def keeps(self, account: str) -> bool:
        """Return whether this relay draws on the ledger for its data centre.

        Remembered until the next list: it is asked once a second for each account, and
        ranking the relays each time is a large part of what an idle relay costs.
        """
        if not self.settled:
            return False
        if account not in self._first_ranked_by_account:
            self._first_ranked_by_account[account] = self._is_first_ranked(account)
        return self._first_ranked_by_account[account]

    def _is_first_ranked(self, account: str) -> bool:
        here = [
            member
            for member in self._members.values()
            if member.data_centre == self.member.data_centre
        ]
        return rank_lenders(account, here)[0].host == self.member.host

    def find_standing(self, runner: str, rate: float) -> Standing:
        """Return this relay's place among those that may send to a limited runner.

        A relay that doesn't know the others yet sends nothing there.
        """
        standing = self._senders.find_standing(runner, rate)
        return standing if self.settled else attrs.evolve(standing, sends=False)

    def note_life(self, known: Member, holder: str) -> None:
        """Take in that another life of a relay's host answered than was known."""
        if self._members.get(known.host) == known:
            self._members[known.host] = attrs.evolve(known, holder=holder)

    def find_later(self, holder: str) -> Member | None:
        """Return the present life of a holder's host if that is another one."""
        member = self._members.get(get_host(holder))
        return member if member is not None and member.holder != holder else None

    def note_caller(self, holder: str) -> None:
        """Take in that a relay has called, perhaps in a life that isn't listed yet."""
        known = self.find_later(holder)
        if known is not None:
            self.note_life(known, holder)

    def is_present(self, holder: str) -> bool:
        """Return whether a holder is the present life of a relay, as far as known."""
        member = self._members.get(get_host(holder))
        return member is not None and member.holder == holder

    def list_sources(self) -> tuple[list[Member], list[Member]]:
        """Return the relays whose news to follow, for each source the best first."""
        if self._planned_sources is None:
            self._planned_sources = plan_sources(self.list_all(), self.member)
        return self._planned_sources

    async def run(self) -> None:
        while not await self._list(stale=True):
            await anyio.sleep(RETRY_SECONDS)
        self.first_listed.set()
        while not await self._register():
            await anyio.sleep(RETRY_SECONDS)
        if not self._previously_registered:
            await self._wait_until_settled()
        self.settled = True
        log_event(Event.RELAYS_LISTED, relays=self.count, settled=True)
        while True:
            await anyio.sleep(compute_pause(self.count) * random.uniform(0.8, 1.2))
            await self._list(stale=True)
            if self._own_entry_malformed:
                # Relays that start later can't read it, and would do without this one.
                self._own_entry_malformed = not await self._register()

    async def _wait_until_settled(self) -> None:
        """Wait until relays that start at the same time are listed; before, each would
        take itself for the only one."""
        shown = 0
        for _ in range(MAX_STALE_LISTS):
            await anyio.sleep(SETTLE_SECONDS)
            if await self._list(stale=True) and self._own_entry_listed:
                shown += 1
            if shown == LISTS_UNTIL_SETTLED:
                return
        while not await self._list(stale=False):
            await anyio.sleep(RETRY_SECONDS)

    async def leave(self) -> None:
        """Take this relay's entry out of the store."""
        await self._store.delete(MEMBER_KIND, self.member.host)

    async def _register(self) -> bool:
        """Write this relay's entry; return whether that took effect."""
        spec = encode_member(self.member)
        if self._revision is None:
            outcome = await self._store.create(MEMBER_KIND, self.member.host, spec)
        else:
            outcome = await self._store.replace(
                MEMBER_KIND, self.member.host, spec, self._revision
            )
        match outcome:
            case Conflict(stored):
                # An earlier life of this host is listed, and so are the others' lives.
                self._previously_registered = True
                self._revision = stored.revision
                outcome = await self._store.replace(
                    MEMBER_KIND, self.member.host, spec, stored.revision
                )
            case Missing():
                self._revision = None
        return isinstance(outcome, Written)

    async def _list(self, stale: bool) -> bool:
        began_at = time.monotonic()
        outcome = await self._store.list_kind(MEMBER_KIND, stale=stale)
        if not isinstance(outcome, Listing):
            return False
        found = {m.host: m for m in map(self._decode_entry, outcome.objects) if m}
        for stored in outcome.objects:
            if stored.name == self.member.host:
                self._revision = stored.revision
                self._previously_registered = True
        own = found.get(self.member.host)
        self._own_entry_listed = own is not None and own.holder == self.member.holder
        found[self.member.host] = self.member
        if set(found) != set(self._members):
            seconds = round(time.monotonic() - began_at, 3)
            log_event(Event.RELAYS_LISTED, relays=len(found), seconds=seconds)
        self._members = found
        self._first_ranked_by_account.clear()
        self._senders.set_names(found)
        self._planned_sources = None
        return True

    def _decode_entry(self, stored: StoredObject) -> Member | None:
        """Return the relay that an entry names, or that it named while it was sound.

        A relay whose entry another writer spoils goes on taking part. Left out, it
        would miss in the number of relays, by which each takes its part of the
        retries that they may make together.
        """
        try:
            return decode_member(stored.name, stored.spec)
        except ValueError as error:
            now = time.monotonic()
            self._malformed.note(
                MEMBER_KIND, stored.name, stored.revision, str(error), now
            )
            if stored.name == self.member.host:
                self._own_entry_malformed = True
            return self._members.get(stored.name)


def encode_member(member: Member) -> dict[str, Any]:
    """Return a relay's entry as it is stored."""
    return {
        "holder": member.holder,
        "address": member.address,
        "data_centre": member.data_centre,
    }


def decode_member(name: str, spec: Any) -> Member:
    """Decode a relay's entry.

    Raises:
        ValueError: If it doesn't have the form that `encode_member` gives.
    """
    if not isinstance(spec, dict):
        raise ValueError(f"not a relay's entry: {spec!r:.50}")
    texts = [spec.get(key) for key in ("holder", "address", "data_centre")]
    if not all(isinstance(text, str) for text in texts):
        raise ValueError(f"not a relay's entry: {spec!r:.200}")
    member = Member(name, *texts)
    if member.holder.rpartition("/")[0] != name:
        raise ValueError(f"{member.holder!r:.100} is no life of this host")
    fault = check_address(member.address) if member.address else None
    if fault is not None:
        raise ValueError(f"{fault:.100}")
    return member
