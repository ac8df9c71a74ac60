"""Bodies of callers' requests, within the bounds of the configuration."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from ..outcomes import Refusal, RefusalKind
from .refusals import refuse

SLOW_BODY_RETRY_AFTER_SECONDS = 1.0
"""When to come back for a caller whose body was too slow: its link may be full."""

Receive = Callable[[], Awaitable[dict[str, Any]]]


class CallerDisconnected(Exception):
    """The caller has closed its connection."""


async def receive_body(
    receive: Receive, max_bytes: int, deadline_at: float
) -> bytes | Refusal:
    """Receive a whole body.

    Args:
        receive: The server's own function.
        most: Largest size, bytes.
        ends_at: When the caller, or the route, has waited long enough.

    Raises:
        CallerGone: If the caller leaves before it is complete.
    """
    parts: list[bytes] = []
    size = 0
    with anyio.move_on_after(deadline_at - time.monotonic()):
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise CallerDisconnected
            parts.append(message.get("body", b""))
            size += len(parts[-1])
            if size > max_bytes:
                return refuse(RefusalKind.TOO_LARGE, f"over {max_bytes} bytes", None)
            if not message.get("more_body", False):
                return b"".join(parts)
    return refuse(
        RefusalKind.DEADLINE,
        "the body didn't arrive in time",
        SLOW_BODY_RETRY_AFTER_SECONDS,
    )
