"""Entries of the store that a foreign writer wrote, or that can't be parsed."""

import gc
import math
import time

import anyio
import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ..events import Event
from ..platform.decoding import decode_runner
from ..platform.pages import parse_page
from ..relay import malformed
from ..relay.malformed import MalformedObjects
from ..relay.models import RetryPolicy
from ..relay.stores import Unreadable
from ..relay.watchers import RunnerWatcher
from .relays_in_memory import (
    MemoryStore,
    ScriptedRunner,
    answer_normally,
    make_configuration,
    make_route,
    run_relay,
)
from .test_platform_store import run_store, wait_until
from .test_relay_incarnations import OLD, WatchedRunners, make_entry

pytestmark = pytest.mark.anyio

FIELDS = ("service", "address", "zone", "slots", "state")

BAD_VALUES = {
    "service": [None, 7, ["e"], {"e": 1}, True, "", "e\n", "x" * 300],
    "address": [None, 7, "", "127.0.0.1", "127.0.0.1:", ":80", "host:80", ["a:1"]]
    + ["127.0.0.1:0", "127.0.0.1:70000", "127.0.0.1:8x", "1.2.3:4", {}],
    "zone": [None, 3, ["dc"], {}, False],
    "slots": [None, -8, 0, True, 1.5, "8", 10**9, 2**70, [], {}, -(2**70)],
    "state": [None, 1, True, "", "READY", "gone", ["ready"], {"ready": 1}],
    "version": [7, None, []],
    "seq": ["1", None, True, [], 0.5],
    "coldLeftMs": ["1", None, True, {}],
    "born": [None, "1", True, 0.5, -1, 2**70],
}

BAD_FIELDS = [{name: value} for name, values in BAD_VALUES.items() for value in values]

BAD_SPECS = [None, [], "", "ready", 7, True, [{}], {}, Unreadable()] + [
    {key: value for key, value in make_entry(OLD).items() if key != missing}
    for missing in FIELDS
]

bad_specs = st.one_of(
    st.sampled_from(BAD_SPECS),
    st.sampled_from(BAD_FIELDS).map(lambda bad: make_entry(OLD) | bad),
    st.recursive(
        st.none() | st.booleans() | st.floats() | st.text(max_size=3),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(st.sampled_from([*FIELDS, "born"]), inner, max_size=3)
        ),
    ),
)


@pytest.fixture(autouse=True)
def lines(monkeypatch):
    """Return the fields of the log lines on malformed objects."""
    logged = []
    monkeypatch.setattr(
        malformed,
        "log_event",
        lambda event, **fields: (
            event is Event.OBJECT_MALFORMED and logged.append(fields)
        ),
    )
    return logged


def is_valid(spec):
    # Booleans are equal to numbers, but have another representation.
    return repr(spec) == repr(make_entry(OLD))


def list_names(listed, endpoint="e", now=math.inf):
    return [view.runner.name for view in listed.find(endpoint, now)]


@pytest.mark.parametrize("bad", BAD_FIELDS)
async def test_entry_with_invalid_field_is_ignored(bad):
    """Guards against an entry of another program in the runners' kind that attracts
    requests to an address where no runner serves them."""
    listed = WatchedRunners()
    listed.list(**{"i-0": make_entry(OLD), "i-1": make_entry(OLD) | bad})
    assert list_names(listed) == ["i-0"]
    listed.watcher.set(listed._store("i-2", make_entry(OLD) | bad))
    assert list_names(listed) == ["i-0"]


@pytest.mark.parametrize("spec", BAD_SPECS)
async def test_incomplete_entry_is_ignored(spec):
    listed = WatchedRunners()
    listed.list(**{"i-1": spec, "i-0": make_entry(OLD)})
    assert list_names(listed) == ["i-0"]


@pytest.mark.parametrize("name", ["", "a b", "a,b", "a|b", "a\r\nx: y", "é", "x" * 300])
async def test_entry_whose_name_is_no_valid_header_value_is_ignored(name):
    """The name is sent to the runner in a header. A line break in it would fail every
    request to the runner, or inject another header."""
    listed = WatchedRunners()
    listed.list(**{name: make_entry(OLD), "i-0": make_entry(OLD)})
    assert list_names(listed) == ["i-0"]


async def test_runners_of_unconfigured_service_are_kept():
    """Runners of a new service may start before the operator configures it. Their
    entries don't change when the service is added."""
    listed = WatchedRunners()
    listed.write("i-0", OLD, service="later")
    assert list_names(listed, "e") == []
    assert list_names(listed, "later") == ["i-0"]


async def test_runner_that_changes_service_leaves_the_old_one():
    listed = WatchedRunners()
    listed.write("i-0", OLD)
    listed.write("i-0", OLD, service="nobody's")
    assert list_names(listed) == []


@settings(max_examples=60)
@given(
    st.lists(st.one_of(st.just(make_entry(OLD)), bad_specs), min_size=1, max_size=50),
    st.booleans(),
)
def test_valid_entries_are_used_whatever_the_others_are(specs, whole):
    anyio.run(check_list, specs, whole)


async def check_list(specs, whole):
    named = {f"i-{number}": spec for number, spec in enumerate(specs)}
    listed = WatchedRunners()
    if whole:
        listed.list(**named)
    else:
        for name, spec in named.items():
            listed.watcher.set(listed._store(name, spec))
    valid = sorted(name for name, spec in named.items() if is_valid(spec))
    assert sorted(list_names(listed)) == valid


@settings(max_examples=60)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 2),
            st.one_of(st.just(make_entry(OLD)), st.just("removed"), bad_specs),
        ),
        max_size=30,
    )
)
def test_last_change_of_each_runner_wins_in_a_watch(changes):
    anyio.run(check_watch, changes)


async def check_watch(changes):
    listed = WatchedRunners()
    last = {}
    for number, spec in changes:
        name = f"i-{number}"
        last[name] = spec
        if spec == "removed":
            listed.remove(name, OLD)
        else:
            listed.watcher.set(listed._store(name, spec))
    valid = sorted(name for name, spec in last.items() if is_valid(spec))
    assert sorted(list_names(listed)) == valid


async def test_runner_state_survives_temporarily_malformed_entry():
    """Another writer overwrites a runner's entry while requests are in flight there,
    and the runner restores it at its next heartbeat. It is the same incarnation: its
    known load still holds, and requests that end meanwhile must be subtracted."""
    listed = WatchedRunners()
    listed.write("i-0", OLD)
    listed.write("i-1", OLD)
    view = listed.find()[0]
    listed.table.record_sent(view, 100, view.runner, 0, 1.0)
    listed.watcher.set(listed._store("i-0", {"state": 7}))
    assert list_names(listed, now=0.0) == ["i-1"]
    listed.table.prune(1e12)
    listed.write("i-0", OLD)
    assert list_names(listed) == ["i-0", "i-1"]
    assert view in listed.find() and view.running == 1


async def test_runners_with_malformed_entries_are_a_last_resort():
    """A program overwrites all entries at once. The runners are healthy and restore
    them within a heartbeat; refusing all requests until then would be an outage."""
    listed = WatchedRunners()
    specs = {f"i-{number}": make_entry(OLD) for number in range(3)}
    listed.list(**specs)
    listed.list(**dict.fromkeys(specs, "malformed"))
    unlisted_at = listed.table._views["i-0"].unlisted_at
    assert len(list_names(listed, now=unlisted_at + 1.0)) == 3
    assert list_names(listed, now=unlisted_at + 2.0) == []


async def test_answer_in_flight_is_delivered_when_entry_turns_malformed():
    async def respond(stream, head):
        listed.watcher.set(listed._store("i-0", "malformed"))
        return await answer_normally(stream, head)

    runner = ScriptedRunner(respond)
    configuration = make_configuration(make_route(RetryPolicy.ONCE))
    async with run_relay(configuration, runner) as relay:
        listed = WatchedRunners(relay.table)
        assert (await relay.call()).status == 200


async def test_malformed_entry_is_logged_and_counted_once_per_change(lines):
    """The list is read again whenever the store compacts its history. If each bad entry
    were logged each time, the lines on requests would be dropped."""
    counted = []
    listed = WatchedRunners()
    listed.watcher = RunnerWatcher(
        MemoryStore(),
        "servers",
        1.0,
        decode_runner,
        listed.table,
        malformed=MalformedObjects(counted.append),
    )
    bad = [listed._store(f"i-{number}", {"slots": -1}) for number in range(50)]
    for _ in range(3):
        listed.watcher.replace_all(tuple(bad))
    assert counted == ["servers"] * 50
    assert len(lines) == malformed.MAX_LOG_LINES
    listed.watcher.set(listed._store("i-0", {"slots": -1}))
    assert len(counted) == 51


def test_log_lines_are_limited_in_number_and_length(lines):
    objects = MalformedObjects()
    for number in range(2000):
        objects.record("k", "n" * 5000, number, "e", now=number / 100)
    assert len(lines) == 2 * malformed.MAX_LOG_LINES
    assert all(len(line["name"]) == malformed.MAX_NAME_CHARACTERS for line in lines)


@pytest.mark.parametrize(
    "spec", ["x" * 10**6, [[["y" * 10**5]]], {"service": "z" * 999}]
)
def test_error_messages_on_entries_are_short(spec):
    with pytest.raises(ValueError) as caught:
        decode_runner("i-0", spec)
    assert len(str(caught.value)) < 300


VALID_SPEC = orjson.dumps(make_entry(OLD))
UNREADABLE = [
    b'{"service":"\xff\xfe","state":"ready"}',
    b'{"slots":NaN}',
    b'{"slots":Infinity,"x":"}],{["}',
    b'"\\ud800"',
    b"[" * 5000 + b"]" * 5000,
    b'{"a":' * 5000 + b"1" + b"}" * 5000,
    # Depths that a parser accepts and an encoder, or the text of an error, doesn't.
    *[b'{"slots":%s}' % (b"[" * depth + b"]" * depth) for depth in (100, 300, 980)],
    b'{"slots":%s}' % (b'[{"a":' * 400 + b"1" + b"}]" * 400),
    # Cut off, or with brackets and quotes that don't match.
    b"[1,2",
    b'{"service":"e","slots":',
    b'{"service":"e',
    b'{"slots":1]}]',
    b'"}],"asOf":9}',
    b"[" * 50_000,
    b"1" * 5000,
    b"1e400",
    b'{"slots":1,"slots":NaN}',
]

LONG = 800_000
LONG_TEXTS = [
    b"[" + b"1,," * (LONG // 3) + b"1]",
    b"[" * LONG,
    b"[" + b"[]," * (LONG // 3) + b"NaN]",
    b"{" + b'"a":{},' * (LONG // 7) + b'"b":\xff}',
    b'"' + b'\\"' * (LONG // 2),
    b'"metadata":' * (LONG // 11),
]

MAX_PARSE_SECONDS = 0.5


def make_object(name, spec):
    head = b'{"metadata":{"name":"%s","revision":7},"spec":%s,"status":null}'
    return head % (name, spec)


@pytest.mark.parametrize("spec", UNREADABLE)
def test_unparsable_object_does_not_affect_others_on_the_page(spec):
    """Guards against rejecting a whole page for one entry that no parser accepts. The
    store would count as unavailable, and every relay would keep using its last list of
    runners."""
    items = [
        make_object(b"a", VALID_SPEC),
        make_object(b"b", spec),
        make_object(b"c", VALID_SPEC),
    ]
    page = parse_page(b'{"entries": [%s], "asOf": 9}' % b" , ".join(items))
    assert page["asOf"] == 9
    found = [(one["metadata"]["name"], one["spec"]) for one in page["entries"]]
    good = orjson.loads(VALID_SPEC)
    assert found == [("a", good), ("b", Unreadable()), ("c", good)]
    watch = b'{"events":[{"removed":false,"object":%s},{"removed":true,"object":%s}]}'
    events = parse_page(watch % (items[1], items[0]))["events"]
    assert [event["removed"] for event in events] == [False, True]
    assert events[0]["object"]["metadata"]["revision"] == 7
    assert parse_page(items[1])["spec"] == Unreadable()


@pytest.mark.parametrize("spec", LONG_TEXTS)
def test_unparsable_object_takes_time_by_its_length(spec):
    """Guards against one entry of another writer that keeps every relay from work for
    seconds, each time that the page with it is read."""
    items = b",".join(
        make_object(name, text)
        for name, text in ((b"a", VALID_SPEC), (b"b", spec), (b"c", VALID_SPEC))
    )
    # What the collector takes depends on all other objects of the test process.
    gc.disable()
    try:
        began_at = time.process_time()
        page = parse_page(b'{"entries":[%s],"morePages":false,"asOf":9}' % items)
        assert time.process_time() - began_at < MAX_PARSE_SECONDS
    finally:
        gc.enable()
    specs = {one["metadata"]["name"]: one["spec"] for one in page["entries"]}
    assert specs["a"] == specs["c"] == orjson.loads(VALID_SPEC)
    assert specs["b"] == Unreadable()


@settings(max_examples=200)
@given(st.lists(st.binary(max_size=12), max_size=4), st.data())
def test_cut_object_does_not_affect_others_on_the_page(parts, data):
    """Guards against an entry that ends in the middle, and takes the next ones with
    it."""
    whole = make_object(b"b", orjson.dumps(make_entry(OLD)) + b"".join(parts))
    start = whole.index(b'"spec":') + len(b'"spec":')
    cut = whole[: data.draw(st.integers(start, len(whole) - 1))]
    items = b",".join([make_object(b"a", VALID_SPEC), cut])
    items += b"," + make_object(b"c", VALID_SPEC)
    page = parse_page(b'{"entries":[%s],"asOf":9}' % items)
    found = {one["metadata"]["name"]: one["spec"] for one in page["entries"]}
    assert found["a"] == found["c"] == orjson.loads(VALID_SPEC)
    assert page["asOf"] == 9


class UnreadList(list):
    """List whose text must not be made."""

    def __repr__(self):
        raise AssertionError("the whole value is written out")


@pytest.mark.parametrize("field", [*FIELDS, "version", "seq", "coldLeftMs", "born"])
def test_error_text_of_an_entry_does_not_contain_the_whole_value(field):
    """Guards against the text of an error that is as deep or as long as the value, and
    raises where a log line is made."""
    spec = make_entry(OLD) | {field: UnreadList([1])}
    with pytest.raises(ValueError):
        decode_runner("i-0", spec)


@pytest.mark.parametrize("body", [b"", b"{", b"<html>", b'{"entries":[{]}', b"NaN,"])
def test_invalid_page_is_an_error(body):
    with pytest.raises(ValueError):
        parse_page(body)


@given(st.binary(max_size=60))
def test_arbitrary_bytes_are_parsed_or_raise_value_error(body):
    for content in (body, b'{"entries":[%s],"asOf":1}' % body):
        try:
            parse_page(content)
        except ValueError:
            pass


@given(st.recursive(st.none() | st.text() | st.integers(0, 9), st.lists, max_leaves=9))
def test_fallback_parsing_changes_only_the_malformed_object(value):
    spec = orjson.dumps({"s": value, 'k"]}': value})
    items = b",".join([make_object(b"a", spec), make_object(b"b", b"[NaN]")])
    first, second = parse_page(b'{"entries":[%s]}' % items)["entries"]
    assert first == orjson.loads(make_object(b"a", spec))
    assert second["spec"] == Unreadable()


@pytest.mark.parametrize(
    "with_start, without_start, used",
    [
        (3, 1, {"t0", "t1", "t2"}),
        (0, 3, {"s0", "s1", "s2"}),
        (1, 2, {"t0", "s0", "s1"}),
    ],
)
async def test_entry_without_start_time_is_used_only_where_most_lack_it(
    with_start, without_start, used
):
    """A foreign entry that only lacks a start time would attract requests that no
    runner serves. But where most runners give no start time, one entry with a start
    time must not exclude the others."""
    listed = WatchedRunners()
    started = {f"t{number}": OLD for number in range(with_start)}
    names_without_start = [f"s{number}" for number in range(without_start)]
    entries = [listed._store(name, make_entry(OLD)) for name in started]
    for name in names_without_start:
        spec = make_entry(OLD)
        del spec["born"]
        entries.append(listed._store(name, spec))
    listed.watcher.replace_all(tuple(entries))
    assert {runner.name for runner in listed.table.list_incarnations()} == used


async def test_watcher_continues_among_foreign_entries():
    """One of fifty entries is foreign, then all are, then none is, first in a list and
    then in a continued watch."""
    async with run_store() as (objects, client):
        listed = WatchedRunners()
        watcher = RunnerWatcher(client, "servers", 0.2, decode_runner, listed.table)
        names = [f"i-{number}" for number in range(50)]
        for name in names:
            objects.put("servers", name, make_entry(OLD))
        objects.put("servers", "i-7", ["not", "a", "runner"])

        def count():
            return len(listed.find(now=math.inf))

        async with anyio.create_task_group() as group:
            await watcher.start(group)
            await wait_until(lambda: count() == 49)
            for name in names:
                objects.put("servers", name, {"state": "ready"})
            await wait_until(lambda: count() == 0)
            for name in names:
                objects.put("servers", name, make_entry(OLD))
            await wait_until(lambda: count() == 50)
            await watcher.close()
