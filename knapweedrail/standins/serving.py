"""What all stand-ins share: a server on a port of the kernel's choice, and counts."""

from __future__ import annotations

import argparse
import json
import os
import socket
from collections import Counter
from typing import Any

import anyio
import orjson
from hypercorn.asyncio import serve
from hypercorn.config import Config
from hypercorn.protocol.events import StreamClosed
from starlette.applications import Starlette
from starlette.responses import Response

LOCALHOST = "127.0.0.1"

BACKLOG = 1024
"""Connections that wait to be accepted; load runs open hundreds at once."""

KEEP_ALIVE_SECONDS = 600
"""Idle connections stay open, so that only a fault of a test ends one."""

NO_ANSWER = "no_answer"
"""Key in a request's scope: close the connection without an answer."""


def build_parser(description: str) -> argparse.ArgumentParser:
    """Make a parser with the options of every stand-in."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--port", type=int, default=0, help="0: the kernel chooses")
    return parser


def print_ready(**ports: int) -> None:
    """Tell the starting process, in one JSON line, where this one listens."""
    print(orjson.dumps(ports).decode(), flush=True)


def lose_answer(scope: dict[str, Any]) -> Response:
    """Return a response in whose place the connection closes without a byte."""
    scope[NO_ANSWER] = True
    return Response()


class AnswerLoser:
    """ASGI application that closes the connection where `lose_answer` asks for it.

    An error or an early return would make the server answer 500, and a caller
    could tell that from an answer lost on the way.
    """

    def __init__(self, app: Starlette) -> None:
        self.app = app

    async def __call__(self, scope: dict, receive: Any, send: Any) -> None:
        async def send_unless_lost(message: dict) -> None:
            if not scope.get(NO_ANSWER):
                await send(message)

        await self.app(scope, receive, send_unless_lost)
        if scope.get(NO_ANSWER):
            stream = send.__self__
            stream.closed = True
            await stream.send(StreamClosed(stream_id=stream.stream_id))


async def serve_app(app: Starlette, port: int) -> None:
    """Listen, print the port, and serve until the process is ended."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Accepted sockets inherit it; the event loop doesn't set it on them.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.bind((LOCALHOST, port))
    listener.listen(BACKLOG)
    config = Config()
    config.bind = [f"fd://{listener.detach()}"]
    config.backlog = BACKLOG
    config.errorlog = None
    config.keep_alive_timeout = KEEP_ALIVE_SECONDS
    config.keep_alive_max_requests = 1_000_000_000
    print_ready(port=_read_port(config.bind[0]))
    await serve(AnswerLoser(app), config, shutdown_trigger=anyio.sleep_forever)


def _read_port(bind: str) -> int:
    descriptor = os.dup(int(bind.removeprefix("fd://")))
    with socket.socket(fileno=descriptor) as copy:
        return copy.getsockname()[1]


class RunCounts:
    """Runs and tokens by request identity, whether or not an answer arrived.

    Args:
        path: File to which each count is also appended at once, so that the
            counts outlive a crash of this process; ``None`` for no file.
    """

    def __init__(self, path: str | None = None) -> None:
        self.runs: Counter[str] = Counter()
        self.tokens: Counter[str] = Counter()
        self._file = open(path, "ab", buffering=0) if path else None

    def add(self, identity: str, runs: int, tokens: int) -> None:
        """Count runs and tokens of one request identity."""
        self.runs[identity] += runs
        self.tokens[identity] += tokens
        if self._file is not None:
            line = {"identity": identity, "runs": runs, "tokens": tokens}
            self._file.write(orjson.dumps(line) + b"\n")

    def to_dict(self) -> dict[str, dict[str, int]]:
        """Return the counts by identity."""
        return {
            identity: {"runs": self.runs[identity], "tokens": self.tokens[identity]}
            for identity in self.runs
        }


def read_counts_file(path: str | os.PathLike) -> dict[str, dict[str, int]]:
    """Add up the counts that a stand-in appended, over all its lives."""
    counts: dict[str, dict[str, int]] = {}
    if not os.path.exists(path):
        return counts
    with open(path, encoding="utf-8") as file:
        for line in file:
            entry = json.loads(line)
            place = counts.setdefault(entry["identity"], {"runs": 0, "tokens": 0})
            place["runs"] += entry["runs"]
            place["tokens"] += entry["tokens"]
    return counts


def update_faults(faults: object, changes: dict[str, Any]) -> None:
    """Set the attributes of ``faults`` that ``changes`` names.

    Raises:
        ValueError: If a name isn't a fault of this stand-in; a misspelt one
            would make a test pass without its fault.
    """
    for name, value in changes.items():
        if not hasattr(faults, name):
            raise ValueError(f"no fault {name!r}")
        setattr(faults, name, value)
