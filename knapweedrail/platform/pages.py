"""JSON of the platform's store, of which single objects may not be readable.

What goes wrong without it: one object among hundreds holds bytes that aren't UTF-8, a
NaN, or lists within lists a thousand deep. The parser rejects the whole page, the store
counts as away at every relay, and no runner that starts or leaves is heard of any more.
Here the page is taken apart, and only that object can't be read.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Any

import orjson

from ..relay.stores import Unreadable

_TOKEN = re.compile(rb'"(?:[^"\\]++|\\.)*+"|[{}\[\],]', re.DOTALL)
"""A string, or what begins, ends or parts values."""

_KEY = re.compile(rb'\s*("(?:[^"\\]++|\\.)*+")\s*:', re.DOTALL)

_LISTS = frozenset({"entries", "events"})
_OBJECTS = frozenset({"", "object"})
"""Keys of what is taken apart; the items of a list, and the whole, have none. Other
values are read whole or not at all: half an object could pass for a sound one."""


def parse_page(content: bytes) -> Any:
    """Parse a body of the store; what can't be read in it is `Unreadable`.

    Raises:
        ValueError: If it isn't the store's form of a page or an object.
    """
    return _parse(content, "")


def _parse(content: bytes, key: str) -> Any:
    try:
        return orjson.loads(content)
    except ValueError:
        if key in _LISTS:
            return [_parse(part, "") for part in _split(content, b"[")]
        if key in _OBJECTS:
            return dict(_parse_member(part) for part in _split(content, b"{"))
        return Unreadable()


def _parse_member(content: bytes) -> tuple[str, Any]:
    key = _KEY.match(content)
    if key is None:
        raise ValueError(f"no member of an object: {content[:50]!r}")
    name = str(orjson.loads(key[1]))
    return name, _parse(content[key.end() :], name)


def _split(content: bytes, opening: bytes) -> Iterator[bytes]:
    """Yield the parts of an object or list, by its outermost commas."""
    if not content.lstrip().startswith(opening):
        raise ValueError(f"{opening!r} expected: {content[:50]!r}")
    depth, begin = 0, 0
    for token in _TOKEN.finditer(content):
        match token[0]:
            case b"{" | b"[":
                depth += 1
                if depth == 1:
                    begin = token.end()
            case b"}" | b"]":
                depth -= 1
                if depth == 0:
                    last = content[begin : token.start()]
                    if last.strip():
                        yield last
                    return
            case b"," if depth == 1:
                yield content[begin : token.start()]
                begin = token.end()
    raise ValueError("the page ends too soon")
