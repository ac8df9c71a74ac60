"""Tests of beliefs about other routers: numbers decide, not the time of a message."""

from ..beliefs import Beliefs, News
from ..models import Holder
from ..registries import Registry, close, register


def make_registry(*names):
    registry = Registry()
    for name in names:
        registry, _ = register(registry, name, "127.0.0.1:1", name, name)
    return registry


def hear(beliefs, name, incarnation, now=0.0):
    news = News(Holder(name, incarnation), "split-a", f"127.0.0.1:{incarnation}")
    return beliefs.hear(news, now)


def test_a_late_message_of_an_earlier_life_changes_nothing():
    """A paused router wakes after its successor has started and sends what it had
    ready. Believed, requests would go to an address where nobody answers."""
    beliefs = Beliefs("r0", "split-a", 1.0)
    assert hear(beliefs, "r1", 2)
    assert not hear(beliefs, "r1", 1, now=1.0)
    (member,) = beliefs.own_members(1.0)
    assert member.holder == Holder("r1", 2)
    assert member.peer_address == "127.0.0.1:2"


def test_what_was_heard_of_ended_lives_is_dropped():
    """Hosts are replaced under new names every day. A router that kept all that it ever
    heard of would grow until it is killed for its memory, with its streams open."""
    beliefs = Beliefs("r0", "split-a", 1.0)
    registry = make_registry("r1", "r2")
    beliefs.adopt_registry("split-a", registry, 1)
    assert hear(beliefs, "r1", 1) and hear(beliefs, "r2", 1)
    ended = close(registry, Holder("r1", 1))
    assert beliefs.adopt_registry("split-a", ended, 2)
    assert set(beliefs._news) == set(beliefs._heard) == {"r2"}
    assert not hear(beliefs, "r1", 1)
    assert not beliefs.adopt_registry("split-a", registry, 1)
    assert [item.holder.name for item in beliefs.own_members(0.0)] == ["r2"]
