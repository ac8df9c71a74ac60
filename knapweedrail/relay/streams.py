"""Event streams: whole events out of bytes, without gaps or repetitions.

Pure. A runner may stop in the middle of an event, and another one then goes on after
the last event that the caller has; so only whole events are passed on, and each once.
"""

from __future__ import annotations

import re

import attrs

_END = re.compile(rb"\r?\n\r?\n")
_NUMBER = re.compile(rb"(?:^|\n)id: ?(\d+)")


@attrs.frozen
class StreamEvent:
    """One event.

    Attributes:
        data: Its bytes, with the blank line that ends it.
        number: Its number; ``None`` for one without.
    """

    data: bytes
    number: int | None


class EventSplitter:
    """Cuts the bytes of one run into events."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Bytes after the last whole event."""
        return self._rest

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Take in bytes and return the events that they complete."""
        data = self._rest + data
        events = []
        start = 0
        for match in _END.finditer(data):
            text = data[start : match.end()]
            number = _NUMBER.search(text)
            events.append(StreamEvent(text, int(number[1]) if number else None))
            start = match.end()
        self._rest = data[start:]
        return events


class StreamProgress:
    """Which events a caller has, over all runs of its request.

    Args:
        last: Number of the last event that the caller came with, if it resumes.
    """

    def __init__(self, last: int | None) -> None:
        self.last = last
        self.passed = 0

    def select(self, events: list[StreamEvent]) -> bytes:
        """Return the bytes of those events that the caller doesn't have yet."""
        data = []
        for event in events:
            if event.number is not None:
                if self.last is not None and event.number <= self.last:
                    continue
                self.last = event.number
            self.passed += 1
            data.append(event.data)
        return b"".join(data)
