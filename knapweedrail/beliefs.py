"""Pure beliefs about other routers: who they are, and whether they seem alive.

Beliefs decide whom to ask first and when to try something. Nothing that safety rests
on uses them: that goes by incarnations and by conditional writes.
"""

from __future__ import annotations

import hashlib
import random
from collections.abc import Iterable

import attrs

from .models import Holder
from .registries import HolderState, Registry

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
        self._registries: dict[str, Registry] = {}
        self._versions: dict[str, int] = {}
        self._news: dict[str, News] = {}
        self._heard: dict[str, float] = {}
        self._refused: set[str] = set()

    def adopt_registry(
        self, data_centre: str, registry: Registry, version: int
    ) -> bool:
        """Take over a registry, unless a later version of it is known."""
        if version < self._versions.get(data_centre, 0):
            return False
        self._registries[data_centre] = registry
        self._versions[data_centre] = version
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
        self._news[name] = news
        self._heard[name] = now
        self._refused.discard(name)
        return True

    def note_refused(self, name: str) -> None:
        """Note that a member refused a connection: its process seems gone."""
        self._heard.pop(name, None)
        self._refused.add(name)

    def members(self, now: float) -> tuple[Member, ...]:
        """Return all members, sorted by name."""
        found: dict[str, Member] = {}
        for data_centre, registry in self._registries.items():
            for holder in registry.live():
                life = registry.entries[holder.name].life
                member = Member(holder, data_centre, life.peer_address, life.host)
                found[holder.name] = self._with_news(member)
        for name, news in self._news.items():
            if name not in found and self._may_live(news):
                member = Member(news.holder, news.data_centre, news.peer_address)
                found[name] = self._with_news(member)
        found.pop(self.name, None)
        silent = self.silent_seconds(found.values())
        return tuple(
            attrs.evolve(item, alive=self._seems_alive(item, now - silent))
            for _, item in sorted(found.items())
        )

    def silent_seconds(self, members: Iterable[Member]) -> float:
        """Return the silence after which a member of the data centre seems dead."""
        own = sum(item.data_centre == self.data_centre for item in members)
        rounds = -(-own // OWN_FAN_OUT) or 1
        return SILENT_ROUNDS * rounds * self.heartbeat_seconds

    def _with_news(self, member: Member) -> Member:
        leaving = member.host in self.leaving_hosts
        news = self._news.get(member.holder.name)
        if news is None or news.holder.incarnation < member.holder.incarnation:
            return attrs.evolve(member, leaving=leaving)
        return attrs.evolve(
            member,
            holder=news.holder,
            peer_address=news.peer_address,
            leaving=news.leaving or leaving,
            configuration_number=news.configuration_number,
            configuration_digest=news.configuration_digest,
            staged_number=news.staged_number,
            staged_digest=news.staged_digest,
        )

    def _may_live(self, news: News) -> bool:
        state = self.registry(news.data_centre).state(news.holder)
        unregistered = news.holder.incarnation == 0
        return unregistered or state in (None, HolderState.LIVE)

    def _seems_alive(self, member: Member, since: float) -> bool:
        name = member.holder.name
        if member.data_centre != self.data_centre:
            return name not in self._refused
        return self._heard.get(name, float("-inf")) >= since


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

    def choose(self, data_centre: str, members: Iterable[Member]) -> list[Member]:
        """Choose the members to ask now."""
        own = {}
        others: dict[str, list[Member]] = {}
        for member in members:
            if member.data_centre == data_centre:
                own[member.holder.name] = member
            else:
                others.setdefault(member.data_centre, []).append(member)
        chosen = [own[name] for name in self._next(self._own, own, OWN_FAN_OUT)]
        for name in self._next(self._others, others, OTHER_FAN_OUT):
            chosen.append(self._choose_partner(others[name]))
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
