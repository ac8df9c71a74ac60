"""The client of the platform's store, tested with a stand-in server."""

import contextlib
import threading

import anyio
import attrs
import pytest

from ..outcomes import Unavailable, Unknown
from ..platform.decoding import DecodingError, decode_configuration, decode_runner
from ..platform.encoding import encode_configuration, encode_runner
from ..platform.pages import parse_page
from ..platform.store import PlatformStore
from ..relay.holdings import Holdings
from ..relay.members import MEMBER_KIND, Membership
from ..relay.models import Account, Member, RetryPolicy, RunnerState
from ..relay.peers import PeerClient
from ..relay.reservations import Reservation, Shortage
from ..relay.runners import RunnerTable
from ..relay.stores import Changes, Conflict, HistoryGone, Listing, Missing, Written
from ..relay.watchers import RunnerWatcher
from ..servers import HttpServer, ServerLimits
from ..standins.objects import ObjectStore
from .relays_in_memory import make_configuration, make_route, make_runner

pytestmark = pytest.mark.anyio

RUNNER = {
    "service": "e",
    "address": "10.0.0.1:80",
    "zone": "dc",
    "slots": 8,
    "state": "ready",
    "seq": 1,
}


@contextlib.asynccontextmanager
async def run_store():
    objects = ObjectStore()
    async with anyio.create_task_group() as group:
        server = HttpServer(objects.app, "127.0.0.1:0", ServerLimits())
        await server.start(group)
        client = PlatformStore(server.address)
        yield objects, client
        await client.close()
        await server.close(0.1)
        group.cancel_scope.cancel()


async def test_write_requires_current_revision():
    async with run_store() as (objects, client):
        written = await client.create("k", "a", {"n": 1})
        assert isinstance(written, Written)
        assert isinstance(await client.create("k", "a", {"n": 2}), Conflict)
        again = await client.replace("k", "a", {"n": 3}, written.revision)
        assert isinstance(again, Written)
        outdated = await client.replace("k", "a", {"n": 4}, written.revision)
        assert isinstance(outdated, Conflict)
        assert outdated.stored.spec == {"n": 3}
        assert isinstance(await client.replace("k", "b", {}, 1), Missing)


async def test_lost_answer_is_unknown_and_refused_write_is_unavailable():
    async with run_store() as (objects, client):
        objects.misbehaviour.lose_answers = 1
        assert isinstance(await client.create("k", "a", {}), Unknown)
        objects.misbehaviour.refuse = 1
        assert isinstance(await client.create("k", "b", {}), Unavailable)
        objects.misbehaviour.away = True
        assert isinstance(await client.create("k", "c", {}), Unavailable)
        assert isinstance(await client.list_kind("k"), Unavailable)


async def test_list_of_several_pages_is_read_completely():
    async with run_store() as (objects, client):
        for number in range(120):
            objects.put("k", f"n-{number:03}", number)
        listing = await client.list_kind("k")
        assert isinstance(listing, Listing)
        assert [stored.spec for stored in listing.objects] == list(range(120))


async def test_watch_returns_changes_and_reports_lost_history():
    async with run_store() as (objects, client):
        start = objects.revision
        objects.put("k", "a", 1)
        objects.remove("k", "a")
        seen = await client.watch_kind("k", start, 0.1)
        assert isinstance(seen, Changes)
        assert [change.removed for change in seen.changes] == [False, True]
        quiet = await client.watch_kind("k", seen.revision, 0.1)
        assert quiet == Changes((), seen.revision)
        objects.put("k", "b", 1)
        objects.compact()
        assert isinstance(await client.watch_kind("k", start, 0.1), HistoryGone)


async def test_runner_list_recovers_from_outage_and_lost_history():
    """During a store outage one runner leaves, another is added, and the history of
    these changes is dropped. Requests would be sent to the runner that has left."""
    async with run_store() as (objects, client):
        table = RunnerTable(grace_seconds=1.9)
        watcher = RunnerWatcher(client, "servers", 0.2, decode_runner, table)
        objects.put("servers", "i-1", RUNNER)
        async with anyio.create_task_group() as group:
            await watcher.start(group)
            await wait_until(
                lambda: {one.name for one in table.list_incarnations()} == {"i-1"}
            )
            objects.misbehaviour.away = True
            objects.remove("servers", "i-1")
            objects.put("servers", "i-2", RUNNER)
            objects.compact()
            await anyio.sleep(0.3)
            objects.misbehaviour.away = False
            await wait_until(lambda: listed(table) == ["i-2"])
            objects.put("servers", "i-2", {**RUNNER, "state": "draining"})
            await wait_until(lambda: listed(table) == [])
            await watcher.close()


async def test_tokens_are_granted_once_despite_lost_answers():
    """The answers to some writes are lost. A relay that counted the tokens of each
    attempt would hold them twice."""
    configuration = make_configuration(make_route(RetryPolicy.SAFE), prepaid=1000)
    account = Account(name="farm", keys=(), prepaid=1000)
    async with run_store() as (objects, client):
        objects.misbehaviour.lose_answers = 3
        membership = Membership(client, Member("h", "h/1", "", "dc"))
        holdings = Holdings(client, PeerClient(), membership, lambda: configuration)
        async with anyio.create_task_group() as group:
            await holdings.start(group)
            await membership.start(group)
            got = []
            for _ in range(30):
                found = await holdings.reserve(account, 100)
                if isinstance(found, Reservation):
                    found.settle(100)
                    got.append(found)
                await anyio.sleep(0.02)
            assert 0 < len(got) <= 10
            last = await holdings.reserve(account, 100)
            assert isinstance(last, Shortage), (len(got), holdings.describe(account))
            assert objects.read(MEMBER_KIND, "h")["holder"] == "h/1"
            await membership.close()
            await holdings.close()
            await holdings.release()
            await membership.leave()
        spec = objects.read("token-ledgers", "farm")
        assert spec["used"] == 100 * len(got)
        assert spec["grants"] == {}
        assert objects.read(MEMBER_KIND, "h") is None


def listed(table):
    return [view.runner.name for view in table.list_views("e", float("inf"))]


async def wait_until(condition):
    with anyio.fail_after(5):
        while not condition():
            await anyio.sleep(0.01)


def test_a_configuration_is_decoded():
    found = decode_configuration(
        {
            "version": 7,
            "routes": [
                {
                    "name": "r1",
                    "host": "A.example",
                    "pathPrefix": "/x/",
                    "kind": "streaming",
                    "timeoutMs": 5000,
                    "latencyGoalMs": 500,
                    "priority": 0,
                    "trafficSplit": [
                        {"service": "s1", "weight": 90},
                        {"service": "s2", "weight": 10},
                    ],
                    "maxAttempts": 2,
                    "public": False,
                    "resumable": True,
                    "gapAimMs": 250,
                },
                {
                    "name": "r2",
                    "host": "a.example",
                    "pathPrefix": "/y/",
                    "kind": "never heard of",
                    "timeoutMs": 100,
                    "service": "s2",
                },
            ],
            "services": [
                {"name": "s1", "maxConns": 610, "engine": {"stride": 4}},
                {"name": "s2"},
            ],
            "limits": {"maxBodyBytes": 10, "idleTimeoutMs": 15000},
            "tenants": [{"name": "t", "apiKeys": ["k"], "prepaid": 5}],
        }
    )
    first, second = found.routes
    assert first.repeatable and first.host == "a.example"
    assert [share.weight for share in first.shares] == [90, 10]
    # Requests of an unknown kind run at most once.
    assert second.retry_policy is RetryPolicy.ONCE
    assert found.endpoints["s1"].tokens_per_event == 4
    assert found.accounts["t"].prepaid == 5
    assert found.limits.idle_seconds == 15.0


def test_a_configuration_without_accounts_needs_no_keys():
    found = decode_configuration({"version": 1, "routes": [], "services": []})
    assert found.accounts is None


@pytest.mark.parametrize("spec", [None, {}, [], {"version": 1, "routes": [{}]}])
def test_invalid_configuration_raises_decoding_error(spec):
    with pytest.raises(DecodingError):
        decode_configuration(spec)


def test_encoded_objects_decode_to_the_same_values():
    original = make_configuration(make_route(RetryPolicy.STREAM), prepaid=5)
    assert decode_configuration(encode_configuration(original)) == original
    keyless = attrs.evolve(original, accounts=None)
    assert decode_configuration(encode_configuration(keyless)) == keyless
    runner = make_runner("i-1")
    assert decode_runner("i-1", encode_runner(runner)) == runner


def test_runner_state_is_ready_or_leaving():
    assert decode_runner("i", RUNNER).state is RunnerState.READY
    leaving = decode_runner("i", {**RUNNER, "state": "draining"})
    assert leaving.state is RunnerState.LEAVING
    for spec in ({**RUNNER, "state": "x"}, {"service": "e"}):
        with pytest.raises(DecodingError):
            decode_runner("i", spec)


async def test_peek_returns_one_object_or_missing():
    async with run_store() as (objects, client):
        objects.put("things", "a", {"n": 1})
        found = await client.peek("things", "a")
        assert (found.name, found.spec) == ("a", {"n": 1})
        assert await client.peek("things", "b") == Missing()


@pytest.mark.parametrize("item", [7, {}, {"metadata": {"name": 7, "revision": 1}}])
async def test_object_without_name_is_skipped(item, monkeypatch):
    """If such an object were an error, it would end the task that watches the kind, or
    make the store count as unavailable for as long as the object exists."""
    valid = {"metadata": {"name": "a", "revision": 5}, "spec": 1}
    async with run_store() as (_, client):
        pages = [
            {"entries": [valid, item], "asOf": 9},
            {"events": [{"object": item}, {"object": valid}], "asOf": 9},
            {"entries": [item], "asOf": 9, "morePages": True},
        ]

        async def read(*_):
            return pages.pop(0)

        monkeypatch.setattr(client, "_read", read)
        assert [one.name for one in (await client.list_kind("k")).objects] == ["a"]
        changes = (await client.watch_kind("k", 1, 0.1)).changes
        assert [change.stored.name for change in changes] == ["a"]
        assert isinstance(await client.list_kind("k"), Unavailable)


async def test_large_page_does_not_hold_up_requests(monkeypatch):
    """Guards against requests that wait while a page of a megabyte is parsed, which an
    entry of another writer may fill."""
    threads = set()

    def parse(content):
        threads.add(threading.get_ident())
        return parse_page(content)

    monkeypatch.setattr("knapweedrail.platform.store.parse_page", parse)
    async with run_store() as (objects, client):
        objects.put("k", "a", {"x": "y" * 900_000})
        listing = await client.list_kind("k")
    assert [one.name for one in listing.objects] == ["a"]
    assert threads and threading.get_ident() not in threads
