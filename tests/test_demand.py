"""Estimate demand for experts from readings of single ranks."""

from __future__ import annotations

from amaranthrail.policy.demand import MIN_MEAN_CHOICES, ExpertDemand

EXPERTS = 8
#: What a rank chooses between two readings, enough to judge by.
CHOICES = int(4 * MIN_MEAN_CHOICES)


class Reader:
    """Read a rank whose calls like some experts more than others."""

    def __init__(self) -> None:
        self.demand = ExpertDemand(1, EXPERTS)
        self._counts = [0 for _ in range(EXPERTS)]

    def read(self, now: float, liked: int) -> None:
        for expert in range(EXPERTS):
            more = 10 * CHOICES if expert == liked else CHOICES
            self._counts[expert] += more
        self.demand.decay(now)
        self.demand.update_counts(0, tuple(self._counts))


def test_what_was_liked_before_a_change_is_forgotten_at_once() -> None:
    """Replays a shift on dvorak-ladirna scale-2: likeness 0.35 to 0.7."""
    reader = Reader()
    for reading in range(5):
        reader.read(250.0 * reading, liked=1)
    reader.read(1250, liked=6)
    weights = list(reader.demand.layer_set_weights(0))
    assert weights[1] == weights[0]
    assert weights.index(max(weights)) == 6


def test_readings_that_differ_little_add_up() -> None:
    reader = Reader()
    for reading in range(3):
        reader.read(250.0 * reading, liked=1)
    once = 10 * CHOICES
    assert reader.demand.layer_set_weights(0)[1] > 1.5 * once


def test_counts_that_begin_anew_count_as_nothing() -> None:
    demand = ExpertDemand(1, EXPERTS)
    demand.update_counts(0, (1000,) * EXPERTS)
    demand.update_counts(0, (10,) * EXPERTS)
    assert not any(demand.layer_set_weights(0))
