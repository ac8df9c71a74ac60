"""Print what a fleet decided, from the log lines of its hosts.

Who was refused and why, what became of tokens, how long callers waited for each runner,
and which shared parts of prompts went to another runner than before. Exit codes: 0 when
there was something to tell, 1 when no line was found, 2 for a wrong command line.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence

from .. import __version__
from .explain import EXIT_FOUND, EXIT_NOTHING, EXIT_USAGE, STANDARD_INPUT, read_logs

DEFAULT_STEP = 2.0
"""Length of one row of the tables by time, seconds."""


def build_parser() -> argparse.ArgumentParser:
    """Make the command line's parser."""
    parser = argparse.ArgumentParser(
        prog="knapweedrail-report",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    parser.add_argument(
        "--step",
        type=_read_step,
        default=DEFAULT_STEP,
        metavar="SECONDS",
        help=f"length of a row of the tables by time; {DEFAULT_STEP:g} if left out",
    )
    parser.add_argument("--plot", metavar="FILE", help="picture of the tables by time")
    parser.add_argument(
        "logs",
        nargs="*",
        default=[STANDARD_INPUT],
        metavar="FILE",
        help="log files, a host each; - or none: standard input",
    )
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Run the program."""
    arguments = build_parser().parse_args(argv)
    # Imported late: the libraries take a second, and a wrong command line needs none.
    from ..reports import make_report

    try:
        report = make_report(read_logs(arguments.logs), arguments.step)
    except OSError as error:
        print(f"knapweedrail-report: {error}", file=sys.stderr)
        return EXIT_USAGE
    except ValueError as error:
        print(f"knapweedrail-report: {error}", file=sys.stderr)
        return EXIT_NOTHING
    for title, table, index in (
        ("Refused requests", report.refusals, False),
        ("Tokens by second", report.tokens, True),
        ("Seconds to the first byte, by runner", report.waits, True),
        ("Starts of processes", report.starts, True),
        ("Tokens of shared parts of prompts, by second", report.repeats, True),
    ):
        print(f"{title}\n")
        print(table.to_string(index=index) if len(table) else "none")
        print()
    if arguments.plot:
        _draw(report, arguments.plot)
    return EXIT_FOUND


def _read_step(text: str) -> float:
    step = float(text)
    if not step > 0:
        raise argparse.ArgumentTypeError("must be above 0")
    return step


def _draw(report: object, path: str) -> None:
    """Draw the tables by time into a file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(2, 1, figsize=(9, 7), sharex=True)
    for axis, table in zip(axes, (report.tokens, report.repeats), strict=True):
        if len(table):
            table.plot(ax=axis)
        axis.set_ylabel("tokens")
    axes[-1].set_xlabel("seconds")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


if __name__ == "__main__":
    raise SystemExit(main())
