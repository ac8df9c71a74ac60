"""Tests that no budget is overspent on days of stops, crashes and unanswered writes, in
virtual time."""

import pytest

from ..benches.token_days import TROUBLES, play_day
from ..relay.ledger_updates import LedgerUpdater


@pytest.mark.parametrize("hosts, seed", [(6, 3), (6, 6), (6, 40), (23, 0)])
def test_stopping_relays_return_their_tokens_once(hosts, seed):
    """Guards against tokens that a stopping relay returns twice, as the store doesn't
    reply, and against a relay that never stops, as it still draws for others."""
    assert play_day(seed, hosts, TROUBLES["stops"]).overspent == 0


@pytest.mark.parametrize("hosts, seed, late", [(6, 1, 0.15), (23, 1, 0.0)])
def test_no_budget_is_overspent_on_a_day_of_all_troubles(hosts, seed, late):
    """Guards against tokens that two relays use, as one of them doesn't know whether
    its write has taken effect."""
    day = play_day(seed, hosts, TROUBLES["stops, crashes and cuts"], late)
    assert day.overspent == 0


def test_tokens_that_are_returned_twice_are_found(monkeypatch):
    """Guards against days that can't show tokens which are returned twice."""
    write = LedgerUpdater.write

    async def forget_returned(self, holding, planned, returned=0):
        return await write(self, holding, planned)

    monkeypatch.setattr(LedgerUpdater, "write", forget_returned)
    assert play_day(0, 6, TROUBLES["stops"]).overspent > 0
