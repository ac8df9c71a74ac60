"""Pure part of a router that follows the configuration: what it knows and serves."""

from __future__ import annotations

import attrs

from .configuration import Undecided, intersect, list_undecided
from .models import Configuration, Holder
from .proposals import Proposal, Stage, State, Version

NOTHING = Undecided()


@attrs.frozen
class Knowledge:
    """What is known of the protocol's progress, from whomever it was heard.

    Two pieces of knowledge are joined by taking what is higher in each, so the order
    in which messages arrive, and how late or how often, doesn't matter.

    Attributes:
        in_force: Highest version known to be in force.
        proposed: Highest version known to be proposed.
        withdrawn: Whether that proposal is known to be withdrawn.
    """

    in_force: Version = Version()
    proposed: Version = Version()
    withdrawn: bool = False

    def join(self, other: Knowledge) -> Knowledge:
        """Return what both together know."""
        in_force = max(self.in_force, other.in_force, key=lambda v: v.number)
        if self.proposed.number == other.proposed.number:
            withdrawn = self.withdrawn or other.withdrawn
            return Knowledge(in_force, self.proposed, withdrawn)
        higher = self if self.proposed.number > other.proposed.number else other
        return Knowledge(in_force, higher.proposed, higher.withdrawn)

    def open(self) -> Version | None:
        """Return the version that may come into force, or be so already."""
        if self.withdrawn or self.proposed.number <= self.in_force.number:
            return None
        return self.proposed


def know_state(state: State) -> Knowledge:
    """Return what the platform's state says."""
    proposal: Proposal | None = state.proposal
    if proposal is None:
        return Knowledge(state.in_force)
    withdrawn = proposal.stage is Stage.WITHDRAWN
    return Knowledge(state.in_force, proposal.version, withdrawn)


@attrs.frozen
class View:
    """What a router serves now.

    Attributes:
        configuration: What it may serve; ``None`` before the first one is known.
        number: Number of the version in force, as far as this router knows.
        undecided: What is left out because the router can't know which of two
            versions is in force.
        doubtful: The router must take no new work: a higher version is in force whose
            text it hasn't got, or it hears from no one and may have been given up.
    """

    configuration: Configuration | None = None
    number: int = 0
    undecided: Undecided = NOTHING
    doubtful: bool = False


@attrs.frozen
class Report:
    """What a router tells others: only what it holds the text of.

    Attributes:
        number: Highest version in force here.
        digest: Its digest.
        staged_number: Highest proposal held here; 0 when there is none.
        staged_digest: Its digest; empty when it is withdrawn.
    """

    number: int = 0
    digest: str = ""
    staged_number: int = 0
    staged_digest: str = ""


class Follower:
    """Follows the configuration for one router.

    The texts that it needs are asked for by `wanted` and given by `take`.

    Attributes:
        knowledge: What is known, with or without the texts.
        in_force: The version in force here.
        configuration: Its content.
        staged: The proposal whose text is held here.
        followed: Number of the last version that came into force here after it was
            staged here; 0 when the one in force was only found at the start.
    """

    def __init__(self) -> None:
        self.knowledge = Knowledge()
        self.in_force = Version()
        self.configuration: Configuration | None = None
        self.staged: Version | None = None
        self.followed = 0
        self._staged_configuration: Configuration | None = None
        self._narrow: View | None = None
        self._life: Holder | None = None
        self._entry: Version | None = None
        self._reports: dict[Holder, Report] = {}

    def learn(self, knowledge: Knowledge) -> None:
        """Take in knowledge from the platform or a peer."""
        self.knowledge = self.knowledge.join(knowledge)
        self._advance()

    def enter(self, life: Holder | None, knowledge: Knowledge) -> None:
        """Take in the platform's state, read after a life of this router registered.

        The data centre may have acknowledged the proposal that is open now before this
        life registered, and so without it. Until it holds that proposal's text, it
        would go on serving the old version in full if it were cut off.

        Args:
            life: The registered life; ``None`` while there is none.
            knowledge: What the state said.
        """
        self.learn(knowledge)
        if life != self._life:
            self._life = life
            self._entry = self.knowledge.open()

    def has_entered(self, life: Holder | None) -> bool:
        """Say whether this life may take work."""
        if life is None:
            return True
        missed = self._entry is not None and self._entry != self.staged
        return life == self._life and not missed

    def hear(self, holder: Holder, report: Report) -> None:
        """Take in another router's report.

        What a life of a router once held it holds until it ends or the proposal is
        settled, so the highest number heard stands, however late it comes.
        """
        withdrawn = report.staged_number > 0 and not report.staged_digest
        proposed = Version(report.staged_number, report.staged_digest)
        in_force = Version(report.number, report.digest)
        self.learn(Knowledge(in_force, proposed, withdrawn))
        known = self._reports.get(holder, Report())
        staged = 0 if withdrawn else report.staged_number
        self._reports[holder] = Report(
            max(report.number, known.number),
            staged_number=max(staged, known.staged_number),
        )

    def holds(self, holder: Holder, number: int) -> bool:
        """Say whether a router's life is known to hold this version or a later one."""
        report = self._reports.get(holder, Report())
        return max(report.number, report.staged_number) >= number

    def serves(self, holder: Holder, number: int) -> bool:
        """Say whether this version or a later one is in force at a router's life."""
        return self._reports.get(holder, Report()).number >= number

    def forget_except(self, holders: frozenset[Holder]) -> None:
        """Drop the reports of lives that are over."""
        kept = {h: n for h, n in self._reports.items() if h in holders}
        self._reports = kept

    def wanted(self) -> tuple[Version, ...]:
        """Return the versions whose texts are needed, the more urgent first."""
        wanted = []
        if self.knowledge.in_force.number > self.in_force.number:
            wanted.append(self.knowledge.in_force)
        offered = self.knowledge.open()
        if offered is not None and offered != self.staged:
            wanted.append(offered)
        return tuple(wanted)

    def take(self, version: Version, configuration: Configuration) -> None:
        """Take the checked text of a version that was wanted."""
        if version == self.knowledge.in_force:
            self._adopt(version, configuration)
        elif version == self.knowledge.open():
            self.staged = version
            self._staged_configuration = configuration
            self._narrow = None
        self._advance()

    def report(self) -> Report:
        """Return what to tell others."""
        number, digest = self.in_force.number, self.in_force.digest
        proposed = self.knowledge.proposed
        if self.knowledge.withdrawn and proposed.number > number:
            return Report(number, digest, proposed.number, "")
        if self.staged is None:
            return Report(number, digest, 0, "")
        return Report(number, digest, self.staged.number, self.staged.digest)

    def view(self, confirmed: bool, isolated: bool = False) -> View:
        """Return what to serve.

        Load: every request reads it, so it builds nothing in the usual case. The
        intersection is made once for each staged version.

        Args:
            confirmed: Whether the platform's state was read a moment ago. Only then
                may the old version be served in full beside a staged one; otherwise
                the new one may be in force elsewhere already.
            isolated: Whether neither the platform nor any other router of the data
                centre is heard. Such a router may have been fenced, and then the
                data centre acknowledges without it.
        """
        number = self.in_force.number
        behind = self.knowledge.in_force.number > number
        if behind or isolated or self.staged is None or confirmed:
            return View(self.configuration, number, NOTHING, behind or isolated)
        if self._narrow is None:
            self._narrow = self._make_narrow()
        return self._narrow

    def _advance(self) -> None:
        if self._entry != self.knowledge.open():
            self._entry = None
        if self.staged is None:
            return
        if self.staged == self.knowledge.in_force:
            self.followed = self.staged.number
            self._adopt(self.staged, self._staged_configuration)
        if self.staged != self.knowledge.open():
            self.staged = None
            self._staged_configuration = None

    def _adopt(self, version: Version, configuration: Configuration | None) -> None:
        # A lower number that arrives late must not undo a higher one.
        if version.number > self.in_force.number:
            self.in_force = version
            self.configuration = configuration
            self._narrow = None

    def _make_narrow(self) -> View:
        if self.configuration is None:
            # Nothing is in force here yet, so nothing is allowed by both.
            return View()
        old, new = self.configuration, self._staged_configuration
        both = intersect(old, new)
        undecided = list_undecided(old, new)
        return View(both, self.in_force.number, undecided)
