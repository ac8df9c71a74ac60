"""A relay's process from its settings to its end."""

from __future__ import annotations

import signal
import socket
import sys
from collections.abc import AsyncIterator

import anyio
import eliot

from ..events import Event, log_event
from ..loops import log_loop_errors
from ..platform.relays import make_relay
from ..relay.logs import LogWriter
from ..relay.options import RelaySettings
from ..relay.stop_signals import StopSignalRecorder

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def run_relay(
    settings: RelaySettings, listener: socket.socket, clock: StopSignalRecorder
) -> bool:
    """Run a relay until it is asked to stop; return whether it stopped in good order.

    Args:
        listener: Listens on the callers' address.
        clock: Notes when the process is asked to stop; that may be already.
    """
    logs = LogWriter(sys.stdout.buffer)
    logs.start()
    eliot.add_destinations(logs)
    stopped = True
    try:
        stopped = anyio.run(_serve, settings, listener, clock, logs)
    except* OSError as errors:
        for error in errors.exceptions:
            print(f"knapweedrail-relay: {error}", file=sys.stderr)
        stopped = False
    finally:
        logs.close()
    return stopped


async def _serve(
    settings: RelaySettings,
    listener: socket.socket,
    clock: StopSignalRecorder,
    logs: LogWriter,
) -> bool:
    """Run a relay until it is asked to stop or one of its tasks has failed; return
    whether none has."""
    log_loop_errors()
    relay = make_relay(settings, listener, lambda: logs.dropped)
    async with anyio.create_task_group() as group:
        with anyio.open_signal_receiver(*STOP_SIGNALS, signal.SIGHUP) as signals:
            clock.watch(STOP_SIGNALS)
            await relay.start(group)
            await _wait_for_stop(signals, clock, relay.failed)
            # Inside, since a further signal would find no handler any more and kill the
            # process in the middle of its answers.
            await relay.close(clock.read_stop_time())
        group.cancel_scope.cancel()
    return not relay.failed.is_set()


async def _wait_for_stop(
    signals: AsyncIterator[signal.Signals],
    clock: StopSignalRecorder,
    failed: anyio.Event,
) -> None:
    """Wait until the process is asked to stop or a task has failed."""
    async with anyio.create_task_group() as group:

        async def wait_for_failure() -> None:
            await failed.wait()
            group.cancel_scope.cancel()

        group.start_soon(wait_for_failure)
        while not clock.stop_requested:
            if await anext(signals) != signal.SIGHUP:
                break
            # Addresses and bounds stay those of the start; what may change while the
            # process runs comes with the operator's configuration.
            log_event(Event.SETTINGS_CHANGED)
        group.cancel_scope.cancel()
