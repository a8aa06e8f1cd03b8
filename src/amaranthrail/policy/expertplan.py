"""Plan which ranks hold replicas of which experts.

Load pattern: a few experts of each layer set are routed most tokens, and which
ones changes by more than half every few seconds. All ranks wait for the most
loaded one in each layer set, so its load alone decides how long a step takes.
Small groups are planned one layer set after another, each to a low skew. In a
large group a complete plan takes the ranks too long to copy, so its copies go
where each of them saves most.
"""

from __future__ import annotations

import copy
import random
from collections.abc import Iterator, Sequence
from itertools import islice

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
#: Fraction by which one round of a group's plan lowers the skew of a layer set.
ROUND_SHARE = 0.1


class PlanLimits(msgspec.Struct, frozen=True):
    """Bound a plan for one layer set.

    ``placements`` is the most experts that a rank may hold, and ``spare`` the
    most of them that the plan may add to its current ones.
    """

    placements: int
    spare: int


class GroupPlanLimits(msgspec.Struct, frozen=True):
    """Bound a plan for all layer sets of a group.

    ``placements`` and ``spare`` are as in PlanLimits. ``rank_copies`` is the
    most experts that one rank copies, over all layer sets. ``min_saving`` is
    the least that each copied replica must lower the skew of its layer set by.
    """

    placements: int
    spare: int
    rank_copies: int
    min_saving: float


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
    spare = [limits.spare for _ in placement]
    room = _Room(placement, limits.placements, spare)
    for _ in range(limits.spare * len(placement)):
        if state.skew <= TARGET_SKEW:
            break
        change = _best_change(state, room, rng)
        if change is None:
            break
        state.apply(change)
    return state.placement()


class GroupPlan:
    """Plan the copies that save most over all layer sets of a group.

    Each round improves the layer set of the highest skew, as the fewest ranks
    of it are near the most loaded one. A layer set is finished once a round
    saves too little for its copies; that round is undone.
    """

    def __init__(
        self,
        placement: Sequence[LayerSetPlacement],
        weights: Sequence[Sequence[float]],
        limits: GroupPlanLimits,
        rng: random.Random,
    ) -> None:
        """Set the current placement and the tokens of each expert, by set."""
        self._current = tuple(placement)
        self._limits = limits
        self._random = rng
        self._states = [
            _PlanState(set_placement, set_weights)
            for set_placement, set_weights in zip(
                placement, weights, strict=True
            )
        ]
        self._open_sets = set(range(len(self._states)))
        self._copies = [
            [0 for _ in set_placement] for set_placement in placement
        ]
        self._rank_copies = [0 for _ in placement[0]]

    @property
    def placement(self) -> tuple[LayerSetPlacement, ...]:
        """Return the placement planned so far."""
        return tuple(state.placement() for state in self._states)

    @property
    def rank_copies(self) -> Sequence[int]:
        """Return how many experts each rank copies, over all layer sets."""
        return self._rank_copies

    @property
    def mean_skew(self) -> float:
        """Return the mean skew of the layer sets under the plan so far."""
        skews = [state.skew for state in self._states]
        return sum(skews) / len(skews)

    def run_round(self) -> bool:
        """Improve one layer set; return False once nothing is left to do.

        A round of a group of 72 ranks takes less than a millisecond or two.
        """
        skews = {index: self._states[index].skew for index in self._open_sets}
        index = max(skews, key=skews.__getitem__, default=None)
        if index is None or skews[index] <= TARGET_SKEW:
            return False
        improved = self._improve(index, skews[index])
        copies = _copies_by_rank(self._current[index], improved)
        added = sum(copies) - sum(self._copies[index])
        saved = skews[index] - improved.skew
        if saved > 0 and saved >= added * self._limits.min_saving:
            self._states[index] = improved
            self._record_copies(index, copies)
        else:
            self._open_sets.discard(index)
        return True

    def _improve(self, index: int, skew: float) -> _PlanState:
        """Return a copy of a layer set's state after one round."""
        state = self._states[index].copy()
        goal = max(TARGET_SKEW, skew * (1 - ROUND_SHARE))
        room = self._room(index)
        for _ in self._rank_copies:
            change = _best_change(state, room, self._random)
            if change is None:
                break
            state.apply(change)
            if state.skew <= goal:
                break
        return state

    def _room(self, index: int) -> _Room:
        """Return what the ranks may copy of a layer set."""
        limits = self._limits
        spare = [
            min(limits.spare, limits.rank_copies - total + own)
            for total, own in zip(
                self._rank_copies, self._copies[index], strict=True
            )
        ]
        return _Room(
            self._current[index],
            limits.placements,
            spare,
            self._rank_copies,
        )

    def _record_copies(self, index: int, copies: list[int]) -> None:
        before = self._copies[index]
        self._copies[index] = copies
        for rank, (new, old) in enumerate(zip(copies, before, strict=True)):
            self._rank_copies[rank] += new - old


def _copies_by_rank(current: LayerSetPlacement, state: _PlanState) -> list[int]:
    return [
        len(held.difference(before))
        for held, before in zip(state.experts_of, current, strict=True)
    ]


class _Room:
    """Tell what the ranks may still hold and copy of one layer set.

    ``spare`` has the most new experts of each rank. ``rank_copies`` has the
    copies of each rank over all layer sets, where a plan spreads them.
    """

    def __init__(
        self,
        current: LayerSetPlacement,
        placements: int,
        spare: Sequence[int],
        rank_copies: Sequence[int] = (),
    ) -> None:
        self.placements = placements
        self._current = current
        self._spare = spare
        self._rank_copies = rank_copies

    def targets(self, state: _PlanState, ranks: Sequence[int]) -> list[int]:
        """Return the ranks to try as targets; ``ranks`` is in order of load."""
        if not self._rank_copies:
            return list(ranks[:MAX_TRIED_RANKS])
        free = (rank for rank in ranks if self._copies(state, rank) > 0)
        least_loaded = islice(free, 2 * MAX_TRIED_RANKS)
        # Ranks copy in parallel, so those with few copies come first.
        by_copies = sorted(least_loaded, key=self._rank_copies.__getitem__)
        return by_copies[:MAX_TRIED_RANKS]

    def can_add(self, state: _PlanState, rank: int, expert: int) -> bool:
        """Tell whether a rank may hold an expert under the limit of new ones.

        Experts that the rank already holds in the current placement are free.
        """
        if expert in self._current[rank]:
            return True
        return self._copies(state, rank) > 0

    def _copies(self, state: _PlanState, rank: int) -> int:
        """Return how many more experts a rank may copy."""
        new_experts = state.experts_of[rank].difference(self._current[rank])
        return self._spare[rank] - len(new_experts)


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
        """Return the most loaded rank's load over the mean."""
        total = sum(self.loads)
        return max(self.loads) * len(self.loads) / total if total else 1.0

    @property
    def sum_of_squares(self) -> float:
        return sum(load * load for load in self.loads)

    def copy(self) -> _PlanState:
        """Return a state that changes independently of this one."""
        state = copy.copy(self)
        state.experts_of = list(map(set, self.experts_of))
        state.ranks_of = list(map(set, self.ranks_of))
        state.loads = list(self.loads)
        return state

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


def _best_change(
    state: _PlanState, room: _Room, rng: random.Random
) -> _Change | None:
    """Return the change with the largest gain, None if none gains enough."""
    best_gain = MIN_RELATIVE_GAIN * state.sum_of_squares
    best_change: _Change | None = None
    for gain, change in _candidate_changes(state, room, rng):
        if gain > best_gain:
            best_gain = gain
            best_change = change
    return best_change


def _candidate_changes(
    state: _PlanState,
    room: _Room,
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
    targets = room.targets(state, ranks)
    for expert in by_load[:MAX_TRIED_EXPERTS]:
        for target in targets:
            if expert in state.experts_of[target]:
                continue
            if not room.can_add(state, target, expert):
                continue
            pair = most_loaded, target
            yield from _additions(state, room, pair, expert)
            yield from _best_swap(state, room, pair, expert)
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
    room: _Room,
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
    if len(state.experts_of[target]) < room.placements:
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
    room: _Room,
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
        if room.can_add(state, most_loaded, other):
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
