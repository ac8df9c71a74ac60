"""Seeded open-loop arrivals for measurements in virtual time."""

from __future__ import annotations

import random
from functools import lru_cache
from itertools import accumulate

import attrs

from ..outcomes import Refusal
from ..work import Work

PREFILL_TOKENS_PER_SECOND = 5000.0
SECONDS_PER_TOKEN = 0.025


@attrs.define
class Request:
    """One request of a caller and what became of it.

    Attributes:
        arrival: Seconds at which it reaches its router.
        router: Index of the router.
        work: What the router knows of it.
        answer_tokens: Tokens that the answer will have.
        poison: Whether it crashes the runner that runs it.
        first: Seconds at which the first byte came.
        done: Seconds at which the whole answer had come.
        refusal: The refusal, if that was the answer.
        answered: Seconds at which the refusal came.
        runs: Runs that began at a runner.
    """

    arrival: float
    router: int
    work: Work
    answer_tokens: int
    poison: bool = False
    first: float | None = None
    done: float | None = None
    refusal: Refusal | None = None
    answered: float | None = None
    runs: int = 0

    @property
    def good(self) -> bool:
        """Whether the whole answer came and its first byte was in time."""
        return self.done is not None and self.first <= self.work.deadline


@attrs.frozen
class Mix:
    """What callers send.

    Attributes:
        accounts: Accounts; the share of each falls as one over its rank.
        first_account_share: Share of the first account, if it is to differ.
        routers: Routers over which the balancer spreads requests.
        long_share: Share of long work among the requests.
        long_deadline: Seconds for the first byte of long work.
        short_deadline: The same of short work.
        histories: Different prompt prefixes; some are asked about more often, with
            a share that falls as one over the rank.
    """

    accounts: int = 10
    first_account_share: float | None = None
    routers: int = 6
    long_share: float = 0.25
    long_deadline: float = 30.0
    short_deadline: float = 10.0
    histories: int = 200

    def build(self, rng: random.Random, number: int, arrival: float) -> Request:
        """Make one request."""
        short = rng.random() >= self.long_share
        rank = self._draw_account(rng)
        history = draw_rank(rng, self.histories)
        largest = 160 if short else 1024
        answer = max(1, int(largest * rng.uniform(0.2, 0.9)))
        deadline = self.short_deadline if short else self.long_deadline
        work = Work(
            id=f"w{number}",
            account=f"account-{rank}",
            fingerprint=f"f{number}",
            prefix_hash=history,
            prompt_tokens=3000 if short else 6000,
            max_answer_tokens=largest,
            deadline=arrival + deadline,
            short=short,
        )
        return Request(arrival, rng.randrange(self.routers), work, answer)

    def _draw_account(self, rng: random.Random) -> int:
        if self.first_account_share is None:
            return draw_rank(rng, self.accounts)
        if rng.random() < self.first_account_share:
            return 1
        return rng.randrange(2, self.accounts + 1)

    def mean_seconds(self) -> float:
        """Return the mean slot seconds of one request, with nothing cached."""
        short = 3000 / PREFILL_TOKENS_PER_SECOND + 0.55 * 160 * SECONDS_PER_TOKEN
        long = 6000 / PREFILL_TOKENS_PER_SECOND + 0.55 * 1024 * SECONDS_PER_TOKEN
        return self.long_share * long + (1 - self.long_share) * short


def draw_rank(rng: random.Random, count: int) -> int:
    """Draw from 1 to ``count``, each with a weight of one over its rank."""
    ranks = range(1, count + 1)
    return rng.choices(ranks, cum_weights=_cumulate(count))[0]


@lru_cache
def _cumulate(count: int) -> list[float]:
    return list(accumulate(1 / rank for rank in range(1, count + 1)))


def build_arrivals(
    mix: Mix, rng: random.Random, rate: float, start: float, seconds: float
) -> list[Request]:
    """Make open-loop arrivals: callers don't wait for one another's answers.

    Args:
        mix: What they send.
        rng: Source of all choices; the same seed gives the same arrivals.
        rate: Requests a second.
        start: Seconds of the first.
        seconds: For how long they come.
    """
    requests: list[Request] = []
    time = start + rng.expovariate(rate)
    while time < start + seconds:
        number = int(time * 1_000_000)
        requests.append(mix.build(rng, number, time))
        time += rng.expovariate(rate)
    return requests


def find_quantile(values: list[float], share: float) -> float:
    """Return a quantile; NaN for no values."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
