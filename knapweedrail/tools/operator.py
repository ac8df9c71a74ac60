"""Check, apply and show configurations; change and show budgets; read the audit trail.

Exit codes:
  0  done, or accepted
  1  refused; nothing has changed
  2  a wrong command line, or a file with faults; nothing has changed
  3  the outcome isn't known yet: ask again with the identity that was printed
"""

from __future__ import annotations

import argparse
import getpass
import os
import sys
from collections.abc import Sequence

import anyio
import attrs

from .. import __version__
from ..platforms import HttpPlatform
from ..settings import RouterSettings
from . import commands, ledger_commands
from .results import Result

PLATFORM_VARIABLE = "KNAPWEEDRAIL_PLATFORM"
"""Environment variable with the platform's URL, for operators who type a lot."""

MAX_TOKENS = 10**15


def build_parser() -> argparse.ArgumentParser:
    """Make the command line's parser."""
    parser = argparse.ArgumentParser(
        prog="knapweedrail-operator",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    _add_common(parser, os.environ.get(PLATFORM_VARIABLE), False)
    subparsers = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    _add(subparsers, commands.check).add_argument("file")
    _add_apply(_add(subparsers, commands.apply))
    _add(subparsers, commands.status).add_argument("identity")
    _add(subparsers, commands.show)
    for command in (commands.history, commands.audit):
        _add_pages(_add(subparsers, command))
    for command in (ledger_commands.top_up, ledger_commands.withdraw):
        _add_credit(_add(subparsers, command))
    _add(subparsers, ledger_commands.budgets)
    probe = _add(subparsers, commands.endpoints)
    probe.add_argument("--probe", action="store_true", help="ask runners for load")
    _add(subparsers, commands.routers)
    fence = _add(subparsers, commands.fence)
    fence.add_argument("router", type=_parse_holder, help="name/incarnation")
    fence.add_argument("--data-centre", required=True)
    release = _add(subparsers, ledger_commands.release)
    release.add_argument("router", type=_parse_holder, help="name/incarnation")
    release.add_argument(
        "--unreported",
        type=_parse_count,
        required=True,
        metavar="TOKENS",
        help="tokens of each budget that it may have used since its last report",
    )
    release.add_argument("--author", default=_find_user(), help="who vouches")
    return parser


def _add(
    subparsers: argparse._SubParsersAction, command: commands.Command
) -> argparse.ArgumentParser:
    name = command.__name__.replace("_", "-")
    summary = command.__doc__.splitlines()[0]
    parser = subparsers.add_parser(name, help=summary, description=summary)
    parser.set_defaults(run=command)
    # Without defaults here, as they would undo what stands before the subcommand.
    _add_common(parser, argparse.SUPPRESS, argparse.SUPPRESS)
    return parser


def _add_common(
    parser: argparse.ArgumentParser, platform: str | None, as_json: str | bool
) -> None:
    parser.add_argument(
        "--platform",
        metavar="URL",
        default=platform,
        help=f"base URL of the object API; default: ${PLATFORM_VARIABLE}",
    )
    parser.add_argument(
        "--json", action="store_true", default=as_json, help="print JSON for scripts"
    )


def _add_apply(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("file")
    parser.add_argument("--base", type=int, help="version for which the file was made")
    parser.add_argument(
        "--seconds", type=float, default=10.0, help="after it, the file is withdrawn"
    )
    _add_author(parser)


def _add_author(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--author", default=_find_user(), help="default: %(default)s")
    parser.add_argument(
        "--identity", help="identity of the command, to repeat it; default: a new one"
    )


def _add_pages(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--pages", type=int, default=3, help="pages of the trail to read"
    )


def _add_credit(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("budget")
    parser.add_argument("tokens", type=_parse_tokens)
    parser.add_argument(
        "--ledger-shards",
        type=int,
        default=attrs.fields(RouterSettings).ledger_shards.default,
        help="as in the routers' settings; default: %(default)s",
    )
    _add_author(parser)


def _parse_tokens(text: str) -> int:
    tokens = int(text)
    if not 0 < tokens <= MAX_TOKENS:
        raise argparse.ArgumentTypeError(f"not within 1 to {MAX_TOKENS}")
    return tokens


def _parse_count(text: str) -> int:
    tokens = int(text)
    if not 0 <= tokens <= MAX_TOKENS:
        raise argparse.ArgumentTypeError(f"not within 0 to {MAX_TOKENS}")
    return tokens


def _parse_holder(text: str) -> str:
    name, slash, incarnation = text.rpartition("/")
    if not (name and slash and incarnation.isascii() and incarnation.isdigit()):
        raise argparse.ArgumentTypeError("expected name/incarnation")
    return text


def _find_user() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


async def run(arguments: argparse.Namespace) -> Result:
    """Run the subcommand."""
    platform = HttpPlatform(arguments.platform or "")
    await platform.start()
    try:
        return await arguments.run(arguments, platform)
    finally:
        await platform.close()


def main(argv: Sequence[str] | None = None) -> int:
    """Run the program."""
    parser = build_parser()
    arguments = parser.parse_args(argv)
    if arguments.platform is None and arguments.run is not commands.check:
        parser.error(f"--platform or ${PLATFORM_VARIABLE} is needed")
    result = anyio.run(run, arguments)
    stream = sys.stdout if arguments.json or result.code == 0 else sys.stderr
    print(result.render(arguments.json), file=stream)
    return result.code


if __name__ == "__main__":
    raise SystemExit(main())
