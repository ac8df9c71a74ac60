"""Pure registry of the holders of one data centre.

The registry is one object on the platform, changed by conditional update only. It
gives each start of a router a number (incarnation) that was never given before, and
says which lives are fenced. No clock takes part.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable

import attrs
import orjson

from .models import Holder

REGISTRY_PREFIX = "registry/"
"""Prefix of the registry objects; the data centre's name follows."""

CLOSED_NAMES_KEPT = 64
"""Closed names that stay listed for operators; older ones are removed. Hosts are
replaced under new names every day, so without a bound the object would grow until
the platform refused it, and then no router could start."""


class HolderState(enum.Enum):
    """What the registry says of a life.

    `LIVE` says only that it registered and that nobody has fenced or closed it.
    """

    LIVE = "live"
    FENCED = "fenced"
    CLOSED = "closed"


@attrs.frozen
class Life:
    """The latest life registered under a name.

    Attributes:
        incarnation: Its number.
        state: What the registry says of it.
        peer_address: ``host:port`` of its peer service.
        host: The host on which it runs, as the platform's host list names it.
        registration: Random identity of the registration, by which a router whose
            write lost its answer finds out that the write took effect.
    """

    incarnation: int
    state: HolderState
    peer_address: str
    host: str
    registration: str


@attrs.frozen
class Entry:
    """A name: its latest life, and its earlier lives that aren't reclaimed.

    Attributes:
        life: The latest life.
        fenced: Incarnations before it that are fenced and not yet reclaimed.
    """

    life: Life
    fenced: tuple[int, ...] = ()


@attrs.frozen
class Registry:
    """The holders of one data centre.

    Attributes:
        floor: No incarnation up to this number is given to a name that isn't listed.
            It stands for all names that were removed.
        entries: Entries by router name, the latest registration last.
    """

    floor: int = 0
    entries: dict[str, Entry] = attrs.field(factory=dict)

    def state(self, holder: Holder) -> HolderState | None:
        """Return the state of a life, or ``None`` when this copy is too old for it.

        A life below the latest one of its name is never live: it was fenced by the
        registration of its successor, and closed once it is reclaimed.
        """
        if holder.incarnation > self.highest(holder.name):
            return None
        entry = self.entries.get(holder.name)
        if entry is None:
            return HolderState.CLOSED
        if holder.incarnation == entry.life.incarnation:
            return entry.life.state
        if holder.incarnation in entry.fenced:
            return HolderState.FENCED
        return HolderState.CLOSED

    def highest(self, name: str) -> int:
        """Return the highest incarnation that the name may have had."""
        entry = self.entries.get(name)
        return self.floor if entry is None else entry.life.incarnation

    def live(self) -> tuple[Holder, ...]:
        """Return the lives that are neither fenced nor closed."""
        return self._latest(HolderState.LIVE)

    def fenced(self) -> tuple[Holder, ...]:
        """Return the lives that are fenced and not yet reclaimed."""
        earlier = (
            Holder(name, incarnation)
            for name, entry in self.entries.items()
            for incarnation in entry.fenced
        )
        return (*earlier, *self._latest(HolderState.FENCED))

    def open(self) -> tuple[Holder, ...]:
        """Return the lives that may still hold something: live and fenced ones."""
        return (*self.live(), *self.fenced())

    def find(self, name: str, registration: str) -> Holder | None:
        """Return the life that this registration produced, if it is the latest."""
        entry = self.entries.get(name)
        if entry is None or entry.life.registration != registration:
            return None
        return Holder(name, entry.life.incarnation)

    def _latest(self, state: HolderState) -> tuple[Holder, ...]:
        return tuple(
            Holder(name, entry.life.incarnation)
            for name, entry in self.entries.items()
            if entry.life.state is state
        )


def register(
    registry: Registry,
    name: str,
    peer_address: str,
    host: str,
    registration: str,
    at_least: int = 0,
) -> tuple[Registry, Holder]:
    """Begin a life under a name.

    Its incarnation is above every one that the name ever had. An earlier life that
    wasn't closed becomes fenced: it may still run, paused or cut off, and what it
    holds is not free until it is reclaimed.

    Args:
        registry: The registry as read.
        name: The router's name.
        peer_address: ``host:port`` of its peer service.
        host: The host on which it runs.
        registration: Random identity of this registration. The same identity
            again gives the same life again, whatever became of the first answer.
        at_least: Highest incarnation of the name seen anywhere else.

    Returns:
        The new registry and the holder.
    """
    known = registry.find(name, registration)
    if known is not None:
        return registry, known
    entry = registry.entries.get(name)
    incarnation = 1 + max(registry.highest(name), at_least)
    life = Life(incarnation, HolderState.LIVE, peer_address, host, registration)
    fenced = () if entry is None else _fenced_with_latest(entry)
    entries = {key: item for key, item in registry.entries.items() if key != name}
    entries[name] = Entry(life, fenced)
    changed = attrs.evolve(registry, entries=entries)
    return compact(changed), Holder(name, incarnation)


def fence(registry: Registry, holder: Holder) -> Registry:
    """Mark a life as fenced; it never becomes live again."""
    if registry.state(holder) is not HolderState.LIVE:
        return registry
    return _set_state(registry, holder.name, HolderState.FENCED)


def close(registry: Registry, holder: Holder) -> Registry:
    """Mark a life as closed in order: it holds nothing any more.

    A fenced life stays fenced: others may already act on the fence.
    """
    if registry.state(holder) is not HolderState.LIVE:
        return registry
    return compact(_set_state(registry, holder.name, HolderState.CLOSED))


def reclaim(registry: Registry, holder: Holder) -> Registry:
    """Note that all that can come back from a fenced life has come back."""
    if registry.state(holder) is not HolderState.FENCED:
        return registry
    entry = registry.entries[holder.name]
    if holder.incarnation == entry.life.incarnation:
        return compact(_set_state(registry, holder.name, HolderState.CLOSED))
    fenced = tuple(item for item in entry.fenced if item != holder.incarnation)
    return compact(_set_entry(registry, holder.name, Entry(entry.life, fenced)))


def compact(registry: Registry) -> Registry:
    """Remove the oldest closed names beyond `CLOSED_NAMES_KEPT`.

    The floor rises to the highest incarnation removed, so that a name that comes
    back after its removal still gets a number that it never had.
    """
    closed = [name for name, entry in registry.entries.items() if _is_over(entry)]
    removed = set(closed[: max(0, len(closed) - CLOSED_NAMES_KEPT)])
    if not removed:
        return registry
    floor = max(registry.highest(name) for name in removed)
    entries = {
        name: entry for name, entry in registry.entries.items() if name not in removed
    }
    return Registry(max(registry.floor, floor), entries)


def encode_registry(registry: Registry) -> bytes:
    """Encode a registry for the platform."""
    entries = {
        name: [
            entry.life.incarnation,
            entry.life.state.value,
            entry.life.peer_address,
            entry.life.host,
            entry.life.registration,
            _encode_ranges(entry.fenced),
        ]
        for name, entry in registry.entries.items()
    }
    return orjson.dumps({"floor": registry.floor, "entries": entries})


def decode_registry(value: bytes) -> Registry:
    """Decode what `encode_registry` gave."""
    body = orjson.loads(value)
    entries = {
        name: Entry(
            Life(incarnation, HolderState(state), peer_address, host, registration),
            _decode_ranges(ranges),
        )
        for name, (
            incarnation,
            state,
            peer_address,
            host,
            registration,
            ranges,
        ) in body["entries"].items()
    }
    return Registry(body["floor"], entries)


def _is_over(entry: Entry) -> bool:
    return entry.life.state is HolderState.CLOSED and not entry.fenced


def _fenced_with_latest(entry: Entry) -> tuple[int, ...]:
    if entry.life.state is HolderState.CLOSED:
        return entry.fenced
    return (*entry.fenced, entry.life.incarnation)


def _set_state(registry: Registry, name: str, state: HolderState) -> Registry:
    entry = registry.entries[name]
    life = attrs.evolve(entry.life, state=state)
    return _set_entry(registry, name, Entry(life, entry.fenced))


def _set_entry(registry: Registry, name: str, entry: Entry) -> Registry:
    return attrs.evolve(registry, entries={**registry.entries, name: entry})


def _encode_ranges(numbers: Iterable[int]) -> list[list[int]]:
    """Write rising numbers as ranges.

    A router that crashes at each start for a night leaves tens of thousands of
    consecutive incarnations behind; as ranges they take a few bytes.
    """
    ranges: list[list[int]] = []
    for number in numbers:
        if ranges and ranges[-1][1] == number - 1:
            ranges[-1][1] = number
        else:
            ranges.append([number, number])
    return ranges


def _decode_ranges(ranges: list[list[int]]) -> tuple[int, ...]:
    return tuple(number for first, last in ranges for number in range(first, last + 1))
