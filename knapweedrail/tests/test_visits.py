"""Tests of service calls that may not be repeated."""

import random

import anyio
import pytest

from ..budget_messages import (
    CLAIMED,
    DONE,
    UNKNOWN,
    Cancel,
    Claim,
    ClaimMade,
    ClaimStands,
    DropClaim,
    FinishClaim,
    MakeClaim,
    Reservation,
    Reserve,
    Settle,
)
from ..calls import Visit
from ..dispatch import Dispatcher
from ..endpoints import Crossed, Rejected, ServiceAnswer, ServiceClient
from ..models import SERVICE, ClientAccount, Endpoint, Holder, Route, Rules, Runner
from ..outcomes import Ran, Refusal, RefusalKind, Unavailable, Unknown
from ..runs import RunTable
from ..schedulers import Scheduler
from ..tasks import Task
from ..visits import VisitJob
from ..work import LoadReport

ACCOUNT = ClientAccount("desk", "budget", ())
ROUTE = Route("slots", "api", price_tokens=10, repeatable=False)
RUNNERS = tuple(Runner(f"api-{n}", f"api-{n}:1", "east") for n in range(2))
ENDPOINT = Endpoint("api", SERVICE, RUNNERS, slots=2)
ANSWER = ServiceAnswer(200, "text/plain", b"confirmed")
AWAY = Refusal("claim", "platform", "away", RefusalKind.NO_CLAIM, Ran.NOT_RUN, 1.0)
SPENT = Refusal("budget", "ledger", "spent", RefusalKind.BUDGET_SPENT, Ran.NOT_RUN)


class Books(Task):
    """Budgets and claims; logs what was asked, in order with the calls sent."""

    def __init__(self, log, claimed, reserved=None):
        super().__init__("budgets")
        self.log = log
        self.answers = {MakeClaim: claimed, Reserve: reserved}

    async def run(self):
        async for envelope in self._receive:
            message = envelope.message
            self.log.append(message)
            answer = self.answers.get(type(message))
            if isinstance(message, Reserve) and answer is None:
                answer = Reservation(1, message.budget, message.tokens)
            envelope.reply.set(answer)


class ScriptedService(ServiceClient):
    """A service that answers each call by the next line of a script."""

    def __init__(self, log, script):
        super().__init__(1.0)
        self.log = log
        self.script = list(script)

    async def load(self, address):
        return LoadReport(0, 0, 2, 0.0)

    async def call(self, address, call):
        self.log.append("sent")
        return self.script.pop(0)


def visit(claimed, script=(), reserved=None, repeatable=False, fingerprint="f"):
    """Make one call; return its job and all that happened, in order."""

    async def run():
        log = []
        books, service = Books(log, claimed, reserved), ScriptedService(log, script)
        dispatcher = Dispatcher(ENDPOINT, "east", Rules(), random.Random(3))
        scheduler = Scheduler(ENDPOINT, dispatcher, service)
        record = RunTable(60.0, 10**6).begin("desk", "one", "f", 0.0).run
        call = Visit(
            ACCOUNT, "one", True, ROUTE, "POST", "/x", (), b"", repeatable, "f", 9.0
        )
        job = VisitJob(call, record, books, scheduler, service, Holder("east-1", 1))
        async with anyio.create_task_group() as group:
            await books.start(group)
            await scheduler.start(group)
            with anyio.fail_after(15):
                await job.execute()
            group.cancel_scope.cancel()
        return job, log

    return anyio.run(run)


def kinds(log):
    """Return the kinds of what happened, in order."""
    return [item if isinstance(item, str) else type(item).__name__ for item in log]


def stand(state, body=None, fingerprint="f"):
    """Make the answer that a claim stands already."""
    claim = Claim(
        "desk", "one", "west-1/1", fingerprint, "slots", state, 200, "text/plain", body
    )
    return ClaimStands(claim)


def test_the_claim_stands_before_the_first_byte_leaves():
    """A router dies right after it has sent a confirmation, and the caller retries.

    Only a claim made before can keep the retry from confirming a second time.
    """
    job, log = visit(ClaimMade(), [ANSWER])
    happened = kinds(log)
    assert happened.index("MakeClaim") < happened.index("sent")
    assert happened[-1] == "FinishClaim"
    assert log[-1].state == DONE
    assert job.record.state.value == "whole"


def test_without_the_platform_nothing_is_sent_and_the_caller_hears_not_run():
    job, log = visit(AWAY)
    assert "sent" not in kinds(log)
    assert job.refusal == AWAY


@pytest.mark.parametrize(
    "failure",
    [
        Unknown("service.call", "api", "ReadTimeout"),
        Crossed("service.call", "api", "answer to another"),
    ],
)
def test_a_call_of_unknown_outcome_is_never_sent_again(failure):
    """The connection falls silent after the call was sent, or another's answer comes.

    The visit may be confirmed. A second call might confirm it twice, and "not run"
    might be a lie; the caller hears "unknown", and so does every later retry.
    """
    job, log = visit(ClaimMade(), [failure])
    assert kinds(log).count("sent") == 1
    assert job.refusal.ran is Ran.UNKNOWN
    (end,) = [item for item in log if isinstance(item, FinishClaim)]
    assert end.state == UNKNOWN
    (settled,) = [item for item in log if isinstance(item, Settle)]
    assert settled.used_tokens == 10


@pytest.mark.parametrize(
    "failure",
    [
        Unavailable("service.connect", "api", "refused"),
        Rejected("service.call", "api", "status 503", leaving=True),
    ],
)
def test_a_call_that_certainly_never_ran_goes_to_another_runner(failure):
    job, log = visit(ClaimMade(), [failure, ANSWER])
    assert kinds(log).count("sent") == 2
    assert job.record.state.value == "whole"


@pytest.mark.parametrize(
    "claimed, kind, ran",
    [
        (stand(CLAIMED), RefusalKind.OUTCOME_UNKNOWN, Ran.UNKNOWN),
        (stand(UNKNOWN), RefusalKind.OUTCOME_UNKNOWN, Ran.UNKNOWN),
        (stand(DONE), RefusalKind.ALREADY_RUN, Ran.RAN),
        (stand(DONE, b"x", "other"), RefusalKind.IDENTITY_REUSED, Ran.NOT_RUN),
    ],
)
def test_a_claim_that_stands_is_answered_from_and_never_run(claimed, kind, ran):
    """The first router died, or its answer was lost, and the caller asks another."""
    job, log = visit(claimed)
    assert kinds(log) == ["MakeClaim"]
    assert (job.refusal.kind, job.refusal.ran) == (kind, ran)


def test_a_retry_of_a_call_that_ran_gets_the_first_answer():
    job, log = visit(stand(DONE, b"confirmed"))
    assert kinds(log) == ["MakeClaim"]
    assert job.record.state.value == "whole"


def test_a_refused_call_takes_its_claim_back_before_the_caller_hears():
    """The budget is spent, found out after the claim was made.

    The call did not run. If the claim stayed, a retry after a top-up would be told
    "unknown" for ever.
    """
    job, log = visit(ClaimMade(), reserved=SPENT)
    assert kinds(log) == ["MakeClaim", "Reserve", "DropClaim"]
    assert isinstance(log[-1], DropClaim)
    assert job.refusal == SPENT


def test_a_repeatable_call_needs_no_claim_and_is_tried_again():
    broken = Unknown("service.call", "api", "reset")
    job, log = visit(None, [broken, ANSWER], repeatable=True)
    assert "MakeClaim" not in kinds(log)
    assert job.record.state.value == "whole"
    assert not [item for item in log if isinstance(item, Cancel)]
