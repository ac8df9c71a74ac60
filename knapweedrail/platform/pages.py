"""Parses JSON pages of the store in which single objects may be invalid.

One object among hundreds may contain bytes that aren't UTF-8, a NaN, lists nested a
thousand deep, or be cut off. A strict parser rejects the whole page; the store then
counts as unavailable at every relay, and relays no longer learn of runners that start
or leave. So such a page is split at the beginnings of its objects, and only the invalid
ones are unreadable. All steps take time linear in the size of the page.
"""

from __future__ import annotations

import contextlib
import json
import re
from collections.abc import Iterator
from typing import Any

import orjson

from ..relay.stores import Unreadable

_SPLIT_LISTS = frozenset({"entries", "events"})
_SPLIT_OBJECTS = frozenset({"", "object"})
"""Keys of the lists and objects that are parsed part by part; the empty key stands for
the page itself and for the items of a list. Any other value is read completely or not
at all, since a partly read object could pass for a valid one."""

MAX_NESTING = 64
"""Deepest nesting of lists and objects in a valid part of a page. Python's recursion
limit is far above it, and so are the limits of the encoders that objects pass."""

MAX_TAIL_BRACKETS = 16
"""Closing brackets, counted from the end of an invalid page, at which its list may
end; a few short fields follow the list."""

_NOT_BRACKETS = bytes(set(range(256)) - set(b"[]{}"))

_LIST_START = re.compile(rb'"(?P<key>entries|events)"\s*:\s*\[')
_ITEM_START = re.compile(
    rb'\{\s*(?:"removed"\s*:\s*(?:true|false)\s*,\s*)?'
    rb'(?:"object"\s*:\s*\{\s*)?"(?:metadata|spec|status)"\s*:'
)
_SEPARATOR = re.compile(rb",\s*(?=" + _ITEM_START.pattern + rb")")
_METADATA = re.compile(rb'"metadata"\s*:\s*')
_OBJECT = re.compile(rb'\{\s*(?:"removed"\s*:\s*\w+\s*,\s*)?"object"\s*:')
_REMOVED = re.compile(
    rb'^\{\s*"removed"\s*:\s*(true|false)|"removed"\s*:\s*(true|false)\s*\}\s*$'
)


def parse_page(content: bytes) -> Any:
    """Parse a response body of the store; invalid parts become `Unreadable`.

    Raises:
        ValueError: If the body as a whole isn't a page or an object, or nothing in it
            can be read.
    """
    with contextlib.suppress(ValueError):
        return _mask_deep(orjson.loads(content), content)
    # The standard library accepts NaN and lone surrogates, which are masked here.
    with contextlib.suppress(ValueError, RecursionError):
        return _mask_unreadable(json.loads(content), "")
    return _split_page(content)


def _mask_deep(value: Any, content: bytes, key: str = "") -> Any:
    """Return a value without parts that are nested too deeply.

    Args:
        content: The text from which the value was parsed.
    """
    return _mask_unreadable(value, key) if _may_be_deep(content) else value


def _mask_unreadable(value: Any, key: str) -> Any:
    """Return a page in which parts that aren't valid JSON are `Unreadable`."""
    if isinstance(value, list) and key in _SPLIT_LISTS:
        return [_mask_unreadable(item, "") for item in value]
    if isinstance(value, dict) and key in _SPLIT_OBJECTS:
        return {name: _mask_unreadable(item, name) for name, item in value.items()}
    return value if _is_valid_json(value) else Unreadable()


def _may_be_deep(content: bytes) -> bool:
    """Return whether a page may exceed `MAX_NESTING`; brackets in texts count too."""
    brackets = content.translate(None, _NOT_BRACKETS)
    for _ in range(MAX_NESTING):
        shorter = brackets.replace(b"[]", b"").replace(b"{}", b"")
        if not shorter:
            return False
        if len(shorter) == len(brackets):
            break
        brackets = shorter
    return True


def _is_deep(value: Any) -> bool:
    level = [value]
    for _ in range(MAX_NESTING):
        level = [
            item
            for each in level
            if isinstance(each, (dict, list))
            for item in (each.values() if isinstance(each, dict) else each)
        ]
        if not level:
            return False
    return True


def _is_valid_json(value: Any) -> bool:
    if _is_deep(value):
        return False
    try:
        # NaN, the infinities and lone surrogates aren't valid JSON, but the standard
        # library accepts them.
        json.dumps(value, allow_nan=False)
        orjson.dumps(value)
    except (ValueError, TypeError):
        return False
    return True


def _split_page(content: bytes) -> Any:
    """Parse a page whose text isn't JSON, item by item.

    Raises:
        ValueError: If nothing in it can be read.
    """
    found = _LIST_START.search(content)
    if found is None:
        return _read_metadata(content)
    page, end = _parse_frame(content, found.end())
    items = [_parse_item(text) for text in _split_items(content, found.end(), end)]
    if all(isinstance(item, Unreadable) for item in items):
        raise ValueError("no object of the page can be read")
    return page | {found["key"].decode(): items}


def _parse_frame(content: bytes, start: int) -> tuple[dict[str, Any], int]:
    """Return the page with an empty list, and where the list ends.

    Args:
        start: Where the list starts, after its bracket.

    Raises:
        ValueError: If what surrounds the list can't be read.
    """
    end = len(content)
    for _ in range(MAX_TAIL_BRACKETS):
        end = content.rfind(b"]", start, end)
        if end < 0:
            break
        with contextlib.suppress(ValueError):
            page = orjson.loads(content[:start] + content[end:])
            if isinstance(page, dict):
                return page, end
    raise ValueError("the fields of the page can't be read")


def _split_items(content: bytes, start: int, end: int) -> Iterator[bytes]:
    """Yield the texts of a list's items.

    Each starts like an object of the store. An object that contains such a list itself
    is split too, and counts as unreadable.
    """
    for separator in _SEPARATOR.finditer(content, start, end):
        yield content[start : separator.start()]
        start = separator.end()
    yield content[start:end]


def _parse_item(text: bytes) -> Any:
    try:
        return _mask_deep(orjson.loads(text), text)
    except ValueError:
        with contextlib.suppress(ValueError):
            return _read_metadata(text)
    return Unreadable()


def _read_metadata(text: bytes) -> dict[str, Any]:
    """Return an object, or a change of one, of which only the metadata is readable.

    Raises:
        ValueError: If they aren't readable either.
    """
    found = _METADATA.search(text)
    if found is None:
        raise ValueError("no metadata")
    rest = text[found.end() :].decode("utf-8", "replace")
    try:
        metadata, _ = json.JSONDecoder().raw_decode(rest)
    except RecursionError as error:
        raise ValueError("metadata are nested too deeply") from error
    if not _is_valid_json(metadata):
        raise ValueError("metadata aren't valid")
    stored = {"metadata": metadata, "spec": Unreadable()}
    if _OBJECT.match(text) is None:
        return stored
    removed = _REMOVED.search(text)
    is_removed = removed is not None and b"true" in (removed[1], removed[2])
    return {"removed": is_removed, "object": stored}
