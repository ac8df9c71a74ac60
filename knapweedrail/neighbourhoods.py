"""The other routers, as the budgets and the configuration need them, over gRPC."""

from __future__ import annotations

import random
from collections.abc import Iterable

from .changes import Peers
from .members import MembershipTask
from .models import Holder
from .neighbours import HandedOver, Neighbours, Received, Total
from .outcomes import Failure, Unavailable
from .peers import PeerClients
from .registrars import Seen
from .wire.peers_pb2 import (
    ConfigurationReply,
    ConfigurationRequest,
    FenceReply,
    FenceRequest,
    HandOverReply,
    HandOverRequest,
    ReceivedTokens,
)

FETCH_PEERS = 4
"""Peers asked for a text in one go. A text is wanted when the platform is away; any
router that has the number has the text, so a few are enough."""


class BudgetNeighbours(Neighbours):
    """The routers of the own data centre.

    Args:
        membership: The router's membership.
        clients: Clients of the peers.
    """

    def __init__(self, membership: MembershipTask, clients: PeerClients) -> None:
        self._membership = membership
        self._clients = clients

    def list(self) -> tuple[Holder, ...]:
        return tuple(
            member.holder
            for member in self._membership.own_data_centre_members()
            if member.alive and not self._membership.is_over(member.holder)
        )

    async def hand_over(
        self, holder: Holder, budget: str, tokens: int, transfer: str
    ) -> HandedOver | Unavailable:
        address = self._membership.find_address(holder)
        if address is None:
            return _fail("neighbours.hand_over", holder, "no address is known")
        request = HandOverRequest(
            sender=self._membership.make_sender(),
            budget=budget,
            tokens=tokens,
            transfer=transfer,
        )
        reply = await self._clients.hand_over(address, request)
        if not isinstance(reply, HandOverReply):
            return _fail("neighbours.hand_over", holder, reply.detail)
        if reply.holder != str(holder):
            return _fail("neighbours.hand_over", holder, f"now {reply.holder}")
        return HandedOver(reply.tokens, reply.fenced)

    async def fence(self, asked: Holder, fenced: Holder) -> Received | Unavailable:
        address = self._membership.find_address(asked)
        if address is None:
            return _fail("neighbours.fence", asked, "no address is known")
        request = FenceRequest(
            sender=self._membership.make_sender(), holder=str(fenced)
        )
        reply = await self._clients.fence(address, request)
        if not isinstance(reply, FenceReply):
            return _fail("neighbours.fence", asked, reply.detail)
        if reply.holder != str(asked):
            return _fail("neighbours.fence", asked, f"now {reply.holder}")
        return Received(
            _read_totals(fenced, reply.received), _read_totals(fenced, reply.handed)
        )

    async def mark_fenced(self, holder: Holder) -> tuple[Holder, ...] | Unavailable:
        outcome = await self._membership.mark_fenced(holder)
        if not isinstance(outcome, Seen):
            return Unavailable(outcome.step, outcome.peer, outcome.detail)
        others = set(outcome.registry.open()) - {holder}
        return tuple(sorted(others, key=str))

    def fenced(self) -> frozenset[Holder]:
        return self._membership.fenced()

    def is_over(self, holder: Holder) -> bool:
        return self._membership.is_over(holder)


class ConfigurationPeers(Peers):
    """All routers, as the configuration needs them.

    Args:
        membership: The router's membership.
        clients: Clients of the peers.
    """

    def __init__(self, membership: MembershipTask, clients: PeerClients) -> None:
        self._membership = membership
        self._clients = clients

    async def fetch_text(self, digest: str) -> str | None:
        members = [item for item in self._membership.members() if item.alive]
        holding = [
            item
            for item in members
            if digest in (item.configuration_digest, item.staged_digest)
        ]
        request = ConfigurationRequest(
            sender=self._membership.make_sender(), digest=digest
        )
        chosen = holding or members
        for member in random.sample(chosen, min(FETCH_PEERS, len(chosen))):
            reply = await self._clients.fetch_configuration(
                member.peer_address, request
            )
            if isinstance(reply, ConfigurationReply) and reply.found:
                return reply.text.decode()
        return None

    def announce(self) -> None:
        self._membership.announce()

    def neighbours(self) -> frozenset[Holder]:
        # A router that said it leaves falls silent in good order. Were it counted, the
        # last router of a data centre would refuse all work in an outage during which
        # the others are replaced.
        return frozenset(
            member.holder
            for member in self._membership.own_data_centre_members()
            if member.holder.incarnation
            and not member.leaving
            and not self._membership.is_over(member.holder)
        )


def _read_totals(holder: Holder, totals: Iterable[ReceivedTokens]) -> tuple[Total, ...]:
    return tuple(Total(holder, item.budget, item.tokens) for item in totals)


def _fail(step: str, holder: Holder, detail: str | Failure) -> Unavailable:
    return Unavailable(step, str(holder), str(detail))
