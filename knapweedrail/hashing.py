"""Rendezvous hashing: choices that all relays make alike without talking."""

from __future__ import annotations

from hashlib import blake2b


def hash_pair(key: str, name: str) -> int:
    """Return the weight of a name for a key; the least one is chosen.

    When a name comes or goes, only the keys change hands that it has or had.
    """
    digest = blake2b(f"{key}/{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
