"""Connections to the platform's store."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator

import anyio
import httpx

from ..relay.keepalive import SOCKET_OPTIONS

ANSWER_SECONDS = 1.0
"""Longest wait for an answer that is due at once: the store answers in milliseconds,
and a slow one in some hundreds."""

CONNECT_SECONDS = 0.3
"""Longest wait for a connection. The first packet that is lost is sent again only after
a second, so a new try finds out sooner that a cut has ended."""

MAX_CONNECTIONS = 8
"""Connections to the store: a few waiting watches, and calls beside them."""

IDLE_SECONDS = 60.0
"""How long a connection is kept unused."""


def make_timeout(seconds: float) -> httpx.Timeout:
    """Return limits for the steps of a call that is answered within so long."""
    return httpx.Timeout(seconds, connect=CONNECT_SECONDS)


class StoreClient:
    """An HTTP client of the store that is closed once its last call has ended.

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
                socket_options=SOCKET_OPTIONS,
                # The store speaks plain HTTP, and reading the certificates of public
                # authorities would make each start longer.
                verify=False,
            ),
            timeout=make_timeout(ANSWER_SECONDS),
            trust_env=False,
        )

    @contextlib.asynccontextmanager
    async def borrow(self) -> AsyncIterator[httpx.AsyncClient]:
        """Lend the client for one call."""
        self._calls += 1
        try:
            yield self._http
        finally:
            self._calls -= 1
            await self._close_unused()

    async def retire(self) -> None:
        """Close all connections as soon as no call uses them."""
        self._retired = True
        await self._close_unused()

    async def _close_unused(self) -> None:
        if self._retired and not self._calls:
            with anyio.CancelScope(shield=True):
                await self._http.aclose()
