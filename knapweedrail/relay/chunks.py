"""Whole chunks of a body, cut out of what one read brought.

Pure. The parser of `h11` takes a chunk in two steps, each over its state machine, and
gives it on alone; that was a third of what an event cost from the runner's bytes to the
caller's. Most reads bring whole chunks, and these are taken here, together. All else
is left to the parser, which stands between two chunks meanwhile: sizes in other
spellings, extensions, the last chunk, trailers, and whatever is malformed.
"""

from __future__ import annotations

import re

_SIZE = re.compile(rb"([0-9A-Fa-f]{1,5})\r\n")
"""A plain size, of up to a megabyte; a larger chunk is passed on in parts."""


def cut_chunks(data: bytes) -> tuple[bytes, bytes]:
    """Return what the whole chunks at the beginning of some bytes hold, and the rest.

    Args:
        data: Bytes of a body, from the beginning of a chunk on.
    """
    parts = []
    start = 0
    while start < len(data) and (match := _SIZE.match(data, start)):
        end = match.end() + int(match[1], 16)
        if end == match.end() or data[end : end + 2] != b"\r\n":
            break
        parts.append(data[match.end() : end])
        start = end + 2
    return parts[0] if len(parts) == 1 else b"".join(parts), data[start:]
