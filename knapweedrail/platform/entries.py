"""Runners' entries in the store, which other writers may have written as well.

An entry counts only if all that is read of it is there and of its type: converted or
guessed at, a foreign one would get requests that nobody serves, or serves wrongly.
"""

from __future__ import annotations

import re
from typing import Any

import attrs

from ..addresses import check_address
from .converters import require_integer, require_number, require_string

READY = "ready"
DRAINING = "draining"

MAX_SLOTS = 65_536
"""Slots beyond which an entry isn't a runner's, which has some hundreds. Load is
weighed by slots, so that a runner with millions would get every request."""

MAX_TEXT_LENGTH = 253
"""Longest name of anything, as of a host."""

_NAME = re.compile(r"[\w.:/+=~@-]{1,%d}" % MAX_TEXT_LENGTH, re.ASCII)
"""Names go into headers, and into what relays tell each other, parted by commas."""


def _check_text(entry: Any, field: attrs.Attribute, value: str) -> None:
    if not (0 < len(value) <= MAX_TEXT_LENGTH and value.isprintable()):
        raise ValueError(f"{field.name} is {value!r:.50}")


def _check_address(entry: Any, field: attrs.Attribute, value: str) -> None:
    fault = check_address(value)
    if fault is not None:
        raise ValueError(f"{fault:.100}")


def _check_slots(entry: Any, field: attrs.Attribute, value: int) -> None:
    if not 1 <= value <= MAX_SLOTS:
        raise ValueError(f"{value!r:.50} slots")


def _check_state(entry: Any, field: attrs.Attribute, value: str) -> None:
    if value not in (READY, DRAINING):
        raise ValueError(f"no state: {value!r:.50}")


@attrs.frozen(kw_only=True)
class RunnerEntry:
    """An entry as a runner writes it; what has a default here isn't used."""

    service: str = attrs.field(converter=require_string, validator=_check_text)
    address: str = attrs.field(converter=require_string, validator=_check_address)
    zone: str = attrs.field(converter=require_string, validator=_check_text)
    slots: int = attrs.field(converter=require_integer, validator=_check_slots)
    state: str = attrs.field(converter=require_string, validator=_check_state)
    version: str = attrs.field(converter=require_string, default="")
    seq: int = attrs.field(converter=require_integer, default=0)
    cold_left: float = attrs.field(converter=require_number, default=0.0)


_FIELDS = {field.name: field.name for field in attrs.fields(RunnerEntry)}
_FIELDS["cold_left"] = "coldLeftMs"
"""Names on the wire by field."""


def parse_entry(name: str, spec: Any) -> RunnerEntry:
    """Return a runner's entry.

    The converter library that settings are read by would do the same. Its import takes
    71 ms of processor time at every start; 500 entries take 9 ms here (a run of each).

    Raises:
        ValueError: If it isn't one.
    """
    if not _NAME.fullmatch(name):
        raise ValueError(f"no runner's name: {name!r:.50}")
    if not isinstance(spec, dict):
        raise ValueError(f"no object: {spec!r:.50}")
    given = {field: spec[key] for field, key in _FIELDS.items() if key in spec}
    try:
        return RunnerEntry(**given)
    except (TypeError, ValueError) as error:
        raise ValueError(f"{error!r:.200}") from error
