"""Ends of attempts: who closes a runner's connection, and what the caller has got."""

import anyio
import pytest

from ..relay.models import RetryPolicy
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

pytestmark = pytest.mark.anyio

DEADLINE_MS = "400"
SLOW_SECONDS = 5.0
LAST_EVENT = 4


async def answer_or_stream(stream, head):
    """Answer at once, or send events slowly to whoever asks for a stream."""
    if find_header(head, "x-stream") is None:
        return await answer_normally(stream, head)
    await stream.send(make_stream_head(head))
    for number in range(1, LAST_EVENT + 1):
        await stream.send(make_chunk(make_event(number)))
        await anyio.sleep(0.1)
    await stream.send(make_chunk(b""))
    return True


async def end_stream_at_once(stream, head):
    events = b"".join(make_event(n) for n in range(1, LAST_EVENT + 1))
    if find_header(head, "x-stream") == "slow":
        return await answer_or_stream(stream, head)
    await stream.send(make_stream_head(head) + make_chunk(events) + make_chunk(b""))
    return True


async def read_slowly(relay, leaves, **headers):
    """Call without reading the answer's end until the deadline or until leaving."""
    headers |= {"knapweedrail_request_id": "slow"}
    if leaves:
        headers |= {"disconnects_after": float(DEADLINE_MS) / 1000}
    else:
        headers |= {"knapweedrail_deadline_ms": DEADLINE_MS}
    await relay.call(end_delay=SLOW_SECONDS, **headers)


@pytest.mark.parametrize("leaves", [False, True], ids=["deadline", "leaves"])
@pytest.mark.parametrize("script", [answer_or_stream, end_stream_at_once])
async def test_end_of_a_slow_reader_leaves_other_requests_alone(script, leaves):
    """Guards against an attempt that closes a connection which it has returned to the
    pool, and on which another caller's request runs by then."""
    route = make_route(RetryPolicy.STREAM, resumable=False, timeout=SLOW_SECONDS)
    runner = ScriptedRunner(script)
    streams = {} if script is answer_or_stream else {"x_stream": "quick"}
    answers = []
    async with run_relay(make_configuration(route), runner) as relay:
        async with anyio.create_task_group() as group:

            async def read_stream():
                await anyio.sleep(0.15)
                answers.append(await relay.call(x_stream="slow"))
                answers.append(await relay.call(x_stream="slow"))

            group.start_soon(read_stream)
            await read_slowly(relay, leaves, **streams)
        open_counts = dict(relay.pool.open_counts)
    assert [(one.status, one.complete) for one in answers] == [(200, True)] * 2
    assert sum(open_counts.values()) == 1


async def test_slow_reader_counts_as_no_failure_of_the_runner():
    """Guards against a sound runner that is avoided, as a caller reads slowly."""
    route = make_route(RetryPolicy.ONCE)
    runner = ScriptedRunner(answer_normally)
    async with run_relay(make_configuration(route), runner) as relay:
        await read_slowly(relay, leaves=False)
        (view,) = relay.table.list_views("e", 0.0)
    assert view.failure_rate == 0


def resume_events(head):
    """Return a whole stream of the events after the last that the caller has."""
    first = int(find_header(head, "last-event-id") or 0) + 1
    events = [make_chunk(make_event(n)) for n in range(first, LAST_EVENT + 1)]
    return make_stream_head(head) + b"".join(events) + make_chunk(b"")


def spoil_seal(answer):
    return answer.replace(b"Knapweedrail-Response-Seal: s\r\n", b"")


SPOILED = {
    "unsealed": spoil_seal,
    "unsealed and cut": lambda answer: spoil_seal(answer)[:-20],
}


@pytest.mark.parametrize("spoil", SPOILED.values(), ids=SPOILED)
async def test_stream_after_an_unsealed_answer_begins_with_its_first_event(spoil):
    """Guards against a resumption after events that the caller never got."""
    calls = 0

    async def respond(stream, head):
        nonlocal calls
        calls += 1
        answer = resume_events(head)
        await stream.send(spoil(answer) if calls == 1 else answer)
        return True

    route = make_route(RetryPolicy.STREAM, resumable=True)
    runners = ScriptedRunner(respond), ScriptedRunner(respond)
    async with run_relay(make_configuration(route), *runners) as relay:
        answer = await relay.call()
    whole = b"".join(make_event(n) for n in range(1, LAST_EVENT + 1))
    assert calls == 2
    assert (answer.status, answer.body, answer.complete) == (200, whole, True)


async def test_events_of_an_unsealed_answer_cost_no_tokens():
    """Guards against tokens that are charged for events which the caller never got."""

    async def respond(stream, head):
        await stream.send(spoil_seal(resume_events(head)))
        return True

    route = make_route(RetryPolicy.STREAM, resumable=False)
    configuration = make_configuration(route, prepaid=1000)
    async with run_relay(configuration, ScriptedRunner(respond)) as relay:
        answer = await relay.call(knapweedrail_token_usage="10,100")
        await anyio.sleep(0.1)
        spent = relay.holdings._get_holding("farm").allowance.spent
    assert answer.status == 502
    assert spent == 10


async def test_refused_stream_is_answered_by_another_runner_from_its_start():
    """A runner that hasn't run the request has sent none of its events."""
    calls = 0

    async def respond(stream, head):
        nonlocal calls
        calls += 1
        refusal = make_answer(head, b"", 503, Knapweedrail_Not_Executed="1")
        await stream.send(refusal if calls == 1 else resume_events(head))
        return True

    route = make_route(RetryPolicy.STREAM, resumable=True)
    runners = ScriptedRunner(respond), ScriptedRunner(respond)
    async with run_relay(make_configuration(route), *runners) as relay:
        answer = await relay.call()
    assert answer.body.startswith(make_event(1)) and answer.complete
