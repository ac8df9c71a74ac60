"""How a data centre's routers acknowledge, decide and record configurations."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

import anyio

from .audits import AuditEntry, Kind, append_entries
from .centres import read_registered
from .events import Event, log_event
from .models import Holder
from .outcomes import Unavailable
from .platforms import Platform
from .proposals import Acks, Proposal, State, Version, acknowledge, list_missing, refuse
from .settlements import (
    Outcome,
    read_state,
    try_decide,
    try_withdraw,
    update_acks,
)
from .updates import Updated

if TYPE_CHECKING:
    from .changes import ConfigurationTask

IDLE_SECONDS = 60.0
"""Longest wait for news; only a bound, as all news wakes the loops."""

RECORDERS = 3
"""Routers of a data centre that may write its line of the audit trail. More would only
add reads at each change; with all three gone that line is missing, nothing else."""

RECORD_SECONDS = 10.0
"""Time for all routers of a data centre to have a version in force; then the line is
written with those that have."""


class Voter:
    """Acts for the data centre in deciding a configuration.

    The first registered router of a data centre, by name, acts; each next one waits
    `Times.rank_seconds` longer. All steps are conditional updates that may be done
    twice, so it does no harm when two act at once.

    Args:
        task: The task that follows the configuration.
        platform: The platform.
        data_centre: The router's data centre.
        rng: For jitter.
    """

    def __init__(
        self,
        task: ConfigurationTask,
        platform: Platform,
        data_centre: str,
        rng: random.Random,
    ) -> None:
        self._task = task
        self._platform = platform
        self._data_centre = data_centre
        self._rng = rng

    async def run(self) -> None:
        """Vote on proposals and record versions until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._vote)
            group.start_soon(self._record)

    async def refuse(self, version: Version, reason: str) -> None:
        """Say for the data centre that it can't take a proposal's file."""
        state = await read_state(self._platform)
        proposal = state.open() if isinstance(state, State) else None
        if proposal is None or proposal.version != version:
            return
        centre = self._data_centre
        await update_acks(
            self._platform,
            lambda acks: refuse(acks, proposal, centre, reason),
            self._rng,
        )

    async def _vote(self) -> None:
        while True:
            proposal = self._task.open_proposal()
            if proposal is None:
                await self._task.wait_news(IDLE_SECONDS)
                continue
            await self._settle(proposal)

    def _is_open(self, proposal: Proposal) -> bool:
        return self._task.open_proposal() == proposal

    async def _wait_open(self, proposal: Proposal, seconds: float) -> None:
        """Wait some seconds, and no longer than the proposal is open."""
        with anyio.move_on_after(seconds):
            while self._is_open(proposal):
                await self._task.wait_news(seconds)

    async def _settle(self, proposal: Proposal) -> None:
        times = self._task.times
        begun = anyio.current_time()
        waited = False
        while self._is_open(proposal):
            rank = self._find_rank()
            if not waited and rank > 0:
                waited = True
                await self._wait_open(proposal, rank * times.rank_seconds)
                continue
            registered = await read_registered(self._platform, self._data_centre)
            if not self._may_act(registered):
                await self._wait_open(proposal, times.retry_seconds)
                continue
            acks = None
            if await self._wait_held(proposal, registered):
                acks = await self._acknowledge(proposal)
            expired = anyio.current_time() - begun > times.withdraw_seconds
            if await self._finish(proposal, acks, expired):
                return
            if acks is not None:
                await self._wait_open(proposal, times.rank_seconds)

    def _find_rank(self) -> int:
        """Return how many routers act before this one, as far as it believes.

        The registry isn't read for it: 500 routers would read it at every change only
        to find that another one acts. Two that both act do no harm.
        """
        holder = self._task.holder()
        if holder is None:
            return 0
        known = {*self._task.peers.neighbours(), holder}
        return sorted(known, key=str).index(holder)

    def _may_act(self, registered: frozenset[Holder] | Unavailable) -> bool:
        """Say whether this router's life is registered and not given up."""
        if isinstance(registered, Unavailable):
            return False
        return self._task.holder() in registered

    async def _wait_held(
        self, proposal: Proposal, registered: frozenset[Holder]
    ) -> bool:
        """Wait a moment until all registered routers hold the proposal.

        A router that registers after the list was read finds the proposal by itself:
        it takes no work before it has read the state, and the proposal stands there.
        """
        others = registered - {self._task.holder()}
        number = proposal.version.number
        follower = self._task.follower
        with anyio.move_on_after(self._task.times.retry_seconds):
            while not all(follower.holds(other, number) for other in others):
                await self._task.wait_news(self._task.times.retry_seconds)
        return all(follower.holds(other, number) for other in others)

    async def _acknowledge(self, proposal: Proposal) -> Acks | None:
        holder = str(self._task.holder())
        centre = self._data_centre
        outcome = await update_acks(
            self._platform,
            lambda acks: acknowledge(acks, proposal, centre, holder),
            self._rng,
        )
        if not isinstance(outcome, Updated):
            return None
        acks: Acks = outcome.result
        if acks.identity != proposal.identity:
            return None
        if acks.centres.get(centre) == holder:
            log_event(Event.ACKNOWLEDGED, number=proposal.version.number)
        return acks

    async def _finish(
        self, proposal: Proposal, acks: Acks | None, expired: bool
    ) -> bool:
        """Decide or withdraw where that is due; say whether it is settled."""
        if acks is not None and acks.refusals:
            centre, reason = min(acks.refusals.items())
            return await self._withdraw(proposal, f"{centre} can't take it: {reason}")
        if acks is not None and not list_missing(proposal, acks, ()):
            if await self._decide(proposal, acks):
                return True
        if expired:
            # The operator's command withdraws earlier, unless it has died.
            return await self._withdraw(proposal, "not acknowledged in time")
        return False

    async def _decide(self, proposal: Proposal, acks: Acks) -> bool:
        outcome = await try_decide(self._platform, proposal, acks, self._rng)
        return self._learn(outcome, Event.DECIDED, proposal)

    async def _withdraw(self, proposal: Proposal, reason: str) -> bool:
        outcome = await try_withdraw(self._platform, proposal, reason, self._rng)
        return self._learn(outcome, Event.PROPOSAL_WITHDRAWN, proposal)

    def _learn(self, outcome: Outcome, event: Event, proposal: Proposal) -> bool:
        """Take in the state that was written; say whether nothing is open in it."""
        if not isinstance(outcome, Updated):
            return False
        state: State = outcome.result
        self._task.learn(state, outcome.version)
        if state.open() is not None:
            return False
        log_event(event, number=proposal.version.number)
        return True

    async def _record(self) -> None:
        """Write, for the data centre, when each version was in force in it."""
        recorded = 0
        while True:
            number = self._task.follower.followed
            if number <= recorded or self._task.holder() is None:
                await self._task.wait_news(IDLE_SECONDS)
                continue
            await self._record_number(number)
            recorded = number

    async def _record_number(self, number: int) -> None:
        times = self._task.times
        rank = self._find_rank()
        if rank >= RECORDERS:
            return
        await anyio.sleep(rank * (times.rank_seconds + RECORD_SECONDS))
        registered = await read_registered(self._platform, self._data_centre)
        if not self._may_act(registered):
            return
        self._task.follower.forget_except(registered | self._task.peers.neighbours())
        serving = await self._wait_serving(number, registered)
        seconds = time.time()
        lacking = registered - serving
        names = ", ".join(sorted(map(str, serving)))
        if lacking:
            names += "; not yet: " + ", ".join(sorted(map(str, lacking)))
        entry = AuditEntry(
            f"in-force/{number}/{self._data_centre}",
            Kind.IN_FORCE,
            str(self._task.holder()),
            seconds,
            self._data_centre,
            after=str(number),
            detail=names,
        )
        failure = await append_entries(self._platform, (entry,), self._rng)
        if failure is not None:
            log_event(Event.AUDIT_LATE, detail=failure.detail)

    async def _wait_serving(
        self, number: int, registered: frozenset[Holder]
    ) -> frozenset[Holder]:
        follower = self._task.follower
        own = self._task.holder()

        def list_serving() -> frozenset[Holder]:
            return frozenset(
                holder
                for holder in registered
                if holder == own or follower.serves(holder, number)
            )

        with anyio.move_on_after(RECORD_SECONDS):
            while list_serving() != registered:
                await self._task.wait_news(RECORD_SECONDS)
        return list_serving()
