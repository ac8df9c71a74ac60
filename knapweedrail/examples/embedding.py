"""The coordination parts in another program: prepaid prints on two copiers.

Two print servers share one prepaid budget of prints. Their only common ground is one
record with a version, updated by compare-and-swap: here a plain object in memory, in
earnest any store that has conditional updates. No network, clock or task of the
package takes part.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

import attrs

from ..allowances import Allowance
from ..dispatch import Dispatcher, Ended, EndedKind, Start, Work
from ..entries import Batch, Denied, Entry, Grant, Granted, OpenBudget, Outcome
from ..ledgers import Ledger, decode_ledger, encode_ledger
from ..models import SERVICE, Endpoint, Holder, Rules, Runner
from ..postings import apply_batch

PRINTS = 100


@attrs.define
class Store:
    """One record with a version."""

    value: bytes = encode_ledger(Ledger())
    version: int = 1

    def replace(self, value: bytes, expected: int) -> bool:
        """Write if nobody has written since version ``expected``."""
        if expected != self.version:
            return False
        self.value, self.version = value, self.version + 1
        return True


class PrintServer:
    """Spends from a share of the budget that it holds.

    Args:
        name: Name of the server.
        store: The common record.
    """

    def __init__(self, name: str, store: Store) -> None:
        self.holder = Holder(name, 1)
        self.store = store
        self.allowance = Allowance("prints", now=0.0)
        self._batches = 0
        self._jobs = 0

    def post(self, *entries: Entry) -> tuple[Outcome, ...]:
        """Apply entries to the record, again and again until no other came between."""
        self._batches += 1
        batch = Batch(self.holder, "office", self._batches, entries)
        while True:
            ledger, version = decode_ledger(self.store.value), self.store.version
            applied = apply_batch(ledger, batch)
            value = encode_ledger(applied.ledger)
            if not applied.changed or self.store.replace(value, version):
                return applied.outcomes

    def refill(self, prints: int) -> bool:
        """Move prints from the common budget to this server."""
        (outcome,) = self.post(Grant("prints", prints, 0, prints, 1))
        if isinstance(outcome, Granted):
            self.allowance.credit(outcome.allowance, outcome.reserve)
        return not isinstance(outcome, Denied)

    def print(self, pages: int) -> bool:
        """Print from what is held; asks for more once when it isn't enough."""
        self._jobs += 1
        if not self.allowance.set_aside(self._jobs, pages):
            self.refill(pages)
            if not self.allowance.set_aside(self._jobs, pages):
                return False
        return self.allowance.settle(self._jobs, pages, now=0.0)


def spend_all() -> int:
    """Let two servers print until the budget is spent; return the prints."""
    store = Store()
    servers = [PrintServer("ground", store), PrintServer("attic", store)]
    servers[0].post(OpenBudget("prints", PRINTS))
    printed = 0
    for turn in range(60):
        if servers[turn % 2].print(pages=3):
            printed += 3
    return printed


def share_copiers() -> list[str]:
    """Place four jobs on two copiers that take one at a time; return the order."""
    copiers = (Runner("left", "left:1", "office"), Runner("right", "right:1", "office"))
    endpoint = Endpoint("copiers", SERVICE, copiers, slots=1)
    dispatcher = Dispatcher(endpoint, "office", Rules(), random.Random(1))
    dispatcher.set_runners(copiers, now=0.0)
    started: list[Start] = []
    for number in range(4):
        work = Work(id=f"job-{number}", account="office", deadline=60.0)
        started += dispatcher.submit(work, now=0.0)
    for start in started:
        ended = Ended(EndedKind.OK, 1.0, 1.0)
        started += dispatcher.finished(start.work_id, start.runner, ended, now=1.0)
    return [start.work_id for start in started]


def main(argv: Sequence[str] | None = None) -> int:
    """Run the example."""
    print(f"printed {spend_all()} of {PRINTS} prepaid prints")
    print("order:", ", ".join(share_copiers()))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
