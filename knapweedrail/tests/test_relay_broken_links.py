"""Connections between relays that break while they are opened or used."""

import contextlib
import socket
import struct
import threading
import time

import anyio
import grpclib.exceptions
import h2.exceptions
import pytest
from google.protobuf.message import DecodeError
from grpclib.protocol import H2Protocol, Stream

from ..relay.grpc_links import GrpcDialer
from ..relay.links import FeedRequest, LinkLostError
from ..relay.members import Membership
from ..relay.models import Member
from ..relay.pace_exchange import PaceExchange
from ..relay.peers import PeerClient, Trade, make_server
from ..relay.sources import FeedTiming, rank_sources
from ..relay.update_feed import UpdateFeed
from .relays_in_memory import MemoryStore
from .test_relay_selection import make_table

pytestmark = pytest.mark.anyio

RESET = struct.pack("ii", 1, 0)
"""Linger option with which closing a socket resets its connection."""

LIBRARY_ERRORS = [
    AssertionError("Received less data than expected"),
    AttributeError("'Connection' object has no attribute '_transport'"),
    ConnectionResetError(),
    DecodeError("truncated message"),
    IndexError("pop from an empty deque"),
    KeyError(1),
    RuntimeError("unable to perform operation; the handler is closed"),
    grpclib.exceptions.GRPCError(grpclib.const.Status.UNAVAILABLE),
    grpclib.exceptions.ProtocolError("Stream is ended"),
    grpclib.exceptions.StreamTerminatedError("Connection lost"),
    h2.exceptions.NoAvailableStreamIDError(),
    h2.exceptions.ProtocolError(),
    h2.exceptions.StreamClosedError(1),
]
"""Errors that the RPC library lets through from its own code and from HTTP/2."""


def make_member(host, address):
    return Member(host, f"{host}/1", address, "dc")


def make_trade(holder):
    return Trade(account="farm", holder="x/1", lender=holder, needed=5)


def make_feed(*members):
    """Returns the feed of a relay that ranks after the others as a source."""
    candidates = [make_member(f"own-{n}", "127.0.0.1:1") for n in range(20)]
    own = rank_sources(candidates)[-1]
    membership = Membership(MemoryStore(), own)
    membership._members = {member.host: member for member in (own, *members)}
    membership.first_listed.set()
    timing = FeedTiming(0.1, 0.4)
    paces = PaceExchange(make_table(1))
    return UpdateFeed(membership, PeerClient(), GrpcDialer(), [], paces, timing)


@contextlib.asynccontextmanager
async def run_source(host):
    """Runs a relay that serves updates, and yields it as a member."""
    async with anyio.create_task_group() as group:
        feed = make_feed()
        server = make_server(None, lambda *_: [], feed.serve, "127.0.0.1:0")
        await server.start()
        await feed.start(group)
        yield make_member(host, server.address)
        await server.close()
        await feed.close()


@pytest.fixture
def killed_relay(monkeypatch):
    """A relay that is killed right after its kernel has accepted a connection."""
    listener = socket.create_server(("127.0.0.1", 0))
    address = listener.getsockname()
    connect = H2Protocol.connection_made

    def connect_and_kill(self, transport):
        if transport.get_extra_info("peername") == address:
            accepted, _ = listener.accept()
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            accepted.close()
        connect(self, transport)

    monkeypatch.setattr(H2Protocol, "connection_made", connect_and_kill)
    with listener:
        yield make_member("killed", f"127.0.0.1:{address[1]}")


@pytest.fixture(params=LIBRARY_ERRORS, ids=lambda error: type(error).__name__)
def failing_library(request, monkeypatch):
    """The RPC library fails with an error whenever it sends a request."""

    async def fail(*args, **kwargs):
        raise request.param

    monkeypatch.setattr(Stream, "send_request", fail)


async def test_link_to_a_relay_killed_after_accept_is_lost(killed_relay):
    """Guards against errors of the RPC library that no task of the feed expects."""
    async with GrpcDialer().dial(killed_relay) as link:
        with pytest.raises(LinkLostError):
            await link.send(FeedRequest(0.0, {}))


async def test_call_to_a_relay_killed_after_accept_is_unanswered(killed_relay):
    """Guards against errors of the RPC library that end the task of a caller."""
    peers = PeerClient()
    assert await peers.trade(killed_relay, make_trade("killed/1")) is None
    assert peers.is_in_backoff(killed_relay, time.monotonic())
    await peers.close()


async def test_call_with_any_error_of_the_library_is_unanswered(failing_library):
    """Guards against a list of expected errors that lacks one of the library's."""
    async with run_source("source") as member:
        peers = PeerClient()
        assert await peers.trade(member, make_trade("source/1")) is None
        assert await peers.find_stream(member, "stream", ["e"]) is None
        assert not await peers.send_streams(member, {})
        await peers.close()


async def test_link_with_any_error_of_the_library_is_lost(failing_library):
    """Guards against a list of expected errors that lacks one of the library's."""
    async with run_source("source") as member, GrpcDialer().dial(member) as link:
        with pytest.raises(LinkLostError):
            await link.send(FeedRequest(0.0, {}))


async def follow_sources(feed, until):
    """Runs a feed until a condition holds."""
    async with anyio.create_task_group() as group:
        await feed.start(group)
        with anyio.fail_after(10):
            while not until():
                await anyio.sleep(0.02)
        await feed.close()


async def test_feed_turns_to_the_next_source_when_one_is_killed(killed_relay):
    """Guards against a relay that ends as a source of updates dies beside it."""
    async with run_source("source") as member:
        feed = make_feed(killed_relay, member)

        def is_followed():
            replied = [
                source
                for source in feed._sources
                if source is not None and source.member == member
            ]
            backoff = feed._peers.is_in_backoff(killed_relay, time.monotonic())
            return bool(replied) and backoff

        await follow_sources(feed, is_followed)


async def test_feed_outlives_an_address_that_cannot_be_dialled():
    """Guards against an error on opening a link, before anything is sent."""
    async with run_source("source") as member:
        odd = make_member("odd", "nowhere")
        feed = make_feed(odd, member)
        await follow_sources(
            feed, lambda: feed._peers.is_in_backoff(odd, time.monotonic())
        )


def serve_badly(listener, endings):
    """Accepts connections, and resets each after a number of bytes."""
    for count in endings:
        try:
            accepted, _ = listener.accept()
        except OSError:
            return
        with accepted:
            accepted.settimeout(0.02)
            with contextlib.suppress(OSError):
                accepted.recv(count)
                accepted.send(b"HTTP/1.1 400 Bad Request\r\n\r\n")
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)


async def test_feed_outlives_sources_that_break_at_any_byte(monkeypatch):
    """Guards against a relay that ends as its sources are reset or send garbage."""
    endings = iter([1, 10, 24, 60, 200] * 40)
    listener = socket.create_server(("127.0.0.1", 0))
    thread = threading.Thread(target=serve_badly, args=(listener, endings))
    thread.start()
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    feed = make_feed(make_member("bad-1", address), make_member("bad-2", address))
    monkeypatch.setattr(feed._peers, "is_in_backoff", lambda member, now: False)
    try:
        await follow_sources(feed, lambda: not thread.is_alive())
    finally:
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        thread.join()
