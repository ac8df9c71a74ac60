"""The judge: which promises were broken, from what callers and runners saw.

Pure. It knows nothing of the relays' own books, so an error there can't hide from it.
"""

from __future__ import annotations

import collections
import re

from .records import Disturbance, Finding, History, Kind, Sent, make_answer

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses by which a caller is told that its request never ran."""

LEAVING_SECONDS = 3.0
"""Time after a runner's word that it leaves from which it must get nothing: the bound
of two seconds in the relays' settings, and one for a busy machine."""

CALM_SECONDS = 4.0
"""Time without another disturbance before and after one, for promises with a bound."""

EVENT_NUMBER = re.compile(rb"(?:^|\n)id: (\d+)\ndata: [^\n]*\n\n")


def judge(history: History) -> list[Finding]:
    """Return all broken promises."""
    return [
        *find_overspending(history),
        *find_repetitions(history),
        *find_false_refusals(history),
        *find_foreign_answers(history),
        *find_denials(history),
        *find_steps_back(history),
        *find_late_work(history),
        *find_cut_answers(history),
        *find_bad_exits(history),
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
    """Requests that may run once, and ran more often."""
    runs = collections.Counter(run.identity for run in history.ran)
    return [
        Finding("once", f"{sent.identity} ran {runs[sent.identity]} times")
        for sent in history.sent
        if sent.kind.runs_once and runs[sent.identity] > 1
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
        due = make_answer(sent.identity, sent.kind)
        if sent.whole and sent.body != due:
            found.append(Finding("answer", f"{sent.identity} got {sent.body[:80]!r}"))
        if not sent.whole and not due.startswith(sent.body):
            found.append(Finding("order", f"{sent.identity} got {sent.body[-80:]!r}"))
    return found


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
        if not sent.path.startswith("/v"):
            continue
        life = sent.relay, sent.life
        if sent.status == 200:
            seen[life].add(sent.path)
        if sent.status == 404 and sent.path in seen[life]:
            found.append(Finding("version", f"{sent.path} is gone at {sent.relay}"))
    return found


def find_late_work(history: History) -> list[Finding]:
    """Requests that reach a runner long after it has said that it leaves."""
    found = []
    for leaving in history.disturbances:
        if leaving.kind != "leave" or not _was_calm(history, leaving, LEAVING_SECONDS):
            continue
        bound = leaving.began_at + LEAVING_SECONDS
        late = [
            run
            for run in history.ran
            if run.runner == leaving.target and bound < run.at < bound + CALM_SECONDS
        ]
        found += [Finding("leaving", f"{run.identity} at {run.runner}") for run in late]
    return found


def find_cut_answers(history: History) -> list[Finding]:
    """Answers that an orderly stop of a relay cut off."""
    found = []
    for stop in history.disturbances:
        if stop.kind != "stop" or not _was_calm(history, stop, CALM_SECONDS):
            continue
        found += [
            Finding("stop", f"{sent.identity} was cut at {stop.target}")
            for sent in history.sent
            if sent.relay == stop.target
            and sent.sent_at < stop.ended_at
            and sent.ended_at >= stop.began_at
            and sent.status == 200
            and not sent.whole
        ]
    return found


def find_bad_exits(history: History) -> list[Finding]:
    """Relays that were asked to stop, and ended with an error."""
    return [
        Finding("exit", f"{relay} ended with {code}")
        for relay, code in history.exits
        if code != 0
    ]


def _was_calm(history: History, one: Disturbance, seconds: float) -> bool:
    """Return whether nothing else was done around a disturbance."""
    return not any(
        other.ended_at > one.began_at - CALM_SECONDS
        and other.began_at < max(one.ended_at, one.began_at + 2 * seconds)
        for other in history.disturbances
        if other is not one
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
