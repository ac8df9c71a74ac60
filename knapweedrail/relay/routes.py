"""Finding a request's route and account in a configuration."""

from __future__ import annotations

import random

import attrs

from .models import Account, Configuration, Route

PRIORITY_LEVELS = 10
"""Ranks that runners tell apart, from 0, the most urgent."""


@attrs.frozen
class Priorities:
    """Ranks that a runner may be told for one request; 0 is the most urgent.

    Attributes:
        calm: Among the requests of other accounts only.
        busy: Among the requests of the same account as well. A runner lets what ranks
            first interrupt what it has begun, so ranks that differ cost time where
            nothing waits: told always, a tenth of all answers came late that didn't.
    """

    by_account: int
    by_account_and_route: int


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

        self._sorted_keys = _list_priority_keys(configuration)

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

    def compute_priorities(self, route: Route, account: Account | None) -> Priorities:
        """Return a request's ranks among all others.

        The account's rank goes first, and among requests of accounts that rank alike
        the route's.
        """
        account_rank = account.rank if account is not None else None
        priority_key = _make_priority_key(route.rank, account_rank)
        same_account = [
            pair for pair in self._sorted_keys if pair[0] == priority_key[0]
        ]
        return Priorities(
            by_account=self._compute_level(same_account[0]),
            by_account_and_route=self._compute_level(priority_key),
        )

    def _compute_level(self, priority_key: tuple[int, int]) -> int:
        position = self._sorted_keys.index(priority_key)
        return min(
            PRIORITY_LEVELS - 1,
            position * PRIORITY_LEVELS // max(PRIORITY_LEVELS, len(self._sorted_keys)),
        )

    def find_account(self, key: str | None) -> Account | None:
        """Return the account that holds a key."""
        return self._accounts.get(key) if key else None


def _make_priority_key(route: int, account: int | None) -> tuple[int, int]:
    return (route if account is None else account, route)


def _list_priority_keys(configuration: Configuration) -> list[tuple[int, int]]:
    """Return all pairs of ranks that requests may have, the most urgent first."""
    accounts = {account.rank for account in (configuration.accounts or {}).values()}
    routes = {route.rank for route in configuration.routes}
    return sorted(
        {
            _make_priority_key(route, account)
            for route in routes
            for account in {None, *accounts}
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
