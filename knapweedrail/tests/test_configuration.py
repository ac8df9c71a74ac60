"""Configuration files: cross checks, examples, and what two versions allow."""

import hashlib
import importlib.resources
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from knapweedrail.configuration import (
    intersect,
    list_undecided,
    read_configuration,
)
from knapweedrail.models import Configuration

EXAMPLES = importlib.resources.files("knapweedrail") / "examples"


def read_example(firm: str) -> str:
    return (EXAMPLES / f"{firm}.jsonc").read_text()


def make_file(**changes) -> str:
    digest = hashlib.sha256(b"k").hexdigest()
    runner = {"name": "r1", "address": "127.0.0.1:1", "data_centre": "a"}
    value = {
        "budgets": [{"name": "b", "opening_tokens": 5}],
        "accounts": [{"name": "a", "budget": "b", "key_digests": [digest]}],
        "endpoints": [{"name": "e", "kind": "engine", "runners": [runner]}],
        "routes": [{"name": "r", "endpoint": "e"}],
    }
    return json.dumps(value | changes, indent=1)


@pytest.mark.parametrize(
    ("firm", "runners", "centres"),
    [
        ("striga", [6, 3], {"split-a", "split-b", "zadar-c"}),
        ("kurogane", [5, 3], {"fukuoka-a", "fukuoka-b", "kumamoto"}),
    ],
)
def test_examples_have_the_sizes_of_the_firms(firm, runners, centres):
    found = read_configuration(read_example(firm), firm)
    assert isinstance(found, Configuration)
    assert [len(e.runners) for e in found.endpoints] == runners
    assert {r.data_centre for e in found.endpoints for r in e.runners} == centres
    assert len(found.accounts) == 10
    for number, account in enumerate(found.accounts, 1):
        key = f"{firm}-demo-key-{number}"
        assert account.key_digests == (hashlib.sha256(key.encode()).hexdigest(),)
        assert key in read_example(firm)


def test_tells_every_broken_reference_at_once():
    """A file names a budget, an endpoint and a key wrongly; applied half, some
    callers would be billed to nobody or to somebody else."""
    digest = "0" * 64
    runner = {"name": "r1", "address": "localhost:1", "data_centre": "a"}
    text = make_file(
        accounts=[
            {"name": "a", "budget": "none", "key_digests": [digest]},
            {"name": "a", "budget": "b", "key_digests": [digest], "weight": -1},
        ],
        endpoints=[{"name": "e", "kind": "disk", "runners": [runner, runner]}],
        routes=[{"name": "r", "endpoint": "f", "price_tokens": 10**30, "x": 1}],
    )
    faults = read_configuration(text, "f")
    assert [f.line for f in faults] == sorted(f.line for f in faults)
    keys = {f.key for f in faults}
    assert keys == {
        "accounts[0].budget",
        "accounts[1].name",
        "accounts[1].key_digests[0]",
        "accounts[1].weight",
        "endpoints[0].kind",
        "endpoints[0].runners[0].address",
        "endpoints[0].runners[1].name",
        "endpoints[0].runners[1].address",
        "routes[0].endpoint",
        "routes[0].price_tokens",
        "routes[0].x",
    }


@given(st.recursive(st.none() | st.integers() | st.text(), st.lists, max_leaves=5))
def test_any_value_in_a_section_gives_faults_and_no_crash(value):
    found = read_configuration(make_file(accounts=value, routes=[value]), "f")
    assert isinstance(found, (Configuration, tuple))


NAMES = st.sampled_from(["x", "y", "z"])


@st.composite
def configurations(draw):
    budgets = draw(st.lists(NAMES, unique=True, min_size=1))
    runner = {"address": "127.0.0.1:1", "data_centre": "a"}
    endpoints = draw(st.lists(NAMES, unique=True, min_size=1))
    text = make_file(
        budgets=[{"name": b, "opening_tokens": 5} for b in budgets],
        accounts=[
            {
                "name": name,
                "budget": draw(st.sampled_from(budgets)),
                "key_digests": [hashlib.sha256(name.encode()).hexdigest()],
            }
            for name in draw(st.lists(NAMES, unique=True))
        ],
        endpoints=[
            {
                "name": name,
                "kind": draw(st.sampled_from(["engine", "service"])),
                "runners": [runner | {"name": name, "address": f"127.0.0.1:{n + 1}"}],
            }
            for n, name in enumerate(endpoints)
        ],
        routes=[
            {
                "name": name,
                "endpoint": draw(st.sampled_from(endpoints)),
                "price_tokens": draw(st.integers(0, 2)),
                "repeatable": draw(st.booleans()),
            }
            for name in draw(st.lists(NAMES, unique=True))
        ],
    )
    found = read_configuration(text, "f")
    assert isinstance(found, Configuration), found
    return found


@given(configurations(), configurations())
def test_intersection_allows_only_what_both_allow(old, new):
    """A data centre is cut off between its acknowledgement and the decision. Were it
    to serve what only one version allows, a caller removed by the accepted file
    would still be served, or one added by a file that was never accepted."""
    both = intersect(old, new)
    undecided = list_undecided(old, new)
    assert intersect(old, old) == old
    for version in (old, new):
        accounts = {a.name: a for a in version.accounts}
        routes = {r.name: r for r in version.routes}
        runners = {e.name: set(e.runners) for e in version.endpoints}
        for account in both.accounts:
            assert accounts[account.name].budget == account.budget
            assert set(account.key_digests) <= set(accounts[account.name].key_digests)
        for route in both.routes:
            assert routes[route.name].price_tokens == route.price_tokens
            assert routes[route.name].repeatable or not route.repeatable
        for endpoint in both.endpoints:
            assert set(endpoint.runners) <= runners[endpoint.name]
        assert set(routes) == {r.name for r in both.routes} | (
            undecided.routes & set(routes)
        )
        assert set(accounts) <= {a.name for a in both.accounts} | undecided.accounts
