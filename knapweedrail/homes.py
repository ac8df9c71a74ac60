"""Homes of request identities: which router of a data centre runs one.

A retry reaches any router. Each identity has a home, chosen by hash among the routers
that seem alive; a router about to run a request asks the home first and follows the
run that it names. Views may differ, homes die, and a home that doesn't answer is
passed over: then two runs of one request may go on. The ledger still bills one, and
calls that may not be repeated rest on claims on the platform and not on this.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import anyio
import attrs

from .beliefs import choose_by_hash
from .members import MembershipTask
from .models import Holder
from .outcomes import Failure
from .peers import PeerClients
from .runs import Mismatch, RunKey
from .wire.peers_pb2 import FindRunReply, FindRunRequest

FIND_SECONDS = 0.1
"""Time for a home's answer. It delays the first token of a request whose home is
silent, once: the home then counts as silent until it is heard again. A home that is
alive answers within a few milliseconds."""

HOME_ENTRIES = 50_000
"""Identities noted at one home. At 76 requests a second and router this is eleven
minutes' worth, longer than a caller goes on retrying, in about 25 MB."""


@dataclass(frozen=True)
class New:
    """No other router is known to run the identity."""


@dataclass(frozen=True)
class RunningAt:
    """Another router runs the identity, or keeps its answer."""

    holder: Holder
    peer_address: str


@attrs.frozen
class _Note:
    holder: Holder
    peer_address: str
    fingerprint: str
    noted: float


class HomeTable:
    """What the home of request identities knows; pure.

    Args:
        keep_seconds: Time after which a note is forgotten.
        entries: Notes kept at most; the oldest goes first.
    """

    def __init__(self, keep_seconds: float, entries: int = HOME_ENTRIES) -> None:
        self.keep_seconds = keep_seconds
        self.entries = entries
        self._notes: dict[RunKey, _Note] = {}

    def __len__(self) -> int:
        return len(self._notes)

    def find(
        self,
        key: RunKey,
        fingerprint: str,
        asker: RunningAt,
        is_over: Callable[[Holder], bool],
        now: float,
        gone: Holder | None = None,
    ) -> New | RunningAt | Mismatch:
        """Say where an identity runs; note the asker when it runs nowhere.

        Args:
            key: The identity.
            fingerprint: Digest of the request's content.
            asker: The router that is about to run it.
            is_over: Tells whether a life is known to be over.
            now: Seconds.
            gone: Life that has no such run, as the asker found.
        """
        self._forget(now)
        note = self._notes.get(key)
        if note is not None and note.fingerprint != fingerprint:
            return Mismatch()
        free = (
            note is None or note.holder in (asker.holder, gone) or is_over(note.holder)
        )
        if not free:
            return RunningAt(note.holder, note.peer_address)
        self._notes.pop(key, None)
        self._notes[key] = _Note(asker.holder, asker.peer_address, fingerprint, now)
        return New()

    def _forget(self, now: float) -> None:
        # Notes stand in the order in which they were made.
        while self._notes:
            key = next(iter(self._notes))
            old = now - self._notes[key].noted >= self.keep_seconds
            if not old and len(self._notes) < self.entries:
                return
            del self._notes[key]


class RunFinder:
    """Asks the home of an identity, and answers as a home.

    Args:
        membership: The router's membership.
        clients: Clients of the peers.
        table: The notes of identities whose home is this router.
        seconds: Time for a home's answer.
    """

    def __init__(
        self,
        membership: MembershipTask,
        clients: PeerClients,
        table: HomeTable,
        seconds: float = FIND_SECONDS,
    ) -> None:
        self._membership = membership
        self._clients = clients
        self._table = table
        self._seconds = seconds

    async def find(
        self,
        account: str,
        identity: str,
        fingerprint: str,
        gone: Holder | None = None,
    ) -> New | RunningAt | Mismatch:
        """Find out whether another router runs an identity.

        Args:
            account: Name of the client account.
            identity: The request's identity.
            fingerprint: Digest of the request's content.
            gone: Life that was named before and has no such run.
        """
        members = {
            item.holder.name: item
            for item in self._membership.own_data_centre_members()
            if item.alive and not item.leaving and item.holder.incarnation
        }
        own = self._membership.holder
        home = choose_by_hash(f"{account}:{identity}", [*members, own.name])
        if home == own.name:
            asker = RunningAt(own, self._membership.settings.peer_address)
            key = RunKey(account, identity)
            return self._find_here(key, fingerprint, asker, gone)
        request = FindRunRequest(
            sender=self._membership.make_sender(),
            account=account,
            identity=identity,
            fingerprint=fingerprint,
            gone=str(gone or ""),
        )
        address = members[home].peer_address
        reply = await self._clients.find_run(address, request, self._seconds)
        if isinstance(reply, Failure):
            self._membership.note_silent(home)
            return New()
        return _read_reply(reply)

    def answer(self, request: FindRunRequest) -> FindRunReply:
        """Answer as the home of an identity."""
        sender = request.sender
        outcome = self._find_here(
            RunKey(request.account, request.identity),
            request.fingerprint,
            RunningAt(Holder.parse(sender.holder), sender.peer_address),
            Holder.parse(request.gone) if request.gone else None,
        )
        if isinstance(outcome, New):
            return FindRunReply(state=FindRunReply.UNKNOWN)
        if isinstance(outcome, Mismatch):
            return FindRunReply(state=FindRunReply.MISMATCH)
        return FindRunReply(
            state=FindRunReply.RUNNING,
            holder=str(outcome.holder),
            peer_address=outcome.peer_address,
        )

    def _find_here(
        self, key: RunKey, fingerprint: str, asker: RunningAt, gone: Holder | None
    ) -> New | RunningAt | Mismatch:
        now = anyio.current_time()
        is_over = self._membership.is_over
        return self._table.find(key, fingerprint, asker, is_over, now, gone)


def _read_reply(reply: FindRunReply) -> New | RunningAt | Mismatch:
    if reply.state == FindRunReply.RUNNING:
        return RunningAt(Holder.parse(reply.holder), reply.peer_address)
    if reply.state == FindRunReply.MISMATCH:
        return Mismatch()
    return New()
