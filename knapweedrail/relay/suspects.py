"""Decision: which requests are refused since they crash the runners that run them.

Pure: the clock is passed in.
"""

from __future__ import annotations

from hashlib import blake2b

import attrs

from ..quarantine import Quarantine

CRASHES = 3
"""Runners lost after which a request is refused. One crash meets every request that
ran there; the same content on three lost runners is no chance."""

CRASH_CONFIRM_SECONDS = 3.0
"""Time in which a runner must refuse a connection, or lose its entry, after it broke
one off, to count as crashed. A runner that merely lost an answer takes the next one."""


@attrs.frozen
class _BrokenRequest:
    fingerprint: str
    at: float


def make_fingerprint(account: str, method: str, target: bytes, body: bytes) -> str:
    """Return what tells a request from others when its caller sends it again."""
    digest = blake2b(digest_size=10)
    for part in (account.encode(), method.encode(), target, body):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()


class Suspects:
    """Requests that were on runners as these crashed.

    The load it is for: one request that crashes every runner that runs it, sent again
    by its caller, at any relay, under a new identity each time. Unchecked it takes down
    all runners one after another, with everybody's answers on them.
    """

    def __init__(self) -> None:
        self._quarantine = Quarantine(CRASHES)
        self._broken_requests: dict[str, list[_BrokenRequest]] = {}

    def blocks(self, fingerprint: str, now: float) -> bool:
        """Return whether a request is refused."""
        return self._quarantine.blocks(fingerprint, now)

    def note_break(self, runner: str, fingerprint: str, now: float) -> None:
        """Note that a runner broke off a request that may have been running.

        Args:
            runner: The runner's life. Each one that is lost counts, and none is
                blamed for what an earlier one broke off.
        """
        broken_requests = self._broken_requests.setdefault(runner, [])
        broken_requests.append(_BrokenRequest(fingerprint, now))

    def note_crash(self, runner: str, now: float) -> list[str]:
        """Note that a runner seems to be gone; return what other relays should hear."""
        broken_requests = self._broken_requests.pop(runner, [])
        recent = {
            b.fingerprint for b in broken_requests if now - b.at < CRASH_CONFIRM_SECONDS
        }
        if not recent:
            return []
        self._quarantine.note_loss(runner, sorted(recent), now)
        records = self._quarantine.tell()
        return [line for line in records if line.partition("|")[0] in recent]

    def note_good(self, fingerprint: str, now: float) -> None:
        """Note that a request has been answered well."""
        self._quarantine.clear(fingerprint, now)

    def hear(self, lines: list[str], now: float) -> None:
        """Take in what another relay told."""
        self._quarantine.hear(lines, now)

    def prune(self, now: float) -> None:
        """Forget breaks that no crash followed."""
        for runner, broken_requests in list(self._broken_requests.items()):
            kept = [b for b in broken_requests if now - b.at < CRASH_CONFIRM_SECONDS]
            if kept:
                self._broken_requests[runner] = kept
            else:
                del self._broken_requests[runner]
