"""Decision: which relays hear of requests that ran on crashed runners.

Pure: randomness is passed in. A first crash makes suspects of all requests on the
runner, most of which never come again, so it is reported to a few relays. A content
that ran on several crashed runners is forwarded until all relays have it.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from .models import Member

RECIPIENTS = 16
"""Relays that receive the suspects of one crash. With up to 17 relays all hear of each
crash. In larger fleets some relay is likely to hear of two crashes of one content."""

FANOUT = 4
"""Relays to which a relay forwards what was new to it. With this fan-out it reaches
nearly all of several hundred relays in a few rounds."""

MAX_LINES_PER_MESSAGE = 500
"""Suspects in one message, about 50 KB; the others follow in the next one."""


class SuspectOutbox:
    """Lines about suspects that other relays are to receive.

    Args:
        rng: Source of the choice of relays.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._observed: dict[str, None] = {}
        self._forwarded: dict[str, None] = {}

    def __bool__(self) -> bool:
        return bool(self._observed or self._forwarded)

    def add_observed(self, lines: Sequence[str]) -> None:
        """Add suspects of a crash that this relay observed."""
        self._observed |= dict.fromkeys(lines)

    def add_forwarded(self, lines: Sequence[str]) -> None:
        """Add what was new in the message of another relay."""
        self._forwarded |= dict.fromkeys(lines)

    def take(self, others: Sequence[Member]) -> list[tuple[Member, list[str]]]:
        """Return the messages to send now.

        Args:
            others: The other relays.
        """
        observed = _take_lines(self._observed)
        forwarded = _take_lines(self._forwarded)
        recipients = self._rng.sample(list(others), min(RECIPIENTS, len(others)))
        messages = []
        for number, member in enumerate(recipients):
            lines = observed + forwarded if number < FANOUT else observed
            if lines:
                messages.append((member, lines))
        return messages


def _take_lines(lines: dict[str, None]) -> list[str]:
    taken = list(lines)[:MAX_LINES_PER_MESSAGE]
    for line in taken:
        del lines[line]
    return taken
