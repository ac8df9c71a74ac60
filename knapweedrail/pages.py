"""Reading and writing the pages of one shard's archive."""

from __future__ import annotations

import anyio

from . import archives
from .archives import BILLS, CLAIMS, Archive
from .ledgers import Ledger
from .outcomes import Found, Unavailable, Written
from .platforms import CREATE, Platform

READS_AT_ONCE = 8
"""Pages that a starting router reads at once: a hundred pages one after another would
hold up its first grant for half a second, all at once would burden the platform when
many routers start together."""


class Pages:
    """The pages of one shard.

    Args:
        shard: Number of the shard.
        platform: Client of the platform.
    """

    def __init__(self, shard: int, platform: Platform) -> None:
        self.shard = shard
        self.platform = platform
        self.archive = Archive()

    async def catch_up(self, ledger: Ledger) -> bool:
        """Read the pages that the ledger counts and that aren't known yet.

        Returns:
            Whether all of them are known now. A batch may not be applied before: a
            bill or a claim on an unread page would be taken for a new one.
        """
        first = max(0, ledger.bill_pages - archives.BILL_PAGES_KEPT)
        numbers = range(max(first, self.archive.bill_pages), ledger.bill_pages)
        values = await self._read_all(BILLS, numbers)
        for number, value in zip(numbers, values):
            if value is None:
                return False
            bills = archives.decode_bills(value)
            self.archive = archives.add_bills(self.archive, number, bills)
        numbers = range(self.archive.claim_pages, ledger.claim_pages)
        values = await self._read_all(CLAIMS, numbers)
        for number, value in zip(numbers, values):
            if value is None:
                return False
            claims = archives.decode_claims(value)
            self.archive = archives.add_claims(self.archive, number, claims)
        return True

    async def _read_all(self, kind: str, numbers: range) -> list[bytes | None]:
        values: list[bytes | None] = [None] * len(numbers)
        limiter = anyio.CapacityLimiter(READS_AT_ONCE)

        async def read(place: int, number: int) -> None:
            async with limiter:
                values[place] = await self._read(kind, number)

        async with anyio.create_task_group() as group:
            for place, number in enumerate(numbers):
                group.start_soon(read, place, number)
        return values

    async def move(self, ledger: Ledger) -> Ledger:
        """Write what is old to pages; return the ledger without it, not yet written.

        When the platform doesn't answer, the ledger comes back as it was.
        """
        bills = archives.choose_bills(ledger)
        if bills:
            value = await self._create(
                BILLS, ledger.bill_pages, archives.encode_bills(bills)
            )
            if value is None:
                return ledger
            bills = archives.decode_bills(value)
            number = ledger.bill_pages
            self.archive = archives.add_bills(self.archive, number, bills)
            ledger = archives.remove_bills(ledger, bills)
        claims = archives.choose_claims(ledger)
        if claims:
            value = await self._create(
                CLAIMS, ledger.claim_pages, archives.encode_claims(claims)
            )
            if value is None:
                return ledger
            claims = archives.decode_claims(value)
            number = ledger.claim_pages
            self.archive = archives.add_claims(self.archive, number, claims)
            ledger = archives.remove_claims(ledger, claims)
        return ledger

    async def _create(self, kind: str, number: int, value: bytes) -> bytes | None:
        key = archives.name_page(kind, self.shard, number)
        outcome = await self.platform.write(key, value, CREATE)
        if isinstance(outcome, Written):
            return value
        if isinstance(outcome, Unavailable):
            return None
        # Another router's page, or our own whose answer was lost: what stands counts.
        return await self._read(kind, number)

    async def _read(self, kind: str, number: int) -> bytes | None:
        key = archives.name_page(kind, self.shard, number)
        outcome = await self.platform.read(key)
        return outcome.value if isinstance(outcome, Found) else None
