"""Decodes a runner's reported start time, which identifies its incarnation."""

from __future__ import annotations

from typing import Any

from ..relay.models import UNKNOWN_START
from . import names
from .converters import require_integer

MS_PER_SECOND = 1000

MAX_SKEW_SECONDS = 30.0
"""How far ahead of this host's clock a start time may be. Clocks are closely
synchronised and may jump by seconds. The limit is several times that, so that a host
whose own clock is wrong doesn't reject all runners' entries as foreign and refuse all
requests. A start time further ahead wasn't written by a runner; if it were accepted, no
real incarnation of that runner would be newer."""


def decode_start_time(spec: dict[str, Any], now: float) -> int:
    """Return the start time of a runner's incarnation, Unix milliseconds.

    Runners that don't report a start time are supported as well: such an incarnation
    counts as older than any with a start time.

    Args:
        spec: The runner's entry or report.
        now: Time of day, Unix seconds.

    Raises:
        TypeError: If the start time isn't an integer.
        ValueError: If the start time isn't plausible.
    """
    if names.STARTED not in spec:
        return UNKNOWN_START
    started = require_integer(spec[names.STARTED])
    if not UNKNOWN_START < started <= (now + MAX_SKEW_SECONDS) * MS_PER_SECOND:
        raise ValueError(f"implausible start time of a runner: {started!r:.50}")
    return started
