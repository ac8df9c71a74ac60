"""Task of membership: the router's own life, and its beliefs about others."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Callable

import anyio
import attrs

from .beliefs import Beliefs, Member, News, Rounds
from .events import Event, log_event
from .limits import Senders, Standing
from .lives import LifeEnded, OwnLife, Place
from .models import Holder
from .outcomes import Failure, Unavailable
from .peers import PeerClients
from .platforms import Platform
from .registrars import Registrar, Seen
from .registries import HolderState, Registry
from .tasks import Task
from .watches import OTHERS_READ_SECONDS, RegistryWatch
from .wire.peers_pb2 import Exchange, Fenced, Sender

HOSTS_READ_SECONDS = 10.0
"""Mean time between reads of the platform's host list, which lags anyway."""

IDLE_SECONDS = 60.0
"""Time after which an unused connection to a peer is closed. Partners are kept, so an
unused one belongs to a host that was replaced or to a partner that was given up."""

HURRY_SECONDS = 0.02
"""Pause before a round that news has started, for more news to join it."""

FENCED_CARRIED = 16
"""Fenced lives named in one exchange. The registry names them all, and a life that is
over learns it from the answer to its own exchange; this only serves routers that are
cut off from the platform while others aren't. At 16 exchanges a second, 16 names of
25 bytes are 6 KB a second of the 23 KB that a router may send."""


NAMES_SECONDS = 2.0
"""How long the names of all routers are kept by which senders to limited runners are
chosen: they are asked for at each load report of such a runner."""


@attrs.frozen
class MembershipSettings:
    """What the membership needs from the settings.

    Attributes:
        name: The router's name, unique over the fleet.
        host: The host on which it runs.
        data_centre: Where it stands.
        peer_address: Address at which peers reach it.
        seeds: Peer addresses to ask while the platform can't be reached.
        heartbeat_seconds: Time between two rounds of exchanges.
        others_read_seconds: Mean delay before a changed registry of another data
            centre is read.
    """

    name: str
    host: str
    data_centre: str
    peer_address: str
    seeds: tuple[str, ...] = ()
    heartbeat_seconds: float = 1.0
    others_read_seconds: float = OTHERS_READ_SECONDS


class ExchangePart(ABC):
    """A part of the router that has something to say in exchanges between peers."""

    @abstractmethod
    def fill(self, message: Exchange) -> None:
        """Set this part's fields in an exchange that is about to be sent."""

    @abstractmethod
    def hear(self, sender: Holder, message: Exchange) -> None:
        """Take in what another router sent."""


class MembershipTask(Task):
    """Registers the router, trades news with peers and keeps beliefs about them.

    A router that isn't registered may relay and hold a configuration, but no tokens.

    Args:
        settings: The router's name, place and rhythm.
        platform: The platform.
        clients: Clients of the peers.
        rng: Source of all jitter and choices.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        platform: Platform,
        clients: PeerClients,
        rng: random.Random | None = None,
    ) -> None:
        super().__init__("membership")
        self.settings = settings
        self._platform = platform
        self._clients = clients
        self._rng = rng or random.Random()
        self._registrar = Registrar(platform, self._rng)
        self._senders = Senders(settings.name)
        self._named_at = float("-inf")
        self._beliefs = Beliefs(
            settings.name, settings.data_centre, settings.heartbeat_seconds
        )
        self._life = OwnLife(
            Place(
                settings.name,
                settings.host,
                settings.data_centre,
                settings.peer_address,
            ),
            self._registrar,
            lambda: self._beliefs.highest(settings.name),
            lambda seen: self._adopt(settings.data_centre, seen),
            self._rng,
        )
        self._watch = RegistryWatch(
            platform,
            self._registrar,
            settings.data_centre,
            settings.others_read_seconds,
            self._adopt,
            self._rng,
        )
        self._rounds = Rounds(settings.name, self._rng)
        self._hurry = anyio.Event()
        self._parts: list[ExchangePart] = []
        self._heard_fenced: set[Holder] = set()
        self._asking: set[str] = set()
        self._own_alive: frozenset[str] = frozenset()

    @property
    def holder(self) -> Holder:
        """The router's life; its incarnation is 0 while it isn't registered."""
        return self._life.holder

    @property
    def registered(self) -> bool:
        """Whether this life is registered, so that it may hold tokens."""
        return self._life.registered

    @property
    def superseded(self) -> bool:
        """Whether another process has this router's name now."""
        return self._life.superseded

    @property
    def leaving(self) -> bool:
        """Whether the router leaves; exchanges say so."""
        return self._life.leaving

    @leaving.setter
    def leaving(self, leaving: bool) -> None:
        self._life.leaving = leaving

    def members(self) -> tuple[Member, ...]:
        """Return the beliefs about all other routers."""
        return self._beliefs.members(anyio.current_time())

    def find_standing(self, runner: str, rate: float) -> Standing:
        """Return this router's place among those that may send to a limited runner."""
        now = anyio.current_time()
        if now - self._named_at >= NAMES_SECONDS:
            self._senders.set_names(member.holder.name for member in self.members())
            self._named_at = now
        return self._senders.find_standing(runner, rate)

    def own_data_centre_members(self) -> tuple[Member, ...]:
        """Return the beliefs about the other routers of this data centre."""
        return self._beliefs.own_members(anyio.current_time())

    def registry(self) -> Registry:
        """Return the latest known registry of this data centre."""
        return self._beliefs.registry(self.settings.data_centre)

    def fenced(self) -> frozenset[Holder]:
        """Return the fenced lives of this data centre, as far as known."""
        return self._heard_fenced.union(self.registry().fenced())

    def is_over(self, holder: Holder) -> bool:
        """Tell whether a life is known to be fenced, closed or followed by another."""
        if holder.incarnation < self._beliefs.highest(holder.name):
            return True
        state = self.registry().state(holder)
        ended = state in (HolderState.FENCED, HolderState.CLOSED)
        return ended or holder in self._heard_fenced

    def suspects(self) -> tuple[Member, ...]:
        """Return the members of this data centre that seem gone; see `Beliefs`."""
        return self._beliefs.suspects(anyio.current_time())

    def find_address(self, holder: Holder) -> str | None:
        """Return the peer address of a life of this data centre, if it is known."""
        return self._beliefs.find_address(holder)

    def note_silent(self, name: str) -> None:
        """Note that a member didn't answer; until it is heard it seems dead."""
        self._beliefs.note_refused(name)

    def on_exchange(self, part: ExchangePart) -> None:
        """Let a part fill and hear exchanges."""
        self._parts.append(part)

    def on_registered(self, callback: Callable[[Holder], None]) -> None:
        """Call back when a life begins."""
        self._life.on_registered.append(callback)

    def on_life_ended(self, callback: Callable[[LifeEnded], None]) -> None:
        """Call back at once when this life is found to be ended by others."""
        self._life.on_ended.append(callback)

    async def mark_fenced(self, holder: Holder) -> Seen | Failure:
        """Fence a life of this data centre in the registry."""
        outcome = await self._registrar.fence(self.settings.data_centre, holder)
        if isinstance(outcome, Seen):
            self._adopt(self.settings.data_centre, outcome)
        return outcome

    async def mark_reclaimed(self, holder: Holder) -> Seen | Failure:
        """Note in the registry that a fenced life is reclaimed."""
        return await self._registrar.reclaim(self.settings.data_centre, holder)

    def announce(self) -> None:
        """Start the next round of exchanges now, since there is news to tell."""
        self._hurry.set()

    async def leave(self) -> Seen | Failure | None:
        """Close this life in the registry; call it when nothing is held any more.

        Returns:
            ``None`` when there was nothing to close.
        """
        return await self._life.leave()

    async def trade(self, message: Exchange) -> Exchange:
        """Take a peer's exchange and answer with the own one."""
        self._hear(message)
        answer = self.make_exchange()
        sender = Holder.parse(message.sender.holder)
        if sender.incarnation > 0 and self.is_over(sender):
            # A process that was paused while others ended its life learns it here,
            # also while it can't reach the platform.
            answer.fenced.append(Fenced(holder=str(sender)))
        return answer

    def make_exchange(self) -> Exchange:
        """Make the exchange that this router sends now."""
        message = Exchange(sender=self.make_sender(), leaving=self.leaving)
        latest = sorted(self.fenced(), key=lambda item: item.incarnation)
        for holder in latest[-FENCED_CARRIED:]:
            message.fenced.append(Fenced(holder=str(holder)))
        for part in self._parts:
            part.fill(message)
        return message

    def make_sender(self) -> Sender:
        """Make the field by which every message names its sender."""
        return Sender(
            holder=str(self.holder),
            data_centre=self.settings.data_centre,
            peer_address=self.settings.peer_address,
        )

    async def run(self) -> None:
        """Keep a life registered, follow the registries, beat."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._life.run)
            group.start_soon(self._watch.run)
            group.start_soon(self._follow_hosts)
            await self._beat(group)

    def _adopt(self, data_centre: str, seen: Seen) -> None:
        self._beliefs.adopt_registry(data_centre, seen.registry, seen.version)
        registry = self.registry()
        self._heard_fenced = {
            item
            for item in self._heard_fenced
            if registry.state(item) is not HolderState.CLOSED
        }
        self._life.check(registry)

    async def _follow_hosts(self) -> None:
        while True:
            share = self._rng.uniform(0.5, 1.5)
            await anyio.sleep(share * HOSTS_READ_SECONDS)
            outcome = await self._platform.list_hosts()
            if not isinstance(outcome, Unavailable):
                self._beliefs.listed_hosts = frozenset(host.name for host in outcome)
                self._beliefs.leaving_hosts = frozenset(
                    host.name for host in outcome if host.state == "leaving"
                )

    async def _beat(self, group: anyio.abc.TaskGroup) -> None:
        while True:
            self._note_changes()
            for member in self._choose_members():
                self._ask(group, member.peer_address, member.holder.name)
            seed = self._choose_seed()
            if seed is not None:
                self._ask(group, seed, "")
            self._clients.close_idle(IDLE_SECONDS)
            share = self._rng.uniform(0.8, 1.2)
            with anyio.move_on_after(share * self.settings.heartbeat_seconds):
                await self._hurry.wait()
                # Several pieces of news in a row make one round.
                await anyio.sleep(HURRY_SECONDS)
            self._hurry = anyio.Event()

    def _choose_members(self) -> list[Member]:
        now = anyio.current_time()
        own = self.settings.data_centre
        others = [item for item in self._beliefs.data_centres() if item != own]
        return self._rounds.choose(
            self._beliefs.own_members(now),
            others,
            lambda name: self._beliefs.list_members(name, now),
        )

    def _choose_seed(self) -> str | None:
        """Choose a seed that isn't known as a member, if there is one."""
        if not self.settings.seeds:
            return None
        known = {member.peer_address for member in self.members()}
        known.add(self.settings.peer_address)
        seeds = [item for item in self.settings.seeds if item not in known]
        return self._rng.choice(seeds) if seeds else None

    def _ask(self, group: anyio.abc.TaskGroup, address: str, name: str) -> None:
        if address not in self._asking:
            self._asking.add(address)
            group.start_soon(self._trade_with, address, name)

    async def _trade_with(self, address: str, name: str) -> None:
        try:
            outcome = await self._clients.trade(address, self.make_exchange())
            if isinstance(outcome, Exchange):
                self._hear(outcome)
            elif isinstance(outcome, Unavailable) and name:
                self._beliefs.note_refused(name)
        except Exception as error:
            # What one peer says, or one part makes of it, must not end the task and
            # with it the router; the next round asks again.
            log_event(Event.EXCHANGE_FAILED, peer=address, error=repr(error))
        finally:
            self._asking.discard(address)

    def _hear(self, message: Exchange) -> None:
        sender = Holder.parse(message.sender.holder)
        news = News(
            sender,
            message.sender.data_centre,
            message.sender.peer_address,
            message.leaving,
            message.configuration_number,
            message.configuration_digest,
            message.staged_number,
            message.staged_digest,
        )
        if not self._beliefs.hear(news, anyio.current_time()):
            return
        if news.data_centre == self.settings.data_centre:
            self._hear_fenced(message)
        for part in self._parts:
            part.hear(sender, message)

    def _hear_fenced(self, message: Exchange) -> None:
        registry = self.registry()
        for item in message.fenced:
            holder = Holder.parse(item.holder)
            if registry.state(holder) is not HolderState.CLOSED:
                self._heard_fenced.add(holder)
        if self.registered and self.holder in self._heard_fenced:
            self._life.end()

    def _note_changes(self) -> None:
        alive = frozenset(
            item.holder.name for item in self.own_data_centre_members() if item.alive
        )
        for name in sorted(alive - self._own_alive):
            log_event(Event.MEMBER_HEARD, member=name)
        for name in sorted(self._own_alive - alive):
            log_event(Event.MEMBER_SILENT, member=name)
        self._own_alive = alive
