"""Membership of the relays: registration in the store, and the order of lenders."""

from __future__ import annotations

import random
import time
from collections.abc import Iterable
from typing import Any

import anyio
import attrs

from ..addresses import check_address
from ..events import Event, log_event
from ..excerpts import make_excerpt
from ..hashing import hash_pair
from ..limits import Senders, Standing
from ..tasks import Task
from .ledgers import get_host
from .malformed import MalformedObjects
from .models import Member
from .record_keepers import KeeperPlan
from .sources import plan_sources
from .stores import (
    Conflict,
    Listing,
    Missing,
    Store,
    StoredObject,
    WriteOutcome,
    Written,
)

MEMBER_KIND = "relay-members"

LIST_SECONDS = 5.0
"""Pause between lists of the relays. Relays join and leave within seconds, but a caller
that doesn't reach a relay which has left tries the next one. Therefore a list that may
be stale suffices, which costs a tenth of a call."""

MAX_RELAYS_AT_BASE_INTERVAL = 100
"""Number of relays above which the pause grows in proportion to their number. An entry
takes 231 bytes; 500 of them every five seconds would use all of the 23 KB/s that a host
has for control traffic."""

SETTLE_SECONDS = 1.0
"""Pause before each list that a relay waits for if its host wasn't registered before.
Relays that start at the same time register within this pause."""

LISTS_UNTIL_SETTLED = 2
"""Lists with the relay's own entry after which it knows the relays that registered at
the same time. A list may be stale, but one that contains the entry is newer than the
registration."""

MAX_STALE_LISTS = 5
"""Stale lists that a relay waits for before it reads an up-to-date one."""

RETRY_SECONDS = 0.5
"""Pause between attempts while the store doesn't answer."""

MAX_DRAWING_RELAYS = 12
"""Number of relays up to which each of them draws on the ledgers itself. Tokens that
are lent can't be recovered when the borrower's host crashes. In larger fleets so many
writers would conflict, and only the primaries draw."""

LOCAL_LENDERS = 2
"""Relays of the own data centre to borrow tokens from: the primary of the account, and
one more while the primary restarts or is partitioned."""


def compute_list_interval(relays: int) -> float:
    """Return the pause between two lists of the relays, seconds.

    Args:
        relays: Number of relays.
    """
    return LIST_SECONDS * max(1.0, relays / MAX_RELAYS_AT_BASE_INTERVAL)


def rank_lenders(account: str, members: Iterable[Member]) -> list[Member]:
    """Return the relays ranked as primaries of an account.

    If many relays that each see few requests of an account drew on the ledger
    themselves, each would hold the tokens of one request of the largest size. Together
    this is more than a small account has, and the ledger would be written more often
    than it supports. Therefore only the first relay of each data centre, the primary,
    draws on the ledger for its data centre. All relays rank by the same rendezvous
    hash, without coordination.
    """
    return sorted(members, key=lambda member: hash_pair(account, member.host))


def order_lenders(
    account: str, members: Iterable[Member], data_centre: str, holder: str
) -> list[Member]:
    """Return the relays to borrow tokens of an account from, in order.

    Args:
        account: Name of the client account.
        members: All relays.
        data_centre: Data centre of the borrower.
        holder: Holder of the borrower, which is skipped.
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
    """Registers this relay in the store, and keeps the list of all relays.

    Args:
        store: The platform's store.
        member: This relay.
        malformed: Records entries that can't be used.

    Attributes:
        member: This relay.
        keepers: Which relays keep records of streams.
        settled: Whether relays that started at the same time are known.
        first_listed: Set once the relays have been listed for the first time.
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
        self.keepers = KeeperPlan(member)
        self.settled = False
        self.first_listed = anyio.Event()
        self._previously_registered = False
        self._own_entry_listed = False
        self._revision: int | None = None
        self._own_entry_malformed = False
        self._own_entry_removed = False
        self._store = store
        self._members: dict[str, Member] = {member.host: member}
        self._first_ranked_by_account: dict[str, bool] = {}
        self._senders = Senders(member.host)
        self._planned_sources: tuple[list[Member], list[Member]] | None = None

    @property
    def count(self) -> int:
        """Number of relays as of the last list."""
        return len(self._members)

    def list_all(self) -> list[Member]:
        """Return all relays as of the last list."""
        return list(self._members.values())

    def find_member(self, host: str) -> Member | None:
        """Return the relay on a host, or ``None`` if it isn't listed."""
        return self._members.get(host)

    def list_others(self) -> list[Member]:
        """Return the other relays, those of the own data centre first."""
        others = [m for m in self._members.values() if m.host != self.member.host]
        random.shuffle(others)
        return sorted(others, key=lambda m: m.data_centre != self.member.data_centre)

    def list_lenders(self, account: str) -> list[Member]:
        """Return the relays to borrow tokens of an account from, in order."""
        if self.all_draw:
            return [member for member in self.list_others() if member.address]
        return order_lenders(
            account, self.list_all(), self.member.data_centre, self.member.holder
        )

    def count_primaries(self) -> int:
        """Return the number of primaries of an account: one for each data centre."""
        return len({member.data_centre for member in self._members.values()})

    @property
    def all_draw(self) -> bool:
        """Whether each relay draws on the ledgers, not only the primaries."""
        return self.count <= MAX_DRAWING_RELAYS

    def count_drawing(self) -> int:
        """Return the number of relays that draw on an account's ledger."""
        return self.count if self.all_draw else self.count_primaries()

    def draws_on(self, account: str) -> bool:
        """Return whether this relay draws on an account's ledger in advance."""
        return (self.settled and self.all_draw) or self.is_primary_for(account)

    def is_primary_for(self, account: str) -> bool:
        """Return whether this relay draws on the ledger for its data centre.

        The result is cached until the next list. It is needed once a second for each
        account, and ranking the relays each time would be a large part of the CPU time
        of an idle relay.
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
        """Return this relay's standing among those that may send to a limited runner.

        A relay that doesn't know the others yet sends nothing there.

        Args:
            runner: Name of the runner.
            rate: Limit of the runner, requests a second.
        """
        standing = self._senders.find_standing(runner, rate)
        return standing if self.settled else attrs.evolve(standing, sends=False)

    def update_incarnation(self, known: Member, holder: str) -> None:
        """Record that an answer came from another incarnation than the known one."""
        if self._members.get(known.host) == known:
            self._members[known.host] = attrs.evolve(known, holder=holder)

    def find_current_incarnation(self, holder: str) -> Member | None:
        """Return the current incarnation on a holder's host if it is another one."""
        member = self._members.get(get_host(holder))
        return member if member is not None and member.holder != holder else None

    def record_caller(self, holder: str) -> None:
        """Record a call from a relay, whose incarnation may not be listed yet."""
        known = self.find_current_incarnation(holder)
        if known is not None:
            self.update_incarnation(known, holder)

    def is_current(self, holder: str) -> bool:
        """Return whether a holder is the last known incarnation of a relay."""
        member = self._members.get(get_host(holder))
        return member is not None and member.holder == holder

    def list_sources(self) -> tuple[list[Member], list[Member]]:
        """Return the candidates for each of the two sources, the best first."""
        if self._planned_sources is None:
            self._planned_sources = plan_sources(self.list_all(), self.member)
        return self._planned_sources

    async def run(self) -> None:
        while not await self._refresh(stale=True):
            await anyio.sleep(RETRY_SECONDS)
        self.first_listed.set()
        while not await self._register():
            await anyio.sleep(RETRY_SECONDS)
        if not self._previously_registered:
            await self._wait_until_settled()
        self.settled = True
        log_event(Event.RELAYS_LISTED, relays=self.count, settled=True)
        while True:
            await anyio.sleep(
                compute_list_interval(self.count) * random.uniform(0.8, 1.2)
            )
            await self._refresh(stale=True)
            if self._own_entry_malformed or self._own_entry_removed:
                # Relays that start later wouldn't know this relay.
                registered = await self._register()
                self._own_entry_malformed = not registered
                self._own_entry_removed = not registered

    async def _wait_until_settled(self) -> None:
        """Wait until relays that start at the same time are listed.

        Before that, each relay would assume that it is the only one.
        """
        confirming_lists = 0
        for _ in range(MAX_STALE_LISTS):
            await anyio.sleep(SETTLE_SECONDS)
            if await self._refresh(stale=True) and self._own_entry_listed:
                confirming_lists += 1
            if confirming_lists == LISTS_UNTIL_SETTLED:
                return
        while not await self._refresh(stale=False):
            await anyio.sleep(RETRY_SECONDS)

    async def leave(self) -> None:
        """Remove this relay's entry from the store.

        The removal may take effect after its reply was lost, when the next process on
        this host has written its own entry, which must stay.
        """
        outcome: object = Missing()
        if self._revision is not None:
            outcome = await self._remove_entry(self._revision)
        if isinstance(outcome, Conflict):
            stored = outcome.stored
            if stored.spec == encode_member(self.member):
                await self._remove_entry(stored.revision)

    async def _remove_entry(self, revision: int) -> WriteOutcome:
        return await self._store.delete(MEMBER_KIND, self.member.host, revision)

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
                # An earlier incarnation on this host was registered, so the list also
                # contains the other relays.
                self._previously_registered = True
                self._revision = stored.revision
                outcome = await self._store.replace(
                    MEMBER_KIND, self.member.host, spec, stored.revision
                )
            case Missing():
                self._revision = None
        if isinstance(outcome, Written):
            self._revision = outcome.revision
            return True
        return False

    async def _refresh(self, stale: bool) -> bool:
        began_at = time.monotonic()
        outcome = await self._store.list_kind(MEMBER_KIND, stale=stale)
        if not isinstance(outcome, Listing):
            return False
        found = {m.host: m for m in map(self._decode_entry, outcome.objects) if m}
        entry = next((o for o in outcome.objects if o.name == self.member.host), None)
        if entry is not None:
            self._revision = max(self._revision or 0, entry.revision)
            self._previously_registered = True
        elif self._revision is not None and outcome.revision > self._revision:
            self._revision = None
            self._own_entry_removed = True
        own = found.get(self.member.host)
        self._own_entry_listed = own is not None and own.holder == self.member.holder
        found[self.member.host] = self.member
        if set(found) != set(self._members):
            seconds = round(time.monotonic() - began_at, 3)
            log_event(Event.RELAYS_LISTED, relays=len(found), seconds=seconds)
        self._members = found
        self.keepers.set_members(found.values())
        self._first_ranked_by_account.clear()
        self._senders.set_names(found)
        self._planned_sources = None
        return True

    def _decode_entry(self, stored: StoredObject) -> Member | None:
        """Return the relay that an entry describes, or its last known valid state.

        A relay whose entry another writer overwrites remains a member. Without it, the
        number of relays would be too low, from which each relay computes its share of
        the retries that the fleet may make together.
        """
        try:
            return decode_member(stored.name, stored.spec)
        except ValueError as error:
            now = time.monotonic()
            self._malformed.record(
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
        "tunnel_address": member.tunnel_address,
    }


def decode_member(name: str, spec: Any) -> Member:
    """Decode a relay's entry.

    Raises:
        ValueError: If it isn't in the format of `encode_member`.
    """
    if not isinstance(spec, dict):
        raise ValueError(f"not a relay's entry: {make_excerpt(spec)}")
    texts = [spec.get(key) for key in ("holder", "address", "data_centre")]
    # Relays of earlier versions don't state it.
    texts.append(spec.get("tunnel_address", ""))
    if not all(isinstance(text, str) for text in texts):
        raise ValueError("a field of a relay's entry isn't text")
    member = Member(name, *texts)
    if member.holder.rpartition("/")[0] != name:
        raise ValueError(f"holder {member.holder!r:.100} doesn't belong to this host")
    for address in filter(None, (member.address, member.tunnel_address)):
        fault = check_address(address)
        if fault is not None:
            raise ValueError(f"{fault:.100}")
    return member
