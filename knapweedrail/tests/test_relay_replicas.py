"""Updates between replicas of the store's objects, in any order."""

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ..relay import replicas
from ..relay.replicas import (
    KindUpdate,
    Replica,
    UpdateForm,
    UpdateRejectedError,
    decode_items,
)
from ..relay.stores import Change, StoredObject, Unreadable

NAMES = ("a", "b", "c")
PADDING = "x" * (replicas.LARGE_OBJECT_BYTES + 1)


class History:
    """Objects of one kind in a store, at each revision."""

    def __init__(self):
        self.revision = 1
        self.objects = {}
        self.events = []
        self.states = {1: {}}

    def write(self, name, value, large=False):
        self.revision += 1
        spec = {"value": value} | ({"padding": PADDING} if large else {})
        self.objects[name] = StoredObject(name, self.revision, spec)
        self._record(Change(self.objects[name], removed=False))

    def remove(self, name):
        if name in self.objects:
            self.revision += 1
            self._record(Change(self.objects.pop(name), removed=True))

    def write_other_kind(self):
        """Change an object of another kind."""
        self.revision += 1
        self.states[self.revision] = dict(self.objects)

    def _record(self, change):
        self.events.append((self.revision, change))
        self.states[self.revision] = dict(self.objects)

    def list_changes(self, since, until):
        return tuple(c for at, c in self.events if since < at <= until)


def read_objects(replica):
    return dict(replica._objects)


def send_updates(source, subscriber):
    """Send a subscriber all changes that it lacks."""
    since = subscriber.revision
    subscriber.merge_update(
        KindUpdate(
            "k",
            source.find_base(since),
            source.revision,
            decode_items(source.encode_changes(since)),
        )
    )


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["write", "large", "remove", "pass", "list", "watch", "update"]
        ),
        st.integers(0, 2),
        st.integers(0, 2),
        st.integers(0, 30),
    ),
    max_size=40,
)


def run_steps(steps):
    """Update three replicas from a history in some order; check each at every step."""
    history = History()
    relays = [Replica("k", keep_patches=n != 1) for n in range(3)]
    for step, one, other, offset in steps:
        relay, before = relays[one], relays[one].revision
        at = max(1, history.revision - offset)
        match step:
            case "write" | "large":
                history.write(NAMES[other], offset, step == "large")
            case "remove":
                history.remove(NAMES[other])
            case "pass":
                history.write_other_kind()
            case "list":
                relay.apply_list(tuple(history.states[at].values()), at)
            case "watch" if relay.revision:
                # Its answer may arrive after newer updates of other relays.
                since = min(relay.revision, at)
                until = max(since, history.revision - other)
                relay.apply_changes(history.list_changes(since, until), until)
            case "update" if one != other:
                try:
                    send_updates(relays[other], relay)
                except UpdateRejectedError as error:
                    assert not error.needs_fetch
        assert relay.revision >= before
        if relay.revision:
            assert read_objects(relay) == history.states[relay.revision]


@given(STEPS)
def test_replica_equals_the_store_at_its_revision(steps):
    """Guards against objects that a relay misses, resurrects or reverts."""
    run_steps(steps)


def test_check_detects_a_dropped_change(monkeypatch):
    """Guards against a check that misses a source which loses a change."""
    encode_changes = Replica.encode_changes

    def drop(self, since):
        items = replicas.orjson.loads(encode_changes(self, since) or b"[]")
        return replicas.orjson.dumps(items[1:])

    monkeypatch.setattr(Replica, "encode_changes", drop)
    steps = [("write", 0, 0, 1), ("write", 0, 1, 2), ("list", 0, 0, 0)]
    with pytest.raises(AssertionError):
        run_steps([*steps, ("update", 1, 0, 0)])


def make_pair(size):
    """Return a source and a subscriber that have the same large object."""
    source, subscriber = Replica("k", keep_patches=True), Replica("k")
    first = StoredObject("a", 5, {"list": ["x" * 40] * size})
    for replica in (source, subscriber):
        replica.apply_list((first,), 5)
    return source, subscriber


def change(source, spec, revision):
    source.apply_changes((Change(StoredObject("a", revision, spec), False),), revision)


def test_large_object_is_sent_as_patch():
    """Guards against sending whole configurations to each relay over a slow link."""
    source, subscriber = make_pair(1000)
    for revision in (7, 9):
        change(source, {"list": ["x" * 40] * 1000, "version": revision}, revision)
    encoded = source.encode_changes(5)
    assert len(encoded) < 300
    send_updates(source, subscriber)
    assert read_objects(subscriber)["a"].spec["version"] == 9


def test_oversized_change_must_be_fetched_from_the_store():
    """Guards against updates of many relays that fill a link for seconds."""
    source, subscriber = make_pair(10)
    change(source, {"list": ["y" * 40] * 2000}, 7)
    assert decode_items(source.encode_changes(5))[0].form is UpdateForm.LARGE
    with pytest.raises(UpdateRejectedError) as caught:
        send_updates(source, subscriber)
    assert caught.value.needs_fetch
    assert subscriber.revision == 5


def test_patch_of_another_version_is_rejected():
    """Guards against a configuration that mixes two versions."""
    source, subscriber = make_pair(1000)
    change(source, {"list": ["x" * 40] * 1000, "version": 7}, 7)
    items = decode_items(source.encode_changes(5))
    mismatched = [attrs.evolve(item, base=4) for item in items]
    with pytest.raises(UpdateRejectedError) as caught:
        subscriber.merge_update(KindUpdate("k", 5, 7, tuple(mismatched)))
    assert caught.value.needs_fetch
    assert subscriber.revision == 5


def test_update_with_a_gap_is_rejected():
    """Guards against an unnoticed loss of changes between two updates."""
    subscriber = Replica("k")
    subscriber.apply_list((), 5)
    with pytest.raises(UpdateRejectedError) as caught:
        subscriber.merge_update(KindUpdate("k", 7, 9))
    assert not caught.value.needs_fetch


def test_unreadable_object_is_sent_as_unreadable():
    """Guards against each relay of a fleet reading a malformed object itself."""
    source, subscriber = Replica("k", keep_patches=True), Replica("k")
    source.apply_list((StoredObject("a", 3, Unreadable()),), 3)
    send_updates(source, subscriber)
    assert read_objects(subscriber)["a"].spec == Unreadable()


def test_stale_list_reverts_nothing():
    """Guards against a leaving runner that gets requests again after a stale list."""
    replica = Replica("k")
    assert replica.apply_list((StoredObject("a", 5, 1),), 5)
    assert not replica.apply_list((StoredObject("a", 3, 0),), 4)
    assert read_objects(replica)["a"].spec == 1


def test_subscriber_older_than_removal_history_gets_full_list(monkeypatch):
    """Guards against removed objects that a subscriber keeps after a long absence."""
    monkeypatch.setattr(replicas, "MAX_REMOVED_OBJECTS", 2)
    names = ["a", "b", "c", "d"]
    source, subscriber = Replica("k"), Replica("k")
    objects = tuple(StoredObject(name, 3, 1) for name in names)
    for replica in (source, subscriber):
        replica.apply_list(objects, 5)
    for number, name in enumerate(names):
        removal = Change(StoredObject(name, 3, 1), removed=True)
        source.apply_changes((removal,), 6 + number)
    assert source.find_base(5) == 0
    send_updates(source, subscriber)
    assert not read_objects(subscriber)


def test_object_created_again_after_its_removal_is_kept():
    """Guards against losing an object whose removal and new creation come in one answer
    of the store, such as the entry of a runner that lapsed and came back."""
    history = History()
    history.write("a", 1)
    replica = Replica("kind")
    replica.apply_list(tuple(history.objects.values()), history.revision)
    known = history.revision
    history.remove("a")
    history.write("a", 2)
    changes = history.list_changes(known, history.revision)
    assert replica.apply_changes(changes, history.revision) == list(changes)
    assert read_objects(replica) == history.objects


def test_replica_that_was_never_read_has_nothing_to_tell():
    """A relay that starts while the store is away sends its empty state to each
    subscriber again and again, and both spend all their processor time on that."""
    source = Replica("k")
    assert not source.encode_changes(0)
    source.apply_list((), 5)
    assert source.encode_changes(0)
    assert not source.encode_changes(5)
