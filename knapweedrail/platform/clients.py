"""HTTP connections to the platform's store."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator

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


def make_timeout(seconds: float) -> httpx.Timeout:
    """Return the timeouts of a call whose answer may take up to ``seconds``."""
    return httpx.Timeout(seconds, connect=CONNECT_SECONDS)


class StoreClient:
    """An HTTP client of the store that can be retired while calls still use it.

    Args:
        address: ``host:port``.
    """

    def __init__(self, address: str) -> None:
        self._calls = 0
        self._retired = False
        self._http = httpx.AsyncClient(
            base_url=f"http://{address}",
            transport=httpx.AsyncHTTPTransport(
                limits=httpx.Limits(
                    max_connections=MAX_CONNECTIONS, keepalive_expiry=IDLE_SECONDS
                ),
                socket_options=make_socket_options(STORE_TIMEOUT_MILLISECONDS),
                # The store uses plain HTTP, and loading the public CA certificates
                # would make each start slower.
                verify=False,
            ),
            timeout=make_timeout(ANSWER_SECONDS),
            trust_env=False,
        )

    @contextlib.asynccontextmanager
    async def borrow(self) -> AsyncIterator[httpx.AsyncClient]:
        """Provide the client for one call."""
        self._calls += 1
        try:
            yield self._http
        finally:
            self._calls -= 1
            await self._close_unused()

    async def retire(self) -> None:
        """Close all connections once the last call has ended."""
        self._retired = True
        await self._close_unused()

    async def _close_unused(self) -> None:
        if self._retired and not self._calls:
            with anyio.CancelScope(shield=True):
                await self._http.aclose()
