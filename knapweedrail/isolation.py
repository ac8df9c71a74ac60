"""Suspects: work whose content was on a lost runner runs one to a runner."""

from __future__ import annotations

import random
from collections import deque

from .fleets import Fleet, RunnerState
from .quarantine import Quarantine
from .queues import Entry

DRAWS = 8
"""Runners looked at to find one without a suspect."""


class Isolation:
    """Keeps suspects apart, so that the next lost runner tells which one it was.

    The load it is for: the retries of all that ran on a lost runner, the one that
    felled it among them. Placed as any work, two of them meet on the next runner, and
    its end condemns both.

    Args:
        quarantine: What is held against whom.
        fleet: The runners.
        rng: Source of the choice.
    """

    def __init__(
        self, quarantine: Quarantine, fleet: Fleet, rng: random.Random
    ) -> None:
        self._quarantine = quarantine
        self._fleet = fleet
        self._rng = rng
        self._held: deque[Entry] = deque()

    def __len__(self) -> int:
        return len(self._held)

    def hold(self, entry: Entry) -> None:
        """Keep a suspect until there is a runner for it."""
        self._held.append(entry)

    def take_held(self) -> list[Entry]:
        """Return all that are kept, for another try."""
        held = list(self._held)
        self._held.clear()
        return held

    def remove(self, entry: Entry) -> None:
        """Drop a suspect that was cancelled."""
        if entry in self._held:
            self._held.remove(entry)

    def place(self, entry: Entry, running: dict[str, Entry]) -> RunnerState | None:
        """Choose a runner on which no other suspect of this router runs.

        Args:
            entry: The suspect.
            running: This router's work that runs now.
        """
        fingerprint = entry.work.fingerprint
        if any(
            other.suspect and other.work.fingerprint == fingerprint
            for other in running.values()
        ):
            # Two copies at once would fell two runners for the one that is allowed.
            return None
        runners = self._fleet.open_runners()
        if not runners and self._fleet.slots == 0:
            runners = self._fleet.trial_runners()
        for _ in range(DRAWS if runners else 0):
            state = self._fleet.draw(self._rng, runners)
            if state.suspects == 0:
                return state
        return None

    def note_crash(
        self, state: RunnerState, entry: Entry, running: dict[str, Entry], now: float
    ) -> bool:
        """Hold a runner's loss against what ran on it, once for all of it.

        Each connection that the runner's end breaks is told on its own. Counted one
        by one, eight requests on one runner would look like eight lost runners.

        Args:
            state: The runner.
            entry: The work whose connection broke; no longer among the running.
            running: This router's work that runs now.
            now: Absolute seconds.

        Returns:
            Whether this is the first that is heard of the loss.
        """
        if entry.crash_noted:
            return False
        there = [running.get(work_id) for work_id in state.running]
        lost = [other for other in there if other is not None] + [entry]
        for other in lost:
            other.crash_noted = True
        fingerprints = [other.work.fingerprint for other in lost]
        self._quarantine.note_loss(state.name, fingerprints, now)
        return True
