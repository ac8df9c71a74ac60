"""A runner as a process: it runs what it is sent, and writes down that it did.

It writes before it answers, so that a run is known though the answer is lost.
"""

from __future__ import annotations

import argparse
import json
import os
import random
import time
from collections.abc import AsyncIterator, Sequence
from pathlib import Path

import anyio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from ..platform import names
from ..servers import HttpServer, ServerLimits
from .records import (
    CACHE_TOKENS,
    CRASHING_BODY,
    CRASHING_PART,
    Kind,
    count_events,
    find_pause,
    find_software_version,
    make_answer,
    make_comment,
    make_event,
    write_line,
)

FULL_SHARE = 0.05
"""Requests that are rejected for want of room."""

FAIL_SHARE = 0.03
"""Requests that run and fail."""

CRASHED = 70
"""Exit code of a runner that a request has crashed."""

CRASH_SECONDS = 0.05
"""Time from the first event to the crash."""

WORK_SECONDS = (0.002, 0.05)
"""How long a plain call takes."""


class Runner:
    """One runner.

    Args:
        name: Its name in the list of runners.
        runs: File in which it writes what it ran.
        seed: Decides what it rejects and fails.
        started: When it started, Unix milliseconds.
    """

    def __init__(self, name: str, runs: Path, seed: int, started: int) -> None:
        self._name = name
        self._started = started
        self._runs = runs
        self._rng = random.Random(seed)
        methods = ["GET", "POST"]
        self.app = Starlette(routes=[Route("/{path:path}", self._run, methods=methods)])

    async def _run(self, request: Request) -> Response:
        identity = request.headers.get(_text(names.REQUEST_ID), "")
        headers = {_text(names.REQUEST_ID): identity}
        if self._is_other(request):
            headers[_text(names.RUNNER_ID)] = self._name
            return Response(status_code=421, headers=headers)
        if request.url.path == _text(names.REPORT_TARGET):
            report = {names.REPORT_MEMORY: CACHE_TOKENS, names.STARTED: self._started}
            return JSONResponse(report)
        if self._rng.random() < FULL_SHARE:
            headers[_text(names.NOT_RUN)] = "1"
            return Response(status_code=503, headers=headers)
        crashes = find_crashing(await request.body(), _read_prompt(request))
        first = int(request.headers.get(_text(names.LAST_EVENT), "0")) + 1
        line = {
            "identity": identity,
            "runner": self._name,
            "account": request.headers.get(_text(names.ACCOUNT), ""),
            "at": time.monotonic(),
            "first": first,
            "started": self._started,
            "crashes": crashes,
        }
        write_line(self._runs, line)
        headers[_text(names.SEAL)] = self._name
        if crashes:
            return self._crash(request, identity, headers)
        if self._rng.random() < FAIL_SHARE:
            return Response(b"failed", 500, headers)
        if request.url.path.startswith(("/stream/", "/resumed/")):
            return StreamingResponse(
                self._make_events(
                    request.headers.get(_text(names.RESUMES), identity), first
                ),
                headers=headers,
                media_type="text/event-stream",
            )
        await anyio.sleep(self._rng.uniform(*WORK_SECONDS))
        return Response(make_answer(identity, Kind.SAFE), 200, headers)

    def _crash(
        self, request: Request, identity: str, headers: dict[str, str]
    ) -> Response:
        """End this process, after the first event if the answer is a stream."""
        if not request.url.path.startswith(("/stream/", "/resumed/")):
            os._exit(CRASHED)

        async def send_first() -> AsyncIterator[bytes]:
            yield make_event(identity, 1)
            await anyio.sleep(CRASH_SECONDS)
            os._exit(CRASHED)

        return StreamingResponse(
            send_first(), headers=headers, media_type="text/event-stream"
        )

    def _is_other(self, request: Request) -> bool:
        meant = request.headers.get(_text(names.EXPECT_RUNNER))
        return meant is not None and meant != self._name

    async def _make_events(self, identity: str, first: int) -> AsyncIterator[bytes]:
        comment = make_comment(find_software_version(self._started))
        for number in range(first, count_events(identity) + 1):
            yield comment + make_event(identity, number)
            await anyio.sleep(find_pause(identity))


def find_crashing(body: bytes, prompt: list[str]) -> str:
    """Return what in a request crashes runners; empty if nothing does."""
    if body.startswith(CRASHING_BODY):
        return body.decode("latin-1")
    found = [part for part in prompt[:-1] if part.startswith(CRASHING_PART)]
    return found[0].partition(":")[0] if found else ""


def _read_prompt(request: Request) -> list[str]:
    return request.headers.get(_text(names.PROMPT_PREFIX), "").split(",")


def _text(name: bytes) -> str:
    return name.decode("latin-1")


async def serve(runner: Runner) -> None:
    """Serve until the process is ended, and tell the port."""
    async with anyio.create_task_group() as group:
        server = HttpServer(runner.app, "127.0.0.1:0", ServerLimits())
        await server.start(group)
        port = int(server.address.rpartition(":")[2])
        print(json.dumps({"port": port}), flush=True)


def main(argv: Sequence[str] | None = None) -> None:
    """Run one runner."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--runs", required=True, type=Path)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--started", type=int, default=0)
    arguments = parser.parse_args(argv)
    runner = Runner(arguments.name, arguments.runs, arguments.seed, arguments.started)
    anyio.run(serve, runner)


if __name__ == "__main__":
    main()
