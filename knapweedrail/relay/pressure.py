"""Decision: whether this host has more to do than its processor or its link bears.

Pure: clock and randomness are passed in.
"""

from __future__ import annotations

import math
import random

TICK_SECONDS = 0.1
"""Pause between two measurements of the event loop's delay."""

MAX_SAMPLE_SECONDS = 0.5
"""Bound on one measurement; all that matters is that it is far too long."""

STALL_SECONDS = 2.0
"""A longer delay is taken for a process that stood still, which says nothing of its
load."""

FAST_MEAN_SECONDS = 0.15
SLOW_MEAN_SECONDS = 1.0
"""Time over which the two running means go: one or two measurements of a loop that is
in time, and about as long as the balancer takes to ask again."""

LOOP_LATE_SECONDS = 0.05
"""Mean delay from which on a timeout may be this process's own fault: a connection
that was made in a millisecond is seen so much later, and a quarter of a second is all
that one gets."""

SHED_START_DELAY_SECONDS = 0.12
SHED_FULL_DELAY_SECONDS = 0.4
"""Mean delays between which a growing part of the new requests is refused: from the
objective of the shortest calls on, up to half of a second to the first byte, at which
nothing would be in time."""

MAX_SHED_SHARE = 0.9
"""Part that is refused at the most; the rest shows when there is room again."""

OUT_OF_ROTATION_DELAY_SECONDS = 0.08
"""Mean delay of the last second from which on the balancer is told to send callers
elsewhere. It does so after two questions, a second apart."""

BALANCER_REACTION_SECONDS = 2.2
"""Time until the balancer sends callers elsewhere: it asks once a second and takes a
host out after two misses."""

MIN_OUT_OF_ROTATION_SECONDS = 3.0
"""Shortest time out of rotation: until the balancer has noticed, and what came before
has ended. Longer would leave the other hosts with more than they bear."""


LINK_EWMA_WEIGHT = 0.15
"""Weight of the newest connection in the mean time that one takes: the last ten or so
count, so that a runner that has gone dark alone doesn't look like a full link."""

LINK_DECAY_SECONDS = 1.0
"""Time in which what was seen of the link fades; nothing may be tried meanwhile."""

LINK_LATE_SECONDS = 0.09
LINK_SATURATED_SECONDS = 0.25
"""Mean times to a connection between which a growing part of the new requests is
refused. A connection within a region takes some milliseconds; at a quarter of a second
it is given up, and by then every request waits that long for each packet. Two runners
that go dark at once stay below it."""


class Pressure:
    """How late the event loop and the link are, and what follows from it.

    The load it is for: the balancer spreads callers by a hash, so one small host may
    get ten times the requests of the next. Connections to sound runners then look timed
    out, all of them are given up one after another, and every caller there is refused
    while other hosts are idle. A host that says early that it has enough keeps what it
    has in time, and the others' callers don't notice the rest.

    The link shows it by the time that connections to runners take: their first packets
    wait behind all else that goes out. Such a host would give up one sound runner after
    the other, with its processor nearly idle.
    """

    def __init__(self) -> None:
        self._fast_delay = 0.0
        self._slow_delay = 0.0
        self._out_of_rotation_until = float("-inf")
        self._connect_seconds = 0.0
        self._connect_measured_at = 0.0
        self._slow_connects: dict[str, float] = {}
        self._partitioned_at = float("-inf")

    @property
    def delay(self) -> float:
        """Mean delay of the event loop just now, seconds."""
        return self._fast_delay

    def note_delay(self, seconds: float, now: float) -> None:
        """Take in one measurement."""
        if seconds >= STALL_SECONDS:
            return
        sample = min(MAX_SAMPLE_SECONDS, max(0.0, seconds))
        elapsed = TICK_SECONDS + sample
        self._fast_delay += _compute_weight(elapsed, FAST_MEAN_SECONDS) * (
            sample - self._fast_delay
        )
        self._slow_delay += _compute_weight(elapsed, SLOW_MEAN_SECONDS) * (
            sample - self._slow_delay
        )
        if self._slow_delay >= OUT_OF_ROTATION_DELAY_SECONDS:
            self._out_of_rotation_until = now + MIN_OUT_OF_ROTATION_SECONDS

    def note_connection(self, runner: str, seconds: float, now: float) -> None:
        """Take in how long a connection to a runner took, or was waited for in vain.

        A full link shows at all runners; many requests that wait for one which has gone
        dark count as one.
        """
        late = seconds >= LINK_LATE_SECONDS
        if (
            late
            and now - self._slow_connects.get(runner, float("-inf"))
            < LINK_DECAY_SECONDS
        ):
            return
        if late:
            self._slow_connects = {
                name: at
                for name, at in self._slow_connects.items()
                if now - at < LINK_DECAY_SECONDS
            }
            self._slow_connects[runner] = now
        self._connect_seconds = self.measure_link(now)
        self._connect_seconds += LINK_EWMA_WEIGHT * (seconds - self._connect_seconds)
        self._connect_measured_at = now
        if self._connect_seconds >= LINK_LATE_SECONDS:
            # What callers send fills the link the other way before it is refused; only
            # fewer callers help, and the balancer has to send them elsewhere.
            self._out_of_rotation_until = now + MIN_OUT_OF_ROTATION_SECONDS

    def note_cut_off(self, now: float) -> bool:
        """Take in that callers can't be served in this data centre, which is cut off.

        The load it is for: a data centre is cut off from the others, callers reach it
        all the same, and what they ask for runs elsewhere, or on too few runners here.
        With all of its hosts out of rotation the balancer sends them to the next one.

        Returns:
            Whether that is new.
        """
        new = now >= self._out_of_rotation_until
        if new:
            self._partitioned_at = now
        self._out_of_rotation_until = max(
            self._out_of_rotation_until, now + MIN_OUT_OF_ROTATION_SECONDS
        )
        return new

    def measure_move(self, now: float) -> float:
        """Return how long callers still come here after a cut was noted, seconds."""
        return max(0.0, self._partitioned_at + BALANCER_REACTION_SECONDS - now)

    def measure_link(self, now: float) -> float:
        """Return the mean time that a connection takes just now, seconds."""
        return self._connect_seconds * math.exp(
            (self._connect_measured_at - now) / LINK_DECAY_SECONDS
        )

    def is_late(self, now: float) -> bool:
        """Return whether a timeout seen now says nothing of the other end."""
        late = self._fast_delay >= LOOP_LATE_SECONDS
        return late or self.measure_link(now) >= LINK_LATE_SECONDS

    def is_out(self, now: float) -> bool:
        """Return whether new callers should be sent to other hosts."""
        return now < self._out_of_rotation_until

    def refuses(self, rng: random.Random, now: float) -> bool:
        """Return whether a request that comes now should go to another host."""
        loop = _compute_shed_share(
            self._fast_delay, SHED_START_DELAY_SECONDS, SHED_FULL_DELAY_SECONDS
        )
        link = _compute_shed_share(
            self.measure_link(now), LINK_LATE_SECONDS, LINK_SATURATED_SECONDS
        )
        share = max(loop, link)
        return share > 0 and rng.random() < share


def _compute_weight(elapsed: float, over: float) -> float:
    """Return the weight of a measurement that tells of so much time."""
    return 1.0 - math.exp(-elapsed / over)


def _compute_shed_share(delay: float, start: float, full: float) -> float:
    """Return the part that is refused: none at the least delay, rising to the most."""
    return max(0.0, min(MAX_SHED_SHARE, (delay - start) / (full - start)))
