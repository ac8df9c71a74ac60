"""Task that exchanges suspects with the other relays."""

from __future__ import annotations

import random
import time

import anyio

from ..events import Event, log_event
from ..tasks import Task
from .members import Membership
from .models import Member
from .notifiers import Notifier
from .peers import PeerClient
from .suspect_spread import MAX_LINES_PER_MESSAGE, SuspectOutbox
from .suspects import Suspects

SEND_DELAY_SECONDS = 0.05
"""Delay before suspects are sent. Requests that are interrupted by one crash fail
almost together, so they are reported in one message."""


class SuspectExchange(Task):
    """Tells the other relays of suspects, and passes on what it hears.

    Args:
        suspects: What this relay knows.
        membership: List of the relays.
        peers: Calls to the other relays.
    """

    def __init__(
        self, suspects: Suspects, membership: Membership, peers: PeerClient
    ) -> None:
        super().__init__("suspect exchange")
        self._suspects = suspects
        self._membership = membership
        self._peers = peers
        self._outbox = SuspectOutbox(random.Random())
        self._added = Notifier()

    def report(self, lines: list[str]) -> None:
        """Report suspects of a crash that this relay observed."""
        self._outbox.add_observed(lines)
        self._added.notify_all()

    def receive(self, lines: list[str], asked: bool = False) -> list[str]:
        """Merge the suspects of another relay and forward what was new.

        Args:
            asked: Whether the relay asks for what this one knows.

        Returns:
            What this relay knows, if it is asked.
        """
        forwarded = self._suspects.merge(lines, time.monotonic())
        if forwarded:
            log_event(Event.CRASHES_HEARD, contents=len(lines), new=len(forwarded))
            self._outbox.add_forwarded(forwarded)
            self._added.notify_all()
        return self._suspects.list_serious()[-MAX_LINES_PER_MESSAGE:] if asked else []

    async def run(self) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(self._send_pending)
            group.start_soon(self._repair)

    async def _send_pending(self) -> None:
        # Waits to be notified, as polling would use processor time on an idle relay.
        while True:
            if not self._outbox:
                await self._added.wait()
            await anyio.sleep(SEND_DELAY_SECONDS)
            messages = self._outbox.take(self._membership.list_others())
            async with anyio.create_task_group() as group:
                for member, lines in messages:
                    group.start_soon(self._peers.send_suspects, member, lines)

    async def _repair(self) -> None:
        """Compare what this relay knows with others, one at a time.

        A relay may have missed messages, as one that was cut off has. The pauses grow
        with the time since the last news.
        """
        while True:
            pause = self._suspects.compute_repair_pause(time.monotonic())
            if pause is None:
                await self._added.wait()
                continue
            await anyio.sleep(pause)
            others = self._membership.list_others()
            if others:
                await self._compare_with(random.choice(others))

    async def _compare_with(self, member: Member) -> bool:
        """Exchange what is known with a relay; return whether it has answered."""
        if self._peers.is_in_backoff(member, time.monotonic()):
            return False
        lines = self._suspects.list_serious()[-MAX_LINES_PER_MESSAGE:]
        answer = await self._peers.send_suspects(member, lines, asks=True)
        if answer is None:
            return False
        self.receive(answer)
        return True
