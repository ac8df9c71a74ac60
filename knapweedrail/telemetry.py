"""Metrics by OpenTelemetry, in a form that a scraper can read.

Imported only when a scraper first asks, or when enough values wait: see `measures`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Counter, Histogram, Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY, generate_latest


class Exporter:
    """Aggregates what is measured, and renders it."""

    def __init__(self) -> None:
        self._provider = MeterProvider(metric_readers=[PrometheusMetricReader()])
        self._meter = self._provider.get_meter("knapweedrail")

    def make_counter(self, name: str, description: str) -> Counter:
        """Return a new counter."""
        return self._meter.create_counter(name, description=description)

    def make_histogram(
        self, name: str, description: str, bounds: list[float]
    ) -> Histogram:
        """Return a new histogram of seconds."""
        return self._meter.create_histogram(
            name,
            unit="s",
            description=description,
            explicit_bucket_boundaries_advisory=bounds,
        )

    def add_gauge(
        self, name: str, description: str, read: Callable[[], dict[str, float]]
    ) -> None:
        """Add a gauge whose values by label are read at each scrape."""

        def observe(_: CallbackOptions) -> Iterable[Observation]:
            return [
                Observation(value, {"name": label}) for label, value in read().items()
            ]

        self._meter.create_observable_gauge(
            name, callbacks=[observe], description=description
        )

    def render(self) -> bytes:
        """Return all metrics in the text form that scrapers read."""
        return generate_latest(REGISTRY)

    def close(self) -> None:
        """Stop collecting."""
        self._provider.shutdown()
