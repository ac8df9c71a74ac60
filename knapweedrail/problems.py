"""Refusals as callers see them: problem documents with stable types."""

from __future__ import annotations

import math

import orjson

from .outcomes import Ran, Refusal, RefusalKind

CONTENT_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:knapweedrail:refusal:"

STATUSES = {
    RefusalKind.BAD_REQUEST: 400,
    RefusalKind.UNKNOWN_KEY: 401,
    RefusalKind.BUDGET_SPENT: 402,
    RefusalKind.BUDGET_TOO_LOW: 402,
    RefusalKind.UNKNOWN_ROUTE: 404,
    RefusalKind.ALREADY_RUN: 409,
    RefusalKind.NOT_RESUMABLE: 503,
    RefusalKind.IDENTITY_REUSED: 422,
    RefusalKind.TOO_LARGE: 413,
    RefusalKind.QUARANTINED: 422,
    RefusalKind.OUTCOME_UNKNOWN: 502,
    RefusalKind.ENDPOINT_FAILED: 502,
}
"""HTTP status of each kind; all others are `DEFAULT_STATUS`."""

DEFAULT_STATUS = 503

TITLES = {
    RefusalKind.BAD_REQUEST: "The request is not valid",
    RefusalKind.TOO_LARGE: "The request is too large",
    RefusalKind.UNKNOWN_KEY: "No client account has this key",
    RefusalKind.UNKNOWN_ROUTE: "There is no such route",
    RefusalKind.IDENTITY_REUSED: "The identity was used for another request",
    RefusalKind.BUDGET_SPENT: "The prepaid budget is spent",
    RefusalKind.BUDGET_TOO_LOW: "Less is left than the largest answer may cost",
    RefusalKind.BUDGET_OUT_OF_REACH: "The budget can't be reached from here now",
    RefusalKind.FULL: "The system is full",
    RefusalKind.DEADLINE: "The deadline can't be met",
    RefusalKind.NO_ENDPOINT: "No runner can take this now",
    RefusalKind.QUARANTINED: "Runners were lost to this request",
    RefusalKind.CONFIGURATION_UNDECIDED: "A change of this is not decided here yet",
    RefusalKind.NO_CLAIM: "The call can't be claimed now",
    RefusalKind.STOPPING: "This router is stopping",
    RefusalKind.ENDPOINT_FAILED: "The endpoint failed",
    RefusalKind.OUTCOME_UNKNOWN: "It is not known whether the call ran",
    RefusalKind.ALREADY_RUN: "The call has run; its answer is not kept",
    RefusalKind.NOT_RESUMABLE: "The stream can't go on",
}


def find_status(refusal: Refusal) -> int:
    """Return the HTTP status of a refusal."""
    return STATUSES.get(refusal.kind, DEFAULT_STATUS)


def render_problem(refusal: Refusal) -> bytes:
    """Write a refusal as a problem document."""
    document = {
        "type": TYPE_PREFIX + refusal.kind.value,
        "title": TITLES[refusal.kind],
        "status": find_status(refusal),
        "detail": refusal.detail,
        "ran": refusal.ran.value,
        "step": refusal.step,
        "peer": refusal.peer,
    }
    if refusal.retry_after is not None:
        document["retry_after_seconds"] = round(refusal.retry_after, 3)
    return orjson.dumps(document)


def render_headers(refusal: Refusal) -> dict[str, str]:
    """Return the headers that go with a problem document."""
    headers = {"Content-Type": CONTENT_TYPE}
    if refusal.retry_after is not None:
        headers["Retry-After"] = str(max(1, math.ceil(refusal.retry_after)))
    return headers


def parse_problem(body: bytes) -> Refusal:
    """Read a problem document back, as when it came from another router.

    Raises:
        ValueError: If the document isn't one of ours.
    """
    try:
        document = orjson.loads(body)
        kind = RefusalKind(document["type"].removeprefix(TYPE_PREFIX))
        return Refusal(
            step=document["step"],
            peer=document["peer"],
            detail=document["detail"],
            kind=kind,
            ran=Ran(document["ran"]),
            retry_after=document.get("retry_after_seconds"),
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not a problem document: {error!r}") from error
