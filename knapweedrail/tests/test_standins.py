"""Tests of the stand-ins: the faults on which other tests rely do happen."""

import os
import socket

import anyio
import httpx
import pytest

from ..outcomes import Conflict, Found, Missing, Unavailable, Unknown, Written
from ..platforms import CREATE, HttpPlatform
from ..standins.generation import make_token
from ..standins.processes import Standin, start_all, wait_for
from ..standins.serving import read_counts_file

CHAT = "/v1/chat/completions"


@pytest.fixture(scope="module")
def standins(tmp_path_factory):
    """Start one of each stand-in."""
    counts = tmp_path_factory.mktemp("counts") / "engine"
    found = {
        "platform": Standin("platform"),
        "engine": Standin("engine", "--counts-file", str(counts)),
        "booking": Standin("booking"),
        "proxy": Standin("proxy"),
    }
    start_all(list(found.values()))
    found["counts"] = counts
    yield found
    for name in ("platform", "engine", "booking", "proxy"):
        found[name].close()


def ask(words, **options):
    """Make the body of a streamed request."""
    message = {"role": "user", "content": words}
    return {"messages": [message], "stream": True} | options


def call_platform(standin, work):
    """Run ``work(client)`` with a client of the platform."""

    async def run():
        client = HttpPlatform(f"http://{standin.address}", timeout=1.0)
        await client.start()
        try:
            return await work(client)
        finally:
            await client.close()

    return anyio.run(run)


def test_a_conditional_write_takes_effect_once_and_wakes_watches(standins):
    async def work(client):
        first = await client.write("a/1", b"one", CREATE)
        again = await client.write("a/1", b"two", CREATE)
        seen = {}

        async def watch():
            seen["changes"] = await client.watch("a/", first.version, 5.0)

        async with anyio.create_task_group() as group:
            group.start_soon(watch)
            await anyio.sleep(0.05)
            second = await client.write("a/1", b"two", first.version)
        assert again == Conflict(first.version)
        assert [c.version for c in seen["changes"].changes] == [second.version]
        assert await client.read("a/1") == Found(b"two", second.version)
        assert await client.read("a/2") == Missing()

    call_platform(standins["platform"], work)


def test_a_lost_answer_is_unknown_and_its_write_stands(standins):
    """The platform writes and the connection ends before the answer.

    The writer can't tell it from a write that never arrived.
    """
    platform = standins["platform"]
    platform.set_faults(lose=1, lose_prefix="lost/")

    async def work(client):
        assert isinstance(await client.write("kept/1", b"x", CREATE), Written)
        assert isinstance(await client.write("lost/1", b"x", CREATE), Unknown)
        assert isinstance(await client.read("lost/1"), Found)

    call_platform(platform, work)


def test_an_outage_a_stale_read_and_a_rate_limit_are_seen(standins):
    """The platform fails in one way after the other.

    A caller sees errors, an old value, and refusals above the rate.
    """
    platform = standins["platform"]

    async def work(client):
        first = await client.write("b/1", b"old", CREATE)
        await client.write("b/1", b"new", first.version)
        platform.set_faults(stale=1)
        assert (await client.read("b/1")).value == b"old"
        assert (await client.read("b/1")).value == b"new"
        platform.set_faults(outage=True)
        assert isinstance(await client.read("b/1"), Unavailable)
        platform.set_faults(outage=False, rate=1)
        await client.read("b/1")
        assert isinstance(await client.read("b/1"), Unavailable)
        platform.set_faults(rate=0)

    call_platform(platform, work)


def read_texts(response):
    """Return contents and event ids of a streamed answer, until it ends."""
    chunks = []
    for line in response.iter_lines():
        if line.startswith("data: ") and line != "data: [DONE]":
            chunks.append(httpx.Response(200, text=line[6:]).json())
    return [chunk["choices"][0]["delta"]["content"] for chunk in chunks]


def test_a_stream_is_resumed_by_offset_on_another_connection(standins):
    """The connection ends after two chunks of an answer.

    The engine goes on, and a second connection gets the rest, nothing twice.
    """
    engine = standins["engine"]
    url = f"http://{engine.address}{CHAT}"
    headers = {"X-Request-Identity": "a:resume"}
    with httpx.stream("POST", url, json=ask("x y"), headers=headers) as response:
        next(response.iter_lines())
    headers["X-Resume-Offset"] = "2"
    with httpx.stream("POST", url, json=ask("x y"), headers=headers) as response:
        rest = read_texts(response)
    assert rest == [make_token("a:resume", index) for index in range(2, 32)]
    count = engine.get("/counts")["requests"]["a:resume"]
    assert count == {"runs": 1, "tokens": 34}


def test_a_cancelled_run_generates_nothing_after_the_answer(standins):
    """A caller leaves and its run is stopped; the usage told is all there is."""
    engine = standins["engine"]
    url = f"http://{engine.address}{CHAT}"
    headers = {"X-Request-Identity": "a:cancel"}
    body = ask("x [tokens:1000]", max_tokens=1000)
    with httpx.stream("POST", url, json=body, headers=headers) as response:
        lines = response.iter_lines()
        next(lines)
        told = engine.post("/v1/cancel", {"identity": "a:cancel"})["usage"]
        assert "data: [DONE]" not in list(lines)
    count = engine.get("/counts")["requests"]["a:cancel"]
    assert count["tokens"] == told["total_tokens"] < 1002


def test_a_silenced_connection_never_answers_and_a_new_one_does(standins):
    """Something between the ends loses track of the open connections.

    A caller on an old one waits in vain, and a new connection works.
    """
    engine = standins["engine"]
    url = f"http://{engine.address}{CHAT}"
    with httpx.Client(timeout=0.3) as old:
        old.post(url, json=ask("a", max_tokens=1))
        engine.set_faults(silence=True)
        with pytest.raises(httpx.ReadTimeout):
            old.post(url, json=ask("b", max_tokens=1))
    assert httpx.post(url, json=ask("b", max_tokens=1)).status_code == 200


def test_a_booking_whose_answer_is_lost_has_run(standins):
    """A slot is booked and the answer gets lost; the caller can't know."""
    booking = standins["booking"]
    booking.set_faults(lose=1)
    headers = {"X-Request-Identity": "a:slot"}
    url = f"http://{booking.address}/slots/7"
    with pytest.raises(httpx.RemoteProtocolError):
        httpx.post(url, headers=headers)
    assert booking.get("/counts")["requests"]["a:slot"]["runs"] == 1


def add_route(proxy, name, target):
    """Add a route and return the URL that leads through it."""
    port = proxy.post("/routes", {"name": name, "target": target.address})["port"]
    return f"http://127.0.0.1:{port}"


def test_a_cut_route_refuses_and_works_again_on_the_same_port(standins):
    """A link is cut: open connections are reset and new ones refused."""
    proxy = standins["proxy"]
    url = add_route(proxy, "cut", standins["booking"])
    with httpx.Client() as client:
        assert client.get(f"{url}/x").status_code == 200
        proxy.set_faults(routes=["cut"], mode="cut")
        with pytest.raises(httpx.ConnectError):
            client.get(f"{url}/x")
        proxy.set_faults(routes=["cut"], mode="pass")
        assert client.get(f"{url}/x").status_code == 200


def test_a_held_way_back_loses_no_byte_and_brings_it_late(standins):
    """One direction of a link stalls: the call arrives, its answer doesn't.

    The answer comes as soon as the link passes again.
    """
    proxy, booking = standins["proxy"], standins["booking"]
    url = add_route(proxy, "held", booking)
    proxy.set_faults(routes=["held"], mode="hold_down")
    port = int(url.rpartition(":")[2])
    with socket.create_connection(("127.0.0.1", port)) as caller:
        caller.sendall(b"GET /x HTTP/1.1\r\nHost: x\r\nX-Request-Identity: h\r\n\r\n")
        wait_for(lambda: "h" in booking.get("/counts")["requests"], "the run")
        caller.settimeout(0.2)
        with pytest.raises(TimeoutError):
            caller.recv(1)
        proxy.set_faults(routes=["held"], mode="pass")
        caller.settimeout(20.0)
        assert caller.recv(100).startswith(b"HTTP/1.1 200")


def test_a_link_is_held_for_one_source_alone(standins):
    """One process can't reach a runner that others go on reaching."""
    proxy = standins["proxy"]
    url = add_route(proxy, "single", standins["booking"])
    proxy.post("/sources", {"this": os.getpid(), "other": standins["engine"].id})
    proxy.set_faults(routes=["single"], sources=["other"], mode="hold")
    assert httpx.get(f"{url}/x").status_code == 200
    proxy.set_faults(routes=["single"], sources=["this"], mode="hold")
    with pytest.raises(httpx.ReadTimeout):
        httpx.get(f"{url}/x", timeout=0.2)


def test_frozen_connections_stay_silent_and_new_ones_work(standins):
    """A connection that was open goes silent for good; a new one works."""
    proxy = standins["proxy"]
    url = add_route(proxy, "frozen", standins["booking"])
    with httpx.Client(timeout=0.3) as old:
        old.get(f"{url}/x")
        proxy.set_faults(routes=["frozen"], freeze=True)
        with pytest.raises(httpx.ReadTimeout):
            old.get(f"{url}/x")
    assert httpx.get(f"{url}/x").status_code == 200


def test_a_poisoned_prompt_ends_the_engine_and_its_counts_survive(standins):
    """One request fells the engine that runs it; what it used stays counted."""
    engine = standins["engine"]
    engine.set_faults(poison="xyzzy")
    url = f"http://{engine.address}{CHAT}"
    with pytest.raises(httpx.RemoteProtocolError):
        httpx.post(
            url, json=ask("say xyzzy"), headers={"X-Request-Identity": "a:poison"}
        )
    assert engine.wait() == 70
    counts = read_counts_file(standins["counts"])
    assert counts["a:poison"] == {"runs": 1, "tokens": 2}
