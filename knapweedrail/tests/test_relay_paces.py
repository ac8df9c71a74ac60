import pytest

from ..relay.models import RunnerIncarnation
from ..relay.scheduling.paces import LATEST_PACE_TTL_SECONDS, PaceRecord
from .test_relay_selection import make_table


def test_the_sustained_speed_outlasts_interference():
    # Neighbours slow a machine for half a second; its runner isn't slow after that.
    record = PaceRecord()
    record.record(1.7, 0.0)
    record.record(4.25, 1.0)
    assert record.estimate(1.0, 1.0) == 4.25
    assert record.estimate(1.0 + LATEST_PACE_TTL_SECONDS, 1.0) == 1.7


def test_a_runner_that_states_no_pace_counts_as_the_others():
    assert PaceRecord().estimate(5.0, 1.3) == 1.3


@pytest.mark.parametrize("pace", [0.0, -1.0, 1e-9, 1e9])
def test_an_implausible_pace_is_dropped(pace):
    # The lowest pace is kept for good, so one mistake would draw all requests.
    record = PaceRecord()
    assert not record.record(pace, 0.0)
    assert not record.merge_lowest(pace)
    assert record.lowest is None


def test_merging_keeps_the_lowest_pace_in_any_order():
    first, second = PaceRecord(), PaceRecord()
    for pace in (1.7, 0.7, 4.25):
        first.merge_lowest(pace)
    for pace in (4.25, 0.7, 1.7, 0.7):
        second.merge_lowest(pace)
    assert first.lowest == second.lowest == 0.7
    assert not first.merge_lowest(0.7)


def test_paces_of_other_incarnations_are_dropped():
    table = make_table(2)
    table.merge_paces({RunnerIncarnation("i-1", 5): 0.7, RunnerIncarnation("i-2"): 1.0})
    assert table.list_paces() == {}
    table.merge_paces({RunnerIncarnation("i-1"): 1.7})
    assert table.list_paces() == {RunnerIncarnation("i-1"): 1.7}
