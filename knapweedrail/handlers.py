"""What a router answers to other routers, and what it adds to exchanges."""

from __future__ import annotations

from collections.abc import AsyncIterator, Iterable
from typing import TYPE_CHECKING

from .budget_messages import Fence, HandOver
from .changes import ConfigurationTask
from .followers import give_chunks
from .members import ExchangePart
from .models import Holder
from .neighbours import HandedOver, Received, Total
from .peers import PeerHandler
from .pools import Pools
from .schedulers import HearQuarantined
from .wire.peers_pb2 import (
    ConfigurationReply,
    ConfigurationRequest,
    Exchange,
    FenceReply,
    FenceRequest,
    FindRunReply,
    FindRunRequest,
    FollowChunk,
    FollowRequest,
    HandOverReply,
    HandOverRequest,
    ReceivedTokens,
)

if TYPE_CHECKING:
    from .routers import Router


class RouterHandler(PeerHandler):
    """Answers other routers from the tasks of this one.

    Args:
        router: The router.
    """

    def __init__(self, router: Router) -> None:
        self._router = router

    async def trade(self, exchange: Exchange) -> Exchange:
        return await self._router.membership.trade(exchange)

    async def hand_over(self, request: HandOverRequest) -> HandOverReply:
        life = self._router.life
        if life is None:
            return HandOverReply(holder=str(self._router.membership.holder))
        message = HandOver(
            Holder.parse(request.sender.holder),
            request.budget,
            request.tokens,
            request.transfer,
        )
        answer: HandedOver = await life.budgets.ask(message)
        return HandOverReply(
            holder=str(life.holder), tokens=answer.tokens, fenced=answer.fenced
        )

    async def fence(self, request: FenceRequest) -> FenceReply:
        life = self._router.life
        if life is None:
            return FenceReply(holder=str(self._router.membership.holder))
        answer: Received = await life.budgets.ask(Fence(Holder.parse(request.holder)))
        reply = FenceReply(holder=str(life.holder))
        reply.received.extend(_write_totals(answer.received))
        reply.handed.extend(_write_totals(answer.handed))
        return reply

    async def find_run(self, request: FindRunRequest) -> FindRunReply:
        return self._router.finder.answer(request)

    def follow(self, request: FollowRequest) -> AsyncIterator[FollowChunk]:
        return give_chunks(self._router.table, request)

    async def fetch_configuration(
        self, request: ConfigurationRequest
    ) -> ConfigurationReply:
        text = self._router.configuration.text_of(request.digest)
        if text is None:
            return ConfigurationReply(found=False)
        return ConfigurationReply(found=True, text=text.encode())


def _write_totals(totals: Iterable[Total]) -> list[ReceivedTokens]:
    return [ReceivedTokens(budget=item.budget, tokens=item.tokens) for item in totals]


class QuarantinePart(ExchangePart):
    """Tells other routers which requests fell runners, and hears theirs."""

    def __init__(self, pools: Pools) -> None:
        self._pools = pools

    def fill(self, message: Exchange) -> None:
        for pool in self._pools.all():
            message.quarantined.extend(pool.scheduler.dispatcher.quarantined())

    def hear(self, sender: Holder, message: Exchange) -> None:
        if not message.quarantined:
            return
        fingerprints = tuple(message.quarantined)
        for pool in self._pools.all():
            pool.scheduler.tell(HearQuarantined(fingerprints))


class ConfigurationPart(ExchangePart):
    """Tells other routers which configuration is in force and staged here."""

    def __init__(self, configuration: ConfigurationTask) -> None:
        self._configuration = configuration

    def fill(self, message: Exchange) -> None:
        report = self._configuration.exchange()
        message.configuration_number = report.number
        message.configuration_digest = report.digest
        message.staged_number = report.staged_number
        message.staged_digest = report.staged_digest

    def hear(self, sender: Holder, message: Exchange) -> None:
        self._configuration.hear(
            message.configuration_number,
            message.configuration_digest,
            message.staged_number,
            message.staged_digest,
            sender,
        )
