"""A data centre that is partitioned from the others while callers still reach it."""

import time

import pytest

from ..relay.models import RetryPolicy
from ..relay.overload import (
    BALANCER_REACTION_SECONDS,
    MIN_OUT_OF_ROTATION_SECONDS,
    OverloadMonitor,
)
from ..relay.reachability import PARTITION_SECONDS
from ..relay.runners import RunnerTable
from .relays_in_memory import (
    ScriptedRunner,
    answer_normally,
    make_configuration,
    make_route,
    make_runner,
    run_relay,
)

pytestmark = pytest.mark.anyio

SAFE = make_route(RetryPolicy.SAFE)


def make_table(*data_centres):
    table = RunnerTable(grace_seconds=1.9)
    for number, data_centre in enumerate(data_centres):
        table.set_runner(make_runner(f"r-{number}", data_centre=data_centre))
    return table


def time_out(table, now, reachable="dc"):
    for view in table.list_views("e", now):
        if view.runner.data_centre != reachable:
            table.record_timeout(view, now)


def test_data_centre_is_partitioned_when_all_others_are_unreachable():
    table = make_table("dc", "east", "west")
    east = table.list_views("e", 0.0)[1]
    table.record_timeout(east, 10.0)
    assert not table.is_partitioned("dc", 10.1)
    time_out(table, 10.1)
    assert table.is_partitioned("dc", 10.2)
    assert not table.is_partitioned("dc", 10.2 + PARTITION_SECONDS)
    table.record_success(east, 0.1, 10.3)
    assert not table.is_partitioned("dc", 10.3)


def test_one_unreachable_data_centre_is_no_partition():
    """One of two data centres loses power. If the hosts of the other one left rotation
    for it, no data centre would serve callers."""
    table = make_table("dc", "east")
    time_out(table, 10.0)
    assert not table.is_partitioned("dc", 10.1)


def test_retry_after_covers_the_reaction_time_of_the_balancer():
    overload = OverloadMonitor()
    assert overload.record_partition(10.0)
    assert overload.is_out_of_rotation(10.0 + MIN_OUT_OF_ROTATION_SECONDS - 0.1)
    assert not overload.record_partition(11.0)
    assert overload.compute_redirect_delay(11.0) == pytest.approx(
        BALANCER_REACTION_SECONDS - 1.0
    )
    assert overload.compute_redirect_delay(20.0) == 0.0
    assert not overload.is_out_of_rotation(11.0 + MIN_OUT_OF_ROTATION_SECONDS)


async def test_partitioned_host_refuses_remote_only_requests_and_leaves_rotation():
    """A data centre without runners of an endpoint is partitioned. If the host tried
    remote ones, each request would wait one second for four connections to time out,
    and its retry would reach the same data centre again."""
    async with run_relay(make_configuration(SAFE)) as relay:
        relay.table.set_runner(make_runner("east", data_centre="east"))
        relay.table.set_runner(make_runner("west", data_centre="west"))
        time_out(relay.table, time.monotonic())
        began_at = time.monotonic()
        answer = await relay.call()
        seconds = time.monotonic() - began_at
        out_of_rotation = relay.gateway._services.overload.is_out_of_rotation(
            time.monotonic()
        )
    assert answer.status == 503
    assert b'"ran":"not run"' in answer.body
    assert (
        float(answer.headers["retry-after"])
        > BALANCER_REACTION_SECONDS - PARTITION_SECONDS
    )
    assert seconds < PARTITION_SECONDS
    assert out_of_rotation


async def test_partitioned_data_centre_with_local_runners_keeps_serving():
    runner = ScriptedRunner(answer_normally)
    async with run_relay(make_configuration(SAFE), runner) as relay:
        relay.table.set_runner(make_runner("east", data_centre="east"))
        relay.table.set_runner(make_runner("west", data_centre="west"))
        time_out(relay.table, time.monotonic())
        answer = await relay.call()
        out_of_rotation = relay.gateway._services.overload.is_out_of_rotation(
            time.monotonic()
        )
    assert answer.status == 200
    assert not out_of_rotation
