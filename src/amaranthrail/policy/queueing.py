"""Order the work that waits for a slot of one upstream."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from ..manifest import Policies, QueuePolicy

#: QueuedWork for this many times its own cost lifts work before all that is
#: fresh and as short as it pleases.
AGEING_FACTOR = 2.0


@dataclass(slots=True)
class QueuedWork:
    """Describe one piece of waiting work; times in milliseconds."""

    arrived_at: float
    cost_ms: float
    long: bool


#: Returns the index of the work to start next, None to leave the slot free.
#: Takes the waiting work, the slots in use by long work, all slots, the time.
QueueOrder = Callable[[Sequence[QueuedWork], int, int, float], int | None]


def make_queue_order(policies: Policies) -> QueueOrder:
    """Return the function that orders waiting work under a policy."""
    if policies.queue is QueuePolicy.FIFO:
        return _first_in
    return _short_first(policies.long_share)


def long_slots(slots: int, share: float) -> int:
    """Return how many slots long work may hold, at least one."""
    return max(1, math.floor(slots * share))


def _first_in(
    waiting: Sequence[QueuedWork],
    _running_long: int,
    _slots: int,
    _now: float,
) -> int | None:
    return 0 if waiting else None


def _short_first(long_share: float) -> QueueOrder:
    def choose(
        waiting: Sequence[QueuedWork],
        running_long: int,
        slots: int,
        now: float,
    ) -> int | None:
        full = running_long >= long_slots(slots, long_share)
        fitting = [
            index
            for index, work in enumerate(waiting)
            if not (full and work.long)
        ]
        return min(
            fitting,
            key=lambda index: _urgency(waiting[index], now),
            default=None,
        )

    return choose


def _urgency(work: QueuedWork, now: float) -> float:
    """Return the cost still to be aged away; the lowest goes first."""
    return work.cost_ms - (now - work.arrived_at) / AGEING_FACTOR
