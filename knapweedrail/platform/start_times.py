"""When a runner started, as it says itself; this tells its lives apart."""

from __future__ import annotations

from typing import Any

from ..relay.models import UNKNOWN_START
from . import names
from .converters import require_integer

MS_PER_SECOND = 1000

MAX_SKEW_SECONDS = 30.0
"""How far ahead of this host's clock a start may be. Clocks are close to each other and
jump by seconds; several times that, so that a host whose own clock is off doesn't take
every runner for a foreign entry and serve nobody. A start that is further ahead was
written by something else, and no true life of that runner would be newer."""


def decode_start_time(spec: dict[str, Any], now: float) -> int:
    """Return the start of a runner's life, Unix milliseconds.

    Clusters whose runners don't tell it are served as well: such a life counts as
    older than all that are told.

    Args:
        spec: All that the runner says of itself.
        now: Unix seconds.

    Raises:
        TypeError: If it isn't a whole number.
        ValueError: If no runner can have started then.
    """
    if names.STARTED not in spec:
        return UNKNOWN_START
    started = require_integer(spec[names.STARTED])
    if not UNKNOWN_START < started <= (now + MAX_SKEW_SECONDS) * MS_PER_SECOND:
        raise ValueError(f"no runner started at {started!r:.50}")
    return started
