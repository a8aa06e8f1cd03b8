"""Estimate how long new work would wait for a slot of a replica."""

from __future__ import annotations

import math
from dataclasses import dataclass

from .queueing import max_long_slots

#: Least weight of a new load report against the average of the earlier ones.
MIN_REPORT_WEIGHT = 0.2


@dataclass(frozen=True, slots=True)
class Work:
    """Count work items and their summed expected time in a slot, in ms.

    The count is an average over several reports and may be fractional.
    """

    count: float = 0
    cost_ms: float = 0

    def add(self, other: Work) -> Work:
        """Return the sum of both."""
        return Work(self.count + other.count, self.cost_ms + other.cost_ms)

    def subtract(self, other: Work) -> Work:
        """Return the difference, with no figure below zero."""
        return Work(
            max(0, self.count - other.count),
            max(0, self.cost_ms - other.cost_ms),
        )

    def blend(self, latest: Work, weight: float) -> Work:
        """Return the weighted average with a new report of weight 0 to 1."""
        return Work(
            self.count + weight * (latest.count - self.count),
            self.cost_ms + weight * (latest.cost_ms - self.cost_ms),
        )

    @property
    def mean_ms(self) -> float:
        """Return the expected time of one item in a slot, 0 without items."""
        return self.cost_ms / self.count if self.count else 0


NO_WORK = Work()


@dataclass(frozen=True, slots=True)
class ReplicaLoad:
    """Hold the short and the long work queued and running at a replica."""

    short: Work
    long: Work
    slots: int

    @property
    def backlog_ms(self) -> float:
        """Return the expected time until all slots have finished all work."""
        total_ms = self.short.cost_ms + self.long.cost_ms
        return total_ms / max(1, self.slots)


def report_weight(work_ms: float, slots: int, interval_ms: float) -> float:
    """Return the weight of a load report, 0 to 1, in the running average.

    ``work_ms`` is the larger of the previous estimate and the report, and
    ``interval_ms`` the time between reports. Work that finishes before the next
    report is gone by then, and a single report of it says little: the mean of
    many reports is better. A queue that lasts longer than the interval, or that
    did and is gone, is taken over in full.
    """
    finish_ms = work_ms / max(1, slots)
    return min(1, max(MIN_REPORT_WEIGHT, finish_ms / max(1, interval_ms)))


def expected_wait_ms(
    load: ReplicaLoad, long_share: float, *, long: bool
) -> float:
    """Return the milliseconds until a slot would be free for new work.

    ``long_share`` is the fraction of the slots that long work may hold. Short
    work overtakes queued long work, so it only waits for the slots that long
    work does not hold; long work is queued behind other long work.
    """
    slots = max(1, load.slots)
    long_limit = max_long_slots(slots, long_share)
    long_running = min(math.ceil(load.long.count), long_limit)
    if long:
        return _queue_wait_ms(load.long, min(long_limit, slots))
    return _queue_wait_ms(load.short, max(1, slots - long_running))


def _queue_wait_ms(work: Work, slots: int) -> float:
    items_ahead = work.count - slots + 1
    if items_ahead <= 0:
        return 0
    return items_ahead * work.mean_ms / slots
