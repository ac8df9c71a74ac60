"""Contents that ran on several crashed runners, in the store.

They outlast the loss of all relays. Each relay writes one object, so that no two write
the same one.
"""

from __future__ import annotations

from typing import Any

import attrs

from ..quarantine import QUARANTINE_SECONDS
from .malformed import MalformedObjects
from .stores import Conflict, Listing, Missing, Store, StoredObject, Written

KIND = "crash-suspects"
"""Objects named after the relays' hosts."""

MAX_LINES = 200
MAX_LINE_LENGTH = 4000
"""Bounds of an object, so that a broken writer can't fill a relay's memory."""


@attrs.frozen
class SavedSuspects:
    """The object of one relay.

    Attributes:
        host: Host of the relay.
        revision: Revision of the object; ``None`` if there is none.
        lines: Lines about suspects.
        saved_at: When they were written, Unix seconds.
    """

    host: str
    revision: int | None = None
    lines: tuple[str, ...] = ()
    saved_at: float = 0.0

    def is_expired(self, now: float) -> bool:
        """Return whether all that the object says is too old to count."""
        return now - self.saved_at > QUARANTINE_SECONDS


async def read_suspects(
    store: Store, malformed: MalformedObjects, now: float
) -> list[SavedSuspects] | None:
    """Return the objects of all relays; ``None`` if the store doesn't answer.

    Args:
        store: The platform's store.
        malformed: Records objects that can't be used.
        now: Monotonic time, seconds.
    """
    listing = await store.list_kind(KIND)
    if not isinstance(listing, Listing):
        return None
    found = []
    for stored in listing.objects:
        try:
            found.append(decode(stored))
        except ValueError as error:
            malformed.record(KIND, stored.name, stored.revision, str(error), now)
            found.append(SavedSuspects(stored.name, stored.revision))
    return found


async def write_suspects(store: Store, saved: SavedSuspects) -> SavedSuspects | None:
    """Write a relay's object.

    Args:
        store: The platform's store.
        saved: What to write, with the revision of the object that it replaces.

    Returns:
        The object as it is stored; ``None`` if it isn't known to be.
    """
    outcome = await _write(store, saved)
    if isinstance(outcome, Conflict):
        # An earlier process of this host wrote it; all of that has been read at the
        # start, or is known to other relays.
        outcome = await _write(
            store, attrs.evolve(saved, revision=outcome.stored.revision)
        )
    elif isinstance(outcome, Missing):
        outcome = await _write(store, attrs.evolve(saved, revision=None))
    if isinstance(outcome, Written):
        return attrs.evolve(saved, revision=outcome.revision)
    return None


async def _write(store: Store, saved: SavedSuspects) -> Any:
    spec = encode(saved)
    if saved.revision is None:
        return await store.create(KIND, saved.host, spec)
    return await store.replace(KIND, saved.host, spec, saved.revision)


def encode(saved: SavedSuspects) -> dict[str, Any]:
    """Return the content of an object."""
    return {"lines": list(saved.lines), "saved_at": saved.saved_at}


def decode(stored: StoredObject) -> SavedSuspects:
    """Decode an object.

    Raises:
        ValueError: If it isn't in the format of `encode`.
    """
    spec = stored.spec
    if not isinstance(spec, dict):
        raise ValueError("not an object about suspects")
    lines, saved_at = spec.get("lines"), spec.get("saved_at")
    if not isinstance(lines, list) or len(lines) > MAX_LINES:
        raise ValueError("no list of suspects")
    if not all(isinstance(x, str) and len(x) <= MAX_LINE_LENGTH for x in lines):
        raise ValueError("a suspect isn't a short text")
    if isinstance(saved_at, bool) or not isinstance(saved_at, int | float):
        raise ValueError("no time")
    return SavedSuspects(stored.name, stored.revision, tuple(lines), float(saved_at))
