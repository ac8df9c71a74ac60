"""Encoding and decoding of headers between callers, the relay and runners."""

import pytest

from ..platform import names
from ..platform.requests import MAX_RETRY_AFTER_SECONDS, PlatformCodec
from ..relay.models import Malformed, PromptPart
from .relays_in_memory import make_runner

CODEC = PlatformCodec()

PLAIN = [(b"Host", b"H.example:80"), (b"Knapweedrail-Request-Id", b"id-1")]


def decode(*headers, method="POST"):
    return CODEC.decode_request(method, b"/a/x", b"q=1", [*PLAIN, *headers])


def encode(request, **changes):
    values = {
        "account": "farm",
        "seconds": 1.25,
        "priority": 2,
        "body_bytes": 5,
        "last_event": None,
    }
    runner = make_runner("i-1")
    return dict(CODEC.encode_request(request, runner, **(values | changes)))


def test_a_request_is_decoded():
    request = decode(
        (b"Knapweedrail-Token-Usage", b"1460,80"),
        (b"Knapweedrail-Prompt-Prefix", b"5c:800, 91:410,e4:250"),
        (b"Knapweedrail-Deadline-Ms", b"5000"),
        (b"Knapweedrail-Key", b" k1 "),
        (b"Last-Event-Id", b"12"),
    )
    assert request.host == "h.example"
    assert request.target == b"/a/x?q=1"
    assert request.max_tokens == 1540
    assert request.parts[1] == PromptPart("91", 410)
    assert (request.deadline, request.key, request.last_event) == (5.0, "k1", 12)


@pytest.mark.parametrize("name", sorted(names.RESERVED_HEADERS))
def test_caller_cannot_set_reserved_headers(name):
    """A caller names another account, or the cached prompt of another caller, in a
    header that runners trust."""
    upper_case = name.decode().upper().encode()
    request = decode((upper_case, b"forged"), (name.title(), b"again"))
    sent = CODEC.encode_request(request, make_runner("i-1"), "farm", 1, 2, 0, None)
    assert b"forged" not in [value for _, value in sent]
    assert b"again" not in [value for _, value in sent]


def test_key_is_removed_and_account_is_sent():
    request = decode((b"Knapweedrail-Key", b"k1"))
    sent = encode(request)
    assert b"k1" not in sent.values()
    assert sent[b"knapweedrail-tenant"] == b"farm"
    assert sent[b"knapweedrail-deadline-ms"] == b"1250"


def test_a_route_without_keys_names_no_account():
    sent = encode(decode((b"Knapweedrail-Tenant", b"other")), account=None)
    assert b"knapweedrail-tenant" not in {name.lower() for name in sent}


def test_hop_by_hop_headers_are_not_forwarded():
    request = decode(
        (b"Connection", b"keep-alive, X-Hop"),
        (b"X-Hop", b"1"),
        (b"Transfer-Encoding", b"chunked"),
        (b"X-Stays", b"2"),
    )
    sent = {name.lower() for name in encode(request)}
    assert b"x-stays" in sent
    assert not sent & {b"connection", b"x-hop", b"transfer-encoding"}


def test_connection_header_cannot_remove_request_id():
    request = decode((b"Connection", b"Knapweedrail-Request-Id"))
    assert encode(request)[b"Knapweedrail-Request-Id"] == b"id-1"


@pytest.mark.parametrize(
    "headers",
    [
        [(b"Content-Length", b"5"), (b"Transfer-Encoding", b"chunked")],
        [(b"Knapweedrail-Key", b"a"), (b"knapweedrail-key", b"b")],
        [(b"HOST", b"other.example")],
        [(b"Knapweedrail-Request-Id", b"id-2")],
        [(b"Knapweedrail-Token-Usage", b"1,1"), (b"Knapweedrail-Token-Usage", b"9,9")],
    ],
)
def test_conflicting_duplicate_headers_are_malformed(headers):
    """Guards against request smuggling: one parser uses the first of two values and
    another the last, so a hidden request could run without an account."""
    assert isinstance(decode(*headers), Malformed)


def test_resumed_request_sends_last_event_of_caller():
    request = decode((b"Last-Event-Id", b"3"))
    sent = CODEC.encode_request(request, make_runner("i-1"), "farm", 1, 2, 0, 7)
    found = [value for name, value in sent if name.lower() == b"last-event-id"]
    assert found == [b"7"]


def test_an_answer_is_decoded():
    answer = CODEC.decode_answer(
        503,
        [
            (b"Knapweedrail-Not-Executed", b"1"),
            (b"Knapweedrail-Server-Load", b"3,1,8"),
            (b"Keep-Alive", b"timeout=5"),
            (b"Connection", b"close"),
        ],
    )
    assert answer.not_run and not answer.sealed
    assert (answer.running, answer.waiting, answer.slots) == (3, 1, 8)
    assert answer.idle_seconds == 5.0
    assert b"connection" not in {name.lower() for name, _ in answer.headers}


@pytest.mark.parametrize(
    "text",
    [b"", b"x", b"1", b"1,2", b"1,2,x", b"-1,0,8", b"nan,0,8", b"inf,0,8"]
    + [b"9" * 400 + b",0,8", b"1,2000000,8", b",,,"],
)
def test_unreadable_load_statement_is_ignored(text):
    answer = CODEC.decode_answer(200, [(b"Knapweedrail-Server-Load", text)])
    assert answer.running is None and answer.pace is None
    assert answer.load_unreadable


@pytest.mark.parametrize(
    ("text", "pace"),
    [
        (b"3,1,8", None),
        (b"3.0, 1.0, 8.0", None),
        (b"3,1,8,170", 1.7),
        (b"3,1,8,70.5", 0.705),
        (b"3,1,8,170,5", 1.7),
        (b"3,1,8,170" + b",1" * 96, 1.7),
        (b"3,1,8,x", None),
        (b"3,1,8,", None),
        (b"3,1,8,0", None),
        (b"3,1,8,-100", None),
        (b"3,1,8,inf", None),
        (b"3,1,8,1e9", None),
    ],
)
def test_load_statement_is_read_whatever_else_it_holds(text, pace):
    # A fourth value made relays drop the other three.
    answer = CODEC.decode_answer(200, [(b"Knapweedrail-Server-Load", text)])
    assert (answer.running, answer.waiting, answer.slots) == (3, 1, 8)
    assert answer.pace == pytest.approx(pace)
    assert not answer.load_unreadable


def test_an_answer_without_a_load_statement_states_none():
    assert not CODEC.decode_answer(200, []).load_unreadable


def test_keep_alive_may_have_a_decimal_part():
    answer = CODEC.decode_answer(200, [(b"Keep-Alive", b"timeout=5.5, max=100")])
    assert answer.idle_seconds == 5.5


def test_prompt_part_of_absurd_length_is_dropped():
    # Python refuses to convert numbers of more than 4300 digits.
    request = decode((b"Knapweedrail-Prompt-Prefix", b"a:5,b:" + b"9" * 5000 + b",c:7"))
    assert [part.tokens for part in request.parts] == [5, 7]


def test_token_usage_may_hold_more_than_two_values():
    # Dropped as a whole, it would count as no tokens at all.
    request = decode((b"Knapweedrail-Token-Usage", b"1460,80,3"))
    assert (request.prompt_tokens, request.max_output_tokens) == (1460, 80)


@pytest.mark.parametrize(
    ("text", "leaving"), [(b"1", True), (b" 1 ", True), (b"0", False), (b"", False)]
)
def test_leaving_runner_is_recognized(text, leaving):
    assert CODEC.decode_answer(200, [(b"Server-Leaving", text)]).leaving == leaving


@pytest.mark.parametrize(
    ("status", "text", "seconds"),
    [
        (503, b"3", 3.0),
        (503, b"0.25", 0.25),
        (503, b"1e12", MAX_RETRY_AFTER_SECONDS),
        (503, b"-1", None),
        (503, b"nan", None),
        (503, b"inf", None),
        (503, b"Wed, 21 Oct 2026 07:28:00 GMT", None),
        (200, b"3", None),
        (429, b"3", None),
    ],
)
def test_only_valid_pauses_of_rejecting_runners_are_read(status, text, seconds):
    answer = CODEC.decode_answer(status, [(b"Retry-After", text)])
    assert answer.retry_after == seconds


def test_unknown_answer_headers_are_listed():
    """Guards against a new header of runners that is forwarded but handled nowhere."""
    headers = [(b"X-New", b"1"), (b"Content-Type", b"text/plain"), (b"Date", b"now")]
    headers += [(b"Knapweedrail-Server-Load", b"1,2,3"), (b"Keep-Alive", b"timeout=5")]
    assert PlatformCodec().decode_answer(200, headers).unknown_headers == ("x-new",)


def test_unknown_request_headers_are_listed():
    """Guards against a new header of callers that is forwarded but handled nowhere."""
    headers = [(b"Host", b"h"), (b"X-New", b"1"), (b"Last-Event-Id", b"3")]
    headers += [(b"Resumes", b"id-1"), (b"Knapweedrail-Deadline-Ms", b"90")]
    request = CODEC.decode_request("POST", b"/a/", b"", headers)
    assert request.unknown_headers == ("x-new",)


@pytest.mark.parametrize("name", [b"Resumes", b"Knapweedrail-Resumes"])
def test_resumed_attempt_is_read_and_forwarded(name):
    headers = [(b"Host", b"h"), (name, b" id-1 ")]
    request = CODEC.decode_request("POST", b"/a/", b"", headers)
    assert request.resumes == "id-1"
    assert (name, b" id-1 ") in request.headers
