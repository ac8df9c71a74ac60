"""How callers' requests and runners' answers are written, as an interface."""

from __future__ import annotations

from abc import ABC, abstractmethod

from .models import CallerRequest, Malformed, Runner, RunnerAnswer, RunnerReport

Headers = list[tuple[bytes, bytes]]


class Codec(ABC):
    """Translates between headers and types."""

    @abstractmethod
    def decode_request(
        self, method: str, raw_path: bytes, query: bytes, headers: Headers
    ) -> CallerRequest | Malformed:
        """Decode a caller's request line and headers."""

    @abstractmethod
    def encode_request(
        self,
        request: CallerRequest,
        runner: Runner,
        account: str | None,
        seconds: float,
        rank: int | None,
        body_bytes: int | None,
        last_event: int | None,
    ) -> Headers:
        """Return the headers with which a request goes to a runner.

        Args:
            seconds: What is left of the time that the caller will wait.
            rank: Urgency for the runner's queue; ``None`` leaves its default.
            body_bytes: Length of the body; ``None`` for a request without one.
            last_event: Number of the last event had, for a stream that goes on.
        """

    @abstractmethod
    def decode_answer(self, status: int, headers: Headers) -> RunnerAnswer:
        """Decode the status and headers of a runner's answer."""

    @abstractmethod
    def encode_report_request(self, address: str, name: str) -> tuple[bytes, Headers]:
        """Return the target and headers that ask a runner for its report.

        Args:
            name: The runner that is asked; no other one may answer.
        """

    @abstractmethod
    def decode_report(self, status: int, body: bytes) -> RunnerReport | None:
        """Decode a report; ``None`` if it is no engine's."""

    @abstractmethod
    def encode_refusal(self, identity: str, retry_after: float | None) -> Headers:
        """Return the headers of an answer that the relay gives itself."""
