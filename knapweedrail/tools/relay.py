"""Run one relay of the fleet on this host.

The file of settings is named on the command line, or in the environment by whatever
starts the process. Exit codes: 0 after an orderly stop, 2 for a wrong command line or
settings file, 1 when the relay could not start or failed.
"""

from __future__ import annotations

import argparse
import os
import signal
import sys
from collections.abc import Sequence

import anyio
import eliot

from .. import __version__
from ..events import Event, log_event
from ..platform.relays import make_relay
from ..relay.logs import LogWriter
from ..relay.options import RelaySettings
from ..settings import read_settings

EXIT_STOPPED = 0
EXIT_FAILED = 1
EXIT_USAGE = 2

SETTINGS_VARIABLE = "KNAPWEEDRAIL_NODE_FILE"


def build_parser() -> argparse.ArgumentParser:
    """Make the command line's parser."""
    parser = argparse.ArgumentParser(
        prog="knapweedrail-relay",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    parser.add_argument(
        "--settings",
        default=os.environ.get(SETTINGS_VARIABLE),
        metavar="FILE",
        help=f"JSON with comments; without it, the file that {SETTINGS_VARIABLE} names",
    )
    parser.add_argument(
        "--check", action="store_true", help="only check the settings file"
    )
    return parser


async def serve(settings: RelaySettings, logs: LogWriter) -> None:
    """Run a relay until it is asked to stop."""
    relay = make_relay(settings, lambda: logs.left_out)
    async with anyio.create_task_group() as group:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            await relay.start(group)
            async for number in signals:
                if number != signal.SIGHUP:
                    break
                # Addresses and bounds stay those of the start; what may change while
                # the process runs comes with the operator's configuration.
                log_event(Event.SETTINGS_CHANGED)
        await relay.close()
        group.cancel_scope.cancel()


def main(argv: Sequence[str] | None = None) -> int:
    """Run the program."""
    parser = build_parser()
    arguments = parser.parse_args(argv)
    if not arguments.settings:
        parser.error("no settings file is named")
    settings = read_settings(arguments.settings, RelaySettings)
    if not isinstance(settings, RelaySettings):
        for fault in settings:
            print(fault, file=sys.stderr)
        return EXIT_USAGE
    if arguments.check:
        return EXIT_STOPPED
    logs = LogWriter(sys.stdout.buffer)
    logs.start()
    eliot.add_destinations(logs)
    code = EXIT_STOPPED
    try:
        anyio.run(serve, settings, logs)
    except* OSError as errors:
        for error in errors.exceptions:
            print(f"knapweedrail-relay: {error}", file=sys.stderr)
        code = EXIT_FAILED
    finally:
        logs.close()
    return code


if __name__ == "__main__":
    raise SystemExit(main())
