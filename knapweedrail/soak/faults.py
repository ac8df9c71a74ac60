"""What is done to a fleet, step by step, from outside its processes."""

from __future__ import annotations

import signal
import time
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc

from ..relay.models import RunnerState
from ..standins.proxy import ANYONE, PASSING, Fault, Mode, Route
from .records import Disturbance, History
from .schedules import Step
from .worlds import RelayHost, RunnerHost, World

RESTART_SECONDS = 0.3
"""Pause before an ended process is started again."""

LEAVE_SECONDS = 3.5
"""Time after which a runner that leaves is gone; longer than the relays' bound."""

SLOW_SECONDS = 0.2
"""Delay of each piece of data from and to a slow runner."""

LOST_WRITES = 3
REFUSED_CALLS = 20
"""Writes whose answer is lost, and calls that are refused, in one step."""

TOP_UP = 2000
"""Tokens by which a change of the configuration raises each budget."""

STOP_WAIT_SECONDS = 9.0
"""Longest wait for a stopping process; then it is killed, as its platform would."""


class Faults:
    """Carries out steps.

    Args:
        world: The fleet.
        history: Where disturbances are noted.
    """

    def __init__(self, world: World, history: History) -> None:
        self._world = world
        self._history = history
        self._actions: dict[str, Callable[[Step], Awaitable[str]]] = {
            "store away": self._turn_store_away,
            "store loses": self._lose_answers,
            "store refuses": self._refuse_calls,
            "store forgets": self._forget,
            "kill": self._kill,
            "pause": self._pause,
            "stop": self._stop,
            "cut from store": self._cut_from_store,
            "silence to store": self._silence_to_store,
            "leave": self._leave,
            "crash": self._crash,
            "restart runner": self._restart_runner,
            "reset runner": self._reset_runner,
            "silence runner": self._silence_runner,
            "slow runner": self._slow_runner,
            "configure": self._configure,
            "kill all": self._kill_all,
        }

    async def run(self, steps: list[Step]) -> None:
        """Carry out all steps at their times, and wait until they are over."""
        began_at = time.monotonic()
        async with anyio.create_task_group() as group:
            for step in steps:
                await anyio.sleep(max(0.0, began_at + step.at - time.monotonic()))
                group.start_soon(self._carry_out, step)

    async def _carry_out(self, step: Step) -> None:
        began_at = time.monotonic()
        target = await self._actions[step.kind](step)
        disturbance = Disturbance(step.kind, target, began_at, time.monotonic())
        self._history.disturbances.append(disturbance)

    def _pick_relay(self, step: Step) -> RelayHost:
        return self._world.relays[step.target % len(self._world.relays)]

    def _pick_runner(self, step: Step) -> RunnerHost:
        return self._world.runners[step.target % len(self._world.runners)]

    async def _turn_store_away(self, step: Step) -> str:
        self._world.store.misbehaviour.away = True
        await anyio.sleep(step.seconds)
        self._world.store.misbehaviour.away = False
        return "store"

    async def _lose_answers(self, step: Step) -> str:
        self._world.store.misbehaviour.lose_answers += LOST_WRITES
        await anyio.sleep(step.seconds)
        return "store"

    async def _refuse_calls(self, step: Step) -> str:
        self._world.store.misbehaviour.refuse += REFUSED_CALLS
        await anyio.sleep(step.seconds)
        return "store"

    async def _forget(self, step: Step) -> str:
        self._world.store.compact()
        return "store"

    async def _kill(self, step: Step) -> str:
        host = self._pick_relay(step)
        if not host.busy:
            host.busy = True
            host.process.kill()
            await anyio.sleep(RESTART_SECONDS)
            self._world.restart_relay(host)
            host.busy = False
        return host.name

    async def _kill_all(self, step: Step) -> str:
        hosts = [host for host in self._world.relays if not host.busy]
        for host in hosts:
            host.busy = True
            host.process.kill()
        await anyio.sleep(RESTART_SECONDS)
        for host in hosts:
            self._world.restart_relay(host)
            host.busy = False
        return "all"

    async def _pause(self, step: Step) -> str:
        host = self._pick_relay(step)
        if not host.busy:
            host.busy = True
            host.process.freeze()
            await anyio.sleep(step.seconds)
            host.process.resume()
            host.busy = False
        return host.name

    async def _stop(self, step: Step) -> str:
        host = self._pick_relay(step)
        if host.busy:
            return host.name
        host.busy = True
        host.process.signal(signal.SIGTERM)
        with anyio.move_on_after(STOP_WAIT_SECONDS) as scope:
            while host.process.is_running():
                await anyio.sleep(0.05)
        if scope.cancelled_caught:
            host.process.kill()
        self._history.exits.append((host.name, host.process.wait()))
        self._world.restart_relay(host)
        host.busy = False
        return host.name

    async def _disturb(self, link: Route, fault: Fault, seconds: float) -> None:
        await link.set_fault(ANYONE, fault)
        await anyio.sleep(seconds)
        await link.set_fault(ANYONE, PASSING)

    async def _cut_from_store(self, step: Step) -> str:
        host = self._pick_relay(step)
        await self._disturb(host.link, Fault(Mode.CUT), step.seconds)
        return host.name

    async def _silence_to_store(self, step: Step) -> str:
        host = self._pick_relay(step)
        mode = Mode.HOLD_UP if step.target % 2 else Mode.HOLD_DOWN
        await self._disturb(host.link, Fault(mode), step.seconds)
        return host.name

    async def _leave(self, step: Step) -> str:
        runner = self._pick_runner(step)
        await self._world.add_runner()
        self._world.list_runner(runner, RunnerState.LEAVING)
        await anyio.sleep(LEAVE_SECONDS)
        self._world.end_runner(runner)
        return runner.name

    async def _crash(self, step: Step) -> str:
        runner = self._pick_runner(step)
        self._world.end_runner(runner)
        await self._world.add_runner()
        return runner.name

    async def _restart_runner(self, step: Step) -> str:
        runner = self._pick_runner(step)
        successor = await self._world.restart_runner(runner)
        # Until then relays know of it only what it says of itself.
        await anyio.sleep(step.seconds)
        self._world.end_runner(runner)
        if successor in self._world.runners:
            self._world.list_runner(successor, RunnerState.READY)
        return runner.name

    async def _reset_runner(self, step: Step) -> str:
        runner = self._pick_runner(step)
        await runner.link.reset(ANYONE)
        return runner.name

    async def _silence_runner(self, step: Step) -> str:
        runner = self._pick_runner(step)
        await self._disturb(runner.link, Fault(Mode.HOLD), step.seconds)
        return runner.name

    async def _slow_runner(self, step: Step) -> str:
        runner = self._pick_runner(step)
        await self._disturb(runner.link, Fault(Mode.PASS, SLOW_SECONDS), step.seconds)
        return runner.name

    async def _configure(self, step: Step) -> str:
        for account in self._world.prepaid:
            self._world.prepaid[account] += TOP_UP
            self._history.prepaid[account] = self._world.prepaid[account]
        self._world.configure()
        return "store"
