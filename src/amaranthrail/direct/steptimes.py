"""Estimate the step time of a service's engines from its streams."""

from __future__ import annotations

import math

from ..clock import Clock

#: Weight of the latest gap in the moving mean; all streams of a group have the
#: same gaps, and some ten of them are read in each step.
GAP_WEIGHT = 0.05
#: Age from which the mean is not used any more, in ms; a slow step takes 900.
STEP_TIME_EXPIRY_MS = 2000.0


class StepTimes:
    """Keep the moving mean of the gaps between a service's stream events."""

    def __init__(self, clock: Clock) -> None:
        """Start without an estimate."""
        self._clock = clock
        self._mean_ms = 0.0
        self._recorded_at: float | None = None

    @property
    def step_ms(self) -> float | None:
        """Return the recent step time, None where no stream is running."""
        return self._mean_ms if self.age_ms <= STEP_TIME_EXPIRY_MS else None

    @property
    def age_ms(self) -> float:
        """Return the time since the latest gap, infinite before the first."""
        if self._recorded_at is None:
            return math.inf
        return self._clock.now() - self._recorded_at

    def record_gap(self, gap_ms: float) -> None:
        """Add the gap between two events of one stream to the mean."""
        if self.step_ms is None:
            self._mean_ms = gap_ms
        self._mean_ms += GAP_WEIGHT * (gap_ms - self._mean_ms)
        self._recorded_at = self._clock.now()
