"""Runners' entries in the store, which other writers may have written as well.

An entry counts only if all that is read of it is there and of its type: converted or
guessed at, a foreign one would get requests that nobody serves, or serves wrongly.
"""

from __future__ import annotations

import re
from typing import Any

import attrs
import cattrs
from cattrs.gen import make_dict_structure_fn, override

from ..addresses import check_address
from .values import take_number, take_text, take_whole

READY = "ready"
DRAINING = "draining"

MOST_SLOTS = 65_536
"""Slots beyond which an entry isn't a runner's, which has some hundreds. Load is
weighed by slots, so that a runner with millions would get every request."""

TEXT_CHARACTERS = 253
"""Longest name of anything, as of a host."""

_NAME = re.compile(r"[\w.:/+=~@-]{1,%d}" % TEXT_CHARACTERS, re.ASCII)
"""Names go into headers, and into what relays tell each other, parted by commas."""

_ERRORS = (AttributeError, KeyError, TypeError, ValueError, cattrs.BaseValidationError)


def _check_text(entry: Any, field: attrs.Attribute, value: str) -> None:
    if not (0 < len(value) <= TEXT_CHARACTERS and value.isprintable()):
        raise ValueError(f"{field.name} is {value!r:.50}")


def _check_address(entry: Any, field: attrs.Attribute, value: str) -> None:
    fault = check_address(value)
    if fault is not None:
        raise ValueError(f"{fault:.100}")


def _check_slots(entry: Any, field: attrs.Attribute, value: int) -> None:
    if not 1 <= value <= MOST_SLOTS:
        raise ValueError(f"{value!r:.50} slots")


def _check_state(entry: Any, field: attrs.Attribute, value: str) -> None:
    if value not in (READY, DRAINING):
        raise ValueError(f"no state: {value!r:.50}")


@attrs.frozen(kw_only=True)
class RunnerEntry:
    """An entry as a runner writes it; what has a default here isn't used."""

    service: str = attrs.field(validator=_check_text)
    address: str = attrs.field(validator=_check_address)
    zone: str = attrs.field(validator=_check_text)
    slots: int = attrs.field(validator=_check_slots)
    state: str = attrs.field(validator=_check_state)
    version: str = ""
    seq: int = 0
    cold_left: float = 0.0


def structure_entry(name: str, spec: Any) -> RunnerEntry:
    """Return a runner's entry.

    Raises:
        ValueError: If it isn't one.
    """
    if not _NAME.fullmatch(name):
        raise ValueError(f"no runner's name: {name!r:.50}")
    try:
        return _converter.structure(spec, RunnerEntry)
    except _ERRORS as error:
        raise ValueError(f"{error!r:.200}") from error


def _make_converter() -> cattrs.Converter:
    """Return a converter that takes values of the right type only."""
    converter = cattrs.Converter(detailed_validation=False)
    converter.register_structure_hook(str, take_text)
    converter.register_structure_hook(int, take_whole)
    converter.register_structure_hook(float, take_number)
    renamed = override(rename="coldLeftMs")
    structure = make_dict_structure_fn(RunnerEntry, converter, cold_left=renamed)
    converter.register_structure_hook(RunnerEntry, structure)
    return converter


_converter = _make_converter()
