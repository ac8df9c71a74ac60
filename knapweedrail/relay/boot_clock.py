"""Clock that counts from the host's boot, and identification of that boot."""

from __future__ import annotations

import pathlib
import time

from .vesting import Boot, BootTime

_BOOT_ID_PATH = pathlib.Path("/proc/sys/kernel/random/boot_id")
_BOOT_ID_DIGITS = 12
"""Hexadecimal digits kept of a boot's identity. They suffice to distinguish the boots
of one host, and keep the ledger small, which has one for each holder."""

_NANOSECONDS_PER_MILLISECOND = 1_000_000


class BootClock:
    """Reads the time since the host's boot.

    The clock keeps running while processes start and stop and while the host is
    suspended, and isn't affected by changes of the time of day.

    Attributes:
        started: Reading at the start of this process. Earlier processes of the same
            role had ended by then.
    """

    def __init__(self) -> None:
        self._identity = _read_boot_id()
        self.started = self.read()

    def read(self) -> BootTime:
        """Return the current reading."""
        uptime = self.read_milliseconds()
        started_at = time.time_ns() // _NANOSECONDS_PER_MILLISECOND - uptime
        return BootTime(Boot(self._identity, started_at), uptime)

    def read_milliseconds(self) -> int:
        """Return the time since the boot, milliseconds."""
        return (
            time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NANOSECONDS_PER_MILLISECOND
        )


def _read_boot_id() -> str:
    """Return the operating system's identity of this boot; empty if it has none."""
    try:
        return _BOOT_ID_PATH.read_text().strip().replace("-", "")[:_BOOT_ID_DIGITS]
    except OSError:
        return ""
