"""Stand-in of the platform's store, speaking its published protocol.

It can be away, slow, lose answers and drop its history, by `Misbehaviour`.
"""

from __future__ import annotations

from typing import Any

import anyio
import attrs
import orjson
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

PAGE_ENTRIES = 50
"""Entries of a page; small, so that tests meet a second one."""

MILLISECONDS = 1000


@attrs.define
class Misbehaviour:
    """What the store does wrong; all off at first.

    Attributes:
        away: Whether it answers 503 to everything.
        silent: Whether it takes calls and answers none.
        delay: Time that each call waits, seconds.
        lose_answers: Number of next writes that are done and answered with 500.
        refuse: Number of next calls that are answered with 429.
    """

    away: bool = False
    silent: bool = False
    delay: float = 0.0
    lose_answers: int = 0
    refuse: int = 0


@attrs.define
class _Entry:
    name: str
    revision: int
    created: int
    spec: Any
    status: Any = None

    def render(self) -> dict[str, Any]:
        return {
            "metadata": {
                "name": self.name,
                "revision": self.revision,
                "createRev": self.created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": self.spec,
            "status": self.status,
        }


class ObjectStore:
    """The store's state, and the application that serves it."""

    def __init__(self) -> None:
        self.misbehaviour = Misbehaviour()
        self.revision = 1
        self.calls = 0
        self._entries: dict[tuple[str, str], _Entry] = {}
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._oldest = 0
        self._changed = anyio.Event()
        self._losses = 0
        self.app = Starlette(
            routes=[
                Route("/objects/{kind}", self._list, methods=["GET"]),
                Route("/objects/{kind}", self._create, methods=["POST"]),
                Route("/objects/{kind}/{name}", self._get, methods=["GET"]),
                Route("/objects/{kind}/{name}", self._replace, methods=["PUT"]),
                Route("/objects/{kind}/{name}", self._delete, methods=["DELETE"]),
            ]
        )

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object, as the operator or a runner would."""
        self.revision += 1
        known = self._entries.get((kind, name))
        created = known.created if known else self.revision
        entry = _Entry(name, self.revision, created, spec)
        self._entries[kind, name] = entry
        self._note(kind, entry, False)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        entry = self._entries.pop((kind, name), None)
        if entry is not None:
            self.revision += 1
            entry.revision = self.revision
            self._note(kind, entry, True)

    def read(self, kind: str, name: str) -> Any:
        """Return what an object holds, or ``None``."""
        entry = self._entries.get((kind, name))
        return entry.spec if entry else None

    def compact(self) -> None:
        """Drop the history of all changes."""
        self._oldest = self.revision
        self._events.clear()
        self._tell()

    def lose_waiting(self) -> None:
        """Never answer the watches that wait now."""
        self._losses += 1

    def _note(self, kind: str, entry: _Entry, removed: bool) -> None:
        self._events.append((self.revision, kind, entry.render(), removed))
        self._tell()

    def _tell(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def _refuse(self) -> Response | None:
        self.calls += 1
        if self.misbehaviour.silent:
            await anyio.sleep_forever()
        if self.misbehaviour.delay:
            await anyio.sleep(self.misbehaviour.delay)
        if self.misbehaviour.away:
            return _answer(503, {})
        if self.misbehaviour.refuse:
            self.misbehaviour.refuse -= 1
            return _answer(429, {})
        return None

    async def _list(self, request: Request) -> Response:
        refused = await self._refuse()
        if refused:
            return refused
        kind = request.path_params["kind"]
        if "watch" in request.query_params:
            return await self._watch(kind, request)
        after = request.query_params.get("after", "")
        names = sorted(n for k, n in self._entries if k == kind and n > after)
        page = names[:PAGE_ENTRIES]
        body = {
            "entries": [self._entries[kind, name].render() for name in page],
            "morePages": len(names) > len(page),
            "asOf": self.revision,
        }
        return _answer(200, body)

    async def _watch(self, kind: str, request: Request) -> Response:
        since = int(request.query_params["watch"])
        wait = int(request.query_params.get("waitMs", "0")) / MILLISECONDS
        losses = self._losses
        with anyio.move_on_after(wait):
            while since >= self._oldest and not self._find_events(kind, since):
                await self._changed.wait()
        if losses != self._losses:
            await anyio.sleep_forever()
        if since < self._oldest:
            return _answer(410, {})
        events = self._find_events(kind, since)
        return _answer(200, {"events": events, "asOf": self.revision})

    def _find_events(self, kind: str, since: int) -> list[dict[str, Any]]:
        return [
            {"object": entry, "removed": removed}
            for revision, of_kind, entry, removed in self._events
            if of_kind == kind and revision > since
        ]

    async def _get(self, request: Request) -> Response:
        refused = await self._refuse()
        if refused:
            return refused
        entry = self._find(request)
        return _answer(200, entry.render()) if entry else _answer(404, {})

    async def _create(self, request: Request) -> Response:
        refused = await self._refuse()
        if refused:
            return refused
        body = orjson.loads(await request.body())
        kind, name = request.path_params["kind"], body["metadata"]["name"]
        known = self._entries.get((kind, name))
        if known is not None:
            return _answer(409, known.render())
        self.put(kind, name, body.get("spec"))
        return self._finish(kind, name, 201)

    async def _replace(self, request: Request) -> Response:
        refused = await self._refuse()
        if refused:
            return refused
        body = orjson.loads(await request.body())
        entry = self._find(request)
        if entry is None:
            return _answer(404, {})
        revision = body["metadata"].get("revision")
        if revision is not None and revision != entry.revision:
            return _answer(409, entry.render())
        kind, name = request.path_params["kind"], entry.name
        if body.get("spec") != entry.spec:
            # A write that changes nothing doesn't raise the revision.
            self.put(kind, name, body.get("spec"))
        return self._finish(kind, name, 200)

    async def _delete(self, request: Request) -> Response:
        refused = await self._refuse()
        if refused:
            return refused
        entry = self._find(request)
        revision = request.query_params.get("revision")
        if entry is not None and revision not in (None, str(entry.revision)):
            return _answer(409, entry.render())
        self.remove(request.path_params["kind"], request.path_params["name"])
        return _answer(200, {})

    def _finish(self, kind: str, name: str, status: int) -> Response:
        if self.misbehaviour.lose_answers:
            self.misbehaviour.lose_answers -= 1
            return _answer(500, {})
        return _answer(status, self._entries[kind, name].render())

    def _find(self, request: Request) -> _Entry | None:
        key = request.path_params["kind"], request.path_params["name"]
        return self._entries.get(key)


def _answer(status: int, body: dict[str, Any]) -> Response:
    return Response(orjson.dumps(body), status, media_type="application/json")
