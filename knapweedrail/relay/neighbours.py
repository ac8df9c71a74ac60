"""The other relays: asking them for tokens, and answering them, over gRPC."""

from __future__ import annotations

import random
import time
from collections.abc import Callable

import anyio
import attrs
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Stream

from ..addresses import split_address
from ..events import Event, log_event
from ..peers import RpcServer
from ..wire.relays_grpc import RelaysBase, RelaysStub
from ..wire.relays_pb2 import TokenReply, TokenRequest
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


@attrs.frozen
class Gift:
    """What another relay hands over.

    Attributes:
        holder: The holder that gives.
        total: Tokens handed to the asking holder in all, not just this time.
    """

    holder: str
    total: int


GiveTokens = Callable[[str, str, int, int], Gift]
"""Takes account, receiver, needed and wanted tokens."""


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
        reply = await self._call(member, request)
        if reply is None:
            self._avoided[member.holder, ""] = now + AVOID_SECONDS
            return None
        if reply.total <= self._totals.get((reply.holder, account), 0):
            self._avoided[pair] = now + EMPTY_SECONDS
        self._totals[reply.holder, account] = reply.total
        return Gift(reply.holder, reply.total)

    async def close(self) -> None:
        """Close all connections."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    def _get(self, pair: tuple[str, str]) -> float:
        return self._avoided.get(pair, 0.0)

    async def _call(self, member: Member, request: TokenRequest) -> TokenReply | None:
        channel = self._channels.get(member.address)
        if channel is None:
            channel = Channel(*split_address(member.address))
            self._channels[member.address] = channel
        try:
            with anyio.fail_after(CALL_SECONDS):
                return await RelaysStub(channel).HandOver(request)
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

    def __init__(self, give: GiveTokens) -> None:
        self._give = give

    async def HandOver(self, stream: Stream) -> None:
        request = await stream.recv_message()
        if request is None:
            return
        gift = self._give(
            request.account, request.receiver, request.needed, request.wanted
        )
        await stream.send_message(TokenReply(holder=gift.holder, total=gift.total))


def make_server(give: GiveTokens, address: str) -> RpcServer:
    """Return the server that answers other relays, not started yet."""
    return RpcServer([_Service(give)], address)
