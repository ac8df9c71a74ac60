"""Callers of a run: they send requests to all relays, and note what they get."""

from __future__ import annotations

import random
import re
import time
from typing import Any

import anyio
import attrs
import httpx

from ..platform import names
from .records import MOST_EVENTS, ROUTE_VERSIONS, History, Kind, Sent, find_pause
from .worlds import HOST, RelayHost, World

EXTRA_SECONDS = 0.5
"""How much longer than the route's own time a caller waits."""

LEAVE_SHARE = 0.05
"""Requests whose caller leaves after a moment."""

LEAVE_SECONDS = 0.15

WRITTEN = "http11.send_request_body.complete"
"""Step of the client library that ends as the last byte of a request is written."""

PROBE_SHARE = 0.1
"""Requests on a route that only the newest versions have, or have no more."""

REMOVED_SHARE = 0.3
"""Of these, the requests on the route that was removed last."""

EVENT = re.compile(rb"id: (\d+)\n[^\n]*\n\n")

RETURN_SECONDS = (0.02, 0.5)
"""Bounds of the pause before a caller resumes a stream that broke."""

PROMPTS = (20, 400)
"""Bounds of a prompt's tokens."""


class Callers:
    """Sends requests as they come due.

    Args:
        world: The fleet.
        history: Where requests and answers are noted.
        rng: Draws what is sent where.
        rate: Requests a second.
        longest_pause: Of the streams that are asked for, between two events, seconds.
    """

    def __init__(
        self,
        world: World,
        history: History,
        rng: random.Random,
        rate: float,
        longest_pause: float,
    ) -> None:
        self._world = world
        self._history = history
        self._rng = rng
        self._rate = rate
        self._longest_pause = longest_pause
        self._count = 0

    async def run(self, seconds: float) -> None:
        """Send requests for so long, and wait for the last answers."""
        end = time.monotonic() + seconds
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=50)
        # Connections are kept and used again, whatever has been asked of the process at
        # their other end; none of the callers heeds what a balancer would.
        async with (
            httpx.AsyncClient(limits=limits, timeout=None) as client,
            anyio.create_task_group() as group,
        ):
            while time.monotonic() < end:
                group.start_soon(self._send, client)
                await anyio.sleep(self._rng.expovariate(self._rate))

    async def _send(self, client: httpx.AsyncClient) -> None:
        self._count += 1
        rng = self._rng
        host = rng.choice(self._world.relays)
        kind = rng.choice(list(Kind))
        path = f"/{kind.value}/x"
        if rng.random() < PROBE_SHARE:
            kind = Kind.SAFE
            path = f"/v{self._choose_version()}/x"
        account = rng.choice(list(self._world.prepaid))
        sent = Sent(
            identity=self._draw_identity(),
            kind=kind,
            account=account,
            path=path,
            relay=host.name,
            life=host.life,
            prompt=rng.randint(*PROMPTS),
            most_output=MOST_EVENTS if kind.streams else 0,
            sent_at=time.monotonic(),
            ended_at=0.0,
            status=0,
            whole=False,
            body=b"",
        )
        leaves = rng.random() < LEAVE_SHARE
        limit = LEAVE_SECONDS if leaves else kind.timeout + EXTRA_SECONDS
        with anyio.move_on_after(limit):
            got = await self._call(client, host, sent)
            if kind is Kind.RESUMED and got.status == 200 and not got.whole:
                await self._resume(client, got)

    async def _resume(self, client: httpx.AsyncClient, broken: Sent) -> None:
        """Take up a stream that broke, at any relay."""
        received = EVENT.findall(broken.body)
        if not received:
            return
        await anyio.sleep(self._rng.uniform(*RETURN_SECONDS))
        host = self._rng.choice(self._world.relays)
        again = attrs.evolve(
            broken,
            identity=self._draw_identity(),
            relay=host.name,
            life=host.life,
            sent_at=time.monotonic(),
            status=0,
            body=b"",
            resumes=broken.identity,
            last_event=int(received[-1]),
        )
        await self._call(client, host, again)

    def _choose_version(self) -> int:
        newest = self._world.version
        removed = newest - ROUTE_VERSIONS
        if removed > 0 and self._rng.random() < REMOVED_SHARE:
            return removed
        return newest

    def _draw_identity(self) -> str:
        while True:
            identity = f"{self._rng.getrandbits(48):012x}-{self._count}"
            if find_pause(identity) <= self._longest_pause:
                return identity

    async def _call(
        self, client: httpx.AsyncClient, host: RelayHost, sent: Sent
    ) -> Sent:
        limit = sent.kind.timeout + EXTRA_SECONDS
        headers = {
            "host": HOST,
            names.REQUEST_ID.decode(): sent.identity,
            names.KEY.decode(): f"key-{sent.account}",
            names.DEADLINE.decode(): str(round(1000 * limit)),
            names.TOKENS.decode(): f"{sent.prompt},{sent.most_output}",
        }
        if sent.resumes:
            headers[names.RESUMES.decode()] = sent.resumes
            headers[names.LAST_EVENT.decode()] = str(sent.last_event)
        body = bytearray()
        status = 0
        whole = False
        connected = left = True
        reset = False
        url = host.url + sent.path
        written_at: float | None = None

        async def note_step(name: str, info: dict[str, Any]) -> None:
            nonlocal written_at
            if name == WRITTEN:
                written_at = time.monotonic()

        extensions = {"trace": note_step}
        try:
            async with client.stream(
                "POST", url, headers=headers, content=b"x", extensions=extensions
            ) as got:
                status = got.status_code
                async for chunk in got.aiter_raw():
                    body += chunk
                whole = True
                left = False
        except httpx.HTTPError as error:
            # What came of the answer is noted all the same; the judge says whether
            # the relay may have broken it off.
            connected = not isinstance(error, httpx.ConnectError)
            reset = status == 0 and was_reset(error)
            left = False
        finally:
            noted = attrs.evolve(
                sent,
                status=status,
                whole=whole,
                body=bytes(body),
                connected=connected,
                left=left,
                reset=reset,
                written_at=written_at,
                ended_at=time.monotonic(),
            )
            self._history.sent.append(noted)
        return noted


def was_reset(error: BaseException | None) -> bool:
    """Return whether a call failed as the other end reset its connection."""
    while error is not None:
        if isinstance(error, ConnectionResetError):
            return True
        error = error.__cause__ or error.__context__
    return False
