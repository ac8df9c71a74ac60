"""Reading the head of a runner's answer among bytes that are passed on unchanged."""

from __future__ import annotations

import h11

from .codecs import Codec
from .connections import HEADER_BYTES
from .models import RunnerAnswer


class AnswerHeadParser:
    """Parses the head of the first answer on a connection.

    Args:
        codec: Decodes its headers.
    """

    def __init__(self, codec: Codec) -> None:
        self._codec = codec
        self._parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=HEADER_BYTES
        )
        # The parser accepts an answer only after a request.
        self._parser.send(h11.Request(method="GET", target="/", headers=[("host", "")]))
        self._finished = False
        self._bytes_left = HEADER_BYTES

    def feed(self, data: bytes) -> RunnerAnswer | None:
        """Return the answer's head if these bytes complete it."""
        if self._finished:
            return None
        if not self._bytes_left:
            # Whoever gets the bytes rejects such a head.
            self._finished = True
            return None
        data = data[: self._bytes_left]
        self._bytes_left -= len(data)
        self._parser.receive_data(data)
        try:
            event = self._parser.next_event()
            while isinstance(event, h11.InformationalResponse):
                event = self._parser.next_event()
        except h11.RemoteProtocolError:
            # Whoever gets the bytes rejects them.
            self._finished = True
            return None
        if not isinstance(event, h11.Response):
            return None
        self._finished = True
        return self._codec.decode_answer(
            event.status_code, list(event.headers.raw_items())
        )
