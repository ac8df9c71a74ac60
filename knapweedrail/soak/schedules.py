"""What is done to a fleet in a run, worked out from a seed.

Pure. Steps come in series and overlap: a second one may begin before the first is over.
"""

from __future__ import annotations

import random

import attrs

QUIET_SECONDS = 2.0
"""Time at the start and the end without a step; the fleet has to come up, and what was
broken off must have ended when the run is judged."""

VARIANTS = 1000

CRASHING_SECONDS = 10.0
CRASHING_SHARE = 0.7
"""How long requests that crash runners are sent, and in which share of long runs."""

STORE_STEPS = (
    "store away",
    "store silent",
    "store loses",
    "store refuses",
    "store forgets",
)
RELAY_STEPS = (
    "kill",
    "pause",
    "stop",
    "stop in turn",
    "cut from store",
    "silence to store",
)
RUNNER_STEPS = (
    "leave",
    "reset runner",
    "silence runner",
    "slow runner",
    "crash",
    "restart runner",
    "live again",
    "spoil entry",
)
OTHER_STEPS = ("configure", "kill all", "foreign entries")


@attrs.frozen
class Step:
    """One thing that is done.

    Attributes:
        at: Seconds from the start.
        target: Number of the relay or runner.
        seconds: How long it lasts.
        variant: Number that tells apart the ways in which it can be done.
    """

    at: float
    kind: str
    target: int
    seconds: float
    variant: int = 0


def draw_schedule(
    seed: int, seconds: float, relays: int, runners: int, pace: float
) -> list[Step]:
    """Return the steps of a run, in order.

    Args:
        seconds: Length of the run.
        pace: Steps a second, as a mean.
    """
    rng = random.Random(seed)
    kinds = [*STORE_STEPS, *RELAY_STEPS, *RUNNER_STEPS, *OTHER_STEPS]
    steps = []
    at = QUIET_SECONDS
    while True:
        at += rng.expovariate(pace)
        if at > seconds - QUIET_SECONDS:
            return sorted([*steps, *draw_crashing(seed, seconds)], key=_get_time)
        kind = rng.choice(kinds)
        most = runners if kind in RUNNER_STEPS else relays
        lasts = rng.uniform(0.2, min(4.0, seconds / 3))
        target, variant = rng.randrange(most), rng.randrange(VARIANTS)
        steps.append(Step(round(at, 3), kind, target, round(lasts, 3), variant))


def draw_crashing(seed: int, seconds: float) -> list[Step]:
    """Return the steps that send requests which crash runners.

    Most runs that are long enough have one. They are drawn apart, so that the other
    steps of a seed are the same with and without them.
    """
    rng = random.Random(f"crashing {seed}")
    latest = seconds - CRASHING_SECONDS - QUIET_SECONDS
    if latest < QUIET_SECONDS or rng.random() > CRASHING_SHARE:
        return []
    at = round(rng.uniform(QUIET_SECONDS, latest), 3)
    return [Step(at, "crashing requests", 0, CRASHING_SECONDS, rng.randrange(VARIANTS))]


def _get_time(step: Step) -> float:
    return step.at
