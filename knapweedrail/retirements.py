"""Task that brings back the tokens of lives that are over."""

from __future__ import annotations

import time
from collections.abc import Callable

import anyio

from .beliefs import choose_by_hash
from .budget_messages import Recover, Recovered
from .events import Event, log_event
from .members import MembershipTask
from .models import Holder
from .tasks import Task

LOOK_SECONDS = 2.0
"""Time between two looks for lives that are over."""

SILENT_SECONDS = 10.0
"""Silence of a member after which its tokens are recovered. Recovery is right at any
time, but it ends the life of a member that was only paused or cut off and strands its
allowance; most pauses are shorter."""

LONGEST_PAUSE_SECONDS = 60.0
"""Longest pause between two tries for one life. A try costs a call to each neighbour;
one that waits for a router that is cut off may wait for an hour."""


class RetirementTask(Task):
    """Recovers the tokens of silent, fenced and replaced lives of the data centre.

    Args:
        membership: Tells which lives are over or seem so.
        find_budgets: Returns the task that holds this router's tokens, or ``None``
            when it may not recover others' now.
    """

    def __init__(
        self, membership: MembershipTask, find_budgets: Callable[[], Task | None]
    ) -> None:
        super().__init__("retirement")
        self._membership = membership
        self._find_budgets = find_budgets
        self._silent_since: dict[Holder, float] = {}
        self._pauses: dict[Holder, float] = {}
        self._next: dict[Holder, float] = {}

    async def run(self) -> None:
        while True:
            await anyio.sleep(LOOK_SECONDS)
            for holder in self._list_due(time.monotonic()):
                budgets = self._find_budgets()
                if budgets is not None and self._is_first_for(holder):
                    await self._recover(budgets, holder)

    def _list_due(self, now: float) -> list[Holder]:
        suspects = {member.holder for member in self._membership.suspects()}
        self._silent_since = {
            holder: self._silent_since.get(holder, now) for holder in suspects
        }
        limit = now - SILENT_SECONDS
        silent = [item for item, since in self._silent_since.items() if since <= limit]
        over = [*silent, *self._membership.registry().fenced()]
        self._pauses = {item: self._pauses.get(item, 0.0) for item in over}
        return [item for item in over if self._next.get(item, now) <= now]

    def _is_first_for(self, holder: Holder) -> bool:
        # One router of the data centre does it; which one only spares writes.
        names = [
            member.holder.name
            for member in self._membership.own_data_centre_members()
            if member.alive
        ]
        own = self._membership.settings.name
        return choose_by_hash(str(holder), [*names, own]) == own

    async def _recover(self, budgets: Task, holder: Holder) -> None:
        recovered: Recovered = await budgets.ask(Recover(holder))
        log_event(
            Event.HOLDER_RECOVERED,
            holder=str(holder),
            tokens=recovered.tokens,
            stranded=recovered.stranded,
            waits_for=recovered.waits_for,
        )
        if not recovered.waits_for:
            await self._membership.mark_reclaimed(holder)
        pause = min(max(2 * self._pauses[holder], LOOK_SECONDS), LONGEST_PAUSE_SECONDS)
        self._pauses[holder] = pause
        self._next = {item: self._next.get(item, 0.0) for item in self._pauses}
        self._next[holder] = time.monotonic() + pause
