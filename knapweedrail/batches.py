"""The task that writes one shard's batches to the platform."""

from __future__ import annotations

import random
from collections.abc import Callable

import anyio
import attrs

from .entries import Batch, Entry, Outcome
from .events import Event, log_event
from .ledgers import Ledger, decode_ledger, encode_ledger
from .models import Holder
from .outcomes import Conflict, Found, Missing, Unavailable, Written
from .pages import Pages
from .platforms import CREATE, Platform
from .postings import apply_batch
from .tasks import Task

FIRST_DELAY = 0.02
"""Bound on the seconds before the first retry. Longer than a write takes, so that two
writers who met once seldom meet again."""

CONFLICT_DELAY = 0.08
"""Bound on the seconds between retries while the platform answers: some tens of
writers on one ledger spread over it."""

LONGEST_DELAY = 1.0
"""Bound on the seconds between retries: how late a platform that is back is noticed.
At 500 routers it makes at most 500 calls a second, which the platform bears."""


LARGE_BYTES = 128_000
"""A ledger above this size has its older half of bills and claims moved out. Each batch
encodes the ledger whole, which costs milliseconds by then; a page much smaller would
make many pages for a starting router to read."""

READS_FAILED = 2
"""Reads that fail one after another before the platform counts as away. A single lost
answer would else refuse requests and claims at once with the platform there."""

WRITES_FAILED = 3
"""Writes of one batch that fail, with reads answered between them, before the platform
counts as away. One lost answer must not make a whole data centre refuse; a platform
that only reads can't grant."""


@attrs.frozen
class Post:
    """Apply entries and write them. Answer: `Posted`, once it is certain."""

    entries: tuple[Entry, ...]


@attrs.frozen
class Posted:
    """The entries stand in the ledger, with these outcomes."""

    outcomes: tuple[Outcome, ...]
    ledger: Ledger


@attrs.frozen
class Look:
    """Read the ledger. Answer: `Ledger` or `Unavailable`."""


class ShardTask(Task):
    """Writes one shard, one batch in flight.

    A batch keeps its number through every retry until the ledger shows what came of
    it; it isn't given up, since a write whose answer was lost may take effect late.

    Args:
        shard: Number of the shard.
        holder: Who writes.
        data_centre: Where the writer stands.
        platform: Client of the platform.
        rng: Source of the jitter.
        report_away: Called with ``True`` when a call fails and ``False`` when one
            succeeds again.
    """

    def __init__(
        self,
        shard: int,
        holder: Holder,
        data_centre: str,
        platform: Platform,
        rng: random.Random,
        report_away: Callable[[bool], None],
    ) -> None:
        super().__init__(f"shard-{shard}")
        self.key = f"ledger/{shard}"
        self.holder = holder
        self.data_centre = data_centre
        self.platform = platform
        self.rng = rng
        self.report_away = report_away
        self.reads = 0
        self.writes = 0
        self._ledger: Ledger | None = None
        self._version = CREATE
        self._pages = Pages(shard, platform)
        self._is_large = False
        self._number = 0
        self._away = False
        self._failed_reads = 0
        self._failed_writes = 0

    async def run(self) -> None:
        async for envelope in self._receive:
            if isinstance(envelope.message, Look):
                envelope.reply.set(await self._read())
            else:
                envelope.reply.set(await self._post(envelope.message.entries))

    async def _post(self, entries: tuple[Entry, ...]) -> Posted:
        self._number += 1
        batch = Batch(self.holder, self.data_centre, self._number, entries)
        delay = FIRST_DELAY
        while True:
            posted = await self._try(batch)
            if posted is not None:
                return posted
            # Jitter keeps writers that failed together from coming back together.
            await anyio.sleep(delay * self.rng.uniform(0.0, 1.0))
            # Whoever met another writer tries on soon: each meeting means that one
            # of them got through, and a pause that doubled would starve the others.
            is_failing = self._failed_reads + self._failed_writes > 0
            longest = LONGEST_DELAY if is_failing else CONFLICT_DELAY
            delay = min(longest, delay * 2)

    async def _try(self, batch: Batch) -> Posted | None:
        if self._ledger is None and isinstance(await self._read(), Unavailable):
            return None
        if not await self._pages.catch_up(self._ledger):
            return None
        ledger = self._ledger
        if self._is_large:
            ledger = await self._pages.move(ledger)
        applied = apply_batch(ledger, batch, self._pages.archive)
        if not applied.changed:
            return Posted(applied.outcomes, applied.ledger)
        value = encode_ledger(applied.ledger)
        self._is_large = len(value) > LARGE_BYTES
        self.writes += 1
        outcome = await self.platform.write(self.key, value, self._version)
        if isinstance(outcome, Written):
            self._note_write(True)
            self._ledger = applied.ledger
            self._version = outcome.version
            return Posted(applied.outcomes, applied.ledger)
        # Whether the write failed or its answer was lost, the ledger read next
        # tells: it holds this batch's number, or another version in whose place
        # the late write can't come.
        self._ledger = None
        self._note_write(isinstance(outcome, Conflict))
        return None

    async def _read(self) -> Ledger | Unavailable:
        self.reads += 1
        outcome = await self.platform.read(self.key)
        if isinstance(outcome, Unavailable):
            self._failed_reads += 1
            self._judge()
            return outcome
        self._failed_reads = 0
        self._judge()
        if isinstance(outcome, Missing):
            self._ledger, self._version = Ledger(), CREATE
            return self._ledger
        assert isinstance(outcome, Found)
        if self._ledger is None or outcome.version > self._version:
            return self._decode(outcome)
        return self._ledger

    def _decode(self, found: Found) -> Ledger | Unavailable:
        """Take over a ledger; one that can't be decoded is as good as out of reach.

        It may be of a newer program's format. Raising would end the router and with
        it all requests; as it is, only those that need this shard are refused.
        """
        try:
            self._ledger = decode_ledger(found.value)
        except (ValueError, KeyError, TypeError, IndexError) as error:
            log_event(Event.LEDGER_UNREADABLE, key=self.key, error=repr(error))
            self._failed_reads += 1
            self._judge()
            return Unavailable("ledger.decode", self.key, repr(error))
        self._version = found.version
        return self._ledger

    def _note_write(self, answered: bool) -> None:
        self._failed_writes = 0 if answered else self._failed_writes + 1
        if answered:
            self._failed_reads = 0
        self._judge()

    def _judge(self) -> None:
        is_silent = self._failed_reads >= READS_FAILED
        away = is_silent or self._failed_writes >= WRITES_FAILED
        if away == self._away:
            return
        self._away = away
        event = Event.PLATFORM_AWAY if away else Event.PLATFORM_BACK
        log_event(event, key=self.key, holder=str(self.holder))
        self.report_away(away)
