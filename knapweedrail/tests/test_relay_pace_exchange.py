"""Exchange of the runners' paces between relays, without a network."""

import math

import anyio
import pytest
from google.protobuf import descriptor_pb2, descriptor_pool, message_factory

from ..relay.grpc_links import GrpcSourceLink, GrpcSubscriberLink
from ..relay.links import FeedReply, FeedRequest, LinkLostError
from ..relay.models import RunnerIncarnation
from ..relay.pace_exchange import (
    MAX_KEPT_PACES,
    MAX_NAME_LENGTH,
    MAX_PACES_PER_MESSAGE,
    PaceExchange,
    RunnerPace,
)
from ..relay.scheduling import pace_log
from ..relay.sources import FeedTiming
from ..relay.update_feed import UpdateFeed
from ..standins.looptime import run_virtual
from ..standins.newsfleet import RUNNERS_KIND
from ..standins.playedlinks import FollowerEnd, PlayedLink, Traffic, WatcherEnd
from ..wire import relays_pb2
from .relays_in_memory import make_runner
from .test_relay_selection import make_table
from .test_relay_update_feed import run_scenario


class Host:
    """One relay's table and exchange."""

    def __init__(self, count=6):
        self.table = make_table(count)
        self.exchange = PaceExchange(self.table)

    def observe(self, name, pace):
        view = self.table.find_view(RunnerIncarnation(name))
        self.table.record_pace(view, pace, 0.0)

    def read_paces(self):
        return {key.name: pace for key, pace in self.table.list_paces().items()}


class Link:
    """A link whose messages arrive at once."""

    def __init__(self, subscriber, source):
        self.ends = subscriber.exchange.open_link(), source.exchange.open_link()
        self.sent = []

    def beat(self):
        for sender, receiver in (self.ends, self.ends[::-1]):
            paces = sender.take_next()
            self.sent += paces
            receiver.receive(paces)


def make_pace(name="i-0", started=0, lowest=0.7):
    return RunnerPace(RunnerIncarnation(name, started), lowest)


def test_paces_pass_a_chain_in_both_directions_once_on_each_link():
    """Guards against knowledge that never leaves a subscriber, and against echoes."""
    hosts = [Host() for _ in range(5)]
    links = [Link(*pair) for pair in zip(hosts, hosts[1:])]
    for number, host in enumerate(hosts):
        host.observe(f"i-{number}", 0.7 + number / 10)
    for _ in hosts:
        for link in links:
            link.beat()
    expected = {f"i-{number}": 0.7 + number / 10 for number in range(5)}
    assert [host.read_paces() for host in hosts] == [expected] * 5
    assert [len(link.sent) for link in links] == [5] * 4
    hosts[4].observe("i-0", 0.6)
    for link in links[::-1]:
        link.beat()
    assert hosts[0].read_paces()["i-0"] == 0.6
    assert [len(link.sent) for link in links] == [6] * 4


def test_paces_pass_a_ring_once_on_each_link():
    """Guards against paces that circle between relays with two sources."""
    hosts = [Host() for _ in range(3)]
    links = [Link(hosts[n], hosts[n - 1]) for n in range(3)]
    hosts[0].observe("i-0", 1.7)
    for _ in range(4):
        for link in links:
            link.beat()
    assert all(host.read_paces() == {"i-0": 1.7} for host in hosts)
    assert [len(link.sent) for link in links] == [1, 1, 1]


def test_crossing_paces_end_at_the_lowest():
    """Guards against ends that keep different paces of one runner."""
    here, there = Host(), Host()
    link = Link(here, there)
    here.observe("i-0", 0.7)
    there.observe("i-0", 0.9)
    messages = [end.take_next() for end in link.ends]
    for end, message in zip(link.ends, messages[::-1]):
        end.receive(message)
    assert here.read_paces() == there.read_paces() == {"i-0": 0.7}
    link.beat()
    assert link.sent == []


def test_a_message_is_bounded_and_the_rest_follows():
    """Guards against large messages on slow links, and against a lost remainder."""
    count = 2 * MAX_PACES_PER_MESSAGE + 1
    here, there = Host(count), Host(count)
    for number in range(count):
        here.observe(f"i-{number}", 0.7)
    near, far = Link(here, there).ends
    sizes = []
    for _ in range(4):
        paces = near.take_next()
        far.receive(paces)
        sizes.append(len(paces))
    assert sizes == [MAX_PACES_PER_MESSAGE] * 2 + [1, 0]
    assert there.read_paces() == here.read_paces()


def test_nothing_is_compared_without_a_change(monkeypatch):
    """Guards against work for each runner at each heartbeat of each link."""
    host = Host()
    host.observe("i-0", 0.7)
    link = host.exchange.open_link()
    assert len(link.take_next()) == 1
    host.observe("i-0", 0.9)
    monkeypatch.delattr(host.table.pace_log, "_logged")
    assert link.take_next() == ()


def test_a_pace_of_an_unlisted_incarnation_counts_once_it_is_listed():
    """Guards against a pace that is lost as it overtakes the list of runners, and one
    that is passed on while it may belong to no runner."""
    host = Host(0)
    near, far = host.exchange.open_link(), host.exchange.open_link()
    near.receive([make_pace("i-9", 5), make_pace("i-9", 5, 0.9), make_pace("i-9", 4)])
    assert far.take_next() == ()
    host.table.set_runner(make_runner("i-9", started=5))
    assert host.read_paces() == {"i-9": 0.7}
    assert far.take_next() == (make_pace("i-9", 5),)
    assert near.take_next() == ()


def test_a_runner_listed_again_keeps_its_pace():
    """Guards against a pace that is lost with the entry, as nobody sends it again."""
    host = Host(1)
    host.observe("i-0", 0.7)
    host.table.remove_runner("i-0", 0.0)
    assert [runner.name for runner in host.table.prune(60.0)] == ["i-0"]
    assert host.exchange.open_link().take_next() == ()
    host.table.set_runner(make_runner("i-0"), 61.0)
    assert host.read_paces() == {"i-0": 0.7}


def test_a_restarted_runner_has_no_pace():
    """Guards against the pace of an earlier incarnation, also by its late responses."""
    host = Host(1)
    host.observe("i-0", 0.7)
    ended = host.table.find_view(RunnerIncarnation("i-0"))
    host.table.set_runner(make_runner("i-0", started=5))
    host.table.record_pace(ended, 0.6, 1.0)
    assert host.read_paces() == {}
    assert host.exchange.open_link().take_next() == ()


def test_kept_paces_are_bounded(monkeypatch):
    """Guards against memory that grows with runners that are never listed."""
    monkeypatch.setattr(pace_log, "MAX_LOGGED_PACES", 4)
    host = Host()
    link = host.exchange.open_link()
    link.receive(make_pace("x", n) for n in range(2 * MAX_KEPT_PACES))
    assert len(link._received) == len(host.exchange._unlisted) == MAX_KEPT_PACES
    for number in range(6):
        host.observe(f"i-{number}", 0.7)
    assert len(host.table.pace_log.list_since(0)) == 4


INVALID = [make_pace(lowest=pace) for pace in (math.nan, math.inf, -1.0, 0.0, 1e9)]
INVALID += [make_pace(name="n" * size) for size in (0, MAX_NAME_LENGTH + 1)]


@pytest.mark.parametrize("pace", INVALID, ids=lambda pace: repr(pace)[:60])
def test_an_invalid_pace_is_dropped_and_the_others_count(pace):
    """Guards against a faulty relay that draws all requests to one runner."""
    host = Host()
    host.exchange.open_link().receive([pace, make_pace("i-1"), pace])
    assert host.read_paces() == {"i-1": 0.7}
    assert not host.exchange._unlisted


class FakeStream:
    """Stream of a gRPC call that returns what was sent, in its encoded form."""

    def __init__(self, kinds, messages=()):
        self.kinds = list(kinds)
        self.messages = list(messages)

    async def send_message(self, message):
        self.messages.append(message.SerializeToString())

    async def recv_message(self):
        kind = self.kinds.pop(0)
        return kind.FromString(self.messages.pop(0))


def pass_messages(request, reply):
    """Pass messages over both ends of a gRPC link; return them and their bytes."""

    async def run():
        stream = FakeStream([relays_pb2.NewsRequest, relays_pb2.NewsReply])
        source, subscriber = GrpcSourceLink(stream), GrpcSubscriberLink(stream)
        await source.send(request)
        await subscriber.send(reply)
        encoded = list(stream.messages)
        return await subscriber.receive(), await source.receive(), encoded

    return anyio.run(run)


PACES = (make_pace("i-1", 2**64 - 1), make_pace("", lowest=math.inf))


def test_messages_carry_paces_of_any_value():
    """Guards against links that end at an invalid pace."""
    messages = FeedRequest(1.0, {"k": 3}, PACES), FeedReply(1.0, (), PACES)
    assert pass_messages(*messages)[:2] == messages


def test_messages_without_paces_are_those_of_an_old_build():
    """Guards against relays of two builds that can't exchange updates."""
    messages = FeedRequest(1.0, {"k": 3}), FeedReply(1.0, ())
    assert pass_messages(*messages)[:2] == messages
    plain = pass_messages(*messages)[2]
    encoded = pass_messages(
        FeedRequest(1.0, {"k": 3}, PACES), FeedReply(1.0, (), PACES)
    )
    for old, new, name in zip(plain, encoded[2], ("NewsRequest", "NewsReply")):
        message = make_old_type(name).FromString(new)
        message.DiscardUnknownFields()
        assert message.SerializeToString() == old


def make_old_type(name):
    """Return a message type as it was before it carried paces."""
    file = descriptor_pb2.FileDescriptorProto()
    relays_pb2.DESCRIPTOR.CopyToProto(file)
    for message in file.message_type:
        if message.name in ("NewsRequest", "NewsReply"):
            assert message.field.pop().name == "paces"
    pool = descriptor_pool.DescriptorPool()
    pool.Add(file)
    descriptor = pool.FindMessageTypeByName(f"{file.package}.{name}")
    return message_factory.GetMessageClass(descriptor)


def test_a_message_that_cannot_be_parsed_ends_the_link():
    """Guards against an error that ends the whole relay."""
    stream = FakeStream([relays_pb2.NewsReply], [b"\x1a\x03\x0a\x01\xff"])
    with pytest.raises(LinkLostError):
        anyio.run(GrpcSourceLink(stream).receive)


def test_paces_wait_for_the_next_reply():
    """Guards against a message for each new pace, and against replies without them."""

    async def run(clock):
        host = Host()
        link, other = (PlayedLink(frozenset(ends)) for ends in ("ab", "ac"))
        feed = UpdateFeed(None, None, None, [], host.exchange, FeedTiming(0.5, 2.0))
        async with anyio.create_task_group() as group:
            group.start_soon(feed.serve, WatcherEnd(link, Traffic()))
            group.start_soon(feed.serve, WatcherEnd(other, Traffic()))
            near, far = FollowerEnd(link), FollowerEnd(other)
            for end, first in ((near, ()), (far, (make_pace("i-2"),))):
                await end.send(FeedRequest(1.0, {}, first))
                assert (await end.receive()).paces == ()
            await far.send(FeedRequest(1.2, {}, (make_pace("i-0"),)))
            host.observe("i-1", 0.7)
            early = None
            with anyio.move_on_after(1.0):
                early = await near.receive()
            assert early is None
            feed._is_store_available = lambda: False
            feed.notify_change()
            paces = (await near.receive()).paces
            assert set(paces) == {make_pace(f"i-{number}") for number in range(3)}
            await near.send(FeedRequest(2.0, {}))
            assert (await near.receive()).paces == ()
            group.cancel_scope.cancel()

    run_virtual(run)


@pytest.mark.parametrize("sizes", [[2, 2, 2], [9, 9, 9]])
def test_a_fleet_learns_all_paces(sizes):
    """Guards against paces that reach a part of the fleet only."""

    async def scenario(fleet):
        for number in range(len(fleet.hosts)):
            fleet.store.put(RUNNERS_KIND, f"i-{number}", {"state": "ready"})
        await fleet.run_for(4.0)
        for (incarnation, pace), relay in zip(expected.items(), fleet.relays.values()):
            table = relay.runners.table
            table.record_pace(table.find_view(incarnation), pace, 0.0)
        await fleet.run_for(6.0)

    expected = {RunnerIncarnation(f"i-{n}"): 0.7 + n / 100 for n in range(sum(sizes))}
    fleet = run_scenario(sizes, scenario)
    for relay in fleet.relays.values():
        assert relay.runners.table.list_paces() == expected
