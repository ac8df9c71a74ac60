"""Tests of hosts that lost the path to the runners while other hosts still have it."""

import contextlib
import contextvars

import anyio
import pytest

from ..relay.models import RetryPolicy
from .relays_in_memory import (
    MemoryStore,
    ScriptedRunner,
    answer_normally,
    make_configuration,
    make_route,
    make_runner,
    run_relay,
)

pytestmark = pytest.mark.anyio

SAFE = make_route(RetryPolicy.SAFE)
ONCE = make_route(RetryPolicy.ONCE)

RUNNERS = 4

is_cut_off = contextvars.ContextVar("is_cut_off", default=False)
"""Whether the current task belongs to a host without a path to the runners."""


async def refuse_connection():
    raise ConnectionRefusedError("cut off")


FAULTS = {"silent": anyio.sleep_forever, "refused": refuse_connection}


@contextlib.asynccontextmanager
async def run_two_relays(monkeypatch, *routes, fault="silent", respond=answer_normally):
    """Run two relays with the same runners, the second without a path to them."""
    store = MemoryStore()
    runners = [ScriptedRunner(respond) for _ in range(RUNNERS)]
    connect = anyio.connect_tcp

    async def connect_unless_cut_off(host, port, **options):
        address = f"{host}:{port}"
        if is_cut_off.get() and address in [runner.address for runner in runners]:
            await FAULTS[fault]()
        return await connect(host, port, **options)

    monkeypatch.setattr(anyio, "connect_tcp", connect_unless_cut_off)
    configuration = make_configuration(*routes)
    async with (
        run_relay(configuration, *runners, store=store, host="near") as near,
        run_relay(configuration, store=store, host="far") as far,
    ):
        for number, runner in enumerate(runners):
            far.table.set_runner(make_runner(f"i-{number}", runner.address))
        is_cut_off.set(True)
        yield near, far, runners


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("route", [SAFE, ONCE], ids=["safe", "once"])
async def test_host_without_path_to_runners_serves_its_callers(
    monkeypatch, route, fault
):
    """A host loses the path to all runners while another host still has it."""
    async with run_two_relays(monkeypatch, route, fault=fault) as (_, far, runners):
        answers = [await far.call(knapweedrail_request_id=f"id-{n}") for n in range(10)]
    assert [answer.status for answer in answers] == [200] * 10
    assert sum(len(runner.heads) for runner in runners) == 10
