"""Tests of the membership with real sockets and an in-memory platform."""

import random

import anyio
import httpx

from ..members import ExchangePart
from ..outcomes import Unavailable
from ..platforms import HttpPlatform
from ..registrars import Registrar
from .fakes import MemoryPlatform
from .memberships import Router, running, until


def test_routers_register_and_hear_each_other_across_data_centres():
    async def check():
        platform = MemoryPlatform()
        routers = [
            Router(platform, f"r{i}", data_centre=f"split-{'ab'[i % 2]}")
            for i in range(4)
        ]
        async with running(*routers):
            names = {router.name for router in routers}
            for router in routers:
                others = names - {router.name}
                await until(lambda: router.alive() == others)
                assert router.task.registered

    anyio.run(check)


def test_a_router_without_the_platform_knows_peers_by_seeds_but_holds_no_life():
    """The platform is away while a host is replaced. The new router must find its
    peers and their configuration by the seeds of its settings, yet must not hold
    tokens: nobody has given it a number that tells it from its earlier life."""

    async def check():
        platform = MemoryPlatform()
        platform.away = True
        first = Router(platform, "r1")
        async with running(first):
            second = Router(platform, "r2", (first.task.settings.peer_address,))
            async with running(second):
                await until(lambda: second.alive() == {"r1"})
                await until(lambda: first.alive() == {"r2"})
                assert not second.task.registered
                platform.away = False
                await until(lambda: second.task.registered)

    anyio.run(check)


def test_a_lost_answer_of_a_registration_gives_one_life():
    """The platform writes the registration but its answer is lost. A router that
    registered again blindly would fence its own life, and the tokens of a life that
    nobody leads would be written off."""

    async def check():
        platform = MemoryPlatform()
        platform.lost_answers = 1
        router = Router(platform, "r1")
        async with running(router):
            await until(lambda: router.task.registered)
            seen = await Registrar(platform, random.Random(1)).read("split-a")
            assert router.task.holder.incarnation == 1
            assert seen.registry.fenced() == ()

    anyio.run(check)


def test_a_fenced_router_begins_a_new_life():
    """A peer takes a paused router for dead and fences it. The router wakes and must
    not spend for its old life, yet go on serving in a new one."""

    async def check():
        platform = MemoryPlatform()
        one, two = Router(platform, "r1"), Router(platform, "r2")
        async with running(one, two):
            await until(lambda: one.task.registered and two.task.registered)
            old = one.task.holder
            await two.task.mark_fenced(old)
            await until(lambda: one.task.holder.incarnation > old.incarnation)
            assert [item.holder for item in one.ended] == [old]
            assert two.task.is_over(old)

    anyio.run(check)


def test_a_superseded_router_ends_for_good():
    """A host is replaced under the same name while the old process is paused. When it
    wakes it must not take the name back: the two would fence each other for ever and
    no request would find a router that holds tokens."""

    async def check():
        platform = MemoryPlatform()
        old, new = Router(platform, "r1"), Router(platform, "r1")
        async with running(old):
            await until(lambda: old.task.registered)
            async with running(new):
                await until(lambda: old.task.superseded)
                await until(lambda: new.task.registered)
                assert not old.task.registered
                assert new.task.holder.incarnation == 2
                assert [item.superseded for item in old.ended] == [True]

    anyio.run(check)


def test_a_paused_router_whose_life_was_reclaimed_meanwhile_ends_it():
    """A router is paused for so long that its neighbours have fenced its life and
    taken back what it held. Awake again, it finds its life closed rather than fenced;
    if it went on, its tokens would be spent twice."""

    async def check():
        platform = MemoryPlatform()
        one, two = Router(platform, "r1"), Router(platform, "r2")
        async with running(two):
            async with running(one):
                await until(lambda: one.task.registered)
                old = one.task.holder
            # Closed without a word, as a paused process is silent.
            await two.task.mark_fenced(old)
            await two.task.mark_reclaimed(old)
            registry = await Registrar(platform, random.Random(1)).read("split-a")
            one.task._life.holder = old
            one.task._life.check(registry.registry)
            assert one.ended[-1].holder == old
            assert not one.task.registered

    anyio.run(check)


def test_a_fence_is_not_taken_for_written_on_a_stale_read():
    """The platform answers a read with the registry from before a life began. Fencing
    a life that this copy doesn't know writes nothing; taken for done, the life's
    tokens would come back to the budget while it goes on spending them."""

    async def check():
        platform = MemoryPlatform()
        one, two = Router(platform, "r1"), Router(platform, "r2")
        async with running(one):
            await until(lambda: one.task.registered)
            async with running(two):
                await until(lambda: two.task.registered)
                platform.stale_reads = 1
                outcome = await one.task.mark_fenced(two.task.holder)
                assert isinstance(outcome, Unavailable)
                platform.stale_reads = 0
                outcome = await one.task.mark_fenced(two.task.holder)
                assert two.task.holder not in outcome.registry.live()

    anyio.run(check)


def test_a_router_cut_off_from_its_neighbours_suspects_none():
    """A switch cuts one router off from its data centre but not from the platform. It
    hears nobody; if it took all the others for dead it would end the lives of a whole
    data centre, and callers would be refused for lack of tokens everywhere. The others
    suspect it alone."""

    async def check():
        platform = MemoryPlatform()
        routers = [Router(platform, f"r{i}") for i in range(4)]
        async with running(*routers):
            for router in routers:
                await until(lambda: len(router.alive()) == 3)
            cut, *others = routers
            await cut.go_deaf()
            await until(lambda: not cut.alive())
            for router in others:
                await until(
                    lambda: [m.holder.name for m in router.task.suspects()] == ["r0"]
                )
            assert cut.task.suspects() == ()

    anyio.run(check)


def test_members_are_known_again_after_an_outage_of_the_platform():
    """The platform is away while routers come and go. Those that stay keep hearing
    each other; afterwards each must know the present lives without a restart."""

    async def check():
        platform = MemoryPlatform()
        one, two = Router(platform, "r1"), Router(platform, "r2")
        async with running(one):
            async with running(two):
                await until(lambda: one.alive() == {"r2"})
                platform.away = True
                platform._changed.set()
                assert one.alive() == {"r2"}
            await until(lambda: one.alive() == set())
            platform.away = False
            back = Router(platform, "r2")
            async with running(back):
                await until(lambda: one.alive() == {"r2"})
                await until(lambda: back.task.registered)
                assert back.task.holder.incarnation == 2

    anyio.run(check)


class Stumbling(ExchangePart):
    """A part that can't take in what it hears."""

    def __init__(self):
        self.heard = 0

    def fill(self, message):
        pass

    def hear(self, sender, message):
        self.heard += 1
        raise ValueError("not understood")


def test_a_message_that_is_not_understood_ends_no_task():
    """A peer of another version says something that a part of this router can't take
    in. The error must stay with that one exchange; it would else end the membership,
    and with it a router that serves callers."""

    async def check():
        platform = MemoryPlatform()
        one, two = Router(platform, "r1"), Router(platform, "r2")
        async with running(one, two):
            part = Stumbling()
            one.task.on_exchange(part)
            await until(lambda: part.heard > 5)
            assert one.alive() == {"r2"}

    anyio.run(check)


def test_an_answer_that_is_not_the_platforms_ends_no_task():
    """A gateway before the platform answers with a page of its own, or another process
    has got the platform's port. An error raised on it would end the task that follows
    the registry, and with it the router and all its streams."""

    def answer(request):
        return httpx.Response(200, text="<html>busy</html>")

    async def check():
        platform = HttpPlatform("http://platform")
        transport = httpx.MockTransport(answer)
        platform._client = httpx.AsyncClient(
            transport=transport, base_url=platform.base
        )
        assert isinstance(await platform.watch("registry/", 0, 0.0), Unavailable)
        assert isinstance(await platform.list("registry/"), Unavailable)
        assert isinstance(await platform.list_hosts(), Unavailable)
        registrar = Registrar(platform, random.Random(1))
        assert isinstance(await registrar.read("split-a"), Unavailable)
        await platform.close()

    anyio.run(check)
