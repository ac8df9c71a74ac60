"""HTTP interface of the relay for callers: admission, forwarding and refusals."""

from __future__ import annotations

import time

import anyio
import attrs
import orjson

from ..events import Event, log_event
from ..exchanges import find_content_length, find_lease
from ..outcomes import Ran, Refusal, RefusalKind
from .drain_control import DrainController, is_duration_sample
from .forwarding import Broken, RequestForwarder
from .holdings import Holdings
from .models import Account, CallerRequest, Malformed, RetryPolicy, Route
from .refusals import (
    HTTP_STATUSES,
    OUT_OF_REACH_RETRY_AFTER_SECONDS,
    draw_retry_after,
    refuse,
    refuse_malformed,
    refuse_not_resumable,
    refuse_overloaded,
    refuse_stopped,
    refuse_unknown,
)
from .request_bodies import CallerDisconnected, Receive, receive_body
from .request_context import Answered, RequestContext, Services, name_stream
from .reservations import Reservation, Shortage
from .response_writer import ResponseWriter, Send
from .routes import RouteTable, choose_endpoint
from .scheduling.placement import Choice
from .stream_origins import StreamOrigin
from .streams import StreamProgress
from .suspects import make_fingerprint, make_part_fingerprints
from .watchers import ConfigurationWatcher


@attrs.frozen
class Admission:
    """Route and client account of an admitted request.

    Attributes:
        route: Route of the request.
        account: Client account; ``None`` if the route needs no key.
    """

    route: Route
    account: Account | None


class Gateway:
    """ASGI application that forwards callers' requests to runners.

    Args:
        services: Dependencies that all requests share.
        configuration: Source of the current configuration.
        holdings: Prepaid tokens that this relay holds.

    Attributes:
        active_requests: Number of requests in progress.
        last_request_at: Arrival of the latest request, monotonic seconds.
        drain: Admission and cancellation of requests while the process shuts down.
    """

    def __init__(
        self,
        services: Services,
        configuration: ConfigurationWatcher,
        holdings: Holdings,
    ) -> None:
        self._services = services
        self._configuration = configuration
        self._holdings = holdings
        self.active_requests = 0
        self.last_request_at = float("-inf")
        self.drain = DrainController(services.rng)

    async def __call__(self, scope: dict, receive: Receive, send: Send) -> None:
        """Handle one request."""
        if scope["type"] != "http":
            return
        self.active_requests += 1
        self.last_request_at = time.monotonic()
        lease = find_lease(scope)
        response = ResponseWriter(send, self._should_close_connections, lease)
        try:
            await self._handle_request(scope, receive, response)
        except CallerDisconnected:
            log_event(Event.CALLER_GONE, path=scope["path"])
        except Exception as error:
            # The server closes the connection, so the caller can't mistake what it has
            # received for a complete answer.
            log_event(Event.TASK_FAILED, task="request", error=repr(error))
            raise
        except anyio.get_cancelled_exc_class():
            # The server cancelled the request, either before its admission or while
            # its response was being sent.
            if not response.complete:
                log_event(Event.REQUEST_CUT_OFF, path=scope["path"])
            raise
        finally:
            self.active_requests -= 1

    def _should_close_connections(self) -> bool:
        """Return whether callers should reconnect, so that they reach another host."""
        return self.drain.active or self._services.overload.is_out_of_rotation(
            time.monotonic()
        )

    async def _handle_request(
        self, scope: dict, receive: Receive, response: ResponseWriter
    ) -> None:
        arrived_at = time.monotonic()
        request = self._services.codec.decode_request(
            scope["method"], scope["raw_path"], scope["query_string"], scope["headers"]
        )
        if isinstance(request, Malformed):
            # The end of a malformed request can't be determined. The bytes that follow
            # may be its body and must not be run as another request.
            response.close_connection_after()
            await self._refuse(response, "", refuse_malformed(request.reason))
            return
        admission = self._admit(request)
        if isinstance(admission, Refusal):
            await self._refuse(response, request.identity, admission)
            return
        wait = min(request.deadline or float("inf"), admission.route.timeout)
        deadline_at = arrived_at + wait
        self._services.unknown_request_headers.record(request.unknown_headers, "")
        table: RouteTable = self._configuration.table  # type: ignore[assignment]
        max_bytes = table.configuration.limits.body_bytes
        with self.drain.bound_by_shutdown() as shutdown_scope:
            announced = find_content_length(scope)
            body = await receive_body(receive, max_bytes, deadline_at, announced)
        if shutdown_scope.cancelled_caught:
            body = refuse_stopped(self._services.rng)
        if isinstance(body, Refusal):
            if body.kind in (RefusalKind.TOO_LARGE, RefusalKind.FULL):
                response.close_connection_after()
            await self._refuse(response, request.identity, body)
            return
        now = time.monotonic()
        refusal = self.drain.check_request(request, admission.route, now, deadline_at)
        if refusal is not None:
            await self._refuse(response, request.identity, refusal)
            return
        if self._services.overload.should_shed(self._services.rng, now):
            # Only after the body was received: closing a connection with unread bytes
            # resets it, and the caller may lose the refusal.
            response.close_connection_after()
            refusal = refuse_overloaded(
                self._services.overload, now, self._services.rng
            )
            await self._refuse(response, request.identity, refusal)
            return
        await self._run_until_disconnect(
            request, body, admission, deadline_at, receive, response
        )

    def _admit(self, request: CallerRequest) -> Admission | Refusal:
        table = self._configuration.table
        if table is None:
            return refuse(
                RefusalKind.CONFIGURATION_UNDECIDED,
                "no configuration is known yet",
                draw_retry_after(self._services.rng),
            )
        if not request.identity:
            return refuse_malformed("the request has no identity")
        route = table.find_route(request.host, request.path)
        if route is None:
            return self._refuse_unknown(RefusalKind.UNKNOWN_ROUTE, "no such route")
        if not (route.needs_key and table.needs_keys):
            return Admission(route, None)
        account = table.find_account(request.key)
        if account is None:
            return self._refuse_unknown(RefusalKind.UNKNOWN_KEY, "no such key")
        return Admission(route, account)

    def _refuse_unknown(self, kind: RefusalKind, detail: str) -> Refusal:
        now = time.monotonic()
        age = now - self._configuration.confirmed_at
        overdue = self._configuration.is_overdue(now)
        return refuse_unknown(kind, detail, age, overdue, self._services.rng)

    async def _run_until_disconnect(
        self,
        request: CallerRequest,
        body: bytes,
        admission: Admission,
        deadline_at: float,
        receive: Receive,
        response: ResponseWriter,
    ) -> None:
        """Run a request whose body is complete; cancel it if the caller disconnects."""
        async with anyio.create_task_group() as group:

            async def cancel_on_disconnect() -> None:
                while (await receive())["type"] != "http.disconnect":
                    pass
                if not response.complete:
                    log_event(Event.CALLER_GONE, request=request.identity)
                    group.cancel_scope.cancel()

            group.start_soon(cancel_on_disconnect)
            await self._run_request(request, body, admission, deadline_at, response)
            group.cancel_scope.cancel()

    async def _run_request(
        self,
        request: CallerRequest,
        body: bytes,
        admission: Admission,
        deadline_at: float,
        response: ResponseWriter,
    ) -> None:
        route, account = admission.route, admission.account
        table: RouteTable = self._configuration.table  # type: ignore[assignment]
        endpoint_name = choose_endpoint(route, self._services.rng)
        origin = None
        if request.last_event is not None and route.retry_policy is RetryPolicy.STREAM:
            with self.drain.bound_by_shutdown() as shutdown_scope:
                origin = await self._find_origin(admission, request, endpoint_name)
            if shutdown_scope.cancelled_caught:
                origin = refuse_stopped(self._services.rng)
            if isinstance(origin, Refusal):
                await self._refuse(response, request.identity, origin)
                return
            if origin.endpoint in {share.endpoint for share in route.shares}:
                endpoint_name = origin.endpoint
        endpoint = table.configuration.endpoints.get(endpoint_name)
        if endpoint is None:
            refusal = refuse(
                RefusalKind.NO_ENDPOINT, f"no endpoint {endpoint_name}", 1.0
            )
            await self._refuse(response, request.identity, refusal)
            return
        self._services.retry_budget.record_request(endpoint_name, time.monotonic())
        account_name = account.name if account else ""
        fingerprints = (
            make_fingerprint(account_name, request.method, request.target, body),
            *make_part_fingerprints(request.parts),
        )
        refusal = self._services.crash_detector.refuse_quarantined(
            request.identity, fingerprints
        )
        if refusal is not None:
            await self._refuse(response, request.identity, refusal)
            return
        with self.drain.bound_by_shutdown() as shutdown_scope:
            reservation = await self._reserve_tokens(account, request)
        if shutdown_scope.cancelled_caught:
            reservation = refuse_stopped(self._services.rng)
        if isinstance(reservation, Refusal):
            await self._refuse(response, request.identity, reservation)
            return
        stored = None
        if route.resumable and origin is None:
            versions = self._services.resumptions.versions
            stored = await versions.wait_for_bound(endpoint_name)
        context = RequestContext(
            services=self._services,
            request=request,
            body=body,
            route=route,
            endpoint=endpoint,
            account=account.name if account else None,
            priorities=table.compute_priorities(route, account),
            fingerprints=fingerprints,
            deadline_at=deadline_at,
            response=response,
            progress=StreamProgress(request.last_event),
            origin=origin,
            stored=stored,
            reservation=reservation,
        )
        began_at = time.monotonic()
        forwarder = RequestForwarder(context)
        outcome = await self._run_until_shutdown(forwarder)
        used = forwarder.count_tokens()
        self._record_outcome(context, table, outcome, began_at, used)
        match outcome:
            case Refusal():
                await self._refuse(response, request.identity, outcome)
            case Broken(detail):
                # The end of the stream isn't sent and the server closes the connection,
                # so the caller can't mistake the answer for a complete one.
                log_event(
                    Event.STREAM_BROKEN,
                    request=request.identity,
                    detail=detail,
                    sent_to=context.counted_attempts,
                    resumable=route.resumable,
                )
            case Answered():
                pass

    async def _find_origin(
        self, admission: Admission, request: CallerRequest, endpoint: str
    ) -> StreamOrigin | Refusal:
        """Return what began the stream that a caller resumes.

        A route whose traffic is split may have begun it at any of its endpoints.

        Args:
            endpoint: The endpoint that was chosen for this attempt.
        """
        others = [share.endpoint for share in admission.route.shares]
        endpoints = list(dict.fromkeys([endpoint, *others]))
        account = admission.account.name if admission.account else None
        stream = name_stream(account, request)
        origin = await self._services.resumptions.find_origin(
            stream, endpoints, request.identity
        )
        if origin is None:
            detail = "what began the stream isn't known; begin it anew"
            return refuse_not_resumable(detail, self._services.rng)
        return origin

    async def _run_until_shutdown(
        self, forwarder: RequestForwarder
    ) -> Answered | Broken | Refusal:
        """Run a forwarder, and abort it at the time limit that a shutdown sets."""
        route, began_at = forwarder.route, time.monotonic()
        timing_id = self.drain.answer_durations.begin(route.name, began_at)
        outcome = None
        try:
            with self.drain.bound_by_shutdown() as shutdown_scope:
                outcome = await forwarder.run()
            if shutdown_scope.cancelled_caught:
                outcome = forwarder.abort()
            return outcome
        finally:
            self.drain.answer_durations.end(
                route.name, timing_id, time.monotonic(), is_duration_sample(outcome)
            )

    def _record_outcome(
        self,
        context: RequestContext,
        table: RouteTable,
        outcome: Answered | Broken | Refusal,
        began_at: float,
        used: int,
    ) -> None:
        metrics = self._services.metrics
        route = context.route.name
        kind = type(outcome).__name__.lower()
        metrics.requests.add(1, {"route": route, "outcome": kind})
        first_byte_at = context.response.first_byte_at
        if first_byte_at is not None:
            metrics.first_byte.record(first_byte_at - began_at, {"route": route})
        gap = context.response.longest_gap
        if gap is not None:
            # Recorded once for each stream, as recording a value for each chunk would
            # cost more than passing the chunk on.
            metrics.gaps.record(gap, {"route": route})
        if not isinstance(outcome, Answered):
            return
        now = time.monotonic()
        log_event(
            Event.REQUEST_ANSWERED,
            request=context.request.identity,
            route=route,
            account=context.account,
            runner=outcome.runner,
            status=outcome.status,
            framing=outcome.framing.value,
            unfinished=outcome.unfinished_bytes,
            sent_to=context.counted_attempts,
            tokens=context.request.prompt_tokens,
            used=used,
            prefix=[f"{part.name}:{part.tokens}" for part in context.request.parts],
            first_byte=round((first_byte_at or now) - began_at, 4),
            seconds=round(now - began_at, 4),
            configuration=table.configuration.version,
            configuration_age=round(now - self._configuration.confirmed_at, 2),
            **_describe_choice(context.choice),
        )

    async def _reserve_tokens(
        self, account: Account | None, request: CallerRequest
    ) -> Reservation | Refusal:
        if account is None:
            return Reservation(None, 0)
        result = await self._holdings.reserve(account, request.max_tokens)
        if isinstance(result, Shortage):
            log_event(
                Event.TOKENS_SHORT,
                request=request.identity,
                account=account.name,
                tokens=request.max_tokens,
                **self._holdings.describe(account),
            )
        match result:
            case Shortage.SPENT:
                return refuse(RefusalKind.BUDGET_SPENT, result.value, None)
            case Shortage.HELD_ELSEWHERE | Shortage.OUT_OF_REACH:
                return refuse(
                    RefusalKind.BUDGET_OUT_OF_REACH,
                    result.value,
                    self._services.rng.uniform(*OUT_OF_REACH_RETRY_AFTER_SECONDS),
                )
        return result

    async def _refuse(
        self, response: ResponseWriter, identity: str, refusal: Refusal
    ) -> None:
        log_event(
            Event.REQUEST_REFUSED,
            request=identity,
            kind=refusal.kind.value,
            ran=refusal.ran.value,
            peer=refusal.peer,
            detail=refusal.detail,
        )
        self._services.metrics.refusals.add(1, {"kind": refusal.kind.value})
        status = HTTP_STATUSES.get(refusal.kind, 503)
        if status == 503 and refusal.ran is not Ran.NOT_RUN:
            status = 502
        body = orjson.dumps(
            {
                "type": f"urn:knapweedrail:refusal:{refusal.kind.value}",
                "status": status,
                "detail": refusal.detail,
                "ran": refusal.ran.value,
            }
        )
        headers = self._services.codec.encode_refusal(identity, refusal.retry_after)
        await response.send_whole(status, headers, body)


def _describe_choice(choice: Choice | None) -> dict[str, object]:
    """Return the fields of a log line on how a runner was chosen by cost."""
    if choice is None or choice.long is None:
        return {}
    return {
        "prompt": "long" if choice.long else "short",
        "own_side": choice.own_side,
        "estimate": round(choice.seconds, 3),
    }
