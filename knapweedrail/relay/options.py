"""Process settings of a relay: the table of defaults.

A file of these settings is made from a template by whatever starts the process;
docs/CONFIGURATION.md lists the table.
"""

from __future__ import annotations

import attrs

from ..settings import count, seconds, setting
from ..shapes import NAME

MARGIN_SECONDS = 1.0
"""Kept off every bound for the answer's way and a busy process."""

BATCH_SHARE = 0.25
"""Part of the time in which a leaving runner must stop getting work that a relay waits
after a change of the list before it asks for the next ones. While the runners of an
endpoint are replaced one after the other, each change would cost a call of every
relay."""

MOST_MILLISECONDS = 3_600_000


def milliseconds(reason: str, default: int) -> object:
    """Declare a time in whole milliseconds."""
    return count("milliseconds", reason, default, 0, MOST_MILLISECONDS)


@attrs.frozen(kw_only=True)
class RelaySettings:
    """Settings of one relay process."""

    host: str = setting("name", "Unique over the fleet; the same after a restart.")
    data_centre: str = setting("name", "Runners there come first.", **NAME)
    caller_address: str = setting(
        "address", "Where callers are answered.", "127.0.0.1:8080", address=0
    )
    ready_address: str = setting(
        "address", "Where the balancer asks for readiness.", "127.0.0.1:8081", address=0
    )
    peer_address: str = setting(
        "address", "Where other relays are answered.", "127.0.0.1:8083", address=0
    )
    metrics_address: str = setting(
        "address", "Where metrics are served; empty: nowhere.", "", address=0
    )
    store_address: str = setting("address", "The platform's store.", address=1)
    contact_milliseconds: int = milliseconds(
        "Time after a disturbance from which bounds hold again.", 3000
    )
    leaving_milliseconds: int = milliseconds(
        "Time in which a leaving runner must stop getting work.", 2000
    )
    configuration_milliseconds: int = milliseconds(
        "Time in which a configuration must be in force.", 2000
    )
    stop_seconds: float = seconds(
        "Time from the request to stop until the process is killed.", 8.0
    )
    retry_ratio: float = setting(
        "share", "Retries for each fresh request, over all relays.", 0.1, minimum=0
    )
    retry_reserve: float = setting(
        "requests", "Retries beyond that in a window, all relays.", 20.0, minimum=0
    )
    retry_window_seconds: float = seconds("Window over which retries count.", 10.0)

    @property
    def watch_seconds(self) -> float:
        """Longest wait of one watch.

        A watch whose connection went silent is noticed at its end. By then the bounds
        on leaving runners and new configurations count again after `contact`.
        """
        bound = min(self.leaving_milliseconds, self.configuration_milliseconds)
        return max(1.0, (self.contact_milliseconds + bound) / 1000 - MARGIN_SECONDS)

    @property
    def batch_seconds(self) -> float:
        """Pause after a change of the list of runners before the next is asked for."""
        return BATCH_SHARE * self.leaving_milliseconds / 1000


attrs.resolve_types(RelaySettings)
