"""Reading and writing the pages of one shard's archive."""

from __future__ import annotations

from . import archives
from .archives import BILLS, CLAIMS, Archive
from .ledgers import Ledger
from .outcomes import Found, Unavailable, Written
from .platforms import CREATE, Platform


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
        first = ledger.bill_pages - archives.BILL_PAGES_KEPT
        for number in range(max(first, self.archive.bill_pages, 0), ledger.bill_pages):
            value = await self._read(BILLS, number)
            if value is None:
                return False
            bills = archives.decode_bills(value)
            self.archive = archives.add_bills(self.archive, number, bills)
        for number in range(self.archive.claim_pages, ledger.claim_pages):
            value = await self._read(CLAIMS, number)
            if value is None:
                return False
            claims = archives.decode_claims(value)
            self.archive = archives.add_claims(self.archive, number, claims)
        return True

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
