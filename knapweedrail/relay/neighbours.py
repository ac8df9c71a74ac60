"""The other relays: lending tokens to each other, and word of crashes, over gRPC."""

from __future__ import annotations

import time
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import attrs
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Stream

from ..addresses import split_address
from ..events import Event, log_event
from ..limits import LimitNews
from ..rpc import RpcServer
from ..wire.relays_grpc import RelaysBase, RelaysStub
from ..wire.relays_pb2 import (
    LimitsReply,
    LimitsRequest,
    RunnerLimit,
    SuspectsReply,
    SuspectsRequest,
    TradeReply,
    TradeRequest,
)
from .dialers import GrpcSubscriberLink
from .links import WatcherLink
from .models import Member
from .reservations import Shortage

CALL_SECONDS = 0.08
"""Longest wait for another relay that looks nothing up: it is a few milliseconds away,
and a caller waits."""

LEND_SECONDS = 0.2
"""How much longer a lender may take that has to ask the ledger first: some tens of its
answers. It leaves a caller that waits for tokens time to ask one more relay."""

MIN_BACKOFF_SECONDS = 2.0
MAX_BACKOFF_SECONDS = 8.0
"""How long a relay that didn't answer isn't asked again: about the time in which a dead
one is replaced, doubled at each silence, as the list keeps those that never return. A
fleet must serve again within some twelve seconds after a loss."""

SHORTAGE_CACHE_SECONDS = 0.5
"""How long a relay that had nothing of an account isn't asked for it again. A budget
that is spent everywhere would otherwise cost a call to each relay for each request."""

MAX_SUSPECT_RECIPIENTS = 16
"""Relays told of a crash's requests. A caller that sends one again reaches any relay;
with sixteen that know, and more told at each further crash, it ends after some more."""

MAX_ENTRIES_PER_CALL = 100
"""Requests told of at a time: more than one relay has at one runner."""


@attrs.frozen(kw_only=True)
class Trade:
    """What one relay asks another for, and gives back to it, of one account.

    Attributes:
        holder: The holder that asks.
        lender: The holder that is asked; no other may take tokens back for it.
        needed: Tokens for requests that wait.
        wanted: Tokens to last for a while, those needed included.
        returned: Given back to the lender in all.
        spent: Spent of what the lender lent, in all.
    """

    account: str
    holder: str
    lender: str
    needed: int = 0
    wanted: int = 0
    returned: int = 0
    spent: int = 0


@attrs.frozen
class TradeAnswer:
    """What a relay lends.

    Attributes:
        lender: The holder that answers.
        total: Lent to the asking holder in all, not just this time.
        shortage: Why less was lent than needed.
    """

    lender: str
    total: int
    shortage: Shortage | None = None


@attrs.frozen
class Backoff:
    """Calls in a row that a relay's present life didn't answer.

    Attributes:
        holder: The life that was called.
        count: Number of calls.
        avoided_until: When it may be called again.
    """

    holder: str
    failures: int
    ends_at: float


_SHORTAGE_TO_WIRE = {
    Shortage.SPENT: TradeReply.SPENT,
    Shortage.HELD_ELSEWHERE: TradeReply.HELD_ELSEWHERE,
    Shortage.OUT_OF_REACH: TradeReply.OUT_OF_REACH,
}
_SHORTAGE_FROM_WIRE = {
    number: shortage for shortage, number in _SHORTAGE_TO_WIRE.items()
}

SuspectsHandler = Callable[[list[str]], None]
"""Takes what another relay told of requests that were on runners as these crashed."""

LimitsHandler = Callable[[list[LimitNews]], None]
"""Takes what another relay told of runners' limits."""

FeedHandler = Callable[[WatcherLink], Awaitable[None]]
"""Tells a relay that follows this one what is known of the store."""


class TokenLender(ABC):
    """Holds tokens, and lends them to other relays."""

    @abstractmethod
    async def answer_trade(self, trade: Trade) -> TradeAnswer:
        """Take back what another relay returns, and lend what it needs."""


class Neighbours:
    """Calls to the other relays."""

    def __init__(self) -> None:
        self._channels: dict[str, Channel] = {}
        self._backoffs: dict[str, Backoff] = {}
        self._recent_shortages: dict[
            tuple[str, str], tuple[float, Shortage | None]
        ] = {}

    def is_avoided(self, member: Member, now: float) -> bool:
        """Return whether a relay's present life was silent lately."""
        backoff = self._backoffs.get(member.address)
        if backoff is None or backoff.holder != member.holder:
            return False
        return now < backoff.ends_at

    def note_heard(self, holder: str) -> None:
        """Take in that a relay has called this one, so it can be reached."""
        for address, backoff in list(self._backoffs.items()):
            if backoff.holder == holder:
                del self._backoffs[address]

    def recall_shortage(
        self, member: Member, account: str, now: float
    ) -> Shortage | None:
        """Return why a relay had too few tokens of an account a moment ago."""
        until, shortage = self._recent_shortages.get(
            (member.address, account), (0.0, None)
        )
        return shortage if now < until else None

    async def trade(self, member: Member, trade: Trade) -> TradeAnswer | None:
        """Ask one relay for tokens, or give some back; ``None`` if it is silent."""
        now = time.monotonic()
        request = TradeRequest(**attrs.asdict(trade))
        seconds = CALL_SECONDS + (LEND_SECONDS if trade.needed else 0.0)
        reply = await self._call(member, "Trade", request, seconds)
        if reply is None:
            self.note_silence(member, now)
            return None
        self.note_answer(member)
        shortage = _SHORTAGE_FROM_WIRE.get(reply.shortage)
        if shortage is not None:
            until = now + SHORTAGE_CACHE_SECONDS
            self._recent_shortages[member.address, trade.account] = (until, shortage)
        return TradeAnswer(reply.lender, reply.total, shortage)

    def note_answer(self, member: Member) -> None:
        """Take in that a relay has answered."""
        self._backoffs.pop(member.address, None)

    def note_silence(self, member: Member, now: float) -> None:
        """Take in that a relay was called in vain."""
        before = self._backoffs.get(member.address)
        again = before is not None and before.holder == member.holder
        failures = before.failures + 1 if again else 1
        pause = min(MAX_BACKOFF_SECONDS, MIN_BACKOFF_SECONDS * 2 ** (failures - 1))
        self._backoffs[member.address] = Backoff(member.holder, failures, now + pause)

    async def tell_suspects(self, members: list[Member], lines: list[str]) -> None:
        """Tell other relays of requests that were on runners as these crashed."""
        request = SuspectsRequest(lines=lines[:MAX_ENTRIES_PER_CALL])
        async with anyio.create_task_group() as group:
            for member in members[:MAX_SUSPECT_RECIPIENTS]:
                group.start_soon(
                    self._call, member, "TellSuspects", request, CALL_SECONDS
                )

    async def tell_limits(self, members: list[Member], limits: list[LimitNews]) -> None:
        """Tell other relays what is news of runners' limits."""
        entries = [
            RunnerLimit(**attrs.asdict(limit))
            for limit in limits[:MAX_ENTRIES_PER_CALL]
        ]
        request = LimitsRequest(limits=entries)
        async with anyio.create_task_group() as group:
            for member in members:
                group.start_soon(
                    self._call, member, "TellLimits", request, CALL_SECONDS
                )

    async def close(self) -> None:
        """Close all connections."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    async def _call(
        self, member: Member, method: str, request: Any, seconds: float
    ) -> Any:
        """Call another relay, in a task of its own; ``None`` if it is silent.

        What goes wrong without that task: when a connection breaks, the library cancels
        each task that waits on it, and the task stays marked as cancelled. Whatever
        bounded it from outside then ends with a cancellation instead of going on.
        """
        replies: list[Any] = []
        async with anyio.create_task_group() as group:
            group.start_soon(self._run_call, member, method, request, seconds, replies)
        return replies[0] if replies else None

    async def _run_call(
        self,
        member: Member,
        method: str,
        request: Any,
        seconds: float,
        replies: list[Any],
    ) -> None:
        channel = self._channels.get(member.address)
        if channel is None:
            channel = Channel(*split_address(member.address))
            self._channels[member.address] = channel
        try:
            with anyio.fail_after(seconds):
                replies.append(await getattr(RelaysStub(channel), method)(request))
                return
        except (OSError, TimeoutError, GRPCError, StreamTerminatedError) as error:
            log_event(
                Event.NEIGHBOUR_SILENT, neighbour=member.holder, error=repr(error)
            )
        if self._channels.get(member.address) is channel:
            del self._channels[member.address]
        channel.close()


class _RelaysService(RelaysBase):
    """Answers other relays."""

    def __init__(
        self,
        lender: TokenLender,
        handle_suspects: SuspectsHandler,
        serve_feed: FeedHandler,
        hear_limits: LimitsHandler,
    ) -> None:
        self._lender = lender
        self._handle_suspects = handle_suspects
        self._serve_feed = serve_feed
        self._handle_limits = hear_limits

    async def Trade(self, stream: Stream) -> None:
        request = await stream.recv_message()
        if request is None:
            return
        answer = await self._lender.answer_trade(
            Trade(
                account=request.account,
                holder=request.holder,
                lender=request.lender,
                needed=request.needed,
                wanted=request.wanted,
                returned=request.returned,
                spent=request.spent,
            )
        )
        shortage = TradeReply.NONE
        if answer.shortage is not None:
            shortage = _SHORTAGE_TO_WIRE[answer.shortage]
        await stream.send_message(
            TradeReply(lender=answer.lender, total=answer.total, shortage=shortage)
        )

    async def TellSuspects(self, stream: Stream) -> None:
        request = await stream.recv_message()
        if request is None:
            return
        self._handle_suspects(list(request.lines))
        await stream.send_message(SuspectsReply())

    async def TellLimits(self, stream: Stream) -> None:
        request = await stream.recv_message()
        if request is None:
            return
        self._handle_limits(
            [
                LimitNews(limit.runner, limit.started, limit.rate, limit.number)
                for limit in request.limits
            ]
        )
        await stream.send_message(LimitsReply())

    async def FollowNews(self, stream: Stream) -> None:
        await self._serve_feed(GrpcSubscriberLink(stream))


def _ignore_limits(limits: list[LimitNews]) -> None:
    """Take no notice of runners' limits; for a relay that sends to no runner."""


def make_server(
    lender: TokenLender,
    handle_suspects: SuspectsHandler,
    serve_feed: FeedHandler,
    address: str,
    hear_limits: LimitsHandler = _ignore_limits,
) -> RpcServer:
    """Return the server that answers other relays, not started yet."""
    return RpcServer(
        [_RelaysService(lender, handle_suspects, serve_feed, hear_limits)], address
    )
