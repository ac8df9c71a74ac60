"""The judge of requests that crash runners. Pure."""

from __future__ import annotations

import collections

from .records import CRASHING_PART, EVERYONE, Finding, History, Ran, Sent
from .schedules import STORE_STEPS

ALLOWED_CRASHES = {"request": 3, "part": 5}
"""Crashes after which all relays in touch have to refuse a content."""

ALLOWED_ARRIVALS = 3
"""Arrivals allowed later."""

CONTACT_SECONDS = 4.0
"""Time in which relays in touch have to know of a crash: three seconds, and one for a
busy machine."""


def find_late_crashes(history: History) -> list[Finding]:
    """Contents that reach runners long after they have crashed several."""
    sent = {one.identity: one for one in history.crashing}
    by_content: dict[str, list[Ran]] = collections.defaultdict(list)
    for run in history.ran:
        if run.crashes:
            by_content[run.crashes].append(run)
    found = []
    for content, runs in by_content.items():
        runs.sort(key=lambda run: run.at)
        kind = "part" if content.startswith(CRASHING_PART) else "request"
        limit = ALLOWED_CRASHES[kind]
        if len(runs) < limit:
            continue
        since = runs[limit - 1].at + CONTACT_SECONDS
        late = [
            run
            for run in runs
            if run.at > since and _is_in_touch(history, sent[run.identity], run.at)
        ]
        if len(late) > ALLOWED_ARRIVALS:
            detail = f"{content} reached {len(runs)} runners, {len(late)} too late"
            found.append(Finding("crash", detail))
    return found


def _is_in_touch(history: History, sent: Sent, at: float) -> bool:
    """Return whether a relay and its way to the store were sound for a while."""
    return not any(
        one.began_at < at and one.ended_at > at - CONTACT_SECONDS
        for one in history.disturbances
        if one.target in (sent.relay, EVERYONE) or one.kind in STORE_STEPS
    )
