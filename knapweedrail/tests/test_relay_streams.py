"""Tests of event parsing, stream progress and stalled streams."""

import socket

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ..relay.connections import open_stream
from ..relay.models import RetryPolicy
from ..relay.streams import EventSplitter, StreamProgress
from .relays_in_memory import (
    ScriptedRunner,
    answer_normally,
    find_header,
    make_answer,
    make_chunk,
    make_configuration,
    make_event,
    make_route,
    make_stream_head,
    run_relay,
)


def pass_on(progress, events):
    """Returns the bytes of the events that a caller lacks, which it gets."""
    new = progress.select_new(events)
    progress.record_passed_on(new)
    return new.data


@given(st.lists(st.integers(1, 60), max_size=30), st.integers(1, 12))
def test_events_are_whole_for_any_chunk_boundaries(chunk_sizes, count):
    data = b"".join(make_event(n) for n in range(1, count + 1))
    splitter, progress, passed = EventSplitter(), StreamProgress(None), b""
    for size in [*chunk_sizes, len(data)]:
        part, data = data[:size], data[size:]
        passed += pass_on(progress, splitter.feed(part))
    passed += pass_on(progress, splitter.feed(data))
    assert passed == b"".join(make_event(n) for n in range(1, count + 1))
    assert progress.last_event_id == count
    assert splitter.remainder == b""


@given(st.integers(0, 9), st.integers(0, 9))
def test_second_run_adds_only_missing_events(received_count, start):
    """The second runner repeats some of the events that the caller has."""
    progress = StreamProgress(None)
    first = EventSplitter().feed(
        b"".join(make_event(n) for n in range(1, received_count + 1))
    )
    data = pass_on(progress, first)
    second = EventSplitter().feed(
        b"".join(make_event(n) for n in range(min(start, received_count) + 1, 11))
    )
    data += pass_on(progress, second)
    assert data == b"".join(make_event(n) for n in range(1, 11))


@given(st.sampled_from([b"\n", b"\r\n"]), st.integers(1, 4), st.data())
def test_only_ends_of_events_are_between_events(line_end, count, data):
    """A run that is cut at any byte but the end of an event was broken off."""
    events = [make_event(n).replace(b"\n", line_end) for n in range(1, count + 1)]
    stream = b"".join(events)
    cut = data.draw(st.integers(0, len(stream)))
    split = data.draw(st.integers(0, cut))
    splitter = EventSplitter()
    splitter.feed(stream[:split])
    splitter.feed(stream[split:cut])
    ends = {len(b"".join(events[:n])) for n in range(count + 1)}
    assert splitter.is_between_events == (cut in ends)
    assert splitter.has_events == (cut >= len(events[0]))


def test_partial_event_is_buffered():
    splitter = EventSplitter()
    assert splitter.feed(make_event(1)[:-1]) == []
    assert splitter.remainder


def test_resuming_caller_gets_events_after_its_last_event_id():
    progress = StreamProgress(2)
    events = EventSplitter().feed(b"".join(make_event(n) for n in range(1, 4)))
    assert pass_on(progress, events) == make_event(3)


def test_events_that_are_not_passed_on_are_no_progress():
    """Guards against a resumption after events that the caller never got."""
    progress = StreamProgress(None)
    events = EventSplitter().feed(make_event(1) + make_event(2))
    assert progress.select_new(events) == progress.select_new(events)
    assert (progress.last_event_id, progress.event_count) == (None, 0)


@pytest.mark.anyio
async def test_stalled_stream_continues_when_no_other_runner_accepts_it():
    """Guards against truncated answers after a stall. The runner pauses for longer than
    the stall timeout and the only other one is full. If the relay had ended the first
    run by then, the caller would get half an answer, although the runner was about to
    continue. Found by seed 1500 of the soak test."""

    async def pause(stream, head):
        if find_header(head, "last-event-id"):
            full = make_answer(head, b"", 503, Knapweedrail_Not_Executed="1")
            await stream.send(full)
            return True
        await stream.send(make_stream_head(head) + make_chunk(make_event(1)))
        await anyio.sleep(1.5)
        await stream.send(make_chunk(make_event(2)) + make_chunk(b""))
        return True

    route = make_route(RetryPolicy.STREAM, resumable=True)
    runners = ScriptedRunner(pause), ScriptedRunner(pause)
    async with run_relay(make_configuration(route), *runners) as relay:
        answer = await relay.call()
    assert answer.body == make_event(1) + make_event(2)
    assert answer.complete


@pytest.mark.anyio
async def test_stream_that_stalls_repeatedly_continues_at_its_runner():
    """A runner repeatedly pauses a stream for more urgent work, each time for longer
    than the stall timeout, and no other runner has capacity."""

    async def pause(stream, head):
        if find_header(head, "last-event-id"):
            full = make_answer(head, b"", 503, Knapweedrail_Not_Executed="1")
            await stream.send(full)
            return True
        await stream.send(make_stream_head(head))
        for number in (1, 2, 3):
            await stream.send(make_chunk(make_event(number)))
            await anyio.sleep(1.2)
        await stream.send(make_chunk(b""))
        return True

    route = make_route(RetryPolicy.STREAM, resumable=True, max_runners=5, timeout=6.0)
    runners = ScriptedRunner(pause), ScriptedRunner(pause)
    async with run_relay(make_configuration(route), *runners) as relay:
        answer = await relay.call(knapweedrail_deadline_ms="6000")
        assert all(view.running == 0 for view in relay.table.list_views("e", 0.0))
    assert answer.body == make_event(1) + make_event(2) + make_event(3)
    assert answer.complete


@pytest.mark.anyio
@pytest.mark.parametrize("first_event_delay", [0.05, 1.0])
async def test_runs_of_a_stalled_stream_overlap_only_briefly(first_event_delay):
    """A runner stalls, and another one resumes its stream at once or after a delay. If
    both runs continued, the request would take two slots and its caller might pay for
    it twice."""
    ended = []

    async def respond(stream, head):
        if find_header(head, "last-event-id"):
            resumed_at = anyio.current_time()
            await anyio.sleep(first_event_delay)
            await stream.send(make_stream_head(head) + make_chunk(make_event(2)))
            with anyio.fail_after(2.0):
                while not ended:
                    await anyio.sleep(0.01)
            assert ended[0] - resumed_at < 0.4
            await stream.send(make_chunk(make_event(3)) + make_chunk(b""))
            return True
        await stream.send(make_stream_head(head) + make_chunk(make_event(1)))
        try:
            await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            ended.append(anyio.current_time())
        return False

    route = make_route(RetryPolicy.STREAM, resumable=True)
    runners = ScriptedRunner(respond), ScriptedRunner(respond)
    async with run_relay(make_configuration(route), *runners) as relay:
        answer = await relay.call(knapweedrail_deadline_ms="6000")
    assert answer.body == make_event(1) + make_event(2) + make_event(3)
    assert answer.complete


@pytest.mark.anyio
async def test_connection_survives_more_than_a_second_of_silence():
    """A sound runner falls silent for a second or so, and all its streams break."""
    runner = ScriptedRunner(answer_normally)
    async with anyio.create_task_group() as group:
        await runner.serve(group)
        stream = await open_stream(runner.address)
        raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        timeout = raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        idle = raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
        interval = raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL)
        await stream.aclose()
        group.cancel_scope.cancel()
    assert 1500 < timeout < 1000 * (idle + interval)
