"""Test metrics in the Prometheus text format."""

from __future__ import annotations

import pytest

from amaranthrail.exposition import metrics_text
from amaranthrail.metrics import Metrics


def test_counters_are_written_per_label_values() -> None:
    metrics = Metrics()
    metrics.count('runs', ended='whole')
    metrics.count('runs', ended='whole', amount=2)
    metrics.count('runs', ended='cut')
    metrics.count('restarts')
    lines = metrics_text(metrics).decode().splitlines()
    assert '# TYPE amaranthrail_runs_total counter' in lines
    assert 'amaranthrail_runs_total{ended="whole"} 3.0' in lines
    assert 'amaranthrail_runs_total{ended="cut"} 1.0' in lines
    assert 'amaranthrail_restarts_total 1.0' in lines


def test_gauge_has_its_last_reading() -> None:
    metrics = Metrics()
    metrics.gauge('queued', 4)
    metrics.gauge('queued', 3)
    assert b'\namaranthrail_queued 3.0\n' in metrics_text(metrics)


def test_durations_are_written_in_seconds() -> None:
    metrics = Metrics()
    for duration_ms in range(100, 200):
        metrics.latency('call').record(duration_ms)
    lines = metrics_text(metrics).decode().splitlines()
    assert '# TYPE amaranthrail_call_seconds summary' in lines
    assert 'amaranthrail_call_seconds_count 100.0' in lines
    median = next(line for line in lines if 'quantile="0.5"' in line)
    # The histogram keeps two significant digits.
    assert round(float(median.split()[1]), 2) == pytest.approx(0.15, abs=0.01)


def test_histograms_are_written_with_cumulative_buckets() -> None:
    metrics = Metrics()
    for duration_ms in (0.5, 40, 40, 60_000):
        metrics.histogram('loop_pass').record(duration_ms)
    lines = metrics_text(metrics).decode().splitlines()
    name = 'amaranthrail_loop_pass_seconds'
    expected = {
        f'# TYPE {name} histogram',
        f'{name}_bucket{{le="0.001"}} 1.0',
        f'{name}_bucket{{le="0.05"}} 3.0',
        f'{name}_bucket{{le="10.0"}} 3.0',
        f'{name}_bucket{{le="+Inf"}} 4.0',
        f'{name}_sum 60.0805',
    }
    assert expected <= set(lines)
