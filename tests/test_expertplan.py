"""Plan maps for demand that moves from some experts to others."""

from __future__ import annotations

import random

import pytest

from amaranthrail.policy.demand import ExpertDemand
from amaranthrail.policy.expertplan import (
    PlanLimits,
    default_placement,
    layer_set_skew,
    plan_layer_set,
)

#: Load of the most loaded rank over the mean that the issue asks for.
MAX_SKEW = 1.15
LIMITS = PlanLimits(placements=5, spare=2)


def zipf_weights(experts: int, source: random.Random) -> list[float]:
    weights = [(rank + 1) ** -1.1 for rank in range(experts)]
    source.shuffle(weights)
    return weights


@pytest.mark.parametrize('seed', range(10))
def test_three_plans_even_out_a_shift(seed: int) -> None:
    # A plan takes about a second to be in use, and the target is 4 s.
    source = random.Random(seed)
    weights = zipf_weights(64, source)
    first = default_placement(64, 16)
    planned = first
    for _ in range(3):
        planned = plan_layer_set(planned, weights, LIMITS, source)
    assert layer_set_skew(first, weights) > 2 * MAX_SKEW
    assert layer_set_skew(planned, weights) <= MAX_SKEW


@pytest.mark.parametrize(
    ('experts', 'ranks', 'placements'),
    [(64, 16, 5), (144, 72, 3), (8, 2, 5)],
)
def test_plans_keep_the_limits(
    experts: int,
    ranks: int,
    placements: int,
) -> None:
    source = random.Random(experts)
    limits = PlanLimits(placements, spare=2)
    current = default_placement(experts, ranks)
    for _ in range(5):
        planned = plan_layer_set(
            current,
            zipf_weights(experts, source),
            limits,
            source,
        )
        for held, before in zip(planned, current, strict=True):
            assert len(held) <= placements
            assert len(set(held) - set(before)) <= limits.spare
        assert {one for held in planned for one in held} == set(range(experts))
        current = planned


def test_even_demand_is_left_alone() -> None:
    first = default_placement(64, 16)
    assert (
        plan_layer_set(
            first, tuple(1.0 for _ in range(64)), LIMITS, random.Random(1)
        )
        == first
    )


def test_demand_forgets_what_was_liked_before() -> None:
    # Demand shifts every three to four seconds; after one such time what was
    # liked before must not outweigh a tenth of what is liked now.
    demand = ExpertDemand(1, 2)
    demand.decay(0)
    demand.update_counts(0, (0, 0))
    demand.update_counts(0, (1000, 0))
    for now in range(500, 4500, 500):
        demand.decay(now)
        demand.update_counts(0, (1000, now))
    old, fresh = demand.layer_set_weights(0)
    assert fresh > 10 * old


def test_a_restarted_rank_counts_from_its_start() -> None:
    demand = ExpertDemand(1, 2)
    demand.update_counts(0, (500, 500))
    demand.update_counts(0, (10, 0))
    demand.update_counts(0, (15, 0))
    assert list(demand.layer_set_weights(0)) == pytest.approx([5, 0])
