"""Records of hosts, which bound what their relays may have used of each account.

Performs no I/O. A relay's grant in an account's ledger states how fast it vests, and is
written only when the grant changes. In between, a relay repeats the vesting schedules
of all its accounts in one object of its own, which no other relay writes. The tokens
that vest by the schedules of the record follow the use of the last seconds, so the next
process on the host can return more of what a crashed relay held.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs

from .stores import StoredObject
from .vesting import VestingSchedule, decode_schedule, encode_schedule

KIND = "token-records"
"""Objects named after the relays' hosts."""


@attrs.frozen
class HostRecord:
    """Vesting schedules by which one relay uses tokens.

    Attributes:
        holder: The relay's name as a holder in the ledgers.
        schedules: Schedules by account. Without one, only the ledger's applies.
        sequence: Number of the write. A write that changed nothing would leave the
            revision as it is, and an earlier one whose reply was lost could still take
            effect.
    """

    holder: str
    schedules: Mapping[str, VestingSchedule] = attrs.field(factory=dict)
    sequence: int = 0

    def find_schedule(self, holder: str, account: str) -> VestingSchedule | None:
        """Return a holder's schedule for an account, or ``None``."""
        return self.schedules.get(account) if holder == self.holder else None


NO_RECORD = HostRecord("")


def encode_record(record: HostRecord) -> dict[str, Any]:
    """Return a host's record in its stored form."""
    schedules = {
        account: encode_schedule(schedule)
        for account, schedule in record.schedules.items()
    }
    return {
        "holder": record.holder,
        "schedules": schedules,
        "sequence": record.sequence,
    }


def decode_record(stored: StoredObject) -> HostRecord:
    """Decode the stored record of a host.

    Raises:
        ValueError: If it doesn't have the form that `encode_record` gives.
    """
    spec = stored.spec
    if not isinstance(spec, dict) or not isinstance(spec.get("holder"), str):
        raise ValueError("not a host's record")
    values = spec.get("schedules")
    if not isinstance(values, dict):
        raise ValueError("no schedules")
    schedules = {}
    for account, value in values.items():
        schedule = decode_schedule(value)
        if schedule is None:
            raise ValueError(f"invalid schedule of {account!r:.50}")
        schedules[account] = schedule
    return HostRecord(spec["holder"], schedules)
