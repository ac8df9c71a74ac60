"""Proof of the protocol that decides configurations, with variants that it catches."""

import attrs
import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from knapweedrail import proposals
from knapweedrail.models import Budget, Configuration, Holder
from knapweedrail.proposals import (
    Acks,
    Command,
    Proposed,
    Stage,
    State,
    Version,
    acknowledge,
    decide,
    propose,
    withdraw,
)
from knapweedrail.views import Follower, Knowledge, know_state

TEXTS = {name: Configuration(budgets=(Budget(name, 1),)) for name in "abc"}
CENTRES = ("split-a", "split-b")
ROUTERS = {"r0": "split-a", "r1": "split-a", "r2": "split-b"}


@attrs.define
class Router:
    """One life of a router."""

    holder: Holder
    data_centre: str
    follower: Follower


@attrs.define
class Write:
    """A conditional write under way: it lands any time later, or never."""

    key: str
    expected: int
    value: object


class Protocol(RuleBasedStateMachine):
    """Routers, operators and the platform's objects; messages come late or twice."""

    def __init__(self):
        super().__init__()
        self.objects = {"state": (State(), 0), "acks": (Acks(), 0)}
        self.history = [State()]
        self.registered = {}
        self.routers = []
        self.writes = []
        self.reports = []
        self.commands = []
        self.digests = {}
        self.accepted = {}
        for name in ROUTERS:
            self.start_router(name)

    def make_follower(self):
        return Follower()

    def pick(self, items, index):
        return items[index % len(items)]

    def state(self):
        return self.objects["state"][0]

    def start_router(self, name):
        """Register a life: an earlier one of the name is fenced by that."""
        last = [r.holder.incarnation for r in self.routers if r.holder.name == name]
        holder = Holder(name, 1 + max(last, default=0))
        router = Router(holder, ROUTERS[name], self.make_follower())
        self.routers.append(router)
        self.registered[name] = router

    @rule(name=st.sampled_from(sorted(ROUTERS)))
    def restart(self, name):
        self.start_router(name)

    @rule(name=st.sampled_from(sorted(ROUTERS)))
    def fence(self, name):
        """The life may go on, paused or cut off."""
        self.registered.pop(name, None)

    @rule(digest=st.sampled_from("abc"), index=st.integers(0, 20), old=st.booleans())
    def submit(self, digest, index, old):
        """An operator proposes, on an old base too, or repeats a command."""
        base = self.pick(self.history, index) if old else self.state()
        if old and self.commands and index % 2:
            command = self.pick(self.commands, index)
        else:
            needed = sorted({r.data_centre for r in self.registered.values()})
            identity = f"command-{len(self.commands)}"
            number = base.in_force.number
            command = Command(identity, "ann", digest, number, tuple(needed))
            self.commands.append(command)
        outcome = self.propose(self.state(), command)
        if isinstance(outcome, Proposed):
            self.write("state", outcome.state)

    def propose(self, state, command):
        return propose(state, command)

    def write(self, key, value):
        self.writes.append(Write(key, self.objects[key][1], value))

    @precondition(lambda self: self.writes)
    @rule(index=st.integers(0, 20))
    def land(self, index):
        """A write lands, and perhaps again; only its condition protects."""
        self.do_land(self.pick(self.writes, index))

    @precondition(lambda self: self.writes)
    @rule()
    def land_latest(self):
        self.do_land(self.writes[-1])

    def do_land(self, write):
        value, version = self.objects[write.key]
        if version != write.expected or value == write.value:
            return
        self.objects[write.key] = (write.value, version + 1)
        if write.key == "state":
            self.history.append(write.value)
            self.check_state(value, write.value)

    def check_state(self, before, after):
        version = after.proposal.version
        digest = self.digests.setdefault(version.number, version.digest)
        assert digest == version.digest, "two files at one number"
        assert after.in_force.number >= before.in_force.number, "reverted"
        if after.in_force == before.in_force:
            return
        self.accepted[after.in_force.number] = after.in_force
        for router in self.registered.values():
            assert self.is_safe(router), f"{router.holder} can't know of the decision"

    def is_safe(self, router):
        """Say whether a router serves nothing that the accepted version forbids."""
        follower = router.follower
        view = follower.view(False, not follower.has_entered(router.holder))
        if view.doubtful or follower.staged == self.state().in_force:
            return True
        return follower.in_force.number >= self.state().in_force.number

    @rule(index=st.integers(0, 20))
    def read(self, index):
        """A router reads the state, after its registration."""
        router = self.pick(self.routers, index)
        self.enter(router, know_state(self.state()))

    def enter(self, router, knowledge):
        router.follower.enter(router.holder, knowledge)

    @rule(index=st.integers(0, 20), when=st.integers(0, 20))
    def read_late(self, index, when):
        """An answer that was long under way arrives."""
        router = self.pick(self.routers, index)
        router.follower.learn(know_state(self.pick(self.history, when)))

    @rule(index=st.integers(0, 20))
    def load(self, index):
        """A router gets the texts that it wants."""
        follower = self.pick(self.routers, index).follower
        for version in follower.wanted():
            follower.take(version, TEXTS[version.digest])

    @rule(index=st.integers(0, 20))
    def report(self, index):
        router = self.pick(self.routers, index)
        self.reports.append((router.holder, router.follower.report()))

    @precondition(lambda self: self.reports)
    @rule(index=st.integers(0, 20), which=st.integers(0, 50))
    def hear(self, index, which):
        holder, report = self.pick(self.reports, which)
        self.pick(self.routers, index).follower.hear(holder, report)

    @rule(index=st.integers(0, 20))
    def acknowledge(self, index):
        """A registered router acknowledges for its data centre."""
        router = self.pick(self.routers, index)
        proposal = self.state().open()
        if proposal is None or proposal.version != router.follower.staged:
            return
        mates = [
            other
            for other in self.registered.values()
            if other.data_centre == router.data_centre
        ]
        if router not in mates or not self.all_hold(router, mates, proposal):
            return
        acks = acknowledge(
            self.objects["acks"][0], proposal, router.data_centre, str(router.holder)
        )
        if acks is not None:
            self.write("acks", acks)

    def all_hold(self, router, mates, proposal):
        number = proposal.version.number
        others = [m for m in mates if m is not router]
        return all(router.follower.holds(m.holder, number) for m in others)

    @precondition(lambda self: self.state().open())
    @rule(index=st.integers(0, 20))
    def decide(self, index):
        """An operator's command or a router decides what it saw acknowledged."""
        live = {router.data_centre for router in self.registered.values()}
        command = self.pick(self.commands, index)
        acks = self.objects["acks"][0]
        decided = self.try_decide(self.state(), command.identity, acks, live)
        if decided is not None:
            self.write("state", decided)

    def try_decide(self, state, identity, acks, live):
        return decide(state, identity, acks, live)

    @precondition(lambda self: self.state().open())
    @rule()
    def withdraw(self):
        identity = self.state().open().identity
        self.write("state", withdraw(self.state(), identity, "too late"))

    @invariant()
    def routers_serve_only_what_is_allowed(self):
        for router in self.registered.values():
            assert self.is_safe(router)

    @invariant()
    def routers_have_only_accepted_versions_in_force(self):
        for router in self.routers:
            version = router.follower.in_force
            if version.number:
                assert self.accepted.get(version.number) == version
                assert router.follower.configuration == TEXTS[version.digest]


ROUNDS = st.tuples(
    st.sampled_from("abc"),
    st.sampled_from([*ROUTERS, None]),
    st.sampled_from([*ROUTERS, None]),
    st.sampled_from(["submit", "propose", "acknowledge"]),
    st.sampled_from(["leave", "withdraw", "decide", "decide"]),
)
"""File, router that is paused, router that starts late, when it does, how it ends."""


class Progress(Protocol):
    """The same, with rules of several steps, so that runs get far in few rules."""

    @rule(rounds=st.lists(ROUNDS, min_size=1, max_size=3))
    def run_rounds(self, rounds):
        for item in rounds:
            self.run_round(*item)

    def run_round(self, digest, paused, late, after, last):
        """Propose, hold, report, acknowledge and settle.

        One router may be paused meanwhile, and one may start in the middle and read
        the state, but not get the text.
        """
        if after == "submit" and late:
            self.fence(late)
        self.submit(digest, 0, False)
        if after == "submit" and late:
            self.start_and_read(late)
        if self.writes:
            self.land_latest()
        if after == "propose" and late:
            self.start_and_read(late)
        awake = [
            index
            for index, router in enumerate(self.routers)
            if router.holder.name not in (paused, late)
        ]
        for index in awake:
            self.read(index)
            self.load(index)
            self.reports.append(
                (self.routers[index].holder, self.routers[index].follower.report())
            )
        for index in awake:
            for holder, report in self.reports[-len(awake) :]:
                self.routers[index].follower.hear(holder, report)
            self.acknowledge(index)
            if self.writes:
                self.land_latest()
        if after == "acknowledge" and late:
            self.start_and_read(late)
        if last == "withdraw" and self.state().open():
            self.withdraw()
        elif last == "decide" and self.state().open():
            self.decide(len(self.commands) - 1)
        if self.writes:
            self.land_latest()

    def start_and_read(self, name):
        self.start_router(name)
        self.read(len(self.routers) - 1)


class DecidesByNameOnly(Progress):
    """Decides whatever is open, whosever acknowledgements it saw."""

    def try_decide(self, state, identity, acks, live):
        identity = state.open().identity
        return decide(state, identity, attrs.evolve(acks, identity=identity), live)


class AcknowledgesAlone(Progress):
    """Acknowledges for the data centre when it alone holds the text."""

    def all_hold(self, router, mates, proposal):
        return True


class ForgetsNewCentres(Progress):
    """Decides by the data centres that were live at the proposal."""

    def try_decide(self, state, identity, acks, live):
        return decide(state, identity, acks, ())


class EntersWithoutText(Progress):
    """A new life takes work once it has read the state, without the open text."""

    def enter(self, router, knowledge):
        router.follower.enter(router.holder, knowledge)
        router.follower._entry = None


class LastHeard(Follower):
    """Believes what it heard last, also when its number is lower."""

    def learn(self, knowledge):
        self.knowledge = knowledge
        self._advance()

    def _adopt(self, version, configuration):
        self.in_force = version
        self.configuration = configuration


class AdoptsLower(Progress):
    def make_follower(self):
        return LastHeard()


class CountsUp(Progress):
    """Counts up from the version in force, so a withdrawn number is used again."""

    def propose(self, state, command):
        settled = state.proposal is not None and state.proposal.stage is not Stage.OPEN
        plain = attrs.evolve(state, proposal=None) if settled else state
        return propose(plain, command)


class WritesWithoutCondition(Progress):
    """Writes over whatever stands there."""

    def do_land(self, write):
        write.expected = self.objects[write.key][1]
        super().do_land(write)


RUNS = settings(
    max_examples=400,
    stateful_step_count=25,
    suppress_health_check=list(HealthCheck),
)

HUNT = settings(
    RUNS,
    max_examples=6000,
    phases=[Phase.generate],
    report_multiple_bugs=False,
    print_blob=False,
)


@pytest.mark.parametrize("machine", [Protocol, Progress])
def test_never_two_versions_never_back_never_without_a_data_centre(machine):
    """Operators race, writes land late, routers restart, are paused, are fenced and go
    on, and messages come in any order. A user would be served under a version that
    another data centre has replaced, or see an accepted change come and go."""
    run_state_machine_as_test(machine, settings=RUNS)


@pytest.mark.parametrize(
    "variant",
    [
        DecidesByNameOnly,
        AcknowledgesAlone,
        ForgetsNewCentres,
        EntersWithoutText,
        AdoptsLower,
        CountsUp,
        WritesWithoutCondition,
    ],
)
def test_wrong_variants_are_caught(variant):
    """Each variant leaves out one thing that the protocol rests on; the same checks
    fail on it, so they would notice if the protocol lost that thing."""
    with pytest.raises(AssertionError):
        run_state_machine_as_test(variant, settings=HUNT)


VERSIONS = st.builds(
    lambda n: Version(n, f"digest-{n}"), st.integers(min_value=0, max_value=4)
)
PIECES = st.builds(Knowledge, VERSIONS, VERSIONS, st.booleans())


@given(st.lists(PIECES, min_size=1, max_size=5), st.randoms())
def test_order_and_repetition_of_messages_do_not_matter(pieces, rng):
    """Messages overtake each other; two routers that heard the same news must not
    believe different things for ever."""

    def join(items):
        known = Knowledge()
        for item in items:
            known = known.join(item)
        return known

    shuffled = pieces + pieces
    rng.shuffle(shuffled)
    assert join(shuffled) == join(pieces)


def test_a_repeated_command_finds_its_own_proposal():
    """The answer of the platform is lost after the write took effect. The operator,
    told that somebody had beaten them, would look for a rival who doesn't exist."""
    command = Command("one", "ann", "a", 0, ())
    first = propose(State(), command)
    again = propose(first.state, command)
    assert again == Proposed(first.state, first.proposal)
    decided = decide(first.state, "one", Acks(), ())
    assert propose(decided, command).proposal.stage is Stage.DECIDED
    rival = propose(decided, Command("two", "bob", "b", 0, ()))
    assert isinstance(rival, proposals.Beaten)
    assert rival.winner.author == "ann"
    assert propose(decided, Command("two", "bob", "b", 1, ())).proposal.base == 1


def test_objects_keep_their_content_through_the_platform():
    state = propose(State(), Command("one", "ann", "a", 0, CENTRES)).state
    acks = acknowledge(Acks(), state.proposal, "split-a", "r0/1")
    assert proposals.decode_state(proposals.encode(state)) == state
    assert proposals.decode_acks(proposals.encode(acks)) == acks
