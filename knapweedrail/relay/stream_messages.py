"""Messages between relays about what began streams."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence

import attrs

from ..wire.relays_pb2 import (
    FindStreamReply,
    FindStreamRequest,
    RecordStreamsRequest,
    StreamRecord,
)
from .stream_origins import StreamOrigin


@attrs.frozen
class StreamAnswer:
    """What a relay knows of a stream.

    Attributes:
        origin: What began it; ``None`` if the relay has no record.
        versions: Versions that the endpoints' runners had within a stream's life;
            ``None`` for an unknown one.
        complete: Whether the relay has known the runners for that long.
        earlier: Versions that they had at any time.
        stored: Versions in use that certainly stand in the store.
    """

    origin: StreamOrigin | None
    versions: frozenset[str | None]
    complete: bool
    earlier: frozenset[str] = frozenset()
    stored: frozenset[str] = frozenset()


class StreamRegistry(ABC):
    """Keeps records of streams for other relays."""

    @abstractmethod
    def record_streams(self, origins: Mapping[str, StreamOrigin]) -> None:
        """Keep what began streams at another relay, by the streams' names."""

    @abstractmethod
    def answer_find(self, stream: str, endpoints: Sequence[str]) -> StreamAnswer:
        """Return what is known of a stream that may have begun at some endpoints."""


class NoStreamRegistry(StreamRegistry):
    """Registry of a relay that serves no streams."""

    def record_streams(self, origins: Mapping[str, StreamOrigin]) -> None:
        pass

    def answer_find(self, stream: str, endpoints: Sequence[str]) -> StreamAnswer:
        return StreamAnswer(None, frozenset(), complete=False)


def encode_records(origins: Mapping[str, StreamOrigin]) -> RecordStreamsRequest:
    """Encode what began streams."""
    records = [_encode_record(stream, origin) for stream, origin in origins.items()]
    return RecordStreamsRequest(streams=records)


def decode_records(request: RecordStreamsRequest) -> dict[str, StreamOrigin]:
    """Decode what began streams."""
    return {record.stream: _decode_record(record) for record in request.streams}


def encode_find(stream: str, endpoints: Sequence[str]) -> FindStreamRequest:
    """Encode a question for a stream."""
    return FindStreamRequest(stream=stream, endpoints=endpoints)


def encode_answer(stream: str, answer: StreamAnswer) -> FindStreamReply:
    """Encode what is known of a stream."""
    found = None if answer.origin is None else _encode_record(stream, answer.origin)
    return FindStreamReply(
        found=found,
        versions=sorted(v for v in answer.versions if v is not None),
        unlisted=None in answer.versions,
        complete=answer.complete,
        earlier=sorted(answer.earlier),
        stored=sorted(answer.stored),
    )


def decode_answer(reply: FindStreamReply) -> StreamAnswer:
    """Decode what another relay knows of a stream."""
    versions = set(reply.versions) | ({None} if reply.unlisted else set())
    found = _decode_record(reply.found) if reply.HasField("found") else None
    return StreamAnswer(
        found,
        frozenset(versions),
        reply.complete,
        frozenset(reply.earlier),
        frozenset(reply.stored),
    )


def _encode_record(stream: str, origin: StreamOrigin) -> StreamRecord:
    return StreamRecord(
        stream=stream,
        endpoint=origin.endpoint,
        version=origin.version,
        runner=origin.runner,
    )


def _decode_record(record: StreamRecord) -> StreamOrigin:
    version = record.version if record.HasField("version") else None
    return StreamOrigin(record.endpoint, version, record.runner)
