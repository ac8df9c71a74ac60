"""Older bills and claims, on pages of their own beside the ledger."""

from __future__ import annotations

import attrs

from .budget_messages import Claim


@attrs.frozen
class Archive:
    """Identities on the pages that a ledger has moved out, read into memory.

    Attributes:
        bills: Keys of billed requests.
        claims: Claims by key, without answers.
        pages: Pages read so far.
    """

    bills: frozenset[str] = frozenset()
    claims: dict[str, Claim] = attrs.field(factory=dict)
    pages: int = 0


EMPTY = Archive()
