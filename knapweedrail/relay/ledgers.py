"""The ledger of prepaid tokens: what each holder was granted, and what is used.

Performs no I/O. One object of the platform's store holds the ledger of one account, and
every change is a conditional update of it. Used tokens plus all grants never exceed the
prepaid tokens, so no order of events can overspend a budget: relays get tokens by
grants alone, and from then on tokens are only lent, returned and spent.

A holder is one incarnation of a relay process. The grant of an ended holder stays in
the ledger until the next incarnation on the same host settles it: tokens that may have
been used count as used, and the rest is free again. The vesting schedules of the grant
and of the host's record bound what may have been used.

The ledger doesn't record loans between holders. A relay whose lender has ended may
return tokens to another relay. A grant is therefore a net figure, and may be negative
if a holder has returned more to the ledger than it drew from it.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Any

import attrs

from ..excerpts import make_excerpt
from .vesting import BootTime, VestingSchedule, decode_schedule, encode_schedule

MAX_TOKENS = 2**53
"""Largest number of tokens. JSON parsers represent integers exactly up to it."""


@attrs.frozen
class Grant:
    """Grant of one account to one holder.

    Attributes:
        tokens: Tokens granted in total, less those returned.
        spent: Tokens spent of it as last reported by the holder; the real figure may be
            higher.
        vesting: Bounds what the holder may have used by when; ``None`` if it may have
            used everything at any time.
    """

    tokens: int
    spent: int
    vesting: VestingSchedule | None = None


class Evidence(enum.Enum):
    """Basis on which the use of an ended holder is determined."""

    RECORD = "its host's record opened with time, on this boot's clock"
    VESTING = "its grant opened with time, on this boot's clock"
    NO_VESTING = "its grant was open as a whole"
    OTHER_BOOT = "the host may have started anew since"


@attrs.frozen
class Settlement:
    """Result of settling the grant of an ended holder.

    Attributes:
        tokens: Tokens of the grant.
        spent: Tokens reported as spent.
        used: Tokens that count as used from now on.
        evidence: Basis of that number.
        vesting: The vesting schedule that was applied.
        elapsed: Milliseconds from that write to the latest time at which the holder can
            have ended; ``None`` if unknown.
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
        """Tokens that count as used without having been reported as spent."""
        return max(0, self.used - self.spent)

    @property
    def lost(self) -> int:
        """Tokens that count as used, though no request had reserved them at the last
        write."""
        in_use = self.vesting.in_use if self.vesting else 0
        return max(0, self.used - max(self.spent, in_use))

    @property
    def returned(self) -> int:
        """Tokens that are free again."""
        return self.tokens - self.used


@attrs.define
class AccountLedger:
    """Ledger of one account.

    Attributes:
        used: Tokens used by holders that have ended.
        lost: Part of them that no request had reserved at their holder's last write.
        grants: Grants by holder.
    """

    used: int = 0
    grants: dict[str, Grant] = attrs.field(factory=dict)
    lost: int = 0

    @property
    def committed(self) -> int:
        """Tokens that are used or granted."""
        return self.used + sum(grant.tokens for grant in self.grants.values())

    @property
    def confirmed_used(self) -> int:
        """Tokens that are known to be used."""
        return self.used + sum(
            min(grant.spent, grant.tokens) for grant in self.grants.values()
        )

    def count_held(self, excluding: str) -> int:
        """Return the tokens of all holders but one that aren't reported as spent.

        Args:
            excluding: The holder to leave out.
        """
        return sum(
            max(0, grant.tokens - grant.spent)
            for holder, grant in self.grants.items()
            if holder != excluding
        )

    def count_held_by_ended(self, is_present: Callable[[str], bool]) -> int:
        """Return the tokens of ended holders that aren't reported as spent.

        Args:
            is_present: Returns whether a holder is still running.
        """
        return sum(
            max(0, grant.tokens - grant.spent)
            for holder, grant in self.grants.items()
            if not is_present(holder)
        )

    def copy(self) -> AccountLedger:
        """Return an independent copy."""
        return AccountLedger(self.used, dict(self.grants), self.lost)


def name_holder(host: str, incarnation: str) -> str:
    """Return the name of a holder.

    Args:
        host: Name of the host, the same after a restart.
        incarnation: Identifier that is unique to the process.
    """
    return f"{host}/{incarnation}"


def get_host(holder: str) -> str:
    """Return the name of a holder's host."""
    return holder.rpartition("/")[0]


def list_previous_incarnations(ledger: AccountLedger, holder: str) -> list[str]:
    """Return the previous incarnations on a holder's host that still have a grant."""
    host = get_host(holder)
    return [name for name in ledger.grants if name != holder and get_host(name) == host]


def settle_previous_incarnations(
    ledger: AccountLedger,
    holder: str,
    started: BootTime | None = None,
    find_recorded: Callable[[str], VestingSchedule | None] = lambda _: None,
) -> list[Settlement]:
    """Settle the grants of previous incarnations on a holder's host.

    A host runs one process per role, so previous incarnations have ended.

    Args:
        started: When the holder itself started, by which time the others had ended;
            ``None`` if unknown.
        find_recorded: Returns the schedule of a previous incarnation in the host's
            record.

    Returns:
        One settlement for each previous incarnation.
    """
    settled = []
    for name in list_previous_incarnations(ledger, holder):
        settlement = _settle_grant(
            name, ledger.grants.pop(name), started, find_recorded(name)
        )
        ledger.used += settlement.used
        ledger.lost += settlement.lost
        settled.append(settlement)
    return settled


def _settle_grant(
    holder: str,
    grant: Grant,
    started: BootTime | None,
    recorded: VestingSchedule | None = None,
) -> Settlement:
    """Settle a grant by the schedule by which the fewest tokens had vested."""
    evidence = Evidence.NO_VESTING if grant.vesting is None else Evidence.OTHER_BOOT
    settlement = Settlement(
        holder, grant.tokens, grant.spent, grant.tokens, evidence, grant.vesting
    )
    for vesting, evidence in (
        (grant.vesting, Evidence.VESTING),
        (recorded, Evidence.RECORD),
    ):
        if vesting is None or started is None:
            continue
        elapsed = started.measure_since(vesting.since)
        if elapsed is None:
            continue
        vested = vesting.count_vested_after(elapsed)
        used = min(grant.tokens, max(grant.spent, vested))
        if used < settlement.used or settlement.elapsed is None:
            settlement = Settlement(
                holder, grant.tokens, grant.spent, used, evidence, vesting, elapsed
            )
    return settlement


def release_holder(ledger: AccountLedger, holder: str, returned: int) -> None:
    """End the grant of a holder that has stopped spending.

    Tokens that it has lent stay granted. Their borrowers may return them unspent, so
    they must not count as used yet.

    Args:
        returned: Its unused tokens, which become free.
    """
    grant = ledger.grants.pop(holder, Grant(0, 0))
    left = grant.tokens - returned
    if left > grant.spent:
        ledger.grants[holder] = Grant(left, grant.spent)
    else:
        ledger.used += left


def encode_ledger(ledger: AccountLedger) -> dict[str, Any]:
    """Return an account's ledger in its stored form."""
    grants = {
        holder: [grant.tokens, grant.spent] for holder, grant in ledger.grants.items()
    }
    # Stored apart, so that relays of the previous version can read the grants.
    schedules = {
        holder: encode_schedule(grant.vesting)
        for holder, grant in ledger.grants.items()
        if grant.vesting is not None
    }
    spec = {"used": ledger.used, "grants": grants, "openings": schedules}
    return {**spec, "lost": ledger.lost} if ledger.lost else spec


def decode_ledger(spec: Any) -> AccountLedger:
    """Decode the stored ledger of an account.

    Raises:
        ValueError: If it doesn't have the form that `encode_ledger` gives, or its
            committed tokens are negative.
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
        ledger = AccountLedger(
            _parse_tokens(spec["used"]), grants, _read_lost(spec.get("lost"))
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise ValueError(f"invalid account ledger: {error!r:.200}") from error
    if ledger.committed < 0:
        raise ValueError(f"committed tokens are negative: {ledger.committed:.3g}")
    return ledger


def _parse_holder(value: Any) -> str:
    if not (isinstance(value, str) and "/" in value):
        raise ValueError(f"invalid holder name: {make_excerpt(value)}")
    return value


def _parse_tokens(value: Any) -> int:
    """Return a number of tokens without any conversion.

    A truncated float, a boolean or a numeric string would count as fewer tokens than
    were granted, and the difference would be granted a second time.
    """
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"token count is not an integer: {make_excerpt(value)}")
    if abs(value) > MAX_TOKENS:
        raise ValueError("token count exceeds 2**53")
    return value


def _read_lost(value: Any) -> int:
    """Return the lost tokens, which bound no spending; 0 if they are unknown."""
    return value if type(value) is int and 0 < value <= MAX_TOKENS else 0


def _parse_spent(value: Any) -> int:
    spent = _parse_tokens(value)
    if spent < 0:
        raise ValueError(f"spent tokens are negative: {spent}")
    return spent
