"""Encodes and decodes the headers of callers' requests and runners' answers."""

from __future__ import annotations

import math
import time
from collections.abc import Callable

import attrs
import orjson

from ..limits import read_rate
from ..relay.codecs import Codec
from ..relay.ledgers import MAX_TOKENS
from ..relay.models import (
    CallerRequest,
    Malformed,
    PromptPart,
    Runner,
    RunnerAnswer,
    RunnerReport,
)
from . import names
from .converters import require_integer
from .entries import MAX_COLD_MILLISECONDS
from .start_times import decode_start_time

UNAVAILABLE = 503
"""Status with which a runner rejects requests, possibly for some time."""

MAX_RETRY_AFTER_SECONDS = 600.0
"""Longest pause that a runner can ask for. Its later answers can't shorten a pause, so
a mistaken one would keep it from its work until it restarts."""

MAX_PROMPT_PARTS = 64
"""Largest number of prompt parts that are read; further ones don't affect routing."""


MAX_TOKEN_DIGITS = 9
"""Longest number of tokens of a prompt part. Python refuses to convert numbers of more
than 4300 digits."""

LOAD_VALUES = 4
"""Values of a load statement that are read; further ones are ignored."""

MAX_STATED_REQUESTS = 1_000_000
MAX_PACE_PERCENT = 100_000
"""Largest values of a valid load statement."""


class PlatformCodec(Codec):
    """Codec for the headers of the platform's callers and runners.

    Args:
        read_clock: Returns the time of day, Unix seconds.
    """

    def __init__(self, read_clock: Callable[[], float] = time.time) -> None:
        self._read_clock = read_clock

    def decode_request(
        self,
        method: str,
        raw_path: bytes,
        query: bytes,
        headers: list[tuple[bytes, bytes]],
    ) -> CallerRequest | Malformed:
        single: dict[bytes, bytes] = {}
        forwarded = []
        hinted: float | None = None
        dropped = (
            names.RESERVED_HEADERS
            | names.HOP_BY_HOP_HEADERS
            | _list_connection_headers(headers)
        )
        for name, value in headers:
            lower = name.lower()
            if lower in _SINGLE_VALUED:
                if lower in single and single[lower] != value:
                    return Malformed(f"two values of {lower.decode()}")
                if lower in single:
                    continue
                single[lower] = value
            if lower == names.LENGTH_HINT:
                hinted = _parse_number(value)
            if lower not in dropped and lower not in _REPLACED:
                forwarded.append((name, value))
        if b"content-length" in single and b"transfer-encoding" in single:
            return Malformed("both a length and a transfer coding")
        host = single.get(b"host", b"").decode("latin-1").rpartition("@")[2].lower()
        host = host if host.startswith("[") else host.partition(":")[0]
        deadline = _parse_number(single.get(names.DEADLINE))
        prompt, output = _parse_token_usage(single.get(names.TOKENS))
        last_event = _parse_number(single.get(names.LAST_EVENT))
        key = single.get(names.KEY)
        resumes = single.get(names.RESUMES, single.get(names.PREFIXED_RESUMES))
        target = raw_path + (b"?" + query if query else b"")
        return CallerRequest(
            identity=single.get(names.REQUEST_ID, b"").decode("latin-1"),
            method=method,
            target=target,
            host=host,
            path=raw_path.decode("latin-1"),
            headers=tuple(forwarded),
            key=None if key is None else key.decode("latin-1").strip(),
            deadline=None if deadline is None else deadline / 1000,
            prompt_tokens=prompt,
            max_output_tokens=output,
            hinted_tokens=hinted,
            parts=_parse_prompt_parts(single.get(names.PROMPT_PREFIX)),
            last_event=None if last_event is None else int(last_event),
            resumes=None if resumes is None else resumes.decode("latin-1").strip(),
            unknown_headers=_list_unknown(forwarded),
        )

    def encode_request(
        self,
        request: CallerRequest,
        runner: Runner,
        account: str | None,
        seconds: float,
        priority: int | None,
        body_bytes: int | None,
        last_event: int | None,
    ) -> list[tuple[bytes, bytes]]:
        headers = [
            item for item in request.headers if item[0].lower() != names.LAST_EVENT
        ]
        milliseconds = max(1, math.floor(seconds * 1000))
        headers.append((names.DEADLINE, b"%d" % milliseconds))
        headers.append((names.EXPECT_RUNNER, runner.name.encode()))
        if account is not None:
            headers.append((names.ACCOUNT, account.encode()))
        if priority is not None:
            headers.append((names.PRIORITY, b"%d" % priority))
        if last_event is not None:
            headers.append((names.LAST_EVENT, b"%d" % last_event))
        if body_bytes is not None:
            headers.append((b"content-length", b"%d" % body_bytes))
        return headers

    def decode_answer(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> RunnerAnswer:
        found = {name.lower(): value for name, value in headers}
        dropped = names.HOP_BY_HOP_HEADERS | _list_connection_headers(headers)
        unknown = found.keys() - dropped - names.KNOWN_ANSWER_HEADERS
        load = _parse_load(found.get(names.LOAD))
        identity = found.get(names.REQUEST_ID)
        runner = found.get(names.RUNNER_ID)
        return RunnerAnswer(
            status=status,
            identity=None if identity is None else identity.decode("latin-1"),
            sealed=names.SEAL in found,
            not_run=names.NOT_RUN in found or status == 421,
            running=load.running,
            waiting=load.waiting,
            slots=load.slots,
            pace=load.pace,
            load_unreadable=load.unreadable,
            event_stream=found.get(b"content-type", b"").startswith(
                b"text/event-stream"
            ),
            headers=tuple(item for item in headers if item[0].lower() not in dropped),
            idle_seconds=_parse_keep_alive(found.get(b"keep-alive")),
            runner=None if runner is None else runner.decode("latin-1"),
            limit=_parse_limit(
                found.get(names.LIMIT, found.get(names.UNPREFIXED_LIMIT))
            ),
            cold_left=_parse_cold_left(found.get(names.COLD)),
            leaving=found.get(names.LEAVING, b"0").strip() not in (b"", b"0"),
            retry_after=(
                _parse_retry_after(found.get(names.RETRY_AFTER))
                if status == UNAVAILABLE
                else None
            ),
            brittle=_parse_limit(
                found.get(names.BRITTLE, found.get(names.UNPREFIXED_BRITTLE))
            ),
            unknown_headers=tuple(sorted(name.decode("latin-1") for name in unknown)),
        )

    def encode_report_request(
        self, address: str, name: str
    ) -> tuple[bytes, list[tuple[bytes, bytes]]]:
        headers = [(b"host", address.encode()), (names.EXPECT_RUNNER, name.encode())]
        return names.REPORT_TARGET, headers

    def decode_report(self, status: int, body: bytes) -> RunnerReport | None:
        if status != 200:
            return None
        try:
            report = orjson.loads(body)
            started = decode_start_time(report, self._read_clock())
            return RunnerReport(require_integer(report[names.REPORT_MEMORY]), started)
        except (KeyError, TypeError, ValueError):
            # A runner of another kind may answer this path in its own format.
            return None

    def encode_refusal(
        self, identity: str, retry_after: float | None
    ) -> list[tuple[bytes, bytes]]:
        headers = [(b"content-type", b"application/problem+json")]
        if identity:
            headers.append((names.REQUEST_ID, identity.encode("latin-1")))
        if retry_after is not None:
            headers.append((names.RETRY_AFTER, b"%.2f" % retry_after))
        return headers


_SINGLE_VALUED = frozenset(
    {
        b"host",
        b"content-length",
        b"transfer-encoding",
        names.REQUEST_ID,
        names.DEADLINE,
        names.KEY,
        names.TOKENS,
        names.PROMPT_PREFIX,
        names.LAST_EVENT,
        names.RESUMES,
        names.PREFIXED_RESUMES,
        names.MODEL,
    }
)
"""Headers that may have only one value. Of two values, the relay might use one and the
runner the other."""

_REPLACED = frozenset({names.DEADLINE, names.KEY})


def _list_connection_headers(headers: list[tuple[bytes, bytes]]) -> frozenset[bytes]:
    """Return the headers that a ``Connection`` header declares as hop-by-hop.

    A caller could list headers on which the relay depends, such as the request's id;
    those are kept.
    """
    listed = set()
    for name, value in headers:
        if name.lower() == b"connection":
            listed.update(token.strip().lower() for token in value.split(b","))
    kept = {token for token in listed if token.startswith(b"knapweedrail-")}
    return frozenset(listed - kept - {b"host", names.LAST_EVENT, b"content-type"})


def _list_unknown(headers: list[tuple[bytes, bytes]]) -> tuple[str, ...]:
    """Return the names of a caller's headers whose meaning isn't known."""
    unknown = {name.lower() for name, _ in headers} - names.KNOWN_REQUEST_HEADERS
    return tuple(sorted(name.decode("latin-1") for name in unknown))


def _parse_number(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        number = float(value)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None


def _parse_token_usage(value: bytes | None) -> tuple[int, int]:
    """Return the prompt tokens and the most output tokens; ignore further values.

    Each is limited to `MAX_TOKENS`, more than any budget has left.
    """
    numbers = [_parse_number(text) for text in (value or b"").split(b",")[:2]]
    if len(numbers) < 2 or numbers[0] is None or numbers[1] is None:
        return 0, 0
    prompt, output = (math.ceil(min(number, MAX_TOKENS)) for number in numbers)
    return prompt, output


def _parse_prompt_parts(value: bytes | None) -> tuple[PromptPart, ...]:
    parts = []
    for entry in (value or b"").split(b",")[:MAX_PROMPT_PARTS]:
        name, _, tokens = entry.strip().partition(b":")
        if name and tokens.isdigit() and len(tokens) <= MAX_TOKEN_DIGITS:
            parts.append(PromptPart(name.decode("latin-1"), int(tokens)))
    return tuple(parts)


@attrs.frozen
class _StatedLoad:
    """Load that a runner states.

    Attributes:
        running, waiting, slots: Numbers of requests; ``None`` if not given.
        pace: How long work takes now, as a multiple of the usual; ``None`` if not
            given.
        unreadable: Whether something was stated that can't be read.
    """

    running: int | None = None
    waiting: int | None = None
    slots: int | None = None
    pace: float | None = None
    unreadable: bool = False


def _parse_load(value: bytes | None) -> _StatedLoad:
    """Parse running and waiting requests, slots and, if given, the pace in percent.

    Further values are ignored: runners may state more than is known here, and what is
    known stays readable.
    """
    if value is None:
        return _StatedLoad()
    texts = value.split(b",", LOAD_VALUES)[:LOAD_VALUES]
    numbers = [_parse_number(text) for text in texts]
    counts = [n for n in numbers[:3] if n is not None and n <= MAX_STATED_REQUESTS]
    if len(counts) < 3:
        return _StatedLoad(unreadable=True)
    running, waiting, slots = (math.ceil(count) for count in counts)
    percent = numbers[3] if len(numbers) > 3 else None
    if percent is None or not 0 < percent <= MAX_PACE_PERCENT:
        return _StatedLoad(running, waiting, slots)
    return _StatedLoad(running, waiting, slots, percent / 100)


def _parse_limit(value: bytes | None) -> float | None:
    return None if value is None else read_rate(value.decode("latin-1"))


def _parse_cold_left(value: bytes | None) -> float | None:
    milliseconds = _parse_number(value)
    if milliseconds is None or milliseconds > MAX_COLD_MILLISECONDS:
        return None
    return milliseconds / 1000


def _parse_retry_after(value: bytes | None) -> float | None:
    seconds = _parse_number(value)
    return None if seconds is None else min(seconds, MAX_RETRY_AFTER_SECONDS)


def _parse_keep_alive(value: bytes | None) -> float | None:
    for part in (value or b"").split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout":
            return _parse_number(number)
    return None
