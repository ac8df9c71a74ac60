"""Tests of request forwarding with faulty runners and callers."""

import time

import anyio
import pytest

from ..relay.attempt_records import UNRESPONSIVE_SECONDS
from ..relay.models import RetryPolicy
from ..relay.suspects import CRASH_LIMIT, make_fingerprint
from .relays_in_memory import (
    WATCH_SECONDS,
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

SAFE = make_route(RetryPolicy.SAFE)
ONCE = make_route(RetryPolicy.ONCE)
STREAM = make_route(RetryPolicy.STREAM, resumable=True)
NON_RESUMABLE_STREAM = make_route(RetryPolicy.STREAM, resumable=False)


async def stream_three_events(stream, head):
    first = int(find_header(head, "last-event-id") or 0) + 1
    data = b"".join(make_chunk(make_event(n)) for n in range(first, 4))
    await stream.send(make_stream_head(head) + data + make_chunk(b""))
    return True


async def test_answer_is_passed_on_unchanged():
    runner = ScriptedRunner(answer_normally)
    async with run_relay(make_configuration(SAFE), runner) as relay:
        answer = await relay.call()
        again = await relay.call()
    assert (answer.status, answer.body, answer.complete) == (200, b"ok", True)
    assert answer.headers["knapweedrail-response-seal"] == "s"
    assert again.status == 200
    head = runner.heads[0]
    assert head.startswith("POST /a/x HTTP/1.1")
    assert runner.bodies[0] == b"hello"
    assert find_header(head, "knapweedrail-tenant") == "farm"
    assert find_header(head, "knapweedrail-expect-instance") == "i-0"
    assert find_header(head, "knapweedrail-key") is None
    assert 0 < int(find_header(head, "knapweedrail-deadline-ms")) <= 3000


async def test_duplicate_answer_is_not_used_for_the_next_request():
    """A faulty runner answers one request twice. The second answer stays in the buffer
    of the pooled connection, and the next request on it would get another caller's
    answer."""

    async def answer_twice(stream, head):
        await stream.send(make_answer(head, b"own") + make_answer(head, b"spare"))
        return True

    runner = ScriptedRunner(answer_twice)
    async with run_relay(make_configuration(SAFE), runner) as relay:
        first = await relay.call(knapweedrail_request_id="id-1")
        second = await relay.call(knapweedrail_request_id="id-2")
    assert first.body == second.body == b"own"
    assert second.headers["knapweedrail-request-id"] == "id-2"


async def test_late_duplicate_answer_closes_the_pooled_connection():
    """The runner's second answer arrives when the connection is already idle in the
    pool."""

    async def answer_twice(stream, head):
        await stream.send(make_answer(head, b"own"))
        await anyio.sleep(0.02)
        await stream.send(make_answer(head, b"spare"))
        return True

    runner = ScriptedRunner(answer_twice)
    async with run_relay(make_configuration(SAFE), runner) as relay:
        await relay.call(knapweedrail_request_id="id-1")
        await anyio.sleep(0.05)
        second = await relay.call(knapweedrail_request_id="id-2")
    assert second.body == b"own"
    assert second.headers["knapweedrail-request-id"] == "id-2"


async def test_answer_to_another_request_is_not_passed_on():
    """A faulty runner answers with another request's identity. The caller must not get
    another caller's answer."""

    async def answer_other(stream, head):
        await stream.send(make_answer(head.replace("id-1", "id-9"), b"theirs"))
        return True

    runner = ScriptedRunner(answer_other)
    async with run_relay(make_configuration(ONCE), runner) as relay:
        answer = await relay.call()
    assert answer.status == 502
    assert b"theirs" not in answer.body


async def test_non_repeatable_request_is_not_retried_after_a_lost_answer():
    """The runner closes the connection after it has read the request, which may have
    run. A retry could run it twice, and a refusal as "not run" would be false."""

    async def close_connection(stream, head):
        return False

    runners = ScriptedRunner(close_connection), ScriptedRunner(close_connection)
    async with run_relay(make_configuration(ONCE), *runners) as relay:
        answer = await relay.call()
    assert answer.status == 502
    assert sum(len(runner.heads) for runner in runners) == 1


async def test_repeatable_request_is_retried_at_another_runner():
    """One runner closes the connection without an answer; the other one answers."""

    async def close_connection(stream, head):
        return False

    runners = ScriptedRunner(close_connection), ScriptedRunner(answer_normally)
    async with run_relay(make_configuration(SAFE), *runners) as relay:
        answers = [await relay.call() for _ in range(5)]
    assert {answer.status for answer in answers} == {200}


async def test_rejected_non_repeatable_request_is_retried():
    """A full runner rejects the request as not executed, and another has capacity."""

    async def reject(stream, head):
        await stream.send(make_answer(head, b"", 503, Knapweedrail_Not_Executed="1"))
        return True

    runners = ScriptedRunner(reject), ScriptedRunner(answer_normally)
    async with run_relay(make_configuration(ONCE), *runners) as relay:
        answers = [await relay.call() for _ in range(4)]
    assert {answer.status for answer in answers} == {200}


async def test_request_rejected_by_every_runner_is_refused_as_not_run():
    """All runners are full. The caller is refused at once, with a retry-after time."""

    async def reject(stream, head):
        await stream.send(make_answer(head, b"", 503, Knapweedrail_Not_Executed="1"))
        return True

    async with run_relay(make_configuration(ONCE), ScriptedRunner(reject)) as relay:
        answer = await relay.call()
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert "knapweedrail-response-seal" not in answer.headers


async def test_failed_connection_does_not_count_as_attempt():
    """A runner has crashed but is still listed. Nothing was sent to it, so even a
    non-repeatable request goes to another runner."""
    runner = ScriptedRunner(answer_normally)
    async with run_relay(make_configuration(ONCE), runner) as relay:
        from .relays_in_memory import make_runner

        relay.table.set_runner(make_runner("i-dead", "127.0.0.1:9"))
        answers = [await relay.call() for _ in range(6)]
    assert {answer.status for answer in answers} == {200}


async def test_error_answer_of_a_runner_is_passed_on():
    async def fail(stream, head):
        await stream.send(make_answer(head, b"broken", 500))
        return True

    async with run_relay(make_configuration(ONCE), ScriptedRunner(fail)) as relay:
        answer = await relay.call()
    assert (answer.status, answer.body) == (500, b"broken")
    assert answer.headers["knapweedrail-response-seal"] == "s"


async def test_broken_stream_resumes_at_another_runner_without_gap_or_duplicate():
    """A runner fails in the middle of the second event. Another one resumes after the
    first, and the caller receives one continuous stream."""

    async def break_mid_event(stream, head):
        if find_header(head, "last-event-id"):
            return await stream_three_events(stream, head)
        part = make_event(2)[:9]
        chunks = make_chunk(make_event(1)) + make_chunk(part)
        await stream.send(make_stream_head(head) + chunks)
        return False

    runners = ScriptedRunner(break_mid_event), ScriptedRunner(break_mid_event)
    async with run_relay(make_configuration(STREAM), *runners) as relay:
        answer = await relay.call()
    assert answer.complete
    assert answer.body == b"".join(map(make_event, (1, 2, 3)))


async def test_stalled_stream_resumes_at_another_runner():
    """A runner stops sending in the middle of its stream, without closing the
    connection. The stream must resume before the caller's timeout of two seconds."""

    async def stall(stream, head):
        if find_header(head, "last-event-id"):
            return await stream_three_events(stream, head)
        await stream.send(make_stream_head(head) + make_chunk(make_event(1)))
        await anyio.sleep(10)
        return False

    runners = ScriptedRunner(stall), ScriptedRunner(stall)
    async with run_relay(make_configuration(STREAM), *runners) as relay:
        with anyio.fail_after(2.0):
            answer = await relay.call()
    assert answer.complete
    assert answer.body == b"".join(map(make_event, (1, 2, 3)))


async def test_broken_non_resumable_stream_is_left_incomplete():
    """The runner breaks off a stream that no other can resume. The caller must not
    mistake the part for the complete answer."""

    async def break_mid_event(stream, head):
        await stream.send(make_stream_head(head) + make_chunk(make_event(1)))
        return False

    runners = ScriptedRunner(break_mid_event), ScriptedRunner(stream_three_events)
    async with run_relay(make_configuration(NON_RESUMABLE_STREAM), runners[0]) as relay:
        answer = await relay.call()
    assert answer.body == make_event(1)
    assert not answer.complete


async def test_caller_disconnect_closes_the_runner_connection():
    """A caller disconnects. Unless the relay closes its connection to the runner, the
    runner would continue to work on an answer that is discarded."""
    ended = anyio.Event()

    async def run_long(stream, head):
        try:
            await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            ended.set()
        return False

    async with run_relay(make_configuration(SAFE), ScriptedRunner(run_long)) as relay:
        await relay.call(disconnects_after=0.05)
        with anyio.fail_after(0.4):
            await ended.wait()


async def test_route_timeout_ends_the_request():
    """A runner accepts a request and never answers. The caller is refused at the
    route's timeout, which is earlier than its deadline."""

    async def never_answer(stream, head):
        await anyio.sleep(10)
        return False

    route = make_route(RetryPolicy.ONCE, timeout=0.3)
    async with run_relay(make_configuration(route), ScriptedRunner(never_answer)) as r:
        with anyio.fail_after(0.6):
            answer = await r.call()
    assert answer.status == 504


async def test_unknown_key_or_route_is_final_only_with_a_confirmed_configuration():
    """A relay that can't reach the store may lack a new key. Refusing the key as
    unknown would be final for the caller, and wrong."""
    async with run_relay(
        make_configuration(SAFE), ScriptedRunner(answer_normally)
    ) as r:
        assert (await r.call(knapweedrail_key="other")).status == 401
        assert (await r.call(path="/b/x")).status == 404
        r.configuration.confirmed_at = float("-inf")
        assert (await r.call(knapweedrail_key="other")).status == 503
        assert (await r.call(path="/b/x")).status == 503


@pytest.mark.parametrize("late, status", [(0.5, 401), (1.5, 503)])
async def test_unknown_key_is_final_only_within_the_confirmation_interval(late, status):
    """Guards against final refusals by a relay whose watch no longer gets updates from
    the store."""
    async with run_relay(
        make_configuration(SAFE), ScriptedRunner(answer_normally)
    ) as r:
        r.configuration.confirmed_at = time.monotonic() - WATCH_SECONDS - late
        assert (await r.call(knapweedrail_key="other")).status == status


async def test_relay_without_configuration_asks_to_retry_later():
    async with run_relay(None) as relay:
        answer = await relay.call()
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0


async def test_tokens_are_charged_for_delivered_events():
    """The prompt is charged once, and one token for each event passed on. The rest of
    the reservation for the largest answer is released."""
    configuration = make_configuration(STREAM, prepaid=1000)
    async with run_relay(configuration, ScriptedRunner(stream_three_events)) as relay:
        await relay.call(knapweedrail_token_usage="100,50")
        balance = relay.holdings._get_holding("farm").allowance.balance
    assert balance.spent == 103
    assert balance.reserved == 0


async def test_request_above_the_budget_is_refused_before_it_runs():
    """The account has fewer tokens left than the request may use."""
    configuration = make_configuration(STREAM, prepaid=120)
    runner = ScriptedRunner(stream_three_events)
    async with run_relay(configuration, runner) as relay:
        await anyio.sleep(0.05)
        answer = await relay.call(knapweedrail_token_usage="100,50")
    assert answer.status == 402
    assert not runner.heads


async def test_unreachable_budget_is_not_reported_as_spent():
    """The store is unavailable and the relay holds no tokens. The caller is asked at
    once to retry soon, and isn't refused for a spent budget."""
    configuration = make_configuration(STREAM, prepaid=1000)
    runner = ScriptedRunner(stream_three_events)
    async with run_relay(configuration, runner) as relay:
        relay.store.unavailable = True
        await anyio.sleep(0.05)
        with anyio.fail_after(0.6):
            answer = await relay.call(knapweedrail_token_usage="900,50")
    assert answer.status == 503
    assert b"budget-out-of-reach" in answer.body
    assert not runner.heads


async def test_prompt_is_charged_when_the_caller_disconnects():
    """The runner has read the prompt when the caller disconnects. If its tokens were
    released, callers that disconnect early would use the runners for free, and the
    account would use more than it prepaid."""

    async def run_long(stream, head):
        await anyio.sleep(5)
        return False

    configuration = make_configuration(STREAM, prepaid=1000)
    async with run_relay(configuration, ScriptedRunner(run_long)) as relay:
        await relay.call(knapweedrail_token_usage="100,50", disconnects_after=0.1)
        balance = relay.holdings._get_holding("farm").allowance.balance
    assert balance.spent == 100
    assert balance.reserved == 0


async def test_short_route_timeout_does_not_eject_runners():
    """The timeout of a route is shorter than its work takes. If these timeouts counted
    as failures of the runner, the relay would send it no requests for a while."""

    async def run_long(stream, head):
        await anyio.sleep(1)
        return False

    # Half of the threshold: long enough to connect on a busy host, and short enough not
    # to count against the runner, as waits of half a second and longer do.
    route = make_route(RetryPolicy.ONCE, timeout=UNRESPONSIVE_SECONDS / 2)
    async with run_relay(make_configuration(route), ScriptedRunner(run_long)) as relay:
        for _ in range(5):
            assert (await relay.call()).status == 504
        view = relay.table.list_views("e", 0.0)[0]
        assert relay.table.is_available(view, float("inf"))
        assert view.failure_rate == 0.0


async def test_answered_request_is_no_longer_a_suspect():
    """Many callers send the same request, and runners occasionally crash while they run
    it. Without clearing the suspicion after a success, three such crashes would block
    the request for an hour."""
    runner = ScriptedRunner(answer_normally)
    async with run_relay(make_configuration(SAFE), runner) as relay:
        suspects = relay.gateway._services.suspects
        fingerprint = make_fingerprint("farm", "POST", b"/a/x", b"hello")
        for number in range(CRASH_LIMIT + 1):
            suspects.record_broken_request(f"i-{number}", fingerprint, float(number))
            suspects.record_crash(f"i-{number}", number + 0.1)
            assert (await relay.call()).status == 200


async def test_abandoned_request_resets_the_runner_connection():
    """A network partition delays a request and its caller disconnects. When the
    partition heals, the kernel would still deliver the request. It would run
    although no caller waits for it, and twice if the caller has sent it again. A reset
    of the connection discards the unsent data."""
    ends = []

    async def wait_for_end(stream, head):
        try:
            await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError) as error:
            ends.append(type(error))
        return False

    async with run_relay(
        make_configuration(ONCE), ScriptedRunner(wait_for_end)
    ) as relay:
        await relay.call(disconnects_after=0.05)
        await anyio.sleep(0.1)
    assert ends == [anyio.BrokenResourceError]


async def test_caller_disconnects_count_against_an_unresponsive_runner():
    """A data centre is partitioned, and callers with short deadlines disconnect just
    before the relay's timeout. If that didn't count as a failure, the relay would send
    the following requests to the same runner."""

    async def never_answer(stream, head):
        await anyio.sleep(5)
        return False

    async with run_relay(
        make_configuration(ONCE), ScriptedRunner(never_answer)
    ) as relay:
        await relay.call(disconnects_after=0.6)
        view = relay.table.list_views("e", 0.0)[0]
        assert view.failure_rate > 0
        assert not relay.table.is_available(view, time.monotonic())
