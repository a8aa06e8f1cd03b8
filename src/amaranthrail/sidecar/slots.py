"""Give out the upstream's slots in the order that the policy chooses."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from ..clock import Clock
from ..manifest import Policies
from ..policy.loads import Work
from ..policy.queueing import QueuedWork, QueueOrder, make_queue_order

#: Work that outruns its estimate is expected to take this share of it still.
_LEAST_LEFT = 0.1


class Slots:
    """Queue work for a fixed number of slots."""

    def __init__(self, clock: Clock, count: int) -> None:
        """Take the number of requests that the upstream runs at a time."""
        self._clock = clock
        self._count = count
        self._order: QueueOrder = make_queue_order(Policies())
        self._waiting: list[QueuedWork] = []
        self._turns: list[trio.Event] = []
        self._running: dict[int, tuple[QueuedWork, float]] = {}
        self._running_long = 0

    @property
    def count(self) -> int:
        """Return the number of slots."""
        return self._count

    @property
    def queued(self) -> int:
        """Return how much work waits."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Return how much work runs."""
        return len(self._running)

    def configure(self, count: int, policies: Policies) -> None:
        """Take the slots and the policy of a new manifest."""
        self._count = count
        self._order = make_queue_order(policies)
        self._start_next()

    def work(self, *, long: bool) -> Work:
        """Return the work of one kind that waits and runs, with time left."""
        now = self._clock.now()
        costs = [one.cost_ms for one in self._waiting if one.long is long]
        costs += [
            max(_LEAST_LEFT * one.cost_ms, one.cost_ms - (now - since))
            for one, since in self._running.values()
            if one.long is long
        ]
        return Work(len(costs), sum(costs))

    @asynccontextmanager
    async def hold(self, work: QueuedWork) -> AsyncIterator[None]:
        """Wait for a slot and hold it; leaving the queue is by cancel."""
        await self._wait_turn(work)
        try:
            yield
        finally:
            self._release(work)

    async def _wait_turn(self, work: QueuedWork) -> None:
        turn = trio.Event()
        self._waiting.append(work)
        self._turns.append(turn)
        self._start_next()
        if turn.is_set():
            return
        try:
            await turn.wait()
        except trio.Cancelled:
            if turn.is_set():
                self._release(work)
            else:
                self._remove(turn)
            raise

    def _release(self, work: QueuedWork) -> None:
        del self._running[id(work)]
        self._running_long -= work.long
        self._start_next()

    def _remove(self, turn: trio.Event) -> None:
        index = self._turns.index(turn)
        del self._turns[index]
        del self._waiting[index]
        self._start_next()

    def _start_next(self) -> None:
        while self.running < self._count:
            now = self._clock.now()
            chosen = self._order(
                self._waiting,
                self._running_long,
                self._count,
                now,
            )
            if chosen is None:
                return
            work = self._waiting.pop(chosen)
            self._running[id(work)] = (work, now)
            self._running_long += work.long
            self._turns.pop(chosen).set()
