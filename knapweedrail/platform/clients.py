"""HTTP connections to the platform's store."""

from __future__ import annotations

from collections.abc import Mapping

import anyio
import httpx

from ..relay.keepalive import STORE_TIMEOUT_MILLISECONDS, make_socket_options

ANSWER_SECONDS = 1.0
"""Timeout of a call that is answered immediately. The store usually answers within
milliseconds, and a slow store within some hundreds of milliseconds."""

CONNECT_SECONDS = 0.3
"""Timeout of a connection attempt. A lost SYN packet is retransmitted only after a
second, so a new attempt detects the end of a network partition sooner."""

MAX_CONNECTIONS = 8
"""Connections to the store: a few for long-polling watches, the rest for calls."""

IDLE_SECONDS = 60.0
"""Time for which an idle connection is kept open."""

STANDARD_HEADERS = {
    "accept": "*/*",
    "accept-encoding": "gzip, deflate",
    "connection": "keep-alive",
    "user-agent": f"python-httpx/{httpx.__version__}",
}
"""Headers of each request, the same as those of `httpx.AsyncClient`."""


def make_timeout(seconds: float) -> httpx.Timeout:
    """Return the timeouts of a call whose answer may take up to ``seconds``."""
    return httpx.Timeout(seconds, connect=CONNECT_SECONDS)


class StoreClient:
    """An HTTP client of the store that can be retired while calls still use it.

    It sends requests through the transport of ``httpx`` itself. The store needs no
    cookies, redirects or credentials, and `httpx.AsyncClient`, which handles them, uses
    another 0.7 ms of CPU time for each call.

    Args:
        address: ``host:port``.
    """

    def __init__(self, address: str) -> None:
        self._calls = 0
        self._retired = False
        self._base_url = f"http://{address}"
        self._transport = httpx.AsyncHTTPTransport(
            limits=httpx.Limits(
                max_connections=MAX_CONNECTIONS, keepalive_expiry=IDLE_SECONDS
            ),
            socket_options=make_socket_options(STORE_TIMEOUT_MILLISECONDS),
            # The store uses plain HTTP, and loading the public CA certificates would
            # make each start slower.
            verify=False,
        )

    async def request(
        self,
        method: str,
        path: str,
        query: Mapping[str, str] | None = None,
        body: bytes | None = None,
        seconds: float = ANSWER_SECONDS,
    ) -> httpx.Response:
        """Send a request and read the whole answer.

        Args:
            method: Method of the request.
            path: Path of the request.
            query: Query parameters of the request.
            body: A body in JSON, if there is one.
            seconds: Longest wait for each part of the answer.

        Raises:
            httpx.HTTPError: If there is no complete answer.
        """
        headers = STANDARD_HEADERS
        if body is not None:
            headers = headers | {"content-type": "application/json"}
        request = httpx.Request(
            method,
            self._base_url + path,
            params=query or None,
            headers=headers,
            content=body,
            extensions={"timeout": make_timeout(seconds).as_dict()},
        )
        self._calls += 1
        try:
            return await self._send(request)
        finally:
            self._calls -= 1
            await self._close_unused()

    async def _send(self, request: httpx.Request) -> httpx.Response:
        answer = await self._transport.handle_async_request(request)
        answer.request = request
        try:
            await answer.aread()
        except BaseException:
            await answer.aclose()
            raise
        return answer

    async def retire(self) -> None:
        """Close all connections once the last call has ended."""
        self._retired = True
        await self._close_unused()

    async def _close_unused(self) -> None:
        if self._retired and not self._calls:
            with anyio.CancelScope(shield=True):
                await self._transport.aclose()
