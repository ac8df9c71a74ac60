"""The ledger of prepaid tokens: what each holder was granted, and what is used.

Pure. One object of the platform's store holds one account, and every change is a
conditional update of it. What is used and all grants together never exceed what was
prepaid, so no order of events lets holders overspend: tokens come into the hands of
relays by grants alone, and from then on are only lent, given back and spent.

A holder is one life of a relay process. What an ended holder was granted stays granted
until the next life of the same host settles it: what can have been used counts as used,
and the rest is free again. How much that is, the grant's opening tells.

The ledger knows nothing of what holders lend to each other. A relay may give back to
one that didn't lend to it, when its lender is gone; a grant is therefore a net figure,
and may fall below 0 where a holder has given the ledger more than it had from there.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Any

import attrs

from .openings import Moment, VestingSchedule, decode_schedule, encode_schedule

MAX_TOKENS = 2**53
"""Largest number of tokens; up to there every parser of JSON reads it exactly."""


@attrs.frozen
class Grant:
    """What one holder has of one account.

    Attributes:
        tokens: Granted in all, less what it gave back.
        spent: Spent of it, as the holder last reported; it may be more by now.
        opening: How much of it the holder may have used by when; ``None`` if it may
            have used all at any time.
    """

    tokens: int
    spent: int
    vesting: VestingSchedule | None = None


class Evidence(enum.Enum):
    """What is known of how much an ended holder has used."""

    VESTING = "its grant opened with time, on this boot's clock"
    NO_VESTING = "its grant was open as a whole"
    OTHER_BOOT = "the host may have started anew since"


@attrs.frozen
class Settlement:
    """What became of the grant of an ended holder.

    Attributes:
        tokens: Of the grant.
        spent: Reported as spent.
        used: Counted as used from now on.
        evidence: What that rests on.
        opening: How its grant opened, as last written.
        elapsed: Milliseconds from then until the holder had ended at the latest, if
            that is known.
    """

    holder: str
    tokens: int
    spent: int
    used: int
    evidence: Evidence
    vesting: VestingSchedule | None = None
    elapsed: int | None = None

    @property
    def written_off(self) -> int:
        """Tokens that count as used beyond what was reported."""
        return max(0, self.used - self.spent)

    @property
    def returned(self) -> int:
        """Tokens that are free again."""
        return self.tokens - self.used


@attrs.define
class AccountLedger:
    """One account.

    Attributes:
        used: Tokens used by holders that are over.
        grants: Grants by holder.
    """

    used: int = 0
    grants: dict[str, Grant] = attrs.field(factory=dict)

    @property
    def committed(self) -> int:
        """Tokens used, or granted to somebody."""
        return self.used + sum(grant.tokens for grant in self.grants.values())

    @property
    def confirmed_used(self) -> int:
        """Tokens that are used for certain."""
        return self.used + sum(
            min(grant.spent, grant.tokens) for grant in self.grants.values()
        )

    def count_held(self, excluding: str) -> int:
        """Return the tokens that holders other than one have not reported as spent."""
        return sum(
            max(0, grant.tokens - grant.spent)
            for holder, grant in self.grants.items()
            if holder != excluding
        )

    def count_ended(self, is_present: Callable[[str], bool]) -> int:
        """Return the tokens that holders which are gone have not reported as spent.

        Args:
            is_present: Returns whether a holder is still there.
        """
        return sum(
            max(0, grant.tokens - grant.spent)
            for holder, grant in self.grants.items()
            if not is_present(holder)
        )

    def copy(self) -> AccountLedger:
        """Return a copy that can be changed by itself."""
        return AccountLedger(self.used, dict(self.grants))


def name_holder(host: str, incarnation: str) -> str:
    """Return the name of a holder.

    Args:
        host: Name of the host, the same after a restart.
        life: Unique to the process.
    """
    return f"{host}/{incarnation}"


def get_host(holder: str) -> str:
    """Return the name of a holder's host."""
    return holder.rpartition("/")[0]


def list_previous_incarnations(ledger: AccountLedger, holder: str) -> list[str]:
    """Return the earlier lives of a holder's host that have a grant."""
    host = get_host(holder)
    return [name for name in ledger.grants if name != holder and get_host(name) == host]


def settle_previous_incarnations(
    ledger: AccountLedger, holder: str, started: Moment | None = None
) -> list[Settlement]:
    """Settle what earlier lives of a holder's host left.

    A host runs one process of a role, so an earlier life of the host is over.

    Args:
        started: When the holder's own life began, by which the others had ended;
            ``None`` if that isn't known.
    """
    settled = []
    for name in list_previous_incarnations(ledger, holder):
        settlement = _settle_grant(name, ledger.grants.pop(name), started)
        ledger.used += settlement.used
        settled.append(settlement)
    return settled


def _settle_grant(holder: str, grant: Grant, started: Moment | None) -> Settlement:
    vesting = grant.vesting
    if vesting is None:
        evidence = Evidence.NO_VESTING
        return Settlement(holder, grant.tokens, grant.spent, grant.tokens, evidence)
    used, evidence = grant.tokens, Evidence.OTHER_BOOT
    elapsed = started.measure_since(vesting.since) if started else None
    if elapsed is not None:
        opened = vesting.count_vested_after(elapsed)
        used = min(grant.tokens, max(grant.spent, opened))
        evidence = Evidence.VESTING
    return Settlement(
        holder, grant.tokens, grant.spent, used, evidence, vesting, elapsed
    )


def release_holder(ledger: AccountLedger, holder: str, returned: int) -> None:
    """Take back what a holder has left that spends nothing any more.

    What others still have of it stays granted: they may spend it yet, so it must not
    count as surely used.

    Args:
        returned: What it has left.
    """
    grant = ledger.grants.pop(holder, Grant(0, 0))
    left = grant.tokens - returned
    if left > grant.spent:
        ledger.grants[holder] = Grant(left, grant.spent)
    else:
        ledger.used += left


def encode_account(ledger: AccountLedger) -> dict[str, Any]:
    """Return an account's ledger as it is stored."""
    grants = {
        holder: [grant.tokens, grant.spent] for holder, grant in ledger.grants.items()
    }
    # Apart from the grants, so that relays of the version before can read these.
    schedules = {
        holder: encode_schedule(grant.vesting)
        for holder, grant in ledger.grants.items()
        if grant.vesting is not None
    }
    return {"used": ledger.used, "grants": grants, "openings": schedules}


def decode_account(spec: Any) -> AccountLedger:
    """Decode an account's stored ledger.

    Raises:
        ValueError: If it doesn't have the form that `encode_account` gives, or less
            than nothing was given out by it.
    """
    try:
        schedules = spec.get("openings")
        schedules = schedules if isinstance(schedules, dict) else {}
        grants = {
            _parse_holder(holder): Grant(
                _parse_tokens(tokens),
                _parse_spent(spent),
                decode_schedule(schedules.get(holder)),
            )
            for holder, (tokens, spent) in spec["grants"].items()
        }
        ledger = AccountLedger(_parse_tokens(spec["used"]), grants)
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise ValueError(f"not an account's ledger: {error!r:.200}") from error
    if ledger.committed < 0:
        raise ValueError(f"a ledger that has given out {ledger.committed:.3g}")
    return ledger


def _parse_holder(value: Any) -> str:
    if not (isinstance(value, str) and "/" in value):
        raise ValueError(f"no holder: {value!r:.50}")
    return value


def _parse_tokens(value: Any) -> int:
    """Return a number of tokens; nothing is converted.

    What goes wrong otherwise: a number cut off at its point, a truth value or one in a
    text counts as fewer tokens than were granted, and the rest is granted once more.
    """
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"no number of tokens: {value!r:.50}")
    if abs(value) > MAX_TOKENS:
        raise ValueError("more tokens than any account has")
    return value


def _parse_spent(value: Any) -> int:
    spent = _parse_tokens(value)
    if spent < 0:
        raise ValueError(f"spent {spent}")
    return spent
