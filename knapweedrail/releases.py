"""Releases by hand: an operator vouches that a dead router's endpoints are done."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass

import attrs

from .audits import AuditEntry, Kind, append_entries
from .credits import LEDGER_PREFIX, read_ledgers
from .entries import Batch, Denied, Done, Release
from .ledgers import Ledger, decode_ledger, encode_ledger
from .models import Holder
from .neighbours import Total
from .outcomes import Unavailable, Unknown
from .platforms import Platform
from .postings import OPERATOR, apply_batch
from .updates import Edit, Updated, update_object


@attrs.frozen
class Vouch:
    """An operator's word on a router that is gone.

    It says that the process has ended and that no endpoint works for it any more. The
    ledger can't check it: if the word is wrong, tokens may be spent twice.

    Attributes:
        holder: The router's life.
        unreported: Tokens that it may have used of each budget since its last report.
        author: Who vouches; stands in the audit trail.
    """

    holder: Holder
    unreported: int
    author: str


@dataclass(frozen=True)
class Released:
    """What a release came to.

    Attributes:
        tokens: Tokens that went back to their budgets.
        waiting: Ledgers in which the holder's fence round hasn't ended yet.
    """

    tokens: int
    waiting: tuple[int, ...]


async def release(
    platform: Platform, vouch: Vouch, rng: random.Random
) -> Released | Unavailable | Unknown:
    """Give back what a fenced holder left, on an operator's word.

    The trail names who vouches before anything is given back.
    """
    asked = _make_entry(vouch, "asked", f"vouched for, {vouch.unreported} unreported")
    failure = await append_entries(platform, (asked,), rng)
    if failure is not None:
        return Unavailable(failure.step, failure.peer, failure.detail)
    ledgers = await read_ledgers(platform)
    if isinstance(ledgers, Unavailable):
        return ledgers
    tokens = 0
    waiting = []
    for shard, ledger in sorted(ledgers.items()):
        if not _list_used(ledger, vouch):
            continue
        key = f"{LEDGER_PREFIX}{shard}"
        outcome = await update_object(
            platform, key, lambda value: _edit(value, vouch), rng
        )
        if not isinstance(outcome, Updated):
            return outcome
        if isinstance(outcome.result, Done):
            tokens += outcome.result.tokens
        else:
            waiting.append(shard)
    ended = _make_entry(vouch, "done", f"{tokens} tokens given back")
    await append_entries(platform, (ended,), rng)
    return Released(tokens, tuple(waiting))


def _edit(value: bytes | None, vouch: Vouch) -> Edit:
    ledger = Ledger() if value is None else decode_ledger(value)
    used = _list_used(ledger, vouch)
    if not used:
        return Edit(None, Done())
    entry = Release(vouch.holder, used, f"vouched by {vouch.author}")
    applied = apply_batch(ledger, Batch(OPERATOR, "", 0, (entry,)))
    outcome = applied.outcomes[0]
    if isinstance(outcome, Denied):
        return Edit(None, outcome)
    return Edit(encode_ledger(applied.ledger), outcome)


def _list_used(ledger: Ledger, vouch: Vouch) -> tuple[Total, ...]:
    name = str(vouch.holder)
    return tuple(
        Total(vouch.holder, budget, record.shares[name].spent + vouch.unreported)
        for budget, record in ledger.budgets.items()
        if name in record.shares
    )


def _make_entry(vouch: Vouch, step: str, detail: str) -> AuditEntry:
    return AuditEntry(
        f"release/{vouch.holder}/{step}",
        Kind.RELEASE,
        vouch.author,
        time.time(),
        str(vouch.holder),
        detail=detail,
    )
