"""Claims on requests that may not be repeated, on their way to the platform."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from .budget_messages import (
    Claim,
    ClaimMade,
    ClaimStands,
    DropClaim,
    FinishClaim,
    MakeClaim,
)
from .entries import AddClaim, EndClaim, Outcome, RemoveClaim
from .holdings import Holdings
from .outcomes import Ran, Refusal, RefusalKind
from .shards import PendingClaim, Shard
from .tasks import Reply
from .verdicts import AWAY_RETRY_SECONDS


class Claims:
    """The claims of one router.

    Args:
        holdings: Its holdings, for the shards.
        claim_seconds: Longest wait for a claim.
    """

    def __init__(self, holdings: Holdings, claim_seconds: float) -> None:
        self.holdings = holdings
        self.claim_seconds = claim_seconds

    def make(self, message: MakeClaim, reply: Reply) -> Shard | None:
        """Queue a claim; return the shard to post to unless it was refused."""
        shard = self.holdings.shard_of(message.account)
        if shard.away:
            reply.set(_refuse("the platform doesn't answer"))
            return None
        if self.holdings.fenced or self.holdings.draining:
            reply.set(_refuse("this router is stopping"))
            return None
        claim = Claim(
            message.account,
            message.identity,
            str(self.holdings.holder),
            message.fingerprint,
            message.route,
        )
        deadline = self.holdings.now() + self.claim_seconds
        shard.claims.append(PendingClaim(AddClaim(claim), reply, deadline))
        return shard

    def finish(self, message: FinishClaim, reply: Reply) -> Shard:
        """Queue what came of a claimed request."""
        claim = Claim(
            message.account,
            message.identity,
            str(self.holdings.holder),
            "",
            "",
            message.state,
            message.status,
            message.content_type,
            message.body,
        )
        return self.holdings.add_end(message.account, EndClaim(claim), reply)

    def drop(self, message: DropClaim, reply: Reply) -> Shard:
        """Queue the removal of a claim whose request never left."""
        entry = RemoveClaim(message.account, message.identity)
        return self.holdings.add_end(message.account, entry, reply)

    def refuse(self, shard: Shard, is_due: Callable[[PendingClaim], bool]) -> None:
        """Refuse claims at once whose write is in doubt; their requests never leave.

        The write may take effect all the same. The claim would then stand for a
        request that never ran, and a retry be told that it may have; so such a claim
        is removed as soon as it is seen to stand.
        """
        for pending in [*shard.claims, *shard.claims_sent]:
            if not pending.abandoned and is_due(pending):
                pending.abandoned = True
                pending.reply.set(_refuse("no answer from the platform"))
        shard.claims = deque(item for item in shard.claims if not item.abandoned)

    def handle(self, shard: Shard, pending: PendingClaim, outcome: Outcome) -> None:
        """Give a claim's outcome to its caller, or remove it if that one has gone."""
        if pending.abandoned:
            if isinstance(outcome, ClaimMade):
                claim = pending.entry.claim
                entry = RemoveClaim(claim.account, claim.identity)
                self.holdings.add_end(claim.account, entry, Reply())
            return
        if isinstance(outcome, ClaimMade | ClaimStands):
            pending.reply.set(outcome)
        else:
            pending.reply.set(_refuse(f"not taken: {outcome}"))


def _refuse(detail: str) -> Refusal:
    return Refusal(
        "budget.claim",
        "platform",
        detail,
        RefusalKind.NO_CLAIM,
        Ran.NOT_RUN,
        AWAY_RETRY_SECONDS,
    )
