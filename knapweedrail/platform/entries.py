"""Validates runners' entries in the store, where foreign writers may write as well.

An entry is used only if every field that is read is present and has the right type. If
values were converted or guessed, a foreign entry could get requests that aren't served
at all or are served wrongly.
"""

from __future__ import annotations

import re
from typing import Any

import attrs

from ..addresses import check_address
from ..excerpts import make_excerpt
from . import names
from .converters import require_integer, require_number, require_string

READY = "ready"
DRAINING = "draining"

MAX_SLOTS = 65_536
"""Largest number of slots of a valid entry; runners have some hundreds. Load is
weighted by slots, so a runner with millions of them would get every request."""

MAX_TEXT_LENGTH = 253
"""Longest text field, as for a host name."""

MAX_COLD_MILLISECONDS = 3_600_000
"""Longest time for which a valid entry says that its runner stays cold. An entry by a
foreign writer could otherwise keep a runner from its work for good."""

UNSTATED = float("inf")
"""Time to stay cold of an entry that doesn't state any; JSON has no such number."""

_NAME = re.compile(r"[\w.:/+=~@-]{1,%d}" % MAX_TEXT_LENGTH, re.ASCII)
"""Names are sent in headers and in comma-separated messages between relays."""


def _check_text(entry: Any, field: attrs.Attribute, value: str) -> None:
    if not (0 < len(value) <= MAX_TEXT_LENGTH and value.isprintable()):
        raise ValueError(f"{field.name} is not valid text: {value!r:.50}")


def _check_address(entry: Any, field: attrs.Attribute, value: str) -> None:
    fault = check_address(value)
    if fault is not None:
        raise ValueError(f"{fault:.100}")


def _check_slots(entry: Any, field: attrs.Attribute, value: int) -> None:
    if not 1 <= value <= MAX_SLOTS:
        raise ValueError(f"slots out of range: {value!r:.50}")


def _check_state(entry: Any, field: attrs.Attribute, value: str) -> None:
    if value not in (READY, DRAINING):
        raise ValueError(f"unknown state: {value!r:.50}")


def _check_cold_left(entry: Any, field: attrs.Attribute, value: float) -> None:
    if value != UNSTATED and not 0 <= value <= MAX_COLD_MILLISECONDS:
        raise ValueError(f"time to stay cold out of range: {value!r:.50}")


@attrs.frozen(kw_only=True)
class RunnerEntry:
    """An entry as a runner writes it.

    ``seq`` is checked but not used. ``cold_left`` is in milliseconds.
    """

    service: str = attrs.field(converter=require_string, validator=_check_text)
    address: str = attrs.field(converter=require_string, validator=_check_address)
    zone: str = attrs.field(converter=require_string, validator=_check_text)
    slots: int = attrs.field(converter=require_integer, validator=_check_slots)
    state: str = attrs.field(converter=require_string, validator=_check_state)
    version: str = attrs.field(converter=require_string, default="")
    seq: int = attrs.field(converter=require_integer, default=0)
    cold_left: float = attrs.field(
        converter=require_number, validator=_check_cold_left, default=UNSTATED
    )


_FIELDS = {field.name: field.name for field in attrs.fields(RunnerEntry)}
_FIELDS["cold_left"] = names.COLD_LEFT
"""Names in the stored object, by field."""


def parse_entry(name: str, spec: Any) -> RunnerEntry:
    """Validate and return a runner's entry.

    The converter library used for settings could do this too, but its import takes
    71 ms of processor time at every start, while 500 entries take 9 ms here (one
    measurement each).

    Raises:
        ValueError: If the name or the content isn't a valid entry.
    """
    if not _NAME.fullmatch(name):
        raise ValueError(f"invalid runner name: {name!r:.50}")
    if not isinstance(spec, dict):
        raise ValueError(f"entry is not an object: {make_excerpt(spec)}")
    given = {field: spec[key] for field, key in _FIELDS.items() if key in spec}
    try:
        return RunnerEntry(**given)
    except (TypeError, ValueError) as error:
        raise ValueError(f"{error!r:.200}") from error
