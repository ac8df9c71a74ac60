"""Tests of what relays remember and tell of streams, and who keeps it."""

import time

import attrs
import pytest

from ..relay.models import Member
from ..relay.options import RelaySettings
from ..relay.record_keepers import SHARD_COUNT, KeeperPlan, find_shard
from ..relay.runners import RunnerTable
from ..relay.stores import Conflict, StoredObject
from ..relay.stream_messages import (
    StreamAnswer,
    decode_answer,
    decode_records,
    encode_answer,
    encode_records,
)
from ..relay.stream_origins import MAX_RECORDS, StreamOrigin, StreamRecords
from ..relay.version_history import CURRENT_SECONDS, MIN_STREAM_SECONDS, VersionHistory
from ..relay.version_marks import (
    KIND,
    VersionMark,
    decode,
    encode,
    read_marks,
    replace_mark,
    write_versions,
)
from ..relay.version_registry import VersionRegistry
from .relays_in_memory import MemoryStore, make_runner

ORIGIN = StreamOrigin("e", "v1", "i-1@5")
UNKNOWN = StreamOrigin("e", None, "i-2@6")
LIFE = MIN_STREAM_SECONDS


@pytest.mark.parametrize(
    ("origin", "name", "version", "allowed"),
    [
        ("v1", "i-2", "v1", True),
        ("v1", "i-2", "v2", False),
        ("v1", "i-2", None, False),
        ("v1", "i-1", None, True),
        (None, "i-2", "v1", False),
        (None, "i-1", None, True),
        ("v1", "i-1", "v2", False),
    ],
)
def test_stream_goes_on_only_where_its_version_is_known(origin, name, version, allowed):
    """A runner that restarts under its name, and states no start, counts as the same
    incarnation although its software is another one."""
    runner = attrs.evolve(make_runner(name), version=version)
    assert StreamOrigin("e", origin, "i-1").allows(runner) is allowed


def make_members(*sizes):
    return [
        Member(f"h{place}-{n}", f"h{place}-{n}/1", "10.0.0.1:1", f"dc{place}")
        for place, size in enumerate(sizes)
        for n in range(size)
    ]


def make_plan(members, own):
    plan = KeeperPlan(own)
    plan.set_members(members)
    return plan


@pytest.mark.parametrize("sizes", [(3, 3, 3), (30, 29, 29), (100, 200, 200)])
def test_keepers_of_a_stream_are_asked_by_every_other_relay(sizes):
    """A record is kept where the relay that needs it doesn't ask."""
    members = make_members(*sizes)
    for number in range(200):
        stream = f"farm:{number}"
        teller, asker = members[number % 3], members[-1 - number % 5]
        keepers = make_plan(members, teller).choose_keepers(stream, set())
        # The teller has ended, and the asker's list no longer has it.
        rest = [member for member in members if member is not teller]
        asked = make_plan(rest, asker).choose_asked(stream)
        assert len(keepers) == 2
        assert {keeper.data_centre == teller.data_centre for keeper in keepers} == {
            True,
            False,
        }
        assert all(keeper in asked or keeper is asker for keeper in keepers)


def test_relay_that_does_not_answer_is_passed_over():
    members = make_members(3, 3)
    plan = make_plan(members, members[0])
    first = plan.choose_keepers("s", set())
    second = plan.choose_keepers("s", {first[0].host})
    assert second[0] != first[0] and second[1] == first[1]


def test_streams_spread_over_all_shards():
    assert len({find_shard(f"s{n}") for n in range(2000)}) == SHARD_COUNT


def test_old_records_are_dropped():
    records = StreamRecords()
    for number in range(5):
        records.record(f"s{number}", ORIGIN, float(number), ttl=2.0)
    assert [records.find(f"s{n}") is not None for n in range(5)] == [False] * 2 + [
        True
    ] * 3


def test_number_of_records_is_bounded():
    records = StreamRecords()
    for number in range(MAX_RECORDS + 10):
        records.record(f"s{number}", ORIGIN, 0.0, ttl=9.0)
    assert records.find("s9") is None
    assert records.find("s10") == ORIGIN


@pytest.mark.parametrize("origin", [ORIGIN, UNKNOWN, StreamOrigin("e", "")])
def test_messages_keep_what_is_known(origin):
    """A version that isn't known becomes one that no entry states."""
    assert decode_records(encode_records({"s": origin})) == {"s": origin}
    versions = frozenset({"v1", None})
    answer = StreamAnswer(
        origin, versions, True, frozenset({"v0"}), stored=frozenset({"v1"})
    )
    assert decode_answer(encode_answer("s", answer)) == answer


def test_answer_without_a_record_is_decoded():
    answer = StreamAnswer(None, frozenset(), complete=False)
    assert decode_answer(encode_answer("s", answer)) == answer


def test_history_is_complete_after_the_life_of_a_stream():
    """A relay that has just started takes the only version listed for the only one."""
    history = VersionHistory()
    assert not history.is_complete(1e9)
    for second in range(int(LIFE)):
        history.record_confirmation(float(second))
    assert not history.is_complete(LIFE - 0.1)
    assert history.is_complete(LIFE)


def test_history_has_a_gap_after_a_cut():
    """Runners that came and went during a cut are unknown when it ends."""
    history = VersionHistory()
    for second in (0.0, 1.0, 1.0 + CURRENT_SECONDS + 0.1):
        history.record_confirmation(second)
    assert not history.is_complete(LIFE)
    assert history.is_complete(LIFE + second)


def test_history_is_complete_while_nothing_changes():
    """Guards against versions that are never removed from the store: the list of a calm
    fleet is confirmed only at the end of each watch, which was taken for a gap."""
    settings = RelaySettings(host="h", data_centre="dc", store_address="10.0.0.1:1")
    history = VersionHistory()
    history.max_age = settings.runner_max_age_seconds
    pause = settings.runner_watch_seconds + settings.heartbeat_seconds
    assert pause > CURRENT_SECONDS
    confirmed_at = 0.0
    while confirmed_at < LIFE:
        history.record_confirmation(confirmed_at)
        assert history.is_current(confirmed_at + pause)
        confirmed_at += pause
    assert history.is_complete(confirmed_at)


def test_first_start_of_a_fleet_has_no_earlier_versions():
    history = VersionHistory()
    history.assume_complete()
    history.record_confirmation(5.0)
    assert history.is_complete(5.0)


def test_version_counts_for_the_life_of_a_stream_after_its_last_runner():
    """Streams that the last runner of a version began may still be resumed."""
    table = RunnerTable(grace_seconds=1.9)
    for name, version in (("i-1", "v1"), ("i-2", "v2")):
        table.set_runner(attrs.evolve(make_runner(name), version=version), 0.0)
    table.remove_runner("i-1", 10.0)
    table.prune(12.0)
    assert table.find_versions("e", 12.0 + LIFE) == {"v1", "v2"}
    assert table.find_versions("e", 12.1 + LIFE) == {"v2"}


def test_version_of_an_unlisted_runner_is_known_once_it_is_listed():
    table = RunnerTable(grace_seconds=1.9)
    listed = attrs.evolve(make_runner("i-1"), version="v1")
    table.set_runner(attrs.evolve(listed, version=None), 0.0)
    assert table.find_versions("e", 0.0) == {None}
    table.set_runner(listed, 1.0)
    assert table.find_versions("e", 1.0) == {"v1"}


def test_new_version_is_reported_once():
    """Records of streams under way are told each time that an entry changes."""
    table = RunnerTable(grace_seconds=1.9)
    reported = []
    table.on_new_version = lambda endpoint, now: reported.append((endpoint, now))
    for second in range(5):
        table.set_runner(attrs.evolve(make_runner("i-1"), version="v1"), second)
        table.set_runner(attrs.evolve(make_runner("i-2"), version="v2"), second)
    assert reported == [("e", 0), ("e", 0)]


async def read_mark(store):
    marks = await read_marks(store)
    return marks.get("e")


@pytest.mark.anyio
async def test_versions_of_several_writers_are_all_stored():
    """A relay overwrites the versions that another one has stored."""
    store = MemoryStore()
    assert await read_marks(store) == {}
    for versions in ({"v1", "v2"}, {"v2", "v3"}, {"v1"}):
        assert await write_versions(store, "e", versions, complete=True)
    assert (await read_mark(store)).versions == {"v1", "v2", "v3"}
    assert store.writes == 2


@pytest.mark.anyio
async def test_first_versions_of_a_relay_that_knows_not_all_are_incomplete():
    """Guards against a relay that writes the versions it sees as the only ones, where
    an earlier build has begun streams without a word in the store."""
    store = MemoryStore()
    assert await write_versions(store, "e", {"v2"})
    assert (await read_mark(store)).versions == {"v2", None}


@pytest.mark.anyio
@pytest.mark.parametrize("spec", [None, [], {}, {"versions": "v1"}, {"versions": [1]}])
async def test_unreadable_versions_count_as_unknown(spec):
    """An object that another writer has spoilt hides that there were two versions."""
    store = MemoryStore()
    store.put(KIND, "e", spec)
    assert (await read_mark(store)).versions == {None}
    assert await write_versions(store, "e", {"v1", "v2"})
    assert (await read_mark(store)).versions == {"v1", "v2", None}


@pytest.mark.anyio
async def test_versions_are_unknown_while_the_store_is_away():
    store = MemoryStore()
    store.unavailable = True
    assert await read_marks(store) is None
    assert await write_versions(store, "e", {"v1", "v2"}) is None


@pytest.mark.anyio
@pytest.mark.parametrize("result", ["lose", "drop", "away"])
async def test_version_counts_as_stored_only_once_the_store_says_so(result):
    """Guards against streams at a version that the store never learns of."""
    store = MemoryStore()
    store.write_results = [result]
    assert await write_versions(store, "e", {"v1"}, complete=True) is None
    assert await write_versions(store, "e", {"v1"}, complete=True)
    assert (await read_mark(store)).versions == {"v1"}


@pytest.mark.anyio
async def test_version_that_serves_again_is_not_removed():
    """Guards against the removal of a version that a relay sees again meanwhile."""
    store = MemoryStore()
    mark = await write_versions(store, "e", {"v1", "v2"}, complete=True)
    announced = attrs.evolve(mark, retiring=frozenset({"v1"}))
    written = await replace_mark(store, "e", announced)
    assert await write_versions(store, "e", {"v1"})
    left = VersionMark(frozenset({"v2"}), revision=written.revision)
    assert isinstance(await replace_mark(store, "e", left), Conflict)
    assert await read_mark(store) == attrs.evolve(
        mark, revision=store.objects[KIND, "e"].revision
    )


class StaleReads(MemoryStore):
    """Lets something happen between a read and its reply."""

    on_read = None

    async def list_kind(self, kind, stale=False):
        listing = await super().list_kind(kind, stale)
        on_read, self.on_read = self.on_read, None
        if on_read is not None:
            on_read()
        return listing


@pytest.mark.anyio
async def test_version_is_not_stored_by_a_read_from_before_it_was_seen():
    """Guards against streams at a version that the store doesn't name: it was removed
    after a read that still shows it, and serves again before the reply is there."""
    store, table = StaleReads(), RunnerTable(grace_seconds=1.9)
    registry = VersionRegistry(table, None, None, store)
    table.on_new_version = lambda endpoint, now: registry.handle_new_version(endpoint)
    store.put(KIND, "e", encode(VersionMark(frozenset({"v1", "v2"}))))
    now = time.monotonic()
    old, new = (
        attrs.evolve(make_runner(f"i-{version}"), version=version)
        for version in ("v1", "v2")
    )
    table.set_runner(new, now)

    def remove_and_serve_again():
        store.put(KIND, "e", encode(VersionMark(frozenset({"v2"}))))
        table.set_runner(old, now)

    store.on_read = remove_and_serve_again
    assert not await registry._store_pending()
    assert not registry.find_bound("e").allows(old)
    assert await registry._store_pending()
    assert registry.find_bound("e").allows(old)
    assert (await read_mark(store)).versions == {"v1", "v2"}


def test_mark_is_readable_by_relays_of_the_previous_build():
    """Guards against relays of two builds side by side, of which one can't read what
    the other writes."""
    mark = VersionMark(frozenset({"v1", None}), frozenset({None}), 7)
    spec = encode(mark)
    assert spec["versions"] == ["v1"]
    assert decode(StoredObject("e", 7, spec)) == mark
    earlier = decode(StoredObject("e", 7, {"versions": ["v1", "v2"]}))
    assert earlier == VersionMark(frozenset({"v1", "v2"}), frozenset(), 7)
