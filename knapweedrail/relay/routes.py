"""Finding a request's route and account in a configuration."""

from __future__ import annotations

import random

from .models import Account, Configuration, Route


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

    def find_account(self, key: str | None) -> Account | None:
        """Return the account that holds a key."""
        return self._accounts.get(key) if key else None


def choose_endpoint(route: Route, rng: random.Random) -> str:
    """Draw an endpoint by the route's weights."""
    if len(route.shares) == 1:
        return route.shares[0].endpoint
    weights = [share.weight for share in route.shares]
    if sum(weights) <= 0:
        return route.shares[0].endpoint
    return rng.choices(route.shares, weights)[0].endpoint
