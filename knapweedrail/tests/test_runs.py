"""Tests of the table of runs: each follower gets the whole answer, once."""

from contextlib import aclosing

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ..runs import Begun, Chunk, End, Mismatch, Run, Running, RunTable, Waiting

KEEP_SECONDS = 10.0

STEP = st.one_of(
    st.tuples(st.just("append"), st.integers(0, 2), st.integers(0, 3)),
    st.tuples(st.just("follow"), st.integers(0, 2), st.integers(0, 6)),
    st.tuples(st.just("finish"), st.integers(0, 2), st.booleans()),
    st.tuples(st.just("retry"), st.integers(0, 2), st.just(0)),
    st.tuples(st.just("wait"), st.just(0), st.sampled_from([0.0, 4.0, 20.0])),
    st.tuples(st.just("settle"), st.just(0), st.just(0)),
)


class Follower:
    """Reads a run and keeps what it got and what the run held in the end."""

    def __init__(self, run, offset):
        self.run = run
        self.offset = offset
        self.items = []

    async def read(self):
        async with aclosing(self.run.follow(self.offset)) as items:
            async for item in items:
                self.items.append(item)


class Story:
    """Runs of three identities under a sequence of steps, and what they produced."""

    def __init__(self, table):
        self.table = table
        self.now = 0.0
        self.runs = {}
        self.said = {}
        self.whole = {}
        self.followers = []

    async def take(self, group, step, number, argument):
        run = self.runs.get(number)
        if step == "wait":
            self.now += argument
            self.table.evict(self.now)
        elif step == "settle":
            await anyio.wait_all_tasks_blocked()
        elif step == "retry" or run is None:
            self.retry(number)
        elif step == "follow":
            follower = Follower(run, argument)
            self.followers.append(follower)
            group.start_soon(follower.read)
        elif step == "append" and run not in self.whole:
            data = bytes([65 + len(self.said[run])]) * argument
            self.said[run].append(data)
            run.append(data)
        elif step == "finish" and run not in self.whole:
            self.whole[run] = argument
            run.finish(argument, self.now)

    def retry(self, number):
        begun = self.table.begin("account", str(number), "content", self.now)
        run = begun.run
        if isinstance(begun, Begun):
            self.runs[number] = run
            self.said[run] = []
        elif run in self.whole:
            # Only a whole answer may be offered to a retry after the run's end.
            assert self.whole[run] and run.first == 0

    def check(self):
        for follower in self.followers:
            said = self.said[follower.run]
            *chunks, end = follower.items
            assert isinstance(end, End)
            count = len(chunks)
            offsets = range(follower.offset, follower.offset + count)
            assert [item.offset for item in chunks] == list(offsets)
            assert [item.data for item in chunks] == [said[i] for i in offsets]
            if end.whole:
                assert self.whole[follower.run]
                assert count == max(0, len(said) - follower.offset)


def tell(table, steps):
    """Play steps on a table, end every run, and check all followers."""

    async def play():
        story = Story(table)
        async with anyio.create_task_group() as group:
            for step in steps:
                await story.take(group, *step)
            await anyio.wait_all_tasks_blocked()
            for run in set(story.said) - set(story.whole):
                story.whole[run] = False
                run.finish(False, story.now)
        story.check()
        assert table.size == sum(run.size for run in table._runs.values())

    anyio.run(play)


@given(st.lists(STEP, max_size=40), st.sampled_from([1_000, 2_500, 100_000]))
@settings(max_examples=300)
def test_every_follower_gets_each_chunk_once_and_no_cut_answer_as_whole(steps, memory):
    """A caller's connection breaks and its retry follows the run that still goes on,
    while other answers press for memory. A chunk twice or missing changes the roster
    that the caller reads, and a cut answer that passes for whole sends a gang out with
    half of it."""
    tell(RunTable(KEEP_SECONDS, memory), steps)


class WholeAtAnyEnd(RunTable):
    """Takes the end of the engine's connection for the end of the answer."""

    def begin(self, *args):
        begun = super().begin(*args)
        if isinstance(begun, Begun):
            run = begun.run
            run.finish = lambda whole, now: Run.finish(run, True, now)
        return begun


class ForgetsOffsets(RunTable):
    """Drops chunks under pressure without telling readers which are gone."""

    def begin(self, *args):
        begun = super().begin(*args)
        if isinstance(begun, Begun):
            run = begun.run
            run.trim = run._chunks.clear
        return begun


@pytest.mark.parametrize(
    ("variant", "whole"), [(WholeAtAnyEnd, False), (ForgetsOffsets, True)]
)
def test_the_check_catches_a_wrong_table(variant, whole):
    """A table that marks every end as whole, or loses count of dropped chunks, gives
    a caller half an answer as a whole one; the check must notice both."""
    settle = ("settle", 0, 0)
    steps = [("retry", 0, 0), ("follow", 0, 0), settle, ("append", 0, 3), settle]
    steps += [("append", 0, 2), ("follow", 0, 0), settle, ("finish", 0, whole)]
    with pytest.raises((AssertionError, ExceptionGroup)):
        tell(variant(KEEP_SECONDS, 550), steps)
    tell(RunTable(KEEP_SECONDS, 550), steps)


def test_a_retry_with_another_content_is_told_so():
    """A caller reuses a request identity for another request. Given the first one's
    answer, it would take a stranger's roster for its own."""
    table = RunTable(KEEP_SECONDS, 10_000)
    run = table.begin("account", "one", "content", 0.0).run
    assert isinstance(table.begin("account", "one", "other", 0.0), Mismatch)
    assert table.begin("account", "one", "content", 0.0) == Running(run)
    assert isinstance(table.begin("another account", "one", "other", 0.0), Begun)


def test_a_follower_hears_that_a_queued_run_still_goes_on():
    """A request waits in a queue for longer than a connection may be silent. Without
    word its retry on another router would give it up and run it a second time."""

    async def check():
        run = RunTable(KEEP_SECONDS, 10_000).begin("a", "one", "content", 0.0).run
        async with aclosing(run.follow(0, 0.001)) as items:
            assert await anext(items) == Waiting(0)
            run.append(b"x")
            assert await anext(items) == Chunk(0, b"x")

    anyio.run(check)
