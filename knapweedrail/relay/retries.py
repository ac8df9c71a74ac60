"""Decision: whether a request may be sent to another runner.

Pure: the clock is passed in.
"""

from __future__ import annotations

from collections import deque

SAFETY_FACTOR = 0.8
"""Part of the allowance that is used. Relays learn late how many they are, and the
windows in which the operator counts begin at other moments than ours."""


class RetryShare:
    """One relay's part of the retries that all relays together may make.

    The load it is for: runners that fail because they have too much to do. Each retry
    adds to what fells them; bounded to a part of the fresh requests, the load stays
    near to what callers sent, however much fails.

    Args:
        ratio: Retries for each fresh request, over all relays.
        reserve: Further retries in a window, over all relays.
        window: Length of a window, seconds.
    """

    def __init__(self, ratio: float, reserve: float, window: float) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._window = window
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}

    def note_fresh(self, endpoint: str, now: float) -> None:
        """Count a caller's request."""
        self._requests.setdefault(endpoint, deque()).append(now)

    def take(self, endpoint: str, relays: int, now: float) -> bool:
        """Take one retry, if one is left.

        Args:
            relays: Number of relays that share the reserve.
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
