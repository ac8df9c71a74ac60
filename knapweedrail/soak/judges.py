"""The judge: which promises were broken, from what callers and runners saw.

Pure. It knows nothing of the relays' own books, so an error there can't hide from it.
"""

from __future__ import annotations

import collections
import re

from .crash_judge import find_late_crashes
from .records import (
    EVERYONE,
    REBIRTH,
    ROUTE_VERSIONS,
    SPOILT,
    STOP,
    STOP_SECONDS,
    Disturbance,
    Finding,
    History,
    Kind,
    Ran,
    Sent,
    make_answer,
)
from .schedules import STORE_STEPS

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses by which a caller is told that its request never ran."""

LEAVING_SECONDS = 3.0
"""Time after a runner's word that it leaves from which it must get nothing: the bound
of two seconds in the relays' settings, and one for a busy machine."""

IN_FORCE_SECONDS = 3.0
"""Time after its acknowledgement from which a configuration must be in force: the bound
of two seconds in the relays' settings, and one for a busy machine."""

CALM_SECONDS = 4.0
"""Time after a disturbance of a relay or the store from which bounds hold again."""

LATE_SECONDS = 3.0
"""Time after the signal from which a stopping relay may take only what it answers."""

KEPT_SHARE = 5 / 6
"""Part of the time to stop in which it may break nothing off at all."""

SLACK_SECONDS = 0.2
"""A request that crosses the close of its connection is told so within this time."""

USED_AFTER_SECONDS = 3.0
IDLE_SECONDS = 4.0
"""When a runner that is back must get requests, and for how long it may get none."""

LEAST_SERVED = 15
"""Answers of relays in touch, for each runner, of which it must have made one."""

VERSION_PATH = re.compile(r"/v(\d+)/")

COMMENT = re.compile(rb"(?m)^: ?(v\d)?(?:\n|\Z)")
"""Line that names the version which made an event; the last one may be cut off."""

MOST_JOINED = 2
"""Streams of a run that may hold events of two versions."""

EVENT_NUMBER = re.compile(rb"(?:^|\n)id: (\d+)\ndata: [^\n]*\n\n")


def judge(history: History) -> list[Finding]:
    """Return all broken promises."""
    return [
        *find_overspending(history),
        *find_repetitions(history),
        *find_false_refusals(history),
        *find_foreign_answers(history),
        *find_joined_versions(history),
        *find_denials(history),
        *find_steps_back(history),
        *find_late_versions(history),
        *find_late_work(history),
        *find_cut_answers(history),
        *find_bad_exits(history),
        *find_unused_lives(history),
        *find_work_at_spoilt(history),
        *find_late_crashes(history),
        *[Finding("foreign", request) for request in history.trapped],
    ]


def find_overspending(history: History) -> list[Finding]:
    """A prompt counts once for a request that ran, an event when it was delivered."""
    ran = {run.identity for run in history.ran}
    used: collections.Counter[str] = collections.Counter()
    for sent in history.sent:
        if sent.identity in ran:
            used[sent.account] += sent.prompt + len(EVENT_NUMBER.findall(sent.body))
    return [
        Finding("budget", f"{account} used {used[account]} of {prepaid}")
        for account, prepaid in history.prepaid.items()
        if used[account] > prepaid
    ]


def find_repetitions(history: History) -> list[Finding]:
    """Requests that may run once, and ran more often, also in two lives of a runner."""
    runs = group_runs(history)
    return [
        Finding("once", f"{sent.identity} ran: {runs[sent.identity]}")
        for sent in history.sent
        if sent.kind.runs_once and len(runs.get(sent.identity, ())) > 1
    ]


def find_false_refusals(history: History) -> list[Finding]:
    """Requests that may run once, were called not run, and ran."""
    ran = {run.identity for run in history.ran}
    return [
        Finding("refusal", f"{sent.identity} got {sent.status} and ran")
        for sent in history.sent
        if sent.status in NOT_RUN_STATUSES
        and sent.kind.runs_once
        and sent.identity in ran
    ]


def find_foreign_answers(history: History) -> list[Finding]:
    """Successes that aren't the caller's own whole answer, or look whole too soon."""
    found = []
    for sent in history.sent:
        if sent.status != 200:
            continue
        due = make_answer(sent.stream, sent.kind, sent.last_event)
        body = COMMENT.sub(b"", sent.body)
        if sent.whole and body != due:
            found.append(Finding("answer", f"{sent.identity} got {body[:80]!r}"))
        if not sent.whole and not due.startswith(body):
            found.append(Finding("order", f"{sent.identity} got {body[-80:]!r}"))
    return found


def find_joined_versions(history: History) -> list[Finding]:
    """Streams with events of two versions, in one answer or over a caller's tries."""
    versions: dict[str, set[bytes]] = collections.defaultdict(set)
    for sent in history.sent:
        if sent.status == 200 and sent.kind.streams:
            versions[sent.stream].update(COMMENT.findall(sent.body))
    joined = [stream for stream, found in versions.items() if len(found - {b""}) > 1]
    if len(joined) <= MOST_JOINED:
        return []
    return [Finding("versions", f"{stream} has two versions") for stream in joined]


def find_denials(history: History) -> list[Finding]:
    """Keys and routes that all versions have, called unknown."""
    return [
        Finding("denied", f"{sent.identity} got {sent.status} at {sent.relay}")
        for sent in history.sent
        if sent.status in (401, 403, 404) and not sent.path.startswith("/v")
    ]


def find_steps_back(history: History) -> list[Finding]:
    """Versions that a process had in force, and then not any more."""
    seen: dict[tuple[str, int], set[str]] = collections.defaultdict(set)
    found = []
    for sent in sorted(history.sent, key=lambda sent: sent.sent_at):
        number = find_version(sent)
        if number is None:
            continue
        life = sent.relay, sent.life
        if sent.status == 200:
            seen[life].add(sent.path)
        removed = history.count_versions(sent.ended_at) >= number + ROUTE_VERSIONS
        if sent.status == 404 and sent.path in seen[life] and not removed:
            found.append(Finding("version", f"{sent.path} is gone at {sent.relay}"))
    return found


def find_late_versions(history: History) -> list[Finding]:
    """Requests that a relay in touch decides by a version that is no more in force."""
    found = []
    for sent in history.sent:
        number = find_version(sent)
        if number is None or not _is_in_touch(history, sent.relay, sent.sent_at):
            continue
        in_force = history.count_versions(sent.sent_at - IN_FORCE_SECONDS)
        newest = history.count_versions(sent.ended_at)
        lacks = sent.status == 404 and number <= in_force
        removed = number + ROUTE_VERSIONS
        keeps = sent.status == 200 and removed <= in_force
        if keeps or (lacks and newest < removed):
            detail = f"{sent.path} got {sent.status} at {sent.relay}, {in_force} holds"
            found.append(Finding("late version", detail))
    return found


def find_version(sent: Sent) -> int | None:
    """Return the version that added the route of a request, if one did."""
    match = VERSION_PATH.match(sent.path)
    return int(match[1]) if match else None


def find_late_work(history: History) -> list[Finding]:
    """Requests that reach a runner long after it has said that it leaves."""
    return [
        Finding("leaving", f"{run.identity} at {run.runner}")
        for leaving in history.disturbances
        if leaving.kind == "leave"
        for run in find_runs(history, leaving, leaving.ended_at + CALM_SECONDS)
    ]


def find_work_at_spoilt(history: History) -> list[Finding]:
    """Requests that reach a runner long after its entry named none to use."""
    return [
        Finding("foreign", f"{run.identity} at {run.runner}")
        for spoilt in history.disturbances
        if spoilt.kind == SPOILT
        for run in find_runs(history, spoilt, spoilt.ended_at)
    ]


def find_runs(history: History, unlisted: Disturbance, until: float) -> list[Ran]:
    """Return what relays in touch sent to a runner long after it was unlisted."""
    bound = unlisted.began_at + LEAVING_SECONDS
    sent = {one.identity: one for one in history.sent}
    return [
        run
        for run in history.ran
        if run.runner == unlisted.target
        and bound < run.at < until
        and run.identity in sent
        and _is_in_touch(history, sent[run.identity].relay, run.at)
    ]


def find_unused_lives(history: History) -> list[Finding]:
    """Runners that are back under their names, and get nothing though others do.

    A belief about the life before holds them back, as that it leaves or has failed.
    """
    found = []
    for rebirth in history.disturbances:
        if rebirth.kind != REBIRTH or _was_disturbed(history, rebirth):
            continue
        begins_at = rebirth.ended_at + USED_AFTER_SECONDS
        ends_at = begins_at + IDLE_SECONDS
        served = [
            sent
            for sent in history.sent
            if begins_at <= sent.sent_at < ends_at
            and sent.status == 200
            and _is_in_touch(history, sent.relay, sent.sent_at)
        ]
        used = {run.runner for run in history.ran if begins_at <= run.at < ends_at}
        enough = len(served) >= LEAST_SERVED * (len(used) + 1)
        if enough and rebirth.target not in used:
            found.append(Finding("unused", f"{rebirth.target}: {len(served)} served"))
    return found


def find_cut_answers(history: History) -> list[Finding]:
    """Requests that an orderly stop of a relay took, and lost."""
    runs = group_runs(history)
    return [
        Finding(
            "stop",
            f"{sent.identity} at {stop.target}: sent {sent.sent_at - stop.began_at:.3f}"
            f" s after the signal, lost at {sent.ended_at - stop.began_at:.3f} s"
            f"{', reset' if sent.reset else ''}",
        )
        for stop in history.disturbances
        if stop.kind == STOP
        for sent in history.sent
        if sent.relay == stop.target
        and sent.sent_at < stop.ended_at
        and sent.ended_at >= stop.began_at
        and _is_lost(stop, sent, bool(runs.get(sent.identity)))
        and not _was_broken_elsewhere(history, sent, runs.get(sent.identity, []))
    ]


def _is_lost(stop: Disturbance, sent: Sent, ran: bool) -> bool:
    """Return whether a request was accepted, and its answer cut off or never begun."""
    took = sent.ended_at - sent.sent_at
    if sent.whole or sent.left or not sent.connected or took >= sent.kind.timeout:
        return False
    if not ran and sent.status == 0:
        # It may have crossed the close of its connection, also as its caller was late.
        written_at = sent.written_at
        return written_at is not None and sent.ended_at - written_at > SLACK_SECONDS
    late = sent.sent_at > stop.began_at + LATE_SECONDS
    return late or sent.ended_at < stop.began_at + KEPT_SHARE * STOP_SECONDS


def _was_broken_elsewhere(history: History, sent: Sent, ran: list[Ran]) -> bool:
    """Return whether its runner or the relay was disturbed while it was under way."""
    targets = {run.runner for run in ran}
    return any(
        one.began_at <= sent.ended_at and one.ended_at >= sent.sent_at
        for one in history.disturbances
        if one.target in targets
        or (one.target == sent.relay and one.kind in ("kill", "pause"))
    )


def find_bad_exits(history: History) -> list[Finding]:
    """Relays that were asked to stop and ended with an error, or ended unasked."""
    return [
        Finding("exit", f"{relay} ended with {code}")
        for relay, code in history.exits
        if code != 0
    ]


def group_runs(history: History) -> dict[str, list[Ran]]:
    """Return the runs of each request."""
    found: dict[str, list[Ran]] = collections.defaultdict(list)
    for run in history.ran:
        found[run.identity].append(run)
    return found


def _is_in_touch(history: History, relay: str, at: float) -> bool:
    """Return whether a relay and its way to the store were sound for a while."""
    return not any(
        one.began_at < at and one.ended_at > at - CALM_SECONDS
        for one in history.disturbances
        if one.target in (relay, EVERYONE) or one.kind in STORE_STEPS
    )


def _was_disturbed(history: History, rebirth: Disturbance) -> bool:
    """Return whether more was done to a runner in the time in which it must be used."""
    until = rebirth.ended_at + USED_AFTER_SECONDS + IDLE_SECONDS
    return any(
        one.began_at < until and one.ended_at > rebirth.began_at
        for one in history.disturbances
        if one.target == rebirth.target and one is not rebirth
    )


def count_outcomes(sent: list[Sent]) -> dict[str, int]:
    """Return how many requests were served, refused and broken, by kind."""
    found: collections.Counter[str] = collections.Counter()
    for one in sent:
        served = one.status == 200 and one.whole
        outcome = "served" if served else f"status {one.status}"
        if one.status == 200 and not one.whole:
            outcome = "cut"
        found[f"{Kind(one.kind).value}: {outcome}"] += 1
    return dict(sorted(found.items()))
