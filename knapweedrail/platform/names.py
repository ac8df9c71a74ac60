"""Names on the wire of the platform: headers, kinds of objects and their fields."""

from __future__ import annotations

REQUEST_ID = b"knapweedrail-request-id"
DEADLINE = b"knapweedrail-deadline-ms"
PROMPT_PREFIX = b"knapweedrail-prompt-prefix"
LAST_EVENT = b"last-event-id"
RESUMES = b"resumes"
PREFIXED_RESUMES = b"knapweedrail-resumes"
"""Two spellings, as some headers have the prefix and others don't."""

SEAL = b"knapweedrail-response-seal"
ACCOUNT = b"knapweedrail-tenant"
EXPECT_RUNNER = b"knapweedrail-expect-instance"
LOAD = b"knapweedrail-server-load"
LIMIT = b"knapweedrail-server-limit"
UNPREFIXED_LIMIT = b"server-limit"
BRITTLE = b"knapweedrail-server-brittle"
UNPREFIXED_BRITTLE = b"server-brittle"
"""Names of these headers without the prefix of most platform headers."""

LEAVING = b"server-leaving"
COLD = b"knapweedrail-cold-ms"
NOT_RUN = b"knapweedrail-not-executed"
RETRY_AFTER = b"retry-after"
RUNNER_ID = b"knapweedrail-instance-id"
MODEL = b"knapweedrail-model"
TOKENS = b"knapweedrail-token-usage"
LENGTH_HINT = b"knapweedrail-length-hint"
PRIORITY = b"knapweedrail-request-priority"
KEY = b"knapweedrail-key"

RESERVED_HEADERS = frozenset(
    {
        SEAL,
        ACCOUNT,
        EXPECT_RUNNER,
        LOAD,
        LIMIT,
        UNPREFIXED_LIMIT,
        BRITTLE,
        UNPREFIXED_BRITTLE,
        LEAVING,
        COLD,
        NOT_RUN,
        RUNNER_ID,
        PRIORITY,
        b"knapweedrail-weight-versions",
        b"knapweedrail-expect-version",
        b"knapweedrail-pin-ms",
        b"knapweedrail-hold",
        b"knapweedrail-kv-backup",
        b"kv-from",
        b"kv-fetch",
        b"wait-ms",
    }
)
"""Headers that only the platform or a runner may set. A caller that sends one could
impersonate another account or continue from another caller's cached prompt."""

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"http2-settings",
        b"content-length",
    }
)
"""Headers that apply to a single connection and aren't forwarded."""

KNOWN_REQUEST_HEADERS = frozenset(
    {
        REQUEST_ID,
        DEADLINE,
        PROMPT_PREFIX,
        LAST_EVENT,
        RESUMES,
        PREFIXED_RESUMES,
        MODEL,
        TOKENS,
        KEY,
        LENGTH_HINT,
        b"accept",
        b"accept-encoding",
        b"content-type",
        b"host",
        b"user-agent",
    }
)
"""Headers of requests that the relay reads or may ignore; others count as unknown."""

KNOWN_ANSWER_HEADERS = frozenset(
    {
        REQUEST_ID,
        SEAL,
        LOAD,
        LIMIT,
        UNPREFIXED_LIMIT,
        BRITTLE,
        UNPREFIXED_BRITTLE,
        LEAVING,
        COLD,
        NOT_RUN,
        RUNNER_ID,
        RETRY_AFTER,
        b"knapweedrail-weight-versions",
        b"content-type",
        b"content-encoding",
        b"cache-control",
        b"date",
        b"server",
    }
)
"""Headers of answers that the relay reads or may ignore; others count as unknown."""

REPORT_TARGET = b"/report"
REPORT_MEMORY = "kvTotal"
"""Field of a runner's report: total number of tokens that fit into its cache."""

RUNNER_ENDPOINT = "service"
RUNNER_ADDRESS = "address"
RUNNER_DATA_CENTRE = "zone"
RUNNER_SLOTS = "slots"
RUNNER_STATE = "state"
"""Fields that every runner's entry has."""

SOFTWARE_VERSION = "version"
"""Field of entries: version of the runner's software."""

COLD_LEFT = "coldLeftMs"
"""Field of entries: how long the runner stays cold, milliseconds."""

STARTED = "born"
"""Field of entries and reports: when the runner started, Unix milliseconds."""

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
RUNNERS_KIND = "servers"
EVACUATIONS_KIND = "evacuations"
"""Its objects are named after the data centre to which nothing more is to be sent."""
