"""Releases by hand."""

import random

import anyio

from ..audits import Kind
from ..entries import Batch, Grant, NoteFence, OpenBudget, Reclaim, Report
from ..ledgers import Ledger, decode_ledger, encode_ledger
from ..models import Holder
from ..postings import OPERATOR, apply_batch
from ..releases import Released, Vouch, release
from .fakes import MemoryPlatform

DEAD = Holder("r1", 1)
VOUCH = Vouch(DEAD, 10, "operator-a")


def make_ledger(*entries):
    granted = (OpenBudget("meadow", 100), Grant("meadow", 60, 0, 60, 1))
    report = Report("meadow", 5, 0, 0, 0)
    ledger = apply_batch(Ledger(), Batch(DEAD, "split-a", 1, (*granted, report))).ledger
    return apply_batch(ledger, Batch(OPERATOR, "", 0, entries)).ledger


def release_from(ledger):
    platform = MemoryPlatform()
    platform.objects["ledger/0"] = (encode_ledger(ledger), 1)
    platform.revision = 1

    async def run():
        rng = random.Random(1)
        return [await release(platform, VOUCH, rng) for _ in range(2)]

    results = anyio.run(run)
    return results, decode_ledger(platform.objects["ledger/0"][0]), platform


def test_vouched_tokens_come_back_once_and_the_trail_says_who():
    """A router died; an operator knows that no endpoint works for it any more.

    Its allowance comes back less what it reported and what it may have used since.
    The command repeated gives nothing a second time.
    """
    results, ledger, platform = release_from(make_ledger(Reclaim(DEAD, (), ())))
    assert results == [Released(45, ()), Released(0, ())]
    assert ledger.budgets["meadow"].available == 100 - 15
    assert ledger.budgets["meadow"].spent == 15
    trail = b"".join(
        value for key, (value, _) in platform.objects.items() if "audit" in key
    )
    assert Kind.RELEASE.value.encode() in trail
    assert b"operator-a" in trail


def test_nothing_is_released_before_the_fence_round_has_ended():
    """An operator vouches for a router while a neighbour hasn't answered.

    What the neighbour took isn't known; the command gives nothing back and names the
    ledger that waits.
    """
    results, ledger, _ = release_from(make_ledger(NoteFence(DEAD, ())))
    assert results == [Released(0, (0,)), Released(0, (0,))]
    assert ledger.budgets["meadow"].available == 40
