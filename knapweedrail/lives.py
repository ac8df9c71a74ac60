"""The router's own life: its registration, and its end by others."""

from __future__ import annotations

import random
import uuid
from collections.abc import Callable

import anyio
import attrs

from .events import Event, log_event
from .models import Holder
from .outcomes import Failure
from .registrars import Registered, Registrar, Seen, Superseded
from .registries import HolderState, Registry
from .watches import choose_pause


@attrs.frozen
class Place:
    """Who and where this router is.

    Attributes:
        name: The router's name, unique over the fleet.
        host: The host on which it runs.
        data_centre: Where it stands.
        peer_address: Address at which peers reach it.
    """

    name: str
    host: str
    data_centre: str
    peer_address: str


@attrs.frozen
class LifeEnded:
    """This router's life was ended by others.

    Attributes:
        holder: The life that is over; what it holds may not be used any more.
        superseded: Another process registered under the router's name. The router
            begins no new life then: two processes would fence each other for ever.
    """

    holder: Holder
    superseded: bool


class OwnLife:
    """Registers the router, and again after its life was ended by others.

    Args:
        place: Who and where the router is.
        registrar: Changes the registry.
        find_highest: Returns the highest incarnation of the own name seen anywhere.
        adopt: Called with the registry in which a life begins, before it begins.
        rng: Source of pauses.
    """

    def __init__(
        self,
        place: Place,
        registrar: Registrar,
        find_highest: Callable[[], int],
        adopt: Callable[[Seen], None],
        rng: random.Random,
    ) -> None:
        self.holder = Holder(place.name, 0)
        self.leaving = False
        self.superseded = False
        self.on_registered: list[Callable[[Holder], None]] = []
        self.on_ended: list[Callable[[LifeEnded], None]] = []
        self._place = place
        self._registrar = registrar
        self._find_highest = find_highest
        self._adopt = adopt
        self._rng = rng
        self._last = 0
        self._over = anyio.Event()

    @property
    def registered(self) -> bool:
        """Whether this life is registered, so that it may hold tokens."""
        return self.holder.incarnation > 0

    async def run(self) -> None:
        """Keep a life registered until the router leaves or is superseded."""
        while not self.superseded and not self.leaving:
            self._over = anyio.Event()
            await self._register(uuid.uuid4().hex)
            await self._over.wait()

    def check(self, registry: Registry) -> None:
        """End this life when the registry says that others have ended it."""
        if not self.registered:
            return
        if registry.highest(self.holder.name) > self.holder.incarnation:
            self._note_superseded(self.holder)
        elif registry.state(self.holder) in (HolderState.FENCED, HolderState.CLOSED):
            # Closed as well: who was paused for long finds its life reclaimed.
            self.end()

    def end(self) -> None:
        """End this life because others did; the next is registered at once."""
        log_event(Event.MEMBER_FENCED, holder=str(self.holder))
        self._end(LifeEnded(self.holder, superseded=False))

    async def leave(self) -> Seen | Failure | None:
        """Close this life in the registry; call it when nothing is held any more.

        Returns:
            ``None`` when there was nothing to close.
        """
        self.leaving = True
        if not self.registered:
            return None
        holder = self.holder
        self._drop_holder()
        outcome = await self._registrar.close(self._place.data_centre, holder)
        if isinstance(outcome, Seen):
            log_event(Event.MEMBER_CLOSED, holder=str(holder))
        return outcome

    async def _register(self, registration: str) -> None:
        attempt = 0
        while not self.leaving:
            outcome = await self._registrar.register(
                self._place.data_centre,
                self._place.name,
                self._place.peer_address,
                self._place.host,
                registration,
                self._find_highest(),
                self._last,
            )
            if isinstance(outcome, Registered):
                self._begin(outcome)
                return
            if isinstance(outcome, Superseded):
                self._note_superseded(Holder(self._place.name, self._last))
                return
            if attempt == 0:
                log_event(Event.MEMBER_NOT_REGISTERED, detail=str(outcome))
            await anyio.sleep(choose_pause(attempt, self._rng))
            attempt += 1

    def _begin(self, registered: Registered) -> None:
        # Before the first use of the life, the fences that stood at its beginning.
        self._adopt(registered.seen)
        self.holder = registered.holder
        self._last = self.holder.incarnation
        log_event(Event.MEMBER_REGISTERED, holder=str(self.holder))
        for callback in self.on_registered:
            callback(registered.holder)
        # What was known already may be newer: the life may be fenced by now.
        self._adopt(registered.seen)

    def _note_superseded(self, ended: Holder) -> None:
        log_event(Event.MEMBER_SUPERSEDED, holder=str(ended))
        self.superseded = True
        self._end(LifeEnded(ended, superseded=True))

    def _end(self, ended: LifeEnded) -> None:
        self._drop_holder()
        for callback in self.on_ended:
            callback(ended)
        self._over.set()

    def _drop_holder(self) -> None:
        self.holder = Holder(self._place.name, 0)
