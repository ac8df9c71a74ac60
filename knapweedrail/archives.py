"""Older bills and claims, moved out of a ledger to pages of their own.

A ledger is written whole with each batch and may not outgrow an object. A page is
written once, by conditional create, before the ledger that no longer holds its
content. When the router dies between the two, the page stands with a copy of what the
ledger still holds; whoever moves next finds it and goes on with it as it is.
"""

from __future__ import annotations

import hashlib

import attrs
import orjson

from .budget_messages import CLAIMED, Claim
from .ledgers import Ledger, decode_claim, encode_claim
from .models import Bill

BILL_PAGES_KEPT = 96
"""Pages of bills that a router keeps in mind. Older identities count as new requests;
docs/BUDGETS.md says how long that is. It bounds the memory to a few megabytes."""

MIN_BILLS = 400
MIN_CLAIMS = 100
"""Fewer bills or ended claims than these aren't moved: a ledger that is large by its
budgets would write a page with each batch."""

BILLS = "bills"
CLAIMS = "claims"


@attrs.frozen
class Archive:
    """What the pages of one shard hold, read into memory.

    Attributes:
        bills: Digests of billed requests, by number of the page.
        claims: Claims by key, without their answers; never forgotten.
        bill_pages: Pages of bills read so far.
        claim_pages: Pages of claims read so far.
    """

    bills: dict[int, frozenset[bytes]] = attrs.field(factory=dict)
    claims: dict[str, Claim] = attrs.field(factory=dict)
    bill_pages: int = 0
    claim_pages: int = 0

    def has_bill(self, key: str) -> bool:
        """Return whether a request was billed on one of the pages."""
        digest = _digest(key)
        return any(digest in page for page in self.bills.values())


EMPTY = Archive()


def name_page(kind: str, shard: int, number: int) -> str:
    """Return the key of a page; ``kind`` is `BILLS` or `CLAIMS`."""
    return f"{kind}/{shard}/{number}"


def choose_bills(ledger: Ledger) -> dict[str, Bill]:
    """Return the older half of a ledger's bills; none when there are few."""
    if len(ledger.bills) < MIN_BILLS:
        return {}
    count = len(ledger.bills) // 2
    return dict(list(ledger.bills.items())[:count])


def choose_claims(ledger: Ledger) -> dict[str, Claim]:
    """Return the older half of the claims that nothing can change, if they are many.

    Their answers stay behind: a retry that late learns that the request ran, not
    what it answered.
    """
    ended = [
        (key, attrs.evolve(claim, body=None))
        for key, claim in ledger.claims.items()
        if claim.state != CLAIMED
    ]
    if len(ended) < MIN_CLAIMS:
        return {}
    return dict(ended[: len(ended) // 2])


def encode_bills(bills: dict[str, Bill]) -> bytes:
    """Encode a page of bills."""
    return orjson.dumps({key: attrs.astuple(bill) for key, bill in bills.items()})


def decode_bills(value: bytes) -> dict[str, Bill]:
    """Decode a page of bills."""
    return {key: Bill(*row) for key, row in orjson.loads(value).items()}


def encode_claims(claims: dict[str, Claim]) -> bytes:
    """Encode a page of claims."""
    return orjson.dumps({key: encode_claim(claim) for key, claim in claims.items()})


def decode_claims(value: bytes) -> dict[str, Claim]:
    """Decode a page of claims."""
    return {key: decode_claim(row) for key, row in orjson.loads(value).items()}


def add_bills(archive: Archive, number: int, bills: dict[str, Bill]) -> Archive:
    """Return the archive with one more page of bills; the oldest may go."""
    oldest = number + 1 - BILL_PAGES_KEPT
    pages = {key: page for key, page in archive.bills.items() if key >= oldest}
    pages[number] = frozenset(_digest(key) for key in bills)
    return attrs.evolve(archive, bills=pages, bill_pages=number + 1)


def add_claims(archive: Archive, number: int, claims: dict[str, Claim]) -> Archive:
    """Return the archive with one more page of claims."""
    known = {**archive.claims, **claims}
    return attrs.evolve(archive, claims=known, claim_pages=number + 1)


def remove_bills(ledger: Ledger, bills: dict[str, Bill]) -> Ledger:
    """Return the ledger without the bills of its next page."""
    rest = {key: bill for key, bill in ledger.bills.items() if key not in bills}
    return attrs.evolve(ledger, bills=rest, bill_pages=ledger.bill_pages + 1)


def remove_claims(ledger: Ledger, claims: dict[str, Claim]) -> Ledger:
    """Return the ledger without the claims of its next page."""
    rest = {key: claim for key, claim in ledger.claims.items() if key not in claims}
    return attrs.evolve(ledger, claims=rest, claim_pages=ledger.claim_pages + 1)


def _digest(key: str) -> bytes:
    return hashlib.blake2b(key.encode(), digest_size=12).digest()
