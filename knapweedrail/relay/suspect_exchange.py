"""Task that exchanges suspects with the other relays and keeps them in the store."""

from __future__ import annotations

import random
import time
from collections.abc import Iterable

import anyio
import attrs

from ..events import Event, log_event
from ..tasks import Task
from .malformed import MalformedObjects
from .members import Membership
from .models import Member
from .notifiers import Notifier
from .peers import PeerClient
from .stores import Store
from .suspect_spread import MAX_LINES_PER_MESSAGE, SuspectOutbox
from .suspect_store import MAX_LINES, SavedSuspects, read_suspects, write_suspects
from .suspects import Suspects

SEND_DELAY_SECONDS = 0.05
"""Delay before suspects are sent. Requests that are interrupted by one crash fail
almost together, so they are reported in one message."""

ASKED_RELAYS = 3
"""Relays that one which starts asks for what they know. Some may have just started."""

RETRY_SECONDS = 1.0
"""Pause before the store is called again if it didn't answer."""

SAVE_PAUSE_SECONDS = 0.5
"""Pause between two writes to the store, in which further crashes are collected."""


class SuspectExchange(Task):
    """Tells the other relays of suspects, passes on what it hears, and saves it.

    What a relay knows would end with its process. So one that starts asks others and
    reads the store, which keeps what all relays together have found out.

    Args:
        suspects: What this relay knows.
        membership: List of the relays.
        peers: Calls to the other relays.
        store: The platform's store.
        malformed: Records objects of the store that can't be used.

    Attributes:
        loaded: Set once other relays and the store have been asked.
    """

    def __init__(
        self,
        suspects: Suspects,
        membership: Membership,
        peers: PeerClient,
        store: Store,
        malformed: MalformedObjects,
    ) -> None:
        super().__init__("suspect exchange")
        self.loaded = anyio.Event()
        self._suspects = suspects
        self._membership = membership
        self._peers = peers
        self._store = store
        self._malformed = malformed
        self._outbox = SuspectOutbox(random.Random())
        self._added = Notifier()
        self._saved = SavedSuspects(membership.member.host)
        # Contents that this relay saves; the oldest first.
        self._own: dict[str, None] = {}

    def report(self, lines: list[str]) -> None:
        """Report suspects of a crash that this relay observed."""
        self._outbox.add_observed(lines)
        self._keep(self._suspects.list_contents(lines))
        self._added.notify_all()

    def receive(self, lines: list[str], asked: bool = False) -> list[str]:
        """Merge the suspects of another relay and forward what was new.

        Args:
            asked: Whether the relay asks for what this one knows.

        Returns:
            What this relay knows, if it is asked.
        """
        merged = self._suspects.merge(lines, time.monotonic())
        if merged.changed:
            log_event(Event.CRASHES_HEARD, contents=len(lines), new=len(merged.changed))
            self._outbox.add_forwarded(merged.changed)
            self._keep(merged.combined)
            self._added.notify_all()
        return self._suspects.list_serious()[-MAX_LINES_PER_MESSAGE:] if asked else []

    async def run(self) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(self._send_pending)
            group.start_soon(self._repair)
            await self._load()
            await self._save_changes()

    def _keep(self, contents: Iterable[str]) -> None:
        for content in contents:
            self._own.pop(content, None)
            self._own[content] = None
        while len(self._own) > MAX_LINES:
            del self._own[next(iter(self._own))]

    async def _load(self) -> None:
        """Ask other relays and the store for what is known."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._ask_others)
            is_read = await self._read_store()
        self.loaded.set()
        while not is_read:
            await anyio.sleep(RETRY_SECONDS)
            is_read = await self._read_store()
        log_event(Event.SUSPECTS_LOADED, contents=len(self._suspects.list_serious()))

    async def _ask_others(self) -> None:
        await self._membership.first_listed.wait()
        others = self._list_reachable()
        asked = random.sample(others, min(ASKED_RELAYS, len(others)))
        async with anyio.create_task_group() as group:
            for member in asked:
                group.start_soon(self._compare_with, member)

    def _list_reachable(self) -> list[Member]:
        """Return the other relays that other relays can call."""
        return [m for m in self._membership.list_others() if m.address]

    async def _read_store(self) -> bool:
        """Merge what the store keeps; return whether it has answered."""
        found = await read_suspects(self._store, self._malformed, time.monotonic())
        if found is None:
            return False
        now = time.time()
        for saved in found:
            if saved.host == self._saved.host:
                self._saved = saved
                self._keep(self._suspects.list_contents(saved.lines))
            if not saved.is_expired(now):
                self.receive(list(saved.lines))
        return True

    async def _save_changes(self) -> None:
        """Save what this relay has found out whenever it changes."""
        while True:
            lines = self._suspects.format_serious(self._own)
            if tuple(lines) == self._saved.lines:
                await self._added.wait()
                continue
            saved = attrs.evolve(
                self._saved, lines=tuple(lines), saved_at=round(time.time(), 3)
            )
            written = await write_suspects(self._store, saved)
            self._saved = written or self._saved
            await anyio.sleep(SAVE_PAUSE_SECONDS if written else RETRY_SECONDS)

    async def _send_pending(self) -> None:
        # Waits to be notified, as polling would use processor time on an idle relay.
        while True:
            if not self._outbox:
                await self._added.wait()
            await anyio.sleep(SEND_DELAY_SECONDS)
            messages = self._outbox.take(self._list_reachable())
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
            others = self._list_reachable()
            if others:
                await self._compare_with(random.choice(others))

    async def _compare_with(self, member: Member) -> None:
        """Tell a relay what is known here, and ask what it knows."""
        if self._peers.is_in_backoff(member, time.monotonic()):
            return
        lines = self._suspects.list_serious()[-MAX_LINES_PER_MESSAGE:]
        answer = await self._peers.send_suspects(member, lines, asks=True)
        if answer is not None:
            self.receive(answer)
