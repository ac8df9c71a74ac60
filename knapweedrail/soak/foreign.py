"""Entries of another writer among the runners' entries, and who listens where they say.

Such an entry names no runner to use. Nothing of the system may connect to its address.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import orjson

from ..platform import names

UNREADABLE = b'"\xff\xfe"'
"""Bytes that are no text of any entry, and so make a whole page hard to read."""

LATER_MILLISECONDS = 3_600_000
"""How far in the future a start is that can't be true."""

FIELDS = (
    names.RUNNER_ENDPOINT,
    names.RUNNER_ADDRESS,
    names.RUNNER_DATA_CENTRE,
    names.RUNNER_SLOTS,
    names.RUNNER_STATE,
)

Change = Callable[[dict[str, Any]], Any]


def _replace(field: str, value: Any) -> Change:
    return lambda entry: entry | {field: value}


def _leave_out(field: str) -> Change:
    return lambda entry: {key: entry[key] for key in entry if key != field}


CHANGES: tuple[Change, ...] = (
    *map(_leave_out, FIELDS),
    _replace(names.RUNNER_ENDPOINT, ["engine"]),
    _replace(names.RUNNER_ENDPOINT, "unheard-of"),
    _replace(names.RUNNER_ADDRESS, 8080),
    _replace(names.RUNNER_DATA_CENTRE, 7),
    _replace(names.RUNNER_SLOTS, -1),
    _replace(names.RUNNER_SLOTS, 2**62),
    _replace(names.RUNNER_SLOTS, [8]),
    _replace(names.RUNNER_STATE, "resting"),
    _replace(names.RUNNER_STATE, None),
    _leave_out(names.STARTED),
    _replace(names.STARTED, "yesterday"),
    lambda entry: entry | {names.STARTED: entry[names.STARTED] + 0.5},
    lambda entry: entry | {names.STARTED: entry[names.STARTED] + LATER_MILLISECONDS},
    lambda entry: None,
    lambda entry: [entry],
    lambda entry: "ready",
    lambda entry: orjson.Fragment(UNREADABLE),
)
"""What is wrong with an entry, one thing each."""


def spoil(rng: random.Random, entry: dict[str, Any]) -> Any:
    """Return what another writer could leave in the place of a runner's entry."""
    return rng.choice(CHANGES)(entry)


class Trap:
    """An HTTP application that nobody should find.

    Attributes:
        entries: What was written, by name.
        caught: Requests that came all the same.
    """

    def __init__(self) -> None:
        self.entries: dict[str, Any] = {}
        self.caught: list[str] = []

    async def __call__(self, scope: dict, receive: object, send: Any) -> None:
        """Note a request and reject it."""
        if scope["type"] != "http":
            return
        headers = dict(scope["headers"])
        meant = headers.get(names.EXPECT_RUNNER, b"").decode("latin-1")
        entry = self.entries.get(meant)
        self.caught.append(f"{scope['path']} for {meant}: {entry}")
        lines = [(b"content-length", b"0")]
        await send({"type": "http.response.start", "status": 503, "headers": lines})
        await send({"type": "http.response.body", "body": b""})
