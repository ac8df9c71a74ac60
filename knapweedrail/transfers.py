"""Tokens that move between the routers of a data centre without the platform."""

from __future__ import annotations

import random

import anyio
import anyio.abc

from .budget_messages import HandOver
from .holdings import Holdings
from .models import Holder
from .neighbours import HandedOver
from .outcomes import Unavailable
from .verdicts import AWAY_RETRY_SECONDS, refuse_out_of_reach

PATIENCE_SECONDS = 0.2
"""Wait for one neighbour's answer before the next is asked as well. A frozen
neighbour would otherwise hold up all requests of the data centre."""

EXHAUSTED_SECONDS = 0.25
"""After all neighbours had nothing they aren't asked again for this long; requests
that come meanwhile are refused at once if the platform is away too."""


class Transfers:
    """Asks neighbours for tokens and answers theirs.

    Args:
        holdings: The router's holdings.
        data_centre: Where it stands.
        rng: Chooses whom to ask first.
        group: Task group for calls under way.
    """

    def __init__(
        self,
        holdings: Holdings,
        data_centre: str,
        rng: random.Random,
        group: anyio.abc.TaskGroup,
    ) -> None:
        self.holdings = holdings
        self.neighbours = holdings.neighbours
        self.data_centre = data_centre
        self.rng = rng
        self._group = group
        self._asking: set[str] = set()
        self._calling: set[tuple[Holder, str]] = set()
        self._exhausted_until: dict[str, float] = {}

    def hand_over(self, message: HandOver) -> HandedOver:
        """Answer a neighbour that asks for tokens."""
        holdings = self.holdings
        if holdings.fenced:
            return HandedOver(0, fenced=True)
        if not holdings.may_trade(message.sender):
            return HandedOver(0)
        allowance = holdings.get(message.budget)
        number = int(message.transfer)
        spare = self._find_spare(message.budget)
        answer = allowance.hand_over(message.sender, message.tokens, number, spare)
        if answer.tokens:
            holdings.mark(message.budget)
        return answer

    def _find_spare(self, budget: str) -> int:
        """Return how many own free tokens a neighbour may have besides the reserve.

        With the platform away nothing can be recalled through it, and tokens would
        lie idle in one router while the one beside it refuses. Half is kept, so that
        two routers in need don't pass the same tokens to and fro.
        """
        if not self.holdings.shard_of(budget).away:
            return 0
        allowance = self.holdings.get(budget)
        idle = allowance.free - self.holdings.waiting_tokens(budget)
        if allowance.demand.largest(self.holdings.now()) == 0:
            return idle
        return idle // 2

    def seek(self, budget: str) -> None:
        """Ask neighbours for what waits; refuse at once when they have nothing."""
        if budget in self._asking:
            return
        if self._is_exhausted(budget):
            if self.holdings.shard_of(budget).away:
                self._refuse(budget)
            return
        self._asking.add(budget)
        self._group.start_soon(self._ask_all, budget)

    def seek_ahead(self, budget: str) -> None:
        """With the platform away, ask neighbours before requests have to wait."""
        if not self.holdings.shard_of(budget).away or self._is_exhausted(budget):
            return
        target = self.holdings.find_target(budget)
        if self.holdings.get(budget).free < target.allowance / 2:
            self.seek(budget)

    def _is_exhausted(self, budget: str) -> bool:
        return self.holdings.now() < self._exhausted_until.get(budget, -1e9)

    async def _ask_all(self, budget: str) -> None:
        holders = list(self.neighbours.list())
        self.rng.shuffle(holders)
        try:
            for holder in holders:
                if self.holdings.find_shortage(budget) <= 0:
                    break
                await self._ask_patiently(holder, budget)
        finally:
            self._asking.discard(budget)
        self.holdings.serve(budget)
        if self.holdings.find_shortage(budget) > 0:
            self._exhausted_until[budget] = self.holdings.now() + EXHAUSTED_SECONDS
        if self.holdings.shard_of(budget).away:
            self._refuse(budget)

    async def _ask_patiently(self, holder: Holder, budget: str) -> None:
        key = (holder, budget)
        if key in self._calling or not self.holdings.may_trade(holder):
            return
        self._calling.add(key)
        answered = anyio.Event()
        self._group.start_soon(self._ask, holder, budget, answered)
        with anyio.move_on_after(PATIENCE_SECONDS):
            await answered.wait()

    async def _ask(self, holder: Holder, budget: str, answered: anyio.Event) -> None:
        holdings = self.holdings
        allowance = holdings.get(budget)
        tokens = max(0, holdings.find_shortage(budget))
        transfer = allowance.ask(holder, tokens)
        try:
            answer = await self.neighbours.hand_over(
                holder, budget, transfer.tokens, str(transfer.number)
            )
            if isinstance(answer, Unavailable) or not holdings.may_trade(holder):
                return
            if holdings.draining:
                # Too late to report it; a fence round will find it untaken.
                return
            if allowance.receive(transfer, answer.tokens) and answer.tokens:
                holdings.mark(budget)
                holdings.serve(budget)
        finally:
            self._calling.discard((holder, budget))
            answered.set()

    def _refuse(self, budget: str) -> None:
        detail = (
            f"budget {budget}: nothing left within reach of data centre "
            f"{self.data_centre} while the platform doesn't answer"
        )
        refusal = refuse_out_of_reach(detail, "platform", AWAY_RETRY_SECONDS)
        self.holdings.refuse(budget, lambda waiter: refusal)
