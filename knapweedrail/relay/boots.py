"""The clock that runs since this host's boot, and how its boot is told from others."""

from __future__ import annotations

import pathlib
import time

from .openings import Boot, Moment

_BOOT_ID_PATH = pathlib.Path("/proc/sys/kernel/random/boot_id")
_BOOT_ID_DIGITS = 12
"""Hexadecimal digits that are kept of a boot's name: enough to tell the boots of one
host apart, in a ledger that holds one for each holder."""

_NANOSECONDS_PER_MILLISECOND = 1_000_000


class BootClock:
    """Reads the host's clock since its boot.

    It goes on while processes come and go, and while the host is suspended; no change
    of the time of day moves it.

    Attributes:
        started: When this process was there for certain; whatever ran before under the
            same role had ended by then.
    """

    def __init__(self) -> None:
        self._identity = _read_boot_id()
        self.started = self.read()

    def read(self) -> Moment:
        """Return the present moment."""
        uptime = self.read_milliseconds()
        started_at = time.time_ns() // _NANOSECONDS_PER_MILLISECOND - uptime
        return Moment(Boot(self._identity, started_at), uptime)

    def read_milliseconds(self) -> int:
        """Return the time since the boot, milliseconds."""
        return (
            time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NANOSECONDS_PER_MILLISECOND
        )


def _read_boot_id() -> str:
    """Return what the system names this boot by; empty where it has no name for it."""
    try:
        return _BOOT_ID_PATH.read_text().strip().replace("-", "")[:_BOOT_ID_DIGITS]
    except OSError:
        return ""
