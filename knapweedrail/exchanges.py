"""One request and its answer, accounted for in the lease of its connection."""

from __future__ import annotations

import math
import time
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from .ingress import REQUEST_BYTES, Lease, Phase

LEASE = "lease"
"""Key under which a request's ``state`` has the lease of its connection."""

DISCARDED_BYTES = 262_144
DISCARD_SECONDS = 0.2
"""How much of a refused request's body is read and discarded, and for how long. The
kernel resets a connection that is closed with unread bytes, and the caller may lose the
refusal."""

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


def find_lease(scope: dict[str, Any]) -> Lease | None:
    """Return the lease of a request's connection; ``None`` if none accounts for it."""
    return scope.get("state", {}).get(LEASE)


def find_content_length(scope: dict[str, Any]) -> int | None:
    """Return the announced length of a request's body, bytes; ``None`` without one."""
    for name, value in scope["headers"]:
        if name == b"content-length":
            return int(value)
    return None


def leaves_unread_body(scope: dict[str, Any]) -> bool:
    """Return whether an answer before the end of a request's body closes the
    connection, as more of the body may follow than is discarded."""
    announced = find_content_length(scope)
    if announced is not None:
        return announced > DISCARDED_BYTES
    return any(name == b"transfer-encoding" for name, _ in scope["headers"])


class Exchange:
    """The application's two functions for one request.

    Args:
        scope: The request.
        receive: ASGI function of the server.
        send: ASGI function of the server.
    """

    def __init__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        self._lease: Lease = scope["state"][LEASE]
        self._scope = scope
        self._receive = receive
        self._send = send
        self._announced = find_content_length(scope)
        self._begun = False
        self._received = False
        self._lease.begin_request(time.monotonic())

    async def receive(self) -> dict[str, Any]:
        """Return the server's next message.

        An announced body is accounted for before its first part, and a chunked one as
        it arrives.

        Raises:
            QuotaExceeded: If there is no memory for the request; it may be refused.
        """
        if not self._begun:
            self._begun = True
            now = time.monotonic()
            self._lease.account_for_buffers(now)
            self._lease.reserve(REQUEST_BYTES + (self._announced or 0), now)
        was_received = self._received
        message = await self._receive_next()
        body = message.get("body", b"")
        if body and self._announced is None:
            self._lease.reserve(len(body), time.monotonic())
        if self._received and not was_received and message["type"] == "http.request":
            self._lease.begin_work(time.monotonic())
        return message

    async def _receive_next(self) -> dict[str, Any]:
        message = await self._receive()
        if not self._received and not message.get("more_body", False):
            self._received = True
        return message

    async def send(self, message: dict[str, Any]) -> None:
        """Pass a message to the server.

        Once the application answers, the rest of the body is discarded. Before the last
        message that takes place within limits, so that the caller gets the answer.
        """
        lease = self._lease
        if message["type"] == "http.response.start":
            lease.begin_phase(Phase.SENDING, time.monotonic())
            if not self._received and leaves_unread_body(self._scope):
                message = _announce_close(message)
        else:
            # The clock isn't read for each event of a stream.
            lease.phase = Phase.SENDING
        is_body = message["type"] == "http.response.body"
        if is_body and not message.get("more_body", False):
            await self._send_last(message)
            return
        if self._received:
            await self._send(message)
            lease.phase = Phase.WORKING
            return
        await self._send_and_discard(message)
        lease.phase = Phase.WORKING if self._received else Phase.RECEIVING

    async def _send_last(self, message: dict[str, Any]) -> None:
        if not self._received:
            await self._send_and_discard({**message, "more_body": True})
            message = {"type": "http.response.body", "body": b""}
            with anyio.move_on_after(DISCARD_SECONDS):
                await self._discard(DISCARDED_BYTES)
        await self._send_and_discard(message)

    async def _send_and_discard(self, message: dict[str, Any]) -> None:
        if self._received:
            await self._send(message)
            return
        async with anyio.create_task_group() as group:
            # The server can't end an answer, nor a connection that is lost, while a
            # part of the body waits for the application.
            group.start_soon(self._discard, math.inf)
            await self._send(message)
            group.cancel_scope.cancel()

    async def _discard(self, limit: float) -> None:
        """Read the body until it ends or more than ``limit`` bytes have come."""
        while not self._received and limit >= 0:
            message = await self._receive_next()
            limit -= len(message.get("body", b""))


def _announce_close(message: dict[str, Any]) -> dict[str, Any]:
    """Return the start of an answer that says that the connection is closed."""
    headers = list(message.get("headers", []))
    if (b"connection", b"close") not in headers:
        headers.append((b"connection", b"close"))
    return {**message, "headers": headers}
