"""Client of the platform's store over HTTP."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator, Mapping
from typing import Any

import anyio.to_thread
import httpx
import orjson

from ..events import Event, log_event
from ..excerpts import make_excerpt
from ..outcomes import Unavailable, Unknown
from ..relay.stores import (
    Change,
    Changes,
    Conflict,
    HistoryGone,
    Listing,
    Missing,
    Store,
    StoredObject,
    WriteOutcome,
    Written,
)
from .clients import ANSWER_SECONDS, StoreClient
from .pages import parse_page

WATCH_GRACE_SECONDS = 0.3
"""How much later than its own wait time a watch may be answered."""

LARGE_PAGE_BYTES = 128 * 1024
"""Size from which a page is parsed in a thread, so that requests go on meanwhile."""

ALLOW_STALE = {"allowStale": "1"}
"""Query that accepts data some seconds old, at a tenth of the cost."""


class PlatformStore(Store):
    """Client of the platform's store over HTTP.

    Args:
        address: ``host:port``.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._client = StoreClient(address)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.retire()

    async def list_kind(self, kind: str, stale: bool = False) -> Listing | Unavailable:
        objects: list[StoredObject] = []
        base_query = ALLOW_STALE if stale else {}
        query: dict[str, str] = base_query
        revision: int | None = None
        while True:
            page = await self._read("list", f"/objects/{kind}", query, ANSWER_SECONDS)
            if not isinstance(page, dict):
                return self._unavailable("list", page)
            try:
                objects.extend(_decode_objects(page["entries"]))
                if revision is None:
                    # The revision of the first page counts: later pages don't show
                    # what has changed since in the objects of the first one.
                    revision = int(page["asOf"])
                if not page.get("morePages"):
                    return Listing(tuple(objects), revision)
                if query.get("after") == objects[-1].name:
                    return self._unavailable("list", "page without any named object")
                query = base_query | {"after": objects[-1].name}
            except _DECODE_ERRORS as error:
                return self._unavailable("list", error)

    async def watch_kind(
        self, kind: str, revision: int, seconds: float
    ) -> Changes | HistoryGone | Unavailable:
        query = {"watch": str(revision), "waitMs": str(int(seconds * 1000))}
        limit = seconds + WATCH_GRACE_SECONDS
        page = await self._read("watch", f"/objects/{kind}", query, limit)
        if page == httpx.codes.GONE:
            return HistoryGone()
        if not isinstance(page, dict):
            return self._unavailable("watch", page)
        try:
            changes = tuple(_decode_changes(page["events"]))
            return Changes(changes, int(page["asOf"]))
        except _DECODE_ERRORS as error:
            return self._unavailable("watch", error)

    async def peek(self, kind: str, name: str) -> StoredObject | Missing | Unavailable:
        path = f"/objects/{kind}/{name}"
        found = await self._read("peek", path, ALLOW_STALE, ANSWER_SECONDS)
        if found == httpx.codes.NOT_FOUND:
            return Missing()
        if not isinstance(found, dict):
            return self._unavailable("peek", found)
        try:
            return _decode_object(found)
        except _DECODE_ERRORS as error:
            return self._unavailable("peek", error)

    async def create(self, kind: str, name: str, spec: Any) -> WriteOutcome:
        body = {"metadata": {"name": name}, "spec": spec}
        return await self._write("create", "POST", f"/objects/{kind}", body)

    async def replace(
        self, kind: str, name: str, spec: Any, revision: int
    ) -> WriteOutcome:
        body = {"metadata": {"name": name, "revision": revision}, "spec": spec}
        return await self._write("replace", "PUT", f"/objects/{kind}/{name}", body)

    async def delete(self, kind: str, name: str, revision: int) -> WriteOutcome:
        path, query = f"/objects/{kind}/{name}", {"revision": str(revision)}
        try:
            answer = await self._request("DELETE", path, query)
        except httpx.HTTPError as error:
            return Unknown("store.delete", self._address, repr(error))
        if answer.status_code == httpx.codes.NOT_FOUND:
            return Missing()
        if answer.is_success:
            # The answer has no object to decode.
            return Written(revision)
        try:
            return await self._decode_write("delete", answer)
        except _DECODE_ERRORS as error:
            return Unknown("store.delete", self._address, repr(error))

    async def _read(
        self,
        step: str,
        path: str,
        query: dict[str, str],
        seconds: float,
    ) -> dict[str, Any] | int | httpx.HTTPError | ValueError:
        """Return the parsed page, the status of an answer other than 200, or the error.

        Args:
            step: Name of the call.
            path: Path of the request.
            query: Query parameters of the request.
            seconds: Longest wait for each part of the answer. The answer as a whole has
                no limit, since a large one would time out each time over a slow link.
        """
        try:
            answer = await self._request("GET", path, query, seconds=seconds)
            if answer.status_code != httpx.codes.OK:
                return answer.status_code
            return await _parse_page(answer.content)
        except (httpx.HTTPError, ValueError) as error:
            return error

    async def _write(
        self, step: str, method: str, path: str, body: dict[str, Any]
    ) -> WriteOutcome:
        try:
            answer = await self._request(method, path, body=orjson.dumps(body))
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            return self._unavailable(step, error)
        except httpx.HTTPError as error:
            return Unknown(f"store.{step}", self._address, repr(error))
        try:
            return await self._decode_write(step, answer)
        except _DECODE_ERRORS as error:
            return Unknown(f"store.{step}", self._address, repr(error))

    async def _decode_write(self, step: str, answer: httpx.Response) -> WriteOutcome:
        match answer.status_code:
            case 200 | 201:
                stored = _decode_object(await _parse_page(answer.content))
                return Written(stored.revision)
            case 409:
                return Conflict(_decode_object(await _parse_page(answer.content)))
            case 404:
                return Missing()
            case 429 | 503:
                return self._unavailable(step, answer.status_code)
        return Unknown(f"store.{step}", self._address, str(answer.status_code))

    async def _request(
        self,
        method: str,
        path: str,
        query: Mapping[str, str] | None = None,
        body: bytes | None = None,
        seconds: float = ANSWER_SECONDS,
    ) -> httpx.Response:
        """Send a request, and replace the client after a timeout.

        Its other connections may be as unresponsive as that one, and each would delay
        the next call by another timeout.
        """
        client = self._client
        try:
            return await client.request(method, path, query, body, seconds)
        except (httpx.ReadTimeout, httpx.WriteTimeout):
            if client is self._client:
                self._client = StoreClient(self._address)
                await client.retire()
            raise

    def _unavailable(self, step: str, reason: object) -> Unavailable:
        return Unavailable(f"store.{step}", self._address, repr(reason))


_DECODE_ERRORS = (AttributeError, IndexError, KeyError, TypeError, ValueError)
"""Errors while decoding an answer that doesn't have the store's format; such an answer
says nothing about the outcome of the call."""


async def _parse_page(content: bytes) -> Any:
    """Parse a response body without holding up the event loop.

    Raises:
        ValueError: If the body isn't a page or an object.
    """
    if len(content) < LARGE_PAGE_BYTES:
        return parse_page(content)
    return await anyio.to_thread.run_sync(parse_page, content)


def _decode_objects(items: list[dict[str, Any]]) -> Iterator[StoredObject]:
    """Yield the objects of a page; malformed ones are logged and skipped."""
    for item in items:
        with _skip_malformed(item):
            yield _decode_object(item)


def _decode_changes(items: list[dict[str, Any]]) -> Iterator[Change]:
    for item in items:
        with _skip_malformed(item):
            yield Change(_decode_object(item["object"]), bool(item.get("removed")))


@contextlib.contextmanager
def _skip_malformed(item: Any) -> Iterator[None]:
    try:
        yield
    except _DECODE_ERRORS as error:
        log_event(Event.OBJECT_MALFORMED, item=make_excerpt(item), error=repr(error))


def _decode_object(item: dict[str, Any]) -> StoredObject:
    meta = item["metadata"]
    if not isinstance(meta["name"], str):
        raise TypeError(f"object name is not a string: {make_excerpt(meta['name'])}")
    return StoredObject(meta["name"], int(meta["revision"]), item.get("spec"))
