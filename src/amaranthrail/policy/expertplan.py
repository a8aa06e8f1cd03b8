"""Plan which ranks of a group hold which experts, with copies of hot ones.

Load pattern: a few experts of each layer set draw most tokens, and which ones
changes by more than half every few seconds. All ranks wait for the most loaded
one in each set, so its load alone decides how long a pass takes.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterator, Sequence

import msgspec

#: The experts of each rank in one layer set.
SetPlacement = tuple[tuple[int, ...], ...]

#: Load of the most loaded rank over the mean at which a set is left alone;
#: below it each copy, which is billed, saves little.
GOOD_SKEW = 1.15
#: Experts of the most loaded rank, and least loaded ranks, that are tried.
TRIED_EXPERTS = 3
TRIED_RANKS = 4
#: Least share of a set's squared load that a step must save.
MIN_STEP_GAIN = 1e-4


class PlanLimits(msgspec.Struct, frozen=True):
    """Bound a plan: experts of a set on one rank, and new ones among them."""

    placements: int
    spare: int


class _Step(msgspec.Struct, frozen=True):
    """Hold what one step adds and removes, as pairs of rank and expert."""

    added: tuple[tuple[int, int], ...]
    removed: tuple[tuple[int, int], ...] = ()


def default_placement(experts: int, ranks: int) -> SetPlacement:
    """Return the assignment in turn that a group is formed with."""
    return tuple(tuple(range(rank, experts, ranks)) for rank in range(ranks))


def layer_set_skew(placement: SetPlacement, weights: Sequence[float]) -> float:
    """Return the most loaded rank's load over the mean of all."""
    return _Board(placement, weights).skew


def plan_layer_set(
    placement: SetPlacement,
    weights: Sequence[float],
    limits: PlanLimits,
    source: random.Random,
) -> SetPlacement:
    """Return a better assignment of one set, or the same where none is found.

    ``weights`` has the tokens of each expert. Steps that ease the most loaded
    rank are taken one by one, always the one that saves most for each copy.
    """
    board = _Board(placement, weights)
    for _ in range(limits.spare * len(placement)):
        if board.skew <= GOOD_SKEW:
            break
        steps = list(_steps(board, placement, limits, source))
        gains = [board.gain_per_copy(step) for step in steps]
        best = max(gains, default=0.0)
        if best <= MIN_STEP_GAIN * board.squares:
            break
        board.take(steps[gains.index(best)])
    return board.placement()


class _Board:
    """Hold a changing assignment of one set and the loads it makes."""

    def __init__(
        self,
        placement: SetPlacement,
        weights: Sequence[float],
    ) -> None:
        self.weights = weights
        self.held = [set(experts) for experts in placement]
        self.ranks_of: list[set[int]] = [set() for _ in weights]
        for rank, experts in enumerate(placement):
            for expert in experts:
                self.ranks_of[expert].add(rank)
        self.loads = [sum(map(self.share, held)) for held in self.held]

    @property
    def skew(self) -> float:
        total = sum(self.loads)
        return max(self.loads) * len(self.loads) / total if total else 1.0

    @property
    def squares(self) -> float:
        return sum(load * load for load in self.loads)

    def share(self, expert: int) -> float:
        return self.weights[expert] / len(self.ranks_of[expert])

    def copies(self, rank: int) -> list[int]:
        """Return the experts of a rank that others hold too."""
        return [
            expert
            for expert in sorted(self.held[rank])
            if len(self.ranks_of[expert]) > 1
        ]

    def placement(self) -> SetPlacement:
        return tuple(tuple(sorted(experts)) for experts in self.held)

    def gain(self, step: _Step) -> float:
        """Return how much a step lowers the sum of squared loads."""
        changes = self._changes(step)
        return -sum(
            change * (2 * self.loads[rank] + change)
            for rank, change in changes.items()
        )

    def gain_per_copy(self, step: _Step) -> float:
        """Return a step's gain over the copies that it needs."""
        return self.gain(step) / max(1, len(step.added))

    def take(self, step: _Step) -> None:
        for rank, change in self._changes(step).items():
            self.loads[rank] += change
        for rank, expert in step.removed:
            self.held[rank].discard(expert)
            self.ranks_of[expert].discard(rank)
        for rank, expert in step.added:
            self.held[rank].add(expert)
            self.ranks_of[expert].add(rank)

    def _changes(self, step: _Step) -> Counter[int]:
        """Return how the loads of ranks change by a step."""
        changes: Counter[int] = Counter()
        moved = {expert for _, expert in (*step.added, *step.removed)}
        for expert in moved:
            added = {rank for rank, one in step.added if one == expert}
            removed = {rank for rank, one in step.removed if one == expert}
            before = self.ranks_of[expert]
            after = (before | added) - removed
            share = self.weights[expert] / len(after)
            changes.update(dict.fromkeys(after, share))
            changes.subtract(dict.fromkeys(before, self.share(expert)))
        return changes


def _steps(
    board: _Board,
    current: SetPlacement,
    limits: PlanLimits,
    source: random.Random,
) -> Iterator[_Step]:
    """Yield the steps that could ease the most loaded rank."""
    ranks = sorted(range(len(board.loads)), key=board.loads.__getitem__)
    heaviest = ranks[-1]
    hottest = sorted(board.held[heaviest], key=board.share, reverse=True)
    for expert in hottest[:TRIED_EXPERTS]:
        for target in ranks[:TRIED_RANKS]:
            if expert in board.held[target]:
                continue
            if not _may_add(board, current, limits, target, expert):
                continue
            yield from _ways(board, limits, heaviest, target, expert)
            yield from _swaps(
                board, current, limits, (heaviest, target), expert
            )
    copies = board.copies(heaviest)
    if copies:
        yield _Step((), ((heaviest, source.choice(copies)),))


def _ways(
    board: _Board,
    limits: PlanLimits,
    heaviest: int,
    target: int,
    expert: int,
) -> Iterator[_Step]:
    """Yield the ways to bring an expert to a rank."""
    arrival = (target, expert)
    if len(board.held[target]) < limits.placements:
        yield _Step((arrival,))
        yield _Step((arrival,), ((heaviest, expert),))
        return
    # The rank is full: a copy that others hold too makes room.
    copies = board.copies(target)
    if copies:
        lightest = min(copies, key=board.share)
        yield _Step((arrival,), ((target, lightest),))
        yield _Step((arrival,), ((target, lightest), (heaviest, expert)))


def _swaps(
    board: _Board,
    current: SetPlacement,
    limits: PlanLimits,
    pair: tuple[int, int],
    expert: int,
) -> Iterator[_Step]:
    """Yield the swaps of an expert for a lighter one of another rank."""
    heaviest, target = pair
    for other in board.held[target] - board.held[heaviest]:
        lighter = board.share(other) < board.share(expert)
        if lighter and _may_add(board, current, limits, heaviest, other):
            yield _Step(
                ((target, expert), (heaviest, other)),
                ((heaviest, expert), (target, other)),
            )


def _may_add(
    board: _Board,
    current: SetPlacement,
    limits: PlanLimits,
    rank: int,
    expert: int,
) -> bool:
    if expert in current[rank]:
        return True
    fresh = board.held[rank].difference(current[rank])
    return len(fresh) < limits.spare
