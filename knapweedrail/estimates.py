"""What runs are expected to take, learnt from the runs that this router saw."""

from __future__ import annotations

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

DEVIATIONS = 2.0

FIRST_UNIT_SECONDS = 0.02
"""Seconds for a unit before any run was seen; the first run replaces it."""


@attrs.define
class _Observed:
    unit_seconds: float = FIRST_UNIT_SECONDS
    first_seconds: float = 0.0
    first_deviation: float = 0.0
    run_seconds: float = 0.0
    runs: int = 0


class Estimates:
    """Expected seconds of long and of short work.

    The two classes are learnt apart: callers ask for the largest answer to a
    question and get a tenth of it, while a roster uses most of what it asks for.
    """

    def __init__(self) -> None:
        self._classes = {True: _Observed(), False: _Observed()}

    def expect_seconds(self, work: Work) -> float:
        """Return the seconds for which the work is expected to hold a slot."""
        return count_units(work) * self._classes[work.short].unit_seconds

    def expect_first_seconds(self, work: Work) -> float:
        """Return the seconds from start to the first byte that most runs keep.

        The mean and twice the mean deviation, as for a retransmission timeout: a
        deadline that only half of the runs keep is no promise to a caller.
        """
        seen = self._classes[work.short]
        return seen.first_seconds + DEVIATIONS * seen.first_deviation

    def expect_short_seconds(self) -> float:
        """Return the mean seconds of a run of short work; 0 if none was seen."""
        return self._classes[True].run_seconds

    def knows(self, work: Work) -> bool:
        """Return whether a run of this class has been seen."""
        return self._classes[work.short].runs > 0

    def note(self, work: Work, ended: Ended) -> None:
        """Learn from a run that went well on a runner that isn't ejected."""
        seen = self._classes[work.short]
        first = ended.first_token_seconds
        if first is None:
            first = ended.seconds
        weight = SMOOTHING if seen.runs else 1.0
        unit = ended.seconds / count_units(work)
        seen.unit_seconds = _smooth(seen.unit_seconds, unit, weight)
        deviation = abs(first - seen.first_seconds) if seen.runs else 0.0
        seen.first_deviation = _smooth(seen.first_deviation, deviation, weight, False)
        seen.first_seconds = _smooth(seen.first_seconds, first, weight)
        seen.run_seconds = _smooth(seen.run_seconds, ended.seconds, weight)
        seen.runs += 1


def count_units(work: Work) -> float:
    """Return the size of a run in units: answer tokens, or one for a plain call."""
    return max(1.0, PROMPT_SHARE * work.prompt_tokens + work.max_answer_tokens)


def _smooth(old: float, new: float, weight: float, clipped: bool = True) -> float:
    if clipped and weight < 1.0:
        new = min(new, OUTLIER * old)
    return old + weight * (new - old)
