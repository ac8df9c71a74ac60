"""Conditional updates of one platform object, through conflicts and lost answers."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import anyio
import attrs

from .decoding import decode_object
from .outcomes import Conflict, Found, Unavailable, Unknown, Written
from .platforms import CREATE, Platform

MAX_TRIES = 30
"""Tries of one update. Of 18 data centres that write one object at once, the last one
succeeds at its 18th try even if all go in step; jitter makes it far fewer."""

FIRST_PAUSE = 0.01
"""Seconds: a few times the platform's usual answer, so that a lost race is repeated
at once."""

LONGEST_PAUSE = 0.5


@attrs.frozen
class Edit:
    """What an update wants to write.

    Attributes:
        value: The object's new bytes; ``None`` when nothing is to be written.
        result: What the update came to, if this stands.
    """

    value: bytes | None
    result: Any = None


@attrs.frozen
class Updated:
    """The update stands, or nothing had to be written.

    Attributes:
        result: The result that the edit named.
        version: The object's version; 0 when it doesn't exist.
    """

    result: Any
    version: int


async def update_object(
    platform: Platform,
    key: str,
    edit: Callable[[bytes | None], Edit],
    rng: random.Random,
) -> Updated | Unavailable | Unknown:
    """Read an object, edit it and write it back if it hasn't changed meanwhile.

    An answer can be lost after the write took effect. The object is then read again
    and edited again; so ``edit`` must find by identity what it wrote before, and write
    nothing in that case.

    Args:
        platform: The platform.
        key: The object.
        edit: Pure function of the object's bytes, ``None`` when it is missing.
        rng: For the jitter of pauses.

    Returns:
        What it came to. `Unknown` when a write may have taken effect and the object
        can't be read back.
    """
    doubt: Unknown | None = None
    failure: Unavailable | None = None
    for attempt in range(MAX_TRIES):
        found = await platform.read(key)
        if isinstance(found, Unavailable):
            return doubt or found
        value, version = None, CREATE
        if isinstance(found, Found):
            value, version = found.value, found.version
        wanted = decode_object(key, value, edit)
        if isinstance(wanted, Unavailable):
            return doubt or wanted
        if wanted.value is None:
            return Updated(wanted.result, version)
        outcome = await platform.write(key, wanted.value, version)
        if isinstance(outcome, Written):
            return Updated(wanted.result, outcome.version)
        if isinstance(outcome, Unavailable):
            return doubt or outcome
        if isinstance(outcome, Unknown):
            doubt = Unknown(outcome.step, outcome.peer, outcome.detail)
        if isinstance(outcome, Conflict):
            failure = Unavailable("update", key, "lost every race")
        await anyio.sleep(choose_pause(attempt, rng))
    return doubt or failure


def choose_pause(attempt: int, rng: random.Random) -> float:
    """Return the seconds before the next try.

    Load: many writers of one object after one event, or all routers when the platform
    comes back. Without jitter they would meet again and again. The pause doubles up
    to `LONGEST_PAUSE`, which keeps the last writer within seconds.
    """
    return rng.uniform(0, min(LONGEST_PAUSE, FIRST_PAUSE * 2**attempt))
