"""Replay load peaks of streams that exceed the capacity of a group."""

from __future__ import annotations

import random

import pytest

from amaranthrail.policy.retryafter import (
    MAX_PEAK_RETRY_SHARE,
    choose_peak_retry_after_ms,
)
from amaranthrail.policy.streamadmission import (
    EngineLoad,
    StreamRequest,
    should_admit_stream,
)
from bench.enginemodel import End, begin_all
from bench.wave import SCENES, returned, serve, worst_windows, worth

SEEDS = (1, 2)
#: Least fraction of the callers refused once that must be served on retry.
SERVED_ON_RETRY = 0.8
FIRST_REQUEST = StreamRequest(remaining_ms=8000, route_timeout_ms=8000)
RETRY = StreamRequest(remaining_ms=6000, route_timeout_ms=8000)


@pytest.mark.parametrize('seed', SEEDS)
def test_peak_above_capacity_is_served_in_time(seed: int) -> None:
    demand = SCENES['wave beyond capacity']
    streams = serve(demand, should_admit_stream, seed)
    baseline = serve(demand, begin_all, seed)
    assert worth(streams) > worth(baseline)
    assert worst_windows(streams) > worst_windows(baseline)
    retried = returned(streams)
    served = sum(stream.end is not End.FAILED for stream in retried)
    assert served >= SERVED_ON_RETRY * len(retried)


@pytest.mark.parametrize('seed', SEEDS)
def test_peak_within_capacity_is_served_as_without_limits(seed: int) -> None:
    demand = SCENES['wave within capacity']
    streams = serve(demand, should_admit_stream, seed)
    assert worth(streams) >= worth(serve(demand, begin_all, seed)) - 0.01


@pytest.mark.parametrize('seed', SEEDS)
def test_streams_that_a_slow_rank_cannot_end_delay_no_others(seed: int) -> None:
    demand = SCENES['a slow rank']
    streams = serve(demand, should_admit_stream, seed)
    assert worth(streams) > worth(serve(demand, begin_all, seed))


def test_full_engines_admit_retries_and_resumed_streams_first() -> None:
    full = EngineLoad(least_load=1.2, step_ms=100)
    assert not should_admit_stream(FIRST_REQUEST, full)
    assert should_admit_stream(RETRY, full)
    assert should_admit_stream(StreamRequest(8000, 8000, is_resumed=True), full)
    assert not should_admit_stream(RETRY, EngineLoad(least_load=2, step_ms=100))


def test_stream_that_cannot_end_in_time_is_not_admitted() -> None:
    """Replays a rank that is twelve times slower: steps of 830 ms."""
    slow = EngineLoad(least_load=0.2, step_ms=830)
    assert not should_admit_stream(StreamRequest(8000, 8000, steps=23), slow)
    assert should_admit_stream(StreamRequest(8000, 8000, steps=8), slow)
    assert should_admit_stream(StreamRequest(8000, 8000), slow)
    assert should_admit_stream(
        StreamRequest(8000, 8000, steps=23, is_resumed=True), slow
    )


def test_peak_retry_after_times_vary_within_the_deadline() -> None:
    rng = random.Random(1)
    times_ms = [choose_peak_retry_after_ms(8000, rng) for _ in range(200)]
    assert max(times_ms) <= MAX_PEAK_RETRY_SHARE * 8000
    assert max(times_ms) - min(times_ms) > 1000
