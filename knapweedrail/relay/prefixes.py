"""Memory of the runners that recently got a prompt's prefix.

Pure: the clock is passed in.
"""

from __future__ import annotations

from collections import OrderedDict

from .models import RunnerIncarnation

PREFIX_TTL_SECONDS = 9.0
"""How long a prefix that was sent to a runner is assumed to be in its prefix cache.
Runners evict the least recently used prefixes, and their caches fill up after about ten
seconds of heavy load."""

MAX_PREFIXES = 10_000
"""Maximum number of prefixes remembered, about 2 MB; the oldest are evicted first."""


class PrefixMemory:
    """The incarnation of a runner to which each prefix was last sent."""

    def __init__(self) -> None:
        self._sent: OrderedDict[str, tuple[RunnerIncarnation, float]] = OrderedDict()

    def record(self, prefix: str, incarnation: RunnerIncarnation, now: float) -> None:
        """Record that a runner has a prefix in its prefix cache."""
        self._sent[prefix] = (incarnation, now)
        self._sent.move_to_end(prefix)
        if len(self._sent) > MAX_PREFIXES:
            self._sent.popitem(last=False)

    def find(self, prefix: str, now: float) -> RunnerIncarnation | None:
        """Return the incarnation to which a prefix was recently sent, if any."""
        incarnation, at = self._sent.get(prefix, (None, float("-inf")))
        return incarnation if now - at < PREFIX_TTL_SECONDS else None
