"""Tests that a request which crashes runners is soon refused by all hosts."""

import contextlib
import os
import signal
import types

import anyio
import httpx
import pytest

from ..relay.malformed import MalformedObjects
from ..relay.models import Member, RetryPolicy
from ..relay.peers import PeerClient
from ..relay.suspect_exchange import SuspectExchange
from ..relay.suspects import CRASH_LIMIT, Suspects, make_fingerprint
from ..servers import HttpServer, ServerLimits
from ..standins.objects import ObjectStore
from ..wire.relays_pb2 import SuspectsReply
from .crashing_runners import CrashingRunners, has_crashing_body, make_listing
from .relays_in_memory import (
    MemoryStore,
    make_configuration,
    make_route,
    make_runner,
    run_relay,
)
from .test_relay_process import CONFIGURATION, RelayProcess, make_entry, wait_ready

pytestmark = pytest.mark.anyio

HOSTS = 4
SAFE = make_route(RetryPolicy.SAFE, max_runners=1)
STREAM = make_route(RetryPolicy.STREAM, max_runners=1)
SETTLED_SECONDS = 0.4
"""Time in which all hosts of a small fleet hear of a crash."""

CONTACT_SECONDS = 3.0
"""Time after the last allowed crash in which every host has to hear of it."""


@contextlib.asynccontextmanager
async def run_crashing_runners(relay, count, **changes):
    """Run runners beside a relay in memory; none of them comes back."""
    runners = CrashingRunners(
        has_crashing_body,
        lambda name, address: relay.table.set_runner(make_runner(name, address)),
        **changes,
    )
    async with anyio.create_task_group() as group:
        runners.start(count, group)
        await anyio.wait_all_tasks_blocked()
        yield runners
        group.cancel_scope.cancel()


async def test_request_is_refused_though_nobody_else_uses_its_runners():
    """A crash counts only if another request finds the runner gone in time."""
    async with (
        run_relay(make_configuration(SAFE)) as relay,
        run_crashing_runners(relay, 12) as runners,
    ):
        for number in range(2 * CRASH_LIMIT):
            await relay.call(body=b"crash", knapweedrail_request_id=f"id-{number}")
            await anyio.sleep(SETTLED_SECONDS)
        assert len(runners.arrivals) == CRASH_LIMIT


async def test_stream_that_crashes_its_runner_is_not_a_success():
    """A stream's first event clears the request, though its runner crashes after it."""
    async with (
        run_relay(make_configuration(STREAM)) as relay,
        run_crashing_runners(relay, 12, sends_first=True, event_count=3) as runners,
    ):
        for number in range(3 * CRASH_LIMIT):
            await relay.call(body=b"crash", knapweedrail_request_id=f"id-{number}")
            await relay.call(body=b"sound", knapweedrail_request_id=f"no-{number}")
            await anyio.sleep(SETTLED_SECONDS)
        assert len(runners.arrivals) == CRASH_LIMIT


async def test_stream_that_ends_with_its_runner_is_not_a_success():
    """The crash of a runner that sends no chunks looks like the end of its stream."""
    changes = {"sends_first": True, "event_count": 3, "chunked": False}
    async with (
        run_relay(make_configuration(STREAM)) as relay,
        run_crashing_runners(relay, 12, **changes) as runners,
    ):
        for number in range(3 * CRASH_LIMIT):
            await relay.call(body=b"crash", knapweedrail_request_id=f"id-{number}")
            await relay.call(body=b"sound", knapweedrail_request_id=f"no-{number}")
            await anyio.sleep(SETTLED_SECONDS)
        assert len(runners.arrivals) == CRASH_LIMIT


async def test_stream_without_chunks_clears_its_request():
    """Streams that end with their connections count against their request for ever."""
    changes = {"event_count": 3, "chunked": False}
    async with (
        run_relay(make_configuration(STREAM)) as relay,
        run_crashing_runners(relay, 1, **changes),
    ):
        suspects = relay.gateway._services.suspects
        fingerprint = make_fingerprint("farm", "POST", b"/a/x", b"sound")
        for number in range(CRASH_LIMIT - 1):
            suspects.record_broken_request(f"old-{number}", fingerprint, 0.0)
            suspects.record_crash(f"old-{number}", 0.1)
        await relay.call(body=b"sound")
        await anyio.sleep(SETTLED_SECONDS)
        assert suspects.count_crashes(fingerprint) == 0


async def test_request_that_was_blocked_meanwhile_reaches_no_further_runner():
    """A request goes on to another runner after others have shown what it does."""
    route = make_route(RetryPolicy.SAFE, max_runners=4)
    async with (
        run_relay(make_configuration(route)) as relay,
        run_crashing_runners(relay, 4) as runners,
    ):
        relay.gateway._services.suspects.blocks = lambda *_: bool(runners.arrivals)
        answer = await relay.call(body=b"crash")
        assert len(runners.arrivals) == 1
        assert answer.status == 502


async def test_all_of_many_hosts_hear_of_crashes():
    """A crash is told to sixteen hosts only, and the others run the request again."""
    exchanges, all_suspects = {}, []

    class DeliveringClient(PeerClient):
        async def _call(self, member, method, request, seconds):
            await anyio.sleep(0.001)
            lines = exchanges[member.host].receive(list(request.lines), request.asks)
            return SuspectsReply(lines=lines)

    members = [Member(f"h{n}", f"h{n}/1", f"10.0.0.{n}:1", "dc") for n in range(60)]
    async with anyio.create_task_group() as group:
        for member in members:
            others = [other for other in members if other is not member]
            membership = types.SimpleNamespace(
                list_others=lambda others=others: list(others),
                member=member,
                first_listed=anyio.Event(),
            )
            suspects = Suspects()
            exchange = SuspectExchange(
                suspects,
                membership,
                DeliveringClient(),
                MemoryStore(),
                MalformedObjects(),
            )
            exchanges[member.host] = exchange
            all_suspects.append(suspects)
            await exchange.start(group)
        for number, host in enumerate(list(exchanges)[:CRASH_LIMIT]):
            suspects = all_suspects[number]
            suspects.record_broken_request(f"i-{number}", "bad", 0.0)
            exchanges[host].report(suspects.record_crash(f"i-{number}", 0.1))
        with anyio.fail_after(CONTACT_SECONDS):
            while not all(suspects.blocks("bad", 1.0) for suspects in all_suspects):
                await anyio.sleep(0.1)
        group.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def run_hosts(folder):
    """Run a store, crashing runners and one relay process on each host."""
    objects = ObjectStore()
    route = {**CONFIGURATION["routes"][0], "kind": "safe", "maxAttempts": 2}
    runners = CrashingRunners(
        has_crashing_body, **make_listing(objects, make_entry), return_seconds=0.5
    )
    async with anyio.create_task_group() as group:
        server = HttpServer(objects.app, "127.0.0.1:0", ServerLimits())
        await server.start(group)
        objects.put("config", "main", {**CONFIGURATION, "routes": [route]})
        runners.start(8, group)
        relays = []
        try:
            for number in range(HOSTS):
                changes = {"host": f"host-{number}", "data_centre": f"dc-{number % 2}"}
                (folder / f"host-{number}").mkdir()
                relay = RelayProcess(folder / f"host-{number}", server.address, changes)
                relays.append(relay)
            async with httpx.AsyncClient(timeout=15) as client:
                for relay in relays:
                    await wait_ready(client, relay)
                await anyio.sleep(3.0)  # Until the relays know each other.
                yield relays, client, runners
        finally:
            for relay in relays:
                relay.process.kill()
                relay.process.wait()
            await server.close(0.1)
            group.cancel_scope.cancel()


async def send_crashing(client, relay, number):
    """Send the crashing request once; return the status of the answer."""
    headers = {
        "host": "h.example",
        "knapweedrail-key": "k",
        "knapweedrail-request-id": f"id-{number}",
        "knapweedrail-deadline-ms": "3000",
    }
    answer = await client.post(f"{relay.url}/a/x", headers=headers, content=b"crash")
    return answer.status_code


async def crash_until_refused(client, relays):
    """Send the crashing request until every relay refuses it."""
    for number in range(8 * CRASH_LIMIT):
        await send_crashing(client, relays[number % len(relays)], number)
        await anyio.sleep(SETTLED_SECONDS)


async def restart(client, relays):
    """Kill some relays at once and start them again."""
    for relay in relays:
        os.kill(relay.process.pid, signal.SIGKILL)
        relay.process.wait()
    for relay in relays:
        relay.restart()
    for relay in relays:
        await wait_ready(client, relay)
        with anyio.move_on_after(CONTACT_SECONDS):
            while not has_loaded(relay):
                await anyio.sleep(0.02)
        assert has_loaded(relay), relay.read_log()


def has_loaded(relay):
    """Return whether the present process of a relay has asked what others know."""
    kinds = [line["message_type"] for line in relay.read_log()]
    last_start = len(kinds) - kinds[::-1].index("101 router_started")
    return "728 suspects_loaded" in kinds[last_start:]


@pytest.mark.parametrize("restarted", [1, HOSTS])
async def test_request_stays_refused_by_hosts_that_restart(tmp_path, restarted):
    """What a host knows of a crashing request ends with its process, and the next
    process runs the request again."""
    async with run_hosts(tmp_path) as (relays, client, runners):
        await crash_until_refused(client, relays)
        runners.arrivals.clear()
        for round_number in range(2):
            await restart(client, relays[:restarted])
            for number, relay in enumerate(relays[:restarted]):
                status = await send_crashing(client, relay, f"{round_number}-{number}")
                assert status == 503, relay.read_log()
                await anyio.sleep(SETTLED_SECONDS)
        assert not runners.arrivals
