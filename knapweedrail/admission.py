"""Admission: whether work can have its first byte in time, and when to come back."""

from __future__ import annotations

import random

import attrs

from .work import Ended, Work

PROMPT_SHARE = 0.05
"""Cost of a prompt token against one of the answer. Prompts are read in batches of
hundreds, answers written one token at a time; the ratio needs only to be of the
right order, since the observed seconds scale it."""

SMOOTHING = 0.05
"""Weight of one observation. About the last 20 count, a few seconds of one router's
traffic: fewer make admission follow single answers, more miss a change of load."""

OUTLIER = 4.0
"""An observation counts for no more than this many times the present estimate, so
that one stuck run doesn't make the next callers be refused."""

ADMIT_SHARE = 0.8
"""Share of the time to the deadline that the estimated wait may fill at admission.
The rest is for the error of the estimate; whoever is let in should not be refused
later."""

MIN_RETRY_SECONDS = 0.5
"""Shortest time that a refused caller is told to wait: less brings it back into the
same backlog."""

RETRY_SPREAD = 0.25
"""Random share added to the time, so that callers refused together don't return
together."""


@attrs.define
class _Observed:
    seconds_per_unit: float
    first_seconds: float
    run_seconds: float = 0.0
    runs: int = 0


class Estimates:
    """What runs are expected to take, by what was seen of runs of the same class.

    Args:
        unit_seconds: Seconds for one unit before anything was seen: a token of an
            engine's answer, or a call of a plain service.
    """

    def __init__(self, unit_seconds: float = 0.02) -> None:
        self._classes = {short: _Observed(unit_seconds, 0.0) for short in (True, False)}

    def expected_seconds(self, work: Work) -> float:
        """Return the seconds for which the work is expected to hold a slot."""
        return count_units(work) * self._classes[work.short].seconds_per_unit

    def expected_first_seconds(self, work: Work) -> float:
        """Return the seconds expected from start to the first byte."""
        return self._classes[work.short].first_seconds

    def mean_seconds(self, short: bool) -> float:
        """Return the mean seconds of a run of one class."""
        return self._classes[short].run_seconds

    def knows(self, work: Work) -> bool:
        """Return whether a run of this class has been seen."""
        return self._classes[work.short].runs > 0

    def note(self, work: Work, ended: Ended) -> None:
        """Learn from a run that went well on a runner that isn't under suspicion."""
        observed = self._classes[work.short]
        first = ended.first_token_seconds
        if first is None:
            first = ended.seconds
        per_unit = ended.seconds / count_units(work)
        if observed.runs == 0:
            observed.seconds_per_unit = per_unit
            observed.first_seconds = first
            observed.run_seconds = ended.seconds
        else:
            observed.seconds_per_unit = _smooth(observed.seconds_per_unit, per_unit)
            observed.first_seconds = _smooth(observed.first_seconds, first)
            observed.run_seconds = _smooth(observed.run_seconds, ended.seconds)
        observed.runs += 1


@attrs.frozen
class Room:
    """What there is to serve a backlog with.

    Attributes:
        slots: Slots that serve this router's work.
        opens_in: Seconds until the first runner may be tried, when none is usable
            now; ``None`` when there is no runner to wait for.
    """

    slots: float
    opens_in: float | None = 0.0


@attrs.frozen
class Estimate:
    """When a piece of work is expected to begin and to have its first byte.

    Attributes:
        wait: Seconds until it starts; infinite when nothing will serve it.
        first: Seconds from start to the first byte.
    """

    wait: float
    first: float

    @property
    def total(self) -> float:
        """Seconds until the first byte."""
        return self.wait + self.first


def estimate_wait(ahead: float, room: Room) -> float:
    """Return the seconds until work starts that has ``ahead`` slot seconds before it.

    Args:
        ahead: Slot seconds that are served first.
        room: What serves them.
    """
    if room.slots > 0:
        return ahead / room.slots
    if room.opens_in is None:
        return float("inf")
    return room.opens_in


def fits(estimate: Estimate, deadline: float, now: float, share: float) -> bool:
    """Return whether the first byte is expected in time.

    The load it is for: more work than the runners can serve. Whatever is let in
    beyond that only waits, misses its deadline after all, and makes everyone behind
    it late too; the caller learns it too late to act. So work is refused while its
    caller can still do something else. The wait may fill only a share of the time,
    because the estimate errs; the first byte's own time is counted whole.

    Args:
        estimate: What is expected.
        deadline: Absolute seconds.
        now: Absolute seconds.
        share: Share of the time left that the wait may fill.
    """
    left = deadline - now - estimate.first
    if left < 0:
        return False
    return estimate.wait == 0.0 or estimate.wait <= share * left


def compute_retry_after(
    estimate: Estimate, deadline: float, now: float, rng: random.Random
) -> float | None:
    """Return the seconds after which the same request is expected to be let in.

    The backlog drains one second a second, so the time by which the wait is too long
    is the time to stay away.

    Returns:
        ``None`` when coming back can't help: an idle system would be too slow too.
    """
    left = deadline - now - estimate.first
    if left < 0:
        return None
    late = estimate.wait - ADMIT_SHARE * left
    seconds = max(MIN_RETRY_SECONDS, late)
    return seconds * (1.0 + RETRY_SPREAD * rng.random())


def count_units(work: Work) -> float:
    """Return the size of a run in units: answer tokens, or one for a plain call."""
    return max(1.0, PROMPT_SHARE * work.prompt_tokens + work.max_answer_tokens)


def _smooth(old: float, new: float) -> float:
    new = min(new, OUTLIER * old) if old > 0 else new
    return old + SMOOTHING * (new - old)
