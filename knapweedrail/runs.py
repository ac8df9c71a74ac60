"""Request identities: one run for each, whose answer retries follow.

The table isn't needed for a bill to stay one (the ledger sees to that) nor for a call
that may not be repeated (a claim on the platform does): it only keeps a retry from
running again.
"""

from __future__ import annotations

import enum
from collections.abc import AsyncIterator
from dataclasses import dataclass

import anyio
import attrs

RECORD_BYTES = 512
"""Memory that one record takes beside the chunks, for the accounting."""


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


class Run:
    """The record of one run and the chunks of its answer.

    Attributes:
        key: The request's identity.
        fingerprint: Digest of the request's content.
        state: How far it is.
        status: HTTP status of the answer, set before the first chunk.
        content_type: Content type of the answer, set before the first chunk.
        followers: Readers under way; a followed record is not evicted.
    """

    def __init__(
        self, table: RunTable, key: RunKey, fingerprint: str, started: float
    ) -> None:
        self.key = key
        self.fingerprint = fingerprint
        self.state = RunState.RUNNING
        self.status = 200
        self.content_type = ""
        self.followers = 0
        self.started = started
        self.ended = started
        self.size = RECORD_BYTES
        self._table = table
        self._chunks: list[bytes] = []
        self._changed = anyio.Event()

    @property
    def chunks(self) -> int:
        """Number of chunks so far."""
        return len(self._chunks)

    def append(self, data: bytes) -> None:
        """Add the next chunk of the answer.

        Raises:
            ValueError: If the run has ended.
        """
        if self.state is not RunState.RUNNING:
            raise ValueError(f"run {self.key.identity} has ended")
        self._chunks.append(data)
        self.size += len(data)
        self._table.grow(len(data))
        self._wake()

    def finish(self, whole: bool, now: float) -> None:
        """End the run; the first call stands."""
        if self.state is not RunState.RUNNING:
            return
        self.state = RunState.WHOLE if whole else RunState.CUT
        self.ended = now
        self._wake()

    async def follow(self, offset: int = 0) -> AsyncIterator[Chunk | End]:
        """Give the chunks from ``offset`` on as they come, and the end last."""
        self.followers += 1
        try:
            while True:
                changed = self._changed
                while offset < len(self._chunks):
                    yield Chunk(offset, self._chunks[offset])
                    offset += 1
                if offset >= len(self._chunks) and self.state is not RunState.RUNNING:
                    yield End(len(self._chunks), self.state is RunState.WHOLE)
                    return
                if changed is self._changed:
                    await changed.wait()
        finally:
            self.followers -= 1

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

    Args:
        answer_keep_seconds: How long an ended run's answer is kept.
        answer_memory_bytes: Memory for all answers. Ended ones are evicted first,
            the oldest before the others.
    """

    def __init__(self, answer_keep_seconds: float, answer_memory_bytes: int) -> None:
        self.answer_keep_seconds = answer_keep_seconds
        self.answer_memory_bytes = answer_memory_bytes
        self.size = 0
        self._runs: dict[RunKey, Run] = {}

    def __len__(self) -> int:
        return len(self._runs)

    def begin(
        self, account: str, identity: str, fingerprint: str, now: float
    ) -> Begun | Running | Mismatch:
        """Find the run of an identity or begin it.

        A run that was cut off is begun anew by a retry: its answer can't be
        completed here.

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
        if run is not None and run.state is not RunState.CUT:
            return Running(run)
        if run is not None:
            self._drop(run)
        run = Run(self, key, fingerprint, now)
        self._runs[key] = run
        self.size += run.size
        return Begun(run)

    def get(self, account: str, identity: str) -> Run | None:
        """Return the run of an identity, if it is kept here."""
        return self._runs.get(RunKey(account, identity))

    def grow(self, size: int) -> None:
        """Count bytes that a run added."""
        self.size += size

    def evict(self, now: float) -> None:
        """Drop ended runs that are too old, and the oldest while memory is short."""
        ended = [
            run
            for run in self._runs.values()
            if run.state is not RunState.RUNNING and not run.followers
        ]
        for run in sorted(ended, key=lambda run: run.ended):
            old = now - run.ended >= self.answer_keep_seconds
            if not old and self.size <= self.answer_memory_bytes:
                return
            self._drop(run)

    def _drop(self, run: Run) -> None:
        del self._runs[run.key]
        self.size -= run.size
