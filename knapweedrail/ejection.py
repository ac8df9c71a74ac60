"""Ejection of runners that are slow or fail, by what this router itself saw."""

from __future__ import annotations

import attrs

SLOW_FACTOR = 3.0
"""How many times slower than the others a runner must be. Answers of one class differ
in length by about twice, which several runs average out; a runner that is half as
fast still helps a full system."""

GOOD_FACTOR = 2.0
"""A trial run below this many times the others' time ends the ejection. Lower than
`SLOW_FACTOR`, so that a runner on the edge doesn't come and go."""

MIN_RUNS = 3
"""Runs seen before a runner is judged slow."""

LATE_RUNS = 2
"""Runs long overdue, with their first byte or their end, that show a runner to be
slow before any of them ends. One alone may be a long prompt, or a caller that reads
slowly."""

LATE_FACTOR = 5.0
"""How many times the expected time to the first byte counts as late."""

LATE_SECONDS = 1.0
"""And at least so long: a pause of the router itself is shorter than that."""

FAILURES_IN_ROW = 3
"""Failures one after another that eject. A runner that fails at once looks empty, and
draws all work; on the other hand one failure may be the request's own fault."""

EJECTED_SHARE = 1 / 3
"""Share of the runners that may be ejected at once. Beyond it, what is seen is
overload or a fault of this router's own network, and ejecting more would send the
same load to fewer runners, fell those too, and so on until none is left."""

FIRST_BACKOFF_SECONDS = 15.0
BACKOFF_FACTOR = 3.0
MAX_BACKOFF_SECONDS = 180.0
"""Times of ejection. At the end of each, every router tries the runner with one
request, which the runner's fault may cost. Growing threefold, six routers spend some
eighteen requests in the first five minutes; a runner that is well again gets its
work back after three minutes at the latest."""

SMOOTHING = 0.3
CLIP = 4.0


@attrs.define
class _Health:
    """What was seen of one runner; ``ratio`` is time taken over time expected."""

    ratio: float = 1.0
    runs: int = 0
    failures: int = 0
    ejected: bool = False
    backoff: float = 0.0


class Ejector:
    """Judges runners by their own answers and ejects a bounded share of them.

    The load it is for: one runner that has grown ten times slower, or answers every
    request with an error, while its load report looks well. Reports lag and come
    from the runner itself; callers feel only what its answers take.
    """

    def __init__(self) -> None:
        self._health: dict[str, _Health] = {}
        self._ratios = 0.0
        self._seen = 0
        self._ejected = 0
        self._runners = 0

    @property
    def limit(self) -> int:
        """Runners that may be ejected at once; one of two, none of one."""
        if self._runners < 2:
            return 0
        return max(1, int(self._runners * EJECTED_SHARE))

    def set_runners(self, names: set[str]) -> None:
        """Take over the list of runners."""
        self._runners = len(names)
        for name in [name for name in self._health if name not in names]:
            self._uncount(self._health.pop(name))

    def is_ejected(self, name: str) -> bool:
        """Return whether the runner is ejected, on trial or not."""
        return self._health.get(name, _Health()).ejected

    def note_answer(self, name: str, ratio: float) -> None:
        """Note a run that went well.

        Args:
            name: The runner.
            ratio: Seconds taken over seconds expected.
        """
        health = self._get(name)
        health.failures = 0
        if health.runs:
            ratio = health.ratio + SMOOTHING * (ratio - health.ratio)
        self._set_ratio(health, ratio)

    def note_failure(self, name: str) -> None:
        """Note a run that failed through no known fault of the request."""
        self._get(name).failures += 1

    def is_bad(self, name: str, late_runs: int = 0) -> bool:
        """Return whether what was seen of the runner calls for ejection."""
        health = self._get(name)
        if health.failures >= FAILURES_IN_ROW or late_runs >= LATE_RUNS:
            return True
        if health.runs < MIN_RUNS or self._seen <= 1:
            # Slow is slower than others: with nothing seen of others, a few answers'
            # noise would do.
            return False
        return health.ratio > SLOW_FACTOR * self.compute_norm(name)

    def is_good(self, name: str, ratio: float) -> bool:
        """Return whether a trial's answer shows the runner to be well again."""
        return ratio <= GOOD_FACTOR * self.compute_norm(name)

    def may_eject(self) -> bool:
        """Return whether the bound leaves room for one more."""
        return self._ejected < self.limit

    def eject(self, name: str) -> float:
        """Eject a runner, or go on ejecting it after a bad trial.

        Returns:
            Seconds until it is tried with one request; longer each time.
        """
        health = self._get(name)
        if not health.ejected:
            health.ejected = True
            self._ejected += 1
        longer = max(FIRST_BACKOFF_SECONDS, BACKOFF_FACTOR * health.backoff)
        health.backoff = min(MAX_BACKOFF_SECONDS, longer)
        return health.backoff

    def restore(self, name: str) -> None:
        """End the ejection; what was seen before no longer counts."""
        health = self._get(name)
        self._uncount(health)
        self._health[name] = _Health()

    def compute_norm(self, name: str) -> float:
        """Return the mean ratio of all other runners, at least one.

        Each counts for no more than `CLIP`, so that one very slow runner doesn't make
        the next one look normal.
        """
        health = self._get(name)
        own = min(CLIP, health.ratio) if health.runs else 0.0
        others = self._seen - (health.runs > 0)
        if others <= 0:
            return 1.0
        return max(1.0, (self._ratios - own) / others)

    def _get(self, name: str) -> _Health:
        return self._health.setdefault(name, _Health())

    def _uncount(self, health: _Health) -> None:
        self._ejected -= health.ejected
        if health.runs:
            self._ratios -= min(CLIP, health.ratio)
            self._seen -= 1

    def _set_ratio(self, health: _Health, ratio: float) -> None:
        if health.runs:
            self._ratios -= min(CLIP, health.ratio)
        else:
            self._seen += 1
        health.ratio = ratio
        health.runs += 1
        self._ratios += min(CLIP, ratio)
