"""Errors of gRPC calls to the system's other processes."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator

from grpclib.exceptions import GRPCError, StreamTerminatedError


class CallError(Exception):
    """A call failed on the way, or the other process rejected it.

    Args:
        reason: The error that the RPC library raised.

    Attributes:
        rejected: Whether the other process answered with an error, so that the
            connection is in good order.
    """

    def __init__(self, reason: Exception) -> None:
        super().__init__(repr(reason))
        self.rejected = isinstance(reason, GRPCError)


@contextlib.contextmanager
def translate_call_errors() -> Iterator[None]:
    """Raise any error of a call as a `CallError`.

    To be used around calls of the RPC library alone. On a connection that is lost
    between its check and its use, the library raises what its own data structures do,
    AttributeError, AssertionError and KeyError among them, so a list of types would be
    incomplete.

    Raises:
        CallError: For each error but a cancellation.
    """
    cancellations = asyncio.current_task().cancelling()
    try:
        yield
    except Exception as error:
        _undo_cancellation(error, cancellations)
        raise CallError(error) from error


def _undo_cancellation(error: Exception, before: int) -> None:
    """Take back the cancellation by which grpclib ends a call on a broken connection.

    It cancels the calling task, turns that into `StreamTerminatedError` and leaves the
    task marked as being cancelled. Code that counts these marks, such as
    `asyncio.TaskGroup`, would later take its own end for a cancellation from outside.

    Args:
        before: Number of cancellations requested before the call.
    """
    task = asyncio.current_task()
    if isinstance(error, StreamTerminatedError) and task.cancelling() > before:
        task.uncancel()
