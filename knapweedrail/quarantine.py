"""Quarantine of requests that crash the runners that run them."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable

import attrs

MAX_FINGERPRINTS = 10_000
"""Maximum number of fingerprints, about 2 MB with two losses each; the oldest are
evicted first."""

QUARANTINE_SECONDS = 3600.0
"""Time after which a request may be tried again: the model may have been fixed, or
another request may have caused the crashes. If not, it crashes at most the allowed
number of runners once more."""

SAME_LOSS_SECONDS = 1.0
"""Time within which a loss that a router sees is the one that it has just recorded or
heard of. Routers see a loss within some tenths of a second of each other, and a runner
takes longer to start again."""

SEPARATOR = "|"


@attrs.define
class _Record:
    """Losses attributed to a request, and those it has been cleared of.

    Both sets only grow, so merging messages of other routers gives the same result in
    any order, even if messages are late or repeated. `lost_at` says when this router
    recorded the latest loss of each runner.
    """

    losses: set[str] = attrs.Factory(set)
    cleared: set[str] = attrs.Factory(set)
    changed: float = 0.0
    lost_at: dict[str, float] = attrs.Factory(dict)

    @property
    def held(self) -> set[str]:
        return self.losses - self.cleared


class Quarantine:
    """Requests by content, and the runners that were lost while they ran.

    Handles a request that crashes every runner that runs it, and that its caller sends
    again under a new identity each time. Without a quarantine it would take down all
    runners one after another, with all other requests on them.

    A lost runner ran other requests too, and it isn't known which one caused the crash.
    So a loss only makes suspects of all requests that ran there, and each suspect then
    runs without other suspects. If a runner with a suspect is lost, the loss is
    attributed to the suspect alone. A complete answer clears a suspect. So harmless
    requests are answered after one retry each, and the harmful one reaches the limit.

    This holds within one router. Suspects of two routers may run on the same runner,
    and if it is lost, a harmless one may be refused until its quarantine ends. Waiting
    for another loss before refusing would interrupt all requests on one more runner.

    Args:
        limit: Lost runners after which a request is refused.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._records: OrderedDict[str, _Record] = OrderedDict()

    def blocks(
        self,
        fingerprint: str,
        now: float,
        limit: int | None = None,
        seconds: float = QUARANTINE_SECONDS,
    ) -> bool:
        """Return whether this request is refused.

        Args:
            fingerprint: Its fingerprint.
            now: Unix time, seconds.
            limit: Losses from which it is refused, if not those of the quarantine.
            seconds: Time after which it may be tried again.
        """
        record = self._records.get(fingerprint)
        if record is None or len(record.held) < (limit or self.limit):
            return False
        if record.changed + seconds <= now:
            record.cleared |= record.losses
            record.changed = now
            return False
        return True

    def count_losses(self, fingerprint: str) -> int:
        """Return the number of lost runners that count against a request."""
        record = self._records.get(fingerprint)
        return len(record.held) if record else 0

    def measure_rest(self, fingerprint: str, now: float) -> float:
        """Return the seconds until a blocked request may be tried again."""
        record = self._records.get(fingerprint)
        return record.changed + QUARANTINE_SECONDS - now if record else 0.0

    def suspects(self, fingerprint: str) -> bool:
        """Return whether a loss is attributed to this request."""
        record = self._records.get(fingerprint)
        return record is not None and bool(record.held)

    def note_loss(self, runner: str, fingerprints: list[str], now: float) -> None:
        """Attribute the loss of a runner to the suspects that ran there alone.

        If no suspect ran there, the loss is attributed to all requests.

        Args:
            runner: The runner's name.
            fingerprints: Fingerprints of all requests of this router that it ran.
            now: Unix time, seconds.
        """
        suspects = [text for text in fingerprints if self.suspects(text)]
        self.attribute_loss(runner, suspects or fingerprints, now)

    def attribute_loss(
        self, runner: str, fingerprints: Iterable[str], now: float
    ) -> None:
        """Attribute the loss of a runner to all requests that ran there.

        Where suspects don't run apart, an earlier suspect doesn't exonerate others.
        """
        for fingerprint in {text for text in fingerprints if text}:
            record = self._touch(fingerprint, now)
            if now - record.lost_at.get(runner, -math.inf) >= SAME_LOSS_SECONDS:
                record.losses.add(_name_loss(runner, record.losses))
                record.lost_at[runner] = now

    def clear(self, fingerprint: str, now: float) -> int:
        """Clear a request that has been answered completely.

        Returns:
            The number of losses that no longer count against it.
        """
        record = self._records.get(fingerprint)
        if record is None or not record.held:
            return 0
        count = len(record.held)
        record.cleared |= record.losses
        record.changed = now
        return count

    def tell(self, min_losses: int = 1) -> list[str]:
        """Return the state for other routers, one line for each request.

        Args:
            min_losses: Losses, cleared or not, of the requests to include.
        """
        return [
            _format(fingerprint, record)
            for fingerprint, record in self._records.items()
            if len(record.losses) >= min_losses
        ]

    def format_lines(self, fingerprints: Iterable[str], min_losses: int) -> list[str]:
        """Return the lines of some requests, as `tell` does of all."""
        return [
            _format(fingerprint, record)
            for fingerprint in fingerprints
            if (record := self._records.get(fingerprint)) is not None
            and len(record.losses) >= min_losses
        ]

    def hear(self, lines: list[str], now: float) -> list[str]:
        """Merge the state of another router.

        A caller that sends a request again reaches another router through the load
        balancer, and that router must know of the runners that were lost before.

        Returns:
            Fingerprints of the requests of which something was new.
        """
        changed = []
        for line in lines:
            fingerprint, losses, cleared = parse_line(line)
            if not fingerprint:
                continue
            record = self._records.get(fingerprint) or _Record()
            if losses <= record.losses and cleared <= record.cleared:
                continue
            record = self._touch(fingerprint, now)
            new = losses - record.losses
            record.lost_at |= {loss.rpartition("#")[0]: now for loss in new}
            record.losses |= losses
            record.cleared |= cleared
            changed.append(fingerprint)
        return changed

    def _touch(self, fingerprint: str, now: float) -> _Record:
        record = self._records.setdefault(fingerprint, _Record())
        record.changed = now
        self._records.move_to_end(fingerprint)
        while len(self._records) > MAX_FINGERPRINTS:
            self._records.popitem(last=False)
        return record


def _name_loss(runner: str, known: set[str]) -> str:
    """Return the name of a further loss of a runner.

    The loss of a runner is seen by every router that had the request there. If each
    router named it, it would count once for each of them, and a request that crashed a
    single runner would be refused. So its name consists of the runner's name and a
    number one higher than the highest known. Routers that see the same loss at the same
    time give it the same name, and a later loss gets a higher number. No clock is
    needed to distinguish them.
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


def parse_line(line: str) -> tuple[str, set[str], set[str]]:
    """Return the fingerprint of a line, its losses, and those it was cleared of."""
    fingerprint, _, rest = line.partition(SEPARATOR)
    losses, _, cleared = rest.partition(SEPARATOR)
    return (
        fingerprint,
        {text for text in losses.split(",") if text},
        {text for text in cleared.split(",") if text},
    )
