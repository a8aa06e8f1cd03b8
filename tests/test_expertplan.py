"""Plan expert maps for demand that shifts from some experts to others."""

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

#: Highest load of the most loaded rank over the mean that is required of plans.
MAX_SKEW = 1.15
LIMITS = PlanLimits(placements=5, spare=2)


def zipf_weights(experts: int, rng: random.Random) -> list[float]:
    weights = [(rank + 1) ** -1.1 for rank in range(experts)]
    rng.shuffle(weights)
    return weights


@pytest.mark.parametrize('seed', range(10))
def test_three_plans_rebalance_after_a_shift(seed: int) -> None:
    # It takes about a second until a plan is in use, and the target is to
    # rebalance within 4 s.
    rng = random.Random(seed)
    weights = zipf_weights(64, rng)
    initial = default_placement(64, 16)
    planned = initial
    for _ in range(3):
        planned = plan_layer_set(planned, weights, LIMITS, rng)
    assert layer_set_skew(initial, weights) > 2 * MAX_SKEW
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
    rng = random.Random(experts)
    limits = PlanLimits(placements, spare=2)
    current = default_placement(experts, ranks)
    for _ in range(5):
        planned = plan_layer_set(
            current,
            zipf_weights(experts, rng),
            limits,
            rng,
        )
        for held, before in zip(planned, current, strict=True):
            assert len(held) <= placements
            assert len(set(held) - set(before)) <= limits.spare
        assert {expert for held in planned for expert in held} == set(
            range(experts)
        )
        current = planned


def test_placement_is_kept_under_even_demand() -> None:
    initial = default_placement(64, 16)
    assert (
        plan_layer_set(
            initial, tuple(1.0 for _ in range(64)), LIMITS, random.Random(1)
        )
        == initial
    )


def test_past_demand_decays_between_two_shifts() -> None:
    # Demand shifts every three to four seconds. After that time the tokens
    # before the shift may weigh no more than a tenth of those after it.
    demand = ExpertDemand(1, 2)
    demand.decay(0)
    demand.update_counts(0, (0, 0))
    demand.update_counts(0, (1000, 0))
    for now in range(500, 4500, 500):
        demand.decay(now)
        demand.update_counts(0, (1000, now))
    past, recent = demand.layer_set_weights(0)
    assert recent > 10 * past


def test_counts_of_a_restarted_rank_start_anew() -> None:
    demand = ExpertDemand(1, 2)
    demand.update_counts(0, (500, 500))
    demand.update_counts(0, (10, 0))
    demand.update_counts(0, (15, 0))
    assert list(demand.layer_set_weights(0)) == pytest.approx([5, 0])
