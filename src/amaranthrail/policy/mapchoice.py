"""Choose between maps for the latest demand and for the mix of recent ones.

Load pattern: half of the demand for experts shifts every two to three seconds,
and reading, planning and changing the map of a large group takes about a
second of that. A map for the latest demand then serves a short rest of it and
fits the next one badly; a map for the mix of recent demands serves all of them
fairly well. On days with few shifts the latest demand is the better choice.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence
from itertools import chain
from operator import truediv

import msgspec

from .demand import Demand, has_partly_shifted
from .expertplan import LayerSetPlacement
from .rebalancing import COPYING_FACTOR

#: Time for which demands and their shifts are remembered, in ms: five shifts
#: at the usual rate.
HISTORY_MS = 12_000.0
#: Most demands that are remembered; each costs 14 KB at 1,728 experts and a
#: comparison at each reading.
MAX_DEMANDS = 6
#: Weight of the latest reading in the estimate of a demand that lasts or
#: recurs. A reading is itself a mean over the last second.
READING_WEIGHT = 0.5
#: Exponent of the mean of demands that a mixed map is planned for. The mean
#: itself hides an expert that is in high demand only at times: under up to six
#: demands, each of which shares half with the one before, maps for it have a
#: mean skew of 2.33, those with exponent 4 of 1.98 (2.90 without a change).
MIX_EXPONENT = 4.0
#: Expected duration of a demand before any shift was seen, in ms.
UNKNOWN_DURATION_MS = 3000.0
#: Least fraction of the usual duration that a demand is expected to last on,
#: however long it has lasted.
MIN_REMAINING_SHARE = 0.25
#: Weight of the latest measured change in the estimate of a change's duration.
CHANGE_WEIGHT = 0.5

#: The experts of each rank, by layer set and rank.
_Placement = Sequence[LayerSetPlacement]


class _Phase(msgspec.Struct):
    """Hold a demand, when it last began and was seen, and for how long."""

    demand: Demand
    began_at: float
    seen_at: float
    lasted_ms: float = 0


class HoldTimes(msgspec.Struct, frozen=True):
    """Hold for how long a new map will serve which demand, in ms.

    ``latest_ms`` is the time for which the latest demand will still last once
    the map is in use, ``later_ms`` the time after that until another map can
    be in use. ``recurrence`` is the probability that the demand will be one of
    the remembered ones then.
    """

    latest_ms: float
    later_ms: float
    recurrence: float = 1

    @property
    def total_ms(self) -> float:
        """Return the time for which the map will be in use."""
        return self.latest_ms + self.later_ms

    @property
    def latest_share(self) -> float:
        """Return the share of the latest demand in the use that is expected."""
        expected_ms = self.latest_ms + self.recurrence * self.later_ms
        return self.latest_ms / expected_ms if expected_ms else 0


class MapSkew(msgspec.Struct, frozen=True):
    """Hold the mean skew of a map under the latest and under all demands."""

    latest: float
    recent: float


class MapOffer(msgspec.Struct, frozen=True):
    """Describe a planned map, with the copies of all ranks and of one."""

    name: str
    placement: tuple[LayerSetPlacement, ...]
    skew: MapSkew
    copies: int
    rank_copies: int


class DemandHistory:
    """Remember the distinct demands of the last seconds.

    A demand that recurs is recognized by its similarity and adds to what is
    remembered of it.
    """

    def __init__(self) -> None:
        """Start without any demand."""
        self._phases: list[_Phase] = []
        # When each shift was seen, and whether it was to a known demand.
        self._shifts: deque[tuple[float, bool]] = deque()
        self._first_at: float | None = None

    @property
    def latest(self) -> Demand | None:
        """Return the latest demand, None before the first reading."""
        return self._phases[-1].demand if self._phases else None

    @property
    def demands(self) -> Sequence[Demand]:
        """Return the remembered demands, the latest one last."""
        return [phase.demand for phase in self._phases]

    @property
    def durations_ms(self) -> Sequence[float]:
        """Return how long each remembered demand lasted, at least 1 ms."""
        return [max(1.0, phase.lasted_ms) for phase in self._phases]

    def clear(self) -> None:
        """Forget everything; called when the group has a new epoch."""
        self._phases.clear()
        self._shifts.clear()
        self._first_at = None

    def record(self, now: float, demand: Demand) -> bool:
        """Add a reading; return whether it shows a shift of demand."""
        if self._first_at is None:
            self._first_at = now
        self._forget_old(now)
        found = self._find_similar(demand)
        is_known = found is not None
        is_shift = bool(self._phases) and found is not self._phases[-1]
        if found is None:
            found = _Phase(demand, now, now)
            self._phases.append(found)
            del self._phases[:-MAX_DEMANDS]
        elif is_shift:
            self._phases.remove(found)
            self._phases.append(found)
            found.began_at = now
        else:
            found.lasted_ms += now - found.seen_at
        if is_shift:
            self._shifts.append((now, is_known))
        found.seen_at = now
        found.demand = _blend(
            ((found.demand, 1 - READING_WEIGHT), (demand, READING_WEIGHT))
        )
        return is_shift

    def usual_duration_ms(self, now: float) -> float | None:
        """Return how long a demand lasts, None if no shift was seen."""
        if self._first_at is None or not self._shifts:
            return None
        observed_ms = min(HISTORY_MS, now - self._first_at)
        return observed_ms / len(self._shifts)

    def hold_times(self, now: float, change_ms: float) -> HoldTimes:
        """Return what a map serves whose change takes ``change_ms``."""
        usual_ms = self.usual_duration_ms(now)
        if usual_ms is None or not self._phases:
            return HoldTimes(UNKNOWN_DURATION_MS, 0)
        age_ms = now - self._phases[-1].began_at
        remaining_ms = max(usual_ms - age_ms, MIN_REMAINING_SHARE * usual_ms)
        # After the next shift the map stays in use for one more change.
        return HoldTimes(
            max(0.0, remaining_ms - change_ms), change_ms, self._recurrence()
        )

    def mix(self, hold: HoldTimes) -> Demand | None:
        """Return a demand whose map serves all remembered demands.

        Each of them counts by the time for which a new map will serve it: they
        share ``hold.later_ms`` by how long they lasted.
        """
        if not self._phases:
            return None
        total_ms = sum(self.durations_ms)
        weights = [
            hold.recurrence * hold.later_ms * lasted_ms / total_ms
            for lasted_ms in self.durations_ms
        ]
        weights[-1] += hold.latest_ms
        return _power_mean(self.demands, weights)

    def skew_of(self, placement: _Placement) -> MapSkew:
        """Return the skew of a map under the remembered demands."""
        skews = placement_skews(placement, self.demands)
        durations = self.durations_ms
        pairs = zip(skews, durations, strict=True)
        recent = sum(skew * lasted_ms for skew, lasted_ms in pairs)
        return MapSkew(skews[-1], recent / sum(durations))

    def _recurrence(self) -> float:
        """Return the share of shifts to known demands.

        Half a shift of either kind is added, as few shifts say little.
        """
        known = sum(is_known for _, is_known in self._shifts)
        return (known + 1 / 2) / (len(self._shifts) + 1)

    def _find_similar(self, demand: Demand) -> _Phase | None:
        flat = _flatten(demand)
        for phase in reversed(self._phases):
            if not has_partly_shifted(flat, _flatten(phase.demand)):
                return phase
        return None

    def _forget_old(self, now: float) -> None:
        oldest = now - HISTORY_MS
        while self._shifts and self._shifts[0][0] < oldest:
            self._shifts.popleft()
        self._phases = [
            phase for phase in self._phases if phase.seen_at >= oldest
        ]


class ChangeDuration:
    """Estimate how long a change takes, from its parts and recent changes."""

    def __init__(self) -> None:
        """Start without a measured change."""
        self._measured_ms: float | None = None

    def record(self, duration_ms: float) -> None:
        """Add the duration of a change."""
        if self._measured_ms is None:
            self._measured_ms = duration_ms
        difference_ms = duration_ms - self._measured_ms
        self._measured_ms += CHANGE_WEIGHT * difference_ms

    def estimate_ms(self, planned_ms: float) -> float:
        """Return the estimate; ``planned_ms`` is what its parts add up to."""
        return max(planned_ms, self._measured_ms or 0)


def placement_skews(
    placement: _Placement, demands: Sequence[Demand]
) -> list[float]:
    """Return the mean skew over the layer sets under each demand."""
    totals = [0.0 for _ in demands]
    for index, held_by_rank in enumerate(placement):
        replicas = [0 for _ in demands[0][index]]
        for expert in chain.from_iterable(held_by_rank):
            replicas[expert] += 1
        divisors = [max(1, count) for count in replicas]
        for number, demand in enumerate(demands):
            totals[number] += _skew(held_by_rank, demand[index], divisors)
    return [total / len(placement) for total in totals]


def net_saving(
    current: MapSkew, offer: MapOffer, hold: HoldTimes, copy_ms: float
) -> float:
    """Return the fraction of the most loaded ranks' time that a change saves.

    That is over the time for which the map will be in use, less the longer
    steps while ranks copy. ``copy_ms`` is the time to copy one expert.
    """
    if hold.total_ms <= 0:
        return 0
    latest = 1 - offer.skew.latest / current.latest
    later = 1 - offer.skew.recent / current.recent
    if later > 0:
        # A map that fits the remembered demands saves nothing under others.
        later *= hold.recurrence
    saved_ms = hold.latest_ms * latest + hold.later_ms * later
    cost_ms = (COPYING_FACTOR - 1) * offer.rank_copies * copy_ms
    return (saved_ms - cost_ms) / hold.total_ms


def choose_map(
    current: MapSkew,
    offers: Iterable[MapOffer],
    hold: HoldTimes,
    copy_ms: float,
) -> tuple[float, MapOffer] | None:
    """Return the offer that saves most and its net saving, None if none is."""
    rated = [
        (net_saving(current, offer, hold, copy_ms), offer) for offer in offers
    ]
    return max(rated, key=_saving_of, default=None)


def _skew(
    held_by_rank: LayerSetPlacement,
    shares: Sequence[float],
    divisors: Sequence[int],
) -> float:
    """Return the skew of one layer set, 1 without any load.

    ``divisors`` has the number of replicas of each expert.
    """
    total = sum(shares)
    if not total:
        return 1
    loads = list(map(truediv, shares, divisors))
    load_of = loads.__getitem__
    most: float = max([sum(map(load_of, held)) for held in held_by_rank])
    return most * len(held_by_rank) / total


def _saving_of(rated: tuple[float, MapOffer]) -> float:
    return rated[0]


def _flatten(demand: Demand) -> list[float]:
    return list(chain.from_iterable(demand))


def _blend(parts: Iterable[tuple[Demand, float]]) -> Demand:
    """Return the weighted sum of demands, not normalized."""
    blended: list[list[float]] = []
    for demand, weight in parts:
        if not blended:
            blended = [[0.0 for _ in shares] for shares in demand]
        blended = [
            [
                total + weight * share
                for total, share in zip(totals, shares, strict=True)
            ]
            for totals, shares in zip(blended, demand, strict=True)
        ]
    return tuple(map(tuple, blended))


def _power_mean(demands: Sequence[Demand], weights: Sequence[float]) -> Demand:
    """Return the weighted mean with MIX_EXPONENT, not normalized."""
    powers = [
        tuple(
            tuple([share**MIX_EXPONENT for share in shares])
            for shares in demand
        )
        for demand in demands
    ]
    mean = _blend(zip(powers, weights, strict=True))
    return tuple(
        tuple([share ** (1 / MIX_EXPONENT) for share in shares])
        for shares in mean
    )
