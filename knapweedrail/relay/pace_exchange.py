"""Exchange of the runners' lowest paces between relays.

Pure. One relay sees each runner too seldom to learn its lowest pace soon, so relays
exchange what they have learned over the links of the update feed.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

import attrs

from .models import RunnerIncarnation
from .runners import RunnerTable
from .scheduling.pace_log import LoggedPace, PaceLog
from .scheduling.paces import MAX_PACE, MIN_PACE

MAX_PACES_PER_MESSAGE = 256
"""Maximum number of paces in one message, about 10 kB."""

MAX_KEPT_PACES = 1024
"""Maximum number of received paces kept for incarnations that aren't listed yet, and of
those remembered for each link; the oldest are evicted first."""

MAX_NAME_LENGTH = 253
"""Maximum length of a runner's name, as in the store. It limits the memory of paces
kept for incarnations that aren't listed."""

MAX_STARTED = 2**64 - 1
"""Largest start time that a message can carry."""


@attrs.frozen
class RunnerPace:
    """Lowest pace of one incarnation of a runner, as exchanged between relays.

    Attributes:
        lowest: Lowest pace that the incarnation has reported; 1.0 is usual.
    """

    incarnation: RunnerIncarnation
    lowest: float

    @property
    def valid(self) -> bool:
        """Whether it is complete and within the bounds."""
        return (
            0 < len(self.incarnation.name) <= MAX_NAME_LENGTH
            and 0 <= self.incarnation.started <= MAX_STARTED
            and MIN_PACE <= self.lowest <= MAX_PACE
        )


class PaceExchange:
    """The paces that one relay exchanges on all its links.

    A received pace of an incarnation that isn't listed yet is kept aside until it is:
    the sender doesn't repeat it, and lists of runners often arrive later than paces.

    Args:
        table: The relay's runners.
    """

    def __init__(self, table: RunnerTable) -> None:
        self._table = table
        self._unlisted: OrderedDict[RunnerIncarnation, float] = OrderedDict()
        table.on_new_incarnation = self._merge_kept

    def open_link(self) -> LinkPaces:
        """Return the state of a new link, on which nothing was exchanged yet."""
        return LinkPaces(self)

    @property
    def log(self) -> PaceLog:
        """The paces that this relay knows, in the order of their changes."""
        return self._table.pace_log

    def is_listed(self, incarnation: RunnerIncarnation) -> bool:
        """Return whether an incarnation is the current one of a known runner."""
        return self._table.find_view(incarnation) is not None

    def merge(self, pace: RunnerPace) -> None:
        """Merge a valid pace that another relay has sent."""
        if self.is_listed(pace.incarnation):
            self._table.merge_paces({pace.incarnation: pace.lowest})
        else:
            _keep_lowest(self._unlisted, pace)

    def _merge_kept(self, incarnation: RunnerIncarnation) -> None:
        """Merge what is known of an incarnation that is newly listed.

        A runner whose entry was absent for long is listed again without its pace, which
        other relays have no reason to send again.
        """
        kept = self._unlisted.pop(incarnation, None)
        logged = self.log.find(incarnation)
        for lowest in (kept, logged and logged.lowest):
            if lowest is not None:
                self._table.merge_paces({incarnation: lowest})


class LinkPaces:
    """Which paces were already exchanged on one link, in both directions.

    Args:
        exchange: The paces of this relay.
    """

    def __init__(self, exchange: PaceExchange) -> None:
        self._exchange = exchange
        self._position = 0
        self._received: OrderedDict[RunnerIncarnation, float] = OrderedDict()

    def take_next(self) -> tuple[RunnerPace, ...]:
        """Return the next paces to send, and count them as sent."""
        paces: list[RunnerPace] = []
        for logged in self._exchange.log.list_since(self._position):
            self._position = logged.position
            if self._is_needed(logged):
                paces.append(RunnerPace(logged.incarnation, logged.lowest))
            if len(paces) == MAX_PACES_PER_MESSAGE:
                break
        return tuple(paces)

    def _is_needed(self, logged: LoggedPace) -> bool:
        received = self._received.pop(logged.incarnation, None)
        if received is not None and received <= logged.lowest:
            return False
        pace = RunnerPace(logged.incarnation, logged.lowest)
        return pace.valid and self._exchange.is_listed(logged.incarnation)

    def receive(self, paces: Iterable[RunnerPace]) -> None:
        """Merge the paces of a message; invalid ones are dropped."""
        for pace in paces:
            if pace.valid:
                self._exchange.merge(pace)
                self._record_received(pace)

    def _record_received(self, pace: RunnerPace) -> None:
        """Remember a received pace unless its change has been passed already."""
        logged = self._exchange.log.find(pace.incarnation)
        if logged is None or logged.position > self._position:
            _keep_lowest(self._received, pace)


def _keep_lowest(
    paces: OrderedDict[RunnerIncarnation, float], pace: RunnerPace
) -> None:
    """Keep the lower pace of an incarnation, and evict the oldest over the bound."""
    known = paces.get(pace.incarnation, pace.lowest)
    paces[pace.incarnation] = min(known, pace.lowest)
    if len(paces) > MAX_KEPT_PACES:
        paces.popitem(last=False)
