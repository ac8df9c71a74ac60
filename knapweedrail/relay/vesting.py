"""Vesting schedules of grants, which bound what an ended holder can have used.

Performs no I/O. A holder keeps tokens for many seconds of demand, since it may lose
access to the ledger, and doesn't need them all at once. So each grant states how many
of its tokens may be used when it is written, and how many more vest with each
millisecond. If the holder crashes, tokens that hadn't vested by then weren't used, and
return to the account.

The holder and its successor on the same host read the same clock, which counts from the
host's boot. The successor has to verify that it is the same boot: a power loss resets
the clock, and then it isn't known how long the holder was running. It verifies this by
the boot's identity and by its start according to the time of day.
"""

from __future__ import annotations

from typing import Any

import attrs

BOOT_TOLERANCE_MILLISECONDS = 500
"""Largest difference between two estimates of one boot's start. The estimates come from
the time of day, which is corrected in small steps."""

MAX_CLOCK_STEP_MILLISECONDS = 10_000
"""Largest step by which the time of day is expected to be set. A boot's start that
moved by more is that of another boot, and then the whole grant counts as used."""

MIN_UPTIME_MILLISECONDS = 2 * MAX_CLOCK_STEP_MILLISECONDS
"""Uptime from which on a step of the time of day is told from another boot, which
starts later by that uptime at least."""

_MILLISECONDS_PER_SECOND = 1000

_FIELD_COUNTS = (5, 6, 7)
"""Fields of a stored schedule: without a delay, with one, and with the tokens vested
ahead of use."""


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
        """Return the most milliseconds that may have passed since an earlier reading;
        ``None`` if it may be of another boot.

        If the boot's start seems to have moved to a later time, then the time of day
        was set or the clock stood still, and that time may have passed as well.
        """
        if self.uptime < earlier.uptime:
            return None
        elapsed = self.uptime - earlier.uptime
        if self.boot.is_same(earlier.boot):
            return elapsed
        if not self._has_stepped_since(earlier):
            return None
        return elapsed + max(0, self.boot.started_at - earlier.boot.started_at)

    def _has_stepped_since(self, earlier: BootTime) -> bool:
        """Return whether only the time of day was set since an earlier reading."""
        boot = earlier.boot
        if not boot.identity or boot.identity != self.boot.identity:
            return False
        moved = abs(self.boot.started_at - boot.started_at)
        return (
            moved <= MAX_CLOCK_STEP_MILLISECONDS
            and earlier.uptime >= MIN_UPTIME_MILLISECONDS
        )


@attrs.frozen
class VestingSchedule:
    """Bounds how much of a grant its holder may have used.

    Use is counted net: tokens spent, reserved or lent, less those borrowed.

    Attributes:
        tokens: Tokens vested when it was written.
        rate: Tokens that vest per second after that, once `delay` is over.
        since: When it was written.
        delay: Milliseconds after the write in which nothing vests. What would have
            vested in them vests at their end.
        ahead: Part of `tokens` that wasn't in use when it was written.
    """

    tokens: int
    rate: int
    since: BootTime
    delay: int = 0
    ahead: int = 0

    @property
    def in_use(self) -> int:
        """Tokens that were in use when it was written."""
        return self.tokens - self.ahead

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
        if elapsed < max(0, self.delay):
            return self.tokens
        return self.tokens + self.rate * max(0, elapsed) // _MILLISECONDS_PER_SECOND


def encode_schedule(vesting: VestingSchedule) -> list[Any]:
    """Return a vesting schedule in its stored form."""
    since = vesting.since
    boot = since.boot
    fields = [
        vesting.tokens,
        vesting.rate,
        since.uptime,
        boot.identity,
        boot.started_at,
    ]
    if vesting.ahead:
        return [*fields, vesting.delay, vesting.ahead]
    return [*fields, vesting.delay] if vesting.delay else fields


def decode_schedule(value: Any) -> VestingSchedule | None:
    """Return a stored vesting schedule; ``None`` if it is invalid.

    A grant without a schedule counts as fully vested. That costs its tokens if the
    holder crashes, but never lets them be used twice.
    """
    if not isinstance(value, list) or len(value) not in _FIELD_COUNTS:
        return None
    tokens, rate, uptime, identity, started_at, *rest = value
    delay, ahead = [*rest, 0, 0][:2]
    integers = [tokens, rate, uptime, started_at, delay, ahead]
    if not all(type(number) is int for number in integers):
        return None
    if min(rate, uptime, delay, ahead) < 0 or not isinstance(identity, str):
        return None
    since = BootTime(Boot(identity, started_at), uptime)
    return VestingSchedule(tokens, rate, since, delay, ahead)
