"""Tests that callers resume a stream only at the version that began it."""

import contextlib
import os
import signal

import anyio
import httpx
import pytest

from ..relay.models import RetryPolicy
from ..relay.version_marks import write_versions
from ..servers import HttpServer, ServerLimits
from ..standins.objects import ObjectStore
from .relays_in_memory import (
    MemoryStore,
    ScriptedRunner,
    make_configuration,
    make_route,
)
from .test_relay_process import CONFIGURATION, RelayProcess, make_entry, wait_ready
from .versioned_runners import (
    VersionedRunner,
    find_versions,
    run_versioned_relay,
    stall,
)

pytestmark = pytest.mark.anyio

STREAM = make_route(RetryPolicy.STREAM, resumable=True, max_runners=1)
STREAMS = 12
HOSTS = {"host-1": "dc-a", "host-2": "dc-a", "host-3": "dc-b"}


def make_runners(*versions):
    return [VersionedRunner(version) for version in versions]


def make_resumption(number):
    """Return the headers of a caller's second attempt at a stream."""
    return {
        "knapweedrail_request_id": f"again-{number}",
        "last_event_id": "2",
        "resumes": f"id-{number}",
    }


async def test_caller_resumes_at_the_version_that_began_its_stream():
    """A caller's next attempt at the same host reaches a runner of any version."""
    runners = make_runners("v1", "v1", "v2", "v2", "v3")
    async with run_versioned_relay(make_configuration(STREAM), runners) as relay:
        for number in range(STREAMS):
            first = await relay.call(knapweedrail_request_id=f"id-{number}")
            second = await relay.call(**make_resumption(number))
            assert not first.complete and second.complete
            assert find_versions(first.body) == find_versions(second.body)


@pytest.mark.parametrize("names_attempt", [False, True])
async def test_stream_that_nobody_knows_does_not_go_on_among_versions(names_attempt):
    """A host that doesn't know what began a stream guesses among two versions."""
    runners = make_runners("v1", "v2")
    async with run_versioned_relay(make_configuration(STREAM), runners) as relay:
        headers = make_resumption(0)
        if not names_attempt:
            del headers["resumes"]
        answer = await relay.call(**headers)
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert b"not-resumable" in answer.body


@pytest.mark.parametrize("names_attempt", [False, True])
async def test_stream_that_nobody_knows_goes_on_at_the_only_version(names_attempt):
    """A host that has just started refuses what it doesn't remember itself."""
    store = MemoryStore()
    await write_versions(store, "e", {"v1"}, complete=True)
    configuration = make_configuration(STREAM)
    runners = make_runners("v1", "v1")
    async with run_versioned_relay(configuration, runners, store=store) as relay:
        headers = make_resumption(0)
        if not names_attempt:
            del headers["resumes"]
        answer = await relay.call(**headers)
    assert answer.complete and find_versions(answer.body) == {"v1"}


async def test_version_without_a_word_of_the_store_is_not_the_only_one():
    """Guards against a stream of two versions after a loss of all hosts, during which
    the only version was replaced. That the store names none is no evidence."""
    runners = make_runners("v2", "v2")
    async with run_versioned_relay(make_configuration(STREAM), runners) as relay:
        answer = await relay.call(**make_resumption(0))
    assert answer.status == 503
    assert b"not-resumable" in answer.body


async def test_version_that_only_the_store_remembers_is_not_ruled_out():
    """After a loss of all hosts nobody knows that another version has just ended."""
    store = MemoryStore()
    await write_versions(store, "e", {"v1", "v2"}, complete=True)
    configuration = make_configuration(STREAM)
    runners = make_runners("v2", "v2")
    async with run_versioned_relay(configuration, runners, store=store) as relay:
        answer = await relay.call(**make_resumption(0))
    assert answer.status == 503


async def test_stream_of_a_version_that_is_gone_is_refused_at_once():
    """A caller waits for a version that no runner has any more, or gets another's."""
    runners = make_runners("v1", "v2")
    async with run_versioned_relay(make_configuration(STREAM), runners) as relay:
        first = await relay.call(knapweedrail_request_id="id-0")
        (version,) = find_versions(first.body)
        for runner in relay.table.list_views("e", 0.0):
            if runner.runner.version == version:
                relay.table.remove_runner(runner.runner.name, float("-inf"))
        with anyio.fail_after(1):
            answer = await relay.call(**make_resumption(0))
    assert answer.status == 503
    assert version.encode() in answer.body


@contextlib.asynccontextmanager
async def run_fleet(folder, runners, unlisted=""):
    """Run a store, runners of several versions and one relay process for each host.

    Yields a function that lists the runners of all versions but one, too.
    """
    objects = ObjectStore()
    route = {**CONFIGURATION["routes"][1], "resumable": True, "maxAttempts": 1}
    async with anyio.create_task_group() as group:
        server = HttpServer(objects.app, "127.0.0.1:0", ServerLimits())
        await server.start(group)
        objects.put("config", "main", {**CONFIGURATION, "routes": [route]})
        entries = {}
        for number, runner in enumerate(runners):
            script = ScriptedRunner(runner.respond)
            await script.serve(group)
            entry = make_entry(address=script.address, version=runner.version)
            entries[f"i-{number}"] = entry

        def list_runners(unlisted):
            for name, entry in entries.items():
                if entry["version"] == unlisted:
                    objects.remove("servers", name)
                else:
                    objects.put("servers", name, entry)

        list_runners(unlisted)
        relays = {}
        try:
            for host, data_centre in HOSTS.items():
                changes = {"host": host, "data_centre": data_centre}
                (folder / host).mkdir()
                relays[host] = RelayProcess(folder / host, server.address, changes)
            async with httpx.AsyncClient(timeout=15) as client:
                for relay in relays.values():
                    await wait_ready(client, relay)
                    await wait_for_members(relay)
                yield relays, client, list_runners
        finally:
            for relay in relays.values():
                relay.process.kill()
                relay.process.wait()
            await server.close(0.1)
            group.cancel_scope.cancel()


async def wait_for_members(relay):
    """Wait until a relay has settled and knows all others, some of them later."""

    def knows_all():
        listed = [
            line
            for line in relay.read_log()
            if line["message_type"] == "511 relays_listed"
        ]
        settled = any(line.get("settled") for line in listed)
        return settled and listed[-1]["relays"] == len(HOSTS)

    with anyio.fail_after(20):
        while not knows_all():
            await anyio.sleep(0.1)


async def receive_events(client, relay, headers):
    """Return what a caller receives of one attempt, also if it is broken off."""
    received = b""
    base = {"host": "h.example", "knapweedrail-key": "k"}
    base |= {"knapweedrail-deadline-ms": "9000"}
    with contextlib.suppress(httpx.HTTPError):
        async with client.stream(
            "POST", f"{relay.url}/s/x", headers=base | headers
        ) as answer:
            async for part in answer.aiter_bytes():
                received += part
    return received


def make_caller_headers(headers):
    """Return headers as a caller sends them."""
    return {name.replace("_", "-"): value for name, value in headers.items()}


async def test_streams_join_no_versions_after_all_hosts_are_killed(tmp_path):
    """Guards against a stream that goes on at another version, as all hosts were killed
    and its own version was replaced before they were back."""
    runners = [VersionedRunner(version, stall) for version in ("v1", "v1", "v2", "v2")]
    first, second = {}, {}
    async with run_fleet(tmp_path, runners, "v2") as (relays, client, list_runners):

        async def begin(number):
            headers = {"knapweedrail-request-id": f"id-{number}"}
            first[number] = await receive_events(client, relays["host-1"], headers)

        async with anyio.create_task_group() as group:
            for number in range(STREAMS):
                group.start_soon(begin, number)
            await anyio.sleep(1.0)
            for relay in relays.values():
                os.kill(relay.process.pid, signal.SIGKILL)
        list_runners(unlisted="v1")
        for relay in relays.values():
            relay.process.wait()
            relay.restart()
        for relay in relays.values():
            await wait_ready(client, relay)
        for number in range(STREAMS):
            relay = relays[f"host-{1 + number % 3}"]
            headers = make_caller_headers(make_resumption(number))
            second[number] = await receive_events(client, relay, headers)
    assert [find_versions(body) for body in first.values()] == [{"v1"}] * STREAMS
    assert [find_versions(body) for body in second.values()] == [set()] * STREAMS
    assert all(b"not-resumable" in body for body in second.values())


async def test_streams_of_a_killed_host_go_on_at_their_versions(tmp_path):
    """What only the killed host knew of its streams is lost with it."""
    versions = ["v1", "v1", "v2", "v2"]
    runners = [VersionedRunner(version, stall) for version in versions]
    first, second = {}, {}
    async with run_fleet(tmp_path, runners) as (relays, client, _):

        async def begin(number):
            headers = {"knapweedrail-request-id": f"id-{number}"}
            first[number] = await receive_events(client, relays["host-1"], headers)

        async def resume(number):
            relay = relays[f"host-{2 + number % 2}"]
            headers = make_caller_headers(make_resumption(number))
            second[number] = await receive_events(client, relay, headers)

        async with anyio.create_task_group() as group:
            for number in range(STREAMS):
                group.start_soon(begin, number)
            await anyio.sleep(1.0)
            os.kill(relays["host-1"].process.pid, signal.SIGKILL)
        async with anyio.create_task_group() as group:
            for number in range(STREAMS):
                group.start_soon(resume, number)
    began = {number: find_versions(body) for number, body in first.items()}
    assert {frozenset(found) for found in began.values()} == {
        frozenset({"v1"}),
        frozenset({"v2"}),
    }
    assert {n: find_versions(body) for n, body in second.items()} == began


async def test_callers_headers_do_not_hide_those_of_runners():
    """Callers that send many unknown headers use up the names that are logged."""
    runners = make_runners("v1")
    async with run_versioned_relay(make_configuration(STREAM), runners) as relay:
        await relay.call(**{f"x_{number}": "1" for number in range(60)})
        assert relay.gateway._services.unknown_headers._names == set()
