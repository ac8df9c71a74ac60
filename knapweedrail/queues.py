"""Queue that is fair between client accounts, and between long and short work."""

from __future__ import annotations

import heapq
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
        "first_byte",
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
        self.first_byte = False
        self.suspect = False
        self.crash_noted = False


class _Flow:
    """Work of one class (long or short) of one account."""

    __slots__ = ("entries", "tag", "backlog")

    def __init__(self) -> None:
        self.entries: deque[Entry] = deque()
        self.tag = 0.0
        self.backlog = 0.0

    def drop_gone(self) -> None:
        while self.entries and not self.entries[0].waiting:
            self.entries.popleft()


class _Account:
    __slots__ = (
        "name",
        "weight",
        "tag",
        "virtual",
        "short",
        "long",
        "offered",
        "offered_short",
    )

    def __init__(self, name: str, weight: float) -> None:
        self.name = name
        self.weight = weight
        self.tag = 0.0
        self.virtual = 0.0
        self.short = _Flow()
        self.long = _Flow()
        self.offered: float | None = None
        self.offered_short: float | None = None

    @property
    def backlog(self) -> float:
        return self.short.backlog + self.long.backlog

    def flow(self, short: bool) -> _Flow:
        return self.short if short else self.long

    def withdraw(self, tag: float, short: bool) -> None:
        """Note that a turn at ``tag`` no longer stands in the heap."""
        if short and self.offered_short == tag:
            self.offered_short = None
        if not short and self.offered == tag:
            self.offered = None

    def next_flow(self, only_short: bool) -> _Flow | None:
        """Return the flow whose turn it is."""
        self.short.drop_gone()
        self.long.drop_gone()
        if only_short or not self.long.entries:
            return self.short if self.short.entries else None
        if not self.short.entries:
            return self.long
        return self.short if self.short.tag <= self.long.tag else self.long


class FairQueue:
    """Start-time fair queueing over accounts, and over two classes within each.

    The load it is for: one account sends a morning's rosters at once while others ask
    single questions. First come first served would make everyone wait for the whole
    batch. Here each account advances by the slot seconds that it was given, divided
    by its weight, and the account that is furthest behind goes next, so a newcomer
    waits for one turn of each backlogged account and not for their backlogs.

    Within an account, long and short work take equal slot seconds when both wait. A
    short question costs a small part of a roster, so it goes first almost always; and
    a flood of questions can't hold rosters back for ever, because it gets no more
    than half. An account that sends both gets no more than one that sends one kind.
    """

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}
        self._turns: list[tuple[float, int, _Account]] = []
        self._short_turns: list[tuple[float, int, _Account]] = []
        self._virtual = 0.0
        self._sequence = 0
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def push(self, entry: Entry) -> None:
        """Add an entry at the end of its flow."""
        account = self._account_of(entry)
        self._wake(account, entry)
        account.flow(entry.work.short).entries.append(entry)
        self._count_in(account, entry)

    def push_front(self, entry: Entry) -> None:
        """Give an entry its turn back: it was taken out but couldn't start."""
        account = self._account_of(entry)
        self._wake(account, entry)
        flow = account.flow(entry.work.short)
        flow.entries.appendleft(entry)
        flow.tag -= entry.cost
        account.tag -= entry.cost / account.weight
        self._count_in(account, entry)

    def pop(self, only_short: bool = False) -> Entry | None:
        """Take out the entry whose turn it is."""
        turns = self._short_turns if only_short else self._turns
        while turns:
            tag, _, account = turns[0]
            flow = account.next_flow(only_short) if tag == account.tag else None
            if flow is None:
                # Out of date: the account has moved on, or has nothing to give.
                heapq.heappop(turns)
                account.withdraw(tag, only_short)
                continue
            return self._take(account, flow)
        return None

    def remove(self, entry: Entry) -> None:
        """Take out an entry out of turn: cancelled, or refused while it waited."""
        if not entry.waiting:
            return
        self._count_out(self._accounts[entry.work.account], entry)

    def entries(self) -> list[Entry]:
        """Return all waiting entries, flow by flow."""
        found: list[Entry] = []
        for account in self._accounts.values():
            found.extend(entry for entry in account.short.entries if entry.waiting)
            found.extend(entry for entry in account.long.entries if entry.waiting)
        return found

    def work_ahead(self, work: Work, cost: float) -> float:
        """Return the slot seconds that are served before a new piece of work.

        Each backlogged account is served in proportion to its weight until this
        work's turn, and no more than its backlog.
        """
        own = self._accounts.get(work.account)
        ahead_own = self._ahead_in_account(own, work.short, cost)
        level = (ahead_own + cost) / work.weight
        ahead = ahead_own
        for account in self._accounts.values():
            if account is not own:
                ahead += min(account.backlog, account.weight * level)
        return ahead

    def waits(self) -> list[tuple[Entry, float]]:
        """Return all waiting entries, each with the slot seconds served before it."""
        found: list[tuple[Entry, float]] = []
        for account in self._accounts.values():
            if account.backlog > 0.0:
                self._add_waits(account, True, found)
                self._add_waits(account, False, found)
        return found

    def _add_waits(
        self, account: _Account, short: bool, found: list[tuple[Entry, float]]
    ) -> None:
        before = 0.0
        other = account.flow(not short).backlog
        for entry in account.flow(short).entries:
            if not entry.waiting:
                continue
            own = before + min(other, before + entry.cost)
            found.append((entry, own + self._ahead_of(account, own + entry.cost)))
            before += entry.cost

    def _ahead_of(self, own: _Account | None, seconds: float) -> float:
        """Return what other accounts are served while ``own`` is served ``seconds``."""
        ahead = 0.0
        level = seconds / own.weight
        for account in self._accounts.values():
            if account is not own:
                ahead += min(account.backlog, account.weight * level)
        return ahead

    def _ahead_in_account(
        self, account: _Account | None, short: bool, cost: float
    ) -> float:
        if account is None:
            return 0.0
        same = account.flow(short).backlog
        other = account.flow(not short).backlog
        return same + min(other, same + cost)

    def _account_of(self, entry: Entry) -> _Account:
        work = entry.work
        account = self._accounts.get(work.account)
        if account is None:
            self._forget_idle()
            account = _Account(work.account, work.weight)
            self._accounts[work.account] = account
        account.weight = work.weight
        return account

    def _wake(self, account: _Account, entry: Entry) -> None:
        flow = account.flow(entry.work.short)
        if account.backlog == 0.0:
            # An idle account neither saves up turns nor is punished for old ones.
            account.tag = max(account.tag, self._virtual)
        if flow.backlog == 0.0:
            flow.tag = max(flow.tag, account.virtual)

    def _count_in(self, account: _Account, entry: Entry) -> None:
        entry.waiting = True
        account.flow(entry.work.short).backlog += entry.cost
        self._count += 1
        self._offer(account)

    def _count_out(self, account: _Account, entry: Entry) -> None:
        entry.waiting = False
        flow = account.flow(entry.work.short)
        flow.backlog = max(0.0, flow.backlog - entry.cost)
        flow.drop_gone()
        if not flow.entries:
            flow.backlog = 0.0
        self._count -= 1

    def _offer(self, account: _Account) -> None:
        """Put the account's turn into the heaps, once for each tag."""
        self._sequence += 1
        turn = (account.tag, self._sequence, account)
        if account.backlog > 0.0 and account.offered != account.tag:
            account.offered = account.tag
            heapq.heappush(self._turns, turn)
        if account.short.backlog > 0.0 and account.offered_short != account.tag:
            account.offered_short = account.tag
            heapq.heappush(self._short_turns, turn)

    def _take(self, account: _Account, flow: _Flow) -> Entry:
        entry = flow.entries[0]
        self._virtual = max(self._virtual, account.tag)
        account.virtual = max(account.virtual, flow.tag)
        account.tag += entry.cost / account.weight
        flow.tag += entry.cost
        self._count_out(account, entry)
        self._offer(account)
        return entry

    def _forget_idle(self) -> None:
        if len(self._accounts) < MAX_IDLE_ACCOUNTS:
            return
        self._accounts = {
            name: account
            for name, account in self._accounts.items()
            if account.backlog > 0.0 or account.tag > self._virtual
        }
