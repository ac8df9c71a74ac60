"""Detection of requests that crash the runners that run them."""

import types

import anyio
import pytest

from ..relay.malformed import MalformedObjects
from ..relay.models import Member, PromptPart
from ..relay.peers import PeerClient
from ..relay.suspect_exchange import SuspectExchange
from ..relay.suspects import (
    CRASH_LIMIT,
    PART_CRASH_LIMIT,
    Suspects,
    make_fingerprint,
    make_part_fingerprints,
)
from .relays_in_memory import MemoryStore


def crash(suspects, runner, fingerprints, now):
    for fingerprint in fingerprints:
        suspects.record_broken_request(runner, fingerprint, now)
    return suspects.record_crash(runner, now + 0.1)


def test_request_that_crashes_runners_is_refused_at_all_relays():
    """Guards against a caller that sends the same request to one relay after another
    and crashes a runner each time, so that other callers' requests on it fail too."""
    relays = [Suspects() for _ in range(3)]
    for number in range(CRASH_LIMIT):
        lines = crash(relays[number], f"i-{number}", ["bad", f"other-{number}"], number)
        for relay in relays:
            relay.merge(lines, number + 0.2)
    assert all(relay.blocks("bad", 10.0) for relay in relays)
    assert not any(
        relay.blocks(f"other-{n}", 10.0) for n in range(3) for relay in relays
    )


def test_crash_reported_by_all_relays_counts_once():
    relays = [Suspects() for _ in range(3)]
    lines = [crash(relay, "i-0", ["innocent"], 0.0) for relay in relays]
    for relay in relays:
        for reported in lines:
            relay.merge(reported, 0.5)
    assert not any(relay.blocks("innocent", 1.0) for relay in relays)


def test_lost_answer_is_not_a_crash():
    """A runner may reset one connection in twenty without a crash. If that counted, a
    status request of many callers would be refused after three resets."""
    suspects = Suspects()
    for number in range(10):
        suspects.record_broken_request("i-0", "status", number * 4.0)
        suspects.prune(number * 4.0 + 3.5)
    assert suspects.record_crash("i-0", 100.0) == []
    assert not suspects.blocks("status", 100.0)


def test_good_answer_clears_a_request():
    suspects = Suspects()
    crash(suspects, "i-0", ["once"], 0.0)
    crash(suspects, "i-1", ["once"], 1.0)
    suspects.record_success("once", 2.0)
    crash(suspects, "i-2", ["once"], 3.0)
    assert not suspects.blocks("once", 4.0)


def test_fingerprint_covers_all_parts_of_a_request():
    one = make_fingerprint("farm", "POST", b"/a", b"x")
    assert one == make_fingerprint("farm", "POST", b"/a", b"x")
    others = [
        make_fingerprint("barn", "POST", b"/a", b"x"),
        make_fingerprint("farm", "GET", b"/a", b"x"),
        make_fingerprint("farm", "POST", b"/ax", b""),
        make_fingerprint("farm", "POST", b"/a", b"y"),
    ]
    assert one not in others


@pytest.mark.anyio
async def test_suspects_of_one_crash_are_sent_together_and_soon():
    """When a runner crashes, all its requests fail at once and each one is reported.
    The other relays must get them in one call, soon enough not to run them too."""
    membership = types.SimpleNamespace(
        list_others=lambda: [types.SimpleNamespace(address="127.0.0.1:9")],
        member=types.SimpleNamespace(host="own"),
        first_listed=anyio.Event(),
    )
    sent = []

    async def send(member, lines):
        sent.append(lines)

    peers = types.SimpleNamespace(send_suspects=send)
    exchange = SuspectExchange(
        Suspects(), membership, peers, MemoryStore(), MalformedObjects()
    )
    async with anyio.create_task_group() as group:
        await exchange.start(group)
        for crash in (["a", "b"], ["c", "d"]):
            await anyio.sleep(0.03)
            exchange.report(crash[:1])
            await anyio.sleep(0.01)
            exchange.report(crash[1:])
            await anyio.sleep(0.09)
            assert sent.pop() == crash and not sent
        group.cancel_scope.cancel()


@pytest.mark.anyio
async def test_relay_without_an_address_is_not_asked_for_suspects():
    """A relay whose address for other relays isn't known can't be called. An attempt
    raised an error that ended the relay that was starting."""
    listed = anyio.Event()
    listed.set()
    membership = types.SimpleNamespace(
        list_others=lambda: [Member("other", "other/1")],
        member=Member("own", "own/1"),
        first_listed=listed,
    )
    exchange = SuspectExchange(
        Suspects(), membership, PeerClient(), MemoryStore(), MalformedObjects()
    )
    async with anyio.create_task_group() as group:
        await exchange.start(group)
        with anyio.fail_after(5):
            await exchange.loaded.wait()
        group.cancel_scope.cancel()


def test_crashing_request_is_blamed_beside_an_earlier_suspect():
    """A harmless request that once ran on a crashed runner takes the blame for each
    later crash of a runner that it shares with the request that causes them."""
    suspects = Suspects()
    crash(suspects, "i-0", ["harmless"], 0.0)
    for number in range(CRASH_LIMIT):
        crash(suspects, f"i-{number + 1}", ["harmless", "bad"], 5.0 * number + 5.0)
        suspects.record_success("harmless", 5.0 * number + 6.0)
        crash(suspects, f"j-{number + 1}", ["harmless"], 5.0 * number + 7.0)
    assert suspects.blocks("bad", 30.0)


def test_request_is_the_same_whatever_its_query():
    """A caller that sends the same path and body again with another query crashes one
    runner after another. Without a body, only the query tells requests apart."""
    one = make_fingerprint("farm", "POST", b"/a?try=1", b"x")
    assert one == make_fingerprint("farm", "POST", b"/a?try=2", b"x")
    assert one == make_fingerprint("farm", "POST", b"/a", b"x")
    status = make_fingerprint("farm", "GET", b"/a?job=1", b"")
    assert status != make_fingerprint("farm", "GET", b"/a?job=2", b"")


def test_end_of_all_runners_makes_no_part_of_all_prompts_a_suspect():
    """All runners of an endpoint end together, and the first part of every prompt was
    on each of them. If that counted, the endpoint's callers would all be refused."""
    shared, own = make_part_fingerprints(
        (PromptPart("a0", 9), PromptPart("b0", 9), PromptPart("c0", 9))
    )
    relays = [Suspects() for _ in range(2)]
    relays[0].record_success(shared, 9.5)
    lines = [
        line
        for number in range(3 * PART_CRASH_LIMIT)
        for line in crash(relays[number % 2], f"i-{number}", [shared, own], 10.0)
    ]
    for relay in (relays[0], relays[1], relays[0]):
        relay.merge(lines, 10.5)
        lines = relay.list_serious()
    assert not any(relay.blocks(shared, 11.0) for relay in relays)
    assert all(relay.blocks(own, 11.0) for relay in relays)


def test_malformed_lines_of_another_relay_change_nothing():
    suspects = Suspects()
    lines = ["", "|", "x", "x|", "x||i-0#1", "|i-0#1,i-1#1,i-2#1|", "part:|,,,|,"]
    assert not suspects.merge(lines, 0.0).changed
    assert not any(suspects.blocks(text, 1.0) for text in ("x", "part:"))
