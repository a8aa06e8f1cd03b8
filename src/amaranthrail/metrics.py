"""Collect counters, gauges and latencies; ``exposition`` formats them."""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterator, Mapping

from hdrh.histogram import HdrHistogram

#: Longest duration that is recorded as such, in microseconds (an hour).
_MAX_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 2
_US_PER_MS = 1000
_US_PER_SECOND = 1_000_000
_QUANTILES = (50.0, 95.0, 99.0)
#: Upper bounds of a histogram's buckets, in ms.
BUCKETS_MS = (1, 2, 5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10_000)

#: Label names and values of a counter, in the order of the call.
Labels = tuple[tuple[str, str], ...]
Sample = tuple[str, dict[str, str], float]


class Latency:
    """Record durations of one kind in an HDR histogram."""

    def __init__(self) -> None:
        """Create an empty histogram."""
        self._histogram = HdrHistogram(1, _MAX_US, _SIGNIFICANT_DIGITS)
        self._total_us = 0.0

    def record(self, duration_ms: float) -> None:
        """Record a duration; it is clamped to 1 microsecond to 1 hour."""
        micros = max(1, min(_MAX_US, int(duration_ms * _US_PER_MS)))
        self._histogram.record_value(micros)
        self._total_us += micros

    def quantile_ms(self, percent: float) -> float:
        """Return a percentile in milliseconds, ``percent`` from 0 to 100."""
        micros: int = self._histogram.get_value_at_percentile(percent)
        return micros / _US_PER_MS

    def samples(self, name: str) -> Iterator[Sample]:
        """Yield the samples of a Prometheus summary, in seconds."""
        for percent in _QUANTILES:
            labels = {'quantile': str(percent / 100)}
            yield name, labels, self.quantile_ms(percent) / 1000
        yield f'{name}_count', {}, self._histogram.get_total_count()
        yield f'{name}_sum', {}, self._total_us / _US_PER_SECOND


class Histogram:
    """Count durations by buckets, for values that are recorded very often."""

    def __init__(self) -> None:
        """Create an empty histogram."""
        self._counts = [0 for _ in (*BUCKETS_MS, math.inf)]
        self._total_ms = 0.0

    def record(self, duration_ms: float) -> None:
        """Count a duration in its bucket."""
        self._counts[bisect_left(BUCKETS_MS, duration_ms)] += 1
        self._total_ms += duration_ms

    def count_above(self, bound_ms: float) -> int:
        """Return how many durations were above a bound, one of BUCKETS_MS."""
        return sum(self._counts[BUCKETS_MS.index(bound_ms) + 1 :])

    def samples(self, name: str) -> Iterator[Sample]:
        """Yield the samples of a Prometheus histogram, in seconds."""
        bounds = (*(bound_ms / 1000 for bound_ms in BUCKETS_MS), '+Inf')
        total = 0
        for bound, count in zip(bounds, self._counts, strict=True):
            total += count
            yield f'{name}_bucket', {'le': str(bound)}, total
        yield f'{name}_count', {}, total
        yield f'{name}_sum', {}, self._total_ms / 1000


class Metrics:
    """Hold all metrics of one process."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self._latencies: dict[str, Latency] = {}
        self._histograms: dict[str, Histogram] = {}
        self._counters: dict[str, dict[Labels, float]] = {}
        self._gauges: dict[str, float] = {}

    @property
    def latencies(self) -> Mapping[str, Latency]:
        """Return the latencies by name."""
        return self._latencies

    @property
    def histograms(self) -> Mapping[str, Histogram]:
        """Return the histograms by name."""
        return self._histograms

    @property
    def counters(self) -> Mapping[str, Mapping[Labels, float]]:
        """Return the counters' totals by name and labels."""
        return self._counters

    @property
    def gauges(self) -> Mapping[str, float]:
        """Return the last reading of each gauge by name."""
        return self._gauges

    def latency(self, name: str) -> Latency:
        """Return the latency of a name, creating it at first use."""
        latency = self._latencies.get(name)
        if latency is None:
            # Creating a histogram takes 0.1 ms, so it is done only if missing.
            latency = Latency()
            self._latencies[name] = latency
        return latency

    def histogram(self, name: str) -> Histogram:
        """Return the histogram of a name, creating it at first use."""
        return self._histograms.setdefault(name, Histogram())

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter; each name must always have the same labels."""
        totals = self._counters.setdefault(name, defaultdict(float))
        totals[tuple(labels.items())] += amount

    def gauge(self, name: str, reading: float) -> None:
        """Set a gauge."""
        self._gauges[name] = reading
