"""A fleet of real processes, in which every link leads through the proxy."""

from __future__ import annotations

import hashlib
import itertools
import json
import pathlib
import signal
import subprocess
import sys
from typing import Any

import attrs
import httpx

from .processes import Process, Standin, start_all, wait_for
from .serving import read_counts_file

ROUTER = "knapweedrail.tools.router"
OPERATOR = "knapweedrail.tools.operator"

ENGINE_ROUTE = "llm"
SERVICE_ROUTE = "booking"
SERVICE_PRICE = 10

NOWHERE = "127.0.0.1:1"
"""Target of a route whose process hasn't told its port yet."""

FAST = {
    "heartbeat_seconds": 0.2,
    "watch_seconds": 2.0,
    "platform_timeout_seconds": 0.5,
    "exchange_timeout_seconds": 0.5,
    "flush_seconds": 0.1,
    "doubt_seconds": 0.5,
}
"""Router settings with which tests wait less; none of them decides what is right."""


@attrs.frozen
class Plan:
    """What a fleet consists of.

    Attributes:
        data_centres: Their names.
        routers: Routers in each data centre.
        engines: Engines in each data centre.
        services: Booking services in each data centre.
        accounts: Client accounts, by name with the tokens of the budget that has
            the same name.
        rules: The configuration's rules.
        engine_options: Command-line options of every engine.
        checks_fencing: Whether engines refuse old fencing numbers.
        endpoint: Further keys of the engines' endpoint.
        route: Further keys of both routes.
        settings: Further settings of every router.
    """

    data_centres: tuple[str, ...] = ("east",)
    routers: int = 2
    engines: int = 2
    services: int = 1
    accounts: dict[str, int] = attrs.field(factory=lambda: {"desk": 1_000_000})
    rules: dict[str, Any] = attrs.field(factory=dict)
    engine_options: tuple[str, ...] = ()
    checks_fencing: bool = False
    endpoint: dict[str, Any] = attrs.field(factory=dict)
    route: dict[str, Any] = attrs.field(factory=dict)
    settings: dict[str, Any] = attrs.field(factory=dict)


class Router(Process):
    """A router of the fleet; it keeps its name over restarts."""

    def __init__(self, name: str, data_centre: str, settings: pathlib.Path) -> None:
        super().__init__(ROUTER, "--settings", str(settings))
        self.name = name
        self.data_centre = data_centre
        self.settings = settings

    @property
    def url(self) -> str:
        """Where callers reach it."""
        return f"http://127.0.0.1:{self.ports['caller_port']}"

    @property
    def admin_url(self) -> str:
        """Where health and metrics are."""
        return f"http://127.0.0.1:{self.ports['admin_port']}"

    def is_ready(self) -> bool:
        """Say whether the balancer would send it requests."""
        try:
            return httpx.get(f"{self.admin_url}/readyz").status_code == 200
        except httpx.HTTPError:
            return False

    def stop(self) -> None:
        """Ask for a graceful shutdown; `wait` waits for its end."""
        self.signal(signal.SIGTERM)


class Fleet:
    """Stand-ins, proxy and routers of one test.

    Args:
        directory: Place for settings, configuration and counts.
        plan: What the fleet consists of.
    """

    def __init__(self, directory: pathlib.Path, plan: Plan | None = None) -> None:
        self.directory = directory
        self.plan = plan or Plan()
        self.platform = Standin("platform")
        self.proxy = Standin("proxy")
        self.engines = self._make_runners("engine", self.plan.engines)
        self.services = self._make_runners("booking", self.plan.services)
        self.routers: dict[str, Router] = {}
        self.routes: set[str] = set()
        self.top_ups: dict[str, int] = {}
        self._files = itertools.count()

    @property
    def runners(self) -> dict[str, Standin]:
        """All engines and services by name."""
        return self.engines | self.services

    def start(self) -> Fleet:
        """Start everything, apply the configuration, wait until routers serve."""
        try:
            start_all([self.platform, self.proxy, *self.runners.values()])
            self._add_route("platform", self.platform.address)
            for name, runner in self.runners.items():
                self._add_route(name, runner.address)
            self._start_routers()
            self.apply()
            self.wait_ready()
        except BaseException:
            self.close()
            raise
        return self

    def close(self) -> None:
        """End all processes that were started."""
        processes = [*self.routers.values(), *self.runners.values()]
        for process in (*processes, self.proxy, self.platform):
            process.close()

    def __enter__(self) -> Fleet:
        return self.start()

    def __exit__(self, *error: object) -> None:
        self.close()

    def apply(self, **changes: Any) -> subprocess.CompletedProcess:
        """Apply the plan's configuration, with further or other top-level keys."""
        path = self.directory / f"configuration-{next(self._files)}.jsonc"
        path.write_text(json.dumps(self.make_configuration() | changes))
        done = self.operate("apply", str(path), "--author", "test")
        assert done.returncode == 0, done.stdout + done.stderr
        return done

    def top_up(self, account: str, tokens: int, identity: str, times: int = 1) -> None:
        """Top an account's budget up once, by a command that is sent ``times``."""
        for _ in range(times):
            done = self.operate("top-up", account, str(tokens), "--identity", identity)
            assert done.returncode == 0, done.stdout + done.stderr
        self.top_ups[account] = self.top_ups.get(account, 0) + tokens

    def operate(self, *options: str) -> subprocess.CompletedProcess:
        """Run the operator's command against the platform, past the proxy."""
        command = [sys.executable, "-m", OPERATOR, *options]
        command += ["--platform", f"http://{self.platform.address}"]
        return subprocess.run(command, capture_output=True, text=True)

    def wait_ready(self) -> None:
        """Wait until all running routers serve."""
        for router in self.routers.values():
            if router.is_running():
                wait_for(router.is_ready, f"{router.name} to be ready")

    def heal(self) -> None:
        """End all faults of links and platform."""
        self.set_link(list(self.routes), ["*"], mode="pass")
        self.platform.set_faults(
            outage=False, delay=0.0, answer_delay=0.0, lose=0, stale=0, rate=0
        )

    def restart_runner(self, name: str) -> None:
        """Start a runner again that has ended, at the address that it had."""
        runner = self.runners[name]
        runner.close()
        start_all([runner])
        self._add_route(name, runner.address)

    def restart_router(self, name: str) -> Router:
        """Start a router again that has ended."""
        router = self.routers[name]
        router.close()
        router.start()
        self._connect_router(router)
        return router

    def set_link(self, targets: list[str], sources: list[str], **fault: Any) -> None:
        """Change what routers meet on their way to runners, routers, platform."""
        self.proxy.set_faults(routes=targets, sources=sources, **fault)

    def set_cut(self, here: str, there: str, mode: str) -> None:
        """Change the links between all routers and runners of two data centres."""
        for source, target in ((here, there), (there, here)):
            self.set_link(self.list_names(target), self.list_routers(source), mode=mode)

    def list_routers(self, data_centre: str) -> list[str]:
        """Return the names of a data centre's routers."""
        return [r.name for r in self.routers.values() if r.data_centre == data_centre]

    def list_names(self, data_centre: str) -> list[str]:
        """Return the names of a data centre's routers and runners."""
        runners = [n for n in self.runners if _get_data_centre(n) == data_centre]
        return self.list_routers(data_centre) + runners

    def set_hosts(self, leaving: tuple[str, ...] = (), lag: float = 0.0) -> None:
        """Set the platform's list of hosts; each router has its own host."""
        hosts = [
            {
                "name": router.name,
                "data_centre": router.data_centre,
                "state": "leaving" if router.name in leaving else "live",
            }
            for router in self.routers.values()
        ]
        self.platform.post("/hosts", {"hosts": hosts, "lag": lag})

    def make_configuration(self) -> dict[str, Any]:
        """Return the plan's configuration."""
        llm = {"name": ENGINE_ROUTE, "kind": "engine", "slots": 8}
        booking = {"name": SERVICE_ROUTE, "kind": "service", "slots": 16}
        llm["checks_fencing"] = self.plan.checks_fencing
        llm |= self.plan.endpoint
        llm["runners"] = self._list_runners(self.engines)
        booking["runners"] = self._list_runners(self.services)
        chat = {"name": ENGINE_ROUTE, "endpoint": ENGINE_ROUTE}
        visit = {"name": SERVICE_ROUTE, "endpoint": SERVICE_ROUTE}
        visit["price_tokens"] = SERVICE_PRICE
        return {
            "budgets": [
                {"name": name, "opening_tokens": tokens}
                for name, tokens in self.plan.accounts.items()
            ],
            "accounts": [
                {"name": name, "budget": name, "key_digests": [digest_key(name)]}
                for name in self.plan.accounts
            ],
            "endpoints": [llm, booking] if self.services else [llm],
            "routes": [
                route | self.plan.route
                for route in ((chat, visit) if self.services else (chat,))
            ],
            "rules": self.plan.rules,
        }

    def read_counts(self) -> dict[str, dict[str, int]]:
        """Add up what all runners ran, by request identity, over all their lives."""
        total: dict[str, dict[str, int]] = {}
        for name in self.runners:
            counts = read_counts_file(self._get_counts_path(name))
            for identity, count in counts.items():
                place = total.setdefault(identity, {"runs": 0, "tokens": 0})
                place["runs"] += count["runs"]
                place["tokens"] += count["tokens"]
                price = SERVICE_PRICE if name in self.services else 0
                place["tokens"] += count["runs"] * price
        return total

    def _get_counts_path(self, runner: str) -> pathlib.Path:
        return self.directory / f"counts-{runner}"

    def _make_runners(self, kind: str, number: int) -> dict[str, Standin]:
        options = self.plan.engine_options if kind == "engine" else ()
        runners = {}
        for data_centre in self.plan.data_centres:
            for index in range(number):
                name = f"{data_centre}-{kind}-{index}"
                counts = str(self._get_counts_path(name))
                runners[name] = Standin(kind, "--counts-file", counts, *options)
        return runners

    def _list_runners(self, runners: dict[str, Standin]) -> list[dict[str, str]]:
        return [
            {
                "name": name,
                "address": self._add_route(name, runner.address),
                "data_centre": _get_data_centre(name),
            }
            for name, runner in runners.items()
        ]

    def _add_route(self, name: str, target: str) -> str:
        """Lead a route of the proxy to ``target``; return the route's address."""
        port = self.proxy.post("/routes", {"name": name, "target": target})["port"]
        self.routes.add(name)
        return f"127.0.0.1:{port}"

    def _start_routers(self) -> None:
        names = {
            f"{data_centre}-router-{index}": data_centre
            for data_centre in self.plan.data_centres
            for index in range(self.plan.routers)
        }
        advertised = {name: self._add_route(name, NOWHERE) for name in names}
        platform = self._add_route("platform", self.platform.address)
        for name, data_centre in names.items():
            settings = FAST | self.plan.settings
            settings |= {
                "name": name,
                "host": name,
                "data_centre": data_centre,
                "caller_address": "127.0.0.1:0",
                "peer_address": "127.0.0.1:0",
                "admin_address": "127.0.0.1:0",
                "advertised_peer_address": advertised[name],
                "platform": f"http://{platform}",
                "seeds": [a for other, a in advertised.items() if other != name],
                "log_file": str(self.directory / f"log-{name}"),
            }
            path = self.directory / f"settings-{name}.jsonc"
            path.write_text(json.dumps(settings))
            self.routers[name] = Router(name, data_centre, path)
        self.set_hosts()
        for router in self.routers.values():
            router.start()
        for router in self.routers.values():
            self._connect_router(router)

    def _connect_router(self, router: Router) -> None:
        router.wait_ready()
        self._add_route(router.name, f"127.0.0.1:{router.ports['peer_port']}")
        self.proxy.post("/sources", {router.name: router.id})


def _get_data_centre(runner: str) -> str:
    return runner.rsplit("-", 2)[0]


def make_key(account: str) -> str:
    """Return the bearer key of a test's account."""
    return f"key-of-{account}"


def digest_key(account: str) -> str:
    """Return the digest by which the configuration knows the account's key."""
    return hashlib.sha256(make_key(account).encode()).hexdigest()
