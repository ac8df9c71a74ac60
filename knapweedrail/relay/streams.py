"""Parsing of server-sent event streams and tracking of the events passed on.

A runner may fail in the middle of an event, and another one then resumes after the
last event that the caller has received. So only complete events are passed on, and
each once.
The module does no I/O and reads no clock.
"""

from __future__ import annotations

import re

import attrs

MAX_EVENT_BYTES = 1_048_576
"""Maximum size of one event. The searches of one unbounded event once delayed all
callers of a relay."""

MAX_ID_DIGITS = 18
"""Maximum length of an event's ID. Python refuses to convert numbers of more than 4300
digits."""

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_MAX_PARTIAL_END = 3
"""Longest part of an event's end that may precede a piece's first byte."""

_EVENT_FIELD = re.compile(rb"(?:^|\n)[^:\r\n]")
_IGNORED_LINES = re.compile(rb"(?:(?::[^\r\n]*)?\r?\n)*")
"""Blank lines and comments, which belong to no event."""

_EVENT_ID = re.compile(rb"(?:^|\n)id: ?(\d+)")


@attrs.frozen
class StreamEvent:
    """One server-sent event.

    Attributes:
        data: Its bytes, including the blank line that ends it.
        event_id: Value of its ``id`` field; ``None`` if it has none.
    """

    data: bytes
    event_id: int | None


class InvalidStream(Exception):
    """The bytes of a run aren't a valid event stream."""


class EventSplitter:
    """Splits the bytes of one run into events.

    Attributes:
        has_events: Whether any event with a field was complete.
    """

    def __init__(self) -> None:
        self.has_events = False
        self._remainder = bytearray()
        self._search_from = 0

    @property
    def remainder(self) -> bytes:
        """Bytes after the last complete event."""
        return bytes(self._remainder)

    @property
    def remainder_bytes(self) -> int:
        """Number of bytes after the last complete event."""
        return len(self._remainder)

    @property
    def is_between_events(self) -> bool:
        """Whether the bytes so far end outside of any event and any line."""
        return _IGNORED_LINES.fullmatch(self._remainder) is not None

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Append bytes and return the events that they complete.

        Raises:
            InvalidStream: If an event is longer than `MAX_EVENT_BYTES` or its ID longer
                than `MAX_ID_DIGITS`. Other events that these bytes complete are lost.
        """
        self._remainder += data
        events = []
        start = 0
        for match in _EVENT_END.finditer(self._remainder, self._search_from):
            events.append(self._make_event(start, match.end()))
            start = match.end()
        del self._remainder[:start]
        _check_size(len(self._remainder))
        self._search_from = max(0, len(self._remainder) - _MAX_PARTIAL_END)
        return events

    def _make_event(self, start: int, end: int) -> StreamEvent:
        _check_size(end - start)
        text = bytes(self._remainder[start:end])
        self.has_events = self.has_events or bool(_EVENT_FIELD.search(text))
        event_id = _EVENT_ID.search(text)
        if event_id is None:
            return StreamEvent(text, None)
        if len(event_id[1]) > MAX_ID_DIGITS:
            raise InvalidStream(f"an event ID of {len(event_id[1])} digits")
        return StreamEvent(text, int(event_id[1]))


def _check_size(size: int) -> None:
    if size > MAX_EVENT_BYTES:
        raise InvalidStream(f"an event of more than {MAX_EVENT_BYTES} bytes")


@attrs.frozen
class NewEvents:
    """Events that a caller lacks.

    Attributes:
        data: Their bytes; empty at the end of a stream.
        last_event_id: ID of the last event that the caller has once it gets them.
        count: Number of events.
    """

    data: bytes = b""
    last_event_id: int | None = None
    count: int = 0


END_OF_STREAM = NewEvents()


class StreamProgress:
    """Tracks which events a caller has received over all runs of its request.

    Args:
        last_event_id: ``Last-Event-ID`` of the request, if the caller resumes a stream.

    Attributes:
        last_event_id: ID of the last event passed on, initially that of the request.
        event_count: Events passed on by this relay.
    """

    def __init__(self, last_event_id: int | None) -> None:
        self.last_event_id = last_event_id
        self.event_count = 0

    def select_new(self, events: list[StreamEvent]) -> NewEvents:
        """Return the events that the caller lacks."""
        data = []
        last_event_id = self.last_event_id
        for event in events:
            if event.event_id is not None:
                if last_event_id is not None and event.event_id <= last_event_id:
                    continue
                last_event_id = event.event_id
            data.append(event.data)
        return NewEvents(b"".join(data), last_event_id, len(data))

    def record_passed_on(self, events: NewEvents) -> None:
        """Record that the caller gets events."""
        self.last_event_id = events.last_event_id
        self.event_count += events.count
