"""Choice of a runner for one piece of work."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod

from .fleets import Fleet, RunnerState
from .registrations import Registry
from .work import Work


class Placement(ABC):
    """A policy that chooses among the runners with room."""

    @abstractmethod
    def choose(
        self, work: Work, fleet: Fleet, rng: random.Random
    ) -> RunnerState | None:
        """Return a runner with room, or ``None`` when none has any."""

    def set_runners(self, near: tuple[str, ...], far: tuple[str, ...]) -> None:
        """Take note of a new list of runners: the data centre's own, and others."""


PLACEMENTS = Registry(Placement)
"""Kinds of placing policy; modules in `plugins` add theirs."""
