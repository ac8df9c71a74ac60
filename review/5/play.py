"""A client states the largest whole number as the most tokens that it wants."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from runners import (  # noqa: E402
    KEY,
    OTHER_KEY,
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

RELAYS = 3
CLIENTS = 6
EVENTS = 73
EVENT_SECONDS = 0.03
PREPAID = 10_000_000
UNLIMITED = 2**63 - 1
"""What a client in many languages writes for "no limit"."""

TOO_MANY = 1_000_000_000
"""More than is prepaid, but a number of everyday size."""

ASKS = 12
QUIET_SECONDS = 4.0
SECONDS = 25.0
MOST_CLOSED = 3
"""Connections that the rule lets a machine close without an answer."""


def make_headers(identity: str, key: str, most: int) -> dict[str, str]:
    """Return the headers of a client's request."""
    return {
        "Host": ROUTE_HOST,
        "Knapweedrail-Request-Id": identity,
        "Knapweedrail-Key": key,
        "Knapweedrail-Deadline-Ms": "15000",
        "Knapweedrail-Model": "m",
        "Knapweedrail-Token-Usage": f"826,{most}",
        "Knapweedrail-Prompt-Prefix": f"5c1e07a2:198,{sum(identity.encode()):08x}:628",
    }


async def use_streams(
    relay: Relay, name: str, until: float, record: Record
) -> list[str]:
    """Get streams one after another on a kept connection.

    Returns:
        The requests whose connection was closed without a whole answer.
    """
    loop = asyncio.get_running_loop()
    closed = []
    writer: asyncio.StreamWriter | None = None
    for number in range(1000):
        if loop.time() >= until:
            break
        identity = f"{name}-{number:03}"
        headers = make_headers(identity, OTHER_KEY, 4 * EVENTS)
        got = Answer()
        try:
            if writer is None:
                reader, writer = await asyncio.open_connection(HOST, relay.front)
            writer.write(make_request("POST", "/field-ask/1", headers, b"text"))
            await read_answer(reader, got)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        if writer is None:
            await asyncio.sleep(0.2)
            continue
        events = got.body.count(b"id: ")
        record.write(
            f"{relay.name}: {identity} got {got.status}, whole: {got.complete}, "
            f"{events} events"
        )
        if not got.complete:
            closed.append(identity)
            writer.close()
            writer = None
    if writer is not None:
        writer.close()
    return closed


async def ask_for_too_much(relays: list[Relay], most: int, record: Record) -> None:
    """Ask some times at each relay for more than is prepaid, as fast as answered."""
    for relay in relays:
        for number in range(ASKS):
            identity = f"too-much-{relay.name}-{number}"
            got = Answer()
            try:
                async with asyncio.timeout(5):
                    reader, writer = await asyncio.open_connection(HOST, relay.front)
                    headers = make_headers(identity, KEY, most)
                    writer.write(make_request("POST", "/field-ask/1", headers, b"text"))
                    with contextlib.suppress(asyncio.IncompleteReadError):
                        await read_answer(reader, got)
                    writer.close()
            except (OSError, TimeoutError) as error:
                record.write(f"{identity}: {error!r}")
                break
            record.write(f"{identity} got {got.status}, whole: {got.complete}")
        await asyncio.sleep(1.5)


async def play(record: Record, disturb: bool) -> bool:
    """Let one client ask for too much while others get streams."""
    answer = make_stream(EVENTS, EVENT_SECONDS)
    runners = [Runner(f"i-{n}", "plan-llm", "zone-a", answer) for n in (1, 2, 3)]
    route = make_route(
        "field-ask",
        "streaming",
        "plan-llm",
        15_000,
        gapAimMs=250,
        maxAttempts=1,
        sticky=True,
    )
    async with (
        open_stage(RELAYS) as (store, relays),
        contextlib.AsyncExitStack() as stack,
    ):
        await store.put("config", "main", make_configuration([route], PREPAID))
        for runner in runners:
            await stack.enter_async_context(serve(runner.handle, runner.port))
            await store.put("servers", runner.name, runner.make_entry())
        await start_all(relays)
        until = asyncio.get_running_loop().time() + SECONDS
        using = [
            asyncio.create_task(
                use_streams(relay, f"stream-{relay.name}-{n}", until, record)
            )
            for relay in relays
            for n in range(CLIENTS)
        ]
        await asyncio.sleep(QUIET_SECONDS)
        await ask_for_too_much(relays, UNLIMITED if disturb else TOO_MANY, record)
        closed = sorted(sum(await asyncio.gather(*using), []))
        ended = [
            r.name for r in relays if r.process and r.process.returncode is not None
        ]
        for relay in relays:
            lines = relay.read_log().splitlines()
            if relay.name in ended and lines:
                record.write(f"{relay.name} ended by itself; its last words:")
                record.write(next((x for x in reversed(lines) if "Error" in x), ""))
    ran = {run.identity for runner in runners for run in runner.runs}
    lost = [identity for identity in closed if identity in ran]
    record.write(f"passed on and closed without a whole answer: {lost}")
    record.write(f"{len(lost)} requests lost; ended by themselves: {ended}")
    return len(lost) <= MOST_CLOSED


if __name__ == "__main__":
    run_case(play)
