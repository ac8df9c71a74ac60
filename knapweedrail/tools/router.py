"""Run one router of the fleet on this host.

Exit codes: 0 after an orderly stop, 2 for a wrong command line or settings file,
1 when the router could not start or failed.
"""

from __future__ import annotations

import argparse
import signal
import sys
from collections.abc import Sequence

import anyio
import eliot
import orjson

from .. import __version__
from ..loops import log_loop_errors
from ..routers import Router
from ..settings import RouterSettings, read_settings

EXIT_STOPPED = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


def build_parser() -> argparse.ArgumentParser:
    """Make the command line's parser."""
    parser = argparse.ArgumentParser(
        prog="knapweedrail-router",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    parser.add_argument(
        "--settings", required=True, metavar="FILE", help="JSON with comments"
    )
    parser.add_argument(
        "--check", action="store_true", help="only check the settings file"
    )
    return parser


def open_log(settings: RouterSettings) -> None:
    """Send log events to the file of the settings, or to standard error."""
    if settings.log_file:
        eliot.to_file(open(settings.log_file, "ab"))
    else:
        eliot.to_file(sys.stderr)


async def serve(settings: RouterSettings) -> None:
    """Run a router until it is asked to stop."""
    log_loop_errors()
    router = Router(settings)
    async with anyio.create_task_group() as group:
        await router.start(group)
        addresses = router.addresses()
        print(orjson.dumps(addresses).decode(), flush=True)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
            # Inside, so that a second signal doesn't kill the process meanwhile.
            await router.close()
        group.cancel_scope.cancel()


def main(argv: Sequence[str] | None = None) -> int:
    """Run the program."""
    arguments = build_parser().parse_args(argv)
    settings = read_settings(arguments.settings)
    if not isinstance(settings, RouterSettings):
        for fault in settings:
            print(fault, file=sys.stderr)
        return EXIT_USAGE
    if arguments.check:
        return EXIT_STOPPED
    open_log(settings)
    code = EXIT_STOPPED
    try:
        anyio.run(serve, settings)
    except* OSError as errors:
        for error in errors.exceptions:
            print(f"knapweedrail-router: {error}", file=sys.stderr)
        code = EXIT_FAILED
    return code


if __name__ == "__main__":
    raise SystemExit(main())
