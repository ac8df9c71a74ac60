"""Client and server of the gRPC calls between relays.

Relays lend each other tokens, and report to each other which requests crash runners and
which limits runners have.
"""

from __future__ import annotations

import time
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any

import anyio
import attrs
from grpclib.client import Channel
from grpclib.server import Stream

from ..addresses import split_address
from ..events import Event, log_event
from ..ingress import IngressQuota
from ..limits import LimitUpdate
from ..rpc import RpcServer
from ..rpc_errors import CallError, translate_call_errors
from ..wire.relays_grpc import RelaysBase, RelaysStub
from ..wire.relays_pb2 import (
    LimitsReply,
    LimitsRequest,
    RecordStreamsReply,
    RunnerLimit,
    SuspectsReply,
    SuspectsRequest,
    TradeReply,
    TradeRequest,
)
from .grpc_links import GrpcSubscriberLink
from .links import SubscriberLink
from .models import Member
from .reservations import Shortage
from .stream_messages import (
    NoStreamRegistry,
    StreamAnswer,
    StreamRegistry,
    decode_answer,
    decode_records,
    encode_answer,
    encode_find,
    encode_records,
)
from .stream_origins import StreamOrigin

CALL_SECONDS = 0.08
"""Timeout of a call that the other relay answers from memory. The relay is a few
milliseconds away, and a caller is waiting."""

LEND_SECONDS = 0.2
"""Additional timeout for a lender that has to read the ledger first: as long as some
tens of the ledger's answers take. A caller that waits for tokens still has time to try
one more relay."""

MIN_BACKOFF_SECONDS = 2.0
MAX_BACKOFF_SECONDS = 8.0
"""Backoff after a call that a relay didn't answer. The first one is about the time in
which a crashed relay is replaced. It doubles with each failure, as the list keeps
relays that never return. The maximum lets a fleet serve again within about twelve
seconds after a loss of hosts."""

SHORTAGE_CACHE_SECONDS = 0.5
"""How long a relay that lacked tokens of an account isn't asked for them again. With a
budget that is spent everywhere, each request would otherwise call each relay."""

MAX_ENTRIES_PER_CALL = 100
"""Limits or records of streams in one call: more than one relay has at one runner."""


@attrs.frozen(kw_only=True)
class Trade:
    """Tokens of one account that a relay borrows from and returns to another one.

    Attributes:
        account: Name of the client account.
        holder: Holder that borrows.
        lender: Holder that lends; no other holder may take tokens back for it.
        needed: Tokens for waiting requests.
        wanted: Tokens to last for a while, including those needed.
        returned: Total of tokens returned to the lender.
        spent: Total spent of the tokens that the lender lent.
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
    """A lender's answer.

    Attributes:
        lender: Holder that answers.
        total: Total of tokens lent to the borrower so far, not only by this call.
        shortage: Why less was lent than needed; ``None`` if enough was.
    """

    lender: str
    total: int
    shortage: Shortage | None = None


@attrs.frozen
class Backoff:
    """Backoff of calls to an incarnation of a relay that didn't answer.

    Attributes:
        holder: The incarnation.
        failures: Number of consecutive failed calls.
        ends_at: When it may be called again, monotonic seconds.
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

SuspectsHandler = Callable[[list[str], bool], list[str]]
"""Handles another relay's report of requests that ran on crashed runners, and returns
what this relay knows if it is asked for that."""

LimitsHandler = Callable[[list[LimitUpdate]], None]
"""Handles another relay's report of limits of runners."""

FeedHandler = Callable[[SubscriberLink], Awaitable[None]]
"""Serves updates of the store to a subscriber."""


class TokenLender(ABC):
    """Lends tokens to other relays."""

    @abstractmethod
    async def answer_trade(self, trade: Trade) -> TradeAnswer:
        """Take back the tokens that another relay returns, and lend what it needs."""


class PeerClient:
    """Client for calls to the other relays, with a backoff for each of them."""

    def __init__(self) -> None:
        self._channels: dict[str, Channel] = {}
        self._backoffs: dict[str, Backoff] = {}
        self._recent_shortages: dict[
            tuple[str, str], tuple[float, Shortage | None]
        ] = {}

    def is_in_backoff(self, member: Member, now: float) -> bool:
        """Return whether a relay's present incarnation failed to answer recently.

        Args:
            now: Monotonic seconds.
        """
        backoff = self._backoffs.get(member.address)
        if backoff is None or backoff.holder != member.holder:
            return False
        return now < backoff.ends_at

    def record_incoming_call(self, holder: str) -> None:
        """Record a call from a relay: it is reachable, which ends its backoff."""
        for address, backoff in list(self._backoffs.items()):
            if backoff.holder == holder:
                del self._backoffs[address]

    def find_recent_shortage(
        self, member: Member, account: str, now: float
    ) -> Shortage | None:
        """Return why a relay recently lacked tokens of an account, or ``None``.

        Args:
            member: The relay.
            account: Name of the client account.
            now: Monotonic seconds.
        """
        until, shortage = self._recent_shortages.get(
            (member.address, account), (0.0, None)
        )
        return shortage if now < until else None

    async def trade(self, member: Member, trade: Trade) -> TradeAnswer | None:
        """Borrow tokens from a relay or return some; ``None`` if it doesn't answer."""
        now = time.monotonic()
        request = TradeRequest(**attrs.asdict(trade))
        seconds = CALL_SECONDS + (LEND_SECONDS if trade.needed else 0.0)
        reply = await self._call(member, "Trade", request, seconds)
        if reply is None:
            self.record_failure(member, now)
            return None
        self.record_answer(member)
        shortage = _SHORTAGE_FROM_WIRE.get(reply.shortage)
        if shortage is not None:
            until = now + SHORTAGE_CACHE_SECONDS
            self._recent_shortages[member.address, trade.account] = (until, shortage)
        return TradeAnswer(reply.lender, reply.total, shortage)

    def record_answer(self, member: Member) -> None:
        """Record that a relay has answered."""
        self._backoffs.pop(member.address, None)

    def record_failure(self, member: Member, now: float) -> None:
        """Record that a relay didn't answer, and start or extend its backoff."""
        before = self._backoffs.get(member.address)
        again = before is not None and before.holder == member.holder
        failures = before.failures + 1 if again else 1
        pause = min(MAX_BACKOFF_SECONDS, MIN_BACKOFF_SECONDS * 2 ** (failures - 1))
        self._backoffs[member.address] = Backoff(member.holder, failures, now + pause)

    async def send_suspects(
        self, member: Member, lines: list[str], asks: bool = False
    ) -> list[str] | None:
        """Report to a relay which requests ran on crashed runners.

        Args:
            asks: Whether to ask which ones the relay knows.

        Returns:
            The lines of the relay, if asked; ``None`` if it doesn't answer.
        """
        request = SuspectsRequest(lines=lines, asks=asks)
        reply = await self._call(member, "TellSuspects", request, CALL_SECONDS)
        return None if reply is None else list(reply.lines)

    async def send_limits(
        self, members: list[Member], limits: list[LimitUpdate]
    ) -> None:
        """Report to other relays which limits of runners have changed."""
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

    async def send_streams(
        self, member: Member, origins: Mapping[str, StreamOrigin]
    ) -> bool:
        """Report what began streams; return whether the relay has answered."""
        request = encode_records(origins)
        reply = await self._call(member, "RecordStreams", request, CALL_SECONDS)
        return reply is not None

    async def find_stream(
        self, member: Member, stream: str, endpoints: Sequence[str]
    ) -> StreamAnswer | None:
        """Ask a relay what began a stream; ``None`` if it doesn't answer."""
        request = encode_find(stream, endpoints)
        reply = await self._call(member, "FindStream", request, CALL_SECONDS)
        return None if reply is None else decode_answer(reply)

    async def close(self) -> None:
        """Close all connections."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    async def _call(
        self, member: Member, method: str, request: Any, seconds: float
    ) -> Any:
        """Call another relay in a task of its own; ``None`` if it doesn't answer.

        When a connection breaks, the RPC library cancels each task that waits on it,
        and the task stays marked as cancelled. Without a separate task, an enclosing
        cancel scope of the caller would then end with a cancellation instead of
        continuing.

        Args:
            member: The relay to call.
            method: Name of the RPC.
            request: Its request message.
            seconds: Timeout, seconds.
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
        channel: Channel | None = None
        try:
            with translate_call_errors(), anyio.fail_after(seconds):
                channel = self._get_channel(member.address)
                replies.append(await getattr(RelaysStub(channel), method)(request))
                return
        except CallError as error:
            log_event(Event.NEIGHBOUR_SILENT, neighbour=member.holder, error=str(error))
        if channel is not None:
            self._close_channel(member.address, channel)

    def _get_channel(self, address: str) -> Channel:
        channel = self._channels.get(address)
        if channel is None:
            channel = Channel(*split_address(address))
            self._channels[address] = channel
        return channel

    def _close_channel(self, address: str, channel: Channel) -> None:
        if self._channels.get(address) is channel:
            del self._channels[address]
        channel.close()


class _RelaysService(RelaysBase):
    """Server side of the calls between relays."""

    def __init__(
        self,
        lender: TokenLender,
        handle_suspects: SuspectsHandler,
        serve_feed: FeedHandler,
        handle_limits: LimitsHandler,
        streams: StreamRegistry,
    ) -> None:
        self._streams = streams
        self._lender = lender
        self._handle_suspects = handle_suspects
        self._serve_feed = serve_feed
        self._handle_limits = handle_limits

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
        lines = self._handle_suspects(list(request.lines), request.asks)
        await stream.send_message(SuspectsReply(lines=lines))

    async def TellLimits(self, stream: Stream) -> None:
        request = await stream.recv_message()
        if request is None:
            return
        self._handle_limits(
            [
                LimitUpdate(limit.runner, limit.started, limit.rate, limit.number)
                for limit in request.limits
            ]
        )
        await stream.send_message(LimitsReply())

    async def RecordStreams(self, stream: Stream) -> None:
        request = await stream.recv_message()
        if request is None:
            return
        self._streams.record_streams(decode_records(request))
        await stream.send_message(RecordStreamsReply())

    async def FindStream(self, stream: Stream) -> None:
        request = await stream.recv_message()
        if request is None:
            return
        answer = self._streams.answer_find(request.stream, request.endpoints)
        await stream.send_message(encode_answer(request.stream, answer))

    async def FollowNews(self, stream: Stream) -> None:
        await self._serve_feed(GrpcSubscriberLink(stream))


def _ignore_limits(limits: list[LimitUpdate]) -> None:
    """Ignore limits of runners; for a relay that sends requests to no runner."""


def make_server(
    lender: TokenLender,
    handle_suspects: SuspectsHandler,
    serve_feed: FeedHandler,
    address: str,
    handle_limits: LimitsHandler = _ignore_limits,
    streams: StreamRegistry | None = None,
    quota: IngressQuota | None = None,
) -> RpcServer:
    """Return the server for calls of other relays; it isn't started yet."""
    service = _RelaysService(
        lender,
        handle_suspects,
        serve_feed,
        handle_limits,
        streams or NoStreamRegistry(),
    )
    return RpcServer([service], address, quota)
