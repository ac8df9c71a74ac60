"""What a router answers to other routers, and what it adds to exchanges."""

from __future__ import annotations

import random
from collections.abc import AsyncIterator, Iterable, Sequence
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

NEWEST_LINES = 4
"""Newest quarantined requests of a pool told in each exchange."""

OLDER_LINES = 2
"""Older ones. Six lines of some 150 bytes in each of 16 exchanges a second are at most
14 KB a second of the 23 KB that a router may send, and nothing on an ordinary day."""


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


def choose_lines(lines: Sequence[str], rng: random.Random) -> list[str]:
    """Choose what one exchange tells of the requests that fell runners.

    Made for the day on which one faulty content comes under thousands of variants. All
    of them in each exchange would be megabytes a second. The newest are told at once,
    since their callers are sending them again just now; the older ones in turn by
    chance, so that each peer hears of all in time.
    """
    newest = list(lines[-NEWEST_LINES:])
    older = lines[: len(lines) - len(newest)]
    return rng.sample(older, min(OLDER_LINES, len(older))) + newest


class QuarantinePart(ExchangePart):
    """Tells other routers which requests fell runners, and hears theirs."""

    def __init__(self, pools: Pools) -> None:
        self._pools = pools
        self._rng = random.Random()

    def fill(self, message: Exchange) -> None:
        for pool in self._pools.all():
            lines = pool.scheduler.dispatcher.quarantined()
            message.quarantined.extend(choose_lines(lines, self._rng))

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
