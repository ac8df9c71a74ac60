"""Run one relay of the fleet on this host.

The file of settings is named on the command line, or in the environment by whatever
starts the process. Exit codes: 0 after an orderly stop, 2 for a wrong command line or
settings file, 1 when the relay could not start or failed.
"""

from __future__ import annotations

import argparse
import gc
import os
import signal
import sys
from collections.abc import Sequence

from .. import __version__
from ..listeners import open_listener
from ..relay.options import RelaySettings
from ..relay.stop_signals import StopSignalRecorder
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
    # A request to stop may come while the libraries are read. By default it would end
    # the process as if it had failed, and reset the connections of callers that wait;
    # so the relay starts, answers them, and stops in good order.
    clock = StopSignalRecorder()
    clock.watch((signal.SIGTERM, signal.SIGINT))
    # Settings are read already, and what changed in them isn't taken up later either.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        listener = open_listener(settings.caller_address)
    except OSError as error:
        print(f"knapweedrail-relay: {error}", file=sys.stderr)
        return EXIT_FAILED
    # Not imported before callers can connect. After a loss of power all hosts start at
    # once; a closed door costs each caller its attempt, while one that waits in the
    # listener's queue for the half second of imports is answered.
    # What they make stays for the life of the process. Looking for garbage among it
    # would make each start longer, and all streams wait for each full collection.
    gc.disable()
    from .service import run_relay

    gc.freeze()
    gc.enable()
    return EXIT_STOPPED if run_relay(settings, listener, clock) else EXIT_FAILED


def _end_process(code: int) -> None:
    """End without taking the interpreter apart.

    All is closed and written by now. Freeing every module one by one takes 0.15 s (from
    the end of `main` to that of the process, two stops); with half a core, that is half
    of what is kept for the end.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)


if __name__ == "__main__":
    _end_process(main())
