"""What a router answers to other routers, and what it adds to exchanges."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable

from .budget_messages import Fence, HandOver
from .changes import ConfigurationTask
from .followers import give_chunks
from .homes import RunFinder
from .intake import Life
from .members import ExchangePart, MembershipTask
from .models import Holder
from .neighbours import HandedOver, Received
from .peers import PeerHandler
from .pools import Pools
from .runs import RunTable
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


class RouterHandler(PeerHandler):
    """Answers other routers from the tasks of this one.

    Args:
        membership: The router's membership.
        configuration: The task that follows the configuration.
        finder: Answers as the home of identities.
        table: The runs of this router.
        find_life: Returns the router's present life, if it has one.
    """

    def __init__(
        self,
        membership: MembershipTask,
        configuration: ConfigurationTask,
        finder: RunFinder,
        table: RunTable,
        find_life: Callable[[], Life | None],
    ) -> None:
        self._membership = membership
        self._configuration = configuration
        self._finder = finder
        self._table = table
        self._find_life = find_life

    async def trade(self, exchange: Exchange) -> Exchange:
        return await self._membership.trade(exchange)

    async def hand_over(self, request: HandOverRequest) -> HandOverReply:
        life = self._find_life()
        if life is None:
            return HandOverReply(holder=str(self._membership.holder))
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
        life = self._find_life()
        if life is None:
            return FenceReply(holder=str(self._membership.holder))
        answer: Received = await life.budgets.ask(Fence(Holder.parse(request.holder)))
        reply = FenceReply(holder=str(life.holder))
        for total in answer.received:
            reply.received.append(
                ReceivedTokens(budget=total.budget, tokens=total.tokens)
            )
        return reply

    async def find_run(self, request: FindRunRequest) -> FindRunReply:
        return self._finder.answer(request)

    def follow(self, request: FollowRequest) -> AsyncIterator[FollowChunk]:
        return give_chunks(self._table, request)

    async def fetch_configuration(
        self, request: ConfigurationRequest
    ) -> ConfigurationReply:
        text = self._configuration.text_of(request.digest)
        if text is None:
            return ConfigurationReply(found=False)
        return ConfigurationReply(found=True, text=text.encode())


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
