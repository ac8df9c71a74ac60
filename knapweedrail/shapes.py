"""JSON schemas of the operators' configuration, with the limit of each value."""

from __future__ import annotations

from .kinds import ENGINE, SERVICE

MAX_TOKENS = 10**15
"""Largest number of tokens. Every JSON reader represents it exactly, and 12 million
tokens a second over a few hundred budgets take 1,000 years to reach it."""

MAX_PRICE_TOKENS = 10**9
"""Largest price of one call, and largest answer; a higher one is a typing error."""

MAX_SECONDS = 86_400.0
"""Longest time in a rule: one day."""

MAX_SLOTS = 10_000
MAX_WEIGHT = 1_000.0
MAX_KEYS = 100

NAME = {
    "type": "string",
    # Names become parts of URLs, object keys and headers ("account:identity").
    "pattern": r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}\Z",
    "description": "a name (letters, digits, '.', '_', '-'; up to 63)",
}

DIGEST = {
    "type": "string",
    "pattern": r"^[0-9a-f]{64}\Z",
    "description": "a SHA-256 digest in 64 lower-case hexadecimal digits",
}


def make_object(properties: dict, required: tuple[str, ...] = ()) -> dict:
    """Make the schema of an object in which unknown keys are faults."""
    return {
        "type": "object",
        "properties": properties,
        "required": list(required),
        "additionalProperties": False,
    }


def make_list(items: dict, most: int, least: int = 0) -> dict:
    """Make the schema of a list."""
    return {"type": "array", "items": items, "minItems": least, "maxItems": most}


def make_integer(least: int, most: int) -> dict:
    """Make the schema of a whole number within bounds."""
    return {"type": "integer", "minimum": least, "maximum": most}


def make_number(least: float, most: float) -> dict:
    """Make the schema of a number above ``least`` and up to ``most``."""
    return {"type": "number", "exclusiveMinimum": least, "maximum": most}


ACCOUNT = make_object(
    {
        "name": NAME,
        "budget": NAME,
        "key_digests": make_list(DIGEST, MAX_KEYS, least=1),
        "weight": make_number(0.0, MAX_WEIGHT),
    },
    ("name", "budget", "key_digests"),
)

BUDGET = make_object(
    {"name": NAME, "opening_tokens": make_integer(0, MAX_TOKENS)},
    ("name", "opening_tokens"),
)

RUNNER = make_object(
    {"name": NAME, "address": {"type": "string"}, "data_centre": NAME},
    ("name", "address", "data_centre"),
)

ENDPOINT = make_object(
    {
        "name": NAME,
        "kind": {"enum": [ENGINE, SERVICE]},
        "runners": make_list(RUNNER, 5_000, least=1),
        "slots": make_integer(1, MAX_SLOTS),
        "checks_fencing": {"type": "boolean"},
    },
    ("name", "kind", "runners"),
)

ROUTE = make_object(
    {
        "name": NAME,
        "endpoint": NAME,
        "price_tokens": make_integer(0, MAX_PRICE_TOKENS),
        "max_answer_tokens": make_integer(1, MAX_PRICE_TOKENS),
        "deadline_seconds": make_number(0.0, MAX_SECONDS),
        "repeatable": {"type": "boolean"},
    },
    ("name", "endpoint"),
)

RULES = make_object(
    {
        "leaving_seconds": make_number(0.0, 60.0),
        "stopping_seconds": make_number(0.0, MAX_SECONDS),
        "silence_seconds": make_number(0.0, 3_600.0),
        "cover_seconds": make_number(0.0, MAX_SECONDS),
        "allowance_seconds": make_number(0.0, MAX_SECONDS),
        "quarantine_runners": make_integer(1, 100),
    }
)

CONFIGURATION = make_object(
    {
        "accounts": make_list(ACCOUNT, 100_000),
        "budgets": make_list(BUDGET, 1_000_000),
        "endpoints": make_list(ENDPOINT, 10_000),
        "routes": make_list(ROUTE, 10_000),
        "rules": RULES,
    },
    ("accounts", "budgets", "endpoints", "routes"),
)
