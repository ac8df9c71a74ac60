"""What callers ask for, checked: generations and calls of plain services."""

from __future__ import annotations

import hashlib
import re

import attrs
import jsonschema
import orjson

from .models import ClientAccount, Route
from .outcomes import Ran, Refusal, RefusalKind

IDENTITY_PATTERN = re.compile(r"[\x21-\x7e]{1,200}")
"""Printable ASCII without spaces: what an HTTP header can carry unchanged."""

PROMPT_OVERHEAD_TOKENS = 8
"""Tokens that a chat template adds to one message, at most."""

MAX_MESSAGES = 10_000
"""More messages than any history holds; bounds the work of checking."""

DEFAULT_ANSWER_TOKENS = 512
"""Largest answer of a caller that names none."""

SHORT_ANSWER_TOKENS = 256
"""At most this much asked for makes a request a short one in the queues."""

MAX_SHOWN = 200
"""Longest part of a fault that a caller is shown; it may quote what was sent."""

_CHAT = jsonschema.Draft202012Validator(
    {
        "properties": {
            "model": {"type": "string"},
            "stream": {"type": "boolean"},
            "messages": {
                "type": "array",
                "minItems": 1,
                "maxItems": MAX_MESSAGES,
                "items": {
                    "type": "object",
                    "required": ["role"],
                    "properties": {
                        "role": {"type": "string"},
                        "content": {
                            "type": ["string", "array", "null"],
                            "items": {"type": "object"},
                        },
                    },
                    "anyOf": [
                        {
                            "required": ["content"],
                            "properties": {"content": {"type": ["string", "array"]}},
                        },
                        {"required": ["tool_calls"]},
                        {"required": ["function_call"]},
                    ],
                },
            },
        }
    }
)
"""What a chat-completions request must look like, as far as it is read here."""

PREFIX_BYTES = 1024
"""Bytes of the prompt's start that choose a runner whose cache may hold it."""


@attrs.frozen
class Generation:
    """A checked request for an answer of a model engine.

    Attributes:
        account: The client account that asks.
        identity: The request's identity within the account.
        named: Whether the caller gave the identity, so that a retry can come.
        route: The route that it takes.
        body: What is sent to the engine.
        streamed: Whether the caller wants the answer as it comes.
        prompt_bound: Tokens that the prompt can have at most.
        max_answer_tokens: Tokens that the answer may have at most.
        fingerprint: Digest of the content, the same for any identity.
        prefix_hash: Digest of the prompt's start.
        deadline_seconds: Time that the caller gives for the first byte.
    """

    account: ClientAccount
    identity: str
    named: bool
    route: Route
    body: bytes
    streamed: bool
    prompt_bound: int
    max_answer_tokens: int
    fingerprint: str
    prefix_hash: int
    deadline_seconds: float


@attrs.frozen
class Visit:
    """A checked call of a plain service; attributes as in `Generation`.

    Attributes:
        method: HTTP method.
        path: Path and query at the service.
        headers: Headers that are passed on.
        repeatable: Whether the call may run more than once.
    """

    account: ClientAccount
    identity: str
    named: bool
    route: Route
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    repeatable: bool
    fingerprint: str
    deadline_seconds: float


def refuse_request(detail: str, kind: RefusalKind = RefusalKind.BAD_REQUEST) -> Refusal:
    """Refuse what the caller sent; nothing of it ran."""
    return Refusal("gateway.check", "caller", detail, kind, Ran.NOT_RUN)


def check_identity(identity: str) -> Refusal | None:
    """Check an identity that a caller chose."""
    if IDENTITY_PATTERN.fullmatch(identity):
        return None
    return refuse_request("Idempotency-Key: 1 to 200 printable ASCII characters")


def parse_deadline(text: str | None, route: Route) -> float | Refusal:
    """Read the caller's deadline; the route's own one bounds it."""
    if text is None:
        return route.deadline_seconds
    try:
        seconds = float(text)
    except ValueError:
        return refuse_request("X-Deadline-Seconds: not a number")
    if not 0 < seconds < float("inf"):
        return refuse_request("X-Deadline-Seconds: must be above 0")
    return min(seconds, route.deadline_seconds)


def parse_document(body: bytes) -> dict | Refusal:
    """Read a request's body as a JSON object."""
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        return refuse_request(f"body: {error}")
    if not isinstance(document, dict):
        return refuse_request("body: a JSON object is wanted")
    return document


def check_document(document: dict) -> Refusal | None:
    """Check the types of a chat-completions request.

    An engine takes a message without content, and bills its tokens; a name that is a
    list can't be looked up.
    """
    for error in _CHAT.iter_errors(document):
        place = "".join(
            f"[{part}]" if isinstance(part, int) else f".{part}" for part in error.path
        )
        message = error.message[:MAX_SHOWN]
        return refuse_request(f"{place.lstrip('.') or 'body'}: {message}")
    return None


def check_generation(document: dict, route: Route) -> int | Refusal:
    """Check a chat-completions request; the answer tokens that it may have."""
    messages = document.get("messages")
    if not isinstance(messages, list) or not 0 < len(messages) <= MAX_MESSAGES:
        return refuse_request(f"messages: a list of 1 to {MAX_MESSAGES} is wanted")
    for index, message in enumerate(messages):
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            return refuse_request(f"messages[{index}]: an object with a role is wanted")
    if not isinstance(document.get("stream", False), bool):
        return refuse_request("stream: true or false is wanted")
    if document.get("n", 1) != 1:
        return refuse_request("n: only one answer to a request is given")
    wanted = document.get("max_completion_tokens", document.get("max_tokens"))
    if wanted is None:
        return min(DEFAULT_ANSWER_TOKENS, route.max_answer_tokens)
    if not isinstance(wanted, int) or isinstance(wanted, bool) or wanted < 1:
        return refuse_request("max_tokens: a whole number above 0 is wanted")
    if wanted > route.max_answer_tokens:
        limit = route.max_answer_tokens
        return refuse_request(f"max_tokens: at most {limit} on route {route.name}")
    return wanted


def bound_prompt(document: dict) -> int:
    """Return a number of tokens that the prompt can't exceed.

    A byte-level tokenizer never makes more tokens than bytes, so the bytes of all
    that the engine may put in the prompt are a bound for any model, without one.
    """
    count = 0
    for message in document["messages"]:
        count += len(orjson.dumps(message)) + PROMPT_OVERHEAD_TOKENS
    for key in ("tools", "functions", "response_format"):
        if key in document:
            count += len(orjson.dumps(document[key]))
    return count


def build_generation(
    account: ClientAccount,
    route: Route,
    document: dict,
    identity: str,
    named: bool,
    deadline_seconds: float,
) -> Generation | Refusal:
    """Check a request for an answer and work out its bounds."""
    answer_tokens = check_generation(document, route)
    if isinstance(answer_tokens, Refusal):
        return answer_tokens
    streamed = document.get("stream", False)
    content = {
        key: value
        for key, value in document.items()
        if key not in ("stream", "stream_options", "max_completion_tokens")
    }
    content["max_tokens"] = answer_tokens
    fingerprint = _digest(orjson.dumps(content, option=orjson.OPT_SORT_KEYS))
    start = orjson.dumps(content["messages"])[:PREFIX_BYTES]
    # The engine always streams: a broken stream can be resumed, a lost whole
    # answer can't, and silence is seen at the next token.
    content |= {"stream": True, "stream_options": {"include_usage": True}}
    return Generation(
        account=account,
        identity=identity,
        named=named,
        route=route,
        body=orjson.dumps(content),
        streamed=streamed,
        prompt_bound=bound_prompt(document),
        max_answer_tokens=answer_tokens,
        fingerprint=fingerprint,
        prefix_hash=int(_digest(start)[:16], 16),
        deadline_seconds=deadline_seconds,
    )


def fingerprint_visit(route: str, method: str, path: str, body: bytes) -> str:
    """Return the digest of a service call's content."""
    head = orjson.dumps([route, method, path])
    return _digest(head + body)


def _digest(content: bytes) -> str:
    return hashlib.sha256(content).hexdigest()
