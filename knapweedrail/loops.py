"""What the event loop itself finds wrong, as log events."""

from __future__ import annotations

import asyncio
from typing import Any

from .events import Event, log_event


def log_loop_errors() -> None:
    """Have the running loop write its errors to the log, instead of tracebacks.

    What goes wrong without it: a server that closes cancels the task of each open
    connection, and the loop's own callback for that task takes the cancellation for an
    error. Whoever stopped a process in good order read a dozen tracebacks.
    """
    asyncio.get_running_loop().set_exception_handler(_handle_error)


def _handle_error(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    error = context.get("exception")
    if isinstance(error, asyncio.CancelledError):
        # Asked for by whoever cancelled it, and nothing else follows from it.
        return
    log_event(Event.LOOP_ERROR, message=context.get("message"), error=repr(error))
