"""The other relays: asking them for tokens, and answering them, over gRPC."""

from __future__ import annotations

import random
import time
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any

import anyio
import attrs
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Stream

from ..addresses import split_address
from ..events import Event, log_event
from ..peers import RpcServer
from ..wire.relays_grpc import RelaysBase, RelaysStub
from ..wire.relays_pb2 import (
    LeaveReply,
    LeaveRequest,
    SuspectsReply,
    SuspectsRequest,
    TokenReply,
    TokenRequest,
    Total,
)
from .ledgers import Member

CALL_SECONDS = 0.08
"""Longest wait for another relay: it is a few milliseconds away, and a caller waits
for the tokens."""

AVOID_SECONDS = 2.0
"""How long a relay that didn't answer isn't asked again: about the time in which a
dead one is replaced."""

EMPTY_SECONDS = 0.5
"""How long a relay that had nothing of an account isn't asked for it again. A budget
that is spent everywhere would otherwise cost a call to each relay for each request."""

MOST_TOLD = 16
"""Relays told of a crash's requests. A caller that sends one again reaches any relay;
with sixteen that know, and more told at each further crash, it ends after some more."""

MOST_LINES = 100
"""Requests told of at a time: more than one relay has at one runner."""


@attrs.frozen
class Gift:
    """What another relay hands over.

    Attributes:
        holder: The holder that gives.
        total: Tokens handed to the asking holder in all, not just this time.
    """

    holder: str
    total: int


HearSuspects = Callable[[list[str]], None]
"""Takes what another relay told of requests that were on runners as these crashed."""


class TokenHolder(ABC):
    """Holds tokens, and answers other relays about them."""

    @abstractmethod
    def give(self, account: str, receiver: str, needed: int, wanted: int) -> Gift:
        """Hand tokens to another relay that has too few."""

    @abstractmethod
    def take_over(self, giver: str, totals: dict[str, int]) -> None:
        """Take what a relay that stops has left to this one, in all, by account."""


class Neighbours:
    """Calls to the other relays.

    Args:
        data_centre: This relay's own; relays there are asked first.
    """

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._channels: dict[str, Channel] = {}
        self._avoided: dict[tuple[str, str], float] = {}
        self._totals: dict[tuple[str, str], int] = {}

    def order(self, members: dict[str, Member], host: str) -> list[Member]:
        """Return the other relays in the order in which to ask them."""
        others = [m for name, m in members.items() if name != host and m.address]
        random.shuffle(others)
        return sorted(others, key=lambda m: m.data_centre != self._data_centre)

    async def ask(
        self, member: Member, account: str, receiver: str, needed: int, wanted: int
    ) -> Gift | None:
        """Ask one relay for tokens; return ``None`` if it has none or is silent."""
        now = time.monotonic()
        pair = (member.holder, account)
        if now < max(self._avoided.get((member.holder, ""), 0.0), self._get(pair)):
            return None
        request = TokenRequest(
            account=account, receiver=receiver, needed=needed, wanted=wanted
        )
        reply = await self._call(member, "HandOver", request)
        if reply is None:
            self._avoided[member.holder, ""] = now + AVOID_SECONDS
            return None
        if reply.total <= self._totals.get((reply.holder, account), 0):
            self._avoided[pair] = now + EMPTY_SECONDS
        self._totals[reply.holder, account] = reply.total
        return Gift(reply.holder, reply.total)

    async def leave(self, member: Member, giver: str, totals: dict[str, int]) -> bool:
        """Leave tokens to another relay; return whether it has said that it has them.

        Args:
            totals: Tokens handed to it in all, by account.
        """
        request = LeaveRequest(
            holder=giver,
            totals=[Total(account=name, tokens=n) for name, n in totals.items()],
        )
        return await self._call(member, "Leave", request) is not None

    async def tell_suspects(self, members: list[Member], lines: list[str]) -> None:
        """Tell other relays of requests that were on runners as these crashed."""
        request = SuspectsRequest(lines=lines[:MOST_LINES])
        async with anyio.create_task_group() as group:
            for member in members[:MOST_TOLD]:
                group.start_soon(self._call, member, "TellSuspects", request)

    async def close(self) -> None:
        """Close all connections."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    def _get(self, pair: tuple[str, str]) -> float:
        return self._avoided.get(pair, 0.0)

    async def _call(self, member: Member, method: str, request: Any) -> Any:
        channel = self._channels.get(member.address)
        if channel is None:
            channel = Channel(*split_address(member.address))
            self._channels[member.address] = channel
        try:
            with anyio.fail_after(CALL_SECONDS):
                return await getattr(RelaysStub(channel), method)(request)
        except (OSError, TimeoutError, GRPCError, StreamTerminatedError) as error:
            log_event(
                Event.NEIGHBOUR_SILENT, neighbour=member.holder, error=repr(error)
            )
        if self._channels.get(member.address) is channel:
            del self._channels[member.address]
        channel.close()
        return None


class _Service(RelaysBase):
    """Answers other relays."""

    def __init__(self, holder: TokenHolder, hear: HearSuspects) -> None:
        self._holder = holder
        self._hear = hear

    async def HandOver(self, stream: Stream) -> None:
        request = await stream.recv_message()
        if request is None:
            return
        gift = self._holder.give(
            request.account, request.receiver, request.needed, request.wanted
        )
        await stream.send_message(TokenReply(holder=gift.holder, total=gift.total))

    async def Leave(self, stream: Stream) -> None:
        request = await stream.recv_message()
        if request is None:
            return
        totals = {total.account: total.tokens for total in request.totals}
        self._holder.take_over(request.holder, totals)
        await stream.send_message(LeaveReply())

    async def TellSuspects(self, stream: Stream) -> None:
        request = await stream.recv_message()
        if request is None:
            return
        self._hear(list(request.lines))
        await stream.send_message(SuspectsReply())


def make_server(holder: TokenHolder, hear: HearSuspects, address: str) -> RpcServer:
    """Return the server that answers other relays, not started yet."""
    return RpcServer([_Service(holder, hear)], address)
