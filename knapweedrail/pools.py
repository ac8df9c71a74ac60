"""The endpoints that a router sends work to, kept in step with the configuration."""

from __future__ import annotations

import random

import anyio.abc
import attrs

from .answer_limits import MAX_RECEIVED_BYTES, AnswerMemory
from .dispatch import Dispatcher
from .endpoints import EngineClient, RunnerClient, ServiceClient
from .limits import FindStanding, stand_alone
from .models import ENGINE, Configuration, Endpoint, Rules
from .schedulers import Reconfigure, Scheduler

CLIENTS: dict[bool, type[RunnerClient]] = {True: EngineClient, False: ServiceClient}
"""Kind of client by whether the endpoint is an engine."""


@attrs.frozen
class Pool:
    """One endpoint's scheduler and the client of its runners."""

    endpoint: Endpoint
    rules: Rules
    scheduler: Scheduler
    client: RunnerClient


class Pools:
    """All endpoints of the configuration in force.

    An endpoint that was removed keeps its scheduler until the router closes, so that
    work in flight there ends in good order; it gets nothing new since no route leads
    to it.

    Args:
        group: Task group in which schedulers run.
        data_centre: Where this router stands.
        placement: Kind of placing policy; empty for the endpoint kind's own.
        find_standing: Returns this router's place among those that may send to a
            runner which limits its requests.
    """

    def __init__(
        self,
        group: anyio.abc.TaskGroup,
        data_centre: str,
        placement: str = "",
        find_standing: FindStanding = stand_alone,
    ) -> None:
        self.data_centre = data_centre
        self._group = group
        self._placement = placement
        self._find_standing = find_standing
        self._answer_memory = AnswerMemory(MAX_RECEIVED_BYTES)
        self._pools: dict[str, Pool] = {}
        self._retired: list[Pool] = []

    async def apply(self, configuration: Configuration) -> None:
        """Take over the endpoints of a configuration."""
        wanted = {endpoint.name: endpoint for endpoint in configuration.endpoints}
        for name in set(self._pools) - set(wanted):
            self._retired.append(self._pools.pop(name))
        for name, endpoint in wanted.items():
            await self._apply_endpoint(name, endpoint, configuration.rules)

    def get(self, name: str) -> Pool:
        """Return the pool of an endpoint."""
        return self._pools[name]

    def all(self) -> tuple[Pool, ...]:
        """Return all pools in use."""
        return tuple(self._pools.values())

    async def close(self) -> None:
        """Close all schedulers and clients."""
        for pool in [*self._pools.values(), *self._retired]:
            await pool.scheduler.close()
            await pool.client.close()

    async def _apply_endpoint(
        self, name: str, endpoint: Endpoint, rules: Rules
    ) -> None:
        pool = self._pools.get(name)
        if pool is not None and pool.endpoint == endpoint and pool.rules == rules:
            return
        if pool is not None and self._is_only_moved(pool, endpoint, rules):
            await pool.scheduler.ask(Reconfigure(endpoint))
            self._pools[name] = attrs.evolve(pool, endpoint=endpoint)
            return
        if pool is not None:
            self._retired.append(pool)
        self._pools[name] = await self._open(endpoint, rules)

    def _is_only_moved(self, pool: Pool, endpoint: Endpoint, rules: Rules) -> bool:
        same = attrs.evolve(endpoint, runners=pool.endpoint.runners)
        return same == pool.endpoint and rules == pool.rules

    async def _open(self, endpoint: Endpoint, rules: Rules) -> Pool:
        client = CLIENTS[endpoint.kind == ENGINE](
            rules.silence_seconds, self._answer_memory
        )
        await client.start()
        dispatcher = Dispatcher(
            endpoint,
            self.data_centre,
            rules,
            random.Random(),
            placement=self._placement,
            find_standing=self._find_standing,
        )
        scheduler = Scheduler(endpoint, dispatcher, client)
        await scheduler.start(self._group)
        return Pool(endpoint, rules, scheduler, client)
