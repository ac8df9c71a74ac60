"""Requests that crash the runners that run them, and the runners that come back."""

from __future__ import annotations

import random
import time

import anyio
import anyio.abc
import httpx

from ..platform import names
from ..standins.proxy import ANYONE, Fault, Mode
from .records import (
    CRASHING_BODY,
    CRASHING_PART,
    Disturbance,
    History,
    Kind,
    Sent,
)
from .schedules import Step
from .worlds import HOST, RunnerHost, World

PAUSE_SECONDS = 0.25
"""Pause between two of the requests."""

RETURN_SECONDS = 1.0
"""Time until another runner is started in place of a crashed one."""

POLL_SECONDS = 0.05
SEEN_AFTER_SECONDS = 0.2
"""Pause between two looks for crashed runners, and the longest time from a crash, with
the answers that it breaks off, until it is seen on a busy machine."""

WAIT_SECONDS = 3.0
"""How long one of these callers waits for its answer."""

LINGER_SECONDS = 4.0
"""How long crashed runners are replaced after the last request: relays may send it on
to a second one."""

OF_PART = 1
"""Bit of a step's variant: requests share a part of their prompts, and differ in all
else; otherwise all have the same content."""

AFTER_FIRST_EVENT = 2
"""Bit of a step's variant: runners crash after the first event of a stream."""


class CrashingCaller:
    """Sends crashing requests for the time of one step.

    Args:
        world: The fleet.
        history: Where requests and crashes are noted.
        step: The step; its variant says what crashes runners.
    """

    def __init__(self, world: World, history: History, step: Step) -> None:
        self._world = world
        self._history = history
        self._step = step
        self._rng = random.Random(f"{step.at} {step.variant}")
        self._count = 0
        self._over = False

    async def run(self) -> None:
        """Send requests and replace crashed runners until the step is over."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._replace_crashed, group)
            async with (
                httpx.AsyncClient(timeout=WAIT_SECONDS) as client,
                anyio.create_task_group() as calls,
            ):
                end = time.monotonic() + self._step.seconds
                while time.monotonic() < end:
                    calls.start_soon(self._send, client)
                    await anyio.sleep(PAUSE_SECONDS)
            await anyio.sleep(LINGER_SECONDS)
            self._over = True

    async def _send(self, client: httpx.AsyncClient) -> None:
        self._count += 1
        kind = Kind.RESUMED if self._step.variant & AFTER_FIRST_EVENT else Kind.SAFE
        host = self._rng.choice(self._world.relays)
        account = min(self._world.prepaid)
        sent = Sent(
            identity=f"{self._rng.getrandbits(48):012x}-crash{self._count}",
            kind=kind,
            account=account,
            path=f"/{kind.value}/x",
            relay=host.name,
            life=host.life,
            prompt=20,
            most_output=10,
            sent_at=time.monotonic(),
            ended_at=0.0,
            status=0,
            whole=False,
            body=b"",
            left=True,
        )
        number = self._step.variant
        body, prompt = b"%s%d" % (CRASHING_BODY, number), "a0:10,a1:10"
        if number & OF_PART:
            body = b"%d" % self._count
            prompt = f"a0:5,{CRASHING_PART}{number}:5,c{self._count}:10"
        headers = {
            "host": HOST,
            names.REQUEST_ID.decode(): sent.identity,
            names.KEY.decode(): f"key-{account}",
            names.DEADLINE.decode(): str(round(1000 * WAIT_SECONDS)),
            names.TOKENS.decode(): f"{sent.prompt},{sent.most_output}",
            names.PROMPT_PREFIX.decode(): prompt,
        }
        self._history.crashing.append(sent)
        try:
            await client.post(host.url + sent.path, headers=headers, content=body)
        except httpx.HTTPError as error:
            self._history.crashing_errors.append(repr(error))

    async def _replace_crashed(self, group: anyio.abc.TaskGroup) -> None:
        while True:
            crashed = [
                runner
                for runner in self._world.runners
                if not runner.busy and not runner.process.is_running()
            ]
            if self._over and not crashed:
                return
            now = time.monotonic()
            for runner in crashed:
                runner.busy = True
                crash = Disturbance("crash", runner.name, now - SEEN_AFTER_SECONDS, now)
                self._history.disturbances.append(crash)
                group.start_soon(self._replace, runner)
            await anyio.sleep(POLL_SECONDS)

    async def _replace(self, runner: RunnerHost) -> None:
        await runner.link.set_fault(ANYONE, Fault(Mode.CUT))
        self._world.end_runner(runner)
        await anyio.sleep(RETURN_SECONDS)
        await self._world.add_runner()
