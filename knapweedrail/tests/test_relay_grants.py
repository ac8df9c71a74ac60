"""Tests of how many tokens relays hold under demanding loads."""

from ..relay.account_holdings import estimate_others_rate
from ..relay.grants import (
    AMPLE_SECONDS,
    MAX_HELD_SHARE,
    Balance,
    BudgetView,
    Demand,
    compute_held_share,
    compute_target,
    plan_change,
    plan_loan,
)
from ..relay.ledgers import AccountLedger, Grant
from ..relay.reservations import Shortage, find_shortage
from ..relay.vesting import Boot, BootTime, VestingSchedule
from ..relay.vesting_plans import (
    VESTING_FACTOR,
    VestingTerms,
    is_over_vested,
    plan_vesting,
)

MILLION = 1_000_000


def make_demand(rate, seconds=20, tokens=1000, now=100.0):
    demand = Demand()
    count = int(rate * seconds / tokens)
    for number in range(count):
        demand.record_request(tokens, now - seconds + number * tokens / rate)
    return demand


def make_balance(available):
    return Balance(granted=available, spent=0, reserved=0)


def make_budget(
    free, held=0, primaries=6, prepaid=MILLION, warming_up=False, others_rate=0.0
):
    return BudgetView(
        prepaid=prepaid,
        free=free,
        held=held,
        primaries=primaries,
        others_rate=others_rate,
        warming_up=warming_up,
    )


def test_relay_holds_enough_for_a_store_outage():
    """Guards against refusals for an account with an ample budget, while no relay can
    reach the store for eight seconds."""
    demand = make_demand(rate=5000)
    target = compute_target(make_budget(free=MILLION), make_balance(0), demand, 100.0)
    assert target >= 8 * 5000


def test_all_relays_hold_a_bounded_share_of_the_rest():
    """Guards against six relays with callers that hold all of a budget that runs low.
    Held tokens are lost when their relay crashes, and other relays can't use them."""
    free, held = 100_000, [0] * 6
    demand = make_demand(rate=20_000)
    for _ in range(5):
        for number in range(6):
            others = sum(held) - held[number]
            change = plan_change(
                make_budget(free, others), make_balance(held[number]), demand, 100.0
            )
            held[number] += change
            free -= change
    assert sum(held) <= MAX_HELD_SHARE * 100_000 * 1.2
    assert free >= 0


def test_relay_with_all_callers_may_hold_the_unused_share_of_others():
    """Guards against even shares when all callers of an account use one relay. It
    would run out in an outage while five others hold tokens without demand."""
    demand = make_demand(rate=20_000)
    budget = make_budget(free=MILLION, held=0)
    target = compute_target(budget, make_balance(0), demand, 100.0)
    assert target >= 8 * 20_000


def test_tokens_fetched_for_a_burst_are_returned():
    """Guards against tokens that are kept after a burst, and lost with the relay."""
    demand = make_demand(rate=20_000)
    held = compute_target(make_budget(free=MILLION), make_balance(0), demand, 100.0)
    change = plan_change(make_budget(MILLION - held), make_balance(held), demand, 140.0)
    assert change < -held / 2


def test_small_excess_is_returned_only_of_a_scarce_budget():
    """Guards against a write for each small burst while there is plenty for all, and
    against tokens that others lack of a budget that runs low."""
    demand = make_demand(rate=100)
    for free, returns in ((MILLION, False), (6_000, True)):
        budget = make_budget(free, others_rate=300)
        target = compute_target(budget, make_balance(0), demand, 100.0)
        balance = make_balance(target + 6_000)
        assert (plan_change(budget, balance, demand, 100.0) < 0) is returns


def test_account_without_callers_is_held_only_while_warming_up():
    warming_up = make_budget(free=MILLION, warming_up=True)
    assert compute_target(warming_up, make_balance(0), Demand(), 0.0) > 0
    later = make_budget(free=MILLION)
    assert compute_target(later, make_balance(0), Demand(), 0.0) == 0


def test_waiting_request_gets_its_tokens_if_free():
    demand = Demand(unmet=9000)
    assert plan_change(make_budget(free=20_000), make_balance(100), demand, 0.0) >= 8900
    assert plan_change(make_budget(free=5000), make_balance(100), demand, 0.0) <= 5000
    assert plan_change(make_budget(free=-50), make_balance(100), demand, 0.0) == 0


def test_loan_covers_waiting_requests_and_leaves_half_of_the_rest():
    assert plan_loan(available=1000, needed=100, wanted=400) == 400
    assert plan_loan(available=1000, needed=100, wanted=4000) == 500
    assert plan_loan(available=1000, needed=900, wanted=4000) == 900
    assert plan_loan(available=50, needed=900, wanted=4000) == 50
    assert plan_loan(available=-5, needed=900, wanted=4000) == 0


def test_rate_covers_the_last_seconds():
    demand = make_demand(rate=5000)
    assert 4000 < demand.estimate_rate(100.0) < 6000
    assert demand.estimate_rate(130.0) < 500


def test_spent_is_reported_only_if_no_relay_holds_the_rest():
    """Guards against a false "spent", after which a caller doesn't retry. Tokens that
    other relays hold, or that a view of some seconds ago doesn't show, aren't spent."""
    ledger = AccountLedger(used=600, grants={"a/1": Grant(300, 100)})
    assert find_shortage(ledger, 1000, 350, 0, True, True) is Shortage.SPENT
    assert find_shortage(ledger, 1000, 250, 0, True, True) is Shortage.HELD_ELSEWHERE
    assert find_shortage(ledger, 1000, 250, 0, True, False) is None
    assert find_shortage(ledger, 1000, 90, 0, True, True) is None
    assert find_shortage(ledger, 1000, 350, 0, False, True) is Shortage.OUT_OF_REACH


def test_grant_vests_at_twice_the_demand():
    """Guards against refusals when no host can reach the store and demand doubles,
    though there are tokens left. The grant still vests slowly enough that most of it
    would be recovered if the host crashed now."""
    demand = make_demand(rate=4000)
    terms = plan_vesting(make_budget(free=MILLION // 2), 80_000, demand, 100.0)
    assert terms.rate >= 2 * 3500
    assert terms.burst + terms.rate <= 20_000


def test_grant_without_demand_vests_within_the_maximum_time():
    """Guards against refusals when the first request of an idle account arrives in an
    outage."""
    terms = plan_vesting(make_budget(free=MILLION // 2), 24_000, Demand(), 0.0)
    assert terms.rate * 12 >= 24_000


def test_new_grant_has_vested_tokens_while_warming_up():
    """Guards against refusals when traffic begins with an outage and no demand is
    known."""
    budget = make_budget(free=MILLION, primaries=4, warming_up=True)
    assert plan_vesting(budget, 20_000, Demand(), 0.0).burst == 20_000


def test_schedule_is_rewritten_only_for_a_large_excess():
    """Guards against a write of the grant at each request, and against writes without
    end for idle accounts. Vested tokens are lost when a host crashes, so a large excess
    is worth a write."""
    terms = VestingTerms(burst=5_000, rate=8_000)
    budget = make_budget(free=MILLION // 2)
    assert is_over_vested(budget, 20_000, terms, 6_000)
    assert not is_over_vested(budget, 12_000, terms, 6_000)
    assert not is_over_vested(budget, 20_000, terms, 0)


def test_tokens_returned_to_an_account_without_demand_are_accepted():
    """Guards against a lender that fails when a borrower returns tokens lent by other
    relays."""
    demand = Demand()
    demand.record_return(100, now=1e6)
    assert demand.estimate_rate(1e6) == 0.0
    demand.record_request(50, now=1.0)
    demand.record_return(50, now=1e6)
    assert demand.estimate_rate(1e6) == 0.0


def test_little_is_held_of_a_budget_that_runs_low():
    """Guards against the loss of the tokens for a budget's last seconds of demand when
    hosts lose power."""
    demand = make_demand(rate=2_000)
    plenty = make_budget(free=MILLION, others_rate=10_000)
    most = compute_target(plenty, make_balance(0), demand, 100.0)
    assert most >= 8 * 2_000
    held = [0] * 6
    for number in range(6):
        low = make_budget(120_000 - sum(held), sum(held), others_rate=10_000)
        held[number] = compute_target(low, make_balance(0), demand, 100.0)
    assert sum(held) <= 0.03 * MILLION


def test_held_share_falls_with_the_remaining_time_of_a_budget():
    rate = 10_000
    plenty = int(AMPLE_SECONDS * rate)
    shares = [compute_held_share(left, rate) for left in range(0, plenty + 1, rate)]
    assert shares == sorted(set(shares))
    assert (shares[0], shares[-1]) == (0.0, MAX_HELD_SHARE)
    assert compute_held_share(2 * plenty, rate) == MAX_HELD_SHARE
    assert compute_held_share(plenty, 0.0) == MAX_HELD_SHARE


def test_low_budget_does_not_cost_a_write_per_request():
    """Guards against primary relays that hold so little that each request draws
    more."""
    demand = make_demand(rate=2_000)
    low = make_budget(60_000, others_rate=10_000)
    target = compute_target(low, make_balance(0), demand, 100.0)
    assert 0.75 * 2_000 <= target <= MAX_HELD_SHARE * 60_000 / 6
    demand.unmet = 1_000
    assert plan_change(low, make_balance(0), demand, 100.0) == 1_000 + target


def test_demand_of_the_first_second_does_not_lower_the_target():
    """Guards against a relay that holds nothing after the start, because the first
    requests elsewhere seem to use up the budget at once."""
    demand = Demand()
    demand.record_request(10, now=0.0)
    warming_up = make_budget(
        free=MILLION - 20_000, primaries=2, warming_up=True, others_rate=200_000
    )
    target = compute_target(warming_up, make_balance(0), demand, 0.5)
    assert target >= 0.04 * MILLION


def test_grant_with_known_demand_vests_no_faster_than_the_factor():
    """Guards against a crash in or after an outage that costs many seconds of demand,
    because the whole grant has vested meanwhile."""
    demand = make_demand(rate=4000)
    terms = plan_vesting(make_budget(free=MILLION // 2), 275_000, demand, 100.0)
    assert terms.rate <= VESTING_FACTOR * 4400


def test_schedules_without_demand_are_left_out_of_the_rate_of_others():
    """Guards against idle holders whose grants make a budget seem to run out soon."""
    boot_time = BootTime(Boot("b", 0), 0)
    quiet = Grant(24_000, 0, VestingSchedule(0, 2_000, boot_time))
    busy = Grant(24_000, 4_000, VestingSchedule(0, 8_000, boot_time))
    ledger = AccountLedger(0, {"a/1": busy, "b/1": quiet, "c/1": Grant(500, 0)})
    assert estimate_others_rate(ledger, excluding="c/1") == 8_000 / VESTING_FACTOR
    assert estimate_others_rate(ledger, excluding="a/1") == 0.0
