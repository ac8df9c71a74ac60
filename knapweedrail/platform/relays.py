"""A relay wired to the platform."""

from __future__ import annotations

from ..relay.daemons import DOUBT_SECONDS, Relay
from ..relay.followers import ConfigurationFollower, RunnerFollower
from ..relay.options import RelaySettings
from ..relay.runners import RunnerTable
from . import names
from .decoding import decode_configuration, decode_runner
from .requests import PlatformCodec
from .store import PlatformStore


def make_relay(settings: RelaySettings) -> Relay:
    """Return a relay that isn't started yet."""
    store = PlatformStore(settings.store_address)
    configuration = ConfigurationFollower(
        store,
        names.CONFIGURATION_KIND,
        settings.watch_seconds,
        decode_configuration,
        names.CONFIGURATION_NAME,
    )
    runners = RunnerFollower(
        store,
        names.RUNNERS_KIND,
        settings.watch_seconds,
        decode_runner,
        RunnerTable(DOUBT_SECONDS),
    )
    return Relay(settings, store, configuration, runners, PlatformCodec())
