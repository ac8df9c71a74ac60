"""Runners that restart under the same name."""

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ..platform.decoding import decode_runner
from ..relay.models import RetryPolicy
from ..relay.runners import RunnerTable
from ..relay.stores import StoredObject
from ..relay.suspects import CRASH_LIMIT, Suspects
from ..relay.watchers import RunnerWatcher
from .relays_in_memory import (
    MemoryStore,
    ScriptedRunner,
    answer_normally,
    make_answer,
    make_configuration,
    make_route,
    run_relay,
)

pytestmark = pytest.mark.anyio

OLD = 1_700_000_000_000
NEW = OLD + 5000
GRACE_SECONDS = 1.9


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


class WatchedRunners:
    """A runner table, and a watcher that applies the entries written by a test."""

    def __init__(self, table=None):
        self.table = table or RunnerTable(GRACE_SECONDS)
        self.watcher = RunnerWatcher(
            MemoryStore(), "servers", 1.0, decode_runner, self.table
        )
        self.revision = 0

    def _store(self, name, spec):
        self.revision += 1
        return StoredObject(name, self.revision, spec)

    def write(self, name, born=None, **changes):
        self.watcher.set(self._store(name, make_entry(born, **changes)))

    def remove(self, name, born=None):
        self.watcher.remove(self._store(name, make_entry(born)))

    def list(self, **specs):
        stored = [self._store(name, spec) for name, spec in specs.items()]
        self.watcher.replace_all(tuple(stored))

    def find(self, endpoint="e", now=0.0):
        return self.table.list_views(endpoint, now)


def load_with_failures(table, view, now=10.0):
    """Send a request to a runner and record every kind of failure there."""
    attempt = object()
    table.record_sent(view, 500, attempt, 0, now)
    table.record_load_report(view, 8, 3, now)
    table.record_success(view, 4.0, now)
    table.record_prefix("part", view, now)
    table.record_prefill_wait(view, 2.0, True, now)
    table.record_rejection(view, now)
    table.record_failure(view, now, certain=True)
    return attempt


def is_clean(view, now=10.0):
    loads = view.estimate_load(now), view.estimate_prefill_backlog(100.0, now)
    return (
        loads == (0, 0)
        and view.estimate_wait(0, now) == 0.0
        and view.is_available(now)
        and not (view.latency or view.failure_rate or view.ejection_seconds)
    )


async def test_restarted_runner_starts_with_clean_state():
    """A runner was full, slow and failing when it crashed. Its next incarnation under
    the same name is idle and healthy, and must not stay ejected while callers wait
    elsewhere."""
    watched = WatchedRunners()
    watched.write("i-0", OLD)
    (before,) = watched.find()
    load_with_failures(watched.table, before)
    watched.write("i-0", NEW, seq=1)
    (view,) = watched.find()
    assert is_clean(view)
    assert watched.table.prefixes.find("part", 10.1) != view.runner.incarnation


async def test_late_results_of_an_ended_incarnation_do_not_affect_the_next():
    """Requests sent to a crashed incarnation end after the next one is listed. Each
    would lower the new incarnation's load, or eject it for failures it didn't cause."""
    watched = WatchedRunners()
    watched.write("i-0", OLD)
    (before,) = watched.find()
    attempt = load_with_failures(watched.table, before)
    watched.write("i-0", NEW)
    table = watched.table
    table.record_prefill_end(before, 500, attempt)
    table.record_finished(before)
    assert not table.record_failure(before, 11.0, certain=True)
    assert not table.record_timeout(before, 12.5)
    table.record_prefix("part", before, 12.5)
    table.record_rejection(before, 12.5)
    (view,) = watched.find()
    assert is_clean(view, 12.5)
    assert table.is_available(view, 12.5)
    assert table.prefixes.find("part", 12.5) != view.runner.incarnation


async def test_answer_of_an_ended_incarnation_does_not_end_a_partition():
    """The answer was sent before the partition. If it counted as a sign that the
    data centre is reachable, each of its unreachable runners would cost a caller a
    timeout."""
    watched = WatchedRunners()
    watched.write("i-0", OLD)
    (before,) = watched.find()
    watched.write("i-0", NEW)
    (view,) = watched.find()
    assert watched.table.record_timeout(view, 20.0)
    watched.table.record_success(before, 0.1, 20.1)
    assert not watched.table.is_available(view, 20.2)


async def test_late_entry_of_an_earlier_incarnation_is_ignored():
    """The store applies a write of an ended incarnation seconds late. The next
    incarnation would count as draining, or get requests at an address without
    listener."""
    watched = WatchedRunners()
    watched.write("i-0", NEW)
    (view,) = watched.find()
    attempt = object()
    watched.table.record_sent(view, 500, attempt, 0, 10.0)
    watched.write("i-0", OLD, state="draining", address="127.0.0.1:9", seq=900)
    watched.write("i-0", None, state="draining")
    watched.remove("i-0", OLD)
    watched.list(**{"i-0": make_entry(OLD, address="127.0.0.1:9")})
    assert watched.find() == [view]
    assert view.runner.address == "127.0.0.1:1" and view.running == 1


async def test_late_entry_does_not_restore_a_pruned_incarnation():
    """Both incarnations of a runner have ended and the relay has pruned it. Then a
    write of the first one is applied: requests would be sent to a process that has
    ended."""
    watched = WatchedRunners()
    watched.write("i-0", OLD)
    watched.write("i-0", NEW)
    watched.table.remove_runner("i-0", 10.0)
    assert watched.table.prune(20.0)
    watched.write("i-0", OLD)
    assert watched.find() == []
    assert watched.find(now=20.0) == []


async def test_draining_incarnation_does_not_drain_the_next():
    watched = WatchedRunners()
    watched.write("i-0", OLD, state="draining")
    assert watched.find() == []
    watched.write("i-0", NEW)
    assert len(watched.find()) == 1


async def test_incarnation_at_another_endpoint_gets_no_requests_of_the_former_one():
    """A runner restarts for another service. Calls for the first service would be run
    by the wrong one."""
    watched = WatchedRunners()
    watched.write("i-0", OLD)
    watched.write("i-0", NEW, service="other")
    assert watched.find("e") == []
    assert len(watched.find("other")) == 1


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
def test_newest_incarnation_wins_in_any_order_of_changes(changes):
    anyio.run(check_newest_incarnation, changes)


async def check_newest_incarnation(changes):
    watched = WatchedRunners()
    newest, entry = 0, None
    for step, start, state, service in changes:
        spec = {"state": state, "service": service}
        if step == "remove":
            watched.remove("i-0", OLD + start)
            entry = None if start >= newest else entry
            continue
        if step == "write":
            watched.write("i-0", OLD + start, **spec)
        else:
            watched.list(**{"i-0": make_entry(OLD + start, **spec)})
        if start >= newest:
            newest, entry = start, (state, service)
    for endpoint in ("e", "other"):
        usable = watched.find(endpoint, now=float("inf"))
        assert len(usable) == (entry == ("ready", endpoint))
        assert all(view.runner.started == OLD + newest for view in usable)


@pytest.mark.parametrize("born", [None, True, "1700000000000", 1.5, -1, 0, [], {}])
async def test_entry_with_an_invalid_start_is_no_runner(born):
    watched = WatchedRunners()
    watched.write("i-0", OLD)
    watched.list(**{"i-0": make_entry(OLD), "i-1": make_entry() | {"born": born}})
    assert [view.runner.name for view in watched.find()] == ["i-0"]


def test_start_may_be_ahead_of_the_clock_by_seconds_but_not_a_minute():
    """Clocks of hosts differ, and jump by seconds. A start a minute ahead belongs to a
    foreign entry. If it counted, no incarnation of that runner would be accepted until
    the minute is over."""
    clock = 1_700_000_000.0

    def decode(born):
        return decode_runner("i-0", make_entry(born), read_clock=lambda: clock)

    assert decode(int((clock + 20) * 1000)).started > clock * 1000
    with pytest.raises(ValueError):
        decode(int((clock + 60) * 1000))


async def test_entries_without_a_start_are_accepted():
    watched = WatchedRunners()
    watched.write("i-0")
    assert len(watched.find()) == 1
    watched.write("i-0", OLD)
    assert [view.runner.started for view in watched.find()] == [OLD]


def test_each_crashed_incarnation_counts_against_a_request():
    """One runner restarts under its name each time the same request crashes it. If
    crashes seen by three relays counted as one, the request would keep crashing it."""
    suspects = [Suspects() for _ in range(CRASH_LIMIT)]
    lines = []
    for number, relay in enumerate(suspects):
        incarnation = f"i-0@{OLD + number}"
        relay.record_broken_request(incarnation, "bad", number)
        lines += relay.record_crash(incarnation, number + 0.1)
    for line in lines:
        suspects[0].merge([line], 5.0)
    assert suspects[0].blocks("bad", 6.0)


class CountingRunner:
    """Answers normally, and records the connection of each request."""

    def __init__(self):
        self.connections = []

    async def respond(self, stream, head):
        self.connections.append(id(stream))
        return await answer_normally(stream, head)


async def test_new_incarnation_gets_new_connections():
    """A pooled connection leads to the process that has ended, whose reset hasn't
    arrived yet. Each request sent on it would have an unknown outcome."""
    counting = CountingRunner()
    runner = ScriptedRunner(counting.respond)
    configuration = make_configuration(make_route(RetryPolicy.ONCE))
    async with run_relay(configuration, runner) as relay:
        watched = WatchedRunners(relay.table)
        watched.write("i-0", OLD, address=runner.address)
        for number in range(2):
            await relay.call(knapweedrail_request_id=f"old-{number}")
        watched.write("i-0", NEW, address=runner.address)
        for number in range(2):
            await relay.call(knapweedrail_request_id=f"new-{number}")
        await relay.pool.prune(0.0, relay.table.list_incarnations())
        assert sum(relay.pool.open_counts.values()) == 1
    first, second, third, fourth = counting.connections
    assert first == second and third == fourth
    assert first != third


async def test_call_interrupted_by_a_restart_may_have_run():
    """The incarnation that got the call has ended, and whether it ran is unknown. The
    next one rejects the same call as full, which says nothing about the first: a
    booking reported as not run would be made twice."""
    attempts = []

    async def respond(stream, head):
        attempts.append(len(attempts))
        if len(attempts) == 1:
            watched.write("i-0", NEW, address=runner.address)
            return False
        executed = {"Knapweedrail-Not-Executed": "1"}
        await stream.send(make_answer(head, b"", 503, **executed))
        return True

    runner = ScriptedRunner(respond)
    for retry_policy, arrivals in ((RetryPolicy.ONCE, 1), (RetryPolicy.SAFE, 2)):
        attempts.clear()
        route = make_route(retry_policy, max_runners=2)
        async with run_relay(make_configuration(route), runner) as relay:
            watched = WatchedRunners(relay.table)
            watched.write("i-0", OLD, address=runner.address)
            assert (await relay.call()).status == 502
            assert len(attempts) == arrivals


async def test_repeatable_request_is_retried_at_the_next_incarnation():
    """The only runner has restarted. A request that its former incarnation broke off
    may run at the new one, which counts as another runner; otherwise the caller would
    be refused."""

    async def respond(stream, head):
        if len(runner.heads) == 1:
            watched.write("i-0", NEW, address=runner.address)
            return False
        return await answer_normally(stream, head)

    runner = ScriptedRunner(respond)
    async with run_relay(
        make_configuration(make_route(RetryPolicy.SAFE)), runner
    ) as relay:
        watched = WatchedRunners(relay.table)
        watched.write("i-0", OLD, address=runner.address)
        with anyio.fail_after(3):
            assert (await relay.call()).status == 200


async def test_broken_call_of_an_ended_incarnation_is_not_blamed_on_the_next(
    monkeypatch,
):
    """A runner resets a call during an orderly shutdown, and its next incarnation ends
    before it accepts connections. If both counted as one, the call would seem to have
    crashed the runner."""
    crashes = []
    record_crash = Suspects.record_crash

    def capture_crash(suspects, runner, now):
        crashes.append((runner, record_crash(suspects, runner, now)))
        return crashes[-1][1]

    async def break_off(stream, head):
        watched.write("i-0", NEW, address="127.0.0.1:1")
        return False

    monkeypatch.setattr(Suspects, "record_crash", capture_crash)
    runner = ScriptedRunner(break_off)
    route = make_route(RetryPolicy.SAFE)
    async with run_relay(make_configuration(route), runner) as relay:
        watched = WatchedRunners(relay.table)
        watched.write("i-0", OLD, address=runner.address)
        await relay.call()
    assert crashes == [(f"i-0@{NEW}", [])]
