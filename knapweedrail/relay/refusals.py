"""Refusals of callers' requests, with their HTTP status and retry-after time."""

from __future__ import annotations

import random

from ..outcomes import Ran, Refusal, RefusalKind
from .overload import OverloadMonitor

HTTP_STATUSES = {
    RefusalKind.BAD_REQUEST: 400,
    RefusalKind.UNKNOWN_KEY: 401,
    RefusalKind.BUDGET_SPENT: 402,
    RefusalKind.UNKNOWN_ROUTE: 404,
    RefusalKind.TOO_LARGE: 413,
    RefusalKind.DEADLINE: 504,
    RefusalKind.OUTCOME_UNKNOWN: 502,
}
"""HTTP status of each kind of refusal. All others use 503, which guarantees callers
that the request has not run; the gateway sends 502 instead if it may have run."""

RETRY_AFTER_SECONDS = (0.3, 0.9)
"""Range of the randomized retry-after time of a refused caller. By then a burst of
short requests has passed, and callers refused together don't retry together."""

OUT_OF_REACH_RETRY_AFTER_SECONDS = (2.0, 3.0)
"""Range of the retry-after time, in seconds, if the budget can't be reached. The store
is queried again every second, and an outage seldom ends sooner."""

OTHER_HOST_RETRY_AFTER_SECONDS = (0.01, 0.05)
"""Range of the retry-after time, in seconds, for a caller that this host can't serve.
It reconnects to another host, which can serve it at once."""

QUARANTINE_RETRY_AFTER_SECONDS = 60.0
"""Retry-after time for content that crashes runners, in seconds. It is longer than any
caller waits for an answer."""


def draw_retry_after(rng: random.Random) -> float:
    """Return a random retry-after time for a refused caller, seconds."""
    return rng.uniform(*RETRY_AFTER_SECONDS)


def refuse(kind: RefusalKind, detail: str, retry_after: float | None) -> Refusal:
    """Return a refusal of a request that hasn't been sent to any runner.

    Args:
        kind: Kind of the refusal.
        detail: Cause, as shown to the caller.
        retry_after: Time after which to retry, seconds; ``None`` if not to retry.
    """
    return Refusal("relay.admit", "", detail, kind, Ran.NOT_RUN, retry_after)


def refuse_malformed(reason: str) -> Refusal:
    """Return a refusal of a malformed request."""
    return refuse(RefusalKind.BAD_REQUEST, reason, None)


def refuse_stopping(remaining: float, slowest: float, rng: random.Random) -> Refusal:
    """Return a refusal of a request that may not complete before shutdown.

    Args:
        remaining: Time left for answers before the shutdown, seconds.
        slowest: Longest time that answers on the route take, seconds.
        rng: Source of the random retry-after time.
    """
    return refuse(
        RefusalKind.STOPPING,
        f"this host stops in {remaining:.2f} s, and answers take up to {slowest:.2f} s",
        rng.uniform(*OTHER_HOST_RETRY_AFTER_SECONDS),
    )


def refuse_stopped(rng: random.Random) -> Refusal:
    """Return a refusal of a request that wasn't sent to a runner before shutdown."""
    return refuse(
        RefusalKind.STOPPING,
        "this host stopped before the request could run",
        rng.uniform(*OTHER_HOST_RETRY_AFTER_SECONDS),
    )


def refuse_overloaded(
    overload: OverloadMonitor, now: float, rng: random.Random
) -> Refusal:
    """Return a refusal of a request that this host sheds because of its load."""
    link = overload.estimate_connect_time(now)
    return refuse(
        RefusalKind.FULL,
        f"this host is {overload.loop_delay:.2f} s late, its link {link:.2f} s",
        rng.uniform(*OTHER_HOST_RETRY_AFTER_SECONDS),
    )


def refuse_quarantined(crashes: int) -> Refusal:
    """Return a refusal of content that runners crashed on.

    Args:
        crashes: Number of runners that crashed while they ran it.
    """
    return refuse(
        RefusalKind.QUARANTINED,
        f"{crashes} runners crashed while they ran this content",
        QUARANTINE_RETRY_AFTER_SECONDS,
    )


def refuse_not_resumable(detail: str, rng: random.Random) -> Refusal:
    """Return a refusal of a stream that can't go on, though it may begin anew."""
    return refuse(RefusalKind.NOT_RESUMABLE, detail, draw_retry_after(rng))


def refuse_unknown(
    kind: RefusalKind, detail: str, age: float, is_overdue: bool, rng: random.Random
) -> Refusal:
    """Return a refusal of a key or route that isn't in the configuration.

    If the store hasn't confirmed the configuration in time, a newer version may contain
    the key or route. Callers treat "unknown" as final, so such a refusal asks them to
    retry instead.

    Args:
        kind: Kind of the refusal if the configuration is current.
        detail: Cause, as shown to the caller.
        age: Time since the store confirmed the configuration, seconds.
        is_overdue: Whether the next confirmation is overdue.
        rng: Source of the random retry-after time.
    """
    if is_overdue:
        return refuse(
            RefusalKind.CONFIGURATION_UNDECIDED,
            f"{detail} in a configuration confirmed {age:.1f} s ago",
            draw_retry_after(rng),
        )
    return refuse(kind, detail, None)
