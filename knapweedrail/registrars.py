"""Changes registries on the platform."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

import anyio

from .models import Holder
from .outcomes import Conflict, Failure, Found, Missing, Unavailable, Unknown, Written
from .platforms import CREATE, Platform
from .registries import (
    REGISTRY_PREFIX,
    HolderState,
    Registry,
    close,
    decode_registry,
    encode_registry,
    fence,
    reclaim,
    register,
)

ATTEMPTS = 20
"""Conditional writes tried in a row for one change. When a data centre's thirty
routers start at once, each loses to at most all others; a pause that grows with the
losses spreads them, so that twenty attempts are rarely used up."""

CONFLICT_PAUSE_SECONDS = 0.1
"""Upper end of the first random pause after a lost conditional write. Wide enough for
thirty routers that start at once to write one after another: each needs a few
milliseconds for reading and writing."""

CONFLICT_PAUSE_LIMIT_SECONDS = 1.0
"""Upper end of any pause."""


@dataclass(frozen=True)
class Seen:
    """A registry as the platform held it at one moment.

    Attributes:
        registry: The registry.
        version: The object's version; 0 when it doesn't exist.
    """

    registry: Registry
    version: int


@dataclass(frozen=True)
class Registered:
    """A life has begun.

    Attributes:
        holder: The life.
        seen: The registry with it. Who registers must know every fence that stood
            before: those who fenced asked only the lives that they found then.
    """

    holder: Holder
    seen: Seen


@dataclass(frozen=True)
class Superseded:
    """Another process has registered under this name after this one's last life."""


class Registrar:
    """Reads and changes the registry objects.

    Each change is idempotent: applied to a registry that already shows it, it changes
    nothing. So a write whose answer was lost is settled by reading and applying again,
    whether it took effect, didn't, or takes effect late.

    Args:
        platform: The platform.
        rng: Source of the pauses between attempts.
    """

    def __init__(self, platform: Platform, rng: random.Random) -> None:
        self._platform = platform
        self._rng = rng

    async def read(self, data_centre: str) -> Seen | Unavailable:
        """Read a registry and its version; an empty one when it doesn't exist."""
        outcome = await self._platform.read(_key(data_centre))
        if isinstance(outcome, Found):
            return _decode(outcome, data_centre)
        if isinstance(outcome, Missing):
            return Seen(Registry(), CREATE)
        return outcome

    async def register(
        self,
        data_centre: str,
        name: str,
        peer_address: str,
        host: str,
        registration: str,
        at_least: int,
        last: int = 0,
    ) -> Registered | Superseded | Failure:
        """Begin a life; see `registries.register`.

        Args:
            last: Incarnation of this process's last life, 0 for none. When the name
                has a later one, another process has it.
        """

        def change(registry: Registry) -> Registry:
            taken = registry.find(name, registration) is None
            if last and taken and registry.highest(name) > last:
                return registry
            changed, _ = register(
                registry, name, peer_address, host, registration, at_least
            )
            return changed

        outcome = await self.change(data_centre, change)
        if isinstance(outcome, Failure):
            return outcome
        holder = outcome.registry.find(name, registration)
        return Registered(holder, outcome) if holder else Superseded()

    async def fence(self, data_centre: str, holder: Holder) -> Seen | Failure:
        """Mark a life as fenced."""
        outcome = await self.change(data_centre, lambda item: fence(item, holder))
        return _check_over(outcome, holder)

    async def close(self, data_centre: str, holder: Holder) -> Seen | Failure:
        """Mark a life as closed in order."""
        outcome = await self.change(data_centre, lambda item: close(item, holder))
        return _check_over(outcome, holder)

    async def reclaim(self, data_centre: str, holder: Holder) -> Seen | Failure:
        """Note that a fenced life is reclaimed."""
        return await self.change(data_centre, lambda item: reclaim(item, holder))

    async def change(
        self, data_centre: str, function: Callable[[Registry], Registry]
    ) -> Seen | Failure:
        """Apply an idempotent change by conditional write.

        Returns:
            What stands with the change in it; `Unavailable` when it certainly had
            no effect, `Unknown` when it may have had one or may yet.
        """
        unknown: Unknown | None = None
        for attempt in range(ATTEMPTS):
            seen = await self.read(data_centre)
            if isinstance(seen, Unavailable):
                return unknown or seen
            changed = function(seen.registry)
            if changed == seen.registry:
                return seen
            outcome = await self._platform.write(
                _key(data_centre), encode_registry(changed), seen.version
            )
            if isinstance(outcome, Written):
                return Seen(changed, outcome.version)
            if isinstance(outcome, Unavailable):
                return unknown or outcome
            if isinstance(outcome, Unknown):
                unknown = outcome
            await self._pause(attempt)
        conflict = Conflict.__name__
        return unknown or Unavailable("registry.change", data_centre, conflict)

    async def _pause(self, attempt: int) -> None:
        limit = min(CONFLICT_PAUSE_SECONDS * 2**attempt, CONFLICT_PAUSE_LIMIT_SECONDS)
        await anyio.sleep(self._rng.uniform(0, limit))


def _decode(found: Found, data_centre: str) -> Seen | Unavailable:
    try:
        return Seen(decode_registry(found.value), found.version)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        # A gateway's page in place of the object, or damage. Nothing may be written
        # over it: the numbers in it must not be lost.
        return Unavailable("registry.decode", data_centre, repr(error))


def _check_over(outcome: Seen | Failure, holder: Holder) -> Seen | Failure:
    """Doubt a registry in which a life isn't over after it was ended.

    The platform may answer a read with an older value. One from before the life began
    doesn't know it, so ending it there changes nothing, and nothing was written; taken
    for done, tokens would come back from a life that still spends.
    """
    if isinstance(outcome, Failure):
        return outcome
    if outcome.registry.state(holder) in (HolderState.FENCED, HolderState.CLOSED):
        return outcome
    return Unavailable("registry.end", str(holder), "not in the registry as read")


def _key(data_centre: str) -> str:
    return f"{REGISTRY_PREFIX}{data_centre}"
