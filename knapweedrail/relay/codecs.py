"""Interface of the codec for callers' requests and runners' answers."""

from __future__ import annotations

from abc import ABC, abstractmethod

from .models import CallerRequest, Malformed, Runner, RunnerAnswer, RunnerReport

Headers = list[tuple[bytes, bytes]]


class Codec(ABC):
    """Translates between HTTP headers and the relay's types."""

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
        priority: int | None,
        body_bytes: int | None,
        last_event: int | None,
    ) -> Headers:
        """Return the headers with which a request goes to a runner.

        Args:
            request: The caller's request.
            runner: The runner that gets it.
            account: Name of the client account; ``None`` without one.
            seconds: Time for which the caller will still wait, seconds.
            priority: Priority in the runner's queue; ``None`` keeps the default.
            body_bytes: Length of the body; ``None`` for a request without one.
            last_event: Number of the last event received, to resume a stream;
                ``None`` otherwise.
        """

    @abstractmethod
    def decode_answer(self, status: int, headers: Headers) -> RunnerAnswer:
        """Decode the status and headers of a runner's answer."""

    @abstractmethod
    def encode_report_request(self, address: str, name: str) -> tuple[bytes, Headers]:
        """Return the request target and headers that ask a runner for its report.

        Args:
            address: Address of the runner, ``host:port``.
            name: Name of the runner; a runner of another name must not answer.
        """

    @abstractmethod
    def decode_report(self, status: int, body: bytes) -> RunnerReport | None:
        """Decode a runner's report; ``None`` if it doesn't come from an engine."""

    @abstractmethod
    def encode_refusal(self, identity: str, retry_after: float | None) -> Headers:
        """Return the headers of an answer that the relay itself gives.

        Args:
            identity: Identity of the request.
            retry_after: Pause before a retry, seconds; ``None`` to suggest none.
        """
