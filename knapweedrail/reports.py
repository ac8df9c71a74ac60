"""Tables of what a fleet decided, from its log lines: who was refused, where work went.

On-call engineers and whoever changes a policy ask the same: which requests were refused
and why, what became of tokens, how long callers waited for each runner, and which parts
of prompts were read again. All times are seconds since the first line.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import attrs
import pandas as pd

from .explanations import LogLine

REFUSED = "602"
TOKENS_SHORT = "313"
ANSWERED = "606"
FAILED = "603"
LENT = "310"
PLANNED = "311"
SETTLED = "314"
STARTED = "101"

KEPT_SECONDS = 10.0
"""How long a part of a prompt counts as still in a runner's memory."""


@attrs.frozen
class Report:
    """What the lines of some hosts tell.

    Attributes:
        refusals: Refused requests, by kind and client account.
        tokens: Tokens by time: used by answers, granted, given back, lent, written off
            and come back.
        waits: Seconds to the first byte, answers and failed attempts, by runner.
        starts: Starts of processes, by host.
        repeats: Tokens of shared parts of prompts, by time: all, and those that went to
            another runner than the one that had them.
    """

    refusals: pd.DataFrame
    tokens: pd.DataFrame
    waits: pd.DataFrame
    starts: pd.DataFrame
    repeats: pd.DataFrame


def make_report(lines: Iterable[LogLine], step: float) -> Report:
    """Make all tables.

    Args:
        step: Length of one row of the tables by time, seconds.

    Raises:
        ValueError: If there is no line.
    """
    table = _make_table(lines)
    if table.empty:
        raise ValueError("no log line was found")
    table["second"] = (table["at"] - table["at"].min()) // step * step
    return Report(
        refusals=_count_refusals(table),
        tokens=_sum_tokens(table),
        waits=_measure_waits(table),
        starts=_count_starts(table),
        repeats=_sum_repeats(table),
    )


def _make_table(lines: Iterable[LogLine]) -> pd.DataFrame:
    rows = [
        {
            "at": line.at,
            "host": line.source,
            "event": line.kind.partition(" ")[0],
            "fields": line.fields,
        }
        for line in lines
    ]
    table = pd.DataFrame(rows, columns=["at", "host", "event", "fields"])
    return table.sort_values("at", kind="stable", ignore_index=True)


def _select(table: pd.DataFrame, event: str, *names: str) -> pd.DataFrame:
    """Return the lines of one event with some of their fields as columns."""
    found = table[table["event"] == event]
    columns: dict[str, Any] = {
        name: [fields.get(name) for fields in found["fields"]] for name in names
    }
    return pd.DataFrame(
        {"second": found["second"], "at": found["at"], "host": found["host"], **columns}
    )


def _count_refusals(table: pd.DataFrame) -> pd.DataFrame:
    refused = _select(table, REFUSED, "request", "kind")
    short = _select(table, TOKENS_SHORT, "request", "account")
    owners = short.drop_duplicates("request", keep="last")[["request", "account"]]
    refused = refused.merge(owners, on="request", how="left")
    refused["account"] = refused["account"].fillna("-")
    counted = refused.groupby(["kind", "account"]).size()
    return (
        counted.rename("refused")
        .reset_index()
        .sort_values(["refused", "kind"], ascending=[False, True], ignore_index=True)
    )


def _sum_tokens(table: pd.DataFrame) -> pd.DataFrame:
    planned = _select(table, PLANNED, "change")
    changes = _sum_by_second(planned, "change", lambda change: change.clip(lower=0))
    returned = _sum_by_second(planned, "change", lambda change: -change.clip(upper=0))
    settled = _select(table, SETTLED, "written_off", "returned")
    columns = {
        "used": _sum_by_second(_select(table, ANSWERED, "used"), "used"),
        "granted": changes,
        "given back": returned,
        "lent": _sum_by_second(_select(table, LENT, "tokens"), "tokens"),
        "written off": _sum_by_second(settled, "written_off"),
        "come back": _sum_by_second(settled, "returned"),
    }
    return pd.DataFrame(columns).fillna(0).astype(int)


def _sum_by_second(
    rows: pd.DataFrame, name: str, change: Any = lambda values: values
) -> pd.Series:
    values = change(pd.to_numeric(rows[name], errors="coerce").fillna(0))
    return values.groupby(rows["second"]).sum()


def _measure_waits(table: pd.DataFrame) -> pd.DataFrame:
    answered = _select(table, ANSWERED, "runner", "first_byte")
    waits = pd.to_numeric(answered["first_byte"], errors="coerce")
    by_runner = waits.groupby(answered["runner"])
    failed = _select(table, FAILED, "runner")
    columns = {
        "answers": by_runner.size(),
        "median": by_runner.median().round(3),
        "p99": by_runner.quantile(0.99).round(3),
        "failed": failed.groupby("runner").size(),
    }
    waits = pd.DataFrame(columns).rename_axis("runner")
    counts = ["answers", "failed"]
    waits[counts] = waits[counts].fillna(0).astype(int)
    return waits.sort_values("answers", ascending=False)


def _count_starts(table: pd.DataFrame) -> pd.DataFrame:
    starts = _select(table, STARTED).groupby("host")["at"]
    return pd.DataFrame({"starts": starts.size()})


def _sum_repeats(table: pd.DataFrame) -> pd.DataFrame:
    """Sum the shared parts that went to a runner while another one had them."""
    last: dict[str, tuple[str, float]] = {}
    rows = []
    answered = _select(table, ANSWERED, "runner", "prefix")
    for row in answered.itertuples():
        for name, tokens in _read_parts(row.prefix)[:-1]:
            runner, at = last.get(name, (row.runner, row.at))
            moved = runner != row.runner and row.at - at <= KEPT_SECONDS
            rows.append((row.second, tokens, tokens if moved else 0))
            last[name] = (row.runner, row.at)
    sums = pd.DataFrame(rows, columns=["second", "shared", "at another runner"])
    return sums.groupby("second").sum()


def _read_parts(prefix: Any) -> list[tuple[str, int]]:
    """Return the parts of a prompt; those that can't be read are left out."""
    parts = []
    for text in prefix if isinstance(prefix, list) else []:
        name, _, tokens = str(text).rpartition(":")
        if name and tokens.isdecimal():
            parts.append((name, int(tokens)))
    return parts
