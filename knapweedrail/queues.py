"""Queue that is fair between long and short work, and between client accounts."""

from __future__ import annotations

import heapq
from bisect import bisect_right
from collections import deque

from .work import Work

MAX_IDLE_ACCOUNTS = 4096
"""Accounts without waiting work whose tags are kept before they are looked through.

20,000 client accounts pass through a router in a day; without a bound each leaves
a record behind. A tag behind the virtual time has no more effect and is dropped.
"""


class Entry:
    """One waiting or running piece of work.

    Args:
        work: The work.
        cost: Expected seconds of one slot.
        now: Seconds at which it came.
    """

    __slots__ = (
        "work",
        "cost",
        "submitted",
        "waiting",
        "touched",
        "attempts",
        "runner",
        "started",
        "begun",
        "first_byte",
        "promised",
        "suspect",
        "crash_noted",
    )

    def __init__(self, work: Work, cost: float, now: float) -> None:
        self.work = work
        self.cost = cost
        self.submitted = now
        self.waiting = False
        self.touched = False
        """Whether a run may have begun, ever; then it can't be called not run."""
        self.attempts = 0
        self.runner: str | None = None
        self.started = now
        self.begun = False
        """Whether the caller has had the first byte, of this run or an earlier one."""
        self.first_byte = False
        """Whether this run has given its first byte."""
        self.promised = 0.0
        """Seconds of wait that the queue alone let expect when it came."""
        self.suspect = False
        self.crash_noted = False


class _Account:
    """Waiting work of one class of one account."""

    __slots__ = ("name", "weight", "tag", "offered", "entries", "backlog")

    def __init__(self, name: str) -> None:
        self.name = name
        self.weight = 1.0
        self.tag = 0.0
        self.offered: float | None = None
        self.entries: deque[Entry] = deque()
        self.backlog = 0.0

    @property
    def level(self) -> float:
        """Slot seconds of its backlog, divided by its weight."""
        return self.backlog / self.weight

    def drop_gone(self) -> None:
        """Drop removed entries from the front; clear rounding errors when empty."""
        while self.entries and not self.entries[0].waiting:
            self.entries.popleft()
        if not self.entries:
            self.backlog = 0.0


class AccountQueue:
    """Start-time fair queueing between accounts, for work of one class.

    The load it is for: one account sends a morning's rosters at once while others
    send one each. First come first served would make everyone wait for the whole
    batch. Here each account advances by the slot seconds that it was given, divided
    by its weight, and the account that is furthest behind goes next. So a newcomer
    waits for one turn of each backlogged account and not for their backlogs.
    """

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}
        self._backlogged: dict[str, _Account] = {}
        self._turns: list[tuple[float, int, _Account]] = []
        self._virtual = 0.0
        self._sequence = 0
        self._count = 0
        self.backlog = 0.0
        """Slot seconds of all waiting work."""

    def __len__(self) -> int:
        return self._count

    def push(self, entry: Entry) -> None:
        """Add an entry at the end of its account's work."""
        account = self._wake(entry)
        account.entries.append(entry)
        self._count_in(account, entry)

    def push_front(self, entry: Entry) -> None:
        """Give an entry its turn back: it was taken out but didn't run."""
        account = self._wake(entry)
        account.entries.appendleft(entry)
        account.tag -= entry.cost / account.weight
        self._count_in(account, entry)

    def pop(self) -> Entry | None:
        """Take out the entry whose turn it is."""
        while self._turns:
            tag, _, account = self._turns[0]
            if tag == account.tag and account.entries:
                return self._take(account)
            # Out of date: the account has moved on, or has nothing more.
            heapq.heappop(self._turns)
            if account.offered == tag:
                account.offered = None
        return None

    def remove(self, entry: Entry) -> None:
        """Take out an entry out of turn."""
        self._count_out(self._accounts[entry.work.account], entry)

    def measure_ahead(self, work: Work, cost: float) -> float:
        """Return the slot seconds served before a new piece of work.

        Each backlogged account is served in proportion to its weight until this
        work's turn, and no more than its backlog.
        """
        own = self._backlogged.get(work.account)
        before = own.backlog if own is not None else 0.0
        level = (before + cost) / work.weight
        ahead = before
        for account in self._backlogged.values():
            if account is not own:
                ahead += min(account.backlog, account.weight * level)
        return ahead

    def list_waits(self) -> list[tuple[Entry, float]]:
        """Return all waiting entries, each with the slot seconds served before it."""
        curve = _Curve(list(self._backlogged.values()))
        found: list[tuple[Entry, float]] = []
        for account in self._backlogged.values():
            before = 0.0
            for entry in account.entries:
                if entry.waiting:
                    level = (before + entry.cost) / account.weight
                    served = min(account.backlog, account.weight * level)
                    ahead = before + max(0.0, curve.measure(level) - served)
                    found.append((entry, ahead))
                    before += entry.cost
        return found

    def _wake(self, entry: Entry) -> _Account:
        work = entry.work
        account = self._accounts.get(work.account)
        if account is None:
            self._forget_idle()
            account = _Account(work.account)
            self._accounts[work.account] = account
        account.weight = work.weight
        if account.backlog == 0.0:
            # An idle account neither saves up turns nor is punished for old ones.
            account.tag = max(account.tag, self._virtual)
        return account

    def _count_in(self, account: _Account, entry: Entry) -> None:
        entry.waiting = True
        account.backlog += entry.cost
        self.backlog += entry.cost
        self._count += 1
        self._backlogged[account.name] = account
        self._offer(account)

    def _count_out(self, account: _Account, entry: Entry) -> None:
        entry.waiting = False
        self._count -= 1
        self.backlog = max(0.0, self.backlog - entry.cost) if self._count else 0.0
        account.backlog = max(0.0, account.backlog - entry.cost)
        account.drop_gone()
        if not account.entries:
            self._backlogged.pop(account.name, None)

    def _offer(self, account: _Account) -> None:
        """Put the account's turn into the heap, once for each tag."""
        if not account.entries or account.offered == account.tag:
            return
        self._sequence += 1
        account.offered = account.tag
        heapq.heappush(self._turns, (account.tag, self._sequence, account))

    def _take(self, account: _Account) -> Entry:
        entry = account.entries[0]
        self._virtual = max(self._virtual, account.tag)
        account.tag += entry.cost / account.weight
        self._count_out(account, entry)
        self._offer(account)
        return entry

    def _forget_idle(self) -> None:
        if len(self._accounts) < MAX_IDLE_ACCOUNTS:
            return
        self._accounts = {
            name: account
            for name, account in self._accounts.items()
            if account.entries or account.tag > self._virtual
        }


class FairQueue:
    """Two queues, of short and of long work, that take turns by slot seconds.

    The load it is for: questions that take a second beside rosters that take twenty.
    A question costs a small part of a roster, so short work goes first almost
    always; but once it has had as many slot seconds as long work while both
    waited, it is long work's turn. So neither can hold the other back for ever, and
    whichever asks for less than half gets all that it asks for.

    Accounts are kept fair within each class and not over both: an account that has
    just had its roster would else wait for the others' rosters with its questions.
    """

    def __init__(self) -> None:
        self._classes = {True: AccountQueue(), False: AccountQueue()}
        self._tags = {True: 0.0, False: 0.0}

    def __len__(self) -> int:
        return len(self._classes[True]) + len(self._classes[False])

    @property
    def short_count(self) -> int:
        """Short work that waits."""
        return len(self._classes[True])

    def push(self, entry: Entry) -> None:
        """Add an entry at the end of its account's work."""
        self._wake(entry.work.short)
        self._classes[entry.work.short].push(entry)

    def push_front(self, entry: Entry) -> None:
        """Give an entry its turn back: it was taken out but didn't run."""
        self._wake(entry.work.short)
        self._classes[entry.work.short].push_front(entry)
        self._tags[entry.work.short] -= entry.cost

    def pop(self, only_short: bool = False) -> Entry | None:
        """Take out the entry whose turn it is."""
        short = only_short or self._is_turn_of_short()
        entry = self._classes[short].pop()
        if entry is not None:
            self._tags[short] += entry.cost
        return entry

    def remove(self, entry: Entry) -> None:
        """Take out an entry out of turn: cancelled, or refused while it waited."""
        if entry.waiting:
            self._classes[entry.work.short].remove(entry)

    def measure_ahead(self, work: Work, cost: float) -> float:
        """Return the slot seconds that are served before a new piece of work."""
        same = self._classes[work.short].measure_ahead(work, cost)
        return same + self._measure_other(work.short, same + cost)

    def list_waits(self) -> list[tuple[Entry, float]]:
        """Return all waiting entries, each with the slot seconds served before it."""
        return [
            (entry, ahead + self._measure_other(short, ahead + entry.cost))
            for short, queue in self._classes.items()
            for entry, ahead in queue.list_waits()
        ]

    def _measure_other(self, short: bool, seconds: float) -> float:
        """Return what the other class is served while this one gets ``seconds``."""
        lead = max(0.0, self._tags[short] - self._tags[not short])
        return min(self._classes[not short].backlog, seconds + lead)

    def _is_turn_of_short(self) -> bool:
        if not self._classes[True] or not self._classes[False]:
            return bool(self._classes[True])
        return self._tags[True] <= self._tags[False]

    def _wake(self, short: bool) -> None:
        if not self._classes[short]:
            # While a class had no work, it neither saved up turns nor lost any.
            self._tags[short] = max(self._tags[short], self._tags[not short])


class _Curve:
    """Slot seconds served over all accounts while each advances by the same level.

    Args:
        accounts: The backlogged accounts.
    """

    def __init__(self, accounts: list[_Account]) -> None:
        ordered = sorted(accounts, key=lambda account: account.level)
        self._levels = [account.level for account in ordered]
        self._drained = [0.0]
        for account in ordered:
            self._drained.append(self._drained[-1] + account.backlog)
        self._weights = [0.0]
        for account in reversed(ordered):
            self._weights.append(self._weights[-1] + account.weight)
        self._weights.reverse()

    def measure(self, level: float) -> float:
        """Return the slot seconds served until each has advanced by ``level``."""
        place = bisect_right(self._levels, level)
        return self._drained[place] + level * self._weights[place]
