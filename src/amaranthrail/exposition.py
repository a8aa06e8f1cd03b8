"""Format metrics as Prometheus text.

Importing prometheus_client takes a fifth of a process's start time, so this
module is imported at the first scrape.
"""

from __future__ import annotations

from collections.abc import Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import Metric
from prometheus_client.registry import Collector

from .metrics import Metrics, Sample

_PREFIX = 'amaranthrail_'


class _MetricsCollector(Collector):
    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        for name, totals in self._metrics.counters.items():
            counter = _metric(name, 'counter')
            for labels, total in totals.items():
                sample_name = f'{_PREFIX}{name}_total'
                counter.add_sample(sample_name, dict(labels), total)
            yield counter
        for name, reading in self._metrics.gauges.items():
            gauge = _metric(name, 'gauge')
            gauge.add_sample(_PREFIX + name, {}, reading)
            yield gauge
        yield from self._collect_durations()

    def _collect_durations(self) -> Iterator[Metric]:
        for name, latency in self._metrics.latencies.items():
            seconds = f'{name}_seconds'
            yield _with_samples(
                _metric(seconds, 'summary'), latency.samples(_PREFIX + seconds)
            )
        for name, histogram in self._metrics.histograms.items():
            seconds = f'{name}_seconds'
            yield _with_samples(
                _metric(seconds, 'histogram'),
                histogram.samples(_PREFIX + seconds),
            )


def metrics_text(metrics: Metrics) -> bytes:
    """Return all metrics of a process in the Prometheus text format."""
    registry = CollectorRegistry()
    registry.register(_MetricsCollector(metrics))
    return generate_latest(registry)


def _metric(name: str, metric_type: str) -> Metric:
    return Metric(_PREFIX + name, name.replace('_', ' '), metric_type)


def _with_samples(metric: Metric, samples: Iterator[Sample]) -> Metric:
    for sample in samples:
        metric.add_sample(*sample)
    return metric
