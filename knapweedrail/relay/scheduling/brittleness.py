"""Decision: who sends to runners that fall over if they have to reject many requests.

Pure: the clock is passed in.

Handles the runners of an endpoint that state how many requests each of them can reject
in one second, from all relays together, while callers crowd in. Load reports are too
old by then to avoid rejections. So after its first one, a relay divides the slots of
the endpoint's runners among all relays for some seconds, each of which does the same
without communication, and sends a runner no more than its part at once.
"""

from __future__ import annotations

import attrs

from ...limits import Standing

DIVIDED_SECONDS = 5.0
"""How long after a rejection a relay keeps to its part of the slots. When it ends, each
relay may cause another rejection, so hundreds of relays must not do so too often."""

CURRENT_REPORT_SECONDS = 0.3
"""Age up to which a load report is used while slots are divided."""

LIGHT_LOAD_SHARE = 0.5
"""Part of its slots up to which a runner has room for requests of any relay. The rest
is for those that other relays send at the same time."""


@attrs.define
class Brittleness:
    """What an endpoint's runners state about the rejections that they tolerate.

    Attributes:
        rejections: Rejections of one runner in one second.
        stated_at: When this was last stated, seconds.
        divided_until: Time until which this relay keeps to its part of the slots.
    """

    rejections: float
    stated_at: float
    divided_until: float = float("-inf")

    def record_rejection(self, now: float) -> None:
        """Record that a runner of the endpoint rejected a request."""
        self.divided_until = now + DIVIDED_SECONDS

    def record_refusal(self, now: float) -> None:
        """Record that this relay refused a request for want of a slot in its part."""
        if self.is_divided(now):
            self.divided_until = now + DIVIDED_SECONDS

    def is_divided(self, now: float) -> bool:
        """Return whether this relay keeps to its part of the slots."""
        return now < self.divided_until


def compute_sender_rate(slots: int) -> float:
    """Return the rate with which a runner's slots have a sender each, requests a
    second, if there are as many relays."""
    return float(max(0, slots - 1))


def compute_part(slots: int, standing: Standing) -> int:
    """Return the number of requests that this relay may have at a runner at once."""
    return slots // standing.senders if standing.sends else 0


def is_lightly_loaded(load: float, slots: int, report_age: float) -> bool:
    """Return whether a runner has room for one more request of any relay.

    Args:
        load: Number of its requests, as estimated from its load report.
        slots: Number of requests that it runs at once.
        report_age: Age of the report, seconds.
    """
    if report_age >= CURRENT_REPORT_SECONDS:
        return False
    return load + 1 <= LIGHT_LOAD_SHARE * slots
