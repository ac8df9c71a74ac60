"""How many tokens relays hold, under the loads that make it hard."""

from ..relay.accounts import estimate_others
from ..relay.grants import (
    HOLD_SHARE,
    OPEN_FACTOR,
    PLENTY_SECONDS,
    Budget,
    Demand,
    Pace,
    Position,
    compute_share,
    compute_target,
    is_too_open,
    plan_change,
    plan_gift,
    plan_pace,
)
from ..relay.ledgers import AccountLedger, Grant
from ..relay.openings import Boot, Moment, Opening
from ..relay.reservations import Shortage, find_shortage

MILLION = 1_000_000


def make_demand(rate, seconds=20, tokens=1000, now=100.0):
    demand = Demand()
    count = int(rate * seconds / tokens)
    for number in range(count):
        demand.note_request(tokens, now - seconds + number * tokens / rate)
    return demand


def make_position(available):
    return Position(granted=available, spent=0, reserved=0)


def make_budget(
    free, held=0, keepers=6, prepaid=MILLION, starting=False, others_rate=0.0
):
    return Budget(
        prepaid=prepaid,
        free=free,
        held=held,
        keepers=keepers,
        others_rate=others_rate,
        starting=starting,
    )


def test_a_relay_holds_what_lasts_through_a_cut():
    """All relays lose the store for eight seconds. Callers of an account with plenty
    left would hear that its budget is out of reach."""
    demand = make_demand(rate=5000)
    target = compute_target(make_budget(free=MILLION), make_position(0), demand, 100.0)
    assert target >= 8 * 5000


def test_all_relays_together_hold_a_bounded_part_of_what_is_left():
    """A budget runs low while six relays have callers. What each holds would be lost
    with it, and is out of the others' reach."""
    free, held = 100_000, [0] * 6
    demand = make_demand(rate=20_000)
    for _ in range(5):
        for number in range(6):
            others = sum(held) - held[number]
            change = plan_change(
                make_budget(free, others), make_position(held[number]), demand, 100.0
            )
            held[number] += change
            free -= change
    assert sum(held) <= HOLD_SHARE * 100_000 * 1.2
    assert free >= 0


def test_one_relay_with_all_callers_may_hold_what_the_others_leave():
    """All callers of an account come to one relay. With even shares it would run dry
    in a cut while five others hold tokens that nobody asks for."""
    demand = make_demand(rate=20_000)
    budget = make_budget(free=MILLION, held=0)
    target = compute_target(budget, make_position(0), demand, 100.0)
    assert target >= 8 * 20_000


def test_what_a_burst_called_for_goes_back_afterwards():
    """A burst ends. What was fetched for it would be lost with the relay."""
    demand = make_demand(rate=20_000)
    held = compute_target(make_budget(free=MILLION), make_position(0), demand, 100.0)
    change = plan_change(
        make_budget(MILLION - held), make_position(held), demand, 140.0
    )
    assert change < -held / 2


def test_an_account_without_callers_is_held_only_at_the_start():
    starting = make_budget(free=MILLION, starting=True)
    assert compute_target(starting, make_position(0), Demand(), 0.0) > 0
    later = make_budget(free=MILLION)
    assert compute_target(later, make_position(0), Demand(), 0.0) == 0


def test_a_request_that_waits_gets_what_it_needs_if_it_is_there():
    demand = Demand(unmet=9000)
    assert (
        plan_change(make_budget(free=20_000), make_position(100), demand, 0.0) >= 8900
    )
    assert plan_change(make_budget(free=5000), make_position(100), demand, 0.0) <= 5000
    assert plan_change(make_budget(free=-50), make_position(100), demand, 0.0) == 0


def test_a_gift_serves_what_waits_and_leaves_half_of_the_rest():
    assert plan_gift(available=1000, needed=100, wanted=400) == 400
    assert plan_gift(available=1000, needed=100, wanted=4000) == 500
    assert plan_gift(available=1000, needed=900, wanted=4000) == 900
    assert plan_gift(available=50, needed=900, wanted=4000) == 50
    assert plan_gift(available=-5, needed=900, wanted=4000) == 0


def test_the_rate_is_that_of_the_last_seconds():
    demand = make_demand(rate=5000)
    assert 4000 < demand.estimate_rate(100.0) < 6000
    assert demand.estimate_rate(130.0) < 500


def test_spent_is_only_said_when_nobody_holds_what_is_left():
    """A caller that hears "spent" doesn't come back. What other relays hold, or what a
    view of some seconds ago lacks, isn't spent."""
    entry = AccountLedger(used=600, grants={"a/1": Grant(300, 100)})
    assert find_shortage(entry, 1000, 350, 0, True, True) is Shortage.SPENT
    assert find_shortage(entry, 1000, 250, 0, True, True) is Shortage.HELD_ELSEWHERE
    assert find_shortage(entry, 1000, 250, 0, True, False) is None
    assert find_shortage(entry, 1000, 90, 0, True, True) is None
    assert find_shortage(entry, 1000, 350, 0, False, True) is Shortage.OUT_OF_REACH


def test_a_grant_opens_as_fast_as_a_cut_may_ask_for():
    """All hosts are cut off from the store, and twice as many callers come as before.
    They are served for as long as there are tokens, though the grant opens slowly
    enough that most of it would come back if the host died now."""
    demand = make_demand(rate=4000)
    pace = plan_pace(make_budget(free=MILLION // 2), 80_000, demand, 100.0)
    assert pace.rate >= 2 * 3500
    assert pace.burst + pace.rate <= 20_000


def test_a_grant_nobody_asks_for_opens_at_last():
    """An account is quiet, and its first caller comes in a cut."""
    pace = plan_pace(make_budget(free=MILLION // 2), 24_000, Demand(), 0.0)
    assert pace.rate * 12 >= 24_000


def test_a_start_in_a_cut_finds_something_open():
    """Traffic begins with a cut. No demand is known yet, and callers come at once."""
    budget = make_budget(free=MILLION, keepers=4, starting=True)
    assert plan_pace(budget, 20_000, Demand(), 0.0).burst == 20_000


def test_a_grant_is_written_anew_only_for_what_is_worth_it():
    """A host may die at any time, and what is open there is lost. Writing the grant
    anew at each request would load the store, and for quiet accounts without end."""
    pace = Pace(burst=5_000, rate=8_000)
    budget = make_budget(free=MILLION // 2)
    assert is_too_open(budget, 20_000, pace, 6_000)
    assert not is_too_open(budget, 12_000, pace, 6_000)
    assert not is_too_open(budget, 20_000, pace, 0)


def test_tokens_that_come_back_to_an_account_nobody_asked_for_are_taken():
    """Guards against a lender that fails as a borrower gives back what others lent."""
    demand = Demand()
    demand.note_return(100, now=1e6)
    assert demand.estimate_rate(1e6) == 0.0
    demand.note_request(50, now=1.0)
    demand.note_return(50, now=1e6)
    assert demand.estimate_rate(1e6) == 0.0


def test_little_is_held_of_a_budget_that_is_soon_used_up():
    """Guards against a loss of power that takes what the callers of the last seconds
    would have had."""
    demand = make_demand(rate=2_000)
    plenty = make_budget(free=MILLION, others_rate=10_000)
    most = compute_target(plenty, make_position(0), demand, 100.0)
    assert most >= 8 * 2_000
    held = [0] * 6
    for number in range(6):
        low = make_budget(120_000 - sum(held), sum(held), others_rate=10_000)
        held[number] = compute_target(low, make_position(0), demand, 100.0)
    assert sum(held) <= 0.03 * MILLION


def test_the_sooner_a_budget_is_used_up_the_smaller_the_part_that_is_held():
    rate = 10_000
    plenty = int(PLENTY_SECONDS * rate)
    shares = [compute_share(left, rate) for left in range(0, plenty + 1, rate)]
    assert shares == sorted(set(shares))
    assert (shares[0], shares[-1]) == (0.0, HOLD_SHARE)
    assert compute_share(2 * plenty, rate) == HOLD_SHARE
    assert compute_share(plenty, 0.0) == HOLD_SHARE


def test_a_budget_that_runs_low_costs_no_write_for_every_few_requests():
    """Guards against keepers that hold so little that each request asks for more."""
    demand = make_demand(rate=2_000)
    low = make_budget(60_000, others_rate=10_000)
    target = compute_target(low, make_position(0), demand, 100.0)
    assert 0.75 * 2_000 <= target <= HOLD_SHARE * 60_000 / 6
    demand.unmet = 1_000
    assert plan_change(low, make_position(0), demand, 100.0) == 1_000 + target


def test_the_first_second_of_a_day_says_nothing_of_how_long_a_budget_lasts():
    """Guards against a start that holds nothing, as others' first callers seem to use a
    budget up at once."""
    demand = Demand()
    demand.note_request(10, now=0.0)
    starting = make_budget(
        free=MILLION - 20_000, keepers=2, starting=True, others_rate=200_000
    )
    target = compute_target(starting, make_position(0), demand, 0.5)
    assert target >= 0.04 * MILLION


def test_a_grant_whose_demand_is_known_opens_no_faster_than_callers_may_ask():
    """Guards against a death in or after a cut that takes many seconds of a demand, as
    the whole grant has opened meanwhile."""
    demand = make_demand(rate=4000)
    pace = plan_pace(make_budget(free=MILLION // 2), 275_000, demand, 100.0)
    assert pace.rate <= OPEN_FACTOR * 4400


def test_a_grant_that_opens_whoever_asks_tells_nothing_of_its_callers():
    """Guards against quiet holders whose grants make a budget seem soon used up."""
    moment = Moment(Boot("b", 0), 0)
    quiet = Grant(24_000, 0, Opening(0, 2_000, moment))
    busy = Grant(24_000, 4_000, Opening(0, 8_000, moment))
    entry = AccountLedger(0, {"a/1": busy, "b/1": quiet, "c/1": Grant(500, 0)})
    assert estimate_others(entry, but="c/1") == 8_000 / OPEN_FACTOR
    assert estimate_others(entry, but="a/1") == 0.0
