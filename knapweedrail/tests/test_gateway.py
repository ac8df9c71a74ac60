"""Tests of what callers may send, and what they are told when it is wrong."""

import hashlib
import json

import anyio
import httpx
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ..calls import bound_prompt, build_generation, parse_document
from ..checks import GatewayLimits
from ..configuration import Undecided
from ..followers import Head
from ..gateway import Gateway
from ..measures import Measures
from ..models import (
    ENGINE,
    SERVICE,
    Budget,
    ClientAccount,
    Configuration,
    Endpoint,
    Route,
)
from ..outcomes import Ran, Refusal, RefusalKind
from ..problems import parse_problem, render_problem
from ..runs import Chunk, End
from ..views import View

KEY = "secret"
ACCOUNT = ClientAccount("desk", "b", (hashlib.sha256(KEY.encode()).hexdigest(),))
LLM = Route("llm", "llm", max_answer_tokens=100)
CONFIGURATION = Configuration(
    accounts=(ACCOUNT,),
    budgets=(Budget("b", 100),),
    endpoints=(Endpoint("llm", ENGINE, ()), Endpoint("api", SERVICE, ())),
    routes=(LLM, Route("slots", "api", repeatable=False)),
)
MEASURES = Measures()
MESSAGES = [{"role": "user", "content": "hi"}]
GOOD = {"model": "llm", "messages": MESSAGES}


class ScriptedAnswers:
    """Gives the same items for every call and remembers the calls."""

    def __init__(self, items):
        self.items = items
        self.calls = []

    async def give(self, call):
        self.calls.append(call)
        for item in self.items:
            yield item


def send(method, path, items=(), view=None, limits=None, **options):
    """Send one request to a gateway; return the response and the scripted answers."""
    answers = ScriptedAnswers(items)
    view = view or View(CONFIGURATION, 1)
    limits = limits or GatewayLimits(1000, 5.0, 10)
    gateway = Gateway(answers, lambda: view, MEASURES, limits)
    options.setdefault("headers", {}).setdefault("Authorization", f"Bearer {KEY}")

    async def call():
        transport = httpx.ASGITransport(gateway)
        async with httpx.AsyncClient(
            transport=transport, base_url="http://r"
        ) as client:
            return await client.request(method, path, **options)

    return anyio.run(call), answers


@pytest.mark.parametrize(
    "change, words",
    [
        ({"messages": []}, "messages"),
        ({"messages": "hi"}, "messages"),
        ({"messages": [{"content": "hi"}]}, "messages[0]"),
        ({"max_tokens": -1}, "max_tokens"),
        ({"max_tokens": 10**30}, "max_tokens"),
        ({"max_tokens": 1.5}, "max_tokens"),
        ({"max_tokens": True}, "max_tokens"),
        ({"stream": "yes"}, "stream"),
        ({"n": 2}, "n:"),
    ],
)
def test_a_wrong_request_is_told_what_is_wrong_and_costs_nothing(change, words):
    """A client library is set up wrongly and sends what can't be served.

    Its user gets a clear refusal that names the field; nothing reaches a run.
    """
    response, answers = send("POST", "/v1/chat/completions", json=GOOD | change)
    problem = response.json()
    assert response.status_code == 400
    assert problem["ran"] == "not run"
    assert words in problem["detail"]
    assert answers.calls == []


@pytest.mark.parametrize(
    "path, options, status, kind",
    [
        ("/v1/chat/completions", {"content": b'{"model": '}, 400, "bad-request"),
        ("/v1/chat/completions", {"content": b"x" * 1001}, 413, "too-large"),
        ("/v1/chat/completions", {"json": {"model": "no"}}, 404, "unknown-route"),
        ("/services/none/x", {}, 404, "unknown-route"),
        ("/services/slots/x", {}, 400, "bad-request"),
        (
            "/v1/chat/completions",
            {"json": GOOD, "headers": {"Authorization": "Bearer no"}},
            401,
            "unknown-key",
        ),
        (
            "/v1/chat/completions",
            {"json": GOOD, "headers": {"Idempotency-Key": "two words"}},
            400,
            "bad-request",
        ),
        (
            "/v1/chat/completions",
            {"json": GOOD, "headers": {"X-Deadline-Seconds": "nan"}},
            400,
            "bad-request",
        ),
    ],
)
def test_each_fault_has_its_status_and_type(path, options, status, kind):
    response, answers = send("POST", path, **options)
    assert response.status_code == status
    assert response.json()["type"].endswith(f":{kind}")
    assert response.headers["content-type"] == "application/problem+json"
    assert answers.calls == []


def test_a_body_that_never_ends_is_cut_off_at_the_limit():
    """A caller declares no length and sends without end; memory must not fill up."""

    async def endless():
        for _ in range(10_000):
            yield b"x" * 100

    response, _ = send("POST", "/v1/chat/completions", content=endless())
    assert response.status_code == 413


def test_a_key_under_change_is_undecided_and_not_unknown():
    """A new key's file is acknowledged here, and then the data centre is cut off.

    Whether the key is in force can't be known. "Unknown key" might be untrue, and a
    client would take it for final; so the caller is told when to come back.
    """
    digest = hashlib.sha256(b"new").hexdigest()
    view = View(CONFIGURATION, 1, Undecided(keys=frozenset({digest})))
    headers = {"Authorization": "Bearer new"}
    response, _ = send(
        "POST", "/v1/chat/completions", view=view, headers=headers, json=GOOD
    )
    assert response.status_code == 503
    assert response.json()["type"].endswith("configuration-undecided")
    assert response.headers["retry-after"] == "1"


def test_a_router_without_a_configuration_serves_nothing():
    """A router has started while the platform is away and hears no other router.

    It can't know who may ask for what; callers are sent back, not turned down.
    """
    response, _ = send("POST", "/v1/chat/completions", view=View(), json=GOOD)
    assert response.json()["type"].endswith("configuration-undecided")


CHUNKS = [
    Chunk(n, json.dumps({"id": "x", "choices": [{"delta": {"content": c}}]}).encode())
    for n, c in enumerate("ab")
]


def test_a_cut_stream_never_carries_the_end_mark():
    """A run breaks off when a part of its answer is with the caller.

    The caller must not take the part for the whole: the stream ends with an error
    event that says what is known, and without the end mark.
    """
    refusal = Refusal("s", "p", "broke", RefusalKind.ENDPOINT_FAILED, Ran.UNKNOWN, 1.0)
    items = [Head(200, ""), *CHUNKS, refusal]
    body = GOOD | {"stream": True}
    response, _ = send("POST", "/v1/chat/completions", items, json=body)
    assert "[DONE]" not in response.text
    assert response.text.count("event: error") == 1
    error = response.text.rsplit("data: ", 1)[1].encode()
    assert parse_problem(error) == refusal


def test_a_whole_answer_is_put_together_or_refused_as_a_whole():
    whole = [Head(200, ""), *CHUNKS, End(2, True)]
    response, _ = send("POST", "/v1/chat/completions", whole, json=GOOD)
    assert response.json()["choices"][0]["message"]["content"] == "ab"
    refusal = Refusal("s", "p", "broke", RefusalKind.ENDPOINT_FAILED, Ran.UNKNOWN, 1.0)
    cut = [Head(200, ""), *CHUNKS, refusal]
    response, _ = send("POST", "/v1/chat/completions", cut, json=GOOD)
    assert response.status_code == 502
    assert response.json()["ran"] == "unknown"


def test_a_full_router_refuses_before_it_reads_anything():
    """More callers than one router may hold come at once, as when a host is lost."""
    limits = GatewayLimits(1000, 5.0, 0)
    response, _ = send("POST", "/v1/chat/completions", limits=limits, json=GOOD)
    assert response.json()["type"].endswith(":full")
    assert "retry-after" in response.headers


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                ["role", "content", "messages", "max_tokens", "n", "tools"]
            ),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)


@pytest.mark.parametrize(
    "changes",
    [
        {"model": ["llm"]},
        {"model": {"name": "llm"}},
        {"messages": [{"role": "user"}]},
        {"messages": [{"role": "user", "content": {"text": "hi"}}]},
        {"messages": [{"role": "user", "content": None}]},
        {"messages": [{"role": ["user"], "content": "hi"}]},
        {"messages": "hi"},
        {"stream": "yes"},
    ],
)
def test_a_field_of_another_type_is_told_and_costs_nothing(changes):
    """A client writes a list for a name, or leaves a message's content out. It was
    told of an error of ours, or its budget was drawn on for an empty message."""
    response, answers = send("POST", "/v1/chat/completions", json=GOOD | changes)
    assert response.status_code == 400
    assert response.json()["type"].endswith("bad-request")
    assert answers.calls == []


def test_a_message_that_only_calls_tools_needs_no_content():
    message = {"role": "assistant", "content": None, "tool_calls": []}
    items = [Head(200, ""), *CHUNKS, End(2, True)]
    body = GOOD | {"messages": [*MESSAGES, message]}
    response, answers = send("POST", "/v1/chat/completions", items, json=body)
    assert response.status_code == 200
    assert len(answers.calls) == 1


@given(
    st.dictionaries(st.sampled_from(["messages", "max_tokens", "stream", "n"]), JSON)
)
def test_any_document_is_either_served_within_bounds_or_refused(document):
    """Callers send whatever JSON their tools make of a mistake."""
    text = json.dumps(document).encode()
    parsed = parse_document(text)
    if isinstance(parsed, Refusal):
        return
    call = build_generation(ACCOUNT, LLM, parsed, "i", True, 1.0)
    if isinstance(call, Refusal):
        assert call.ran is Ran.NOT_RUN
    else:
        assert 0 < call.max_answer_tokens <= LLM.max_answer_tokens
        assert call.prompt_bound == bound_prompt(parsed)


@given(st.binary(max_size=60))
def test_any_bytes_are_either_a_document_or_refused(body):
    assert isinstance(parse_document(body), dict | Refusal)


@given(
    st.sampled_from(list(RefusalKind)),
    st.sampled_from(list(Ran)),
    st.none() | st.floats(0, 1000).map(lambda x: round(x, 3)),
    st.text(max_size=20),
)
def test_a_refusal_survives_being_written_and_read(kind, ran, retry_after, detail):
    refusal = Refusal("step", "peer", detail, kind, ran, retry_after)
    assert parse_problem(render_problem(refusal)) == refusal
