"""Results of the operator's subcommands, as text for people or JSON for scripts."""

from __future__ import annotations

import datetime
from typing import Any

import attrs
import orjson

EXIT_OK = 0
"""Done, or accepted."""

EXIT_REFUSED = 1
"""Refused; nothing has changed."""

EXIT_FAULTS = 2
"""A wrong command line, or a file with faults; nothing has changed."""

EXIT_UNKNOWN = 3
"""The outcome isn't known yet: ask again with the identity that was printed."""


@attrs.frozen
class Result:
    """What a subcommand came to.

    Attributes:
        code: Exit code.
        lines: Text for people.
        values: The same for scripts.
    """

    code: int
    lines: list[str]
    values: Any = attrs.field(factory=dict)

    def render(self, as_json: bool) -> str:
        """Return what to print."""
        if not as_json:
            return "\n".join(self.lines)
        values = self.values
        if isinstance(values, dict):
            values = {"code": self.code, "messages": self.lines} | values
        return orjson.dumps(values, option=orjson.OPT_INDENT_2).decode()


class Table:
    """Rows under headings.

    Args:
        headings: One word for each column; also the keys in JSON.
    """

    def __init__(self, headings: tuple[str, ...]) -> None:
        self.headings = headings
        self.rows: list[tuple[Any, ...]] = []

    def add(self, *values: Any) -> None:
        """Add a row."""
        self.rows.append(values)

    @staticmethod
    def time(seconds: float) -> str:
        """Write a Unix time for people, in UTC."""
        moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
        return moment.isoformat(timespec="seconds").replace("+00:00", "Z")

    def result(self) -> Result:
        """Return the table as a result."""
        values = [dict(zip(self.headings, row, strict=True)) for row in self.rows]
        return Result(EXIT_OK, self._render(), values)

    def _render(self) -> list[str]:
        cells = [self.headings, *([str(v) for v in row] for row in self.rows)]
        widths = [max(len(row[i]) for row in cells) for i in range(len(self.headings))]
        return [
            "  ".join(
                cell.ljust(width) for cell, width in zip(row, widths, strict=True)
            ).rstrip()
            for row in cells
        ]
