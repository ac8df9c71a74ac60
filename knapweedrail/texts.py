"""Texts of configurations on the platform, named by their digest."""

from __future__ import annotations

import zlib

from .configuration import digest_text
from .outcomes import Conflict, Found, Unavailable, Unknown, Written
from .platforms import CREATE, MAX_VALUE_BYTES, Platform

PREFIX = "config/file/"

PART_BYTES = MAX_VALUE_BYTES - 1_000
"""Bytes of one part, below the platform's limit with some room."""

MAX_TEXT_BYTES = 64 * 2**20
"""Longest text; a compressed object that claims more is refused, as unpacking it
would take the memory of the host."""

WRITE_TRIES = 3

SEPARATOR = b"\n"
"""Ends the number of parts in the head."""


async def store_text(platform: Platform, text: str) -> Unavailable | Unknown | None:
    """Store a text; ``None`` when it stands.

    The head holds the number of parts and the first part, so that a usual file takes
    one read of each router. It is written last: who finds the head finds all. An
    object that stands already has the same content, as its key is the digest, so lost
    answers and two operators with one file do no harm.
    """
    digest = digest_text(text)
    packed = zlib.compress(text.encode())
    parts = [packed[i : i + PART_BYTES] for i in range(0, len(packed), PART_BYTES)]
    for number, part in enumerate(parts[1:], 1):
        failure = await _create(platform, f"{PREFIX}{digest}/{number}", part)
        if failure is not None:
            return failure
    head = str(len(parts)).encode() + SEPARATOR + parts[0]
    return await _create(platform, f"{PREFIX}{digest}", head)


async def _create(
    platform: Platform, key: str, value: bytes
) -> Unavailable | Unknown | None:
    outcome = None
    for _ in range(WRITE_TRIES):
        outcome = await platform.write(key, value, CREATE)
        if isinstance(outcome, Written | Conflict):
            return None
    return outcome


async def load_text(platform: Platform, digest: str) -> str | Unavailable:
    """Load a text and check it against its digest."""
    head = await platform.read(f"{PREFIX}{digest}")
    if not isinstance(head, Found):
        return _fail(head, digest, "missing")
    count, _, packed = head.value.partition(SEPARATOR)
    if not count.isdigit():
        return _fail(None, digest, "not a head")
    for number in range(1, int(count)):
        part = await platform.read(f"{PREFIX}{digest}/{number}")
        if not isinstance(part, Found):
            return _fail(part, digest, f"part {number} is missing")
        packed += part.value
    text = unpack(packed)
    if text is None or digest_text(text) != digest:
        return _fail(None, digest, "the content doesn't match the digest")
    return text


def unpack(packed: bytes) -> str | None:
    """Unpack a text; ``None`` when it is broken or too long."""
    unpacker = zlib.decompressobj()
    try:
        return unpacker.decompress(packed, MAX_TEXT_BYTES).decode()
    except (zlib.error, UnicodeDecodeError):
        return None


def _fail(outcome: object, digest: str, detail: str) -> Unavailable:
    if isinstance(outcome, Unavailable):
        return outcome
    return Unavailable("texts.load", digest, detail)
