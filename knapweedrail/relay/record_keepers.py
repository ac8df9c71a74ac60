"""Decision: which relays keep the record of a stream, and which are asked for it.

Pure. A stream's record is needed when its host has died, so other relays keep it. All
relays choose them alike by the stream's name, without communicating.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

from ..hashing import hash_pair
from .models import Member

SHARD_COUNT = 64
"""Shards of the streams. Streams of one shard have the same keepers, so that a relay
sends many records in one message and ranks the relays once for each shard."""

ASKED_PER_DATA_CENTRE = 2
"""Relays asked in each data centre. The record is at the first one of its list, but
lists may differ by a relay that has just started or ended."""


class KeeperPlan:
    """Ranks the other relays as keepers of streams' records.

    Args:
        own: This relay.
    """

    def __init__(self, own: Member) -> None:
        self._own = own
        self._others: list[Member] = []
        self._ranked: dict[str, list[Member]] = {}

    def set_members(self, members: Iterable[Member]) -> None:
        """Set all relays."""
        self._others = [m for m in members if m.host != self._own.host and m.address]
        self._ranked.clear()

    def rank(self, stream: str) -> list[Member]:
        """Return all other relays, the best keeper of a stream's record first."""
        shard = find_shard(stream)
        if shard not in self._ranked:
            self._ranked[shard] = sorted(
                self._others, key=lambda member: hash_pair(shard, member.host)
            )
        return self._ranked[shard]

    def choose_keepers(self, stream: str, unavailable: set[str]) -> list[Member]:
        """Return the relays that keep a stream's record.

        One is in this relay's data centre, where callers come back and which may be cut
        off from the others. One is elsewhere, as a whole data centre may fail.

        Args:
            unavailable: Hosts that didn't answer recently.
        """
        local = remote = None
        for member in self.rank(stream):
            if member.host in unavailable:
                continue
            if member.data_centre == self._own.data_centre:
                local = local or member
            else:
                remote = remote or member
        return [member for member in (local, remote) if member is not None]

    def choose_asked(self, stream: str) -> list[Member]:
        """Return the relays to ask for a stream's record."""
        chosen: dict[str, list[Member]] = {}
        for member in self.rank(stream):
            here = chosen.setdefault(member.data_centre, [])
            if len(here) < ASKED_PER_DATA_CENTRE:
                here.append(member)
        return [member for here in chosen.values() for member in here]


def find_shard(stream: str) -> str:
    """Return the shard of a stream."""
    digest = blake2b(stream.encode(), digest_size=2).digest()
    return f"streams/{int.from_bytes(digest, 'big') % SHARD_COUNT}"
