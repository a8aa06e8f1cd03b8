"""Plan which ranks hold replicas of which experts, for one layer set at a time.

Load pattern: a few experts of each layer set are routed most tokens, and which
ones changes by more than half every few seconds. All ranks wait for the most
loaded one in each layer set, so its load alone decides how long a step takes.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterator, Sequence

import msgspec

#: The experts of each rank in one layer set.
LayerSetPlacement = tuple[tuple[int, ...], ...]

#: Load of the most loaded rank over the mean at which a layer set needs no
#: change; below it each expert replica, whose transfer is billed, saves little.
TARGET_SKEW = 1.15
#: Number of the most loaded rank's experts that are tried, those of most load
#: first, and of target ranks that are tried, those of least load first.
MAX_TRIED_EXPERTS = 3
MAX_TRIED_RANKS = 4
#: Least fraction of a layer set's sum of squared loads that a change must save.
MIN_RELATIVE_GAIN = 1e-4


class PlanLimits(msgspec.Struct, frozen=True):
    """Bound a plan for one layer set.

    ``placements`` is the most experts that a rank may hold, and ``spare`` the
    most of them that the plan may add to its current ones.
    """

    placements: int
    spare: int


class _Change(msgspec.Struct, frozen=True):
    """Hold what one change adds and removes, as pairs of rank and expert."""

    added: tuple[tuple[int, int], ...]
    removed: tuple[tuple[int, int], ...] = ()


def default_placement(experts: int, ranks: int) -> LayerSetPlacement:
    """Return the round-robin placement that a group starts with."""
    return tuple(tuple(range(rank, experts, ranks)) for rank in range(ranks))


def layer_set_skew(
    placement: LayerSetPlacement, weights: Sequence[float]
) -> float:
    """Return the most loaded rank's load over the mean, 1 without any load."""
    return _PlanState(placement, weights).skew


def plan_layer_set(
    placement: LayerSetPlacement,
    weights: Sequence[float],
    limits: PlanLimits,
    rng: random.Random,
) -> LayerSetPlacement:
    """Return a better placement, or the same one if none is found.

    ``weights`` has the tokens of each expert. The plan is greedy: each change
    reduces the load of the most loaded rank, and the one with the largest gain
    per new expert replica is made first. The gain is the reduction of the sum
    of the ranks' squared loads.
    """
    state = _PlanState(placement, weights)
    for _ in range(limits.spare * len(placement)):
        if state.skew <= TARGET_SKEW:
            break
        changes = list(_candidate_changes(state, placement, limits, rng))
        gains = [state.gain_per_replica(change) for change in changes]
        best_gain = max(gains, default=0.0)
        if best_gain <= MIN_RELATIVE_GAIN * state.sum_of_squares:
            break
        state.apply(changes[gains.index(best_gain)])
    return state.placement()


class _PlanState:
    """Hold the placement of one layer set while it is planned, and its loads.

    The load of an expert is divided equally among its replicas.
    """

    def __init__(
        self,
        placement: LayerSetPlacement,
        weights: Sequence[float],
    ) -> None:
        self.weights = weights
        self.experts_of = [set(experts) for experts in placement]
        self.ranks_of: list[set[int]] = [set() for _ in weights]
        for rank, experts in enumerate(placement):
            for expert in experts:
                self.ranks_of[expert].add(rank)
        self.loads = [
            sum(map(self.replica_load, held)) for held in self.experts_of
        ]

    @property
    def skew(self) -> float:
        total = sum(self.loads)
        return max(self.loads) * len(self.loads) / total if total else 1.0

    @property
    def sum_of_squares(self) -> float:
        return sum(load * load for load in self.loads)

    def replica_load(self, expert: int) -> float:
        return self.weights[expert] / len(self.ranks_of[expert])

    def replicated_experts(self, rank: int) -> list[int]:
        """Return the experts of a rank that other ranks hold too."""
        return [
            expert
            for expert in sorted(self.experts_of[rank])
            if len(self.ranks_of[expert]) > 1
        ]

    def placement(self) -> LayerSetPlacement:
        return tuple(tuple(sorted(experts)) for experts in self.experts_of)

    def gain(self, change: _Change) -> float:
        """Return by how much a change lowers the sum of squared loads."""
        differences = self._load_differences(change)
        return -sum(
            difference * (2 * self.loads[rank] + difference)
            for rank, difference in differences.items()
        )

    def gain_per_replica(self, change: _Change) -> float:
        """Return a change's gain per expert replica that it adds."""
        return self.gain(change) / max(1, len(change.added))

    def apply(self, change: _Change) -> None:
        for rank, difference in self._load_differences(change).items():
            self.loads[rank] += difference
        for rank, expert in change.removed:
            self.experts_of[rank].discard(expert)
            self.ranks_of[expert].discard(rank)
        for rank, expert in change.added:
            self.experts_of[rank].add(expert)
            self.ranks_of[expert].add(rank)

    def _load_differences(self, change: _Change) -> Counter[int]:
        """Return by how much a change raises the load of each rank."""
        differences: Counter[int] = Counter()
        changed = {expert for _, expert in (*change.added, *change.removed)}
        for expert in changed:
            added = {rank for rank, each in change.added if each == expert}
            removed = {rank for rank, each in change.removed if each == expert}
            before = self.ranks_of[expert]
            after = (before | added) - removed
            load = self.weights[expert] / len(after)
            differences.update(dict.fromkeys(after, load))
            differences.subtract(
                dict.fromkeys(before, self.replica_load(expert))
            )
        return differences


def _candidate_changes(
    state: _PlanState,
    current: LayerSetPlacement,
    limits: PlanLimits,
    rng: random.Random,
) -> Iterator[_Change]:
    """Yield changes that could reduce the load of the most loaded rank."""
    ranks = sorted(range(len(state.loads)), key=state.loads.__getitem__)
    most_loaded = ranks[-1]
    by_load = sorted(
        state.experts_of[most_loaded], key=state.replica_load, reverse=True
    )
    for expert in by_load[:MAX_TRIED_EXPERTS]:
        for target in ranks[:MAX_TRIED_RANKS]:
            if expert in state.experts_of[target]:
                continue
            if not _can_add(state, current, limits, target, expert):
                continue
            yield from _additions(state, limits, most_loaded, target, expert)
            yield from _swaps(
                state, current, limits, (most_loaded, target), expert
            )
    replicated = state.replicated_experts(most_loaded)
    if replicated:
        yield _Change((), ((most_loaded, rng.choice(replicated)),))


def _additions(
    state: _PlanState,
    limits: PlanLimits,
    most_loaded: int,
    target: int,
    expert: int,
) -> Iterator[_Change]:
    """Yield the replication and the move of an expert to a target rank."""
    addition = (target, expert)
    if len(state.experts_of[target]) < limits.placements:
        yield _Change((addition,))
        yield _Change((addition,), ((most_loaded, expert),))
        return
    # The rank is full: an expert that other ranks hold too is removed from it.
    replicated = state.replicated_experts(target)
    if replicated:
        least = min(replicated, key=state.replica_load)
        yield _Change((addition,), ((target, least),))
        yield _Change((addition,), ((target, least), (most_loaded, expert)))


def _swaps(
    state: _PlanState,
    current: LayerSetPlacement,
    limits: PlanLimits,
    pair: tuple[int, int],
    expert: int,
) -> Iterator[_Change]:
    """Yield the swaps of an expert for one of less load of a target rank."""
    most_loaded, target = pair
    for other in state.experts_of[target] - state.experts_of[most_loaded]:
        is_lighter = state.replica_load(other) < state.replica_load(expert)
        if is_lighter and _can_add(state, current, limits, most_loaded, other):
            yield _Change(
                ((target, expert), (most_loaded, other)),
                ((most_loaded, expert), (target, other)),
            )


def _can_add(
    state: _PlanState,
    current: LayerSetPlacement,
    limits: PlanLimits,
    rank: int,
    expert: int,
) -> bool:
    """Tell whether a rank may hold an expert under the limit of new ones.

    Experts that the rank already holds in the current placement are free.
    """
    if expert in current[rank]:
        return True
    new_experts = state.experts_of[rank].difference(current[rank])
    return len(new_experts) < limits.spare
