"""One entry by another writer in the list of servers ends every relay process."""

from __future__ import annotations

import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.fleet import (  # noqa: E402
    HOST,
    Fleet,
    Relay,
    is_ready,
    make_configuration,
    run_case,
)
from review.http_streams import send_request  # noqa: E402

TENANT = "huka270"
ZONES = ["split-a", "split-b", "zadar-c"]
DEPTH = 980
"""Lists in lists in one field of the entry, about two kilobytes."""

LEIDLA_BOUNDS = {
    "contact_milliseconds": 4000,
    "leaving_milliseconds": 3000,
    "configuration_milliseconds": 3000,
    "retry_reserve": 212,
}
"""Where that deployment's bounds differ from those of the base sites."""

CALM_SECONDS = 5.0
ENTRY_SECONDS = 20.0
"""How long the entry stays."""

AFTER_SECONDS = 6.0
RESTART_SECONDS = 0.5
"""Delay after which the platform starts a process that has ended."""

ENDS_PER_MACHINE = 3
MACHINES = 2
"""The rule: three ends by themselves on a tenth of the machines, two at least."""


async def keep_running(fleet: Fleet, relay: Relay) -> None:
    """Start a relay again after each end, as the platform does."""
    while True:
        code = await relay.wait()
        fleet.record.write(f"exit {relay.name} with {code}")
        await asyncio.sleep(RESTART_SECONDS)
        await relay.start()
        fleet.record.write(f"start {relay.name}")


async def send_calls(fleet: Fleet, relay: Relay) -> None:
    """Send a call that may run once at most every 100 ms."""

    async def send() -> None:
        identity = fleet.make_identity()
        headers = {
            "Host": HOST,
            "Knapweedrail-Request-Id": identity,
            "Knapweedrail-Key": f"key-{TENANT}",
            "Knapweedrail-Deadline-Ms": "3000",
        }
        found = await send_request(
            relay.front, "POST", "/unsafe/book", headers, b"slot", 3.0
        )
        ran = any(run.identity == identity for run in fleet.runs)
        fleet.record.write(
            f"sent {identity} to {relay.name}: status {found.status}, ran {ran}"
        )

    async with asyncio.TaskGroup() as group:
        while True:
            group.create_task(send())
            await asyncio.sleep(0.1)


async def play(fleet: Fleet, trouble: bool) -> bool:
    """Play the case; return whether processes ended by themselves too often."""
    store, record = fleet.store, fleet.record
    fleet.bounds |= LEIDLA_BOUNDS
    fleet.states_start = True
    tenants = {TENANT: 400_000}
    store.put("config", "main", make_configuration(7, ["gang", "booking"], tenants))
    await fleet.add_server("gang", "split-a")
    good = await fleet.add_server("booking", "split-a", 0.09)
    await fleet.add_server("booking", "split-b", 0.09)
    await fleet.start(ZONES)
    for relay in fleet.relays:
        while not await is_ready(relay):
            await asyncio.sleep(0.1)
    tasks = [asyncio.create_task(keep_running(fleet, one)) for one in fleet.relays]
    tasks += [asyncio.create_task(send_calls(fleet, one)) for one in fleet.relays]
    try:
        await asyncio.sleep(CALM_SECONDS)
        if trouble:
            entry = good.make_entry() | {"slots": None}
            nested = "[" * DEPTH + "]" * DEPTH
            text = json.dumps(entry).replace('"slots": null', f'"slots": {nested}')
            store.put_text("servers", "i-0f0e1a2b", text)
            record.write(f"entry i-0f0e1a2b by another writer, {len(text)} bytes")
        await asyncio.sleep(ENTRY_SECONDS)
        store.remove("servers", "i-0f0e1a2b")
        record.write("entry removed")
        await asyncio.sleep(AFTER_SECONDS)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    ends = {relay.name: len(relay.exits) for relay in fleet.relays}
    record.write(f"ends by themselves: {ends}")
    print(f"ends by themselves: {ends}")
    return sum(count >= ENDS_PER_MACHINE for count in ends.values()) >= MACHINES


if __name__ == "__main__":
    run_case(play, FOLDER)
