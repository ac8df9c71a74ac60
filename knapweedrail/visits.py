"""Calls of plain services: claimed when they may not be repeated."""

from __future__ import annotations

import time
from typing import Any

import anyio

from .budget_messages import (
    CLAIMED,
    DONE,
    MAX_CLAIM_BODY_BYTES,
    UNKNOWN,
    Claim,
    ClaimMade,
    ClaimStands,
    DropClaim,
    FinishClaim,
    MakeClaim,
    Reservation,
)
from .calls import Visit
from .endpoints import Crossed, ServiceAnswer, ServiceCall, ServiceClient, Silent
from .jobs import RETURN_SECONDS, Job, replace_ran
from .models import Bill, Runner
from .outcomes import Ran, Refusal, RefusalKind, Unavailable, Unknown
from .schedulers import Placed
from .work import Ended, EndedKind, Work


class VisitJob(Job):
    """One call of a plain service.

    A call that may not be repeated is claimed on the platform before anything
    else, also before it may be refused for room or tokens: a retry of a call that
    has run must find that out rather than hear "not run".
    """

    client: ServiceClient

    def __init__(self, visit: Visit, *common: Any) -> None:
        super().__init__(*common)
        self.visit = visit

    @property
    def identity(self) -> str:
        return f"{self.visit.account.name}:{self.visit.identity}"

    async def carry_out(self) -> None:
        if not self.visit.repeatable and not await self._claim():
            return
        # From here a claim stands, so a caller's going no longer stops the call:
        # it must end with its outcome recorded.
        with anyio.CancelScope(shield=not self.visit.repeatable):
            await self._reserve_and_call()

    async def _claim(self) -> bool:
        visit = self.visit
        answer = await self.budgets.ask(
            MakeClaim(
                visit.account.name, visit.identity, visit.fingerprint, visit.route.name
            )
        )
        match answer:
            case ClaimMade():
                return True
            case ClaimStands(claim):
                self._answer_from_claim(claim)
            case Refusal():
                self.end(answer)
        return False

    def _answer_from_claim(self, claim: Claim) -> None:
        if claim.fingerprint != self.visit.fingerprint:
            self.refuse(
                RefusalKind.IDENTITY_REUSED,
                Ran.NOT_RUN,
                "claim.check",
                "the identity was used for a call with another content",
                retry_after=None,
            )
        elif claim.state == DONE and claim.body is not None:
            self._deliver(ServiceAnswer(claim.status, claim.content_type, claim.body))
        elif claim.state == DONE:
            self.refuse(
                RefusalKind.ALREADY_RUN,
                Ran.RAN,
                "claim.check",
                f"it ran with status {claim.status}; its answer was too large to keep",
                retry_after=None,
            )
        else:
            self._refuse_unknown(claim)

    def _refuse_unknown(self, claim: Claim) -> None:
        under_way = claim.state == CLAIMED
        self.refuse(
            RefusalKind.OUTCOME_UNKNOWN,
            Ran.UNKNOWN,
            "claim.check",
            "it was begun before, and its outcome is not known"
            + ("; it may still be under way" if under_way else ""),
            peer=claim.holder,
            retry_after=RETURN_SECONDS if under_way else None,
        )

    async def _reserve_and_call(self) -> None:
        began = time.monotonic()
        visit = self.visit
        reservation = await self.reserve(
            visit.account.budget, visit.route.price_tokens, visit.deadline_seconds
        )
        if isinstance(reservation, Refusal):
            await self._end_unsent(reservation)
            return
        work = Work(
            id=self.identity,
            account=visit.account.name,
            deadline=began + visit.deadline_seconds,
            weight=visit.account.weight,
            fingerprint=visit.fingerprint,
            repeatable=visit.repeatable,
        )
        placed = await self.hold(reservation, self.place(work))
        # A call that has been sent is waited for, so that what it used and whether
        # it ran are known.
        with anyio.CancelScope(shield=True):
            await self._call_until_settled(work, placed, reservation)

    async def _call_until_settled(
        self, work: Work, placed: Placed | Refusal, reservation: Reservation
    ) -> None:
        ran = Ran.NOT_RUN
        while not isinstance(placed, Refusal):
            began = time.monotonic()
            answer = await self._call(placed.runner)
            seconds = time.monotonic() - began
            ended = Ended(_classify(answer), seconds, seconds)
            if isinstance(answer, ServiceAnswer):
                await self.report(work, placed.runner, ended)
                await self._complete(answer, reservation)
                return
            if isinstance(answer, Unknown):
                ran = Ran.UNKNOWN
                if not self.visit.repeatable:
                    await self.report(work, placed.runner, ended)
                    await self._end_unknown(answer, reservation)
                    return
            placed = await self.place_again(work, placed.runner, ended)
        await self._end_refused(placed, reservation, ran)

    async def _call(self, runner: Runner) -> ServiceAnswer | Unavailable | Unknown:
        visit = self.visit
        call = ServiceCall(
            identity=self.identity,
            method=visit.method,
            path=visit.path,
            headers=visit.headers,
            body=visit.body,
            repeatable=visit.repeatable,
        )
        return await self.client.call(runner.address, call)

    async def _complete(self, answer: ServiceAnswer, reservation: Reservation) -> None:
        await self.settle(reservation, reservation.tokens, self._make_bill())
        if not self.visit.repeatable:
            body = answer.body if len(answer.body) <= MAX_CLAIM_BODY_BYTES else None
            await self.budgets.ask(
                FinishClaim(
                    self.visit.account.name,
                    self.visit.identity,
                    DONE,
                    answer.status,
                    answer.content_type,
                    body,
                )
            )
        self._deliver(answer)

    def _deliver(self, answer: ServiceAnswer) -> None:
        self.record.status = answer.status
        self.record.content_type = answer.content_type
        self.record.append(answer.body)
        self.record.finish(True, time.monotonic())
        self.started.set()

    async def _end_unknown(self, answer: Unknown, reservation: Reservation) -> None:
        # It may have run, or may run yet: nobody may try again, and nobody may say
        # that it didn't run.
        await self.settle(reservation, reservation.tokens, self._make_bill())
        await self.budgets.ask(
            FinishClaim(self.visit.account.name, self.visit.identity, UNKNOWN)
        )
        self.refuse(
            RefusalKind.OUTCOME_UNKNOWN,
            Ran.UNKNOWN,
            answer.step,
            f"the call was sent and no whole answer came: {answer.detail}",
            peer=answer.peer,
            retry_after=None,
        )

    async def _end_refused(
        self, refusal: Refusal, reservation: Reservation, ran: Ran
    ) -> None:
        if ran is Ran.UNKNOWN:
            await self.settle(reservation, reservation.tokens, None)
            self.end(replace_ran(refusal, ran))
            return
        await self.cancel(reservation)
        await self._end_unsent(refusal)

    async def _end_unsent(self, refusal: Refusal) -> None:
        # The claim goes before the refusal does, so that a caller that comes back
        # at once isn't told of a call under way.
        if not self.visit.repeatable:
            await self.budgets.ask(
                DropClaim(self.visit.account.name, self.visit.identity)
            )
        self.end(refusal)

    def _make_bill(self) -> Bill:
        visit = self.visit
        return Bill(
            account=visit.account.name,
            identity=visit.identity,
            budget=visit.account.budget,
            tokens=visit.route.price_tokens,
            route=visit.route.name,
            seconds=time.time(),
        )


def _classify(answer: ServiceAnswer | Unavailable | Unknown) -> EndedKind:
    match answer:
        case ServiceAnswer(status=status):
            return EndedKind.OK if status < 500 else EndedKind.FAILED
        case Unavailable():
            return EndedKind.REFUSED
        case Crossed():
            return EndedKind.FAILED
        case Silent():
            return EndedKind.SILENT
        case _:
            return EndedKind.CRASHED
