"""The ledger of prepaid tokens: what each holder was granted, and what is used.

Pure. One object of the platform's store holds it, and every change is a conditional
update of the whole object. For each account the sum of what is used and of all grants
never exceeds what was prepaid, so no order of events lets holders overspend together:
each spends only out of its own grant.

A holder is one life of a relay process. What a dead holder was granted stays granted,
since nobody can know what it spent after its last report; the next life of the same
host writes it off as used.
"""

from __future__ import annotations

from typing import Any

import attrs


@attrs.frozen
class Grant:
    """What one holder has of one account.

    Attributes:
        tokens: Granted in all.
        spent: Spent of it, as the holder last reported; it may be more by now.
    """

    tokens: int
    spent: int


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
    def surely_used(self) -> int:
        """Tokens that are used for certain."""
        return self.used + sum(grant.spent for grant in self.grants.values())


@attrs.define
class Ledger:
    """All accounts, and the relays that take part.

    Attributes:
        holders: The present holder of each host.
    """

    accounts: dict[str, AccountLedger] = attrs.field(factory=dict)
    holders: dict[str, str] = attrs.field(factory=dict)

    def get_account(self, name: str) -> AccountLedger:
        """Return an account, empty if it has no entries yet."""
        return self.accounts.setdefault(name, AccountLedger())


def name_holder(host: str, life: str) -> str:
    """Return the name of a holder.

    Args:
        host: Name of the host, the same after a restart.
        life: Unique to the process.
    """
    return f"{host}/{life}"


def register_holder(ledger: Ledger, host: str, holder: str) -> None:
    """Enter a holder, and write off what earlier lives of its host left.

    A host runs one process of a role, so an earlier life of the host is over. Its
    grant counts as spent in full.
    """
    ledger.holders[host] = holder
    for account in ledger.accounts.values():
        for name in list(account.grants):
            if name.rpartition("/")[0] == host and name != holder:
                account.used += account.grants.pop(name).tokens


def release_holder(
    ledger: Ledger, host: str, holder: str, spent: dict[str, int]
) -> None:
    """Take a holder out that spends nothing any more.

    Args:
        spent: What it spent in all, by account.
    """
    if ledger.holders.get(host) == holder:
        del ledger.holders[host]
    for name, account in ledger.accounts.items():
        if account.grants.pop(holder, None) is not None:
            account.used += spent.get(name, 0)


def encode_ledger(ledger: Ledger) -> dict[str, Any]:
    """Return the ledger as it is stored."""
    return {
        "holders": ledger.holders,
        "accounts": {
            name: {
                "used": account.used,
                "grants": {
                    holder: [grant.tokens, grant.spent]
                    for holder, grant in account.grants.items()
                },
            }
            for name, account in ledger.accounts.items()
        },
    }


def decode_ledger(spec: Any) -> Ledger:
    """Decode a stored ledger.

    Raises:
        ValueError: If it doesn't have the form that `encode_ledger` gives.
    """
    try:
        accounts = {
            name: AccountLedger(
                int(entry["used"]),
                {
                    holder: Grant(int(tokens), int(spent))
                    for holder, (tokens, spent) in entry["grants"].items()
                },
            )
            for name, entry in spec["accounts"].items()
        }
        return Ledger(accounts, dict(spec["holders"]))
    except (AttributeError, KeyError, TypeError) as error:
        raise ValueError(f"not a ledger: {error!r}") from error
