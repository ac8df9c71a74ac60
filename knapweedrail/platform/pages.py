"""JSON of the platform's store, of which single objects may not be readable.

What goes wrong without it: one object among hundreds holds bytes that aren't UTF-8, a
NaN, or lists within lists a thousand deep. The parser rejects the whole page, the store
counts as away at every relay, and no runner that starts or leaves is heard of any more.
Here the page is taken apart by a parser that bears errors, and only that object can't
be read.
"""

from __future__ import annotations

import contextlib
import json
from typing import Any

import orjson

from ..relay.stores import Unreadable

_SPLIT_LISTS = frozenset({"entries", "events"})
_SPLIT_OBJECTS = frozenset({"", "object"})
"""Keys of what is taken apart; the items of a list, and the whole, have none. Other
values are read whole or not at all: half an object could pass for a sound one."""


def parse_page(content: bytes) -> Any:
    """Parse a body of the store; what can't be read in it is `Unreadable`.

    Raises:
        ValueError: If it isn't the store's form of a page or an object.
    """
    with contextlib.suppress(ValueError):
        return orjson.loads(content)
    with contextlib.suppress(ValueError, RecursionError):
        return _mask_unreadable(json.loads(content), "")
    return _parse_tolerantly(content)


def _mask_unreadable(value: Any, key: str) -> Any:
    """Return a page without the objects that hold a number which is none."""
    if isinstance(value, list) and key in _SPLIT_LISTS:
        return [_mask_unreadable(item, "") for item in value]
    if isinstance(value, dict) and key in _SPLIT_OBJECTS:
        return {name: _mask_unreadable(item, name) for name, item in value.items()}
    return value if _is_valid_json(value) else Unreadable()


def _is_valid_json(value: Any) -> bool:
    try:
        # NaN, the infinities and lone surrogates are no JSON; the standard library
        # reads them all the same.
        json.dumps(value, allow_nan=False)
        orjson.dumps(value)
    except (ValueError, TypeError):
        return False
    return True


def _parse_tolerantly(content: bytes) -> Any:
    """Parse a page by its syntax tree, which bears any depth and single errors.

    Raises:
        ValueError: If the page itself is broken.
    """
    # Not imported before it is needed, which is hardly ever.
    import tree_sitter
    import tree_sitter_json

    language = tree_sitter.Language(tree_sitter_json.language())
    root = tree_sitter.Parser(language).parse(content).root_node
    return _convert_node(_list_children(root)[0], "")


def _convert_node(node: Any, key: str) -> Any:
    try:
        return orjson.loads(node.text)
    except ValueError:
        if node.type == "array" and key in _SPLIT_LISTS:
            return [_convert_node(item, "") for item in _list_children(node)]
        if node.type == "object" and key in _SPLIT_OBJECTS:
            return dict(_convert_member(pair) for pair in _list_children(node))
        return Unreadable()


def _list_children(node: Any) -> list[Any]:
    """Return the parts of a value, none of which is a place that can't be parsed."""
    if not node.named_children:
        raise ValueError("nothing there")
    if any(part.is_error or part.is_missing for part in node.children):
        raise ValueError(f"no JSON at byte {node.start_byte}")
    return list(node.named_children)


def _convert_member(pair: Any) -> tuple[str, Any]:
    key, value = pair.named_children
    name = str(orjson.loads(key.text))
    return name, _convert_node(value, name)
