"""Event streams: whole events out of bytes, without gaps or repetitions.

Pure. A runner may stop in the middle of an event, and another one then goes on after
the last event that the caller has; so only whole events are passed on, and each once.
"""

from __future__ import annotations

import re

import attrs

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_ID = re.compile(rb"(?:^|\n)id: ?(\d+)")


@attrs.frozen
class StreamEvent:
    """One event.

    Attributes:
        data: Its bytes, with the blank line that ends it.
        number: Its number; ``None`` for one without.
    """

    data: bytes
    event_id: int | None


class EventSplitter:
    """Cuts the bytes of one run into events."""

    def __init__(self) -> None:
        self._remainder = b""

    @property
    def remainder(self) -> bytes:
        """Bytes after the last whole event."""
        return self._remainder

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Take in bytes and return the events that they complete."""
        data = self._remainder + data
        events = []
        start = 0
        for match in _EVENT_END.finditer(data):
            text = data[start : match.end()]
            event_id = _EVENT_ID.search(text)
            events.append(StreamEvent(text, int(event_id[1]) if event_id else None))
            start = match.end()
        self._remainder = data[start:]
        return events


class StreamProgress:
    """Which events a caller has, over all runs of its request.

    Args:
        last: Number of the last event that the caller came with, if it resumes.
    """

    def __init__(self, last_event_id: int | None) -> None:
        self.last_event_id = last_event_id
        self.event_count = 0

    def select_new(self, events: list[StreamEvent]) -> bytes:
        """Return the bytes of those events that the caller doesn't have yet."""
        data = []
        for event in events:
            if event.event_id is not None:
                if (
                    self.last_event_id is not None
                    and event.event_id <= self.last_event_id
                ):
                    continue
                self.last_event_id = event.event_id
            self.event_count += 1
            data.append(event.data)
        return b"".join(data)
