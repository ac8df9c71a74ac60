"""Runners that start again under the name that they had."""

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ..platform.decoding import decode_runner
from ..relay.followers import RunnerFollower
from ..relay.models import Repetition
from ..relay.runners import RunnerTable
from ..relay.stores import StoredObject
from ..relay.suspects import CRASHES, Suspects
from .relays_in_memory import (
    MemoryStore,
    ScriptedRunner,
    answer_well,
    make_answer,
    make_configuration,
    make_route,
    run_relay,
)

pytestmark = pytest.mark.anyio

OLD = 1_700_000_000_000
NEW = OLD + 5000
DOUBT = 1.9


def make_entry(born=None, **changes):
    spec = {
        "service": "e",
        "address": "127.0.0.1:1",
        "zone": "dc",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "coldLeftMs": 0,
        "seq": 1,
    }
    return spec | ({} if born is None else {"born": born}) | changes


class Listed:
    """A table of runners, and the entries that it is told."""

    def __init__(self, table=None):
        self.table = table or RunnerTable(DOUBT)
        self.follower = RunnerFollower(
            MemoryStore(), "servers", 1.0, decode_runner, self.table
        )
        self.revision = 0

    def _store(self, name, spec):
        self.revision += 1
        return StoredObject(name, self.revision, spec)

    def write(self, name, born=None, **changes):
        self.follower.set(self._store(name, make_entry(born, **changes)))

    def remove(self, name, born=None):
        self.follower.remove(self._store(name, make_entry(born)))

    def list(self, **specs):
        stored = [self._store(name, spec) for name, spec in specs.items()]
        self.follower.replace_all(tuple(stored))

    def find(self, endpoint="e", now=0.0):
        return self.table.list_views(endpoint, now)


def give_work(table, view, now=10.0):
    """Have a request sent to a runner, and everything go wrong there."""
    attempt = object()
    table.note_sent(view, 500, attempt, 0, now)
    table.note_load(view, 8, 3, now)
    table.note_answer(view, 4.0, now)
    table.note_prefix("part", view, now)
    table.note_wait(view, 2.0, True, now)
    table.note_full(view, now)
    table.note_failure(view, now, certain=True)
    return attempt


def is_fresh(view, now=10.0):
    loads = view.estimate_load(now), view.estimate_unread(100.0, now)
    return (
        loads == (0, 0)
        and view.measure_wait(0, now) == 0.0
        and view.is_rested(now)
        and not (view.latency or view.failing or view.ejection)
    )


async def test_a_runner_that_starts_again_is_believed_to_hold_and_know_nothing():
    """A runner was full, slow and failing as it crashed. Its next life is idle and well
    under the same name, but stays ejected and unused while callers wait elsewhere."""
    listed = Listed()
    listed.write("i-0", OLD)
    (before,) = listed.find()
    give_work(listed.table, before)
    listed.write("i-0", NEW, seq=1)
    (view,) = listed.find()
    assert is_fresh(view)
    assert listed.table.find_prefix("part", 10.1) != view.runner.life


async def test_what_an_ended_life_still_tells_is_not_held_against_the_next():
    """Requests sent to a life that crashed end one by one after the next is listed.
    Each would take one off the new life's load, or eject it for what it never did."""
    listed = Listed()
    listed.write("i-0", OLD)
    (before,) = listed.find()
    attempt = give_work(listed.table, before)
    listed.write("i-0", NEW)
    table = listed.table
    table.note_begun(before, 500, attempt)
    table.note_ended(before)
    assert not table.note_failure(before, 11.0, certain=True)
    assert not table.note_silence(before, 12.5)
    table.note_prefix("part", before, 12.5)
    table.note_full(before, 12.5)
    (view,) = listed.find()
    assert is_fresh(view, 12.5)
    assert table.is_rested(view, 12.5)
    assert table.find_prefix("part", 12.5) != view.runner.life


async def test_an_answer_of_an_ended_life_does_not_end_a_cut():
    """It was on its way before the cut. Taken for a sign that the data centre can be
    reached, it would send a caller to each of its silent runners."""
    listed = Listed()
    listed.write("i-0", OLD)
    (before,) = listed.find()
    listed.write("i-0", NEW)
    (view,) = listed.find()
    assert listed.table.note_silence(view, 20.0)
    listed.table.note_answer(before, 0.1, 20.1)
    assert not listed.table.is_rested(view, 20.2)


async def test_a_late_entry_of_an_earlier_life_changes_nothing():
    """A write of a life that has ended is carried out seconds late. The next life would
    count as leaving, or get its requests at an address where nobody listens."""
    listed = Listed()
    listed.write("i-0", NEW)
    (view,) = listed.find()
    attempt = object()
    listed.table.note_sent(view, 500, attempt, 0, 10.0)
    listed.write("i-0", OLD, state="draining", address="127.0.0.1:9", seq=900)
    listed.write("i-0", None, state="draining")
    listed.remove("i-0", OLD)
    listed.list(**{"i-0": make_entry(OLD, address="127.0.0.1:9")})
    assert listed.find() == [view]
    assert view.runner.address == "127.0.0.1:1" and view.running == 1


async def test_a_late_entry_does_not_bring_an_ended_life_back():
    """Both lives of a runner are over, and the relay has forgotten it. A write of the
    first one lands then: requests would go to nobody."""
    listed = Listed()
    listed.write("i-0", OLD)
    listed.write("i-0", NEW)
    listed.table.remove_runner("i-0", 10.0)
    assert listed.table.prune(20.0)
    listed.write("i-0", OLD)
    assert listed.find() == []
    assert listed.find(now=20.0) == []


async def test_a_life_that_leaves_does_not_make_the_next_one_leave():
    listed = Listed()
    listed.write("i-0", OLD, state="draining")
    assert listed.find() == []
    listed.write("i-0", NEW)
    assert len(listed.find()) == 1


async def test_a_life_of_another_endpoint_gets_no_work_of_the_former_one():
    """A runner starts again for another service. Calls of the first one would be run by
    the wrong service."""
    listed = Listed()
    listed.write("i-0", OLD)
    listed.write("i-0", NEW, service="other")
    assert listed.find("e") == []
    assert len(listed.find("other")) == 1


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["write", "list", "remove"]),
            st.integers(1, 4),
            st.sampled_from(["ready", "draining"]),
            st.sampled_from(["e", "other"]),
        ),
        min_size=1,
        max_size=12,
    )
)
def test_the_newest_life_told_of_counts_in_whatever_order_word_comes(changes):
    anyio.run(check_newest_life, changes)


async def check_newest_life(changes):
    listed = Listed()
    newest, entry = 0, None
    for step, life, state, service in changes:
        spec = {"state": state, "service": service}
        if step == "remove":
            listed.remove("i-0", OLD + life)
            entry = None if life >= newest else entry
            continue
        if step == "write":
            listed.write("i-0", OLD + life, **spec)
        else:
            listed.list(**{"i-0": make_entry(OLD + life, **spec)})
        if life >= newest:
            newest, entry = life, (state, service)
    for endpoint in ("e", "other"):
        usable = listed.find(endpoint, now=float("inf"))
        assert len(usable) == (entry == ("ready", endpoint))
        assert all(view.runner.started == OLD + newest for view in usable)


@pytest.mark.parametrize("born", [None, True, "1700000000000", 1.5, -1, 0, [], {}])
async def test_a_start_that_is_none_names_no_runner(born):
    listed = Listed()
    listed.write("i-0", OLD)
    listed.list(**{"i-0": make_entry(OLD), "i-1": make_entry() | {"born": born}})
    assert [view.runner.name for view in listed.find()] == ["i-0"]


def test_a_start_far_ahead_names_no_runner_and_one_ahead_of_a_jump_does():
    """Clocks of hosts differ, and jump by seconds. A start a minute ahead is another
    writer's, and no true life of that name would count until the minute is over."""
    clock = 1_700_000_000.0

    def decode(born):
        return decode_runner("i-0", make_entry(born), read_clock=lambda: clock)

    assert decode(int((clock + 20) * 1000)).started > clock * 1000
    with pytest.raises(ValueError):
        decode(int((clock + 60) * 1000))


async def test_entries_that_tell_no_start_name_runners_as_ever():
    listed = Listed()
    listed.write("i-0")
    assert len(listed.find()) == 1
    listed.write("i-0", OLD)
    assert [view.runner.started for view in listed.find()] == [OLD]


def test_each_lost_life_of_a_runner_counts_against_a_request():
    """One runner comes back under its name each time that the same request crashes it.
    Seen by three relays, the losses would count as one, and it would go on."""
    suspects = [Suspects() for _ in range(CRASHES)]
    lines = []
    for number, relay in enumerate(suspects):
        life = f"i-0@{OLD + number}"
        relay.note_break(life, "bad", number)
        lines += relay.note_crash(life, number + 0.1)
    for line in lines:
        suspects[0].hear([line], 5.0)
    assert suspects[0].blocks("bad", 6.0)


class CountingRunner:
    """Answers well, and tells by which connection each request came."""

    def __init__(self):
        self.connections = []

    async def respond(self, stream, head):
        self.connections.append(id(stream))
        return await answer_well(stream, head)


async def test_a_new_life_gets_new_connections():
    """A connection that is kept leads to the process that has ended; a reset is still
    on its way. Each request sent on it would have an unknown outcome."""
    counting = CountingRunner()
    runner = ScriptedRunner(counting.respond)
    configuration = make_configuration(make_route(Repetition.ONCE))
    async with run_relay(configuration, runner) as relay:
        listed = Listed(relay.table)
        listed.write("i-0", OLD, address=runner.address)
        for number in range(2):
            await relay.call(knapweedrail_request_id=f"old-{number}")
        listed.write("i-0", NEW, address=runner.address)
        for number in range(2):
            await relay.call(knapweedrail_request_id=f"new-{number}")
        await relay.pool.prune(0.0, relay.table.list_lives())
        assert sum(relay.pool.open.values()) == 1
    first, second, third, fourth = counting.connections
    assert first == second and third == fourth
    assert first != third


async def test_a_call_under_way_as_its_runner_starts_again_may_have_run():
    """The life that had the call has ended, and nobody knows what it did. The next one
    turns the same call away as full, which says nothing of the first: a booking that is
    told as not run would be made twice."""
    lives = []

    async def respond(stream, head):
        lives.append(len(lives))
        if len(lives) == 1:
            listed.write("i-0", NEW, address=runner.address)
            return False
        executed = {"Knapweedrail-Not-Executed": "1"}
        await stream.send(make_answer(head, b"", 503, **executed))
        return True

    runner = ScriptedRunner(respond)
    for repetition, arrivals in ((Repetition.ONCE, 1), (Repetition.SAFE, 2)):
        lives.clear()
        route = make_route(repetition, max_runners=2)
        async with run_relay(make_configuration(route), runner) as relay:
            listed = Listed(relay.table)
            listed.write("i-0", OLD, address=runner.address)
            assert (await relay.call()).status == 502
            assert len(lives) == arrivals


async def test_a_request_that_may_be_repeated_goes_to_the_next_life():
    """The only runner has started again. What its former life broke off may run there,
    which is another runner; taken for the same one, the caller would be refused."""

    async def respond(stream, head):
        if len(runner.heads) == 1:
            listed.write("i-0", NEW, address=runner.address)
            return False
        return await answer_well(stream, head)

    runner = ScriptedRunner(respond)
    async with run_relay(
        make_configuration(make_route(Repetition.SAFE)), runner
    ) as relay:
        listed = Listed(relay.table)
        listed.write("i-0", OLD, address=runner.address)
        with anyio.fail_after(3):
            assert (await relay.call()).status == 200


async def test_what_an_ended_life_broke_off_is_not_blamed_on_the_next(monkeypatch):
    """A runner resets a call as it ends in good order, and its next life is gone again
    before it serves. Taken for one life, it would seem to have crashed by that call."""
    told = []
    note_crash = Suspects.note_crash

    def spy(suspects, runner, now):
        told.append((runner, note_crash(suspects, runner, now)))
        return told[-1][1]

    async def break_off(stream, head):
        listed.write("i-0", NEW, address="127.0.0.1:1")
        return False

    monkeypatch.setattr(Suspects, "note_crash", spy)
    runner = ScriptedRunner(break_off)
    route = make_route(Repetition.SAFE)
    async with run_relay(make_configuration(route), runner) as relay:
        listed = Listed(relay.table)
        listed.write("i-0", OLD, address=runner.address)
        await relay.call()
    assert told == [(f"i-0@{NEW}", [])]
