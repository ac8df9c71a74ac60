"""Loans from other relays: borrowing tokens and returning those not needed."""

from __future__ import annotations

import time

from ..events import Event, log_event
from .account_holdings import AccountHolding
from .allowances import Loan
from .grants import plan_borrow, plan_return
from .ledgers import MAX_TOKENS
from .members import Membership
from .models import Member
from .notifiers import Notifier
from .peers import PeerClient, Trade, TradeAnswer
from .reservations import Shortage

SETTLEMENT_PROMPT_SECONDS = 4.0
"""Pause between prompts to settle one ended incarnation. Its host settles within a few
replies of the store, and the prompting relay's view of the ledger is seconds old."""


class TokenBorrower:
    """Borrows tokens for this relay.

    Args:
        peers: Client for the other relays.
        membership: The relays of the fleet.
        changed: Notified whenever balances may have changed.
    """

    def __init__(
        self, peers: PeerClient, membership: Membership, changed: Notifier
    ) -> None:
        self._peers = peers
        self._membership = membership
        self._changed = changed
        self._holder = membership.member.holder

    async def borrow(self, holding: AccountHolding, tokens: int) -> Shortage | None:
        """Borrow from other relays in turn until the waiting requests can be served.

        Returns:
            Why there are still too few tokens, if a lender gave a reason; otherwise
            ``None``.
        """
        while holding.borrowing:
            await self._changed.wait()
            if holding.allowance.available >= tokens:
                return None
        holding.borrowing = True
        try:
            return await self._borrow_from_lenders(holding)
        finally:
            holding.borrowing = False
            self._changed.notify_all()

    async def return_excess(self, holding: AccountHolding) -> None:
        """Return borrowed tokens that aren't needed to the account's primary relay."""
        allowance = holding.allowance
        if holding.borrowing or self._membership.draws_on(holding.name):
            return
        if self._holder in holding.ledger.grants:
            # This relay drew on the ledger itself, and returns tokens there.
            return
        now = time.monotonic()
        tokens = plan_return(allowance.available, allowance.demand, now)
        lenders = self._membership.list_lenders(holding.name)
        lenders = [m for m in lenders if not self._peers.is_in_backoff(m, now)]
        if not tokens or not lenders:
            return
        await self.give_back(holding, lenders[0], tokens)

    async def resolve_unconfirmed(self, holding: AccountHolding) -> None:
        """Repeat totals that a lender may have missed, and query what it has lent.

        A lender whose answer was lost has taken tokens out of use for this relay, and
        one that missed a return still counts those tokens as lent. Until it receives
        the number of spent tokens, requests of a spent budget are refused as retryable.
        """
        idle = holding.allowance.demand.is_idle(time.monotonic())
        members = {m.holder: m for m in self._membership.list_others()}
        for holder, loan in list(holding.allowance.borrowed.items()):
            if holder not in members and loan.returned > loan.acknowledged:
                lost = loan.returned - loan.acknowledged
                log_event(Event.TOKENS_LOST, lender=holder, tokens=lost)
                loan.acknowledged = loan.returned
        for member in members.values():
            loan = holding.allowance.borrowed.get(member.holder, Loan())
            unacknowledged = loan.returned > loan.acknowledged
            unreported = idle and loan.spent > loan.reported
            if unacknowledged or unreported or member.host in holding.unconfirmed_hosts:
                if not self._peers.is_in_backoff(member, time.monotonic()):
                    await self._trade(holding, member)

    async def prompt_settlements(self, holding: AccountHolding) -> None:
        """Prompt hosts to settle grants of their previous incarnations.

        Only the host itself can determine how long they ran. A host that is no longer
        primary for the account has no other reason to read its ledger.
        """
        now = time.monotonic()
        for holder, grant in list(holding.ledger.grants.items()):
            member = self._membership.find_current_incarnation(holder)
            if member is None or not member.address or grant.tokens <= grant.spent:
                continue
            if member.holder == self._holder:
                continue
            if (
                now - holding.prompted_at.get(holder, float("-inf"))
                < SETTLEMENT_PROMPT_SECONDS
            ):
                continue
            if not self._peers.is_in_backoff(member, now):
                holding.prompted_at[holder] = now
                await self._trade(holding, member)

    async def give_back(
        self, holding: AccountHolding, lender: Member, tokens: int
    ) -> TradeAnswer | None:
        """Return tokens to a relay; give ``None`` if the relay may not have received
        them."""
        holding.allowance.give_back(lender.holder, tokens)
        log_event(
            Event.TOKENS_RETURNED,
            account=holding.name,
            lender=lender.holder,
            tokens=tokens,
            left=holding.allowance.available,
        )
        return await self._trade(holding, lender)

    async def _borrow_from_lenders(self, holding: AccountHolding) -> Shortage | None:
        allowance = holding.allowance
        shortage: Shortage | None = None
        answered: set[str] = set()
        for member in self._membership.list_lenders(holding.name):
            now = time.monotonic()
            needed = allowance.demand.unmet - allowance.available
            if needed <= 0:
                break
            # The second lender of a data centre stands in while the first is
            # unresponsive. If the first answered, the second would only draw on the
            # same ledger, in which the first has found too few tokens.
            if member.data_centre in answered and not self._membership.all_draw:
                continue
            if self._peers.is_in_backoff(member, now):
                continue
            answered.add(member.data_centre)
            known = self._peers.find_recent_shortage(member, holding.name, now)
            if known is not None:
                shortage = known
                continue
            wanted = plan_borrow(needed, allowance.demand, now)
            answer = await self._trade(
                holding, member, min(needed, MAX_TOKENS), min(wanted, MAX_TOKENS)
            )
            if answer is None:
                answered.discard(member.data_centre)
            elif answer.shortage is not None:
                shortage = answer.shortage
                if shortage is Shortage.SPENT:
                    break
        return shortage

    async def _trade(
        self, holding: AccountHolding, member: Member, needed: int = 0, wanted: int = 0
    ) -> TradeAnswer | None:
        """Request tokens from one relay, and report the totals returned to it and
        spent."""
        loan = holding.allowance.borrowed.get(member.holder)
        trade = Trade(
            account=holding.name,
            holder=self._holder,
            lender=member.holder,
            needed=needed,
            wanted=wanted,
            returned=loan.returned if loan else 0,
            spent=loan.spent if loan else 0,
        )
        # Until the relay has answered it may have lent tokens, even if no request waits
        # for them any more.
        holding.unconfirmed_hosts.add(member.host)
        answer = await self._peers.trade(member, trade)
        if answer is None:
            return None
        holding.unconfirmed_hosts.discard(member.host)
        holding.allowance.borrow(answer.lender, answer.total)
        if answer.lender != member.holder:
            self._membership.update_incarnation(member, answer.lender)
        elif loan is not None:
            loan.acknowledge(trade.returned, trade.spent)
        self._changed.notify_all()
        return answer
