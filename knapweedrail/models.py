"""Data that operators declare: client accounts, budgets, routes and endpoints."""

from __future__ import annotations

import attrs

from .kinds import ENGINE as ENGINE
from .kinds import SERVICE as SERVICE


@attrs.frozen
class ClientAccount:
    """A client account.

    Attributes:
        name: Unique name.
        budget: Name of the prepaid budget that it draws on.
        key_digests: Hexadecimal SHA-256 digests of its bearer keys.
        weight: Its share of a full system against other accounts.
    """

    name: str
    budget: str
    key_digests: tuple[str, ...]
    weight: float = 1.0


@attrs.frozen
class Budget:
    """A prepaid budget: its name, and the tokens with which it is opened, once."""

    name: str
    opening_tokens: int


@attrs.frozen
class Runner:
    """One process behind an endpoint.

    Attributes:
        name: Unique name.
        address: ``host:port``.
        data_centre: Where it stands.
    """

    name: str
    address: str
    data_centre: str


@attrs.frozen
class Endpoint:
    """A group of runners that serve the same work.

    Attributes:
        name: Unique name; of an engine, also the model's name.
        kind: `ENGINE` or `SERVICE`.
        runners: Its runners, over all data centres.
        slots: Requests that one runner takes at once.
        checks_fencing: Whether its runners refuse an order that carries an old
            fencing number.
    """

    name: str
    kind: str
    runners: tuple[Runner, ...]
    slots: int = 8
    checks_fencing: bool = False


@attrs.frozen
class Route:
    """What sends requests to an endpoint.

    Attributes:
        name: Unique name. Of an engine's route, the ``model`` that callers name;
            of a service's route, the first part of the path below ``/services/``.
        endpoint: Name of the endpoint.
        price_tokens: Tokens that one call of a plain service costs.
        max_answer_tokens: Largest answer that an engine's caller may ask for.
        deadline_seconds: Time for the first byte of an answer unless the caller
            names a shorter one.
        repeatable: Whether calls may be repeated unless a call says otherwise.
    """

    name: str
    endpoint: str
    price_tokens: int = 1
    max_answer_tokens: int = 2048
    deadline_seconds: float = 30.0
    repeatable: bool = True


@attrs.frozen
class Rules:
    """Rules for leaving and stopping endpoints, and the operators' choices.

    Attributes:
        leaving_seconds: A leaving runner gets no new work after this time.
        stopping_seconds: Bound on a router's graceful shutdown.
        silence_seconds: Longest silence while an answer is due.
        cover_seconds: Seconds of demand held ahead in each data centre, for the
            time when the platform can't be reached.
        allowance_seconds: Seconds of demand that one router holds ready to
            spend; what is lost at most when it dies.
        quarantine_runners: Runners that a request may fell before it is refused.
    """

    leaving_seconds: float = 3.0
    stopping_seconds: float = 60.0
    silence_seconds: float = 10.0
    cover_seconds: float = 3600.0
    allowance_seconds: float = 5.0
    quarantine_runners: int = 2


@attrs.frozen
class Configuration:
    """One whole configuration file, checked."""

    accounts: tuple[ClientAccount, ...] = ()
    budgets: tuple[Budget, ...] = ()
    endpoints: tuple[Endpoint, ...] = ()
    routes: tuple[Route, ...] = ()
    rules: Rules = Rules()


@attrs.frozen
class Holder:
    """A router process in one of its lives.

    A name comes back with a higher incarnation after each start, so that what an
    earlier life still has under way can be told from what the present one does.

    Attributes:
        name: The router's name, unique over the fleet.
        incarnation: Number of this life; only rises.
    """

    name: str
    incarnation: int

    def __str__(self) -> str:
        return f"{self.name}/{self.incarnation}"

    @classmethod
    def parse(cls, text: str) -> Holder:
        """Read the form that `str` gives."""
        name, _, incarnation = text.rpartition("/")
        return cls(name, int(incarnation))


@attrs.frozen
class Bill:
    """What one request costs its client account.

    Attributes:
        account: Name of the client account.
        identity: The request's identity, unique within the account.
        budget: Name of the budget.
        tokens: Tokens billed: prompt and answer, or the price of a call.
        route: Name of the route.
        seconds: Unix time of settlement, for people only.
    """

    account: str
    identity: str
    budget: str
    tokens: int
    route: str
    seconds: float = 0.0
