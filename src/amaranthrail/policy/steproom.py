"""Bound the streams that an entry begins within one step of a group.

Load pattern: bursts arrive at many entries at once while a group is near its
limit. The step time shows a stream only with the next step, so all entries
admit on an estimate that lacks the others' streams, and the batch exceeds the
limit by as many streams as arrive within a step.
"""

from __future__ import annotations

import msgspec

#: Least streams that an entry may begin at once, so that chance does not refuse
#: the second of two that arrive together.
MIN_BURST = 2.0


class StepView(msgspec.Struct, frozen=True):
    """Describe the room that a group's current step leaves.

    ``calls`` are in progress there and take ``stream_ms`` on average. A step
    takes ``step_ms`` and may take ``limit_ms``, the target gap: admission keeps
    a margin below it, which is what may be used up unseen within a step.
    ``own_share`` is this entry's part of the room.
    """

    calls: float
    stream_ms: float
    step_ms: float
    limit_ms: float
    own_share: float

    @property
    def own_room(self) -> float:
        """Return how many streams this entry may begin in one step.

        Steps grow at most in proportion to the batch, and a part of the batch
        ends with each step.
        """
        spare = max(0.0, self.limit_ms / self.step_ms - 1)
        ending = self.step_ms / max(self.step_ms, self.stream_ms)
        return self.own_share * self.calls * (spare + ending)


class StepRoom:
    """Count the streams that this entry begins against the room of a step."""

    def __init__(self) -> None:
        """Start with the room of one burst."""
        self._begun = 0.0
        self._updated_at = 0.0

    def is_full(self, now: float, view: StepView) -> bool:
        """Tell whether this entry has begun its part for now."""
        steps = (now - self._updated_at) / view.step_ms
        self._begun = max(0.0, self._begun - steps * view.own_room)
        self._updated_at = now
        return self._begun + 1 > max(MIN_BURST, view.own_room)

    def record_begin(self) -> None:
        """Count a stream that begins."""
        self._begun += 1
