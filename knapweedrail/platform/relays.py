"""Creates relays that use the platform's store and formats."""

from __future__ import annotations

import socket
from collections.abc import Callable

from ..relay.evacuations import EvacuationWatcher
from ..relay.malformed import MalformedObjects
from ..relay.members import MEMBER_KIND
from ..relay.metrics import InstrumentedStore, RelayMetrics
from ..relay.options import RelaySettings
from ..relay.process import Relay
from ..relay.runners import RunnerTable
from ..relay.scheduling.cold_starts import BurstAllowance
from ..relay.store_probe import StoreProbe
from ..relay.stores import Store
from ..relay.watchers import ConfigurationWatcher, RunnerWatcher
from . import names
from .decoding import decode_configuration, decode_runner
from .requests import PlatformCodec
from .store import PlatformStore


def make_relay(
    settings: RelaySettings,
    listener: socket.socket,
    count_dropped: Callable[[], int],
) -> Relay:
    """Return a relay that isn't started yet.

    Args:
        settings: Settings of the process.
        listener: Socket that listens on the address for callers.
        count_dropped: Returns the number of log lines dropped so far.
    """
    metrics = RelayMetrics()
    malformed = MalformedObjects(metrics.count_malformed)
    store = InstrumentedStore(PlatformStore(settings.store_address), metrics)
    configuration, runners, evacuations = make_watchers(settings, store, malformed)
    return Relay(
        settings,
        listener,
        store,
        configuration,
        runners,
        evacuations,
        PlatformCodec(),
        metrics,
        malformed,
        count_dropped,
    )


def make_watchers(
    settings: RelaySettings, store: Store, malformed: MalformedObjects
) -> tuple[ConfigurationWatcher, RunnerWatcher, EvacuationWatcher | None]:
    """Return the watchers of the configuration, the list of runners and the
    evacuations; ``None`` for the last if there are no evacuations."""
    probe = StoreProbe(store, MEMBER_KIND, settings.host)
    configuration = ConfigurationWatcher(
        store,
        names.CONFIGURATION_KIND,
        settings.configuration_watch_seconds,
        decode_configuration,
        names.CONFIGURATION_NAME,
        settings.configuration_batch_seconds,
        malformed,
        probe,
        settings.configuration_max_age_seconds,
    )
    runners = RunnerWatcher(
        store,
        names.RUNNERS_KIND,
        settings.runner_watch_seconds,
        decode_runner,
        RunnerTable(
            settings.vanished_grace_seconds,
            BurstAllowance(settings.cold_factor, settings.cold_reserve),
        ),
        settings.runner_batch_seconds,
        malformed,
        probe,
        settings.runner_max_age_seconds,
    )
    if not settings.evacuation_milliseconds:
        return configuration, runners, None
    evacuations = EvacuationWatcher(
        store,
        names.EVACUATIONS_KIND,
        settings.evacuation_watch_seconds,
        runners.table,
        settings.evacuation_batch_seconds,
        malformed,
        probe,
        settings.evacuation_max_age_seconds,
    )
    return configuration, runners, evacuations
