"""Log lines never block the process and are bounded in rate and length."""

import os
import time

import orjson

from ..events import Event
from ..relay.logs import (
    LINES_PER_SECOND,
    MAX_LINE_BYTES,
    MAX_QUEUED_LINES,
    PRIORITY_LINES_PER_SECOND,
    LogWriter,
)


def format_type(event):
    return f"{event.number} {event.name.lower()}"


def open_pipe():
    reading, writing = os.pipe()
    return reading, os.fdopen(writing, "wb")


def read_lines(reading):
    os.set_blocking(reading, False)
    data = b""
    while True:
        try:
            part = os.read(reading, 1 << 20)
        except BlockingIOError:
            break
        if not part:
            break
        data += part
    return [orjson.loads(line) for line in data.splitlines()]


def test_stalled_log_reader_does_not_block():
    """The log collector hangs and the pipe fills. If writing blocked, every caller
    would wait for the log line of its request."""
    _, stream = open_pipe()
    logs = LogWriter(stream)
    logs.start()
    began_at = time.monotonic()
    for number in range(20 * MAX_QUEUED_LINES):
        logs({"message_type": f"{number} x", "text": "y" * 100})
    logs.close()
    assert time.monotonic() - began_at < 5.0
    assert logs.dropped > 0


def test_excess_lines_are_counted_and_refusals_have_priority():
    """Many failures at once produce more lines than are allowed per second."""
    reading, stream = open_pipe()
    logs = LogWriter(stream)
    logs.start()
    for _ in range(LINES_PER_SECOND + 50):
        logs({"message_type": format_type(Event.RUNNER_LISTED)})
    for _ in range(PRIORITY_LINES_PER_SECOND // 2 - 20):
        logs({"message_type": format_type(Event.REQUEST_REFUSED)})
    logs.close()
    lines = read_lines(reading)
    kinds = [line["message_type"] for line in lines]
    reports = [
        line
        for line in lines
        if line["message_type"] == format_type(Event.LINES_LEFT_OUT)
    ]
    dropped = sum(sum(line["counts"].values()) for line in reports)
    # The test may span two seconds of the clock, so up to twice the bound passes.
    assert (
        kinds.count(format_type(Event.RUNNER_LISTED)) + dropped == LINES_PER_SECOND + 50
    )
    assert (
        kinds.count(format_type(Event.REQUEST_REFUSED))
        == PRIORITY_LINES_PER_SECOND // 2 - 20
    )


def test_long_line_is_truncated():
    reading, stream = open_pipe()
    logs = LogWriter(stream)
    logs.start()
    logs({"message_type": "1 x", "text": "y" * 100_000})
    logs.close()
    os.set_blocking(reading, False)
    assert len(os.read(reading, 1 << 20)) <= MAX_LINE_BYTES
