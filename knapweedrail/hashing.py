"""Rendezvous hashing: equal choices by all relays without communication."""

from __future__ import annotations

from hashlib import blake2b


def hash_pair(key: str, name: str) -> int:
    """Return the weight of a name for a key; the name with the smallest is chosen.

    If a name is added or removed, only the keys for which it is chosen move.
    """
    digest = blake2b(f"{key}/{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
