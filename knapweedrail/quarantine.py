"""Quarantine of requests that fell the runners that run them."""

from __future__ import annotations

from collections import OrderedDict

import attrs

MAX_FINGERPRINTS = 10_000
"""Fingerprints remembered; the oldest goes first. About 2 MB at two losses each."""

QUARANTINE_SECONDS = 3600.0
"""Time after which a request may be tried again: the model may have been mended, or
the request been innocent. Then it fells at most the allowed number of runners once
more. This decides how soon it is tried, nothing else."""

SEPARATOR = "|"


@attrs.define
class _Record:
    """Losses that are held against a request, and those it has been cleared of.

    Both sets only grow, so that merging what routers tell each other gives the same
    result in any order, however late and however often a message comes.
    """

    losses: set[str] = attrs.Factory(set)
    cleared: set[str] = attrs.Factory(set)
    changed: float = 0.0

    @property
    def held(self) -> set[str]:
        return self.losses - self.cleared


class Quarantine:
    """Requests by content, and the runners that were lost while they ran.

    The load it is for: a request that crashes every runner that runs it, sent again
    by its caller under a new identity each time. Unchecked, it takes down all
    runners one after another, with everybody's work on them.

    A lost runner had other work too, and nobody can see whose fault it was. So a loss
    only makes suspects of all that ran there, and suspects run again one to a
    runner. When a runner with a suspect is lost, the loss is held against the
    suspect alone, not against its neighbours. A good answer clears a suspect. So the
    innocent come through with one retry each, and the guilty one has lost its
    allowed number of runners.

    This holds within one router. Two suspects of different routers may meet on a
    runner, and then neither router can tell whose fault its end was: an innocent
    one may be condemned, until its time is over. Waiting for a further loss before
    refusing would cost everybody on one more runner their answers.

    Args:
        limit: Lost runners after which a request is refused.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._records: OrderedDict[str, _Record] = OrderedDict()

    def blocks(self, fingerprint: str, now: float) -> bool:
        """Return whether this request is refused."""
        record = self._records.get(fingerprint)
        if record is None or len(record.held) < self.limit:
            return False
        if record.changed + QUARANTINE_SECONDS <= now:
            record.cleared |= record.losses
            record.changed = now
            return False
        return True

    def measure_rest(self, fingerprint: str, now: float) -> float:
        """Return the seconds until a blocked request may be tried again."""
        record = self._records.get(fingerprint)
        return record.changed + QUARANTINE_SECONDS - now if record else 0.0

    def suspects(self, fingerprint: str) -> bool:
        """Return whether a loss is held against this request."""
        record = self._records.get(fingerprint)
        return record is not None and bool(record.held)

    def note_loss(self, runner: str, fingerprints: list[str], now: float) -> None:
        """Hold the loss of a runner against what ran there.

        Args:
            runner: The runner's name.
            fingerprints: Of all work of this router that was on it.
            now: Absolute seconds.
        """
        known = {text for text in fingerprints if text}
        suspects = {text for text in known if self.suspects(text)}
        for fingerprint in suspects or known:
            record = self._touch(fingerprint, now)
            record.losses.add(_name_loss(runner, record.losses))

    def clear(self, fingerprint: str, now: float) -> None:
        """Drop the suspicion: the request has been answered whole."""
        record = self._records.get(fingerprint)
        if record is None or not record.held:
            return
        record.cleared |= record.losses
        record.changed = now

    def tell(self) -> list[str]:
        """Return what other routers should know, one line for each request."""
        return [
            _format(fingerprint, record)
            for fingerprint, record in self._records.items()
            if record.losses
        ]

    def hear(self, lines: list[str], now: float) -> None:
        """Merge what another router told.

        A caller that sends a request again reaches another router through the
        balancer; that router must know of the runners lost before.
        """
        for line in lines:
            fingerprint, losses, cleared = _parse(line)
            record = self._records.get(fingerprint) or _Record()
            if losses <= record.losses and cleared <= record.cleared:
                continue
            record = self._touch(fingerprint, now)
            record.losses |= losses
            record.cleared |= cleared

    def _touch(self, fingerprint: str, now: float) -> _Record:
        record = self._records.setdefault(fingerprint, _Record())
        record.changed = now
        self._records.move_to_end(fingerprint)
        while len(self._records) > MAX_FINGERPRINTS:
            self._records.popitem(last=False)
        return record


def _name_loss(runner: str, known: set[str]) -> str:
    """Return the name of a further loss of a runner.

    One runner's end is seen by every router that had the content on it. Named by the
    router, it would count once for each of them, and refuse content that felled one
    runner. So it is named by the runner and a number one higher than the highest
    known: routers that see the same loss before they hear of one another's give it
    the same name, and a later loss gets a higher number, since its router has heard
    of the first. No clock is needed to tell them apart.
    """
    numbers = [
        int(number)
        for name, _, number in (loss.rpartition("#") for loss in known)
        if name == runner
    ]
    return f"{runner}#{max(numbers, default=0) + 1}"


def _format(fingerprint: str, record: _Record) -> str:
    losses = ",".join(sorted(record.losses))
    cleared = ",".join(sorted(record.cleared))
    return SEPARATOR.join((fingerprint, losses, cleared))


def _parse(line: str) -> tuple[str, set[str], set[str]]:
    fingerprint, _, rest = line.partition(SEPARATOR)
    losses, _, cleared = rest.partition(SEPARATOR)
    return (
        fingerprint,
        {text for text in losses.split(",") if text},
        {text for text in cleared.split(",") if text},
    )
