"""Operators' changes to prepaid budgets, and what the ledgers say of them."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass

import attrs

from .audits import AuditEntry, Kind, append_entries
from .decoding import decode_object
from .entries import Batch, Denied, Done, TopUp
from .ledgers import BudgetRecord, Ledger, decode_ledger, encode_ledger, find_shard
from .outcomes import Found, Unavailable, Unknown
from .platforms import Platform
from .postings import OPERATOR, apply_batch
from .updates import Edit, Updated, update_object

LEDGER_PREFIX = "ledger/"


@attrs.frozen
class Credit:
    """A change of a budget's tokens.

    Attributes:
        budget: Name of the budget.
        tokens: Tokens to add; negative ones are taken out.
        identity: Identity of the change; it takes effect once, whoever repeats it.
        author: Who gives the command.
    """

    budget: str
    tokens: int
    identity: str
    author: str

    @property
    def kind(self) -> Kind:
        """Kind of the change in the audit trail."""
        return Kind.TOP_UP if self.tokens >= 0 else Kind.WITHDRAWAL


@dataclass(frozen=True)
class Credited:
    """The change stands in the ledger.

    Attributes:
        tokens: Tokens that this identity changed, now or earlier.
        limit: The budget's tokens in all, opening tokens included.
    """

    tokens: int
    limit: int


@dataclass(frozen=True)
class CreditDenied:
    """The change had no effect and won't have any."""

    reason: str


CreditOutcome = Credited | CreditDenied | Unavailable | Unknown


async def read_ledgers(platform: Platform) -> dict[int, Ledger] | Unavailable:
    """Read the ledgers of all shards."""
    keys = await platform.list(LEDGER_PREFIX)
    if isinstance(keys, Unavailable):
        return keys
    ledgers = {}
    for change in keys:
        shard = change.key.removeprefix(LEDGER_PREFIX)
        found = await platform.read(change.key)
        if isinstance(found, Unavailable):
            return found
        if shard.isdigit() and isinstance(found, Found):
            ledger = decode_object(change.key, found.value, decode_ledger)
            if isinstance(ledger, Unavailable):
                return ledger
            ledgers[int(shard)] = ledger
    return ledgers


def list_records(ledgers: dict[int, Ledger]) -> dict[str, BudgetRecord]:
    """Return the budgets of all shards, by name."""
    return {
        name: record
        for ledger in ledgers.values()
        for name, record in ledger.budgets.items()
    }


def find_ledger(ledgers: dict[int, Ledger], budget: str, shards: int) -> int | None:
    """Return the shard of a budget; ``None`` when the number of shards is wrong.

    Routers find a budget by the number of shards in their settings. With another
    number here, the tokens would be credited where no router looks.
    """
    shard = find_shard(budget, shards)
    known = [number for number, ledger in ledgers.items() if budget in ledger.budgets]
    if known and known != [shard]:
        return None
    return shard


async def change_tokens(
    platform: Platform, shard: int, credit: Credit, rng: random.Random
) -> CreditOutcome:
    """Change a budget's tokens, once for each identity, and note it in the trail.

    The trail is written before and after: what was asked for stands there before it
    can take effect, so that no change lacks an entry when this process dies between.
    """
    asked = _make_entry(credit, "asked", "asked for")
    failure = await append_entries(platform, (asked,), rng)
    if failure is not None:
        return Unavailable(failure.step, failure.peer, failure.detail)
    outcome = await update_object(
        platform, f"{LEDGER_PREFIX}{shard}", lambda value: _edit(value, credit), rng
    )
    if not isinstance(outcome, Updated):
        return outcome
    result: Credited | CreditDenied = outcome.result
    ended = make_ended(credit, result)
    # If this fails the change stands all the same; the next reader of the trail
    # completes it from the ledger.
    await append_entries(platform, (ended,), rng)
    return result


def make_ended(credit: Credit, result: Credited | CreditDenied) -> AuditEntry:
    """Make the entry that tells what a change came to."""
    if isinstance(result, Credited):
        return _make_entry(credit, "done", "done", str(result.limit))
    return _make_entry(credit, "denied", f"denied: {result.reason}")


def _make_entry(credit: Credit, step: str, detail: str, limit: str = "") -> AuditEntry:
    return AuditEntry(
        f"credit/{credit.budget}/{credit.identity}/{step}",
        credit.kind,
        credit.author,
        time.time(),
        credit.budget,
        after=limit,
        detail=f"{credit.tokens:+d} tokens, identity {credit.identity}: {detail}",
    )


def _edit(value: bytes | None, credit: Credit) -> Edit:
    ledger = Ledger() if value is None else decode_ledger(value)
    entry = TopUp(credit.budget, credit.identity, credit.tokens)
    applied = apply_batch(ledger, Batch(OPERATOR, "", 0, (entry,)))
    outcome = applied.outcomes[0]
    if isinstance(outcome, Denied):
        return Edit(None, CreditDenied(outcome.reason))
    assert isinstance(outcome, Done)
    record = applied.ledger.budgets[credit.budget]
    result = Credited(outcome.tokens, record.limit)
    known = ledger.budgets.get(credit.budget)
    if known is not None and credit.identity in known.top_ups:
        return Edit(None, result)
    return Edit(encode_ledger(applied.ledger), result)


def list_unended(
    entries: tuple[AuditEntry, ...], records: dict[str, BudgetRecord]
) -> tuple[AuditEntry, ...]:
    """Return the entries that are lacking for changes that stand in a ledger."""
    known = {entry.identity for entry in entries}
    lacking = []
    for entry in entries:
        prefix, _, step = entry.identity.rpartition("/")
        if step != "asked" or f"{prefix}/done" in known or f"{prefix}/denied" in known:
            continue
        _, budget, identity = prefix.split("/", 2)
        record = records.get(budget, BudgetRecord())
        if identity in record.top_ups:
            tokens = record.top_ups[identity]
            credit = Credit(budget, tokens, identity, entry.author)
            lacking.append(make_ended(credit, Credited(tokens, record.limit)))
    return tuple(lacking)
