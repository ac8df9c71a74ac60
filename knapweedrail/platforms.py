"""The platform's object API: versions, conditional updates, watches and hosts."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any

import attrs
import httpx
import orjson

from .outcomes import (
    Conflict,
    Found,
    Missing,
    ReadOutcome,
    Unavailable,
    Unknown,
    WriteOutcome,
    Written,
)

MAX_VALUE_BYTES = 1_000_000
"""Largest object that the platform holds."""

CREATE = 0
"""Expected version that asks for the object not to exist yet."""

HTTP_OK = 200
HTTP_MISSING = 404
HTTP_CONFLICT = 409
HTTP_SERVER_ERROR = 500


@attrs.frozen
class Change:
    """One change seen by a watch: the key and its version; 0 when deleted."""

    key: str
    version: int


@attrs.frozen
class Changes:
    """Changes after a revision, and the revision to watch from next."""

    revision: int
    changes: tuple[Change, ...]


@attrs.frozen
class Host:
    """A host on the platform's list, which lags.

    Attributes:
        name: The host's name.
        data_centre: The data centre in which it stands.
        state: ``"live"`` or ``"leaving"``.
    """

    name: str
    data_centre: str
    state: str


class Platform(ABC):
    """Client of the platform; every call is one call in the platform's count."""

    async def start(self) -> None:
        """Open what the client needs."""

    async def close(self) -> None:
        """Close what `start` opened."""

    @abstractmethod
    async def read(self, key: str) -> ReadOutcome:
        """Read an object."""

    @abstractmethod
    async def write(self, key: str, value: bytes, expected: int) -> WriteOutcome:
        """Write an object if its version is ``expected`` (`CREATE`: if missing)."""

    @abstractmethod
    async def list(self, prefix: str) -> tuple[Change, ...] | Unavailable:
        """List keys and versions below a prefix."""

    @abstractmethod
    async def watch(
        self, prefix: str, revision: int, seconds: float
    ) -> Changes | Unavailable:
        """Wait up to ``seconds`` for changes below ``prefix`` after ``revision``."""

    @abstractmethod
    async def list_hosts(self) -> tuple[Host, ...] | Unavailable:
        """Read the list of live and leaving hosts; it lags."""


class HttpPlatform(Platform):
    """The platform over HTTP.

    Args:
        base: Base URL of the object API.
        timeout: Seconds to wait for one answer. It bounds how long a caller of
            this client waits and nothing else: a write that timed out is
            `Unknown`, whatever the clock says.
    """

    def __init__(self, base: str, timeout: float = 2.0) -> None:
        self.base = base
        self.timeout = timeout
        self._client: httpx.AsyncClient | None = None

    async def start(self) -> None:
        self._client = httpx.AsyncClient(base_url=self.base, timeout=self.timeout)

    async def close(self) -> None:
        if self._client is not None:
            await self._client.aclose()
            self._client = None

    async def read(self, key: str) -> ReadOutcome:
        response = await self._get("platform.read", f"/objects/{key}")
        if isinstance(response, Unavailable):
            return response
        if response.status_code == HTTP_MISSING:
            return Missing()
        if response.status_code != HTTP_OK:
            return self._fail("platform.read", f"status {response.status_code}")
        return Found(response.content, _parse_version(response))

    async def write(self, key: str, value: bytes, expected: int) -> WriteOutcome:
        if len(value) > MAX_VALUE_BYTES:
            return self._fail("platform.write", f"{key}: {len(value)} bytes")
        headers = {"If-Match": f'"{expected}"'}
        if expected == CREATE:
            headers = {"If-None-Match": "*"}
        try:
            response = await self._client.put(
                f"/objects/{key}", content=value, headers=headers
            )
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            return self._fail("platform.write", repr(error))
        except httpx.HTTPError as error:
            return Unknown("platform.write", self.base, repr(error))
        if response.status_code == HTTP_OK:
            return Written(_parse_version(response))
        if response.status_code == HTTP_CONFLICT:
            return Conflict(_parse_version(response))
        if response.status_code < HTTP_SERVER_ERROR:
            return self._fail("platform.write", f"status {response.status_code}")
        # A gateway's error may hide a write that took effect behind it.
        return Unknown("platform.write", self.base, f"status {response.status_code}")

    async def list(self, prefix: str) -> tuple[Change, ...] | Unavailable:
        response = await self._get("platform.list", "/objects", {"prefix": prefix})
        if isinstance(response, Unavailable):
            return response
        changes = self._parse("platform.list", response, _parse_changes)
        return changes if isinstance(changes, Unavailable) else changes.changes

    async def watch(
        self, prefix: str, revision: int, seconds: float
    ) -> Changes | Unavailable:
        query = {"prefix": prefix, "after": revision, "seconds": seconds}
        # The margin lets the platform's own empty answer arrive first.
        timeout = seconds + self.timeout
        response = await self._get("platform.watch", "/watch", query, timeout)
        if isinstance(response, Unavailable):
            return response
        return self._parse("platform.watch", response, _parse_changes)

    async def list_hosts(self) -> tuple[Host, ...] | Unavailable:
        response = await self._get("platform.hosts", "/hosts")
        if isinstance(response, Unavailable):
            return response
        return self._parse("platform.hosts", response, _parse_hosts)

    def _parse(
        self, step: str, response: httpx.Response, parse: Callable
    ) -> Any | Unavailable:
        """Read an answer's body; one that isn't the platform's counts as none.

        A gateway before the platform, or another process that has got its port,
        answers with a body of its own. Raised here, the error would end the task that
        follows the platform, and the router with it.
        """
        try:
            return parse(response)
        except (ValueError, KeyError, TypeError) as error:
            return self._fail(step, f"status {response.status_code}: {error!r}")

    async def _get(
        self,
        step: str,
        path: str,
        query: dict | None = None,
        timeout: float | None = None,
    ) -> httpx.Response | Unavailable:
        try:
            response = await self._client.get(
                path, params=query, timeout=timeout or self.timeout
            )
        except httpx.HTTPError as error:
            return self._fail(step, repr(error))
        if response.status_code not in (HTTP_OK, HTTP_MISSING):
            return self._fail(step, f"status {response.status_code}")
        return response

    def _fail(self, step: str, detail: str) -> Unavailable:
        return Unavailable(step, self.base, detail)


def _parse_version(response: httpx.Response) -> int:
    return int(response.headers.get("ETag", '"0"').strip('"'))


def _parse_hosts(response: httpx.Response) -> tuple[Host, ...]:
    return tuple(Host(**item) for item in orjson.loads(response.content)["hosts"])


def _parse_changes(response: httpx.Response) -> Changes:
    body = orjson.loads(response.content)
    changes = tuple(Change(item["key"], item["version"]) for item in body["changes"])
    return Changes(body["revision"], changes)
