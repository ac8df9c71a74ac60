"""Tests that a stream goes on within one answer only at the version that began it."""

import anyio
import attrs
import pytest

from ..relay.models import RetryPolicy
from .relays_in_memory import make_configuration, make_route, make_runner
from .versioned_runners import (
    INTERRUPTIONS,
    VersionedRunner,
    break_off,
    find_versions,
    run_versioned_relay,
)

pytestmark = pytest.mark.anyio

STREAM = make_route(RetryPolicy.STREAM, resumable=True, max_runners=3)
REQUESTS = 12


async def call_many(relay):
    """Send new streams at once, so that all runners are chosen."""
    answers = []

    async def call(number):
        answers.append(await relay.call(knapweedrail_request_id=f"id-{number}"))

    async with anyio.create_task_group() as group:
        for number in range(REQUESTS):
            group.start_soon(call, number)
    return answers


@pytest.mark.parametrize("interrupt", INTERRUPTIONS.values(), ids=INTERRUPTIONS)
async def test_broken_stream_goes_on_at_the_version_that_began_it(interrupt):
    """A host's next attempt after events were passed on mixes two versions."""
    versions = ["v1", "v1", "v2", "v2", "v3", "v3"]
    runners = [VersionedRunner(version, interrupt) for version in versions]
    async with run_versioned_relay(make_configuration(STREAM), runners) as relay:
        answers = await call_many(relay)
    assert {len(find_versions(answer.body)) for answer in answers} == {1}
    assert all(answer.complete for answer in answers)
    assert {v for a in answers for v in find_versions(a.body)} == set(versions)


async def test_stream_without_another_runner_of_its_version_is_broken_off():
    """A stream whose version nobody else has goes on at another version."""
    runners = [VersionedRunner("v1"), VersionedRunner("v2", interrupt=None)]
    async with run_versioned_relay(make_configuration(STREAM), runners) as relay:
        answers = await call_many(relay)
    assert runners[0].begun and runners[1].begun
    assert all(len(find_versions(answer.body)) == 1 for answer in answers)
    complete = [answer.complete for answer in answers]
    assert complete == [find_versions(a.body) == {"v2"} for a in answers]


async def test_stream_does_not_go_on_at_a_runner_of_unknown_version():
    """A runner found in place of another may have newer software than its entry."""
    runners = [VersionedRunner("v1", interrupt=None), VersionedRunner("v1")]
    async with run_versioned_relay(make_configuration(STREAM), runners) as relay:
        first, second = (relay.table.find_runner(f"i-{n}") for n in range(2))
        runners[0].version = "v2"
        successor = attrs.evolve(first, name="i-9", started=5, version=None)
        relay.table.add_successor(first.incarnation, successor, 0.0)
        relay.table.remove_runner(first.name, 0.0)
        answers = await call_many(relay)
    assert {len(find_versions(answer.body)) for answer in answers} == {1}


async def test_stream_does_not_go_on_at_a_restarted_runner_of_another_version():
    """A runner that restarts under its name may have new software."""
    runners = [VersionedRunner("v1"), VersionedRunner("v1")]
    async with run_versioned_relay(make_configuration(STREAM), runners) as relay:
        entry = relay.table.find_runner("i-1")
        restarted = attrs.evolve(entry, started=7, version="v2")

        async def restart(stream):
            runners[1].version = "v2"
            relay.table.set_runner(restarted)
            await break_off(stream)

        runners[0].interrupt = restart
        # One by one: a process that restarts doesn't go on with what it had begun.
        answers = [
            await relay.call(knapweedrail_request_id=f"id-{n}") for n in range(REQUESTS)
        ]
    assert all(len(find_versions(answer.body)) == 1 for answer in answers)
    assert runners[0].begun


async def test_stream_goes_on_where_no_entry_states_a_version():
    """Entries without a version must not keep streams from going on."""
    runners = [VersionedRunner(""), VersionedRunner("")]
    async with run_versioned_relay(make_configuration(STREAM), runners) as relay:
        relay.table.set_runner(
            make_runner("i-0", relay.table.find_runner("i-0").address)
        )
        answers = await call_many(relay)
    assert all(answer.complete for answer in answers)
