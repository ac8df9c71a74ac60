"""The ledger of one shard of budgets: its data, its sums and its encoding."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from operator import attrgetter

import attrs
import orjson

from .budget_messages import Claim, ClaimMade, ClaimStands
from .entries import BillStands, Denied, Done, Granted, Outcome
from .models import Bill

OPEN = "open"
"""Holder state: it may write anything."""

FENCED = "fenced"
"""Holder state: its fence round has ended; its reserve is back in the budget."""

FORMAT = 2
"""Number of the encoding; a reader refuses any other."""


@attrs.frozen
class Share:
    """What one holder has of one budget, as recorded; its totals only rise.

    Attributes:
        allowance: Tokens granted to spend.
        reserve: Tokens granted to hold for neighbours.
        returned: Allowance given back.
        reserve_returned: Reserve given back or reclaimed.
        handed: Tokens handed over to neighbours, of the reserve first.
        spent: Tokens used.
        demand: Demand last reported, tokens a second.
        want: Tokens that requests wait for and the budget couldn't give.
        received: Tokens received from each neighbour, by holder.
    """

    allowance: int = 0
    reserve: int = 0
    returned: int = 0
    reserve_returned: int = 0
    handed: int = 0
    spent: int = 0
    demand: int = 0
    want: int = 0
    received: dict[str, int] = attrs.field(factory=dict)

    @property
    def outstanding(self) -> int:
        """Tokens that have left the budget through this share and not come back."""
        return self.allowance + self.reserve - self.returned - self.reserve_returned

    @property
    def unspent_allowance(self) -> int:
        """Allowance that the holder may still spend, by its last report.

        What it handed over beyond its reserve came out of its allowance.
        """
        received = sum(self.received.values())
        overdrawn = max(0, self.handed + self.reserve_returned - self.reserve)
        return self.allowance + received - self.returned - self.spent - overdrawn

    @property
    def unspent_reserve(self) -> int:
        """Reserve that the holder may still hand over, by its last report."""
        return max(0, self.reserve - self.reserve_returned - self.handed)

    @property
    def unspent(self) -> int:
        """All tokens that this holder may still have."""
        return max(0, self.unspent_allowance) + max(0, self.unspent_reserve)


@attrs.frozen
class BudgetRecord:
    """One budget.

    Attributes:
        limit: Opening tokens and top-ups.
        opened: Whether the opening tokens are in the limit.
        top_ups: Tokens of each top-up, by identity.
        shares: Shares of holders that aren't closed, and of closed ones whose
            hand-overs may have been lost on the way.
        gone_outstanding: Sum of `Share.outstanding` over the dropped shares.
        gone_spent: Tokens used by holders whose shares were dropped.
        gone_received: Tokens that dropped shares received, by sender.
        billed: Tokens billed.
    """

    limit: int = 0
    opened: bool = False
    top_ups: dict[str, int] = attrs.field(factory=dict)
    shares: dict[str, Share] = attrs.field(factory=dict)
    gone_outstanding: int = 0
    gone_spent: int = 0
    gone_received: dict[str, int] = attrs.field(factory=dict)
    billed: int = 0

    @property
    def available(self) -> int:
        """Tokens that are in nobody's hands."""
        held = sum(share.outstanding for share in self.shares.values())
        return self.limit - self.gone_outstanding - held

    @property
    def spent(self) -> int:
        """Tokens used, as far as recorded."""
        return self.gone_spent + sum(share.spent for share in self.shares.values())

    @property
    def left(self) -> int:
        """Tokens not recorded as used, wherever they are."""
        return self.limit - self.spent


@attrs.frozen
class HolderRecord:
    """A holder that has written to this ledger and isn't closed.

    Attributes:
        number: Number of its last batch.
        data_centre: Where it stands.
        state: `OPEN` or `FENCED`.
        outcomes: Outcomes of its last batch, for a writer that lost the answer.
        answered: Routers that trade nothing more with it, their totals recorded.
    """

    number: int = 0
    data_centre: str = ""
    state: str = OPEN
    outcomes: tuple[Outcome, ...] = ()
    answered: tuple[str, ...] = ()


@attrs.frozen
class Ledger:
    """All that one shard records.

    Attributes:
        budgets: Budgets by name.
        holders: Holders that aren't closed.
        closed: Highest incarnation of each router name that closed in order.
        ended: Holders whose fence round has ended and who hold nothing any more.
        bills: Tokens of recent bills, by account and identity.
        claims: Recent claims, by account and identity.
        bill_pages: Pages of older bills that were moved out.
        claim_pages: Pages of older claims that were moved out.
    """

    budgets: dict[str, BudgetRecord] = attrs.field(factory=dict)
    holders: dict[str, HolderRecord] = attrs.field(factory=dict)
    closed: dict[str, int] = attrs.field(factory=dict)
    ended: tuple[str, ...] = ()
    bills: dict[str, Bill] = attrs.field(factory=dict)
    claims: dict[str, Claim] = attrs.field(factory=dict)
    bill_pages: int = 0
    claim_pages: int = 0


def find_shard(name: str, shards: int) -> int:
    """Return the shard of a budget's or an account's name; the same everywhere."""
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % shards


def name_request(account: str, identity: str) -> str:
    """Return the key of a request identity within bills and claims."""
    return f"{account}:{identity}"


def encode_ledger(ledger: Ledger) -> bytes:
    """Encode a ledger; rows instead of keys keep it small."""
    content = {
        "format": FORMAT,
        "budgets": ledger.budgets,
        "holders": {
            name: [
                record.number,
                record.data_centre,
                record.state,
                [_encode_outcome(outcome) for outcome in record.outcomes],
                record.answered,
            ]
            for name, record in ledger.holders.items()
        },
        "closed": ledger.closed,
        "ended": ledger.ended,
        "bills": ledger.bills,
        "claims": {key: encode_claim(claim) for key, claim in ledger.claims.items()},
        "bill_pages": ledger.bill_pages,
        "claim_pages": ledger.claim_pages,
    }
    return orjson.dumps(content, default=_make_row)


def decode_ledger(value: bytes) -> Ledger:
    """Decode what `encode_ledger` wrote.

    Raises:
        ValueError: If the format number is another one.
    """
    content = orjson.loads(value)
    if content["format"] != FORMAT:
        raise ValueError(f"ledger of format {content['format']}, not {FORMAT}")
    claims = {key: decode_claim(row) for key, row in content["claims"].items()}
    return Ledger(
        {name: _decode_budget(row) for name, row in content["budgets"].items()},
        {name: _decode_holder(row, claims) for name, row in content["holders"].items()},
        content["closed"],
        tuple(content["ended"]),
        {key: Bill(*row) for key, row in content["bills"].items()},
        claims,
        content["bill_pages"],
        content["claim_pages"],
    )


def encode_claim(claim: Claim) -> list:
    """Return a claim as a row; the body as text that keeps every byte."""
    row = list(_make_row(claim))
    if claim.body is not None:
        row[-1] = claim.body.decode("latin-1")
    return row


def decode_claim(row: list) -> Claim:
    """Return the claim of a row."""
    body = row[-1]
    return Claim(*row[:-1], body=None if body is None else body.encode("latin-1"))


def _make_row(value: object) -> tuple:
    # Not attrs.astuple: it looks the fields up for each row, and a ledger with a few
    # hundred rows is encoded several times a second.
    return _ROWS[type(value)](value)


def _decode_budget(row: list) -> BudgetRecord:
    record = BudgetRecord(*row)
    shares = {name: Share(*share) for name, share in record.shares.items()}
    return attrs.evolve(record, shares=shares)


def _decode_holder(row: list, claims: dict[str, Claim]) -> HolderRecord:
    number, data_centre, state, outcomes, answered = row
    decoded = tuple(_decode_outcome(outcome, claims) for outcome in outcomes)
    return HolderRecord(number, data_centre, state, decoded, tuple(answered))


def _encode_outcome(outcome: Outcome) -> list:
    if isinstance(outcome, ClaimStands):
        claim = outcome.claim
        # The claim stands in the same ledger or on a page: its answer isn't
        # written a second time.
        return ["ClaimStands", *encode_claim(attrs.evolve(claim, body=None))]
    return [type(outcome).__name__, *_make_row(outcome)]


def _decode_outcome(row: list, claims: dict[str, Claim]) -> Outcome:
    kind, *values = row
    if kind == "ClaimStands":
        claim = decode_claim(values)
        key = name_request(claim.account, claim.identity)
        return ClaimStands(claims.get(key, claim))
    return _OUTCOMES[kind](*values)


_OUTCOMES = {kind.__name__: kind for kind in (Done, Granted, Denied, BillStands)}
_OUTCOMES["ClaimMade"] = ClaimMade


def _make_getter(kind: type) -> Callable[[object], tuple]:
    names = [field.name for field in attrs.fields(kind)]
    if len(names) == 1:
        return lambda value: (getattr(value, names[0]),)
    return attrgetter(*names) if names else lambda value: ()


_ROWS = {
    kind: _make_getter(kind)
    for kind in (
        Share,
        BudgetRecord,
        Bill,
        Claim,
        Done,
        Granted,
        Denied,
        BillStands,
        ClaimMade,
    )
}
