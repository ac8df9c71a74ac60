"""Pure protocol that decides which configuration is in force.

One object holds the version in force and the latest proposal; a second one collects
the data centres' acknowledgements. Every change is a conditional update, so that two
changes never both follow from one state. Numbers only rise: a proposal takes a number
that no earlier one had, whatever became of them. No clock takes part; time limits
elsewhere decide when a withdrawal is tried, never whether it may succeed.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable

import attrs
import cattrs
import orjson

STATE_KEY = "config/state"
"""Object of the version in force and the latest proposal. Every router watches it, so
it changes only twice for each change of configuration."""

ACKS_KEY = "acks/configuration"
"""Object of the acknowledgements. It isn't below the watched prefix: with it, each of
18 data centres would wake all 500 routers once for each change."""

SETTLED_KEPT = 20
"""Settled proposals kept in the state, where an operator whose answer was lost finds
its own again, and from which the audit trail is completed."""


class Stage(enum.Enum):
    """Where a proposal stands; it leaves `OPEN` once and for all."""

    OPEN = "open"
    DECIDED = "decided"
    WITHDRAWN = "withdrawn"


@attrs.frozen
class Version:
    """A configuration: its number, and the digest of its text.

    Attributes:
        number: Rises with each proposal; 0 before the first.
        digest: SHA-256 of the file's text.
    """

    number: int = 0
    digest: str = ""


@attrs.frozen
class Proposal:
    """One file that an operator wants in force.

    Attributes:
        version: The number and digest that it would have.
        identity: Identity of the operator's command, found again after a lost answer.
        author: Who applied it.
        base: Number in force that it replaces.
        needed: Data centres that must acknowledge it.
        stage: Where it stands.
        reason: Why it was withdrawn.
        proposed: Unix time, for people only.
        settled: Unix time, for people only.
    """

    version: Version
    identity: str
    author: str
    base: int
    needed: tuple[str, ...]
    stage: Stage = Stage.OPEN
    reason: str = ""
    proposed: float = 0.0
    settled: float = 0.0


@attrs.frozen
class State:
    """What is in force, and the latest proposals.

    Attributes:
        in_force: The version in force.
        proposal: The latest proposal, open or settled.
        earlier: Settled proposals before it, the latest last.
    """

    in_force: Version = Version()
    proposal: Proposal | None = None
    earlier: tuple[Proposal, ...] = ()

    def find(self, identity: str) -> Proposal | None:
        """Return the proposal of an operator's command."""
        for proposal in self.proposals():
            if proposal.identity == identity:
                return proposal
        return None

    def find_number(self, number: int) -> Proposal | None:
        """Return the proposal of a number."""
        for proposal in self.proposals():
            if proposal.version.number == number:
                return proposal
        return None

    def proposals(self) -> tuple[Proposal, ...]:
        """Return all known proposals, the latest first."""
        latest = () if self.proposal is None else (self.proposal,)
        return (*latest, *reversed(self.earlier))

    def open(self) -> Proposal | None:
        """Return the open proposal, if there is one."""
        if self.proposal is not None and self.proposal.stage is Stage.OPEN:
            return self.proposal
        return None


@attrs.frozen
class Acks:
    """Acknowledgements of one proposal.

    Attributes:
        number: The proposal's number.
        identity: The proposal's identity.
        centres: For each data centre, the router that acknowledged.
        refusals: For each data centre that can't take the file, the reason.
    """

    number: int = 0
    identity: str = ""
    centres: dict[str, str] = attrs.field(factory=dict)
    refusals: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen
class Command:
    """An operator's command to put a file in force.

    Attributes:
        identity: Random identity of the command; the same when it is repeated.
        author: Who gives it.
        digest: Digest of the file's text.
        base: Number in force on which the file is based.
        needed: Data centres with live routers or hosts.
        seconds: Unix time, for people only.
    """

    identity: str
    author: str
    digest: str
    base: int
    needed: tuple[str, ...]
    seconds: float = 0.0


@attrs.frozen
class Proposed:
    """The command has a proposal, perhaps from an earlier try."""

    state: State
    proposal: Proposal


@attrs.frozen
class Busy:
    """Another proposal is open and must be settled first."""

    proposal: Proposal


@attrs.frozen
class Beaten:
    """Another version came into force since the base was read."""

    in_force: Version
    winner: Proposal | None


def propose(state: State, command: Command) -> Proposed | Busy | Beaten:
    """Propose a file.

    The identity is looked for first: an operator whose write took effect, but whose
    answer was lost, must find its own proposal rather than be beaten by it.
    """
    known = state.find(command.identity)
    if known is not None:
        return Proposed(state, known)
    if state.open() is not None:
        return Busy(state.open())
    if state.in_force.number != command.base:
        winner = state.find_number(state.in_force.number)
        return Beaten(state.in_force, winner)
    proposal = Proposal(
        Version(next_number(state), command.digest),
        command.identity,
        command.author,
        command.base,
        command.needed,
        proposed=command.seconds,
    )
    earlier = state.earlier
    if state.proposal is not None:
        earlier = (*earlier, state.proposal)[-SETTLED_KEPT:]
    return Proposed(State(state.in_force, proposal, earlier), proposal)


def next_number(state: State) -> int:
    """Return a number that no proposal had.

    A withdrawn proposal's number isn't used again: a router that was cut off may still
    hold that proposal's text, and would take the other file's decision for its own.
    """
    latest = 0 if state.proposal is None else state.proposal.version.number
    return max(state.in_force.number, latest) + 1


def acknowledge(
    acks: Acks, proposal: Proposal, data_centre: str, holder: str
) -> Acks | None:
    """Acknowledge a proposal for a data centre.

    Args:
        acks: The acknowledgements as read.
        proposal: The proposal that every registered router of the data centre holds.
        data_centre: The data centre.
        holder: The router that writes this.

    Returns:
        The new acknowledgements; the same ones when nothing is to be added; ``None``
        when a later proposal has begun.
    """
    own = _acks_of(acks, proposal)
    if own is None or data_centre in own.centres:
        return own
    return attrs.evolve(own, centres=own.centres | {data_centre: holder})


def refuse(
    acks: Acks, proposal: Proposal, data_centre: str, reason: str
) -> Acks | None:
    """Note that a data centre can't take a proposal; returns as `acknowledge`."""
    own = _acks_of(acks, proposal)
    if own is None or data_centre in own.refusals:
        return own
    return attrs.evolve(own, refusals=own.refusals | {data_centre: reason})


def _acks_of(acks: Acks, proposal: Proposal) -> Acks | None:
    number = proposal.version.number
    if acks.number > number:
        return None
    if acks.number < number:
        return Acks(number, proposal.identity)
    return acks


def list_missing(
    proposal: Proposal, acks: Acks, live: Iterable[str]
) -> tuple[str, ...]:
    """Return the data centres whose acknowledgement is still needed.

    Args:
        proposal: The proposal.
        acks: Acknowledgements, of any proposal.
        live: Data centres with registered routers, read after ``acks``: one that
            came up since the proposal must have it as well.
    """
    given = acks.centres if acks.identity == proposal.identity else {}
    return tuple(sorted({*proposal.needed, *live} - set(given)))


def decide(
    state: State, identity: str, acks: Acks, live: Iterable[str], seconds: float = 0.0
) -> State | None:
    """Put the open proposal of this identity in force.

    Returns:
        The new state, or ``None`` when the proposal isn't open or not acknowledged by
        every data centre.
    """
    proposal = state.open()
    if proposal is None or proposal.identity != identity:
        return None
    if list_missing(proposal, acks, live):
        return None
    decided = attrs.evolve(proposal, stage=Stage.DECIDED, settled=seconds)
    return attrs.evolve(state, in_force=proposal.version, proposal=decided)


def withdraw(
    state: State, identity: str, reason: str, seconds: float = 0.0
) -> State | None:
    """Withdraw the open proposal of this identity; ``None`` when it isn't open."""
    proposal = state.open()
    if proposal is None or proposal.identity != identity:
        return None
    withdrawn = attrs.evolve(
        proposal, stage=Stage.WITHDRAWN, reason=reason, settled=seconds
    )
    return attrs.evolve(state, proposal=withdrawn)


def encode(value: State | Acks) -> bytes:
    """Encode an object of the protocol for the platform."""
    return orjson.dumps(cattrs.unstructure(value))


def decode_state(value: bytes) -> State:
    """Decode what `encode` gave of a state."""
    return cattrs.structure(orjson.loads(value), State)


def decode_acks(value: bytes) -> Acks:
    """Decode what `encode` gave of acknowledgements."""
    return cattrs.structure(orjson.loads(value), Acks)
