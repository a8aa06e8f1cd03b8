"""Plan which rank of a group holds which experts."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass

#: Least share of the step time that a change must save, since the loads that
#: ranks report are noisy.
MIN_SAVING = 0.08
#: Steps over which the time saved must pay for the transfer.
PAYBACK_STEPS = 400


@dataclass(frozen=True, slots=True)
class ExpertMap:
    """Assign each expert, by its index, to a rank."""

    ranks: tuple[int, ...]

    def moved_from(self, earlier: ExpertMap) -> tuple[int, ...]:
        """Return the experts that another rank holds in the earlier map."""
        pairs = zip(self.ranks, earlier.ranks, strict=True)
        return tuple(
            expert for expert, (new, old) in enumerate(pairs) if new != old
        )


@dataclass(frozen=True, slots=True)
class GroupLoad:
    """Hold a group's load: one number an expert, one speed a rank.

    An expert's load is its time in one step, in milliseconds, on a rank of
    speed 1.
    """

    expert_loads: tuple[float, ...]
    speeds: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class MoveCost:
    """Say what a change costs, in milliseconds of group time.

    ``change_ms`` is paid once, ``transfer_ms`` for each expert moved;
    ``max_transfers`` is what the weight store can deliver until the next
    plan.
    """

    transfer_ms: float
    change_ms: float = 0
    max_transfers: int = 64
    payback_steps: int = PAYBACK_STEPS


def distribute_evenly(experts: int, ranks: int) -> ExpertMap:
    """Return the map that a group starts with."""
    return ExpertMap(tuple(expert % ranks for expert in range(experts)))


def step_ms(placement: ExpertMap, load: GroupLoad) -> float:
    """Return the time of one step: that of the slowest rank."""
    return max(_rank_times(placement, load))


def skew(placement: ExpertMap, load: GroupLoad) -> float:
    """Return the slowest rank's time over the mean of all."""
    times = _rank_times(placement, load)
    mean = sum(times) / len(times)
    return max(times) / mean if mean else 1.0


def lower_bound_ms(load: GroupLoad) -> float:
    """Return a step time that no map can beat."""
    total = sum(load.expert_loads) / sum(load.speeds)
    heaviest = max(load.expert_loads) / max(load.speeds)
    return max(total, heaviest)


def plan_moves(
    placement: ExpertMap,
    load: GroupLoad,
    cost: MoveCost,
) -> ExpertMap:
    """Return a better map, or the same one where no change pays.

    Moves and swaps are tried one after the other, from the slowest rank,
    always the one that shortens the step most; of all the maps on that way
    the one is taken that gains most after its cost.
    """
    best = placement
    best_gain_ms = 0.0
    before = step_ms(placement, load)
    for planned in _improvements(placement, load):
        transfers = len(planned.moved_from(placement))
        if transfers > cost.max_transfers:
            break
        saved_ms = (before - step_ms(planned, load)) * cost.payback_steps
        gain_ms = saved_ms - cost.change_ms - transfers * cost.transfer_ms
        is_sure = step_ms(planned, load) < (1 - MIN_SAVING) * before
        if is_sure and gain_ms > best_gain_ms:
            best = planned
            best_gain_ms = gain_ms
    return best


def _improvements(
    placement: ExpertMap,
    load: GroupLoad,
) -> Iterator[ExpertMap]:
    """Yield ever better maps, each a move or a swap from the one before."""
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
    moves: Mapping[int, int]
    step_ms: float


def _best_change(ranks: Sequence[int], load: GroupLoad) -> _Change | None:
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
    """Return the move of an expert to each rank, and each swap for it."""
    source = ranks[expert]
    weight = load.expert_loads[expert]
    found = []
    for target, _ in enumerate(times):
        if target != source:
            changed = _shifted(times, load, (source, target), weight)
            found.append(_Change({expert: target}, max(changed)))
    for other, target in enumerate(ranks):
        lighter = load.expert_loads[other]
        if target != source and lighter < weight:
            shift = weight - lighter
            changed = _shifted(times, load, (source, target), shift)
            moves = {expert: target, other: source}
            found.append(_Change(moves, max(changed)))
    return found


def _shifted(
    times: Sequence[float],
    load: GroupLoad,
    pair: tuple[int, int],
    weight: float,
) -> list[float]:
    source, target = pair
    changed = list(times)
    changed[source] -= weight / load.speeds[source]
    changed[target] += weight / load.speeds[target]
    return changed


def _rank_times(placement: ExpertMap, load: GroupLoad) -> list[float]:
    times = [0.0 for _ in load.speeds]
    for expert, rank in enumerate(placement.ranks):
        times[rank] += load.expert_loads[expert] / load.speeds[rank]
    return times
