"""Placement of long and short prompts on runners of uneven speed, without network."""

import collections
import random

import attrs
import pytest

from ..relay.models import PromptPart
from ..relay.runners import RunnerTable
from ..relay.scheduling.placement import Division, divide_runners
from ..relay.scheduling.selection import choose_runner
from ..relay.scheduling.workloads import (
    MAX_PREFILL_RATE,
    MAX_PRIVATE_TOKENS,
    MIN_PREFILL_RATE,
    Workload,
)
from ..relay.stream_origins import make_origin
from .relays_in_memory import make_runner
from .test_relay_selection import make_request

FAST, SLOW = 0.7, 1.7
LONG = (("common", 2520), ("farm", 3780), ("own", 2890))
SHORT = (("greeting", 119), ("session", 80), ("question", 628))


def make_parts(kind, subject):
    base, shared, own = kind
    return (
        PromptPart(base[0], base[1]),
        PromptPart(f"{shared[0]}-{subject}", shared[1]),
        PromptPart(f"{own[0]}-{subject}", own[1]),
    )


def make_table(paces, slots=24):
    table = RunnerTable(grace_seconds=1.9)
    for number, pace in enumerate(paces):
        table.set_runner(make_runner(f"i-{number}", data_centre="dc-0", slots=slots))
        if pace is not None:
            view = find_view(table, f"i-{number}")
            table.record_pace(view, pace, -10.0)
    return table


def find_view(table, name):
    return next(v for v in table.list_views("e", 0.0) if v.runner.name == name)


def request_of(kind, subject):
    parts = make_parts(kind, subject)
    tokens = sum(part.tokens for part in parts)
    return attrs.evolve(make_request("x"), prompt_tokens=tokens, parts=parts)


def learn(table, requests=400, now=0.0, short=0.55, short_seconds=1.5):
    """Let the relay send its usual mix, so that it knows what prompts cost."""
    workload = table.find_placement("e").workload
    rng = random.Random(3)
    for number in range(requests):
        kind = SHORT if rng.random() < short else LONG
        parts = make_parts(kind, number % 50)
        long = workload.record_sent(parts, sum(p.tokens for p in parts[1:]), now)
        workload.record_finished(long, 0.5 if long else short_seconds, now)
    return workload


def choose(table, kind, subject, now=1.0, rng=None, tried=(), objective=0.3):
    choice = choose_runner(
        table,
        "e",
        request_of(kind, subject),
        set(tried),
        "dc-0",
        now,
        rng or random.Random(subject),
        objective=objective,
    )
    return choice


def count_choices(table, kind, number=300, **kwargs):
    rng = random.Random(7)
    return collections.Counter(
        choose(table, kind, n % 60, rng=rng, **kwargs).view.runner.name
        for n in range(number)
    )


def test_short_prompts_dont_share_runners_with_long_ones():
    """A short prompt that arrives during the prefill of a long one is late, as is each
    event of a stream there."""
    table = make_table([FAST] * 8 + [SLOW] * 4)
    learn(table)
    long, short = count_choices(table, LONG), count_choices(table, SHORT)
    assert not long.keys() & short.keys()


def test_runners_without_stated_pace_are_chosen_as_before():
    table = make_table([None] * 6)
    assert table.find_placement("e") is None
    assert choose(table, LONG, 1).long is None


@pytest.mark.parametrize("paces", [[FAST, SLOW, FAST], [FAST] + [None] * 5])
def test_few_or_unknown_runners_arent_divided(paces):
    """Relays that know different runners would divide them differently."""
    table = make_table(paces)
    workload = learn(table)
    assert not divide_runners(table.list_views("e", 0.0), workload).short


def test_a_single_kind_of_prompts_uses_all_runners():
    table = make_table([1.0] * 8)
    learn(table, short=0.0)
    assert len(count_choices(table, LONG, 600)) == 8


def test_more_of_a_kind_of_prompts_get_more_runners():
    sizes = []
    for short in (0.2, 0.5, 0.9):
        table = make_table([1.0] * 40)
        workload = learn(table, short=short)
        sizes.append(len(divide_runners(table.list_views("e", 0.0), workload).short))
    assert sizes == sorted(sizes) and sizes[0] < sizes[-1]


def test_relays_with_few_callers_divide_like_those_with_many():
    table = make_table([FAST] * 20 + [SLOW] * 10)
    views = table.list_views("e", 0.0)
    many = divide_runners(views, learn(make_table([1.0]), 4000))
    few = divide_runners(views, learn(make_table([1.0]), 100))
    assert abs(len(many.short) - len(few.short)) <= 3


def test_faster_runners_get_more_long_prompts():
    table = make_table([FAST] * 5 + [SLOW] * 5)
    learn(table, short=0.0)
    counts = count_choices(table, LONG, 1000)
    fast = sum(counts[f"i-{n}"] for n in range(5))
    assert fast > 2.0 * (1000 - fast)


def test_a_machine_that_is_slow_now_is_passed_over():
    """Neighbours on a machine slow it 2.5-fold for half a second."""
    table = make_table([1.0] * 6)
    learn(table, short=0.0)
    for number in range(5):
        table.record_pace(find_view(table, f"i-{number}"), 2.5, 1.0)
    assert count_choices(table, LONG, now=1.1)["i-5"] > 150


def test_own_long_prompts_at_a_runner_turn_away_further_ones():
    table = make_table([1.0] * 6)
    learn(table, short=0.0)
    home = choose(table, LONG, 1).view
    for number in range(3):
        table.record_sent(home, 6670, number, 1, 1.0)
    for seed in range(30):
        assert choose(table, LONG, 1, rng=random.Random(seed)).view is not home


def test_a_prefix_of_a_quarter_of_all_prompts_spreads():
    """One runner can't prefill the prompts of a key that a quarter of callers use, and
    relays don't see each other's."""
    workload = Workload()
    for number in range(40):
        subject = "hot" if number % 4 == 0 else number
        parts = make_parts(LONG, subject)
        workload.record_sent(parts, 6670, 0.1 * number)
    assert workload.count_homes("farm-hot", 20, 4.0) >= 2
    assert workload.count_homes("farm-1", 20, 4.0) == 1
    assert workload.count_homes("farm-hot", 20, 60.0) == 1


def test_prompts_cross_to_the_other_side_when_their_own_is_gone():
    """A tenth of the fleet, or a whole side of it, may fail at once."""
    table = make_table([FAST] * 8 + [SLOW] * 4)
    learn(table)
    table.find_placement("e").divide(table.list_views("e", 0.0), 0.9)
    own = {choose(table, SHORT, n).view.incarnation for n in range(100)}
    choice = choose(table, SHORT, 1, tried=own)
    assert choice is not None and choice.view.incarnation not in own


def test_a_choice_is_never_an_excluded_runner():
    table = make_table([FAST] * 6 + [SLOW] * 6)
    learn(table)
    tried = {find_view(table, f"i-{n}").incarnation for n in range(0, 12, 2)}
    for kind in (LONG, SHORT):
        for subject in range(50):
            assert choose(table, kind, subject, tried=tried).view.incarnation not in (
                tried
            )


def test_the_prefill_rate_is_learned():
    workload = Workload()
    for _ in range(300):
        workload.record_first_event(6670, 0.2)
    assert workload.prefill_rate == pytest.approx(33_350, rel=0.1)


def test_without_a_division_every_runner_serves_every_prompt():
    view = make_table([1.0]).list_views("e", 0.0)[0]
    assert Division().is_own(view, True) and Division().is_own(view, False)


def test_a_class_of_prompts_that_has_ended_keeps_no_runners():
    """Its demand decayed only when more of it came, so its runners stayed reserved."""
    table = make_table([FAST] * 8 + [SLOW] * 4)
    learn(table)
    placement, views = table.find_placement("e"), table.list_views("e", 0.0)
    placement.divide(views, 1.0)
    assert placement.division.short
    for second in range(2, 700, 3):
        parts = make_parts(LONG, second % 50)
        placement.workload.record_sent(parts, 6670, float(second))
        placement.divide(views, float(second))
    assert not placement.division.short


def test_a_resumed_stream_doesnt_divide_the_runners_for_all():
    """The runners of its version alone would be divided, for all other requests too."""
    table = make_table([FAST] * 8 + [SLOW] * 4)
    learn(table)
    first = attrs.evolve(find_view(table, "i-0").runner, version="only-one")
    table.set_runner(first)
    request, rng = request_of(SHORT, 1), random.Random(1)
    origin = make_origin(first)
    choice = choose_runner(
        table, "e", request, set(), "dc-0", 1.0, rng, bound=origin, objective=0.3
    )
    assert choice.view.runner.name == "i-0"
    assert table.find_placement("e").division.short


def test_part_of_absurd_size_doesnt_change_which_prompts_are_long():
    table = make_table([FAST] * 8 + [SLOW] * 4)
    workload = learn(table)
    huge = (PromptPart("session", 999_999_999), PromptPart("own", 999_999_999))
    workload.record_sent(huge, 999_999_999, 1.0)
    assert workload.is_long(6670)
    placement = table.find_placement("e")
    assert 0 < placement.estimate_prefill(huge, cached=True) <= MAX_PRIVATE_TOKENS


def test_a_relay_that_starts_knows_short_prompts():
    assert not Workload().is_long(708)
    assert Workload().is_long(6670)


@pytest.mark.parametrize(("tokens", "seconds"), [(0, 1.0), (6670, 1e-9), (1, 1e9)])
def test_the_prefill_rate_stays_plausible(tokens, seconds):
    """At an absurd rate all estimates are alike, or infinite."""
    workload = Workload()
    for _ in range(20_000):
        workload.record_first_event(tokens, seconds)
    assert MIN_PREFILL_RATE <= workload.prefill_rate <= MAX_PREFILL_RATE


def test_long_prompts_dont_cross_to_idle_faster_runners():
    """The difference in speed alone would put the largest prefills beside streams of
    short prompts."""
    table = make_table([FAST] * 4 + [SLOW] * 8)
    learn(table)
    table.find_placement("e").divide(table.list_views("e", 0.0), 0.9)
    largest = (LONG[0], ("farm", 11_000), ("own", 12_000))
    for subject in range(100):
        assert choose(table, largest, subject, objective=0.635).own_side


def test_prompts_cross_when_their_own_runners_are_much_busier():
    table = make_table([1.0] * 12)
    learn(table)
    placement, views = table.find_placement("e"), table.list_views("e", 0.0)
    placement.divide(views, 0.9)
    for number, view in enumerate(views):
        if placement.division.is_own(view, True):
            table.record_sent(view, 60_000, number, 1, 1.0)
    assert not choose(table, LONG, 1, objective=0.6).own_side


def test_a_runner_much_slower_than_it_states_is_passed_over():
    table = make_table([1.0] * 6)
    learn(table, short=0.0)
    for number, view in enumerate(table.list_views("e", 0.0)):
        table.record_success(view, 4.0 if number == 0 else 0.2, 0.5)
    assert count_choices(table, LONG)["i-0"] < 5


def test_runners_restarted_without_pace_are_chosen_as_before():
    table = make_table([FAST] * 4)
    for number in range(4):
        runner = find_view(table, f"i-{number}").runner
        table.set_runner(attrs.evolve(runner, started=5))
    assert choose(table, LONG, 1).long is None
