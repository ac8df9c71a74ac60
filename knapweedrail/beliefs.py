"""Pure beliefs about other routers: who they are, and whether they seem alive.

Beliefs decide whom to ask first and when to try something. Nothing that safety rests
on uses them: that goes by incarnations and by conditional writes.
"""

from __future__ import annotations

import hashlib
import math
import random
from collections.abc import Callable, Iterable

import attrs

from .models import Holder
from .registries import HolderState, Life, Registry

OWN_FAN_OUT = 6
"""Members of the own data centre asked in one heartbeat. Both sides of an exchange
learn from it, so each pair in a data centre of 28 meets about every 2.3 heartbeats,
while a router pays for 12 exchanges a heartbeat instead of 54."""

OTHER_FAN_OUT = 2
"""Members of other data centres asked in one heartbeat. With 28 routers in each of
18 data centres, two data centres meet several times a heartbeat; two rather than one,
so that one dead host doesn't cost a round."""

SILENT_ROUNDS = 3
"""Rounds without word after which a member seems dead. One exchange may be lost and
one may meet a pause; the third is a pattern. Only the choice of whom to ask depends
on it."""


@attrs.frozen
class Member:
    """What this router believes of another one.

    Attributes:
        holder: Its latest known life; incarnation 0 when it isn't registered.
        data_centre: Where it stands.
        peer_address: ``host:port`` of its peer service.
        host: Its host, when the registry told it.
        alive: Of the own data centre: it was heard lately. Of another: the last call
            to it wasn't refused.
        leaving: It said so, or the platform's host list does.
        configuration_number: Highest configuration in force there.
        configuration_digest: Digest of that configuration.
        staged_number: Configuration staged there; 0 for none.
        staged_digest: Digest of the staged configuration.
    """

    holder: Holder
    data_centre: str
    peer_address: str
    host: str = ""
    alive: bool = False
    leaving: bool = False
    configuration_number: int = 0
    configuration_digest: str = ""
    staged_number: int = 0
    staged_digest: str = ""


@attrs.frozen
class News:
    """What a member said of itself in one exchange."""

    holder: Holder
    data_centre: str
    peer_address: str
    leaving: bool = False
    configuration_number: int = 0
    configuration_digest: str = ""
    staged_number: int = 0
    staged_digest: str = ""


class Beliefs:
    """Beliefs of one router about all others.

    Args:
        name: The router's own name, which is never a member.
        data_centre: The router's data centre.
        heartbeat_seconds: Time between two rounds of exchanges.
    """

    def __init__(self, name: str, data_centre: str, heartbeat_seconds: float) -> None:
        self.name = name
        self.data_centre = data_centre
        self.heartbeat_seconds = heartbeat_seconds
        self.leaving_hosts: frozenset[str] = frozenset()
        self.listed_hosts: frozenset[str] = frozenset()
        self._registries: dict[str, Registry] = {}
        self._versions: dict[str, int] = {}
        self._news: dict[str, News] = {}
        self._heard: dict[str, float] = {}
        self._refused: set[str] = set()
        self._own: tuple[Member, ...] = ()
        self._own_until = -math.inf

    def adopt_registry(
        self, data_centre: str, registry: Registry, version: int
    ) -> bool:
        """Take over a registry, unless a later version of it is known."""
        if version < self._versions.get(data_centre, 0):
            return False
        self._registries[data_centre] = registry
        self._versions[data_centre] = version
        self._own_until = -math.inf
        # Hosts come under new names every day; what was heard of lives that are over
        # would pile up for as long as this process runs.
        for name, news in list(self._news.items()):
            if news.data_centre == data_centre and not self._may_live(news):
                del self._news[name]
                self._heard.pop(name, None)
        return True

    def knows(self, data_centre: str) -> bool:
        """Tell whether any version of a data centre's registry was read."""
        return data_centre in self._registries

    def registry(self, data_centre: str) -> Registry:
        """Return the latest known registry of a data centre."""
        return self._registries.get(data_centre, Registry())

    def highest(self, name: str) -> int:
        """Return the highest incarnation of a name seen anywhere."""
        listed = (
            registry.entries[name].life.incarnation
            for registry in self._registries.values()
            if name in registry.entries
        )
        news = self._news.get(name)
        return max(*listed, 0, news.holder.incarnation if news else 0)

    def hear(self, news: News, now: float) -> bool:
        """Take in what a member said; ``False`` when an earlier life said it.

        A message counts by the number that it carries: one from a life below the
        highest seen of its name says nothing about the present one, however late or
        early it arrives.
        """
        name = news.holder.name
        if name == self.name or news.holder.incarnation < self.highest(name):
            return False
        if not self._may_live(news):
            return False
        if news != self._news.get(name) or name not in self._heard:
            self._own_until = -math.inf
        self._news[name] = news
        self._heard[name] = now
        self._refused.discard(name)
        return True

    def note_refused(self, name: str) -> None:
        """Note that a member refused a connection: its process seems gone."""
        self._heard.pop(name, None)
        self._refused.add(name)
        self._own_until = -math.inf

    def own_members(self, now: float) -> tuple[Member, ...]:
        """Return the members of the own data centre, sorted by name.

        Asked with every request, so the list is kept until something changes or half
        a heartbeat has passed.
        """
        if now >= self._own_until:
            self._own = self.list_members(self.data_centre, now)
            self._own_until = now + self.heartbeat_seconds / 2
        return self._own

    def members(self, now: float) -> tuple[Member, ...]:
        """Return all members."""
        return tuple(
            member
            for data_centre in self.data_centres()
            for member in self.list_members(data_centre, now)
        )

    def data_centres(self) -> tuple[str, ...]:
        """Return the names of all data centres, sorted."""
        heard = {news.data_centre for news in self._news.values()}
        return tuple(sorted(heard.union(self._registries)))

    def list_members(self, data_centre: str, now: float) -> tuple[Member, ...]:
        """Return the members of one data centre, sorted by name."""
        registry = self.registry(data_centre)
        found: dict[str, Life | None] = {
            holder.name: registry.entries[holder.name].life
            for holder in registry.live()
        }
        for name, news in self._news.items():
            if news.data_centre == data_centre and self._may_live(news):
                found.setdefault(name, None)
        found.pop(self.name, None)
        since = now - self.silent_seconds(len(found))
        return tuple(
            self._make_member(name, data_centre, life, since)
            for name, life in sorted(found.items())
        )

    def suspects(self, now: float) -> tuple[Member, ...]:
        """Return the registered members of the own data centre that seem gone.

        Made for the hour in which this router is cut off from its neighbours but not
        from the platform: it hears none of them, and if it took all for gone, it would
        end the lives of a whole data centre and strand what they hold. So a router
        that hears less than half of its data centre suspects only those whose hosts
        the platform's list doesn't name.
        """
        own = [item for item in self.own_members(now) if item.holder.incarnation]
        silent = [item for item in own if not item.alive]
        if 2 * len(silent) <= len(own) + 1:
            return tuple(silent)
        listed = self.listed_hosts
        return tuple(item for item in silent if listed and item.host not in listed)

    def find_address(self, holder: Holder) -> str | None:
        """Return the peer address of a life of the own data centre."""
        news = self._news.get(holder.name)
        if news is not None and news.holder == holder:
            return news.peer_address
        entry = self.registry(self.data_centre).entries.get(holder.name)
        if entry is not None and entry.life.incarnation == holder.incarnation:
            return entry.life.peer_address
        return None

    def silent_seconds(self, members: int) -> float:
        """Return the silence after which one of so many members seems dead."""
        rounds = -(-members // OWN_FAN_OUT) or 1
        return SILENT_ROUNDS * rounds * self.heartbeat_seconds

    def _make_member(
        self, name: str, data_centre: str, life: Life | None, since: float
    ) -> Member:
        host = life.host if life is not None else ""
        alive = self._seems_alive(name, data_centre, since)
        leaving = host in self.leaving_hosts
        news = self._news.get(name)
        if life is not None and (
            news is None or news.holder.incarnation < life.incarnation
        ):
            holder = Holder(name, life.incarnation)
            return Member(holder, data_centre, life.peer_address, host, alive, leaving)
        return Member(
            news.holder,
            data_centre,
            news.peer_address,
            host,
            alive,
            leaving or news.leaving,
            news.configuration_number,
            news.configuration_digest,
            news.staged_number,
            news.staged_digest,
        )

    def _may_live(self, news: News) -> bool:
        state = self.registry(news.data_centre).state(news.holder)
        unregistered = news.holder.incarnation == 0
        return unregistered or state in (None, HolderState.LIVE)

    def _seems_alive(self, name: str, data_centre: str, since: float) -> bool:
        if data_centre != self.data_centre:
            return name not in self._refused
        return self._heard.get(name, -math.inf) >= since


def choose_by_hash(key: str, names: Iterable[str]) -> str | None:
    """Choose a name for a key by rendezvous hash.

    When a name comes or goes, only the keys that it won or had move.
    """
    return max(
        names,
        key=lambda name: hashlib.blake2b(
            f"{key}:{name}".encode(), digest_size=8
        ).digest(),
        default=None,
    )


class Rounds:
    """Chooses whom to ask in each heartbeat.

    For a data centre of up to thirty routers among twenty data centres. Asking all of
    them each time would cost a router several percent of a core; asking at random
    leaves some unasked for long. So both kinds are asked in turn, in an order that
    differs from router to router and from round to round.

    In another data centre a router keeps to one partner while that doesn't refuse it:
    else its open connections would grow with the fleet.

    Args:
        name: The router's name, by which partners differ from router to router.
        rng: Source of the order.
    """

    def __init__(self, name: str, rng: random.Random) -> None:
        self._name = name
        self._rng = rng
        self._own: list[str] = []
        self._others: list[str] = []

    def choose(
        self,
        own: Iterable[Member],
        others: Iterable[str],
        list_members: Callable[[str], tuple[Member, ...]],
    ) -> list[Member]:
        """Choose the members to ask now.

        Args:
            own: Members of the own data centre.
            others: Names of the other data centres.
            list_members: Returns the members of a data centre.
        """
        by_name = {item.holder.name: item for item in own}
        names = self._next(self._own, by_name, OWN_FAN_OUT)
        chosen = [by_name[name] for name in names]
        for data_centre in self._next(self._others, others, OTHER_FAN_OUT):
            members = list(list_members(data_centre))
            if members:
                chosen.append(self._choose_partner(members))
        return chosen

    def _choose_partner(self, members: list[Member]) -> Member:
        candidates = [item for item in members if item.alive] or members
        names = [item.holder.name for item in candidates]
        partner = choose_by_hash(self._name, names)
        return candidates[names.index(partner)]

    def _next(self, queue: list[str], names: Iterable[str], count: int) -> list[str]:
        names = set(names)
        if len(names) <= count:
            return sorted(names)
        taken: list[str] = []
        while len(taken) < count:
            if not queue:
                queue.extend(sorted(names))
                self._rng.shuffle(queue)
            name = queue.pop()
            if name in names and name not in taken:
                taken.append(name)
        return taken
