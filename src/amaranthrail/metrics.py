"""Count, gauge and time; written as Prometheus text."""

from __future__ import annotations

from collections.abc import Iterator

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest
from prometheus_client.core import Metric
from prometheus_client.registry import Collector

_MAX_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 2
_US_PER_MS = 1000
_US_PER_SECOND = 1_000_000
_Sample = tuple[str, dict[str, str], float]
_QUANTILES = (50.0, 95.0, 99.0)


class Latency:
    """Collect durations of one kind in an HDR histogram."""

    def __init__(self) -> None:
        """Start empty."""
        self._histogram = HdrHistogram(1, _MAX_US, _SIGNIFICANT_DIGITS)
        self._total_us = 0.0

    def record(self, duration_ms: float) -> None:
        """Add a duration in milliseconds."""
        micros = max(1, min(_MAX_US, int(duration_ms * _US_PER_MS)))
        self._histogram.record_value(micros)
        self._total_us += micros

    def quantile_ms(self, percent: float) -> float:
        """Return the duration that ``percent`` in 100 do not exceed."""
        found: int = self._histogram.get_value_at_percentile(percent)
        return found / _US_PER_MS

    def samples(self, name: str) -> Iterator[_Sample]:
        """Yield Prometheus summary samples, in seconds."""
        for percent in _QUANTILES:
            labels = {'quantile': str(percent / 100)}
            yield name, labels, self.quantile_ms(percent) / 1000
        yield f'{name}_count', {}, self._histogram.get_total_count()
        yield f'{name}_sum', {}, self._total_us / _US_PER_SECOND


class _LatencyCollector(Collector):
    def __init__(self, latencies: dict[str, Latency]) -> None:
        self._latencies = latencies

    def collect(self) -> Iterator[Metric]:
        for name, latency in self._latencies.items():
            metric = Metric(name, f'Durations of {name}.', 'summary')
            for sample in latency.samples(name):
                metric.add_sample(*sample)
            yield metric


class Metrics:
    """Own all metrics of one process."""

    def __init__(self) -> None:
        """Start with an empty registry."""
        self._registry = CollectorRegistry()
        self._latencies: dict[str, Latency] = {}
        self._counters: dict[str, Counter] = {}
        self._gauges: dict[str, Gauge] = {}
        self._registry.register(_LatencyCollector(self._latencies))

    def latency(self, name: str) -> Latency:
        """Return the latency of a name, made at first use."""
        full_name = f'amaranthrail_{name}_seconds'
        latency = self._latencies.get(full_name)
        if latency is None:
            # Making a histogram takes 0.1 ms, so none is made in vain.
            latency = Latency()
            self._latencies[full_name] = latency
        return latency

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter; a name always goes with the same labels."""
        counter = self._counters.get(name)
        if counter is None:
            counter = Counter(
                f'amaranthrail_{name}',
                name.replace('_', ' '),
                tuple(labels),
                registry=self._registry,
            )
            self._counters[name] = counter
        (counter.labels(**labels) if labels else counter).inc(amount)

    def gauge(self, name: str, reading: float) -> None:
        """Set a gauge."""
        if name not in self._gauges:
            self._gauges[name] = Gauge(
                f'amaranthrail_{name}',
                name.replace('_', ' '),
                registry=self._registry,
            )
        self._gauges[name].set(reading)

    def text(self) -> bytes:
        """Return all metrics in Prometheus text format."""
        return generate_latest(self._registry)
