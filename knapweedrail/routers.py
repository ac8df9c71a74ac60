"""The kernel of a router: starts, wires and closes all of its tasks."""

from __future__ import annotations

import time

import anyio
import anyio.abc

from .answers import Answers
from .budget_messages import Drain, Drained
from .budgets import BudgetTask
from .changes import ConfigurationTask, Times
from .checks import GatewayLimits
from .console import Console
from .descriptors import read_descriptor_limit
from .events import Event, log_event
from .evictions import EvictionLog
from .gateway import Gateway
from .handlers import ConfigurationPart, QuarantinePart, RouterHandler
from .homes import HomeTable, RunFinder
from .ingress import ClientKind, IngressQuota, make_limits
from .intake import Intake, Life
from .lives import LifeEnded
from .measures import Measures
from .members import MembershipSettings, MembershipTask
from .models import Holder, Rules
from .neighbourhoods import BudgetNeighbours, ConfigurationPeers
from .peers import PeerClients, PeerServer
from .platforms import HttpPlatform
from .pools import Pools
from .registrations import load_plugins
from .retirements import RetirementTask
from .runs import RunTable
from .servers import HttpServer, ServerLimits
from .settings import RouterSettings
from .tasks import Task
from .views import View

VIEW_SECONDS = 0.1
"""Time between two looks at the configuration for the endpoints. A change is in force
for callers at once; its endpoints follow within this."""

DRAIN_SECONDS = 10.0
"""Bound on giving tokens back and writing bills at the end; the platform may be away
just then."""

BALANCER_SECONDS = 0.5
"""Time from telling the balancer that this router stops until new connections are
refused, so that requests already on their way are still served."""


class Router:
    """One router process.

    Args:
        settings: Its settings.
    """

    def __init__(self, settings: RouterSettings) -> None:
        load_plugins()
        self.settings = settings
        self.stopping = False
        self.measures = Measures()
        self.measures.export()
        self.platform = HttpPlatform(
            settings.platform, settings.platform_timeout_seconds
        )
        limits = make_limits(
            settings.caller_memory_bytes,
            read_descriptor_limit(settings.max_descriptors),
            settings.max_connections,
        )
        self.quota = IngressQuota(limits, EvictionLog().record)
        self.clients = PeerClients(settings.exchange_timeout_seconds)
        self.table = RunTable(
            settings.answer_keep_seconds, settings.answer_memory_bytes
        )
        self.life: Life | None = None
        self._earlier: list[Life] = []
        self._shown: View = View()

    async def start(self, group: anyio.abc.TaskGroup) -> None:
        """Start all tasks and listen.

        Raises:
            OSError: If an address can't be bound.
        """
        self._group = group
        await self.platform.start()
        await self.clients.start()
        await self._start_peers(group)
        await self._start_requests(group)
        await self._start_servers(group)
        self.retirement = RetirementTask(self.membership, self._live_budgets)
        group.start_soon(self._follow_view)
        await self.retirement.start(group)
        group.start_soon(self.intake.forget)
        log_event(
            Event.ROUTER_STARTED,
            name=self.settings.name,
            data_centre=self.settings.data_centre,
        )

    async def close(self) -> None:
        """Stop in good order: streams end, bills are written, tokens go back."""
        log_event(Event.ROUTER_STOPPING, under_way=self.intake.under_way)
        self.stopping = True
        self.membership.leaving = True
        await anyio.sleep(BALANCER_SECONDS)
        self.gateway.stopping = True
        began = time.monotonic()
        await self.caller_server.close(self._rules().stopping_seconds)
        bound = self._rules().stopping_seconds - (time.monotonic() - began)
        with anyio.move_on_after(max(bound, 0.0)):
            await self.gateway.wait_idle()
            await self.intake.wait_idle()
        left = await self._drain()
        under_way = self.intake.under_way
        await self.membership.leave()
        await self.admin_server.close(0.0)
        await self.peer_server.close()
        for task in (self.retirement, self.configuration, self.membership):
            await task.close()
        await self.pools.close()
        await self.clients.close()
        await self.platform.close()
        log_event(Event.ROUTER_STOPPED, under_way=under_way, left=repr(left))

    def addresses(self) -> dict[str, int]:
        """Return the ports that were bound, by kind."""
        return {
            "caller_port": _port(self.caller_server.address),
            "peer_port": _port(self.peer_server.address),
            "admin_port": _port(self.admin_server.address),
        }

    def ready(self) -> bool:
        """Tell whether the balancer should send requests here."""
        view = self.configuration.view
        served = view.configuration is not None and not view.doubtful
        return self.life is not None and served and not self.stopping

    async def _start_peers(self, group: anyio.abc.TaskGroup) -> None:
        settings = self.settings
        # The port is bound first, since the registration names it.
        self.peer_server = PeerServer(
            RouterHandler(self), settings.peer_address, self.quota
        )
        self.peer_server.bind()
        self.membership = MembershipTask(
            MembershipSettings(
                name=settings.name,
                host=settings.host_name,
                data_centre=settings.data_centre,
                peer_address=settings.advertised_peer_address
                or self.peer_server.address,
                seeds=settings.seeds,
                heartbeat_seconds=settings.heartbeat_seconds,
            ),
            self.platform,
            self.clients,
        )
        self.neighbours = BudgetNeighbours(self.membership, self.clients)
        self.configuration = ConfigurationTask(
            self.platform,
            settings.data_centre,
            self._registered_holder,
            ConfigurationPeers(self.membership, self.clients),
            Times(
                watch_seconds=settings.watch_seconds,
                doubt_seconds=settings.doubt_seconds,
            ),
        )
        homes = HomeTable(settings.answer_keep_seconds)
        self.finder = RunFinder(self.membership, self.clients, homes)
        self.membership.on_registered(self._begin_life)
        self.membership.on_life_ended(self._end_life)
        self.membership.on_exchange(ConfigurationPart(self.configuration))
        await self.peer_server.start()
        await self.configuration.start(group)
        await self.membership.start(group)

    async def _start_requests(self, group: anyio.abc.TaskGroup) -> None:
        self.pools = Pools(
            group,
            self.settings.data_centre,
            find_standing=self.membership.find_standing,
        )
        self.membership.on_exchange(QuarantinePart(self.pools))
        self.intake = Intake(
            group, self.table, self.finder, self.pools, lambda: self.life
        )
        self.answers = Answers(
            group, self.intake, self.membership, self.clients, Rules().silence_seconds
        )
        self.gateway = Gateway(
            self.answers,
            lambda: self.configuration.view,
            self.measures,
            GatewayLimits(
                self.settings.max_body_bytes,
                self.settings.body_read_timeout_seconds,
                self.settings.max_connections,
            ),
        )

    async def _start_servers(self, group: anyio.abc.TaskGroup) -> None:
        limits = ServerLimits(
            self.settings.max_header_bytes,
            self.settings.keep_alive_seconds,
        )
        self.caller_server = HttpServer(
            self.gateway, self.settings.caller_address, limits, quota=self.quota
        )
        self.admin_server = HttpServer(
            Console(self).app,
            self.settings.admin_address,
            limits,
            quota=self.quota,
            kind=ClientKind.OPERATORS,
        )
        await self.caller_server.start(group)
        await self.admin_server.start(group)

    def _rules(self) -> Rules:
        configuration = self.configuration.view.configuration
        return configuration.rules if configuration is not None else Rules()

    def _opening_tokens(self, budget: str) -> int | None:
        configuration = self.configuration.view.configuration
        if configuration is None:
            return None
        for item in configuration.budgets:
            if item.name == budget:
                return item.opening_tokens
        return None

    def _live_budgets(self) -> Task | None:
        return self.life.budgets if self.life and not self.stopping else None

    def _registered_holder(self) -> Holder | None:
        return self.membership.holder if self.membership.registered else None

    def _begin_life(self, holder: Holder) -> None:
        budgets = BudgetTask(
            holder,
            self.settings.data_centre,
            self.platform,
            self.neighbours,
            self._rules,
            self._opening_tokens,
            shards=self.settings.ledger_shards,
            flush_seconds=self.settings.flush_seconds,
        )
        self.life = Life(holder, budgets)
        self._group.start_soon(budgets.start, self._group)

    def _end_life(self, ended: LifeEnded) -> None:
        # Work under way keeps the old life's task: its reservations are settled
        # there, and the ledger takes what it still may from a fenced holder.
        if self.life is not None:
            self._earlier.append(self.life)
        self.life = None
        if ended.superseded:
            self.stopping = True

    async def _follow_view(self) -> None:
        while True:
            view = self.configuration.view
            if view.configuration is not self._shown.configuration:
                await self.pools.apply(view.configuration)
                self.answers.silence_seconds = view.configuration.rules.silence_seconds
                self._shown = view
            await anyio.sleep(VIEW_SECONDS)

    async def _drain(self) -> Drained:
        left = Drained()
        lives = [*self._earlier, self.life] if self.life else self._earlier
        for life in lives:
            left = await life.budgets.ask(Drain(DRAIN_SECONDS))
            await life.budgets.close()
        self.life = None
        return left


def _port(address: str) -> int:
    return int(address.rpartition(":")[2])
