"""Reading of the event stream of one run."""

from __future__ import annotations

from .connections import ConnectionFailed, RunnerConnection
from .models import Framing
from .response_writer import ResponseWriter
from .streams import (
    END_OF_STREAM,
    EventSplitter,
    InvalidStream,
    NewEvents,
    StreamEvent,
    StreamProgress,
)


class EventReader:
    """Reads the events that a runner sends on a connection.

    Args:
        connection: Connection on which the head of the answer has arrived.
        response: Accounts for the event that isn't complete.
    """

    def __init__(self, connection: RunnerConnection, response: ResponseWriter) -> None:
        self.connection = connection
        self._response = response
        self._reserved_bytes = 0
        self._splitter = EventSplitter()

    @property
    def remainder(self) -> bytes:
        """Bytes after the last complete event."""
        return self._splitter.remainder

    async def receive_new(self, progress: StreamProgress) -> NewEvents:
        """Return the next events that the caller lacks; none at the stream's end.

        Raises:
            ConnectionFailed: If the connection ends before the stream is complete, or
                the runner sends something else than events.
            QuotaExceeded: If there is no memory for an event that isn't complete.
        """
        while chunk := await self.connection.receive_chunk():
            events = progress.select_new(self._split(chunk))
            if events.data:
                return events
        self._check_end()
        return END_OF_STREAM

    def close(self) -> None:
        """Release the memory of an event that isn't complete."""
        self._response.release(self._reserved_bytes)
        self._reserved_bytes = 0

    def _split(self, chunk: bytes) -> list[StreamEvent]:
        try:
            events = self._splitter.feed(chunk)
        except InvalidStream as error:
            raise self._make_error(str(error)) from error
        self._account_for_remainder()
        return events

    def _account_for_remainder(self) -> None:
        added = self._splitter.remainder_bytes - self._reserved_bytes
        if added > 0:
            self._response.reserve(added)
        elif added < 0:
            self._response.release(-added)
        self._reserved_bytes += added

    def _check_end(self) -> None:
        """Raise an error if the stream ended before it was complete.

        A length or chunks show the end of an answer. Without them, the connection of a
        runner that crashes ends like a complete answer, unless it ends in an event.
        """
        if self.connection.framing is not Framing.CONNECTION:
            return
        if not self._splitter.has_events:
            detail = "the connection ended before the first event"
        elif not self._splitter.is_between_events:
            detail = "the connection ended inside an event"
        else:
            return
        raise self._make_error(detail)

    def _make_error(self, detail: str) -> ConnectionFailed:
        return ConnectionFailed(self.connection.address, "body", detail, sent=True)
