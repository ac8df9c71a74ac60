"""Tests of the decisions together, in virtual time, judged by what callers got.

Each runs in a second or less, and has the wrong variant that it catches.
"""

import random
from statistics import mean

import pytest

from ..benches.policies import (
    SHAPES,
    Shape,
    build_world,
    count_slowed,
    good_share,
    run_trial,
    slow_down_first,
)
from ..dispatch import Dispatcher
from ..ejection import Ejector
from ..models import SERVICE, Endpoint, Rules
from ..outcomes import Ran, RefusalKind
from ..placement import Placement
from ..standins.arrivals import Mix, Request, build_arrivals
from ..standins.baselines import FirstCome
from ..standins.virtual import VirtualRunner, World
from ..work import Work
from .test_queues import FirstComeQueue

STRIGA, KUROGANE = SHAPES
SEED = 7


class FirstComeDispatcher(Dispatcher):
    """Serves its queue by arrival."""

    def _make_queue(self):
        return FirstComeQueue()


class LetInDispatcher(Dispatcher):
    """Lets everything in, and drops nothing that waits."""

    def __init__(self, *args):
        super().__init__(*args)
        self._admission.judge_new = lambda *_: None
        self._admission.judge_waiting = lambda *_: []
        self._admission.judge_turn = lambda *_: None


class LeastReportedPlacement(Placement):
    """The runner that is least loaded, as reported."""

    def choose(self, work, fleet, rng):
        runners = fleet.open_runners()
        return min(runners, key=lambda r: (r.others, r.name)) if runners else None


class HerdingDispatcher(Dispatcher):
    """Places by the last report alone."""

    def __init__(self, *args):
        super().__init__(*args)
        self._placement = LeastReportedPlacement()


class BlindDispatcher(Dispatcher):
    """Ejects no runner."""

    def __init__(self, *args):
        super().__init__(*args)
        self._supervisor._ejector.may_eject = lambda: False


class UnboundedEjector(Ejector):
    """Ejects however many look bad."""

    @property
    def limit(self):
        return self._runners


class UnboundedDispatcher(Dispatcher):
    """Ejects however many look bad."""

    def __init__(self, *args):
        super().__init__(*args)
        self._supervisor._ejector = UnboundedEjector()


@pytest.mark.parametrize("shape", SHAPES, ids=lambda shape: shape.name)
def test_goodput_holds_at_one_and_a_half_times_saturation(shape):
    """Half as much again comes as the runners can serve. If all of it is let in, all
    of it waits, and most callers leave without an answer."""
    full = run_trial(shape, Dispatcher, 1.0, 150.0, SEED)
    over = run_trial(shape, Dispatcher, 1.5, 150.0, SEED)
    wrong = run_trial(shape, LetInDispatcher, 1.5, 150.0, SEED)
    assert over.goodput() >= 0.9 * full.goodput()
    assert over.token_goodput() >= 0.9 * full.token_goodput()
    assert over.unanswered() <= 0.005 * len(over.requests)
    assert wrong.unanswered() > 0.05 * len(wrong.requests)


def test_refusals_are_true_and_most_come_at_once():
    """The system is full. A caller that is refused must not find out later that its
    request ran, nor wait for the refusal until it is too late to do anything."""
    trial = run_trial(STRIGA, Dispatcher, 1.5, 200.0, SEED)
    refused = trial.refused()
    assert len(refused) > 100
    assert all(r.runs == 0 for r in refused if r.refusal.ran is Ran.NOT_RUN)
    assert all(r.first is None for r in refused)
    assert {r.refusal.kind for r in refused} == {RefusalKind.FULL}
    assert all(r.answered < r.work.deadline for r in refused)
    at_once = sum(r.answered == r.arrival for r in refused)
    assert at_once >= 0.6 * len(refused)


def test_nothing_is_refused_below_saturation():
    """An evening at half load. A refused roster leaves a gang without a farm."""
    for shape in SHAPES:
        trial = run_trial(shape, Dispatcher, 0.5, 200.0, SEED)
        assert good_share(trial.requests) == 1.0


def test_short_work_does_not_wait_for_long_work():
    """Sweeps ask short questions while offices order long plans. First come first
    served, each question waits for the plans before it."""
    mix = Mix(long_share=0.4, short_deadline=30.0)
    fair = run_trial(STRIGA, Dispatcher, 1.0, 300.0, SEED, mix)
    first = run_trial(STRIGA, FirstCome, 1.0, 300.0, SEED, mix)
    wrong = run_trial(STRIGA, FirstComeDispatcher, 1.0, 300.0, SEED, mix)
    bound = first.first_seconds(True, 0.99) / 2
    assert fair.first_seconds(True, 0.99) < bound
    assert fair.goodput(False) > 0.8 * first.goodput(False)
    assert wrong.first_seconds(True, 0.95) > fair.first_seconds(True, 0.95)


def test_a_large_account_does_not_take_from_small_ones():
    """One franchise sends more than half of all requests in a rush. The others ask for
    less than their share, and should get nearly all of it."""
    mix = Mix(first_account_share=0.6)
    shares = {}
    for policy in (Dispatcher, FirstCome):
        trial = run_trial(STRIGA, policy, 1.5, 200.0, SEED, mix)
        small = [r for r in trial.requests if r.work.account != "account-1"]
        shares[policy] = good_share(small)
    assert shares[Dispatcher] > 0.85
    assert shares[FirstCome] < 0.6


def test_one_slow_runner_costs_few_requests():
    """One runner grows ten times slower, and its own load report shows nothing of it.
    Its share of the callers would wait ten times as long."""
    even = run_trial(STRIGA, Dispatcher, 0.6, 300.0, SEED)
    slowed = {}
    for policy in (Dispatcher, BlindDispatcher):
        slow = run_trial(STRIGA, policy, 0.6, 300.0, SEED, prepare=slow_down_first)
        slowed[policy] = count_slowed(even, slow) / len(slow.requests)
    assert slowed[Dispatcher] < 0.02
    assert slowed[BlindDispatcher] > 0.025


def test_a_fault_of_the_network_does_not_eject_the_fleet():
    """For three seconds all connections break again and again, so that every runner
    looks bad. Were all of them ejected, callers would be refused after it is over."""

    def find_fewest_usable(policy):
        counts = []

        def look(world):
            for router in world.routers:
                states = router._fleet.runners.values()
                counts.append(sum(state.usable(world.now) for state in states))
            world.at(world.now + 0.5, lambda: look(world))

        def prepare(world):
            look(world)
            for number in range(10):
                world.at(40.0 + 0.3 * number, world.break_connections)

        run_trial(STRIGA, policy, 0.8, 60.0, SEED, prepare=prepare)
        return min(counts)

    assert find_fewest_usable(Dispatcher) >= 4
    assert find_fewest_usable(UnboundedDispatcher) <= 1


def test_routers_with_the_same_stale_report_do_not_herd():
    """Reports are three seconds old and say that one runner is empty. If all routers
    believe it, all send there, and their callers wait while other runners idle."""
    shape = Shape("one", {"a": 6}, 8)

    def measure_longest_queue(policy):
        lengths = []

        def look(world):
            lengths.append(max(len(r.waiting) for r in world.runners.values()))
            world.at(world.now + 0.5, lambda: look(world))

        mix = Mix(routers=8)
        run_trial(shape, policy, 0.6, 200.0, SEED, mix, 3.0, look)
        return mean(lengths)

    assert measure_longest_queue(Dispatcher) < 0.5
    assert measure_longest_queue(HerdingDispatcher) > 1.0


def test_a_burst_is_answered_whole_or_refused_and_the_rest_recovers():
    """The evening's messages go out and forty seconds of work comes in one second. Each
    router sees the same free slots and fills them, so most of it meets full runners.
    Once it is over, nobody should notice any more that it was there."""
    world = build_world(KUROGANE, Dispatcher, SEED, queue=16)
    rng = random.Random(SEED)
    before = build_arrivals(Mix(), rng, 3.0, 0.0, 120.0)
    burst = build_arrivals(Mix(), rng, 280.0, 30.0, 1.0)
    for request in before + burst:
        world.add(request)
    world.run(240.0)
    unanswered = [r for r in before + burst if r.done is None and r.refusal is None]
    assert len(unanswered) <= 2
    assert sum(r.good for r in burst) >= 20
    assert good_share([r for r in before if r.arrival > 80.0]) == 1.0


def test_skewed_demand_spills_to_other_data_centres():
    """Every caller of one evening reaches the same data centre. Its own runners can't
    serve them, while those of the others are idle."""
    world = build_world(STRIGA, Dispatcher, SEED)
    requests = build_arrivals(Mix(routers=1), random.Random(SEED), 5.0, 0.0, 150.0)
    for request in requests:
        world.add(request)
    world.run(260.0)
    assert good_share(requests) > 0.95


def test_a_lost_runner_costs_no_answer_below_saturation():
    """A runner's process dies under half load with its requests on it. Each of them
    should be answered by another runner."""
    world = build_world(STRIGA, Dispatcher, SEED)
    requests = build_arrivals(Mix(), random.Random(SEED), 4.0, 0.0, 120.0)
    for request in requests:
        world.add(request)
    runner = next(iter(world.runners.values()))
    world.at(60.0, lambda: world.crash(runner))
    world.run(240.0)
    assert runner.crashes == 1
    assert good_share(requests) == 1.0
    assert any(r.runs > 1 for r in requests)


def test_a_leaving_runner_gets_nothing_after_its_report():
    """A runner is to be replaced, and the platform's list is late or away. What is sent
    there would be refused, and cost its caller time."""
    world = build_world(STRIGA, Dispatcher, SEED)
    runner = next(iter(world.runners.values()))
    requests = build_arrivals(Mix(), random.Random(SEED), 5.0, 0.0, 120.0)
    for request in requests:
        world.add(request)
    counts = []
    world.at(60.0, lambda: setattr(runner, "leaving", True))
    world.at(63.0, lambda: counts.append(runner.taken_leaving))
    world.run(240.0)
    assert runner.taken_leaving == counts[0]
    assert good_share(requests) == 1.0


def test_plain_services_are_served_by_slots():
    """Calls of the booking service have no tokens; its slots are what is short."""
    runners = {"a": [VirtualRunner(f"a{n}", 4) for n in range(3)]}
    endpoint = Endpoint("booking", SERVICE, (), 4)
    router = Dispatcher(endpoint, "a", Rules(), random.Random(SEED))
    world = World(runners, [router])
    requests = [
        Request(n / 100, 0, Work(f"s{n}", f"a{n % 5}", n / 100 + 2.0), 4)
        for n in range(6000)
    ]
    for request in requests:
        world.add(request)
    world.run(70.0)
    served = good_share(requests)
    # Twelve slots at a tenth of a second each serve 120 calls a second.
    assert served == 1.0
