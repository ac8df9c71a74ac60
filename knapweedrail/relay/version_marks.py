"""Software versions at which streams may have begun, in the store.

A version stands in the object of its endpoint before its first stream begins, and for
as long as one may go on. So the objects outlast the loss of all relays, and show a
relay that was cut off what it missed.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs

from .stores import Conflict, Listing, Missing, Store, StoredObject, Written

KIND = "several-versions"
"""Objects named after endpoints."""

MAX_WRITE_ATTEMPTS = 8
"""Attempts of one write, which conflicts with those of the other relays."""


@attrs.frozen
class VersionMark:
    """What the store says of an endpoint.

    Attributes:
        versions: Versions at which streams may have begun; ``None`` among them stands
            for others that aren't known.
        retiring: Those of them that some relay is about to remove. A relay that sees
            one of them serve has to write it again.
        revision: Revision of the object; ``None`` if there is none.
    """

    versions: frozenset[str | None] = frozenset()
    retiring: frozenset[str | None] = frozenset()
    revision: int | None = None

    @property
    def staying(self) -> frozenset[str | None]:
        """Versions that nobody removes before they are unused for a stream's life."""
        return self.versions - self.retiring


UNKNOWN = VersionMark(frozenset({None}))
"""What is known of an endpoint without a readable object."""


async def read_marks(store: Store) -> dict[str, VersionMark] | None:
    """Return the marks of all endpoints that have one; ``None`` without a reply."""
    listing = await store.list_kind(KIND)
    if not isinstance(listing, Listing):
        return None
    return {stored.name: decode(stored) for stored in listing.objects}


async def write_versions(
    store: Store,
    endpoint: str,
    versions: set[str],
    known: VersionMark | None = None,
    complete: bool = False,
) -> VersionMark | None:
    """Add versions to those of an endpoint.

    Args:
        store: The platform's store.
        endpoint: Name of the endpoint.
        versions: Versions that serve it.
        known: Its mark as last read; ``None`` if there was none.
        complete: Whether these are certainly all versions whose streams may go on.

    Returns:
        The mark once all of them stand in it; ``None`` if that isn't known.
    """
    first = VersionMark() if complete else UNKNOWN
    mark = known or first
    for _ in range(MAX_WRITE_ATTEMPTS):
        if mark.revision is not None and versions <= mark.staying:
            return mark
        wanted = attrs.evolve(
            mark,
            versions=mark.versions | versions,
            retiring=mark.retiring - versions,
        )
        outcome = await replace_mark(store, endpoint, wanted)
        if isinstance(outcome, Conflict):
            mark = decode(outcome.stored)
        elif isinstance(outcome, Missing):
            mark = first
        elif isinstance(outcome, Written):
            return attrs.evolve(wanted, revision=outcome.revision)
        else:
            return None
    return None


async def replace_mark(store: Store, endpoint: str, mark: VersionMark) -> Any:
    """Write a mark in place of the one of its revision; return the outcome."""
    if mark.revision is None:
        return await store.create(KIND, endpoint, encode(mark))
    return await store.replace(KIND, endpoint, encode(mark), mark.revision)


def encode(mark: VersionMark) -> dict[str, Any]:
    """Return the object of an endpoint."""
    return {
        "versions": _sort(mark.versions),
        # Apart from the versions, so that relays of the previous version can read them.
        "unlisted": None in mark.versions,
        "retiring": _sort(mark.retiring),
        "retiring_unlisted": None in mark.retiring,
    }


def decode(stored: StoredObject) -> VersionMark:
    """Return what an object says; one that another writer spoilt says nothing."""
    spec = stored.spec if isinstance(stored.spec, dict) else {}
    versions = _decode_versions(spec, "versions", "unlisted")
    retiring = _decode_versions(spec, "retiring", "retiring_unlisted")
    if versions is None:
        return attrs.evolve(UNKNOWN, revision=stored.revision)
    return VersionMark(versions, (retiring or frozenset()) & versions, stored.revision)


def _sort(versions: frozenset[str | None]) -> list[str]:
    return sorted(version for version in versions if version is not None)


def _decode_versions(
    spec: Mapping[str, Any], key: str, unlisted: str
) -> frozenset[str | None] | None:
    found = spec.get(key)
    if not isinstance(found, list) or not all(isinstance(v, str) for v in found):
        return None
    return frozenset(found) | (frozenset({None}) if spec.get(unlisted) else frozenset())
