"""What requests cost an endpoint's runners, as learned from finished ones.

Pure: the clock is passed in.
"""

from __future__ import annotations

import math
from collections import Counter, deque

import attrs

from ..models import PromptPart

DEMAND_SECONDS = 60.0
"""Time constant of the demand of a class. A relay sends one or two requests a second,
so a shorter one would let relays differ by half."""

MIN_REQUESTS = 20.0
"""Weighted number of requests from which the demand of both classes is known."""

INITIAL_PREFILL_RATE = 30_000.0
"""Prompt tokens that a runner of the usual pace prefills in a second, before any
were measured."""

RATE_STEP = 0.05
"""Relative change of the prefill rate with each measurement, towards its median."""

MIN_PREFILL_RATE = 3_000.0
MAX_PREFILL_RATE = 300_000.0
"""Bounds of the prefill rate. Beyond them, estimates would be all alike."""

INITIAL_MEAN_TOKENS = 2_850.0
INITIAL_PROMPTS = 20
"""Mean length of a prompt before any was seen, and the number of prompts it counts as.
Without it the first prompts of each relay that starts would all be long."""

MAX_PRIVATE_TOKENS = 131_072
"""Largest length that counts. Callers state the length of each part, and one of them
could otherwise change for minutes which prompts are long."""

MEAN_WEIGHT = 0.02
"""Smallest weight of a new prompt in the mean length."""

POPULARITY_SECONDS = 20.0
POPULARITY_REQUESTS = 64
MIN_POPULARITY_REQUESTS = 16
"""Age and number of the latest long prompts by which a prefix counts as popular, and
the smallest number that shows it."""


def find_shared_part(parts: tuple[PromptPart, ...]) -> PromptPart:
    """Return the part of a prompt by which requests are routed to the same runner.

    The last part belongs to the request alone. The one before it completes the longest
    prefix shared with other requests, such as the history of a farm, and those requests
    gain from using the same runner's prefix cache. Earlier parts are so widely shared
    that every runner soon has them cached.
    """
    return parts[-2] if len(parts) >= 2 else parts[0]


def count_private_tokens(parts: tuple[PromptPart, ...]) -> int:
    """Return the tokens of a prompt that not every runner has cached.

    These are the last two parts. Earlier ones are shared so widely that every runner
    soon has them cached.
    """
    return min(MAX_PRIVATE_TOKENS, sum(part.tokens for part in parts[-2:]))


@attrs.define
class ClassDemand:
    """Decayed sums of the requests of one class.

    Attributes:
        requests: Number of requests.
        tokens: Prompt tokens to prefill.
        slot_seconds: Time for which they held a slot at the usual pace, seconds.
        decayed_at: Monotonic time of the last decay, seconds.
    """

    requests: float = 0.0
    tokens: float = 0.0
    slot_seconds: float = 0.0
    decayed_at: float = 0.0

    def add(
        self, now: float, requests: float, tokens: float, slot_seconds: float
    ) -> None:
        """Add to the sums after their decay."""
        self.decay(now)
        self.requests += requests
        self.tokens += tokens
        self.slot_seconds += slot_seconds

    def decay(self, now: float) -> None:
        """Decay the sums, which would otherwise keep a class that has ended."""
        factor = math.exp(-max(0.0, now - self.decayed_at) / DEMAND_SECONDS)
        self.decayed_at = now
        self.requests *= factor
        self.tokens *= factor
        self.slot_seconds *= factor


@attrs.define
class Workload:
    """What one relay knows of the requests for one endpoint.

    Attributes:
        mean_tokens: Mean private tokens of a prompt.
        prefill_rate: Prompt tokens that a runner of the usual pace prefills a second.
        short, long: Demand of short and of long prompts.
    """

    mean_tokens: float = INITIAL_MEAN_TOKENS
    prefill_rate: float = INITIAL_PREFILL_RATE
    short: ClassDemand = attrs.field(factory=ClassDemand)
    long: ClassDemand = attrs.field(factory=ClassDemand)
    _prompts: int = INITIAL_PROMPTS
    _popular: deque[tuple[float, str]] = attrs.field(
        factory=lambda: deque(maxlen=POPULARITY_REQUESTS)
    )
    _counts: Counter[str] = attrs.field(factory=Counter)

    def is_long(self, tokens: int) -> bool:
        """Return whether a prompt's prefill delays other requests noticeably."""
        return tokens > 0.5 * self.mean_tokens

    def record_sent(
        self, parts: tuple[PromptPart, ...], prefill: int, now: float
    ) -> bool:
        """Count a request that is sent to a runner; return whether it is long.

        Args:
            prefill: Tokens that the runner has to prefill.
        """
        tokens = count_private_tokens(parts)
        self._prompts += 1
        weight = max(MEAN_WEIGHT, 1.0 / self._prompts)
        self.mean_tokens += weight * (tokens - self.mean_tokens)
        long = self.is_long(tokens)
        self.get_demand(long).add(now, 1.0, prefill, 0.0)
        if long:
            self._count_prefix(parts, now)
        return long

    def record_finished(self, long: bool, seconds: float, now: float) -> None:
        """Record for how long a request held a slot, seconds at the usual pace."""
        self.get_demand(long).add(now, 0.0, 0.0, seconds)

    def record_first_event(self, tokens: int, seconds: float) -> None:
        """Record the time to the first event of a long prompt.

        Args:
            tokens: Tokens that the runner had to prefill.
            seconds: Time from sending to the first event, at the usual pace.
        """
        if tokens <= 0 or seconds <= 0:
            return
        slower = seconds * self.prefill_rate > tokens
        rate = self.prefill_rate * (1.0 - RATE_STEP if slower else 1.0 + RATE_STEP)
        self.prefill_rate = min(MAX_PREFILL_RATE, max(MIN_PREFILL_RATE, rate))

    def get_demand(self, long: bool) -> ClassDemand:
        """Return the demand of a class."""
        return self.long if long else self.short

    def count_homes(self, prefix: str, runners: int, now: float) -> int:
        """Return how many of a number of runners a prefix of long prompts should use.

        Usually one. Handles a prefix used by a quarter of all callers at once: one
        runner can't prefill all their prompts, and relays don't see each other's.
        """
        self._expire_prefixes(now)
        repeated = self._counts[prefix] - 1
        if repeated < 2 or len(self._popular) < MIN_POPULARITY_REQUESTS:
            return 1
        return 1 + int(repeated * runners / (2 * len(self._popular)))

    def _count_prefix(self, parts: tuple[PromptPart, ...], now: float) -> None:
        self._expire_prefixes(now)
        prefix = find_shared_part(parts).name
        if len(self._popular) == POPULARITY_REQUESTS:
            self._forget_oldest()
        self._popular.append((now, prefix))
        self._counts[prefix] += 1

    def _expire_prefixes(self, now: float) -> None:
        while self._popular and now - self._popular[0][0] > POPULARITY_SECONDS:
            self._forget_oldest()

    def _forget_oldest(self) -> None:
        _, prefix = self._popular.popleft()
        self._counts[prefix] -= 1
        if not self._counts[prefix]:
            del self._counts[prefix]
