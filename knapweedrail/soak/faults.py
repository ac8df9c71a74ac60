"""What is done to a fleet, step by step, from outside its processes."""

from __future__ import annotations

import contextlib
import random
import signal
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import TypeVar

import anyio
import anyio.abc
import attrs

from ..platform import names
from ..relay.models import RunnerState
from ..standins.proxy import ANYONE, PASSING, Fault, Mode, Route
from .crashers import CrashingCaller
from .records import (
    EVERYONE,
    REBIRTH,
    SPOILT,
    STOP,
    STOP_SECONDS,
    Disturbance,
    History,
)
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

STOP_WAIT_SECONDS = STOP_SECONDS + 1.0
"""Longest wait for a stopping process; then it is killed, as its platform would. The
second is for a busy machine."""

MOST_TURN_SECONDS = 2.0
"""Longest time from one host's stop to the next one's; a stop takes longer."""

SERIES_SECONDS = 12.0
"""Longest time from the first stop to the last one's begin, however many there are."""

LAST_WORD_SECONDS = 0.3
"""Time in which relays hear that a runner leaves before it crashes all the same."""

CUT, LEAVES_FIRST, LATE_WORD = 1, 2, 4
"""Parts of a variant: what comes with a runner's next life under its name."""

MOST_FOREIGN = 8
"""Entries of another writer that one step brings."""

SPOILT_SECONDS = 5.0
"""How long a runner's entry stays spoilt; longer than relays may take to heed it."""

INTERPRETER_SECONDS = 2.0
"""Longest start of an interpreter on a busy machine."""

POLL_SECONDS = 0.05

Busy = TypeVar("Busy", RelayHost, RunnerHost)


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
            "store silent": self._silence_store,
            "store loses": self._lose_answers,
            "store refuses": self._refuse_calls,
            "store forgets": self._forget,
            "kill": self._kill,
            "pause": self._pause,
            "stop": self._stop,
            "stop in turn": self._stop_in_turn,
            "cut from store": self._cut_from_store,
            "silence to store": self._silence_to_store,
            "leave": self._leave,
            "crash": self._crash,
            "restart runner": self._restart_runner,
            "live again": self._live_again,
            "spoil entry": self._spoil_entry,
            "foreign entries": self._add_foreign_entries,
            "reset runner": self._reset_runner,
            "silence runner": self._silence_runner,
            "slow runner": self._slow_runner,
            "configure": self._configure,
            "kill all": self._kill_all,
            "crashing requests": self._send_crashing,
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
        if target:  # Steps without one have noted what they did, when they did it.
            self._note(step.kind, target, began_at)

    def _note(self, kind: str, target: str, began_at: float) -> None:
        disturbance = Disturbance(kind, target, began_at, time.monotonic())
        self._history.disturbances.append(disturbance)

    def _pick_relay(self, step: Step) -> RelayHost:
        return self._world.relays[step.target % len(self._world.relays)]

    def _pick_runner(self, step: Step) -> RunnerHost:
        return self._world.runners[step.target % len(self._world.runners)]

    @contextlib.asynccontextmanager
    async def _hold(
        self, pick: Callable[[Step], Busy], step: Step
    ) -> AsyncIterator[Busy]:
        """Wait for a host whose life nobody else is changing, and keep others off.

        Without it two steps would start two processes of one name.
        """
        while (host := pick(step)).busy:
            await anyio.sleep(POLL_SECONDS)
        host.busy = True
        try:
            yield host
        finally:
            host.busy = False

    async def _turn_store_away(self, step: Step) -> str:
        self._world.store.misbehaviour.away = True
        await anyio.sleep(step.seconds)
        self._world.store.misbehaviour.away = False
        return "store"

    async def _silence_store(self, step: Step) -> str:
        """Let the store take calls and answer none, nor those that wait."""
        self._world.store.misbehaviour.silent = True
        self._world.store.lose_waiting()
        await anyio.sleep(step.seconds)
        self._world.store.misbehaviour.silent = False
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
        async with self._hold(self._pick_relay, step) as host:
            began_at = time.monotonic()
            self._history.exits += host.list_exits()
            host.process.kill()
            await anyio.sleep(RESTART_SECONDS)
            self._world.restart_relay(host)
            self._note("kill", host.name, began_at)
        return ""

    async def _kill_all(self, step: Step) -> str:
        async with anyio.create_task_group() as group:
            for number, host in enumerate(self._world.relays):
                if not host.busy:
                    group.start_soon(self._kill, attrs.evolve(step, target=number))
        return EVERYONE

    async def _pause(self, step: Step) -> str:
        async with self._hold(self._pick_relay, step) as host:
            began_at = time.monotonic()
            host.process.freeze()
            await anyio.sleep(step.seconds)
            host.process.resume()
            self._note("pause", host.name, began_at)
        return ""

    async def _stop(self, step: Step) -> str:
        async with self._hold(self._pick_relay, step) as host:
            await self._stop_host(host)
        return ""

    async def _stop_in_turn(self, step: Step) -> str:
        """Stop all relays one after the other, faster than they come back."""
        relays = self._world.relays
        pause = min(MOST_TURN_SECONDS, step.seconds, SERIES_SECONDS / len(relays))
        async with anyio.create_task_group() as group:
            for number in range(len(relays)):
                turn = attrs.evolve(step, target=step.target + number)
                group.start_soon(self._stop, turn)
                await anyio.sleep(pause)
        return EVERYONE

    async def _stop_host(self, host: RelayHost) -> None:
        # A signal that meets the interpreter's own start ends it before any of our code
        # has run, and says nothing of the relay.
        with anyio.move_on_after(INTERPRETER_SECONDS):
            while not host.process.catches(signal.SIGTERM):
                await anyio.sleep(POLL_SECONDS)
        began_at = time.monotonic()
        host.process.signal(signal.SIGTERM)
        with anyio.move_on_after(STOP_WAIT_SECONDS) as scope:
            while host.process.is_running():
                await anyio.sleep(POLL_SECONDS)
        if scope.cancelled_caught:
            host.process.kill()
        self._history.exits.append((host.name, host.process.wait()))
        self._note(STOP, host.name, began_at)
        self._world.restart_relay(host)

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
        async with self._hold(self._pick_runner, step) as runner:
            await self._world.add_runner()
            began_at = time.monotonic()
            self._world.list_runner(runner, RunnerState.LEAVING)
            await anyio.sleep(LEAVE_SECONDS)
            self._world.end_runner(runner)
            self._note("leave", runner.name, began_at)
        return ""

    async def _crash(self, step: Step) -> str:
        async with self._hold(self._pick_runner, step) as runner:
            self._world.end_runner(runner)
            await self._world.add_runner()
        return runner.name

    async def _send_crashing(self, step: Step) -> str:
        await CrashingCaller(self._world, self._history, step).run()
        return ""

    async def _restart_runner(self, step: Step) -> str:
        async with self._hold(self._pick_runner, step) as runner:
            successor = await self._world.restart_runner(runner)
            async with self._hold(lambda _: successor, step):
                # Until then relays know of it only what it says of itself.
                await anyio.sleep(step.seconds)
                self._world.end_runner(runner)
                self._world.list_runner(successor, RunnerState.READY)
        return runner.name

    async def _live_again(self, step: Step) -> str:
        """Kill a runner and start it again under its name, with or without more."""
        async with self._hold(self._pick_runner, step) as runner:
            began_at = time.monotonic()
            former = runner.started
            async with anyio.create_task_group() as group:
                if step.variant & CUT:
                    group.start_soon(self._cut_all, step.seconds)
                if step.variant & LEAVES_FIRST:
                    self._world.list_runner(runner, RunnerState.LEAVING)
                    await anyio.sleep(LAST_WORD_SECONDS)
                await self._world.revive_runner(runner)
                self._world.list_runner(runner, RunnerState.READY)
                self._note(REBIRTH, runner.name, began_at)
            if step.variant & LATE_WORD:
                # What the life before has written arrives only now.
                self._world.list_runner(runner, RunnerState.LEAVING, former)
                await anyio.sleep(step.seconds)
                self._world.list_runner(runner, RunnerState.READY)
        return ""

    async def _spoil_entry(self, step: Step) -> str:
        async with self._hold(self._pick_runner, step) as runner:
            began_at = time.monotonic()
            self._world.spoil_entry(runner, random.Random(step.variant))
            await anyio.sleep(SPOILT_SECONDS)
            self._note(SPOILT, runner.name, began_at)
            self._world.list_runner(runner, RunnerState.READY)
        return ""

    async def _cut_all(self, seconds: float) -> None:
        began_at = time.monotonic()
        async with anyio.create_task_group() as group:
            for host in self._world.relays:
                group.start_soon(self._disturb, host.link, Fault(Mode.CUT), seconds)
        self._note("cut from store", EVERYONE, began_at)

    async def _add_foreign_entries(self, step: Step) -> str:
        rng = random.Random(step.variant)
        listed = [f"foreign-{step.variant}-{i}" for i in range(MOST_FOREIGN)]
        for name in listed:
            self._world.add_foreign_entry(name, rng)
        await anyio.sleep(step.seconds)
        for name in listed:
            self._world.store.remove(names.RUNNERS_KIND, name)
        return "entries"

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
        self._history.versions.append(time.monotonic())
        return "store"
