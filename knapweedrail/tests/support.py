"""Callers that retry under the same identity, and the judge of what they got."""

from __future__ import annotations

import json
import time
from collections import defaultdict
from collections.abc import Callable, Sequence
from typing import Any

import anyio
import anyio.to_thread
import attrs
import httpx

from ..ledgers import Ledger, decode_ledger
from ..standins.fleet import (
    ENGINE_ROUTE,
    SERVICE_PRICE,
    SERVICE_ROUTE,
    Fleet,
    Router,
    make_key,
)
from ..standins.generation import make_token
from ..standins.processes import CONDITION_SECONDS, POLL_SECONDS, wait_for

SILENCE_SECONDS = 15.0
"""Longest silence that a caller bears before it gives an attempt up."""

RETRY_SECONDS = 0.2
"""Longest pause of a caller before its next attempt, whatever it is told."""

NOT_RUN = "not run"

BILL_SECONDS = 5.0
"""Longest time from an answer to its bill; routers write several times a second."""


@attrs.frozen
class Attempt:
    """One attempt of a caller.

    Attributes:
        router: Name of the router asked.
        status: HTTP status; 0 when there was none.
        text: What arrived of the answer.
        whole: Whether the answer ended with its end mark.
        problem: The refusal, if it was one.
        usage: The answer's usage, if it was told.
        error: What broke, if something did.
        seconds: How long the attempt took, for reports only.
    """

    router: str
    status: int = 0
    text: str = ""
    whole: bool = False
    problem: dict[str, Any] | None = None
    usage: dict[str, int] | None = None
    error: str = ""
    seconds: float = 0.0


@attrs.define
class Call:
    """A request by its identity, with all its attempts."""

    account: str
    identity: str
    kind: str
    attempts: list[Attempt] = attrs.field(factory=list)

    @property
    def full_identity(self) -> str:
        """The identity under which runners count."""
        return f"{self.account}:{self.identity}"

    @property
    def last(self) -> Attempt:
        """The last attempt."""
        return self.attempts[-1]

    @property
    def refusal(self) -> str:
        """The kind of the last attempt's refusal; empty for none."""
        return (self.last.problem or {}).get("type", "").rpartition(":")[2]

    @property
    def answered(self) -> bool:
        """Whether the caller has its whole answer."""
        return self.last.whole


class Callers:
    """Sends requests and keeps every call for the judge.

    Args:
        fleet: The fleet to call.
        tries: Attempts of one call, each at the next router in turn.
        silence: Seconds of silence after which an attempt is given up.
    """

    def __init__(
        self, fleet: Fleet, tries: int = 8, silence: float = SILENCE_SECONDS
    ) -> None:
        self.fleet = fleet
        self.tries = tries
        self.silence = silence
        self.calls: list[Call] = []

    async def chat(
        self,
        identity: str,
        prompt: str = "when do we travel",
        account: str = "desk",
        routers: Sequence[str] = (),
        **options: Any,
    ) -> Call:
        """Ask the engine's route for a streamed answer, with retries."""
        message = {"role": "user", "content": prompt}
        body = {"model": ENGINE_ROUTE, "messages": [message], "stream": True}
        call = Call(account, identity, "chat")
        await self._retry(call, routers, "/v1/chat/completions", body | options)
        return call

    async def book(
        self,
        identity: str,
        account: str = "desk",
        routers: Sequence[str] = (),
    ) -> Call:
        """Confirm a slot, which must run at most once, with retries."""
        call = Call(account, identity, "book")
        path = f"/services/{SERVICE_ROUTE}/slots/{identity}"
        await self._retry(call, routers, path, {"slot": identity})
        return call

    async def _retry(
        self, call: Call, routers: Sequence[str], path: str, body: dict
    ) -> None:
        self.calls.append(call)
        names = list(routers or self.fleet.routers)
        start = hash_name(call.identity) % len(names)
        for index in range(self.tries):
            router = self.fleet.routers[names[(start + index) % len(names)]]
            call.attempts.append(await self._attempt(call, router, path, body))
            if call.answered or _is_final(call.last):
                return
            await anyio.sleep(_get_pause(call.last))

    async def _attempt(
        self, call: Call, router: Router, path: str, body: dict
    ) -> Attempt:
        headers = {
            "Authorization": f"Bearer {make_key(call.account)}",
            "Idempotency-Key": call.identity,
        }
        if call.kind == "book":
            headers["X-Not-Repeatable"] = "true"
        reading = Reading(router.name)
        try:
            async with httpx.AsyncClient(timeout=self.silence) as client:
                url = router.url + path
                async with client.stream(
                    "POST", url, json=body, headers=headers
                ) as response:
                    await reading.read(response, call.kind)
        except (httpx.HTTPError, KeyError) as error:
            reading.error = repr(error)
        return reading.finish()


class Reading:
    """What one attempt has read so far; a broken one keeps what arrived."""

    def __init__(self, router: str) -> None:
        self.router = router
        self.status = 0
        self.text = ""
        self.whole = False
        self.problem: dict[str, Any] | None = None
        self.usage: dict[str, int] | None = None
        self.error = ""
        self.seconds = 0.0
        self._began = time.monotonic()

    async def read(self, response: httpx.Response, kind: str) -> None:
        """Read an answer or a refusal."""
        self.status = response.status_code
        if "problem" in response.headers.get("Content-Type", ""):
            self.problem = json.loads(await response.aread())
        elif kind == "chat" and self.status == 200:
            await self._read_events(response)
        else:
            self.text = (await response.aread()).decode()
            self.whole = self.status == 200

    async def _read_events(self, response: httpx.Response) -> None:
        event = ""
        async for line in response.aiter_lines():
            name, _, value = line.partition(": ")
            if name == "event":
                event = value
            elif name == "data" and event == "error":
                self.problem = json.loads(value)
            elif line == "data: [DONE]":
                self.whole = True
            elif name == "data":
                self._read_chunk(json.loads(value))

    def _read_chunk(self, chunk: dict[str, Any]) -> None:
        for choice in chunk["choices"]:
            self.text += choice["delta"].get("content") or ""
        self.usage = chunk.get("usage") or self.usage

    def finish(self) -> Attempt:
        """Return the attempt."""
        self.seconds = time.monotonic() - self._began
        names = (field.name for field in attrs.fields(Attempt))
        return Attempt(**{name: getattr(self, name) for name in names})


async def wait_until(condition: Callable[[], Any], what: str) -> None:
    """Wait until ``condition`` gives something true, while callers go on.

    Raises:
        AssertionError: If it gives nothing true in time.
    """
    with anyio.move_on_after(CONDITION_SECONDS):
        while not await anyio.to_thread.run_sync(condition):
            await anyio.sleep(POLL_SECONDS)
        return
    raise AssertionError(f"waited {CONDITION_SECONDS} s in vain for {what}")


def hash_name(name: str) -> int:
    """Return a number for a name, the same in every run."""
    return sum((index + 1) * ord(letter) for index, letter in enumerate(name))


def _is_final(attempt: Attempt) -> bool:
    """Say whether coming back can't help."""
    problem = attempt.problem
    return problem is not None and problem.get("retry_after_seconds") is None


def _get_pause(attempt: Attempt) -> float:
    told = (attempt.problem or {}).get("retry_after_seconds") or RETRY_SECONDS
    return min(told, RETRY_SECONDS)


def make_answer(call: Call, tokens: int) -> str:
    """Return the only right answer of this length to a call."""
    return "".join(make_token(call.full_identity, index) for index in range(tokens))


def check_outcomes(callers: Callers) -> list[str]:
    """Compare what callers got with what runners counted.

    Args:
        callers: The callers, with all calls.

    Returns:
        What is wrong, one sentence each; empty when all is right.
    """
    counts = callers.fleet.read_counts()
    faults = _check_spend(callers.fleet, counts)
    for call in callers.calls:
        runs = counts.get(call.full_identity, {"runs": 0})["runs"]
        faults += _check_answers(call)
        if call.kind == "book" and runs > 1:
            faults.append(f"{call.full_identity} ran {runs} times")
        if runs and _is_not_run(call):
            faults.append(f"{call.full_identity} ran, and was told as not run")
        if call.answered and not runs:
            faults.append(f"{call.full_identity} was answered without a run")
    return faults


def _check_spend(fleet: Fleet, counts: dict[str, dict[str, int]]) -> list[str]:
    spent: dict[str, int] = defaultdict(int)
    for identity, count in counts.items():
        spent[identity.partition(":")[0]] += count["tokens"]
    faults = []
    for account, tokens in spent.items():
        limit = fleet.plan.accounts.get(account, 0) + fleet.top_ups.get(account, 0)
        if tokens > limit:
            faults.append(f"{account} spent {tokens} tokens of {limit}")
    return faults


def _check_answers(call: Call) -> list[str]:
    faults = []
    for attempt in call.attempts:
        if call.kind == "book":
            right = not attempt.whole or call.full_identity in attempt.text
        else:
            right = _is_own_answer(call, attempt)
        if not right:
            name = call.full_identity
            faults.append(f"{name} got {attempt.text!r} (whole: {attempt.whole})")
    return faults


def _is_own_answer(call: Call, attempt: Attempt) -> bool:
    """Say whether the text is the call's own answer, or the start of it."""
    received = attempt.text.count(" ")
    if attempt.text != make_answer(call, received):
        return False
    if not attempt.whole:
        return True
    return attempt.usage is not None and (
        attempt.usage["completion_tokens"] == received
    )


def _is_not_run(call: Call) -> bool:
    """Say whether every attempt was told that it didn't run."""
    return all((a.problem or {}).get("ran") == NOT_RUN for a in call.attempts)


def read_ledgers(fleet: Fleet) -> list[Ledger]:
    """Read all ledgers from the platform, past the proxy and its faults."""
    found = fleet.platform.get("/objects?prefix=ledger/")["changes"]
    base = f"http://{fleet.platform.address}/objects/"
    values = [httpx.get(base + change["key"]).content for change in found]
    return [decode_ledger(value) for value in values]


def check_bills(callers: Callers) -> list[str]:
    """Compare bills with answers; bills may follow answers by a moment.

    Returns:
        What is wrong, one sentence each; empty when all is right.
    """
    try:
        wait_for(lambda: not _find_bill_faults(callers), "bills", BILL_SECONDS)
    except AssertionError:
        return _find_bill_faults(callers)
    return []


def _find_bill_faults(callers: Callers) -> list[str]:
    ledgers = read_ledgers(callers.fleet)
    bills = {key: bill for ledger in ledgers for key, bill in ledger.bills.items()}
    faults = []
    for call in callers.calls:
        bill = bills.get(call.full_identity)
        if call.answered and bill is None:
            faults.append(f"{call.full_identity} was answered and isn't billed")
        elif call.answered and bill.tokens != _get_price(call):
            faults.append(f"{call.full_identity} is billed {bill.tokens} tokens")
    billed = sum(b.billed for item in ledgers for b in item.budgets.values())
    total = sum(bill.tokens for bill in bills.values())
    if billed != total:
        faults.append(f"{billed} tokens are billed, by identity only {total}")
    return faults


def _get_price(call: Call) -> int:
    if call.kind == "book":
        return SERVICE_PRICE
    return call.last.usage["total_tokens"]
