"""Patches between two JSON values.

Pure: no I/O and no clock. A configuration of hundreds of routes changes by a few fields
at a time, and each change is sent to every relay of the fleet over links of a few
Mbit/s.
"""

from __future__ import annotations

import enum
from typing import Any

import orjson

from ..excerpts import make_excerpt

MAX_PATCH_DEPTH = 8
"""Depth of a value below which a change is sent whole. Each level is compared again as
a part of all levels above it."""


class _Form(enum.StrEnum):
    """Forms of a patch; the form is the first item of the patch's list."""

    VALUE = "value"  # [VALUE, the new value]
    FIELDS = "fields"  # [FIELDS, patches by key, removed keys]
    ITEMS = "items"  # [ITEMS, patches by index], for lists of the same length
    SPLICE = "splice"  # [SPLICE, start index, number of removed items, new items]


def is_same(left: Any, right: Any) -> bool:
    """Return whether two values are the same JSON.

    Numbers must have the same type, and the fields of an object may be in any order.
    """
    return _render(left) == _render(right)


def _render(value: Any) -> bytes:
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS)


def make_patch(old: Any, new: Any, depth: int = MAX_PATCH_DEPTH) -> list[Any]:
    """Return the patch that turns the old value into the new one.

    Args:
        depth: Number of levels that are compared part by part.
    """
    if depth == 0:
        return [_Form.VALUE, new]
    if isinstance(old, dict) and isinstance(new, dict):
        changed = {
            key: make_patch(old[key], value, depth - 1)
            if key in old
            else [_Form.VALUE, value]
            for key, value in new.items()
            if key not in old or not is_same(old[key], value)
        }
        return [_Form.FIELDS, changed, [key for key in old if key not in new]]
    if isinstance(old, list) and isinstance(new, list):
        return _compare_lists(old, new, depth - 1)
    return [_Form.VALUE, new]


def _compare_lists(old: list[Any], new: list[Any], depth: int) -> list[Any]:
    if len(old) == len(new):
        pairs = enumerate(zip(old, new, strict=True))
        changed = {
            str(index): make_patch(before, after, depth)
            for index, (before, after) in pairs
            if not is_same(before, after)
        }
        return [_Form.ITEMS, changed]
    shorter = min(len(old), len(new))
    start = 0
    while start < shorter and is_same(old[start], new[start]):
        start += 1
    end = 0
    while end < shorter - start and is_same(old[-1 - end], new[-1 - end]):
        end += 1
    return [_Form.SPLICE, start, len(old) - start - end, new[start : len(new) - end]]


def apply_patch(old: Any, patch: list[Any]) -> Any:
    """Apply a patch and return the new value; the old one isn't changed.

    Raises:
        ValueError: If the patch doesn't apply to this value.
    """
    try:
        return _apply(old, patch)
    except (AttributeError, IndexError, KeyError, TypeError, ValueError) as error:
        raise ValueError(
            f"patch doesn't apply to this value: {error!r:.200}"
        ) from error


def _apply(old: Any, patch: list[Any]) -> Any:
    match patch:
        case [_Form.VALUE, value]:
            return value
        case [_Form.FIELDS, changed, removed]:
            kept = {key: value for key, value in old.items() if key not in removed}
            return kept | {
                key: _apply(old.get(key), part) for key, part in changed.items()
            }
        case [_Form.ITEMS, changed]:
            items = list(old)
            for index, part in changed.items():
                items[int(index)] = _apply(items[int(index)], part)
            return items
        case [_Form.SPLICE, start, removed, items]:
            return [*old[:start], *items, *old[start + removed :]]
    raise ValueError(f"unknown form of patch: {make_excerpt(patch)}")
