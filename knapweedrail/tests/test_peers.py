"""Tests of messages between routers over real sockets with faulty connections."""

import asyncio
import socket
from contextlib import aclosing, asynccontextmanager

import anyio
import pytest

from ..followers import NoRun, follow_run, give_chunks
from ..outcomes import Failure, Unavailable, Unknown
from ..peers import PeerClients, PeerHandler, PeerServer
from ..runs import Chunk, End, RunTable
from ..standins.proxy import ANYONE, Fault, Mode, Route
from ..standins.sources import Sources
from ..wire.peers_pb2 import (
    Exchange,
    FenceRequest,
    FollowRequest,
    HandOverReply,
    HandOverRequest,
    Sender,
)

SENDER = Sender(holder="asker/1")


class Handler(PeerHandler):
    """Counts exchanges, never answers a hand-over, gives the runs of a table."""

    def __init__(self):
        self.trades = 0
        self.hand_overs = 0
        self.table = RunTable(10.0, 100_000)

    async def trade(self, exchange):
        self.trades += 1
        return Exchange(sender=SENDER)

    async def hand_over(self, request):
        self.hand_overs += 1
        await anyio.sleep_forever()
        return HandOverReply()

    async def fence(self, request):
        raise RuntimeError("the handler fails")

    find_run = fetch_configuration = fence

    def follow(self, request):
        return give_chunks(self.table, request)


class Link:
    """A peer behind a link that can be cut, frozen and held."""

    def __init__(self, handler, clients, route, group):
        self.handler = handler
        self.clients = clients
        self.route = route
        self.group = group
        self.address = f"127.0.0.1:{route.port}"

    async def freeze(self):
        """Silence the connections that are open; new ones work."""
        for connection in self.route.list_connections(ANYONE):
            connection.frozen = True
        self.route._changed.set()
        self.route._changed = anyio.Event()

    def follow(self, client=follow_run, silence=0.3):
        return client(self.clients, self.address, SENDER, "account", "one", silence)


@asynccontextmanager
async def linked(seconds=0.3):
    """Run a peer, a link to it and the clients."""
    handler = Handler()
    server = PeerServer(handler, "127.0.0.1:0")
    clients = PeerClients(seconds)
    await server.start()
    async with anyio.create_task_group() as group:
        route = Route("peer", server.address, Sources(), group)
        await route.listen()
        yield Link(handler, clients, route, group)
        await clients.close()
        await server.close()
        group.cancel_scope.cancel()


def test_a_call_that_was_never_sent_is_told_from_one_without_answer():
    """A router asks a neighbour for tokens and gets no answer. When the call certainly
    wasn't made, asking elsewhere is safe; when it may have been, the tokens may be on
    their way, and only the same transfer may be asked again. Mixed up, tokens are
    lost or a caller is refused for nothing."""

    async def check():
        async with linked() as link:
            request = HandOverRequest(sender=SENDER, transfer="one")
            outcome = await link.clients.hand_over(link.address, request)
            assert isinstance(outcome, Unknown)
            assert outcome.step == "peers.hand_over" and outcome.peer == link.address
            assert link.handler.hand_overs == 1
            await link.route.set_fault(ANYONE, Fault(Mode.CUT))
            outcome = await link.clients.hand_over(link.address, request)
            assert isinstance(outcome, Unavailable)
            assert link.handler.hand_overs == 1

    anyio.run(check)


def test_a_connection_that_went_silent_is_replaced():
    """Something between two routers loses track of a connection: it stays open but
    brings nothing, while new ones work. A router that clung to it would count its
    neighbour as dead for good and get no tokens from it."""

    async def check():
        async with linked() as link:
            assert isinstance(
                await link.clients.trade(link.address, Exchange()), Exchange
            )
            await link.freeze()
            outcome = await link.clients.trade(link.address, Exchange())
            assert isinstance(outcome, Unknown)
            assert isinstance(
                await link.clients.trade(link.address, Exchange()), Exchange
            )

    anyio.run(check)


def test_a_reset_in_the_middle_of_a_call_leaves_the_caller_in_order():
    """A neighbour dies while it answers. The library ends such a call by cancelling
    the task; a mark left behind would make later code in the task, which serves a
    caller's stream, believe that it is being cancelled."""

    async def check():
        async with linked(5.0) as link:
            request = HandOverRequest(sender=SENDER, transfer="one")

            async def reset():
                while not link.handler.hand_overs:
                    await anyio.sleep(0.005)
                await link.route.reset(ANYONE)

            link.group.start_soon(reset)
            outcome = await link.clients.hand_over(link.address, request)
            assert isinstance(outcome, Unknown)
            assert asyncio.current_task().cancelling() == 0
            with anyio.move_on_after(0.01) as scope:
                await anyio.sleep_forever()
            assert scope.cancelled_caught

    anyio.run(check)


def test_a_connection_lost_between_check_and_use_is_an_outcome():
    """A neighbour is killed while it is being called. The library raises an error of
    its own making for a connection that is lost at that moment; let through, it ended
    the task of the router that was in good order, and all its streams with it."""

    async def check():
        async with linked() as link:
            await link.clients.trade(link.address, Exchange())
            connection = link.clients._connections[link.address]
            del connection.channel._protocol.connection._transport
            outcome = await link.clients.trade(link.address, Exchange())
            assert isinstance(outcome, Unavailable)
            assert isinstance(
                await link.clients.trade(link.address, Exchange()), Exchange
            )

    anyio.run(check)


def test_a_peer_that_has_closed_answers_no_more():
    """A router leaves. If it went on answering over connections that were open, its
    neighbours would believe it alive and send it what it will never do."""

    async def check():
        handler = Handler()
        server = PeerServer(handler, "127.0.0.1:0")
        clients = PeerClients(5.0)
        await server.start()
        assert isinstance(await clients.trade(server.address, Exchange()), Exchange)
        await server.close()
        assert isinstance(await clients.trade(server.address, Exchange()), Unavailable)
        assert handler.trades == 1
        await clients.close()

    anyio.run(check)


def test_a_peer_whose_handler_fails_gives_an_unknown_outcome():
    """A fault in a neighbour's code ends its call with an error. What it did before is
    not known, and its connection still works."""

    async def check():
        async with linked() as link:
            outcome = await link.clients.fence(link.address, FenceRequest())
            assert isinstance(outcome, Unknown)
            assert isinstance(
                await link.clients.trade(link.address, Exchange()), Exchange
            )

    anyio.run(check)


def test_a_peer_that_accepts_and_says_nothing_is_given_up_in_time():
    """A host hangs: its kernel accepts connections and its process answers nothing.
    Without a bound each call to it would hold a caller's request for ever."""

    async def check():
        listener = socket.create_server(("127.0.0.1", 0))
        host, port = listener.getsockname()
        clients = PeerClients(0.1)
        outcome = await clients.trade(f"{host}:{port}", Exchange())
        assert isinstance(outcome, Failure)
        await clients.close()
        listener.close()

    anyio.run(check)


async def follow_from_the_start(clients, address, sender, account, identity, silence):
    """Wrong: asks for the whole answer again after each broken connection."""
    for _ in range(3):
        request = FollowRequest(sender=sender, account=account, identity=identity)
        async with aclosing(clients.follow(address, request, silence)) as messages:
            async for message in messages:
                if isinstance(message, Failure):
                    break
                if message.last:
                    yield End(message.offset, True)
                    return
                yield Chunk(message.offset, message.data)


async def follow_to_any_end(clients, address, sender, account, identity, silence):
    """Wrong: takes the end of the connection for the end of the answer."""
    request = FollowRequest(sender=sender, account=account, identity=identity)
    offset = 0
    async with aclosing(clients.follow(address, request, silence)) as messages:
        async for message in messages:
            if isinstance(message, Failure) or message.last:
                yield End(offset, True)
                return
            yield Chunk(offset, message.data)
            offset += 1


async def read_over_broken_links(client, faults):
    """Follow a run whose link suffers a fault after every third chunk."""
    async with linked() as link:
        run = link.handler.table.begin("account", "one", "content", 0.0).run
        said = [b"%d" % i for i in range(12)]
        items = []
        async with aclosing(link.follow(client)) as answer:
            for number, data in enumerate(said):
                run.append(data)
                items.append(await anext(answer))
                while not isinstance(items[-1], Chunk | End):
                    items.append(await anext(answer))
                if number % 3 == 2:
                    await faults[number // 3 % len(faults)](link)
            run.finish(True, 0.0)
            async for item in answer:
                items.append(item)
        assert [item.data for item in items if isinstance(item, Chunk)] == said
        assert items[-1] == End(len(said), True)


async def reset(link):
    await link.route.reset(ANYONE)


def test_an_answer_followed_over_broken_connections_is_whole():
    """A retry follows its run on another router while the connection between the two
    is reset and goes silent, again and again. The caller must get every token once,
    or a gang's roster would lack a farm or list one twice."""
    anyio.run(read_over_broken_links, follow_run, [reset, Link.freeze])


@pytest.mark.parametrize("client", [follow_from_the_start, follow_to_any_end])
def test_the_check_catches_a_wrong_follower(client):
    """A follower that starts over, or takes a broken connection for the end, gives
    tokens twice or half an answer; the check must notice both."""
    with pytest.raises((AssertionError, StopAsyncIteration, ExceptionGroup)):
        anyio.run(read_over_broken_links, client, [reset])


def test_a_run_named_a_moment_before_it_begins_is_found():
    """Two copies of a request reach two routers at once, and the second asks to follow
    before the first has begun. Told that there is none, it would run the request too,
    and tokens would be used twice."""

    async def check():
        async with linked() as link:
            table = link.handler.table

            async def begin():
                while not link.route.list_connections(ANYONE):
                    await anyio.sleep(0.001)
                run = table.begin("account", "one", "content", 0.0).run
                run.append(b"answer")
                run.finish(True, 0.0)

            link.group.start_soon(begin)
            items = [item async for item in link.follow()]
            assert items[-2:] == [Chunk(0, b"answer"), End(1, True)]
            table.evict(100.0)
            assert [item async for item in link.follow()] == [NoRun()]

    anyio.run(check)


def test_a_connection_accepted_while_the_peer_closes_is_ended():
    """A neighbour connects at the very moment at which a router leaves. Its connection
    is accepted, and the state for it made only after the others were ended; kept, the
    router that has left would go on answering as if it lived."""

    async def check():
        handler = Handler()
        server = PeerServer(handler, "127.0.0.1:0")
        clients = PeerClients(5.0)
        await server.start()
        protocol = server._server._protocol_factory()
        await server.close()
        loop = asyncio.get_running_loop()
        near, far = socket.socketpair()
        await loop.connect_accepted_socket(lambda: protocol, near)
        far.setblocking(False)
        with anyio.fail_after(5):
            while await loop.sock_recv(far, 1000):
                pass
        far.close()
        await clients.close()

    anyio.run(check)
