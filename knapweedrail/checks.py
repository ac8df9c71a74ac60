"""Checks of what callers send: key, route, identity, deadline and body."""

from __future__ import annotations

import hashlib
import uuid
from collections.abc import Callable

import anyio
import attrs
from starlette.requests import ClientDisconnect, Request

from .calls import (
    Generation,
    Visit,
    build_generation,
    check_document,
    check_identity,
    fingerprint_visit,
    parse_deadline,
    parse_document,
    refuse_request,
)
from .ingress import QuotaExceeded
from .models import ENGINE, SERVICE, ClientAccount, Configuration, Route
from .outcomes import Ran, Refusal, RefusalKind
from .views import View

IDENTITY_HEADER = "Idempotency-Key"
DEADLINE_HEADER = "X-Deadline-Seconds"
ONCE_HEADER = "X-Not-Repeatable"

PASSED_HEADERS = frozenset({"accept", "accept-language", "content-type", "user-agent"})
"""Headers passed on to plain services. The caller's key stays here: an endpoint has
no use for it and might log it."""

RETURN_SECONDS = 1.0


@attrs.frozen
class GatewayLimits:
    """Limits on what one caller may send, from the settings."""

    max_body_bytes: int
    body_read_timeout_seconds: float
    max_connections: int


@attrs.frozen
class _Terms:
    """What a caller's headers say of a request.

    Attributes:
        identity: The request's identity; made here when the caller gave none.
        named: Whether the caller gave it.
        deadline_seconds: Time for the first byte.
    """

    identity: str
    named: bool
    deadline_seconds: float


class RequestChecker:
    """Checks requests against the configuration served now; costs nothing else.

    Args:
        view: Returns what of the configuration is served now.
        limits: Limits on callers.
    """

    def __init__(self, view: Callable[[], View], limits: GatewayLimits) -> None:
        self._view = view
        self._limits = limits
        self._keys: dict[str, ClientAccount] = {}
        self._keys_of: Configuration | None = None

    async def check_generation(self, request: Request) -> Generation | Refusal:
        """Check a request for an answer of a model engine."""
        account = self.authenticate(request)
        if isinstance(account, Refusal):
            return account
        body = await self._read_body(request)
        if isinstance(body, Refusal):
            return body
        document = parse_document(body)
        if isinstance(document, Refusal):
            return document
        fault = check_document(document)
        if fault is not None:
            return fault
        route = self._find_route(document.get("model"), ENGINE)
        if isinstance(route, Refusal):
            return route
        terms = _read_terms(request, route)
        if isinstance(terms, Refusal):
            return terms
        return build_generation(
            account,
            route,
            document,
            terms.identity,
            terms.named,
            terms.deadline_seconds,
        )

    async def check_visit(self, request: Request) -> Visit | Refusal:
        """Check a call of a plain service."""
        account = self.authenticate(request)
        if isinstance(account, Refusal):
            return account
        route = self._find_route(request.path_params["route"], SERVICE)
        if isinstance(route, Refusal):
            return route
        body = await self._read_body(request)
        if isinstance(body, Refusal):
            return body
        terms = _read_terms(request, route)
        if isinstance(terms, Refusal):
            return terms
        repeatable = self._read_repeatable(request, route)
        if not repeatable and not terms.named:
            # Without an identity a retry can't be told from a new call, and the
            # promise of at most one run would be empty.
            return refuse_request(
                f"{IDENTITY_HEADER} is wanted for a call that may not be repeated"
            )
        path = "/" + request.path_params.get("rest", "")
        if request.url.query:
            path += "?" + request.url.query
        return Visit(
            account=account,
            identity=terms.identity,
            named=terms.named,
            route=route,
            method=request.method,
            path=path,
            headers=tuple(
                (name, value)
                for name, value in request.headers.items()
                if name in PASSED_HEADERS
            ),
            body=body,
            repeatable=repeatable,
            fingerprint=fingerprint_visit(route.name, request.method, path, body),
            deadline_seconds=terms.deadline_seconds,
        )

    def authenticate(self, request: Request) -> ClientAccount | Refusal:
        """Find the client account of a request's bearer key."""
        view = self._view()
        if view.configuration is None or view.doubtful:
            return _refuse_undecided("no configuration is known to be in force here")
        scheme, _, key = request.headers.get("Authorization", "").partition(" ")
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        account = self._index(view.configuration).get(digest)
        if scheme.lower() != "bearer" or account is None:
            if digest in view.undecided.keys:
                return _refuse_undecided("a change of this key is under way")
            detail = "Authorization: Bearer <key of a client account> is wanted"
            return refuse_request(detail, RefusalKind.UNKNOWN_KEY)
        return account

    def _index(self, configuration: Configuration) -> dict[str, ClientAccount]:
        if self._keys_of is not configuration:
            self._keys_of = configuration
            self._keys = {
                digest: account
                for account in configuration.accounts
                for digest in account.key_digests
            }
        return self._keys

    def _find_route(self, name: object, kind: str) -> Route | Refusal:
        view = self._view()
        kinds = {item.name: item.kind for item in view.configuration.endpoints}
        for route in view.configuration.routes:
            if route.name == name and kinds[route.endpoint] == kind:
                return route
        if name in view.undecided.routes:
            return _refuse_undecided("a change of this route is under way")
        return refuse_request(f"no route {name!r}", RefusalKind.UNKNOWN_ROUTE)

    def _read_repeatable(self, request: Request, route: Route) -> bool:
        marked = request.headers.get(ONCE_HEADER, "false").strip().lower() == "true"
        return route.repeatable and not marked

    async def _read_body(self, request: Request) -> bytes | Refusal:
        limit = self._limits.max_body_bytes
        too_large = refuse_request(
            f"the body exceeds {limit} bytes", RefusalKind.TOO_LARGE
        )
        length = request.headers.get("Content-Length", "0")
        if length.isdigit() and int(length) > limit:
            return too_large
        body = bytearray()
        try:
            with anyio.fail_after(self._limits.body_read_timeout_seconds):
                async for part in request.stream():
                    body += part
                    if len(body) > limit:
                        return too_large
        except TimeoutError:
            return refuse_request("the body did not arrive in time")
        except ClientDisconnect:
            return refuse_request("the body was cut off")
        except QuotaExceeded:
            return _refuse_full()
        return bytes(body)


def _read_terms(request: Request, route: Route) -> _Terms | Refusal:
    identity = request.headers.get(IDENTITY_HEADER)
    fault = check_identity(identity) if identity is not None else None
    if fault is not None:
        return fault
    deadline = parse_deadline(request.headers.get(DEADLINE_HEADER), route)
    if isinstance(deadline, Refusal):
        return deadline
    named = identity is not None
    return _Terms(identity if named else uuid.uuid4().hex, named, deadline)


def _refuse_full() -> Refusal:
    return Refusal(
        "gateway.body",
        "router",
        "callers' requests have used up the memory of this router",
        RefusalKind.FULL,
        Ran.NOT_RUN,
        RETURN_SECONDS,
    )


def _refuse_undecided(detail: str) -> Refusal:
    return Refusal(
        "gateway.configuration",
        "router",
        detail,
        RefusalKind.CONFIGURATION_UNDECIDED,
        Ran.NOT_RUN,
        RETURN_SECONDS,
    )
