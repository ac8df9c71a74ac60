"""How soon a relay hears what the store acknowledged, after each way to lose it."""

import contextlib

import anyio
import pytest

from ..platform.relays import make_followers
from ..platform.store import PlatformStore
from ..relay.malformed import MalformedObjects
from ..relay.options import RelaySettings
from ..servers import HttpServer, ServerLimits
from ..standins.objects import ObjectStore
from ..standins.proxy import Route
from ..standins.sources import Sources

pytestmark = pytest.mark.anyio

BOUNDS = [(3000, 2000, 2000), (4000, 3000, 3000)]
"""Milliseconds: from the end of a disturbance until bounds hold again, for a configuration
to be in force, and for a leaving runner to get no more work."""

RUNNER = {
    "service": "e",
    "address": "10.0.0.1:80",
    "zone": "dc",
    "slots": 8,
    "state": "ready",
    "seq": 1,
}


def make_configuration(version):
    return {"version": version, "routes": [], "services": [{"name": "e"}]}


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

    def write(self):
        """Put a newer configuration and a leaving runner."""
        self.version += 1
        self.objects.put("config", "main", make_configuration(self.version))
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


async def test_connections_that_go_silent_are_replaced_in_time():
    """Guards against the next call waiting on another connection that is silent too."""
    async with follow_store(*BOUNDS[0]) as followed:
        await followed.open_connections(6)
        followed.silence_connections()
        followed.write()
        await followed.check_caught_up()
