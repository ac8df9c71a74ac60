"""Applying a configuration file, from its check to the final answer."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass

import anyio
import attrs

from .audits import Kind, append_entries, list_settled, read_entries
from .centres import read_needed_centres
from .configuration import digest_text, read_configuration
from .differences import Difference, check_change, list_differences
from .models import Configuration
from .outcomes import Unavailable, Unknown
from .platforms import Platform
from .proposals import (
    Beaten,
    Busy,
    Command,
    Proposal,
    Proposed,
    Stage,
    State,
    Version,
    list_missing,
    propose,
)
from .settlements import (
    read_acks,
    read_state,
    try_decide,
    try_withdraw,
    update_state,
)
from .texts import load_text, store_text
from .updates import Updated

AUDIT_PAGES = 5
"""Pages of the audit trail in which an old command is looked for."""


@dataclass(frozen=True)
class Accepted:
    """The file is in force, or was until a later one replaced it."""

    number: int
    identity: str


@dataclass(frozen=True)
class Refused:
    """The file is not in force and won't be through this command.

    Attributes:
        reasons: Every reason, such as faults with file, line and key.
        identity: Identity of the command.
    """

    reasons: tuple[str, ...]
    identity: str


@dataclass(frozen=True)
class Outrun:
    """Another operator's file came into force first; this one changed nothing.

    Attributes:
        number: Number in force.
        author: Who applied it; empty when it is no longer known.
        differences: What differs from the file in force to the refused one.
        identity: Identity of the command.
    """

    number: int
    author: str
    differences: tuple[Difference, ...]
    identity: str


@dataclass(frozen=True)
class Unsettled:
    """It isn't known yet whether the file comes into force: ask again.

    Attributes:
        detail: What was seen last.
        identity: Identity to ask with.
    """

    detail: str
    identity: str


Answer = Accepted | Refused | Outrun | Unsettled


@attrs.frozen
class SubmissionTimes:
    """How long a command waits.

    Attributes:
        total_seconds: After it, a proposal that isn't decided is withdrawn.
        answer_seconds: How long the platform is asked for the final answer after it.
        poll_seconds: Pause between two looks at the acknowledgements: one process at
            a time, so a short one costs the platform little.
    """

    total_seconds: float = 10.0
    answer_seconds: float = 10.0
    poll_seconds: float = 0.1


class Submission:
    """One command to put a file in force.

    Args:
        platform: The platform.
        identity: Random identity of the command; the same one when it is repeated.
        author: Who gives it.
        rng: For jitter.
        times: How long to wait.
    """

    def __init__(
        self,
        platform: Platform,
        identity: str,
        author: str,
        rng: random.Random,
        times: SubmissionTimes = SubmissionTimes(),
    ) -> None:
        self.platform = platform
        self.identity = identity
        self.author = author
        self.times = times
        self._rng = rng
        self._deadline = 0.0
        self._base: int | None = None
        self._sent = False

    async def apply(self, text: str, file: str, base: int | None = None) -> Answer:
        """Apply a file.

        Args:
            text: The file's text.
            file: Its name, for faults.
            base: Number in force that the file was made for; by default the one in
                force now.
        """
        found = read_configuration(text, file)
        if not isinstance(found, Configuration):
            return self._refuse(*map(str, found))
        self._deadline = anyio.current_time() + self.times.total_seconds
        self._base = base
        while True:
            outcome = await self._try(text, found)
            if not isinstance(outcome, Busy | Unavailable | Unknown):
                return outcome
            if anyio.current_time() > self._deadline:
                return self._give_up(outcome)
            await anyio.sleep(self.times.poll_seconds)

    def _give_up(self, outcome: Busy | Unavailable | Unknown) -> Refused | Unsettled:
        if isinstance(outcome, Busy):
            # Its version has replaced the one on which a lost write was conditional.
            other = outcome.proposal
            number = other.version.number
            return self._refuse(f"version {number} by {other.author!r} is still open")
        if self._sent:
            return Unsettled(outcome.detail, self.identity)
        return self._refuse(f"the platform can't be reached: {outcome.detail}")

    async def ask(self) -> Answer:
        """Say what became of the command, as far as the platform tells."""
        state = await read_state(self.platform)
        if isinstance(state, Unavailable):
            return Unsettled(state.detail, self.identity)
        proposal = state.find(self.identity)
        if proposal is None:
            return await self._ask_audit()
        return self._answer(proposal) or Unsettled("still open", self.identity)

    async def _try(
        self, text: str, configuration: Configuration
    ) -> Answer | Busy | Unavailable | Unknown:
        state = await read_state(self.platform)
        if isinstance(state, Unavailable):
            return state
        if self._base is None:
            self._base = state.in_force.number
        known = state.find(self.identity)
        if known is not None:
            return await self._settle(known)
        if state.open() is not None:
            return Busy(state.open())
        if self._base != state.in_force.number:
            winner = state.find_number(state.in_force.number)
            return await self._outrun(Beaten(state.in_force, winner), configuration)
        command = await self._prepare(state, text, configuration)
        if not isinstance(command, Command):
            return command
        return await self._propose(command, configuration)

    async def _prepare(
        self, state: State, text: str, configuration: Configuration
    ) -> Command | Refused | Accepted | Unavailable | Unknown:
        """Do all that must stand before the proposal."""
        digest = digest_text(text)
        if state.in_force.digest == digest:
            return Accepted(state.in_force.number, self.identity)
        old = await self._load(state.in_force)
        if isinstance(old, Unavailable):
            return old
        faults = check_change(old, configuration)
        if faults:
            return self._refuse(*faults)
        # The state names only the last proposals, so their entries must stand before
        # another one is added.
        settled = list_settled(state)
        failure = await append_entries(self.platform, settled, self._rng)
        failure = failure or await store_text(self.platform, text)
        if failure is not None:
            return failure
        needed = await read_needed_centres(self.platform)
        if isinstance(needed, Unavailable):
            return needed
        return Command(
            self.identity,
            self.author,
            digest,
            state.in_force.number,
            tuple(sorted(needed)),
            time.time(),
        )

    async def _load(self, version: Version) -> Configuration | Unavailable:
        if version.number == 0:
            return Configuration()
        text = await load_text(self.platform, version.digest)
        if isinstance(text, Unavailable):
            return text
        found = read_configuration(text, f"configuration {version.number}")
        if isinstance(found, Configuration):
            return found
        detail = f"the version in force doesn't pass this command's checks: {found[0]}"
        return Unavailable("submissions.load", version.digest, detail)

    async def _propose(
        self, command: Command, configuration: Configuration
    ) -> Answer | Busy | Unavailable | Unknown:
        seen: list[Proposed | Busy | Beaten] = []

        def change(state: State) -> State | None:
            seen.append(propose(state, command))
            return seen[-1].state if isinstance(seen[-1], Proposed) else None

        outcome = await update_state(self.platform, change, self._rng)
        if isinstance(outcome, Unknown):
            # The next try finds the proposal by its identity, or makes it again. The
            # lost write can't take effect later beside it: both follow one version.
            self._sent = True
        if not isinstance(outcome, Updated):
            return outcome
        if isinstance(seen[-1], Beaten):
            return await self._outrun(seen[-1], configuration)
        if isinstance(seen[-1], Busy):
            return seen[-1]
        return await self._settle(seen[-1].proposal)

    async def _settle(self, proposal: Proposal) -> Answer:
        """Wait until a proposal is settled, and settle it when that is due."""
        detail = "still open"
        give_up = self._deadline + self.times.answer_seconds
        while anyio.current_time() < give_up:
            answer = self._answer(proposal)
            if answer is not None:
                return answer
            state = await self._advance(proposal)
            if isinstance(state, Unavailable | Unknown):
                detail = state.detail
            elif state.find(self.identity) is None:
                return await self._ask_audit()
            else:
                proposal = state.find(self.identity)
            if proposal.stage is Stage.OPEN:
                await anyio.sleep(self.times.poll_seconds)
        return Unsettled(detail, self.identity)

    async def _advance(self, proposal: Proposal) -> State | Unavailable | Unknown:
        """Read how far an open proposal is; decide or withdraw it when that is due."""
        acks = await read_acks(self.platform)
        if isinstance(acks, Unavailable):
            return acks
        refusals = acks.refusals if acks.identity == proposal.identity else {}
        missing = list_missing(proposal, acks, ())
        if refusals:
            reason = "; ".join(f"{c} can't take it: {r}" for c, r in refusals.items())
            outcome = await try_withdraw(self.platform, proposal, reason, self._rng)
        elif not missing:
            outcome = await try_decide(self.platform, proposal, acks, self._rng)
        elif anyio.current_time() > self._deadline:
            reason = f"not acknowledged by {', '.join(missing)}"
            outcome = await try_withdraw(self.platform, proposal, reason, self._rng)
        else:
            return await read_state(self.platform)
        return outcome.result if isinstance(outcome, Updated) else outcome

    def _answer(self, proposal: Proposal) -> Answer | None:
        if proposal.stage is Stage.DECIDED:
            return Accepted(proposal.version.number, self.identity)
        if proposal.stage is Stage.WITHDRAWN:
            return self._refuse(proposal.reason)
        return None

    async def _ask_audit(self) -> Answer:
        entries = await read_entries(self.platform, AUDIT_PAGES)
        if isinstance(entries, Unavailable):
            return Unsettled(entries.detail, self.identity)
        for entry in entries:
            if entry.identity != f"configuration/{self.identity}":
                continue
            if entry.kind is Kind.ACCEPTED:
                return Accepted(int(entry.after), self.identity)
            return self._refuse(entry.detail)
        detail = "not known so far; to be certain, apply it again with this identity"
        return Unsettled(detail, self.identity)

    async def _outrun(self, beaten: Beaten, wanted: Configuration) -> Answer:
        old = await self._load(beaten.in_force)
        differences: tuple[Difference, ...] = ()
        if isinstance(old, Configuration):
            differences = list_differences(old, wanted)
        author = "" if beaten.winner is None else beaten.winner.author
        return Outrun(beaten.in_force.number, author, differences, self.identity)

    def _refuse(self, *reasons: str) -> Refused:
        return Refused(reasons, self.identity)
