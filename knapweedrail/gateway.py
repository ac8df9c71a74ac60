"""What callers see: chat completions, models and plain services over HTTP."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import aclosing
from typing import Any

import anyio
import orjson
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route as Path

from .answers import Answers, Item
from .calls import Generation, Visit
from .checks import GatewayLimits, RequestChecker
from .followers import Head
from .measures import Measures
from .models import ENGINE, Route
from .outcomes import Ran, Refusal, RefusalKind
from .problems import find_status, render_headers, render_problem
from .renderings import END_EVENT, assemble_answer, render_chunk, render_error
from .runs import Chunk, End
from .views import View

METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]

STATUS_GONE = 499
"""Status of an answer whose caller has gone; nobody sees it but the log."""

RETURN_SECONDS = 1.0
STOPPING_RETURN_SECONDS = 1.0
"""The balancer sends the next try to another host."""


class Gateway:
    """The application that answers callers.

    Args:
        answers: Gives the answers of runs.
        view: Returns what of the configuration is served now.
        measures: Metrics.
        limits: Limits on callers.
    """

    def __init__(
        self,
        answers: Answers,
        view: Callable[[], View],
        measures: Measures,
        limits: GatewayLimits,
    ) -> None:
        self.stopping = False
        self.under_way = 0
        self._idle = anyio.Event()
        self._answers = answers
        self._view = view
        self._measures = measures
        self._limits = limits
        self._checker = RequestChecker(view, limits)
        self._app = Starlette(
            routes=[
                Path("/v1/chat/completions", self._generate, methods=["POST"]),
                Path("/v1/models", self._list_models, methods=["GET"]),
                Path("/services/{route}", self._visit, methods=METHODS),
                Path("/services/{route}/{rest:path}", self._visit, methods=METHODS),
            ]
        )

    async def __call__(self, scope: dict, receive: Any, send: Any) -> None:
        """Answer one request; counted until its last byte has been handed on."""
        if scope["type"] != "http":
            await self._app(scope, receive, send)
            return
        refusal = self._refuse_entry()
        app = self._app if refusal is None else _respond(refusal)
        self.under_way += 1
        try:
            await app(scope, receive, send)
        finally:
            self.under_way -= 1
            if not self.under_way:
                self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until no answer is under way."""
        while self.under_way:
            self._idle = anyio.Event()
            await self._idle.wait()

    async def _generate(self, request: Request) -> Response:
        answer = await self._answer_generation(request)
        return _respond(answer) if isinstance(answer, Refusal) else answer

    async def _answer_generation(self, request: Request) -> Response | Refusal:
        began = time.monotonic()
        call = await self._checker.check_generation(request)
        if isinstance(call, Refusal):
            self._count("generation", "", call.kind.value)
            return call
        return await _until_gone(request, self._open_generation(call, began))

    async def _open_generation(
        self, call: Generation, began: float
    ) -> Response | Refusal:
        items = self._answers.give(call)
        first = await anext(items)
        if isinstance(first, Refusal):
            self._count("generation", call.route.name, first.kind.value)
            return first
        if call.streamed:
            # From here the library itself ends the stream when the caller goes.
            return StreamingResponse(
                self._stream(call, items, began), media_type="text/event-stream"
            )
        return await self._assemble(call, items, began)

    async def _stream(
        self, call: Generation, items: AsyncIterator[Item], began: float
    ) -> AsyncIterator[bytes]:
        outcome = "cut"
        count = 0
        async with aclosing(items):
            async for item in items:
                match item:
                    case Chunk(offset, data):
                        if not count:
                            self._note_first_byte(call.route, began)
                        count += 1
                        yield render_chunk(offset, data)
                    case End():
                        outcome = "whole"
                        yield END_EVENT
                    case Refusal():
                        outcome = item.kind.value
                        yield render_error(item)
        self._measures.chunks.add(count, {"route": call.route.name})
        self._count("generation", call.route.name, outcome)

    async def _assemble(
        self, call: Generation, items: AsyncIterator[Item], began: float
    ) -> Response | Refusal:
        chunks: list[bytes] = []
        async with aclosing(items):
            async for item in items:
                if isinstance(item, Chunk):
                    chunks.append(item.data)
                elif isinstance(item, Refusal):
                    self._count("generation", call.route.name, item.kind.value)
                    return item
        self._note_first_byte(call.route, began)
        self._measures.chunks.add(len(chunks), {"route": call.route.name})
        self._count("generation", call.route.name, "whole")
        return Response(assemble_answer(chunks), media_type="application/json")

    async def _visit(self, request: Request) -> Response:
        answer = await self._answer_visit(request)
        return _respond(answer) if isinstance(answer, Refusal) else answer

    async def _answer_visit(self, request: Request) -> Response | Refusal:
        began = time.monotonic()
        call = await self._checker.check_visit(request)
        if isinstance(call, Refusal):
            self._count("service", "", call.kind.value)
            return call
        return await _until_gone(request, self._open_visit(call, began))

    async def _open_visit(self, call: Visit, began: float) -> Response | Refusal:
        head = Head(200, "")
        body: list[bytes] = []
        items = self._answers.give(call)
        async with aclosing(items):
            async for item in items:
                match item:
                    case Head():
                        head = item
                    case Chunk(_, data):
                        body.append(data)
                    case Refusal():
                        self._count("service", call.route.name, item.kind.value)
                        return item
        self._note_first_byte(call.route, began)
        self._count("service", call.route.name, "whole")
        headers = {"Content-Type": head.content_type} if head.content_type else {}
        return Response(b"".join(body), head.status, headers)

    async def _list_models(self, request: Request) -> Response:
        account = self._checker.authenticate(request)
        if isinstance(account, Refusal):
            return _respond(account)
        configuration = self._view().configuration
        kinds = {item.name: item.kind for item in configuration.endpoints}
        models = [
            {"id": route.name, "object": "model", "owned_by": "knapweedrail"}
            for route in configuration.routes
            if kinds[route.endpoint] == ENGINE
        ]
        document = {"object": "list", "data": models}
        return Response(orjson.dumps(document), media_type="application/json")

    def _note_first_byte(self, route: Route, began: float) -> None:
        seconds = time.monotonic() - began
        self._measures.first_byte.record(seconds, {"route": route.name})

    def _count(self, kind: str, route: str, outcome: str) -> None:
        labels = {"kind": kind, "route": route, "outcome": outcome}
        self._measures.requests.add(1, labels)

    def _refuse_entry(self) -> Refusal | None:
        if self.stopping:
            return Refusal(
                "gateway.enter",
                "router",
                "this router is stopping; others of its data centre serve",
                RefusalKind.STOPPING,
                Ran.NOT_RUN,
                STOPPING_RETURN_SECONDS,
            )
        if self.under_way >= self._limits.max_connections:
            return Refusal(
                "gateway.enter",
                "router",
                f"{self.under_way} requests are under way in this router",
                RefusalKind.FULL,
                Ran.NOT_RUN,
                RETURN_SECONDS,
            )
        return None


async def _until_gone(
    request: Request, answering: Coroutine[Any, Any, Response | Refusal]
) -> Response | Refusal:
    """Prepare an answer until it is there or its caller has gone.

    Without it a caller that hangs up while it waits for its first byte would leave a
    run behind that nobody reads.
    """
    answers: list[Response | Refusal] = []

    async def watch() -> None:
        while (await request.receive())["type"] != "http.disconnect":
            pass
        group.cancel_scope.cancel()

    async with anyio.create_task_group() as group:
        group.start_soon(watch)
        answers.append(await answering)
        group.cancel_scope.cancel()
    return answers[0] if answers else Response(status_code=STATUS_GONE)


def _respond(refusal: Refusal) -> Response:
    return Response(
        render_problem(refusal), find_status(refusal), render_headers(refusal)
    )
