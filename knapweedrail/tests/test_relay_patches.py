"""Patches between two JSON values."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ..relay import patches
from ..relay.patches import apply_patch, is_same, make_patch

SCALARS = st.none() | st.booleans() | st.integers(-3, 3) | st.text("ab", max_size=2)
VALUES = st.recursive(
    SCALARS,
    lambda children: (
        st.lists(children, max_size=4)
        | st.dictionaries(st.text("abc", max_size=1), children, max_size=3)
    ),
    max_leaves=12,
)


@given(VALUES, VALUES)
def test_patch_yields_new_value_and_keeps_old_one(old, new):
    """Guards against a configuration at some relays that was never written."""
    before = repr(old)
    assert is_same(apply_patch(old, make_patch(old, new)), new)
    assert repr(old) == before


def test_booleans_differ_from_numbers():
    """Guards against a change of a field's type that isn't detected."""
    assert apply_patch({"a": 1}, make_patch({"a": 1}, {"a": True}))["a"] is True


def test_patch_of_one_route_among_many_is_small():
    """Guards against sending whole configurations over slow links."""
    routes = [{"name": f"r-{n}", "padding": "x" * 100} for n in range(1000)]
    changed = [*routes[:500], {"name": "new"}, *routes[500:]]
    assert len(repr(make_patch({"routes": routes}, {"routes": changed}))) < 200
    later = [*routes[:500], routes[500] | {"timeoutMs": 7}, *routes[501:]]
    assert len(repr(make_patch({"routes": routes}, {"routes": later}))) < 200


@pytest.mark.parametrize(
    "patch", [["fields", {"a": ["items", {"0": ["value", 1]}]}, []], ["what"], "x", []]
)
def test_patch_of_another_value_is_rejected(patch):
    """Guards against applying a part of a patch."""
    with pytest.raises(ValueError):
        apply_patch({"b": []}, patch)


def test_patch_of_a_deep_value_takes_time_by_its_length(monkeypatch):
    """Guards against an entry of another writer that is compared again at each of its
    levels, and keeps a relay from work while it changes."""
    old, new = ["x" * 100_000], ["x" * 100_000, 1]
    for _ in range(60):
        old, new = [old], [new]
    compared = []
    render = patches._render
    monkeypatch.setattr(
        patches, "_render", lambda value: compared.append(1) or render(value)
    )
    assert apply_patch(old, make_patch(old, new)) == new
    assert len(compared) < 30
