"""Numbered log events; docs/EVENTS.md lists them all."""

from __future__ import annotations

import enum

import eliot


class Event(enum.Enum):
    """A log event: its stable number and its meaning.

    Numbers by area: 1xx process, 2xx platform, 3xx budgets and claims,
    4xx configuration, 5xx members and peers, 6xx requests, 7xx endpoints.
    """

    ROUTER_STARTED = (101, "the router has started and serves requests")
    ROUTER_STOPPING = (
        102,
        "shutdown has begun; new requests are still accepted for a while",
    )
    ROUTER_STOPPED = (
        103,
        "the router has stopped; `left` is the work that it didn't finish",
    )
    TASK_FAILED = (104, "a task ended with an unexpected error")
    SERVER_ENDED_BADLY = (105, "an HTTP server failed while it was closed")
    PLATFORM_AWAY = (201, "a call to the platform failed")
    PLATFORM_BACK = (202, "the platform is available again")
    OBJECT_MALFORMED = (203, "an object on the platform can't be decoded")
    HOLDER_FENCED = (301, "this router was fenced and accepts no new requests")
    HOLDER_RECOVERED = (
        302,
        "a fencing round has ended; `waits_for` lists routers that didn't answer",
    )
    RESERVATION_EXCEEDED = (303, "a request used more tokens than it had reserved")
    LEDGER_UNREADABLE = (305, "a ledger or one of its pages can't be decoded")
    BILL_STANDS = (
        304,
        "a request was already billed; these tokens are not billed again",
    )
    TEXT_MISSING = (401, "a configuration's text can't be read from the platform")
    TEXT_REFUSED = (402, "a proposed configuration failed this router's checks")
    ACKNOWLEDGED = (403, "this router acknowledged a proposal for its data centre")
    DECIDED = (404, "this router put a proposal in force")
    PROPOSAL_WITHDRAWN = (405, "this router withdrew a proposal")
    AUDIT_LATE = (406, "an audit trail entry couldn't be written yet")
    CONFIGURATION_IN_FORCE = (407, "a configuration is in force at this router")
    CONFIGURATION_STAGED = (408, "a proposal's text is loaded at this router")

    MEMBER_REGISTERED = (501, "the router registered a new incarnation")
    MEMBER_NOT_REGISTERED = (502, "registration failed and is retried")
    MEMBER_FENCED = (503, "this incarnation was fenced; the router starts a new one")
    MEMBER_SUPERSEDED = (504, "another process registered under this router's name")
    MEMBER_CLOSED = (505, "the router's incarnation is closed in the registry")
    MEMBER_HEARD = (506, "a member of the data centre answers")
    MEMBER_SILENT = (507, "a member of the data centre has stopped answering")
    EXCHANGE_FAILED = (508, "an exchange with a peer couldn't be processed")

    JOB_FAILED = (601, "a request's run ended with an unexpected error")

    STORE_CALLS = (211, "calls to the platform since the last such line, by purpose")
    HISTORY_GONE = (
        210,
        "the platform dropped its change history; the kind is listed again",
    )
    CONFIGURATION_REMOVED = (
        410,
        "the configuration object was deleted; the last one stays in use",
    )
    REQUEST_REFUSED = (602, "a request was refused; `ran` says whether it may have run")
    ATTEMPT_FAILED = (
        603,
        "an attempt at a runner gave no answer that can be forwarded",
    )
    CALLER_GONE = (
        604,
        "the caller closed its connection before the answer was complete",
    )
    STREAM_BROKEN = (605, "a stream was aborted; the caller gets no end marker")
    RUNNER_LISTED = (701, "a runner's entry is new or has changed")
    RUNNER_UNLISTED = (702, "a runner's entry is gone")
    RUNNER_EJECTED = (703, "a runner gets no requests for some seconds after failures")

    TOKENS_LENT = (310, "this relay lent tokens to another relay that had too few")
    NEIGHBOUR_SILENT = (510, "another relay didn't answer a call")

    GRANT_PLANNED = (311, "this relay requests tokens of a budget or returns some")

    TOKENS_RETURNED = (312, "this relay returned borrowed tokens")

    TOKENS_SHORT = (313, "a request found too few tokens of its account")

    GRANT_SETTLED = (314, "the grant of a previous incarnation on this host is settled")

    TOKENS_LOST = (
        315,
        "tokens were returned to a relay that ended before it received them",
    )
    RECORD_PLANNED = (
        316,
        "the entry of an account in this host's record, which bounds its use",
    )
    RELAYS_LISTED = (511, "the list of relays has changed")
    SOURCE_CHOSEN = (
        512,
        "another relay was chosen as the source of the platform's updates",
    )
    SOURCE_LOST = (
        513,
        "a source of updates timed out; `unheard` is the time since its last message",
    )
    NEWS_FETCHED = (
        514,
        "an update by a relay couldn't be applied; the platform is read instead",
    )

    DATA_CENTRE_CUT_OFF = (
        708,
        "this data centre is partitioned and can't serve; callers are sent elsewhere",
    )
    DATA_CENTRE_SILENT = (
        704,
        "runners of an unresponsive data centre briefly get no requests",
    )

    LOOP_LATE = (
        108,
        "the event loop was delayed by a busy or paused process, for `seconds`",
    )
    LOOP_ERROR = (109, "the event loop caught an error that no task handled")
    ROTATION_LEFT = (
        110,
        "this host is overloaded or cut off and its readiness check fails",
    )
    ROTATION_JOINED = (111, "this host's readiness check passes again")
    LINES_LEFT_OUT = (
        106,
        "log lines were dropped because there were too many, by event",
    )
    SETTINGS_CHANGED = (107, "the process was notified that its settings have changed")
    REQUEST_ANSWERED = (606, "a request was answered; by which runner, and when")
    REQUEST_TAKEN_LATE = (607, "a request was accepted during shutdown")
    REQUEST_CUT_OFF = (
        608,
        "the process ended before the answer to a request was complete",
    )

    RUNNER_SUCCEEDED = (
        706,
        "an unlisted runner answers in place of one that has ended",
    )
    RUNNER_SILENT = (
        707,
        "a runner that replaced another one gave no report",
    )
    RUNNER_RESTARTED = (
        709,
        "a runner has restarted under its name, with a new incarnation",
    )
    RUNNER_OUTDATED = (
        710,
        "a late entry of a runner's earlier incarnation was ignored",
    )
    RUNNER_CRASHED = (705, "a runner is gone; the contents that ran there are suspects")

    EVACUATION_BEGUN = (713, "nothing more is sent to a data centre's runners")
    EVACUATION_ENDED = (
        714,
        "a data centre's runners get requests again; at first as cold ones",
    )
    PATH_LOST = (715, "this host can't connect to a runner that another host reaches")
    PATH_RESTORED = (716, "this host can connect to a runner again")
    TUNNEL_FAILED = (
        717,
        "no other relay connected to a runner that this host can't reach",
    )
    TUNNEL_DECLINED = (718, "this relay didn't connect another relay to a runner")
    TUNNEL_BROKEN = (719, "a tunnel for another relay ended with an error")
    RUNNERS_BRITTLE = (
        721,
        "an endpoint's runners fall over above `rejections` a second; null: no more",
    )
    RUNNER_LEAVING = (722, "a runner says in an answer that it leaves")
    RUNNER_PAUSED = (
        723,
        "a runner that rejected a request wants no further ones for `seconds`",
    )
    CONTENT_QUARANTINED = (
        724,
        "a content is refused, as `crashes` runners crashed while they ran it",
    )
    CONTENT_CLEARED = (
        725,
        "a content was answered; `crashes` no longer count against it",
    )
    CRASHES_HEARD = (
        726,
        "another relay reported contents of crashed runners, `new` of them unknown",
    )
    CRASH_UNCONFIRMED = (
        727,
        "a runner closed connections of requests, but no crash was confirmed in time",
    )
    SUSPECTS_LOADED = (
        728,
        "a starting relay has asked others and the store which contents crash runners",
    )
    LOAD_UNREADABLE = (729, "a runner states a load that can't be read")
    TUNNELS_OFF = (720, "the address for tunnels can't be bound; none are opened")
    RUNNER_LIMITED = (712, "a runner limits its request rate; 0 if the limit has ended")
    HEADER_UNREAD = (
        711,
        "a caller or a runner sends a header that the relay does not know",
    )
    STREAM_RESUMED = (
        609,
        "a stream goes on after a break; which version began it, and what is left",
    )
    STREAM_ORIGIN = (610, "what began a stream that a caller resumes, and who knew it")
    VERSIONS_STORED = (
        611,
        "the versions at which an endpoint's streams may have begun, as now stored",
    )

    CLIENTS_EVICTED = (
        612,
        "connections were closed as clients held too much memory or too many of them",
    )

    @property
    def number(self) -> int:
        """Stable number of the event."""
        return self.value[0]

    @property
    def meaning(self) -> str:
        """Description of the event in docs/EVENTS.md."""
        return self.value[1]


def log_event(event: Event, **fields: object) -> None:
    """Log an event with its number, its name and the given fields."""
    eliot.log_message(f"{event.number} {event.name.lower()}", **fields)
