"""Print what became of one request, from the log lines of one or more hosts.

Exit codes: 0 when lines were found, 1 when none were, 2 for a wrong command line.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterator, Sequence

from .. import __version__
from ..explanations import LogLine, explain_request, read_lines

EXIT_FOUND = 0
EXIT_NOTHING = 1
EXIT_USAGE = 2

STANDARD_INPUT = "-"


def build_parser() -> argparse.ArgumentParser:
    """Make the command line's parser."""
    parser = argparse.ArgumentParser(
        prog="knapweedrail-explain",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    parser.add_argument("request", help="the request's id")
    parser.add_argument(
        "logs",
        nargs="*",
        default=[STANDARD_INPUT],
        metavar="FILE",
        help="log files, a host each; - or none: standard input",
    )
    return parser


def read_logs(paths: Sequence[str]) -> Iterator[LogLine]:
    """Yield the lines of all files.

    Raises:
        OSError: If a file can't be read.
    """
    for path in paths:
        if path == STANDARD_INPUT:
            yield from read_lines(path, sys.stdin.buffer)
            continue
        with open(path, "rb") as file:
            yield from read_lines(path, file)


def main(argv: Sequence[str] | None = None) -> int:
    """Run the program."""
    arguments = build_parser().parse_args(argv)
    try:
        told = explain_request(read_logs(arguments.logs), arguments.request)
    except OSError as error:
        print(f"knapweedrail-explain: {error}", file=sys.stderr)
        return EXIT_USAGE
    if not told:
        print(f"no line names request {arguments.request}", file=sys.stderr)
        return EXIT_NOTHING
    print("\n".join(told))
    return EXIT_FOUND


if __name__ == "__main__":
    raise SystemExit(main())
