"""Tests of the decisions under load, one event at a time."""

import random

import pytest

from ..dispatch import Dispatcher, Ended, EndedKind, LoadReport, Start, Work
from ..models import ENGINE, Endpoint, Rules, Runner
from ..outcomes import Ran, RefusalKind
from ..retries import MAX_ATTEMPTS, RETRY_RESERVE

RUNNERS = tuple(Runner(f"r{n}", f"127.0.0.1:{n}", "a") for n in range(3))
FAR = tuple(Runner(f"far{n}", f"127.0.1.1:{n}", "b") for n in range(2))
OK = Ended(EndedKind.OK, 0.1, 1.0)
CRASHED = Ended(EndedKind.CRASHED)
FAILED = Ended(EndedKind.FAILED)
REFUSED = Ended(EndedKind.REFUSED)


def make_dispatcher(slots=2, runners=RUNNERS):
    endpoint = Endpoint("llm", ENGINE, runners, slots)
    dispatcher = Dispatcher(endpoint, "a", Rules(), random.Random(1))
    dispatcher.set_runners(runners, 0.0)
    return dispatcher


def make_work(number, **kwargs):
    kwargs.setdefault("deadline", 30.0)
    kwargs.setdefault("fingerprint", f"f{number}")
    return Work(f"w{number}", "account", max_answer_tokens=100, **kwargs)


def run_ticks(dispatcher, now, until):
    """Call `tick` whenever it is due, and return all decisions."""
    decisions = []
    while (due := dispatcher.next_tick()) is not None and due <= until:
        now = max(now, due)
        decisions += dispatcher.tick(now)
    return decisions


def submit_all(dispatcher, count, now=0.0, **kwargs):
    return [
        decision
        for number in range(count)
        for decision in dispatcher.submit(make_work(number, **kwargs), now)
    ]


def test_work_starts_while_there_is_room_and_then_waits():
    dispatcher = make_dispatcher()
    starts = submit_all(dispatcher, 7)
    assert len(starts) == 6
    assert all(isinstance(decision, Start) for decision in starts)
    assert dispatcher.finished("w0", starts[0].runner, OK, 1.0) == [
        Start("w6", starts[0].runner)
    ]


def test_work_submitted_twice_starts_once():
    """A caller's retry reaches the same router while the first is under way. Started
    twice, it would run twice."""
    dispatcher = make_dispatcher()
    assert len(dispatcher.submit(make_work(1), 0.0)) == 1
    assert dispatcher.submit(make_work(1), 0.0) == []


def test_no_runner_is_refused_at_once_as_not_run():
    """All runners have left. A caller that was held until its deadline would learn it
    half a minute late."""
    dispatcher = make_dispatcher(runners=())
    [refuse] = dispatcher.submit(make_work(1), 0.0)
    assert refuse.refusal.kind is RefusalKind.NO_ENDPOINT
    assert refuse.refusal.ran is Ran.NOT_RUN
    assert refuse.refusal.retry_after > 0


def test_a_leaving_runner_gets_nothing_new_and_keeps_its_runs():
    """The news comes by the runner's own report while the platform is away. Work sent
    there would be refused, or cut off when it ends."""
    dispatcher = make_dispatcher()
    dispatcher.report("r0", LoadReport(0, 0, 2, 1.0, leaving=True), 1.0)
    starts = submit_all(dispatcher, 6, now=1.0)
    assert {start.runner for start in starts} == {"r1", "r2"}
    dispatcher.report("r0", LoadReport(0, 0, 2, 0.5), 1.5)
    assert run_ticks(dispatcher, 1.5, 1.5) == []


def test_an_old_report_does_not_hide_what_was_sent_since():
    """A report from before a burst arrives after it and shows an empty runner. Taken
    at its word, the router would send a second burst to the same runner."""
    dispatcher = make_dispatcher(runners=RUNNERS[:1])
    assert len(submit_all(dispatcher, 4, now=10.0)) == 2
    dispatcher.report("r0", LoadReport(0, 0, 2, 9.0), 11.0)
    assert run_ticks(dispatcher, 11.0, 11.0) == []


def test_work_of_other_routers_takes_up_room():
    dispatcher = make_dispatcher(runners=RUNNERS[:1])
    dispatcher.report("r0", LoadReport(2, 3, 2, 1.0), 1.0)
    assert dispatcher.submit(make_work(1), 1.0) == []


def test_the_own_data_centre_comes_first_and_others_when_it_is_gone():
    """All runners of a data centre crash together. Its callers should be served by the
    neighbours, but only then."""
    dispatcher = make_dispatcher(runners=RUNNERS + FAR)
    first = [dispatcher.submit(make_work(n), 0.0)[0].runner for n in range(3)]
    assert not {runner.name for runner in FAR} & set(first)
    for runner in RUNNERS * 2:
        dispatcher.unreachable(runner.name, 1.0)
    [start] = dispatcher.submit(make_work(9, repeatable=False), 1.0)
    assert start.runner in {runner.name for runner in FAR}


def test_a_refused_connection_places_the_work_anew():
    """A runner refuses as full, on a report that still shows room. The work never ran,
    so its caller should notice nothing; nor may it circle between router and runner."""
    dispatcher = make_dispatcher(runners=RUNNERS[:1])
    [start] = dispatcher.submit(make_work(1), 0.0)
    assert dispatcher.finished("w1", start.runner, REFUSED, 0.1) == []
    assert run_ticks(dispatcher, 0.1, 3.0) == [Start("w1", "r0")]


def test_refused_work_that_never_ran_is_not_run_and_failed_work_is_unknown():
    """A run breaks off, no other is possible in time, and the caller must not be told
    that nothing ran."""
    dispatcher = make_dispatcher(runners=RUNNERS[:1])
    [start] = dispatcher.submit(make_work(1, deadline=3.0), 0.0)
    dispatcher.finished("w1", start.runner, CRASHED, 2.9)
    [refuse] = dispatcher.retry("w1", 2.9)
    assert refuse.refusal.ran is Ran.UNKNOWN

    dispatcher = make_dispatcher(runners=RUNNERS[:1])
    [start] = dispatcher.submit(make_work(1, deadline=0.5), 0.0)
    dispatcher.finished("w1", start.runner, REFUSED, 0.45)
    [refuse] = run_ticks(dispatcher, 0.45, 1.0)
    assert refuse.refusal.ran is Ran.NOT_RUN


def test_work_that_runs_once_is_never_started_again():
    """A confirmation's connection breaks. A second run might put two gangs at one
    shed."""
    dispatcher = make_dispatcher()
    [start] = dispatcher.submit(make_work(1, repeatable=False), 0.0)
    dispatcher.finished("w1", start.runner, CRASHED, 1.0)
    [refuse] = dispatcher.retry("w1", 1.0)
    assert refuse.refusal.kind is RefusalKind.OUTCOME_UNKNOWN
    assert refuse.refusal.ran is Ran.UNKNOWN
    assert run_ticks(dispatcher, 1.0, 20.0) == []


def test_a_retry_starts_after_a_delay_and_only_so_often():
    """Each runner answers a request with an error. Repeated without end it would take
    up slots and tokens for ever."""
    dispatcher = make_dispatcher()
    [start] = dispatcher.submit(make_work(1), 0.0)
    now = 0.0
    for _ in range(MAX_ATTEMPTS - 1):
        dispatcher.finished("w1", start.runner, FAILED, now)
        assert dispatcher.retry("w1", now) == []
        now += 3.0
        [start] = run_ticks(dispatcher, now - 3.0, now)
    dispatcher.finished("w1", start.runner, FAILED, now)
    [refuse] = dispatcher.retry("w1", now)
    assert refuse.refusal.kind is RefusalKind.ENDPOINT_FAILED


def test_retries_stop_at_a_share_of_fresh_requests():
    """Every run fails because the runners are overloaded. Repeating all of them would
    triple the load that fells them."""
    dispatcher = make_dispatcher(slots=1000)
    fresh = 500
    retried = 0
    for number in range(fresh):
        [start] = dispatcher.submit(make_work(number, deadline=1e6), number)
        dispatcher.finished(f"w{number}", start.runner, FAILED, number)
        retried += dispatcher.retry(f"w{number}", number) == []
    assert retried <= RETRY_RESERVE + 0.1 * fresh + 1


def test_cancelled_work_never_starts():
    """The caller hangs up while its request waits, fails or is to be retried. A run
    would use up tokens for nobody."""
    dispatcher = make_dispatcher(runners=RUNNERS[:1])
    starts = submit_all(dispatcher, 4)
    dispatcher.cancel("w2", 0.5)
    dispatcher.finished("w0", starts[0].runner, FAILED, 1.0)
    dispatcher.retry("w0", 1.0)
    dispatcher.cancel("w0", 1.0)
    assert run_ticks(dispatcher, 1.0, 2.0) == []
    assert dispatcher.finished("w1", "r0", OK, 2.0) == []
    assert dispatcher.waiting == 0


def test_waiting_work_is_refused_as_soon_as_it_is_hopeless():
    """All runners stall after work was let in. Its callers should hear it long before
    their deadline, with when to come back, and not when the stall is over."""
    dispatcher = make_dispatcher(runners=RUNNERS[:1])
    for start in submit_all(dispatcher, 2):
        dispatcher.finished(start.work_id, start.runner, OK, 1.0)
    for number in range(10, 20):
        dispatcher.submit(make_work(number, deadline=31.0), 1.0)
    assert dispatcher.waiting == 8
    refused = run_ticks(dispatcher, 1.0, 16.0)
    # The head of the queue may still be served when the stall ends.
    assert len(refused) >= 7
    for decision in refused:
        assert decision.refusal.ran is Ran.NOT_RUN
        assert decision.refusal.retry_after > 0


def test_work_too_slow_for_its_deadline_is_not_told_to_come_back():
    dispatcher = make_dispatcher()
    [start] = dispatcher.submit(make_work(0), 0.0)
    dispatcher.finished("w0", start.runner, Ended(EndedKind.OK, 5.0, 9.0), 9.0)
    [refuse] = dispatcher.submit(make_work(1, deadline=10.0), 9.0)
    assert refuse.refusal.kind is RefusalKind.DEADLINE
    assert refuse.refusal.retry_after is None


@pytest.mark.parametrize("repeatable", [True, False])
def test_a_runner_that_was_away_is_tried_with_one_repeatable_request(repeatable):
    """A runner comes back from a crash and crashes again. A burst that was sent to it
    would be lost whole, and a confirmation's outcome be unknown."""
    dispatcher = make_dispatcher()
    dispatcher.report("r0", LoadReport(0, 0, 2, 0.0), 0.0)
    dispatcher.unreachable("r0", 0.5)
    dispatcher.report("r0", LoadReport(0, 0, 2, 4.0), 4.0)
    run_ticks(dispatcher, 4.0, 5.0)
    starts = submit_all(dispatcher, 6, now=5.0, repeatable=repeatable)
    there = [start for start in starts if start.runner == "r0"]
    assert len(there) == (1 if repeatable else 0)


def test_a_runner_behind_a_cut_link_is_not_tried_with_a_callers_request():
    """The link to a runner is cut, and nothing sent over it is ever answered. Whatever
    time passes, a caller whose request were the trial would wait in vain; and a
    report from before the cut, which comes late, shows nothing."""
    dispatcher = make_dispatcher(runners=RUNNERS[:1] + FAR[:1])
    dispatcher.report("far0", LoadReport(0, 0, 2, 0.0), 0.1)
    dispatcher.unreachable("far0", 1.0)
    dispatcher.report("far0", LoadReport(0, 0, 2, 0.5), 1.1)
    run_ticks(dispatcher, 1.1, 60.0)
    starts = submit_all(dispatcher, 4, now=60.0, deadline=90.0)
    assert [start.runner for start in starts] == ["r0", "r0"]
    dispatcher.report("far0", LoadReport(0, 0, 2, 60.5), 61.0)
    assert [start.runner for start in run_ticks(dispatcher, 61.0, 61.0)] == ["far0"]


def test_a_far_runner_is_tried_only_when_no_own_one_has_room():
    """A runner of another data centre comes back while the own ones idle. The link to
    it may still be bad, and the caller gains nothing by being the one to find out."""
    dispatcher = make_dispatcher(runners=RUNNERS[:1] + FAR[:1])
    dispatcher.unreachable("far0", 0.0)
    dispatcher.report("far0", LoadReport(0, 0, 2, 5.0), 5.0)
    run_ticks(dispatcher, 5.0, 5.0)
    starts = submit_all(dispatcher, 3, now=5.0)
    assert [start.runner for start in starts] == ["r0", "r0", "far0"]


def test_one_missed_report_does_not_shut_a_busy_runner():
    """A runner with many requests answers one poll too late. Taken out for that, it
    would idle while its callers wait."""
    dispatcher = make_dispatcher(runners=RUNNERS[:1])
    submit_all(dispatcher, 1)
    dispatcher.unreachable("r0", 1.0)
    assert len(dispatcher.submit(make_work(5), 1.0)) == 1


def test_a_runner_whose_reports_stop_is_not_full_for_ever():
    """The last report showed a runner full of other routers' work, and no further one
    comes. Believed for ever, it would leave the runner idle."""
    dispatcher = make_dispatcher(runners=RUNNERS[:1])
    dispatcher.report("r0", LoadReport(2, 0, 2, 1.0), 1.0)
    assert dispatcher.submit(make_work(1), 1.0) == []
    assert run_ticks(dispatcher, 1.0, 12.0) == [Start("w1", "r0")]


def test_a_runners_wrong_clock_does_not_matter():
    """A runner's clock is ten minutes late. Its reports would seem to be from before
    everything that was sent, and it seem twice as full as it is, or away for long."""
    dispatcher = make_dispatcher(runners=RUNNERS[:1])
    dispatcher.report("r0", LoadReport(0, 0, 2, 0.0), 600.0)
    assert len(dispatcher.submit(make_work(1, deadline=700.0), 600.0)) == 1
    dispatcher.report("r0", LoadReport(1, 0, 2, 4.0), 604.0)
    assert len(dispatcher.submit(make_work(2, deadline=700.0), 604.0)) == 1
    for moment in (605.0, 605.5):
        dispatcher.unreachable("r0", moment)
    dispatcher.report("r0", LoadReport(0, 0, 2, 9.0), 609.0)
    dispatcher.finished("w1", "r0", OK, 609.0)
    dispatcher.finished("w2", "r0", OK, 609.0)
    assert len(dispatcher.submit(make_work(3, deadline=700.0), 609.0)) == 1


def test_content_that_fells_runners_is_refused_under_any_identity():
    """A request crashes each runner that runs it, and its caller sends it again under
    a new name. Unchecked it would take down one runner after another."""
    dispatcher = make_dispatcher()
    for number in range(2):
        [start] = dispatcher.submit(make_work(number, fingerprint="bad"), number)
        dispatcher.finished(start.work_id, start.runner, CRASHED, number + 0.5)
    [refuse] = dispatcher.submit(make_work(9, fingerprint="bad"), 9.0)
    assert refuse.refusal.kind is RefusalKind.QUARANTINED
    assert refuse.refusal.ran is Ran.NOT_RUN

    other = make_dispatcher()
    other.hear_quarantined(dispatcher.quarantined(), 9.0)
    [refuse] = other.submit(make_work(1, fingerprint="bad"), 9.0)
    assert refuse.refusal.kind is RefusalKind.QUARANTINED


def test_two_copies_of_a_suspect_never_run_at_once():
    """A caller sends the same bad request several times in a row. Run side by side,
    the copies would fell more runners than are allowed."""
    dispatcher = make_dispatcher()
    [start] = dispatcher.submit(make_work(0, fingerprint="bad"), 0.0)
    dispatcher.finished("w0", start.runner, CRASHED, 0.5)
    assert len(dispatcher.submit(make_work(1, fingerprint="bad"), 1.0)) == 1
    assert dispatcher.submit(make_work(2, fingerprint="bad"), 1.0) == []


def test_one_crash_counts_once_for_all_that_ran_there():
    """A runner with several requests dies and each of their connections breaks.
    Counted one by one, a single crash would condemn the innocent."""
    dispatcher = make_dispatcher(runners=RUNNERS[:1])
    starts = submit_all(dispatcher, 2, fingerprint="same")
    for start in starts:
        dispatcher.finished(start.work_id, start.runner, CRASHED, 1.0)
    assert dispatcher.retry("w0", 1.0) == []


def test_the_last_usable_runner_is_never_ejected():
    """The other runner is out of reach, and the own one fails six requests in a row.

    Its failures may be the requests' own fault. Ejected, it would leave callers
    refused for as long as the cut lasts.
    """
    dispatcher = make_dispatcher(runners=RUNNERS[:2])
    first, second = RUNNERS[0].name, RUNNERS[1].name
    dispatcher.unreachable(second, 0.0)
    for number in range(6):
        work = make_work(number)
        (start,) = dispatcher.submit(work, float(number))
        assert (start.work_id, start.runner) == (work.id, first)
        failed = Ended(EndedKind.FAILED, None, 0.1)
        dispatcher.finished(work.id, first, failed, number + 0.1)
        dispatcher.cancel(work.id, number + 0.1)
