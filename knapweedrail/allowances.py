"""Tokens of one budget in the hands of one router."""

from __future__ import annotations

import math

import attrs

from .entries import Report
from .models import Holder
from .neighbours import HandedOver, Total

FAST_SECONDS = 10.0
"""Time constant of the estimate that follows a burst."""

SLOW_SECONDS = 300.0
"""Time constant of the estimate that outlasts a lull, for the cover of a cut."""

LARGEST_SECONDS = 60.0
"""The largest reservation is that of the last one to two such spans."""


class Demand:
    """Estimate of the tokens a second that a router uses of one budget.

    For an evening's load with lulls: the higher of a fast and a slow average, so that
    a burst is met at once and a lull doesn't give the cover away.
    """

    def __init__(self, now: float) -> None:
        self._fast = 0.0
        self._slow = 0.0
        self._largest = [0, 0]
        self._last = now
        self._began = now
        self._span_began = now

    def add(self, tokens: int, now: float) -> None:
        """Count used tokens."""
        self._decay(now)
        self._fast += tokens / FAST_SECONDS
        self._slow += tokens / SLOW_SECONDS

    def note_reservation(self, tokens: int, now: float) -> None:
        """Note the size of a reservation asked for."""
        self._decay(now)
        self._largest[0] = max(self._largest[0], tokens)

    def estimate(self, now: float) -> float:
        """Return the demand in tokens a second."""
        self._decay(now)
        # A young average has seen less than its time constant: without this it
        # would take minutes to reach the true rate.
        age = max(1.0, now - self._began)
        seen = 1.0 - math.exp(-age / SLOW_SECONDS)
        return max(self._fast, self._slow / seen)

    def largest(self, now: float) -> int:
        """Return the largest reservation asked for lately."""
        self._decay(now)
        return max(self._largest)

    def _decay(self, now: float) -> None:
        passed = max(0.0, now - self._last)
        self._last = max(self._last, now)
        self._fast *= math.exp(-passed / FAST_SECONDS)
        self._slow *= math.exp(-passed / SLOW_SECONDS)
        spans = int((self._last - self._span_began) / LARGEST_SECONDS)
        if spans >= 1:
            recent = self._largest[0] if spans == 1 else 0
            self._largest = [0, recent]
            self._span_began += spans * LARGEST_SECONDS


@attrs.frozen
class Transfer:
    """A hand-over asked of a neighbour: the same number until it is answered."""

    holder: Holder
    number: int
    tokens: int


class Allowance:
    """Tokens of one budget in the hands of one router, and what became of them.

    All totals only rise. Tokens are debited here before anybody is told that they
    moved, and credited only after it is certain that they came; what is lost between
    the two is held by nobody and spent by nobody.

    Args:
        budget: Name of the budget.
        now: Seconds, of a clock that only rises.
    """

    def __init__(self, budget: str, now: float) -> None:
        self.budget = budget
        self.demand = Demand(now)
        self.granted = 0
        self.reserve_granted = 0
        self.returned = 0
        self.reserve_returned = 0
        self.spent = 0
        self.received: dict[Holder, int] = {}
        self.handed: dict[Holder, int] = {}
        self._reserved: dict[int, int] = {}
        self._reserved_tokens = 0
        self._answers: dict[Holder, tuple[int, int]] = {}
        self._asked: dict[Holder, Transfer] = {}
        self._numbers: dict[Holder, int] = {}

    @property
    def reserved(self) -> int:
        """Tokens set aside for requests under way."""
        return self._reserved_tokens

    @property
    def free(self) -> int:
        """Tokens that a reservation can take now."""
        came = self.granted + sum(self.received.values())
        gone = self.returned + self.spent + self._overdrawn
        return came - gone - self._reserved_tokens

    @property
    def reserve(self) -> int:
        """Tokens held for neighbours."""
        return max(0, self._reserve_balance)

    @property
    def _overdrawn(self) -> int:
        """Tokens handed over beyond the reserve, out of what could be spent."""
        return max(0, -self._reserve_balance)

    @property
    def _reserve_balance(self) -> int:
        handed = sum(self.handed.values())
        return self.reserve_granted - self.reserve_returned - handed

    def credit(self, allowance: int, reserve: int) -> None:
        """Add a grant that is certain to stand in the ledger."""
        self.granted += allowance
        self.reserve_granted += reserve

    def set_aside(self, number: int, tokens: int) -> bool:
        """Reserve tokens under a new number, if there are enough."""
        if tokens > self.free:
            return False
        self._reserved[number] = tokens
        self._reserved_tokens += tokens
        return True

    def settle(self, number: int, used: int, now: float) -> bool:
        """Count what a reservation used; ``False`` when it was settled before.

        More than was reserved is counted as well: it has been used. `free` may then
        be negative until a grant covers it, and nothing is reserved meanwhile.
        """
        if number not in self._reserved:
            return False
        self._reserved_tokens -= self._reserved.pop(number)
        self.spent += used
        self.demand.add(used, now)
        return True

    def give_back(self, allowance: int, reserve: int) -> bool:
        """Debit tokens that the next report returns; ``False`` when there are none."""
        allowance = max(0, min(allowance, self.free))
        reserve = max(0, min(reserve, self.reserve))
        self.returned += allowance
        self.reserve_returned += reserve
        return allowance + reserve > 0

    def hand_over(
        self, recipient: Holder, tokens: int, number: int, spare: int = 0
    ) -> HandedOver:
        """Hand tokens to a neighbour: debited first, and once for each number.

        The reserve goes first, then of the own free tokens what is spare. The other
        way, spending the reserve, is never allowed: a fence round gives the reserve
        back without asking its keeper.

        A lost answer makes the neighbour ask again. Another debit would then lose the
        first tokens; so the last answer is kept and given again. A lower number is a
        late copy of a message whose answer has come.
        """
        last, given = self._answers.get(recipient, (0, 0))
        if number == last:
            return HandedOver(given)
        if number < last:
            return HandedOver(0)
        given = max(0, min(tokens, self.reserve + max(0, min(spare, self.free))))
        self._answers[recipient] = (number, given)
        if given:
            self.handed[recipient] = self.handed.get(recipient, 0) + given
        return HandedOver(given)

    def ask(self, keeper: Holder, tokens: int) -> Transfer:
        """Return the transfer to ask of a neighbour: the unanswered one, or a new."""
        if keeper not in self._asked:
            number = self._numbers.get(keeper, 0) + 1
            self._numbers[keeper] = number
            self._asked[keeper] = Transfer(keeper, number, tokens)
        return self._asked[keeper]

    def receive(self, transfer: Transfer, tokens: int) -> bool:
        """Credit the answer to a transfer; ``False`` when it has been credited."""
        if self._asked.get(transfer.holder) != transfer:
            return False
        del self._asked[transfer.holder]
        if tokens:
            total = self.received.get(transfer.holder, 0) + tokens
            self.received[transfer.holder] = total
        return True

    def forget(self, holder: Holder) -> None:
        """Trade nothing more with a fenced holder: its late answers don't count."""
        self._asked.pop(holder, None)
        self._answers[holder] = (2**63, 0)

    def report(self) -> Report:
        """Return the totals for the ledger."""
        received = tuple(
            Total(holder, self.budget, tokens)
            for holder, tokens in self.received.items()
        )
        handed = sum(self.handed.values())
        return Report(
            self.budget,
            self.spent,
            self.returned,
            self.reserve_returned,
            handed,
            received,
        )
