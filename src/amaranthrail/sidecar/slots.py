"""Limit concurrency at the upstream and queue work by the queue policy."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from ..clock import Clock
from ..manifest import Policies
from ..policy.loads import Work
from ..policy.queueing import QueuedWork, QueueOrder, make_queue_order

#: Least time left that is expected of running work, as a share of its cost
#: estimate. It applies to work that runs for about as long as estimated or
#: longer.
_MIN_SHARE_LEFT = 0.1


class SlotQueue:
    """Queue work for the slots of one upstream.

    A slot is the right to run one request; the manifest sets their number.
    """

    def __init__(self, clock: Clock, count: int) -> None:
        """Set how many requests the upstream may run at a time."""
        self._clock = clock
        self._count = count
        self._queue_order: QueueOrder = make_queue_order(Policies())
        self._waiting: list[QueuedWork] = []
        self._grants: list[trio.Event] = []
        self._running: dict[int, tuple[QueuedWork, float]] = {}
        self._running_long = 0

    @property
    def count(self) -> int:
        """Return how many requests the upstream may run at a time."""
        return self._count

    @property
    def queued(self) -> int:
        """Return how many requests wait for a slot."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Return how many requests hold a slot."""
        return len(self._running)

    def configure(self, count: int, policies: Policies) -> None:
        """Apply the slot count and the queue policy of a new manifest."""
        self._count = count
        self._queue_order = make_queue_order(policies)
        self._start_next()

    def outstanding_work(self, *, long: bool) -> Work:
        """Return the count and time left of the work that is queued or running.

        ``long`` selects the long or the short work.
        """
        now = self._clock.now()
        costs = [work.cost_ms for work in self._waiting if work.long is long]
        costs += [
            max(
                _MIN_SHARE_LEFT * work.cost_ms,
                work.cost_ms - (now - started_at),
            )
            for work, started_at in self._running.values()
            if work.long is long
        ]
        return Work(len(costs), sum(costs))

    @asynccontextmanager
    async def hold_slot(self, work: QueuedWork) -> AsyncIterator[None]:
        """Wait for a slot and hold it; cancelling the wait leaves the queue."""
        await self._wait_for_slot(work)
        try:
            yield
        finally:
            self._release(work)

    async def _wait_for_slot(self, work: QueuedWork) -> None:
        granted = trio.Event()
        self._waiting.append(work)
        self._grants.append(granted)
        self._start_next()
        if granted.is_set():
            return
        try:
            await granted.wait()
        except trio.Cancelled:
            if granted.is_set():
                self._release(work)
            else:
                self._dequeue(granted)
            raise

    def _release(self, work: QueuedWork) -> None:
        del self._running[id(work)]
        self._running_long -= work.long
        self._start_next()

    def _dequeue(self, granted: trio.Event) -> None:
        index = self._grants.index(granted)
        del self._grants[index]
        del self._waiting[index]
        self._start_next()

    def _start_next(self) -> None:
        while self.running < self._count:
            now = self._clock.now()
            index = self._queue_order(
                self._waiting,
                self._running_long,
                self._count,
                now,
            )
            if index is None:
                return
            work = self._waiting.pop(index)
            self._running[id(work)] = (work, now)
            self._running_long += work.long
            self._grants.pop(index).set()
