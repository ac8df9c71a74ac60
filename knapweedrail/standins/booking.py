"""Stand-in of a plain service whose calls may not be repeated."""

from __future__ import annotations

import os
import time
from collections.abc import Sequence

import anyio
import attrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from .serving import (
    RunCounts,
    build_parser,
    lose_answer,
    serve_app,
    update_faults,
)

METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"]

CRASH_STATUS = 70
"""Exit code of a crash on purpose."""


@attrs.define
class Faults:
    """What goes wrong at present.

    Attributes:
        delay: Seconds before a call runs; it runs even if its caller is gone.
        answer_delay: Seconds between the run and the answer.
        lose: Calls that run and whose connection closes without an answer.
        refuse: Calls that get 503 without a run.
        crash: End the process right after the next run.
        leaving: What the load report says.
    """

    delay: float = 0.0
    answer_delay: float = 0.0
    lose: int = 0
    refuse: int = 0
    crash: bool = False
    leaving: bool = False


class BookingStandin:
    """A plain service that counts its runs by request identity."""

    def __init__(self, slots: int, counts_file: str | None) -> None:
        self.slots = slots
        self.faults = Faults()
        self.counts = RunCounts(counts_file)
        self.running = 0

    def build_app(self) -> Starlette:
        """Return the HTTP application."""
        return Starlette(
            routes=[
                Route("/load", self._show_load),
                Route("/counts", self._show_counts),
                Route("/faults", self._set_faults, methods=["POST"]),
                Route("/{path:path}", self._run, methods=METHODS),
            ]
        )

    async def _run(self, request: Request) -> Response:
        if self.faults.refuse > 0:
            self.faults.refuse -= 1
            return Response(status_code=503)
        identity = request.headers.get("X-Request-Identity", "")
        body = await request.body()
        self.running += 1
        await anyio.sleep(self.faults.delay)
        self.counts.add(identity, 1, 0)
        if self.faults.crash:
            os._exit(CRASH_STATUS)
        await anyio.sleep(self.faults.answer_delay)
        self.running -= 1
        if self.faults.lose > 0:
            self.faults.lose -= 1
            return lose_answer(request.scope)
        answer = {
            "identity": identity,
            "method": request.method,
            "path": request.path_params["path"],
            "bytes": len(body),
            "run": self.counts.runs[identity],
        }
        return JSONResponse(answer, headers={"X-Request-Identity": identity})

    async def _show_load(self, request: Request) -> Response:
        report = {
            "running": self.running,
            "queued": 0,
            "slots": self.slots,
            "as_of": time.time(),
            "leaving": self.faults.leaving,
        }
        return JSONResponse(report)

    async def _show_counts(self, request: Request) -> Response:
        return JSONResponse({"requests": self.counts.to_dict()})

    async def _set_faults(self, request: Request) -> Response:
        update_faults(self.faults, await request.json())
        return JSONResponse(attrs.asdict(self.faults))


def main(argv: Sequence[str] | None = None) -> None:
    """Run the booking service's stand-in."""
    parser = build_parser(__doc__)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--counts-file", help="also append the counts to this file")
    arguments = parser.parse_args(argv)
    standin = BookingStandin(arguments.slots, arguments.counts_file)
    anyio.run(serve_app, standin.build_app(), arguments.port)


if __name__ == "__main__":
    main()
