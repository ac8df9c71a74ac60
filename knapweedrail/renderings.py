"""Chunks of an answer, written as callers expect them."""

from __future__ import annotations

from typing import Any

import orjson

from .outcomes import Refusal
from .problems import render_problem

END_EVENT = b"data: [DONE]\n\n"


def render_chunk(offset: int, data: bytes) -> bytes:
    """Write one chunk as a server-sent event; its id counts chunks from 0."""
    return b"id: %d\ndata: %b\n\n" % (offset, data)


def render_error(refusal: Refusal) -> bytes:
    """Write the event that ends a stream which couldn't be completed.

    No end mark follows, so no client takes what came for the whole answer.
    """
    return b"event: error\ndata: " + render_problem(refusal) + b"\n\n"


def assemble_answer(chunks: list[bytes]) -> bytes:
    """Write all chunks of an answer as one chat completion."""
    message: dict[str, Any] = {"role": "assistant", "content": None}
    texts: list[str] = []
    tool_calls: dict[int, dict] = {}
    finish_reason = None
    usage = None
    head: dict[str, Any] = {}
    for data in chunks:
        chunk = orjson.loads(data)
        head = head or chunk
        usage = chunk.get("usage") or usage
        for choice in chunk.get("choices") or ():
            delta = choice.get("delta") or {}
            texts.append(delta.get("content") or "")
            _merge_tool_calls(tool_calls, delta.get("tool_calls") or ())
            finish_reason = choice.get("finish_reason") or finish_reason
    message["content"] = "".join(texts)
    if tool_calls:
        message["tool_calls"] = [tool_calls[index] for index in sorted(tool_calls)]
    choice = {"index": 0, "message": message, "finish_reason": finish_reason}
    answer = {
        "id": head.get("id"),
        "object": "chat.completion",
        "created": head.get("created"),
        "model": head.get("model"),
        "choices": [choice],
        "usage": usage,
    }
    return orjson.dumps(answer)


def _merge_tool_calls(calls: dict[int, dict], deltas: Any) -> None:
    for delta in deltas:
        call = calls.setdefault(
            delta.get("index", 0),
            {"id": None, "type": "function", "function": {"name": "", "arguments": ""}},
        )
        call["id"] = delta.get("id") or call["id"]
        function = delta.get("function") or {}
        call["function"]["name"] += function.get("name") or ""
        call["function"]["arguments"] += function.get("arguments") or ""
