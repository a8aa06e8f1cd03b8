"""Plan an expert map in which one rank holds each expert, without replicas."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass

#: Least fraction of the step time that a change must save, since the loads that
#: ranks report are noisy.
MIN_SAVING = 0.08
#: Number of steps in which the time saved must make up for the transfers.
PAYBACK_STEPS = 400


@dataclass(frozen=True, slots=True)
class ExpertMap:
    """Hold the rank of each expert, by the expert's index."""

    ranks: tuple[int, ...]

    def moved_from(self, earlier: ExpertMap) -> tuple[int, ...]:
        """Return the experts that are on another rank in the earlier map."""
        pairs = zip(self.ranks, earlier.ranks, strict=True)
        return tuple(
            expert for expert, (new, old) in enumerate(pairs) if new != old
        )


@dataclass(frozen=True, slots=True)
class GroupLoad:
    """Hold the load of each expert and the relative speed of each rank.

    An expert's load is its time in one step, in milliseconds, on a rank of
    speed 1.
    """

    expert_loads: tuple[float, ...]
    speeds: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class MoveCost:
    """Hold what a change of the map costs, in milliseconds of group time.

    ``change_ms`` is the fixed cost, ``transfer_ms`` the cost of each expert
    moved. ``max_transfers`` is the number of experts that the weight store can
    deliver before the next plan.
    """

    transfer_ms: float
    change_ms: float = 0
    max_transfers: int = 64
    payback_steps: int = PAYBACK_STEPS


def distribute_evenly(experts: int, ranks: int) -> ExpertMap:
    """Return the round-robin map that a group starts with."""
    return ExpertMap(tuple(expert % ranks for expert in range(experts)))


def step_ms(placement: ExpertMap, load: GroupLoad) -> float:
    """Return the duration of one step in ms: the slowest rank's time."""
    return max(_rank_times(placement, load))


def skew(placement: ExpertMap, load: GroupLoad) -> float:
    """Return the slowest rank's time over the mean, 1 without any load."""
    times = _rank_times(placement, load)
    mean_ms = sum(times) / len(times)
    return max(times) / mean_ms if mean_ms else 1.0


def lower_bound_ms(load: GroupLoad) -> float:
    """Return a step duration that no map can be faster than, in ms."""
    evenly_divided_ms = sum(load.expert_loads) / sum(load.speeds)
    heaviest_ms = max(load.expert_loads) / max(load.speeds)
    return max(evenly_divided_ms, heaviest_ms)


def plan_moves(
    placement: ExpertMap,
    load: GroupLoad,
    cost: MoveCost,
) -> ExpertMap:
    """Return a better map, or the same one if no change is worth its cost.

    The search is greedy: each move or swap takes load from the slowest rank,
    and the one that shortens the step most is made first. Of all maps on this
    path, the one that saves most time after its cost is returned.
    """
    best = placement
    best_gain_ms = 0.0
    current_ms = step_ms(placement, load)
    for planned in _improvements(placement, load):
        transfers = len(planned.moved_from(placement))
        if transfers > cost.max_transfers:
            break
        saved_ms = (current_ms - step_ms(planned, load)) * cost.payback_steps
        gain_ms = saved_ms - cost.change_ms - transfers * cost.transfer_ms
        is_significant = step_ms(planned, load) < (1 - MIN_SAVING) * current_ms
        if is_significant and gain_ms > best_gain_ms:
            best = planned
            best_gain_ms = gain_ms
    return best


def _improvements(
    placement: ExpertMap,
    load: GroupLoad,
) -> Iterator[ExpertMap]:
    """Yield ever faster maps, each one move or swap from the one before."""
    ranks = list(placement.ranks)
    for _ in placement.ranks:
        change = _best_change(ranks, load)
        if change is None:
            return
        for expert, rank in change.moves.items():
            ranks[expert] = rank
        yield ExpertMap(tuple(ranks))


@dataclass(frozen=True, slots=True)
class _Change:
    """Hold the new rank of each moved expert and the resulting step time."""

    moves: Mapping[int, int]
    step_ms: float


def _best_change(ranks: Sequence[int], load: GroupLoad) -> _Change | None:
    """Return the change that shortens the step most, None if none does."""
    times = _rank_times(ExpertMap(tuple(ranks)), load)
    slowest = max(range(len(times)), key=times.__getitem__)
    changes = [
        change
        for expert, rank in enumerate(ranks)
        if rank == slowest
        for change in _changes_of(expert, ranks, times, load)
    ]
    best = min(changes, key=lambda change: change.step_ms, default=None)
    if best is None or best.step_ms >= max(times):
        return None
    return best


def _changes_of(
    expert: int,
    ranks: Sequence[int],
    times: Sequence[float],
    load: GroupLoad,
) -> list[_Change]:
    """Return the moves of an expert to other ranks and its possible swaps.

    An expert is swapped only for those of less load.
    """
    source = ranks[expert]
    expert_load = load.expert_loads[expert]
    changes = []
    for target, _ in enumerate(times):
        if target != source:
            new_times = _times_after(times, load, (source, target), expert_load)
            changes.append(_Change({expert: target}, max(new_times)))
    for other_expert, target in enumerate(ranks):
        other_load = load.expert_loads[other_expert]
        if target != source and other_load < expert_load:
            difference = expert_load - other_load
            new_times = _times_after(times, load, (source, target), difference)
            moves = {expert: target, other_expert: source}
            changes.append(_Change(moves, max(new_times)))
    return changes


def _times_after(
    times: Sequence[float],
    load: GroupLoad,
    pair: tuple[int, int],
    moved_load: float,
) -> list[float]:
    """Return the ranks' times after load moves from one rank to another."""
    source, target = pair
    new_times = list(times)
    new_times[source] -= moved_load / load.speeds[source]
    new_times[target] += moved_load / load.speeds[target]
    return new_times


def _rank_times(placement: ExpertMap, load: GroupLoad) -> list[float]:
    times = [0.0 for _ in load.speeds]
    for expert, rank in enumerate(placement.ranks):
        times[rank] += load.expert_loads[expert] / load.speeds[rank]
    return times
