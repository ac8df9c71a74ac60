"""Metrics by OpenTelemetry, in a form that a scraper can read."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Counter, Histogram, Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY, generate_latest

FIRST_BYTE_BOUNDS = [0.01, 0.02, 0.05, 0.1, 0.2, 0.37, 0.5, 1, 2, 5, 10, 30]
"""Seconds; 0.37 is the aim for the first token of 95 in 100 requests."""


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
        self._reader = PrometheusMetricReader()
        self._provider = MeterProvider(metric_readers=[self._reader])
        self._meter = self._provider.get_meter("knapweedrail")
        self.requests = self._meter.create_counter(
            "requests", description="Requests by route, kind and outcome"
        )
        self.first_byte = self._meter.create_histogram(
            "first_byte_seconds",
            unit="s",
            description="Seconds until the first byte of an answer",
            explicit_bucket_boundaries_advisory=FIRST_BYTE_BOUNDS,
        )
        self.chunks = self._meter.create_counter(
            "chunks", description="Chunks of answers relayed"
        )

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
