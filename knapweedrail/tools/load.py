"""Sends requests at a rate that doesn't wait for answers, and shows histograms."""

from __future__ import annotations

import argparse
import random
import sys
import time
from collections import Counter
from collections.abc import Iterator, Sequence

import anyio
import attrs
import httpx
import orjson
from hdrh.histogram import HdrHistogram

from .. import __version__

CHAT_PATH = "/v1/chat/completions"

LONGEST_MICROSECONDS = 600 * 1_000_000
"""Longest time that the histograms tell apart."""

HISTOGRAM_DIGITS = 3

MICROSECONDS = 1_000_000

END_MARK = b"data: [DONE]"

PERCENTILES = (50.0, 95.0, 99.0)

CONNECT_SECONDS = 10.0

EXIT_ALL_ANSWERED = 0
EXIT_SOME_UNANSWERED = 1


@attrs.frozen
class Load:
    """What to send.

    Attributes:
        urls: Base addresses, used in turn.
        key: Bearer key; empty for none.
        model: The ``model`` of each request.
        rate: Requests a second, with exponential gaps.
        seconds: Length of the run.
        seed: Seed of gaps and identities.
        prompt_words: Words in each prompt.
        answer_tokens: Length of each answer.
        timeout: Longest silence of an answer, in seconds.
    """

    urls: tuple[str, ...]
    key: str = ""
    model: str = "llm"
    rate: float = 10.0
    seconds: float = 10.0
    seed: int = 1
    prompt_words: int = 64
    answer_tokens: int = 64
    timeout: float = 60.0


def make_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(1, LONGEST_MICROSECONDS, HISTOGRAM_DIGITS)


@attrs.define
class Tally:
    """What came of a run.

    Attributes:
        outcomes: Requests by outcome: ``answered``, a refusal's kind, or what broke.
        chunks: Chunks of answers received.
        first: Time from the planned start to the first token. It counts from the
            plan, as a caller's waiting counts even if this program is late.
        gaps: Time between pieces of one answer that arrived apart.
        whole: Time from the planned start to the end mark.
        elapsed: Seconds from the first planned start to the last answer.
    """

    outcomes: Counter[str] = attrs.field(factory=Counter)
    chunks: int = 0
    first: HdrHistogram = attrs.field(factory=make_histogram)
    gaps: HdrHistogram = attrs.field(factory=make_histogram)
    whole: HdrHistogram = attrs.field(factory=make_histogram)
    elapsed: float = 0.0

    def to_dict(self) -> dict:
        """Return figures for scripts; times are in milliseconds."""
        return {
            "outcomes": dict(self.outcomes),
            "chunks": self.chunks,
            "elapsed_seconds": round(self.elapsed, 3),
            "first_token_ms": describe(self.first),
            "between_tokens_ms": describe(self.gaps),
            "whole_answer_ms": describe(self.whole),
        }


def describe(histogram: HdrHistogram) -> dict[str, float]:
    """Return percentiles in milliseconds."""
    if histogram.get_total_count() == 0:
        return {}
    figures = {
        f"p{percentile:g}": histogram.get_value_at_percentile(percentile) / 1000
        for percentile in PERCENTILES
    }
    return figures | {"max": histogram.get_max_value() / 1000}


def plan_starts(load: Load) -> Iterator[float]:
    """Yield the planned start of each request, in seconds from the beginning."""
    generator = random.Random(load.seed)
    start = generator.expovariate(load.rate)
    while start < load.seconds:
        yield start
        start += generator.expovariate(load.rate)


class Sender:
    """Sends the requests of one load.

    Args:
        load: What to send.
    """

    def __init__(self, load: Load) -> None:
        self.load = load
        self.tally = Tally()
        self._begin = 0.0
        self._client: httpx.AsyncClient | None = None

    async def run(self) -> Tally:
        """Send everything and wait for all answers."""
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=None)
        timeout = httpx.Timeout(self.load.timeout, connect=CONNECT_SECONDS)
        async with httpx.AsyncClient(limits=limits, timeout=timeout) as self._client:
            self._begin = time.perf_counter()
            async with anyio.create_task_group() as group:
                for index, start in enumerate(plan_starts(self.load)):
                    wait = self._begin + start - time.perf_counter()
                    await anyio.sleep(max(0.0, wait))
                    group.start_soon(self._send, index, start)
        self.tally.elapsed = time.perf_counter() - self._begin
        return self.tally

    async def _send(self, index: int, start: float) -> None:
        url = self.load.urls[index % len(self.load.urls)] + CHAT_PATH
        headers = {"Idempotency-Key": f"load-{self.load.seed}-{index}"}
        headers["X-Request-Identity"] = headers["Idempotency-Key"]
        if self.load.key:
            headers["Authorization"] = f"Bearer {self.load.key}"
        body = self._make_body(index)
        try:
            async with self._client.stream(
                "POST", url, content=body, headers=headers
            ) as response:
                outcome = await self._read(response, self._begin + start)
        except httpx.HTTPError as error:
            outcome = type(error).__name__
        self.tally.outcomes[outcome] += 1

    def _make_body(self, index: int) -> bytes:
        words = [f"word{number}" for number in range(self.load.prompt_words - 2)]
        words += [str(index), f"[tokens:{self.load.answer_tokens}]"]
        message = {"role": "user", "content": " ".join(words)}
        body = {"model": self.load.model, "messages": [message], "stream": True}
        return orjson.dumps(body | {"max_tokens": self.load.answer_tokens})

    async def _read(self, response: httpx.Response, start: float) -> str:
        if response.status_code != httpx.codes.OK:
            return _read_refusal(response.status_code, await response.aread())
        previous = None
        end = b""
        async for piece in response.aiter_raw():
            now = time.perf_counter()
            chunks = piece.count(b"\ndata: {")
            if previous is None:
                _record(self.tally.first, now - start)
            elif chunks:
                # The end mark by itself is no token: it waits for the bill.
                _record(self.tally.gaps, now - previous)
            previous = now
            self.tally.chunks += chunks
            end = (end + piece)[-64:]
        if END_MARK not in end:
            return "cut off"
        _record(self.tally.whole, time.perf_counter() - start)
        return "answered"


def _record(histogram: HdrHistogram, seconds: float) -> None:
    histogram.record_value(max(1, int(seconds * MICROSECONDS)))


def _read_refusal(status: int, body: bytes) -> str:
    try:
        return orjson.loads(body)["type"].rpartition(":")[2]
    except (orjson.JSONDecodeError, KeyError, TypeError):
        return f"status {status}"


def print_tally(tally: Tally) -> None:
    """Print the figures for people."""
    for outcome, number in sorted(tally.outcomes.items()):
        print(f"{number:8d} {outcome}")
    rate = tally.chunks / tally.elapsed if tally.elapsed else 0.0
    print(f"{tally.chunks:8d} chunks, {rate:.0f} a second")
    figures = tally.to_dict()
    for name in ("first_token_ms", "between_tokens_ms", "whole_answer_ms"):
        line = "  ".join(f"{key} {value:.2f}" for key, value in figures[name].items())
        print(f"{name.removesuffix('_ms').replace('_', ' '):>15} (ms): {line}")


def build_parser() -> argparse.ArgumentParser:
    """Make the command line's parser."""
    parser = argparse.ArgumentParser(
        prog="knapweedrail-load",
        description=__doc__,
        epilog="Exit code: 0 when every request got its whole answer, else 1.",
    )
    parser.add_argument("--version", action="version", version=__version__)
    parser.add_argument(
        "--url", action="append", required=True, help="base address; may be repeated"
    )
    parser.add_argument("--key", default="", help="bearer key of the client account")
    parser.add_argument("--model", default="llm")
    parser.add_argument("--rate", type=float, default=10.0, help="requests a second")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--prompt-words", type=int, default=64)
    parser.add_argument("--answer-tokens", type=int, default=64)
    parser.add_argument("--json", action="store_true", help="print JSON for scripts")
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Run the load and print what came of it."""
    arguments = build_parser().parse_args(argv)
    load = Load(
        urls=tuple(url.rstrip("/") for url in arguments.url),
        key=arguments.key,
        model=arguments.model,
        rate=arguments.rate,
        seconds=arguments.seconds,
        seed=arguments.seed,
        prompt_words=arguments.prompt_words,
        answer_tokens=arguments.answer_tokens,
    )
    tally = anyio.run(Sender(load).run)
    if arguments.json:
        sys.stdout.write(orjson.dumps(tally.to_dict()).decode() + "\n")
    else:
        print(f"seed {load.seed}")
        print_tally(tally)
    everything = sum(tally.outcomes.values())
    if tally.outcomes["answered"] == everything:
        return EXIT_ALL_ANSWERED
    return EXIT_SOME_UNANSWERED


if __name__ == "__main__":
    raise SystemExit(main())
