"""Headers of runners' answers whose meaning isn't known."""

from __future__ import annotations

from ..events import Event, log_event

MAX_NAMES = 50
"""Names that are told of; a runner could make up any number of them."""


class UnknownHeaderLog:
    """Tells once of each header that no relay reads.

    Runners may be newer than relays, and say what a relay should heed.
    """

    def __init__(self) -> None:
        self._names: set[str] = set()

    def record(self, names: tuple[str, ...], runner: str) -> None:
        """Take in the names of an answer."""
        for name in names:
            if name not in self._names and len(self._names) < MAX_NAMES:
                self._names.add(name)
                log_event(Event.HEADER_UNREAD, header=name, runner=runner)
