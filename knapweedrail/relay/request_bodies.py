"""Receipt of request bodies, with limits on size and time."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from ..ingress import QuotaExceeded
from ..outcomes import Refusal, RefusalKind
from .refusals import refuse

SLOW_BODY_RETRY_AFTER_SECONDS = 1.0
"""Retry-after time, in seconds, for a caller whose body arrived too slowly, as its link
may be congested."""

NO_MEMORY_RETRY_AFTER_SECONDS = 0.5
"""Retry-after time, in seconds, for a caller for whose request there is no memory. Its
next connection may reach another host."""

Receive = Callable[[], Awaitable[dict[str, Any]]]


class CallerDisconnected(Exception):
    """The caller closed its connection before its body was complete."""


async def receive_body(
    receive: Receive, max_bytes: int, deadline_at: float, announced: int | None = None
) -> bytes | Refusal:
    """Receive a whole request body.

    Args:
        receive: ASGI function of the server.
        max_bytes: Largest allowed size, bytes.
        deadline_at: Deadline of the request, monotonic seconds.
        announced: Length that the caller announces, bytes; ``None`` for chunks.

    Returns:
        The body, or a refusal if it is too large or late, or if the callers' bodies
        have used up the memory for them.

    Raises:
        CallerDisconnected: If the caller disconnects before the body is complete.
    """
    too_large = refuse(RefusalKind.TOO_LARGE, f"over {max_bytes} bytes", None)
    if announced is not None and announced > max_bytes:
        return too_large
    body = bytearray()
    with anyio.move_on_after(deadline_at - time.monotonic()):
        while True:
            try:
                message = await receive()
            except QuotaExceeded:
                return refuse(
                    RefusalKind.FULL,
                    "callers' requests have used up the memory of this host",
                    NO_MEMORY_RETRY_AFTER_SECONDS,
                )
            if message["type"] == "http.disconnect":
                raise CallerDisconnected
            body += message.get("body", b"")
            if len(body) > max_bytes:
                return too_large
            if not message.get("more_body", False):
                return bytes(body)
    return refuse(
        RefusalKind.DEADLINE,
        "the body didn't arrive in time",
        SLOW_BODY_RETRY_AFTER_SECONDS,
    )
