"""Expect how long new work would wait at a replica."""

from __future__ import annotations

import math
from dataclasses import dataclass

from .queueing import long_slots

#: Least weight of a fresh load report against the mean of those before.
MIN_REPORT_WEIGHT = 0.2


@dataclass(frozen=True, slots=True)
class Work:
    """Count pieces of work and their expected time in a slot, in ms.

    A mean over several reports need not be a whole count.
    """

    count: float = 0
    cost_ms: float = 0

    def add(self, other: Work) -> Work:
        """Return both together."""
        return Work(self.count + other.count, self.cost_ms + other.cost_ms)

    def subtract(self, other: Work) -> Work:
        """Return what is left without the other, none below zero."""
        return Work(
            max(0, self.count - other.count),
            max(0, self.cost_ms - other.cost_ms),
        )

    def blend(self, fresh: Work, weight: float) -> Work:
        """Return this moved towards a fresh report by its weight, 0 to 1."""
        return Work(
            self.count + weight * (fresh.count - self.count),
            self.cost_ms + weight * (fresh.cost_ms - self.cost_ms),
        )

    @property
    def mean_ms(self) -> float:
        """Return the expected time of one piece."""
        return self.cost_ms / self.count if self.count else 0


NO_WORK = Work()


@dataclass(frozen=True, slots=True)
class ReplicaLoad:
    """Hold the work queued and running at a replica."""

    short: Work
    long: Work
    slots: int

    @property
    def backlog_ms(self) -> float:
        """Return the expected time to finish all work, over all slots."""
        total = self.short.cost_ms + self.long.cost_ms
        return total / max(1, self.slots)


def report_weight(work_ms: float, slots: int, interval_ms: float) -> float:
    """Return how much a report says of the time until the next one, 0 to 1.

    ``work_ms`` is the larger of what was known and what is told. Work that
    drains before the next report is gone by then, and how much of it there
    happened to be says little: the mean of many reports says more. A queue
    that stands for longer, or has stood and is gone, is news.
    """
    drain_ms = work_ms / max(1, slots)
    return min(1, max(MIN_REPORT_WEIGHT, drain_ms / max(1, interval_ms)))


def expected_wait_ms(
    load: ReplicaLoad, long_share: float, *, long: bool
) -> float:
    """Return the milliseconds until a slot would be free for new work.

    Short work passes waiting long work, so it waits only for the slots that
    long work may hold; long work waits for its turn among long work.
    """
    slots = max(1, load.slots)
    for_long = long_slots(slots, long_share)
    held = min(math.ceil(load.long.count), for_long)
    if long:
        return _wait(load.long, min(for_long, slots))
    return _wait(load.short, max(1, slots - held))


def _wait(work: Work, slots: int) -> float:
    ahead = work.count - slots + 1
    if ahead <= 0:
        return 0
    return ahead * work.mean_ms / slots
