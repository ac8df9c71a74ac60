"""Stand-in of a model engine that streams tokens in the chat-completions shape."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator, Sequence

import anyio
import attrs
import orjson
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from .generation import Batch, Faults, Run, make_token
from .serving import (
    RunCounts,
    build_parser,
    lose_answer,
    serve_app,
    update_faults,
)

DEFAULT_MAX_TOKENS = 2048

CALLER_CHECK_SECONDS = 0.05
"""Time between two looks whether the caller of a whole answer is still there."""

FOREIGN_IDENTITY = "nobody:another-request"
"""Owner of the chunks that are mixed into streams on purpose."""

STOP = "stop"
LENGTH = "length"


class EngineStandin:
    """The engine's HTTP API over a `Batch`."""

    def __init__(self, faults: Faults, counts_file: str | None) -> None:
        self.faults = faults
        self.counts = RunCounts(counts_file)
        self.batch = Batch(faults, self.counts)
        self.refused = 0
        self.leaving_since = 0.0
        self.leaving_arrivals: list[float] = []
        self._clients: set[tuple] = set()
        self._silent: set[tuple] = set()
        self._report: dict = {"as_of": 0.0}
        self._group: anyio.abc.TaskGroup | None = None

    def build_app(self) -> Starlette:
        """Return the HTTP application."""
        return Starlette(
            routes=[
                Route("/v1/chat/completions", self._complete, methods=["POST"]),
                Route("/v1/cancel", self._cancel, methods=["POST"]),
                Route("/load", self._show_load),
                Route("/usage", self._show_usage),
                Route("/fence", self._set_fence, methods=["POST"]),
                Route("/counts", self._show_counts),
                Route("/faults", self._set_faults, methods=["POST"]),
            ]
        )

    async def serve(self, port: int) -> None:
        """Serve until the process is ended."""
        async with anyio.create_task_group() as self._group:
            await serve_app(self.build_app(), port)

    async def _complete(self, request: Request) -> Response:
        await self._keep_silence(request)
        body = orjson.loads(await request.body())
        identity = request.headers.get("X-Request-Identity", "")
        resume = request.headers.get("X-Resume-Offset")
        if resume is not None:
            run = self.batch.runs.get(identity)
            if run is None:
                return JSONResponse({"error": "no such run"}, 404)
            return self._stream(request, run, int(resume))
        refusal = self._refuse(request)
        if refusal is not None:
            self.refused += 1
            return refusal
        run = self._start_run(request, identity, body)
        if body.get("stream"):
            return self._stream(request, run, 0)
        return await self._answer_whole(request, run)

    async def _keep_silence(self, request: Request) -> None:
        """Never answer on a connection that has been told to fall silent."""
        client = tuple(request.scope["client"])
        self._clients.add(client)
        if client in self._silent:
            await anyio.sleep_forever()

    def _refuse(self, request: Request) -> Response | None:
        if self.faults.leaving:
            self.leaving_arrivals.append(time.time() - self.leaving_since)
            if not self.faults.accepts_leaving:
                return JSONResponse({"error": "leaving"}, 503)
        holder = request.headers.get("X-Holder", "")
        number = int(request.headers.get("X-Fencing-Number", 0))
        if self.faults.checks_fencing and not self.batch.accept_fence(holder, number):
            return JSONResponse({"error": "old fencing number"}, 412)
        if self.batch.is_full():
            return JSONResponse({"error": "full"}, 503)
        return None

    def _start_run(self, request: Request, identity: str, body: dict) -> Run:
        words = [
            word
            for message in body["messages"]
            for word in str(message.get("content", "")).split()
        ]
        limit = body.get("max_tokens") or DEFAULT_MAX_TOKENS
        run = Run(identity, request.headers.get("X-Holder", ""), words, limit)
        self.batch.runs[identity] = run
        priority = int(request.headers.get("X-Priority", 0))
        self._group.start_soon(self.batch.execute, run, priority)
        return run

    def _stream(self, request: Request, run: Run, offset: int) -> Response:
        client = tuple(request.scope["client"])
        mixed = self.faults.mix > 0
        self.faults.mix -= mixed
        chunks = self._write_events(run, offset, client, mixed)
        return StreamingResponse(chunks, media_type="text/event-stream")

    async def _write_events(
        self, run: Run, offset: int, client: tuple, mixed: bool
    ) -> AsyncIterator[bytes]:
        run.followers += 1
        try:
            index = offset
            while await run.wait(index):
                if client in self._silent:
                    await anyio.sleep_forever()
                # All that is there goes out at once, as a late reader needs less
                # of this process's time that way.
                ready = range(index, run.tokens)
                pieces = [
                    _write_event(i, _make_chunk(run.identity, i, run)) for i in ready
                ]
                if mixed and 1 in ready:
                    place = ready.index(1)
                    foreign = _make_chunk(FOREIGN_IDENTITY, place)
                    pieces.insert(place, _write_event(1, foreign))
                yield b"".join(pieces)
                index = ready.stop
            if not run.scope.cancel_called:
                yield b"data: [DONE]\n\n"
        finally:
            self._leave(run)

    async def _answer_whole(self, request: Request, run: Run) -> Response:
        run.followers += 1
        try:
            if not await _wait_for_end(request, run) or run.scope.cancel_called:
                return lose_answer(request.scope)
            if tuple(request.scope["client"]) in self._silent:
                await anyio.sleep_forever()
        finally:
            self._leave(run)
        text = "".join(make_token(run.identity, i) for i in range(run.tokens))
        message = {"role": "assistant", "content": text}
        choice = {"index": 0, "message": message, "finish_reason": _get_reason(run)}
        answer = {
            "id": run.identity,
            "object": "chat.completion",
            "choices": [choice],
            "usage": _make_usage(run),
        }
        return JSONResponse(answer, headers={"X-Request-Identity": run.identity})

    async def _cancel(self, request: Request) -> Response:
        """Stop a run; answer once it generates nothing more, with its usage."""
        run = self.batch.runs.get((await request.json())["identity"])
        if run is None:
            return JSONResponse({"error": "no such run"}, 404)
        run.scope.cancel()
        while not run.done:
            await run.wait(run.tokens)
        return JSONResponse({"usage": _make_usage(run)})

    def _leave(self, run: Run) -> None:
        run.followers -= 1
        if run.followers == 0 and not run.done:
            self._group.start_soon(self.batch.cancel_unfollowed, run)

    async def _show_load(self, request: Request) -> Response:
        now = time.time()
        if now - self._report["as_of"] >= self.faults.load_lag:
            self._report = {
                "running": self.batch.running,
                "queued": self.batch.queued,
                "slots": self.faults.slots,
                "as_of": now,
                "leaving": self.faults.leaving,
            }
        return JSONResponse(self._report)

    async def _show_usage(self, request: Request) -> Response:
        holder = request.query_params.get("holder", "")
        tokens = {
            run.identity: self.counts.tokens[run.identity]
            for run in self.batch.runs.values()
            if run.holder == holder
        }
        return JSONResponse({"tokens": tokens})

    async def _set_fence(self, request: Request) -> Response:
        body = await request.json()
        self.batch.accept_fence(body["holder"], int(body["number"]))
        return Response()

    async def _show_counts(self, request: Request) -> Response:
        counts = {
            "requests": self.counts.to_dict(),
            "refused": self.refused,
            "leaving_arrivals": self.leaving_arrivals,
        }
        return JSONResponse(counts)

    async def _set_faults(self, request: Request) -> Response:
        """Change how the engine behaves; ``silence`` silences open connections."""
        changes = await request.json()
        if changes.pop("silence", False):
            self._silent |= self._clients
        if changes.get("leaving") and not self.faults.leaving:
            self.leaving_since = time.time()
        update_faults(self.faults, changes)
        return JSONResponse(attrs.asdict(self.faults))


async def _wait_for_end(request: Request, run: Run) -> bool:
    """Wait for the run's end; ``False`` when the caller has gone before."""

    async def watch_caller(scope: anyio.CancelScope) -> None:
        while not await request.is_disconnected():
            await anyio.sleep(CALLER_CHECK_SECONDS)
        scope.cancel()

    async with anyio.create_task_group() as group:
        group.start_soon(watch_caller, group.cancel_scope)
        while not run.done:
            await run.wait(run.tokens)
        group.cancel_scope.cancel()
    return run.done


def _make_chunk(identity: str, index: int, run: Run | None = None) -> dict:
    choice = {"index": 0, "delta": {"content": make_token(identity, index)}}
    chunk = {"id": identity, "object": "chat.completion.chunk", "choices": [choice]}
    if run is not None and index + 1 == run.length:
        choice["finish_reason"] = _get_reason(run)
        chunk["usage"] = _make_usage(run)
    return chunk


def _get_reason(run: Run) -> str:
    return LENGTH if run.length >= run.limit else STOP


def _make_usage(run: Run) -> dict[str, int]:
    prompt = len(run.words) if run.started else 0
    return {
        "prompt_tokens": prompt,
        "completion_tokens": run.tokens,
        "total_tokens": prompt + run.tokens,
    }


def _write_event(index: int, chunk: dict) -> bytes:
    return b"id: %d\ndata: %s\n\n" % (index, orjson.dumps(chunk))


def main(argv: Sequence[str] | None = None) -> None:
    """Run the engine's stand-in."""
    parser = build_parser(__doc__)
    parser.add_argument("--counts-file", help="also append the counts to this file")
    for field in attrs.fields(Faults):
        option = "--" + field.name.replace("_", "-")
        if field.default is False:
            parser.add_argument(option, action="store_true")
        else:
            parser.add_argument(option, type=type(field.default), default=field.default)
    arguments = vars(parser.parse_args(argv))
    faults = Faults(**{f.name: arguments[f.name] for f in attrs.fields(Faults)})
    standin = EngineStandin(faults, arguments["counts_file"])
    anyio.run(standin.serve, arguments["port"])


if __name__ == "__main__":
    main()
