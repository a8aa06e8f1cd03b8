"""Replay waves of streams that outgrow a group of engines."""

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
#: Share of the callers that were refused once and must be served on return.
SERVED_ON_RETURN = 0.8
FRESH = StreamRequest(remaining_ms=8000, route_timeout_ms=8000)
RETURNED = StreamRequest(remaining_ms=6000, route_timeout_ms=8000)


@pytest.mark.parametrize('seed', SEEDS)
def test_a_wave_beyond_capacity_is_served_in_time(seed: int) -> None:
    demand = SCENES['wave beyond capacity']
    chosen = serve(demand, should_admit_stream, seed)
    baseline = serve(demand, begin_all, seed)
    assert worth(chosen) > worth(baseline)
    assert worst_windows(chosen) > worst_windows(baseline)
    back = returned(chosen)
    served = sum(stream.end is not End.FAILED for stream in back)
    assert served >= SERVED_ON_RETURN * len(back)


@pytest.mark.parametrize('seed', SEEDS)
def test_a_wave_within_capacity_is_left_alone(seed: int) -> None:
    demand = SCENES['wave within capacity']
    chosen = serve(demand, should_admit_stream, seed)
    assert worth(chosen) >= worth(serve(demand, begin_all, seed)) - 0.01


@pytest.mark.parametrize('seed', SEEDS)
def test_streams_that_a_slow_rank_cannot_end_keep_nobody(seed: int) -> None:
    demand = SCENES['a slow rank']
    chosen = serve(demand, should_admit_stream, seed)
    assert worth(chosen) > worth(serve(demand, begin_all, seed))


def test_full_engines_take_those_who_came_before() -> None:
    full = EngineLoad(least_load=1.2, step_ms=100)
    assert not should_admit_stream(FRESH, full)
    assert should_admit_stream(RETURNED, full)
    assert should_admit_stream(StreamRequest(8000, 8000, is_resumed=True), full)
    assert not should_admit_stream(
        RETURNED, EngineLoad(least_load=2, step_ms=100)
    )


def test_a_stream_that_cannot_end_does_not_begin() -> None:
    """Replays a rank at twelve times its pace: passes of 830 ms."""
    free = EngineLoad(least_load=0.2, step_ms=830)
    assert not should_admit_stream(StreamRequest(8000, 8000, steps=23), free)
    assert should_admit_stream(StreamRequest(8000, 8000, steps=8), free)
    assert should_admit_stream(StreamRequest(8000, 8000), free)
    assert should_admit_stream(
        StreamRequest(8000, 8000, steps=23, is_resumed=True), free
    )


def test_refused_callers_return_spread_within_their_time() -> None:
    source = random.Random(1)
    returns = [choose_peak_retry_after_ms(8000, source) for _ in range(200)]
    assert max(returns) <= MAX_PEAK_RETRY_SHARE * 8000
    assert max(returns) - min(returns) > 1000
