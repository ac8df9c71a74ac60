"""What relays tell each other of the store's objects, in any order."""

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ..relay import replicas
from ..relay.replicas import News, OutOfStepError, Replica, Told, decode_items
from ..relay.stores import Change, StoredObject, Unreadable

NAMES = ("a", "b", "c")
PADDING = "x" * (replicas.LARGE_BYTES + 1)


class History:
    """A kind of a store's objects, at each of its revisions."""

    def __init__(self):
        self.revision = 1
        self.objects = {}
        self.events = []
        self.states = {1: {}}

    def write(self, name, value, large=False):
        self.revision += 1
        spec = {"value": value} | ({"padding": PADDING} if large else {})
        self.objects[name] = StoredObject(name, self.revision, spec)
        self._note(Change(self.objects[name], removed=False))

    def remove(self, name):
        if name in self.objects:
            self.revision += 1
            self._note(Change(self.objects.pop(name), removed=True))

    def pass_by(self):
        """Change an object of another kind."""
        self.revision += 1
        self.states[self.revision] = dict(self.objects)

    def _note(self, change):
        self.events.append((self.revision, change))
        self.states[self.revision] = dict(self.objects)

    def list_changes(self, since, until):
        return tuple(c for at, c in self.events if since < at <= until)


def read_objects(replica):
    return dict(replica._objects)


def pass_on(teller, reader):
    """Tell a reader all that it lacks."""
    since = reader.revision
    reader.take_news(
        News(
            "k",
            teller.find_base(since),
            teller.revision,
            decode_items(teller.tell(since)),
        )
    )


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["write", "large", "remove", "pass", "list", "watch", "tell"]),
        st.integers(0, 2),
        st.integers(0, 2),
        st.integers(0, 30),
    ),
    max_size=40,
)


def play(steps):
    """Let three relays hear of a history in some order; check each at every step."""
    history = History()
    relays = [Replica("k", keep_patches=n != 1) for n in range(3)]
    for step, one, other, back in steps:
        relay, before = relays[one], relays[one].revision
        at = max(1, history.revision - back)
        match step:
            case "write" | "large":
                history.write(NAMES[other], back, step == "large")
            case "remove":
                history.remove(NAMES[other])
            case "pass":
                history.pass_by()
            case "list":
                relay.replace_all(tuple(history.states[at].values()), at)
            case "watch" if relay.revision:
                # Its answer may come after others told of more.
                since = min(relay.revision, at)
                until = max(since, history.revision - other)
                relay.select(history.list_changes(since, until), until)
            case "tell" if one != other:
                try:
                    pass_on(relays[other], relay)
                except OutOfStepError as error:
                    assert not error.fetch
        assert relay.revision >= before
        if relay.revision:
            assert read_objects(relay) == history.states[relay.revision]


@given(STEPS)
def test_each_relay_has_the_store_as_it_was_at_its_revision(steps):
    """Guards against objects that are missed, come back or go back at some relay."""
    play(steps)


def test_a_replica_that_drops_one_change_is_found(monkeypatch):
    """Guards against a check that wouldn't notice a watcher that loses an event."""
    tell = Replica.tell

    def drop(self, since):
        items = replicas.orjson.loads(tell(self, since) or b"[]")
        return replicas.orjson.dumps(items[1:])

    monkeypatch.setattr(Replica, "tell", drop)
    steps = [("write", 0, 0, 1), ("write", 0, 1, 2), ("list", 0, 0, 0)]
    with pytest.raises(AssertionError):
        play([*steps, ("tell", 1, 0, 0)])


def make_pair(size):
    """Return a teller with a large object, and a reader that has it."""
    teller, reader = Replica("k", keep_patches=True), Replica("k")
    first = StoredObject("a", 5, {"list": ["x" * 40] * size})
    for replica in (teller, reader):
        replica.replace_all((first,), 5)
    return teller, reader


def change(teller, spec, revision):
    teller.select((Change(StoredObject("a", revision, spec), False),), revision)


def test_a_large_object_is_told_by_its_difference():
    """Guards against whole configurations to each relay over a small link."""
    teller, reader = make_pair(1000)
    for revision in (7, 9):
        change(teller, {"list": ["x" * 40] * 1000, "version": revision}, revision)
    told = teller.tell(5)
    assert len(told) < 300
    pass_on(teller, reader)
    assert read_objects(reader)["a"].spec["version"] == 9


def test_what_is_too_large_is_left_to_the_store():
    """Guards against a link that is full for seconds as many relays are told."""
    teller, reader = make_pair(10)
    change(teller, {"list": ["y" * 40] * 2000}, 7)
    assert decode_items(teller.tell(5))[0].told is Told.LARGE
    with pytest.raises(OutOfStepError) as caught:
        pass_on(teller, reader)
    assert caught.value.fetch
    assert reader.revision == 5


def test_a_difference_of_another_version_is_not_taken_in():
    """Guards against a configuration that is made of two."""
    teller, reader = make_pair(1000)
    change(teller, {"list": ["x" * 40] * 1000, "version": 7}, 7)
    items = decode_items(teller.tell(5))
    strange = [attrs.evolve(item, base=4) for item in items]
    with pytest.raises(OutOfStepError) as caught:
        reader.take_news(News("k", 5, 7, tuple(strange)))
    assert caught.value.fetch
    assert reader.revision == 5


def test_news_that_skip_a_revision_are_not_taken_in():
    """Guards against changes between two pieces of news that nobody misses."""
    reader = Replica("k")
    reader.replace_all((), 5)
    with pytest.raises(OutOfStepError) as caught:
        reader.take_news(News("k", 7, 9))
    assert not caught.value.fetch


def test_an_object_that_cannot_be_read_is_told_as_such():
    """Guards against each relay of a fleet that reads a spoilt object for itself."""
    teller, reader = Replica("k", keep_patches=True), Replica("k")
    teller.replace_all((StoredObject("a", 3, Unreadable()),), 3)
    pass_on(teller, reader)
    assert read_objects(reader)["a"].spec == Unreadable()


def test_a_list_of_long_ago_takes_nothing_back():
    """Guards against a leaving runner that gets work again by a stale list."""
    replica = Replica("k")
    assert replica.replace_all((StoredObject("a", 5, 1),), 5)
    assert not replica.replace_all((StoredObject("a", 3, 0),), 4)
    assert read_objects(replica)["a"].spec == 1


def test_a_reader_from_before_all_that_is_remembered_gets_everything(monkeypatch):
    """Guards against removed objects that stay at a reader that was away for long."""
    monkeypatch.setattr(replicas, "MOST_REMOVED", 2)
    names = ["a", "b", "c", "d"]
    teller, reader = Replica("k"), Replica("k")
    objects = tuple(StoredObject(name, 3, 1) for name in names)
    for replica in (teller, reader):
        replica.replace_all(objects, 5)
    for number, name in enumerate(names):
        gone = Change(StoredObject(name, 3, 1), removed=True)
        teller.select((gone,), 6 + number)
    assert teller.find_base(5) == 0
    pass_on(teller, reader)
    assert not read_objects(reader)
