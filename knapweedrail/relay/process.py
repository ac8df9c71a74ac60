"""A relay process: creates, connects, starts and shuts down its components."""

from __future__ import annotations

import random
import secrets
import socket
import time
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import anyio
import anyio.abc

from ..descriptors import read_descriptor_limit
from ..events import Event, log_event
from ..evictions import EvictionLog
from ..ingress import ClientKind, IngressQuota, make_limits
from ..limits import LimitUpdate
from ..servers import HttpServer, ServerLimits
from ..tasks import run_with_restarts
from .codecs import Codec
from .connections import ConnectionPool
from .connectors import TunnellingConnector
from .crash_detector import CrashDetector
from .evacuations import EvacuationWatcher
from .gateway import Gateway
from .grpc_links import GrpcDialer
from .holdings import Holdings
from .ledgers import name_holder
from .malformed import MalformedObjects
from .members import Membership
from .metrics import InstrumentedStore, RelayMetrics, read_per_account
from .models import Configuration, Member
from .notifiers import Notifier
from .options import RelaySettings
from .overload import OverloadMonitor
from .pace_exchange import PaceExchange
from .peers import PeerClient, make_server
from .request_context import Services
from .resumptions import Resumptions
from .retries import RetryBudget
from .shutdowns import Shutdown
from .sources import FeedTiming
from .successors import SuccessorDetector
from .suspect_exchange import SuspectExchange
from .suspects import Suspects
from .tunnel_server import TunnelServer
from .update_feed import UpdateFeed
from .watchers import ConfigurationWatcher, RunnerWatcher

FIRST_CONFIGURATION_SECONDS = 0.5
"""Longest time for which a starting relay keeps callers waiting for its first
configuration: about a hundred response times of the store. After that the store counts
as unavailable and callers get a refusal that says so."""

PRUNE_SECONDS = 1.0
"""Interval at which idle connections and vanished runners are pruned."""

SEND_DELAY_SECONDS = 0.05
"""Delay before limits are sent to other relays, so that several go in one message."""

LIMIT_FANOUT = 4
"""Number of relays to which a relay forwards a runner's limit that is new to it. With
this fan-out a limit reaches nearly all of several hundred relays in a few rounds; a
relay that isn't reached gets the limit from the runner itself."""

OUT_OF_ROTATION_SECONDS = 2.2
"""Shortest time for which a relay accepts requests after it was asked to shut down: the
load balancer checks once a second and removes a host after two failed checks."""

QUIET_SECONDS = 1.0
"""Time without a new request after which the load balancer is assumed to send no more.
While most hosts of a data centre are out of rotation, it keeps sending to removed
hosts, and each connection refused by a closed listener costs a caller an attempt."""

STREAM_RESERVE_SECONDS = 3.0
"""Part of the grace period reserved for finishing requests; few answers take
longer."""

MIN_ACCEPT_SHARE = 0.7
"""Share of a short grace period during which new connections are still accepted."""

POLL_SECONDS = 0.1
"""Interval at which a relay that shuts down checks for new requests."""

FLUSH_SECONDS = 0.1
"""Time allowed for sending the last answers and closing connections."""


class Relay:
    """The components of one relay process, from its start to its shutdown.

    Args:
        settings: Settings of the process.
        listener: Socket that listens on the address for callers.
        store: Client of the platform's store.
        configuration: Watches the operator's configuration in the store.
        runners: Watches the list of runners in the store.
        evacuations: Watches the evacuated data centres in the store; ``None`` if there
            are no evacuations.
        codec: Encodes and decodes the platform's headers.
        metrics: Metrics of the process.
        malformed: Records objects in the store that can't be used.
        count_dropped: Returns the number of log lines dropped so far.
    """

    def __init__(
        self,
        settings: RelaySettings,
        listener: socket.socket,
        store: InstrumentedStore,
        configuration: ConfigurationWatcher,
        runners: RunnerWatcher,
        evacuations: EvacuationWatcher | None,
        codec: Codec,
        metrics: RelayMetrics,
        malformed: MalformedObjects,
        count_dropped: Callable[[], int],
    ) -> None:
        self._settings = settings
        self.failed = anyio.Event()
        self._failed_tasks: set[str] = set()
        self._store = store
        self._configuration = configuration
        self._runners = runners
        self._evacuations = evacuations
        self._watchers = (configuration, runners)
        if evacuations is not None:
            self._watchers += (evacuations,)
        limits = make_limits(
            settings.caller_memory_bytes,
            read_descriptor_limit(settings.max_descriptors),
        )
        self._quota = IngressQuota(limits, EvictionLog(metrics.count_evicted).record)
        self._peers = PeerClient()
        member = Member(
            settings.host,
            name_holder(settings.host, secrets.token_hex(4)),
            settings.peer_address,
            settings.data_centre,
            settings.tunnel_address,
        )
        self._membership = Membership(store, member, malformed)
        self._holdings = Holdings(
            store,
            self._peers,
            self._membership,
            lambda: configuration.configuration,
            malformed,
        )
        self._update_feed = UpdateFeed(
            self._membership,
            self._peers,
            GrpcDialer(),
            self._watchers,
            PaceExchange(runners.table),
            FeedTiming(settings.heartbeat_seconds, settings.heartbeat_timeout_seconds),
            settings.first_start,
        )
        runners.table.versions.max_age = settings.runner_max_age_seconds
        if settings.first_start:
            runners.table.versions.assume_complete()
        self._resumptions = Resumptions(
            runners.table, self._membership, self._peers, store
        )
        # Streams that can't be resumed need no version in the store.
        self._resumptions.versions.set_endpoints(())
        self._suspects = Suspects()
        self._suspect_exchange = SuspectExchange(
            self._suspects, self._membership, self._peers, store, malformed
        )
        self._peer_server = make_server(
            self._holdings,
            self._suspect_exchange.receive,
            self._update_feed.serve,
            settings.peer_address,
            self._receive_limits,
            self._resumptions,
            self._quota,
        )
        self._overload = OverloadMonitor()
        rng = random.Random()
        self._connector = TunnellingConnector(
            runners.table,
            self._membership.list_others,
            lambda: self._overload.may_cause_timeouts(time.monotonic()),
            rng,
            metrics,
        )
        self._pool = ConnectionPool(self._connector)
        self._tunnel_server: TunnelServer | None = None
        if settings.tunnel_address:
            self._tunnel_server = TunnelServer(
                settings.tunnel_address,
                runners.table,
                self._connector,
                lambda: self._overload.is_out_of_rotation(time.monotonic()),
                metrics,
                codec,
                self._quota,
            )
        self._pending_added = Notifier()
        self._pending_limits: dict[str, LimitUpdate] = {}
        runners.table.bounds.find_standing = self._membership.find_standing
        self._successors = SuccessorDetector(
            self._pool,
            codec,
            runners.table,
            lambda: configuration.configuration,
        )
        self._crash_detector = CrashDetector(
            self._pool, self._suspects, self._suspect_exchange.report
        )
        services = Services(
            codec=codec,
            pool=self._pool,
            runners=runners.table,
            retry_budget=RetryBudget(
                settings.retry_ratio,
                settings.retry_reserve,
                settings.retry_window_seconds,
            ),
            data_centre=settings.data_centre,
            rng=rng,
            metrics=metrics,
            suspects=self._suspects,
            crash_detector=self._crash_detector,
            overload=self._overload,
            count_relays=lambda: self._membership.count,
            report_mismatch=self._successors.report_mismatch,
            send_limit=self._queue_limit,
            resumptions=self._resumptions,
        )
        self._gateway = Gateway(services, configuration, self._holdings)
        self._caller_server = HttpServer(
            self._gateway,
            settings.caller_address,
            ServerLimits(),
            listener,
            self._quota,
        )
        configuration.subscribe(self._set_limits)
        configuration.subscribe(self._set_endpoints)
        self._metrics = metrics
        self._add_gauges(count_dropped)
        self._metrics_server: HttpServer | None = None
        if settings.metrics_address:
            self._metrics_server = self._make_operator_server(
                metrics.answer, settings.metrics_address
            )
        self._ready_server = self._make_operator_server(
            self._answer_ready, settings.ready_address
        )

    def _make_operator_server(self, app: Any, address: str) -> HttpServer:
        return HttpServer(
            app, address, ServerLimits(), quota=self._quota, kind=ClientKind.OPERATORS
        )

    async def start(self, group: anyio.abc.TaskGroup) -> None:
        """Start the servers and all tasks in ``group``."""
        await self._ready_server.start(group)
        await self._peer_server.start()
        if self._metrics_server is not None:
            await self._metrics_server.start(group)
        log_event(
            Event.ROUTER_STARTED,
            host=self._settings.host,
            data_centre=self._settings.data_centre,
            watch_seconds=self._settings.configuration_watch_seconds,
        )
        self._start_loop(
            group, partial(self._metrics.monitor_loop_delay, self._overload), "delays"
        )
        for task in (
            *self._watchers,
            self._membership,
            self._update_feed,
            self._holdings,
            self._successors,
            self._crash_detector,
            self._suspect_exchange,
            self._connector,
            self._resumptions,
        ):
            task.on_failure = self._stop_after_failure
            await task.start(group)
        await self._start_tunnel_server(group)
        # Connections that arrive meanwhile wait in the listener's backlog. After an
        # outage of all hosts every caller is among them, and without this wait each
        # would be refused because of a configuration that arrives a moment later, and
        # some would run what is known to crash runners.
        with anyio.move_on_after(FIRST_CONFIGURATION_SECONDS):
            await self._configuration.loaded.wait()
            if self._evacuations is not None:
                await self._evacuations.loaded.wait()
            await self._suspect_exchange.loaded.wait()
        await self._caller_server.start(group)
        self._start_loop(group, self._store.report_calls, "store calls")
        self._start_loop(group, self._prune, "pruning")
        self._start_loop(group, self._send_limits, "limits")

    def _start_loop(
        self, group: anyio.abc.TaskGroup, run: Callable[[], Awaitable[None]], name: str
    ) -> None:
        """Start a loop that is started again after an unexpected error."""
        group.start_soon(
            run_with_restarts,
            run,
            name,
            self._count_failure,
            self._stop_after_failure,
            name=name,
        )

    def _count_failure(self, name: str) -> None:
        self._metrics.task_failures.add(1, {"task": name})

    def _stop_after_failure(self, name: str) -> None:
        """Have the process stop: what this task knew or held is in doubt."""
        self._count_failure(name)
        self._failed_tasks.add(name)
        self.failed.set()

    async def _start_tunnel_server(self, group: anyio.abc.TaskGroup) -> None:
        """Start to open tunnels; this host serves its own callers without them."""
        if self._tunnel_server is None:
            return
        self._tunnel_server.on_failure = self._stop_after_failure
        try:
            await self._tunnel_server.start(group)
        except OSError as error:
            address = self._tunnel_server.address
            log_event(Event.TUNNELS_OFF, address=address, error=repr(error))
            self._tunnel_server = None

    async def close(self, requested_at: float) -> None:
        """Shut down gracefully within the grace period of the settings.

        The readiness check fails first, and requests that the load balancer still sends
        are served. Then the answers in progress finish and unused tokens are returned.

        After the failure of a task no further request is admitted. If it was the task
        that holds tokens, they aren't returned: the next process settles them as after
        a crash.

        Args:
            requested_at: When the process was asked to shut down, by the monotonic
                clock, seconds.
        """
        shutdown = Shutdown(requested_at, self._settings.stop_seconds)
        self._gateway.drain.begin(shutdown, admits=not self._failed_tasks)
        if self._tunnel_server is not None:
            self._tunnel_server.draining = True
        log_event(
            Event.ROUTER_STOPPING,
            under_way=self._gateway.active_requests,
            noticed_after=round(time.monotonic() - requested_at, 4),
            ends_after=round(shutdown.answers_due_at - requested_at, 4),
        )
        await self._wait_until_quiet(shutdown)
        self._gateway.drain.closing_connections = True
        left = shutdown.answers_due_at + FLUSH_SECONDS - time.monotonic()
        await self._caller_server.close(max(FLUSH_SECONDS, left))
        if self._tunnel_server is not None:
            await self._tunnel_server.drain(shutdown.answers_due_at)
            await self._tunnel_server.close()
        await self._connector.close()
        await self._update_feed.close()
        await self._membership.close()
        await self._holdings.close()
        await self._successors.close()
        await self._crash_detector.close()
        await self._suspect_exchange.close()
        await self._resumptions.close()
        # Concurrently, since each server waits a moment for its keep-alive connections.
        async with anyio.create_task_group() as group:
            for server in (self._ready_server, self._metrics_server):
                if server is not None:
                    group.start_soon(server.close, FLUSH_SECONDS)
            with anyio.move_on_after(shutdown.tokens_due_at - time.monotonic()):
                if self._holdings.name not in self._failed_tasks:
                    await self._holdings.release()
                await self._membership.leave()
        with anyio.move_on_after(FLUSH_SECONDS):
            await self._peers.close()
            await self._peer_server.close()
        self._metrics.close()
        self._store.log_call_counts()
        log_event(Event.ROUTER_STOPPED, left=self._gateway.active_requests)

    def _add_gauges(self, count_dropped: Callable[[], int]) -> None:
        add = self._metrics.add_gauge
        add("ages_seconds", "Age of what is known", self._read_ages)
        add("runners", "Runners listed, by endpoint", self._count_runners)
        add("runners_cold", "Runners that may be cold, by endpoint", self._count_cold)
        add("paths_lost", "Runners without a direct path", self._count_lost_paths)
        add("clients_held_bytes", "Memory that clients hold", self._read_held)
        add("clients_connected", "Open connections, by kind", self._count_clients)
        add("evacuated", "Evacuated data centres", self._read_evacuated)
        add("tokens_available", "Tokens held and free, by account", self._read_tokens)
        add(
            "lines_left_out",
            "Log lines left out",
            lambda: {"all": float(count_dropped())},
        )

    def _read_ages(self) -> dict[str, float]:
        now = time.monotonic()
        return {
            "configuration": now - self._configuration.confirmed_at,
            "runners": now - self._runners.confirmed_at,
        }

    def _count_runners(self) -> dict[str, float]:
        """Return the number of listed runners by endpoint.

        Only endpoints of the configuration count. Entries by foreign writers may name
        any number of endpoints, and each would add a time series.
        """
        configuration = self._configuration.configuration
        endpoints = configuration.endpoints if configuration else {}
        listed = self._runners.table.count_listed()
        return {name: count for name, count in listed.items() if name in endpoints}

    def _count_cold(self) -> dict[str, float]:
        return self._runners.table.count_cold(time.monotonic())

    def _count_lost_paths(self) -> dict[str, float]:
        return {"all": float(self._connector.lost_count)}

    def _read_held(self) -> dict[str, float]:
        return {"all": float(self._quota.held_bytes)}

    def _count_clients(self) -> dict[str, float]:
        return {kind.value: float(self._quota.count(kind)) for kind in ClientKind}

    def _read_evacuated(self) -> dict[str, float]:
        return dict.fromkeys(self._runners.table.evacuated, 1.0)

    def _read_tokens(self) -> dict[str, float]:
        configuration = self._configuration.configuration
        accounts = (configuration.accounts if configuration else None) or {}
        return read_per_account(accounts, self._holdings.read_available)

    async def _wait_until_quiet(self, shutdown: Shutdown) -> None:
        """Accept requests until the load balancer has stopped sending them."""
        max_seconds = max(
            shutdown.seconds - STREAM_RESERVE_SECONDS,
            MIN_ACCEPT_SHARE * shutdown.seconds,
        )
        min_seconds = min(OUT_OF_ROTATION_SECONDS, max_seconds)
        while time.monotonic() < shutdown.requested_at + max_seconds:
            await anyio.sleep(POLL_SECONDS)
            now = time.monotonic()
            quiet = now - self._gateway.last_request_at > QUIET_SECONDS
            if quiet and now > shutdown.requested_at + min_seconds:
                return

    async def _prune(self) -> None:
        while True:
            await anyio.sleep(PRUNE_SECONDS)
            now = time.monotonic()
            for runner in self._runners.table.prune(now):
                log_event(Event.RUNNER_UNLISTED, runner=runner.name, forgotten=True)
            await self._pool.prune(now, self._runners.table.list_incarnations())
            self._connector.prune()
            self._crash_detector.prune()
            if self._metrics.has_many:
                await self._metrics.prepare_export()

    async def _send_limits(self) -> None:
        """Send pending limits to other relays, one batch at a time.

        The task waits to be notified, since polling would use processor time on an idle
        relay.
        """
        while True:
            if not self._pending_limits:
                await self._pending_added.wait()
            await anyio.sleep(SEND_DELAY_SECONDS)
            limits, self._pending_limits = list(self._pending_limits.values()), {}
            members = self._membership.list_others()
            random.shuffle(members)
            await self._peers.send_limits(members[:LIMIT_FANOUT], limits)

    def _queue_limit(self, update: LimitUpdate) -> None:
        self._pending_limits[update.runner] = update
        self._pending_added.notify_all()

    def _receive_limits(self, limits: list[LimitUpdate]) -> None:
        """Apply limits of runners, and forward those that were new to this relay."""
        for update in limits:
            if self._runners.table.merge_limit(update, time.monotonic()):
                self._queue_limit(update)

    def _set_limits(self, configuration: Configuration) -> None:
        limits = configuration.limits
        self._caller_server.set_limits(
            ServerLimits(limits.header_bytes, limits.idle_seconds)
        )

    def _set_endpoints(self, configuration: Configuration) -> None:
        self._runners.table.bounds.endpoints = configuration.endpoints
        streams = [r for r in configuration.routes if r.resumable]
        longest = max((route.timeout for route in streams), default=0.0)
        self._runners.table.versions.set_longest_timeout(longest)
        self._resumptions.versions.set_endpoints(
            {share.endpoint for route in streams for share in route.shares}
        )

    async def _answer_ready(self, scope: dict, receive: object, send: object) -> None:
        configured = self._configuration.table is not None
        out_of_rotation = self._overload.is_out_of_rotation(time.monotonic())
        ready = configured and not out_of_rotation and not self._gateway.drain.active
        status = 200 if ready else 503
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [(b"content-length", b"0")],
            }
        )
        await send({"type": "http.response.body", "body": b""})
