"""Refusals that the decisions under load give, each with what is known of the run."""

from __future__ import annotations

from .outcomes import Ran, Refusal, RefusalKind

FAILED_RETRY_SECONDS = 5.0
"""When to come back after runs have failed: about the time of a runner's restart."""

FULL_RETRY_SECONDS = 5.0
"""When to come back to a queue that has reached its bound."""


class Refusals:
    """Makes refusals in the name of one endpoint.

    Args:
        endpoint: The endpoint's name.
    """

    def __init__(self, endpoint: str) -> None:
        self._endpoint = endpoint

    def quarantined(self, ran: Ran, retry_after: float) -> Refusal:
        """Refuse content that felled runners, until it may be tried again."""
        kind = RefusalKind.QUARANTINED
        detail = "runners were lost while they ran this content"
        return self._make("quarantine", kind, ran, detail, retry_after)

    def queue_full(self) -> Refusal:
        """Refuse what would make the queue outgrow its memory."""
        kind = RefusalKind.FULL
        detail = "the queue has reached its bound"
        return self._make("admit", kind, Ran.NOT_RUN, detail, FULL_RETRY_SECONDS)

    def busy(self, ran: Ran, wait: float, retry_after: float) -> Refusal:
        """Refuse what other work leaves no time for."""
        detail = f"{wait:.1f} s of work before it"
        return self._make("admit", RefusalKind.FULL, ran, detail, retry_after)

    def too_slow(self, ran: Ran, first: float) -> Refusal:
        """Refuse what an idle endpoint couldn't do in time either."""
        detail = f"the first byte takes {first:.1f} s on a free runner"
        return self._make("admit", RefusalKind.DEADLINE, ran, detail)

    def no_runner(self, ran: Ran, retry_after: float) -> Refusal:
        """Refuse what no runner can take."""
        detail = "no runner is in reach"
        return self._make("place", RefusalKind.NO_ENDPOINT, ran, detail, retry_after)

    def failed(self, runs: int) -> Refusal:
        """Refuse a further run after the last allowed one failed."""
        kind = RefusalKind.ENDPOINT_FAILED
        detail = f"{runs} runs failed"
        return self._make("retry", kind, Ran.UNKNOWN, detail, FAILED_RETRY_SECONDS)

    def no_retry_left(self) -> Refusal:
        """Refuse a retry that the budget of retries has no room for."""
        kind = RefusalKind.ENDPOINT_FAILED
        detail = "too many runs fail for all to be repeated"
        return self._make("retry", kind, Ran.UNKNOWN, detail, FAILED_RETRY_SECONDS)

    def broken_off(self) -> Refusal:
        """Refuse to repeat work that may run once and broke off."""
        detail = "the run broke off and may not be repeated"
        return self._make("retry", RefusalKind.OUTCOME_UNKNOWN, Ran.UNKNOWN, detail)

    def _make(
        self,
        step: str,
        kind: RefusalKind,
        ran: Ran,
        detail: str,
        retry_after: float | None = None,
    ) -> Refusal:
        return Refusal(
            step=f"dispatch.{step}",
            peer=self._endpoint,
            detail=detail,
            kind=kind,
            ran=ran,
            retry_after=retry_after,
        )
