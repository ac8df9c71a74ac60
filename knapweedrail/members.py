"""Task of membership: the router's own life, and its beliefs about others."""

from __future__ import annotations

import random
import uuid
from abc import ABC, abstractmethod
from collections.abc import Callable

import anyio
import attrs

from .beliefs import Beliefs, Member, News, Rounds
from .events import Event, log_event
from .models import Holder
from .outcomes import Failure, Unavailable
from .peers import PeerClients
from .platforms import Changes, Platform
from .registrars import Registered, Registrar, Seen, Superseded
from .registries import REGISTRY_PREFIX, HolderState, Registry
from .tasks import Task
from .wire.peers_pb2 import Exchange, Fenced, Sender

WATCH_SECONDS = 30.0
"""Longest wait of one watch. Each return costs a call; at 500 routers this is 17
calls a second for the whole fleet."""

OTHERS_READ_SECONDS = 10.0
"""Mean delay before a changed registry of another data centre is read. When a data
centre restarts, its registry changes thirty times; 500 routers that read it each time
would use up the platform's reads for everyone else."""

HOSTS_READ_SECONDS = 10.0
"""Mean time between reads of the platform's host list, which lags anyway."""

RETRY_SECONDS = 0.2
"""Upper end of the first random pause after a failed call to the platform."""

RETRY_LIMIT_SECONDS = 10.0
"""Upper end of any such pause: after an outage the fleet comes back over ten seconds
and not at once."""

HURRY_SECONDS = 0.02
"""Pause before a round that news has started, for more news to join it."""

FENCED_CARRIED = 64
"""Fenced lives named in one exchange, so that its size is bounded. The registry names
them all; exchanges only bring the latest sooner."""


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


@attrs.frozen
class LifeEnded:
    """This router's life was ended by others.

    Attributes:
        holder: The life that is over; what it holds may not be used any more.
        superseded: Another process registered under the router's name. The router
            begins no new life then: two processes would fence each other for ever.
    """

    holder: Holder
    superseded: bool


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
        self.holder = Holder(settings.name, 0)
        self.superseded = False
        self.leaving = False
        self._platform = platform
        self._clients = clients
        self._rng = rng or random.Random()
        self._registrar = Registrar(platform, self._rng)
        self._beliefs = Beliefs(
            settings.name, settings.data_centre, settings.heartbeat_seconds
        )
        self._rounds = Rounds(settings.name, self._rng)
        self._registration = ""
        self._last = 0
        self._lifeless = anyio.Event()
        self._hurry = anyio.Event()
        self._parts: list[ExchangePart] = []
        self._on_registered: list[Callable[[Holder], None]] = []
        self._on_life_ended: list[Callable[[LifeEnded], None]] = []
        self._heard_fenced: set[Holder] = set()
        self._asking: set[str] = set()
        self._own_alive: frozenset[str] = frozenset()

    @property
    def registered(self) -> bool:
        """Whether this life is registered, so that it may hold tokens."""
        return self.holder.incarnation > 0

    def members(self) -> tuple[Member, ...]:
        """Return the beliefs about all other routers."""
        return self._beliefs.members(anyio.current_time())

    def own_data_centre_members(self) -> tuple[Member, ...]:
        """Return the beliefs about the other routers of this data centre."""
        place = self.settings.data_centre
        return tuple(item for item in self.members() if item.data_centre == place)

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

    def note_silent(self, name: str) -> None:
        """Note that a member didn't answer; until it is heard it seems dead."""
        self._beliefs.note_refused(name)

    def on_exchange(self, part: ExchangePart) -> None:
        """Let a part fill and hear exchanges."""
        self._parts.append(part)

    def on_registered(self, callback: Callable[[Holder], None]) -> None:
        """Call back when a life begins."""
        self._on_registered.append(callback)

    def on_life_ended(self, callback: Callable[[LifeEnded], None]) -> None:
        """Call back at once when this life is found to be ended by others."""
        self._on_life_ended.append(callback)

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
        self.leaving = True
        if not self.registered:
            return None
        holder = self.holder
        self._drop_holder()
        outcome = await self._registrar.close(self.settings.data_centre, holder)
        if isinstance(outcome, Seen):
            log_event(Event.MEMBER_CLOSED, holder=str(holder))
        return outcome

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
            group.start_soon(self._keep_registered)
            group.start_soon(self._follow_registries)
            group.start_soon(self._follow_hosts)
            await self._beat(group)

    async def _keep_registered(self) -> None:
        while not self.superseded and not self.leaving:
            self._registration = uuid.UUID(int=self._rng.getrandbits(128)).hex
            self._lifeless = anyio.Event()
            await self._register()
            await self._lifeless.wait()

    async def _register(self) -> None:
        attempt = 0
        while not self.leaving:
            outcome = await self._registrar.register(
                self.settings.data_centre,
                self.settings.name,
                self.settings.peer_address,
                self.settings.host,
                self._registration,
                self._beliefs.highest(self.settings.name),
                self._last,
            )
            if isinstance(outcome, Superseded):
                self._note_superseded(Holder(self.settings.name, self._last))
                return
            if isinstance(outcome, Registered):
                self._begin_life(outcome)
                return
            if attempt == 0:
                log_event(Event.MEMBER_NOT_REGISTERED, detail=str(outcome))
            await self._pause(attempt)
            attempt += 1

    def _begin_life(self, registered: Registered) -> None:
        # Before the first use of the life, the fences that stood at its beginning.
        self._adopt(self.settings.data_centre, registered.seen)
        self.holder = registered.holder
        self._last = self.holder.incarnation
        log_event(Event.MEMBER_REGISTERED, holder=str(self.holder))
        for callback in self._on_registered:
            callback(self.holder)

    def _adopt(self, data_centre: str, seen: Seen) -> None:
        beliefs = self._beliefs
        if beliefs.adopt_registry(data_centre, seen.registry, seen.version):
            self._check_own_life()

    async def _follow_registries(self) -> None:
        revision = 0
        attempt = 0
        waiting: set[str] = set()
        due = anyio.current_time()
        while True:
            left = due - anyio.current_time() if waiting else WATCH_SECONDS
            if waiting and left <= 0:
                waiting = await self._read_registries(waiting)
                due = self._others_due()
                continue
            outcome = await self._platform.watch(REGISTRY_PREFIX, revision, left)
            if not isinstance(outcome, Changes):
                await self._pause(attempt)
                attempt += 1
                continue
            attempt = 0
            revision = max(revision, outcome.revision)
            changed = {
                item.key.removeprefix(REGISTRY_PREFIX) for item in outcome.changes
            }
            urgent = {item for item in changed if self._is_urgent(item)}
            failed = await self._read_registries(urgent)
            changed = changed - urgent | failed
            if changed and not waiting:
                due = self._others_due()
            waiting |= changed

    def _is_urgent(self, data_centre: str) -> bool:
        own = data_centre == self.settings.data_centre
        return own or not self._beliefs.knows(data_centre)

    def _others_due(self) -> float:
        share = self._rng.uniform(0.5, 1.5)
        return anyio.current_time() + share * self.settings.others_read_seconds

    async def _read_registries(self, data_centres: set[str]) -> set[str]:
        """Read registries; return those that couldn't be read."""
        failed: set[str] = set()
        for data_centre in sorted(data_centres):
            outcome = await self._registrar.read(data_centre)
            if isinstance(outcome, Unavailable):
                failed.add(data_centre)
                continue
            self._adopt(data_centre, outcome)
        return failed

    def _check_own_life(self) -> None:
        """End this life when the registry says that others have ended it."""
        registry = self.registry()
        entry = registry.entries.get(self.settings.name)
        if entry is not None:
            self._heard_fenced = {
                item
                for item in self._heard_fenced
                if registry.state(item) is not HolderState.CLOSED
            }
        if entry is None or not self.registered:
            return
        if entry.life.incarnation > self.holder.incarnation:
            self._note_superseded(self.holder)
        elif registry.state(self.holder) is HolderState.FENCED:
            self._end_life()

    def _end_life(self) -> None:
        """End this life; the task then registers the next."""
        ended = self.holder
        log_event(Event.MEMBER_FENCED, holder=str(ended))
        self._drop_holder()
        self._tell_life_ended(LifeEnded(ended, superseded=False))
        self._lifeless.set()

    def _note_superseded(self, ended: Holder) -> None:
        log_event(Event.MEMBER_SUPERSEDED, holder=str(ended))
        self.superseded = True
        self._drop_holder()
        self._tell_life_ended(LifeEnded(ended, superseded=True))
        self._lifeless.set()

    def _drop_holder(self) -> None:
        self.holder = Holder(self.settings.name, 0)

    def _tell_life_ended(self, ended: LifeEnded) -> None:
        for callback in self._on_life_ended:
            callback(ended)

    async def _follow_hosts(self) -> None:
        while True:
            share = self._rng.uniform(0.5, 1.5)
            await anyio.sleep(share * HOSTS_READ_SECONDS)
            outcome = await self._platform.list_hosts()
            if not isinstance(outcome, Unavailable):
                self._beliefs.leaving_hosts = frozenset(
                    host.name for host in outcome if host.state == "leaving"
                )

    async def _beat(self, group: anyio.abc.TaskGroup) -> None:
        while True:
            members = self.members()
            self._note_changes(members)
            chosen = self._rounds.choose(self.settings.data_centre, members)
            for member in chosen:
                self._ask(group, member.peer_address, member.holder.name)
            known = {member.peer_address for member in members}
            known.add(self.settings.peer_address)
            self._clients.keep(known.union(self.settings.seeds))
            seeds = [item for item in self.settings.seeds if item not in known]
            if seeds:
                self._ask(group, self._rng.choice(seeds), "")
            share = self._rng.uniform(0.8, 1.2)
            with anyio.move_on_after(share * self.settings.heartbeat_seconds):
                await self._hurry.wait()
                # Several pieces of news in a row make one round.
                await anyio.sleep(HURRY_SECONDS)
            self._hurry = anyio.Event()

    def _ask(self, group: anyio.abc.TaskGroup, address: str, name: str) -> None:
        if address not in self._asking:
            self._asking.add(address)
            group.start_soon(self._trade_with, address, name)

    async def _trade_with(self, address: str, name: str) -> None:
        try:
            outcome = await self._clients.trade(address, self.make_exchange())
        finally:
            self._asking.discard(address)
        if isinstance(outcome, Exchange):
            self._hear(outcome)
        elif isinstance(outcome, Unavailable) and name:
            self._beliefs.note_refused(name)

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
            self._end_life()

    def _note_changes(self, members: tuple[Member, ...]) -> None:
        place = self.settings.data_centre
        alive = frozenset(
            item.holder.name
            for item in members
            if item.alive and item.data_centre == place
        )
        for name in sorted(alive - self._own_alive):
            log_event(Event.MEMBER_HEARD, member=name)
        for name in sorted(self._own_alive - alive):
            log_event(Event.MEMBER_SILENT, member=name)
        self._own_alive = alive

    async def _pause(self, attempt: int) -> None:
        limit = min(RETRY_SECONDS * 2 ** min(attempt, 10), RETRY_LIMIT_SECONDS)
        await anyio.sleep(self._rng.uniform(0, limit))
