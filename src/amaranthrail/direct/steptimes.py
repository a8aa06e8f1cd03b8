"""Know how long the passes of a service's engines take, from its streams."""

from __future__ import annotations

import math

from ..clock import Clock

#: Weight of the latest pause in the mean; all streams of a group pause alike,
#: and some ten are read in each pass.
PAUSE_WEIGHT = 0.05
#: Age from which a mean says nothing, in ms; a slow pass takes 900.
PACE_LIFE_MS = 2000.0


class StepTimes:
    """Hold the mean pause between the events of a service's streams."""

    def __init__(self, clock: Clock) -> None:
        """Start without any."""
        self._clock = clock
        self._mean_ms = 0.0
        self._noted_at: float | None = None

    @property
    def pass_ms(self) -> float | None:
        """Return the time of a pass lately, None where no stream runs."""
        return self._mean_ms if self.age_ms <= PACE_LIFE_MS else None

    @property
    def age_ms(self) -> float:
        """Return the time since the latest pause was noted."""
        if self._noted_at is None:
            return math.inf
        return self._clock.now() - self._noted_at

    def note(self, pause_ms: float) -> None:
        """Count the pause between two events of a stream."""
        if self.pass_ms is None:
            self._mean_ms = pause_ms
        self._mean_ms += PAUSE_WEIGHT * (pause_ms - self._mean_ms)
        self._noted_at = self._clock.now()
