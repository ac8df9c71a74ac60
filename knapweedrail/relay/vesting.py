"""Vesting schedules of grants, which bound what an ended holder can have used.

Performs no I/O. A holder keeps tokens for many seconds of demand, since it may lose
access to the ledger, and doesn't need them all at once. So each grant states how many
of its tokens may be used when it is written, and how many more vest with each
millisecond. If the holder crashes, tokens that hadn't vested by then weren't used, and
return to the account.

The holder and its successor on the same host read the same clock, which counts from the
host's boot. The successor has to verify that it is the same boot: a power loss resets
the clock, and then it isn't known how long the holder was running.
"""

from __future__ import annotations

from typing import Any

import attrs

BOOT_TOLERANCE_MILLISECONDS = 500
"""Largest difference between two estimates of one boot's start. The estimates come from
the time of day, which is corrected in small steps. A larger step looks like another
boot, and then the whole grant counts as used."""

_MILLISECONDS_PER_SECOND = 1000

_FIELD_COUNT = 5


@attrs.frozen
class Boot:
    """One boot of a host.

    The identity alone isn't enough: a virtual machine that is restored from a snapshot
    keeps it while its clock goes back, and so does a guest that shows the identity of
    the system it runs on. Used tokens would then be returned to the account. The clock
    and the time of day together reveal this.

    Attributes:
        identity: The boot's identity as given by the operating system; empty if there
            is none.
        started_at: Estimated start of the boot by the time of day, Unix milliseconds.
    """

    identity: str
    started_at: int

    def is_same(self, other: Boot) -> bool:
        """Return whether both are known to be the same boot."""
        if not self.identity or self.identity != other.identity:
            return False
        return abs(self.started_at - other.started_at) <= BOOT_TOLERANCE_MILLISECONDS


@attrs.frozen
class BootTime:
    """A reading of a host's clock, which counts from its boot.

    Attributes:
        uptime: Milliseconds since the boot.
    """

    boot: Boot
    uptime: int

    def measure_since(self, earlier: BootTime) -> int | None:
        """Return the milliseconds since an earlier reading; ``None`` if it may be of
        another boot."""
        if not self.boot.is_same(earlier.boot) or self.uptime < earlier.uptime:
            return None
        return self.uptime - earlier.uptime


@attrs.frozen
class VestingSchedule:
    """Bounds how much of a grant its holder may have used.

    Use is counted net: tokens spent, reserved or lent, less those borrowed.

    Attributes:
        tokens: Tokens vested when it was written.
        rate: Tokens that vest per second after that.
        since: When it was written.
    """

    tokens: int
    rate: int
    since: BootTime

    def count_vested_at(self, uptime: int) -> int:
        """Return the tokens that have vested by a time.

        Args:
            uptime: Milliseconds since the same boot.
        """
        return self.count_vested_after(uptime - self.since.uptime)

    def count_vested_after(self, elapsed: int) -> int:
        """Return the tokens that have vested some time after it was written.

        Args:
            elapsed: Milliseconds since it was written.
        """
        return self.tokens + self.rate * max(0, elapsed) // _MILLISECONDS_PER_SECOND


def encode_schedule(vesting: VestingSchedule) -> list[Any]:
    """Return a vesting schedule in its stored form."""
    since = vesting.since
    boot = since.boot
    return [vesting.tokens, vesting.rate, since.uptime, boot.identity, boot.started_at]


def decode_schedule(value: Any) -> VestingSchedule | None:
    """Return a stored vesting schedule; ``None`` if it is invalid.

    A grant without a schedule counts as fully vested. That costs its tokens if the
    holder crashes, but never lets them be used twice.
    """
    if not isinstance(value, list) or len(value) != _FIELD_COUNT:
        return None
    *numbers, identity, started_at = value
    integers = [*numbers, started_at]
    if not all(type(number) is int for number in integers):
        return None
    tokens, rate, uptime = numbers
    if rate < 0 or uptime < 0 or not isinstance(identity, str):
        return None
    return VestingSchedule(tokens, rate, BootTime(Boot(identity, started_at), uptime))
