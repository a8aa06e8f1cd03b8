"""Estimate the current demand for each expert from cumulative token counts.

Load pattern: the share of tokens routed to each expert changes by more than
half every few seconds. The tokens of the last second say more than all before
them, and tokens routed before a shift of demand say nothing.
"""

from __future__ import annotations

import math
import operator
from collections.abc import Callable, Sequence

#: The share of each expert in the tokens of its layer set, by layer set.
Demand = tuple[tuple[float, ...], ...]

#: Time after which a token's weight has halved, in ms. Demand shifts every
#: three to four seconds, according to the users' specifications.
DEMAND_HALF_LIFE_MS = 700.0
#: Cosine similarity of a reading to the readings before it, 1 for equal
#: proportions, below which demand has shifted. Readings of one rank have a
#: similarity of 0.89 and more to those of all ranks, and of 0.7 at most across
#: a shift.
MIN_SIMILARITY = 0.8
#: Correlation of two readings below which a part of the demand of a large group
#: has shifted. Where half of the experts in high demand change, the similarity
#: is up to 0.81, as all others keep their tokens; the correlation is 0.47.
#: Readings of one rank with a similarity of 0.89 to all have one of 0.76.
MIN_CORRELATION = 0.6
#: Weighted tokens per expert, on average, below which the estimate is too
#: inaccurate to plan with.
MIN_MEAN_TOKENS = 30.0


#: Tells from a reading and the demand before whether demand has shifted.
ShiftTest = Callable[[Sequence[float], Sequence[float]], bool]


def has_shifted(reading: Sequence[float], before: Sequence[float]) -> bool:
    """Tell whether most of the demand has shifted."""
    return cosine_similarity(reading, before) < MIN_SIMILARITY


def has_partly_shifted(
    reading: Sequence[float], before: Sequence[float]
) -> bool:
    """Tell whether about half of the demand, or more, has shifted."""
    correlation = cosine_similarity(_center(reading), _center(before))
    return correlation < MIN_CORRELATION


class ExpertDemand:
    """Sum the recent tokens of each expert over the ranks of a group.

    Experts are numbered across all layer sets: those of the first set come
    first.
    """

    def __init__(self, sets: int, experts: int) -> None:
        """Set the number of layer sets and of the experts in each of them."""
        self._experts = experts
        self._weights = [0.0 for _ in range(sets * experts)]
        self._last_counts: dict[int, tuple[int, ...]] = {}
        self._decayed_at: float | None = None
        self._has_shifted: ShiftTest = has_shifted

    @property
    def has_enough_counts(self) -> bool:
        """Tell whether enough tokens were counted to plan with."""
        required = MIN_MEAN_TOKENS * len(self._weights)
        return sum(self._weights) >= required

    @property
    def shares(self) -> Demand:
        """Return the share of each expert in its layer set, by layer set."""
        sets = len(self._weights) // self._experts
        return tuple(
            _normalize(self.layer_set_weights(index)) for index in range(sets)
        )

    def layer_set_weights(self, index: int) -> Sequence[float]:
        """Return the decayed token count of each expert of a layer set."""
        first = index * self._experts
        return self._weights[first : first + self._experts]

    def replace_shift_test(self, test: ShiftTest) -> None:
        """Replace the test that tells whether a reading shows a shift."""
        self._has_shifted = test

    def reset(self) -> None:
        """Discard all counts; called when the group has a new epoch."""
        self._last_counts.clear()
        self._weights = [0.0 for _ in self._weights]

    def decay(self, now: float) -> None:
        """Reduce the weight of past tokens; ``now`` is in ms."""
        if self._decayed_at is not None:
            factor = 0.5 ** ((now - self._decayed_at) / DEMAND_HALF_LIFE_MS)
            self._weights = [factor * weight for weight in self._weights]
        self._decayed_at = now

    def update_counts(self, rank: int, counts: tuple[int, ...]) -> None:
        """Add the increase of a rank's counts since its previous reading.

        If the increase shows that demand has shifted, all earlier weights are
        discarded. Counts of another length than this group's are ignored.
        """
        previous = self._last_counts.get(rank)
        if len(counts) != len(self._weights):
            return
        self._last_counts[rank] = counts
        if previous is None or sum(counts) < sum(previous):
            # The first counts of a rank may span any time, and lower counts
            # show that the rank has restarted.
            return
        pairs = zip(counts, previous, strict=True)
        increases = [count - before for count, before in pairs]
        if self.has_enough_counts and self._has_shifted(
            increases, self._weights
        ):
            self._weights = [0.0 for _ in self._weights]
        self._weights = [
            weight + max(0, increase)
            for weight, increase in zip(self._weights, increases, strict=True)
        ]


def cosine_similarity(left: Sequence[float], right: Sequence[float]) -> float:
    """Return the cosine of two lists of counts, 1 where either is all 0."""
    lengths = math.sqrt(_dot(left, left) * _dot(right, right))
    return _dot(left, right) / lengths if lengths else 1.0


def _center(numbers: Sequence[float]) -> list[float]:
    mean = sum(numbers) / max(1, len(numbers))
    return [number - mean for number in numbers]


def _dot(left: Sequence[float], right: Sequence[float]) -> float:
    return float(sum(map(operator.mul, left, right)))


def _normalize(weights: Sequence[float]) -> tuple[float, ...]:
    total = sum(weights)
    if not total:
        return tuple(weights)
    return tuple(weight / total for weight in weights)
