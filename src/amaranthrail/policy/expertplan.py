"""Plan which ranks hold replicas of which experts, for one layer set at a time.

Load pattern: a few experts of each layer set are routed most tokens, and which
ones changes by more than half every few seconds. All ranks wait for the most
loaded one in each layer set, so its load alone decides how long a step takes.
"""

from __future__ import annotations

import random
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


#: What a change adds or removes, as pairs of rank and expert.
_Replicas = tuple[tuple[int, int], ...]
#: The replicas that one change adds and those that it removes.
_Change = tuple[_Replicas, _Replicas]
#: A change and its gain for each replica that it adds.
_RatedChange = tuple[float, _Change]


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
        best_gain = MIN_RELATIVE_GAIN * state.sum_of_squares
        best_change: _Change | None = None
        for gain, change in _candidate_changes(state, placement, limits, rng):
            if gain > best_gain:
                best_gain = gain
                best_change = change
        if best_change is None:
            break
        state.apply(best_change)
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

    def shift_gain(self, source: int, target: int, load: float) -> float:
        """Return the gain of moving a load from one rank to another.

        A gain is what a change takes off the sum of squared loads.
        """
        return 2 * load * (self.loads[source] - self.loads[target] - load)

    def uneven_shift_gain(
        self, pair: tuple[int, int], expert: int, freed: float
    ) -> float:
        """Return the gain of moving an expert to a rank that frees a load."""
        source, target = pair
        load = self.replica_load(expert)
        raised = load - freed
        relief = load * (2 * self.loads[source] - load)
        return relief - raised * (2 * self.loads[target] + raised)

    def addition_gain(self, expert: int, target: int, freed: float) -> float:
        """Return the gain of one more replica of an expert on a target rank.

        ``freed`` is the load that the target rank gives up for it.
        """
        holders = self.ranks_of[expert]
        count = len(holders)
        load = self.weights[expert] / (count + 1)
        relief = self.weights[expert] / count - load
        relieved = sum([self.loads[rank] for rank in holders])
        difference = load - freed
        return relief * (2 * relieved - count * relief) - difference * (
            2 * self.loads[target] + difference
        )

    def removal_gain(self, expert: int, rank: int) -> float:
        """Return the gain, usually below 0, for the ranks that keep a replica.

        The load that the removal takes off ``rank`` is not part of it.
        """
        keepers = self.ranks_of[expert] - {rank}
        extra = self.replica_load(expert) / len(keepers)
        kept = sum([self.loads[keeper] for keeper in keepers])
        return -extra * (2 * kept + len(keepers) * extra)

    def apply(self, change: _Change) -> None:
        for rank, difference in self._load_differences(change).items():
            self.loads[rank] += difference
        added, removed = change
        for rank, expert in removed:
            self.experts_of[rank].discard(expert)
            self.ranks_of[expert].discard(rank)
        for rank, expert in added:
            self.experts_of[rank].add(expert)
            self.ranks_of[expert].add(rank)

    def _load_differences(self, change: _Change) -> dict[int, float]:
        """Return by how much a change raises the load of each rank."""
        added, removed = change
        differences: dict[int, float] = {}
        changed = dict.fromkeys(expert for _, expert in added + removed)
        for expert in changed:
            before = self.ranks_of[expert]
            after = set(before)
            after.difference_update(
                rank for rank, each in removed if each == expert
            )
            after.update(rank for rank, each in added if each == expert)
            load_before = self.weights[expert] / len(before)
            load_after = self.weights[expert] / len(after)
            for rank in before:
                differences[rank] = differences.get(rank, 0) - load_before
            for rank in after:
                differences[rank] = differences.get(rank, 0) + load_after
        return differences


def _candidate_changes(
    state: _PlanState,
    current: LayerSetPlacement,
    limits: PlanLimits,
    rng: random.Random,
) -> Iterator[_RatedChange]:
    """Yield changes that could reduce the load of the most loaded rank.

    Each comes with its gain for each replica that it adds.
    """
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
            pair = most_loaded, target
            yield from _additions(state, limits, pair, expert)
            yield from _best_swap(state, current, limits, pair, expert)
    replicated = state.replicated_experts(most_loaded)
    if replicated:
        yield _removal(state, most_loaded, rng.choice(replicated))


def _removal(state: _PlanState, rank: int, expert: int) -> _RatedChange:
    load = state.replica_load(expert)
    relief = load * (2 * state.loads[rank] - load)
    gain = state.removal_gain(expert, rank) + relief
    return gain, ((), ((rank, expert),))


def _additions(
    state: _PlanState,
    limits: PlanLimits,
    pair: tuple[int, int],
    expert: int,
) -> Iterator[_RatedChange]:
    """Yield the replication and the move of an expert to a target rank.

    ``pair`` is the most loaded rank and the target rank.
    """
    most_loaded, target = pair
    addition = (target, expert)
    moved = (most_loaded, expert)
    load = state.replica_load(expert)
    if len(state.experts_of[target]) < limits.placements:
        yield state.addition_gain(expert, target, 0), ((addition,), ())
        move_gain = state.shift_gain(most_loaded, target, load)
        yield move_gain, ((addition,), (moved,))
    else:
        yield from _replacements(state, pair, expert)


def _replacements(
    state: _PlanState, pair: tuple[int, int], expert: int
) -> Iterator[_RatedChange]:
    """Yield the same for a full target rank, which drops a replica for it.

    Only an expert that other ranks hold too can be dropped.
    """
    most_loaded, target = pair
    replicated = state.replicated_experts(target)
    if not replicated:
        return
    least = min(replicated, key=state.replica_load)
    added = ((target, expert),)
    dropped = (target, least)
    freed = state.replica_load(least)
    lost_gain = state.removal_gain(least, target)
    addition_gain = state.addition_gain(expert, target, freed)
    yield addition_gain + lost_gain, (added, (dropped,))
    move_gain = state.uneven_shift_gain(pair, expert, freed)
    yield move_gain + lost_gain, (added, (dropped, (most_loaded, expert)))


def _best_swap(
    state: _PlanState,
    current: LayerSetPlacement,
    limits: PlanLimits,
    pair: tuple[int, int],
    expert: int,
) -> Iterator[_RatedChange]:
    """Yield the swap of an expert for one of a target rank that gains most.

    That is the one that brings the two ranks' loads closest to each other.
    """
    most_loaded, target = pair
    ideal = (state.loads[most_loaded] - state.loads[target]) / 2
    load = state.replica_load(expert)
    others = [
        (abs(load - state.replica_load(other) - ideal), other)
        for other in state.experts_of[target] - state.experts_of[most_loaded]
        if state.replica_load(other) < load
    ]
    for _, other in sorted(others):
        if _can_add(state, current, limits, most_loaded, other):
            shifted = load - state.replica_load(other)
            # A swap adds two replicas.
            yield (
                state.shift_gain(most_loaded, target, shifted) / 2,
                (
                    ((target, expert), (most_loaded, other)),
                    ((most_loaded, expert), (target, other)),
                ),
            )
            return


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
