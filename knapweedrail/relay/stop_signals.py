"""Recording of when the process was asked to stop.

Imports no module that loads slowly, as it is used before callers can connect.
"""

from __future__ import annotations

import signal
import time
from collections.abc import Iterable


class StopSignalRecorder:
    """Records when the process received its first stop signal.

    The event loop handles a signal in its next iteration, some tenths of a second late
    under load, while the time until the process is killed counts from the signal. The
    interpreter runs a Python signal handler between two bytecode instructions.
    """

    def __init__(self) -> None:
        self._first_at: float | None = None

    def watch(self, numbers: Iterable[int]) -> None:
        """Install handlers for these signals. The event loop's own handlers are still
        called."""
        for number in numbers:
            signal.signal(number, self._record)
            signal.siginterrupt(number, False)

    @property
    def stop_requested(self) -> bool:
        """Whether a signal was received."""
        return self._first_at is not None

    def read_stop_time(self) -> float:
        """Return when the first signal was received, or the current time if none was;
        monotonic clock, seconds."""
        return time.monotonic() if self._first_at is None else self._first_at

    def _record(self, number: int, frame: object) -> None:
        if self._first_at is None:
            self._first_at = time.monotonic()
