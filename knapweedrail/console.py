"""What the balancer, a scraper and operators ask of one router."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import orjson
from prometheus_client import CONTENT_TYPE_LATEST
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route

from .budget_messages import Describe, Description

if TYPE_CHECKING:
    from .routers import Router

HTTP_UNAVAILABLE = 503


class Console:
    """The application on the admin address.

    Args:
        router: The router that it shows.
    """

    def __init__(self, router: Router) -> None:
        self._router = router
        self.app = Starlette(
            routes=[
                Route("/healthz", self._tell_health),
                Route("/readyz", self._tell_readiness),
                Route("/metrics", self._show_metrics),
                Route("/state", self._show_state),
            ]
        )

    async def _tell_health(self, request: Request) -> Response:
        return PlainTextResponse("ok\n")

    async def _tell_readiness(self, request: Request) -> Response:
        if self._router.ready():
            return PlainTextResponse("ready\n")
        return PlainTextResponse("not ready\n", HTTP_UNAVAILABLE)

    async def _show_metrics(self, request: Request) -> Response:
        return Response(self._router.measures.render(), media_type=CONTENT_TYPE_LATEST)

    async def _show_state(self, request: Request) -> Response:
        router = self._router
        version = router.configuration.in_force
        staged = router.configuration.staged
        state = {
            "holder": str(router.membership.holder),
            "data_centre": router.settings.data_centre,
            "ready": router.ready(),
            "stopping": router.stopping,
            "under_way": router.intake.under_way,
            "configuration": {"number": version.number, "digest": version.digest},
            "staged": staged.number if staged is not None else None,
            "members": [_show_member(item) for item in router.membership.members()],
            "holdings": await self._list_holdings(),
        }
        return Response(orjson.dumps(state), media_type="application/json")

    async def _list_holdings(self) -> list[dict]:
        life = self._router.life
        if life is None:
            return []
        description: Description = await life.budgets.ask(Describe())
        return [attrs.asdict(item) for item in description.holdings]


def _show_member(member: object) -> dict:
    fields = attrs.asdict(member, recurse=False)
    fields["holder"] = str(member.holder)
    return fields
