"""Clients of runners: model engines that stream, and plain services."""

from __future__ import annotations

import contextlib
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

import anyio
import attrs
import httpx
import httpx_sse
import orjson

from .answer_limits import (
    MAX_EVENT_BYTES,
    MAX_RECEIVED_BYTES,
    AnswerMemory,
    LimitedStream,
    limit_body,
)
from .limits import read_rate
from .models import Holder
from .outcomes import Unavailable, Unknown
from .work import LoadReport

IDENTITY_HEADER = "X-Request-Identity"
RESUME_HEADER = "X-Resume-Offset"
HOLDER_HEADER = "X-Holder"
FENCING_HEADER = "X-Fencing-Number"
PRIORITY_HEADER = "X-Priority"

END_MARK = "[DONE]"
"""Data of the event that closes a whole streamed answer."""

CONNECT_SECONDS = 1.0
"""A runner in the same region answers a connection in well under this; longer
means that it is gone, and another runner is tried."""

MAX_CONNECTIONS = 2000
"""Open connections of one client; above what one router relays at once."""

KEEP_ALIVE_SECONDS = 5.0
"""Idle connections are dropped soon, since something between the two ends may
lose track of them and say nothing."""

LOAD_SECONDS = 1.0
CANCEL_SECONDS = 1.0
"""Time for a report of load, and for the answer to a cancellation."""

HEAD_FACTOR = 2.0
"""Longest wait for the head of an answer, as a multiple of the longest silence. A
runner that sends informational answers without end is never silent."""

MAX_STATUS = 599
"""Largest status code (RFC 9110, section 15)."""

HTTP_OK = 200
HTTP_MISSING = 404
HTTP_FENCED = 412
HTTP_BUSY = 503


@attrs.frozen
class EngineCall:
    """One run asked of an engine.

    Attributes:
        identity: ``<account>:<identity>``, by which the engine knows the run.
        body: The request in the chat-completions shape.
        priority: Lower runs first.
        holder: The router's present life; its incarnation is the fencing number.
    """

    identity: str
    body: bytes
    priority: int
    holder: Holder


@attrs.frozen
class ServiceCall:
    """One call of a plain service."""

    identity: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    repeatable: bool


@attrs.frozen
class Usage:
    """Tokens that a run used, by the engine's own count."""

    prompt_tokens: int
    completion_tokens: int

    @property
    def total(self) -> int:
        """Prompt and answer together."""
        return self.prompt_tokens + self.completion_tokens


@attrs.frozen
class Piece:
    """One chunk of a streamed answer, in order.

    Attributes:
        offset: Index of the chunk in the answer, from 0.
        data: The chunk as the engine sent it.
        usage: The engine's count, on the last chunk.
    """

    offset: int
    data: bytes
    usage: Usage | None = None


@dataclass(frozen=True)
class Completed:
    """The end mark arrived: the answer is whole."""


@dataclass(frozen=True)
class Rejected(Unavailable):
    """The runner said that it won't run this; another one may.

    Attributes:
        leaving: It refused because it leaves or is full.
    """

    leaving: bool = False


@dataclass(frozen=True)
class Silent(Unknown):
    """Nothing came for longer than the bound on silence."""


@dataclass(frozen=True)
class RunLost(Unknown):
    """The runner has no memory of the run that was to be resumed."""


@dataclass(frozen=True)
class Crossed(Unknown):
    """The answer carried another request's identity."""


@dataclass(frozen=True)
class Invalid(Unavailable):
    """The runner found fault with the request itself.

    Attributes:
        status: Its HTTP status.
        body: What it said.
    """

    status: int = 400
    body: bytes = b""


StreamItem = Piece | Completed | Unavailable | Unknown


@attrs.frozen
class ServiceAnswer:
    """A plain service's whole answer."""

    status: int
    content_type: str
    body: bytes


class RunnerClient(ABC):
    """What every kind of runner answers.

    Args:
        silence_seconds: Longest silence while an answer is due.
        memory: Accounts for answers that aren't complete.
    """

    def __init__(
        self, silence_seconds: float, memory: AnswerMemory | None = None
    ) -> None:
        self.silence_seconds = silence_seconds
        self._memory = memory or AnswerMemory(MAX_RECEIVED_BYTES)
        self._client: httpx.AsyncClient | None = None

    async def start(self) -> None:
        """Open the connection pool."""
        self._client = self._open(KEEP_ALIVE_SECONDS, MAX_CONNECTIONS)

    async def close(self) -> None:
        """Close all connections."""
        if self._client is not None:
            await self._client.aclose()
            self._client = None

    async def load(self, address: str) -> LoadReport | Unavailable:
        """Ask a runner for its load."""
        url = f"http://{address}/load"
        try:
            response = await self._fetch("GET", url, timeout=LOAD_SECONDS)
            report = LoadReport(**orjson.loads(response.content))
            limit = None if report.limit is None else read_rate(str(report.limit))
            return attrs.evolve(report, limit=limit)
        except (httpx.HTTPError, TypeError, ValueError) as error:
            return Unavailable("runner.load", address, repr(error))

    async def _fetch(
        self, method: str, url: str, timeout: float | None = None, **options: Any
    ) -> httpx.Response:
        """Send a request and return its whole answer.

        Raises:
            httpx.HTTPError: If there is none within the bounds.
        """
        if timeout is not None:
            options["timeout"] = timeout
        async with self._open_answer(self._client, method, url, **options) as response:
            await response.aread()
            return response

    @contextlib.asynccontextmanager
    async def _open_answer(
        self, client: httpx.AsyncClient, method: str, url: str, **options: Any
    ) -> AsyncIterator[httpx.Response]:
        """Send a request and give its answer, whose body is limited.

        Raises:
            httpx.HTTPError: If no valid head comes; informational answers without end
                are none.
        """
        request = client.build_request(method, url, **options)
        response = None
        with anyio.move_on_after(HEAD_FACTOR * self.silence_seconds):
            response = await client.send(request, stream=True)
        if response is None:
            raise httpx.ReadTimeout("no head in time", request=request)
        try:
            if response.status_code > MAX_STATUS:
                detail = f"status {response.status_code}"
                raise httpx.RemoteProtocolError(detail, request=request)
            limit_body(response, self._memory)
            yield response
        finally:
            await response.aclose()

    @abstractmethod
    async def stop(self, address: str, identity: str) -> Usage | None:
        """Cancel a run; the tokens that it used when the runner tells them."""

    def _open(self, keep_alive: float, idle: int) -> httpx.AsyncClient:
        limits = httpx.Limits(
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=idle,
            keepalive_expiry=keep_alive,
        )
        timeout = httpx.Timeout(self.silence_seconds, connect=CONNECT_SECONDS)
        return httpx.AsyncClient(limits=limits, timeout=timeout)


class EngineClient(RunnerClient):
    """Model engines that stream tokens and can resume a broken stream."""

    async def stream(
        self, address: str, call: EngineCall, resume: int | None = None
    ) -> AsyncIterator[StreamItem]:
        """Run a call, or go on with a run from chunk ``resume``.

        The last item is the only one that isn't a `Piece`. `Unavailable` means
        that the runner did nothing for this call; `Unknown` that it may have.
        """
        headers = {
            "Content-Type": "application/json",
            IDENTITY_HEADER: call.identity,
            PRIORITY_HEADER: str(call.priority),
            HOLDER_HEADER: call.holder.name,
            FENCING_HEADER: str(call.holder.incarnation),
        }
        if resume is not None:
            headers[RESUME_HEADER] = str(resume)
        url = f"http://{address}/v1/chat/completions"
        try:
            async with self._open_answer(
                self._client, "POST", url, content=call.body, headers=headers
            ) as response:
                if response.status_code != HTTP_OK:
                    yield await self._explain(response, address, resume)
                    return
                async for item in self._read(response, address, call, resume or 0):
                    yield item
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            yield Unavailable("engine.connect", address, repr(error))
        except httpx.TimeoutException as error:
            yield Silent("engine.stream", address, repr(error))
        except (httpx.HTTPError, httpx_sse.SSEError) as error:
            yield Unknown("engine.stream", address, repr(error))

    async def stop(self, address: str, identity: str) -> Usage | None:
        url = f"http://{address}/v1/cancel"
        content = {"identity": identity}
        try:
            response = await self._fetch(
                "POST", url, timeout=CANCEL_SECONDS, json=content
            )
            if response.status_code != HTTP_OK:
                return None
            return _parse_usage(orjson.loads(response.content)["usage"])
        except (httpx.HTTPError, KeyError, TypeError, ValueError):
            return None

    async def _read(
        self, response: httpx.Response, address: str, call: EngineCall, offset: int
    ) -> AsyncIterator[StreamItem]:
        limited = response.stream
        assert isinstance(limited, LimitedStream)
        limited.max_bytes = MAX_EVENT_BYTES
        async for event in httpx_sse.EventSource(response).aiter_sse():
            limited.restart()
            if event.data == END_MARK:
                yield Completed()
                return
            item = _parse_piece(event, address, call.identity, offset)
            yield item
            if not isinstance(item, Piece):
                return
            offset += 1
        # The connection ended in good order without the end mark: an engine that
        # dies does this. Without the mark the answer is never taken for whole.
        yield Unknown("engine.stream", address, "ended without the end mark")

    async def _explain(
        self, response: httpx.Response, address: str, resume: int | None
    ) -> Unavailable | Unknown:
        body = await response.aread()
        status = response.status_code
        detail = f"status {status}"
        if resume is not None:
            return RunLost("engine.resume", address, detail)
        if status in (HTTP_BUSY, HTTP_FENCED):
            return Rejected("engine.run", address, detail, leaving=status == HTTP_BUSY)
        if 400 <= status < 500:
            return Invalid("engine.run", address, detail, status, body)
        return Unknown("engine.run", address, detail)


class ServiceClient(RunnerClient):
    """Plain services that answer a call as a whole."""

    async def start(self) -> None:
        await super().start()
        # A call that may not be repeated never rides on a connection that has
        # been idle: if the connection was silently lost, the call would end with
        # an unknown outcome, which no retry can mend. A new one fails unsent.
        self._fresh = self._open(0.0, 0)

    async def close(self) -> None:
        await super().close()
        await self._fresh.aclose()

    async def call(
        self, address: str, call: ServiceCall
    ) -> ServiceAnswer | Unavailable | Unknown:
        """Make one call; `Unknown` when it may have run."""
        client = self._client if call.repeatable else self._fresh
        headers = [*call.headers, (IDENTITY_HEADER, call.identity)]
        url = f"http://{address}{call.path}"
        try:
            async with self._open_answer(
                client, call.method, url, content=call.body, headers=headers
            ) as response:
                await response.aread()
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            return Unavailable("service.connect", address, repr(error))
        except httpx.TimeoutException as error:
            return Silent("service.call", address, repr(error))
        except httpx.HTTPError as error:
            return Unknown("service.call", address, repr(error))
        echoed = response.headers.get(IDENTITY_HEADER)
        if echoed is not None and echoed != call.identity:
            return Crossed("service.call", address, f"answer to {echoed}")
        if response.status_code == HTTP_BUSY:
            return Rejected("service.call", address, "status 503", leaving=True)
        content_type = response.headers.get("Content-Type", "application/octet-stream")
        return ServiceAnswer(response.status_code, content_type, response.content)

    async def stop(self, address: str, identity: str) -> Usage | None:
        return None


def _parse_piece(
    event: httpx_sse.ServerSentEvent, address: str, identity: str, offset: int
) -> Piece | Unknown:
    try:
        chunk = orjson.loads(event.data)
        sent_offset = int(event.id) if event.id else offset
        usage = _parse_usage(chunk["usage"]) if chunk.get("usage") else None
        sent_identity = chunk["id"]
    except (KeyError, TypeError, ValueError) as error:
        return Unknown("engine.stream", address, repr(error))
    if sent_identity != identity:
        return Crossed("engine.stream", address, f"chunk of {sent_identity}")
    if sent_offset != offset:
        detail = f"chunk {sent_offset} in place of {offset}"
        return Unknown("engine.stream", address, detail)
    return Piece(offset, event.data.encode(), usage)


def _parse_usage(usage: dict) -> Usage:
    return Usage(int(usage["prompt_tokens"]), int(usage["completion_tokens"]))
