"""Decodes objects of the store: the operator's configuration and runners' entries."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from ..relay.ledgers import MAX_TOKENS
from ..relay.models import (
    Account,
    CallerLimits,
    Configuration,
    Endpoint,
    RetryPolicy,
    Route,
    Runner,
    RunnerState,
    Share,
)
from .entries import DRAINING, READY, UNSTATED, parse_entry
from .start_times import decode_start_time

_RETRY_POLICIES = {
    "safe": RetryPolicy.SAFE,
    "unsafe": RetryPolicy.ONCE,
    "streaming": RetryPolicy.STREAM,
}

_STATES = {READY: RunnerState.READY, DRAINING: RunnerState.LEAVING}

UNLIMITED = 1_000_000
"""Number of connections where the operator sets no limit."""


class DecodingError(ValueError):
    """An object that doesn't have the documented form."""


def decode_configuration(spec: Any) -> Configuration:
    """Decode the operator's configuration.

    Raises:
        DecodingError: If a part is missing or has the wrong type.
    """
    try:
        tenants = spec.get("tenants")
        services = [_decode_endpoint(item) for item in spec["services"]]
        accounts = [_decode_account(item) for item in tenants or ()]
        return Configuration(
            version=int(spec["version"]),
            routes=tuple(_decode_route(item) for item in spec["routes"]),
            endpoints={endpoint.name: endpoint for endpoint in services},
            accounts=None if tenants is None else {a.name: a for a in accounts},
            limits=_decode_limits(spec.get("limits") or {}),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise DecodingError(repr(error)) from error


def decode_runner(
    name: str, spec: Any, read_clock: Callable[[], float] = time.time
) -> Runner:
    """Decode a runner's entry.

    An endpoint that isn't in the configuration is valid: a later version may contain
    it, and until then no route leads to it.

    Args:
        name: Name of the entry.
        spec: Content of the entry, decoded from JSON.
        read_clock: Returns the time of day, Unix seconds.

    Raises:
        DecodingError: If a part is missing or has the wrong type, or if the state is
            unknown.
    """
    try:
        entry = parse_entry(name, spec)
        started = decode_start_time(spec, read_clock())
    except (TypeError, ValueError) as error:
        raise DecodingError(str(error)) from error
    return Runner(
        name=name,
        endpoint=entry.service,
        address=entry.address,
        data_centre=entry.zone,
        slots=entry.slots,
        state=_STATES[entry.state],
        started=started,
        cold_left=None if entry.cold_left == UNSTATED else entry.cold_left / 1000,
        version=entry.version,
    )


def _decode_route(item: dict[str, Any]) -> Route:
    # A route has either a single service or a traffic split over several.
    split = item.get("trafficSplit")
    if split:
        shares = tuple(Share(part["service"], float(part["weight"])) for part in split)
    else:
        shares = (Share(item["service"], 1.0),)
    return Route(
        name=item["name"],
        host=item["host"].lower(),
        prefix=item["pathPrefix"],
        retry_policy=_RETRY_POLICIES.get(item.get("kind"), RetryPolicy.ONCE),
        timeout=item["timeoutMs"] / 1000,
        objective=item.get("latencyGoalMs", item["timeoutMs"]) / 1000,
        gap=(item.get("gapAimMs") or 0) / 1000,
        priority=int(item.get("priority") or 0),
        shares=shares,
        max_runners=max(1, int(item.get("maxAttempts") or 1)),
        needs_key=not item.get("public", False),
        resumable=bool(item.get("resumable", False)),
    )


def _decode_endpoint(item: dict[str, Any]) -> Endpoint:
    engine = item.get("engine") or {}
    return Endpoint(
        name=item["name"],
        health_path=item.get("healthPath") or "/health",
        max_connections=int(item.get("maxConns") or UNLIMITED),
        cache_tokens=int(engine.get("kvCapacity") or 0),
        # Despite its name, this is the number of tokens in one event of a stream.
        tokens_per_event=max(1, int(engine.get("stride") or 1)),
        cold_seconds=float(item.get("coldS") or 0),
        cold_rate=float(item.get("coldPerS") or 0),
    )


def _decode_account(item: dict[str, Any]) -> Account:
    priority = item.get("priority")
    prepaid = item.get("prepaid")
    return Account(
        name=item["name"],
        keys=tuple(item.get("apiKeys") or ()),
        priority=None if priority is None else int(priority),
        prepaid=None if prepaid is None else min(int(prepaid), MAX_TOKENS),
    )


def _decode_limits(item: dict[str, Any]) -> CallerLimits:
    default = CallerLimits()
    header_ms = item.get("headerTimeoutMs")
    idle_ms = item.get("idleTimeoutMs")
    return CallerLimits(
        header_bytes=int(item.get("maxHeaderBytes") or default.header_bytes),
        body_bytes=int(item.get("maxBodyBytes") or default.body_bytes),
        header_seconds=header_ms / 1000 if header_ms else default.header_seconds,
        idle_seconds=idle_ms / 1000 if idle_ms else default.idle_seconds,
    )
