"""Estimate which experts are in demand from counts that only grow.

Load pattern: which experts are liked changes by more than half every few
seconds. What was chosen a second ago says more than all that was before, and
what was chosen before a change of demand says nothing.
"""

from __future__ import annotations

import math
import operator
from collections.abc import Sequence

#: Time in which past choices lose half their weight, in ms: demand changes
#: every three to four seconds on the users' sheets.
DEMAND_HALF_LIFE_MS = 700.0
#: Likeness of a reading to those before, 1 for equal proportions, below which
#: demand has changed: readings of one rank are like those of all to 0.89 and
#: more, across a change to 0.7 at most.
CHANGED_LIKENESS = 0.8
#: Choices an expert, in the mean, below which an estimate is too rough.
MIN_MEAN_CHOICES = 30.0


class ExpertDemand:
    """Sum up recent choices of all experts over the ranks of a group."""

    def __init__(self, sets: int, experts: int) -> None:
        """Take the shape of the counts."""
        self._experts = experts
        self._weights = [0.0 for _ in range(sets * experts)]
        self._seen: dict[int, tuple[int, ...]] = {}
        self._aged_at: float | None = None

    @property
    def has_enough_counts(self) -> bool:
        """Tell whether enough has been chosen to judge by."""
        wanted = MIN_MEAN_CHOICES * len(self._weights)
        return sum(self._weights) >= wanted

    def layer_set_weights(self, index: int) -> Sequence[float]:
        """Return the weight of each expert of a set."""
        first = index * self._experts
        return self._weights[first : first + self._experts]

    def reset(self) -> None:
        """Begin anew; the group has formed again."""
        self._seen.clear()
        self._weights = [0.0 for _ in self._weights]

    def decay(self, now: float) -> None:
        """Let past choices lose weight."""
        if self._aged_at is not None:
            part = 0.5 ** ((now - self._aged_at) / DEMAND_HALF_LIFE_MS)
            self._weights = [part * weight for weight in self._weights]
        self._aged_at = now

    def update_counts(self, rank: int, chosen: tuple[int, ...]) -> None:
        """Take a rank's counts; what they grew by counts as new."""
        earlier = self._seen.get(rank)
        if len(chosen) != len(self._weights):
            return
        self._seen[rank] = chosen
        if earlier is None or sum(chosen) < sum(earlier):
            # A first look has no age; a lower count is that of a fresh start.
            return
        pairs = zip(chosen, earlier, strict=True)
        grown = [now - before for now, before in pairs]
        if (
            self.has_enough_counts
            and _likeness(grown, self._weights) < CHANGED_LIKENESS
        ):
            self._weights = [0.0 for _ in self._weights]
        self._weights = [
            weight + max(0, more)
            for weight, more in zip(self._weights, grown, strict=True)
        ]


def _likeness(one: Sequence[float], other: Sequence[float]) -> float:
    """Return the cosine of two lists of counts, 1 where either is empty."""
    lengths = math.sqrt(_product(one, one) * _product(other, other))
    return _product(one, other) / lengths if lengths else 1.0


def _product(one: Sequence[float], other: Sequence[float]) -> float:
    return float(sum(map(operator.mul, one, other)))
