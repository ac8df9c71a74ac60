"""Finding a request's route and account in a configuration."""

from __future__ import annotations

import random

from .models import Account, Configuration, Route

RANKS = 10
"""Ranks that runners tell apart, from 0, the most urgent."""


class RouteTable:
    """Routes by host and path prefix, and accounts by key.

    Args:
        configuration: The configuration to look up in.
    """

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._routes = {
            (route.host, route.prefix): route for route in configuration.routes
        }
        accounts = configuration.accounts or {}
        self._accounts = {
            key: account for account in accounts.values() for key in account.keys
        }

        self._order = _list_urgencies(configuration)

    @property
    def needs_keys(self) -> bool:
        """Whether callers show API keys at all."""
        return self.configuration.accounts is not None

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path."""
        end = path.rfind("/")
        while end >= 0:
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def rank(self, route: Route, account: Account | None) -> int:
        """Return a request's rank among all others.

        The account's rank goes first, and among requests of accounts that rank alike
        the route's. A runner with more than it can do at once then reads a plan before
        a question; with the account's rank alone, both waited alike, and the plans,
        which are longer, came late.
        """
        place = self._order.index(_make_urgency(route, account))
        return min(RANKS - 1, place * RANKS // max(RANKS, len(self._order)))

    def find_account(self, key: str | None) -> Account | None:
        """Return the account that holds a key."""
        return self._accounts.get(key) if key else None


def _make_urgency(route: Route, account: Account | None) -> tuple[int, int]:
    rank = account.rank if account is not None else None
    return (route.rank if rank is None else rank, route.rank)


def _list_urgencies(configuration: Configuration) -> list[tuple[int, int]]:
    """Return all pairs of ranks that requests may have, the most urgent first."""
    accounts = [None, *(configuration.accounts or {}).values()]
    ranks = {account.rank if account else None: account for account in accounts}
    routes = {route.rank: route for route in configuration.routes}
    return sorted(
        {
            _make_urgency(route, account)
            for route in routes.values()
            for account in ranks.values()
        }
    )


def choose_endpoint(route: Route, rng: random.Random) -> str:
    """Draw an endpoint by the route's weights."""
    if len(route.shares) == 1:
        return route.shares[0].endpoint
    weights = [share.weight for share in route.shares]
    if sum(weights) <= 0:
        return route.shares[0].endpoint
    return rng.choices(route.shares, weights)[0].endpoint
