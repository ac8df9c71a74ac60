"""Tasks that feed the dispatcher of an endpoint and carry out its decisions."""

from __future__ import annotations

import random
import time

import anyio
import attrs

from .dispatch import Dispatcher
from .endpoints import RunnerClient
from .models import Endpoint, Runner
from .outcomes import Refusal, Unavailable
from .tasks import Reply, Task
from .work import Decision, Ended, EndedKind, LoadReport, Refuse, Start, Work

POLL_SECONDS = 0.5
"""Time between two load reports of a runner. A leaving runner is known to leave
well within the few seconds that the brief allows, also with one report lost."""

IDLE_SECONDS = 0.25
"""Longest sleep of a dispatcher with nothing due."""


@attrs.frozen
class Placed:
    """A piece of work may start at this runner now."""

    runner: Runner


@attrs.frozen
class Place:
    """Wait until the work may start; answered by `Placed` or `Refusal`."""

    work: Work


@attrs.frozen
class Report:
    """A piece of work ended at a runner, for good."""

    work_id: str
    runner: str
    ended: Ended


@attrs.frozen
class Replace:
    """A piece of work ended at a runner and asks for another place.

    Answered by `Placed` or `Refusal`. It is one message with the report, since the
    dispatcher may place work that was refused anew in the same step; the place would
    be given to nobody if the asker came later.
    """

    work_id: str
    runner: str
    ended: Ended


@attrs.frozen
class FirstByte:
    """The first byte of an answer has come."""

    work_id: str


@attrs.frozen
class Abandon:
    """The caller of this work has gone."""

    work_id: str


@attrs.frozen
class HearQuarantined:
    """Other routers found that these requests fell runners."""

    fingerprints: tuple[str, ...]


@attrs.frozen
class Reconfigure:
    """The endpoint has these runners now."""

    endpoint: Endpoint


class Scheduler(Task):
    """Owns the dispatcher of one endpoint in this router.

    Args:
        endpoint: The endpoint with its runners.
        dispatcher: The pure decisions.
        client: Client through which load reports are read.
    """

    def __init__(
        self, endpoint: Endpoint, dispatcher: Dispatcher, client: RunnerClient
    ) -> None:
        super().__init__(f"scheduler {endpoint.name}")
        self.endpoint = endpoint
        self.dispatcher = dispatcher
        self.client = client
        self._runners: dict[str, Runner] = {}
        self._waiting: dict[str, Reply] = {}
        self._pollers: dict[str, anyio.CancelScope] = {}

    async def run(self) -> None:
        async with anyio.create_task_group() as group:
            self._group = group
            self._take_runners(self.endpoint)
            while True:
                await self._step()

    async def _step(self) -> None:
        due = self.dispatcher.next_tick()
        pause = IDLE_SECONDS
        if due is not None:
            pause = min(max(due - time.monotonic(), 0.0), IDLE_SECONDS)
        with anyio.move_on_after(pause):
            envelope = await self._receive.receive()
            self._handle(envelope.message, envelope.reply)
            return
        self._carry_out(self.dispatcher.tick(time.monotonic()))

    def _handle(self, message: object, reply: Reply) -> None:
        now = time.monotonic()
        match message:
            case Place(work):
                self._waiting[work.id] = reply
                self._carry_out(self.dispatcher.submit(work, now))
            case Replace(work_id, runner, ended):
                self._waiting[work_id] = reply
                self._carry_out(self.dispatcher.finished(work_id, runner, ended, now))
                if ended.kind is not EndedKind.REFUSED:
                    self._carry_out(self.dispatcher.retry(work_id, now))
            case Report(work_id, runner, ended):
                decisions = self.dispatcher.finished(work_id, runner, ended, now)
                self._carry_out(decisions)
                reply.set(None)
            case FirstByte(work_id):
                self.dispatcher.answering(work_id, now)
            case Abandon(work_id):
                self._waiting.pop(work_id, None)
                self.dispatcher.cancel(work_id, now)
                self._carry_out(self.dispatcher.tick(now))
                reply.set(None)
            case HearQuarantined(fingerprints):
                self.dispatcher.hear_quarantined(list(fingerprints), now)
            case Reconfigure(endpoint):
                self._take_runners(endpoint)
                reply.set(None)
            case _:
                raise TypeError(f"{self.name} got {message!r}")

    def _carry_out(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            reply = self._waiting.pop(decision.work_id, None)
            match decision:
                case Start(work_id, runner):
                    self._start_work(work_id, runner, reply)
                case Refuse(_, refusal) if reply is not None:
                    reply.set(refusal)

    def _start_work(self, work_id: str, runner: str, reply: Reply | None) -> None:
        if reply is not None and runner in self._runners:
            reply.set(Placed(self._runners[runner]))
            return
        # Nobody waits any more since the caller went, or the runner was removed a
        # moment ago: the place is given back, so that it isn't lost for good.
        kind = EndedKind.CANCELLED
        if reply is not None:
            self._waiting[work_id] = reply
            kind = EndedKind.REFUSED
        ended = Ended(kind)
        self._carry_out(
            self.dispatcher.finished(work_id, runner, ended, time.monotonic())
        )

    def _take_runners(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self._runners = {runner.name: runner for runner in endpoint.runners}
        self.dispatcher.set_runners(endpoint.runners, time.monotonic())
        for name in set(self._pollers) - set(self._runners):
            self._pollers.pop(name).cancel()
        for name in set(self._runners) - set(self._pollers):
            self._pollers[name] = anyio.CancelScope()
            self._group.start_soon(self._poll, name, self._pollers[name])

    async def _poll(self, name: str, scope: anyio.CancelScope) -> None:
        with scope:
            while True:
                runner = self._runners[name]
                self._hear(runner, await self.client.load(runner.address))
                # Spread, so that a fleet doesn't ask every runner at one moment.
                await anyio.sleep(POLL_SECONDS * random.uniform(0.75, 1.25))

    def _hear(self, runner: Runner, news: LoadReport | Unavailable) -> None:
        now = time.monotonic()
        if not isinstance(news, LoadReport):
            self.dispatcher.unreachable(runner.name, now)
            return
        # The report tells Unix time by the runner's clock; the dispatcher lives by this
        # process's monotonic one. Mixed, each report would seem to be from now, and
        # hide what was sent since it was true.
        age = max(0.0, time.time() - news.as_of)
        news = attrs.evolve(news, as_of=now - age)
        self.dispatcher.report(runner.name, news, now)

    async def place(self, work: Work) -> Placed | Refusal:
        """Wait until the work may start, or is refused."""
        return await self.ask(Place(work))
