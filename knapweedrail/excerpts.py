"""Short texts of values of other writers, for errors and logs."""

from __future__ import annotations

from typing import Any

MAX_EXCERPT_CHARACTERS = 50


def make_excerpt(value: Any) -> str:
    """Return a short text of a JSON value.

    Lists and objects are described by their size: their whole text may be as deep and
    as long as the value, however little of it is kept.
    """
    if isinstance(value, (dict, list)):
        kind = "object" if isinstance(value, dict) else "list"
        return f"{kind} of {len(value)}"
    if isinstance(value, (str, bytes)):
        value = value[:MAX_EXCERPT_CHARACTERS]
    return f"{value!r:.{MAX_EXCERPT_CHARACTERS}}"
