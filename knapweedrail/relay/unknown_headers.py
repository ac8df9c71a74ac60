"""Logging of unknown headers in callers' requests and runners' answers."""

from __future__ import annotations

from ..events import Event, log_event

MAX_NAMES = 50
"""Maximum number of names logged, as a sender could send any number of them."""


class UnknownHeaderLog:
    """Logs each unknown header of one kind of senders once.

    Callers and runners may be newer than the relays and send headers that a relay
    should evaluate.
    """

    def __init__(self) -> None:
        self._names: set[str] = set()

    def record(self, names: tuple[str, ...], sender: str) -> None:
        """Log the names that haven't been logged yet.

        Args:
            names: Unknown header names of a request or an answer.
            sender: Name of the runner that sent them; empty for a caller.
        """
        for name in names:
            if name not in self._names and len(self._names) < MAX_NAMES:
                self._names.add(name)
                log_event(Event.HEADER_UNREAD, header=name, sender=sender)
