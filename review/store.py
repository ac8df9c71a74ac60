"""Stand-in of the platform's store: objects, revisions, watches, lost answers."""

from __future__ import annotations

import asyncio
import copy
import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

from .http_streams import Request, Response, get_port, serve

PAGE_ENTRIES = 500

Spec = dict[str, Any]


class Store:
    """A sound store, except that it can lose answers to writes.

    Attributes:
        loses_answer: Decides from method, kind, name and object whether the answer to
            a write that was done is lost. Its connection returns nothing further.
        lost: Writes whose answer was lost, as ``METHOD kind/name``.
        writes: All writes with a time, as ``(seconds, METHOD kind/name, status)``.
    """

    def __init__(self) -> None:
        self.revision = 10
        self.loses_answer: Callable[[str, str, str, Spec], bool] = lambda *_: False
        self.lost: list[tuple[float, str]] = []
        self.writes: list[tuple[float, str, int]] = []
        self._objects: dict[tuple[str, str], Spec] = {}
        self._raw_specs: dict[tuple[str, str], str] = {}
        self._events: list[tuple[int, str, str]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> int:
        """Listen on a free port and return it."""
        self._server = await serve(self._handle)
        return get_port(self._server)

    def put(self, kind: str, name: str, spec: Any) -> float:
        """Write an object as the operator or a server does; return the time."""
        known = self._objects.get((kind, name))
        self.revision += 1
        created = known["metadata"]["createRev"] if known else self.revision
        self._objects[kind, name] = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "createRev": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self._raw_specs.pop((kind, name), None)
        self._record_event(kind, name, False)
        return asyncio.get_running_loop().time()

    def put_text(self, kind: str, name: str, text: str) -> float:
        """Write an object whose spec is given as JSON text, by another writer."""
        self.put(kind, name, None)
        self._raw_specs[kind, name] = text
        # The event was rendered before the text was known.
        self._events.pop()
        self._record_event(kind, name, False)
        return asyncio.get_running_loop().time()

    def remove(self, kind: str, name: str) -> float:
        """Remove an object; return the time."""
        if (kind, name) in self._objects:
            self.revision += 1
            self._objects[kind, name]["metadata"]["revision"] = self.revision
            self._record_event(kind, name, True)
            del self._objects[kind, name]
            self._raw_specs.pop((kind, name), None)
        return asyncio.get_running_loop().time()

    def read(self, kind: str, name: str) -> Any:
        """Return the spec of an object, or `None`."""
        found = self._objects.get((kind, name))
        return copy.deepcopy(found["spec"]) if found else None

    def list_names(self, kind: str) -> list[str]:
        """Return the names of a kind's objects."""
        return sorted(name for of, name in self._objects if of == kind)

    def _render(self, kind: str, name: str) -> str:
        text = self._raw_specs.get((kind, name))
        found = self._objects[kind, name]
        if text is None:
            return json.dumps(found)
        metadata = json.dumps(found["metadata"])
        return f'{{"metadata":{metadata},"spec":{text},"status":null}}'

    def _record_event(self, kind: str, name: str, removed: bool) -> None:
        flag = json.dumps(removed)
        text = f'{{"removed":{flag},"object":{self._render(kind, name)}}}'
        self._events.append((self.revision, kind, text))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> Response | None:
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        _, _, kind, *rest = parts.path.split("/")
        name = rest[0] if rest else ""
        if request.method == "GET":
            if name:
                return self._answer_get(kind, name)
            if "watch" in query:
                return await self._answer_watch(kind, query)
            return self._answer_list(kind, query.get("after", ""))
        status, text, is_done = self._write(request, kind, name)
        name = name or json.loads(request.body)["metadata"]["name"]
        call = f"{request.method} {kind}/{name}"
        now = asyncio.get_running_loop().time()
        self.writes.append((now, call, status))
        found = self._objects.get((kind, name))
        if is_done and self.loses_answer(request.method, kind, name, found or {}):
            self.lost.append((now, call))
            await asyncio.sleep(3600)
        return _answer(status, text)

    def _answer_get(self, kind: str, name: str) -> Response:
        if (kind, name) not in self._objects:
            return _answer(404, "{}")
        return _answer(200, self._render(kind, name))

    def _answer_list(self, kind: str, after: str) -> Response:
        names = [name for name in self.list_names(kind) if name > after]
        page = names[:PAGE_ENTRIES]
        entries = ",".join(self._render(kind, name) for name in page)
        more = json.dumps(len(names) > len(page))
        return _answer(
            200, f'{{"entries":[{entries}],"morePages":{more},"asOf":{self.revision}}}'
        )

    async def _answer_watch(self, kind: str, query: dict[str, str]) -> Response:
        since = int(query["watch"])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query.get("waitMs", "0")) / 1000
        while True:
            events = [t for at, of, t in self._events if of == kind and at > since]
            left = until - loop.time()
            if events or left <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                pass
        return _answer(200, f'{{"events":[{",".join(events)}],"asOf":{self.revision}}}')

    def _write(self, request: Request, kind: str, name: str) -> tuple[int, str, bool]:
        """Return the status, the answer and whether the write was done."""
        if request.method == "DELETE":
            if (kind, name) not in self._objects:
                return 404, "{}", False
            text = self._render(kind, name)
            self.remove(kind, name)
            return 200, text, True
        body = json.loads(request.body)
        if request.method == "POST":
            name = body["metadata"]["name"]
            if (kind, name) in self._objects:
                return 409, self._render(kind, name), False
            self.put(kind, name, body.get("spec"))
            return 200, self._render(kind, name), True
        found = self._objects.get((kind, name))
        if found is None:
            return 404, "{}", False
        expected = body["metadata"].get("revision")
        if expected is not None and expected != found["metadata"]["revision"]:
            return 409, self._render(kind, name), False
        if found["spec"] != body.get("spec"):
            # A write that changes nothing doesn't raise the revision.
            self.put(kind, name, body.get("spec"))
        return 200, self._render(kind, name), True


def _answer(status: int, text: str) -> Response:
    return Response(status, {"Content-Type": "application/json"}, text.encode())
