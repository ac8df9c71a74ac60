"""A relay that stops returns borrowed tokens twice if the store's answer is lost."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.fleet import (  # noqa: E402
    HOST,
    STRIDE,
    Fleet,
    Relay,
    is_ready,
    make_configuration,
    run_case,
)
from review.http_streams import send_request  # noqa: E402

LEDGERS = "token-ledgers"
TENANT = "huka270"
PREPAID = 100_000
OTHERS = {"lomi118": 400_000, "rada402": 400_000, "tesu733": 400_000}
ZONES = ["split-a", "split-b", "zadar-c"]

LARGE = (200, 96_200)
"""Prompt tokens and the most output tokens of the large request. It fits into 97 in 100
of the budget, as the rule on credit asks."""

SIZES = [(500, 100), (100, 20), (10, 4)]
"""Requests that use up what is left, the largest first."""

REFUSED_IN_A_ROW = 24


class Usage:
    """Tokens that one tenant has got: prompts that ran, and delivered events."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._prompts: dict[str, int] = {}
        self.delivered = 0

    def count_tokens(self) -> int:
        """Return input tokens, once for each request, and delivered output tokens."""
        ran = {run.identity for run in self._fleet.runs}
        prompts = sum(n for name, n in self._prompts.items() if name in ran)
        return prompts + self.delivered

    async def send(
        self, relay: Relay, usage: tuple[int, int], events: int, tenant: str = TENANT
    ) -> int:
        """Send one streaming request and return its status."""
        identity = self._fleet.make_identity()
        headers = {
            "Host": HOST,
            "Knapweedrail-Request-Id": identity,
            "Knapweedrail-Key": f"key-{tenant}",
            "Knapweedrail-Model": "m",
            "Knapweedrail-Token-Usage": f"{usage[0]},{usage[1]}",
            "Knapweedrail-Deadline-Ms": "10000",
        }
        found = await send_request(
            relay.front, "POST", f"/stream/{events}", headers, b"prompt"
        )
        count = found.body.count(b"\n\n")
        if tenant == TENANT:
            self._prompts[identity] = usage[0]
            self.delivered += STRIDE * count
        self._fleet.record.write(
            f"sent {identity} to {relay.name} for {tenant} usage {usage[0]},{usage[1]}:"
            f" status {found.status}, {count} events, complete {found.complete}"
        )
        return found.status


async def play(fleet: Fleet, trouble: bool) -> bool:
    """Play the case; return whether the tenant got more than its prepaid tokens."""
    store, record = fleet.store, fleet.record
    tenants = {TENANT: PREPAID, **OTHERS}
    store.put("config", "main", make_configuration(7, ["gang", "booking"], tenants))
    await fleet.add_server("gang", "split-a")
    await fleet.add_server("gang", "split-b")
    await fleet.start(ZONES)
    stopped, *rest = fleet.relays

    def have_all_grants() -> bool:
        ledgers = [store.read(LEDGERS, name) for name in tenants]
        return all(one and len(one["grants"]) == len(ZONES) for one in ledgers)

    await fleet.wait_for(have_all_grants, "grants of all relays", 30)
    usage = Usage(fleet)
    for name in OTHERS:
        for relay in fleet.relays:
            await usage.send(relay, (100, 40), 5, name)
    # Needs more than the ledger has, so the rest is borrowed from another relay.
    status = await usage.send(stopped, LARGE, 5)
    record.write(f"ledger {store.read(LEDGERS, TENANT)}")
    if status != 200:
        raise RuntimeError(f"the large request got {status}")

    def loses_answer(method: str, kind: str, name: str, stored: dict) -> bool:
        if store.lost or (method, kind, name) != ("PUT", LEDGERS, TENANT):
            return False
        grants = stored["spec"]["grants"]
        return not any(one.startswith(stopped.name + "/") for one in grants)

    if trouble:
        store.loses_answer = loses_answer
    began_at = asyncio.get_running_loop().time()
    record.write(f"SIGTERM {stopped.name}")
    stopped.signal(signal.SIGTERM)
    code = await stopped.wait()
    record.write(f"exit {stopped.name} with {code}")
    writes = [call for at, call, _ in store.writes if at >= began_at]
    record.write(f"writes since SIGTERM: {len(writes)}, answers lost: {store.lost}")
    record.write(f"ledger {store.read(LEDGERS, TENANT)}")
    if trouble and not store.lost:
        raise RuntimeError("no answer was lost")
    await asyncio.sleep(0.5)
    await stopped.start()
    record.write(f"start {stopped.name}")
    while not await is_ready(stopped):
        await asyncio.sleep(0.1)
    await use_up(usage, fleet)
    record.write(f"ledger {store.read(LEDGERS, TENANT)}")
    tokens = usage.count_tokens()
    record.write(f"prepaid {PREPAID}, got {tokens}, over {tokens - PREPAID}")
    print(f"prepaid {PREPAID}, got {tokens}, over {tokens - PREPAID}")
    return tokens > PREPAID


async def use_up(usage: Usage, fleet: Fleet) -> None:
    """Send requests to all relays until each size is refused again and again."""
    until = asyncio.get_running_loop().time() + 60
    for size in SIZES:
        refused = 0
        while refused < REFUSED_IN_A_ROW and asyncio.get_running_loop().time() < until:
            statuses = await asyncio.gather(
                *(usage.send(r, size, size[1] // STRIDE) for r in fleet.relays * 4)
            )
            refused = 0 if 200 in statuses else refused + len(statuses)
            if 200 not in statuses:
                await asyncio.sleep(1.0)


if __name__ == "__main__":
    run_case(play, FOLDER)
