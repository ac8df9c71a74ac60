"""Runner directory: which runners one relay knows, as listed in the store.

Pure: the clock is passed in.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs

from .incarnations import EntryResult, IncarnationTracker
from .models import (
    UNKNOWN_START,
    Runner,
    RunnerIncarnation,
    RunnerState,
)
from .scheduling.runner_views import RunnerView
from .stream_origins import StreamOrigin, VersionBound, make_origin
from .version_history import VersionHistory


class RunnerDirectory:
    """All known runners by name, and which of them may get requests.

    Args:
        grace_seconds: How long a runner whose entry vanished without notice, or that
            says that it leaves, is kept in reserve, seconds. While the store is
            unavailable, entries of healthy runners expire; they reappear within about
            two seconds of its return.

    Attributes:
        evacuated: Data centres to whose runners nothing more is sent.
        versions: Software versions that endpoints' runners recently had.
        on_new_version: Called with an endpoint and the time when a runner of another
            version serves it.
        on_new_incarnation: Called with an incarnation that is newly listed, after its
            view was added.
    """

    def __init__(self, grace_seconds: float) -> None:
        self._grace_seconds = grace_seconds
        self.evacuated: frozenset[str] = frozenset()
        self.versions = VersionHistory()
        self.on_new_version: Callable[[str, float], None] = lambda endpoint, now: None
        self.on_new_incarnation: Callable[[RunnerIncarnation], None] = lambda new: None
        self._views: dict[str, RunnerView] = {}
        self._by_endpoint: dict[str, dict[str, RunnerView]] = {}
        self._incarnations = IncarnationTracker()
        self._unlisted_successors: set[str] = set()

    def __len__(self) -> int:
        return len(self._views)

    def list_incarnations(self) -> set[RunnerIncarnation]:
        """Return the current incarnations of all runners, including unlisted ones."""
        return {view.incarnation for view in self._views.values()}

    def list_views(
        self, endpoint: str, now: float, bound: VersionBound | None = None
    ) -> list[RunnerView]:
        """Return the endpoint's runners that may get requests.

        Args:
            now: Monotonic time, seconds.
            bound: Which versions the stream may use; ``None`` for all.

        Returns:
            The listed runners that are ready and in no evacuated data centre, or, if
            there is none, those whose entries vanished or that began to leave less than
            the grace period ago.
        """
        self._expire_absent(now)
        views = self._by_endpoint.get(endpoint, {}).values()
        ready = [v for v in views if v.runner.state is RunnerState.READY]
        if bound is not None:
            ready = [v for v in ready if bound.allows(v.runner)]
        if self.evacuated:
            ready = [v for v in ready if v.runner.data_centre not in self.evacuated]
        staying = [
            v for v in ready if v.unlisted_at is None and v.leaving_since is None
        ]
        return staying or [v for v in ready if self._is_in_grace_period(v, now)]

    def _is_in_grace_period(self, view: RunnerView, now: float) -> bool:
        """Return whether a runner that is unlisted or leaves may still get requests."""
        since = (view.unlisted_at, view.leaving_since)
        return all(now - at < self._grace_seconds for at in since if at is not None)

    def count_listed(self) -> dict[str, float]:
        """Return the number of listed runners that are ready, by endpoint."""
        return {
            endpoint: float(
                sum(
                    view.runner.state is RunnerState.READY
                    and view.unlisted_at is None
                    and view.leaving_since is None
                    for view in views.values()
                )
            )
            for endpoint, views in self._by_endpoint.items()
        }

    def list_evacuated(self, endpoint: str) -> list[str]:
        """Return the evacuated data centres in which an endpoint has a ready runner."""
        views = self._by_endpoint.get(endpoint, {}).values()
        ready = (v.runner for v in views if v.runner.state is RunnerState.READY)
        return sorted({runner.data_centre for runner in ready} & self.evacuated)

    def set_evacuated(self, data_centres: frozenset[str], now: float) -> None:
        """Set the data centres to whose runners nothing more is sent.

        The runners of one that is taken back may have become cold shortly before, and
        their entries that say so may come later than the end of the evacuation.
        """
        taken_back = self.evacuated - data_centres
        self.evacuated = data_centres
        for view in self._views.values():
            if view.runner.data_centre in taken_back:
                view.cold.suspect(now)

    def set_runner(self, runner: Runner, now: float = 0.0) -> EntryResult:
        """Apply a new or changed entry of a runner.

        Args:
            runner: The runner as its entry describes it.
            now: Monotonic time, seconds.

        Returns:
            Whether and how the entry was applied; one of an earlier incarnation isn't.
        """
        if not self._incarnations.observe(runner.incarnation):
            return EntryResult.OUTDATED
        result = EntryResult.APPLIED
        view = self._views.get(runner.name)
        if view is not None and view.incarnation != runner.incarnation:
            self._supersede(view, now)
            result = EntryResult.RESTARTED
            view = None
        is_new = view is None
        if view is None:
            view = RunnerView(runner)
            self._views[runner.name] = view
            self._record_start(view, now)
        elif runner.cold_left is not None and runner.cold_left != view.runner.cold_left:
            view.cold.record_statement(runner.cold_left, now)
        if view.runner.endpoint != runner.endpoint:
            self._remove_from_endpoint(view.runner, now)
        was_unknown = view.runner.version is None
        view.runner = runner
        view.unlisted_at = None
        self._unlisted_successors.discard(runner.name)
        self._by_endpoint.setdefault(runner.endpoint, {})[runner.name] = view
        if was_unknown and runner.version is not None:
            self.versions.forget_unknown(runner.endpoint)
        if self.versions.record(runner.endpoint, runner.version, now):
            self.on_new_version(runner.endpoint, now)
        if is_new:
            self.on_new_incarnation(runner.incarnation)
        return result

    def find_versions(self, endpoint: str, now: float) -> set[str | None]:
        """Return the versions that an endpoint's runners had within a stream's life.

        Returns:
            The versions; ``None`` among them stands for one that isn't known.
        """
        for view in self._by_endpoint.get(endpoint, {}).values():
            self.versions.record(endpoint, view.runner.version, now)
        return self.versions.list_versions(endpoint, now)

    def find_origin(self, incarnation: str) -> StreamOrigin | None:
        """Return the origin of streams that a current incarnation began.

        Args:
            incarnation: The incarnation as text.
        """
        for view in self._views.values():
            if str(view.incarnation) == incarnation:
                return make_origin(view.runner)
        return None

    def _record_start(self, view: RunnerView, now: float) -> None:
        """Record how long a runner that wasn't known yet may stay cold."""
        if view.runner.cold_left is None:
            view.cold.suspect(now)
        else:
            view.cold.record_statement(view.runner.cold_left, now)

    def _supersede(self, view: RunnerView, now: float) -> None:
        """End an incarnation whose runner has restarted.

        Requests in flight keep recording to the old view. If they were counted at the
        new incarnation, it would look busy, slow or failing because of another process.
        """
        view.superseded = True
        self._remove_from_endpoint(view.runner, now)

    def find_runner(self, name: str) -> Runner | None:
        """Return the runner with this name, or ``None`` if it is unknown."""
        view = self._views.get(name)
        return view.runner if view else None

    def find_view(self, incarnation: RunnerIncarnation) -> RunnerView | None:
        """Return the view of an incarnation; ``None`` unless it is the current one."""
        view = self._views.get(incarnation.name)
        return view if view and view.incarnation == incarnation else None

    def add_successor(
        self, incarnation: RunnerIncarnation, successor: Runner, now: float
    ) -> bool:
        """Replace an ended runner by its successor before the successor is listed.

        A relay that is partitioned from the store can't learn of it otherwise. Once
        the list can be read again it is authoritative: a successor that stays absent
        from it for the grace period gets no more requests.

        Args:
            incarnation: The one that has ended; a later one under its name stays.
            successor: The runner that was found in its place.
            now: Monotonic time, seconds.

        Returns:
            Whether the successor was unknown.
        """
        known = self._views.get(successor.name)
        if known is not None and known.runner.started >= successor.started:
            return False
        ready = attrs.evolve(successor, state=RunnerState.READY)
        if self.set_runner(ready, now) is EntryResult.OUTDATED:
            return False
        ended = self._views.get(incarnation.name)
        if ended is not None and ended.incarnation == incarnation:
            self.remove_runner(incarnation.name, now)
        self._unlisted_successors.add(successor.name)
        return True

    def mark_successors_absent(self, now: float) -> None:
        """Record that the list is current and lacks the unlisted successors."""
        for name in self._unlisted_successors:
            view = self._views[name]
            if view.absent_since is None:
                view.absent_since = now

    def _expire_absent(self, now: float) -> None:
        for view in [self._views[name] for name in self._unlisted_successors]:
            if (
                view.absent_since is not None
                and now - view.absent_since >= self._grace_seconds
            ):
                self._unlisted_successors.discard(view.runner.name)
                # Absence started the grace period, so it isn't kept in reserve either.
                view.unlisted_at = view.absent_since

    def remove_runner(
        self, name: str, now: float, started: int = UNKNOWN_START
    ) -> None:
        """Mark a runner as unlisted because its entry was deleted or is unreadable.

        Args:
            started: Start of the incarnation that the entry named, Unix milliseconds,
                or `UNKNOWN_START`. A removal for an earlier incarnation is ignored.
        """
        view = self._views.get(name)
        if view is None or UNKNOWN_START < started < view.runner.started:
            return
        self._unlisted_successors.discard(name)
        if view.unlisted_at is None:
            view.unlisted_at = now

    def replace_all(self, runners: Iterable[Runner], now: float) -> None:
        """Apply a complete list of runners."""
        listed = list(runners)
        for runner in listed:
            self.set_runner(runner, now)
        for name in set(self._views) - {runner.name for runner in listed}:
            self.remove_runner(name, now)

    def prune(self, now: float) -> list[Runner]:
        """Delete runners unlisted for the whole grace period, and return them.

        Runners with requests in flight stay until these have finished.
        """
        pruned = [
            view.runner
            for view in self._views.values()
            if view.unlisted_at is not None
            and now - view.unlisted_at >= self._grace_seconds
            and not view.running
        ]
        for runner in pruned:
            del self._views[runner.name]
            self._remove_from_endpoint(runner, now)
        return pruned

    def _remove_from_endpoint(self, runner: Runner, now: float) -> None:
        self.versions.record(runner.endpoint, runner.version, now)
        views = self._by_endpoint[runner.endpoint]
        del views[runner.name]
        if not views:
            del self._by_endpoint[runner.endpoint]
