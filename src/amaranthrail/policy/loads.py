"""Expect how long new work would wait at a replica."""

from __future__ import annotations

from dataclasses import dataclass

from .queueing import long_slots


@dataclass(frozen=True, slots=True)
class Work:
    """Count pieces of work and their expected time in a slot, in ms."""

    count: int = 0
    cost_ms: float = 0

    def plus(self, other: Work) -> Work:
        """Return both together."""
        return Work(self.count + other.count, self.cost_ms + other.cost_ms)

    def beyond(self, other: Work) -> Work:
        """Return what is left without the other, none below zero."""
        return Work(
            max(0, self.count - other.count),
            max(0, self.cost_ms - other.cost_ms),
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
    def busy(self) -> float:
        """Return the expected time to finish all work, over all slots."""
        total = self.short.cost_ms + self.long.cost_ms
        return total / max(1, self.slots)


def expected_wait(load: ReplicaLoad, long_share: float, *, long: bool) -> float:
    """Return the milliseconds until a slot would be free for new work.

    Short work passes waiting long work, so it waits only for the slots that
    long work may hold; long work waits for its turn among long work.
    """
    slots = max(1, load.slots)
    for_long = long_slots(slots, long_share)
    held = min(load.long.count, for_long)
    if long:
        return _wait(load.long, min(for_long, slots))
    return _wait(load.short, max(1, slots - held))


def _wait(work: Work, slots: int) -> float:
    ahead = work.count - slots + 1
    if ahead <= 0:
        return 0
    return ahead * work.mean_ms / slots
