"""Stand-in of the platform's object API, with outages and lost answers."""

from __future__ import annotations

import functools
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence

import anyio
import attrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from .serving import build_parser, lose_answer, serve_app, update_faults

MAX_VALUE_BYTES = 1_000_000
"""Largest object; a larger one is answered with 413."""

RATE_WINDOW_SECONDS = 1.0

Handler = Callable[[Request], Awaitable[Response]]


@attrs.define
class Faults:
    """What goes wrong at present.

    Attributes:
        outage: Answer every call with 503, without doing it.
        delay: Seconds before a call takes effect. The call takes effect even
            when its caller has given up by then.
        answer_delay: Seconds between the effect and the answer.
        lose: Writes that take effect and whose connection then closes without
            an answer; counts down.
        lose_prefix: Only writes of keys with this prefix lose their answer.
        stale: Reads that get the value before the last write; counts down.
        rate: Calls a second, above which calls get 429; 0 for no limit.
    """

    outage: bool = False
    delay: float = 0.0
    answer_delay: float = 0.0
    lose: int = 0
    lose_prefix: str = ""
    stale: int = 0
    rate: int = 0


@attrs.frozen
class Stored:
    """An object; a deleted one keeps its place with no value."""

    value: bytes | None
    version: int


ABSENT = Stored(None, 0)


class Store:
    """Objects with versions out of one rising revision."""

    def __init__(self) -> None:
        self.revision = 0
        self._objects: dict[str, Stored] = {}
        self._previous: dict[str, Stored] = {}
        self._changed = anyio.Event()

    def read(self, key: str, stale: bool = False) -> Stored:
        """Return the object, or with ``stale`` its value before the last write."""
        source = self._previous if stale else self._objects
        return source.get(key, ABSENT)

    def get_version(self, key: str) -> int:
        """Return the version against which a condition is judged; 0: missing."""
        stored = self.read(key)
        return 0 if stored.value is None else stored.version

    def write(self, key: str, value: bytes | None) -> int:
        """Put ``value``, or delete with ``None``; return the new version."""
        self.revision += 1
        self._previous[key] = self.read(key)
        self._objects[key] = Stored(value, self.revision)
        self.wake()
        return self.revision

    def list(self, prefix: str, after: int | None = None) -> dict:
        """Return objects below ``prefix``, or all changes after a revision."""
        changes = []
        for key, stored in sorted(self._objects.items()):
            live = stored.value is not None
            wanted = live if after is None else stored.version > after
            if key.startswith(prefix) and wanted:
                version = stored.version if live else 0
                changes.append({"key": key, "version": version})
        return {"revision": self.revision, "changes": changes}

    async def wait(self) -> None:
        """Wait until something may have changed."""
        await self._changed.wait()

    def wake(self) -> None:
        """Wake all watches."""
        self._changed.set()
        self._changed = anyio.Event()


class PlatformStandin:
    """The platform's HTTP API over a `Store`."""

    def __init__(self) -> None:
        self.store = Store()
        self.faults = Faults()
        self.calls: Counter[str] = Counter()
        self.hosts: list[dict] = []
        self._window_start = 0.0
        self._window_calls = 0

    def build_app(self) -> Starlette:
        """Return the HTTP application."""
        key = "/objects/{key:path}"
        return Starlette(
            routes=[
                Route(key, self._wrap("read", self._read), methods=["GET"]),
                Route(key, self._wrap("write", self._write), methods=["PUT"]),
                Route(key, self._wrap("delete", self._write), methods=["DELETE"]),
                Route("/objects", self._wrap("list", self._list)),
                Route("/watch", self._wrap("watch", self._watch)),
                Route("/hosts", self._wrap("hosts", self._list_hosts)),
                Route("/hosts", self._set_hosts, methods=["POST"]),
                Route("/faults", self._set_faults, methods=["POST"]),
                Route("/counts", self._show_counts),
            ]
        )

    def _wrap(self, kind: str, handler: Handler) -> Handler:
        """Count the calls of a handler and put them through the faults."""

        @functools.wraps(handler)
        async def handle(request: Request) -> Response:
            self._count(kind, request)
            if self._is_above_rate():
                return Response(status_code=429)
            if self.faults.outage:
                return Response(status_code=503)
            await anyio.sleep(self.faults.delay)
            response = await handler(request)
            await anyio.sleep(self.faults.answer_delay)
            return response

        return handle

    def _count(self, kind: str, request: Request) -> None:
        key = request.path_params.get("key") or request.query_params.get("prefix", "")
        self.calls[f"{kind} {key.partition('/')[0]}"] += 1

    def _is_above_rate(self) -> bool:
        now = anyio.current_time()
        if now - self._window_start >= RATE_WINDOW_SECONDS:
            self._window_start = now
            self._window_calls = 0
        self._window_calls += 1
        return 0 < self.faults.rate < self._window_calls

    async def _read(self, request: Request) -> Response:
        stale = self.faults.stale > 0
        self.faults.stale -= stale
        stored = self.store.read(request.path_params["key"], stale)
        if stored.value is None:
            return Response(status_code=404)
        return Response(stored.value, headers={"ETag": f'"{stored.version}"'})

    async def _write(self, request: Request) -> Response:
        key = request.path_params["key"]
        value = await request.body() if request.method == "PUT" else None
        if value is not None and len(value) > MAX_VALUE_BYTES:
            return Response(status_code=413)
        version = self.store.get_version(key)
        # From here to the write nothing waits, so the check and the write are one.
        if not _holds(request, version):
            return Response(status_code=409, headers={"ETag": f'"{version}"'})
        written = self.store.write(key, value)
        if self.faults.lose > 0 and key.startswith(self.faults.lose_prefix):
            self.faults.lose -= 1
            return lose_answer(request.scope)
        return Response(headers={"ETag": f'"{written}"'})

    async def _list(self, request: Request) -> Response:
        return JSONResponse(self.store.list(request.query_params.get("prefix", "")))

    async def _watch(self, request: Request) -> Response:
        query = request.query_params
        prefix = query.get("prefix", "")
        after = int(query.get("after", 0))
        with anyio.move_on_after(float(query.get("seconds", 0))):
            while not self.store.list(prefix, after)["changes"]:
                await self.store.wait()
                if self.faults.outage:
                    return Response(status_code=503)
        return JSONResponse(self.store.list(prefix, after))

    async def _list_hosts(self, request: Request) -> Response:
        return JSONResponse({"hosts": self.hosts})

    async def _set_hosts(self, request: Request) -> Response:
        """Take a new list of hosts, which is shown after ``lag`` seconds."""
        body = await request.json()
        await anyio.sleep(body.get("lag", 0.0))
        self.hosts = body["hosts"]
        return Response()

    async def _set_faults(self, request: Request) -> Response:
        update_faults(self.faults, await request.json())
        self.store.wake()
        return JSONResponse(attrs.asdict(self.faults))

    async def _show_counts(self, request: Request) -> Response:
        return JSONResponse(dict(self.calls))


def _holds(request: Request, version: int) -> bool:
    """Say whether the request's condition holds; without one it doesn't."""
    if request.headers.get("If-None-Match") == "*":
        return version == 0
    return version > 0 and request.headers.get("If-Match") == f'"{version}"'


def main(argv: Sequence[str] | None = None) -> None:
    """Run the platform's stand-in."""
    arguments = build_parser(__doc__).parse_args(argv)
    anyio.run(serve_app, PlatformStandin().build_app(), arguments.port)


if __name__ == "__main__":
    main()
