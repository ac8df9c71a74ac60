"""How soon a relay hears what the store acknowledged, after each way to lose it."""

import contextlib
import socket
import time

import anyio
import attrs
import hypothesis
import pytest
from hypothesis import strategies

from ..platform.clients import ANSWER_SECONDS
from ..platform.relays import make_followers, make_relay
from ..platform.store import WATCH_GRACE_SECONDS, PlatformStore
from ..relay.followers import ConfigurationFollower
from ..relay.malformed import MalformedObjects
from ..relay.options import RelaySettings
from ..relay.reach import FIRST_PAUSE_SECONDS, LONGEST_PAUSE_SECONDS, StoreReach
from ..relay.stores import Change, Missing, StoredObject
from ..servers import HttpServer, ServerLimits
from ..standins.objects import ObjectStore
from ..standins.proxy import ANYONE, Fault, Mode, Route
from ..standins.sources import Sources
from . import relays_in_memory
from .relays_in_memory import MemoryStore
from .test_platform_store import RUNNER

pytestmark = pytest.mark.anyio

BOUNDS = [(3000, 2000, 2000), (4000, 3000, 3000)]
"""Milliseconds: from the end of a disturbance until bounds hold again, for a
configuration to be in force, and for a leaving runner to get no more work."""

MISSED_VERSIONS = 20
LARGE_ROUTES = 500
CHUNK_SECONDS = 0.1
"""Delay of 64 KiB, as over a link of 5 Mbit/s."""


def make_configuration(version, routes=0):
    route = {
        "host": "h.example",
        "kind": "safe",
        "timeoutMs": 4000,
        "service": "e",
        "padding": "x" * 200,
    }
    return {
        "version": version,
        "routes": [
            route | {"name": f"r-{number}", "pathPrefix": f"/{number}/"}
            for number in range(routes)
        ],
        "services": [{"name": "e"}],
    }


def decode(spec):
    if not isinstance(spec, int):
        raise ValueError("not a version")
    return attrs.evolve(relays_in_memory.make_configuration(), version=spec)


class FollowedStore:
    """A store behind a link, and a relay's followers of it."""

    def __init__(self, objects, link, settings, client, configuration, runners):
        self.objects = objects
        self.link = link
        self.settings = settings
        self.client = client
        self.configuration = configuration
        self.runners = runners
        self.version = 1

    async def lose(self, seconds):
        """Let the store take calls and answer none; those that wait are lost too."""
        self.objects.misbehaviour.silent = True
        self.objects.lose_waiting()
        await anyio.sleep(seconds)
        self.objects.misbehaviour.silent = False

    async def open_connections(self, count):
        """Let the client keep idle connections, by calls at the same time."""
        async with anyio.create_task_group() as group:
            for _ in range(count):
                group.start_soon(self.client.peek, "config", "main")

    def silence_connections(self):
        """Let all open connections go silent for good; new ones work."""
        for connection in self.link.connections:
            connection.frozen = True

    def write(self, routes=0):
        """Put a newer configuration and a leaving runner."""
        self.version += 1
        self.objects.put("config", "main", make_configuration(self.version, routes))
        self.objects.put("servers", "i-1", RUNNER | {"state": "draining"})

    def knows_all(self):
        known = self.configuration.configuration
        listed = self.runners.table.list_views("e", 0.0)
        return known is not None and known.version == self.version and not listed

    async def check_caught_up(self):
        """Check that what was written is known when the bounds hold again."""
        with anyio.fail_after(self.settings.contact_milliseconds / 1000):
            while not self.knows_all():
                await anyio.sleep(0.01)


@contextlib.asynccontextmanager
async def follow_store(contact, configuration, leaving):
    objects = ObjectStore()
    async with anyio.create_task_group() as group:
        server = HttpServer(objects.app, "127.0.0.1:0", ServerLimits())
        await server.start(group)
        link = Route("store", server.address, Sources(), group)
        await link.listen()
        settings = RelaySettings(
            host="h",
            data_centre="dc",
            caller_address="127.0.0.1:0",
            ready_address="127.0.0.1:0",
            peer_address="127.0.0.1:0",
            store_address=f"127.0.0.1:{link.port}",
            contact_milliseconds=contact,
            configuration_milliseconds=configuration,
            leaving_milliseconds=leaving,
        )
        objects.put("config", "main", make_configuration(1))
        objects.put("servers", "i-1", RUNNER)
        client = PlatformStore(settings.store_address)
        followers = make_followers(settings, client, MalformedObjects())
        for follower in followers:
            await follower.start(group)
        await anyio.sleep(0.3)
        yield FollowedStore(objects, link, settings, client, *followers)
        group.cancel_scope.cancel()


@pytest.mark.parametrize("bounds", BOUNDS)
@pytest.mark.parametrize("seconds", [0.1, 2.4, 5.2])
async def test_a_watch_lost_in_an_outage_is_replaced_in_time(bounds, seconds):
    """Guards against old configurations and runners after an outage of the store, as a
    watch that began before or in it waits for an answer that never comes."""
    async with follow_store(*bounds) as followed:
        await followed.lose(seconds)
        followed.write()
        await followed.check_caught_up()


async def test_a_second_outage_finds_no_longer_wait_than_the_first():
    """Guards against pauses and waits that add up over outages in a row."""
    async with follow_store(*BOUNDS[0]) as followed:
        for seconds in (1.0, 0.1, 2.0):
            await followed.lose(seconds)
            await anyio.sleep(0.2)
        followed.write()
        await followed.check_caught_up()


async def test_a_relay_that_was_cut_off_skips_the_versions_that_it_missed():
    """Guards against hosts that fetch each version since a cut over a small link."""
    async with follow_store(*BOUNDS[0]) as followed:
        await followed.link.set_fault(ANYONE, Fault(Mode.CUT))
        for _ in range(MISSED_VERSIONS):
            followed.write(LARGE_ROUTES)
            await anyio.sleep(0.1)
        await followed.link.set_fault(ANYONE, Fault(delay=CHUNK_SECONDS))
        await followed.check_caught_up()


async def test_a_large_configuration_comes_whole_over_a_small_link():
    """Guards against answers that are given up each time before they have come."""
    async with follow_store(*BOUNDS[0]) as followed:
        await followed.link.set_fault(ANYONE, Fault(delay=5 * CHUNK_SECONDS))
        followed.write(4 * LARGE_ROUTES)
        with anyio.fail_after(20):
            while not followed.knows_all():
                await anyio.sleep(0.01)


async def test_an_older_version_counts_where_the_newest_cannot_be_read():
    """Guards against a spoilt object that hides the version before it."""
    followed = []
    follower = ConfigurationFollower(MemoryStore(), "c", 1.0, decode, "main")
    for spec in (1, 2, "spoilt"):
        followed.append(Change(StoredObject("main", len(followed) + 5, spec), False))
    for change in follower.order(tuple(followed)):
        follower.set(change.stored)
    assert follower.configuration.version == 2


async def test_connections_that_go_silent_are_replaced_in_time():
    """Guards against the next call waiting on another connection that is silent too."""
    async with follow_store(*BOUNDS[0]) as followed:
        await followed.open_connections(6)
        followed.silence_connections()
        followed.write()
        await followed.check_caught_up()


async def test_limits_are_in_force_as_soon_as_their_configuration():
    """Guards against callers cut off by the limits of an older configuration."""
    async with follow_store(*BOUNDS[0]) as followed:
        listener = socket.create_server(("127.0.0.1", 0))
        relay = make_relay(followed.settings, listener, lambda: 0)
        async with anyio.create_task_group() as group:
            await relay.start(group)
            limits = {"maxHeaderBytes": 5000, "idleTimeoutMs": 7000}
            followed.version += 1
            newer = make_configuration(followed.version) | {"limits": limits}
            followed.objects.put("config", "main", newer)
            await wait_for(lambda: relay._configuration.configuration is not None)
            await wait_for(lambda: relay._configuration.configuration.version == 2)
            assert relay._caller_server.limits == ServerLimits(5000, 7.0)
            group.cancel_scope.cancel()


async def wait_for(condition):
    """Wait, and look at every turn of the event loop."""
    with anyio.fail_after(5):
        while not condition():
            await anyio.sleep(0)


async def test_a_call_under_way_outlives_the_client_that_is_replaced():
    """Guards against writes whose answers are dropped as another call is overdue."""
    async with follow_store(*BOUNDS[0]) as followed:
        outcomes = []

        async def peek_late():
            outcomes.append(await followed.client.peek("config", "nothing"))

        followed.objects.misbehaviour.delay = 0.8 * ANSWER_SECONDS
        async with anyio.create_task_group() as group:
            followed.objects.misbehaviour.silent = True
            group.start_soon(followed.client.peek, "config", "main")
            await anyio.sleep(0.7 * ANSWER_SECONDS)
            followed.objects.misbehaviour.silent = False
            group.start_soon(peek_late)
        assert outcomes == [Missing()]


@hypothesis.given(
    contact=strategies.integers(1800, 60_000), leaving=strategies.integers(500, 60_000)
)
def test_no_path_of_news_is_longer_than_its_bound(contact, leaving):
    """Guards against waits that are each short enough and together too long."""
    settings = RelaySettings(
        host="h",
        data_centre="dc",
        store_address="10.0.0.1:80",
        contact_milliseconds=contact,
        leaving_milliseconds=leaving,
    )
    lost = settings.configuration_watch_seconds + WATCH_GRACE_SECONDS
    rejected = max(ANSWER_SECONDS + FIRST_PAUSE_SECONDS, LONGEST_PAUSE_SECONDS)
    assert max(lost + FIRST_PAUSE_SECONDS, rejected) < contact / 1000
    single = settings.runner_watch_seconds + WATCH_GRACE_SECONDS + FIRST_PAUSE_SECONDS
    assert single < (contact + leaving) / 1000
    batch = settings.configuration_batch_seconds
    assert batch < settings.configuration_milliseconds / 2000


async def test_one_read_finds_the_store_back_for_all_that_wait():
    """Guards against calls that wait for an answer lost while the store was away, and
    against each follower asking for itself when it is back."""
    store = MemoryStore()
    store.away = True
    reach = StoreReach(store, "k", "n")
    given_up = []

    async def wait(name):
        with reach.wait():
            await anyio.sleep_forever()
        given_up.append(name)

    async with anyio.create_task_group() as group:
        group.start_soon(wait, "a watch")
        group.start_soon(reach.find_back, 0.0)
        group.start_soon(reach.find_back, 0.0)
        await anyio.sleep(0.5)
        assert not given_up
        reads = store.peeks
        store.away = False
    assert given_up == ["a watch"]
    assert store.peeks == reads + 1


async def test_a_store_that_rejects_calls_is_not_asked_without_pause():
    """Guards against a loop where cheap reads are answered and others are rejected."""
    store = MemoryStore()
    reach = StoreReach(store, "k", "n")
    began_at = time.monotonic()
    for _ in range(4):
        await reach.find_back(0.0)
    assert time.monotonic() - began_at > 2 * FIRST_PAUSE_SECONDS
