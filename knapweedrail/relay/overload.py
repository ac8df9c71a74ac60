"""Decision: whether this host's processor or its network link is overloaded.

Pure: clock and randomness are passed in.
"""

from __future__ import annotations

import math
import random

SAMPLE_INTERVAL_SECONDS = 0.1
"""Interval between measurements of the event loop's delay."""

MAX_SAMPLE_SECONDS = 0.5
"""Upper bound of one sample; larger delays need not be distinguished."""

STALL_SECONDS = 2.0
"""Delay from which a sample is ignored: the whole process was probably stopped, which
says nothing about its load."""

FAST_MEAN_SECONDS = 0.15
SLOW_MEAN_SECONDS = 1.0
"""Time constants of the two moving averages: the fast one covers one or two samples of
a loop that is on time, the slow one about the interval of the load balancer's health
checks."""

LOOP_LATE_SECONDS = 0.05
"""Mean delay from which a timeout may be this process's own fault. A connection that
was made in a millisecond is noticed that much later, and the connect timeout is only a
quarter of a second."""

SHED_START_DELAY_SECONDS = 0.12
SHED_FULL_DELAY_SECONDS = 0.4
"""Mean delays between which a growing share of new requests is shed. The lower one is
the objective of the shortest calls, the upper one close to half a second to the first
byte, at which no answer would be in time."""

MAX_SHED_SHARE = 0.9
"""Maximum share of requests that is shed. The accepted ones show when there is capacity
again."""

OUT_OF_ROTATION_DELAY_SECONDS = 0.08
"""Mean delay over the last second from which the health check fails, so that the load
balancer takes this host out of rotation after two checks one second apart."""

BALANCER_REACTION_SECONDS = 2.2
"""Time until the load balancer sends callers elsewhere: it checks once per second and
takes a host out of rotation after two failed checks."""

MIN_OUT_OF_ROTATION_SECONDS = 3.0
"""Minimum time out of rotation: the load balancer has to notice, and earlier requests
have to finish. More would leave the other hosts with more load than they can take."""


LINK_EWMA_WEIGHT = 0.15
"""Weight of the newest sample in the mean connect time, which thus covers about the
last ten, so that one unreachable runner alone doesn't look like a saturated link."""

LINK_DECAY_SECONDS = 1.0
"""Time constant with which the mean connect time decays. While requests are shed there
may be no new connections to measure."""

LINK_LATE_SECONDS = 0.09
LINK_SATURATED_SECONDS = 0.25
"""Mean connect times between which a growing share of new requests is shed. A
connection within a region takes some milliseconds and is given up after a quarter of a
second; by then every request waits that long for each packet. Two runners that become
unreachable at once stay below the lower bound."""


class OverloadMonitor:
    """Tracks the delay of the event loop and the link, and decides on load shedding.

    The load balancer distributes callers by a hash, so a small host may get ten times
    the requests of the next one. Connections to healthy runners then seem to time out,
    all runners are ejected one after another, and the host refuses every caller while
    other hosts are idle. A host that sheds load early serves the rest in time, and
    callers of the shed requests are served by other hosts.

    A saturated link shows in the time that connections to runners take, because their
    first packets queue behind all other outgoing data. Without this check such a host
    would eject one healthy runner after another while its processor is nearly idle.
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
    def loop_delay(self) -> float:
        """Current mean delay of the event loop, seconds."""
        return self._fast_delay

    def record_loop_delay(self, seconds: float, now: float) -> None:
        """Record one sample of the event loop's delay, seconds."""
        if seconds >= STALL_SECONDS:
            return
        sample = min(MAX_SAMPLE_SECONDS, max(0.0, seconds))
        elapsed = SAMPLE_INTERVAL_SECONDS + sample
        self._fast_delay += _compute_weight(elapsed, FAST_MEAN_SECONDS) * (
            sample - self._fast_delay
        )
        self._slow_delay += _compute_weight(elapsed, SLOW_MEAN_SECONDS) * (
            sample - self._slow_delay
        )
        if self._slow_delay >= OUT_OF_ROTATION_DELAY_SECONDS:
            self._out_of_rotation_until = now + MIN_OUT_OF_ROTATION_SECONDS

    def record_connect_time(self, runner: str, seconds: float, now: float) -> None:
        """Record how long it took to connect to a runner or to time out, seconds.

        A saturated link affects connections to all runners. So slow connections to the
        same runner within `LINK_DECAY_SECONDS` count only once, as many requests may be
        waiting for one that has become unreachable.
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
        self._connect_seconds = self.estimate_connect_time(now)
        self._connect_seconds += LINK_EWMA_WEIGHT * (seconds - self._connect_seconds)
        self._connect_measured_at = now
        if self._connect_seconds >= LINK_LATE_SECONDS:
            # Request bodies fill the inbound link before they are refused, so shedding
            # alone doesn't help; the load balancer has to send callers elsewhere.
            self._out_of_rotation_until = now + MIN_OUT_OF_ROTATION_SECONDS

    def record_partition(self, now: float) -> bool:
        """Record that a network partition keeps this data centre from serving callers.

        Callers may still reach a data centre that is partitioned from the others, while
        the runners for their requests are elsewhere or too few here. Once all of its
        hosts are out of rotation, the load balancer sends callers to another data
        centre.

        Returns:
            Whether the host was in rotation until now.
        """
        was_in_rotation = now >= self._out_of_rotation_until
        if was_in_rotation:
            self._partitioned_at = now
        self._out_of_rotation_until = max(
            self._out_of_rotation_until, now + MIN_OUT_OF_ROTATION_SECONDS
        )
        return was_in_rotation

    def compute_redirect_delay(self, now: float) -> float:
        """Return the time until the load balancer redirects callers, seconds.

        Counted from the partition that took the host out of rotation; 0 once that time
        has passed.
        """
        return max(0.0, self._partitioned_at + BALANCER_REACTION_SECONDS - now)

    def estimate_connect_time(self, now: float) -> float:
        """Return the current mean time to connect to a runner, seconds."""
        return self._connect_seconds * math.exp(
            (self._connect_measured_at - now) / LINK_DECAY_SECONDS
        )

    def may_cause_timeouts(self, now: float) -> bool:
        """Return whether a timeout seen now may be caused by this host itself."""
        late = self._fast_delay >= LOOP_LATE_SECONDS
        return late or self.estimate_connect_time(now) >= LINK_LATE_SECONDS

    def is_out_of_rotation(self, now: float) -> bool:
        """Return whether the load balancer should send new callers to other hosts."""
        return now < self._out_of_rotation_until

    def should_shed(self, rng: random.Random, now: float) -> bool:
        """Return whether to shed a request that arrives now."""
        loop = _compute_shed_share(
            self._fast_delay, SHED_START_DELAY_SECONDS, SHED_FULL_DELAY_SECONDS
        )
        link = _compute_shed_share(
            self.estimate_connect_time(now), LINK_LATE_SECONDS, LINK_SATURATED_SECONDS
        )
        share = max(loop, link)
        return share > 0 and rng.random() < share


def _compute_weight(elapsed: float, over: float) -> float:
    """Return the weight of a sample in a moving average.

    Args:
        elapsed: Time that the sample covers, seconds.
        over: Time constant of the average, seconds.
    """
    return 1.0 - math.exp(-elapsed / over)


def _compute_shed_share(delay: float, start: float, full: float) -> float:
    """Return the share of requests to shed, rising linearly from `start` to `full`.

    It is 0 below `start` and never more than `MAX_SHED_SHARE`.
    """
    return max(0.0, min(MAX_SHED_SHARE, (delay - start) / (full - start)))
