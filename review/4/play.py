"""Some machines' processes are killed together; the others are left alone."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from runners import (  # noqa: E402
    KEY,
    ROUTE_HOST,
    Runner,
    make_configuration,
    make_route,
    make_stream,
)
from stage import (  # noqa: E402
    HOST,
    Answer,
    Record,
    Relay,
    make_request,
    open_stage,
    read_answer,
    run_case,
    serve,
    start_all,
)

RELAYS = 9
ZONES = ("zone-a", "zone-b", "zone-c")
KILLED = 5
"""0.55 of the machines, the site's share for herd_kill."""

GAP_SECONDS = 0.001
HERDS = 12
CLIENTS = 8
EVENTS = 13
EVENT_SECONDS = 0.03
RESTART_SECONDS = 0.5
CALM_SECONDS = 3.7
"""Pause before the next kills; all machines are in touch by then."""

MOST_CLOSED = 3
"""Connections that the rule lets a machine close without an answer."""


class Client:
    """Gets streams from one machine, one after another on a kept connection."""

    def __init__(self, relay: Relay, number: int) -> None:
        self.relay = relay
        self._name = f"{relay.name}-{number}"
        self.cut: list[tuple[float, str]] = []
        self.whole = 0

    async def run(self) -> None:
        """Ask until cancelled."""
        number = 0
        while True:
            try:
                reader, writer = await asyncio.open_connection(HOST, self.relay.front)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            try:
                while True:
                    number += 1
                    identity = f"{self._name}-{number:05}"
                    if not await self._ask(reader, writer, identity):
                        self.cut.append((time.monotonic(), identity))
                        break
            finally:
                writer.close()

    async def _ask(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        identity: str,
    ) -> bool:
        headers = {
            "Host": ROUTE_HOST,
            "Knapweedrail-Request-Id": identity,
            "Knapweedrail-Key": KEY,
            "Knapweedrail-Deadline-Ms": "6000",
            "Knapweedrail-Model": "m",
            "Knapweedrail-Token-Usage": f"1200,{4 * EVENTS}",
            "Knapweedrail-Prompt-Prefix": f"5c1e07a2:800,{identity[-5:]}:400",
        }
        got = Answer()
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            writer.write(make_request("POST", "/sweep-plan/1", headers, b"text"))
            await read_answer(reader, got)
        self.whole += got.complete
        return got.complete


def order_by_rank(relays: list[Relay]) -> list[Relay]:
    """Return the relays in the order in which others subscribe to their updates."""

    def rank(relay: Relay) -> int:
        name = f"store-news/{relay.name}".encode()
        return int.from_bytes(hashlib.blake2b(name, digest_size=8).digest(), "big")

    return sorted(relays, key=rank)


def has_ended(relay: Relay) -> bool:
    """Return whether a machine's process has ended."""
    return relay.process is not None and relay.process.returncode is not None


async def kill_together(killed: list[Relay]) -> None:
    """Kill processes at the same moment, one every millisecond."""
    for relay in killed:
        assert relay.process is not None
        relay.process.send_signal(signal.SIGKILL)
        await asyncio.sleep(GAP_SECONDS)
    for relay in killed:
        assert relay.process is not None
        await relay.process.wait()


async def play(record: Record, disturb: bool) -> bool:
    """Kill some machines some times, and watch the others."""
    answer = make_stream(EVENTS, EVENT_SECONDS)
    runners = [Runner(f"i-{n}", "plan-llm", "zone-a", answer) for n in (1, 2, 3)]
    route = make_route(
        "sweep-plan",
        "streaming",
        "plan-llm",
        6000,
        resumable=True,
        gapAimMs=250,
        sticky=True,
    )
    lost: list[str] = []
    ended: list[str] = []
    async with (
        open_stage(RELAYS, ZONES) as (store, relays),
        contextlib.AsyncExitStack() as stack,
    ):
        await store.put("config", "main", make_configuration([route], 10**9))
        for runner in runners:
            await stack.enter_async_context(serve(runner.handle, runner.port))
            await store.put("servers", runner.name, runner.make_entry())
        await start_all(relays)
        clients = [Client(relay, n) for relay in relays for n in range(CLIENTS)]
        asking = [asyncio.create_task(client.run()) for client in clients]
        killed = order_by_rank(relays)[:KILLED] if disturb else []
        others = [relay for relay in relays if relay not in killed]
        for herd in range(HERDS):
            await asyncio.sleep(CALM_SECONDS)
            began_at = time.monotonic()
            await kill_together(killed)
            await asyncio.sleep(RESTART_SECONDS)
            record.write(f"{herd}: killed {[relay.name for relay in killed]}")
            ran = {run.identity for runner in runners for run in runner.runs}
            for relay in filter(has_ended, others):
                ended.append(relay.name)
                cut = [
                    identity
                    for client in clients
                    for at, identity in client.cut
                    if client.relay is relay and at >= began_at and identity in ran
                ]
                lost += cut
                record.write(f"{relay.name}, left alone, ended; it cut {cut}")
                lines = relay.read_log().splitlines()
                words = [x for x in lines if "Error: " in x and not x.startswith("{")]
                record.write(f"{relay.name}'s last words: {words[-1:]}")
            for relay in filter(has_ended, relays):
                await relay.start()
        for task in asking:
            task.cancel()
        whole = sum(client.whole for client in clients)
    record.write(f"{whole} streams were whole")
    record.write(
        f"{len(ended)} processes that nobody touched ended: {ended}; {len(lost)} "
        "requests that they had passed on were closed without a whole answer"
    )
    return len(lost) <= MOST_CLOSED


if __name__ == "__main__":
    run_case(play)
