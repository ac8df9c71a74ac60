"""One request's way through the relays, in plain words, from their log lines."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Any

import attrs
import orjson

SHOWN_LENGTH = 160
"""Longest text of a field that is shown."""


@attrs.frozen
class LogLine:
    """One line of a log.

    Attributes:
        source: The file it comes from.
        at: Unix seconds.
        kind: Number and name of its event.
        fields: All of its fields.
    """

    source: str
    at: float
    kind: str
    fields: dict[str, Any]


def read_lines(source: str, lines: Iterable[bytes]) -> Iterator[LogLine]:
    """Yield the log lines among the lines of a file.

    A collector may put a time or a host before the JSON object; what isn't a log line
    is passed over.
    """
    for text in lines:
        start = text.find(b"{")
        if start < 0:
            continue
        try:
            fields = orjson.loads(text[start:])
        except orjson.JSONDecodeError:
            continue
        if isinstance(fields, dict) and "message_type" in fields:
            at = float(fields.get("timestamp") or 0.0)
            prefix = text[:start].decode("utf-8", "replace").strip()
            name = prefix.split()[-1] if prefix else source
            yield LogLine(name, at, str(fields["message_type"]), fields)


def explain_request(lines: Iterable[LogLine], request: str) -> list[str]:
    """Return what became of a request, a line for each step, in order of time."""
    found = [line for line in lines if line.fields.get("request") == request]
    found.sort(key=lambda line: line.at)
    if not found:
        return []
    first = found[0].at
    return [
        f"{line.at - first:8.3f} s  {line.source}: {describe_line(line)}"
        for line in found
    ]


def describe_line(line: LogLine) -> str:
    """Return one line in plain words."""
    describe = _DESCRIPTIONS.get(line.kind.partition(" ")[0])
    if describe is None:
        return f"{line.kind} {_show(line.fields)}"
    return describe(line.fields)


def _describe_refusal(fields: dict[str, Any]) -> str:
    ran = fields.get("ran")
    return (
        f"refused as {fields.get('kind')}, {ran}: {_cut(fields.get('detail'))}"
        f" ({fields.get('peer') or 'decided here'})"
    )


def _describe_attempt(fields: dict[str, Any]) -> str:
    return (
        f"attempt {fields.get('attempt')} at runner {fields.get('runner')} gave no"
        f" answer ({fields.get('failure')}: {_cut(fields.get('detail'))}),"
        f" {fields.get('left')} s left"
    )


def _describe_answer(fields: dict[str, Any]) -> str:
    return (
        f"answered {fields.get('status')} by runner {fields.get('runner')}; first byte"
        f" after {fields.get('first_byte')} s, all after {fields.get('seconds')} s;"
        f" sent to {fields.get('sent_to')} runners; configuration"
        f" {fields.get('configuration')}, confirmed"
        f" {fields.get('configuration_age')} s before"
    )


def _describe_shortage(fields: dict[str, Any]) -> str:
    return (
        f"needs {fields.get('tokens')} tokens of {fields.get('account')};"
        f" {fields.get('available')} available here, {fields.get('reserved')} reserved;"
        f" the ledger, seen {fields.get('age')} s before, had {fields.get('free')} free"
        f" of {fields.get('prepaid')}, and other relays held"
        f" {fields.get('held_elsewhere')}, of it {fields.get('held_by_ended')} relays"
        f" that have ended; {fields.get('surely_used')} are used for certain"
    )


def _describe_break(fields: dict[str, Any]) -> str:
    resumable = "may" if fields.get("resumable") else "may not"
    return (
        f"broken off after {fields.get('sent_to')} runners"
        f" ({_cut(fields.get('detail'))}); its route {resumable} be resumed"
    )


def _describe_late(fields: dict[str, Any]) -> str:
    return (
        f"taken {fields.get('arrived_after')} s after the host was told to stop, with"
        f" {fields.get('left')} s left; its limit was {fields.get('may_take')} s, the"
        f" slowest of the last answers took {fields.get('slowest')} s"
    )


def _describe_cut(fields: dict[str, Any]) -> str:
    ran = "may have run" if fields.get("may_have_run") else "has not run"
    part = "in the middle of" if fields.get("started") else "before"
    return f"the host stopped {part} its answer; it {ran}"


_DESCRIPTIONS: dict[str, Callable[[dict[str, Any]], str]] = {
    "313": _describe_shortage,
    "602": _describe_refusal,
    "603": _describe_attempt,
    "604": lambda fields: "the caller closed its connection",
    "605": _describe_break,
    "606": _describe_answer,
    "607": _describe_late,
    "608": _describe_cut,
    "704": lambda fields: (
        f"runner {fields.get('runner')} was silent, and nothing came from data centre"
        f" {fields.get('data_centre')}"
    ),
}


def _cut(value: object) -> str:
    text = str(value)
    return text if len(text) <= SHOWN_LENGTH else text[:SHOWN_LENGTH] + "…"


def _show(fields: dict[str, Any]) -> str:
    hidden = ("message_type", "timestamp", "request")
    return _cut(" ".join(f"{k}={v}" for k, v in fields.items() if k not in hidden))
