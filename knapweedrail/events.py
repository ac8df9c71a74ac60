"""Numbered log events; docs/EVENTS.md lists the same catalogue."""

from __future__ import annotations

import enum

import eliot


class Event(enum.Enum):
    """An event: its stable number, and what it says.

    Numbers by area: 1xx process, 2xx platform, 3xx budgets and claims,
    4xx configuration, 5xx members and peers, 6xx requests, 7xx endpoints.
    """

    ROUTER_STARTED = (101, "the router serves requests")
    ROUTER_STOPPING = (102, "the router stops; it takes new requests for a while")
    ROUTER_STOPPED = (103, "the router has stopped; `left` says what was unfinished")
    TASK_FAILED = (104, "a task ended with an unexpected error")
    SERVER_ENDED_BADLY = (105, "an HTTP server met an error while it was closed")
    PLATFORM_AWAY = (201, "a call to the platform failed")
    PLATFORM_BACK = (202, "the platform answers again")
    OBJECT_MALFORMED = (203, "an object on the platform can't be decoded")
    HOLDER_FENCED = (301, "this router finds itself fenced and takes no new requests")
    HOLDER_RECOVERED = (
        302,
        "a fence round has ended; `waits_for` names silent routers",
    )
    RESERVATION_EXCEEDED = (303, "a request used more tokens than it had reserved")
    LEDGER_UNREADABLE = (305, "a ledger or one of its pages can't be decoded")
    BILL_STANDS = (304, "a request was billed before; its tokens stay unbilled")
    TEXT_MISSING = (401, "a configuration's text can't be read from the platform")
    TEXT_REFUSED = (402, "a proposed configuration doesn't pass this router's checks")
    ACKNOWLEDGED = (403, "this router acknowledged a proposal for its data centre")
    DECIDED = (404, "this router put a proposal in force")
    PROPOSAL_WITHDRAWN = (405, "this router withdrew a proposal")
    AUDIT_LATE = (406, "an entry of the audit trail couldn't be written yet")
    CONFIGURATION_IN_FORCE = (407, "a configuration is in force at this router")
    CONFIGURATION_STAGED = (408, "this router holds the text of a proposal")

    MEMBER_REGISTERED = (501, "the router has begun a life under a new incarnation")
    MEMBER_NOT_REGISTERED = (502, "registration failed; it is tried again")
    MEMBER_FENCED = (503, "this life is fenced; the router begins a new one")
    MEMBER_SUPERSEDED = (504, "another process registered under this router's name")
    MEMBER_CLOSED = (505, "the router's life is closed in the registry")
    MEMBER_HEARD = (506, "a member of the data centre answers")
    MEMBER_SILENT = (507, "a member of the data centre has stopped answering")
    EXCHANGE_FAILED = (508, "an exchange with a peer couldn't be taken in")

    JOB_FAILED = (601, "a request's run ended with an unexpected error")

    STORE_CALLS = (211, "calls to the platform since the last such line, by purpose")
    HISTORY_GONE = (210, "the platform dropped its history; the kind is listed anew")
    CONFIGURATION_REMOVED = (410, "the configuration's object is gone; it stays")
    REQUEST_REFUSED = (602, "a request was refused; `ran` says what is known of it")
    ATTEMPT_FAILED = (603, "an attempt at a runner gave no answer to pass on")
    CALLER_GONE = (604, "the caller closed its connection before its answer's end")
    STREAM_BROKEN = (605, "a stream was broken off; its caller sees no end mark")
    RUNNER_LISTED = (701, "a runner's entry is new or has changed")
    RUNNER_UNLISTED = (702, "a runner's entry is gone")
    RUNNER_EJECTED = (703, "a runner gets no work for some seconds after failures")

    TOKENS_LENT = (310, "this relay lent tokens to another that had too few")
    NEIGHBOUR_SILENT = (510, "another relay didn't answer a call")

    GRANT_PLANNED = (311, "this relay asks for tokens of a budget, or returns some")

    TOKENS_RETURNED = (312, "this relay gave borrowed tokens back")

    TOKENS_SHORT = (313, "a request found too few tokens of its account")

    GRANT_SETTLED = (314, "the grant of an ended life of this host is settled")

    TOKENS_LOST = (315, "tokens given back to a relay that ended before it took them")
    RELAYS_LISTED = (511, "the list of relays has changed")
    SOURCE_CHOSEN = (512, "another relay is followed for what the platform tells it")
    SOURCE_LOST = (513, "a relay that was followed is silent; `unheard` says how long")
    NEWS_FETCHED = (514, "what another relay told has to be read from the platform")

    DATA_CENTRE_CUT_OFF = (
        708,
        "this data centre is cut off and can't serve; callers are sent elsewhere",
    )
    DATA_CENTRE_SILENT = (704, "runners of a data centre get no work for a moment")

    LOOP_LATE = (108, "the process was too busy, or stood still, for so many seconds")
    LOOP_ERROR = (109, "the event loop met an error that no task took")
    LINES_LEFT_OUT = (106, "log lines were left out, by event, for their number")
    SETTINGS_CHANGED = (107, "the process was told that its settings have changed")
    REQUEST_ANSWERED = (606, "a request has its answer; by which runner, and when")
    REQUEST_TAKEN_LATE = (607, "a request was taken after the process was told to stop")
    REQUEST_CUT_OFF = (608, "the process ended before the answer to a request did")

    RUNNER_SUCCEEDED = (706, "an unlisted runner was found where another one had ended")
    RUNNER_SILENT = (707, "a runner that stands in another's place gave no report")
    RUNNER_RESTARTED = (709, "a runner has begun a new life under its name")
    RUNNER_OUTDATED = (710, "an entry of a runner's earlier life came late; it is left")
    RUNNER_CRASHED = (705, "a runner is gone; what ran there is under suspicion")

    RUNNER_LIMITED = (712, "a runner limits its requests; 0 for a limit that is over")
    HEADER_UNREAD = (711, "runners answer with a header whose meaning isn't known here")

    @property
    def number(self) -> int:
        """The event's number in the catalogue."""
        return self.value[0]

    @property
    def meaning(self) -> str:
        """What the event says."""
        return self.value[1]


def log_event(event: Event, **fields: object) -> None:
    """Write one event with its number to the log."""
    eliot.log_message(f"{event.number} {event.name.lower()}", **fields)
