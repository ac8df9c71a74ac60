"""Request identities: one run for each, whose answer retries follow.

The table isn't needed for a bill to stay one (the ledger sees to that) nor for a call
that may not be repeated (a claim on the platform does): it only keeps a retry from
running again.
"""

from __future__ import annotations

import enum
import math
from collections.abc import AsyncIterator
from dataclasses import dataclass

import anyio
import attrs

RECORD_BYTES = 512
"""Memory that one record takes beside the chunks, for the accounting."""

CHUNK_BYTES = 64
"""Memory that one chunk takes beside its data. An answer is some hundreds of chunks
of one token; left out, a bound of 32 MB would let the process grow to twice that."""


ROOM_SHARE = 0.95
"""Share of the memory down to which ended answers are evicted, so that a full table
isn't searched again with each chunk."""


class RunState(enum.Enum):
    """How far a run is."""

    RUNNING = "running"
    WHOLE = "whole"
    CUT = "cut"


@attrs.frozen
class RunKey:
    """A request identity within its client account."""

    account: str
    identity: str


@dataclass(frozen=True)
class Chunk:
    """One chunk of an answer; ``offset`` counts chunks from 0."""

    offset: int
    data: bytes


@dataclass(frozen=True)
class End:
    """The run has ended; only a ``whole`` answer is complete.

    Attributes:
        offset: Number of chunks of the answer.
        whole: Whether nothing is missing.
    """

    offset: int
    whole: bool


@dataclass(frozen=True)
class Waiting:
    """The run goes on, and the chunk at ``offset`` hasn't come for a while."""

    offset: int


@attrs.define(eq=False)
class _Reader:
    """The next chunk that a follower takes."""

    offset: int


class Run:
    """The record of one run and the chunks of its answer.

    Attributes:
        key: The request's identity.
        fingerprint: Digest of the request's content.
        state: How far it is.
        status: HTTP status of the answer, set before the first chunk.
        content_type: Content type of the answer, set before the first chunk.
        ended: When it ended, in seconds.
        size: Memory that it takes, in bytes.
        first: Offset of the first chunk that is still kept.
    """

    def __init__(self, table: RunTable, key: RunKey, fingerprint: str) -> None:
        self.key = key
        self.fingerprint = fingerprint
        self.state = RunState.RUNNING
        self.status = 200
        self.content_type = ""
        self.ended = 0.0
        self.size = RECORD_BYTES
        self.first = 0
        self._table = table
        self._chunks: list[bytes] = []
        self._readers: set[_Reader] = set()
        self._changed = anyio.Event()

    @property
    def chunks(self) -> int:
        """Number of chunks of the answer so far."""
        return self.first + len(self._chunks)

    @property
    def followers(self) -> int:
        """Number of readers under way."""
        return len(self._readers)

    def append(self, data: bytes) -> None:
        """Add the next chunk of the answer.

        Raises:
            ValueError: If the run has ended.
        """
        if self.state is not RunState.RUNNING:
            raise ValueError(f"run {self.key.identity} has ended")
        self._chunks.append(data)
        self._grow(CHUNK_BYTES + len(data))
        self._wake()

    def finish(self, whole: bool, now: float) -> None:
        """End the run; the first call stands."""
        if self.state is not RunState.RUNNING:
            return
        self.state = RunState.WHOLE if whole else RunState.CUT
        self.ended = now
        self._table.note_ended(self)
        self._wake()

    async def follow(
        self, offset: int = 0, waiting_seconds: float = math.inf
    ) -> AsyncIterator[Chunk | End | Waiting]:
        """Give the chunks from ``offset`` on as they come, and the end last.

        When the chunk at ``offset`` is kept no more, only ``End(whole=False)`` comes.

        Args:
            offset: First chunk wanted.
            waiting_seconds: Time without a chunk after which to give `Waiting`.
        """
        reader = _Reader(offset)
        self._readers.add(reader)
        try:
            while reader.offset >= self.first:
                changed = self._changed
                if reader.offset < self.chunks:
                    data = self._chunks[reader.offset - self.first]
                    reader.offset += 1
                    yield Chunk(reader.offset - 1, data)
                elif self.state is RunState.RUNNING:
                    with anyio.move_on_after(waiting_seconds) as waiting:
                        await changed.wait()
                    if waiting.cancelled_caught:
                        yield Waiting(reader.offset)
                else:
                    whole = self.state is RunState.WHOLE
                    yield End(self.chunks, whole)
                    return
            yield End(self.chunks, False)
        finally:
            self._readers.discard(reader)

    def trim(self) -> None:
        """Drop the chunks that every reader under way has taken."""
        needed = min((item.offset for item in self._readers), default=self.chunks)
        dropped = self._chunks[: max(0, needed - self.first)]
        if not dropped:
            return
        del self._chunks[: len(dropped)]
        self.first += len(dropped)
        self._grow(-sum(CHUNK_BYTES + len(data) for data in dropped))

    def _grow(self, size: int) -> None:
        self.size += size
        self._table.grow(self, size)

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


@dataclass(frozen=True)
class Begun:
    """The identity is new here; the caller runs it into ``run``."""

    run: Run


@dataclass(frozen=True)
class Running:
    """The identity has a run here, going on or whole; the caller follows it."""

    run: Run


@dataclass(frozen=True)
class Mismatch:
    """The identity was used before with another content."""


class RunTable:
    """The runs of one router, and the answers kept for retries.

    Made for a router with hundreds of streams at once and many more answers kept.
    When memory runs short, answers that have ended go first, the oldest before the
    others: their callers are the least likely to come back. When running ones alone
    take it all, the growing one loses what its readers have taken: a retry of it then
    gets no answer here, but nobody's stream stops and the process isn't killed for its
    memory, which would cut all of them.

    Args:
        answer_keep_seconds: How long an ended run's answer is kept.
        answer_memory_bytes: Memory for all answers.
    """

    def __init__(self, answer_keep_seconds: float, answer_memory_bytes: int) -> None:
        self.answer_keep_seconds = answer_keep_seconds
        self.answer_memory_bytes = answer_memory_bytes
        self.size = 0
        self._runs: dict[RunKey, Run] = {}
        self._ended: dict[RunKey, Run] = {}
        self._begun = anyio.Event()

    def __len__(self) -> int:
        return len(self._runs)

    def begin(
        self, account: str, identity: str, fingerprint: str, now: float
    ) -> Begun | Running | Mismatch:
        """Find the run of an identity or begin it.

        A run whose answer can't be given as a whole any more, because it was cut off
        or some of it was dropped, is begun anew by a retry once it has ended.

        Args:
            account: Name of the client account.
            identity: The request's identity.
            fingerprint: Digest of the request's content.
            now: Seconds.
        """
        self.evict(now)
        key = RunKey(account, identity)
        run = self._runs.get(key)
        if run is not None and run.fingerprint != fingerprint:
            return Mismatch()
        if run is not None and (run.state is RunState.RUNNING or _is_kept(run)):
            return Running(run)
        if run is not None:
            self._drop(run)
        run = Run(self, key, fingerprint)
        self._runs[key] = run
        self.size += run.size
        self._begun.set()
        self._begun = anyio.Event()
        return Begun(run)

    def get(self, account: str, identity: str) -> Run | None:
        """Return the run of an identity, if it is kept here."""
        return self._runs.get(RunKey(account, identity))

    async def wait_for(self, account: str, identity: str, seconds: float) -> Run | None:
        """Return the run of an identity, waiting a little for it to begin."""
        with anyio.move_on_after(seconds):
            while self.get(account, identity) is None:
                await self._begun.wait()
        return self.get(account, identity)

    def grow(self, run: Run, size: int) -> None:
        """Count bytes of a run, and make room when there are too many."""
        if self._runs.get(run.key) is not run:
            return
        self.size += size
        if size > 0 and self.size > self.answer_memory_bytes:
            self._evict_for_room()
            if self.size > self.answer_memory_bytes:
                run.trim()

    def note_ended(self, run: Run) -> None:
        """Note that a run has ended, so that it may be evicted."""
        if self._runs.get(run.key) is run:
            self._ended[run.key] = run

    def evict(self, now: float) -> None:
        """Drop ended runs that are too old, and the oldest while memory is short."""
        for run in list(self._ended.values()):
            if now - run.ended < self.answer_keep_seconds:
                break
            if not run.followers:
                self._drop(run)
        self._evict_for_room()

    def _evict_for_room(self) -> None:
        if self.size <= self.answer_memory_bytes:
            return
        for run in list(self._ended.values()):
            if self.size <= ROOM_SHARE * self.answer_memory_bytes:
                return
            if not run.followers:
                self._drop(run)

    def _drop(self, run: Run) -> None:
        del self._runs[run.key]
        self._ended.pop(run.key, None)
        self.size -= run.size


def _is_kept(run: Run) -> bool:
    return run.state is RunState.WHOLE and run.first == 0
