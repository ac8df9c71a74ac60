"""One request under way in this router, apart from the callers that wait for it."""

from __future__ import annotations

import dataclasses
import time
from abc import ABC, abstractmethod
from collections.abc import Awaitable

import anyio
import anyio.lowlevel

from .budget_messages import Cancel, Reservation, Reserve, Settle
from .endpoints import RunnerClient
from .events import Event, log_event
from .models import Bill, Holder, Runner
from .outcomes import Ran, Refusal, RefusalKind
from .runs import Run
from .schedulers import Abandon, Placed, Replace, Report, Scheduler
from .tasks import Task
from .work import Ended, Work

RETURN_SECONDS = 1.0
"""When to come back after a failure that isn't about load."""

CALLER_GRACE_SECONDS = 5.0
"""A run whose callers have all gone goes on this long, so that a caller that lost
its connection finds its answer when it comes back under the same identity."""


TOKENS_SECONDS = 3.0
"""Longest wait for tokens. Those that another router holds idly come back within its
next look at the ledger, about a second, and its write; a request that has none by
then is told when to come back rather than held until near its deadline."""


class Job(ABC):
    """One request's run: reserve, place, run, settle; once for all its callers.

    It lives in the router's task group, not in a caller's connection, so a caller
    that goes and comes back finds the same run, and the bill is written even when
    nobody waits any more.

    Args:
        record: Where the answer is kept for callers to follow.
        budgets: The task that holds this router's tokens.
        scheduler: The task that places work on the endpoint's runners.
        client: Client of these runners.
        holder: The router's present life.
    """

    def __init__(
        self,
        record: Run,
        budgets: Task,
        scheduler: Scheduler,
        client: RunnerClient,
        holder: Holder,
    ) -> None:
        self.record = record
        self.budgets = budgets
        self.scheduler = scheduler
        self.client = client
        self.holder = holder
        self.refusal: Refusal | None = None
        self.started = anyio.Event()
        self.ended = anyio.Event()
        self._scope = anyio.CancelScope()
        self._followers = 0
        self._arrivals = 0

    @abstractmethod
    async def carry_out(self) -> None:
        """Do the whole work; ends with the record finished or a refusal."""

    async def execute(self) -> None:
        """Carry the job out and mark its end, whatever happens."""
        try:
            with self._scope:
                await self.carry_out()
        except Exception as error:
            log_event(Event.JOB_FAILED, identity=self.identity, error=repr(error))
            self.refuse(
                RefusalKind.ENDPOINT_FAILED, Ran.UNKNOWN, "router.job", repr(error)
            )
        finally:
            self.record.finish(False, time.monotonic())
            self.started.set()
            self.ended.set()

    @property
    @abstractmethod
    def identity(self) -> str:
        """The identity by which endpoints know the run."""

    def refuse(
        self,
        kind: RefusalKind,
        ran: Ran,
        step: str,
        detail: str,
        peer: str = "router",
        retry_after: float | None = RETURN_SECONDS,
    ) -> None:
        """End the job with a refusal."""
        self.end(Refusal(step, peer, detail, kind, ran, retry_after))

    def end(self, refusal: Refusal) -> None:
        """End the job with a refusal; the first one stands."""
        if self.refusal is None:
            self.refusal = refusal
        self.record.finish(False, time.monotonic())
        self.started.set()

    def join(self) -> None:
        """Count one more caller that follows."""
        self._followers += 1
        self._arrivals += 1

    async def leave(self, named: bool) -> None:
        """Count one caller less; the last one's leaving cancels the run.

        Args:
            named: Whether a caller may come back under the same identity.
        """
        self._followers -= 1
        arrivals = self._arrivals
        if named and not self.ended.is_set():
            with anyio.move_on_after(CALLER_GRACE_SECONDS):
                await self.ended.wait()
        if self._followers == 0 and arrivals == self._arrivals:
            self.give_up()

    def give_up(self) -> None:
        """Cancel the run when nobody wants its answer any more."""
        self._scope.cancel()

    async def reserve(
        self, budget: str, tokens: int, wait_seconds: float
    ) -> Reservation | Refusal:
        """Reserve tokens for one run.

        A caller that goes meanwhile doesn't interrupt it: tokens set aside for a
        caller that has gone would stay so for ever.
        """
        with anyio.CancelScope(shield=True):
            wait = min(wait_seconds, TOKENS_SECONDS)
            reservation = await self.budgets.ask(Reserve(budget, tokens, wait))
        try:
            await anyio.lowlevel.checkpoint_if_cancelled()
        except anyio.get_cancelled_exc_class():
            if isinstance(reservation, Reservation):
                with anyio.CancelScope(shield=True):
                    await self.cancel(reservation)
            raise
        return reservation

    async def cancel(self, reservation: Reservation) -> None:
        """Give a reservation back of which nothing can be used."""
        await self.budgets.ask(Cancel(reservation))

    async def settle(
        self, reservation: Reservation, used_tokens: int, bill: Bill | None
    ) -> None:
        """Settle a reservation by what was, or may have been, used."""
        await self.budgets.ask(Settle(reservation, used_tokens, bill))

    async def place(self, work: Work) -> Placed | Refusal:
        """Wait for a place; a caller that goes meanwhile gives it up."""
        try:
            return await self.scheduler.place(work)
        except anyio.get_cancelled_exc_class():
            with anyio.CancelScope(shield=True):
                await self.scheduler.ask(Abandon(work.id))
            raise

    async def hold(
        self, reservation: Reservation, placing: Awaitable[Placed | Refusal]
    ) -> Placed | Refusal:
        """Wait for a place; give the reservation back if the caller goes."""
        try:
            return await placing
        except anyio.get_cancelled_exc_class():
            with anyio.CancelScope(shield=True):
                await self.cancel(reservation)
            raise

    async def place_again(
        self, work: Work, runner: Runner, ended: Ended
    ) -> Placed | Refusal:
        """Tell how the work ended at a runner, and wait for another place."""
        try:
            return await self.scheduler.ask(Replace(work.id, runner.name, ended))
        except anyio.get_cancelled_exc_class():
            with anyio.CancelScope(shield=True):
                await self.scheduler.ask(Abandon(work.id))
            raise

    async def report(self, work: Work, runner: Runner, ended: Ended) -> None:
        """Tell the scheduler how the work ended at a runner, for good."""
        await self.scheduler.ask(Report(work.id, runner.name, ended))
        await self.scheduler.ask(Abandon(work.id))


def replace_ran(refusal: Refusal, ran: Ran) -> Refusal:
    """Return the refusal with another word on whether the request ran."""
    return dataclasses.replace(refusal, ran=ran)
