"""Where checked requests become runs: one for each identity, wherever it runs."""

from __future__ import annotations

import time
from collections.abc import Callable

import anyio
import anyio.abc
import attrs

from .calls import Generation, Visit
from .generations import GenerationJob
from .homes import RunFinder, RunningAt
from .jobs import RETURN_SECONDS, Job
from .models import Holder
from .outcomes import Ran, Refusal, RefusalKind
from .pools import Pools
from .runs import Begun, Mismatch, Run, RunKey, RunTable
from .tasks import Task
from .visits import VisitJob

FORGET_SECONDS = 5.0
"""Time between two looks for answers that are kept no longer."""


@attrs.frozen
class Life:
    """The router's present life and the task that holds its tokens."""

    holder: Holder
    budgets: Task


@attrs.frozen
class Opened:
    """A run in this router that the caller may follow.

    Attributes:
        run: The record of the answer.
        job: The job that carries it out, or ``None`` when the answer is whole.
    """

    run: Run
    job: Job | None


class Intake:
    """Begins runs, and finds those that go on already.

    Args:
        group: Task group in which jobs run.
        table: The runs of this router.
        finder: Finds runs on other routers of the data centre.
        pools: The endpoints.
        find_life: Returns the router's present life, if it has one.
    """

    def __init__(
        self,
        group: anyio.abc.TaskGroup,
        table: RunTable,
        finder: RunFinder,
        pools: Pools,
        find_life: Callable[[], Life | None],
    ) -> None:
        self.table = table
        self._group = group
        self._finder = finder
        self._pools = pools
        self._find_life = find_life
        self._jobs: dict[RunKey, Job] = {}
        self._idle = anyio.Event()
        self._idle.set()

    @property
    def under_way(self) -> int:
        """Number of jobs under way."""
        return len(self._jobs)

    async def open(
        self, call: Generation | Visit, gone: Holder | None = None
    ) -> Opened | RunningAt | Refusal:
        """Find the run of a request or begin it.

        Args:
            call: The checked request.
            gone: A life that was said to have the run and hasn't.
        """
        account = call.account.name
        known = self.table.get(account, call.identity)
        if known is None and call.named:
            place = await self._finder.find(
                account, call.identity, call.fingerprint, gone
            )
            if isinstance(place, RunningAt):
                return place
            if not isinstance(place, Mismatch):
                return self._begin(call)
            return _refuse_mismatch()
        return self._begin(call)

    def _begin(self, call: Generation | Visit) -> Opened | Refusal:
        begun = self.table.begin(
            call.account.name, call.identity, call.fingerprint, time.monotonic()
        )
        if isinstance(begun, Mismatch):
            return _refuse_mismatch()
        if not isinstance(begun, Begun):
            return Opened(begun.run, self._jobs.get(begun.run.key))
        life = self._find_life()
        if life is None:
            begun.run.finish(False, time.monotonic())
            return Refusal(
                "router.life",
                "platform",
                "this router isn't registered with the platform yet",
                RefusalKind.BUDGET_OUT_OF_REACH,
                Ran.NOT_RUN,
                RETURN_SECONDS,
            )
        job = self._make_job(call, begun.run, life)
        self._jobs[begun.run.key] = job
        self._idle = anyio.Event() if self._idle.is_set() else self._idle
        self._group.start_soon(self._carry_out, begun.run.key, job)
        return Opened(begun.run, job)

    def _make_job(self, call: Generation | Visit, run: Run, life: Life) -> Job:
        pool = self._pools.get(call.route.endpoint)
        common = (run, life.budgets, pool.scheduler, pool.client, life.holder)
        if isinstance(call, Generation):
            return GenerationJob(call, *common)
        return VisitJob(call, *common)

    async def _carry_out(self, key: RunKey, job: Job) -> None:
        try:
            await job.execute()
        finally:
            if self._jobs.get(key) is job:
                del self._jobs[key]
            if not self._jobs:
                self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until no job is under way."""
        await self._idle.wait()

    async def forget(self) -> None:
        """Drop answers that are kept no longer, for as long as the router runs."""
        while True:
            await anyio.sleep(FORGET_SECONDS)
            self.table.evict(time.monotonic())

    def find_job(self, run: Run) -> Job | None:
        """Return the job that carries a run out, while it does."""
        return self._jobs.get(run.key)


def _refuse_mismatch() -> Refusal:
    return Refusal(
        "gateway.identity",
        "caller",
        "this Idempotency-Key was used for a request with another content",
        RefusalKind.IDENTITY_REUSED,
        Ran.NOT_RUN,
    )
