"""Settings of a relay process and their defaults.

The settings file is made from a template by whatever starts the process;
docs/CONFIGURATION.md lists all settings.
"""

from __future__ import annotations

import attrs

from ..addresses import MAX_PORT
from ..settings import count, seconds, setting
from ..shapes import NAME

MARGIN_SECONDS = 0.75
"""Safety margin of the bound on leaving runners, for network latency and a busy
process."""

CATCH_UP_SECONDS = 0.8
"""Part of `contact_milliseconds` that is reserved for the answer to a watch whose wait
has ended or, if that answer is overdue, for a pause and the calls that fetch the missed
changes."""

MIN_WATCH_SECONDS = 1.0
"""Shortest wait of a watch. If the settings leave less time, as with less than 1.8 s in
`contact_milliseconds`, their bounds aren't met after an outage."""

MAX_AGE_SLACK_SECONDS = 0.2
"""Slack added to the longest regular time between two confirmations. A configuration
that wasn't confirmed for longer may be outdated, so a key or route that it doesn't
contain may belong to a newer version."""

HEARTBEAT_SHARE = 0.25
"""Heartbeat interval between relays, as a share of the shortest time in which a change
must take effect."""

MAX_MISSED_HEARTBEATS = 2
"""Unanswered heartbeats after which another relay is no longer used as a source of
updates. The time left until the change must take effect is enough to ask the store."""

BATCH_SHARE = 0.25
"""Pause after a change before the next changes are requested, as a share of the time in
which a change must take effect. Without it, each change would cost a call of every
relay while the runners of an endpoint are replaced one after the other or
configurations follow each other quickly."""

MAX_VANISHED_GRACE_SECONDS = 1.9
"""Longest time for which a runner whose entry vanished may still be used. Entries that
lapsed during a store outage reappear within about two seconds."""

DELIVERY_SECONDS = 0.1
"""Time that a change takes from the store to a relay, and a request from there to a
runner."""

MAX_MILLISECONDS = 3_600_000

CALLER_MEMORY_SHARE = 0.35
"""Share of the process's memory for what callers hold. The rest is for the process
itself, and for what the allocator can't reuse."""

MEGABYTE = 1_000_000


def milliseconds(reason: str, default: int) -> object:
    """Declare a setting that is a time in whole milliseconds."""
    return count("milliseconds", reason, default, 0, MAX_MILLISECONDS)


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
    tunnel_port_offset: int = count(
        "ports",
        "Connections to runners are opened for other relays at the port of "
        "`peer_address` plus this; 0: nowhere.",
        0,
        0,
        MAX_PORT,
    )
    store_address: str = setting("address", "The platform's store.", address=1)
    first_start: bool = setting(
        "yes or no",
        "Whether the whole fleet starts for the first time, and none is listed yet.",
        False,
    )
    contact_milliseconds: int = milliseconds(
        "Time after a disturbance from which bounds hold again.", 3000
    )
    leaving_milliseconds: int = milliseconds(
        "Time in which a leaving runner must stop getting work.", 2000
    )
    configuration_milliseconds: int = milliseconds(
        "Time in which a configuration must be in force.", 2000
    )
    evacuation_milliseconds: int = milliseconds(
        "Time in which an evacuation must be in force; 0: there are none.", 0
    )
    cold_factor: float = setting(
        "share",
        "Requests to a cold runner in one second, as a multiple of its rate.",
        1.0,
        minimum=0,
    )
    cold_reserve: float = setting(
        "requests", "Requests to a cold runner beyond that.", 0.0, minimum=0
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
    memory_megabytes: int = count(
        "megabytes",
        "Memory of the process; callers' requests and answers get about a third.",
        300,
        1,
        1_000_000,
    )
    max_descriptors: int = count(
        "descriptors",
        "Descriptors of the process, if its own limit isn't lower; callers get half,"
        " their complete requests 3 of 10, other relays 12 of 100, readiness and"
        " metrics 2 of 100.",
        4_096,
        1,
        1_000_000,
    )

    @property
    def caller_memory_bytes(self) -> float:
        """Memory that callers may hold together, bytes."""
        return CALLER_MEMORY_SHARE * self.memory_megabytes * MEGABYTE

    @property
    def tunnel_address(self) -> str:
        """Where connections to runners are opened for other relays; empty: nowhere."""
        if not self.tunnel_port_offset:
            return ""
        host, port = self.peer_address.rsplit(":", 1)
        return f"{host}:{int(port) + self.tunnel_port_offset}"

    @property
    def configuration_watch_seconds(self) -> float:
        """Longest wait of a watch on the configuration, seconds.

        A watch that the store has lost is noticed when it ends, and the store must have
        answered the next one within `contact_milliseconds`. From then on the bounds
        hold again, also for changes that were acknowledged in the meantime.
        """
        seconds = self.contact_milliseconds / 1000 - CATCH_UP_SECONDS
        return max(MIN_WATCH_SECONDS, seconds - self.heartbeat_seconds)

    @property
    def configuration_max_age_seconds(self) -> float:
        """Age up to which a configuration counts as confirmed, seconds.

        Each watch confirms it, by this relay or by a relay that sends updates to this
        one.
        """
        watch = self.configuration_watch_seconds + self.heartbeat_seconds
        return watch + CATCH_UP_SECONDS + MAX_AGE_SLACK_SECONDS

    @property
    def runner_watch_seconds(self) -> float:
        """Longest wait of a watch on the list of runners, seconds.

        The watch is cancelled sooner when the watch on the configuration finds that the
        store was unavailable. The bound on leaving runners applies only once the store
        has been available for `contact_milliseconds`, so a single lost watch must be
        noticed by the end of both times.
        """
        bound = self.contact_milliseconds + self.leaving_milliseconds
        seconds = bound / 1000 - MARGIN_SECONDS - self.heartbeat_seconds
        return max(MIN_WATCH_SECONDS, seconds)

    @property
    def runner_max_age_seconds(self) -> float:
        """Age up to which the list of runners counts as confirmed, seconds."""
        watch = self.runner_watch_seconds + self.heartbeat_seconds
        return watch + CATCH_UP_SECONDS + MAX_AGE_SLACK_SECONDS

    @property
    def evacuation_watch_seconds(self) -> float:
        """Longest wait of a watch on the evacuations, seconds.

        Bounded in the same way as the watch on the list of runners.
        """
        bound = self.contact_milliseconds + self.evacuation_milliseconds
        seconds = bound / 1000 - MARGIN_SECONDS - self.heartbeat_seconds
        return max(MIN_WATCH_SECONDS, seconds)

    @property
    def evacuation_max_age_seconds(self) -> float:
        """Age up to which the evacuations count as confirmed, seconds."""
        watch = self.evacuation_watch_seconds + self.heartbeat_seconds
        return watch + CATCH_UP_SECONDS + MAX_AGE_SLACK_SECONDS

    @property
    def evacuation_batch_seconds(self) -> float:
        """Pause after a change of the evacuations before the next request, seconds."""
        return BATCH_SHARE * self.evacuation_milliseconds / 1000

    @property
    def heartbeat_seconds(self) -> float:
        """Interval of heartbeats to a relay that sends updates, seconds."""
        bound = min(self.configuration_milliseconds, self.leaving_milliseconds)
        return HEARTBEAT_SHARE * bound / 1000

    @property
    def heartbeat_timeout_seconds(self) -> float:
        """Time without a reply after which a source of updates is dropped, seconds."""
        return MAX_MISSED_HEARTBEATS * self.heartbeat_seconds

    @property
    def configuration_batch_seconds(self) -> float:
        """Pause after a configuration before the next is requested, seconds."""
        return BATCH_SHARE * self.configuration_milliseconds / 1000

    @property
    def runner_batch_seconds(self) -> float:
        """Pause after a change of the runners before the next request, seconds."""
        return BATCH_SHARE * self.leaving_milliseconds / 1000

    @property
    def vanished_grace_seconds(self) -> float:
        """Time for which a runner may still be used if there is no other one, after its
        entry vanished or it said in an answer that it leaves; seconds.

        A removal during the pause of the watch is learnt at its end, and runners may
        end `leaving_milliseconds` after it.
        """
        served = self.leaving_milliseconds / 1000 - self.runner_batch_seconds
        return max(0.0, min(MAX_VANISHED_GRACE_SECONDS, served - DELIVERY_SECONDS))


attrs.resolve_types(RelaySettings)
