"""Tests of the registry of holders: lives that only rise, whatever is lost or late."""

import attrs
import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from .. import registries
from ..models import Holder
from ..registries import (
    Entry,
    HolderState,
    Life,
    Registry,
    close,
    decode_registry,
    encode_registry,
    fence,
    reclaim,
    register,
)

NAMES = ("r1", "r2", "r3")
STEPS = settings(max_examples=150, stateful_step_count=40)
CATCH = settings(STEPS, phases=[Phase.generate], report_multiple_bugs=False)


class Process:
    """A router process that registers once, under a random identity."""

    def __init__(self, name, registration):
        self.name = name
        self.registration = registration
        self.seen = (Registry(), 0)
        self.holder = None


class Fleet(RuleBasedStateMachine):
    """Processes start, pause, write late and lose answers; others fence them."""

    register = staticmethod(register)

    def __init__(self):
        super().__init__()
        self.registry, self.version = Registry(), 0
        self.processes = []
        self.writes = []
        self.fenced = set()
        self.highest = dict.fromkeys(NAMES, 0)

    def pick(self, data, items):
        return data.draw(st.sampled_from(list(items)))

    @rule(name=st.sampled_from(NAMES))
    def start_process(self, name):
        self.processes.append(Process(name, f"registration-{len(self.processes)}"))

    @precondition(lambda self: any(item.holder is None for item in self.processes))
    @rule(data=st.data(), fresh=st.booleans())
    def send_registration(self, data, fresh):
        """A process writes, from what it reads now or read a while ago."""
        waiting = [item for item in self.processes if item.holder is None]
        process = self.pick(data, waiting)
        if fresh:
            process.seen = (self.registry, self.version)
        registry, version = process.seen
        changed, holder = self.register(
            registry, process.name, "127.0.0.1:1", "host", process.registration
        )
        self.writes.append((version, changed, process, holder))

    @precondition(lambda self: self.writes)
    @rule(data=st.data(), answered=st.booleans())
    def deliver(self, data, answered):
        """A write arrives, maybe long after it was sent; its answer may be lost."""
        write = self.pick(data, self.writes)
        self.writes.remove(write)
        version, changed, process, holder = write
        if version == self.version:
            before = self.registry.find(process.name, process.registration)
            self.put(changed)
            after = self.registry.find(process.name, process.registration)
            assert before in (None, after), "a process fenced its own life"
            if answered:
                process.holder = holder

    @precondition(lambda self: self.registry.live())
    @rule(data=st.data(), change=st.sampled_from([fence, close]))
    def end_life(self, data, change):
        holder = self.pick(data, self.registry.live())
        self.put(change(self.registry, holder))

    @precondition(lambda self: self.registry.fenced())
    @rule(data=st.data())
    def reclaim_life(self, data):
        holder = self.pick(data, self.registry.fenced())
        self.put(reclaim(self.registry, holder))

    def put(self, registry):
        assert decode_registry(encode_registry(registry)) == registry
        self.registry = registry
        self.version += 1
        self.fenced.update(registry.fenced())

    @invariant()
    def numbers_only_rise(self):
        for name, entry in self.registry.entries.items():
            assert entry.life.incarnation >= self.highest[name]
            self.highest[name] = entry.life.incarnation

    @invariant()
    def two_lives_never_share_a_holder(self):
        holders = [item.holder for item in self.processes if item.holder]
        assert len(set(holders)) == len(holders)

    @invariant()
    def a_fenced_holder_never_lives_again(self):
        assert not self.fenced.intersection(self.registry.live())


def count_from_own_number(registry, name, peer_address, host, registration):
    """Give the first number to who remembers none, as a host without disk does."""
    changed, _ = register(registry, name, peer_address, host, registration)
    life = Life(1, HolderState.LIVE, peer_address, host, registration)
    entries = {**changed.entries, name: Entry(life)}
    return attrs.evolve(changed, entries=entries), Holder(name, 1)


def register_without_floor(*args):
    """Forget the numbers of removed names."""
    registry, holder = register(attrs.evolve(args[0], floor=0), *args[1:])
    return attrs.evolve(registry, floor=0), holder


def register_without_identity(registry, name, peer_address, host, registration):
    """Register again after a lost answer, without looking for the first life."""
    entry = registry.entries.get(name)
    if entry is not None and entry.life.registration == registration:
        life = attrs.evolve(entry.life, registration="")
        entries = {**registry.entries, name: Entry(life, entry.fenced)}
        registry = attrs.evolve(registry, entries=entries)
    return register(registry, name, peer_address, host, registration)


def test_lives_only_rise_and_a_fenced_one_stays_fenced(monkeypatch):
    """Registrations arrive late or twice, their answers are lost, a paused router
    wakes after its successor has started. If two lives shared a number, or a fenced
    one lived again, both would spend the same tokens and a client account would be
    overspent."""
    monkeypatch.setattr(registries, "CLOSED_NAMES_KEPT", 1)
    run_state_machine_as_test(Fleet, settings=STEPS)


@pytest.mark.parametrize(
    "variant",
    [count_from_own_number, register_without_floor, register_without_identity],
)
def test_the_checks_catch_a_wrong_registration(variant, monkeypatch):
    """A registration that counts from the process's own memory, forgets removed
    names, or doesn't look for its lost write gives two lives one number or one
    process two lives; the machine must notice each."""
    monkeypatch.setattr(registries, "CLOSED_NAMES_KEPT", 0)
    machine = type("Wrong", (Fleet,), {"register": staticmethod(variant)})
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=CATCH)


def test_a_router_that_restarts_all_night_leaves_a_small_registry():
    """A router crashes at each start until morning. Each start leaves a fenced life;
    listed one by one they would fill the object, and then no router of the data
    centre could register."""
    registry = Registry()
    for number in range(2_000):
        registry, _ = register(registry, "r1", "127.0.0.1:1", "host", str(number))
    assert len(registry.fenced()) == 1_999
    assert len(encode_registry(registry)) < 200


def test_a_registry_of_an_old_copy_says_nothing_of_a_later_life():
    """A copy read a while ago doesn't list a life that began since. Taken for closed,
    the new life's messages would be refused for as long as the copy lasts."""
    registry, holder = register(Registry(), "r1", "127.0.0.1:1", "host", "one")
    assert registry.state(Holder("r1", 2)) is None
    assert registry.state(holder) is HolderState.LIVE
