"""Runs of the model engine's stand-in: slots, priorities, prefix cache, tokens."""

from __future__ import annotations

import hashlib
import heapq
import itertools
import os
import re
from collections import OrderedDict

import anyio
import anyio.abc
import attrs

from .serving import RunCounts

BLOCK_WORDS = 16
"""Words of a prompt that the prefix cache keeps or forgets together."""

CRASH_STATUS = 70
"""Exit code of a crash on purpose."""

LENGTH_MARK = re.compile(r"\[tokens:(\d+)\]")
"""Mark in a prompt that sets how many tokens the model would answer by itself."""


@attrs.define
class Faults:
    """How the engine behaves at present; what is counted down is an `int`.

    Attributes:
        token_seconds: Seconds for each token of an answer.
        prompt_seconds: Seconds for each word of a prompt that isn't cached.
        answer_tokens: Length of an answer unless the prompt marks another.
        slots: Runs at once.
        queue: Runs that wait for a slot; a further one gets 503.
        load_lag: Age that a load report can reach, in seconds.
        cache_blocks: Blocks of prompts that the prefix cache holds.
        poison: Text that ends the process when a prompt contains it.
        checks_fencing: Refuse orders with an old fencing number.
        ignore_max_tokens: Generate the full length whatever the caller's limit.
        mix: Streams that get a chunk of another request's answer.
        leaving: Say so in the load report, and refuse new runs.
        accepts_leaving: Take new runs all the same while leaving.
        resume_seconds: Time that a run outlives its last connection, and that a
            finished one can still be resumed.
    """

    token_seconds: float = 0.01
    prompt_seconds: float = 0.0
    answer_tokens: int = 32
    slots: int = 8
    queue: int = 64
    load_lag: float = 0.5
    cache_blocks: int = 1024
    poison: str = ""
    checks_fencing: bool = False
    ignore_max_tokens: bool = False
    mix: int = 0
    leaving: bool = False
    accepts_leaving: bool = False
    resume_seconds: float = 5.0


def make_token(identity: str, index: int) -> str:
    """Return the token at ``index`` of the answer to ``identity``.

    Each request's answer is its own, and the same on every runner, so that a
    caller's text shows by itself whose answer it is and whether it is whole.
    """
    digest = hashlib.sha256(identity.encode()).hexdigest()[:8]
    return f"{digest}.{index} "


class PrefixCache:
    """Remembers prompts by blocks of words, in limited memory."""

    def __init__(self) -> None:
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def count_hits(self, words: list[str], limit: int) -> int:
        """Return the words at the start that are cached, and cache them all."""
        hits = 0
        missed = False
        for end in range(BLOCK_WORDS, len(words) + 1, BLOCK_WORDS):
            block = hash(tuple(words[:end]))
            missed = missed or block not in self._blocks
            hits += 0 if missed else BLOCK_WORDS
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > limit:
            self._blocks.popitem(last=False)
        return hits


class Run:
    """One run: its tokens so far, which any number of connections may follow."""

    def __init__(self, identity: str, holder: str, words: list[str], limit: int):
        self.identity = identity
        self.holder = holder
        self.words = words
        self.limit = limit
        self.tokens = 0
        self.length = 0
        self.started = False
        self.done = False
        self.followers = 0
        self.scope = anyio.CancelScope()
        self._changed = anyio.Event()

    def notify(self) -> None:
        """Wake all that follow the run."""
        self._changed.set()
        self._changed = anyio.Event()

    async def wait(self, index: int) -> bool:
        """Wait for the token at ``index``; ``False`` when the run ended before."""
        while self.tokens <= index and not self.done:
            await self._changed.wait()
        return self.tokens > index


class Batch:
    """All runs of one engine; waiting runs start by priority, then by arrival."""

    def __init__(self, faults: Faults, counts: RunCounts) -> None:
        self.faults = faults
        self.counts = counts
        self.running = 0
        self.runs: dict[str, Run] = {}
        self.fences: dict[str, int] = {}
        self._cache = PrefixCache()
        self._waiting: list[tuple[int, int, anyio.Event]] = []
        self._arrivals = itertools.count()

    @property
    def queued(self) -> int:
        """Runs that wait for a slot."""
        return len(self._waiting)

    def is_full(self) -> bool:
        """Say whether a new run would find neither a slot nor room to wait."""
        busy = self.running >= self.faults.slots
        return busy and self.queued >= self.faults.queue

    def accept_fence(self, holder: str, number: int) -> bool:
        """Take a higher fencing number; ``False`` for one that is old."""
        highest = max(number, self.fences.get(holder, 0))
        self.fences[holder] = highest
        return number == highest

    async def execute(self, run: Run, priority: int) -> None:
        """Generate the run's tokens until its end or its cancellation."""
        with run.scope:
            await self._acquire_slot(priority)
            try:
                await self._generate(run)
            finally:
                self._release_slot()
        run.done = True
        run.notify()
        await anyio.sleep(self.faults.resume_seconds)
        if self.runs.get(run.identity) is run:
            del self.runs[run.identity]

    async def cancel_unfollowed(self, run: Run) -> None:
        """Cancel the run if nobody follows it again within the grace."""
        await anyio.sleep(self.faults.resume_seconds)
        if run.followers == 0:
            run.scope.cancel()

    async def _generate(self, run: Run) -> None:
        prompt = " ".join(run.words)
        run.started = True
        self.counts.add(run.identity, 1, len(run.words))
        if self.faults.poison and self.faults.poison in prompt:
            os._exit(CRASH_STATUS)
        cached = self._cache.count_hits(run.words, self.faults.cache_blocks)
        await anyio.sleep((len(run.words) - cached) * self.faults.prompt_seconds)
        mark = LENGTH_MARK.search(prompt)
        length = int(mark.group(1)) if mark else self.faults.answer_tokens
        if not self.faults.ignore_max_tokens:
            length = min(length, run.limit)
        run.length = length
        for _ in range(length):
            await anyio.sleep(self.faults.token_seconds)
            self.counts.add(run.identity, 0, 1)
            run.tokens += 1
            run.notify()

    async def _acquire_slot(self, priority: int) -> None:
        if self.running < self.faults.slots:
            self.running += 1
            return
        ready = anyio.Event()
        entry = (priority, next(self._arrivals), ready)
        heapq.heappush(self._waiting, entry)
        try:
            await ready.wait()
        except BaseException:
            if ready.is_set():
                self._release_slot()
            else:
                self._waiting.remove(entry)
                heapq.heapify(self._waiting)
            raise

    def _release_slot(self) -> None:
        """Hand the slot to the next waiting run, or free it."""
        if self._waiting:
            heapq.heappop(self._waiting)[2].set()
        else:
            self.running -= 1
