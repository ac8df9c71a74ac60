"""When whoever runs the process asked it to stop.

Imports nothing that takes long to read: it is used before callers can connect.
"""

from __future__ import annotations

import signal
import time
from collections.abc import Iterable


class SignalClock:
    """Notes when the process was first told to stop.

    What goes wrong without it: the event loop hands a signal on when it comes to it.
    With much to do that is some tenths of a second late, and the time until the process
    is killed runs from the signal. The interpreter calls a handler of its own between
    two steps of whatever it runs.
    """

    def __init__(self) -> None:
        self._first_at: float | None = None

    def watch(self, numbers: Iterable[int]) -> None:
        """Note these signals; the event loop, which has handlers for them, goes on
        being woken."""
        for number in numbers:
            signal.signal(number, self._note)
            signal.siginterrupt(number, False)

    @property
    def asked(self) -> bool:
        """Whether a signal has come."""
        return self._first_at is not None

    def read(self) -> float:
        """Return when the first signal came; now, if none has."""
        return time.monotonic() if self._first_at is None else self._first_at

    def _note(self, number: int, frame: object) -> None:
        if self._first_at is None:
            self._first_at = time.monotonic()
