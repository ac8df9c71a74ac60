"""Metrics of a process: measured at once, exported by OpenTelemetry once it is there.

A relay's start doesn't wait for that library. It takes a seventh of the processor time
of a start's imports, and after a loss of power all hosts start together while callers
wait. What is measured until then is kept here, and the library takes all of it over.
"""

from __future__ import annotations

import importlib
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, TypeAlias

if TYPE_CHECKING:
    from .telemetry import Exporter

FIRST_BYTE_BOUNDS = [0.01, 0.02, 0.05, 0.1, 0.2, 0.37, 0.5, 1, 2, 5, 10, 30]
"""Seconds; 0.37 is the aim for the first token of 95 in 100 requests."""

MANY_KEPT = 1_000
"""Values of histograms kept from which on the library had better be imported: the event
loop's delay alone is as many in 100 seconds, and taking them over keeps the loop for
12 ms (measured on an idle relay's histogram)."""

MOST_KEPT = 4_000
"""Values of histograms kept at most; the last one imports the library on the spot."""

Labels: TypeAlias = dict[str, Any] | None


class Instrument(ABC):
    """Something measured, before and after the exporter is there.

    Args:
        name: The metric's name.
        description: What it says.
    """

    def __init__(self, name: str, description: str) -> None:
        self.name = name
        self.description = description
        self.taker: Any = None

    @abstractmethod
    def attach(self, exporter: Exporter) -> None:
        """Hand over what was kept, and pass on what comes."""


class Counter(Instrument):
    """Counts by labels."""

    def __init__(self, name: str, description: str) -> None:
        super().__init__(name, description)
        self._kept: dict[tuple, float] = {}

    def add(self, amount: float, labels: Labels = None) -> None:
        """Count."""
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
    """Distributes seconds over bounds, by labels."""

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
        """Take one value, seconds."""
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
        """Whether the exporter has taken over."""
        return self._exporter is not None

    @property
    def has_many(self) -> bool:
        """Whether so much is kept that the exporter had better take it over."""
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
        """Let the exporter take over, if it hasn't yet.

        The first call keeps its thread for the import, unless `import_exporter` was
        called beforehand.
        """
        if self._exporter is None:
            self._exporter = import_exporter().Exporter()
            for instrument in self._instruments:
                instrument.attach(self._exporter)
            for gauge in self._gauges:
                self._exporter.add_gauge(*gauge)
        return self._exporter

    def render(self) -> bytes:
        """Return all metrics in the text form that scrapers read."""
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
