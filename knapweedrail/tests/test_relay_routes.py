"""Tests of route lookup, priorities and traffic splits."""

import random

import attrs
import pytest

from ..relay.models import Account, RetryPolicy, Share
from ..relay.routes import PRIORITY_LEVELS, RouteTable, choose_endpoint
from .relays_in_memory import make_configuration, make_route


def make_table(*routes, accounts=()):
    configuration = make_configuration(*routes)
    if accounts:
        named = {account.name: account for account in accounts}
        configuration = attrs.evolve(configuration, accounts=named)
    return RouteTable(configuration)


def test_longest_prefix_of_the_host_wins():
    short = make_route(RetryPolicy.SAFE, "/a/")
    long = make_route(RetryPolicy.SAFE, "/a/b/")
    other = make_route(RetryPolicy.SAFE, "/a/b/c/", host="o.example")
    table = make_table(short, long, other)
    assert table.find_route("h.example", "/a/b/c/d") is long
    assert table.find_route("h.example", "/a/x") is short
    assert table.find_route("h.example", "/a/b") is short
    assert table.find_route("o.example", "/a/x") is None
    assert table.find_route("h.example", "/") is None


def test_route_priority_decides_among_accounts_of_equal_priority():
    """Requests of two routes queue at the runners, for example when two of six runners
    are left. The route's priority must order them within an account, and never put a
    request before one of a more urgent account."""
    urgent_route = make_route(RetryPolicy.STREAM, "/p/", priority=0)
    normal_route = make_route(RetryPolicy.STREAM, "/q/", priority=1)
    accounts = [
        Account(name="first", keys=(), priority=0),
        Account(name="second", keys=(), priority=2),
        Account(name="plain", keys=()),
    ]
    table = make_table(urgent_route, normal_route, accounts=accounts)
    first, second, plain = accounts
    assert (
        table.compute_priorities(urgent_route, first).by_account_and_route
        < table.compute_priorities(normal_route, first).by_account_and_route
    )
    assert (
        table.compute_priorities(normal_route, first).by_account_and_route
        < table.compute_priorities(urgent_route, second).by_account_and_route
    )
    assert (
        table.compute_priorities(urgent_route, plain).by_account_and_route
        < table.compute_priorities(normal_route, plain).by_account_and_route
    )
    assert (
        table.compute_priorities(urgent_route, None).by_account_and_route
        < table.compute_priorities(normal_route, None).by_account_and_route
    )


def test_route_priority_is_ignored_without_a_queue():
    """Guards against needless preemption: a runner would interrupt a request of the
    less urgent route and repeat its prefill later, though it had capacity for both."""
    urgent_route = make_route(RetryPolicy.STREAM, "/p/", priority=0)
    normal_route = make_route(RetryPolicy.STREAM, "/q/", priority=1)
    accounts = [Account(name=f"a{n}", keys=(), priority=n) for n in range(2)]
    table = make_table(urgent_route, normal_route, accounts=accounts)
    first, second = accounts
    assert (
        table.compute_priorities(urgent_route, first).by_account
        == table.compute_priorities(normal_route, first).by_account
    )
    assert (
        table.compute_priorities(urgent_route, first).by_account
        < table.compute_priorities(urgent_route, second).by_account
    )


@pytest.mark.parametrize("count", [1, 3, 40])
def test_priorities_stay_within_the_levels_of_runners(count):
    routes = [make_route(RetryPolicy.SAFE, f"/{n}/", priority=n) for n in range(count)]
    accounts = [Account(name=f"a{n}", keys=(), priority=n) for n in range(count)]
    table = make_table(*routes, accounts=accounts)
    priorities = [
        table.compute_priorities(route, account).by_account_and_route
        for account in accounts
        for route in routes
    ]
    assert priorities == sorted(priorities)
    assert 0 <= priorities[0] <= priorities[-1] < PRIORITY_LEVELS


def test_traffic_split_follows_weights():
    shares = (Share("e", 90.0), Share("f", 10.0), Share("g", 0.0))
    route = make_route(RetryPolicy.SAFE, shares=shares)
    rng = random.Random(1)
    drawn = [choose_endpoint(route, rng) for _ in range(1000)]
    assert 850 < drawn.count("e") < 950
    assert "g" not in drawn
    zero_weights = make_route(
        RetryPolicy.SAFE, shares=(Share("e", 0.0), Share("f", 0.0))
    )
    assert choose_endpoint(zero_weights, rng) == "e"
