"""Refusals at the callers' door: each with its status, and when to come back."""

from __future__ import annotations

import random

from ..outcomes import Ran, Refusal, RefusalKind
from .exchanges import draw_retry_after
from .pressure import Pressure

HTTP_STATUSES = {
    RefusalKind.BAD_REQUEST: 400,
    RefusalKind.UNKNOWN_KEY: 401,
    RefusalKind.BUDGET_SPENT: 402,
    RefusalKind.UNKNOWN_ROUTE: 404,
    RefusalKind.TOO_LARGE: 413,
    RefusalKind.DEADLINE: 504,
    RefusalKind.OUTCOME_UNKNOWN: 502,
}
"""HTTP status of each kind of refusal; all others say 503, which callers take as a
promise that the request has not run."""

OUT_OF_REACH_RETRY_AFTER_SECONDS = (2.0, 3.0)
"""Bounds of the time after which a caller whose budget is out of reach may come back:
the store is asked again every second, and a cut seldom ends sooner."""

OTHER_HOST_RETRY_AFTER_SECONDS = (0.01, 0.05)
"""Bounds of the time after which a caller may come back that this host has no room
for: it comes back on a new connection, to another host, which can serve it at once."""

QUARANTINE_RETRY_AFTER_SECONDS = 60.0
"""When to come back with content that crashes runners: not while anybody waits."""


def refuse(kind: RefusalKind, detail: str, retry_after: float | None) -> Refusal:
    """Refuse a request that hasn't been sent to any runner."""
    return Refusal("relay.admit", "", detail, kind, Ran.NOT_RUN, retry_after)


def refuse_malformed(reason: str) -> Refusal:
    """Refuse what can't be read as a request."""
    return refuse(RefusalKind.BAD_REQUEST, reason, None)


def refuse_stopping(remaining: float, slowest: float, rng: random.Random) -> Refusal:
    """Refuse what this process may not finish.

    Args:
        left: Time until it ends, seconds.
        slowest: What answers on the route take at the most, seconds.
    """
    return refuse(
        RefusalKind.STOPPING,
        f"this host stops in {remaining:.2f} s, and answers take up to {slowest:.2f} s",
        rng.uniform(*OTHER_HOST_RETRY_AFTER_SECONDS),
    )


def refuse_stopped(rng: random.Random) -> Refusal:
    """Refuse what this process ends too soon for, before any runner was asked."""
    return refuse(
        RefusalKind.STOPPING,
        "this host stopped before the request could run",
        rng.uniform(*OTHER_HOST_RETRY_AFTER_SECONDS),
    )


def refuse_overloaded(pressure: Pressure, now: float, rng: random.Random) -> Refusal:
    """Refuse what this host has no room for."""
    link = pressure.measure_link(now)
    return refuse(
        RefusalKind.FULL,
        f"this host is {pressure.delay:.2f} s late, its link {link:.2f} s",
        rng.uniform(*OTHER_HOST_RETRY_AFTER_SECONDS),
    )


def refuse_unknown(
    kind: RefusalKind, detail: str, age: float, is_overdue: bool, rng: random.Random
) -> Refusal:
    """Refuse a key or route that isn't in the configuration.

    A relay that hasn't heard from the store for a while may lack a newer version that
    has it. Callers take "unknown" for final, so it then says "not now".

    Args:
        age: Time since the configuration was confirmed, seconds.
        overdue: Whether it should have been confirmed again by now.
    """
    if is_overdue:
        return refuse(
            RefusalKind.CONFIGURATION_UNDECIDED,
            f"{detail} in a configuration confirmed {age:.1f} s ago",
            draw_retry_after(rng),
        )
    return refuse(kind, detail, None)
