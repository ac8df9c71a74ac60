"""Runs of one policy on seeded arrivals in virtual time, and what callers got."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import attrs

from ..models import ENGINE, Endpoint, Rules
from .arrivals import Mix, Request, build_arrivals, find_quantile
from .virtual import VirtualRunner, World

SLOTS = 8
DRAIN_SECONDS = 120.0
UNBOUNDED = 10**9


@attrs.frozen
class Shape:
    """A deployment: runners of its engine in each data centre, and routers."""

    name: str
    runners: dict[str, int]
    routers: int

    @property
    def slots(self) -> int:
        """Slots over all runners."""
        return SLOTS * sum(self.runners.values())


SHAPES = (
    Shape("striga", {"split-a": 2, "split-b": 2, "zadar-c": 2}, 6),
    Shape("kurogane", {"fukuoka-a": 2, "fukuoka-b": 2, "kumamoto": 1}, 6),
)


@attrs.define
class Trial:
    """One run in virtual time and what callers got."""

    world: World
    requests: list[Request]
    seconds: float

    def select(self, short: bool | None = None) -> list[Request]:
        """Return the requests of one class, or all."""
        return [r for r in self.requests if short is None or r.work.short == short]

    def goodput(self, short: bool | None = None) -> float:
        """Return requests a second that were answered whole and in time."""
        return sum(r.good for r in self.select(short)) / self.seconds

    def token_goodput(self) -> float:
        """Return their answer tokens a second."""
        return sum(r.answer_tokens for r in self.requests if r.good) / self.seconds

    def first_seconds(self, short: bool, share: float) -> float:
        """Return a quantile of the time to the first byte, of those that got one."""
        times = [r.first - r.arrival for r in self.select(short) if r.first]
        return find_quantile(times, share)

    def refused(self) -> list[Request]:
        """Return what was refused."""
        return [r for r in self.requests if r.refusal is not None]

    def unanswered(self) -> int:
        """Return how many callers left at their deadline without an answer."""
        return sum(r.first is None and r.refusal is None for r in self.requests)


def build_world(
    shape: Shape,
    policy: Callable[..., Any],
    seed: int,
    lag: float = 1.0,
    queue: int = UNBOUNDED,
) -> World:
    """Make runners, each with its own queue, and routers of a shape."""
    runners = {
        data_centre: [
            VirtualRunner(f"{data_centre}-{number}", SLOTS, queue)
            for number in range(count)
        ]
        for data_centre, count in shape.runners.items()
    }
    endpoint = Endpoint("llm", ENGINE, (), SLOTS)
    centres = list(shape.runners)
    routers = [
        policy(
            endpoint,
            centres[index % len(centres)],
            Rules(),
            random.Random(f"{seed}/{index}"),
        )
        for index in range(shape.routers)
    ]
    return World(runners, routers, report_lag=lag)


def run_trial(
    shape: Shape,
    policy: Callable[..., Any],
    load: float,
    seconds: float,
    seed: int,
    mix: Mix | None = None,
    lag: float = 1.0,
    prepare: Callable[[World], None] | None = None,
) -> Trial:
    """Run one policy on the arrivals that the seed gives.

    Args:
        shape: The deployment.
        policy: Class of the routers.
        load: Offered slot seconds over those that the runners have, nothing cached.
        seconds: For how long requests arrive.
        seed: Of arrivals and routers.
        mix: What callers send.
        lag: Seconds by which load reports lag.
        prepare: Called with the world before it runs.
    """
    mix = mix or Mix(routers=shape.routers)
    world = build_world(shape, policy, seed, lag)
    rate = load * shape.slots / mix.mean_seconds()
    requests = build_arrivals(mix, random.Random(seed), rate, 0.0, seconds)
    for request in requests:
        world.add(request)
    if prepare is not None:
        prepare(world)
    world.run(seconds + DRAIN_SECONDS)
    return Trial(world, requests, seconds)


def slow_down_first(world: World) -> None:
    """Make the first runner ten times slower."""
    next(iter(world.runners.values())).slowness = 10.0


def count_slowed(even: Trial, slow: Trial) -> int:
    """Count requests that are lost, or take three times as long, for the slow runner.

    Both trials have the same arrivals, so each request has its own comparison.
    """
    count = 0
    for before, after in zip(even.requests, slow.requests, strict=True):
        if not before.good:
            continue
        if not after.good:
            count += 1
        elif after.done - after.arrival > 3 * (before.done - before.arrival):
            count += 1
    return count


def good_share(requests: list[Request]) -> float:
    """Return the share that was answered whole and in time."""
    return sum(r.good for r in requests) / max(1, len(requests))
