"""Values of the store's JSON, of which none is converted from another type."""

from __future__ import annotations

from typing import Any


def require_string(value: Any, _: object = None) -> str:
    """Return a text.

    Raises:
        TypeError: If it is none.
    """
    if not isinstance(value, str):
        raise TypeError(f"{value!r:.50} isn't text")
    return value


def require_number(value: Any, _: object = None) -> float:
    """Return a number; truth values are none, though the language counts them in.

    Raises:
        TypeError: If it is none.
    """
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise TypeError(f"{value!r:.50} isn't a number")
    return value


def require_integer(value: Any, _: object = None) -> int:
    """Return a whole number, also one that is written with a point.

    JSON has one type of number, and some writers write all of them alike.

    Raises:
        TypeError: If it is none.
    """
    number = require_number(value)
    if isinstance(number, float) and not number.is_integer():
        raise TypeError(f"{value!r:.50} isn't a whole number")
    return int(number)
