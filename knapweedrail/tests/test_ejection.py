"""Tests of the judgement of runners."""

from ..ejection import FAILURES_IN_ROW, MAX_BACKOFF_SECONDS, MIN_RUNS, Ejector

NAMES = [f"r{n}" for n in range(9)]


class UnboundedEjector(Ejector):
    """Ejects whatever looks bad."""

    @property
    def limit(self):
        return self._runners


def make_ejector(kind=Ejector):
    ejector = kind()
    ejector.set_runners(set(NAMES))
    return ejector


def fail_all(ejector):
    for name in NAMES:
        for _ in range(FAILURES_IN_ROW):
            ejector.note_failure(name)
        if ejector.is_bad(name) and ejector.may_eject():
            ejector.eject(name)
    return sum(ejector.is_ejected(name) for name in NAMES)


def test_a_fault_of_all_runners_ejects_a_third_at_most():
    """The router's own network breaks, so that every runner looks bad. Were all of
    them ejected, callers would be refused although most runners are well."""
    assert fail_all(make_ejector()) == 3
    assert fail_all(make_ejector(UnboundedEjector)) == len(NAMES)


def test_one_runner_much_slower_than_the_others_is_bad():
    ejector = make_ejector()
    for name in NAMES:
        for _ in range(MIN_RUNS):
            ejector.note_answer(name, 10.0 if name == "r0" else 1.0)
    assert [name for name in NAMES if ejector.is_bad(name)] == ["r0"]


def test_runners_that_all_slow_down_together_are_not_bad():
    """A wave of long prompts makes every answer five times slower. None of the runners
    is at fault."""
    ejector = make_ejector()
    for name in NAMES:
        for _ in range(MIN_RUNS):
            ejector.note_answer(name, 5.0)
    assert not [name for name in NAMES if ejector.is_bad(name)]


def test_two_slow_runners_do_not_hide_each_other():
    ejector = make_ejector()
    for name in NAMES:
        for _ in range(MIN_RUNS):
            ejector.note_answer(name, 50.0 if name in ("r0", "r1") else 1.0)
    assert [name for name in NAMES if ejector.is_bad(name)] == ["r0", "r1"]


def test_ejection_grows_longer_up_to_a_bound_and_ends():
    ejector = make_ejector()
    times = [ejector.eject("r0") for _ in range(10)]
    assert times == sorted(times)
    assert times[-1] == MAX_BACKOFF_SECONDS
    ejector.restore("r0")
    assert not ejector.is_ejected("r0")
    assert ejector.may_eject()


def test_a_runner_off_the_list_frees_its_place():
    """An ejected runner is replaced. If it still counted, others that turn bad could
    no longer be ejected."""
    ejector = make_ejector()
    for name in NAMES[:3]:
        ejector.eject(name)
    assert not ejector.may_eject()
    ejector.set_runners(set(NAMES[1:]))
    assert ejector.limit == 2
    ejector.set_runners(set(NAMES[2:]))
    assert ejector.may_eject()


def test_a_runner_without_others_to_compare_with_is_not_slow():
    """A data centre is cut off; its one runner's answers vary, as short ones do.

    Judged against nothing, it was ejected after three of them, and every caller was
    refused beside an idle runner.
    """
    ejector = make_ejector()
    for ratio in (9.0, 4.0, 7.0, 5.0):
        ejector.note_answer("r0", ratio)
    assert not ejector.is_bad("r0")
