"""The audit trail: who changed what, and when, in pages on the platform.

The page that grows is one object, changed by conditional update. A full page is copied
to an object of its own, which never changes again, before the next one begins.
"""

from __future__ import annotations

import enum
import random

import attrs
import cattrs
import orjson

from .decoding import decode_object
from .outcomes import Conflict, Found, Unavailable, Unknown, Written
from .platforms import CREATE, Platform
from .proposals import Proposal, Stage, State
from .updates import Edit, Updated, update_object

HEAD_KEY = "audit/head"

PAGE_BYTES = 200_000
"""Bytes at which a page is full: far below the platform's megabyte, as each entry
rewrites its page, and above all that can be written twice (see `append_entries`)."""

MAX_DETAIL = 4_000
"""Longest detail of an entry, so that one entry can't fill a page."""

ROLL_TRIES = 10


class Kind(enum.Enum):
    """What an entry tells of."""

    ACCEPTED = "accepted"
    WITHDRAWN = "withdrawn"
    IN_FORCE = "in force"
    TOP_UP = "top-up"
    WITHDRAWAL = "withdrawal"
    RELEASE = "release"


@attrs.frozen
class AuditEntry:
    """One change.

    Attributes:
        identity: Identity of the change; an entry stands once for each.
        kind: What it tells of.
        author: Who did it: an operator's name, or a router.
        seconds: Unix time at the writer, for people only.
        subject: What changed: the configuration, a data centre or a budget.
        before: What was there before, such as the version's number.
        after: What is there now.
        detail: More for people.
    """

    identity: str
    kind: Kind
    author: str
    seconds: float
    subject: str
    before: str = ""
    after: str = ""
    detail: str = ""


@attrs.frozen
class _Head:
    page: int = 0
    earlier: tuple[str, ...] = ()
    entries: tuple[AuditEntry, ...] = ()


@attrs.frozen
class _Full:
    value: bytes
    version: int = 0


def list_settled(state: State) -> tuple[AuditEntry, ...]:
    """Return the entries of all settled proposals that the state still names."""
    settled = (p for p in reversed(state.proposals()) if p.stage is not Stage.OPEN)
    return tuple(_make_entry(proposal) for proposal in settled)


def _make_entry(proposal: Proposal) -> AuditEntry:
    decided = proposal.stage is Stage.DECIDED
    return AuditEntry(
        f"configuration/{proposal.identity}",
        Kind.ACCEPTED if decided else Kind.WITHDRAWN,
        proposal.author,
        proposal.settled,
        "configuration",
        str(proposal.base),
        str(proposal.version.number),
        proposal.reason or proposal.version.digest,
    )


async def append_entries(
    platform: Platform, entries: tuple[AuditEntry, ...], rng: random.Random
) -> Unavailable | Unknown | None:
    """Add entries, each once; ``None`` when all stand.

    An entry can come twice: its writer lost the answer, or died after the change and
    others, who saw the change, write it too. It is looked for by identity on the page
    that grows and on the one before it. That covers all that can come twice: the state
    names the last 20 proposals, and a page holds several hundred entries.
    """
    for _ in range(ROLL_TRIES):
        outcome = await update_object(
            platform, HEAD_KEY, lambda value: _edit(value, entries), rng
        )
        if not isinstance(outcome, Updated):
            return outcome
        if not isinstance(outcome.result, _Full):
            return None
        failure = await _roll(platform, outcome.result.value, outcome.version)
        if failure is not None:
            return failure
    return Unavailable("audits.append", HEAD_KEY, "lost every race for a new page")


def _edit(value: bytes | None, entries: tuple[AuditEntry, ...]) -> Edit:
    head = _Head() if value is None else _decode(value)
    known = {*head.earlier, *(entry.identity for entry in head.entries)}
    fresh = tuple(entry for entry in entries if entry.identity not in known)
    if not fresh:
        return Edit(None)
    if value is not None and len(value) >= PAGE_BYTES:
        return Edit(None, _Full(value))
    cut = (attrs.evolve(e, detail=e.detail[:MAX_DETAIL]) for e in fresh)
    return Edit(_encode(attrs.evolve(head, entries=(*head.entries, *cut))))


async def _roll(platform: Platform, value: bytes, version: int) -> Unavailable | None:
    """Copy a full page to its own object and begin the next one.

    A full head takes no more entries, so two who copy it copy the same bytes. Where an
    answer is lost or another one was first, the next round sees what stands.
    """
    head = _decode(value)
    copied = await platform.write(f"audit/{head.page}", value, CREATE)
    if not isinstance(copied, Written | Conflict):
        return copied if isinstance(copied, Unavailable) else None
    identities = tuple(entry.identity for entry in head.entries)
    outcome = await platform.write(
        HEAD_KEY, _encode(_Head(head.page + 1, identities)), version
    )
    return outcome if isinstance(outcome, Unavailable) else None


async def read_entries(
    platform: Platform, pages: int = 1
) -> tuple[AuditEntry, ...] | Unavailable:
    """Read the latest pages of the trail, oldest entry first."""
    found = await platform.read(HEAD_KEY)
    if isinstance(found, Unavailable):
        return found
    if not isinstance(found, Found):
        return ()
    head = decode_object(HEAD_KEY, found.value, _decode)
    if isinstance(head, Unavailable):
        return head
    entries = head.entries
    for page in range(head.page - 1, max(-1, head.page - pages), -1):
        earlier = await platform.read(f"audit/{page}")
        if not isinstance(earlier, Found):
            detail = f"page {page} is missing"
            return Unavailable("audits.read", HEAD_KEY, detail)
        decoded = decode_object(f"audit/{page}", earlier.value, _decode)
        if isinstance(decoded, Unavailable):
            return decoded
        entries = (*decoded.entries, *entries)
    return entries


def _encode(head: _Head) -> bytes:
    return orjson.dumps(cattrs.unstructure(head))


def _decode(value: bytes) -> _Head:
    return cattrs.structure(orjson.loads(value), _Head)
