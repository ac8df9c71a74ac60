"""Which data centres, and which routers in them, a configuration has to reach."""

from __future__ import annotations

from .decoding import decode_object
from .models import Holder
from .outcomes import Found, Unavailable
from .platforms import Platform
from .registries import REGISTRY_PREFIX, Registry, decode_registry

LIVE = "live"


async def read_registered(
    platform: Platform, data_centre: str
) -> frozenset[Holder] | Unavailable:
    """Read the lives of a data centre that are neither fenced nor closed.

    This, and no belief about who is alive, decides whose acknowledgement is needed: a
    router that is only paused or cut off stays in it until it is fenced.
    """
    key = f"{REGISTRY_PREFIX}{data_centre}"
    found = await platform.read(key)
    if isinstance(found, Unavailable):
        return found
    if not isinstance(found, Found):
        return frozenset()
    registry = decode_object(key, found.value, decode_registry)
    return registry if isinstance(registry, Unavailable) else frozenset(registry.live())


async def list_registries(platform: Platform) -> dict[str, Registry] | Unavailable:
    """Read the registries of all data centres, by name."""
    keys = await platform.list(REGISTRY_PREFIX)
    if isinstance(keys, Unavailable):
        return keys
    registries = {}
    for change in keys:
        found = await platform.read(change.key)
        if isinstance(found, Unavailable):
            return found
        if isinstance(found, Found):
            name = change.key.removeprefix(REGISTRY_PREFIX)
            registry = decode_object(change.key, found.value, decode_registry)
            if isinstance(registry, Unavailable):
                return registry
            registries[name] = registry
    return registries


async def read_live_centres(platform: Platform) -> frozenset[str] | Unavailable:
    """Read the data centres that have a registered router."""
    registries = await list_registries(platform)
    if isinstance(registries, Unavailable):
        return registries
    return frozenset(name for name, item in registries.items() if item.live())


async def read_needed_centres(platform: Platform) -> frozenset[str] | Unavailable:
    """Read the data centres that must take a new configuration.

    Those with a registered router, and those in which the platform lists a live host:
    a data centre whose routers are only starting would otherwise be passed over.
    """
    live = await read_live_centres(platform)
    if isinstance(live, Unavailable):
        return live
    hosts = await platform.list_hosts()
    if isinstance(hosts, Unavailable):
        return hosts
    return live | {host.data_centre for host in hosts if host.state == LIVE}
