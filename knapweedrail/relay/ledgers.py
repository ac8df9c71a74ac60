"""The ledger of prepaid tokens: what each holder was granted, and what is used.

Pure. One object of the platform's store holds it, and every change is a conditional
update of the whole object. For each account the sum of what is used and of all grants
never exceeds what was prepaid, so no order of events lets holders overspend together:
each spends only out of its own grant.

A holder is one life of a relay process. What a dead holder was granted stays granted,
since nobody can know what it spent after its last report; the next life of the same
host writes it off as used.

Holders also hand tokens to each other while the store is out of reach. The giver's
grant covers them until either of the two records the move. Both count what was moved
between them in all, and the ledger has how much of that is recorded; so it doesn't
matter who records it, how often, or in which order messages arrive.
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
        moved: Tokens handed over in all, by giver and receiver, as far as recorded
            in the grants.
    """

    used: int = 0
    grants: dict[str, Grant] = attrs.field(factory=dict)
    moved: dict[tuple[str, str], int] = attrs.field(factory=dict)

    @property
    def committed(self) -> int:
        """Tokens used, or granted to somebody."""
        return self.used + sum(grant.tokens for grant in self.grants.values())

    @property
    def surely_used(self) -> int:
        """Tokens that are used for certain."""
        return self.used + sum(grant.spent for grant in self.grants.values())

    def count_held(self, but: str) -> int:
        """Return the tokens that holders other than one have not reported as spent."""
        return sum(
            max(0, grant.tokens - grant.spent)
            for holder, grant in self.grants.items()
            if holder != but
        )


@attrs.frozen
class Member:
    """A relay that takes part.

    Attributes:
        holder: Its present holder.
        address: Where it answers other relays; empty if it doesn't.
        data_centre: Where its host stands.
    """

    holder: str
    address: str = ""
    data_centre: str = ""


@attrs.define
class Ledger:
    """All accounts, and the relays that take part, by host."""

    accounts: dict[str, AccountLedger] = attrs.field(factory=dict)
    members: dict[str, Member] = attrs.field(factory=dict)

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


def register_member(ledger: Ledger, host: str, member: Member) -> int:
    """Enter a relay, and write off what earlier lives of its host left.

    A host runs one process of a role, so an earlier life of the host is over. Its
    grant counts as spent in full.

    Returns:
        Tokens written off beyond what those lives had reported as spent.
    """
    lost = 0
    ledger.members[host] = member
    for account in ledger.accounts.values():
        for name in list(account.grants):
            if name.rpartition("/")[0] == host and name != member.holder:
                grant = account.grants.pop(name)
                account.used += grant.tokens
                lost += grant.tokens - grant.spent
                _forget_moves(account, name)
    return lost


def record_move(
    account: AccountLedger, giver: str, receiver: str, total: int, known: int
) -> None:
    """Record what one holder handed to another, in all.

    If the giver is over, its grant was written off with what it handed over, so the
    receiver's tokens are counted already. If the receiver is over, nobody knows
    whether it spent them, and they count as used.

    Args:
        known: How much of it the caller has seen recorded. The entry goes with its
            receiver, and must not be counted again by the giver.
    """
    change = total - max(known, account.moved.get((giver, receiver), 0))
    grant = account.grants.get(giver)
    if change <= 0 or grant is None:
        return
    account.moved[giver, receiver] = total
    account.grants[giver] = attrs.evolve(grant, tokens=grant.tokens - change)
    other = account.grants.get(receiver)
    if other is None:
        account.used += change
    else:
        tokens = other.tokens + change
        account.grants[receiver] = attrs.evolve(other, tokens=tokens)


def release_holder(account: AccountLedger, holder: str, spent: int) -> None:
    """Take a holder out that spends nothing any more.

    Args:
        spent: What it spent in all, without what others' write-offs cover.
    """
    if account.grants.pop(holder, None) is not None:
        account.used += spent
    _forget_moves(account, holder)


def _forget_moves(account: AccountLedger, holder: str) -> None:
    """Drop the moves that no living holder needs.

    A receiver must find what was recorded for it, also after the giver's end: it
    would otherwise count its tokens twice, as granted and as not recorded yet.
    """
    for giver, receiver in list(account.moved):
        if receiver == holder or receiver not in account.grants:
            del account.moved[giver, receiver]


def encode_ledger(ledger: Ledger) -> dict[str, Any]:
    """Return the ledger as it is stored."""
    return {
        "members": {
            host: [member.holder, member.address, member.data_centre]
            for host, member in ledger.members.items()
        },
        "accounts": {
            name: {
                "used": account.used,
                "grants": {
                    holder: [grant.tokens, grant.spent]
                    for holder, grant in account.grants.items()
                },
                "moved": [[*pair, total] for pair, total in account.moved.items()],
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
                {(a, b): int(total) for a, b, total in entry["moved"]},
            )
            for name, entry in spec["accounts"].items()
        }
        members = {host: Member(*entry) for host, entry in spec["members"].items()}
        return Ledger(accounts, members)
    except (AttributeError, KeyError, TypeError) as error:
        raise ValueError(f"not a ledger: {error!r}") from error
