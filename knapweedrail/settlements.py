"""Conditional updates that settle a proposal, by an operator's command or a router."""

from __future__ import annotations

import random
import time
from collections.abc import Callable

from .audits import append_entries, list_settled
from .centres import read_live_centres
from .decoding import decode_object
from .events import Event, log_event
from .outcomes import Found, Unavailable, Unknown
from .platforms import Platform
from .proposals import (
    ACKS_KEY,
    STATE_KEY,
    Acks,
    Proposal,
    State,
    decide,
    decode_acks,
    decode_state,
    encode,
    withdraw,
)
from .updates import Edit, Updated, update_object

Outcome = Updated | Unavailable | Unknown
"""Of an update; the result of `Updated` is the state or the acknowledgements."""


async def read_state(platform: Platform) -> State | Unavailable:
    """Read the state; an empty one when nothing was ever proposed."""
    found = await platform.read(STATE_KEY)
    if isinstance(found, Unavailable):
        return found
    if not isinstance(found, Found):
        return State()
    return decode_object(STATE_KEY, found.value, decode_state)


async def read_acks(platform: Platform) -> Acks | Unavailable:
    """Read the acknowledgements of the latest proposal that has any."""
    found = await platform.read(ACKS_KEY)
    if isinstance(found, Unavailable):
        return found
    if not isinstance(found, Found):
        return Acks()
    return decode_object(ACKS_KEY, found.value, decode_acks)


async def update_acks(
    platform: Platform, change: Callable[[Acks], Acks | None], rng: random.Random
) -> Outcome:
    """Change the acknowledgements; ``None`` from ``change`` leaves them."""

    def edit(value: bytes | None) -> Edit:
        acks = Acks() if value is None else decode_acks(value)
        changed = change(acks)
        if changed is None or changed == acks:
            return Edit(None, acks)
        return Edit(encode(changed), changed)

    return await update_object(platform, ACKS_KEY, edit, rng)


async def update_state(
    platform: Platform, change: Callable[[State], State | None], rng: random.Random
) -> Outcome:
    """Change the state; ``None`` from ``change`` leaves it."""

    def edit(value: bytes | None) -> Edit:
        state = State() if value is None else decode_state(value)
        changed = change(state)
        if changed is None or changed == state:
            return Edit(None, state)
        return Edit(encode(changed), changed)

    return await update_object(platform, STATE_KEY, edit, rng)


async def try_decide(
    platform: Platform, proposal: Proposal, acks: Acks, rng: random.Random
) -> Outcome:
    """Put a proposal in force if every data centre has acknowledged it.

    The live data centres are read after the acknowledgements: a data centre that came
    up since the proposal is then either seen here, or its routers read the state after
    it and find the proposal there.
    """
    live = await read_live_centres(platform)
    if isinstance(live, Unavailable):
        return live
    identity = proposal.identity
    outcome = await update_state(
        platform, lambda state: decide(state, identity, acks, live, time.time()), rng
    )
    return await _note_settled(platform, outcome, rng)


async def try_withdraw(
    platform: Platform, proposal: Proposal, reason: str, rng: random.Random
) -> Outcome:
    """Withdraw a proposal if it is still open."""
    identity = proposal.identity
    outcome = await update_state(
        platform, lambda state: withdraw(state, identity, reason, time.time()), rng
    )
    return await _note_settled(platform, outcome, rng)


async def _note_settled(
    platform: Platform, outcome: Outcome, rng: random.Random
) -> Outcome:
    if isinstance(outcome, Updated):
        failure = await append_entries(platform, list_settled(outcome.result), rng)
        if failure is not None:
            # The state still names the proposal: whoever proposes next, or reads the
            # trail, writes the entry.
            log_event(Event.AUDIT_LATE, detail=failure.detail)
    return outcome
