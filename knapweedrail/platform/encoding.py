"""Encodes objects of the store as an operator or a runner writes them.

Used by stand-ins and by the soak test; relays only read these objects.
"""

from __future__ import annotations

from typing import Any

from ..relay.models import (
    Account,
    Configuration,
    Endpoint,
    RetryPolicy,
    Route,
    Runner,
    RunnerState,
)
from . import names
from .entries import DRAINING, READY

_KINDS = {
    RetryPolicy.SAFE: "safe",
    RetryPolicy.ONCE: "unsafe",
    RetryPolicy.STREAM: "streaming",
}

_STATES = {RunnerState.READY: READY, RunnerState.LEAVING: DRAINING}


def encode_configuration(configuration: Configuration) -> dict[str, Any]:
    """Encode an operator's configuration as it is stored."""
    limits = configuration.limits
    spec: dict[str, Any] = {
        "version": configuration.version,
        "routes": [_encode_route(route) for route in configuration.routes],
        "services": [_encode_endpoint(e) for e in configuration.endpoints.values()],
        "limits": {
            "maxHeaderBytes": limits.header_bytes,
            "maxBodyBytes": limits.body_bytes,
            "headerTimeoutMs": round(limits.header_seconds * 1000),
            "idleTimeoutMs": round(limits.idle_seconds * 1000),
        },
    }
    if configuration.accounts is not None:
        accounts = configuration.accounts.values()
        spec["tenants"] = [_encode_account(account) for account in accounts]
    return spec


def encode_runner(runner: Runner) -> dict[str, Any]:
    """Encode a runner's entry as it is stored."""
    spec: dict[str, Any] = {
        "service": runner.endpoint,
        "address": runner.address,
        "zone": runner.data_centre,
        "slots": runner.slots,
        "state": _STATES[runner.state],
    }
    if runner.cold_left is not None:
        spec[names.COLD_LEFT] = round(runner.cold_left * 1000)
    if runner.started:
        spec[names.STARTED] = runner.started
    if runner.version:
        spec[names.SOFTWARE_VERSION] = runner.version
    return spec


def _encode_route(route: Route) -> dict[str, Any]:
    shares = [{"service": s.endpoint, "weight": s.weight} for s in route.shares]
    return {
        "name": route.name,
        "host": route.host,
        "pathPrefix": route.prefix,
        "kind": _KINDS[route.retry_policy],
        "resumable": route.resumable,
        "timeoutMs": round(route.timeout * 1000),
        "latencyGoalMs": round(route.objective * 1000),
        "gapAimMs": round(route.gap * 1000),
        "priority": route.priority,
        "maxAttempts": route.max_runners,
        "public": not route.needs_key,
        "trafficSplit": shares,
    }


def _encode_endpoint(endpoint: Endpoint) -> dict[str, Any]:
    return {
        "name": endpoint.name,
        "healthPath": endpoint.health_path,
        "maxConns": endpoint.max_connections,
        "coldS": endpoint.cold_seconds,
        "coldPerS": endpoint.cold_rate,
        "engine": {
            "kvCapacity": endpoint.cache_tokens,
            "stride": endpoint.tokens_per_event,
        },
    }


def _encode_account(account: Account) -> dict[str, Any]:
    spec: dict[str, Any] = {"name": account.name, "apiKeys": list(account.keys)}
    if account.priority is not None:
        spec["priority"] = account.priority
    if account.prepaid is not None:
        spec["prepaid"] = account.prepaid
    return spec
