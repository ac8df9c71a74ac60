"""Decision: which other relays to ask for a connection to a runner.

Pure: clock and randomness are passed in.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable

from .models import Member

AVOID_SECONDS = 2.0
"""How long a relay that opened no tunnel is asked only after all others."""

PREFER_SECONDS = 5.0
"""How long a relay that opened a tunnel is asked before those that weren't tried."""


class TunnelRelays:
    """Which relays recently opened tunnels for this one, and how many are open."""

    def __init__(self) -> None:
        self._opened_at: dict[str, float] = {}
        self._failed_at: dict[str, float] = {}
        self._open_counts: Counter[str] = Counter()

    def record_opened(self, member: Member, now: float) -> None:
        """Record that a relay has opened a tunnel."""
        self._opened_at[member.host] = now
        self._failed_at.pop(member.host, None)
        self._open_counts[member.host] += 1

    def record_closed(self, member: Member) -> None:
        """Record that a tunnel through a relay was closed."""
        self._open_counts[member.host] -= 1

    def record_failed(self, member: Member, now: float) -> None:
        """Record that a relay didn't answer or declined to open a tunnel."""
        self._failed_at[member.host] = now

    def record_unreachable(self, member: Member, now: float) -> None:
        """Record that a relay couldn't or mustn't connect to a runner.

        The runner may be down or leave, so this counts against the relay only if it
        hasn't reached another one recently.
        """
        if not self._is_preferred(member, now):
            self.record_failed(member, now)

    def rank(
        self, members: Iterable[Member], rng: random.Random, now: float
    ) -> list[Member]:
        """Return the relays to ask, in order.

        Relays that recently opened a tunnel come first, the one with the fewest open
        tunnels before the others. The order of the rest is random, so that hosts which
        lose their paths together don't all ask the same relay.
        """
        candidates = [member for member in members if member.tunnel_address]
        return sorted(
            candidates,
            key=lambda member: (
                self._is_avoided(member, now),
                not self._is_preferred(member, now),
                self._open_counts[member.host],
                rng.random(),
            ),
        )

    def _is_avoided(self, member: Member, now: float) -> bool:
        failed_at = self._failed_at.get(member.host, float("-inf"))
        return now - failed_at < AVOID_SECONDS

    def _is_preferred(self, member: Member, now: float) -> bool:
        opened_at = self._opened_at.get(member.host, float("-inf"))
        return now - opened_at < PREFER_SECONDS
