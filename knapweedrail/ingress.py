"""Memory and connections that clients hold, bounded over all listeners of a process.

Pure: the clock is passed in, and connections are closed by callbacks.

Handles clients that ignore the limits: bodies that are never completed, requests sent
ahead, answers left unread and connections that send nothing. A limit for each
connection has no sum, so one `IngressQuota` of a process accounts for all of them. When
it is exhausted, the connections that have kept the most memory waiting for their
clients for the longest are closed, so that complete and quick requests still get in.
"""

from __future__ import annotations

import enum
import heapq
import math
from collections.abc import Callable, Mapping

import attrs

CONNECTION_BYTES = 73_728
"""Memory of an open connection without a request, with what the kernel may have
received for it."""

BUFFER_BYTES = 131_072
"""Memory of the buffers of a connection on which a request arrives."""

REQUEST_BYTES = 32_768
"""Memory of a request in progress, apart from its head, bodies and buffers."""

LARGE_BYTES = 262_144
"""Memory from which on a connection counts as large."""

LARGE_SHARE = 0.8
"""Share of the memory that large connections may use up. The rest is for small ones, so
that large requests which wait for runners don't keep out all others."""

OVERDRAFT_SHARE = 0.2
"""Share of the memory that may be held beyond it by connections which are being closed.
A busy process takes a while to close them."""

EVICTED_SHARE = 0.1
"""Share of a limit that is freed at once when it is exhausted. Choosing connections
takes time in proportion to their number, so it isn't done for each new one."""


class ClientKind(enum.Enum):
    """Who connects to a listener; each kind has a connection limit of its own."""

    CALLERS = "callers"
    OPERATORS = "operators"
    PEERS = "peers"


CONNECTION_SHARES = {
    ClientKind.CALLERS: 0.5,
    ClientKind.PEERS: 0.12,
    ClientKind.OPERATORS: 0.02,
}
"""Share of a process's descriptors for each kind of client."""

REQUEST_SHARE = 0.3
"""Share of a process's descriptors for connections to runners, and thus for complete
requests. The rest is for connections to peers and the store, and for files."""


class Phase(enum.Enum):
    """What a connection waits for.

    Attributes:
        IDLE: The client's next request.
        RECEIVING: The rest of the client's request.
        WORKING: This process, with a complete request.
        SENDING: The client, which hasn't read what was sent.
    """

    IDLE = "idle"
    RECEIVING = "receiving"
    WORKING = "working"
    SENDING = "sending"


class QuotaExceeded(Exception):
    """There is no room for what a client sends."""


@attrs.frozen
class IngressLimits:
    """Limits of one process.

    Attributes:
        memory_bytes: Memory that clients may hold together.
        requests: Complete requests whose answers aren't.
        connections: Open connections of each kind; a missing kind has no limit.
    """

    memory_bytes: float = math.inf
    requests: float = math.inf
    connections: Mapping[ClientKind, int] = attrs.field(factory=dict)


def make_limits(
    memory_bytes: float, descriptors: int, max_callers: int | None = None
) -> IngressLimits:
    """Return the limits of a process.

    Args:
        memory_bytes: Memory that clients may hold together.
        descriptors: Descriptors that the process may open.
        max_callers: Connections of callers, if fewer than their share.
    """
    connections = {
        kind: max(1, int(share * descriptors))
        for kind, share in CONNECTION_SHARES.items()
    }
    if max_callers is not None:
        callers = min(max_callers, connections[ClientKind.CALLERS])
        connections[ClientKind.CALLERS] = callers
    requests = max(1, int(REQUEST_SHARE * descriptors))
    return IngressLimits(memory_bytes, requests, connections)


class Lease:
    """What one connection holds, until it is closed.

    Args:
        quota: Accounts for it.
        kind: Who connects.
        evict: Closes the connection; called at most once.
        now: Monotonic seconds.

    Attributes:
        held_bytes: Memory that is accounted to it.
        phase: What it waits for.
        phase_since: Start of the wait, monotonic seconds.
        served: Whether any request on it has been answered.
        in_request: Whether a request's head has arrived and its answer isn't complete.
        is_complete: Whether such a request is complete.
        ahead: Whether its client sends further requests before it has the answer.
        evicted: Whether it is being closed to make room.
    """

    def __init__(
        self,
        quota: IngressQuota,
        kind: ClientKind,
        evict: Callable[[], None],
        now: float,
    ) -> None:
        self.kind = kind
        self.held_bytes = CONNECTION_BYTES
        self.phase = Phase.IDLE
        self.phase_since = now
        self.served = False
        self.in_request = False
        self.is_complete = False
        self.ahead = False
        self.evicted = False
        self._is_buffered = False
        self._quota = quota
        self._evict = evict
        self._closed = False

    @property
    def is_evictable(self) -> bool:
        """Whether its client, and not this process, is waited for."""
        return not self.evicted and (self.phase is not Phase.WORKING or self.ahead)

    def compute_cost(self, now: float) -> float:
        """Return the memory that waits for the client times the wait, byte seconds."""
        return self.held_bytes * (now - self.phase_since)

    def begin_phase(self, phase: Phase, now: float) -> None:
        """Set what the connection waits for from now on."""
        self.phase = phase
        self.phase_since = now

    def reserve(self, size: int, now: float) -> None:
        """Account for further memory, and make room for it if there is too little.

        Raises:
            QuotaExceeded: If there is no room, or the connection is closed; nothing was
                added.
        """
        if self._closed:
            raise QuotaExceeded
        self._quota.make_room(size, self, now)
        self.held_bytes += size

    def record_use(self, now: float) -> None:
        """Record that a client used the connection, which idles again."""
        self.served = True
        self.begin_phase(Phase.IDLE, now)

    def account_for_head(self, size: int, now: float) -> None:
        """Account for received bytes, if they are of a head that isn't complete.

        Raises:
            QuotaExceeded: If there is no room for them.
        """
        if self.in_request or not size:
            return
        if self.phase is Phase.IDLE:
            self.begin_phase(Phase.RECEIVING, now)
        self.account_for_buffers(now)
        self.reserve(size, now)

    def account_for_buffers(self, now: float) -> None:
        """Account for the buffers through which a request arrives.

        Raises:
            QuotaExceeded: If there is no room for them.
        """
        if not self._is_buffered:
            self.reserve(BUFFER_BYTES, now)
            self._is_buffered = True

    def begin_request(self, now: float) -> None:
        """Record that a request's head has arrived."""
        self.in_request = True
        self.begin_phase(Phase.RECEIVING, now)

    def begin_work(self, now: float) -> None:
        """Record that a request is complete.

        Raises:
            QuotaExceeded: If there are too many of them; the request may be refused.
        """
        self.begin_phase(Phase.WORKING, now)
        self._quota.admit_request(self)
        self.is_complete = True
        if self._is_buffered and not self.ahead:
            self._is_buffered = False
            self.release(BUFFER_BYTES)

    def account_for_read_ahead(self, now: float) -> None:
        """Account for requests that were sent before the answer to the present one.

        Raises:
            QuotaExceeded: If there is no room for them.
        """
        self.ahead = True
        self.account_for_buffers(now)

    def end_request(self, now: float) -> None:
        """Release all memory but that of the open connection."""
        self.release(self.held_bytes - CONNECTION_BYTES)
        self.served = True
        self.in_request = False
        self.ahead = False
        self._is_buffered = False
        self._end_work()
        self.begin_phase(Phase.IDLE, now)

    def evict(self) -> None:
        """Close the connection to make room."""
        self.evicted = True
        self._evict()

    def close(self) -> None:
        """Release everything, as the connection is closed."""
        if self._closed:
            return
        self._end_work()
        self.release(self.held_bytes)
        self._closed = True
        self._quota.remove(self)

    def release(self, size: int) -> None:
        """Release memory that was accounted for; without effect once closed."""
        if self._closed:
            return
        self.held_bytes -= size
        self._quota.release(size, self)

    def _end_work(self) -> None:
        if self.is_complete:
            self.is_complete = False
            self._quota.remove_request()


class IngressQuota:
    """Accounts for the memory and connections of all clients of a process.

    Args:
        limits: Limits of the process.
        record_evictions: Called with the number of connections that were closed as
            there was no room, and the limit.

    Attributes:
        held_bytes: Memory that clients hold together.
        request_count: Number of complete requests whose answers aren't.
    """

    def __init__(
        self,
        limits: IngressLimits | None = None,
        record_evictions: Callable[[int, str], None] | None = None,
    ) -> None:
        self.limits = limits or IngressLimits()
        self.held_bytes = 0
        self.request_count = 0
        self._record_evictions = record_evictions
        self._freed_bytes = 0
        self._leases: dict[ClientKind, set[Lease]] = {
            kind: set() for kind in ClientKind
        }

    def count(self, kind: ClientKind) -> int:
        """Return the number of open connections of a kind."""
        return len(self._leases[kind])

    def open(
        self, kind: ClientKind, evict: Callable[[], None], now: float
    ) -> Lease | None:
        """Account for a new connection.

        Args:
            kind: Who connects.
            evict: Closes the connection.
            now: Monotonic seconds.

        Returns:
            Its lease; ``None`` if the connection must be closed, as there is no room.
        """
        lease = Lease(self, kind, evict, now)
        try:
            self._make_place(kind)
            self.make_room(CONNECTION_BYTES, lease, now)
        except QuotaExceeded:
            self._record(1, f"no room for a connection of {kind.value}")
            return None
        self._leases[kind].add(lease)
        return lease

    def make_room(self, size: int, lease: Lease, now: float) -> None:
        """Account for memory, and evict connections if there is too little of it.

        Args:
            lease: What the memory is for; it isn't evicted.

        Raises:
            QuotaExceeded: If evicting isn't enough; nothing was added.
        """
        if lease.evicted:
            raise QuotaExceeded
        limit = self.limits.memory_bytes
        if lease.held_bytes + size >= LARGE_BYTES:
            limit *= LARGE_SHARE
        if self._count_kept() + size > limit:
            wanted = self._count_kept() + size - (1 - EVICTED_SHARE) * limit
            self._evict_bytes(wanted, lease, now)
        most = (1 + OVERDRAFT_SHARE) * limit
        if self._count_kept() + size > limit or self.held_bytes + size > most:
            raise QuotaExceeded
        self.held_bytes += size

    def admit_request(self, lease: Lease) -> None:
        """Account for a request that is complete.

        Raises:
            QuotaExceeded: If there are too many; nothing was added. Those whose clients
                don't read their answers are evicted.
        """
        if lease.evicted:
            raise QuotaExceeded
        if self.request_count >= self.limits.requests:
            leases = self._list_leases()
            unread = [one for one in leases if one.is_complete and one.is_evictable]
            unread.sort(key=lambda one: one.phase_since)
            count = max(1, int(EVICTED_SHARE * self.limits.requests))
            self._evict(unread[:count], f"more than {self.limits.requests} requests")
            raise QuotaExceeded
        self.request_count += 1

    def remove_request(self) -> None:
        """Record that the answer to a complete request is complete."""
        self.request_count -= 1

    def release(self, size: int, lease: Lease) -> None:
        """Release memory of a lease."""
        self.held_bytes -= size
        if lease.evicted:
            self._freed_bytes -= size

    def remove(self, lease: Lease) -> None:
        """Remove a lease that holds nothing any more."""
        self._leases[lease.kind].discard(lease)

    def _count_kept(self) -> int:
        """Return the memory of all connections that aren't being closed."""
        return self.held_bytes - self._freed_bytes

    def _make_place(self, kind: ClientKind) -> None:
        """Evict connections if there is no place for another one.

        Raises:
            QuotaExceeded: If too few can be evicted.
        """
        limit = self.limits.connections.get(kind)
        if limit is None or len(self._leases[kind]) < limit:
            return
        kept = [lease for lease in self._leases[kind] if not lease.evicted]
        surplus = len(kept) + 1 - limit
        if surplus <= 0:
            return
        # Connections that have served a client are the last to be closed, as it may
        # send its next request just then.
        longest = heapq.nsmallest(
            max(surplus, int(EVICTED_SHARE * limit)),
            [lease for lease in kept if lease.is_evictable],
            key=lambda lease: (lease.served, lease.phase_since),
        )
        self._evict(longest, f"more than {limit} connections of {kind.value}")
        if len(longest) < surplus:
            raise QuotaExceeded

    def _evict_bytes(self, wanted: float, own: Lease, now: float) -> None:
        leases = self._list_leases()
        candidates = [one for one in leases if one.is_evictable and one is not own]
        candidates.sort(key=lambda lease: lease.compute_cost(now))
        chosen = []
        while wanted > 0 and candidates:
            chosen.append(candidates.pop())
            wanted -= chosen[-1].held_bytes
        self._evict(chosen, f"no room in {self.limits.memory_bytes:.0f} bytes")

    def _list_leases(self) -> list[Lease]:
        return [lease for leases in self._leases.values() for lease in leases]

    def _evict(self, leases: list[Lease], reason: str) -> None:
        for lease in leases:
            self._freed_bytes += lease.held_bytes
            lease.evict()
        self._record(len(leases), reason)

    def _record(self, count: int, reason: str) -> None:
        if count and self._record_evictions is not None:
            self._record_evictions(count, reason)
