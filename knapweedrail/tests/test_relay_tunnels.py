"""Tests of hosts that lost the path to the runners while other hosts still have it."""

import contextlib
import contextvars
import signal
import sys

import anyio
import attrs
import pytest

from ..relay.connections import reset_stream
from ..relay.direct_paths import PRESUMED_AFTER, PROBE_INTERVAL_SECONDS
from ..relay.models import Member, RetryPolicy, RunnerIncarnation
from ..relay.tunnels import UNKNOWN_RUNNER, ConnectRequest, open_tunnel
from .relays_in_memory import (
    MemoryRelay,
    MemoryStore,
    ScriptedRunner,
    answer_normally,
    make_answer,
    make_chunk,
    make_configuration,
    make_event,
    make_route,
    make_runner,
    make_stream_head,
    run_relay,
)

pytestmark = pytest.mark.anyio

SAFE = make_route(RetryPolicy.SAFE)
ONCE = make_route(RetryPolicy.ONCE)
STREAM = make_route(RetryPolicy.STREAM, resumable=False)

RUNNERS = 4

current_host = contextvars.ContextVar("current_host", default="")
"""Host on which the current task runs."""


@attrs.define
class World:
    """Two relays with the same runners.

    Attributes:
        near: Relay on a host with a path to the runners.
        far: Relay on a host that may have none.
        runners: The runners.
        cut_off: Names of the hosts without a path to the runners.
    """

    near: MemoryRelay
    far: MemoryRelay
    runners: list[ScriptedRunner]
    cut_off: set[str]

    @property
    def received(self) -> int:
        """Number of requests that the runners received."""
        return sum(len(runner.heads) for runner in self.runners)


async def refuse_connection():
    raise ConnectionRefusedError("cut off")


FAULTS = {"silent": anyio.sleep_forever, "refused": refuse_connection}


@contextlib.asynccontextmanager
async def run_two_relays(monkeypatch, *routes, fault="silent", respond=answer_normally):
    """Run two relays with the same runners, the second without a path to them."""
    store = MemoryStore()
    runners = [ScriptedRunner(respond) for _ in range(RUNNERS)]
    cut_off = {"far"}
    connect = anyio.connect_tcp

    async def connect_unless_cut_off(host, port, **options):
        address = f"{host}:{port}"
        if current_host.get() in cut_off and address in [r.address for r in runners]:
            await FAULTS[fault]()
        return await connect(host, port, **options)

    monkeypatch.setattr(anyio, "connect_tcp", connect_unless_cut_off)
    configuration = make_configuration(*routes)
    options = {"store": store, "registers": True}
    async with run_relay(configuration, *runners, host="near", **options) as near:
        current_host.set("far")
        async with run_relay(configuration, host="far", **options) as far:
            for number, runner in enumerate(runners):
                far.table.set_runner(make_runner(f"i-{number}", runner.address))
            yield World(near, far, runners, cut_off)


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("route", [SAFE, ONCE], ids=["safe", "once"])
async def test_host_without_path_to_runners_serves_its_callers(
    monkeypatch, route, fault
):
    """A host loses the path to all runners while another host still has it."""
    async with run_two_relays(monkeypatch, route, fault=fault) as world:
        answers = [
            await world.far.call(knapweedrail_request_id=f"id-{n}") for n in range(10)
        ]
    assert [answer.status for answer in answers] == [200] * 10
    assert world.received == 10


async def call_until_lost(relay):
    """Send requests until the paths to all runners count as lost."""
    for n in range(2):
        await relay.call(knapweedrail_request_id=f"first-{n}")


async def test_stream_passes_event_by_event(monkeypatch):
    """A tunnel that buffers would deliver a stream's events late."""
    release = anyio.Event()

    async def stream_events(stream, head):
        await stream.send(make_stream_head(head) + make_chunk(make_event(1)))
        await release.wait()
        await stream.send(make_chunk(make_event(2)) + make_chunk(b""))
        return True

    async with run_two_relays(monkeypatch, STREAM, respond=stream_events) as world:
        answers = []
        async with anyio.create_task_group() as group:
            group.start_soon(call_and_append, world.far, answers)
            with anyio.fail_after(3):
                while not world.received:
                    await anyio.sleep(0.01)
            release.set()
    assert answers[0].complete and answers[0].body == make_event(1) + make_event(2)


async def call_and_append(relay, answers):
    answers.append(await relay.call())


async def test_runner_notices_that_the_caller_disconnected(monkeypatch):
    """A runner would go on working for a caller who is gone."""
    gone = anyio.Event()

    async def wait_for_end(stream, head):
        with contextlib.suppress(anyio.BrokenResourceError, anyio.EndOfStream):
            await stream.receive()
        gone.set()
        return False

    async with run_two_relays(monkeypatch, ONCE, respond=wait_for_end) as world:
        await world.far.call(disconnects_after=1.0)
        with anyio.fail_after(1):
            await gone.wait()


@pytest.mark.parametrize("reset", [False, True])
async def test_reset_is_told_from_the_end_of_an_answer(monkeypatch, reset):
    """An answer without a length that is reset on the way must not look complete."""

    async def answer_without_length(stream, head):
        answer = make_answer(head).replace(b"Content-Length: 2\r\n", b"")
        await stream.send(answer)
        if reset:
            await anyio.sleep(0.05)
            await reset_stream(stream)
        return False

    async with run_two_relays(
        monkeypatch, ONCE, respond=answer_without_length
    ) as world:
        answer = await world.far.call()
    assert answer.status == (502 if reset else 200)


async def test_host_connects_directly_once_the_path_is_back(monkeypatch):
    """A host whose path is back would keep burdening other hosts."""
    async with run_two_relays(monkeypatch, SAFE) as world:
        await call_until_lost(world.far)
        assert world.near.tunnels.opened_count
        world.cut_off.clear()
        await anyio.sleep(PROBE_INTERVAL_SECONDS)
        for _ in range(2 * RUNNERS):
            await world.far.call()
            await anyio.sleep(0.02)
        opened = world.near.tunnels.opened_count
        answers = [await world.far.call() for _ in range(5)]
    assert [answer.status for answer in answers] == [200] * 5
    assert world.near.tunnels.opened_count == opened


async def test_relay_that_shuts_down_finishes_its_tunnels(monkeypatch):
    """Callers of another host would lose the answers that are under way."""

    async def answer_slowly(stream, head):
        await anyio.sleep(0.3)
        return await answer_normally(stream, head)

    async with run_two_relays(monkeypatch, ONCE, respond=answer_slowly) as world:
        answers = []
        async with anyio.create_task_group() as group:
            group.start_soon(call_and_append, world.far, answers)
            while not world.received:
                await anyio.sleep(0.01)
            await world.near.tunnels.drain(anyio.current_time() + 2)
        refused = await world.far.call()
    assert answers[0].status == 200
    assert refused.status == 503


async def test_tunnel_leads_only_to_listed_runners(monkeypatch):
    """Whoever reaches the port could connect to any address through this host."""
    async with run_two_relays(monkeypatch, SAFE) as world:
        member = Member("near", "near/1", tunnel_address=world.near.tunnels.address)
        address = world.runners[0].address
        for runner, target in [
            (RunnerIncarnation("other"), address),
            (RunnerIncarnation("i-0", 7), address),
            (RunnerIncarnation("i-0", 0), "127.0.0.1:9"),
        ]:
            opened = await open_tunnel(member, ConnectRequest(runner, target))
            assert opened.status == UNKNOWN_RUNNER


async def test_malformed_request_for_a_tunnel_is_rejected(monkeypatch):
    """Other software that connects to the port must get an answer."""
    async with run_two_relays(monkeypatch, SAFE) as world:
        for request in (b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", b"no http\r\n\r\n"):
            host, port = world.near.tunnels.address.split(":")
            async with await anyio.connect_tcp(host, int(port)) as stream:
                await stream.send(request)
                assert (await stream.receive()).startswith(b"HTTP/1.1 400")


async def test_error_of_one_tunnel_ends_no_other(monkeypatch):
    """A tunnel that ends with an error would end the server and its process."""
    async with run_two_relays(monkeypatch, SAFE) as world:
        connect = world.near.tunnels._connector.connect_for_other
        failures = iter([RuntimeError("broken")])

        async def connect_or_fail(request):
            for error in failures:
                raise error
            return await connect(request)

        world.near.tunnels._connector.connect_for_other = connect_or_fail
        answers = [await world.far.call() for _ in range(3)]
    assert [answer.status for answer in answers][1:] == [200, 200]


async def test_declined_tunnels_count_as_no_crash_of_the_runner(monkeypatch):
    """Requests that broke off before would be suspected of crashing a sound runner."""
    async with run_two_relays(monkeypatch, SAFE) as world:
        while world.far.tunnels._connector.lost_count < PRESUMED_AFTER:
            await call_until_lost(world.far)
        crashes = []
        suspects = world.far.gateway._services.suspects
        monkeypatch.setattr(
            suspects, "record_crash", lambda runner, now: crashes.append(runner) or []
        )
        world.near.tunnels.draining = True
        answer = await world.far.call()
    assert answer.status == 503
    assert not crashes


KILLED_HOST = """
import os, signal, time
import anyio
from knapweedrail.relay.connections import set_reset_on_close

async def answer(stream):
    set_reset_on_close(stream, True)
    await stream.receive()
    await stream.send(b"HTTP/1.1 200 OK\\r\\n\\r\\npart of an answer")
    time.sleep(0.1)
    os.kill(os.getpid(), signal.SIGKILL)

async def main():
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    print(listener.extra(anyio.abc.SocketAttribute.local_port), flush=True)
    await listener.serve(answer)

anyio.run(main)
"""
"""Program of a host that is killed while it passes on an answer without a length."""


async def test_killed_host_resets_the_answers_that_it_passes_on():
    """An orderly end would be taken for the end of an answer without a length."""
    command = [sys.executable, "-c", KILLED_HOST]
    async with await anyio.open_process(command, stderr=None) as process:
        port = int(await process.stdout.receive())
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            await stream.send(b"GET / HTTP/1.1\r\n\r\n")
            with pytest.raises(anyio.BrokenResourceError):
                while await stream.receive():
                    pass
    assert process.returncode == -signal.SIGKILL
