"""Writes of a host's record, which bounds what its relay may have used."""

from __future__ import annotations

import time
from abc import ABC, abstractmethod

import anyio
import attrs

from .account_holdings import AccountHolding, RecordPlan
from .boot_clock import BootClock
from .grant_logs import log_record
from .host_records import (
    KIND,
    NO_RECORD,
    HostRecord,
    decode_record,
    encode_record,
)
from .ledgers import get_host
from .malformed import MalformedObjects
from .notifiers import Notifier
from .stores import Conflict, Missing, Store, StoredObject, WriteOutcome, Written

CHECK_SECONDS = 0.1
"""Pause between checks whether the time of day was set. Until the record is written
anew, the boot that it names is taken for another one."""

INTERVAL_SECONDS = 0.5
"""Seconds between two writes of the record that no request waits for. Together with the
time of a restart they are shorter than the delay of the record's schedules."""

MIN_SAVED_SHARE = 0.01
"""Smallest part of an account that such a write must save if the relay crashes, summed
over the accounts. Less isn't worth a write."""

MAX_ACCOUNTS = 200
"""Accounts in a record, which bounds the size of the object."""


class RecordSource(ABC):
    """What a host's record is about, and whether it may be written."""

    @abstractmethod
    def list_holdings(self) -> list[AccountHolding]:
        """Return the accounts of the relay."""

    @abstractmethod
    def plan_record(self, holding: AccountHolding) -> RecordPlan | None:
        """Return what the record should say of an account; ``None`` for nothing."""

    @abstractmethod
    def can_write(self) -> bool:
        """Return whether the store answers, as far as known."""

    @abstractmethod
    def record_outcome(self, outcome: WriteOutcome, seconds: float) -> None:
        """Record how the store answered a write, and after how many seconds."""


class HostRecorder:
    """Writes the vesting schedules of all accounts of a relay to its host's record.

    Args:
        store: The platform's store.
        holder: The relay's name as a holder in the ledgers.
        clock: Clock by which grants vest.
        source: What the record is about.
        changed: Notified after a write that a request waits for.
        malformed: Records objects that can't be decoded.
    """

    def __init__(
        self,
        store: Store,
        holder: str,
        clock: BootClock,
        source: RecordSource,
        changed: Notifier,
        malformed: MalformedObjects,
    ) -> None:
        self._store = store
        self._holder = holder
        self._host = get_host(holder)
        self._clock = clock
        self._source = source
        self._changed = changed
        self._malformed = malformed
        self._previous: HostRecord | None = None
        self._revision: int | None = None
        self._loading = anyio.Lock()
        self._requested = anyio.Event()
        self._requests = 0
        self._served_requests = 0
        self._written_at = float("-inf")
        self._sequence = 0
        self._boot = clock.started.boot

    @property
    def previous(self) -> HostRecord:
        """The record as the previous incarnation left it."""
        return self._previous or NO_RECORD

    @property
    def pending(self) -> bool:
        """Whether a requested write is still to be answered."""
        return self._served_requests < self._requests

    def request_write(self) -> None:
        """Write the record at once, as a request waits for tokens."""
        self._requests += 1
        self._requested.set()

    async def load(self) -> bool:
        """Read what the previous incarnation left; return whether it is known.

        The read has to be up to date, since an older record bounds less than was used.
        So it is the answer to a conditional write.
        """
        async with self._loading:
            if self._previous is None:
                await self._load()
        return self._previous is not None

    async def run(self) -> None:
        """Keep the record up to date."""
        while True:
            with anyio.move_on_after(CHECK_SECONDS):
                await self._requested.wait()
            self._requested = anyio.Event()
            requests = self._requests
            try:
                if self._is_due() and await self.load():
                    await self._write()
            finally:
                if requests > self._served_requests:
                    self._served_requests = requests
                    self._changed.notify_all()

    def _is_due(self) -> bool:
        if not self._source.can_write():
            return False
        urgent = self.pending or not self._boot.is_same(self._clock.read().boot)
        if not urgent and time.monotonic() - self._written_at < INTERVAL_SECONDS:
            return False
        plans = self._plan_all().values()
        if not plans:
            # The stored record must not bind a relay that writes no more of them.
            return any(
                h.allowance.record_schedules for h in self._source.list_holdings()
            )
        saved = sum(plan.saved_share for plan in plans)
        return urgent or saved >= MIN_SAVED_SHARE

    def _plan_all(self) -> dict[str, RecordPlan]:
        """Return plans by account, those that save most."""
        plans = {
            holding.name: plan
            for holding in self._source.list_holdings()
            if (plan := self._source.plan_record(holding)) is not None
        }
        if len(plans) <= MAX_ACCOUNTS:
            return plans
        largest = sorted(plans, key=lambda name: -plans[name].saved_share)
        return {name: plans[name] for name in largest[:MAX_ACCOUNTS]}

    async def _load(self) -> None:
        outcome = await self._send(HostRecord(self._holder))
        match outcome:
            case Written(revision):
                self._previous, self._revision = NO_RECORD, revision
            case Conflict(stored):
                self._previous = self._decode(stored)
                self._revision = stored.revision

    async def _write(self) -> None:
        """Write the schedules of all accounts.

        A relay keeps to each schedule from before it is sent until a later write is
        known to have replaced it, so it doesn't matter when the write takes effect.
        """
        boot = self._clock.read().boot
        plans = self._plan_all()
        schedules = {name: plan.schedule for name, plan in plans.items()}
        for holding in self._source.list_holdings():
            schedule = schedules.get(holding.name)
            if schedule is not None:
                holding.allowance.record_schedules.append(schedule)
                log_record(holding, schedule)
        self._written_at = time.monotonic()
        outcome = await self._send(HostRecord(self._holder, schedules))
        match outcome:
            case Written(revision):
                self._revision = revision
                self._boot = boot
                for holding in self._source.list_holdings():
                    schedule = schedules.get(holding.name)
                    holding.allowance.record_schedules = [schedule] if schedule else []
            case Conflict(stored):
                self._revision = stored.revision
                self._requested.set()
            case Missing():
                self._revision = None
                self._requested.set()

    async def _send(self, record: HostRecord) -> WriteOutcome:
        began_at = time.monotonic()
        self._sequence += 1
        spec = encode_record(attrs.evolve(record, sequence=self._sequence))
        if self._revision is None:
            outcome = await self._store.create(KIND, self._host, spec)
        else:
            outcome = await self._store.replace(KIND, self._host, spec, self._revision)
        self._source.record_outcome(outcome, time.monotonic() - began_at)
        return outcome

    def _decode(self, stored: StoredObject) -> HostRecord:
        try:
            record = decode_record(stored)
        except ValueError as error:
            now = time.monotonic()
            self._malformed.record(KIND, stored.name, stored.revision, str(error), now)
            return NO_RECORD
        return NO_RECORD if record.holder == self._holder else record
