"""How fast a grant opens to its holder, and what an ended holder can have used of it.

Pure. A holder keeps tokens for many seconds ahead, as it may be cut off from the
ledger, and nobody needs them all at once. So each grant tells how much of it may be
used when it is written, and how much more with each millisecond since. When the holder
dies, what had not opened by then wasn't used, and goes back to the account.

The holder and its successor on the same host read the same clock, which runs since the
host's boot. The successor has to know that it is the same boot: after a loss of power
the clock starts anew, and then nothing is known of how long the holder lived.
"""

from __future__ import annotations

from typing import Any

import attrs

BOOT_TOLERANCE_MILLISECONDS = 500
"""How far apart two readings may put the beginning of one boot. It is read by the time
of day, which is corrected in small steps; a larger one makes it another boot, and then
all counts as used."""

_MILLISECONDS_PER_SECOND = 1000
"""Milliseconds."""

_FIELD_COUNT = 5


@attrs.frozen
class Boot:
    """One boot of a host.

    What goes wrong with the identity alone: a virtual machine that is set back to a
    snapshot keeps it, while its clock goes back, and so does a machine whose identity
    is that of what it runs on. Tokens that were used would come back. The clock and
    the time of day together show it.

    Attributes:
        identity: The system's own name for it; empty if it has none.
        began: When it seems to have begun by the time of day, Unix milliseconds.
    """

    identity: str
    started_at: int

    def is_same(self, other: Boot) -> bool:
        """Return whether both are one boot for certain."""
        if not self.identity or self.identity != other.identity:
            return False
        return abs(self.started_at - other.started_at) <= BOOT_TOLERANCE_MILLISECONDS


@attrs.frozen
class Moment:
    """A reading of a host's clock.

    Attributes:
        at: Milliseconds since the boot.
    """

    boot: Boot
    uptime: int

    def measure_since(self, earlier: Moment) -> int | None:
        """Return the milliseconds since an earlier moment of the same boot; ``None``
        if that isn't certain."""
        if not self.boot.is_same(earlier.boot) or self.uptime < earlier.uptime:
            return None
        return self.uptime - earlier.uptime


@attrs.frozen
class VestingSchedule:
    """How much of a grant its holder may have used.

    What counts is the net use: tokens spent, set aside or lent, less those borrowed.

    Attributes:
        tokens: At the moment it was written.
        rate: More with each second after.
        since: That moment.
    """

    tokens: int
    rate: int
    since: Moment

    def count_vested_at(self, uptime: int) -> int:
        """Return the tokens that are open to the holder.

        Args:
            at: Milliseconds since the same boot.
        """
        return self.count_vested_after(uptime - self.since.uptime)

    def count_vested_after(self, elapsed: int) -> int:
        """Return the tokens that are open so many milliseconds after it was written."""
        return self.tokens + self.rate * max(0, elapsed) // _MILLISECONDS_PER_SECOND


def encode_schedule(vesting: VestingSchedule) -> list[Any]:
    """Return an opening as it is stored."""
    since = vesting.since
    boot = since.boot
    return [vesting.tokens, vesting.rate, since.uptime, boot.identity, boot.started_at]


def decode_schedule(value: Any) -> VestingSchedule | None:
    """Return a stored opening; ``None`` for a spoilt one.

    Without it the grant is taken for open as a whole: that costs its tokens when the
    holder dies, and never lets them be used twice.
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
    return VestingSchedule(tokens, rate, Moment(Boot(identity, started_at), uptime))
