"""Non-blocking log writer that bounds the rate and the length of lines."""

from __future__ import annotations

import collections
import queue
import threading
import time
from typing import BinaryIO

import orjson

from ..events import Event

LINES_PER_SECOND = 200
"""Largest number of lines per second: about ten for each request that one relay handles
in a busy second. A line takes 0.02 ms (mean of 20,000 lines of an answered request), so
that together with the priority lines logging uses 0.6 % of a core."""

PRIORITY_LINES_PER_SECOND = 100
"""Additional lines per second for `PRIORITY_EVENTS`."""

PRIORITY_EVENTS = frozenset(
    {
        Event.ROUTER_STARTED,
        Event.ROUTER_STOPPING,
        Event.ROUTER_STOPPED,
        Event.TASK_FAILED,
        Event.PLATFORM_AWAY,
        Event.PLATFORM_BACK,
        Event.REQUEST_REFUSED,
        Event.REQUEST_CUT_OFF,
        Event.STREAM_BROKEN,
        Event.GRANT_SETTLED,
    }
)
"""Events needed most to explain a failure; written while others are dropped."""

MAX_LINE_BYTES = 2000
"""Longest line; a longer one is truncated and marked as such."""

MAX_QUEUED_LINES = 2000
"""Lines queued for a slow reader: at most 4 MB."""

CLOSE_SECONDS = 0.3
"""Time for which an exiting process waits for a slow reader."""

_OMITTED_FIELDS = ("task_uuid", "task_level")
_PRIORITY_TYPES = frozenset(
    f"{event.number} {event.name.lower()}" for event in PRIORITY_EVENTS
)


class LogWriter:
    """Destination of `eliot` messages that never blocks the process.

    If the process wrote to the pipe itself and the reader stopped reading, the pipe
    would fill, the next line would block the process, and all its callers would wait.
    So a separate thread writes, and lines beyond the bounds are dropped and counted.

    Args:
        stream: Where lines are written.

    Attributes:
        dropped: Number of lines dropped so far.
    """

    def __init__(self, stream: BinaryIO) -> None:
        self._stream = stream
        self._queue: queue.Queue[bytes | None] = queue.Queue(MAX_QUEUED_LINES)
        self._thread = threading.Thread(target=self._write, daemon=True)
        self._second = 0
        self._lines = 0
        self._dropped_by_type: collections.Counter[str] = collections.Counter()
        self.dropped = 0

    def start(self) -> None:
        """Start the writer thread."""
        self._thread.start()

    def close(self) -> None:
        """Write the queued lines that the reader accepts within `CLOSE_SECONDS`."""
        self._report_dropped()
        try:
            self._queue.put_nowait(None)
        except queue.Full:
            return
        self._thread.join(CLOSE_SECONDS)

    def __call__(self, message: dict) -> None:
        """Queue one message, or drop it; never blocks."""
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._lines = second, 0
            self._report_dropped()
        kind = message.get("message_type", "")
        self._lines += 1
        limit = LINES_PER_SECOND
        if kind in _PRIORITY_TYPES:
            limit += PRIORITY_LINES_PER_SECOND
        if self._lines > limit:
            self._drop(kind)
        else:
            self._enqueue(kind, message)

    def _report_dropped(self) -> None:
        """Log how many lines were dropped, by message type."""
        if not self._dropped_by_type:
            return
        counts = dict(self._dropped_by_type)
        self._dropped_by_type.clear()
        event = Event.LINES_LEFT_OUT
        kind = f"{event.number} {event.name.lower()}"
        line = {"message_type": kind, "timestamp": time.time(), "counts": counts}
        self._enqueue(kind, line)

    def _enqueue(self, kind: str, message: dict) -> None:
        shown = {k: v for k, v in message.items() if k not in _OMITTED_FIELDS}
        line = orjson.dumps(shown, default=repr)
        if len(line) > MAX_LINE_BYTES:
            head = line[: MAX_LINE_BYTES // 2].decode("utf-8", "replace")
            line = orjson.dumps({"message_type": kind, "cut": head})
        try:
            self._queue.put_nowait(line + b"\n")
        except queue.Full:
            self._drop(kind)

    def _drop(self, kind: str) -> None:
        self._dropped_by_type[kind] += 1
        self.dropped += 1

    def _write(self) -> None:
        try:
            while (line := self._queue.get()) is not None:
                self._stream.write(line)
                if self._queue.empty():
                    self._stream.flush()
            self._stream.flush()
        except OSError:
            # The reader has closed the pipe, so the error can't be logged either.
            return
