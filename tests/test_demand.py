"""Estimate the demand for experts from readings of single ranks."""

from __future__ import annotations

from amaranthrail.policy.demand import MIN_MEAN_TOKENS, ExpertDemand

EXPERTS = 8
#: Tokens of an expert between two readings, enough for an estimate.
TOKENS = int(4 * MIN_MEAN_TOKENS)


class RankReader:
    """Read the counts of a rank that routes most tokens to one expert."""

    def __init__(self) -> None:
        self.demand = ExpertDemand(1, EXPERTS)
        self._counts = [0 for _ in range(EXPERTS)]

    def read(self, now: float, hot_expert: int) -> None:
        for expert in range(EXPERTS):
            tokens = 10 * TOKENS if expert == hot_expert else TOKENS
            self._counts[expert] += tokens
        self.demand.decay(now)
        self.demand.update_counts(0, tuple(self._counts))


def test_demand_before_a_shift_is_discarded_at_once() -> None:
    """Replays a shift at dvorak-ladirna scale-2: similarity 0.35 to 0.7."""
    reader = RankReader()
    for reading in range(5):
        reader.read(250.0 * reading, hot_expert=1)
    reader.read(1250, hot_expert=6)
    weights = list(reader.demand.layer_set_weights(0))
    assert weights[1] == weights[0]
    assert weights.index(max(weights)) == 6


def test_similar_readings_add_up() -> None:
    reader = RankReader()
    for reading in range(3):
        reader.read(250.0 * reading, hot_expert=1)
    single_reading = 10 * TOKENS
    assert reader.demand.layer_set_weights(0)[1] > 1.5 * single_reading


def test_counts_that_were_reset_add_nothing() -> None:
    demand = ExpertDemand(1, EXPERTS)
    demand.update_counts(0, (1000,) * EXPERTS)
    demand.update_counts(0, (10,) * EXPERTS)
    assert not any(demand.layer_set_weights(0))
