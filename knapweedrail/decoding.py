"""Decoding of the platform's objects, which may have any content."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import cattrs

from .events import Event, log_event
from .outcomes import Unavailable

T = TypeVar("T")

DECODE_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    IndexError,
    cattrs.BaseValidationError,
)
"""What decoders raise for content that another version, or a hand, has written."""


def decode_object(
    key: str, value: bytes, decode: Callable[[bytes], T]
) -> T | Unavailable:
    """Decode an object; one that can't be decoded is as good as one out of reach.

    An object of an unknown form would otherwise end every router that reads it, all at
    the same moment, and again after each restart. Instead what was last known goes on
    being used, and event 203 names the object.
    """
    try:
        return decode(value)
    except DECODE_ERRORS as error:
        log_event(Event.OBJECT_MALFORMED, key=key, error=repr(error))
        return Unavailable("object.decode", key, repr(error))
