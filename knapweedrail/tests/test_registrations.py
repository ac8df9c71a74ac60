"""Tests of the registry of plug-in kinds."""

import abc

import pytest

from ..registrations import Registry


class Base(abc.ABC):
    """Base of the kinds in these tests."""


class Kind(Base):
    """A kind."""


def test_a_registered_kind_is_created_by_name():
    registry = Registry(Base)
    registry.add("kind", Kind)
    assert isinstance(registry.create("kind"), Kind)
    assert registry.names() == ("kind",)


def test_an_unknown_name_is_told_with_the_known_ones():
    registry = Registry(Base)
    registry.add("kind", Kind)
    with pytest.raises(ValueError, match="known: kind"):
        registry.create("knid")


def test_a_class_of_another_base_is_refused():
    with pytest.raises(ValueError, match="is not a Base"):
        Registry(Base).add("text", str)
