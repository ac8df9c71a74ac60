"""Retry budget: limits the requests that are sent to another runner.

The module does no I/O; the time is passed in.
"""

from __future__ import annotations

from collections import deque

SAFETY_FACTOR = 0.8
"""Share of the allowed retries that is used. Relays learn of changes in their number
late, and the operator's counting windows begin at other times than this one."""


class RetryBudget:
    """One relay's share of the retries that all relays together may make.

    It prevents retry storms. When runners fail under overload, each retry adds to the
    load. With retries limited to a fraction of new requests, the load stays close to
    what callers send, however many requests fail.

    Args:
        ratio: Retries allowed for each new request, over all relays.
        reserve: Additional retries allowed in a window, over all relays.
        window: Length of the sliding window, seconds.
    """

    def __init__(self, ratio: float, reserve: float, window: float) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._window = window
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}

    def record_request(self, endpoint: str, now: float) -> None:
        """Count a new request to an endpoint.

        Args:
            endpoint: Name of the endpoint.
            now: Current time, seconds.
        """
        self._requests.setdefault(endpoint, deque()).append(now)

    def try_acquire(self, endpoint: str, relays: int, now: float) -> bool:
        """Use one retry if the budget allows it.

        Args:
            endpoint: Name of the endpoint.
            relays: Number of relays that share the reserve.
            now: Current time, seconds.

        Returns:
            Whether the retry is allowed.
        """
        requests = self._count_recent(self._requests, endpoint, now)
        used = self._count_recent(self._retries, endpoint, now)
        allowed = SAFETY_FACTOR * (
            self._ratio * requests + self._reserve / max(1, relays)
        )
        if used + 1 > allowed:
            return False
        self._retries.setdefault(endpoint, deque()).append(now)
        return True

    def _count_recent(
        self, times: dict[str, deque[float]], endpoint: str, now: float
    ) -> int:
        recent = times.get(endpoint)
        if not recent:
            return 0
        while recent and recent[0] < now - self._window:
            recent.popleft()
        return len(recent)
