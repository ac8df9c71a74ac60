"""Metrics of a process, exported by OpenTelemetry once that library is imported.

The import takes a seventh of the processor time of all imports, and after a power loss
all hosts start at the same time while callers wait. So a relay starts without it.
Values measured before the import are kept here and handed over afterwards.
"""

from __future__ import annotations

import importlib
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, TypeAlias

if TYPE_CHECKING:
    from .telemetry import Exporter

FIRST_BYTE_BOUNDS = [0.01, 0.02, 0.05, 0.1, 0.2, 0.37, 0.5, 1, 2, 5, 10, 30]
"""Histogram bounds, seconds; 0.37 is the target for the 95th percentile of the first
token."""

MANY_KEPT = 1_000
"""Number of kept histogram values from which on the library should be imported. Handing
over that many blocks the event loop for about 12 ms."""

MOST_KEPT = 4_000
"""Maximum number of kept histogram values; the last one triggers the import."""

Labels: TypeAlias = dict[str, Any] | None


class Instrument(ABC):
    """A metric, before and after the exporter is available.

    Args:
        name: The metric's name.
        description: What it measures.
    """

    def __init__(self, name: str, description: str) -> None:
        self.name = name
        self.description = description
        self.taker: Any = None

    @abstractmethod
    def attach(self, exporter: Exporter) -> None:
        """Hand over the kept values, and pass on later ones."""


class Counter(Instrument):
    """Counts by labels."""

    def __init__(self, name: str, description: str) -> None:
        super().__init__(name, description)
        self._kept: dict[tuple, float] = {}

    def add(self, amount: float, labels: Labels = None) -> None:
        """Add to the count."""
        if self.taker is not None:
            self.taker.add(amount, labels)
            return
        key = tuple(labels.items()) if labels else ()
        self._kept[key] = self._kept.get(key, 0) + amount

    def attach(self, exporter: Exporter) -> None:
        self.taker = exporter.make_counter(self.name, self.description)
        for key, amount in self._kept.items():
            self.taker.add(amount, dict(key))
        self._kept.clear()


class Histogram(Instrument):
    """A histogram of durations, by labels."""

    def __init__(
        self,
        name: str,
        description: str,
        bounds: list[float],
        note_kept: Callable[[], None],
    ) -> None:
        super().__init__(name, description)
        self._bounds = bounds
        self._note_kept = note_kept
        self._kept: list[tuple[float, Labels]] = []

    def record(self, value: float, labels: Labels = None) -> None:
        """Record one value, seconds."""
        if self.taker is not None:
            self.taker.record(value, labels)
            return
        self._kept.append((value, labels))
        self._note_kept()

    def attach(self, exporter: Exporter) -> None:
        self.taker = exporter.make_histogram(self.name, self.description, self._bounds)
        for value, labels in self._kept:
            self.taker.record(value, labels)
        self._kept.clear()


class Measures:
    """All metrics of a router.

    Attributes:
        requests: Requests by route, kind (``generation``, ``service``) and outcome
            (``whole``, ``cut`` or a refusal's kind).
        first_byte: Seconds until the first byte of an answer, by route.
        chunks: Chunks relayed, by route.
        tokens: Tokens billed, by budget.
    """

    def __init__(self) -> None:
        self._exporter: Exporter | None = None
        self._instruments: list[Instrument] = []
        self._gauges: list[tuple[str, str, Callable[[], dict[str, float]]]] = []
        self._kept = 0
        self.requests = self.make_counter(
            "requests", "Requests by route, kind and outcome"
        )
        self.first_byte = self.make_histogram(
            "first_byte_seconds",
            "Seconds until the first byte of an answer",
            FIRST_BYTE_BOUNDS,
        )
        self.chunks = self.make_counter("chunks", "Chunks of answers relayed")

    @property
    def exporting(self) -> bool:
        """Whether the exporter is in use."""
        return self._exporter is not None

    @property
    def has_many(self) -> bool:
        """Whether so many values are kept that the exporter should be imported."""
        return self._exporter is None and self._kept >= MANY_KEPT

    def make_counter(self, name: str, description: str) -> Counter:
        """Return a new counter."""
        counter = Counter(name, description)
        self._add(counter)
        return counter

    def make_histogram(
        self, name: str, description: str, bounds: list[float]
    ) -> Histogram:
        """Return a new histogram of seconds."""
        histogram = Histogram(name, description, bounds, self._note_kept)
        self._add(histogram)
        return histogram

    def add_gauge(
        self, name: str, description: str, read: Callable[[], dict[str, float]]
    ) -> None:
        """Add a gauge whose values by label are read at each scrape."""
        self._gauges.append((name, description, read))
        if self._exporter is not None:
            self._exporter.add_gauge(name, description, read)

    def export(self) -> Exporter:
        """Start to use the exporter, unless that was done before.

        The first call blocks for the import, unless `import_exporter` was called
        beforehand.
        """
        if self._exporter is None:
            self._exporter = import_exporter().Exporter()
            for instrument in self._instruments:
                instrument.attach(self._exporter)
            for gauge in self._gauges:
                self._exporter.add_gauge(*gauge)
        return self._exporter

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return self.export().render()

    def close(self) -> None:
        """Stop collecting."""
        if self._exporter is not None:
            self._exporter.close()

    def _add(self, instrument: Instrument) -> None:
        self._instruments.append(instrument)
        if self._exporter is not None:
            instrument.attach(self._exporter)

    def _note_kept(self) -> None:
        self._kept += 1
        if self._kept >= MOST_KEPT:
            self.export()


def import_exporter() -> Any:
    """Import the module of the exporter and return it."""
    return importlib.import_module(".telemetry", __package__)
