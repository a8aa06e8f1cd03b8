"""Order the work that is queued for the slots of one upstream."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from ..manifest import Policies, QueuePolicy

#: Ageing that prevents starvation: work that has waited this many times its own
#: cost starts before any new work, however short that is.
AGEING_FACTOR = 2.0


@dataclass(slots=True)
class QueuedWork:
    """Describe one item of queued work; times in milliseconds.

    ``cost_ms`` is its expected time in a slot, and ``long`` says whether its
    size class is long.
    """

    arrived_at: float
    cost_ms: float
    long: bool


#: Returns the index of the work to start next, None to leave the slot free.
#: Takes the queued work, the number of slots that long work holds, the number
#: of all slots, and the time in ms.
QueueOrder = Callable[[Sequence[QueuedWork], int, int, float], int | None]


def make_queue_order(policies: Policies) -> QueueOrder:
    """Return the function that chooses the next work under a policy."""
    if policies.queue is QueuePolicy.FIFO:
        return _fifo
    return _short_first(policies.long_share)


def max_long_slots(slots: int, share: float) -> int:
    """Return how many slots long work may hold at a time, at least one.

    ``share`` is its fraction of all slots, rounded down.
    """
    return max(1, math.floor(slots * share))


def _fifo(
    queued: Sequence[QueuedWork],
    _long_running: int,
    _slots: int,
    _now: float,
) -> int | None:
    return 0 if queued else None


def _short_first(long_share: float) -> QueueOrder:
    def choose(
        queued: Sequence[QueuedWork],
        long_running: int,
        slots: int,
        now: float,
    ) -> int | None:
        is_long_full = long_running >= max_long_slots(slots, long_share)
        eligible = [
            index
            for index, work in enumerate(queued)
            if not (is_long_full and work.long)
        ]
        return min(
            eligible,
            key=lambda index: _aged_cost_ms(queued[index], now),
            default=None,
        )

    return choose


def _aged_cost_ms(work: QueuedWork, now: float) -> float:
    """Return the cost less a credit for the wait; the lowest starts first."""
    return work.cost_ms - (now - work.arrived_at) / AGEING_FACTOR
