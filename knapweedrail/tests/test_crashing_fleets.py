"""Tests of whole fleets, in virtual time, whose runners crash on some requests."""

import pytest

from ..benches.crashes import DAYS, PART_LIMIT, PRODUCT, REQUEST_LIMIT, play
from ..standins.crashfleet import Way

ALLOWED_LATE = 3
LEAST_BEGUN = 0.5
"""Share of the usual in which sound requests have to begin."""


@pytest.mark.parametrize("day", DAYS)
@pytest.mark.parametrize("hosts", [6, 9, 72])
def test_crashing_request_is_refused_by_all_hosts_in_time(hosts, day):
    """What hosts know of a crashing request is lost with them or never reaches them."""
    for seed in range(4):
        tally = play(hosts, DAYS[day], PRODUCT, seed, parts=False)
        assert len(tally.crashes) >= REQUEST_LIMIT
        assert tally.count_late(REQUEST_LIMIT) <= ALLOWED_LATE


@pytest.mark.parametrize("day", DAYS)
@pytest.mark.parametrize("hosts", [6, 9, 72])
def test_crashing_part_is_refused_and_no_other_one(hosts, day):
    """Parts that sound requests share were on the crashed runners as well."""
    sound = begun = 0
    for seed in range(3):
        tally = play(hosts, DAYS[day], PRODUCT, seed, parts=True)
        assert len(tally.crashes) >= PART_LIMIT - 1
        assert tally.count_late(PART_LIMIT) <= ALLOWED_LATE
        sound, begun = sound + tally.sound, begun + tally.begun
    assert begun >= LEAST_BEGUN * sound


def test_check_detects_hosts_that_ask_nobody_when_they_start():
    """A check that passes whatever hosts do guards against nothing."""
    day = DAYS["one killed each 2 s"]
    late = [
        play(6, day, Way(), seed, parts=False).count_late(REQUEST_LIMIT)
        for seed in range(4)
    ]
    assert max(late) > ALLOWED_LATE
