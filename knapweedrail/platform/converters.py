"""Strict converters of JSON values: each rejects values of another type."""

from __future__ import annotations

from typing import Any

from ..excerpts import make_excerpt


def require_string(value: Any, _: object = None) -> str:
    """Return a string unchanged.

    Raises:
        TypeError: If the value isn't a string.
    """
    if not isinstance(value, str):
        raise TypeError(f"{make_excerpt(value)} isn't a string")
    return value


def require_number(value: Any, _: object = None) -> float:
    """Return a number unchanged; booleans are rejected, although bool subclasses int.

    Raises:
        TypeError: If the value isn't a number.
    """
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise TypeError(f"{make_excerpt(value)} isn't a number")
    return value


def require_integer(value: Any, _: object = None) -> int:
    """Return an integer, also from a number with a decimal point such as ``5.0``.

    JSON has a single number type, and some writers give every number a decimal point.

    Raises:
        TypeError: If the value isn't an integer.
    """
    number = require_number(value)
    if isinstance(number, float) and not number.is_integer():
        raise TypeError(f"{make_excerpt(value)} isn't an integer")
    return int(number)
