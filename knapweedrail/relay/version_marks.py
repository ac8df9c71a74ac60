"""Software versions that served beside each other, in the store.

They outlast the loss of all relays, and show a relay that was cut off what it missed.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from .stores import Conflict, Listing, Store, Written

KIND = "several-versions"
"""Objects named after the endpoints that have had runners of several versions."""

_VERSIONS = "versions"


async def read_versions(store: Store, endpoints: Iterable[str]) -> set[str] | None:
    """Return all versions that ever served at some endpoints beside another one.

    Returns:
        The versions; ``None`` if the store doesn't answer or an object is unreadable.
    """
    listing = await store.list_kind(KIND)
    if not isinstance(listing, Listing):
        return None
    wanted = set(endpoints)
    found = [decode(o.spec) for o in listing.objects if o.name in wanted]
    if None in found:
        return None
    return set().union(*found)


async def write_versions(store: Store, endpoint: str, versions: set[str]) -> bool:
    """Add versions to those of an endpoint; return whether they are stored."""
    outcome = await store.create(KIND, endpoint, encode(versions))
    while isinstance(outcome, Conflict):
        known = decode(outcome.stored.spec) or set()
        if versions <= known:
            return True
        spec = encode(versions | known)
        revision = outcome.stored.revision
        outcome = await store.replace(KIND, endpoint, spec, revision)
    return isinstance(outcome, Written)


def encode(versions: set[str]) -> dict[str, Any]:
    """Return the object of an endpoint."""
    return {_VERSIONS: sorted(versions)}


def decode(spec: Any) -> set[str] | None:
    """Return the versions in an object, or ``None`` if another writer spoilt it."""
    versions = spec.get(_VERSIONS) if isinstance(spec, dict) else None
    if not isinstance(versions, list) or not all(isinstance(v, str) for v in versions):
        return None
    return set(versions)
