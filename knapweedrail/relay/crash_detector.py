"""Task that finds out whether a runner that closed connections has crashed."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, Sequence

import anyio
import attrs

from ..events import Event, log_event
from ..outcomes import Refusal
from ..tasks import Task
from .connections import ConnectionFailed, ConnectionPool
from .models import RunnerIncarnation
from .refusals import refuse_quarantined
from .suspects import SEPARATOR, Suspects

CHECK_DELAY_SECONDS = 0.05
"""Time from a broken connection to the check. The other connections of a runner that
crashes break within it, and its port is closed."""

MAX_LOGGED_CONTENTS = 5
"""Contents named in the log line of one crash."""


@attrs.frozen
class Check:
    """Connect to a runner to find out whether it is still there."""

    runner: RunnerIncarnation
    address: str


class CrashDetector(Task):
    """Attributes crashes of runners to the requests that ran there.

    A broken connection is a crash if the runner then refuses another one. The detector
    doesn't wait for a request to connect, as a runner may get none for some time.

    Args:
        pool: Connections to runners.
        suspects: Receives the broken requests and the crashes.
        send_suspects: Sends lines about suspects to the other relays.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        suspects: Suspects,
        send_suspects: Callable[[list[str]], None],
    ) -> None:
        super().__init__("crash detector")
        self._pool = pool
        self._suspects = suspects
        self._send_suspects = send_suspects
        self._checking: set[RunnerIncarnation] = set()

    def refuse_quarantined(
        self, request: str, fingerprints: Sequence[str]
    ) -> Refusal | None:
        """Return the refusal of a request that crashes runners.

        Args:
            request: Identity of the request, for the log.
            fingerprints: Fingerprints of its content.

        Returns:
            The refusal; ``None`` if the request may run.
        """
        for fingerprint in fingerprints:
            if not self._suspects.blocks(fingerprint, time.monotonic()):
                continue
            crashes = self._suspects.count_crashes(fingerprint)
            log_event(
                Event.CONTENT_QUARANTINED,
                request=request,
                content=fingerprint,
                crashes=crashes,
            )
            return refuse_quarantined(crashes)
        return None

    def record_broken(
        self, runner: RunnerIncarnation, address: str, fingerprints: Sequence[str]
    ) -> None:
        """Record that a runner closed the connection of a request that may have run."""
        now = time.monotonic()
        for fingerprint in fingerprints:
            self._suspects.record_broken_request(str(runner), fingerprint, now)
        self._request_check(runner, address)

    def record_closed(
        self, runner: RunnerIncarnation, address: str, fingerprints: Sequence[str]
    ) -> None:
        """Record an answer that may have ended, or been cut off by a crash."""
        now = time.monotonic()
        for fingerprint in fingerprints:
            self._suspects.record_closed_request(str(runner), fingerprint, now)
        self._request_check(runner, address)

    def record_sound(self, fingerprints: Iterable[str]) -> None:
        """Record that a content doesn't crash the runner that runs it."""
        now = time.monotonic()
        for fingerprint in fingerprints:
            crashes = self._suspects.record_success(fingerprint, now)
            if crashes:
                log_event(Event.CONTENT_CLEARED, content=fingerprint, crashes=crashes)
                self._send_suspects(self._suspects.format_serious([fingerprint]))

    def record_refused(self, runner: RunnerIncarnation) -> None:
        """Record that a connection to a runner failed, as it does after a crash."""
        lines = self._suspects.record_crash(str(runner), time.monotonic())
        if lines:
            log_event(
                Event.RUNNER_CRASHED,
                runner=str(runner),
                suspects=len(lines),
                crashes=self._count_crashes(lines),
            )
            self._send_suspects(lines)

    def prune(self) -> None:
        """Forget broken requests that no crash followed in time."""
        for runner, count in self._suspects.prune(time.monotonic()).items():
            log_event(Event.CRASH_UNCONFIRMED, runner=runner, requests=count)

    async def run(self) -> None:
        async with anyio.create_task_group() as group:
            async for envelope in self._receive:
                group.start_soon(self._check, envelope.message)

    def _request_check(self, runner: RunnerIncarnation, address: str) -> None:
        if runner not in self._checking:
            self._checking.add(runner)
            self.tell(Check(runner, address))

    async def _check(self, check: Check) -> None:
        await anyio.sleep(CHECK_DELAY_SECONDS)
        # Requests that end from here on may belong to a later crash.
        self._checking.discard(check.runner)
        checked_at = time.monotonic()
        try:
            await self._pool.open_idle(check.runner, check.address)
        except ConnectionFailed as error:
            if error.tried and not error.timed_out:
                self.record_refused(check.runner)
            return
        self.record_sound(self._suspects.take_closed(str(check.runner), checked_at))

    def _count_crashes(self, lines: list[str]) -> dict[str, int]:
        """Return the crashes known of each content, those with most first."""
        contents = [line.partition(SEPARATOR)[0] for line in lines]
        counts = {
            content: self._suspects.count_crashes(content) for content in contents
        }
        ranked = sorted(counts.items(), key=lambda pair: -pair[1])
        return dict(ranked[:MAX_LOGGED_CONTENTS])
