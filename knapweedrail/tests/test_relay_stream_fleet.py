"""Resumed streams in a fleet of several versions that loses hosts, in virtual time."""

import pytest

from ..benches.streams import (
    LOSSES,
    OUT_OF_STEP,
    play,
    play_loss,
    play_out_of_step,
    play_random,
)
from ..standins.streamfleet import AnyVersion, OnlyVersion, RecordedVersion

HOSTS = 9
MAX_JOINED = 2
MIN_SHARE = 0.5
MIN_OWED = 12


@pytest.mark.parametrize("seed", range(3))
def test_streams_go_on_at_the_version_that_began_them(seed):
    """Hosts join two versions, or refuse what others know, as some of them die."""
    tally = play(HOSTS, RecordedVersion(), seed)
    assert tally.joined <= MAX_JOINED
    assert tally.owed > 100
    assert tally.owed_went_on >= MIN_SHARE * tally.owed


def test_fleet_that_guesses_the_version_is_found():
    """The day must show a host that goes on at any runner."""
    assert play(HOSTS, AnyVersion(), 0).joined > MAX_JOINED


def test_fleet_that_refuses_during_releases_is_found():
    """The day must show a host that refuses whatever it can't infer."""
    tally = play(HOSTS, OnlyVersion(), 0)
    assert tally.owed_went_on < MIN_SHARE * tally.owed


@pytest.mark.parametrize("seed", [28, 156, *range(3)])
def test_hosts_that_were_cut_off_together_do_not_guess(seed):
    """Hosts of a data centre that is cut off take the only version that they know for
    the only one, and go on with streams that began elsewhere."""
    assert play_random(seed).joined <= MAX_JOINED


@pytest.mark.parametrize("seed", [1, 6, 28, 156])
def test_streams_go_on_where_hosts_know_one_version_not_for_long(seed):
    """Hosts that have just started tell nobody what began their streams, and those who
    are asked can't infer it."""
    check_share(seed)


@pytest.mark.parametrize("seed", [39, 56, 73, 91, 111, 137, 223])
def test_streams_go_on_as_whole_data_centres_die_again_and_again(seed):
    """Both keepers of a stream's record end before it is needed."""
    check_share(seed)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("loss", LOSSES)
def test_streams_join_no_versions_after_a_loss_of_all_hosts(loss, seed):
    """Guards against a stream that goes on at the only version which serves after a
    loss of all hosts, though it began at one that has been replaced."""
    assert play_loss(seed, loss).joined == 0


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("loss", ["26 s after a release", "40 s after a release"])
def test_streams_go_on_after_a_loss_of_all_hosts_long_after_a_release(loss, seed):
    """Guards against streams that are refused to the end of the day after a release,
    though one version alone has served for longer than a stream lives."""
    tally = play_loss(seed, loss)
    assert tally.owed >= MIN_OWED
    assert tally.owed_went_on >= MIN_SHARE * tally.owed


@pytest.mark.parametrize("ends", [False, True], ids=["meanwhile", "just after"])
@pytest.mark.parametrize("sizes", [(2, 2, 2), (6,), (2,)], ids=str)
@pytest.mark.parametrize("name", OUT_OF_STEP)
def test_host_that_missed_a_release_joins_no_versions(name, sizes, ends):
    """Guards against a host out of step that takes the only version which it knows for
    the only one, and goes on with streams that began at runners of a new version."""
    tallies = [play_out_of_step(seed, name, sizes, ends) for seed in range(2)]
    assert sum(tally.resumed for tally in tallies) >= MIN_OWED
    assert sum(tally.joined for tally in tallies) == 0


def check_share(seed):
    """Check that half of what is owed goes on in a random schedule."""
    tally = play_random(seed)
    assert tally.owed >= MIN_OWED
    assert tally.owed_went_on >= MIN_SHARE * tally.owed
