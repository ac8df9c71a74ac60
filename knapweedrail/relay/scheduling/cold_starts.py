"""Decision: which relay sends to a runner that has just started, and how often.

Pure: the clock is passed in.

Handles runners of a whole data centre that come back together while callers crowd in. A
cold runner crashes if it gets many requests in one second from all relays together, so
equal shares of what it takes would be less than one request a second for each of dozens
of relays, and all of them might use their share in the same second. Instead a few
relays are chosen alike by all; they take turns with it, and the others place their
requests elsewhere until it is warm.
"""

from __future__ import annotations

import attrs

from ...limits import MIN_RATE, USED_SHARE, Standing
from ..models import Endpoint

BURST_SHARE = 0.75
"""Part of a cold runner's largest burst that its senders use together, since relays
that come or go are listed some seconds late and meanwhile there are other senders."""

DELAY_FACTOR = 1.05
"""Lengthens the pause between two requests, as connecting delays some of them."""


@attrs.frozen
class BurstAllowance:
    """How far beyond its rate the requests to a cold runner may go in one second.

    Attributes:
        factor: Multiple of the rate.
        reserve: Requests beyond that.
    """

    factor: float = 1.0
    reserve: float = 0.0


@attrs.frozen
class ColdLimit:
    """What a cold runner tolerates from all relays together.

    Attributes:
        rate: Requests a second.
        burst: Largest number of requests in any one second.
    """

    rate: float
    burst: float

    @property
    def sender_rate(self) -> float:
        """Rate by which the number of senders is computed, requests a second: as many
        as may all send in the same second."""
        return max(MIN_RATE, BURST_SHARE * self.burst - 1)

    @property
    def used_rate(self) -> float:
        """Rate that the senders use together, requests a second."""
        return USED_SHARE * max(MIN_RATE, min(self.rate, self.sender_rate))

    def measure_turn(self, standing: Standing) -> float:
        """Return the pause between two requests of a sender, seconds."""
        turn = standing.senders / self.used_rate
        in_one_second = int(BURST_SHARE * self.burst / standing.senders)
        return max(turn, DELAY_FACTOR / max(1, in_one_second))

    def measure_pause(self, standing: Standing, sent_at: float, now: float) -> float:
        """Return the time until this relay may send, seconds; infinite if it may not
        send before the runner is warm.

        Args:
            sent_at: When this relay last sent to the runner, seconds.
        """
        if not standing.sends:
            return float("inf")
        return max(0.0, sent_at + self.measure_turn(standing) - now)


def make_limit(endpoint: Endpoint | None, allowance: BurstAllowance) -> ColdLimit:
    """Return the limit of an endpoint's cold runners."""
    rate = endpoint.cold_rate if endpoint else 0.0
    return ColdLimit(rate, allowance.factor * rate + allowance.reserve)


@attrs.define
class ColdState:
    """What is known of one runner's coldness.

    Attributes:
        until: Time until which it is cold by its own statement, seconds.
        suspected_at: Time since which it may be cold though it hasn't said so, seconds.
        sent_at: When this relay last sent it a request, seconds.
    """

    until: float = float("-inf")
    suspected_at: float = float("-inf")
    sent_at: float = float("-inf")

    def record_statement(self, seconds_left: float, now: float) -> None:
        """Record for how long the runner says it stays cold, seconds."""
        self.until = now + seconds_left
        self.suspected_at = float("-inf")

    def suspect(self, now: float) -> None:
        """Record that it may have become cold just now."""
        self.suspected_at = now

    def measure_left(self, cold_seconds: float, now: float) -> float:
        """Return for how long it may still be cold, seconds.

        Args:
            cold_seconds: How long the endpoint's runners are cold after a start.
        """
        return max(0.0, max(self.until, self.suspected_at + cold_seconds) - now)
