"""Routes, accounts and ranks of a configuration."""

import random

import attrs
import pytest

from ..relay.models import Account, Repetition, Share
from ..relay.routes import RANKS, RouteTable, choose_endpoint
from .relays_in_memory import make_configuration, make_route


def make_table(*routes, accounts=()):
    configuration = make_configuration(*routes)
    if accounts:
        named = {account.name: account for account in accounts}
        configuration = attrs.evolve(configuration, accounts=named)
    return RouteTable(configuration)


def test_the_longest_prefix_of_the_host_wins():
    short = make_route(Repetition.SAFE, "/a/")
    long = make_route(Repetition.SAFE, "/a/b/")
    other = make_route(Repetition.SAFE, "/a/b/c/", host="o.example")
    table = make_table(short, long, other)
    assert table.find_route("h.example", "/a/b/c/d") is long
    assert table.find_route("h.example", "/a/x") is short
    assert table.find_route("h.example", "/a/b") is short
    assert table.find_route("o.example", "/a/x") is None
    assert table.find_route("h.example", "/") is None


def test_a_plan_goes_before_a_question_of_an_account_that_ranks_alike():
    """Two runners are left of six, and both kinds of request wait there."""
    plan = make_route(Repetition.STREAM, "/p/", rank=0)
    question = make_route(Repetition.STREAM, "/q/", rank=1)
    accounts = [
        Account(name="first", keys=(), rank=0),
        Account(name="second", keys=(), rank=2),
        Account(name="plain", keys=()),
    ]
    table = make_table(plan, question, accounts=accounts)
    first, second, plain = accounts
    assert table.rank(plan, first).busy < table.rank(question, first).busy
    assert table.rank(question, first).busy < table.rank(plan, second).busy
    assert table.rank(plan, plain).busy < table.rank(question, plain).busy
    assert table.rank(plan, None).busy < table.rank(question, None).busy


def test_where_nothing_waits_only_accounts_rank():
    """A runner interrupts a question for a plan, and reads it again later, though it
    had room for both."""
    plan = make_route(Repetition.STREAM, "/p/", rank=0)
    question = make_route(Repetition.STREAM, "/q/", rank=1)
    accounts = [Account(name=f"a{n}", keys=(), rank=n) for n in range(2)]
    table = make_table(plan, question, accounts=accounts)
    first, second = accounts
    assert table.rank(plan, first).calm == table.rank(question, first).calm
    assert table.rank(plan, first).calm < table.rank(plan, second).calm


@pytest.mark.parametrize("count", [1, 3, 40])
def test_ranks_stay_within_what_runners_know(count):
    routes = [make_route(Repetition.SAFE, f"/{n}/", rank=n) for n in range(count)]
    accounts = [Account(name=f"a{n}", keys=(), rank=n) for n in range(count)]
    table = make_table(*routes, accounts=accounts)
    ranks = [
        table.rank(route, account).busy for account in accounts for route in routes
    ]
    assert ranks == sorted(ranks)
    assert 0 <= ranks[0] <= ranks[-1] < RANKS


def test_a_split_sends_by_weight():
    shares = (Share("e", 90.0), Share("f", 10.0), Share("g", 0.0))
    route = make_route(Repetition.SAFE, shares=shares)
    rng = random.Random(1)
    drawn = [choose_endpoint(route, rng) for _ in range(1000)]
    assert 850 < drawn.count("e") < 950
    assert "g" not in drawn
    nothing = make_route(Repetition.SAFE, shares=(Share("e", 0.0), Share("f", 0.0)))
    assert choose_endpoint(nothing, rng) == "e"
