"""Draw a demand for experts of which a part shifts at a fixed interval."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

#: The share of each expert in its layer set, by layer set.
Shares = tuple[tuple[float, ...], ...]


@dataclass
class ShiftingDemand:
    """Give the demand at any time; the seed decides what is in demand.

    ``hot`` experts of each of the ``sets`` are selected ``factor`` times as
    often as others, and ``shifting`` of them are replaced each ``interval_ms``.
    Where ``recurring`` is set, the demands after that many stretches begin
    again with the first.
    """

    sets: int
    experts: int
    interval_ms: float
    hot: int = 8
    shifting: int = 4
    factor: float = 5
    recurring: int = 0
    seed: int = 1
    _stretches: list[Shares] = field(default_factory=list)
    _hot: list[list[int]] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Draw the first demand."""
        self._random = random.Random(self.seed)
        self._hot = [self._draw(self.hot, []) for _ in range(self.sets)]

    def stretch(self, now: float) -> int:
        """Return the number of the stretch of demand at a time in ms."""
        number = int(now // self.interval_ms)
        return number % self.recurring if self.recurring else number

    def at(self, now: float) -> Shares:
        """Return the demand at a time in ms."""
        number = self.stretch(now)
        while len(self._stretches) <= number:
            self._stretches.append(tuple(map(self._shares, self._hot)))
            self._hot = [
                hot[self.shifting :] + self._draw(self.shifting, hot)
                for hot in self._hot
            ]
        return self._stretches[number]

    def _draw(self, count: int, earlier: list[int]) -> list[int]:
        others = [each for each in range(self.experts) if each not in earlier]
        return self._random.sample(others, count)

    def _shares(self, hot: list[int]) -> tuple[float, ...]:
        weights = [1.0 for _ in range(self.experts)]
        for expert in hot:
            weights[expert] *= self.factor
        total = sum(weights)
        return tuple(weight / total for weight in weights)
